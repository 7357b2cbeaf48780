//! Command line of `comfreyhold-lab`; each command has its own file.

mod demo;
mod emulate;
mod fabric;
mod load;
mod proxy;
mod scenario;
mod target;
mod up;

use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::lifetime::{DEFAULT_RUN_LIMIT, StopSignals};
use comfreyhold_lab::report::Report;
use std::process::ExitCode;
use std::time::Duration;

const CHECK_FAILED_STATUS: u8 = 2;

/// Test environment of the comfreyhold daemons
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Run a simulated target
    #[bpaf(command)]
    Target(#[bpaf(external(target::args))] target::Args),
    /// Run a packet fabric
    #[bpaf(command)]
    Fabric(#[bpaf(external(fabric::args))] fabric::Args),
    /// Run a fault-injecting proxy
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy::args))] proxy::Args),
    /// Generate load and report its outcomes
    #[bpaf(command)]
    Load(#[bpaf(external(load::args))] load::Args),
    /// Run a local deployment with daemons, fabric and targets
    #[bpaf(command)]
    Up(#[bpaf(external(up::args))] up::Args),
    /// Run a shipped deployment under load
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::args))] demo::Args),
    /// Compare placement schemes in virtual time
    #[bpaf(command)]
    Emulate(#[bpaf(external(emulate::args))] emulate::Args),
    /// Run a measured scenario on a shipped deployment
    #[bpaf(command)]
    Scenario(#[bpaf(external(scenario::args))] scenario::Args),
}

/// When a process stops without a signal.
#[derive(Clone, Debug, Bpaf)]
struct Lifetime {
    /// Stop after this time
    #[bpaf(argument("MS"))]
    run_limit_ms: Option<u64>,
    /// Stop when standard input is closed, which happens when the parent process ends
    until_input_closes: bool,
}

impl Lifetime {
    async fn wait(&self, signals: StopSignals) {
        let limit = self.run_limit_ms.map_or(DEFAULT_RUN_LIMIT, Duration::from_millis);
        let reason = signals.wait(limit, self.until_input_closes).await;
        log::info!("stopping: {reason:?}");
    }
}

/// Exit status of a command that checks a load; 2 means that a check failed.
fn exit_code(report: &Report) -> ExitCode {
    if report.checks.holds() { ExitCode::SUCCESS } else { ExitCode::from(CHECK_FAILED_STATUS) }
}

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let command = command().run();
    let result = start_logging().and_then(|()| dispatch(command));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(command: Command) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match command {
            Command::Target(args) => target::run(args).await,
            Command::Fabric(args) => fabric::run(args).await,
            Command::Proxy(args) => proxy::run(args).await,
            Command::Load(args) => load::run(args).await,
            Command::Up(args) => up::run(args).await,
            Command::Demo(args) => demo::run(args).await,
            Command::Emulate(args) => emulate::run(&args),
            Command::Scenario(args) => scenario::run(args).await,
        }
    })
}

fn start_logging() -> Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {}: {message}",
                comfreyhold_lab::wall_us(),
                record.level(),
                record.target()
            ));
        })
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
