//! Load generator: outcomes as callers see them, resends, and the comparison with the targets' logs.

use crate::common::{Behaviour, LIMIT, loopback, program, start_forwarder};
use comfreyhold_lab::checks::imbalance;
use comfreyhold_lab::http::{self, json};
use comfreyhold_lab::load::{self, LoadSettings, RequestKind, arrivals, part_seed};
use comfreyhold_lab::report::{Latencies, Report};
use comfreyhold_lab::request_load::Outcome;
use comfreyhold_lab::scenario::wait_until;
use comfreyhold_lab::service_time::ServiceTime;
use comfreyhold_lab::target::{Target, TargetSettings};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::task::JoinSet;

async fn target(refuse_percent: u8) -> Target {
    let settings = TargetSettings::builder()
        .service("orders")
        .service_time(ServiceTime::Constant(1.0))
        .refuse_percent(refuse_percent)
        .build();
    Target::start(settings).await.expect("target")
}

fn kind(name: &str, method: &str, keyed: bool) -> RequestKind {
    RequestKind {
        name: name.to_owned(),
        service: "orders".to_owned(),
        method: method.to_owned(),
        keyed,
        rate_per_s: 100.0,
        timeout_ms: Some(5_000),
        body_bytes: 10,
    }
}

fn settings(entries: Vec<SocketAddr>, target: SocketAddrV4) -> LoadSettings {
    LoadSettings {
        seed: 11,
        duration_ms: 300,
        entries,
        kinds: vec![kind("reserve", "POST", true), kind("feed", "GET", false)],
        flows: Vec::new(),
        targets: vec![target.into()],
        answer_timeout_ms: 20_000,
        max_sends: 3,
    }
}

async fn run(settings: &LoadSettings) -> Report {
    load::run(settings, "test").await.expect("load")
}

/// An address that refuses connections: its socket is bound and does not listen. The port stays taken, so that no
/// other test is given it. A listener that was closed would not do: a process that is starting at the time inherits a
/// copy, which accepts connections until its program begins.
struct RefusingAddress(Socket);

impl RefusingAddress {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        socket.bind(&loopback().into()).expect("bind");
        Self(socket)
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("address").as_socket().expect("an IP address")
    }
}

/// Guards against checks that fail although no fault occurred.
#[tokio::test]
async fn load_without_faults_passes_the_checks() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    let report = run(&settings(vec![entry], target.address())).await;
    let requests: u64 = report.kinds.values().map(|kind| kind.requests).sum();
    assert!(requests > 20, "{}", report.table());
    assert_eq!(report.outcome(Outcome::Completed), requests, "{}", report.table());
    assert!(report.checks.holds(), "{}", report.table());
    assert_eq!(report.checks.runs_completed, requests);
    assert_eq!(report.timeline.iter().map(|step| step.completed).sum::<u64>(), requests);
}

/// Guards against genuine refusals that are counted as unknown or as a violation.
#[tokio::test]
async fn genuine_refusals_pass_the_checks() {
    let mut tasks = JoinSet::new();
    let target = target(50).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    let report = run(&settings(vec![entry], target.address())).await;
    assert!(report.outcome(Outcome::Refused) > 0, "{}", report.table());
    assert_eq!(report.outcome(Outcome::Unknown), 0, "{}", report.table());
    assert!(report.checks.holds(), "{}", report.table());
}

/// Guards against a request that ran although it was refused, and is not reported.
#[tokio::test]
async fn false_refusals_are_detected() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::ClaimNotRun).await;
    let report = run(&settings(vec![entry], target.address())).await;
    assert!(report.checks.refused_but_ran.count > 0);
    assert_eq!(report.checks.refused_but_ran.count, report.outcome(Outcome::Refused));
    assert!(!report.checks.holds());
}

/// Guards against a key that ran twice and is not reported. The forwarders ignore keys, so a resend
/// after a lost response runs again.
#[tokio::test]
async fn second_runs_of_a_key_are_detected() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let lossy = start_forwarder(&mut tasks, target.address(), Behaviour::DropResponse).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    let mut settings = settings(vec![lossy, entry], target.address());
    settings.answer_timeout_ms = 1_000;
    let report = run(&settings).await;
    assert!(report.checks.key_ran_twice.count > 0, "{}", report.table());
    assert!(!report.checks.holds());
    assert!(report.kinds["reserve"].sends > report.kinds["reserve"].requests);
}

