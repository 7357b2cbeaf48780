//! Announced targets as a mergeable map. The merge is commutative, associative and idempotent, so
//! entries that exchange their records in any order end up with the same map.

use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// State of a target's lease at one entry. A higher `version` replaces a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryLease {
    /// Incarnation of the entry and number of the change, so that the versions of a restarted entry are
    /// higher than its earlier ones.
    pub version: (Incarnation, u64),
    /// Whether the target has a lease at the entry.
    pub hears: bool,
}

/// Merged announcements of the target at one address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedTarget {
    /// The newest announced record.
    pub record: TargetRecord,
    /// Number of the announcement that changed the content last, as its target has numbered it.
    pub sequence: u64,
    /// Duration of the lease that the target requested, in milliseconds.
    pub lease_ms: u64,
    /// Leases of this incarnation, by entry.
    pub heard_by: BTreeMap<InstanceId, EntryLease>,
}

impl AnnouncedTarget {
    /// Whether the target has a lease at one entry or more.
    #[must_use]
    pub fn is_leased(&self) -> bool {
        self.heard_by.values().any(|lease| lease.hears)
    }

    /// Merge order of the content. The state precedes the other fields: when a target has used a number for
    /// different contents, the one with the draining state takes precedence.
    fn merge_order(&self) -> impl Ord + use<'_> {
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
        if other.merge_order() > self.merge_order() {
            self.record = other.record.clone();
            self.sequence = other.sequence;
            self.lease_ms = other.lease_ms;
        }
        for (entry, lease) in &other.heard_by {
            let known = self.heard_by.entry(*entry).or_insert(*lease);
            *known = (*known).max(*lease);
        }
    }
}

/// Announced targets by address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetMap {
    targets: BTreeMap<SocketAddr, AnnouncedTarget>,
}

impl TargetMap {
    /// The record of the target at an address.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&AnnouncedTarget> {
        self.targets.get(&address)
    }

    /// All records, including those of targets without a lease.
    pub fn iter(&self) -> impl Iterator<Item = &AnnouncedTarget> {
        self.targets.values()
    }

    /// Merges one record. Returns whether the map changed.
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

    /// Drops the leases of targets at an entry, or only those of its incarnations earlier than `before`.
    /// Returns the targets that have no lease any more. The change is local: a record from the entry with a
    /// higher version replaces it.
    pub fn drop_leases(
        &mut self,
        entry: InstanceId,
        before: Option<Incarnation>,
    ) -> Vec<TargetRecord> {
        let mut lost = Vec::new();
        for announced in self.targets.values_mut() {
            let lease = announced.heard_by.get_mut(&entry).filter(|lease| {
                lease.hears && before.is_none_or(|before| lease.version.0 < before)
            });
            let Some(lease) = lease else { continue };
            lease.hears = false;
            if !announced.is_leased() {
                lost.push(announced.record.clone());
            }
        }
        lost
    }

    /// Removes the records for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&AnnouncedTarget) -> bool) {
        self.targets.retain(|_, announced| keep(announced));
    }

    /// Returns the changes that turn the declared target set into the announced one. `is_leased` decides
    /// which targets still exist. A declared target without a record is kept, since its entries may not have
    /// reported yet.
    #[must_use]
    pub fn diff_from_declared(
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
