//! The HTTP client towards targets. Connecting and sending are separate steps: until the second begins,
//! the request was provably not run.

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

/// Longest time to connect to a target.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// Most idle connections kept per target.
const IDLE_PER_TARGET: usize = 4;

/// A failed exchange with a target.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No byte was written: the request was not run.
    #[error("not sent: {0}")]
    NotWritten(String),
    /// At least one byte was written and no whole response came: the outcome is unknown.
    #[error("no whole response: {0}")]
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
    /// The request may have been written.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Exchange, UpstreamError> {
        match self.sender.send_request(request).await {
            Ok(response) => Ok(Exchange { response, connection: self }),
            Err(error) => Err(UpstreamError::Written(error.to_string())),
        }
    }
}

/// A response whose body is still to be read from the connection.
pub struct Exchange {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// The connection, to be given back to the pool after the whole body was read.
    pub connection: Connection,
}

/// Idle connections by target.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Connects to a target. A connection is reused only for idempotent requests: a target may close an
    /// idle connection just as a request is written to it, and the outcome of that request would be
    /// unknown.
    ///
    /// # Errors
    /// The target can't be connected to; nothing was written.
    pub async fn connect(
        &self,
        target: SocketAddr,
        may_reuse: bool,
    ) -> Result<Connection, UpstreamError> {
        let reused = if may_reuse { self.take_idle(target) } else { None };
        match reused {
            Some(connection) => Ok(connection),
            None => connect(target).await,
        }
    }

    /// Takes back a connection whose last response was read whole.
    pub fn give_back(&self, target: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(target).or_default();
        if kept.len() < IDLE_PER_TARGET {
            kept.push(connection);
        }
    }

    /// Closes the idle connections to targets that are not wanted any more.
    pub fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|target, _| wanted(*target));
    }

    fn take_idle(&self, target: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&target)?;
        while let Some(connection) = kept.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(target: SocketAddr) -> Result<Connection, UpstreamError> {
    let not_written = |error: String| UpstreamError::NotWritten(error);
    let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(target))
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

/// Whether a response tells its own length, so that a truncated one is noticed.
#[must_use]
pub fn length_is_known(method: &hyper::Method, response: &Response<Incoming>) -> bool {
    let status = response.status().as_u16();
    let has_no_body = method == hyper::Method::HEAD || matches!(status, 100..=199 | 204 | 304);
    let headers = response.headers();
    has_no_body
        || headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
}

/// Reads body frames until the end or until `limit` bytes are held. Returns the bytes and whether the
/// body ended.
///
/// # Errors
/// The body was cut short.
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
