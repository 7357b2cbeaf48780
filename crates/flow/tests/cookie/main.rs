//! Decisions on packets whose cookie identifies their target.

#![allow(clippy::unwrap_used, clippy::panic)]

mod early;
mod restarts;
mod support;
mod unsent;

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{
    Balancer, CallerPacket, Cookie, DiscardReason, PacketKind, ResetReason, Verdict,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::{Destination, RouteTable};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::*;

/// Guards against a flow that breaks because its packets come through an entry that has not seen it.
#[test]
fn any_entry_finds_the_target_of_a_flow_by_its_cookie() {
    let mut first = fixture_with_targets(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut second = fixture_with_targets(&[(3, "c"), (2, "b"), (1, "a")]);
    for port in 0..50 {
        let target = first.open(port);
        let later = packet(port, PacketKind::Established, cookie(target.0));
        assert_eq!(target_of(second.send(&later)), Some(target.0));
    }
}

/// Guards against a packet that reaches another service by a forged cookie or a reused address.
#[test]
fn packets_with_the_cookie_of_a_foreign_service_are_discarded() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    let foreign = spec(2, "sheets", "a", fixture.now);
    fixture.set_target(foreign);
    let verdict = fixture.send(&packet(1, PacketKind::Established, cookie(2)));
    assert_eq!(verdict, Verdict::Discard(DiscardReason::ForeignTarget));
}

/// Guards against established flows that break when their route is changed to another service.
#[test]
fn a_changed_route_keeps_established_flows_on_their_target() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    let sheet = spec(2, "sheets", "a", fixture.now);
    fixture.set_target(sheet);
    fixture.publish(2, vec![route(1, "sheets")]);
    assert_eq!(target_of(fixture.send(&packet(1, PacketKind::Established, cookie(1)))), Some(1));
    assert_eq!(fixture.open(2).0, 2, "a new flow goes to the new service");
}

/// Guards against flows of a removed route that continue, and against resets of flows whose route may be
/// newer than the routes of this entry.
#[test]
fn only_flows_of_removed_routes_are_reset() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    fixture.publish(2, vec![route(2, "orders")]);
    let removed = fixture.send(&packet(1, PacketKind::Established, cookie(1)));
    assert_eq!(removed, Verdict::Reset(ResetReason::RouteRemoved));
    assert_eq!(fixture.send(&opening(1, 0)), Verdict::Reset(ResetReason::NoRoute));
    let mut unknown = packet(1, PacketKind::Established, cookie(1));
    unknown.flow.service = service_address(9);
    assert_eq!(fixture.send(&unknown), Verdict::Discard(DiscardReason::UnknownRoute));
}

/// Guards against new flows on targets that drain or whose domain is withdrawn, and against established
/// flows that lose such a target.
#[test]
fn leaving_targets_keep_flows_and_get_no_new_ones() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b"), (3, "c")]);
    let draining =
        TargetSpec { availability: Availability::Draining, ..spec(1, "orders", "a", fixture.now) };
    fixture.set_target(draining);
    fixture.withdraw("b", true);
    for port in 0..50 {
        assert_eq!(fixture.open(port).0, 3);
    }
    for id in [1, 2] {
        let open = packet(100, PacketKind::Established, cookie(id));
        assert_eq!(
            target_of(fixture.send(&CallerPacket { flow: flow(100 + id as u16), ..open })),
            Some(id)
        );
    }
}

/// Guards against overload of the targets of a domain that was just restored and may be cold.
#[test]
fn targets_of_a_restored_domain_count_as_cold_for_the_restore_period() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b")]);
    fixture.withdraw("a", true);
    fixture.withdraw("a", false);
    for port in 0..20 {
        assert_eq!(fixture.open(port).0, 2);
    }
    fixture.advance(2_100);
    assert!((20..60).any(|port| fixture.open(port).0 == 1));
}

/// Guards against requests on a cold target while others can take them.
#[test]
fn cold_targets_get_flows_only_when_there_is_no_other() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b")]);
    let cold_until = fixture.now + Duration::from_secs(2);
    fixture.set_target(TargetSpec { cold_until, ..spec(1, "orders", "a", fixture.now) });
    for port in 0..20 {
        assert_eq!(fixture.open(port).0, 2);
    }
    let ended =
        TargetSpec { availability: Availability::Ended, ..spec(2, "orders", "b", fixture.now) };
    fixture.set_target(ended);
    assert_eq!(fixture.open(50).0, 1);
}

