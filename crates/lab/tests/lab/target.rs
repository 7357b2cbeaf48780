//! The stand-in target: admission, refusals, cancellation, announcements and the packet echo.

use crate::common::{LIMIT, loopback, program};
use comfreyhold_lab::echo::Echo;
use comfreyhold_lab::http::{self, Client, Sent, json, text};
use comfreyhold_lab::lock;
use comfreyhold_lab::packet::{self, Content, TcpFields};
use comfreyhold_lab::ports::Ports;
use comfreyhold_lab::runlog::{RunOutcome, RunRecord};
use comfreyhold_lab::scenario::{Process, stop_before_start_line, wait_until};
use comfreyhold_lab::service_time::ServiceTime;
use comfreyhold_lab::target::{ColdStart, Target, TargetReport, TargetSettings};
use comfreyhold_lab::target_tasks::Announcement;
use comfreyhold_types::prelude::*;
use hyper::{Method, StatusCode};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longer than a test takes, so that requests are still running when a test checks them.
const LONG_SERVICE_TIME: ServiceTime = ServiceTime::Constant(30_000.0);

fn post(target: SocketAddr, path: &'static str) -> JoinHandle<Sent> {
    tokio::spawn(async move {
        let request = http::request(Method::POST, target, path, "body").expect("request");
        Client::default().send(target, request, LIMIT).await
    })
}

/// Returns the status of a response, and whether it says that the request was not executed.
fn status(sent: &Sent) -> Option<(StatusCode, bool)> {
    let Sent::Answered(response) = sent else { return None };
    let not_executed = response.headers().get("x-request-executed").is_some_and(|v| v == "false");
    Some((response.status(), not_executed))
}

async fn start_slow_target(settings: TargetSettings) -> Target {
    Target::start(TargetSettings { service_time: LONG_SERVICE_TIME, ..settings })
        .await
        .expect("target")
}

fn settings() -> TargetSettings {
    TargetSettings::builder().service("orders").service_time(ServiceTime::Constant(1.0)).build()
}

/// Guards against a process that does not report its address, or does not stop on a signal.
#[tokio::test]
async fn binary_serves_and_stops_on_request() {
    let folder = tempfile::tempdir().unwrap();
    let args = ["target", "--service", "orders", "--service-time", "constant:1"];
    let mut process = Process::start("target", program(), args, folder.path()).await.unwrap();
    let address = process.start_line().address("http").unwrap();
    assert_eq!(status(&post(address, "/order/1").await.unwrap()), Some((StatusCode::OK, false)));
    let runs: Vec<RunRecord> = http::get_json_lines(address, "/lab/runs").await.unwrap();
    assert_eq!(runs.len(), 1);
    assert_eq!((runs[0].path.as_str(), runs[0].outcome), ("/order/1", RunOutcome::Completed));
    assert!(process.terminate(LIMIT).await.unwrap().success());
}

/// Guards against a process that a signal ends without an orderly stop because it arrives directly after the start
/// line, or before it: `up` then leaves its daemons running.
#[tokio::test]
async fn signal_before_the_start_line_stops_the_process_in_order() {
    let address = Ports::anywhere().give().unwrap();
    let mut command = Command::new(program());
    command.args(["target", "--service", "orders", "--listen", &address.to_string()]);
    let status = stop_before_start_line(command, address).await.unwrap();
    assert!(status.success(), "{status}");
}

/// Guards against stand-in processes that run on after their run limit.
#[tokio::test]
async fn binary_stops_at_its_run_limit() {
    let folder = tempfile::tempdir().unwrap();
    let args = ["target", "--service", "orders", "--run-limit-ms", "1"];
    let process = Process::start("target", program(), args, folder.path()).await.unwrap();
    let log = process.log().to_owned();
    let stopped = || std::fs::read_to_string(&log).is_ok_and(|text| text.contains("RunLimit"));
    wait_until("stop at the run limit", LIMIT, stopped).await.unwrap();
}

/// Guards against a refused request that ran, or whose response does not say that it was not executed.
#[tokio::test]
async fn full_target_refuses_before_running() {
    let target = start_slow_target(TargetSettings { shed_above: Some(1), ..settings() }).await;
    let address = SocketAddr::from(target.address());
    let first = post(address, "/order/1");
    wait_until("first runs", LIMIT, || target.report().running == 1).await.unwrap();
    let second = post(address, "/order/2").await.unwrap();
    assert_eq!(status(&second), Some((StatusCode::SERVICE_UNAVAILABLE, true)));
    let shed = target.runs().into_iter().find(|run| run.path == "/order/2").unwrap();
    assert_eq!(shed.outcome, RunOutcome::RefusedShed);
    assert_eq!(target.report().started, 1);
    first.abort();
}

