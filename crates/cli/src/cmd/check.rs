//! `comfreyhold check [--settings] FILE...`
//!
//! Checks declaration files, or with `--settings` daemons' settings files, without any connection.

use crate::error::CliError;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Settings;
use comfreyhold_types::document;
use std::path::{Path, PathBuf};

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// The files are daemons' settings
    settings: bool,
    /// Files in YAML
    #[bpaf(positional("FILE"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Runs `check`.
pub fn run(args: &Args) -> Result<(), CliError> {
    for path in &args.files {
        if args.settings {
            let settings = Settings::load(path)?;
            println!("{}: settings of {}", path.display(), settings.instance);
        } else {
            let count = check_declarations(path)?;
            println!("{}: {count} declarations", path.display());
        }
    }
    Ok(())
}

fn check_declarations(path: &Path) -> Result<usize, CliError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    let publications = document::parse(&text, "check")
        .map_err(|source| CliError::Document { path: path.to_owned(), source })?;
    Ok(publications.len())
}
