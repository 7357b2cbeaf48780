//! The subcommands, one module per measurement.

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

/// Measures processor time, memory and traffic of each role at growing sizes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Failure detector: messages, processor time and memory per member
    #[bpaf(command)]
    Members(#[bpaf(external(members::args))] members::Args),
    /// Installation of revisions and leases: cost for the leader, a relay and an entry
    #[bpaf(command)]
    Rollout(#[bpaf(external(rollout::args))] rollout::Args),
    /// Target registry: messages, processor time and memory per entry
    #[bpaf(command)]
    Registry(#[bpaf(external(registry::args))] registry::Args),
    /// Declarations: encoded size, memory, processor time of a clone and of a change
    #[bpaf(command)]
    Declared(#[bpaf(external(declared::args))] declared::Args),
    /// Processor time of an entry for each change of the declarations
    #[bpaf(command)]
    Refresh(#[bpaf(external(refresh::args))] refresh::Args),
    /// Flow records: memory per flow, processor time per packet and tick
    #[bpaf(command)]
    Flows(#[bpaf(external(flows::args))] flows::Args),
    /// Load reports of dispatchers: rate and traffic per entry
    #[bpaf(command)]
    Loads(#[bpaf(external(loads::args))] loads::Args),
    /// Idempotency keys: memory per record, messages per request
    #[bpaf(command)]
    Keys(#[bpaf(external(keys::args))] keys::Args),
    /// Daemons run as processes: processor time, memory and traffic by role
    #[bpaf(command)]
    Deployment(#[bpaf(external(deployment::args))] deployment::Args),
}

/// Parses the arguments and runs the measurement that they name.
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
