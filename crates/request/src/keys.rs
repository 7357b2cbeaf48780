//! Idempotency register: placement of keys and the messages about them.

use crate::message::RequestId;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Number of shards.
pub const SHARD_COUNT: u16 = 64;

/// Replicas per shard.
pub const REPLICAS: usize = 3;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Largest response that is kept, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// A key within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyName {
    /// The service.
    pub service: ServiceId,
    /// The caller's key, at most [`MAX_KEY_BYTES`].
    pub key: String,
}

impl KeyName {
    /// The shard that holds the key.
    #[must_use]
    pub fn shard(&self) -> u16 {
        let hash = xxh3_64_with_seed(self.key.as_bytes(), u64::from(self.service.0));
        u16::try_from(hash % u64::from(SHARD_COUNT)).unwrap_or(0)
    }
}

/// Digest of what a request asks for. Two requests under one key must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(pub u128);

impl ContentDigest {
    /// Digest of method, target path and body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

/// Final outcome of the request that won a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOutcome {
    /// The result.
    pub code: ResultCode,
    /// The encoded response; `None` when there is none or it was too large to keep.
    pub response: Option<Vec<u8>>,
}

/// What a replica knows about a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The asking attempt is the first that this replica accepted.
    Accepted,
    /// Another attempt was accepted before, or the record was copied from another replica.
    Held {
        /// Whether the held record has the asking attempt's content.
        same_content: bool,
        /// The outcome, if the winner has finished.
        outcome: Option<KeyOutcome>,
    },
    /// The replica is at its bound and accepts no new keys.
    Full,
    /// The replica has restarted and does not vote yet.
    NotReady,
}

/// A record as copied between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub key: KeyName,
    /// Attempt that the record is for.
    pub attempt: RequestId,
    /// Digest of its content.
    pub digest: ContentDigest,
    /// The outcome, if finished.
    pub outcome: Option<KeyOutcome>,
    /// Time that the record must still be kept.
    pub keep: Duration,
}

/// Messages of the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyMessage {
    /// Entry to replica: asks for the right to run. Resent until decided.
    Claim {
        /// The key.
        key: KeyName,
        /// The attempt.
        attempt: RequestId,
        /// Digest of its content.
        digest: ContentDigest,
        /// Time until the attempt's deadline; it never runs after it.
        remaining: Duration,
        /// Time to keep the record.
        retention: Duration,
    },
    /// Replica to entry: its vote.
    Vote {
        /// The key.
        key: KeyName,
        /// The attempt.
        attempt: RequestId,
        /// Start number of the voting replica.
        incarnation: Incarnation,
        /// Start numbers of the shard's other replicas, as far as this one has seen them.
        peers: Vec<(InstanceId, Incarnation)>,
        /// The vote.
        verdict: Verdict,
    },
    /// Winner to replica: the outcome. Resent until confirmed.
    Finish {
        /// The key.
        key: KeyName,
        /// The winning attempt.
        attempt: RequestId,
        /// Digest of its content.
        digest: ContentDigest,
        /// The outcome.
        outcome: KeyOutcome,
        /// Time to keep the record.
        retention: Duration,
    },
    /// Replica to winner: confirms a finish.
    Finished {
        /// The key.
        key: KeyName,
        /// The winning attempt.
        attempt: RequestId,
    },
    /// Restarted replica to the other replicas of a shard: asks for their records.
    Refill {
        /// The shard.
        shard: u16,
        /// Start number of the asking replica.
        incarnation: Incarnation,
        /// Last key received; `None` for the first page.
        after: Option<KeyName>,
    },
    /// Answer to a refill.
    Records {
        /// The shard.
        shard: u16,
        /// Start number of the replica that asked.
        asked_by: Incarnation,
        /// Start number of the answering replica.
        incarnation: Incarnation,
        /// Start numbers of replicas, as far as the answering one has seen them.
        peers: Vec<(InstanceId, Incarnation)>,
        /// The key that the asking replica gave.
        after: Option<KeyName>,
        /// The next records in order.
        records: Vec<KeyRecord>,
        /// Whether no records follow.
        last: bool,
    },
}

/// Which instances hold which shard, determined by the configured entries alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardMap {
    shards: Vec<Vec<InstanceId>>,
}

impl ShardMap {
    /// Places all shards on the configured entries, in different failure domains where possible.
    #[must_use]
    pub fn new(entries: &[(InstanceId, DomainId)]) -> Self {
        let shards = (0..SHARD_COUNT).map(|shard| place(shard, entries)).collect();
        Self { shards }
    }

    /// Replicas of a shard, at most [`REPLICAS`].
    #[must_use]
    pub fn replicas(&self, shard: u16) -> &[InstanceId] {
        self.shards.get(usize::from(shard)).map_or(&[], Vec::as_slice)
    }

    /// Acceptances that win a key of the shard.
    #[must_use]
    pub fn quorum(&self, shard: u16) -> usize {
        self.replicas(shard).len() / 2 + 1
    }

    /// Shards that the instance holds.
    pub fn held_by(&self, instance: InstanceId) -> impl Iterator<Item = u16> + '_ {
        (0..SHARD_COUNT).filter(move |shard| self.replicas(*shard).contains(&instance))
    }
}

fn place(shard: u16, entries: &[(InstanceId, DomainId)]) -> Vec<InstanceId> {
    let weight = |instance: InstanceId| xxh3_64_with_seed(&instance.0.to_le_bytes(), shard.into());
    let mut ranked: Vec<_> = entries.to_vec();
    ranked.sort_by_key(|(instance, _)| (weight(*instance), *instance));
    ranked.dedup();
    let mut domains = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(_, domain)| domains.insert(*domain));
    first.into_iter().chain(rest).map(|(instance, _)| instance).take(REPLICAS).collect()
}
