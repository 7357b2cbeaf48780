//! Properties of a control daemon's book under random messages.

mod support;

use comfreyhold_load::messages::{
    MAX_COUNT, MAX_DOMAINS, MAX_ENTRIES, MAX_SERVICES, MAX_TARGETS, VERSION,
};
use comfreyhold_load::{LoadBook, LoadError, LoadReport, LoadSum, ServiceDemand, ServiceId};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Instant;
use support::{domain, in_flight, ms, report, sender, target};

const DAEMONS: usize = 3;

/// One event: an entry reports to a daemon with a load, and some of the daemons exchange their sums.
#[derive(Clone, Debug)]
struct Event {
    entry: u64,
    daemon: usize,
    load: u32,
    restarts: bool,
    exchanges: bool,
}

fn event() -> impl Strategy<Value = Event> {
    (0..8_u64, 0..DAEMONS, 0..64_u32, prop::bool::weighted(0.1), any::<bool>()).prop_map(
        |(entry, daemon, load, restarts, exchanges)| Event {
            entry,
            daemon,
            load: load * 16,
            restarts,
            exchanges,
        },
    )
}

fn exchange_all(books: &mut [LoadBook], now: Instant) {
    for from in 0..books.len() {
        let Some(sum) = books[from].own_sum(now) else { continue };
        for (_, book) in books.iter_mut().enumerate().filter(|(to, _)| *to != from) {
            book.receive_sum(sum.clone(), now).expect("a new sum is accepted");
        }
    }
}

proptest! {
    /// Guards against entries that count twice or not at all, however they move and restart: after two rounds of
    /// exchange every daemon's totals are the sum of the newest reports.
    #[test]
    fn sums_count_each_entry_once(events in prop::collection::vec(event(), 1..60)) {
        let now = Instant::now();
        let mut books: Vec<_> =
            (0..DAEMONS).map(|id| LoadBook::new(sender(100 + id as u64, 1))).collect();
        let mut newest: BTreeMap<u64, u32> = BTreeMap::new();
        let mut orders: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
        for event in &events {
            let order = orders.entry(event.entry).or_insert((1, 0));
            *order = if event.restarts { (order.0 + 1, 1) } else { (order.0, order.1 + 1) };
            let report = report(sender(event.entry, order.0), order.1, event.load);
            books[event.daemon].receive_report(report, now).unwrap();
            newest.insert(event.entry, event.load);
            if event.exchanges {
                exchange_all(&mut books, now);
            }
        }
        exchange_all(&mut books, now);
        exchange_all(&mut books, now);
        for book in &mut books {
            let totals = book.totals(None, now + ms(60));
            prop_assert_eq!(totals.entries as usize, newest.len());
            prop_assert_eq!(in_flight(&totals), newest.values().sum::<u32>());
        }
    }

    /// Guards against older reports that replace newer ones in whatever order they arrive.
    #[test]
    fn older_reports_never_replace_newer_ones(
        orders in prop::collection::vec((1..4_u64, 1..20_u64), 1..40)
    ) {
        let now = Instant::now();
        let mut book = LoadBook::new(sender(100, 1));
        let mut newest = (0, 0);
        for order in orders {
            let load = u32::try_from(order.0 * 100 + order.1).unwrap();
            let result = book.receive_report(report(sender(1, order.0), order.1, load), now);
            prop_assert_eq!(result.is_ok(), order > newest);
            newest = newest.max(order);
            let expected = u32::try_from(newest.0 * 100 + newest.1).unwrap();
            let sum = book.own_sum(now).unwrap();
            prop_assert_eq!(sum.targets[0].in_flight, expected);
        }
    }

    /// Guards against malformed reports that change anything.
    #[test]
    fn odd_reports_change_nothing(kind in 0..7_usize, load in 0..1_000_u32) {
        let now = Instant::now();
        let mut book = LoadBook::new(sender(100, 1));
        book.receive_report(report(sender(1, 1), 1, 16), now).unwrap();
        let before = book.own_sum(now).unwrap();
        let (odd, error) = odd_report(kind, load);
        prop_assert_eq!(book.receive_report(odd, now), Err(error));
        let after = book.own_sum(now).unwrap();
        prop_assert_eq!(LoadSum { number: after.number, ..before }, after);
    }

    /// Guards against malformed sums that change anything.
    #[test]
    fn odd_sums_change_nothing(kind in 0..9_usize) {
        let now = Instant::now();
        let (mut a, mut b) = (LoadBook::new(sender(100, 1)), LoadBook::new(sender(101, 1)));
        a.receive_report(report(sender(1, 1), 1, 16), now).unwrap();
        b.receive_report(report(sender(1, 1), 3, 8), now).unwrap();
        let before = a.totals(None, now);
        let (odd, error) = odd_sum(b.own_sum(now).unwrap(), kind);
        prop_assert_eq!(a.receive_sum(odd, now), Err(error));
        prop_assert_eq!(&a.totals(None, now + ms(60)).targets, &before.targets);
        prop_assert_eq!(a.own_entries(now), 1);
    }
}

