//! Report of a trial: the ramp, three measures (broken flows, imbalance, service while a failure domain
//! is withdrawn), and the counts of callers, control daemons and targets.

use crate::deployments::{DeploymentFile, ShippedDeployment};
use crate::plot;
use crate::report::{Report, TimelineStep};
use anyhow::{Context as _, Result};
use comfreyhold_types::api::CountsReply;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// The hardware that a trial ran on, and its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Processor cores available.
    pub cores: usize,
    /// Total memory as `/proc/meminfo` reports it.
    pub memory: String,
    /// Load averages when the report was built; other programs may have been running too.
    pub load: String,
}

/// Service while a failure domain was withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WithdrawalMeasure {
    /// Start of the window, from the start of the load: 4 s after the domain was withdrawn.
    pub from_ms: u64,
    /// End of the window, from the start of the load: the domain was restored.
    pub until_ms: u64,
    /// Requests offered per second, over all services.
    pub offered_per_s: f64,
    /// Requests per second that the remaining targets can handle.
    pub remaining_capacity_per_s: f64,
    /// Sum over services of the lower of offered load and remaining capacity, per second.
    pub bearable_per_s: f64,
    /// Requests completed per second.
    pub completed_per_s: f64,
    /// `completed_per_s` over `bearable_per_s`.
    pub share: f64,
    /// Runs that targets of the withdrawn domain started within the window.
    pub runs_in_domain: u64,
}

/// Report of a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Deployment that ran.
    pub deployment: ShippedDeployment,
    /// Seed of load, fabric and targets.
    pub seed: u64,
    /// Factor on the rates of requests.
    pub rate_factor: f64,
    /// Hardware that the trial ran on.
    pub machine: Machine,
    /// Contents of the deployment file.
    pub file: DeploymentFile,
    /// Documents of the profiles that were published.
    pub profiles: String,
    /// Counts of the load before the measurement, by second.
    pub ramp: Vec<TimelineStep>,
    /// Result of each action.
    pub notes: Vec<String>,
    /// Service while a failure domain was withdrawn; absent when the scenario withdraws none.
    pub away: Option<WithdrawalMeasure>,
    /// Imbalance over the targets outside the failure domain that trials withdraw, by service.
    pub imbalance_elsewhere: BTreeMap<String, f64>,
    /// Counts of the control daemons over the measured load, by service and code.
    pub control_counts: BTreeMap<String, BTreeMap<u16, i64>>,
    /// Report of the measured load.
    pub load: Report,
}

/// Sums the steps of a timeline by second; a step is a quarter of a second.
#[must_use]
pub fn per_second(timeline: &[TimelineStep]) -> Vec<TimelineStep> {
    let sum_steps = |steps: &[TimelineStep]| {
        steps.iter().fold(TimelineStep::default(), |sum, step| TimelineStep {
            intended: sum.intended + step.intended,
            completed: sum.completed + step.completed,
            refused: sum.refused + step.refused,
            failed: sum.failed + step.failed,
            broken_flows: sum.broken_flows + step.broken_flows,
        })
    };
    timeline.chunks(4).map(sum_steps).collect()
}

/// Counts that were added between two replies, by service and result code.
#[must_use]
pub fn count_difference(
    before: &CountsReply,
    after: &CountsReply,
) -> BTreeMap<String, BTreeMap<u16, i64>> {
    let mut counts: BTreeMap<String, BTreeMap<u16, i64>> = BTreeMap::new();
    for (reply, sign) in [(after, 1), (before, -1)] {
        for row in &reply.rows {
            let count = i64::try_from(row.count).unwrap_or(i64::MAX);
            *counts.entry(row.service.clone()).or_default().entry(row.code).or_default() +=
                sign * count;
        }
    }
    for codes in counts.values_mut() {
        codes.retain(|_, count| *count != 0);
    }
    counts
}

