//! Compares the outcomes that callers saw with the targets' run logs.

use crate::echo::FlowRecord;
use crate::http;
use crate::load::{LoadResults, LoadSettings, arrivals, part_seed};
use crate::packet::Protocol;
use crate::request_load::{Outcome, RequestResult};
use crate::runlog::{RunOutcome, RunRecord};
use crate::target::TargetReport;
use anyhow::Result;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};

/// Further cases of a violation are only counted.
const MAX_EXAMPLES: usize = 20;

/// Report and logs of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetLog {
    /// State and counters.
    pub report: TargetReport,
    /// One record per request that reached it.
    pub runs: Vec<RunRecord>,
    /// One record per packet flow that it received.
    pub flows: Vec<FlowRecord>,
}

impl TargetLog {
    /// Reads the report and logs of a target over HTTP.
    ///
    /// # Errors
    /// The target does not respond, or a document does not match its type.
    pub async fn read(target: SocketAddr) -> Result<Self> {
        Ok(Self {
            report: http::get_json(target, "/lab/state").await?,
            runs: http::get_json_lines(target, "/lab/runs").await?,
            flows: http::get_json_lines(target, "/lab/flows").await?,
        })
    }
}

/// Occurrences of a forbidden event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Number of occurrences.
    pub count: u64,
    /// The first occurrences: paths, keys or caller addresses.
    pub examples: Vec<String>,
}

impl Violation {
    pub(crate) fn from_cases<'a>(cases: impl Iterator<Item = &'a str>) -> Self {
        let mut violation = Self::default();
        for case in cases {
            violation.count += 1;
            if violation.examples.len() < MAX_EXAMPLES {
                violation.examples.push(case.to_owned());
            }
        }
        violation
    }
}

/// Result of the comparison between outcomes and logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checks {
    /// Whether requests sent = completed + refused + unknown + not sent + wrong answers.
    pub counts_agree: bool,
    /// Keys that ran more than once.
    pub key_ran_twice: Violation,
    /// Non-idempotent requests without a key that ran more than once.
    pub unkeyed_ran_twice: Violation,
    /// Requests that were refused as not run but ran.
    pub refused_but_ran: Violation,
    /// Requests that were never written but ran.
    pub not_sent_but_ran: Violation,
    /// Requests that got a complete response but completed at no target. Empty when a log is missing.
    pub answered_but_not_completed: Violation,
    /// Responses that are incomplete or belong to another request.
    pub wrong_answers: Violation,
    /// Requests and packets that reached a target of another service.
    pub wrong_service: u64,
    /// Requests that started while all slots of their target were in use.
    pub over_slots: u64,
    /// Requests beyond what cold targets can handle.
    pub cold_overloads: u64,
    /// Runs that completed, over all targets.
    pub runs_completed: u64,
    /// Runs that were cancelled, over all targets.
    pub runs_cancelled: u64,
    /// Runs started per target, by service.
    pub runs_per_target: BTreeMap<String, Vec<u64>>,
    /// Highest number of runs of a target over the mean of its service's targets.
    pub imbalance: BTreeMap<String, f64>,
    /// Packet flows that reached more than one target, by protocol. A UDP flow that changes its target
    /// shows only here, since the new target echoes it like a new flow.
    pub flows_on_several_targets: BTreeMap<Protocol, u64>,
    /// Targets whose logs could not be read.
    pub unread_targets: Vec<SocketAddr>,
}

impl Checks {
    /// Whether the counts agree and no violation or misdelivery was found.
    #[must_use]
    pub fn holds(&self) -> bool {
        let violations = [
            &self.key_ran_twice,
            &self.unkeyed_ran_twice,
            &self.refused_but_ran,
            &self.not_sent_but_ran,
            &self.answered_but_not_completed,
            &self.wrong_answers,
        ];
        self.counts_agree
            && violations.iter().all(|violation| violation.count == 0)
            && self.wrong_service == 0
    }
}

