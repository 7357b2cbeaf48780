//! Takeover of a dispatcher's role: waits until the earlier dispatcher's lease has ended and the
//! live entries have reported the grants that they hold.

use crate::message::GrantId;
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Retry interval of requests for grant reports.
const REPORT_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Live entries that have not reported this long after the end of the lease count as failed. Long
/// enough for ten requests, short against the request deadline.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a takeover.
#[derive(Debug)]
pub struct Takeover {
    /// End of the earlier dispatcher's lease.
    pub lease_ends: Instant,
    /// Grants released while reports are collected. A report sent before the release still lists
    /// them.
    pub released: BTreeSet<GrantId>,
    awaited: BTreeSet<InstanceId>,
    failed: BTreeSet<InstanceId>,
    next_request: Instant,
}

impl Takeover {
    /// Starts a takeover that waits for the reports of the `live` entries.
    #[must_use]
    pub fn new(
        lease_ends: Instant,
        live: BTreeSet<InstanceId>,
        failed: BTreeSet<InstanceId>,
        now: Instant,
    ) -> Self {
        Self { lease_ends, released: BTreeSet::new(), awaited: live, failed, next_request: now }
    }

    /// Entries to request a report from now.
    pub fn due_report_requests(&mut self, now: Instant) -> Vec<InstanceId> {
        if now < self.next_request {
            return Vec::new();
        }
        self.next_request = now + REPORT_REQUEST_INTERVAL;
        self.awaited.iter().copied().collect()
    }

    /// Whether the report of a live entry is still missing.
    #[must_use]
    pub fn awaits_report(&self, entry: InstanceId) -> bool {
        self.awaited.contains(&entry)
    }

    /// Records a report. Returns whether it is the first one of this entry.
    pub fn record_report(&mut self, from: InstanceId) -> bool {
        self.awaited.remove(&from) | self.failed.remove(&from)
    }

    /// Records that an entry failed before it reported.
    pub fn mark_failed(&mut self, entry: InstanceId) {
        if self.awaited.remove(&entry) {
            self.failed.insert(entry);
        }
    }

    /// Records that a failed dispatcher's grants to its own instance are known from its witness.
    pub fn mark_grants_known(&mut self, dispatcher: InstanceId) {
        self.failed.remove(&dispatcher);
    }

    /// Whether the takeover is complete, so that slots may be granted.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let ended = now >= self.lease_ends;
        ended && (self.awaited.is_empty() || now >= self.lease_ends + REPORT_TIMEOUT)
    }

    /// Time at which the takeover must be advanced next.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        if self.awaited.is_empty() { self.lease_ends } else { self.next_request }
    }

    /// Live entries whose report is still missing.
    #[must_use]
    pub fn live_without_report(&self) -> &BTreeSet<InstanceId> {
        &self.awaited
    }

    /// Entries that have not reported and whose grants are therefore unknown.
    #[must_use]
    pub fn entries_without_report(&self) -> BTreeSet<InstanceId> {
        self.failed.union(&self.awaited).copied().collect()
    }
}
