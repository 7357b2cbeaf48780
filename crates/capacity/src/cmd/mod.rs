//! One file per measurement.

mod declared;
mod deployment;
mod flows;
mod keys;
mod loads;
mod members;
mod refresh;
mod registry;
mod rollout;

use anyhow::Result;
use bpaf::Bpaf;
use std::process::ExitCode;

/// Measures what each role costs at growing sizes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Failure detector
    #[bpaf(command)]
    Members(#[bpaf(external(members::args))] members::Args),
    /// Installation of revisions and leases: leader, relay, entry
    #[bpaf(command)]
    Rollout(#[bpaf(external(rollout::args))] rollout::Args),
    /// Target registry
    #[bpaf(command)]
    Registry(#[bpaf(external(registry::args))] registry::Args),
    /// Declarations: sizes, clone and apply
    #[bpaf(command)]
    Declared(#[bpaf(external(declared::args))] declared::Args),
    /// Work of an entry for each change of the declarations
    #[bpaf(command)]
    Refresh(#[bpaf(external(refresh::args))] refresh::Args),
    /// Flow records and tables
    #[bpaf(command)]
    Flows(#[bpaf(external(flows::args))] flows::Args),
    /// Load reports of dispatchers
    #[bpaf(command)]
    Loads(#[bpaf(external(loads::args))] loads::Args),
    /// Idempotency register
    #[bpaf(command)]
    Keys(#[bpaf(external(keys::args))] keys::Args),
    /// Daemons as processes
    #[bpaf(command)]
    Deployment(#[bpaf(external(deployment::args))] deployment::Args),
}

/// Runs the chosen measurement.
pub fn run() -> ExitCode {
    match dispatch(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(command: Command) -> Result<()> {
    match command {
        Command::Members(args) => members::run(&args),
        Command::Rollout(args) => rollout::run(&args),
        Command::Registry(args) => registry::run(&args),
        Command::Declared(args) => declared::run(&args),
        Command::Refresh(args) => refresh::run(&args),
        Command::Flows(args) => flows::run(&args),
        Command::Loads(args) => loads::run(&args),
        Command::Keys(args) => keys::run(&args),
        Command::Deployment(args) => deployment::run(&args),
    }
}
