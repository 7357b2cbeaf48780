//! `comfreyhold explain` on logs and with stand-ins for entries.

use crate::support::{CommandOutput, assert_refused, run};
use comfreyhold_flow::cookie::explain::{
    Action, AdmissionAction, AdmissionAnswer, AdmissionReason, Decision, DestinationWeight,
    Explanation, InputAges, LinkAction, LinkAnswer, Query, RouteAnswer, Standing, TargetAnswer,
    TargetList,
};
use comfreyhold_flow::cookie::placement::Tier;
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::routes::RequestClass;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

const LOG: &str = r#"
{"time_ms":50,"instance":"entry-1","kind":"readiness","left_out":0,"ready":true}
{"time_ms":60,"instance":"entry-1","kind":"start","left_out":0}
   1.2 entry-1 {"time_ms":100,"instance":"entry-1","kind":"declarations","left_out":0,"change":3,"version":7}
{"time_ms":101,"instance":"entry-1","kind":"target","left_out":0,"target":"g5","availability":"serving"}
{"time_ms":102,"instance":"entry-1","kind":"target","left_out":0,"target":"g6","availability":"draining"}
{"time_ms":300,"instance":"entry-1","kind":"opening","left_out":0,"flow":"1.1.1.1:1>2.2.2.2:2","seq":9,"copy":1,"target":"g5"}
{"time_ms":100,"instance":"entry-2","kind":"opening","left_out":0,"flow":"1.1.1.1:1>2.2.2.2:2","seq":4,"copy":0,"target":"g6"}
{"time_ms":310,"instance":"entry-1","kind":"opening","left_out":0,"flow":"1.1.1.1:7>2.2.2.2:2","seq":9,"copy":0,"target":"g6"}
{"time_ms":320,"instance":"entry-1","ki"#;

/// Guards against output with lines of other flows, or with the state of other processes, other targets or
/// earlier incarnations, and against a truncated last line that hides the rest.
#[test]
fn flow_is_shown_with_preceding_entry_state() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("all.log"), LOG).unwrap();
    let flow = "1.1.1.1:1>2.2.2.2:2";
    let output = run(folder.path(), &["explain", "--flow", flow, "--seq", "9", "all.log"]);
    insta::assert_snapshot!(output.stdout, @r#"
    60 entry-1 before start {"left_out":0}
    100 entry-1 before declarations {"change":3,"left_out":0,"version":7}
    101 entry-1 before target {"availability":"serving","left_out":0,"target":"g5"}
    300 entry-1 opening {"copy":1,"flow":"1.1.1.1:1>2.2.2.2:2","left_out":0,"seq":9,"target":"g5"}
    "#);
}

/// Guards against an error without a result code, and against a success that shows nothing.
#[test]
fn unknown_flows_and_files_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("all.log"), LOG).unwrap();
    assert_refused(
        &run(folder.path(), &["explain", "--flow", "3.3.3.3:3>2.2.2.2:2", "all.log"]),
        3002,
    );
    assert_refused(&run(folder.path(), &["explain", "--flow", "a>b", "none.log"]), 3001);
}

fn target(id: &str, standing: Standing, score: Option<f64>, effective_slots: f64) -> TargetAnswer {
    TargetAnswer {
        id: id.to_owned(),
        standing,
        tier: score.map(|_| Tier::Healthy),
        score,
        domain: "a".to_owned(),
        is_withdrawn: false,
        address: "10.0.0.1:80".parse().unwrap(),
        availability: Availability::Serving,
        cold_ms: 0,
        is_silent: false,
        unanswered: 0,
        avoided_ms: 0,
        is_tried: false,
        load: 1.0,
        others_load: Some(2.5),
        others_age_ms: Some(120),
        announced_slots: 2,
        effective_slots,
        work_ratio: Some(1.02),
        samples: 41.5,
        sample_age_ms: Some(35),
    }
}

