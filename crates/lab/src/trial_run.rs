//! Scenarios on a shipped deployment: a ramp, then a measured load during which something happens.

use crate::checks::imbalance;
use crate::deployments::Shipped;
use crate::load::{self, LoadResults, LoadSettings};
use crate::report::{Mark, Report};
use crate::trial::Trial;
use crate::trial_report::{Away, TrialReport, count_difference, machine, per_second};
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
const RAMP: Duration = Duration::from_secs(14);

/// Time that counters take to reach the control daemons: they are sent every second.
const COUNTS_SETTLE: Duration = Duration::from_millis(2_500);

/// Time within which a domain that was taken out must receive nothing more.
const OUT_LIMIT_MS: u64 = 4_000;

/// Parts of a trial; each load uses its own request paths and flows.
const RAMP_PART: u8 = 0;
const MEASURED_PART: u8 = 1;

/// The domain that is taken out. It has one entry and one control daemon.
const OUT_DOMAIN: DomainId = DomainId(3);

/// The domain that is cut off. It has one entry and no control daemon.
const CUT_DOMAIN: DomainId = DomainId(4);

/// The entry that ends. It is the only one of its domain, so its dispatchers move.
const ENDING_ENTRY: &str = "entry-2";

/// What happens at a time of a measured load.
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
    /// The ended entry starts again.
    RestartEntry,
    /// Operators take a failure domain out.
    DomainOut,
    /// Operators take it in again.
    DomainIn,
    /// A failure domain loses its links to the others.
    CutOff,
    /// The links work again.
    Heal,
    /// A profile version is published.
    Publish,
}

/// A named scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Nothing happens.
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
    /// A failure domain is taken out and in again.
    DomainOutAndIn,
    /// A failure domain is cut off, and the cut heals.
    DomainCutOffAndHealed,
    /// Twelve profile versions are published, one a second.
    PublicationsUnderLoad,
    /// An entry is killed while a failure domain is out.
    EntryKilledWhileDomainOut,
}

impl Scenario {
    /// What happens, by the second of the measured load.
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
    /// Name for the report.
    pub name: String,
    /// Deployment.
    pub shipped: Shipped,
    /// Seed of load, fabric and targets.
    pub seed: u64,
    /// Factor on the rates of requests.
    pub rate_factor: f64,
    /// Measured load.
    pub duration: Duration,
    /// What happens during it, by its second.
    pub actions: Vec<(u64, Action)>,
    /// Folder of the daemons' binaries.
    pub binaries: PathBuf,
    /// Folder for the report and, below it, settings, data and logs.
    pub out: PathBuf,
    /// Source revision.
    pub revision: String,
}

/// Runs a trial: starts the deployment, ramps it, measures, and stops it.
///
/// # Errors
/// A part does not start or stop, or an action fails.
pub async fn run(settings: &TrialSettings) -> Result<TrialReport> {
    let folder = settings.out.join("run");
    // Control daemons that find the log of an earlier run refuse to publish the same versions anew.
    if folder.join("deployment.json").exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let mut trial =
        Trial::start(settings.shipped, &settings.binaries, settings.seed, &folder).await?;
    let measured = measure(settings, &mut trial).await;
    println!("stopping targets, entries and control daemons");
    let stopped = trial.deployment.stop().await;
    let report = measured?;
    report.write(&settings.out)?;
    stopped?;
    Ok(report)
}

async fn measure(settings: &TrialSettings, trial: &mut Trial) -> Result<TrialReport> {
    println!("ramping for {} s", RAMP.as_secs());
    let ramp_load = load_settings(settings, trial, RAMP_PART, RAMP);
    let ramp_results = load::drive(&ramp_load).await?;
    let ramp = Report::new(&ramp_load, "", &ramp_results, Default::default());
    tokio::time::sleep(COUNTS_SETTLE).await;
    let before = trial.counts().await;
    println!("measuring for {} s", settings.duration.as_secs());
    let mut load = load_settings(settings, trial, MEASURED_PART, settings.duration);
    let start_us = wall_us();
    let (results, marks, notes) = drive_with_actions(settings, trial, &load).await?;
    tokio::time::sleep(COUNTS_SETTLE).await;
    let counts = count_difference(&before, &trial.counts().await);
    load.targets = trial.targets();
    let mut report = load::summarise(&load, &settings.revision, &results, Vec::new()).await;
    report.marks = marks;
    let away = away(settings, trial, &report, start_us);
    Ok(TrialReport {
        scenario: settings.name.clone(),
        deployment: settings.shipped,
        seed: settings.seed,
        rate_factor: settings.rate_factor,
        machine: machine(),
        file: trial.file.clone(),
        profiles: settings.shipped.profiles().to_owned(),
        ramp: per_second(&ramp.timeline),
        notes,
        away,
        imbalance_elsewhere: imbalance_elsewhere(trial, &report),
        control_counts: counts,
        load: report,
    })
}

