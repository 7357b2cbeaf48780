//! HTTP server of a target: requests to its service, and the control endpoints under `/lab/`.

use crate::http::{self, Reply, json, text};
use crate::lock;
use crate::runlog::{RunOutcome, RunRecord};
use crate::target::{Admission, Arrival, Shared};
use crate::wall_us;
use anyhow::Result;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Header with the name of the service that a request is meant for. It detects misdelivered requests.
pub const SERVICE_HEADER: &str = "x-lab-service";

/// Body of a successful response. The path lets the caller check that the response belongs to its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// Path of the request, with its query.
    pub path: String,
    /// Name of the target's service.
    pub service: String,
    /// Address of the target that served the request.
    pub target: String,
    /// Length of the request's body.
    pub body_bytes: usize,
    /// Filler of the configured length.
    pub filler: String,
}

/// Body of `POST /lab/cold`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRequest {
    /// Time until the target is warm, in milliseconds. The default is the target's setting.
    pub duration_ms: Option<u64>,
}

/// Body of `POST /lab/drain` and `POST /lab/pause`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SwitchRequest {
    /// Whether to turn the state on. The default is true.
    pub on: Option<bool>,
}

pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let stop = shared.stopping.subscribe();
    let handler = move |request| {
        let shared = Arc::clone(&shared);
        async move { handle_request(&shared, request).await }
    };
    http::serve_until(listener, handler, stop).await;
}

async fn handle_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Reply {
    if request.uri().path().starts_with("/lab/") {
        let reply = handle_control(shared, request).await;
        return reply.unwrap_or_else(|e| text(StatusCode::BAD_REQUEST, e.to_string()));
    }
    answer_request(shared, request).await
}

async fn handle_control(shared: &Shared, request: Request<Incoming>) -> Result<Reply> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/lab/runs") => Ok(json_lines(&lock(&shared.state).records)),
        (Method::GET, "/lab/flows") => Ok(json_lines(lock(&shared.echo).flows())),
        (Method::GET, "/lab/state") => Ok(json(&shared.report())),
        (Method::POST, "/lab/drain") => {
            let switch: SwitchRequest = http::read_json(request).await?;
            shared.set_draining(switch.on.unwrap_or(true));
            Ok(json(&shared.report()))
        }
        (Method::POST, "/lab/cold") => {
            let cold: ColdRequest = http::read_json(request).await?;
            let ms = cold.duration_ms.unwrap_or(shared.settings.cold.duration_ms);
            shared.set_cold(Duration::from_millis(ms));
            Ok(json(&shared.report()))
        }
        (Method::POST, "/lab/pause") => {
            let switch: SwitchRequest = http::read_json(request).await?;
            shared.paused.send_replace(switch.on.unwrap_or(true));
            Ok(json(&shared.report()))
        }
        _ => Ok(text(StatusCode::NOT_FOUND, "no such control endpoint")),
    }
}

fn json_lines<T: Serialize>(records: impl IntoIterator<Item = T>) -> Reply {
    let mut body = Vec::new();
    for record in records {
        if serde_json::to_writer(&mut body, &record).is_ok() {
            body.push(b'\n');
        }
    }
    text(StatusCode::OK, body)
}

/// Runs a request. The response carries the id of the request, so that the entry may keep the connection.
async fn answer_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Reply {
    let id = request.headers().get("x-request-id").cloned();
    let mut reply = run_request(shared, request).await;
    if let Some(id) = id {
        reply.headers_mut().insert("x-request-id", id);
    }
    reply
}

async fn run_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Reply {
    let arrival = record_arrival(shared, &request);
    let mut pending = PendingRequest { shared, record: Some(arrival.record) };
    // Reads the whole body before the run, so that a closed connection is detected and cancels the run.
    let Ok(body) = request.into_body().collect().await else {
        return text(StatusCode::BAD_REQUEST, "incomplete body");
    };
    let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
    let Some(record) = pending.record.take() else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "record missing");
    };
    let path = record.path.clone();
    let (index, service_time) = match shared.admit(record) {
        Admission::Run { index, service_time } => (index, service_time),
        Admission::Refuse(outcome) => return refusal_reply(outcome),
    };
    let mut running = RunningRequest { shared, index, outcome: RunOutcome::Cancelled };
    let deadline = arrival.deadline.unwrap_or(Duration::MAX);
    tokio::time::sleep(service_time.min(deadline)).await;
    let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
    if service_time > deadline {
        running.outcome = RunOutcome::Deadline;
        return text(StatusCode::GATEWAY_TIMEOUT, "deadline exceeded while running");
    }
    running.outcome = RunOutcome::Completed;
    json(&response_body(shared, path, body.to_bytes().len()))
}

/// Counts a received request and reads its headers.
fn record_arrival(shared: &Shared, request: &Request<Incoming>) -> Arrival {
    lock(&shared.state).report.arrived += 1;
    let headers = request.headers();
    let named_service = header_value(headers, SERVICE_HEADER);
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let record = RunRecord {
        request_id: header_value(headers, "x-request-id"),
        key: header_value(headers, "idempotency-key"),
        method: request.method().to_string(),
        path: path.to_owned(),
        start_us: wall_us(),
        end_us: None,
        outcome: RunOutcome::Running,
        running: 0,
        over_slots: false,
        wrong_service: named_service.is_some_and(|name| name != shared.settings.service),
    };
    let deadline = header_value(headers, "x-request-timeout-ms").and_then(|ms| ms.parse().ok());
    Arrival { record, deadline: deadline.map(Duration::from_millis) }
}

fn header_value(headers: &HeaderMap<HeaderValue>, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn refusal_reply(outcome: RunOutcome) -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, outcome.to_string());
    reply.headers_mut().insert("x-request-executed", HeaderValue::from_static("false"));
    reply
}

fn response_body(shared: &Shared, path: String, body_bytes: usize) -> ResponseBody {
    ResponseBody {
        path,
        service: shared.settings.service.clone(),
        target: shared.address.to_string(),
        body_bytes,
        filler: "x".repeat(shared.settings.response_bytes),
    }
}

/// A request that has not started. If it is dropped with its record, the caller has disconnected, and the record
/// is stored as cancelled.
struct PendingRequest<'a> {
    shared: &'a Shared,
    record: Option<RunRecord>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let Some(mut record) = self.record.take() else { return };
        record.outcome = RunOutcome::CancelledBeforeStart;
        record.end_us = Some(wall_us());
        lock(&self.shared.state).records.push(record);
    }
}

/// A running request. Dropping it records its outcome: cancelled, unless another one was set.
struct RunningRequest<'a> {
    shared: &'a Shared,
    index: usize,
    outcome: RunOutcome,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.shared.finish_run(self.index, self.outcome);
    }
}