/// Guards against an opening that stays unanswered for a second because its target is dead, full or
/// unreachable.
#[test]
fn a_retransmitted_opening_goes_to_another_target() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b"), (3, "c")]);
    let first = fixture.open(1);
    fixture.advance(200);
    let second = target_of(fixture.send(&opening(1, 1))).unwrap();
    fixture.advance(400);
    let third = target_of(fixture.send(&opening(1, 2))).unwrap();
    assert_eq!(BTreeSet::from([first.0, second, third]).len(), 3);
}

/// Guards against a flow that moves to a second target, which answered a retransmission of the opening late
/// and replaced the cookie of the first target.
#[test]
fn a_late_second_answer_does_not_move_a_flow() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b")]);
    let first = fixture.open(1).0;
    let other = 3 - first;
    fixture.send(&packet(1, PacketKind::Established, cookie(first)));
    let later = fixture.send(&data(1, cookie(other), 20, 30));
    assert_eq!(target_of(later), Some(first));
    let Verdict::Forward { cookie: corrected, .. } = later else { panic!("{later:?}") };
    assert_eq!(corrected, cookie(first), "the cookie is corrected");
}

/// Guards against openings that keep going to an unresponsive target, and against a target that is never
/// tried again.
#[test]
fn an_unresponsive_target_is_avoided_and_tried_again() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a")]);
    let mut to_dead = 0;
    for port in 0..200 {
        if fixture.open(port).0 == 1 {
            to_dead += 1;
            fixture.advance(200);
            assert_eq!(target_of(fixture.send(&opening(port, 1))), Some(2));
        }
        fixture.send(&packet(port, PacketKind::Established, cookie(2)));
        fixture.send(&packet(port, PacketKind::Finish, cookie(2)));
        fixture.advance(50);
    }
    // 200 openings take more than 10 s: backoffs of 0.4, 0.8, 1.6, 3.2 and 5 s allow for 6 attempts.
    assert!((2..=7).contains(&to_dead), "{to_dead} openings went to the dead target");
}

/// Guards against openings that were unread while the entry was paused, and that a target answers after the
/// caller has opened the flow elsewhere.
#[test]
fn openings_that_were_unread_for_long_are_dropped() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    let verdict = fixture.balancer.route_packet(&opening(1, 0), true, Duration::ZERO, fixture.now);
    assert_eq!(verdict, Verdict::Discard(DiscardReason::LateOpening));
    let open = packet(1, PacketKind::Established, cookie(1));
    assert_eq!(
        target_of(fixture.balancer.route_packet(&open, true, Duration::ZERO, fixture.now)),
        Some(1)
    );
}

/// Guards against callers that wait until their deadline although no target can serve them.
#[test]
fn an_opening_without_usable_target_is_reset_at_once() {
    let mut fixture = fixture_with_targets(&[]);
    assert_eq!(fixture.send(&opening(1, 0)), Verdict::Reset(ResetReason::NoTarget));
}

/// Guards against resets of flows whose target still sends its last answers, and against packets that are
/// discarded without a reset once it has ended.
#[test]
fn flows_of_an_ended_target_are_reset_after_a_grace_period() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    let ended =
        TargetSpec { availability: Availability::Ended, ..spec(1, "orders", "a", fixture.now) };
    fixture.set_target(ended);
    let open = packet(1, PacketKind::Established, cookie(1));
    assert_eq!(target_of(fixture.send(&open)), Some(1));
    fixture.advance(2_100);
    assert_eq!(fixture.send(&open), Verdict::Reset(ResetReason::TargetEnded));
}

/// Guards against entries that can't tell the starts of a target apart. What becomes of the former start's flows is tested
/// in `restarts`.
#[test]
fn a_restarted_target_has_another_cookie() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    fixture.set_target(TargetSpec { born_ms: 9_000, ..spec(1, "orders", "a", fixture.now) });
    match fixture.send(&opening(1, 0)) {
        Verdict::Forward { cookie, .. } => assert_eq!(cookie, Cookie::of(TargetId(1), 9_000)),
        other => panic!("{other:?}"),
    }
    assert_ne!(Cookie::of(TargetId(1), 9_000), cookie(1));
}