fn load_settings(
    settings: &TrialSettings,
    trial: &Trial,
    part: u8,
    duration: Duration,
) -> LoadSettings {
    let mut load = trial.file.load(settings.seed, part, duration);
    load.entries = trial.callers();
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
) -> Result<(LoadResults, Vec<Mark>, Vec<String>)> {
    let start = Instant::now();
    let driven = load.clone();
    let driving = tokio::spawn(async move { load::drive(&driven).await });
    let (mut marks, mut notes) = (Vec::new(), Vec::new());
    for (at_s, action) in &settings.actions {
        tokio::time::sleep_until(start + Duration::from_secs(*at_s)).await;
        let at_ms = u64::try_from(start.elapsed().as_millis())?;
        println!("{:>6.1} s  {action}", at_ms as f64 / 1_000.0);
        marks.push(Mark { at_ms, what: action.to_string() });
        // A failed action is part of the result; the load goes on.
        let note = match act(trial, *action).await {
            Ok(note) => note,
            Err(error) => format!("failed: {error:#}"),
        };
        let took = start.elapsed().as_secs_f64() - at_ms as f64 / 1_000.0;
        notes.push(format!("{action} at {at_ms} ms: {note} (call took {took:.2} s)"));
    }
    Ok((driving.await??, marks, notes))
}

async fn act(trial: &mut Trial, action: Action) -> Result<String> {
    let effect = |ms: Option<u64>| match ms {
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
        Action::KillEntry => trial.kill_entry(ENDING_ENTRY).await?,
        Action::StopEntry => trial.stop_entry(ENDING_ENTRY).await?,
        Action::RestartEntry => trial.restart_entry(ENDING_ENTRY).await?,
        Action::DomainOut => return Ok(effect(trial.set_domain(OUT_DOMAIN, "out").await?)),
        Action::DomainIn => return Ok(effect(trial.set_domain(OUT_DOMAIN, "in").await?)),
        Action::CutOff => trial.set_cut(CUT_DOMAIN, true),
        Action::Heal => trial.set_cut(CUT_DOMAIN, false),
        Action::Publish => return Ok(effect(trial.publish_profile().await?)),
    }
    Ok("done".to_owned())
}

/// Imbalance over the targets outside the domain that is taken out.
fn imbalance_elsewhere(trial: &Trial, report: &Report) -> BTreeMap<String, f64> {
    let domains = trial.file.domains;
    let elsewhere = |runs: &[u64]| {
        let runs = (0_u16..).zip(runs).filter(|(i, _)| i % domains + 1 != OUT_DOMAIN.0);
        imbalance(&runs.map(|(_, runs)| *runs).collect::<Vec<_>>())
    };
    let per_target = &report.checks.runs_per_target;
    per_target.iter().map(|(service, runs)| (service.clone(), elsewhere(runs))).collect()
}

/// What was completed while the domain was out, from the time it must receive nothing more.
fn away(settings: &TrialSettings, trial: &Trial, report: &Report, start_us: u64) -> Option<Away> {
    let at = |action: Action| {
        let mut marks = report.marks.iter();
        marks.find(|mark| mark.what == action.to_string()).map(|mark| mark.at_ms)
    };
    let from_ms = at(Action::DomainOut)? + OUT_LIMIT_MS;
    let until_ms = at(Action::DomainIn)?;
    let steps = report.timeline.iter().zip(0_u64..);
    let completed: u64 = steps
        .filter(|(_, index)| (from_ms..until_ms).contains(&(index * report.step_ms)))
        .map(|(step, _)| step.completed)
        .sum();
    let (mut remaining_capacity_per_s, mut bearable_per_s, mut offered_per_s) = (0.0, 0.0, 0.0);
    for service in &trial.file.services {
        let out = (0..service.targets).filter(|i| i % trial.file.domains + 1 == OUT_DOMAIN.0);
        let remaining = u64::from(service.targets) - out.count() as u64;
        let kinds = trial.file.requests.iter().filter(|kind| kind.service == service.name);
        let rate: f64 = kinds.map(|kind| kind.rate_per_s * settings.rate_factor).sum();
        let capacity = service.capacity_per_s(remaining);
        offered_per_s += rate;
        remaining_capacity_per_s += capacity;
        bearable_per_s += rate.min(capacity);
    }
    let window_s = until_ms.checked_sub(from_ms)? as f64 / 1_000.0;
    let completed_per_s = completed as f64 / window_s.max(0.001);
    let wall = |ms: u64| start_us + ms * 1_000;
    Some(Away {
        from_ms,
        until_ms,
        offered_per_s,
        remaining_capacity_per_s,
        bearable_per_s,
        completed_per_s,
        share: completed_per_s / bearable_per_s.max(0.001),
        runs_in_domain: runs_in_domain(trial, wall(from_ms), wall(until_ms)),
    })
}

/// Runs at targets of the domain that started between two wall-clock times.
fn runs_in_domain(trial: &Trial, from_us: u64, until_us: u64) -> u64 {
    let domains = trial.file.domains;
    let positions = trial.file.services.iter().flat_map(|service| 0..service.targets);
    let mut targets = trial.deployment.targets.iter().zip(positions);
    let mut runs = 0;
    for (target, _) in targets.by_ref().filter(|(_, i)| i % domains + 1 == OUT_DOMAIN.0) {
        let log = target.runs();
        let within = |start: u64| (from_us..until_us).contains(&start);
        runs += log.iter().filter(|run| run.outcome.started() && within(run.start_us)).count();
    }
    runs as u64
}

/// Default folder of a trial's report.
#[must_use]
pub fn default_out(name: &str, shipped: Shipped) -> PathBuf {
    Path::new("lab-data").join(format!("{shipped}-{name}"))
}