/// Guards against a resend of a request that must not run twice, and against a lost response that is
/// not counted as unknown.
#[tokio::test]
async fn unkeyed_posts_are_not_resent_after_a_lost_response() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let lossy = start_forwarder(&mut tasks, target.address(), Behaviour::DropResponse).await;
    let mut settings = settings(vec![lossy], target.address());
    settings.kinds = vec![kind("plain", "POST", false)];
    settings.answer_timeout_ms = 200;
    let report = run(&settings).await;
    let plain = &report.kinds["plain"];
    assert_eq!(plain.sends, plain.requests);
    assert_eq!(report.outcome(Outcome::Unknown), plain.requests, "{}", report.table());
    assert!(report.checks.holds(), "{}", report.table());
}

/// Guards against a request without a key that an entry runs twice, unreported.
#[tokio::test]
async fn second_runs_of_unkeyed_posts_are_detected() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::RunTwice).await;
    let mut settings = settings(vec![entry], target.address());
    settings.kinds = vec![kind("plain", "POST", false), kind("feed", "GET", false)];
    let report = run(&settings).await;
    let violations = report.checks.unkeyed_ran_twice.count;
    assert_eq!(violations, report.kinds["plain"].requests, "{}", report.table());
    assert!(!report.checks.holds());
}

/// Guards against requests that reach a target of another service, unreported.
#[tokio::test]
async fn misdelivered_requests_are_detected() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    let mut settings = settings(vec![entry], target.address());
    settings.kinds.iter_mut().for_each(|kind| kind.service = "catalogue".to_owned());
    let report = run(&settings).await;
    let requests: u64 = report.kinds.values().map(|kind| kind.requests).sum();
    assert_eq!(report.checks.wrong_service, requests);
    assert_eq!(report.outcome(Outcome::Completed), 0, "{}", report.table());
}

/// Guards against checks that leave out the runs of a crashed target.
#[tokio::test]
async fn logs_of_a_crashed_target_are_checked() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let address = target.address();
    let entry = start_forwarder(&mut tasks, address, Behaviour::Forward).await;
    let mut settings = settings(vec![entry], address);
    let results = load::drive(&settings).await.unwrap();
    let log = target.crash().await;
    let unread = load::summarise(&settings, "test", &results, Vec::new()).await;
    assert_eq!(unread.checks.unread_targets, [address.into()]);
    settings.targets.clear();
    let report = load::summarise(&settings, "test", &results, vec![log]).await;
    assert_eq!(report.checks.runs_completed, results.requests.len() as u64);
    assert!(report.checks.holds(), "{}", report.table());
}

/// Connections that are attempted while other processes start. Of addresses whose listener was closed, 32 to 39
/// accepted the connection.
const ATTEMPTS: u32 = 4_000;

/// Threads that start processes at the same time.
const PROCESS_STARTERS: usize = 8;

/// Guards against a refusing address that accepts connections because a process that was starting at the time
/// inherited its listener, or because another test has been given its port. Requests are then lost instead of resent.
#[test]
fn refusing_address_refuses_while_other_processes_start() {
    let done = AtomicBool::new(false);
    let accepted = thread::scope(|scope| {
        for _ in 0..PROCESS_STARTERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    std::process::Command::new("true").status().unwrap();
                }
            });
        }
        let connects = |_: &u32| {
            let refusing = RefusingAddress::new();
            std::net::TcpStream::connect(refusing.address()).is_ok()
        };
        let accepted = (0..ATTEMPTS).filter(connects).count();
        done.store(true, Ordering::Relaxed);
        accepted
    });
    assert_eq!(accepted, 0);
}

/// Guards against requests that fail because one of several entries refuses connections.
#[tokio::test]
async fn requests_are_resent_to_a_reachable_entry() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    let refusing = RefusingAddress::new();
    let mut settings = settings(vec![refusing.address(), entry], target.address());
    settings.kinds.push(kind("plain", "POST", false));
    let report = run(&settings).await;
    let requests: u64 = report.kinds.values().map(|kind| kind.requests).sum();
    assert_eq!(report.outcome(Outcome::Completed), requests, "{}", report.table());
    assert!(report.checks.holds(), "{}", report.table());
}

/// Guards against a response to another request that counts as completed.
#[tokio::test]
async fn crossed_answers_are_found() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::SwapResponse).await;
    let report = run(&settings(vec![entry], target.address())).await;
    assert_eq!(report.outcome(Outcome::Completed), 0, "{}", report.table());
    assert!(report.checks.wrong_answers.count > 0 && !report.checks.holds());
}

