//! Chooses the receivers of a dispatcher's load reports, and derives the cold targets from them at a takeover.

use crate::entry_roles::EntryRoles;
use comfreyhold_request::message::{Message, Pool, PoolLoad};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A successor uses a report only up to this age. A failed dispatcher is detected about 3 s after its last
/// report.
const MAX_REPORT_AGE: Duration = Duration::from_secs(6);

/// When this process first saw a target's incarnation.
pub type FirstSeen = BTreeMap<(SocketAddr, Incarnation), Instant>;

/// Receivers of a pool's load reports in addition to subscribed entries: the other dispatchers of the
/// service, which redirect requests when they are full, and the possible successors, which must know
/// the cold targets.
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

/// Whether a report is recent enough to determine the cold targets from it.
#[must_use]
pub fn is_fresh(reported: Option<Instant>, now: Instant) -> bool {
    reported.is_some_and(|at| now.saturating_duration_since(at) <= MAX_REPORT_AGE)
}

/// Targets to treat as cold at a takeover: those that the previous dispatcher reported as cold, and those
/// first seen less than `ramp` ago. Without a fresh report every target counts as cold.
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

/// Reply to a message for a dispatcher that doesn't run here. A release gets no reply, so that its sender
/// repeats it to the successor, which may have counted the grant from the sender's report.
#[must_use]
pub fn reply_without_dispatcher(from: InstanceId, message: &Message) -> Option<Message> {
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
            log::debug!("message from {from} dropped: its dispatcher doesn't run here");
            None
        }
    }
}
