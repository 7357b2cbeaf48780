//! Requests and responses between processes that have no instance numbers: a client, which replaces an
//! unresponsive connection, and a server.

use crate::envelope::{MAX_BODY_BYTES, PROTOCOL_VERSION};
use crate::error::WireError;
use crate::peer_capnp::exchange;
use crate::progress::{ByteCount, wait_while_receiving};
use crate::server::{accept_connections, new_rpc_client};
use comfreyhold_types::prelude::ResultCode;
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Timeouts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Time in which a connection must be established if none is open.
    pub connect: Duration,
    /// Time in which the response must arrive once the connection is open. While the connection receives bytes at
    /// [`MIN_TRANSFER_BYTES_PER_S`](crate::progress::MIN_TRANSFER_BYTES_PER_S) or more, it begins anew when it is over.
    pub response: Duration,
}

/// Handles the requests of other processes.
pub trait Responder: 'static {
    /// Handles one request and returns the response, or the reason why there is none. `topic` determines the
    /// encoding of both bodies.
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>>;
}

/// An open connection; dropping it ends its RPC task.
struct Connection {
    client: exchange::Client,
    received: ByteCount,
    rpc_task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Client for one peer. It uses a single connection, which the first call opens.
pub struct ExchangeClient {
    address: SocketAddr,
    connection: RefCell<Option<Rc<Connection>>>,
}

impl ExchangeClient {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: RefCell::new(None) }
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response. A call without a response closes the connection, unless the connection
    /// still receives bytes: a large response takes long over a slow link.
    ///
    /// # Errors
    /// The body is too large, the connection can't be opened or broke, the response timed out, or the peer
    /// refused the request.
    pub async fn call(
        &self,
        topic: u16,
        body: &[u8],
        timeouts: CallTimeouts,
    ) -> Result<Vec<u8>, WireError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(WireError::FrameTooLarge(body.len()));
        }
        let connection = self.get_or_connect(timeouts.connect).await?;
        let mut request = connection.client.call_request();
        request.get().set_version(PROTOCOL_VERSION);
        request.get().set_topic(topic);
        request.get().set_body(body);
        let promise = request.send().promise;
        let response =
            match wait_while_receiving(&connection.received, timeouts.response, promise).await {
                Some(Ok(response)) => response,
                Some(Err(error)) => return Err(self.disconnect(&connection, error.to_string())),
                None => return Err(self.disconnect(&connection, "response timed out".to_owned())),
            };
        let reader = response.get()?;
        match reader.get_code() {
            0 => Ok(reader.get_body()?.to_vec()),
            code => Err(WireError::Refused(code)),
        }
    }

    /// Closes a connection that failed, unless another call has replaced it already.
    fn disconnect(&self, connection: &Rc<Connection>, reason: String) -> WireError {
        let mut current = self.connection.borrow_mut();
        if current.as_ref().is_some_and(|open| Rc::ptr_eq(open, connection)) {
            *current = None;
        }
        WireError::Disconnected(reason)
    }

    async fn get_or_connect(&self, timeout: Duration) -> Result<Rc<Connection>, WireError> {
        let open = self.connection.borrow().clone();
        if let Some(connection) = open.filter(|connection| !connection.rpc_task.is_finished()) {
            return Ok(connection);
        }
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| WireError::Disconnected("connect timed out".to_owned()))?
            .map_err(|error| WireError::Disconnected(error.to_string()))?;
        let received = ByteCount::default();
        let (client, rpc_system) = new_rpc_client::<exchange::Client>(stream, received.clone())?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = rpc_system.await {
                log::debug!("connection ended with an error: {error}");
            }
        });
        let connection = Rc::new(Connection { client, received, rpc_task: task.abort_handle() });
        *self.connection.borrow_mut() = Some(Rc::clone(&connection));
        Ok(connection)
    }
}

struct ExchangeServer<R>(Rc<R>);

impl<R: Responder> exchange::Server for ExchangeServer<R> {
    async fn call(
        self: capnp::capability::Rc<Self>,
        params: exchange::CallParams,
        mut results: exchange::CallResults,
    ) -> Result<(), capnp::Error> {
        let (topic, body) = {
            let reader = params.get()?;
            if reader.get_version() != PROTOCOL_VERSION {
                results.get().set_code(ResultCode::BadVersion.number());
                return Ok(());
            }
            (reader.get_topic(), reader.get_body()?.to_vec())
        };
        match Rc::clone(&self.0).respond(topic, body).await {
            Ok(body) => results.get().set_body(&body),
            Err(code) => results.get().set_code(code.number()),
        }
        Ok(())
    }
}

/// Accepts connections and handles their requests until the future is dropped. Must run on a `LocalSet`.
pub async fn serve<R: Responder>(listener: TcpListener, responder: Rc<R>) {
    let client: exchange::Client = capnp_rpc::new_client(ExchangeServer(responder));
    accept_connections(listener, &client.client).await;
}