/// What an entry answers that would forward the opening to `g1`.
fn explanation() -> Explanation {
    let mut draining = target("g3", Standing::Draining, None, 2.0);
    draining.availability = Availability::Draining;
    (draining.unanswered, draining.avoided_ms, draining.cold_ms) = (2, 350, 1_500);
    let listed = vec![
        target("g1", Standing::Chosen, Some(0.5), 2.0),
        target("g2", Standing::Usable, Some(1.0), 2.0),
        draining,
    ];
    Explanation {
        query: Query {
            service: "198.18.0.1:443".parse().unwrap(),
            caller: "100.64.0.7:40001".parse().unwrap(),
            cookie: None,
            seq: 0,
            copy: 0,
        },
        route: RouteAnswer {
            name: "feeds".to_owned(),
            version: 7,
            change: 12,
            class: RequestClass::Idempotent,
            priority: 1,
            objective_ms: 250,
            usual_work_ms: Some(41.2),
            destinations: vec![DestinationWeight { service: "orders".to_owned(), weight: 3 }],
            destination_count: 1,
            service: Some("orders".to_owned()),
        },
        decision: Decision {
            action: Action::Forward,
            reason: "best-score".to_owned(),
            target: Some("g1".to_owned()),
            cookie: Some("00abcdef".to_owned()),
            wait_ms: None,
        },
        admission: AdmissionAnswer {
            action: AdmissionAction::Forward,
            reason: AdmissionReason::Room,
            wait_ms: None,
            expected_wait_ms: None,
            limit_kind: Some("share".to_owned()),
            limit: Some(12.5),
            share: Some(0.04),
            in_flight: Some(3.0),
            unanswered: 1,
            waiting: 0,
        },
        link: None,
        spill_domain: None,
        targets: TargetList {
            total: 3,
            counts: listed.iter().map(|target| (target.standing, 1)).collect(),
            listed,
        },
        ages: InputAges {
            updates_ms: Some(410),
            totals_ms: Some(80),
            share_ms: Some(80),
            limit_ms: Some(5),
        },
    }
}

/// What an entry answers that knows the second target as slow and the third as serving, and has no room.
fn other_explanation() -> Explanation {
    let mut other = explanation();
    other.decision.action = Action::Wait;
    other.decision.reason = "no-room".to_owned();
    other.decision.wait_ms = Some(4.2);
    other.admission.action = AdmissionAction::Wait;
    other.admission.reason = AdmissionReason::NoRoom;
    other.admission.expected_wait_ms = Some(31.0);
    other.admission.in_flight = Some(12.0);
    other.link = Some(LinkAnswer {
        action: LinkAction::Queue,
        mbps: 1.5,
        queued_packets: 3,
        queued_bytes: 1_800,
        expected_wait_ms: 10.5,
        allowed_wait_ms: Some(62.5),
    });
    other.targets.listed[1].effective_slots = 0.8;
    other.targets.listed[1].work_ratio = Some(2.55);
    other.targets.listed[2] = target("g3", Standing::Usable, Some(1.2), 2.0);
    other.targets.counts = [(Standing::Chosen, 1), (Standing::Usable, 2)].into();
    other
}

/// Starts a stand-in for an entry that gives this response to one request. Without a response, it takes the connection
/// and stays silent.
fn entry(response: Option<(u16, String)>) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        let len = stream.read(&mut request).unwrap();
        let request = String::from_utf8_lossy(&request[..len]).into_owned();
        assert!(request.starts_with(&format!("GET {PATH} ")), "{request}");
        if let Some((status, body)) = response {
            let len = body.len();
            write!(stream, "HTTP/1.1 {status} x\r\ncontent-length: {len}\r\n\r\n{body}").unwrap();
        }
        // Until the command closes the connection.
        let _ = stream.read(&mut [0; 64]);
    });
    address
}

const PATH: &str = "/explain?service=198.18.0.1:443&caller=100.64.0.7:40001&seq=0&copy=0";

fn answer(explanation: &Explanation) -> Option<(u16, String)> {
    Some((200, serde_json::to_string(explanation).unwrap()))
}

/// Runs the command against entries, and replaces their addresses in its output by `entry-1` and so on.
fn explain(entries: &[String], extra: &[&str]) -> CommandOutput {
    let mut args = vec!["explain", "--service", "198.18.0.1:443", "--caller", "100.64.0.7:40001"];
    for entry in entries {
        args.extend(["--entry", entry]);
    }
    args.extend(extra);
    let mut output = run(tempfile::tempdir().unwrap().path(), &args);
    for (position, entry) in entries.iter().enumerate() {
        // Of the same length, so that the columns stay aligned.
        let name = format!("{:<width$}", format!("entry-{}", position + 1), width = entry.len());
        output.stdout = output.stdout.replace(entry, &name);
        output.stderr = output.stderr.replace(entry, name.trim_end());
    }
    output.stdout = output.stdout.lines().map(|line| format!("{}\n", line.trim_end())).collect();
    output
}

