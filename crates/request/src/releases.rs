//! Releases of slots that a dispatcher has not confirmed yet.

use crate::message::{GrantId, Message, Pool, SlotOutcome};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Interval between resends of a release.
pub const RELEASE_RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time for which a release is resent, even when the grant's deadline is near.
const MIN_RESEND_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of releases kept for resending. Beyond it the oldest is dropped; its slot is then
/// released at the grant's deadline.
pub const MAX_UNCONFIRMED_RELEASES: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct PendingRelease {
    pool: Pool,
    outcome: SlotOutcome,
    resend_at: Instant,
    resend_until: Instant,
}

/// The unconfirmed releases of one entry, indexed by grant and by time of the next resend.
#[derive(Debug, Default)]
pub struct PendingReleases {
    pending: BTreeMap<GrantId, PendingRelease>,
    due: BTreeSet<(Instant, GrantId)>,
}

impl PendingReleases {
    /// Keeps a release for resending until it is confirmed or `deadline` has passed.
    pub fn add(
        &mut self,
        now: Instant,
        pool: Pool,
        grant: GrantId,
        outcome: SlotOutcome,
        deadline: Instant,
    ) {
        self.confirm(grant);
        let resend_until = deadline.max(now + MIN_RESEND_PERIOD);
        self.store(
            grant,
            PendingRelease {
                pool,
                outcome,
                resend_at: now + RELEASE_RESEND_INTERVAL,
                resend_until,
            },
        );
        if self.pending.len() > MAX_UNCONFIRMED_RELEASES {
            let oldest = self.due.first().map(|(_, grant)| *grant);
            oldest.into_iter().for_each(|grant| self.confirm(grant));
        }
    }

    /// Whether a release of the grant is unconfirmed.
    #[must_use]
    pub fn contains(&self, grant: GrantId) -> bool {
        self.pending.contains_key(&grant)
    }

    /// Removes a confirmed release.
    pub fn confirm(&mut self, grant: GrantId) {
        if let Some(pending) = self.pending.remove(&grant) {
            self.due.remove(&(pending.resend_at, grant));
        }
    }

    /// Returns the messages to resend now and schedules their next resends. Expired releases are
    /// dropped.
    pub fn due_messages(&mut self, now: Instant) -> Vec<(Pool, Message)> {
        let mut messages = Vec::new();
        while let Some((at, grant)) = self.due.first().copied() {
            if at > now {
                break;
            }
            self.due.pop_first();
            let Some(mut pending) = self.pending.remove(&grant) else { continue };
            if pending.resend_until <= now {
                continue;
            }
            pending.resend_at = now + RELEASE_RESEND_INTERVAL;
            self.store(grant, pending);
            let PendingRelease { pool, outcome, .. } = pending;
            messages.push((pool, Message::Release { pool, grant, outcome }));
        }
        messages
    }

    /// Time of the next resend; `None` when all releases are confirmed.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    fn store(&mut self, grant: GrantId, pending: PendingRelease) {
        self.due.insert((pending.resend_at, grant));
        self.pending.insert(grant, pending);
    }
}
