//! Small HTTP/1.1 server and client on hyper that keep complete bodies in memory.

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A response of a server, with its complete body.
pub type Reply = Response<Full<Bytes>>;

/// Timeout of control requests to the daemons and the simulated parts.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Shorter than any response timeout, so that a failed connect is reported as [`Sent::NotWritten`] and
/// not as a lost response.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Further connections of a [`Client`] to the same address are closed after their response.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Serves requests until the future is dropped, which also ends the open connections.
pub async fn serve<F, Fut>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let (_running, stop) = watch::channel(false);
    serve_until(listener, handler, stop).await;
}

/// Serves requests until `stop` is true, and returns once the responses in flight are written.
pub async fn serve_until<F, Fut>(listener: TcpListener, handler: F, stop: watch::Receiver<bool>)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = wait_until_stopped(stop.clone()) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, handler.clone(), stop.clone()));
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn wait_until_stopped(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<F, Fut>(stream: TcpStream, handler: F, stop: watch::Receiver<bool>)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_until_stopped(stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("server connection failed: {error}");
    }
}

/// A response with a status and a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// A JSON response with status 200.
pub fn json<T: Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => text(StatusCode::OK, body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads a JSON request body. An empty body gives the default value.
///
/// # Errors
/// The body can't be read, or is not valid JSON for the type.
pub async fn read_json<T: DeserializeOwned + Default>(request: Request<Incoming>) -> Result<T> {
    let body = request.into_body().collect().await?.to_bytes();
    if body.is_empty() {
        return Ok(T::default());
    }
    Ok(serde_json::from_slice(&body)?)
}

/// Result of sending a request.
#[derive(Debug)]
pub enum Sent {
    /// A complete response arrived.
    Answered(Response<Bytes>),
    /// No connection could be opened; nothing was written.
    NotWritten(String),
    /// The request may have arrived, but no complete response did.
    Lost(String),
}

/// Client that reuses connections. A connection whose response was lost is closed.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

impl Client {
    /// Sends a request, and waits up to the limit for the complete response.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Sent {
        match tokio::time::timeout(limit, self.exchange(to, request)).await {
            Ok(sent) => sent,
            Err(_) => Sent::Lost("no response within the limit".to_owned()),
        }
    }

    async fn exchange(&self, to: SocketAddr, mut request: Request<Full<Bytes>>) -> Sent {
        // The server may have closed an idle connection; hyper then returns the unwritten request.
        while let Some(mut idle) = self.take_idle(to) {
            if idle.ready().await.is_err() {
                continue;
            }
            match self.exchange_on(to, idle, request).await {
                Ok(sent) => return sent,
                Err((unwritten, _)) => request = unwritten,
            }
        }
        let connection = match tokio::time::timeout(CONNECT_TIMEOUT, connect(to)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Sent::NotWritten(error.to_string()),
            Err(_) => return Sent::NotWritten("connect timed out".to_owned()),
        };
        match self.exchange_on(to, connection, request).await {
            Ok(sent) => sent,
            Err((_, error)) => Sent::NotWritten(error),
        }
    }

    /// Returns the request, with the reason, when nothing of it was written.
    async fn exchange_on(
        &self,
        to: SocketAddr,
        mut connection: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Sent, (Request<Full<Bytes>>, String)> {
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let reason = error.error().to_string();
                return match error.take_message() {
                    Some(unwritten) => Err((unwritten, reason)),
                    None => Ok(Sent::Lost(reason)),
                };
            }
        };
        let (parts, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => {
                self.store_idle(to, connection);
                Ok(Sent::Answered(Response::from_parts(parts, body.to_bytes())))
            }
            Err(error) => Ok(Sent::Lost(error.to_string())),
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        crate::lock(&self.idle).get_mut(&to)?.pop()
    }

    fn store_idle(&self, to: SocketAddr, connection: SendRequest<Full<Bytes>>) {
        let mut idle = crate::lock(&self.idle);
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS && !connection.is_closed() {
            connections.push(connection);
        }
    }
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("client connection failed: {error}");
        }
    });
    Ok(sender)
}

/// Builds a request with the address as its `Host` header.
///
/// # Errors
/// The path is not a valid request target.
pub fn request(
    method: Method,
    to: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>> {
    let builder = Request::builder().method(method).uri(path).header("host", to.to_string());
    Ok(builder.body(Full::new(body.into()))?)
}

/// Sends a control request on a new connection and returns the body of a successful response.
///
/// # Errors
/// No complete response arrived, or its status is not a success.
pub async fn call(method: Method, to: SocketAddr, path: &str, body: Vec<u8>) -> Result<Bytes> {
    let request = request(method, to, path, body)?;
    match Client::default().send(to, request, CONTROL_TIMEOUT).await {
        Sent::Answered(response) if response.status().is_success() => Ok(response.into_body()),
        Sent::Answered(response) => {
            let body = String::from_utf8_lossy(response.body()).into_owned();
            bail!("{to}{path}: {}: {body}", response.status())
        }
        Sent::NotWritten(error) | Sent::Lost(error) => bail!("{to}{path}: {error}"),
    }
}

/// Fetches a JSON document.
///
/// # Errors
/// As [`call`], or the document does not match the type.
pub async fn get_json<T: DeserializeOwned>(to: SocketAddr, path: &str) -> Result<T> {
    let body = call(Method::GET, to, path, Vec::new()).await?;
    serde_json::from_slice(&body)
        .with_context(|| format!("{to}{path}: document does not match its type"))
}

/// Fetches a document of JSON lines.
///
/// # Errors
/// As [`call`], or a line does not match the type.
pub async fn get_json_lines<T: DeserializeOwned>(to: SocketAddr, path: &str) -> Result<Vec<T>> {
    let body = call(Method::GET, to, path, Vec::new()).await?;
    let lines = serde_json::Deserializer::from_slice(&body).into_iter();
    lines
        .collect::<Result<_, _>>()
        .with_context(|| format!("{to}{path}: line does not match its type"))
}
