//! Discovery of control daemons, heartbeats, and the detection of differing targets.

use comfreyhold_consensus::register::{Ballot, DiskId, Replica};
use comfreyhold_fleet::control::peers::Peers;
use comfreyhold_fleet::messages::{ControlState, IncarnationId};
use comfreyhold_membership::announcements::{Announcements, TargetDigests, TargetGroup};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::{DomainName, TargetId};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

/// Digests of a daemon that knows the targets with these ids.
fn digests(ids: &[u64]) -> TargetDigests {
    let mut targets = Announcements::new(Duration::from_secs(3));
    targets.add_services(["orders"], Instant::now());
    for id in ids {
        targets.apply(&announcement(*id), Instant::now());
    }
    targets.digests()
}

fn announcement(id: u64) -> Announcement {
    Announcement {
        id: TargetId(id),
        stamp: AnnouncementStamp { born_ms: 1, sequence: 1 },
        service: "orders".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(u32::try_from(id).unwrap()), 80),
        domain: DomainName::from("a"),
        slots: 2,
        availability: Availability::Serving,
        cold_ms: 0,
    }
}

fn state(number: u8, incarnation: u64, peers: &[u8]) -> ControlState {
    ControlState {
        is_informed: true,
        replica: Replica { disk: DiskId(u64::from(number)), address: address(number) },
        domain: DomainName::from("a"),
        start: IncarnationId(incarnation),
        chosen: Ballot::default(),
        targets: digests(&[]),
        peers: peers.iter().map(|peer| address(*peer)).collect(),
    }
}

/// Guards against a daemon that is not among the seeds and stays unknown to those that it has not called.
#[test]
fn daemons_named_by_others_become_known() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(1), address(2)], now);
    assert!(peers.receive_state(state(2, 1, &[3, 1]), &digests(&[]), now));
    assert_eq!(peers.addresses(), [address(2), address(3)]);
}

/// Guards against a restarted daemon that is not sent the announcements that it has lost.
#[test]
fn a_restart_is_detected() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    assert!(peers.receive_state(state(2, 1, &[]), &digests(&[]), now));
    assert!(!peers.receive_state(state(2, 1, &[]), &digests(&[]), now));
    assert!(peers.receive_state(state(2, 2, &[]), &digests(&[]), now));
}

/// Guards against target groups that stay different, and against groups that are sent because of each
/// announcement in flight.
#[test]
fn persistently_differing_target_groups_are_returned_once() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    let local = digests(&[7]);
    for _ in 0..3 {
        peers.receive_state(state(2, 1, &[]), &local, now);
        assert!(peers.take_differing(&address(2)).is_empty());
    }
    peers.receive_state(state(2, 1, &[]), &local, now);
    assert_eq!(peers.take_differing(&address(2)), BTreeSet::from([TargetGroup::of(TargetId(7))]));
    assert!(peers.take_differing(&address(2)).is_empty());
}

/// Guards against announcements in flight that each cause a short difference and are counted as one that
/// persists.
#[test]
fn the_count_of_a_difference_restarts_after_it_has_gone() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    for _ in 0..3 {
        for _ in 0..3 {
            peers.receive_state(state(2, 1, &[]), &digests(&[7]), now);
        }
        peers.receive_state(state(2, 1, &[]), &digests(&[]), now);
    }
    assert!(peers.take_differing(&address(2)).is_empty());
}

/// Guards against heartbeats from both daemons of a pair, and against a pair of which neither sends any.
#[test]
fn the_lower_address_sends_heartbeats_and_the_other_one_if_they_are_overdue() {
    let (interval, overdue) = (Duration::from_millis(450), Duration::from_millis(900));
    let start = Instant::now();
    let mut low = Peers::new(address(1), &[address(2)], start);
    let mut high = Peers::new(address(2), &[address(1)], start);
    let sends_heartbeat = |peers: &mut Peers, at_ms: u64| {
        !peers
            .take_heartbeats_due(interval, overdue, start + Duration::from_millis(at_ms))
            .is_empty()
    };
    assert!(sends_heartbeat(&mut low, 0) && sends_heartbeat(&mut high, 0));
    assert!(!sends_heartbeat(&mut low, 100), "not more often than the interval");
    low.receive_state(state(2, 1, &[]), &digests(&[]), start);
    high.receive_state(state(1, 1, &[]), &digests(&[]), start);
    assert!(sends_heartbeat(&mut low, 450) && !sends_heartbeat(&mut high, 450));
    assert!(sends_heartbeat(&mut high, 900));
}

/// Guards against a list of daemons that only grows, and against a voter that is no longer contacted.
#[test]
fn unresponsive_daemons_are_forgotten_unless_they_are_voters_or_seeds() {
    let start = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], start);
    for number in [2, 3, 4] {
        peers.receive_state(state(number, 1, &[9]), &digests(&[]), start);
    }
    let voter = Replica { disk: DiskId(3), address: address(3) };
    peers.forget(&BTreeSet::from([voter]), start + Duration::from_secs(600));
    assert_eq!(peers.addresses(), [address(2), address(3)]);
}
