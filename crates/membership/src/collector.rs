//! The target set as the control leader collects it from the entries, in at most one batch per second.

use crate::registry::{DEFAULT_LEASE_MS, LOST_KEPT, RegistryMessage};
use crate::targets::{AnnouncedTarget, TargetMap};
use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two batches.
pub const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Most changes in one batch, which bounds the size of a log entry to some 100 KB.
pub const BATCH_RECORDS: usize = 500;

/// An unchanged batch is proposed again after this long, in case the first proposal was lost.
pub const BATCH_RETRY: Duration = Duration::from_secs(5);

/// Targets heard only by a lost entry have this long to announce themselves at another one.
pub const ENTRY_GRACE: Duration = Duration::from_millis(DEFAULT_LEASE_MS + 1_000);

/// A new leader keeps declared targets that no entry has reported for this long.
pub const COLLECT: Duration = Duration::from_secs(10);

/// Target collector of one leader's term.
#[derive(Debug)]
pub struct TargetCollector {
    started: Instant,
    map: TargetMap,
    lost_entries: BTreeMap<InstanceId, Instant>,
    restarted: BTreeMap<InstanceId, (Incarnation, Instant)>,
    lost_targets: BTreeMap<SocketAddr, Instant>,
    proposed: Option<(Instant, TargetBatch)>,
}

impl TargetCollector {
    /// Starts empty. Entries send everything they hear once the leader is among their peers.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            map: TargetMap::default(),
            lost_entries: BTreeMap::new(),
            restarted: BTreeMap::new(),
            lost_targets: BTreeMap::new(),
            proposed: None,
        }
    }

    /// Takes in a message of an entry's registry and returns the confirmation.
    pub fn on_message(&mut self, message: &RegistryMessage) -> Option<RegistryMessage> {
        let RegistryMessage::Share { number, records } = message else { return None };
        for record in records {
            self.map.merge_one(record);
        }
        Some(RegistryMessage::Confirm { number: *number })
    }

    /// Notes that an entry is dead or isolated.
    pub fn on_entry_lost(&mut self, now: Instant, entry: InstanceId) {
        self.lost_entries.entry(entry).or_insert(now);
    }

    /// Notes that an entry is back.
    pub fn on_entry_restored(&mut self, entry: InstanceId) {
        self.lost_entries.remove(&entry);
    }

    /// Notes that an entry runs under a new incarnation: what its earlier starts heard no longer counts
    /// after `ENTRY_GRACE`.
    pub fn on_entry_restarted(
        &mut self,
        now: Instant,
        entry: InstanceId,
        incarnation: Incarnation,
    ) {
        self.lost_entries.remove(&entry);
        self.restarted.insert(entry, (incarnation, now + ENTRY_GRACE));
    }

    /// The merged records.
    #[must_use]
    pub fn targets(&self) -> &TargetMap {
        &self.map
    }

    /// The next batch to propose, at most one per `BATCH_INTERVAL`.
    pub fn tick(&mut self, now: Instant, declared: &Declarations) -> Option<TargetBatch> {
        let last = self.proposed.as_ref().map(|(at, _)| *at);
        if last.is_some_and(|last| now < last + BATCH_INTERVAL) {
            return None;
        }
        for (entry, (incarnation, due)) in &self.restarted {
            if *due <= now {
                self.map.drop_hearings(*entry, Some(*incarnation));
            }
        }
        self.forget_lost(now);
        let batch = self.batch(now, declared);
        let is_empty = batch.upserts.is_empty() && batch.removals.is_empty();
        let is_repeated = self
            .proposed
            .as_ref()
            .is_some_and(|(at, proposed)| *proposed == batch && now < *at + BATCH_RETRY);
        if is_empty || is_repeated {
            return None;
        }
        self.proposed = Some((now, batch.clone()));
        Some(batch)
    }

    fn batch(&self, now: Instant, declared: &Declarations) -> TargetBatch {
        let gone = self.gone_entries(now);
        let mut batch = self.map.batch(&declared.targets, |known| is_heard_by_others(known, &gone));
        if now >= self.started + COLLECT {
            let unreported = |target: &&TargetRecord| self.map.get(target.address).is_none();
            let unreported = declared.targets.values().filter(unreported);
            batch.removals.extend(unreported.map(|target| (target.address, target.incarnation)));
        }
        batch.removals.truncate(BATCH_RECORDS);
        batch.upserts.truncate(BATCH_RECORDS - batch.removals.len());
        batch
    }

    fn gone_entries(&self, now: Instant) -> BTreeSet<InstanceId> {
        let is_gone = |(_, since): &(&InstanceId, &Instant)| now >= **since + ENTRY_GRACE;
        self.lost_entries.iter().filter(is_gone).map(|(entry, _)| *entry).collect()
    }

    fn forget_lost(&mut self, now: Instant) {
        let lost = &mut self.lost_targets;
        self.map.retain(|known| {
            if known.is_leased() {
                lost.remove(&known.record.address);
                return true;
            }
            let since = *lost.entry(known.record.address).or_insert(now);
            now < since + LOST_KEPT
        });
        let map = &self.map;
        lost.retain(|address, _| map.get(*address).is_some());
    }
}

fn is_heard_by_others(known: &AnnouncedTarget, gone: &BTreeSet<InstanceId>) -> bool {
    known.heard_by.iter().any(|(entry, hearing)| hearing.hears && !gone.contains(entry))
}
