//! `comfreyhold`: the operators' command line. Parses the arguments, runs the module of the command, and
//! prints an error with its result code.

mod cmd;
mod config;
mod error;
mod http;

use bpaf::{Bpaf, ParseFailure};
use error::CliError;
use std::process::ExitCode;

/// Width of the help text in columns.
const HELP_COLUMNS: usize = 100;

/// Operate a comfreyhold deployment
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Publish declarations from files
    #[bpaf(command)]
    Apply(#[bpaf(external(cmd::apply::args))] cmd::apply::Args),
    /// Check declaration or settings files without publishing anything
    #[bpaf(command)]
    Check(#[bpaf(external(cmd::check::args))] cmd::check::Args),
    /// Show how many requests of each service ended with which result code
    #[bpaf(command)]
    Counts(#[bpaf(external(cmd::counts::args))] cmd::counts::Args),
    /// Show what `apply` would do with each document, without publishing anything
    #[bpaf(command)]
    Diff(#[bpaf(external(cmd::diff::args))] cmd::diff::Args),
    /// Withdraw a failure domain from service or restore it
    #[bpaf(command)]
    Domain(#[bpaf(external(cmd::domain::args))] cmd::domain::Args),
    /// Show where a packet would go now and why, or the log lines about one flow
    #[bpaf(command)]
    Explain(#[bpaf(external(cmd::explain::args))] cmd::explain::Args),
    /// Show the operator and revision of each published version
    #[bpaf(command)]
    History(#[bpaf(external(cmd::history::args))] cmd::history::Args),
    /// Let a control instance vote again after its data folder was lost
    #[bpaf(command)]
    Replace(#[bpaf(external(cmd::replace::args))] cmd::replace::Args),
    /// Show the state of every process
    #[bpaf(command)]
    Status(#[bpaf(external(cmd::status::args))] cmd::status::Args),
    /// Show the targets and their state, as an entry sees them
    #[bpaf(command)]
    Targets(#[bpaf(external(cmd::targets::args))] cmd::targets::Args),
    /// Show the events of all processes in causal order
    #[bpaf(command)]
    Timeline(#[bpaf(external(cmd::timeline::args))] cmd::timeline::Args),
}

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(failure),
    };
    let result = match command {
        Command::Apply(args) => cmd::apply::run(&args),
        Command::Check(args) => cmd::check::run(&args),
        Command::Counts(args) => cmd::counts::run(&args),
        Command::Diff(args) => cmd::diff::run(&args),
        Command::Domain(args) => cmd::domain::run(&args),
        Command::Explain(args) => cmd::explain::run(&args),
        Command::History(args) => cmd::history::run(&args),
        Command::Replace(args) => cmd::replace::run(&args),
        Command::Status(args) => cmd::status::run(&args),
        Command::Targets(args) => cmd::targets::run(&args),
        Command::Timeline(args) => cmd::timeline::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}

fn report_error(error: &CliError) -> ExitCode {
    eprintln!("comfreyhold: {} {error}", error.code().number());
    ExitCode::FAILURE
}

/// Help and completions go to standard output. Invalid arguments are an error with a result code.
fn report_parse_failure(failure: ParseFailure) -> ExitCode {
    if let ParseFailure::Stderr(message) = &failure {
        return report_error(&CliError::Argument(message.monochrome(true)));
    }
    failure.print_message(HELP_COLUMNS);
    ExitCode::SUCCESS
}
