//! Finds the daemons' binaries next to this program, and builds them when cargo runs it or they are
//! missing.

use anyhow::{Context as _, Result, bail};
use std::path::PathBuf;
use tokio::process::Command;

const BINARIES: [&str; 2] = ["comfreyhold-entry", "comfreyhold-control"];

/// Returns the folder of the daemons' binaries. `cargo run` builds only the lab's package, so the
/// daemons are then built here and are never older than the lab.
///
/// # Errors
/// The binaries are missing and can't be built.
pub async fn find_or_build() -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().context("this program has no parent folder")?.to_owned();
    let missing = BINARIES.iter().any(|name| !folder.join(name).exists());
    let cargo = std::env::var_os("CARGO");
    if cargo.is_none() && !missing {
        return Ok(folder);
    }
    let mut command = Command::new(cargo.unwrap_or_else(|| "cargo".into()));
    command.args(["build", "--package", "comfreyhold-daemon", "--bins"]);
    if folder.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().await.context("start cargo to build the daemons")?;
    if !status.success() {
        bail!("cargo build of the daemons failed: {status}");
    }
    Ok(folder)
}
