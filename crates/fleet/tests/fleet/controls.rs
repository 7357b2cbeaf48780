//! Selection of the control daemons that an entry watches.

use comfreyhold_fleet::entry::controls::ControlSelector;
use comfreyhold_types::keys::DomainName;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

fn live_controls() -> Vec<(SocketAddr, DomainName)> {
    [(1, "a"), (2, "b"), (3, "c")].map(|(n, d)| (address(n), DomainName::from(d))).to_vec()
}

fn selector() -> ControlSelector {
    ControlSelector::new(address(9), DomainName::from("b"), &[address(1), address(2), address(3)])
}

/// Guards against an entry that continues to watch an unresponsive daemon while others respond.
#[test]
fn recently_failed_daemons_are_chosen_last() {
    let (mut selector, now) = (selector(), Instant::now());
    selector.update_live(&live_controls(), now);
    assert_eq!(selector.choose(true, &[], now), Some(address(2)));
    selector.record_failure(address(2), now);
    let next = selector.choose(true, &[], now).unwrap();
    assert_ne!(next, address(2));
    selector.record_failure(next, now + Duration::from_millis(10));
    assert!(![address(2), next].contains(&selector.choose(true, &[], now).unwrap()));
}

/// Guards against an entry that watches one daemon twice, whose loss would then delay all updates.
#[test]
fn two_sources_watch_different_daemons() {
    let (mut selector, now) = (selector(), Instant::now());
    selector.update_live(&live_controls(), now);
    let first = selector.choose(true, &[], now).unwrap();
    assert_ne!(selector.choose(false, &[first], now), Some(first));
}

/// Guards against an entry that keeps watching a daemon of another domain, and pays for that traffic, after
/// the local one was gone for a short time only.
#[test]
fn an_entry_returns_to_the_daemon_of_its_domain() {
    let (mut selector, now) = (selector(), Instant::now());
    selector.update_live(&live_controls(), now);
    assert!(selector.should_return_to_local(address(1), now));
    assert!(!selector.should_return_to_local(address(2), now));
    selector.record_failure(address(2), now);
    assert!(!selector.should_return_to_local(address(1), now));
}

/// Guards against calls to daemons that were removed long ago.
#[test]
fn daemons_no_longer_named_by_others_are_forgotten() {
    let (mut selector, now) =
        (ControlSelector::new(address(9), DomainName::from("b"), &[address(1)]), Instant::now());
    selector.update_live(&live_controls(), now);
    let later = now + Duration::from_secs(120);
    selector.update_live(&live_controls()[..1], later);
    assert_eq!(selector.choose(true, &[address(1)], later), None);
}
