//! Report of a load run, written as a table, a JSON file and a plot.

use crate::checks::{Checks, Violation};
use crate::flow_load::{FlowEnd, FlowResults};
use crate::load::{LoadResults, LoadSettings};
use crate::plot;
use crate::request_load::Outcome;
use anyhow::{Context as _, Result};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// Time that one step of the timeline covers.
pub const STEP_WIDTH: Duration = Duration::from_millis(250);

/// Distribution of latencies in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Number of latencies.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Latencies {
    /// Summarises durations through a histogram with three significant digits.
    #[must_use]
    pub fn of(durations: impl Iterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Self::default() };
        for duration in durations {
            let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            // The histogram grows as needed; `saturating_record` would clamp to its initial range.
            if let Err(error) = histogram.record(us) {
                log::warn!("latency of {us} us could not be recorded: {error}");
            }
        }
        Self {
            count: histogram.len(),
            mean_us: histogram.mean(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Results of one kind of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Requests that were scheduled.
    pub requests: u64,
    /// Sends, including resends.
    pub sends: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Requests by the result code of their last response.
    pub codes: BTreeMap<u16, u64>,
    /// Latencies of completed requests, from the intended start.
    pub completed: Latencies,
    /// Latencies of all other requests, from the intended start.
    pub others: Latencies,
}

/// Results of one group of flows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FlowReport {
    /// Flows by how they ended.
    pub ends: BTreeMap<FlowEnd, u64>,
    /// Established flows that were broken; the examples are caller addresses.
    pub broken: Violation,
    /// Times from the intended start of a flow to the reply to its opening.
    pub open: Latencies,
    /// Times from the first send of a payload to its echo.
    pub echo: Latencies,
    /// Retransmissions of payloads and openings.
    pub resends: u64,
    /// Received packets that match no pending payload or opening.
    pub unexpected: u64,
    /// Received packets with an invalid checksum.
    pub bad_checksums: u64,
}

/// Counts within one step of the timeline. Outcomes count in the step in which they occurred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineStep {
    /// Requests scheduled to start in the step.
    pub intended: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests with another outcome.
    pub failed: u64,
    /// Established flows broken.
    pub broken_flows: u64,
}

/// An action taken during a load, as the plot and the report show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionMark {
    /// Time from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Name of the action.
    pub what: String,
}

/// Report of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Revision of the source that ran.
    pub revision: String,
    /// Settings of the run, including the seed.
    pub settings: LoadSettings,
    /// Results by kind of requests.
    pub kinds: BTreeMap<String, KindReport>,
    /// Results by group of flows.
    pub flows: Vec<FlowReport>,
    /// Comparison with the targets' logs.
    pub checks: Checks,
    /// Width of a step, in milliseconds.
    pub step_ms: u64,
    /// Counts over time.
    pub timeline: Vec<TimelineStep>,
    /// Actions taken during the load.
    #[serde(default)]
    pub marks: Vec<ActionMark>,
}

impl Report {
    /// Summarises the results of a run.
    #[must_use]
    pub fn new(
        settings: &LoadSettings,
        revision: &str,
        results: &LoadResults,
        checks: Checks,
    ) -> Self {
        let kinds = settings.kinds.iter().enumerate();
        Self {
            revision: revision.to_owned(),
            settings: settings.clone(),
            kinds: kinds.map(|(i, kind)| (kind.name.clone(), summarise_kind(results, i))).collect(),
            flows: results.flows.iter().map(summarise_flows).collect(),
            checks,
            step_ms: u64::try_from(STEP_WIDTH.as_millis()).unwrap_or(u64::MAX),
            timeline: build_timeline(results),
            marks: Vec::new(),
        }
    }

    /// Number of requests with the outcome, over all kinds.
    #[must_use]
    pub fn outcome(&self, outcome: Outcome) -> u64 {
        self.kinds.values().filter_map(|kind| kind.outcomes.get(&outcome)).sum()
    }

    /// Number of flows that ended this way, over all groups.
    #[must_use]
    pub fn flow_end(&self, end: FlowEnd) -> u64 {
        self.flows.iter().filter_map(|flow| flow.ends.get(&end)).sum()
    }

    /// Number of established flows that were broken, over all groups.
    #[must_use]
    pub fn broken_flows(&self) -> u64 {
        self.flows.iter().map(|flow| flow.broken.count).sum()
    }