fn odd_report(kind: usize, load: u32) -> (LoadReport, LoadError) {
    let mut odd = report(sender(1, 1), 2, load);
    let error = match kind {
        0 => {
            odd.version = VERSION + 1;
            LoadError::OtherVersion(VERSION + 1)
        }
        1 => {
            odd.targets = (0..=MAX_TARGETS as u32).map(|mark| target(mark, 1)).collect();
            LoadError::TooLong
        }
        2 => {
            let service = |id| ServiceDemand { service: ServiceId(id), ..ServiceDemand::default() };
            odd.services = (0..=MAX_SERVICES as u32).map(service).collect();
            LoadError::TooLong
        }
        3 => {
            odd.interval_ms = if load.is_multiple_of(2) { 0 } else { 60_001 };
            LoadError::BadInterval
        }
        4 => {
            odd.targets.push(target(1, load));
            LoadError::Inconsistent
        }
        5 => {
            odd.targets[0].in_flight = MAX_COUNT + 1;
            LoadError::OutOfRange
        }
        _ => {
            odd.domain = domain(&"x".repeat(256));
            LoadError::TooLong
        }
    };
    (odd, error)
}

fn odd_sum(mut odd: LoadSum, kind: usize) -> (LoadSum, LoadError) {
    let error = match kind {
        0 => {
            odd.version = 0;
            LoadError::OtherVersion(0)
        }
        1 => {
            odd.domains = (0..=MAX_DOMAINS).map(|n| domain(&n.to_string())).collect();
            LoadError::TooLong
        }
        2 => {
            odd.entries[0].domain = 1;
            LoadError::Inconsistent
        }
        3 => {
            let again = odd.entries[0];
            odd.entries.push(again);
            LoadError::Inconsistent
        }
        4 => {
            odd.services[0].in_flight = MAX_COUNT + 1;
            LoadError::OutOfRange
        }
        5 => {
            let entry = odd.entries[0];
            odd.entries = vec![entry; MAX_ENTRIES + 1];
            LoadError::TooLong
        }
        6 => {
            odd.from = sender(100, 9);
            LoadError::OwnSum
        }
        7 => {
            let demand = odd.services[0].domains[0].clone();
            odd.services[0].domains.push(demand);
            LoadError::Inconsistent
        }
        _ => {
            odd.targets.push(target(1, 1));
            LoadError::Inconsistent
        }
    };
    (odd, error)
}

/// Guards against memory that grows with the number of senders, and totals longer than their receivers accept.
#[test]
fn state_and_messages_are_bounded() {
    let now = Instant::now();
    let mut book = LoadBook::new(sender(100_000, 1));
    for entry in 0..MAX_ENTRIES as u64 {
        let mut long = report(sender(entry, 1), 1, 16);
        let first = entry as u32 * 2;
        long.targets = (first..first + 2).map(|mark| target(mark, mark)).collect();
        book.receive_report(long, now).unwrap();
    }
    let further = report(sender(1_000_000, 1), 1, 16);
    assert_eq!(book.receive_report(further, now), Err(LoadError::TooManySenders));
    let sum = book.own_sum(now).unwrap();
    assert_eq!((sum.targets.len(), sum.entries.len()), (MAX_TARGETS, MAX_ENTRIES));
    assert_eq!(sum.targets[0].in_flight, MAX_ENTRIES as u32 * 2 - 1, "the busiest first");
    let mut other = LoadBook::new(sender(100_001, 1));
    other.receive_sum(sum.clone(), now).unwrap();
    assert_eq!(comfreyhold_load::book::check_totals(&other.totals(None, now)), Ok(()));
    for daemon in 1..64 {
        let from = sender(200_000 + daemon, 1);
        other.receive_sum(LoadSum { from, ..sum.clone() }, now).unwrap();
    }
    let from = sender(300_000, 1);
    let further = LoadSum { from, ..sum };
    assert_eq!(other.receive_sum(further, now), Err(LoadError::TooManySenders));
}

/// Guards against load that changes when the number of entries doubles while the callers' demand stays.
#[test]
fn doubling_the_entries_keeps_the_totals() {
    let now = Instant::now();
    let mut book = LoadBook::new(sender(100, 1));
    for entry in 0..23 {
        book.receive_report(report(sender(entry, 1), 1, 32), now).unwrap();
    }
    let before = book.totals(None, now);
    for entry in 0..46 {
        book.receive_report(report(sender(entry, 1), 2, 16), now + ms(250)).unwrap();
    }
    let after = book.totals(None, now + ms(250));
    assert_eq!(in_flight(&before), in_flight(&after));
    assert_eq!((before.entries, after.entries), (23, 46));
}

/// Guards against sums that their receivers refuse because the loads add up beyond the largest count.
#[test]
fn sums_of_large_counts_stay_in_range() {
    let now = Instant::now();
    let mut book = LoadBook::new(sender(100, 1));
    for entry in 0..3 {
        book.receive_report(report(sender(entry, 1), 1, MAX_COUNT), now).unwrap();
    }
    let mut other = LoadBook::new(sender(101, 1));
    other.receive_sum(book.own_sum(now).unwrap(), now).unwrap();
    let totals = other.totals(None, now);
    assert_eq!(in_flight(&totals), MAX_COUNT);
    assert_eq!(comfreyhold_load::book::check_totals(&totals), Ok(()));
}
