//! Reports and sums in a control daemon's book: order, age, sharing, and entries that move or restart.

mod support;

use comfreyhold_load::book::{MAX_AGE, SHARING_PERIOD};
use comfreyhold_load::messages::VERSION;
use comfreyhold_load::{LoadBook, LoadError, LoadTotals};
use std::time::{Duration, Instant};
use support::{SERVICE, domain, in_flight, ms, report, sender};

/// Longer than totals are reused.
const SETTLE: Duration = Duration::from_millis(60);

fn book(id: u64) -> LoadBook {
    LoadBook::new(sender(id, 1))
}

fn exchange(from: &mut LoadBook, to: &mut LoadBook, now: Instant) {
    let sum = from.own_sum(now).expect("a daemon that shares load has a sum");
    to.receive_sum(sum, now).expect("a new sum is accepted");
}

/// Guards against totals without entries, demand or the number that the receiver subtracts its share by.
#[test]
fn totals_include_own_entries_and_those_of_other_daemons() {
    let now = Instant::now();
    let (mut a, mut b) = (book(100), book(101));
    a.receive_report(report(sender(1, 1), 5, 32), now).unwrap();
    a.receive_report(report(sender(2, 1), 6, 16), now).unwrap();
    b.receive_report(report(sender(3, 1), 7, 8), now).unwrap();
    exchange(&mut a, &mut b, now);
    let totals = b.totals(Some(sender(3, 1)), now + ms(20));
    assert!(totals.is_sharing);
    assert_eq!((totals.entries, in_flight(&totals), totals.own_number), (3, 56, Some(7)));
    assert_eq!(totals.age_ms, 20);
    assert_eq!(totals.targets[0].failures, 3);
    let service = &totals.services[0];
    assert_eq!((service.service, service.in_flight), (SERVICE, 56));
    let demand: Vec<_> =
        service.domains.iter().map(|d| (d.domain.clone(), d.openings_per_s, d.entries)).collect();
    assert_eq!(demand, [(domain("even"), 100, 1), (domain("odd"), 200, 2)]);
    assert_eq!(b.totals(Some(sender(1, 1)), now).own_number, Some(5), "included by a sum");
    assert_eq!(b.totals(Some(sender(1, 2)), now).own_number, None, "of another start");
    assert_eq!(b.totals(None, now).own_number, None);
}

/// Guards against reports on quiet days, and against sharing that never ends because daemons prolong each other's.
#[test]
fn sharing_ends_a_while_after_the_last_pressure() {
    let start = Instant::now();
    let (mut a, mut b) = (book(100), book(101));
    let calm = |number| {
        let mut calm = report(sender(1, 1), number, 16);
        calm.under_pressure = false;
        calm
    };
    a.receive_report(calm(1), start).unwrap();
    assert!(!a.is_sharing(start) && a.own_sum(start).is_none());
    let quiet = LoadTotals { version: VERSION, ..LoadTotals::default() };
    assert_eq!(a.totals(Some(sender(1, 1)), start), quiet);
    a.receive_report(report(sender(1, 1), 2, 16), start).unwrap();
    let end = start + SHARING_PERIOD;
    let mut now = start;
    let mut number = 2;
    while now < end {
        assert!(a.is_sharing(now));
        number += 1;
        a.receive_report(calm(number), now).unwrap();
        let mut own = calm(number);
        own.from = sender(2, 1);
        b.receive_report(own, now).unwrap();
        exchange(&mut a, &mut b, now);
        assert!(b.is_sharing(now));
        exchange(&mut b, &mut a, now);
        now += ms(250);
    }
    assert!(!a.is_sharing(end) && !b.is_sharing(end));
    assert!(a.own_sum(end).is_none() && b.own_sum(end).is_none());
}

/// Guards against the load of a lost or frozen entry, or of a lost daemon, that counts on.
#[test]
fn reports_and_sums_age_out() {
    let now = Instant::now();
    let (mut a, mut b) = (book(100), book(101));
    a.receive_report(report(sender(1, 1), 1, 16), now).unwrap();
    exchange(&mut a, &mut b, now);
    let later = now + MAX_AGE - ms(300);
    a.receive_report(report(sender(2, 1), 1, 8), later).unwrap();
    b.receive_report(report(sender(3, 1), 1, 4), later).unwrap();
    assert_eq!(in_flight(&a.totals(None, later)), 24);
    assert_eq!(in_flight(&b.totals(None, later)), 20);
    let old = now + MAX_AGE;
    assert_eq!((in_flight(&a.totals(None, old)), a.own_entries(old)), (8, 1));
    assert_eq!(in_flight(&b.totals(None, old)), 4);
}

/// Guards against late messages that replace newer ones, also those of an earlier start.
#[test]
fn late_and_repeated_messages_are_refused() {
    let now = Instant::now();
    let (mut a, mut b) = (book(100), book(101));
    a.receive_report(report(sender(1, 5), 9, 16), now).unwrap();
    for late in
        [report(sender(1, 5), 9, 1), report(sender(1, 5), 8, 1), report(sender(1, 4), 99, 1)]
    {
        assert_eq!(a.receive_report(late, now), Err(LoadError::Stale));
    }
    let first = a.own_sum(now).unwrap();
    let second = a.own_sum(now).unwrap();
    b.receive_sum(second.clone(), now).unwrap();
    assert_eq!(b.receive_sum(first.clone(), now), Err(LoadError::Stale));
    assert_eq!(b.receive_sum(second, now), Err(LoadError::Stale));
    assert_eq!(a.receive_sum(first, now), Err(LoadError::OwnSum));
    assert_eq!(in_flight(&b.totals(None, now)), 16);
}

