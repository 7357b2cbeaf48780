//! Targets that start again under their ids, at entries that know the former start, the present one, or both.

use crate::support::*;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{CallerPacket, Cookie, DiscardReason, PacketKind, Verdict};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::TargetId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Start time of the present incarnation of target 1. The former one is that of [`spec`].
const RESTARTED_MS: u64 = 9_000;

/// Pause of a caller between two requests, in milliseconds: long after the restart, and below the idle timeout.
const PAUSE_MS: u64 = 6_500;

fn restarted(now: Instant) -> TargetSpec {
    TargetSpec { born_ms: RESTARTED_MS, ..spec(1, "orders", "a", now) }
}

fn ended(spec: TargetSpec) -> TargetSpec {
    TargetSpec { availability: Availability::Ended, ..spec }
}

fn present_cookie() -> Cookie {
    Cookie::of(TargetId(1), RESTARTED_MS)
}

/// Packet of the open flow of a port with the cookie of the former start.
fn former_packet(port: u16) -> CallerPacket {
    packet(port, PacketKind::Established, cookie(1))
}

/// Guards against resets of flows that opened at a target's new start before the entry had heard of it (FLOW, review/13).
#[test]
fn flows_that_opened_at_a_new_start_by_its_former_cookie_go_on() {
    let mut entry = fixture_with_targets(&[(1, "a")]);
    let target = entry.open(1);
    assert_eq!(target_of(entry.send(&former_packet(1))), Some(target.0));
    entry.set_target(restarted(entry.now));
    for _ in 0..8 {
        entry.advance(PAUSE_MS);
        entry.balancer.sweep(entry.now);
        assert_eq!(target_of(entry.send(&former_packet(1))), Some(target.0), "{:?}", entry.now);
    }
}

/// Guards against packets with a former start's cookie that are reset or dropped by entries which have not seen the flow:
/// one that knows both starts, and one that has started since and knows the present start only.
#[test]
fn any_entry_forwards_packets_with_a_former_cookie_to_the_present_start() {
    let mut both = fixture_with_targets(&[(1, "a")]);
    both.set_target(restarted(both.now));
    let mut restarted_entry = fixture_with_targets(&[]);
    restarted_entry.set_target(restarted(restarted_entry.now));
    for entry in [&mut both, &mut restarted_entry] {
        match entry.send(&former_packet(1)) {
            Verdict::Forward { target, address, cookie, .. } => {
                assert_eq!((target.0, address), (1, spec(1, "orders", "a", entry.now).address));
                assert_eq!(cookie, present_cookie(), "the caller gets the present cookie");
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a flow that is sent to the former address of a target which has moved.
#[test]
fn flows_follow_a_target_to_the_address_of_its_present_start() {
    let mut entry = fixture_with_targets(&[(1, "a")]);
    entry.open(1);
    let address = spec(5, "orders", "a", entry.now).address;
    entry.set_target(TargetSpec { address, ..restarted(entry.now) });
    match entry.send(&former_packet(1)) {
        Verdict::Forward { address: to, .. } => assert_eq!(to, address),
        other => panic!("{other:?}"),
    }
}

/// Guards against resets by an entry that has heard of the end of a former start, and not yet of the present one, at which
/// another entry has opened the flow.
#[test]
fn an_entry_that_is_behind_resets_no_flow_of_a_later_start() {
    let mut entry = fixture_with_targets(&[(1, "a")]);
    entry.set_target(ended(spec(1, "orders", "a", entry.now)));
    entry.advance(2_100);
    let later = packet(1, PacketKind::Established, present_cookie());
    assert_eq!(target_of(entry.send(&later)), Some(1));
    assert!(matches!(entry.send(&former_packet(2)), Verdict::Reset(_)), "the former start ended");
}

/// Guards against callers that wait until their deadline once the present start has ended as well.
#[test]
fn flows_of_a_former_start_are_reset_when_the_present_one_has_ended() {
    let mut entry = fixture_with_targets(&[(1, "a")]);
    entry.set_target(ended(restarted(entry.now)));
    assert_eq!(target_of(entry.send(&former_packet(1))), Some(1), "it sends its last answers");
    entry.advance(2_100);
    assert!(matches!(entry.send(&former_packet(1)), Verdict::Reset(_)));
}

/// Guards against packets that reach another service because a target has started again there.
#[test]
fn flows_do_not_follow_a_target_to_another_service() {
    let mut entry = fixture_with_targets(&[(1, "a")]);
    entry.open(1);
    assert_eq!(target_of(entry.send(&former_packet(1))), Some(1));
    entry.set_target(TargetSpec { service: "sheets".to_owned(), ..restarted(entry.now) });
    for port in [1, 2] {
        let verdict = entry.send(&former_packet(port));
        assert_eq!(verdict, Verdict::Discard(DiscardReason::ForeignTarget));
    }
}

/// Guards against a packet with an unknown start's cookie that goes to a wrong target, because two ids share the bits of
/// the cookie that name the target.
#[test]
fn a_cookie_of_an_unknown_start_of_one_of_two_targets_is_discarded() {
    let bits = |id| Cookie::of(TargetId(id), 1).0 >> 8;
    let mut seen: BTreeMap<u32, u64> = BTreeMap::new();
    let (a, b) = (1..).find_map(|id| Some((seen.insert(bits(id), id)?, id))).unwrap();
    let mut entry = fixture_with_targets(&[]);
    for (host, id) in [(1, a), (2, b)] {
        let spec = spec(host, "orders", "a", entry.now);
        entry.set_target(TargetSpec { id: TargetId(id), born_ms: 1, ..spec });
    }
    let known = [Cookie::of(TargetId(a), 1), Cookie::of(TargetId(b), 1)];
    assert_ne!(known[0], known[1], "the start tells them apart");
    for (port, cookie, id) in [(1, known[0], a), (2, known[1], b)] {
        let verdict = entry.send(&packet(port, PacketKind::Established, cookie));
        assert_eq!(target_of(verdict), Some(id));
    }
    let unknown = (2..).map(|born| Cookie::of(TargetId(a), born)).find(|c| !known.contains(c));
    let verdict = entry.send(&packet(3, PacketKind::Established, unknown.unwrap()));
    assert_eq!(verdict, Verdict::Discard(DiscardReason::UnknownTarget));
}

/// Guards against a new start that gets no flows, or whose load report is refused, because its cookie equals that of a
/// former start, as one in 256 does.
#[test]
fn a_new_start_with_an_equal_cookie_is_a_target_of_its_own() {
    let born_ms = (RESTARTED_MS..).find(|born| Cookie::of(TargetId(1), *born) == cookie(1));
    let mut entry = fixture_with_targets(&[(1, "a")]);
    entry.open(1);
    entry.set_target(TargetSpec { born_ms: born_ms.unwrap(), ..restarted(entry.now) });
    assert_eq!(entry.open(2).0, 1);
    let from = comfreyhold_load::SenderStart::default();
    entry.balancer.load_report(from, entry.now);
    entry.now += Duration::from_millis(100);
    let report = entry.balancer.load_report(from, entry.now).unwrap();
    let marks: BTreeSet<_> = report.targets.iter().map(|target| target.mark).collect();
    assert_eq!((report.targets.len(), marks.len()), (1, 1));
}
