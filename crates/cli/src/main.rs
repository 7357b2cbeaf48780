//! The operators' command line. It only dispatches; each command is a module of its own.

mod cmd;
mod config;
mod error;
mod http;

use bpaf::{Bpaf, ParseFailure};
use error::CliError;
use std::process::ExitCode;

/// Width of the help text.
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
    /// Show what each outcome was counted as, over all instances
    #[bpaf(command)]
    Counts(#[bpaf(external(cmd::counts::args))] cmd::counts::Args),
    /// Show what applying files would change
    #[bpaf(command)]
    Diff(#[bpaf(external(cmd::diff::args))] cmd::diff::Args),
    /// Take a failure domain out of service or bring it back
    #[bpaf(command)]
    Domain(#[bpaf(external(cmd::domain::args))] cmd::domain::Args),
    /// Show what was logged about one flow
    #[bpaf(command)]
    Explain(#[bpaf(external(cmd::explain::args))] cmd::explain::Args),
    /// Show who published which version
    #[bpaf(command)]
    History(#[bpaf(external(cmd::history::args))] cmd::history::Args),
    /// Let a control instance vote from a new data folder
    #[bpaf(command)]
    Replace(#[bpaf(external(cmd::replace::args))] cmd::replace::Args),
    /// Show the state of every process
    #[bpaf(command)]
    Status(#[bpaf(external(cmd::status::args))] cmd::status::Args),
    /// Show the targets that entries know
    #[bpaf(command)]
    Targets(#[bpaf(external(cmd::targets::args))] cmd::targets::Args),
    /// Show the events of all processes in causal order
    #[bpaf(command)]
    Timeline(#[bpaf(external(cmd::timeline::args))] cmd::timeline::Args),
}

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return explain(failure),
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
        Err(error) => report(&error),
    }
}

fn report(error: &CliError) -> ExitCode {
    eprintln!("comfreyhold: {} {error}", error.code().number());
    ExitCode::FAILURE
}

/// Help and completions go to standard output; wrong arguments get a number like any other refusal.
fn explain(failure: ParseFailure) -> ExitCode {
    if let ParseFailure::Stderr(message) = &failure {
        return report(&CliError::Argument(message.monochrome(true)));
    }
    failure.print_message(HELP_COLUMNS);
    ExitCode::SUCCESS
}
