//! `comfreyhold-lab up --settings FILE --folder FOLDER`
//!
//! Runs a local deployment until it is stopped. The daemons' settings, data and logs are written to the
//! folder, and all addresses to `deployment.json` there.

use super::{Lifetime, lifetime};
use anyhow::{Context as _, Result};
use bpaf::Bpaf;
use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::lifetime::{StartLine, StopSignals};
use comfreyhold_lab::up::{Deployment, UpSettings};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// YAML settings of the deployment
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Folder for settings, data and logs
    #[bpaf(argument("FOLDER"))]
    folder: PathBuf,
    #[bpaf(external(lifetime))]
    lifetime: Lifetime,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    let signals = StopSignals::install()?;
    let text = std::fs::read_to_string(&args.settings)
        .with_context(|| format!("read {}", args.settings.display()))?;
    let settings: UpSettings = serde_yaml_ng::from_str(&text)
        .with_context(|| format!("settings file {}", args.settings.display()))?;
    let deployment = Deployment::start(settings, &args.folder, daemon_settings::render).await?;
    let fabric = &deployment.fabric;
    let mut addresses = vec![("packets", fabric.packets()), ("fabric", fabric.control())];
    addresses.extend(deployment.plan.daemons.iter().map(|d| (d.name.as_str(), d.http)));
    StartLine::new("up", &addresses).print()?;
    args.lifetime.wait(signals).await;
    deployment.stop().await?;
    Ok(ExitCode::SUCCESS)
}
