//! Scenarios on a shipped deployment: a ramp, then a measured load during which actions are taken.

use crate::checks::imbalance;
use crate::deployments::ShippedDeployment;
use crate::load::{self, LoadResults, LoadSettings};
use crate::report::{ActionMark, Report};
use crate::trial::Trial;
use crate::trial_report::{
    TrialReport, WithdrawalMeasure, count_difference, describe_machine, per_second,
};
use crate::wall_us;
use anyhow::Result;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString};
use tokio::time::Instant;

/// Load before the measurement. Longer than the shipped profiles' ramp of 10 s.
const RAMP_TIME: Duration = Duration::from_secs(14);

/// Time for counters to reach the control daemons; entries send them every second.
const COUNTS_DELAY: Duration = Duration::from_millis(2_500);

/// Time after its withdrawal from which a failure domain must receive no further requests.
const WITHDRAWAL_LIMIT_MS: u64 = 4_000;

/// Parts of a trial. Each part's load uses different request paths and flows.
const RAMP_PART: u8 = 0;
const MEASURED_PART: u8 = 1;

/// The failure domain that is withdrawn. It has one entry and one control daemon.
const WITHDRAWN_DOMAIN: DomainId = DomainId(3);

/// The failure domain that is isolated. It has one entry and no control daemon.
const ISOLATED_DOMAIN: DomainId = DomainId(4);

/// The entry that is killed or stopped. It is the only one in its failure domain, so its dispatchers
/// move to another one.
const STOPPED_ENTRY: &str = "entry-2";

/// An action during the measured load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// A cold target of the first service starts.
    JoinTarget,
    /// The first target of the first service drains.
    DrainTarget,
    /// The first target of the first service becomes cold without warning.
    ColdTarget,
    /// An entry is killed.
    KillEntry,
    /// An entry is stopped.
    StopEntry,
    /// The entry that was killed or stopped starts again.
    RestartEntry,
    /// Operators withdraw a failure domain.
    DomainOut,
    /// Operators restore the failure domain.
    DomainIn,
    /// The links between a failure domain and the others are blocked.
    CutOff,
    /// The blocked links are restored.
    Heal,
    /// A profile version is published.
    Publish,
}

/// A scenario that the command line names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// No action is taken.
    Steady,
    /// A cold target joins.
    TargetJoins,
    /// A target drains.
    TargetDrains,
    /// A target becomes cold without warning.
    TargetCold,
    /// An entry is killed.
    EntryKilled,
    /// An entry is stopped.
    EntryStopped,
    /// An entry is stopped and started again.
    EntryAddedBack,
    /// A failure domain is withdrawn and restored.
    DomainOutAndIn,
    /// A failure domain is isolated, and its links are restored.
    DomainCutOffAndHealed,
    /// Twelve profile versions are published, one a second.
    PublicationsUnderLoad,
    /// An entry is killed while a failure domain is withdrawn.
    EntryKilledWhileDomainOut,
}

impl Scenario {
    /// The actions, each with its second of the measured load.
    #[must_use]
    pub fn actions(self) -> Vec<(u64, Action)> {
        match self {
            Self::Steady => Vec::new(),
            Self::TargetJoins => vec![(6, Action::JoinTarget)],
            Self::TargetDrains => vec![(6, Action::DrainTarget)],
            Self::TargetCold => vec![(6, Action::ColdTarget)],
            Self::EntryKilled => vec![(6, Action::KillEntry)],
            Self::EntryStopped => vec![(6, Action::StopEntry)],
            Self::EntryAddedBack => vec![(4, Action::StopEntry), (10, Action::RestartEntry)],
            Self::DomainOutAndIn => vec![(6, Action::DomainOut), (16, Action::DomainIn)],
            Self::DomainCutOffAndHealed => vec![(6, Action::CutOff), (14, Action::Heal)],
            Self::PublicationsUnderLoad => (4..16).map(|at| (at, Action::Publish)).collect(),
            Self::EntryKilledWhileDomainOut => {
                vec![(4, Action::DomainOut), (9, Action::KillEntry), (17, Action::DomainIn)]
            }
        }
    }
}

/// Settings of a trial.
#[derive(Clone, Debug)]
pub struct TrialSettings {
    /// Name of the scenario, for the report.
    pub name: String,
    /// Deployment to start.
    pub shipped: ShippedDeployment,
    /// Seed of load, fabric and targets.
    pub seed: u64,
    /// Factor on the rates of requests.
    pub rate_factor: f64,
    /// Length of the measured load.
    pub duration: Duration,
    /// The actions, each with its second of the measured load.
    pub actions: Vec<(u64, Action)>,
    /// Folder that holds the daemons' binaries.
    pub binaries: PathBuf,
    /// Folder for the report and, below it, settings, data and logs.
    pub out: PathBuf,
    /// Source revision, for the report.
    pub revision: String,
}

