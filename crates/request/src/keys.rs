//! Idempotency register: placement of keys on replicas, and the messages about keys.

use crate::message::RequestId;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Number of shards that keys are hashed to.
pub const SHARD_COUNT: u16 = 64;

/// Replicas per shard.
pub const REPLICAS: usize = 3;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Maximum size of a kept response in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// An idempotency key within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyName {
    /// Service that the key belongs to.
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

/// Digest of a request's content. All requests with one key must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(pub u128);

impl ContentDigest {
    /// Computes the digest of method, target path and body.
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
    /// Result code of the request.
    pub code: ResultCode,
    /// The encoded response; `None` when there is none or it was too large to keep.
    pub response: Option<Vec<u8>>,
}

/// Vote of a replica on a claim, derived from its record of the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The claiming attempt is the first one that this replica accepted.
    Accepted,
    /// Another attempt was accepted before, or the record was copied from another replica.
    Held {
        /// Whether the record has the same content as the claiming attempt.
        same_content: bool,
        /// Outcome of the winner, if it has finished.
        outcome: Option<KeyOutcome>,
    },
    /// The replica is at its memory limit and accepts no new keys.
    Full,
    /// The replica has restarted and does not vote yet.
    NotReady,
}

/// A record as copied between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The idempotency key.
    pub key: KeyName,
    /// Attempt that the record is for.
    pub attempt: RequestId,
    /// Digest of the attempt's content.
    pub digest: ContentDigest,
    /// Outcome of the attempt, if it has finished.
    pub outcome: Option<KeyOutcome>,
    /// Time for which the record must still be kept.
    pub keep: Duration,
}

/// A message of the idempotency register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyMessage {
    /// Entry to replica: requests the right to run. Resent until decided.
    Claim {
        /// The idempotency key.
        key: KeyName,
        /// The claiming attempt.
        attempt: RequestId,
        /// Digest of the attempt's content.
        digest: ContentDigest,
        /// Time until the attempt's deadline, after which it never runs.
        remaining: Duration,
        /// Time for which the record is kept.
        retention: Duration,
    },
    /// Replica to entry: its vote on a claim.
    Vote {
        /// The idempotency key.
        key: KeyName,
        /// The claiming attempt.
        attempt: RequestId,
        /// Incarnation of the voting replica.
        incarnation: Incarnation,
        /// Incarnations of the shard's other replicas, as far as this one has seen them.
        peers: Vec<(InstanceId, Incarnation)>,
        /// The replica's vote.
        verdict: Verdict,
    },
    /// Winner to replica: the outcome. Resent until confirmed.
    Finish {
        /// The idempotency key.
        key: KeyName,
        /// The winning attempt.
        attempt: RequestId,
        /// Digest of the attempt's content.
        digest: ContentDigest,
        /// Outcome of the winning attempt.
        outcome: KeyOutcome,
        /// Time for which the record is kept.
        retention: Duration,
    },
    /// Replica to winner: confirms the receipt of an outcome.
    Finished {
        /// The idempotency key.
        key: KeyName,
        /// The winning attempt.
        attempt: RequestId,
    },
    /// Restarted replica to the other replicas of a shard: requests their records.
    Refill {
        /// Number of the shard.
        shard: u16,
        /// Incarnation of the requesting replica.
        incarnation: Incarnation,
        /// Last key received; `None` for the first page.
        after: Option<KeyName>,
    },
    /// Reply to a refill request: one page of records.
    Records {
        /// Number of the shard.
        shard: u16,
        /// Incarnation of the replica that requested the page.
        asked_by: Incarnation,
        /// Incarnation of the replying replica.
        incarnation: Incarnation,
        /// Incarnations of replicas, as far as the replying one has seen them.
        peers: Vec<(InstanceId, Incarnation)>,
        /// The `after` of the request.
        after: Option<KeyName>,
        /// The next records in the order of keys.
        records: Vec<KeyRecord>,
        /// Whether this is the last page.
        last: bool,
    },
}

/// Placement of shards on instances, determined by the configured entries alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardMap {
    shards: Vec<Vec<InstanceId>>,
}

impl ShardMap {
    /// Places all shards on the configured entries, in different failure domains where possible.
    #[must_use]
    pub fn new(entries: &[(InstanceId, DomainId)]) -> Self {
        let shards = (0..SHARD_COUNT).map(|shard| place_shard(shard, entries)).collect();
        Self { shards }
    }

    /// Replicas of a shard, at most [`REPLICAS`].
    #[must_use]
    pub fn replicas(&self, shard: u16) -> &[InstanceId] {
        self.shards.get(usize::from(shard)).map_or(&[], Vec::as_slice)
    }

    /// Number of acceptances that win a key of the shard.
    #[must_use]
    pub fn quorum(&self, shard: u16) -> usize {
        self.replicas(shard).len() / 2 + 1
    }

    /// Shards of which the instance holds a replica.
    pub fn held_by(&self, instance: InstanceId) -> impl Iterator<Item = u16> + '_ {
        (0..SHARD_COUNT).filter(move |shard| self.replicas(*shard).contains(&instance))
    }
}

fn place_shard(shard: u16, entries: &[(InstanceId, DomainId)]) -> Vec<InstanceId> {
    let weight = |instance: InstanceId| xxh3_64_with_seed(&instance.0.to_le_bytes(), shard.into());
    let mut ranked: Vec<_> = entries.to_vec();
    ranked.sort_by_key(|(instance, _)| (weight(*instance), *instance));
    ranked.dedup();
    let mut domains = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(_, domain)| domains.insert(*domain));
    first.into_iter().chain(rest).map(|(instance, _)| instance).take(REPLICAS).collect()
}
