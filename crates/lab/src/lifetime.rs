//! Start line and stop conditions of the processes that the tests and trials start.

use anyhow::{Context as _, Result};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Run limit of a process that is given none, so that it does not outlive a failed test for long.
pub const DEFAULT_RUN_LIMIT: Duration = Duration::from_secs(900);

/// The JSON line that a process prints to standard output once it accepts requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartLine {
    /// Name of the program or command.
    pub program: String,
    /// Process id.
    pub pid: u32,
    /// Bound addresses by purpose, such as `http` and `packets`.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl StartLine {
    /// The start line of this process.
    #[must_use]
    pub fn new(program: &str, addresses: &[(&str, SocketAddr)]) -> Self {
        let addresses = addresses.iter().map(|(name, addr)| ((*name).to_owned(), *addr)).collect();
        Self { program: program.to_owned(), pid: std::process::id(), addresses }
    }

    /// Prints the line to standard output.
    ///
    /// # Errors
    /// Standard output can't be written.
    pub fn print(&self) -> Result<()> {
        let line = serde_json::to_string(self)?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{line}")?;
        out.flush()?;
        Ok(())
    }

    /// Address that the process bound for a purpose.
    ///
    /// # Errors
    /// The process reports no such address.
    pub fn address(&self, purpose: &str) -> Result<SocketAddr> {
        let found = self.addresses.get(purpose).copied();
        found.with_context(|| format!("{} reports no {purpose} address", self.program))
    }
}

/// Reason for which a process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// SIGTERM or SIGINT was received.
    Signal,
    /// The run limit has passed.
    RunLimit,
    /// Standard input was closed, which happens when the parent ends.
    InputClosed,
}

/// Handlers of SIGTERM and SIGINT. A process installs them before its start line: until then, a signal ends it without an
/// orderly stop, and the program that has read the line may send one at once.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The handlers can't be installed.
    pub fn install() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal or the run limit. `watch_input` also waits for the end of standard input.
    pub async fn wait(mut self, limit: Duration, watch_input: bool) -> StopReason {
        tokio::select! {
            _ = self.terminate.recv() => StopReason::Signal,
            _ = self.interrupt.recv() => StopReason::Signal,
            () = wait_for_input_end(watch_input) => StopReason::InputClosed,
            () = tokio::time::sleep(limit) => StopReason::RunLimit,
        }
    }
}

async fn wait_for_input_end(watch: bool) {
    if !watch {
        return std::future::pending().await;
    }
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        let _ = tx.send(());
    });
    let _ = rx.await;
}