/// Runs a trial: starts the deployment, runs the ramp and the measured load, stops the deployment and
/// writes the report.
///
/// # Errors
/// A part does not start or stop, or an action fails.
pub async fn run(settings: &TrialSettings) -> Result<TrialReport> {
    let folder = settings.out.join("run");
    // Control daemons that find the log of an earlier run would refuse to publish the same versions.
    if folder.join("deployment.json").exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let mut trial =
        Trial::start(settings.shipped, &settings.binaries, settings.seed, &folder).await?;
    let measured = run_loads(settings, &mut trial).await;
    println!("stopping targets, entries and control daemons");
    let stopped = trial.deployment.stop().await;
    let report = measured?;
    report.write(&settings.out)?;
    stopped?;
    Ok(report)
}

async fn run_loads(settings: &TrialSettings, trial: &mut Trial) -> Result<TrialReport> {
    println!("ramping for {} s", RAMP_TIME.as_secs());
    let ramp_load = build_load_settings(settings, trial, RAMP_PART, RAMP_TIME);
    let ramp_results = load::drive(&ramp_load).await?;
    let ramp = Report::new(&ramp_load, "", &ramp_results, Default::default());
    tokio::time::sleep(COUNTS_DELAY).await;
    let before = trial.read_counts().await;
    println!("measuring for {} s", settings.duration.as_secs());
    let mut load = build_load_settings(settings, trial, MEASURED_PART, settings.duration);
    let start_us = wall_us();
    let (results, marks, notes) = drive_with_actions(settings, trial, &load).await?;
    tokio::time::sleep(COUNTS_DELAY).await;
    let counts = count_difference(&before, &trial.read_counts().await);
    load.targets = trial.target_addresses();
    let mut report = load::summarise(&load, &settings.revision, &results, Vec::new()).await;
    report.marks = marks;
    let away = measure_withdrawal(settings, trial, &report, start_us);
    Ok(TrialReport {
        scenario: settings.name.clone(),
        deployment: settings.shipped,
        seed: settings.seed,
        rate_factor: settings.rate_factor,
        machine: describe_machine(),
        file: trial.file.clone(),
        profiles: settings.shipped.profiles().to_owned(),
        ramp: per_second(&ramp.timeline),
        notes,
        away,
        imbalance_elsewhere: imbalance_outside_withdrawn(trial, &report),
        control_counts: counts,
        load: report,
    })
}

fn build_load_settings(
    settings: &TrialSettings,
    trial: &Trial,
    part: u8,
    duration: Duration,
) -> LoadSettings {
    let mut load = trial.file.load_settings(settings.seed, part, duration);
    load.entries = trial.caller_addresses();
    load.flows = trial.file.flow_loads(trial.deployment.fabric.packets(), part);
    for kind in &mut load.kinds {
        kind.rate_per_s *= settings.rate_factor;
    }
    load
}

async fn drive_with_actions(
    settings: &TrialSettings,
    trial: &mut Trial,
    load: &LoadSettings,
) -> Result<(LoadResults, Vec<ActionMark>, Vec<String>)> {
    let start = Instant::now();
    let load = load.clone();
    let load_task = tokio::spawn(async move { load::drive(&load).await });
    let (mut marks, mut notes) = (Vec::new(), Vec::new());
    for (at_s, action) in &settings.actions {
        tokio::time::sleep_until(start + Duration::from_secs(*at_s)).await;
        let at_ms = u64::try_from(start.elapsed().as_millis())?;
        println!("{:>6.1} s  {action}", at_ms as f64 / 1_000.0);
        marks.push(ActionMark { at_ms, what: action.to_string() });
        // A failed action is noted in the report, and the load goes on.
        let note = match perform(trial, *action).await {
            Ok(note) => note,
            Err(error) => format!("failed: {error:#}"),
        };
        let elapsed_s = start.elapsed().as_secs_f64() - at_ms as f64 / 1_000.0;
        notes.push(format!("{action} at {at_ms} ms: {note} (call took {elapsed_s:.2} s)"));
    }
    Ok((load_task.await??, marks, notes))
}

