//! Control daemons that find each other.

use comfreyhold_consensus::register::{Ballot, DiskId, Replica};
use comfreyhold_fleet::control::peers::Peers;
use comfreyhold_fleet::messages::{ControlState, StartId};
use comfreyhold_membership::announcements::{Announcements, TargetDigests, TargetGroup};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::{DomainName, TargetId};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

/// Digests of a daemon that knows some targets.
fn digests(ids: &[u64]) -> TargetDigests {
    let mut targets = Announcements::new(Duration::from_secs(3));
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

fn state(number: u8, start: u64, peers: &[u8]) -> ControlState {
    ControlState {
        replica: Replica { disk: DiskId(u64::from(number)), address: address(number) },
        domain: DomainName::from("a"),
        start: StartId(start),
        chosen: Ballot::default(),
        targets: digests(&[]),
        peers: peers.iter().map(|peer| address(*peer)).collect(),
    }
}

/// Guards against a daemon that is not among the seeds and stays unknown to those it has not called.
#[test]
fn daemons_that_others_name_become_known() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(1), address(2)], now);
    assert!(peers.hear(state(2, 1, &[3, 1]), &digests(&[]), now));
    assert_eq!(peers.addresses(), [address(2), address(3)]);
}

/// Guards against a restarted daemon that is not sent what it has forgotten.
#[test]
fn a_new_start_is_noticed() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    assert!(peers.hear(state(2, 1, &[]), &digests(&[]), now));
    assert!(!peers.hear(state(2, 1, &[]), &digests(&[]), now));
    assert!(peers.hear(state(2, 2, &[]), &digests(&[]), now));
}

/// Guards against lists of targets that stay different, and ones that are sent for each announcement on its
/// way.
#[test]
fn groups_of_targets_that_stay_different_are_found_once() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    let mine = digests(&[7]);
    for _ in 0..3 {
        peers.hear(state(2, 1, &[]), &mine, now);
        assert!(peers.take_differing(&address(2)).is_empty());
    }
    peers.hear(state(2, 1, &[]), &mine, now);
    assert_eq!(peers.take_differing(&address(2)), BTreeSet::from([TargetGroup::of(TargetId(7))]));
    assert!(peers.take_differing(&address(2)).is_empty());
}

/// Guards against a difference that is on its way each time, and is counted as one that stays.
#[test]
fn a_difference_that_has_gone_counts_anew() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    for _ in 0..3 {
        for _ in 0..3 {
            peers.hear(state(2, 1, &[]), &digests(&[7]), now);
        }
        peers.hear(state(2, 1, &[]), &digests(&[]), now);
    }
    assert!(peers.take_differing(&address(2)).is_empty());
}

/// Guards against two hellos for each pair of daemons, and against a pair of which neither says any.
#[test]
fn one_side_of_a_pair_greets_and_the_other_one_when_it_hears_nothing() {
    let (interval, overdue) = (Duration::from_millis(450), Duration::from_millis(900));
    let start = Instant::now();
    let mut low = Peers::new(address(1), &[address(2)], start);
    let mut high = Peers::new(address(2), &[address(1)], start);
    let greets = |peers: &mut Peers, at: u64| {
        !peers.due(interval, overdue, start + Duration::from_millis(at)).is_empty()
    };
    assert!(greets(&mut low, 0) && greets(&mut high, 0));
    assert!(!greets(&mut low, 100), "not more often than the interval");
    low.hear(state(2, 1, &[]), &digests(&[]), start);
    high.hear(state(1, 1, &[]), &digests(&[]), start);
    assert!(greets(&mut low, 450) && !greets(&mut high, 450));
    assert!(greets(&mut high, 900));
}

/// Guards against a list of daemons that only grows, and against a voter that is no longer called.
#[test]
fn long_silent_daemons_are_forgotten_unless_they_vote() {
    let start = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], start);
    for number in [2, 3, 4] {
        peers.hear(state(number, 1, &[9]), &digests(&[]), start);
    }
    let voter = Replica { disk: DiskId(3), address: address(3) };
    peers.forget(&BTreeSet::from([voter]), start + Duration::from_secs(600));
    assert_eq!(peers.addresses(), [address(2), address(3)]);
}
