//! Deferral of openings in a surge after an outage, and the callers' retransmission schedule.

use comfreyhold_flow::cookie::openings::{Deferral, Surge, retransmission_timeout};
use std::time::{Duration, Instant};

const OBJECTIVE: Duration = Duration::from_millis(150);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against new requests that miss their objective after an outage because of requests that have already
/// missed it, and against late requests that are never served.
#[test]
fn late_retransmissions_wait_behind_openings_that_can_be_in_time() {
    let start = Instant::now();
    let mut surge = Surge::starting_at(start);
    let mut defer = |copy| surge.defer(copy, OBJECTIVE, Duration::ZERO, start + millis(10));
    assert_eq!(defer(0), Deferral::None);
    assert_eq!(defer(1), Deferral::UntilRetransmission);
    let Deferral::For(wait) = defer(2) else { unreachable!("the last retransmission is deferred") };
    assert!(wait >= millis(500), "it waits until new requests are served");
    assert!(wait + millis(200) <= retransmission_timeout(2), "the target has time to answer");
}

/// Guards against deferred retransmissions whose requests could still meet their objective.
#[test]
fn retransmissions_within_their_objective_do_not_wait() {
    let start = Instant::now();
    let mut surge = Surge::starting_at(start);
    assert_eq!(surge.defer(1, millis(201), Duration::ZERO, start), Deferral::None);
    assert_eq!(surge.defer(1, millis(200), Duration::ZERO, start), Deferral::UntilRetransmission);
    assert_eq!(surge.defer(2, millis(601), Duration::ZERO, start), Deferral::None);
}

/// Guards against deferring a retransmission that shows that a target is dead, as if it belonged to a surge.
#[test]
fn retransmissions_of_openings_sent_after_the_first_routes_do_not_wait() {
    let start = Instant::now();
    let mut surge = Surge::starting_at(start);
    for copy in [1, 2] {
        assert_ne!(
            surge.defer(copy, OBJECTIVE, Duration::ZERO, start + millis(599)),
            Deferral::None
        );
        assert_eq!(
            surge.defer(copy, OBJECTIVE, Duration::ZERO, start + millis(600)),
            Deferral::None
        );
        assert_eq!(Surge::default().defer(copy, OBJECTIVE, Duration::ZERO, start), Deferral::None);
    }
}

/// Guards against a late opening that is dropped after its deferral or deferred again. It arrived before the
/// entry had routes, so its attempt ends before the surge does.
#[test]
fn time_spent_waiting_for_routes_counts_towards_the_deferral() {
    let start = Instant::now();
    let mut surge = Surge::starting_at(start);
    let mut defer = |waited, at| surge.defer(2, OBJECTIVE, millis(waited), start + millis(at));
    assert_eq!(defer(250, 0), Deferral::For(millis(350)));
    assert_eq!(defer(600, 350), Deferral::None);
    assert_eq!(defer(700, 0), Deferral::None);
}

/// Guards against deferred retransmissions at an entry that restarts while others run: most openings are new
/// there, and a retransmission shows that a target or another entry is dead.
#[test]
fn few_retransmissions_among_new_openings_are_no_surge() {
    let start = Instant::now();
    let mut surge = Surge::starting_at(start);
    for _ in 0..4 {
        assert_eq!(surge.defer(0, OBJECTIVE, Duration::ZERO, start), Deferral::None);
    }
    assert_eq!(surge.defer(2, OBJECTIVE, Duration::ZERO, start), Deferral::None);
    assert_ne!(
        surge.defer(2, OBJECTIVE, Duration::ZERO, start),
        Deferral::None,
        "two retransmissions among six openings are a surge"
    );
}

/// Guards against an opening that is forwarded after its caller has retransmitted or abandoned it.
#[test]
fn retransmission_timeouts_follow_the_schedule_of_callers() {
    let waits = [0, 1, 2, 9].map(retransmission_timeout);
    assert_eq!(waits, [millis(200), millis(400), millis(800), millis(800)]);
}