/// Guards against a table that leaves out what the decision follows from.
#[test]
fn one_entry_is_shown_with_all_targets() {
    let output = explain(&[entry(answer(&explanation()))], &[]);
    assert_eq!(output.exit_code, Some(0), "{output:?}");
    insta::assert_snapshot!(output.stdout);
}

/// Guards against entries that are shown as if they agreed, and against differences that nobody can act on, such as
/// loads and ages.
#[test]
fn entries_that_disagree_are_shown_side_by_side() {
    let entries = [entry(answer(&explanation())), entry(answer(&other_explanation()))];
    let output = explain(&entries, &[]);
    assert_eq!(output.exit_code, Some(0), "{output:?}");
    insta::assert_snapshot!(output.stdout);
    let mut same = explanation();
    same.ages.totals_ms = Some(9);
    same.targets.listed[0].load = 4.0;
    let entries = [entry(answer(&explanation())), entry(answer(&same))];
    let output = explain(&entries, &[]);
    assert!(output.stdout.ends_with("the entries agree\n"), "{output:?}");
}

/// Guards against entries that hide the answers of others by refusing, by staying silent or by not running, and against
/// a success although one of them did.
#[test]
fn entries_without_an_answer_are_shown_and_fail_the_command() {
    let refusal = r#"{"code":3012,"name":"no-route","family":"operator","message":"no route"}"#;
    let closed = {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.local_addr().unwrap().to_string()
    };
    let entries = [
        entry(Some((400, refusal.to_owned()))),
        entry(answer(&explanation())),
        entry(None),
        entry(Some((503, "busy".to_owned()))),
        entry(Some((200, "{}".to_owned()))),
        closed,
    ];
    let start = Instant::now();
    let output = explain(&entries, &[]);
    let took = start.elapsed();
    assert_refused(&output, 3012);
    assert!(took >= Duration::from_secs(2) && took < Duration::from_secs(20), "{took:?}");
    for part in ["3012 no route", "3015 call timed out", "3015 HTTP status 503", "5001 malformed"] {
        assert!(output.stdout.contains(part), "{part}: {}", output.stdout);
    }
    assert!(output.stdout.contains("forward, best-score"), "{}", output.stdout);
    assert!(output.stderr.contains("entry-6: "), "{}", output.stderr);
}

/// Guards against JSON that scripts can't read back, or that lacks the differences.
#[test]
fn json_holds_the_answers_and_their_differences() {
    let entries = [entry(answer(&explanation())), entry(answer(&other_explanation()))];
    let output = explain(&entries, &["--json"]);
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    let first = serde_json::from_value(json["entries"][0]["explanation"].clone()).unwrap();
    assert_eq!(explanation(), first);
    let differences = json["differences"].as_array().unwrap();
    assert!(differences.iter().any(|text| text.as_str().unwrap().contains("g3")), "{json}");
}

/// Guards against invalid arguments that reach an entry, and against a mix of both uses.
#[test]
fn invalid_arguments_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let base = ["explain", "--entry", "127.0.0.1:9", "--service", "198.18.0.1:443"];
    let caller = ["--caller", "100.64.0.7:40001"];
    for extra in [
        &[][..],
        &["--caller", "nobody"],
        &["--caller", "100.64.0.7"],
        &[caller[0], caller[1], "--cookie", "xyz"],
        &[caller[0], caller[1], "--entry", "front-1"],
        &[caller[0], caller[1], "--flow", "a>b", "all.log"],
    ] {
        assert_refused(&run(folder.path(), &[&base[..], extra].concat()), 3002);
    }
    let many: Vec<&str> = std::iter::repeat_n(["--entry", "127.0.0.1:9"], 64).flatten().collect();
    assert_refused(&run(folder.path(), &[&base[..], &caller, &many].concat()), 3002);
}
