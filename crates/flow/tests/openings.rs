//! Which openings wait behind others after an outage.

use comfreyhold_flow::cookie::openings::{Surge, Turn, patience};
use std::time::{Duration, Instant};

const OBJECTIVE: Duration = Duration::from_millis(150);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against new requests that are late after an outage because of requests that are late anyway, and
/// against late requests that are not served at all.
#[test]
fn late_copies_wait_behind_openings_that_can_be_in_time() {
    let start = Instant::now();
    let mut surge = Surge::from(start);
    let mut turn = |copy| surge.turn(copy, OBJECTIVE, Duration::ZERO, start + millis(10));
    assert_eq!(turn(0), Turn::Now);
    assert_eq!(turn(1), Turn::NextCopy);
    let Turn::After(wait) = turn(2) else { unreachable!("the last copy waits") };
    assert!(wait >= millis(500), "it waits until new requests are served");
    assert!(wait + millis(200) <= patience(2), "the target has time to answer");
}

/// Guards against copies that wait although their requests can be in time.
#[test]
fn copies_within_their_objective_do_not_wait() {
    let start = Instant::now();
    let mut surge = Surge::from(start);
    assert_eq!(surge.turn(1, millis(201), Duration::ZERO, start), Turn::Now);
    assert_eq!(surge.turn(1, millis(200), Duration::ZERO, start), Turn::NextCopy);
    assert_eq!(surge.turn(2, millis(601), Duration::ZERO, start), Turn::Now);
}

/// Guards against a copy that shows that a target is dead and waits, since it looks like one of a surge.
#[test]
fn copies_of_openings_that_were_sent_after_the_first_routes_do_not_wait() {
    let start = Instant::now();
    let mut surge = Surge::from(start);
    for copy in [1, 2] {
        assert_ne!(surge.turn(copy, OBJECTIVE, Duration::ZERO, start + millis(599)), Turn::Now);
        assert_eq!(surge.turn(copy, OBJECTIVE, Duration::ZERO, start + millis(600)), Turn::Now);
        assert_eq!(Surge::default().turn(copy, OBJECTIVE, Duration::ZERO, start), Turn::Now);
    }
}

/// Guards against a late opening that is dropped at the end of its wait, or waits again: it had come before the
/// entry knew its routes, so its time is over before the surge is.
#[test]
fn an_opening_that_waited_for_routes_waits_so_much_less() {
    let start = Instant::now();
    let mut surge = Surge::from(start);
    let mut turn = |waited, at| surge.turn(2, OBJECTIVE, millis(waited), start + millis(at));
    assert_eq!(turn(250, 0), Turn::After(millis(350)));
    assert_eq!(turn(600, 350), Turn::Now);
    assert_eq!(turn(700, 0), Turn::Now);
}

/// Guards against copies that wait at an entry which has started anew while others run: most openings are new
/// there, and a copy shows that a target or another entry is dead.
#[test]
fn few_copies_among_new_openings_are_no_surge() {
    let start = Instant::now();
    let mut surge = Surge::from(start);
    for _ in 0..4 {
        assert_eq!(surge.turn(0, OBJECTIVE, Duration::ZERO, start), Turn::Now);
    }
    assert_eq!(surge.turn(2, OBJECTIVE, Duration::ZERO, start), Turn::Now);
    assert_ne!(
        surge.turn(2, OBJECTIVE, Duration::ZERO, start),
        Turn::Now,
        "two among six are a surge"
    );
}

/// Guards against an opening that is passed on after its caller has sent the next copy or has given up.
#[test]
fn the_patience_of_callers_ends_with_the_next_copy() {
    let waits = [0, 1, 2, 9].map(patience);
    assert_eq!(waits, [millis(200), millis(400), millis(800), millis(800)]);
}