/// Compares the results of a load with the targets' logs. Runs of other loads are left out.
#[must_use]
pub fn compare(
    settings: &LoadSettings,
    results: &LoadResults,
    logs: &[TargetLog],
    unread_targets: Vec<SocketAddr>,
) -> Checks {
    let requests = &results.requests;
    let paths: BTreeSet<&str> = requests.iter().map(|r| r.path.as_str()).collect();
    let of_this_load = |run: &&RunRecord| paths.contains(run.path.as_str());
    let runs: Vec<&RunRecord> =
        logs.iter().flat_map(|log| &log.runs).filter(of_this_load).collect();
    let started = count_by_path(runs.iter().filter(|run| run.outcome.started()));
    let completed = count_by_path(runs.iter().filter(|run| run.outcome == RunOutcome::Completed));
    let starts_of =
        |result: &RequestResult| started.get(result.path.as_str()).copied().unwrap_or(0);
    let with_outcome = |outcome| requests.iter().filter(move |r| r.outcome == outcome);
    let unkeyed = requests.iter().filter(|r| r.key.is_none());
    let unkeyed_non_idempotent = unkeyed.filter(|r| !settings.kinds[r.kind].is_idempotent());
    let without_run =
        with_outcome(Outcome::Completed).filter(|r| !completed.contains_key(r.path.as_str()));
    let logs_complete = unread_targets.is_empty() && !logs.is_empty();
    let per_target = runs_per_target(logs, &paths);
    Checks {
        counts_agree: counts_agree(settings, results),
        key_ran_twice: keys_that_ran_twice(&runs),
        unkeyed_ran_twice: Violation::from_cases(
            unkeyed_non_idempotent.filter(|r| starts_of(r) > 1).map(|r| r.path.as_str()),
        ),
        refused_but_ran: requests_that_ran(with_outcome(Outcome::Refused), starts_of),
        not_sent_but_ran: requests_that_ran(with_outcome(Outcome::NotSent), starts_of),
        answered_but_not_completed: Violation::from_cases(
            without_run.filter(|_| logs_complete).map(|r| r.path.as_str()),
        ),
        wrong_answers: Violation::from_cases(
            with_outcome(Outcome::WrongAnswer).map(|r| r.path.as_str()),
        ),
        wrong_service: sum_reports(logs, |r| r.wrong_service + r.packets.wrong_service),
        over_slots: runs.iter().filter(|run| run.over_slots).count() as u64,
        cold_overloads: sum_reports(logs, |r| r.cold_overloads),
        runs_completed: completed.values().sum(),
        runs_cancelled: count_outcome(&runs, RunOutcome::Cancelled),
        imbalance: per_target.iter().map(|(s, runs)| (s.clone(), imbalance(runs))).collect(),
        runs_per_target: per_target,
        flows_on_several_targets: flows_on_several_targets(logs),
        unread_targets,
    }
}

fn count_by_path<'a>(runs: impl Iterator<Item = &'a &'a RunRecord>) -> BTreeMap<&'a str, u64> {
    let mut counts = BTreeMap::new();
    for run in runs {
        *counts.entry(run.path.as_str()).or_default() += 1;
    }
    counts
}

fn requests_that_ran<'a>(
    results: impl Iterator<Item = &'a RequestResult>,
    starts_of: impl Fn(&RequestResult) -> u64,
) -> Violation {
    Violation::from_cases(results.filter(|r| starts_of(r) > 0).map(|r| r.path.as_str()))
}

fn keys_that_ran_twice(runs: &[&RunRecord]) -> Violation {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.outcome.started()) {
        if let Some(key) = &run.key {
            *counts.entry(key).or_default() += 1;
        }
    }
    Violation::from_cases(counts.into_iter().filter(|(_, count)| *count > 1).map(|(key, _)| key))
}

/// Whether every scheduled request has exactly one outcome.
fn counts_agree(settings: &LoadSettings, results: &LoadResults) -> bool {
    let kinds = settings.kinds.iter().enumerate();
    let scheduled: usize = kinds
        .map(|(index, kind)| {
            let seed = part_seed(settings.seed, "requests", index);
            arrivals(kind.rate_per_s, settings.duration(), seed).len()
        })
        .sum();
    let paths: BTreeSet<&str> = results.requests.iter().map(|r| r.path.as_str()).collect();
    paths.len() == results.requests.len() && scheduled == paths.len()
}

fn count_outcome(runs: &[&RunRecord], outcome: RunOutcome) -> u64 {
    runs.iter().filter(|run| run.outcome == outcome).count() as u64
}

fn sum_reports(logs: &[TargetLog], field: impl Fn(&TargetReport) -> u64) -> u64 {
    logs.iter().map(|log| field(&log.report)).sum()
}

fn runs_per_target(logs: &[TargetLog], paths: &BTreeSet<&str>) -> BTreeMap<String, Vec<u64>> {
    let mut per_target: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for log in logs {
        let started = log.runs.iter().filter(|run| run.outcome.started());
        let of_this_load = started.filter(|run| paths.contains(run.path.as_str())).count() as u64;
        per_target.entry(log.report.service.clone()).or_default().push(of_this_load);
    }
    per_target
}

/// Highest count over the mean; 1 when there are no runs.
#[must_use]
pub fn imbalance(counts: &[u64]) -> f64 {
    let total: u64 = counts.iter().sum();
    let highest = counts.iter().copied().max().unwrap_or(0);
    if total == 0 {
        return 1.0;
    }
    highest as f64 * counts.len() as f64 / total as f64
}

fn flows_on_several_targets(logs: &[TargetLog]) -> BTreeMap<Protocol, u64> {
    let mut targets_by_flow: BTreeMap<(Protocol, SocketAddrV4), u64> = BTreeMap::new();
    for flow in logs.iter().flat_map(|log| &log.flows) {
        *targets_by_flow.entry((flow.protocol, flow.caller)).or_default() += 1;
    }
    let mut flows_by_protocol = BTreeMap::from([(Protocol::Tcp, 0), (Protocol::Udp, 0)]);
    for ((protocol, _), _) in targets_by_flow.iter().filter(|(_, count)| **count > 1) {
        *flows_by_protocol.entry(*protocol).or_default() += 1;
    }
    flows_by_protocol
}
