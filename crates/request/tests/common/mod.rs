//! Helpers shared by the tests of this package.
#![allow(dead_code)] // each test file uses only some of these

use comfreyhold_request::dispatcher::{Action, Dispatcher, DispatcherConfig, Event};
use comfreyhold_request::message::{AttemptId, GrantId, Message, Pool, RequestId, SlotOutcome};
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::ColdRamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const POOL: Pool = Pool { service: ServiceId(1), domain: DomainId(1) };
pub const ENTRY: InstanceId = InstanceId(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

pub fn target(number: u16, slots: u16) -> TargetRecord {
    TargetRecord {
        service: "orders".to_owned(),
        address: address(number),
        domain: POOL.domain,
        slots,
        incarnation: Incarnation(1),
        state: TargetState::Serving,
    }
}

/// A profile whose targets are never cold.
pub fn warm_profile(queue_limit: u32) -> Profile {
    let cold = ColdRamp { ramp_ms: 0, ..ColdRamp::default() };
    Profile::builder().name("orders").queue_limit(queue_limit).cold(cold).build()
}

pub fn dispatcher(profile: Profile, targets: Vec<TargetRecord>, now: Instant) -> Dispatcher {
    let cfg = DispatcherConfig { pool: POOL, instance: InstanceId(9), epoch: 7, profile };
    let mut dispatcher = Dispatcher::new(cfg, now);
    dispatcher.handle(now, Event::Targets(targets));
    dispatcher
}

pub fn attempt(number: u64) -> AttemptId {
    let request = RequestId { entry: ENTRY, incarnation: Incarnation(1), number };
    AttemptId { request, number: 1 }
}

pub fn acquire(number: u64, priority: Priority, remaining: Duration) -> Event {
    let attempt = attempt(number);
    let may_redirect = true;
    let message = Message::Acquire { attempt, pool: POOL, priority, remaining, may_redirect };
    Event::Message(ENTRY, message)
}

pub fn release(grant: GrantId, outcome: SlotOutcome) -> Event {
    Event::Message(ENTRY, Message::Release { pool: POOL, grant, outcome })
}

pub fn cancel(number: u64) -> Event {
    Event::Message(ENTRY, Message::Cancel { pool: POOL, attempt: attempt(number) })
}

pub fn takeover(lease_ends: Instant, live: &[u16], failed: &[u16]) -> Event {
    let ids = |ids: &[u16]| ids.iter().map(|id| InstanceId(*id)).collect();
    Event::Takeover { lease_ends, live: ids(live), failed: ids(failed), cold: BTreeSet::new() }
}

/// Replies in their order: attempt number, and the grant with its target or the refusal code.
pub type Replies = Vec<(u64, Result<(GrantId, SocketAddr), ResultCode>)>;

pub fn replies(actions: &[Action]) -> Replies {
    let reply = |action: &Action| match action {
        Action::Send(_, Message::Grant { attempt, grant, target, .. }) => {
            Some((attempt.request.number, Ok((*grant, *target))))
        }
        Action::Send(_, Message::Refuse { attempt, code, .. }) => {
            Some((attempt.request.number, Err(*code)))
        }
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

pub fn only_grant(actions: &[Action]) -> GrantId {
    let replies = replies(actions);
    assert_eq!(replies.len(), 1, "one reply expected: {replies:?}");
    replies[0].1.expect("a grant").0
}