/// Guards against callers that wait until their deadline for a crashed target whose address another one uses
/// now. It happens when the targets of a domain fail together and return after seconds.
#[test]
fn flows_of_a_target_whose_address_is_reused_are_reset_at_once() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    let open = packet(1, PacketKind::Established, cookie(1));
    assert_eq!(target_of(fixture.send(&open)), Some(1));
    let address = spec(1, "orders", "a", fixture.now).address;
    let later = TargetSpec { address, ..spec(7, "sheets", "a", fixture.now) };
    fixture.set_target(later);
    assert_eq!(fixture.send(&open), Verdict::Reset(ResetReason::TargetEnded));
    let late_report = spec(1, "orders", "a", fixture.now);
    fixture.set_target(late_report);
    assert_eq!(fixture.send(&open), Verdict::Reset(ResetReason::TargetEnded));
}

/// Guards against the later of two incarnations being replaced because the earlier one is reported after it.
#[test]
fn an_earlier_incarnation_reported_late_replaces_nothing() {
    let mut fixture = fixture_with_targets(&[]);
    let late = TargetSpec { born_ms: 9_000, ..spec(1, "orders", "a", fixture.now) };
    fixture.set_target(late);
    let early = spec(1, "orders", "a", fixture.now);
    fixture.set_target(early);
    match fixture.send(&opening(1, 0)) {
        Verdict::Forward { cookie, .. } => assert_eq!(cookie, Cookie::of(TargetId(1), 9_000)),
        other => panic!("{other:?}"),
    }
}

/// Guards against declarations that revert when a slow control daemon sends older ones.
#[test]
fn older_declarations_are_ignored() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    fixture.publish(2, vec![route(1, "orders"), route(2, "orders")]);
    let older =
        Routing { change: 1, table: Some(Arc::new(RouteTable::default())), ..Routing::default() };
    assert!(!fixture.balancer.set_routing(older, fixture.now));
    assert_eq!(fixture.balancer.routing().table.as_ref().unwrap().routes.len(), 2);
}

/// Guards against full targets while others of the domain have free slots, with flows of one request each
/// that all go through one entry.
#[test]
fn short_flows_spread_over_the_slots() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);
    let mut counts = [0; 5];
    for port in 0..8 {
        counts[fixture.open(port).0 as usize] += 1;
    }
    assert_eq!(counts[1..], [2, 2, 2, 2]);
}

/// Guards against flows to other domains while the local one has free slots, and against an overloaded local
/// domain while others are idle.
#[test]
fn the_local_domain_is_preferred_until_it_has_more_load() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b")]);
    assert_eq!(fixture.open(1).0, 1);
    let all: Vec<u64> = (2..8).map(|port| fixture.open(port).0).collect();
    assert!(all.contains(&2), "{all:?}");
}

/// Guards against a load that still counts flows that have finished or expired.
#[test]
fn the_load_of_finished_and_expired_flows_is_removed() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    for port in 0..20 {
        fixture.open(port);
        fixture.send(&data(port, cookie(1), 20, 30));
        if port % 2 == 0 {
            fixture.send(&packet(port, PacketKind::Finish, cookie(1)));
        }
    }
    fixture.advance(400);
    fixture.balancer.sweep(fixture.now);
    fixture.advance(20_000);
    fixture.balancer.sweep(fixture.now);
    assert_eq!(fixture.balancer.flow_count(), 0);
    let load: f64 = fixture.balancer.directory().iter().map(|(_, target)| target.load).sum();
    assert!(load.abs() < 1e-6, "{load}");
}

/// Guards against shares that ignore the weights, and against retransmissions of one opening that go to
/// different services.
#[test]
fn a_split_route_follows_its_weights() {
    let mut split = route(1, "orders");
    split.destinations[0].weight = 3;
    split.destinations.push(Destination { service: "sheets".to_owned(), weight: 1 });
    let mut fixture = Fixture::new(vec![split]);
    let (orders, sheets) =
        (spec(1, "orders", "a", fixture.now), spec(2, "sheets", "a", fixture.now));
    fixture.set_target(orders);
    fixture.set_target(sheets);
    let mut to_sheets = 0;
    for port in 0..4_000 {
        let first = fixture.open(port).0;
        assert_eq!(target_of(fixture.send(&opening(port, 1))), Some(first));
        to_sheets += u32::from(first == 2);
    }
    // 1,000 openings are expected; five standard deviations are 137.
    assert!((863..=1_137).contains(&to_sheets), "{to_sheets}");
}

