//! One attempt of a request at a target: connect, claim the key, write, read the whole response.

use crate::entry::Entry;
use crate::entry_requests::Order;
use crate::upstream::{self, Connection, Exchange, UpstreamError};
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

/// Header with the time left for a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header with the number of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Responses up to this size are read whole before the first byte goes to the caller, so that a
/// truncated one can still be reported with its code.
pub const BUFFERED_RESPONSE: usize = 1024 * 1024;

/// A target's 504 this close to the request's deadline says that it gave up at the deadline. Covers the
/// rounding of the time that it was given, and the way back.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

/// A request of a caller, read whole.
pub struct CallerRequest {
    /// Service that it is for.
    pub service: ServiceId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without those that concern one connection only.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its time is over.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Idempotency key, for requests that are not idempotent.
    pub key: Option<String>,
    /// How long the key is kept.
    pub retention: Duration,
}

/// What an attempt came to.
pub enum AttemptResult {
    /// A response whose first part, or all of it, was read.
    Response(Box<TargetResponse>),
    /// The recorded outcome of an earlier attempt with the same key.
    Replay(KeyOutcome),
    /// No response; the client decides on a retry.
    Ended,
}

/// A target's response.
pub struct TargetResponse {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    /// The part that was read.
    pub body: Bytes,
    /// The rest, when the response is larger than [`BUFFERED_RESPONSE`].
    pub rest: Option<(Incoming, Connection)>,
    /// The attempt.
    pub attempt: AttemptId,
}

/// The state that attempts of one request share.
pub struct Attempts<'a> {
    /// The entry.
    pub entry: &'a Arc<Entry>,
    /// The request's number.
    pub id: RequestId,
    /// The request.
    pub request: &'a CallerRequest,
    /// Whether the request's key was won.
    pub key_won: bool,
}

impl Attempts<'_> {
    /// Carries out one attempt and reports its end to the client.
    pub async fn run(
        &mut self,
        attempt: AttemptId,
        target: SocketAddr,
        remaining: Duration,
    ) -> AttemptResult {
        let prepared = match self.build(target, remaining) {
            Ok(request) => {
                self.entry.pool.connect(target, self.request.idempotent).await.map(|c| (c, request))
            }
            Err(error) => Err(UpstreamError::NotWritten(error.to_string())),
        };
        let (connection, request) = match prepared {
            Ok(prepared) => prepared,
            Err(reason) => {
                log::debug!("attempt at {target}: {reason}");
                self.report(Event::TargetUnreachable(attempt));
                return AttemptResult::Ended;
            }
        };
        if let Some(result) = self.claim_key(attempt).await {
            return result;
        }
        if !self.entry.requests.may_write(attempt) {
            return AttemptResult::Ended;
        }
        match connection.send(request).await {
            Ok(exchange) => self.read(attempt, target, exchange).await,
            Err(reason) => {
                log::debug!("attempt at {target}: {reason}");
                self.report(Event::ResponseLost(attempt));
                AttemptResult::Ended
            }
        }
    }

    /// Claims the request's key before its first attempt. `Some` ends the attempt.
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
                self.report(Event::KeyNotWon(attempt, ResultCode::AnswerNotKept));
                Some(AttemptResult::Replay(outcome))
            }
            Ok(KeyDecision::NotWon(code)) => {
                self.report(Event::KeyNotWon(attempt, code));
                Some(AttemptResult::Ended)
            }
            Err(_) => {
                self.report(Event::KeyNotWon(attempt, ResultCode::KeyRecordLost));
                Some(AttemptResult::Ended)
            }
        }
    }

    fn build(
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

    /// Reads a response to its end, or to the size that is buffered.
    async fn read(
        &self,
        attempt: AttemptId,
        target: SocketAddr,
        exchange: Exchange,
    ) -> AttemptResult {
        let Exchange { response, connection } = exchange;
        if let Some(refusal) = target_refusal(&response) {
            self.report(Event::TargetRefused(attempt, refusal));
            return AttemptResult::Ended;
        }
        if self.gave_up(&response) {
            // The client ends the request at its deadline; the report only follows if it is late.
            tokio::time::sleep_until((self.request.deadline + DEADLINE_SLACK).into()).await;
            self.report(Event::ResponseLost(attempt));
            return AttemptResult::Ended;
        }
        if !upstream::length_is_known(&self.request.method, &response) {
            log::warn!("{target} sent a response without a length, which can't be checked");
            self.report(Event::ResponseLost(attempt));
            return AttemptResult::Ended;
        }
        let (head, mut body) = response.into_parts();
        match upstream::read_up_to(&mut body, BUFFERED_RESPONSE).await {
            Err(error) => {
                log::debug!("response of {target} was cut short: {error}");
                self.report(Event::ResponseLost(attempt));
                AttemptResult::Ended
            }
            Ok((bytes, whole)) => {
                let rest = if whole {
                    self.report(Event::Answered(attempt));
                    self.entry.pool.give_back(target, connection);
                    None
                } else {
                    Some((body, connection))
                };
                let response = TargetResponse { head, body: bytes, rest, attempt };
                AttemptResult::Response(Box::new(response))
            }
        }
    }

    /// Whether the target answered that it stopped at the deadline it was given. It is told whole
    /// milliseconds, so this answer comes just before the deadline here, and would count as completed.
    fn gave_up(&self, response: &Response<Incoming>) -> bool {
        let left = self.request.deadline.saturating_duration_since(self.entry.cx.now());
        response.status() == StatusCode::GATEWAY_TIMEOUT && left <= DEADLINE_SLACK
    }

    fn report(&self, event: Event) {
        self.entry.requests.event(event);
    }
}

fn target_refusal(response: &Response<Incoming>) -> Option<TargetRefusal> {
    let executed = response.headers().get(EXECUTED_HEADER).and_then(|value| value.to_str().ok());
    TargetRefusal::from_response(response.status().as_u16(), executed)
}

/// Removes headers that concern one connection only.
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

/// Whether an order ends the running attempt.
#[must_use]
pub fn ends(order: &Order, attempt: AttemptId) -> bool {
    match order {
        Order::Abort(aborted) => *aborted == attempt,
        Order::Finish(_) => true,
        Order::Start { .. } => false,
    }
}
