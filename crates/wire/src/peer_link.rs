//! Sends envelopes to one peer in batches, and replaces unresponsive connections.

use crate::envelope::Envelope;
use crate::peer_capnp::peer;
use crate::progress::ByteCount;
use crate::server::new_rpc_client;
use crate::stats::TransportStats;
use crate::transport::{DELIVERY_TIMEOUT, Inbox};
use comfreyhold_types::prelude::InstanceId;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;

/// Body bytes at which a batch is full. The envelope that reaches the limit is still included.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Maximum number of unconfirmed batches. Further envelopes wait in the queue of the peer.
const MAX_BATCHES_IN_FLIGHT: usize = 64;

/// Pause after a failed connection attempt, so that an instance that is down isn't flooded with attempts.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An open connection; dropping it ends its RPC task. `broken` is set when a delivery fails or the task ends.
struct Connection {
    client: Rc<peer::Client>,
    broken: Rc<Cell<bool>>,
    rpc_task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Sends the envelopes for one peer over one connection at a time.
pub struct PeerLink {
    peer: InstanceId,
    address: SocketAddr,
    inbox: Arc<dyn Inbox>,
    stats: Arc<TransportStats>,
    connection: Option<Connection>,
}

impl PeerLink {
    /// Creates a link that connects when it sends its first envelope.
    pub fn new(
        peer: InstanceId,
        address: SocketAddr,
        inbox: Arc<dyn Inbox>,
        stats: Arc<TransportStats>,
    ) -> Self {
        Self { peer, address, inbox, stats, connection: None }
    }

    /// Sends the envelopes of the queue until the queue is closed.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Envelope>) {
        let in_flight = Arc::new(Semaphore::new(MAX_BATCHES_IN_FLIGHT));
        while let Some(first) = queue.recv().await {
            let batch = fill_batch(first, &mut queue);
            let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
            let Some((client, broken)) = self.get_or_connect().await else { continue };
            self.count_sent(&batch);
            let inbox = Arc::clone(&self.inbox);
            let peer = self.peer;
            tokio::task::spawn_local(async move {
                let result = deliver_batch(&client, &batch).await;
                drop(permit);
                if let Err(reason) = result
                    && !broken.replace(true)
                {
                    inbox.connection_closed(peer, &reason);
                }
            });
        }
    }

    /// Returns the open connection, or a new one if there is none or it is broken. `None` if the attempt to
    /// connect fails; the batch is then lost, which the protocol allows.
    async fn get_or_connect(&mut self) -> Option<(Rc<peer::Client>, Rc<Cell<bool>>)> {
        if self.connection.as_ref().is_some_and(|connection| connection.broken.get()) {
            self.connection = None;
        }
        if self.connection.is_none() {
            match connect(self.address).await {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => {
                    log::debug!("connection to {} at {} failed: {error}", self.peer, self.address);
                    tokio::time::sleep(CONNECT_RETRY_INTERVAL).await;
                }
            }
        }
        let connection = self.connection.as_ref()?;
        Some((Rc::clone(&connection.client), Rc::clone(&connection.broken)))
    }

    fn count_sent(&self, batch: &[Envelope]) {
        for envelope in batch {
            self.stats.count_sent(envelope.topic, envelope.body.len());
        }
    }
}

fn fill_batch(first: Envelope, queue: &mut mpsc::Receiver<Envelope>) -> Vec<Envelope> {
    let mut bytes = first.body.len();
    let mut batch = vec![first];
    while bytes < MAX_BATCH_BYTES {
        let Ok(next) = queue.try_recv() else { break };
        bytes += next.body.len();
        batch.push(next);
    }
    batch
}

async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let connecting = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(DELIVERY_TIMEOUT, connecting)
        .await
        .map_err(|_| "connect timed out".to_owned())?
        .map_err(|error| error.to_string())?;
    let (client, rpc_system) = new_rpc_client::<peer::Client>(stream, ByteCount::default())
        .map_err(|error| error.to_string())?;
    let broken = Rc::new(Cell::new(false));
    let broken_flag = Rc::clone(&broken);
    let task = tokio::task::spawn_local(async move {
        let _ = rpc_system.await;
        broken_flag.set(true);
    });
    Ok(Connection { client: Rc::new(client), broken, rpc_task: task.abort_handle() })
}

async fn deliver_batch(client: &peer::Client, batch: &[Envelope]) -> Result<(), String> {
    let mut request = client.deliver_request();
    let count = u32::try_from(batch.len()).map_err(|error| error.to_string())?;
    let mut list = request.get().init_envelopes(count);
    for (index, envelope) in (0..count).zip(batch) {
        envelope.write(list.reborrow().get(index));
    }
    let response = tokio::time::timeout(DELIVERY_TIMEOUT, request.send().promise)
        .await
        .map_err(|_| "delivery not confirmed in time".to_owned())?
        .map_err(|error| error.to_string())?;
    let code = response.get().map_err(|error| error.to_string())?.get_code();
    if code != 0 {
        log::warn!("the peer refused an envelope with code {code}");
    }
    Ok(())
}
