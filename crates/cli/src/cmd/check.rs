//! `comfreyhold check [--settings] FILE...`
//!
//! Checks declaration files, or with `--settings` daemons' settings files, without any connection.

use crate::config::read_declarations;
use crate::error::CliError;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Settings;
use std::path::PathBuf;

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
            let count = read_declarations(path, "check")?.1.len();
            println!("{}: {count} declarations", path.display());
        }
    }
    Ok(())
}
