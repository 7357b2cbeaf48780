//! HTTP calls to the deployment's daemons.

use crate::config::Deployment;
use crate::error::CliError;
use bytes::Bytes;
use comfreyhold_daemon::settings::{Member, Role};
use comfreyhold_types::api::ResultBody;
use comfreyhold_types::prelude::ResultCode;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time for one call. For each publication, the leader waits up to 3 s until it is accepted, and then up
/// to 4 s until it is in effect. If it isn't accepted in time, the leader reports that the outcome is pending.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// A complete HTTP response.
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
}

/// Sends one request to a daemon and reads the complete response.
///
/// # Errors
/// No connection, a broken connection, or `CALL_TIMEOUT` exceeded, as a message for operators.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<HttpResponse, String> {
    call_within(CALL_TIMEOUT, address, method, path, body).await
}

/// Like [`call`], with a time-out of its own.
///
/// # Errors
/// No connection, a broken connection, or the time-out exceeded, as a message for operators.
pub async fn call_within(
    timeout: Duration,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<HttpResponse, String> {
    let exchange = exchange(address, method, path, body);
    tokio::time::timeout(timeout, exchange).await.map_err(|_| "call timed out".to_owned())?
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<HttpResponse, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
    Ok(HttpResponse { status, body })
}

/// Calls the control daemons in turn until one responds as leader.
///
/// # Errors
/// No control daemon responded as leader, or the leader refused the request.
pub async fn call_leader(
    deployment: &Deployment,
    method: Method,
    path: &str,
    body: &str,
) -> Result<HttpResponse, CliError> {
    let mut reasons = Vec::new();
    for member in deployment.members_with_role(Role::Control) {
        match call(member.admin, method.clone(), path, body).await {
            Err(reason) => reasons.push(format!("{}: {reason}", member.name)),
            Ok(response) => match parse_refusal(&response) {
                Some(refusal) if refusal.code == ResultCode::NotLeader.number() => {
                    reasons.push(format!("{}: {}", member.name, refusal.message));
                }
                Some(refusal) => return Err(CliError::Refused(refusal)),
                None => return Ok(response),
            },
        }
    }
    Err(CliError::NoResponse { role: "leader".to_owned(), reasons: reasons.join("; ") })
}

/// Parses the JSON body of a response.
///
/// # Errors
/// The body isn't JSON of this type.
pub fn parse_body<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CliError> {
    Ok(serde_json::from_slice(&response.body)?)
}

/// Gets a path from each daemon. The result of one that doesn't respond is its error.
pub async fn get_from_each<T: DeserializeOwned>(
    members: impl Iterator<Item = &Member>,
    path: &str,
) -> Vec<(Member, Result<T, String>)> {
    let mut results = Vec::new();
    for member in members {
        let result = match call(member.admin, Method::GET, path, "").await {
            Ok(response) => {
                serde_json::from_slice(&response.body).map_err(|error| error.to_string())
            }
            Err(reason) => Err(reason),
        };
        results.push((member.clone(), result));
    }
    results
}

/// Runs a future to completion on a new single-threaded runtime.
///
/// # Errors
/// The runtime can't be started, or the future fails.
pub fn block_on<T>(future: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}

/// The error that a response carries. `None` if it is a success, or if its body isn't an error of a daemon.
fn parse_refusal(response: &HttpResponse) -> Option<ResultBody> {
    if response.status < 400 {
        return None;
    }
    serde_json::from_slice(&response.body).ok()
}
