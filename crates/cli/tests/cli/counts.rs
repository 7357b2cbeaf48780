//! `comfreyhold counts` against a deployment.

use crate::support::{LIMIT, Scratch, assert_bad_files_refused};
use comfreyhold_lab::http::{self, Client, Sent};
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::DaemonKind;
use hyper::Method;
use std::net::SocketAddr;

const REQUESTS: u64 = 5;

/// Sends a request; true when it was run and answered.
async fn request(caller: SocketAddr) -> bool {
    let mut request = http::request(Method::GET, caller, "/count", "").unwrap();
    request.headers_mut().insert("host", "orders".parse().unwrap());
    let Sent::Answered(answer) = Client::default().send(caller, request, LIMIT).await else {
        return false;
    };
    answer.headers().get("x-result-code").is_some_and(|code| code == "0")
}

/// Guards against counts that differ from what callers were answered, or that don't reach the operators.
#[tokio::test]
async fn counts_match_the_answers() {
    let scratch = Scratch::start().await;
    let callers: Vec<_> = scratch.deployment.plan.of(DaemonKind::Entry).collect();
    let mut answered = 0;
    while answered < REQUESTS {
        let caller = callers[answered as usize % callers.len()].callers;
        let sent = || async { request(caller).await.then_some(()) };
        wait_for("the request is answered", LIMIT, sent).await.unwrap();
        answered += 1;
    }
    let counted = |out: &str| {
        let rows = out.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        rows.into_iter().any(|row| row == ["orders", "0", REQUESTS.to_string().as_str()])
    };
    let ran = scratch.until(&["counts"], |ran| counted(&ran.out)).await;
    let header: Vec<_> = ran.out.lines().next().unwrap().split_whitespace().collect();
    assert_eq!(header, ["service", "code", "count"]);
    let json = scratch.run(&["counts", "--json"]);
    assert_eq!(json.status, Some(0), "{json:?}");
    let value: serde_json::Value = serde_json::from_str(&json.out).unwrap();
    let rows = value["rows"].as_array().unwrap();
    let row = rows.iter().find(|row| row["service"] == "orders" && row["code"] == 0).unwrap();
    assert_eq!(row["count"], REQUESTS);
    assert!(value["gaps"].is_array(), "{value}");
    scratch.deployment.stop().await.unwrap();
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("counts", &[]);
}
