//! One attempt of a request at a target: connects, claims the key, writes the request, reads the response.

use crate::entry::Entry;
use crate::entry_requests::TaskCommand;
use crate::upstream::{self, Connection, UnreadResponse, UpstreamError};
use bytes::Bytes;
use comfreyhold_request::attempt::{EXECUTED_HEADER, TargetRefusal};
use comfreyhold_request::client::Event;
use comfreyhold_request::key_client::KeyDecision;
use comfreyhold_request::keys::{ContentDigest, KeyName, KeyOutcome};
use comfreyhold_request::message::{AttemptId, RequestId};
use comfreyhold_types::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Header with the time until a request's deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header with a request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Responses up to this size, in bytes, are read completely before the first byte goes to the caller, so
/// that a truncated one can still be reported with its result code.
pub const MAX_BUFFERED_RESPONSE: usize = 1024 * 1024;

/// A 504 that arrives within this time of the request's deadline means that the target stopped at the
/// deadline. Covers the rounding of the timeout passed to the target, and the network delay.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

/// A caller's request with its complete body.
pub struct CallerRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the request expires.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key; `None` for idempotent requests and those without one.
    pub key: Option<String>,
    /// Time for which the key's record is kept.
    pub retention: Duration,
}

/// Result of an attempt.
pub enum AttemptResult {
    /// A response that was read completely, or up to [`MAX_BUFFERED_RESPONSE`].
    Response(Box<TargetResponse>),
    /// The recorded outcome of an earlier attempt with the same key.
    Replay(KeyOutcome),
    /// No response; the client core decides on a retry.
    Ended,
}

/// A target's response, with at least the first part of its body.
pub struct TargetResponse {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    /// The part of the body that was read.
    pub body: Bytes,
    /// The unread rest, if the response is larger than [`MAX_BUFFERED_RESPONSE`].
    pub rest: Option<(Incoming, Connection)>,
    /// Attempt that received the response.
    pub attempt: AttemptId,
}

/// Runs the attempts of one request and holds the state that they share.
pub struct AttemptRunner<'a> {
    /// Entry that runs the request.
    pub entry: &'a Arc<Entry>,
    /// The request's id.
    pub id: RequestId,
    /// The request that is sent to each target.
    pub request: &'a CallerRequest,
    /// Whether the claim of the request's key was won.
    pub key_won: bool,
}

