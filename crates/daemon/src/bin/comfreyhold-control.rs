//! The control daemon: `comfreyhold-control SETTINGS`.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Run a control daemon, which stores the declarations of a comfreyhold deployment
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Settings file in YAML
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> anyhow::Result<()> {
    comfreyhold_daemon::control_run::run(&args().run().settings)
}
