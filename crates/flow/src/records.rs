//! Flow records, in shards with one lock each.

use crate::flow::FlowHash;
use crate::targets::TargetKey;
use comfreyhold_types::keys::ServiceId;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of shards, which keeps lock contention between packet threads low.
pub(crate) const SHARDS: usize = 64;

/// Origin of a record, which decides how it is shared with other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    /// Placed by the table while the slot was stable.
    Table,
    /// Decided by the arbiter of a slot in transition, or reported to it.
    Pin,
    /// Stays on a target other than the table's; shared with all entries.
    Exception,
}

/// Target of one flow. Times are in tenths of a second since the router's start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub target: TargetKey,
    /// Time of the last packet of the flow at this entry; 0 for never.
    pub last_seen: u32,
    /// Last time that the flow was reported to or by another entry; 0 for never.
    pub last_reported: u32,
    pub service: ServiceId,
    pub kind: RecordKind,
    /// A packet other than the opening one was seen here, so the target has accepted the flow.
    pub is_established: bool,
}

/// Passes the key through: flow hashes are keyed SipHash values, which need no second hash.
#[derive(Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

pub(crate) type Shard = HashMap<FlowHash, Record, BuildHasherDefault<IdentityHasher>>;

/// All flow records of an entry.
pub(crate) struct FlowRecords {
    shards: Vec<Mutex<Shard>>,
    max_flows_per_shard: usize,
}

impl FlowRecords {
    pub fn new(max_flows: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Shard::default())).collect();
        Self { shards, max_flows_per_shard: max_flows.div_ceil(SHARDS) }
    }

    /// Locks the shard of a flow. Bits 40 and up choose the shard: the low bits already choose the
    /// slot and the bucket within the map, and the top 7 are the map's tags.
    pub fn lock_shard_of(&self, flow: FlowHash) -> MutexGuard<'_, Shard> {
        self.lock_shard((flow.0 >> 40) as usize % SHARDS)
    }

    pub fn lock_shard(&self, index: usize) -> MutexGuard<'_, Shard> {
        self.shards[index % SHARDS].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the shard is below its limit.
    pub fn has_room(&self, shard: &Shard) -> bool {
        shard.len() < self.max_flows_per_shard
    }

    pub fn len(&self) -> usize {
        (0..SHARDS).map(|index| self.lock_shard(index).len()).sum()
    }

    /// Memory of the maps, in bytes.
    pub fn bytes(&self) -> usize {
        // The map keeps a control byte per bucket, and 8 buckets for at most 7 entries.
        let bucket = size_of::<(FlowHash, Record)>() + 1;
        let buckets = |capacity: usize| (capacity * 8).div_ceil(7);
        (0..SHARDS).map(|index| buckets(self.lock_shard(index).capacity()) * bucket).sum()
    }
}
