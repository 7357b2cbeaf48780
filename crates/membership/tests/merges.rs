//! Merges of counters, targets and event rings: the order and repetition of messages don't matter.
#![allow(clippy::unwrap_used)]

use comfreyhold_membership::counters::{LocalCounters, MergedCounters};
use comfreyhold_membership::targets::{AnnouncedTarget, Hearing, TargetMap};
use comfreyhold_membership::timeline::{EventFilter, EventRing, Timeline};
use comfreyhold_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn announced() -> impl Strategy<Value = AnnouncedTarget> {
    let hearings = vec((1..4u16, 0..3u64, 0..4u64), 0..3);
    (1..4u16, 1..4u64, 1..4u64, 1..3u16, any::<bool>(), hearings).prop_map(
        |(port, incarnation, sequence, slots, drains, hearings)| {
            let state = if drains { TargetState::Draining } else { TargetState::Serving };
            let record = TargetRecord {
                service: "orders".to_owned(),
                address: format!("10.0.0.1:{port}").parse().unwrap(),
                domain: DomainId(1),
                slots,
                incarnation: Incarnation(incarnation),
                state,
            };
            let heard_by = hearings.into_iter().map(|(entry, start, change)| {
                let version = (Incarnation(start), change);
                (InstanceId(entry), Hearing { version, hears: change % 2 == 0 })
            });
            AnnouncedTarget { record, sequence, lease_ms: 3_000, heard_by: heard_by.collect() }
        },
    )
}

fn target_map() -> impl Strategy<Value = TargetMap> {
    vec(announced(), 0..6).prop_map(|records| {
        let mut map = TargetMap::default();
        for record in &records {
            map.merge_one(record);
        }
        map
    })
}

fn counts() -> impl Strategy<Value = MergedCounters> {
    let adds = vec((1..3u16, 1..3u64, 1..3u16, 1..5u64, any::<bool>()), 0..6);
    adds.prop_map(|adds| {
        let mut counts = MergedCounters::default();
        for (instance, incarnation, service, count, stops) in adds {
            let mut local = LocalCounters::new(InstanceId(instance), Incarnation(incarnation));
            local.add(ServiceId(service), ResultCode::Ok, count);
            if stops {
                local.stop();
            }
            counts.merge_report(&local.report().unwrap());
        }
        counts
    })
}

fn merged<T: Clone>(a: &T, b: &T, merge: fn(&mut T, &T)) -> T {
    let mut out = a.clone();
    merge(&mut out, b);
    out
}

fn check_laws<T: Clone + PartialEq + std::fmt::Debug>(
    (a, b, c): (&T, &T, &T),
    merge: fn(&mut T, &T),
) {
    assert_eq!(merged(a, b, merge), merged(b, a, merge));
    assert_eq!(merged(a, a, merge), *a);
    let left = merged(&merged(a, b, merge), c, merge);
    assert_eq!(left, merged(a, &merged(b, c, merge), merge));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Guards against entries ending with different targets because messages came in another order.
    #[test]
    fn target_merge_laws(a in target_map(), b in target_map(), c in target_map()) {
        check_laws((&a, &b, &c), TargetMap::merge);
    }

    /// Guards against counts that depend on the order of reports, or change with a repeated one.
    #[test]
    fn counter_merge_laws(a in counts(), b in counts(), c in counts()) {
        check_laws((&a, &b, &c), MergedCounters::merge);
    }

    /// Guards against counts changing on the way to a disk and back.
    #[test]
    fn counts_survive_json(a in counts()) {
        prop_assert_eq!(MergedCounters::from_json(&a.to_json().unwrap()).unwrap(), a);
    }
}

