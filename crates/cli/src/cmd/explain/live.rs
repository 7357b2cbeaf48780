//! `comfreyhold explain --entry ADDRESS... --service ADDRESS --caller ADDRESS [--cookie HEX] [--json]`
//!
//! Asks entries where a packet would go now, and why. Nothing changes at the entries. An entry that refuses or does
//! not respond is shown with its error, and the command then fails after it has shown the others.

use super::table;
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_flow::cookie::explain::{Explanation, Query};
use comfreyhold_types::api::ResultBody;
use comfreyhold_types::prelude::ResultCode;
use hyper::Method;
use serde::Serialize;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Time after which an entry counts as not responding.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of entries that are asked at once.
const MAX_ENTRIES: usize = 64;

/// Arguments of `explain` for running entries.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Metrics address of an entry, IP and port; may be given several times
    #[bpaf(argument("ADDRESS"), some("give at least one entry"))]
    entry: Vec<SocketAddr>,
    /// Service address of the request, IP and port
    #[bpaf(argument("ADDRESS"))]
    service: SocketAddrV4,
    /// Address of the caller, IP and port
    #[bpaf(argument("ADDRESS"))]
    caller: SocketAddrV4,
    /// Cookie of an open flow, in hexadecimal digits; without it, an opening is explained
    #[bpaf(argument("HEX"))]
    cookie: Option<String>,
    /// Sequence number of the opening, which decides among equal targets
    #[bpaf(argument("N"), fallback(0))]
    seq: u32,
    /// Number of the opening's retransmission
    #[bpaf(argument("N"), fallback(0))]
    copy: u32,
    /// Print the answers as JSON
    json: bool,
}

/// Why there is no explanation from an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Result code: that of the entry's refusal, or `explain-unavailable` if it did not respond.
    pub code: u16,
    /// Reason.
    pub message: String,
}

/// What an entry answered.
#[derive(Clone, Debug, Serialize)]
pub struct Answer {
    /// Metrics address of the entry.
    pub entry: SocketAddr,
    /// Its explanation; `None` if it refused or did not respond.
    pub explanation: Option<Explanation>,
    /// Why there is none.
    pub failure: Option<Failure>,
}

/// What is printed as JSON.
#[derive(Serialize)]
struct Output<'a> {
    entries: &'a [Answer],
    differences: Vec<String>,
}

/// Prints the explanations of all entries.
pub fn run(args: &Args) -> Result<(), CliError> {
    if args.entry.len() > MAX_ENTRIES {
        let message = format!("{} entries; at most {MAX_ENTRIES} are asked", args.entry.len());
        return Err(CliError::Argument(message));
    }
    let cookie = args.cookie.as_deref().map(Query::parse_cookie).transpose();
    let query = Query {
        service: args.service,
        caller: args.caller,
        cookie: cookie.map_err(|error| CliError::Argument(error.to_string()))?,
        seq: args.seq,
        copy: args.copy,
    };
    let answers = http::block_on(ask_all(&args.entry, query.path()))?;
    let differences = table::differences(&answers);
    if args.json {
        println!("{}", serde_json::to_string(&Output { entries: &answers, differences })?);
    } else {
        print!("{}", table::render(&answers));
    }
    let failed: Vec<(SocketAddr, Failure)> =
        answers.into_iter().filter_map(|a| Some((a.entry, a.failure?))).collect();
    match failed.first() {
        None => Ok(()),
        Some((_, first)) => {
            let message = failed.iter().map(|(entry, f)| format!("{entry}: {}", f.message));
            let message = message.collect::<Vec<_>>().join("; ");
            Err(CliError::EntriesFailed { code: first.code, message })
        }
    }
}

/// Asks all entries at the same time, and returns their answers in order.
async fn ask_all(entries: &[SocketAddr], path: String) -> Result<Vec<Answer>, CliError> {
    let calls: Vec<_> = entries
        .iter()
        .map(|entry| {
            let (entry, path) = (*entry, path.clone());
            tokio::spawn(async move { ask(entry, &path).await })
        })
        .collect();
    let mut answers = Vec::with_capacity(calls.len());
    for (entry, call) in entries.iter().zip(calls) {
        let result = call.await.unwrap_or_else(|error| Err(unavailable(error.to_string())));
        let (explanation, failure) = match result {
            Ok(explanation) => (Some(explanation), None),
            Err(failure) => (None, Some(failure)),
        };
        answers.push(Answer { entry: *entry, explanation, failure });
    }
    Ok(answers)
}

async fn ask(entry: SocketAddr, path: &str) -> Result<Explanation, Failure> {
    let response = http::call_within(TIMEOUT, entry, Method::GET, path, "").await;
    let response = response.map_err(unavailable)?;
    if response.status >= 400 {
        return Err(match serde_json::from_slice::<ResultBody>(&response.body) {
            Ok(refusal) => Failure { code: refusal.code, message: refusal.message },
            Err(_) => unavailable(format!("HTTP status {}", response.status)),
        });
    }
    serde_json::from_slice(&response.body).map_err(|error| Failure {
        code: ResultCode::BadFrame.number(),
        message: format!("malformed response: {error}"),
    })
}

fn unavailable(message: String) -> Failure {
    Failure { code: ResultCode::ExplainUnavailable.number(), message }
}
