//! `comfreyhold counts` against a deployment.

use crate::support::{TIMEOUT, TestDeployment, assert_invalid_config_refused};
use comfreyhold_lab::http::{self, Client, Sent};
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::DaemonKind;
use hyper::Method;
use std::net::SocketAddr;

const REQUESTS: u64 = 5;

/// Sends a request to an entry. Returns whether the response has the result code of success.
async fn send_request(entry: SocketAddr) -> bool {
    let mut request = http::request(Method::GET, entry, "/count", "").unwrap();
    request.headers_mut().insert("host", "orders".parse().unwrap());
    let Sent::Answered(response) = Client::default().send(entry, request, TIMEOUT).await else {
        return false;
    };
    response.headers().get("x-result-code").is_some_and(|code| code == "0")
}

/// Guards against counts that differ from the responses that callers got, or that `counts` doesn't show.
#[tokio::test]
async fn counts_match_responses() {
    let deployment = TestDeployment::start().await;
    let entries: Vec<_> = deployment.processes.plan.of(DaemonKind::Entry).collect();
    let mut completed = 0;
    while completed < REQUESTS {
        let entry = entries[completed as usize % entries.len()].callers;
        let try_request = || async { send_request(entry).await.then_some(()) };
        wait_for("the request succeeds", TIMEOUT, try_request).await.unwrap();
        completed += 1;
    }
    let shows_all_requests = |stdout: &str| {
        let rows = stdout.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        rows.into_iter().any(|row| row == ["orders", "0", REQUESTS.to_string().as_str()])
    };
    let output =
        deployment.run_until(&["counts"], |output| shows_all_requests(&output.stdout)).await;
    let header: Vec<_> = output.stdout.lines().next().unwrap().split_whitespace().collect();
    assert_eq!(header, ["service", "code", "count"]);
    let json = deployment.run(&["counts", "--json"]);
    assert_eq!(json.exit_code, Some(0), "{json:?}");
    let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    let rows = value["rows"].as_array().unwrap();
    let row = rows.iter().find(|row| row["service"] == "orders" && row["code"] == 0).unwrap();
    assert_eq!(row["count"], REQUESTS);
    assert!(value["gaps"].is_array(), "{value}");
    deployment.processes.stop().await.unwrap();
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("counts", &[]);
}
