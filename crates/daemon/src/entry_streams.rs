//! Relays TCP connections to a service's targets, for networks that keep a connection on one instance.
//! Each direction closes separately (half-close).

use crate::context::lock;
use crate::entry::Entry;
use crate::settings::StreamListener;
use anyhow::Context as _;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of targets tried for one connection. Nothing was sent to a target when the next one is tried.
const MAX_TARGETS_TRIED: usize = 3;

/// Interval at which a relayed connection checks whether its target may still be used.
const TARGET_POLL: Duration = Duration::from_millis(200);

/// Backoff after a failed accept, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Size of the copy buffer of each direction, in bytes.
const COPY_BUFFER: usize = 16 * 1024;

/// Listener whose connections are relayed to the targets of one service.
pub struct StreamRelay {
    entry: Arc<Entry>,
    service: String,
    /// Number of relayed connections by target.
    open: Mutex<BTreeMap<SocketAddr, usize>>,
}

/// Counts one connection to a target until it is dropped.
struct OpenStream {
    relay: Arc<StreamRelay>,
    target: SocketAddr,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let mut open = lock(&self.relay.open);
        if let Some(count) = open.get_mut(&self.target) {
            *count -= 1;
        }
        open.retain(|_, count| *count > 0);
    }
}

impl StreamRelay {
    /// Binds a listener and relays its connections; accepts new ones until `stop` becomes true.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(
        entry: Arc<Entry>,
        cfg: &StreamListener,
        stop: watch::Receiver<bool>,
    ) -> anyhow::Result<()> {
        let listener = TcpListener::bind(cfg.listen)
            .await
            .with_context(|| format!("can't relay streams on {}", cfg.listen))?;
        let open = Mutex::default();
        let relay = Arc::new(Self { entry, service: cfg.service.clone(), open });
        tokio::spawn(relay.accept_connections(listener, stop));
        Ok(())
    }

    async fn accept_connections(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            match accepted {
                Ok((caller, _)) => {
                    tokio::spawn(Arc::clone(&self).relay_connection(caller));
                }
                Err(error) => {
                    log::warn!("can't accept a stream: {error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn relay_connection(self: Arc<Self>, mut caller: TcpStream) {
        let Some((target, mut stream)) = self.connect_target().await else {
            metrics::counter!("comfreyhold_streams_total", "outcome" => "no-target").increment(1);
            reset_on_drop(&caller);
            return;
        };
        *lock(&self.open).entry(target).or_default() += 1;
        let _open = OpenStream { relay: Arc::clone(&self), target };
        let copied = tokio::select! {
            copied = copy_both(&mut caller, &mut stream) => copied,
            () = self.wait_target_withdrawn(target) => Err(std::io::ErrorKind::ConnectionReset.into()),
        };
        let outcome = if copied.is_ok() { "closed" } else { "reset" };
        metrics::counter!("comfreyhold_streams_total", "outcome" => outcome).increment(1);
        if copied.is_err() {
            // A reset lets both endpoints distinguish a broken connection from one that was closed.
            reset_on_drop(&caller);
            reset_on_drop(&stream);
        }
    }

    async fn connect_target(&self) -> Option<(SocketAddr, TcpStream)> {
        let mut tried = Vec::new();
        while tried.len() < MAX_TARGETS_TRIED {
            let target = self.choose_target(&tried)?;
            let connecting = TcpStream::connect(target);
            match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(stream)) => return Some((target, stream)),
                Ok(Err(error)) => log::debug!("can't connect a stream to {target}: {error}"),
                Err(_) => log::debug!("can't connect a stream to {target}: timed out"),
            }
            tried.push(target);
        }
        None
    }

    /// Chooses the serving target with the fewest connections relayed by this listener per slot.
    fn choose_target(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let view = self.entry.view();
        let open = lock(&self.open);
        let usable = view.usable_targets().filter(|target| {
            target.service == self.service
                && target.state == TargetState::Serving
                && self.entry.may_use_domain(target.domain)
                && !tried.contains(&target.address)
        });
        let load = |target: &&TargetRecord| {
            let connections = open.get(&target.address).copied().unwrap_or(0);
            (connections * 1_000 / usize::from(target.slots.max(1)), target.address)
        };
        usable.min_by_key(load).map(|target| target.address)
    }

    /// Waits until the target is removed or its failure domain may not be used.
    async fn wait_target_withdrawn(&self, target: SocketAddr) {
        loop {
            tokio::time::sleep(TARGET_POLL).await;
            let view = self.entry.view();
            let record = view.usable_targets().find(|known| known.address == target);
            if record.is_none_or(|record| !self.entry.may_use_domain(record.domain)) {
                return;
            }
        }
    }
}

/// Copies both directions until both have closed or one has failed.
async fn copy_both(caller: &mut TcpStream, target: &mut TcpStream) -> std::io::Result<()> {
    let (from_caller, to_caller) = caller.split();
    let (from_target, to_target) = target.split();
    tokio::try_join!(
        copy_direction(from_caller, to_target),
        copy_direction(from_target, to_caller)
    )?;
    Ok(())
}

/// Copies one direction until it closes, then closes the receiver's side.
async fn copy_direction(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> std::io::Result<()> {
    let mut buf = vec![0; COPY_BUFFER];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..len]).await?;
    }
}

/// Makes the connection close with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("can't set SO_LINGER: {error}");
    }
}
