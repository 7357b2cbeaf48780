//! Takeover of a dispatcher's role: waits until the earlier dispatcher's lease has ended and the live
//! entries have reported the grants they hold.

use crate::message::GrantId;
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Time between requests for reports.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Entries that have not reported this long after the lease's end count as failed. Long enough for
/// ten resends, short against the request deadline.
pub const REPORT_WAIT: Duration = Duration::from_secs(1);

/// State of a takeover.
#[derive(Debug)]
pub struct Takeover {
    /// End of the earlier dispatcher's lease.
    pub lease_ends: Instant,
    /// Grants released while reports were collected; a report sent before the release still lists
    /// them.
    pub released: BTreeSet<GrantId>,
    awaited: BTreeSet<InstanceId>,
    failed: BTreeSet<InstanceId>,
    next_ask: Instant,
}

impl Takeover {
    /// Begins a takeover.
    #[must_use]
    pub fn new(
        lease_ends: Instant,
        live: BTreeSet<InstanceId>,
        failed: BTreeSet<InstanceId>,
        now: Instant,
    ) -> Self {
        Self { lease_ends, released: BTreeSet::new(), awaited: live, failed, next_ask: now }
    }

    /// Entries to ask now.
    pub fn due_asks(&mut self, now: Instant) -> Vec<InstanceId> {
        if now < self.next_ask {
            return Vec::new();
        }
        self.next_ask = now + ASK_INTERVAL;
        self.awaited.iter().copied().collect()
    }

    /// Whether the report of a live entry is still to come.
    #[must_use]
    pub fn awaits(&self, entry: InstanceId) -> bool {
        self.awaited.contains(&entry)
    }

    /// Records a report. Returns whether it is the first of this entry.
    pub fn report(&mut self, from: InstanceId) -> bool {
        self.awaited.remove(&from) | self.failed.remove(&from)
    }

    /// Records that an entry failed before it reported.
    pub fn fail(&mut self, entry: InstanceId) {
        if self.awaited.remove(&entry) {
            self.failed.insert(entry);
        }
    }

    /// Records that a failed dispatcher's grants to its own instance are known from its witness.
    pub fn cover(&mut self, dispatcher: InstanceId) {
        self.failed.remove(&dispatcher);
    }

    /// Whether slots may be granted.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let ended = now >= self.lease_ends;
        ended && (self.awaited.is_empty() || now >= self.lease_ends + REPORT_WAIT)
    }

    /// When the takeover next has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        if self.awaited.is_empty() { self.lease_ends } else { self.next_ask }
    }

    /// Entries whose grants are unknown.
    #[must_use]
    pub fn missing(&self) -> BTreeSet<InstanceId> {
        self.failed.union(&self.awaited).copied().collect()
    }
}