async fn perform(trial: &mut Trial, action: Action) -> Result<String> {
    let describe_effect = |ms: Option<u64>| match ms {
        Some(ms) => format!("in effect after {ms} ms"),
        None => "not reported to be in effect within the limit of 4 s".to_owned(),
    };
    match action {
        Action::JoinTarget => {
            let service = trial.deployment.plan.settings.services[0].clone();
            trial.deployment.start_target(&service, DomainId(1), true).await?;
        }
        Action::DrainTarget => trial.deployment.targets[0].drain(),
        Action::ColdTarget => trial.deployment.targets[0].make_cold(Duration::from_secs(10)),
        Action::KillEntry => trial.kill_entry(STOPPED_ENTRY).await?,
        Action::StopEntry => trial.stop_entry(STOPPED_ENTRY).await?,
        Action::RestartEntry => trial.restart_entry(STOPPED_ENTRY).await?,
        Action::DomainOut => {
            return Ok(describe_effect(trial.publish_domain_state(WITHDRAWN_DOMAIN, "out").await?));
        }
        Action::DomainIn => {
            return Ok(describe_effect(trial.publish_domain_state(WITHDRAWN_DOMAIN, "in").await?));
        }
        Action::CutOff => trial.set_isolated(ISOLATED_DOMAIN, true),
        Action::Heal => trial.set_isolated(ISOLATED_DOMAIN, false),
        Action::Publish => return Ok(describe_effect(trial.publish_next_profile().await?)),
    }
    Ok("done".to_owned())
}

/// Imbalance over the targets outside the failure domain that is withdrawn, by service.
fn imbalance_outside_withdrawn(trial: &Trial, report: &Report) -> BTreeMap<String, f64> {
    let domains = trial.file.domains;
    let imbalance_outside = |runs: &[u64]| {
        let runs = (0_u16..).zip(runs).filter(|(i, _)| i % domains + 1 != WITHDRAWN_DOMAIN.0);
        imbalance(&runs.map(|(_, runs)| *runs).collect::<Vec<_>>())
    };
    let per_target = &report.checks.runs_per_target;
    per_target.iter().map(|(service, runs)| (service.clone(), imbalance_outside(runs))).collect()
}

/// Measures the service while the failure domain was withdrawn, from the time at which the domain must
/// receive no further requests. Absent when the scenario does not withdraw and restore it.
fn measure_withdrawal(
    settings: &TrialSettings,
    trial: &Trial,
    report: &Report,
    start_us: u64,
) -> Option<WithdrawalMeasure> {
    let marked_at = |action: Action| {
        let mut marks = report.marks.iter();
        marks.find(|mark| mark.what == action.to_string()).map(|mark| mark.at_ms)
    };
    let from_ms = marked_at(Action::DomainOut)? + WITHDRAWAL_LIMIT_MS;
    let until_ms = marked_at(Action::DomainIn)?;
    let steps = report.timeline.iter().zip(0_u64..);
    let completed: u64 = steps
        .filter(|(_, index)| (from_ms..until_ms).contains(&(index * report.step_ms)))
        .map(|(step, _)| step.completed)
        .sum();
    let (mut remaining_capacity_per_s, mut bearable_per_s, mut offered_per_s) = (0.0, 0.0, 0.0);
    for service in &trial.file.services {
        let withdrawn =
            (0..service.targets).filter(|i| i % trial.file.domains + 1 == WITHDRAWN_DOMAIN.0);
        let remaining = u64::from(service.targets) - withdrawn.count() as u64;
        let kinds = trial.file.requests.iter().filter(|kind| kind.service == service.name);
        let rate: f64 = kinds.map(|kind| kind.rate_per_s * settings.rate_factor).sum();
        let capacity = service.capacity_per_s(remaining);
        offered_per_s += rate;
        remaining_capacity_per_s += capacity;
        bearable_per_s += rate.min(capacity);
    }
    let window_s = until_ms.checked_sub(from_ms)? as f64 / 1_000.0;
    let completed_per_s = completed as f64 / window_s.max(0.001);
    let wall_clock_us = |ms: u64| start_us + ms * 1_000;
    Some(WithdrawalMeasure {
        from_ms,
        until_ms,
        offered_per_s,
        remaining_capacity_per_s,
        bearable_per_s,
        completed_per_s,
        share: completed_per_s / bearable_per_s.max(0.001),
        runs_in_domain: count_runs_in_domain(
            trial,
            wall_clock_us(from_ms),
            wall_clock_us(until_ms),
        ),
    })
}

/// Number of runs that targets of the withdrawn failure domain started between two wall-clock times.
fn count_runs_in_domain(trial: &Trial, from_us: u64, until_us: u64) -> u64 {
    let domains = trial.file.domains;
    let service_indices = trial.file.services.iter().flat_map(|service| 0..service.targets);
    let mut targets = trial.deployment.targets.iter().zip(service_indices);
    let mut runs = 0;
    for (target, _) in targets.by_ref().filter(|(_, i)| i % domains + 1 == WITHDRAWN_DOMAIN.0) {
        let log = target.runs();
        let within = |start: u64| (from_us..until_us).contains(&start);
        runs += log.iter().filter(|run| run.outcome.started() && within(run.start_us)).count();
    }
    runs as u64
}

/// Folder of a trial's report when the command line gives none.
#[must_use]
pub fn default_report_folder(name: &str, shipped: ShippedDeployment) -> PathBuf {
    Path::new("lab-data").join(format!("{shipped}-{name}"))
}