/// Guards against undetected overload of a target by an entry.
#[tokio::test]
async fn starts_beyond_the_slots_are_counted() {
    let target = start_slow_target(TargetSettings { slots: 1, ..settings() }).await;
    let address = SocketAddr::from(target.address());
    let running = [post(address, "/order/1"), post(address, "/order/2")];
    wait_until("both run", LIMIT, || target.report().running == 2).await.unwrap();
    assert_eq!(target.report().over_slots, 1);
    running.iter().for_each(JoinHandle::abort);
}

/// Guards against a cancelled request that keeps its slot or is recorded as completed.
#[tokio::test]
async fn closed_connection_cancels_the_run() {
    let target = start_slow_target(settings()).await;
    let caller = post(target.address().into(), "/order/1");
    wait_until("request runs", LIMIT, || target.report().running == 1).await.unwrap();
    caller.abort();
    wait_until("run ends", LIMIT, || target.report().running == 0).await.unwrap();
    assert_eq!(target.runs()[0].outcome, RunOutcome::Cancelled);
}

/// Guards against a request that runs on after its deadline.
#[tokio::test]
async fn deadline_ends_the_run() {
    let target = start_slow_target(settings()).await;
    let address = SocketAddr::from(target.address());
    let mut request = http::request(Method::POST, address, "/order/1", "").unwrap();
    request.headers_mut().insert("x-request-timeout-ms", 20.into());
    let sent = Client::default().send(address, request, LIMIT).await;
    assert_eq!(status(&sent), Some((StatusCode::GATEWAY_TIMEOUT, false)));
    assert_eq!(target.runs()[0].outcome, RunOutcome::Deadline);
}

/// Guards against a planned stop that truncates a response while its caller reads slowly.
#[tokio::test]
async fn stop_waits_for_complete_responses() {
    // More than the socket buffers of both endpoints hold, so that the response is being written during the stop.
    const RESPONSE_BYTES: usize = 32_000_000;
    let target = Target::start(TargetSettings { response_bytes: RESPONSE_BYTES, ..settings() })
        .await
        .unwrap();
    let address = SocketAddr::from(target.address());
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET /order/1 HTTP/1.1\r\nhost: orders\r\n\r\n").await.unwrap();
    let ran = || target.runs().iter().any(|run| run.outcome == RunOutcome::Completed);
    wait_until("request runs", LIMIT, ran).await.unwrap();
    let stopping = tokio::spawn(target.stop(LIMIT));
    let refused = || std::net::TcpStream::connect(address).is_err();
    wait_until("target refuses connections", LIMIT, refused).await.unwrap();
    let mut response = Vec::new();
    timeout(LIMIT, caller.read_to_end(&mut response)).await.unwrap().unwrap();
    assert!(response.len() > RESPONSE_BYTES, "{} bytes", response.len());
    stopping.await.unwrap();
}

/// Guards against a cold target that accepts requests beyond its limits, and against one that never gets warm.
#[tokio::test]
async fn cold_target_refuses_requests_beyond_its_limits() {
    let cold = ColdStart::builder().bears_per_s(1).build();
    let target = Target::start(TargetSettings { cold, ..settings() }).await.unwrap();
    let address = SocketAddr::from(target.address());
    http::call(Method::POST, address, "/lab/cold", b"{\"duration_ms\":60000}".to_vec())
        .await
        .unwrap();
    let first = post(address, "/order/1").await.unwrap();
    assert_eq!(status(&first), Some((StatusCode::OK, false)));
    let mut refused = false;
    for _ in 0..3 {
        let sent = post(address, "/order/2").await.unwrap();
        refused |= status(&sent) == Some((StatusCode::SERVICE_UNAVAILABLE, true));
    }
    assert!(refused);
    target.make_cold(Duration::ZERO);
    assert!(!target.report().cold);
    let warm = post(address, "/order/3").await.unwrap();
    assert_eq!(status(&warm), Some((StatusCode::OK, false)));
}

/// Guards against a paused target that responds, and against one that loses a request received while paused.
#[tokio::test]
async fn paused_target_responds_after_it_resumes() {
    let target = Target::start(settings()).await.unwrap();
    let address = SocketAddr::from(target.address());
    http::call(Method::POST, address, "/lab/pause", Vec::new()).await.unwrap();
    let waiting = post(address, "/order/1");
    let report: TargetReport = http::get_json(address, "/lab/state").await.unwrap();
    assert!(report.paused);
    assert_eq!(report.started, 0);
    target.set_paused(false);
    assert_eq!(status(&waiting.await.unwrap()), Some((StatusCode::OK, false)));
}

