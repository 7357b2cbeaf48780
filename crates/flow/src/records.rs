//! Flow records, in shards with one lock each.

use crate::flow::FlowHash;
use crate::targets::TargetKey;
use comfreyhold_types::keys::ServiceId;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Shards, so that threads rarely meet at one lock.
pub(crate) const SHARDS: usize = 64;

/// Where a record comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Placed by the table while the slot was stable.
    Plain,
    /// Decided by, or known to, the arbiter of a slot in transition.
    Pin,
    /// Known to all entries.
    Exception,
}

/// Target of one flow. Times are in tenths of a second since the node's start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub target: TargetKey,
    /// Last packet of the flow here.
    pub seen: u32,
    /// Last time that other entries told of the flow, or were told; 0 for never.
    pub told: u32,
    pub service: ServiceId,
    pub kind: Kind,
    /// A packet other than the opening one was seen here, so the flow is established at the target.
    pub established: bool,
}

/// Flow hashes are keyed SipHash values already, so hashing them again would only cost time.
#[derive(Default)]
pub(crate) struct Identity(u64);

impl Hasher for Identity {
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

pub(crate) type Shard = HashMap<FlowHash, Record, BuildHasherDefault<Identity>>;

/// All flow records of a node.
pub(crate) struct Records {
    shards: Vec<Mutex<Shard>>,
    limit: usize,
}

impl Records {
    pub fn new(max_flows: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Shard::default())).collect();
        Self { shards, limit: max_flows.div_ceil(SHARDS) }
    }

    /// Locks the shard of a flow. Bits 40 and up choose the shard: the low bits choose the slot and
    /// the bucket within the map, and the top 7 are the map's tags.
    pub fn lock(&self, flow: FlowHash) -> MutexGuard<'_, Shard> {
        self.shard((flow.0 >> 40) as usize % SHARDS)
    }

    pub fn shard(&self, index: usize) -> MutexGuard<'_, Shard> {
        self.shards[index % SHARDS].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the shard may take one more flow.
    pub fn has_room(&self, shard: &Shard) -> bool {
        shard.len() < self.limit
    }

    pub fn len(&self) -> usize {
        (0..SHARDS).map(|index| self.shard(index).len()).sum()
    }

    pub fn bytes(&self) -> usize {
        // The map keeps a control byte per bucket, and 8 buckets for at most 7 entries.
        let bucket = size_of::<(FlowHash, Record)>() + 1;
        let buckets = |capacity: usize| (capacity * 8).div_ceil(7);
        (0..SHARDS).map(|index| buckets(self.shard(index).capacity()) * bucket).sum()
    }
}
