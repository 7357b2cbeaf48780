//! Who gets load reports.

mod common;

use comfreyhold_request::client::{self, Client};
use comfreyhold_request::client_event::NewRequest;
use comfreyhold_request::dispatcher::{Action, Event, LOAD_INTERVAL};
use comfreyhold_request::message::{Message, Pool};
use comfreyhold_request::watchers::{WATCH_KEPT, WATCH_RENEWAL_INTERVAL};
use comfreyhold_types::prelude::*;
use common::*;
use std::collections::BTreeSet;
use std::time::Instant;

/// Guards against load reports to entries that don't use the service, whose traffic grows with the
/// product of entries and dispatchers, and against a new watcher that waits for its first report.
#[test]
fn reports_go_to_entries_that_asked_lately() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
    let reported = |actions: &[Action]| {
        let found = actions.iter().find_map(|action| match action {
            Action::Report(to, _) => Some(to.clone()),
            _ => None,
        });
        found.expect("a report")
    };
    assert_eq!(reported(&d.handle(t + LOAD_INTERVAL, Event::Tick)), BTreeSet::new());
    let asked = t + LOAD_INTERVAL;
    let watch = Message::Watch { pool: POOL };
    let first = d.handle(asked, Event::Message(InstanceId(7), watch.clone()));
    assert!(matches!(first.as_slice(), [Action::Send(InstanceId(7), Message::Load(_))]));
    assert_eq!(d.handle(asked, Event::Message(InstanceId(7), watch)), Vec::new());
    let last = asked + WATCH_KEPT - ms(1);
    assert_eq!(reported(&d.handle(last, Event::Tick)), BTreeSet::from([InstanceId(7)]));
    assert_eq!(reported(&d.handle(last + LOAD_INTERVAL, Event::Tick)), BTreeSet::new());
}

/// Guards against reports to an entry that is gone.
#[test]
fn a_failed_entry_gets_no_reports() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
    d.handle(t, Event::Message(InstanceId(7), Message::Watch { pool: POOL }));
    d.handle(t, Event::EntryFailed(InstanceId(7)));
    let actions = d.handle(t + LOAD_INTERVAL, Event::Tick);
    let expected = |action: &Action| matches!(action, Action::Report(to, _) if to.is_empty());
    assert!(actions.iter().any(expected), "{actions:?}");
}

fn begin(client: &mut Client, now: Instant) -> BTreeSet<InstanceId> {
    let (priority, deadline) = (Priority::High, now + ms(5_000));
    let service = POOL.service;
    let new = NewRequest { service, priority, deadline, idempotent: false, max_attempts: 1 };
    let mut out = Vec::new();
    client.begin(now, new, &mut out);
    let watched = out.iter().filter_map(|action| match action {
        client::Action::Send(to, Message::Watch { .. }) => Some(*to),
        _ => None,
    });
    watched.collect()
}

/// Guards against an entry that uses a service and does not learn the load of one of its dispatchers.
#[test]
fn an_entry_watches_all_dispatchers_of_the_services_it_uses() {
    let t = Instant::now();
    let pool = |domain| Pool { domain: DomainId(domain), ..POOL };
    let other = Pool { service: ServiceId(POOL.service.0 + 1), ..POOL };
    let mut client = Client::new(InstanceId(9), Incarnation(1), DomainId(1));
    let dispatchers = |second| {
        let pools = [(pool(1), 1), (pool(2), second), (other, 3)];
        let pools = pools.into_iter().map(|(pool, id)| (pool, InstanceId(id)));
        client::Event::Dispatchers(pools.collect())
    };
    client.handle(t, dispatchers(2));
    let both = BTreeSet::from([InstanceId(1), InstanceId(2)]);
    assert_eq!(begin(&mut client, t), both);
    assert_eq!(begin(&mut client, t + WATCH_RENEWAL_INTERVAL - ms(1)), BTreeSet::new());
    assert_eq!(begin(&mut client, t + WATCH_RENEWAL_INTERVAL), both);
    client.handle(t + WATCH_RENEWAL_INTERVAL, dispatchers(4));
    let changed = BTreeSet::from([InstanceId(1), InstanceId(4)]);
    assert_eq!(begin(&mut client, t + WATCH_RENEWAL_INTERVAL + ms(1)), changed);
}
