//! Reports before the next interval, on the first signs of an overload.

use crate::support::*;
use comfreyhold_flow::cookie::PacketKind;
use comfreyhold_load::{LoadReport, SenderStart};

const FROM: SenderStart = SenderStart { sender: 1, start: 1 };

fn fixture() -> Fixture {
    let mut fixture = fixture_with_targets(&[(1, "a"), (2, "a"), (3, "a")]);
    fixture.balancer.load_report(FROM, fixture.now);
    fixture
}

/// Opens a flow and ends the one that was opened `running` flows before.
fn keep_running(fixture: &mut Fixture, port: u16, running: u16) {
    fixture.open(port);
    if let Some(ended) = port.checked_sub(running) {
        fixture.send(&packet(ended, PacketKind::Finish, cookie(1)));
    }
}

fn early_report(fixture: &mut Fixture) -> Option<LoadReport> {
    let is_due = fixture.balancer.takes_early_report(fixture.now);
    is_due.then(|| fixture.balancer.load_report(FROM, fixture.now)).flatten()
}

/// Guards against a burst that fills the queues of all targets before the next interval ends, and against reports
/// without a bound on their number.
#[test]
fn a_burst_is_reported_at_once_and_then_each_100_ms() {
    let mut fixture = fixture();
    for port in 0..100 {
        fixture.advance(20);
        keep_running(&mut fixture, port, 2);
        assert_eq!(early_report(&mut fixture), None, "nothing unusual");
    }
    fixture.balancer.load_report(FROM, fixture.now);
    fixture.advance(100);
    for port in 100..130 {
        fixture.open(port);
    }
    let report = early_report(&mut fixture).unwrap();
    assert!(report.under_pressure);
    let mut reports = 0;
    for port in 130..330 {
        fixture.advance(1);
        fixture.open(port);
        reports += u32::from(early_report(&mut fixture).is_some());
    }
    assert!((1..=2).contains(&reports), "{reports} in 200 ms of rising load");
    for _ in 0..100 {
        fixture.advance(10);
        assert_eq!(early_report(&mut fixture), None, "the load no longer rises");
    }
}

/// Guards against an entry that waits for its next interval although others have begun to share, and against a report
/// that states the openings of a few milliseconds as a rate.
#[test]
fn an_entry_that_is_told_to_share_reports_after_100_ms_at_the_latest() {
    let mut fixture = fixture();
    fixture.advance(30);
    fixture.balancer.record_sharing_begins();
    assert_eq!(early_report(&mut fixture), None);
    fixture.advance(70);
    let report = early_report(&mut fixture).unwrap();
    assert_eq!((report.interval_ms, report.under_pressure), (100, false));
    fixture.advance(100);
    assert_eq!(early_report(&mut fixture), None, "one report is enough");
}

/// Guards against full targets whose refusals are reported a quarter of a second later.
#[test]
fn two_refusals_in_100_ms_are_reported_at_once() {
    let mut fixture = fixture();
    let answered = |fixture: &mut Fixture, port: u16, took: u64, bytes: u32| {
        fixture.open(port);
        fixture.advance(4);
        fixture.send(&data(port, cookie(1), 1, 1));
        fixture.advance(took);
        let answer = packet(port, PacketKind::Finish, cookie(1));
        fixture.send(&comfreyhold_flow::cookie::CallerPacket { ack: 1 + bytes, ..answer });
    };
    for port in 0..200 {
        answered(&mut fixture, port, 40, 2_000);
    }
    fixture.balancer.load_report(FROM, fixture.now);
    fixture.advance(100);
    answered(&mut fixture, 200, 4, 150);
    assert_eq!(early_report(&mut fixture), None, "one refusal may be by chance");
    answered(&mut fixture, 201, 4, 150);
    assert!(early_report(&mut fixture).unwrap().under_pressure);
}

/// Guards against an entry whose full link is no reason to share: others could take its callers.
#[test]
fn an_opening_refused_by_the_link_is_a_sign_of_pressure() {
    let mut fixture = fixture();
    assert!(!fixture.balancer.is_under_pressure(fixture.now));
    fixture.balancer.record_link_refusal(fixture.now);
    assert!(fixture.balancer.is_under_pressure(fixture.now));
    fixture.advance(1_000);
    assert!(!fixture.balancer.is_under_pressure(fixture.now));
}