/// Reads the number of cores, the memory and the load averages.
#[must_use]
pub fn describe_machine() -> Machine {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let memory = read("/proc/meminfo");
    let total_memory = memory.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    Machine {
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        memory: total_memory.unwrap_or("unknown").trim().to_owned(),
        load: read("/proc/loadavg").trim().to_owned(),
    }
}

impl TrialReport {
    /// Renders the report as text.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write_table(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "\nscenario {}  deployment {}  seed {}  rate factor {}",
            self.scenario, self.deployment, self.seed, self.rate_factor
        )?;
        writeln!(out, "machine: {:?}", self.machine)?;
        self.write_ramp(out)?;
        for note in &self.notes {
            writeln!(out, "{note}")?;
        }
        write!(out, "{}", self.load.table())?;
        writeln!(out, "flows on several targets: {:?}", self.load.checks.flows_on_several_targets)?;
        self.write_measures(out)?;
        self.write_counts(out)
    }

    fn write_ramp(&self, out: &mut String) -> std::fmt::Result {
        let refused: Vec<u64> = self.ramp.iter().map(|step| step.refused).collect();
        let total: u64 = self.ramp.iter().map(|step| step.intended).sum();
        let last_refusal = refused.iter().rposition(|refused| *refused > 0);
        writeln!(out, "ramp: {total} requests; refused by second {refused:?}")?;
        match last_refusal {
            Some(second) => writeln!(out, "ramp: last refusal in second {}", second + 1),
            None => writeln!(out, "ramp: nothing refused"),
        }
    }

    fn write_measures(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "\nmeasures")?;
        let flows: u64 = self.load.flows.iter().flat_map(|flow| flow.ends.values()).sum();
        writeln!(out, "  broken flows       {} of {flows}", self.load.broken_flows())?;
        for (service, imbalance) in &self.load.checks.imbalance {
            writeln!(out, "  imbalance          {service} {imbalance:.3} (max over mean)")?;
        }
        let Some(withdrawal) = &self.away else { return Ok(()) };
        for (service, imbalance) in &self.imbalance_elsewhere {
            writeln!(out, "  imbalance          {service} {imbalance:.3} outside the domain")?;
        }
        writeln!(
            out,
            "  domain withdrawn   {:.1}/s completed of {:.1}/s achievable ({:.1}%); offered {:.1}/s, \
             remaining targets handle {:.0}/s; {} runs in the domain",
            withdrawal.completed_per_s,
            withdrawal.bearable_per_s,
            withdrawal.share * 100.0,
            withdrawal.offered_per_s,
            withdrawal.remaining_capacity_per_s,
            withdrawal.runs_in_domain
        )
    }

    fn write_counts(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "\ncounts of the measured load, by result code")?;
        for service in &self.file.services {
            let name = &service.name;
            let runs = self.load.checks.runs_per_target.get(name);
            let runs: u64 = runs.into_iter().flatten().sum();
            let control = self.control_counts.get(name).cloned().unwrap_or_default();
            writeln!(out, "  {name}: callers' last codes   {:?}", self.caller_codes(name))?;
            writeln!(out, "  {name}: control daemons       {control:?}")?;
            writeln!(out, "  {name}: targets started       {runs}")?;
        }
        Ok(())
    }

    fn caller_codes(&self, service: &str) -> BTreeMap<u16, u64> {
        let mut codes = BTreeMap::new();
        let kinds = self.load.settings.kinds.iter().filter(|kind| kind.service == service);
        for report in kinds.filter_map(|kind| self.load.kinds.get(&kind.name)) {
            for (code, count) in &report.codes {
                *codes.entry(*code).or_default() += count;
            }
        }
        codes
    }

    /// Writes `trial.json`, `trial.txt` and `trial.svg` to the folder.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn write(&self, folder: &Path) -> Result<()> {
        std::fs::create_dir_all(folder)?;
        let write_file = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).with_context(|| format!("write {}", path.display()))
        };
        write_file("trial.json", &serde_json::to_string_pretty(self)?)?;
        write_file("trial.txt", &self.table())?;
        plot::draw_timeline(&self.load, &folder.join("trial.svg"))
    }
}
