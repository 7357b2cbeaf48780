//! `comfreyhold check [--settings | --fleet] FILE...`
//!
//! Checks declaration files without connecting to a deployment. With `--settings` it checks settings files
//! of daemons, with `--fleet` settings files of processes that start from seed addresses.

use crate::config::read_declarations;
use crate::error::CliError;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Settings;
use comfreyhold_fleet::settings::FleetSettings;
use std::path::PathBuf;

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Check settings files of daemons
    settings: bool,
    /// Check settings files of processes that start from seed addresses
    fleet: bool,
    /// YAML files to check
    #[bpaf(positional("FILE"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Checks the files and stops at the first invalid one.
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
