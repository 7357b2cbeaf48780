//! `comfreyhold-lab scenario NAME [--deployment NAME] [--seed N] [--out FOLDER]`
//!
//! Runs one scenario on a shipped deployment of the real daemons. Exit status 2 means that a check
//! does not hold.

use super::{load::current_revision, verdict};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::binaries;
use comfreyhold_lab::deployments::Shipped;
use comfreyhold_lab::trial_run::{self, Scenario, TrialSettings, default_out};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// braga or velario-sul
    #[bpaf(argument("NAME"), fallback(Shipped::Braga))]
    deployment: Shipped,
    /// Seed of load, fabric and targets
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Factor on the rates of requests
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    rate_factor: f64,
    /// Length of the measured load
    #[bpaf(argument("N"), fallback(24))]
    seconds: u64,
    /// Folder for the report, settings and logs
    #[bpaf(argument("FOLDER"))]
    out: Option<PathBuf>,
    /// steady, target-joins, target-drains, target-cold, entry-killed, entry-stopped,
    /// entry-added-back, domain-out-and-in, domain-cut-off-and-healed, publications-under-load or
    /// entry-killed-while-domain-out
    #[bpaf(positional("NAME"))]
    name: Scenario,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    let name = args.name.to_string();
    let settings = TrialSettings {
        shipped: args.deployment,
        seed: args.seed,
        rate_factor: args.rate_factor,
        duration: Duration::from_secs(args.seconds),
        actions: args.name.actions(),
        binaries: binaries::folder().await?,
        out: args.out.unwrap_or_else(|| default_out(&name, args.deployment)),
        revision: current_revision().await,
        name,
    };
    let report = trial_run::run(&settings).await?;
    print!("{}", report.table());
    println!("report and plot in {}", settings.out.display());
    Ok(verdict(&report.load))
}
