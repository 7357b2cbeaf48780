//! Request part of the load: sends and resends requests, and derives the outcome of each as its
//! caller sees it.

use crate::http::{Client, Sent};
use crate::load::{LoadSettings, RequestKind, arrivals, part_seed};
use crate::target_http::{ResponseBody, SERVICE_HEADER};
use bytes::Bytes;
use comfreyhold_types::prelude::*;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, IntoEnumIterator as _};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Backoff before the resend of a request whose first attempt is still running.
const KEY_IN_USE_BACKOFF: Duration = Duration::from_millis(200);

/// How a request ended for its caller.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A complete response to this request arrived.
    Completed,
    /// A refusal states that the request was not run, and no earlier send may have run.
    Refused,
    /// The request may have run; no response shows whether it did.
    Unknown,
    /// No connection to an entry could be opened; nothing was written.
    NotSent,
    /// A successful response arrived that is incomplete or belongs to another request.
    WrongAnswer,
}

/// One request as its caller sees it.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Index of its kind in [`LoadSettings::kinds`].
    pub kind: usize,
    /// Path, unique per request of a run.
    pub path: String,
    /// Idempotency key; absent when its kind is not keyed.
    pub key: Option<String>,
    /// Intended start, from the start of the load.
    pub intended: Duration,
    /// Time from the intended start to the outcome.
    pub latency: Duration,
    /// How it ended for its caller.
    pub outcome: Outcome,
    /// Result code of the last response; absent without a response or a code in it.
    pub code: Option<u16>,
    /// Number of sends, including the first.
    pub sends: u8,
}

struct ScheduledRequest {
    kind: usize,
    index: usize,
    at: Duration,
    /// Index of the entry for the first send; each resend goes to the next one.
    first_entry: usize,
}

/// Sends all requests on their schedule, and returns when each has an outcome.
pub async fn drive(settings: LoadSettings) -> Vec<RequestResult> {
    let schedule = schedule_requests(&settings);
    let settings = Arc::new(settings);
    let client = Arc::new(Client::default());
    let start = Instant::now();
    let mut sending = JoinSet::new();
    for request in schedule {
        tokio::time::sleep_until(start + request.at).await;
        sending.spawn(send(Arc::clone(&settings), Arc::clone(&client), request, start));
    }
    sending.join_all().await
}

fn schedule_requests(settings: &LoadSettings) -> Vec<ScheduledRequest> {
    let mut schedule = Vec::new();
    for (kind, spec) in settings.kinds.iter().enumerate() {
        let seed = part_seed(settings.seed, "requests", kind);
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(1));
        let times = arrivals(spec.rate_per_s, settings.duration(), seed);
        schedule.extend(times.into_iter().enumerate().map(|(index, at)| {
            let first_entry = rng.random_range(0..settings.entries.len());
            ScheduledRequest { kind, index, at, first_entry }
        }));
    }
    schedule.sort_by_key(|request| (request.at, request.kind));
    schedule
}

async fn send(
    settings: Arc<LoadSettings>,
    client: Arc<Client>,
    scheduled: ScheduledRequest,
    start: Instant,
) -> RequestResult {
    let kind = &settings.kinds[scheduled.kind];
    let path = format!("/{}/{}-{}", kind.name, settings.seed, scheduled.index);
    let key = kind.keyed.then(|| format!("{}-{}-{}", kind.name, settings.seed, scheduled.index));
    let mut result = RequestResult {
        kind: scheduled.kind,
        path,
        key,
        intended: scheduled.at,
        latency: Duration::ZERO,
        outcome: Outcome::NotSent,
        code: None,
        sends: 0,
    };
    result.outcome = send_until_known(&settings, &client, scheduled.first_entry, &mut result).await;
    result.latency = start.elapsed().saturating_sub(scheduled.at);
    result
}

async fn send_until_known(
    settings: &LoadSettings,
    client: &Client,
    first_entry: usize,
    result: &mut RequestResult,
) -> Outcome {
    let kind = &settings.kinds[result.kind];
    let limit = Duration::from_millis(settings.answer_timeout_ms);
    let mut may_have_run = false;
    for n in 0..settings.max_sends {
        let entry = settings.entries[(first_entry + usize::from(n)) % settings.entries.len()];
        let Some(request) = build_request(kind, result) else { return Outcome::NotSent };
        result.sends += 1;
        match client.send(entry, request, limit).await {
            Sent::NotWritten(_) => continue,
            Sent::Lost(_) => may_have_run = true,
            Sent::Answered(response) => {
                result.code = result_code(&response);
                let outcome = classify(kind, &result.path, &response);
                if result.code != Some(ResultCode::KeyInUse.number()) {
                    return final_outcome(outcome, may_have_run);
                }
                may_have_run = true;
                tokio::time::sleep(KEY_IN_USE_BACKOFF).await;
            }
        }
        if !kind.is_resendable() {
            break;
        }
    }
    if may_have_run { Outcome::Unknown } else { Outcome::NotSent }
}

/// A refusal covers only its own send; an earlier send without a response may still have run.
fn final_outcome(outcome: Outcome, may_have_run: bool) -> Outcome {
    match outcome {
        Outcome::Refused if may_have_run => Outcome::Unknown,
        other => other,
    }
}

fn build_request(kind: &RequestKind, result: &RequestResult) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(kind.method.as_str())
        .uri(&result.path)
        .header("host", &kind.service)
        .header(SERVICE_HEADER, &kind.service);
    if let Some(key) = &result.key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(ms) = kind.timeout_ms {
        builder = builder.header("x-request-timeout-ms", ms);
    }
    let body = Bytes::from(vec![b'b'; kind.body_bytes]);
    builder.body(Full::new(body)).ok()
}

fn result_code(response: &Response<Bytes>) -> Option<u16> {
    response.headers().get("x-result-code")?.to_str().ok()?.parse().ok()
}

fn classify(kind: &RequestKind, path: &str, response: &Response<Bytes>) -> Outcome {
    let not_executed = response.headers().get("x-request-executed").is_some_and(|v| v == "false");
    let Some(code) = result_code(response) else {
        // Targets send no result code, and a target may be called without an entry.
        return match response.status() {
            status if status.is_success() => check_response(kind, path, response),
            StatusCode::SERVICE_UNAVAILABLE if not_executed => Outcome::Refused,
            _ => Outcome::Unknown,
        };
    };
    match ResultCode::iter().find(|known| known.number() == code).map(ResultCode::family) {
        Some(Family::Done) => check_response(kind, path, response),
        Some(Family::NotRun) => Outcome::Refused,
        _ => Outcome::Unknown,
    }
}

fn check_response(kind: &RequestKind, path: &str, response: &Response<Bytes>) -> Outcome {
    let answer = serde_json::from_slice::<ResponseBody>(response.body());
    let matches_request = answer.is_ok_and(|answer| {
        answer.path == path
            && answer.service == kind.service
            && answer.body_bytes == kind.body_bytes
    });
    if matches_request { Outcome::Completed } else { Outcome::WrongAnswer }
}
