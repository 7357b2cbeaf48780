//! Openings that the link of the entry can't carry.

use crate::support::*;
use comfreyhold_flow::cookie::{DiscardReason, PacketKind, Verdict};

/// Guards against a question about an opening that changes the balancer's record, or that takes a forwarded flow for
/// a new one.
#[test]
fn asking_for_the_route_of_an_opening_records_nothing() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a")]);
    let known = |fixture: &Fixture| {
        let opening = fixture.balancer.opening_route(&opening(1, 0)).unwrap();
        assert_eq!(opening.route.address, service_address(1));
        opening.is_known
    };
    assert!(!known(&fixture));
    assert_eq!(fixture.balancer.flow_count(), 0);
    fixture.open(1);
    assert!(known(&fixture));
    let mut elsewhere = opening(1, 0);
    elsewhere.flow.service = service_address(9);
    assert!(fixture.balancer.opening_route(&elsewhere).is_none(), "no route");
}

/// Guards against a target that is avoided for not answering an opening that was never sent, and against load that
/// stays with it.
#[test]
fn an_unsent_opening_is_no_missing_answer_of_its_target() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a")]);
    let target = fixture.open(1);
    fixture.balancer.forget_unsent(&flow(1));
    assert_eq!(fixture.balancer.flow_count(), 0);
    fixture.advance(200);
    assert!(target_of(fixture.send(&opening(1, 1))).is_some());
    let directory = fixture.balancer.directory();
    let first = directory.get(directory.find(cookie(target.0)).unwrap()).unwrap();
    assert!(!first.health.is_suspect(fixture.now));
    let loads: f64 = directory.iter().map(|(_, target)| target.load).sum();
    assert!((loads - 1.0).abs() < 0.01, "the load of one flow: {loads}");
}

/// Guards against a flow that is forgotten although one of its openings was sent, or a target has answered.
#[test]
fn flows_that_were_sent_are_kept() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a")]);
    let first = fixture.open(1);
    fixture.advance(200);
    let second = target_of(fixture.send(&opening(1, 1))).unwrap();
    assert_ne!(second, first.0);
    let target = fixture.open(2);
    fixture.send(&packet(2, PacketKind::Established, cookie(target.0)));
    for port in [1, 2] {
        fixture.balancer.forget_unsent(&flow(port));
    }
    assert_eq!(fixture.balancer.flow_count(), 2);
    let unknown = fixture.send(&packet(3, PacketKind::Established, Default::default()));
    assert_eq!(unknown, Verdict::Discard(DiscardReason::UnknownTarget));
}
