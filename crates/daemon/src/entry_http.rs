//! The callers' HTTP interface of an entry: reads each request completely, waits for a slot, sends the
//! request to a target and responds with a result code.

use crate::entry::Entry;
use crate::entry_body::ResponseBody;
use crate::entry_exchange::{
    AttemptResult, AttemptRunner, CallerRequest, REQUEST_ID_HEADER, TIMEOUT_HEADER, TargetResponse,
    ends_attempt, strip_connection_headers,
};
use crate::entry_requests::TaskCommand;
use crate::http_server::{InFlight, InFlightGuard, Service};
use crate::reply::{self, BodyError, RESULT_CODE_HEADER};
use comfreyhold_request::client_event::NewRequest;
use comfreyhold_request::keys::{KeyOutcome, MAX_RESPONSE_BYTES};
use comfreyhold_request::message::RequestId;
use comfreyhold_types::prelude::*;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Method, Response, Uri, header};
use gotham::state::{FromState, State};
use serde::{Deserialize, Serialize};
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Request header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Largest accepted request body, in bytes.
pub const MAX_REQUEST_BODY: usize = 1024 * 1024;

/// A response as recorded under an idempotency key.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedResponse {
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

/// Handles the requests of callers.
pub struct EntryHttp {
    entry: Arc<Entry>,
    in_flight: InFlight,
}

/// A request that was refused before it got an id.
struct Refusal {
    service: Option<ServiceId>,
    code: ResultCode,
    message: String,
}

impl Refusal {
    fn new(service: Option<ServiceId>, code: ResultCode, message: impl Into<String>) -> Self {
        Self { service, code, message: message.into() }
    }
}

/// A request before its body is read, with its service, profile and deadline.
struct RequestHead {
    service: ServiceId,
    profile: Profile,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    deadline: Instant,
}

/// Cancels a request whose task is dropped before the result is known, since the caller has disconnected.
struct CancelOnDrop {
    entry: Arc<Entry>,
    id: RequestId,
    service: ServiceId,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.armed {
            self.entry.keys.abandon(self.id);
            let code = self.entry.requests.cancel(self.id);
            self.entry.keys.finish(self.id, KeyOutcome { code, response: None });
            self.entry.counts.count_request(self.service, code);
        }
    }
}

impl EntryHttp {
    /// Creates the handler for an entry.
    #[must_use]
    pub fn new(entry: Arc<Entry>, in_flight: InFlight) -> Arc<Self> {
        Arc::new(Self { entry, in_flight })
    }

    async fn handle_request(
        &self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Body,
        guard: InFlightGuard,
    ) -> Response<Body> {
        let started = Instant::now();
        let response = match self.check_head(method, uri, headers) {
            Err(refusal) => self.refuse_request(&refusal),
            Ok(request_head) => match read_request(&request_head, body).await {
                Err(refusal) => self.refuse_request(&refusal),
                Ok(request) => self.run_request(&request_head.profile, request, guard).await,
            },
        };
        metrics::histogram!("comfreyhold_request_seconds").record(started.elapsed().as_secs_f64());
        response
    }

    /// Finds the request's service, profile and deadline.
    fn check_head(
        &self,
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
    ) -> Result<RequestHead, Refusal> {
        let view = self.entry.view();
        let host = headers.get(header::HOST).and_then(|value| value.to_str().ok());
        let host = host.or_else(|| uri.host()).unwrap_or_default();
        let Some((service, name)) = view.find_service_by_host(host) else {
            // An entry that has just started has no declarations yet, so the service may exist.
            if !self.entry.is_ready() {
                return Err(Refusal::new(None, ResultCode::Stopping, "this entry is not ready"));
            }
            let message = format!("no service is named {host:?}");
            return Err(Refusal::new(None, ResultCode::NoSuchService, message));
        };
        if !self.entry.is_ready() {
            let message = "this entry is not ready";
            return Err(Refusal::new(Some(service), ResultCode::Stopping, message));
        }
        let Some(profile) = view.profile(service).cloned() else {
            let message = format!("service {name} has no profile");
            return Err(Refusal::new(Some(service), ResultCode::NoSuchService, message));
        };
        let timeout = parse_timeout(&headers, &profile)
            .map_err(|message| Refusal::new(Some(service), ResultCode::BadRequest, message))?;
        strip_connection_headers(&mut headers);
        let deadline = self.entry.cx.now() + timeout;
        Ok(RequestHead { service, profile, method, uri, headers, deadline })
    }

