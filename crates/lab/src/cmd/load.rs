//! `comfreyhold-lab load --settings FILE [--out FOLDER] [--revision NAME]`
//!
//! Runs the load, prints the report and writes it to the folder. Exits with status 2 when a check
//! fails.

use super::exit_code;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::load::{self, LoadSettings};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::process::Command;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// YAML settings of the load
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Folder for load.json, load.txt and load.svg
    #[bpaf(argument("FOLDER"))]
    out: Option<PathBuf>,
    /// Source revision for the report; by default that of the current folder
    #[bpaf(argument("NAME"))]
    revision: Option<String>,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    let settings = LoadSettings::read(&args.settings)?;
    let revision = match args.revision {
        Some(revision) => revision,
        None => current_revision().await,
    };
    let report = load::run(&settings, &revision).await?;
    print!("{}", report.table());
    if let Some(folder) = args.out {
        report.write(&folder)?;
    }
    Ok(exit_code(&report))
}

/// Source revision of the current folder as git describes it, or `unknown`.
pub async fn current_revision() -> String {
    let output = Command::new("git").args(["describe", "--always", "--dirty"]).output().await;
    match output {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => "unknown".to_owned(),
    }
}
