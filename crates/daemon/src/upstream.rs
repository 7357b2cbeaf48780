//! HTTP client for connections to targets. Connecting and sending are separate steps: until sending begins,
//! the target can't have run the request.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Timeout for connecting to a target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limit of idle connections per target; further ones are closed.
const MAX_IDLE_PER_TARGET: usize = 4;

/// A failed exchange with a target.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No byte was written, so the target did not run the request.
    #[error("not sent: {0}")]
    NotWritten(String),
    /// At least one byte may have been written and no complete response arrived: the outcome is unknown.
    #[error("no complete response: {0}")]
    Written(String),
}

/// A connection to a target. Dropping it closes the connection, which cancels a running request.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the response's head.
    ///
    /// # Errors
    /// [`UpstreamError::Written`], since part of the request may have been sent.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<UnreadResponse, UpstreamError> {
        match self.sender.send_request(request).await {
            Ok(response) => Ok(UnreadResponse { response, connection: self }),
            Err(error) => Err(UpstreamError::Written(error.to_string())),
        }
    }
}

/// Response whose head was read and whose body was not.
pub struct UnreadResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// The connection, to be returned to the pool once the body was read to its end.
    pub connection: Connection,
}

/// Idle connections by target.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Connects to a target. A connection is reused only for idempotent requests: a target may close an
    /// idle connection just as a request is written to it, and the outcome of that request would be
    /// unknown.
    ///
    /// # Errors
    /// [`UpstreamError::NotWritten`] if the connection can't be established.
    pub async fn connect(
        &self,
        target: SocketAddr,
        may_reuse: bool,
    ) -> Result<Connection, UpstreamError> {
        let reused = if may_reuse { self.take_idle_connection(target) } else { None };
        match reused {
            Some(connection) => Ok(connection),
            None => connect(target).await,
        }
    }

    /// Puts a connection back into the pool. Its last response must have been read to its end.
    pub fn give_back(&self, target: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(target).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to targets for which `wanted` is false.
    pub fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|target, _| wanted(*target));
    }

    fn take_idle_connection(&self, target: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&target)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(target: SocketAddr) -> Result<Connection, UpstreamError> {
    let not_written = |error: String| UpstreamError::NotWritten(error);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target))
        .await
        .map_err(|_| not_written(format!("connect to {target} timed out")))?
        .map_err(|error| not_written(format!("connect to {target}: {error}")))?;
    stream.set_nodelay(true).map_err(|error| not_written(error.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_written(error.to_string()))?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to a target ended: {error}");
        }
    });
    Ok(Connection { sender, driver })
}

/// Whether a response is framed, so that its truncation can be detected.
#[must_use]
pub fn is_length_known(method: &hyper::Method, response: &Response<Incoming>) -> bool {
    let status = response.status().as_u16();
    let has_no_body = method == hyper::Method::HEAD || matches!(status, 100..=199 | 204 | 304);
    let headers = response.headers();
    has_no_body
        || headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
}

/// Reads body frames until the end or until at least `limit` bytes are read. Returns the bytes and whether
/// the body has ended.
///
/// # Errors
/// [`UpstreamError::Written`] if the body was truncated.
pub async fn read_up_to(body: &mut Incoming, limit: usize) -> Result<(Bytes, bool), UpstreamError> {
    let mut buf = bytes::BytesMut::new();
    while buf.len() < limit {
        match body.frame().await {
            None => return Ok((buf.freeze(), true)),
            Some(Err(error)) => return Err(UpstreamError::Written(error.to_string())),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buf.extend_from_slice(data);
                }
            }
        }
    }
    Ok((buf.freeze(), false))
}
