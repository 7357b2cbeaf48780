//! Report of a load run: as a table, a JSON file and a plot.

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

/// Width of a step of the timeline.
pub const STEP: Duration = Duration::from_millis(250);

/// Latencies in microseconds, from the intended start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Values recorded.
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
            // The range grows as needed; only `saturating_record` would clamp to its start range.
            if let Err(error) = histogram.record(us) {
                log::warn!("latency of {us} us is not recorded: {error}");
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
    /// Requests.
    pub requests: u64,
    /// Sends, resends included.
    pub sends: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Requests by the result code of their last answer.
    pub codes: BTreeMap<u16, u64>,
    /// Latencies of completed requests.
    pub completed: Latencies,
    /// Latencies of the others.
    pub others: Latencies,
}

/// Results of one group of flows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FlowReport {
    /// Flows by their end.
    pub ends: BTreeMap<FlowEnd, u64>,
    /// Established flows that were broken; the examples are caller addresses.
    pub broken: Violation,
    /// Times to open a flow.
    pub open: Latencies,
    /// Times from payload to echo.
    pub echo: Latencies,
    /// Payloads and openings sent again.
    pub resends: u64,
    /// Received packets that match nothing.
    pub unexpected: u64,
    /// Received packets with a wrong checksum.
    pub bad_checksums: u64,
}

/// Counts within one step of the timeline, by the time of the outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Requests that were to start.
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

/// Something that was done during a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Time from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// What was done.
    pub what: String,
}

/// Report of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Revision of the source that ran.
    pub revision: String,
    /// Settings, with the seed.
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
    pub timeline: Vec<Step>,
    /// What was done during the load.
    #[serde(default)]
    pub marks: Vec<Mark>,
}

impl Report {
    /// Summarises results.
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
            kinds: kinds.map(|(i, kind)| (kind.name.clone(), kind_report(results, i))).collect(),
            flows: results.flows.iter().map(flow_report).collect(),
            checks,
            step_ms: u64::try_from(STEP.as_millis()).unwrap_or(u64::MAX),
            timeline: timeline(results),
            marks: Vec::new(),
        }
    }

    /// Requests with an outcome, over all kinds.
    #[must_use]
    pub fn outcome(&self, outcome: Outcome) -> u64 {
        self.kinds.values().filter_map(|kind| kind.outcomes.get(&outcome)).sum()
    }

    /// Flows with an end, over all groups.
    #[must_use]
    pub fn flow_end(&self, end: FlowEnd) -> u64 {
        self.flows.iter().filter_map(|flow| flow.ends.get(&end)).sum()
    }

    /// Established flows that were broken, over all groups.
    #[must_use]
    pub fn broken_flows(&self) -> u64 {
        self.flows.iter().map(|flow| flow.broken.count).sum()
    }

    /// Renders the report as text.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
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
            let of = |outcome| kind.outcomes.get(&outcome).copied().unwrap_or(0);
            writeln!(
                out,
                "{name:<14}{:>9}{:>10}{:>9}{:>9}{:>9}{:>7}{:>10.2}{:>10.2}{:>10.2}",
                kind.requests,
                of(Outcome::Completed),
                of(Outcome::Refused),
                of(Outcome::Unknown),
                of(Outcome::NotSent),
                of(Outcome::WrongAnswer),
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
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).with_context(|| format!("write {}", path.display()))
        };
        write("load.json", &serde_json::to_string_pretty(self)?)?;
        write("load.txt", &self.table())?;
        plot::timeline(self, &folder.join("load.svg"))
    }
}

fn kind_report(results: &LoadResults, index: usize) -> KindReport {
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

fn flow_report(results: &FlowResults) -> FlowReport {
    let mut ends = BTreeMap::new();
    for (_, end) in &results.ends {
        *ends.entry(*end).or_default() += 1;
    }
    let callers: Vec<String> = results.broken.iter().map(ToString::to_string).collect();
    FlowReport {
        ends,
        broken: Violation::of(callers.iter().map(String::as_str)),
        open: Latencies::of(results.open_times.iter().copied()),
        echo: Latencies::of(results.echo_times.iter().copied()),
        resends: results.resends,
        unexpected: results.unexpected,
        bad_checksums: results.bad_checksums,
    }
}

fn timeline(results: &LoadResults) -> Vec<Step> {
    let mut steps: BTreeMap<usize, Step> = BTreeMap::new();
    let index = |at: Duration| (at.as_millis() / STEP.as_millis()) as usize;
    for request in &results.requests {
        steps.entry(index(request.intended)).or_default().intended += 1;
        let step = steps.entry(index(request.intended + request.latency)).or_default();
        match request.outcome {
            Outcome::Completed => step.completed += 1,
            Outcome::Refused => step.refused += 1,
            _ => step.failed += 1,
        }
    }
    for (at, end) in results.flows.iter().flat_map(|flows| &flows.ends) {
        steps.entry(index(*at)).or_default().broken_flows += u64::from(end.is_broken());
    }
    let last = steps.keys().next_back().copied().unwrap_or(0);
    (0..=last).map(|i| steps.get(&i).copied().unwrap_or_default()).collect()
}
