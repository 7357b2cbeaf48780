//! Control daemons that find each other.

use comfreyhold_consensus::register::{Ballot, DiskId, Replica};
use comfreyhold_fleet::control::peers::Peers;
use comfreyhold_fleet::messages::{ControlState, StartId};
use comfreyhold_types::keys::DomainName;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

fn state(number: u8, start: u64, peers: &[u8]) -> ControlState {
    ControlState {
        replica: Replica { disk: DiskId(u64::from(number)), address: address(number) },
        domain: DomainName::from("a"),
        start: StartId(start),
        chosen: Ballot::default(),
        targets: 5,
        peers: peers.iter().map(|peer| address(*peer)).collect(),
    }
}

/// Guards against a daemon that is not among the seeds and stays unknown to those it has not called.
#[test]
fn daemons_that_others_name_become_known() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(1), address(2)], now);
    assert!(peers.hear(state(2, 1, &[3, 1]), 5, now));
    assert_eq!(peers.addresses(), [address(2), address(3)]);
}

/// Guards against a restarted daemon that is not sent what it has forgotten.
#[test]
fn a_new_start_is_noticed() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    assert!(peers.hear(state(2, 1, &[]), 5, now));
    assert!(!peers.hear(state(2, 1, &[]), 5, now));
    assert!(peers.hear(state(2, 2, &[]), 5, now));
}

/// Guards against lists of targets that stay different, and ones that are sent for each announcement on its
/// way.
#[test]
fn differences_in_a_row_are_counted() {
    let now = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], now);
    let differing = |peers: &Peers| peers.get(&address(2)).unwrap().differing;
    peers.hear(state(2, 1, &[]), 6, now);
    peers.hear(state(2, 1, &[]), 7, now);
    assert_eq!(differing(&peers), 2);
    peers.hear(state(2, 1, &[]), 5, now);
    assert_eq!(differing(&peers), 0);
}

/// Guards against a list of daemons that only grows, and against a voter that is no longer called.
#[test]
fn long_silent_daemons_are_forgotten_unless_they_vote() {
    let start = Instant::now();
    let mut peers = Peers::new(address(1), &[address(2)], start);
    for number in [2, 3, 4] {
        peers.hear(state(number, 1, &[9]), 5, start);
    }
    let voter = Replica { disk: DiskId(3), address: address(3) };
    peers.forget(&BTreeSet::from([voter]), start + Duration::from_secs(600));
    assert_eq!(peers.addresses(), [address(2), address(3)]);
}