    fn refuse_request(&self, refusal: &Refusal) -> Response<Body> {
        if let Some(service) = refusal.service {
            self.entry.counts.count_request(service, refusal.code);
        }
        let mut response = reply::result(refusal.code, &refusal.message);
        if refusal.code == ResultCode::Stopping {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Runs a request until its result is known and builds the response.
    async fn run_request(
        &self,
        profile: &Profile,
        request: CallerRequest,
        guard: InFlightGuard,
    ) -> Response<Body> {
        let new = NewRequest {
            service: request.service,
            priority: profile.priority,
            deadline: request.deadline,
            idempotent: request.idempotent,
            max_attempts: profile.retry.max_attempts,
        };
        let (id, mut commands) = self.entry.requests.start_request(new);
        let entry = Arc::clone(&self.entry);
        let mut cancel = CancelOnDrop { entry, id, service: request.service, armed: true };
        let mut runner =
            AttemptRunner { entry: &self.entry, id, request: &request, key_won: false };
        let (code, result) = run_commands(&mut runner, &mut commands).await;
        let key_won = runner.key_won;
        cancel.armed = false;
        drop(cancel);
        if let AttemptResult::Replay(outcome) = result {
            return self.replay_outcome(&request, id, &outcome);
        }
        let response = match result {
            AttemptResult::Response(response) => Some(*response),
            _ => None,
        };
        if key_won {
            let recorded = response.as_ref().and_then(encode_recorded);
            self.entry.keys.finish(id, KeyOutcome { code, response: recorded });
        }
        match response {
            Some(response) if response.rest.is_some() => {
                self.stream_response(request.service, id, response, commands, guard)
            }
            Some(response) if code == ResultCode::Ok => {
                self.entry.counts.count_request(request.service, code);
                let TargetResponse { head, body, .. } = response;
                finish_response(Response::from_parts(head, reply::full(body)), code, id)
            }
            _ => {
                self.entry.counts.count_request(request.service, code);
                finish_response(reply::result(code, result_message(code)), code, id)
            }
        }
    }

    /// Builds a response from the outcome recorded for the key.
    fn replay_outcome(
        &self,
        request: &CallerRequest,
        id: RequestId,
        outcome: &KeyOutcome,
    ) -> Response<Body> {
        let recorded = outcome
            .response
            .as_deref()
            .and_then(|bytes| serde_json::from_slice::<RecordedResponse>(bytes).ok());
        let code = match (&recorded, outcome.code) {
            (Some(_), ResultCode::Ok) => ResultCode::Replayed,
            (None, ResultCode::Ok) => ResultCode::AnswerNotKept,
            (_, code) => code,
        };
        self.entry.counts.count_request(request.service, code);
        let Some(recorded) = recorded.filter(|_| code == ResultCode::Replayed) else {
            return finish_response(reply::result(code, result_message(code)), code, id);
        };
        let mut response = Response::new(reply::full(recorded.body));
        if let Ok(status) = gotham::hyper::StatusCode::from_u16(recorded.status) {
            *response.status_mut() = status;
        }
        if let Some(Ok(value)) = recorded.content_type.map(|text| text.parse()) {
            response.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        finish_response(response, code, id)
    }

    /// Forwards a large response while it is read.
    fn stream_response(
        &self,
        service: ServiceId,
        id: RequestId,
        response: TargetResponse,
        commands: mpsc::UnboundedReceiver<TaskCommand>,
        guard: InFlightGuard,
    ) -> Response<Body> {
        let entry = Arc::clone(&self.entry);
        let TargetResponse { head, body, rest, attempt } = response;
        let body = ResponseBody::new(entry, service, attempt, body, rest, commands, guard);
        let response = Response::from_parts(head, Body::new(body));
        finish_response(response, ResultCode::Ok, id)
    }
}

/// Carries out commands until the result is known. For a response larger than the buffer the result is known
/// only after the rest was forwarded, so this returns early with [`ResultCode::Ok`].
async fn run_commands(
    runner: &mut AttemptRunner<'_>,
    commands: &mut mpsc::UnboundedReceiver<TaskCommand>,
) -> (ResultCode, AttemptResult) {
    let mut result = AttemptResult::Ended;
    loop {
        match commands.recv().await {
            Some(TaskCommand::Start { attempt, target, remaining }) => {
                let running = runner.run(attempt, target, remaining);
                tokio::pin!(running);
                tokio::select! {
                    ended = &mut running => result = ended,
                    code = wait_for_abort(commands, attempt) => {
                        result = AttemptResult::Ended;
                        if let Some(code) = code {
                            return (code, result);
                        }
                    }
                }
                if let AttemptResult::Response(response) = &result
                    && response.rest.is_some()
                {
                    return (ResultCode::Ok, result);
                }
            }
            Some(TaskCommand::Abort(_)) => {}
            Some(TaskCommand::Finish(code)) => return (code, result),
            None => return (ResultCode::NoDispatcher, result),
        }
    }
}

/// Waits for a command that ends the attempt. Returns `Some` if it ends the request too.
async fn wait_for_abort(
    commands: &mut mpsc::UnboundedReceiver<TaskCommand>,
    attempt: comfreyhold_request::message::AttemptId,
) -> Option<ResultCode> {
    loop {
        match commands.recv().await {
            Some(TaskCommand::Finish(code)) => return Some(code),
            Some(command) if ends_attempt(&command, attempt) => return None,
            Some(_) => {}
            None => return Some(ResultCode::AnswerLost),
        }
    }
}

async fn read_request(request_head: &RequestHead, body: Body) -> Result<CallerRequest, Refusal> {
    let service = Some(request_head.service);
    let deadline = tokio::time::Instant::from_std(request_head.deadline);
    let reading = reply::read_body(body, MAX_REQUEST_BODY);
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error @ BodyError::TooLarge(_))) => {
            return Err(Refusal::new(service, ResultCode::RequestTooLarge, error.to_string()));
        }
        Ok(Err(error)) => {
            return Err(Refusal::new(service, ResultCode::BadRequest, error.to_string()));
        }
        Err(_) => {
            let message = "the request's body did not arrive in time";
            return Err(Refusal::new(service, ResultCode::DeadlineBeforeStart, message));
        }
    };
    let idempotent = request_head.profile.is_idempotent(request_head.method.as_str());
    let key = request_head.headers.get(KEY_HEADER).and_then(|value| value.to_str().ok());
    Ok(CallerRequest {
        service: request_head.service,
        method: request_head.method.clone(),
        uri: request_head.uri.clone(),
        headers: request_head.headers.clone(),
        body,
        deadline: request_head.deadline,
        idempotent,
        key: key.filter(|_| !idempotent).map(str::to_owned),
        retention: Duration::from_millis(request_head.profile.key_retention_ms),
    })
}

