//! Who gets the load reports of the dispatchers here, and what a successor makes of them.

use crate::entry_roles::EntryRoles;
use comfreyhold_request::message::{Message, Pool, PoolLoad};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A successor relies on a report of at most this age. A failed dispatcher is found dead some 3 s after
/// its last report.
const REPORT_KEPT: Duration = Duration::from_secs(6);

/// When this process first saw a target's incarnation.
pub type FirstSeen = BTreeMap<(SocketAddr, Incarnation), Instant>;

/// Receivers beside the entries that asked: the other dispatchers of the service, which send callers on
/// when they are full, and the possible successors, which must know what is cold.
#[must_use]
pub fn report_receivers(
    roles: &EntryRoles,
    assigned: &BTreeMap<Pool, InstanceId>,
    pool: Pool,
) -> BTreeSet<InstanceId> {
    let first = Pool { domain: DomainId(0), ..pool };
    let last = Pool { domain: DomainId(u16::MAX), ..pool };
    let others = assigned.range(first..=last).map(|(_, instance)| *instance);
    others.chain(roles.successors(pool)).collect()
}

/// Whether a report is recent enough to tell which targets are cold.
#[must_use]
pub fn is_fresh(reported: Option<Instant>, now: Instant) -> bool {
    reported.is_some_and(|at| now.saturating_duration_since(at) <= REPORT_KEPT)
}

/// Targets to treat as cold at a takeover: those that the last dispatcher reported cold and those that
/// appeared within the ramp. Without a fresh report every target counts as cold.
#[must_use]
pub fn cold_targets(
    targets: &[TargetRecord],
    reported: Option<&[SocketAddr]>,
    first_seen: &FirstSeen,
    now: Instant,
    ramp: Duration,
) -> BTreeSet<SocketAddr> {
    let Some(reported) = reported else {
        return targets.iter().map(|target| target.address).collect();
    };
    let is_new = |target: &&TargetRecord| {
        let seen = first_seen.get(&(target.address, target.incarnation));
        seen.is_none_or(|at| now.saturating_duration_since(*at) < ramp)
    };
    let new = targets.iter().filter(is_new).map(|target| target.address);
    new.chain(reported.iter().copied()).collect()
}

/// Answers a message for a dispatcher that doesn't run here. A release gets no answer, so that it is sent
/// again to the successor: that may have counted the grant from the sender's report.
#[must_use]
pub fn answer_without_dispatcher(from: InstanceId, message: &Message) -> Option<Message> {
    match message {
        Message::Acquire { attempt, pool, .. } => Some(Message::Refuse {
            attempt: *attempt,
            pool: *pool,
            code: ResultCode::NoDispatcher,
            elsewhere: true,
            load: PoolLoad::default(),
        }),
        Message::Release { .. } => None,
        _ => {
            log::debug!("message of {from} for a dispatcher that doesn't run here");
            None
        }
    }
}
