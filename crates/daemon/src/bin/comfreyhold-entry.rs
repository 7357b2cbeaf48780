//! The entry daemon: `comfreyhold-entry SETTINGS`.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Run an entry daemon, which receives packets and requests of a comfreyhold deployment
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Settings file in YAML
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> anyhow::Result<()> {
    comfreyhold_daemon::entry_run::run(&args().run().settings)
}