/// Guards against counts being lost with a report, or counted twice when one is repeated.
#[test]
fn lost_and_repeated_reports_change_nothing() {
    let mut local = LocalCounters::new(InstanceId(1), Incarnation(1));
    let mut counts = MergedCounters::default();
    for round in 1..=10u64 {
        local.add(ServiceId(1), ResultCode::Ok, round);
        let report = local.report().unwrap();
        if round % 3 != 0 {
            counts.merge_report(&report);
            counts.merge_report(&report);
        }
        local.add(ServiceId(2), ResultCode::Shed, 1);
        if round % 2 == 0 && round % 3 != 0 {
            local.confirm(report.number);
        }
    }
    local.stop();
    let last = local.report().unwrap();
    counts.merge_report(&last);
    assert!(!local.is_confirmed());
    local.confirm(last.number - 1);
    assert!(!local.is_confirmed());
    local.confirm(last.number);
    assert!(local.is_confirmed() && local.report().is_none());
    assert_eq!(counts.totals()[&(ServiceId(1), ResultCode::Ok)], 55);
    assert_eq!(counts.totals()[&(ServiceId(2), ResultCode::Shed)], 10);
    assert!(counts.incomplete_processes(&BTreeSet::new()).is_empty());
}

/// Guards against a crash, or a row that never arrived, being reported as complete counts.
#[test]
fn missing_counts_show_as_gaps() {
    let crashed = (InstanceId(1), Incarnation(1));
    let incomplete = (InstanceId(2), Incarnation(1));
    let running = (InstanceId(3), Incarnation(1));
    let mut counts = MergedCounters::default();
    for (id, incarnation) in [crashed, running] {
        let mut local = LocalCounters::new(id, incarnation);
        local.add(ServiceId(1), ResultCode::Ok, 1);
        counts.merge_report(&local.report().unwrap());
    }
    let mut local = LocalCounters::new(incomplete.0, incomplete.1);
    local.add(ServiceId(1), ResultCode::Ok, 1);
    let first = local.report().unwrap();
    local.confirm(first.number);
    local.stop();
    counts.merge_report(&local.report().unwrap());
    let gaps = |counts: &MergedCounters| counts.incomplete_processes(&BTreeSet::from([running]));
    assert_eq!(gaps(&counts), [crashed, incomplete]);
    counts.merge_report(&first);
    assert_eq!(gaps(&counts), [crashed]);
}

/// Guards against an effect being listed before its cause when clocks differ, and against events and
/// silent processes going missing without a trace.
#[test]
fn rings_merge_in_causal_order() {
    let (a, b) = (InstanceId(1), InstanceId(2));
    let mut first = EventRing::with_capacity(a, DomainId(1), 2);
    let mut second = EventRing::new(b, DomainId(2));
    let wall = 1_000_000;
    for kind in [EventKind::Started, EventKind::Accepted, EventKind::Prepared] {
        first.record(wall, kind, BTreeMap::new());
    }
    let stamp = first.stamp(wall);
    second.receive(wall - 5_000, stamp);
    second.record(wall - 5_000, EventKind::Activated, BTreeMap::new());
    first.record(wall + 10, EventKind::Stopping, BTreeMap::new());
    let asked = BTreeSet::from([a, b, InstanceId(3)]);
    let dumps = [second.dump(&EventFilter::default()), first.dump(&EventFilter::default())];
    let all = Timeline::merge(&dumps, &asked, &EventFilter::default());
    let kinds: Vec<EventKind> = all.events.iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [EventKind::Prepared, EventKind::Activated, EventKind::Stopping]);
    assert_eq!(all.dropped, BTreeMap::from([(a, 2)]));
    assert_eq!(all.unanswered, [InstanceId(3)]);
    let count = |filter: EventFilter| Timeline::merge(&dumps, &asked, &filter).events.len();
    assert_eq!(count(EventFilter { instances: [b].into(), ..EventFilter::default() }), 1);
    assert_eq!(
        count(EventFilter { kinds: [EventKind::Stopping].into(), ..EventFilter::default() }),
        1
    );
    assert_eq!(count(EventFilter { from_ms: Some(wall + 1), ..EventFilter::default() }), 1);
    assert_eq!(count(EventFilter { to_ms: Some(wall), ..EventFilter::default() }), 2);
}