/// Guards against responses to requests that no target ran, as a cache or a wrong service would send.
#[tokio::test]
async fn responses_without_a_run_are_detected() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let entry = listener.local_addr().unwrap();
    tasks.spawn(http::serve(listener, |request| async move {
        let path = request.uri().path().to_owned();
        json(&serde_json::json!({
            "path": path, "service": "orders", "target": "", "body_bytes": 10, "filler": ""
        }))
    }));
    let report = run(&settings(vec![entry], target.address())).await;
    let completed = report.outcome(Outcome::Completed);
    assert!(completed > 0);
    assert_eq!(report.checks.answered_but_not_completed.count, completed);
}

/// Guards against arrivals that wait for responses, and against latencies that are measured from the
/// send instead of the scheduled time.
#[tokio::test]
async fn arrivals_do_not_wait_for_responses() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    target.set_paused(true);
    let settings = settings(vec![entry], target.address());
    let scheduled = |index: usize| {
        let seed = part_seed(settings.seed, "requests", index);
        arrivals(100.0, settings.duration(), seed).len() as u64
    };
    let scheduled = scheduled(0) + scheduled(1);
    let load = tokio::spawn(async move { load::drive(&settings).await });
    let all_arrived = || target.report().arrived == scheduled;
    wait_until("all requests arrive without a response", LIMIT, all_arrived).await.unwrap();
    assert_eq!(target.report().started, 0);
    target.set_paused(false);
    let results = load.await.unwrap().unwrap();
    let last = results.requests.iter().map(|r| r.intended).max().unwrap();
    assert!(results.requests.iter().all(|r| r.intended + r.latency >= last));
}

/// Guards against arrivals that miss their rate or that a seed does not reproduce.
#[test]
fn arrivals_follow_rate_and_seed() {
    let times = arrivals(100.0, Duration::from_secs(10), 1);
    assert!((800..1_200).contains(&times.len()), "{}", times.len());
    assert!(times.is_sorted());
    assert_eq!(times, arrivals(100.0, Duration::from_secs(10), 1));
    assert_ne!(times, arrivals(100.0, Duration::from_secs(10), 2));
}

/// Guards against latencies that are clamped to the histogram's initial range, which hid all latencies
/// above 2 ms.
#[test]
fn long_latencies_are_not_clamped() {
    let latencies = Latencies::of((1..=1_000).map(Duration::from_millis));
    assert_eq!(latencies.count, 1_000);
    for (value, expected) in [(latencies.p50_us, 500_000), (latencies.max_us, 1_000_000)] {
        assert!(value.abs_diff(expected) <= expected / 500, "{value} instead of {expected}");
    }
}

/// Guards against an imbalance that is not the highest count over the mean.
#[test]
fn imbalance_is_highest_count_over_mean() {
    assert!((imbalance(&[2, 2, 2]) - 1.0).abs() < 1e-9);
    assert!((imbalance(&[3, 1, 2]) - 1.5).abs() < 1e-9);
    assert!((imbalance(&[]) - 1.0).abs() < 1e-9);
}

/// Guards against a command that writes incomplete results, and against an error for malformed
/// settings that does not name the field.
#[tokio::test]
async fn binary_writes_table_json_and_plot() {
    let mut tasks = JoinSet::new();
    let target = target(0).await;
    let entry = start_forwarder(&mut tasks, target.address(), Behaviour::Forward).await;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("load.yaml");
    let settings = settings(vec![entry], target.address());
    std::fs::write(&file, serde_yaml_ng::to_string(&settings).unwrap()).unwrap();
    let command = |file: &std::path::Path| {
        let mut command = Command::new(program());
        command.args(["load", "--revision", "r1", "--settings"]).arg(file);
        command.arg("--out").arg(folder.path());
        command
    };
    let output = tokio::time::timeout(LIMIT, command(&file).output()).await.unwrap().unwrap();
    assert!(output.status.success(), "{output:?}");
    let table = std::fs::read(folder.path().join("load.txt")).unwrap();
    assert_eq!(output.stdout, table);
    let json = std::fs::read(folder.path().join("load.json")).unwrap();
    let report: Report = serde_json::from_slice(&json).unwrap();
    assert_eq!((report.revision.as_str(), report.settings), ("r1", settings));
    let plot = std::fs::read_to_string(folder.path().join("load.svg")).unwrap();
    assert!(plot.contains("<svg") && plot.contains("broken flows"));
    std::fs::write(&file, "{seed: 1, duration_ms: 1, max_sends: 0}").unwrap();
    let refused = command(&file).output().await.unwrap();
    assert!(!refused.status.success());
    assert!(String::from_utf8_lossy(&refused.stderr).contains("max_sends"));
}
