//! Server side of connections: accepts them and delivers received envelopes to the inbox. Also sets up RPC
//! clients.

use crate::envelope::{Envelope, MAX_BODY_BYTES};
use crate::peer_capnp::peer;
use crate::progress::{ByteCount, CountedStream};
use crate::stats::TransportStats;
use crate::transport::Inbox;
use capnp::capability::FromClientHook;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use comfreyhold_types::prelude::InstanceId;
use futures_util::AsyncReadExt;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Maximum size of a received frame, in 8-byte words: four message bodies of maximum size.
const MAX_FRAME_WORDS: usize = 4 * MAX_BODY_BYTES / 8;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Limits for reading frames of other processes.
pub fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_FRAME_WORDS));
    options.nesting_limit(16);
    options
}

struct PeerServer {
    local: InstanceId,
    inbox: Arc<dyn Inbox>,
    stats: Arc<TransportStats>,
}

impl PeerServer {
    /// Delivers the valid envelopes of a batch. Returns 0, or the code of the last refused envelope.
    fn deliver_batch(&self, params: &peer::DeliverParams) -> capnp::Result<u16> {
        let mut code = 0;
        for reader in params.get()?.get_envelopes()? {
            match Envelope::read(reader, self.local) {
                Ok(envelope) => {
                    self.stats.count_received(envelope.topic, envelope.body.len());
                    self.inbox.deliver(envelope);
                }
                Err(error) => {
                    log::warn!("refused an envelope from a peer: {error}");
                    code = error.code().number();
                }
            }
        }
        Ok(code)
    }
}

impl peer::Server for PeerServer {
    async fn deliver(
        self: capnp::capability::Rc<Self>,
        params: peer::DeliverParams,
        mut results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let code = self.deliver_batch(&params)?;
        results.get().set_code(code);
        Ok(())
    }
}

/// Accepts connections of peers and delivers their envelopes, until the future is dropped.
pub async fn accept_peers(
    listener: TcpListener,
    local: InstanceId,
    inbox: Arc<dyn Inbox>,
    stats: Arc<TransportStats>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("can't listen for peers: {error}");
            return;
        }
    };
    let server = PeerServer { local, inbox, stats };
    let client: peer::Client = capnp_rpc::new_client(server);
    accept_connections(listener, &client.client).await;
}

/// Accepts connections and serves each with the same capability, until the future is dropped.
pub async fn accept_connections(
    listener: tokio::net::TcpListener,
    client: &capnp::capability::Client,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_stream(stream, client.clone()),
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Spawns a task that serves one connection until it ends.
fn serve_stream(stream: TcpStream, client: capnp::capability::Client) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY: {error}");
    }
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Server,
        reader_options(),
    );
    let rpc_system = RpcSystem::new(Box::new(network), Some(client));
    tokio::task::spawn_local(async move {
        if let Err(error) = rpc_system.await {
            log::debug!("peer connection ended with an error: {error}");
        }
    });
}

/// Creates an RPC client on a connection whose received bytes are counted. The returned system must be polled while the
/// client is used.
///
/// # Errors
/// `TCP_NODELAY` can't be set.
pub fn new_rpc_client<C: FromClientHook>(
    stream: TcpStream,
    received: ByteCount,
) -> std::io::Result<(C, RpcSystem<rpc_twoparty_capnp::Side>)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = CountedStream::new(stream.compat(), received).split();
    let side = rpc_twoparty_capnp::Side::Client;
    let network = twoparty::VatNetwork::new(reader, writer, side, reader_options());
    let mut rpc_system = RpcSystem::new(Box::new(network), None);
    let client = rpc_system.bootstrap(rpc_twoparty_capnp::Side::Server);
    Ok((client, rpc_system))
}