/// Guards against a restarted entry or daemon that is refused, or counted beside its former start.
#[test]
fn a_restart_replaces_the_former_start() {
    let now = Instant::now();
    let (mut a, mut b) = (book(100), book(101));
    a.receive_report(report(sender(1, 5), 900, 16), now).unwrap();
    exchange(&mut a, &mut b, now);
    a.receive_report(report(sender(1, 6), 1, 8), now).unwrap();
    let totals = a.totals(Some(sender(1, 6)), now);
    assert_eq!((in_flight(&totals), totals.entries, totals.own_number), (8, 1, Some(1)));
    let mut restarted = LoadBook::new(sender(100, 2));
    assert!(!restarted.is_sharing(now));
    restarted.receive_report(report(sender(1, 6), 2, 4), now).unwrap();
    exchange(&mut restarted, &mut b, now + SETTLE);
    assert_eq!(in_flight(&b.totals(None, now + SETTLE)), 4);
    let old = a.own_sum(now + SETTLE).unwrap();
    assert_eq!(b.receive_sum(old, now + SETTLE), Err(LoadError::Stale));
}

/// Guards against an entry that counts twice after it has moved to another daemon.
#[test]
fn an_entry_that_moves_counts_once() {
    let now = Instant::now();
    let (mut a, mut b, mut c) = (book(100), book(101), book(102));
    a.receive_report(report(sender(1, 1), 1, 16), now).unwrap();
    a.receive_report(report(sender(2, 1), 1, 16), now).unwrap();
    exchange(&mut a, &mut c, now);
    b.receive_report(report(sender(1, 1), 2, 8), now + ms(100)).unwrap();
    let moved = b.own_sum(now + ms(100)).unwrap();
    c.receive_sum(moved.clone(), now + ms(100)).unwrap();
    // The former daemon's sum of two equal entries counts by half until the next one arrives.
    let totals = c.totals(Some(sender(1, 1)), now + ms(100));
    assert_eq!((in_flight(&totals), totals.entries, totals.own_number), (24, 2, Some(2)));
    a.receive_sum(moved, now + ms(100)).unwrap();
    assert_eq!(in_flight(&a.totals(None, now + ms(100))), 24);
    exchange(&mut a, &mut c, now + ms(200));
    let totals = c.totals(None, now + ms(200));
    assert_eq!((in_flight(&totals), totals.entries), (24, 2));
    // It moves back, and a late report of its first time at this daemon arrives after that.
    a.receive_report(report(sender(1, 1), 3, 4), now + ms(300)).unwrap();
    assert_eq!(a.receive_report(report(sender(1, 1), 2, 99), now + ms(300)), Err(LoadError::Stale));
    exchange(&mut a, &mut c, now + ms(300));
    let totals = c.totals(None, now + ms(300));
    assert_eq!((in_flight(&totals), totals.entries), (20, 2));
}

/// Guards against load that is counted by the halves of a cut deployment after it has healed, or twice.
#[test]
fn halves_of_a_cut_deployment_count_what_they_hear() {
    let start = Instant::now();
    let mut books = [book(100), book(101)];
    let mut number = 0;
    let mut step = |books: &mut [LoadBook; 2], at: Instant, is_cut: bool| {
        number += 1;
        for (index, book) in books.iter_mut().enumerate() {
            book.receive_report(report(sender(index as u64, 1), number, 16), at).unwrap();
        }
        if !is_cut {
            let [a, b] = books;
            exchange(a, b, at);
            exchange(b, a, at);
        }
        books.each_mut().map(|book| in_flight(&book.totals(None, at)))
    };
    assert_eq!(step(&mut books, start, false), [32, 32]);
    let mut at = start;
    let cut: Vec<_> = (0..8)
        .map(|_| {
            at += ms(250);
            step(&mut books, at, true)
        })
        .collect();
    assert_eq!(cut[0], [32, 32], "the other half's last sum still counts");
    assert_eq!(cut[7], [16, 16]);
    assert_eq!(step(&mut books, at + ms(250), false), [32, 32]);
}

/// Guards against reports read after a freeze that count as if they were new for longer than one interval.
#[test]
fn a_thawed_daemon_forgets_what_it_knew() {
    let now = Instant::now();
    let mut a = book(100);
    a.receive_report(report(sender(1, 1), 1, 16), now).unwrap();
    let thawed = now + Duration::from_secs(20);
    assert!(!a.is_sharing(thawed));
    assert_eq!(a.own_entries(thawed), 0);
    // The entry has moved on and reports here again.
    a.receive_report(report(sender(1, 1), 60, 8), thawed).unwrap();
    assert_eq!(in_flight(&a.totals(None, thawed)), 8);
}

/// Guards against a process that is refused for ever because its clock was set back before its restart.
#[test]
fn an_earlier_start_is_accepted_after_a_while() {
    let now = Instant::now();
    let mut a = book(100);
    a.receive_report(report(sender(1, 5), 1, 16), now).unwrap();
    let set_back = report(sender(1, 4), 1, 8);
    assert_eq!(a.receive_report(set_back.clone(), now + ms(9_900)), Err(LoadError::Stale));
    a.receive_report(set_back, now + ms(10_000)).unwrap();
}

/// Guards against scaled counts that depend on how long an entry's interval happened to be.
#[test]
fn counts_are_scaled_to_one_interval() {
    let now = Instant::now();
    let mut a = book(100);
    let mut long = report(sender(1, 1), 1, 16);
    long.interval_ms = 500;
    long.targets[0].answers = 40;
    long.targets[0].ratio_sum = 640;
    a.receive_report(long, now).unwrap();
    let totals = a.totals(None, now);
    let load = totals.targets[0];
    assert_eq!((load.in_flight, load.answers, load.ratio_sum), (16, 20, 320));
    assert_eq!(totals.services[0].domains[0].openings_per_s, 50);
}