impl AttemptRunner<'_> {
    /// Runs one attempt and reports its end to the client core.
    pub async fn run(
        &mut self,
        attempt: AttemptId,
        target: SocketAddr,
        remaining: Duration,
    ) -> AttemptResult {
        let prepared = match self.build_request(target, remaining) {
            Ok(request) => self
                .entry
                .connection_pool
                .connect(target, self.request.idempotent)
                .await
                .map(|c| (c, request)),
            Err(error) => Err(UpstreamError::NotWritten(error.to_string())),
        };
        let (connection, request) = match prepared {
            Ok(prepared) => prepared,
            Err(reason) => {
                log::debug!("attempt at {target}: {reason}");
                self.report_event(Event::TargetUnreachable(attempt));
                return AttemptResult::Ended;
            }
        };
        if let Some(result) = self.claim_key(attempt).await {
            return result;
        }
        if !self.entry.requests.try_begin_write(attempt) {
            return AttemptResult::Ended;
        }
        match connection.send(request).await {
            Ok(unread) => self.read_response(attempt, target, unread).await,
            Err(reason) => {
                log::debug!("attempt at {target}: {reason}");
                self.report_event(Event::ResponseLost(attempt));
                AttemptResult::Ended
            }
        }
    }

    /// Claims the request's key unless it was won before. Returns `Some` if the attempt must end.
    async fn claim_key(&mut self, attempt: AttemptId) -> Option<AttemptResult> {
        let key = self.request.key.clone().filter(|_| !self.key_won)?;
        let request = self.request;
        let digest =
            ContentDigest::of(request.method.as_str(), &request.uri.to_string(), &request.body);
        let name = KeyName { service: request.service, key };
        let decision =
            self.entry.keys.claim(self.id, name, digest, request.deadline, request.retention);
        match decision.await {
            Ok(KeyDecision::Won) => {
                self.key_won = true;
                None
            }
            Ok(KeyDecision::Replay(outcome)) => {
                self.report_event(Event::KeyNotWon(attempt, ResultCode::AnswerNotKept));
                Some(AttemptResult::Replay(outcome))
            }
            Ok(KeyDecision::NotWon(code)) => {
                self.report_event(Event::KeyNotWon(attempt, code));
                Some(AttemptResult::Ended)
            }
            Err(_) => {
                self.report_event(Event::KeyNotWon(attempt, ResultCode::KeyRecordLost));
                Some(AttemptResult::Ended)
            }
        }
    }

    fn build_request(
        &self,
        target: SocketAddr,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.request.method.clone())
            .uri(self.request.uri.path_and_query().map_or("/", |path| path.as_str()))
            .body(Full::new(self.request.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&self.request.headers);
        if !headers.contains_key(hyper::header::HOST) {
            let host = HeaderValue::from_str(&target.to_string())?;
            headers.insert(hyper::header::HOST, host);
        }
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIMEOUT_HEADER, millis.into());
        headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(&self.id.to_string())?);
        Ok(request)
    }

    /// Reads a response up to the buffer size, unless it refuses the request or can't be checked.
    async fn read_response(
        &self,
        attempt: AttemptId,
        target: SocketAddr,
        unread: UnreadResponse,
    ) -> AttemptResult {
        let UnreadResponse { response, connection } = unread;
        let answered_id = response.headers().get(REQUEST_ID_HEADER);
        let is_own = answered_id.is_some_and(|id| id.as_bytes() == self.id.to_string().as_bytes());
        if answered_id.is_some() && !is_own {
            log::warn!("{target} answered {} with the answer to {answered_id:?}", self.id);
            self.report_event(Event::ResponseLost(attempt));
            return AttemptResult::Ended;
        }
        if let Some(refusal) = parse_target_refusal(&response) {
            self.report_event(Event::TargetRefused(attempt, refusal));
            return AttemptResult::Ended;
        }
        if self.stopped_at_deadline(&response) {
            // The client core ends the request at its deadline; this report takes effect only if that is late.
            tokio::time::sleep_until((self.request.deadline + DEADLINE_SLACK).into()).await;
            self.report_event(Event::ResponseLost(attempt));
            return AttemptResult::Ended;
        }
        if !upstream::is_length_known(&self.request.method, &response) {
            log::warn!("response of {target} has no length, so truncation can't be detected");
            self.report_event(Event::ResponseLost(attempt));
            return AttemptResult::Ended;
        }
        let (head, mut body) = response.into_parts();
        match upstream::read_up_to(&mut body, MAX_BUFFERED_RESPONSE).await {
            Err(error) => {
                log::debug!("response of {target} was truncated: {error}");
                self.report_event(Event::ResponseLost(attempt));
                AttemptResult::Ended
            }
            Ok((bytes, whole)) => {
                let rest = if whole {
                    self.report_event(Event::Answered(attempt));
                    // A late second copy of an answer is recognised by its request id only.
                    if is_own {
                        self.entry.connection_pool.give_back(target, connection);
                    }
                    None
                } else {
                    Some((body, connection))
                };
                let response = TargetResponse { head, body: bytes, rest, attempt };
                AttemptResult::Response(Box::new(response))
            }
        }
    }

    /// Whether the response means that the target stopped at its deadline. The target gets the timeout in
    /// whole milliseconds, so this response arrives just before the entry's deadline and would otherwise
    /// count as completed.
    fn stopped_at_deadline(&self, response: &Response<Incoming>) -> bool {
        let left = self.request.deadline.saturating_duration_since(self.entry.cx.now());
        response.status() == StatusCode::GATEWAY_TIMEOUT && left <= DEADLINE_SLACK
    }

    fn report_event(&self, event: Event) {
        self.entry.requests.handle_event(event);
    }
}

fn parse_target_refusal(response: &Response<Incoming>) -> Option<TargetRefusal> {
    let executed = response.headers().get(EXECUTED_HEADER).and_then(|value| value.to_str().ok());
    TargetRefusal::from_response(response.status().as_u16(), executed)
}

/// Removes hop-by-hop headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in ["connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers.remove(hyper::header::TRANSFER_ENCODING);
}

/// Whether a command ends the running attempt.
#[must_use]
pub fn ends_attempt(command: &TaskCommand, attempt: AttemptId) -> bool {
    match command {
        TaskCommand::Abort(aborted) => *aborted == attempt,
        TaskCommand::Finish(_) => true,
        TaskCommand::Start { .. } => false,
    }
}