/// Guards against announcements that stop at an unresponsive entry, and against a drain that is announced only
/// after the announcement interval.
#[tokio::test]
async fn announcements_fail_over_and_a_drain_is_announced_at_once() {
    // Connections to this listener are never accepted.
    let unserved = TcpListener::bind(loopback()).await.unwrap();
    let unresponsive = unserved.local_addr().unwrap();
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let entry = listener.local_addr().unwrap();
    let received: Arc<Mutex<Vec<Announcement>>> = Arc::default();
    let received_tx = Arc::clone(&received);
    let server = tokio::spawn(http::serve(listener, move |request| {
        let received = Arc::clone(&received_tx);
        async move {
            assert_eq!(request.uri().path(), "/v1/targets");
            let value: serde_json::Value = http::read_json(request).await.expect("json");
            let Ok(announcement) = serde_json::from_value(value) else {
                return text(StatusCode::BAD_REQUEST, "unexpected announcement");
            };
            lock(&received).push(announcement);
            json(&())
        }
    }));
    // The announcement interval is far longer than `LIMIT`, so that only a state change triggers the second one.
    let lease = Duration::from_secs(600);
    let settings = TargetSettings { entries: vec![unresponsive, entry], lease, ..settings() };
    let target = Target::start(settings).await.unwrap();
    wait_until("announcement", LIMIT, || !lock(&received).is_empty()).await.unwrap();
    http::call(Method::POST, target.address().into(), "/lab/drain", Vec::new()).await.unwrap();
    let drain_announced = || lock(&received).iter().any(|a| a.state == TargetState::Draining);
    wait_until("drain announced", LIMIT, drain_announced).await.unwrap();
    let announcements = lock(&received).clone();
    assert_eq!(announcements[0].address, target.address().into());
    assert_eq!(announcements[0].state, TargetState::Serving);
    assert!(announcements.windows(2).all(|pair| pair[0].sequence < pair[1].sequence));
    server.abort();
}

const CALLER: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 9, 0, 1), 4_000);
const TARGET: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 5_000);

/// Passes a TCP segment of the caller to the echo, and returns the segment that it sends in response.
fn echo_tcp(echo: &mut Echo, fields: TcpFields, payload: &[u8]) -> Option<(TcpFields, Vec<u8>)> {
    let bytes = echo.handle(&packet::tcp(CALLER, TARGET, fields, payload), 1)?;
    let packet = packet::parse(&bytes).expect("response");
    assert!(packet.checksums_ok);
    assert_eq!((packet.source, packet.destination), (TARGET, CALLER));
    let Content::Tcp(fields, payload) = packet.content else { return None };
    Some((fields, payload.to_vec()))
}

/// Guards against an echo that accepts data on a flow that was not opened there: that would hide a flow that
/// was moved to another target.
#[test]
fn tcp_echo_responds_to_opened_flows_and_resets_others() {
    let mut echo = Echo::new("orders", TARGET);
    let stray = TcpFields { seq: 7, ack: Some(9), ..TcpFields::default() };
    let (reset, _) = echo_tcp(&mut echo, stray, b"orders;x").unwrap();
    assert!(reset.rst);
    let syn = TcpFields { seq: 100, syn: true, ..TcpFields::default() };
    let (opened, _) = echo_tcp(&mut echo, syn, b"").unwrap();
    assert!(opened.syn && opened.ack == Some(101));
    let data = TcpFields { seq: 101, ack: Some(opened.seq + 1), ..TcpFields::default() };
    let (echoed, payload) = echo_tcp(&mut echo, data, b"orders;hello").unwrap();
    assert_eq!(payload, b"orders;hello");
    assert_eq!((echoed.ack, echoed.seq), (Some(113), opened.seq + 1));
    let counters = echo.counters();
    assert_eq!((counters.flows_seen, counters.flows_reset), (1, 1));
}

/// Guards against packets with a wrong checksum, address or service that are not counted.
#[test]
fn misdelivered_packets_are_counted() {
    let mut echo = Echo::new("orders", TARGET);
    let mut corrupt = packet::udp(CALLER, TARGET, b"orders;1");
    *corrupt.last_mut().unwrap() ^= 1;
    assert_eq!(echo.handle(&corrupt, 1), None);
    assert_eq!(echo.handle(&packet::udp(CALLER, CALLER, b"orders;1"), 1), None);
    assert!(echo.handle(&packet::udp(CALLER, TARGET, b"catalogue;1"), 1).is_some());
    let counters = echo.counters();
    let seen = (counters.bad_checksums, counters.wrong_address, counters.wrong_service);
    assert_eq!(seen, (1, 1, 1));
}
