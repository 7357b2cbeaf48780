//! Collection of the target set at the control leader: it merges the records of the entries and proposes
//! changes in at most one batch per second.

use crate::registry::{DEFAULT_LEASE_MS, LOST_RETENTION, RegistryMessage};
use crate::targets::{AnnouncedTarget, TargetMap};
use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Minimum time between two batches.
pub const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of changes in one batch, which bounds the size of a log entry to about 100 KB.
pub const MAX_BATCH_RECORDS: usize = 500;

/// A batch that was not applied is proposed again after this long, in case the first proposal was lost.
pub const BATCH_RETRY: Duration = Duration::from_secs(5);

/// Targets with a lease only at a lost entry have this long to announce themselves at another one.
pub const ENTRY_GRACE: Duration = Duration::from_millis(DEFAULT_LEASE_MS + 1_000);

/// A new leader keeps declared targets that no entry has reported for this long.
pub const COLLECTION_PERIOD: Duration = Duration::from_secs(10);

/// State machine that collects the target set during one leader's term.
#[derive(Debug)]
pub struct TargetCollector {
    started_at: Instant,
    targets: TargetMap,
    lost_entries: BTreeMap<InstanceId, Instant>,
    /// New incarnations of restarted entries, and when the leases of earlier ones are dropped.
    restarted_entries: BTreeMap<InstanceId, (Incarnation, Instant)>,
    /// When each target without a lease lost its last one.
    lost_targets: BTreeMap<SocketAddr, Instant>,
    last_proposal: Option<(Instant, TargetBatch)>,
}

impl TargetCollector {
    /// Creates an empty collector. Entries send all targets with a lease once the leader is among their peers.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            targets: TargetMap::default(),
            lost_entries: BTreeMap::new(),
            restarted_entries: BTreeMap::new(),
            lost_targets: BTreeMap::new(),
            last_proposal: None,
        }
    }

    /// Merges the records of a `Share` and returns the `Confirm` for it; `None` for another message.
    pub fn on_message(&mut self, message: &RegistryMessage) -> Option<RegistryMessage> {
        let RegistryMessage::Share { number, records } = message else { return None };
        for record in records {
            self.targets.merge_one(record);
        }
        Some(RegistryMessage::Confirm { number: *number })
    }

    /// Records that an entry is dead or isolated, so that its leases are ignored after `ENTRY_GRACE`.
    pub fn on_entry_lost(&mut self, now: Instant, entry: InstanceId) {
        self.lost_entries.entry(entry).or_insert(now);
    }

    /// Records that an entry is live or has a lease again, so that its leases are not ignored.
    pub fn on_entry_restored(&mut self, entry: InstanceId) {
        self.lost_entries.remove(&entry);
    }

    /// Handles the restart of an entry under a new incarnation: the leases of its earlier incarnations are
    /// dropped after `ENTRY_GRACE`.
    pub fn on_entry_restarted(
        &mut self,
        now: Instant,
        entry: InstanceId,
        incarnation: Incarnation,
    ) {
        self.lost_entries.remove(&entry);
        self.restarted_entries.insert(entry, (incarnation, now + ENTRY_GRACE));
    }

    /// The merged records of all targets.
    #[must_use]
    pub fn targets(&self) -> &TargetMap {
        &self.targets
    }

    /// Returns the next batch to propose, at most one per `BATCH_INTERVAL`.
    pub fn tick(&mut self, now: Instant, declared: &Declarations) -> Option<TargetBatch> {
        let last = self.last_proposal.as_ref().map(|(at, _)| *at);
        if last.is_some_and(|last| now < last + BATCH_INTERVAL) {
            return None;
        }
        for (entry, (incarnation, due)) in &self.restarted_entries {
            if *due <= now {
                self.targets.drop_leases(*entry, Some(*incarnation));
            }
        }
        self.forget_lost(now);
        let batch = self.next_batch(now, declared);
        let is_empty = batch.upserts.is_empty() && batch.removals.is_empty();
        let is_repeated = self
            .last_proposal
            .as_ref()
            .is_some_and(|(at, last_batch)| *last_batch == batch && now < *at + BATCH_RETRY);
        if is_empty || is_repeated {
            return None;
        }
        self.last_proposal = Some((now, batch.clone()));
        Some(batch)
    }

    fn next_batch(&self, now: Instant, declared: &Declarations) -> TargetBatch {
        let expired = self.expired_entries(now);
        let mut batch = self
            .targets
            .diff_from_declared(&declared.targets, |known| is_leased_by_others(known, &expired));
        if now >= self.started_at + COLLECTION_PERIOD {
            let unreported = |target: &&TargetRecord| self.targets.get(target.address).is_none();
            let unreported = declared.targets.values().filter(unreported);
            batch.removals.extend(unreported.map(|target| (target.address, target.incarnation)));
        }
        batch.removals.truncate(MAX_BATCH_RECORDS);
        batch.upserts.truncate(MAX_BATCH_RECORDS - batch.removals.len());
        batch
    }

    /// Entries that were lost at least `ENTRY_GRACE` ago.
    fn expired_entries(&self, now: Instant) -> BTreeSet<InstanceId> {
        let is_expired = |(_, since): &(&InstanceId, &Instant)| now >= **since + ENTRY_GRACE;
        self.lost_entries.iter().filter(is_expired).map(|(entry, _)| *entry).collect()
    }

    fn forget_lost(&mut self, now: Instant) {
        let lost = &mut self.lost_targets;
        self.targets.retain(|known| {
            if known.is_leased() {
                lost.remove(&known.record.address);
                return true;
            }
            let since = *lost.entry(known.record.address).or_insert(now);
            now < since + LOST_RETENTION
        });
        let targets = &self.targets;
        lost.retain(|address, _| targets.get(*address).is_some());
    }
}

/// Whether the target has a lease at an entry that is not in `expired`.
fn is_leased_by_others(known: &AnnouncedTarget, expired: &BTreeSet<InstanceId>) -> bool {
    known.heard_by.iter().any(|(entry, lease)| lease.hears && !expired.contains(entry))
}