    /// Renders the report as text.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write_table(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        let ms = |us: u64| us as f64 / 1_000.0;
        writeln!(
            out,
            "revision {}  seed {}  duration {} ms",
            self.revision, self.settings.seed, self.settings.duration_ms
        )?;
        writeln!(
            out,
            "{:<14}{:>9}{:>10}{:>9}{:>9}{:>9}{:>7}{:>10}{:>10}{:>10}",
            "kind",
            "requests",
            "completed",
            "refused",
            "unknown",
            "not-sent",
            "wrong",
            "p50 ms",
            "p99 ms",
            "max ms"
        )?;
        for (name, kind) in &self.kinds {
            let count_of = |outcome| kind.outcomes.get(&outcome).copied().unwrap_or(0);
            writeln!(
                out,
                "{name:<14}{:>9}{:>10}{:>9}{:>9}{:>9}{:>7}{:>10.2}{:>10.2}{:>10.2}",
                kind.requests,
                count_of(Outcome::Completed),
                count_of(Outcome::Refused),
                count_of(Outcome::Unknown),
                count_of(Outcome::NotSent),
                count_of(Outcome::WrongAnswer),
                ms(kind.completed.p50_us),
                ms(kind.completed.p99_us),
                ms(kind.completed.max_us)
            )?;
        }
        for (settings, flow) in self.settings.flows.iter().zip(&self.flows) {
            writeln!(
                out,
                "flows {} {}: ends {:?}, broken {}, open p99 {:.2} ms, echo p99 {:.2} ms, \
                 resends {}",
                settings.service,
                settings.protocol,
                flow.ends,
                flow.broken.count,
                ms(flow.open.p99_us),
                ms(flow.echo.p99_us),
                flow.resends
            )?;
        }
        self.write_checks(out)
    }

    fn write_checks(&self, out: &mut String) -> std::fmt::Result {
        let checks = &self.checks;
        let rows = [
            ("key ran twice", &checks.key_ran_twice),
            ("unkeyed ran twice", &checks.unkeyed_ran_twice),
            ("refused but ran", &checks.refused_but_ran),
            ("not sent but ran", &checks.not_sent_but_ran),
            ("answered, not completed", &checks.answered_but_not_completed),
            ("wrong answers", &checks.wrong_answers),
        ];
        for (name, violation) in rows {
            writeln!(out, "{name:<26}{:>6}  {}", violation.count, violation.examples.join(" "))?;
        }
        writeln!(out, "{:<26}{:>6}", "wrong service", checks.wrong_service)?;
        writeln!(out, "{:<26}{:>6}", "starts beyond slots", checks.over_slots)?;
        writeln!(out, "{:<26}{:>6}", "overloads while cold", checks.cold_overloads)?;
        writeln!(out, "{:<26}{:>6}", "counts agree", checks.counts_agree)?;
        for (service, imbalance) in &checks.imbalance {
            let runs = checks.runs_per_target.get(service);
            writeln!(out, "imbalance {service:<16}{imbalance:>6.3}  {runs:?}")?;
        }
        if !checks.unread_targets.is_empty() {
            writeln!(out, "targets without a readable log: {:?}", checks.unread_targets)?;
        }
        Ok(())
    }

    /// Writes `load.json`, `load.txt` and `load.svg` to the folder.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn write(&self, folder: &Path) -> Result<()> {
        std::fs::create_dir_all(folder)?;
        let write_file = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).with_context(|| format!("write {}", path.display()))
        };
        write_file("load.json", &serde_json::to_string_pretty(self)?)?;
        write_file("load.txt", &self.table())?;
        plot::draw_timeline(self, &folder.join("load.svg"))
    }
}

fn summarise_kind(results: &LoadResults, index: usize) -> KindReport {
    let requests = || results.requests.iter().filter(move |r| r.kind == index);
    let latencies = |completed: bool| {
        let chosen = requests().filter(move |r| (r.outcome == Outcome::Completed) == completed);
        Latencies::of(chosen.map(|r| r.latency))
    };
    let mut report = KindReport {
        completed: latencies(true),
        others: latencies(false),
        ..KindReport::default()
    };
    for result in requests() {
        report.requests += 1;
        report.sends += u64::from(result.sends);
        *report.outcomes.entry(result.outcome).or_default() += 1;
        if let Some(code) = result.code {
            *report.codes.entry(code).or_default() += 1;
        }
    }
    report
}

fn summarise_flows(results: &FlowResults) -> FlowReport {
    let mut ends = BTreeMap::new();
    for (_, end) in &results.ends {
        *ends.entry(*end).or_default() += 1;
    }
    let broken_callers: Vec<String> = results.broken.iter().map(ToString::to_string).collect();
    FlowReport {
        ends,
        broken: Violation::from_cases(broken_callers.iter().map(String::as_str)),
        open: Latencies::of(results.open_times.iter().copied()),
        echo: Latencies::of(results.echo_times.iter().copied()),
        resends: results.resends,
        unexpected: results.unexpected,
        bad_checksums: results.bad_checksums,
    }
}

fn build_timeline(results: &LoadResults) -> Vec<TimelineStep> {
    let mut steps: BTreeMap<usize, TimelineStep> = BTreeMap::new();
    let step_index = |at: Duration| (at.as_millis() / STEP_WIDTH.as_millis()) as usize;
    for request in &results.requests {
        steps.entry(step_index(request.intended)).or_default().intended += 1;
        let step = steps.entry(step_index(request.intended + request.latency)).or_default();
        match request.outcome {
            Outcome::Completed => step.completed += 1,
            Outcome::Refused => step.refused += 1,
            _ => step.failed += 1,
        }
    }
    for (at, end) in results.flows.iter().flat_map(|flows| &flows.ends) {
        steps.entry(step_index(*at)).or_default().broken_flows += u64::from(end.is_broken());
    }
    let last = steps.keys().next_back().copied().unwrap_or(0);
    (0..=last).map(|i| steps.get(&i).copied().unwrap_or_default()).collect()
}
