//! `comfreyhold-lab demo [--deployment NAME] [--seconds N] [--out FOLDER]`
//!
//! Starts a shipped deployment of the real daemons, runs its load while a failure domain is
//! withdrawn and restored, prints the measures and the counts of callers, control daemons and targets,
//! and stops everything.

use super::{exit_code, load::current_revision};
use anyhow::{Result, bail};
use bpaf::Bpaf;
use comfreyhold_lab::binaries;
use comfreyhold_lab::deployments::ShippedDeployment;
use comfreyhold_lab::trial_run::{self, Action, TrialSettings, default_report_folder};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Shortest measured load in which the failure domain is withdrawn for longer than the limit of 4 s.
const MIN_SECONDS: u64 = 20;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// braga or velario-sul
    #[bpaf(argument("NAME"), fallback(ShippedDeployment::Braga))]
    deployment: ShippedDeployment,
    /// Length of the measured load
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Seed of load, fabric and targets
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Folder for the report, settings and logs
    #[bpaf(argument("FOLDER"))]
    out: Option<PathBuf>,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    if args.seconds < MIN_SECONDS {
        bail!("--seconds {}: allowed: {MIN_SECONDS} or more", args.seconds);
    }
    let settings = TrialSettings {
        name: "demo".to_owned(),
        shipped: args.deployment,
        seed: args.seed,
        rate_factor: 1.0,
        duration: Duration::from_secs(args.seconds),
        actions: vec![
            (args.seconds / 4, Action::DomainOut),
            (args.seconds * 2 / 3, Action::DomainIn),
        ],
        binaries: binaries::find_or_build().await?,
        out: args.out.unwrap_or_else(|| default_report_folder("demo", args.deployment)),
        revision: current_revision().await,
    };
    let report = trial_run::run(&settings).await?;
    print!("{}", report.table());
    println!("report and plot in {}", settings.out.display());
    Ok(exit_code(&report.load))
}
