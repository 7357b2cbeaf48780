//! Which control daemons an entry watches.

use comfreyhold_fleet::entry::controls::Controls;
use comfreyhold_types::keys::DomainName;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

fn named() -> Vec<(SocketAddr, DomainName)> {
    [(1, "a"), (2, "b"), (3, "c")].map(|(n, d)| (address(n), DomainName::from(d))).to_vec()
}

fn controls() -> Controls {
    Controls::new(address(9), DomainName::from("b"), &[address(1), address(2), address(3)])
}

/// Guards against an entry that stays with a daemon which does not answer while others do.
#[test]
fn a_failed_daemon_comes_last() {
    let (mut controls, now) = (controls(), Instant::now());
    controls.named(&named(), now);
    assert_eq!(controls.choose(true, &[], now), Some(address(2)));
    controls.failed(address(2), now);
    let next = controls.choose(true, &[], now).unwrap();
    assert_ne!(next, address(2));
    controls.failed(next, now + Duration::from_millis(10));
    assert!(![address(2), next].contains(&controls.choose(true, &[], now).unwrap()));
}

/// Guards against both watches on one daemon, whose loss would then delay all news.
#[test]
fn two_watches_take_two_daemons() {
    let (mut controls, now) = (controls(), Instant::now());
    controls.named(&named(), now);
    let first = controls.choose(true, &[], now).unwrap();
    assert_ne!(controls.choose(false, &[first], now), Some(first));
}

/// Guards against an entry that pays for traffic to another domain for good after its own daemon was gone
/// for a moment.
#[test]
fn an_entry_returns_to_the_daemon_of_its_domain() {
    let (mut controls, now) = (controls(), Instant::now());
    controls.named(&named(), now);
    assert!(controls.should_return(address(1), now));
    assert!(!controls.should_return(address(2), now));
    controls.failed(address(2), now);
    assert!(!controls.should_return(address(1), now));
}

/// Guards against daemons that were removed long ago and are still tried.
#[test]
fn daemons_that_nobody_names_are_forgotten() {
    let (mut controls, now) =
        (Controls::new(address(9), DomainName::from("b"), &[address(1)]), Instant::now());
    controls.named(&named(), now);
    let later = now + Duration::from_secs(120);
    controls.named(&named()[..1], later);
    assert_eq!(controls.choose(true, &[address(1)], later), None);
}
