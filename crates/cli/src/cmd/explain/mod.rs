//! `comfreyhold explain`: from log files, what happened to a flow; from running entries, where a packet would go now.

mod live;
mod log;
mod table;

use crate::error::CliError;
use bpaf::Bpaf;

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub enum Args {
    /// Ask running entries.
    Live(#[bpaf(external(live::args))] live::Args),
    /// Read log files.
    Log(#[bpaf(external(log::args))] log::Args),
}

/// Explains a packet or a flow.
pub fn run(args: &Args) -> Result<(), CliError> {
    match args {
        Args::Live(args) => live::run(args),
        Args::Log(args) => log::run(args),
    }
}
