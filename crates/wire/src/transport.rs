//! The transport of one process: a thread that runs capnp-rpc, and a handle to send through it.

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

/// A delivery that isn't confirmed within this time closes its connection.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(750);

/// Most envelopes that wait for one peer; newer ones are dropped.
pub const PEER_QUEUE_LIMIT: usize = 16_384;

/// Receives the envelopes and faults of a transport. Called on the transport's thread.
pub trait Inbox: Send + Sync + 'static {
    /// Takes an envelope.
    fn deliver(&self, envelope: Envelope);

    /// A connection to this peer was found silent or broken and was closed.
    fn connection_closed(&self, peer: InstanceId, reason: &str);
}

/// What a transport needs to start.
pub struct TransportConfig {
    /// This process.
    pub local: InstanceId,
    /// Listening socket.
    pub listener: TcpListener,
    /// Addresses of the other processes.
    pub peers: BTreeMap<InstanceId, SocketAddr>,
}

/// A running transport. Dropping it stops the thread.
pub struct Transport {
    links: Arc<BTreeMap<InstanceId, mpsc::Sender<Envelope>>>,
    stats: Arc<TransportStats>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

/// Sends envelopes; cheap to clone.
#[derive(Clone)]
pub struct Sender {
    links: Arc<BTreeMap<InstanceId, mpsc::Sender<Envelope>>>,
}

impl Sender {
    /// Queues an envelope. Returns false when the peer is unknown or its queue is full.
    #[must_use]
    pub fn send(&self, envelope: Envelope) -> bool {
        self.links.get(&envelope.to).is_some_and(|link| link.try_send(envelope).is_ok())
    }
}

impl Transport {
    /// Starts the transport's thread.
    ///
    /// # Errors
    /// The listener can't be used, or the thread can't be started.
    pub fn start(cfg: TransportConfig, inbox: Arc<dyn Inbox>) -> std::io::Result<Self> {
        cfg.listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let stats = Arc::new(TransportStats::default());
        let (stop, stopped) = watch::channel(false);
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
            local_set.spawn_local(server::accept(cfg.listener, cfg.local, inbox, thread_stats));
            local_set.block_on(&runtime, wait_for_stop(stopped));
        })?;
        Ok(Self { links: Arc::new(links), stats, stop, thread: Some(thread) })
    }

    /// A handle to send with.
    #[must_use]
    pub fn sender(&self) -> Sender {
        Sender { links: Arc::clone(&self.links) }
    }

    /// Traffic counters.
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

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    // An error means that the transport was dropped, which also ends the wait.
    let _ = stopped.wait_for(|stop| *stop).await;
}
