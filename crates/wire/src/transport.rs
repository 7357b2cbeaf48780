//! Transport of one process: a thread that runs capnp-rpc, and handles for sending through it.

use crate::envelope::Envelope;
use crate::peer_link::PeerLink;
use crate::server;
use crate::stats::TransportStats;
use comfreyhold_types::prelude::InstanceId;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Timeout for the confirmation of a delivery, after which its connection is closed, and for connecting.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(750);

/// Maximum number of envelopes that wait for one peer; further ones are dropped.
pub const PEER_QUEUE_LIMIT: usize = 16_384;

/// Receives the envelopes and connection faults of a transport. Its methods run on the transport's thread.
pub trait Inbox: Send + Sync + 'static {
    /// Handles a received envelope.
    fn deliver(&self, envelope: Envelope);

    /// Reports that a connection to this peer was unresponsive or broken and was closed.
    fn connection_closed(&self, peer: InstanceId, reason: &str);
}

/// Configuration of a transport.
pub struct TransportConfig {
    /// Number of the local instance.
    pub local: InstanceId,
    /// Listening socket for connections of peers.
    pub listener: TcpListener,
    /// Addresses of the peers; an entry for the local instance is ignored.
    pub peers: BTreeMap<InstanceId, SocketAddr>,
}

/// A running transport. Dropping it stops its thread and waits for it to end.
pub struct Transport {
    links: Arc<BTreeMap<InstanceId, mpsc::Sender<Envelope>>>,
    stats: Arc<TransportStats>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

/// Handle for sending envelopes; cheap to clone.
#[derive(Clone)]
pub struct Sender {
    links: Arc<BTreeMap<InstanceId, mpsc::Sender<Envelope>>>,
}

impl Sender {
    /// Queues an envelope. Returns false if the peer is unknown or its queue is full, which drops the
    /// envelope.
    #[must_use]
    pub fn send(&self, envelope: Envelope) -> bool {
        self.links.get(&envelope.to).is_some_and(|link| link.try_send(envelope).is_ok())
    }
}

impl Transport {
    /// Starts the transport's thread.
    ///
    /// # Errors
    /// The listener can't be made non-blocking, or the runtime or the thread can't be started.
    pub fn start(cfg: TransportConfig, inbox: Arc<dyn Inbox>) -> std::io::Result<Self> {
        cfg.listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let stats = Arc::new(TransportStats::default());
        let (stop, stop_signal) = watch::channel(false);
        let mut links = BTreeMap::new();
        let mut queues = Vec::new();
        for (&peer, &address) in cfg.peers.iter().filter(|(peer, _)| **peer != cfg.local) {
            let (tx, rx) = mpsc::channel(PEER_QUEUE_LIMIT);
            links.insert(peer, tx);
            queues.push((peer, address, rx));
        }
        let thread_stats = Arc::clone(&stats);
        let thread = std::thread::Builder::new().name("transport".to_owned()).spawn(move || {
            let local_set = tokio::task::LocalSet::new();
            for (peer, address, rx) in queues {
                let link =
                    PeerLink::new(peer, address, Arc::clone(&inbox), Arc::clone(&thread_stats));
                local_set.spawn_local(link.run(rx));
            }
            local_set.spawn_local(server::accept_peers(
                cfg.listener,
                cfg.local,
                inbox,
                thread_stats,
            ));
            local_set.block_on(&runtime, wait_for_stop(stop_signal));
        })?;
        Ok(Self { links: Arc::new(links), stats, stop, thread: Some(thread) })
    }

    /// Returns a handle for sending.
    #[must_use]
    pub fn sender(&self) -> Sender {
        Sender { links: Arc::clone(&self.links) }
    }

    /// Returns the traffic counters, which the running transport updates.
    #[must_use]
    pub fn stats(&self) -> Arc<TransportStats> {
        Arc::clone(&self.stats)
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn wait_for_stop(mut stop_signal: watch::Receiver<bool>) {
    // An error means that the transport was dropped, which is a stop too.
    let _ = stop_signal.wait_for(|stop| *stop).await;
}