/// Guards against a second target for an opening whose first target had no time to answer: the opening had
/// waited in the entry, and its retransmission was already in flight.
#[test]
fn an_immediate_retransmission_goes_to_the_same_target() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "b"), (3, "c")]);
    let first = fixture.open(1);
    fixture.advance(10);
    assert_eq!(target_of(fixture.send(&opening(1, 1))), Some(first.0));
    fixture.advance(390);
    assert_ne!(target_of(fixture.send(&opening(1, 2))), Some(first.0));
}

/// Guards against new requests that miss their objective right after an outage, and against a deferred
/// opening that is lost.
#[test]
fn late_retransmissions_are_deferred_in_a_surge() {
    let mut fixture = fixture_with_targets(&[(1, "a")]);
    fixture.balancer = Balancer::new(settings());
    let (state, now) = (fixture.state.clone(), fixture.now);
    fixture.balancer.set_routing(routing(&state), now);
    fixture.set_target(spec(1, "orders", "a", now));
    assert_eq!(fixture.send(&opening(1, 1)), Verdict::Discard(DiscardReason::Surge));
    let Verdict::Defer(delay) = fixture.send(&opening(2, 2)) else { panic!("it is not deferred") };
    assert_eq!(target_of(fixture.send(&opening(3, 0))), Some(1), "a new opening goes first");
    fixture.now += delay;
    assert_eq!(target_of(fixture.send(&opening(2, 2))), Some(1));
}

/// Guards against targets that look idle under overload: on flows with one request each, a request that takes long
/// still runs until the end of its flow.
#[test]
fn a_long_request_counts_until_its_flow_ends_if_flows_have_one_request() {
    for single in [true, false] {
        let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a")]);
        for port in 0..20 {
            let target = fixture.open(port);
            let cookie = cookie(target.0);
            fixture.send(&data(port, cookie, 0, 9));
            if !single {
                fixture.send(&data(port, cookie, 1_000, 2_000));
            }
            fixture.send(&CallerPacket { ack: 3_000, ..packet(port, PacketKind::Finish, cookie) });
        }
        // Flows that other entries have placed, and unanswered ones, show nothing about their requests.
        for port in 20..80 {
            fixture.send(&data(port, cookie(1), 0, 9));
            fixture
                .send(&CallerPacket { ack: 3_000, ..packet(port, PacketKind::Finish, cookie(1)) });
        }
        let slow = fixture.open(100);
        fixture.send(&data(100, cookie(slow.0), 0, 9));
        fixture.advance(400);
        fixture.balancer.sweep(fixture.now);
        let load = |fixture: &Fixture| {
            let directory = fixture.balancer.directory();
            directory.iter().find(|(_, t)| t.spec.id == slow).map(|(_, t)| t.load).unwrap()
        };
        assert_eq!(load(&fixture) > 0.9, single, "load {}", load(&fixture));
        fixture.send(&packet(100, PacketKind::Finish, cookie(slow.0)));
        assert!(load(&fixture) < 0.1);
    }
}

/// Guards against flows that are ended or moved because their target has not announced itself for a while: it may
/// only be slow to report, and its requests run.
#[test]
fn flows_of_a_silent_target_go_on() {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a")]);
    let silent = fixture.open(1);
    let mut spec = spec(silent.0, "orders", "a", fixture.now);
    spec.silent = true;
    fixture.set_target(spec);
    for _ in 0..30 {
        fixture.advance(1_000);
        fixture.balancer.sweep(fixture.now);
        let verdict = fixture.send(&packet(1, PacketKind::Established, cookie(silent.0)));
        assert_eq!(target_of(verdict), Some(silent.0));
    }
    for port in 2..12 {
        assert_ne!(fixture.open(port), silent, "new flows go to a target that reports");
    }
}
