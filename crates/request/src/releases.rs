//! Releases that a dispatcher has not confirmed yet.

use crate::message::{GrantId, Message, Pool, SlotOutcome};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time between resends of a release.
pub const RELEASE_RESEND: Duration = Duration::from_millis(100);

/// Shortest time for which a release is resent, even when the grant's deadline is near.
const RESEND_AT_LEAST: Duration = Duration::from_secs(1);

/// Releases kept for resending. Beyond it the oldest is given up; its slot is freed at the grant's
/// deadline.
pub const MAX_UNCONFIRMED_RELEASES: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Pending {
    pool: Pool,
    outcome: SlotOutcome,
    resend_at: Instant,
    until: Instant,
}

/// The unconfirmed releases of one entry.
#[derive(Debug, Default)]
pub struct Releases {
    pending: BTreeMap<GrantId, Pending>,
    due: BTreeSet<(Instant, GrantId)>,
}

impl Releases {
    /// Keeps a release until it is confirmed or `deadline` has passed.
    pub fn add(
        &mut self,
        now: Instant,
        pool: Pool,
        grant: GrantId,
        outcome: SlotOutcome,
        deadline: Instant,
    ) {
        self.confirm(grant);
        let until = deadline.max(now + RESEND_AT_LEAST);
        self.store(grant, Pending { pool, outcome, resend_at: now + RELEASE_RESEND, until });
        if self.pending.len() > MAX_UNCONFIRMED_RELEASES {
            let oldest = self.due.first().map(|(_, grant)| *grant);
            oldest.into_iter().for_each(|grant| self.confirm(grant));
        }
    }

    /// Whether the grant's release is waiting for confirmation.
    #[must_use]
    pub fn contains(&self, grant: GrantId) -> bool {
        self.pending.contains_key(&grant)
    }

    /// Drops a confirmed release.
    pub fn confirm(&mut self, grant: GrantId) {
        if let Some(pending) = self.pending.remove(&grant) {
            self.due.remove(&(pending.resend_at, grant));
        }
    }

    /// Messages that are due again.
    pub fn resend(&mut self, now: Instant) -> Vec<(Pool, Message)> {
        let mut messages = Vec::new();
        while let Some((at, grant)) = self.due.first().copied() {
            if at > now {
                break;
            }
            self.due.pop_first();
            let Some(mut pending) = self.pending.remove(&grant) else { continue };
            if pending.until <= now {
                continue;
            }
            pending.resend_at = now + RELEASE_RESEND;
            self.store(grant, pending);
            let Pending { pool, outcome, .. } = pending;
            messages.push((pool, Message::Release { pool, grant, outcome }));
        }
        messages
    }

    /// When the next resend is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    fn store(&mut self, grant: GrantId, pending: Pending) {
        self.due.insert((pending.resend_at, grant));
        self.pending.insert(grant, pending);
    }
}
