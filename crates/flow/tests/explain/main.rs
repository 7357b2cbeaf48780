//! Explanations of packets, compared with what then becomes of them.

#![allow(clippy::unwrap_used)]

mod play;
mod support;

use comfreyhold_flow::cookie::Verdict;
use comfreyhold_flow::cookie::explain::{ExplainError, MAX_LISTED, Query, Standing};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::codes::ResultCode;
use play::Play;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::{Fixture, address, caller, disagreement, opening, spec};

/// Maximum size of an explanation in JSON, in bytes.
const MAX_BYTES: usize = 64 * 1024;

/// Maximum time that an explanation takes.
const MAX_TIME: Duration = Duration::from_millis(5);

/// What must have been explained, for the comparison to mean something.
const REQUIRED: [&str; 17] = [
    "drop foreign-target",
    "drop overload",
    "forward best-score",
    "forward early-copy",
    "forward open-flow",
    "forward trial",
    "reset overloaded",
    "spill-over",
    "target chosen",
    "target cold",
    "target draining",
    "target silent",
    "target slow",
    "target tried",
    "target unanswered",
    "target withdrawn",
    "wait no-room",
];

/// Guards against explanations that differ from the decision on the packet, and against explanations that change
/// a counter, a turn, a queue, a trial, a flow or anything else at the entry.
#[test]
fn packets_are_decided_as_explained_and_explanations_change_nothing() {
    let mut explained: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 1..=2 {
        let play = Play::new(seed).run();
        assert_eq!(play.disagreements, Vec::<String>::new(), "seed {seed}");
        assert_eq!(play.changed, 0, "seed {seed}");
        assert!(play.compared >= 100, "seed {seed}: {} comparisons", play.compared);
        for (kind, count) in play.explained {
            *explained.entry(kind).or_default() += count;
        }
    }
    println!("{explained:#?}");
    let missing: Vec<_> = REQUIRED.iter().filter(|kind| !explained.contains_key(**kind)).collect();
    assert!(missing.is_empty(), "not explained: {missing:?}");
}

/// Guards against explanations that leave out, or count in, the retransmissions of a surge.
#[test]
fn retransmissions_of_a_surge_are_explained() {
    let mut fixture = Fixture::starting();
    fixture.balancer.set_target(spec(1, "orders", "a", fixture.now), fixture.now);
    let mut reasons = BTreeMap::new();
    for number in 0..60 {
        let query = Query { copy: number % 3, ..opening(2, number) };
        let before = format!("{:?}", fixture.balancer);
        let explained = fixture.explain(&query);
        assert_eq!(format!("{:?}", fixture.balancer), before);
        let verdict = fixture.send(&query.packet());
        assert_eq!(disagreement(&explained, &verdict), None);
        *reasons.entry(explained.unwrap().decision.reason).or_insert(0) += 1;
    }
    assert!(reasons.contains_key("surge"), "{reasons:?}");
}

/// Guards against input that is accepted, or refused without its own result code.
#[test]
fn invalid_input_is_refused_with_a_code() {
    let refused = |fixture: &Fixture, query: &Query| {
        let error = fixture.explain(query).unwrap_err();
        (error.code(), error.code().http_status())
    };
    let fixture = Fixture::new();
    let query = opening(9, 1);
    assert_eq!(refused(&fixture, &query), (ResultCode::NoRoute, 400));
    let query = Query { cookie: Query::parse_cookie("0xabc").ok(), ..opening(1, 1) };
    assert_eq!(refused(&fixture, &query), (ResultCode::UnknownCookie, 400));
    let query = opening(1, 1);
    assert_eq!(refused(&Fixture::without_routes(), &query), (ResultCode::NoRoutesYet, 400));

    let parse = |text: &str| {
        let params = text.split('&').filter_map(|pair| pair.split_once('='));
        let params: BTreeMap<String, String> =
            params.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        Query::parse(&params)
    };
    let rest = "caller=100.64.0.1:2000";
    for text in [
        rest.to_owned(),
        "service=198.18.0.1:443".to_owned(),
        format!("service=198.18.0.1&{rest}"),
        format!("service=orders:443&{rest}"),
        format!("service=[::1]:443&{rest}"),
        format!("service=198.18.0.1:70000&{rest}"),
        format!("service=198.18.0.1:443&{rest}&cookie=xyz"),
        format!("service=198.18.0.1:443&{rest}&cookie=0"),
        format!("service=198.18.0.1:443&{rest}&cookie=123456789"),
        format!("service=198.18.0.1:443&{rest}&seq=-1"),
        format!("service=198.18.0.1:443&{rest}&copy=many"),
        format!("service=198.18.0.1:443&{rest}&cooky=1"),
    ] {
        let error = parse(&text).unwrap_err();
        assert!(matches!(error, ExplainError::BadQuery(_)), "{text}: {error}");
        assert_eq!((error.code(), error.code().http_status()), (ResultCode::BadField, 400));
    }
    let query = Query { cookie: Query::parse_cookie("ff").ok(), seq: 7, copy: 1, ..opening(1, 3) };
    let path = query.path();
    let text = path.strip_prefix("/explain?").unwrap();
    assert_eq!(parse(text), Ok(query));
    assert_eq!(parse(&text.replace(':', "%3A")), Ok(query));
}