fn parse_timeout(headers: &HeaderMap, profile: &Profile) -> Result<Duration, String> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(profile.deadline()) };
    let millis: u64 =
        value.to_str().ok().and_then(|text| text.trim().parse().ok()).ok_or_else(|| {
            format!("{TIMEOUT_HEADER}: {value:?} is not a number of milliseconds")
        })?;
    Ok(profile.deadline().min(Duration::from_millis(millis)))
}

/// Encodes a response for its key's record; `None` if it is too large to be kept.
fn encode_recorded(response: &TargetResponse) -> Option<Vec<u8>> {
    if response.rest.is_some() {
        return None;
    }
    let content_type = response.head.headers.get(header::CONTENT_TYPE);
    let recorded = RecordedResponse {
        status: response.head.status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok()).map(str::to_owned),
        body: response.body.to_vec(),
    };
    let bytes = serde_json::to_vec(&recorded).ok()?;
    (bytes.len() <= MAX_RESPONSE_BYTES).then_some(bytes)
}

fn finish_response(
    mut response: Response<Body>,
    code: ResultCode,
    id: RequestId,
) -> Response<Body> {
    let headers = response.headers_mut();
    strip_connection_headers(headers);
    headers.insert(RESULT_CODE_HEADER, code.number().into());
    if let Ok(value) = id.to_string().parse() {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn result_message(code: ResultCode) -> &'static str {
    match code.family() {
        Family::NotRun => "the request was not run",
        Family::Unknown => "the request may have run; its outcome is unknown",
        _ => "",
    }
}

impl Service for EntryHttp {
    fn call(self: Arc<Self>, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let guard = self.in_flight.enter();
            let method = Method::borrow_from(&state).clone();
            let uri = Uri::borrow_from(&state).clone();
            let headers = HeaderMap::borrow_from(&state).clone();
            let body = state.try_take::<Body>().unwrap_or_else(|| reply::full(""));
            let response = self.handle_request(method, uri, headers, body, guard).await;
            Ok((state, response))
        })
    }
}

impl std::panic::RefUnwindSafe for EntryHttp {}
