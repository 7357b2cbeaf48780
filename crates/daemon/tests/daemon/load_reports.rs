//! Receivers of load reports, and the cold targets at a takeover.

use comfreyhold_daemon::entry_roles::EntryRoles;
use comfreyhold_daemon::load_reports::{
    cold_targets, is_fresh, reply_without_dispatcher, report_receivers,
};
use comfreyhold_request::message::{AttemptId, GrantId, Message, Pool, RequestId, SlotOutcome};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

fn pool(domain: u16) -> Pool {
    Pool { service: ServiceId(1), domain: DomainId(domain) }
}

/// Four entries in each of three domains.
fn roles() -> EntryRoles {
    let live = (1..=12).map(|id| (InstanceId(id), DomainId(id % 3 + 1))).collect();
    EntryRoles { instance: InstanceId(1), local_domain: DomainId(2), live, ..EntryRoles::default() }
}

/// Guards against a takeover by an entry that has no report of the cold targets, whether the dispatcher
/// failed alone or with its failure domain.
#[test]
fn possible_successors_receive_load_reports() {
    let roles = roles();
    let pools: BTreeSet<Pool> = (1..=3).map(pool).collect();
    let assigned = roles.dispatchers(&pools);
    for (pool, dispatcher) in &assigned {
        let receivers = report_receivers(&roles, &assigned, *pool);
        assert!(receivers.len() <= 5, "{receivers:?}");
        assert!(assigned.values().all(|other| receivers.contains(other)));
        let mut alone = roles.clone();
        alone.live.remove(dispatcher);
        let mut together = roles.clone();
        together.live.retain(|_, domain| *domain != pool.domain);
        for after in [alone, together] {
            let next = after.dispatchers(&BTreeSet::from([*pool]));
            assert!(next.values().all(|id| receivers.contains(id)), "{next:?} {receivers:?}");
        }
    }
}

/// Guards against full load on targets of which the successor has no report or only an old one.
#[test]
fn every_target_is_cold_without_a_fresh_report() {
    let now = Instant::now();
    let target = |number: u8| TargetRecord {
        service: "orders".to_owned(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 80)),
        domain: DomainId(1),
        slots: 2,
        incarnation: Incarnation(1),
        state: TargetState::Serving,
    };
    let targets = [target(1), target(2), target(3)];
    let all: BTreeSet<SocketAddr> = targets.iter().map(|target| target.address).collect();
    let later = now + Duration::from_secs(60);
    let seen = targets[..2].iter().map(|t| ((t.address, t.incarnation), now));
    let seen: BTreeMap<_, _> = seen.collect();
    let ramp = Duration::from_secs(10);
    assert_eq!(cold_targets(&targets, None, &seen, later, ramp), all);
    let reported = [targets[0].address];
    let expected = BTreeSet::from([targets[0].address, targets[2].address]);
    assert_eq!(cold_targets(&targets, Some(&reported), &seen, later, ramp), expected);
    assert!(is_fresh(Some(later - Duration::from_secs(4)), later));
    assert!(!is_fresh(Some(now), later));
    assert!(!is_fresh(None, later));
}

/// Guards against a slot that the successor counts as used until the deadline: an entry that has reported a
/// grant to the successor may still send the release to the previous dispatcher.
#[test]
fn release_to_a_stopped_dispatcher_gets_no_reply() {
    let from = InstanceId(2);
    let grant = GrantId { epoch: 1, issuer: InstanceId(1), number: 1 };
    let outcome = SlotOutcome::Unused;
    let release = Message::Release { pool: pool(1), grant, outcome };
    assert_eq!(reply_without_dispatcher(from, &release), None);
    let request = RequestId { entry: from, incarnation: Incarnation(1), number: 1 };
    let acquire = Message::Acquire {
        attempt: AttemptId { request, number: 1 },
        pool: pool(1),
        priority: Priority::High,
        remaining: Duration::from_secs(1),
        may_redirect: true,
    };
    let answer = reply_without_dispatcher(from, &acquire);
    assert!(matches!(answer, Some(Message::Refuse { elsewhere: true, .. })), "{answer:?}");
}