/// An entry with 4,300 targets of one service in all states, load that is shared, and as many waiting openings as
/// there can be.
fn crowded() -> Fixture {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    // Names of the greatest length, of characters that JSON writes with more bytes.
    let name = |number: u64| format!("{number}{}", "\"\\\u{1}".repeat(84));
    for id in 1..=4_300_u64 {
        let mut spec = spec(id, "orders", &name(id % 5), now);
        spec.slots = 1;
        match id % 10 {
            0 => spec.availability = Availability::Draining,
            1 => spec.availability = Availability::Ended,
            2 => spec.cold_until = now + Duration::from_secs(60),
            3 => spec.silent = true,
            _ => {}
        }
        fixture.balancer.set_target(spec, now);
    }
    // While it is unknown how long requests take, all openings beyond the share wait.
    fixture.apply_totals(9.0, [1, 50_000, 50_000]);
    for number in 0..20_000 {
        fixture.send(&opening(2, number).packet());
    }
    fixture
}

/// Guards against answers that grow with the number of targets, hide a reason for exclusion, or hold up packets.
#[test]
fn answers_are_bounded_with_4300_targets() {
    let fixture = crowded();
    let query = opening(2, 30_000);
    let mut least = Duration::MAX;
    for _ in 0..10 {
        let start = Instant::now();
        fixture.explain(&query).unwrap();
        least = least.min(start.elapsed());
    }
    let explanation = fixture.explain(&query).unwrap();
    let json = serde_json::to_string(&explanation).unwrap();
    let targets = &explanation.targets;
    println!(
        "{least:?}, {} bytes, {} listed, {:?}, admission {:?}",
        json.len(),
        targets.listed.len(),
        targets.counts,
        explanation.admission
    );
    assert!(least < MAX_TIME, "{least:?}");
    assert!(json.len() < MAX_BYTES, "{} bytes", json.len());
    assert_eq!((targets.total, targets.listed.len()), (4_300, MAX_LISTED));
    assert_eq!(targets.counts.values().sum::<usize>(), 4_300);
    assert_eq!(targets.listed[0].standing, Standing::Chosen);
    for standing in targets.counts.keys() {
        assert!(targets.listed.iter().any(|target| target.standing == *standing), "{standing}");
    }
    assert!(explanation.admission.waiting >= 4_096, "{:?}", explanation.admission);
}

/// Guards against the target of an open flow that is not shown because it takes no new flows, and against an unknown
/// caller that is taken for an error.
#[test]
fn open_flows_follow_their_cookie_to_a_draining_target() {
    let mut fixture = Fixture::new();
    for id in 1..=2 {
        let mut spec = spec(id, "orders", "a", fixture.now);
        fixture.balancer.set_target(spec.clone(), fixture.now);
        if id == 2 {
            spec.availability = Availability::Draining;
            fixture.balancer.set_target(spec, fixture.now);
        }
    }
    let targets = fixture.balancer.directory().iter();
    let (_, draining) =
        targets.into_iter().find(|(_, t)| t.spec.availability == Availability::Draining).unwrap();
    let cookie = Some(draining.cookie);
    let query = Query { service: address(1), caller: caller(5), cookie, seq: 1, copy: 0 };
    let explanation = fixture.explain(&query).unwrap();
    let verdict = fixture.send(&query.packet());
    assert!(matches!(verdict, Verdict::Forward { target, .. } if target.0 == 2), "{verdict:?}");
    assert_eq!(explanation.decision.target.as_deref(), Some("g2"));
    assert_eq!(explanation.targets.listed[0].standing, Standing::Chosen);
    assert_eq!(explanation.targets.listed[0].availability, Availability::Draining);
}
