//! Requests and responses between processes that have no numbers: a client that replaces a connection
//! which went silent, and the server side.

use crate::envelope::{MAX_BODY_BYTES, PROTOCOL_VERSION};
use crate::error::WireError;
use crate::peer_capnp::exchange;
use crate::server::{accept_all, connect_stream};
use comfreyhold_types::prelude::ResultCode;
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// How long a caller waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Time in which a connection must be established, if there is none.
    pub connect: Duration,
    /// Time in which the response must arrive after that.
    pub response: Duration,
}

/// Answers the requests of other processes.
pub trait Responder: 'static {
    /// Answers one request. `topic` names the protocol of the body.
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>>;
}

struct Connection {
    client: exchange::Client,
    rpc: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc.abort();
    }
}

/// Calls one peer over one connection, which is opened when it is first needed.
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

    /// Sends a request and waits for the response. A call that fails closes the connection, since a
    /// connection that went silent can't be told from a slow one.
    ///
    /// # Errors
    /// No response in time, a broken connection, or a refusal by the peer.
    pub async fn call(
        &self,
        topic: u16,
        body: &[u8],
        timeouts: CallTimeouts,
    ) -> Result<Vec<u8>, WireError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(WireError::FrameTooLarge(body.len()));
        }
        let connection = self.connected(timeouts.connect).await?;
        let mut request = connection.client.call_request();
        request.get().set_version(PROTOCOL_VERSION);
        request.get().set_topic(topic);
        request.get().set_body(body);
        let result = tokio::time::timeout(timeouts.response, request.send().promise).await;
        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.broken(&connection, error.to_string())),
            Err(_) => return Err(self.broken(&connection, "no response in time".to_owned())),
        };
        let reader = response.get()?;
        match reader.get_code() {
            0 => Ok(reader.get_body()?.to_vec()),
            code => Err(WireError::Refused(code)),
        }
    }

    fn broken(&self, connection: &Rc<Connection>, reason: String) -> WireError {
        let mut current = self.connection.borrow_mut();
        if current.as_ref().is_some_and(|now| Rc::ptr_eq(now, connection)) {
            *current = None;
        }
        WireError::Disconnected(reason)
    }

    async fn connected(&self, deadline: Duration) -> Result<Rc<Connection>, WireError> {
        let open = self.connection.borrow().clone();
        if let Some(connection) = open.filter(|connection| !connection.rpc.is_finished()) {
            return Ok(connection);
        }
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(deadline, connecting)
            .await
            .map_err(|_| WireError::Disconnected("connect timed out".to_owned()))?
            .map_err(|error| WireError::Disconnected(error.to_string()))?;
        let (client, system) = connect_stream::<exchange::Client>(stream)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("connection ended: {error}");
            }
        });
        let connection = Rc::new(Connection { client, rpc: task.abort_handle() });
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

/// Accepts connections and answers their requests until the task is dropped. Runs on a `LocalSet`.
pub async fn serve<R: Responder>(listener: TcpListener, responder: Rc<R>) {
    let client: exchange::Client = capnp_rpc::new_client(ExchangeServer(responder));
    accept_all(listener, &client.client).await;
}
