//! `comfreyhold check [--settings | --fleet] FILE...`
//!
//! Checks declaration files, or with `--settings` daemons' settings files, or with `--fleet` settings of
//! processes that start from seeds, without any connection.

use crate::config::read_declarations;
use crate::error::CliError;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Settings;
use comfreyhold_fleet::settings::FleetSettings;
use std::path::PathBuf;

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// The files are daemons' settings
    settings: bool,
    /// The files are settings of processes that start from seeds
    fleet: bool,
    /// Files in YAML
    #[bpaf(positional("FILE"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Runs `check`.
pub fn run(args: &Args) -> Result<(), CliError> {
    for path in &args.files {
        if args.fleet {
            let settings = FleetSettings::read(path).map_err(|error| CliError::Deployment {
                path: path.clone(),
                message: format!("{:#}", error.root_cause()),
            })?;
            println!("{}: settings of {}", path.display(), settings.instance);
        } else if args.settings {
            let settings = Settings::load(path)?;
            println!("{}: settings of {}", path.display(), settings.instance);
        } else {
            let count = read_declarations(path, "check")?.1.len();
            println!("{}: {count} declarations", path.display());
        }
    }
    Ok(())
}
