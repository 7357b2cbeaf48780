//! HTTP calls to the deployment's processes.

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

/// Longest time for one call. Publications answer within 4 s or say that the outcome is pending.
const CALL_LIMIT: Duration = Duration::from_secs(8);

/// A response.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Calls one process.
///
/// # Errors
/// The reason, for people.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Reply, String> {
    let exchange = exchange(address, method, path, body);
    tokio::time::timeout(CALL_LIMIT, exchange).await.map_err(|_| "no answer in time".to_owned())?
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Reply, String> {
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
    Ok(Reply { status, body })
}

/// Asks control daemons in turn until one answers as leader.
///
/// # Errors
/// None answered, or the leader refused.
pub async fn ask_leader(
    deployment: &Deployment,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Reply, CliError> {
    let mut reasons = Vec::new();
    for member in deployment.with_role(Role::Control) {
        match call(member.admin, method.clone(), path, body).await {
            Err(reason) => reasons.push(format!("{}: {reason}", member.name)),
            Ok(reply) => match refusal(&reply) {
                Some(refused) if refused.code == ResultCode::NotLeader.number() => {
                    reasons.push(format!("{}: {}", member.name, refused.message));
                }
                Some(refused) => return Err(CliError::Refused(refused)),
                None => return Ok(reply),
            },
        }
    }
    Err(CliError::NoAnswer { role: "leader".to_owned(), reasons: reasons.join("; ") })
}

/// Reads a JSON body.
///
/// # Errors
/// The body isn't of this type.
pub fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, CliError> {
    Ok(serde_json::from_slice(&reply.body)?)
}

/// Asks each process of the list and keeps going when one doesn't answer.
pub async fn ask_each<T: DeserializeOwned>(
    members: impl Iterator<Item = &Member>,
    path: &str,
) -> Vec<(Member, Result<T, String>)> {
    let mut answers = Vec::new();
    for member in members {
        let answer = match call(member.admin, Method::GET, path, "").await {
            Ok(reply) => serde_json::from_slice(&reply.body).map_err(|error| error.to_string()),
            Err(reason) => Err(reason),
        };
        answers.push((member.clone(), answer));
    }
    answers
}

/// Runs a command's future.
///
/// # Errors
/// The runtime can't start, or the command fails.
pub fn block_on<T>(task: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(task)
}

fn refusal(reply: &Reply) -> Option<ResultBody> {
    if reply.status < 400 {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
