//! `comfreyhold-lab demo [--deployment NAME] [--seconds N] [--out FOLDER]`
//!
//! Starts a shipped deployment of the real daemons, drives its load while a failure domain is taken
//! out and in again, prints the measures and the counts of both sides, and stops everything.

use super::{load::current_revision, verdict};
use anyhow::{Result, bail};
use bpaf::Bpaf;
use comfreyhold_lab::binaries;
use comfreyhold_lab::deployments::Shipped;
use comfreyhold_lab::trial_run::{self, Action, TrialSettings, default_out};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Shortest measured load in which the domain is away for longer than the 4 s limit.
const MIN_SECONDS: u64 = 20;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// braga or velario-sul
    #[bpaf(argument("NAME"), fallback(Shipped::Braga))]
    deployment: Shipped,
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
        binaries: binaries::folder().await?,
        out: args.out.unwrap_or_else(|| default_out("demo", args.deployment)),
        revision: current_revision().await,
    };
    let report = trial_run::run(&settings).await?;
    print!("{}", report.table());
    println!("report and plot in {}", settings.out.display());
    Ok(verdict(&report.load))
}
