//! Startup and shutdown of a daemon: sockets, the transport, the timer thread and signals.

use crate::context::Context;
use crate::settings::Settings;
use crate::traffic::TrafficMetrics;
use anyhow::Context as _;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::transport::{Inbox, Transport, TransportConfig};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Pause of the timer thread between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Binds a TCP listener.
///
/// # Errors
/// The address can't be bound; the error names it.
pub fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("can't listen on {address}"))
}

/// Converts a listener for use by the HTTP server.
///
/// # Errors
/// The socket can't be switched to non-blocking mode.
pub fn into_tokio(listener: TcpListener) -> anyhow::Result<tokio::net::TcpListener> {
    listener.set_nonblocking(true)?;
    Ok(tokio::net::TcpListener::from_std(listener)?)
}

/// Starts the transport and connects the context to it.
///
/// # Errors
/// The peer address can't be bound, or the transport's thread can't be started.
pub fn start_transport(cx: &Context, inbox: Arc<dyn Inbox>) -> anyhow::Result<Transport> {
    let peers = peer_addresses(&cx.settings);
    let listener = bind(cx.member.peer)?;
    let cfg = TransportConfig { local: cx.instance(), listener, peers };
    let transport = Transport::start(cfg, inbox)?;
    cx.connect(transport.sender());
    Ok(transport)
}

fn peer_addresses(settings: &Settings) -> std::collections::BTreeMap<InstanceId, SocketAddr> {
    settings.members.iter().map(|member| (member.instance, member.peer)).collect()
}

/// Starts the timer thread, which calls `tick`, and `export` each time after the traffic metrics are exported.
///
/// # Errors
/// The thread can't be started.
pub fn start_ticker(
    cx: &Context,
    transport: &Transport,
    mut tick: impl FnMut() + Send + 'static,
    mut export: impl FnMut() + Send + 'static,
) -> std::io::Result<Ticker> {
    let mut traffic = TrafficMetrics::new(transport.stats(), cx.now());
    Ticker::start(move || {
        tick();
        if traffic.export_if_due(Instant::now()) {
            export();
        }
    })
}

/// Builds the tokio runtime of the HTTP servers.
///
/// # Errors
/// Its threads can't be started.
pub fn build_http_runtime(threads: usize) -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}

/// A thread that calls a function at a fixed short interval until the ticker is dropped.
pub struct Ticker {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Ticker {
    /// Starts the thread, which calls `tick`.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(mut tick: impl FnMut() + Send + 'static) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let thread = std::thread::Builder::new().name("ticker".to_owned()).spawn(move || {
            while !stop_requested.load(Ordering::Acquire) {
                tick();
                std::thread::sleep(TICK_INTERVAL);
            }
        })?;
        Ok(Self { stop, thread: Some(thread) })
    }
}

impl Drop for Ticker {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Handlers of SIGTERM and SIGINT. A daemon installs them before it accepts connections and prints its start line: until
/// then a signal ends it in the middle of its work, and the program that started it may send one at once.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Must run in a tokio runtime.
    ///
    /// # Errors
    /// The handlers can't be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal, or until this process is superseded by a later one.
    pub async fn wait(mut self, cx: &Context) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            () = cx.wait_superseded() => {}
        }
    }
}

/// Prints a line of JSON that reports the process's listening addresses to the program that started it.
pub fn print_started(cx: &Context, addresses: &[(&str, SocketAddr)]) {
    let addresses: std::collections::BTreeMap<_, _> = addresses.iter().copied().collect();
    let line = serde_json::json!({
        "program": cx.member.name,
        "pid": std::process::id(),
        "addresses": addresses,
    });
    println!("{line}");
}
