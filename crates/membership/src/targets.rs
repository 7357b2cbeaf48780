//! Announced targets as a mergeable map. The merge is commutative, associative and idempotent, so
//! entries that exchange their records in any order end with the same map.

use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether one entry hears a target. A higher `version` replaces a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hearing {
    /// Incarnation of the entry and number of the change, so that a restarted entry continues higher.
    pub version: (Incarnation, u64),
    /// Whether the target's lease runs at the entry.
    pub hears: bool,
}

/// What is known about the target at one address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedTarget {
    /// The announced record.
    pub record: TargetRecord,
    /// Number of the content within the incarnation.
    pub sequence: u64,
    /// Lease that the target asked for, in milliseconds.
    pub lease_ms: u64,
    /// Which entries hear this incarnation.
    pub heard_by: BTreeMap<InstanceId, Hearing>,
}

impl AnnouncedTarget {
    /// Whether at least one entry hears the target.
    #[must_use]
    pub fn is_leased(&self) -> bool {
        self.heard_by.values().any(|hearing| hearing.hears)
    }

    /// Order of contents; the state ranks before the rest, so that of two entries that number a
    /// content alike, the one that saw the target drain wins.
    fn order(&self) -> impl Ord + use<'_> {
        let record = &self.record;
        let content = (&record.service, record.domain, record.slots, self.lease_ms);
        (record.incarnation, self.sequence, record.state, content)
    }

    fn merge(&mut self, other: &Self) {
        if other.record.incarnation > self.record.incarnation {
            *self = other.clone();
            return;
        }
        if other.record.incarnation < self.record.incarnation {
            return;
        }
        if other.order() > self.order() {
            self.record = other.record.clone();
            self.sequence = other.sequence;
            self.lease_ms = other.lease_ms;
        }
        for (entry, hearing) in &other.heard_by {
            let known = self.heard_by.entry(*entry).or_insert(*hearing);
            *known = (*known).max(*hearing);
        }
    }
}

/// Announced targets by address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetMap {
    targets: BTreeMap<SocketAddr, AnnouncedTarget>,
}

impl TargetMap {
    /// The target at an address.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&AnnouncedTarget> {
        self.targets.get(&address)
    }

    /// All records, targets that nobody hears included.
    pub fn iter(&self) -> impl Iterator<Item = &AnnouncedTarget> {
        self.targets.values()
    }

    /// Merges one record and returns whether it changed anything.
    pub fn merge_one(&mut self, other: &AnnouncedTarget) -> bool {
        let Some(known) = self.targets.get_mut(&other.record.address) else {
            self.targets.insert(other.record.address, other.clone());
            return true;
        };
        let before = known.clone();
        known.merge(other);
        *known != before
    }

    /// Merges all records of another map.
    pub fn merge(&mut self, other: &Self) {
        for announced in other.targets.values() {
            self.merge_one(announced);
        }
    }

    /// Marks targets as no longer heard by an entry, or by its starts before an incarnation. Returns
    /// the targets that nobody hears any more. The mark is local: a later statement of the entry
    /// replaces it.
    pub fn drop_hearings(
        &mut self,
        entry: InstanceId,
        before: Option<Incarnation>,
    ) -> Vec<TargetRecord> {
        let mut lost = Vec::new();
        for announced in self.targets.values_mut() {
            let hearing = announced.heard_by.get_mut(&entry).filter(|hearing| {
                hearing.hears && before.is_none_or(|before| hearing.version.0 < before)
            });
            let Some(hearing) = hearing else { continue };
            hearing.hears = false;
            if !announced.is_leased() {
                lost.push(announced.record.clone());
            }
        }
        lost
    }

    /// Forgets targets for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&AnnouncedTarget) -> bool) {
        self.targets.retain(|_, announced| keep(announced));
    }

    /// Changes that turn the declared target set into the announced one. `is_leased` decides which
    /// targets still exist. A declared target without a record is left alone: its entries may not
    /// have reported yet.
    #[must_use]
    pub fn batch(
        &self,
        declared: &BTreeMap<SocketAddr, TargetRecord>,
        is_leased: impl Fn(&AnnouncedTarget) -> bool,
    ) -> TargetBatch {
        let mut batch = TargetBatch::default();
        for announced in self.targets.values() {
            let record = &announced.record;
            let known = declared.get(&record.address);
            if !is_leased(announced) {
                let ended = known.filter(|known| known.incarnation <= record.incarnation);
                batch.removals.extend(ended.map(|_| (record.address, record.incarnation)));
            } else if known
                .is_none_or(|known| known != record && known.incarnation <= record.incarnation)
            {
                batch.upserts.push(record.clone());
            }
        }
        batch
    }
}
