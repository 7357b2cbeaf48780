//! `comfreyhold-lab scenario NAME [--deployment NAME] [--seed N] [--out FOLDER]`
//!
//! Runs one scenario on a shipped deployment of the real daemons. Exits with status 2 when a check
//! fails.

use super::{exit_code, load::current_revision};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::binaries;
use comfreyhold_lab::deployments::ShippedDeployment;
use comfreyhold_lab::trial_run::{self, Scenario, TrialSettings, default_report_folder};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// braga or velario-sul
    #[bpaf(argument("NAME"), fallback(ShippedDeployment::Braga))]
    deployment: ShippedDeployment,
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
        binaries: binaries::find_or_build().await?,
        out: args.out.unwrap_or_else(|| default_report_folder(&name, args.deployment)),
        revision: current_revision().await,
        name,
    };
    let report = trial_run::run(&settings).await?;
    print!("{}", report.table());
    println!("report and plot in {}", settings.out.display());
    Ok(exit_code(&report.load))
}
