//! One instance's replicas of the idempotency register.
//!
//! A replica accepts the first attempt per key that it sees and no other for as long as it keeps
//! the record. Two rules keep this true across restarts. A restarted replica votes only after it
//! has copied the records of the shard's other replicas, or after every attempt that its earlier
//! incarnation accepted must have ended. And each vote names the incarnations of the other
//! replicas, so that a client can tell a vote given before a restart from one given after it.
//!
//! Time is measured as durations on the replica's own clock. A record outlives its attempt by a
//! factor of [`DRIFT_FACTOR`], which allows for differing clock rates.
//!
//! Memory is bounded. At `max_records` new keys are refused with [`Verdict::Full`] and no record is
//! dropped early, because a dropped record could let a second attempt win. At `max_response_bytes`
//! outcomes are kept without their response.

use crate::key_refill::Refill;
use crate::keys::{
    ContentDigest, KeyMessage, KeyName, KeyOutcome, KeyRecord, MAX_KEY_BYTES, MAX_RESPONSE_BYTES,
    SHARD_COUNT, ShardMap, Verdict,
};
use crate::message::RequestId;
use bon::Builder;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

/// Minimum time for which a record is kept, as a multiple of the attempt's remaining time.
pub const DRIFT_FACTOR: u32 = 2;

/// Longest time that a claim or outcome may spend in the network and in queues.
pub const TRANSIT_MARGIN: Duration = Duration::from_secs(1);

/// Records per refill page; with 16 KB responses a page stays below 1 MB.
pub const PAGE_RECORDS: usize = 32;

/// Settings of the replicas of one instance.
#[derive(Clone, Debug, Builder)]
pub struct ReplicaConfig {
    /// Instance that holds the replicas.
    pub instance: InstanceId,
    /// Incarnation of the instance; must be higher than at every earlier start.
    pub incarnation: Incarnation,
    /// Placement of the shards on instances.
    pub shards: ShardMap,
    /// Longest remaining time of a claim that is accepted: the longest deadline of all profiles.
    pub max_attempt: Duration,
    /// Longest retention of all profiles; longer ones are cut to it.
    pub max_retention: Duration,
    /// Maximum number of records.
    #[builder(default = 100_000)]
    pub max_records: usize,
    /// Maximum total size of the kept responses in bytes.
    #[builder(default = 64 * 1024 * 1024)]
    pub max_response_bytes: usize,
    /// Whether no instance of the deployment has ever held records. Only an operator can know this.
    #[builder(default)]
    pub first_start: bool,
}

#[derive(Clone, Debug)]
struct ReplicaRecord {
    attempt: RequestId,
    digest: ContentDigest,
    outcome: Option<KeyOutcome>,
    /// Whether this replica accepted the attempt itself in this incarnation. A copied record blocks
    /// other attempts but is no vote: before the restart the replica may have accepted another
    /// attempt.
    accepted_here: bool,
    keep_until: Instant,
}

/// The replicas of all shards that one instance holds.
#[derive(Debug)]
pub struct KeyReplica {
    cfg: ReplicaConfig,
    records: BTreeMap<(u16, KeyName), ReplicaRecord>,
    expiries: BTreeSet<(Instant, u16, KeyName)>,
    response_bytes: usize,
    /// Latest known incarnations of other replicas.
    peers: BTreeMap<InstanceId, Incarnation>,
    refills: BTreeMap<u16, Refill>,
    voting_allowed_from: Instant,
}

impl KeyReplica {
    /// Creates the replicas of an instance at its start. Unless it is the first start, each one is
    /// refilled before it votes.
    #[must_use]
    pub fn new(cfg: ReplicaConfig, now: Instant) -> Self {
        let mut refills = BTreeMap::new();
        if !cfg.first_start {
            for shard in cfg.shards.held_by(cfg.instance) {
                let other_replicas = other_replicas(&cfg, shard);
                refills.insert(shard, Refill::new(shard, other_replicas, now));
            }
        }
        let longest = cfg.max_attempt * DRIFT_FACTOR + TRANSIT_MARGIN;
        let voting_allowed_from = now + cfg.max_retention.max(longest) + TRANSIT_MARGIN;
        Self {
            cfg,
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            response_bytes: 0,
            peers: BTreeMap::new(),
            refills,
            voting_allowed_from,
        }
    }

    /// Handles a message and returns the messages to send.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        msg: KeyMessage,
    ) -> Vec<(InstanceId, KeyMessage)> {
        self.remove_expired(now);
        let reply = match msg {
            KeyMessage::Claim { key, attempt, digest, remaining, retention } => {
                self.on_claim(now, key, attempt, digest, (remaining, retention))
            }
            KeyMessage::Finish { key, attempt, digest, outcome, retention } => {
                self.on_finish(now, key, attempt, digest, outcome, retention)
            }
            KeyMessage::Refill { shard, incarnation, after } => {
                self.on_refill(now, from, shard, incarnation, after)
            }
            page @ KeyMessage::Records { .. } => self.on_records(now, from, page),
            KeyMessage::Vote { .. } | KeyMessage::Finished { .. } => None,
        };
        reply.into_iter().map(|reply| (from, reply)).collect()
    }

    /// Removes expired records and returns the refill requests that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<(InstanceId, KeyMessage)> {
        self.remove_expired(now);
        if now >= self.voting_allowed_from {
            self.refills.clear();
        }
        let incarnation = self.cfg.incarnation;
        let refills = self.refills.values_mut();
        refills.flat_map(|refill| refill.due_requests(now, incarnation)).collect()
    }

    /// Whether the replica of the shard votes, because its refill is complete or not needed.
    #[must_use]
    pub fn is_ready(&self, shard: u16) -> bool {
        !self.refills.contains_key(&shard)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn on_claim(
        &mut self,
        now: Instant,
        key: KeyName,
        attempt: RequestId,
        digest: ContentDigest,
        times: (Duration, Duration),
    ) -> Option<KeyMessage> {
        let (remaining, retention) = times;
        let shard = self.held_shard(&key)?;
        if remaining > self.cfg.max_attempt {
            return None;
        }
        let record_key = (shard, key.clone());
        let known = self.records.get(&record_key);
        if let Some(record) = known.filter(|record| !record.is_free_for(attempt)) {
            let verdict = record.verdict(attempt, digest);
            return Some(self.vote(shard, key, attempt, verdict));
        }
        let verdict = if !self.is_ready(shard) {
            Verdict::NotReady
        } else if known.is_none() && self.records.len() >= self.cfg.max_records {
            Verdict::Full
        } else {
            let kept = known.map_or(now, |record| record.keep_until);
            let keep_until = kept.max(now + self.keep_duration(retention, remaining));
            let record =
                ReplicaRecord { attempt, digest, outcome: None, accepted_here: true, keep_until };
            self.insert_record(record_key, record);
            Verdict::Accepted
        };
        Some(self.vote(shard, key, attempt, verdict))
    }

    /// Handles the outcome of a winner. Only the winner sends one, so it replaces any record. A
    /// winner that provably did not run frees the key. Another attempt may hold the key by then;
    /// its record stays.
    fn on_finish(
        &mut self,
        now: Instant,
        key: KeyName,
        attempt: RequestId,
        digest: ContentDigest,
        outcome: KeyOutcome,
        retention: Duration,
    ) -> Option<KeyMessage> {
        let shard = self.held_shard(&key)?;
        let record_key = (shard, key.clone());
        let reply = KeyMessage::Finished { key, attempt };
        let known = self.records.get(&record_key);
        let frees_key = outcome.code.family() == Family::NotRun;
        let is_obsolete = |record: &ReplicaRecord| {
            let finished = record.outcome.is_some() && !record.is_freed();
            finished || (frees_key && record.attempt != attempt)
        };
        if known.is_some_and(is_obsolete) {
            return Some(reply);
        }
        if known.is_none() && self.records.len() >= self.cfg.max_records {
            return None;
        }
        let kept = known.map_or(now, |record| record.keep_until);
        let keep_until = kept.max(now + self.keep_duration(retention, Duration::ZERO));
        let accepted_here =
            known.is_some_and(|record| record.accepted_here && record.attempt == attempt);
        let outcome = Some(self.limit_response(outcome));
        self.insert_record(
            record_key,
            ReplicaRecord { attempt, digest, outcome, accepted_here, keep_until },
        );
        Some(reply)
    }

    /// Returns a page of records. A replica that is not ready does not reply, since it may lack
    /// records itself.
    fn on_refill(
        &mut self,
        now: Instant,
        from: InstanceId,
        shard: u16,
        incarnation: Incarnation,
        after: Option<KeyName>,
    ) -> Option<KeyMessage> {
        self.record_peer_incarnation(from, incarnation);
        if !self.is_ready(shard) || !self.cfg.shards.replicas(shard).contains(&self.cfg.instance) {
            return None;
        }
        let lower = match after.clone() {
            Some(key) => Bound::Excluded((shard, key)),
            None => Bound::Included((shard, KeyName { service: ServiceId(0), key: String::new() })),
        };
        let of_shard =
            self.records.range((lower, Bound::Unbounded)).take_while(|((at, _), _)| *at == shard);
        let mut page: Vec<_> = of_shard.take(PAGE_RECORDS + 1).collect();
        let last = page.len() <= PAGE_RECORDS;
        page.truncate(PAGE_RECORDS);
        let records =
            page.into_iter().map(|((_, key), record)| record.to_key_record(now, key)).collect();
        Some(KeyMessage::Records {
            shard,
            asked_by: incarnation,
            incarnation: self.cfg.incarnation,
            peers: self.peer_list(),
            after,
            records,
            last,
        })
    }

    fn on_records(
        &mut self,
        now: Instant,
        from: InstanceId,
        page: KeyMessage,
    ) -> Option<KeyMessage> {
        let KeyMessage::Records { shard, asked_by, incarnation, peers, after, records, last } =
            page
        else {
            return None;
        };
        if asked_by != self.cfg.incarnation {
            return None;
        }
        self.record_peer_incarnation(from, incarnation);
        for (peer, seen) in peers {
            self.record_peer_incarnation(peer, seen);
        }
        let end = records.last().map(|record| record.key.clone());
        let refill = self.refills.get_mut(&shard)?;
        if !refill.accept_page(now, from, incarnation, after.as_ref(), end, last) {
            return None;
        }
        let next = refill.next_request(from, self.cfg.incarnation);
        if refill.is_complete() {
            self.refills.remove(&shard);
        }
        for record in records {
            self.store_copied_record(now, shard, record);
        }
        next
    }

    /// Stores a copied record. `max_records` does not apply, since an incomplete refill would be
    /// useless.
    fn store_copied_record(&mut self, now: Instant, shard: u16, copy: KeyRecord) {
        let record_key = (shard, copy.key.clone());
        let keep_until = now + copy.keep + TRANSIT_MARGIN;
        let known = self.records.get(&record_key);
        if let Some(known) = known
            && known.takes_precedence_over(&copy)
        {
            let mut kept = known.clone();
            kept.keep_until = kept.keep_until.max(keep_until);
            self.insert_record(record_key, kept);
            return;
        }
        let outcome = copy.outcome.map(|outcome| self.limit_response(outcome));
        let (attempt, digest) = (copy.attempt, copy.digest);
        self.insert_record(
            record_key,
            ReplicaRecord { attempt, digest, outcome, accepted_here: false, keep_until },
        );
    }

    fn vote(&self, shard: u16, key: KeyName, attempt: RequestId, verdict: Verdict) -> KeyMessage {
        let other_replicas = other_replicas(&self.cfg, shard);
        let seen = self.peers.iter().filter(|(peer, _)| other_replicas.contains(*peer));
        let peers = seen.map(|(peer, incarnation)| (*peer, *incarnation)).collect();
        KeyMessage::Vote { key, attempt, incarnation: self.cfg.incarnation, peers, verdict }
    }

    fn held_shard(&self, key: &KeyName) -> Option<u16> {
        let shard = key.shard();
        let held = self.cfg.shards.replicas(shard).contains(&self.cfg.instance);
        (held && shard < SHARD_COUNT && key.key.len() <= MAX_KEY_BYTES).then_some(shard)
    }

    fn keep_duration(&self, retention: Duration, remaining: Duration) -> Duration {
        let attempt_over = remaining * DRIFT_FACTOR + TRANSIT_MARGIN;
        retention.min(self.cfg.max_retention).max(attempt_over)
    }

    /// Removes a response that is too large or exceeds the memory limit.
    fn limit_response(&self, mut outcome: KeyOutcome) -> KeyOutcome {
        let size = outcome.response.as_ref().map_or(0, Vec::len);
        let full = self.response_bytes + size > self.cfg.max_response_bytes;
        if size > MAX_RESPONSE_BYTES || full {
            outcome.response = None;
        }
        outcome
    }

    fn insert_record(&mut self, record_key: (u16, KeyName), record: ReplicaRecord) {
        self.remove_record(&record_key);
        self.response_bytes += record.response_len();
        self.expiries.insert((record.keep_until, record_key.0, record_key.1.clone()));
        self.records.insert(record_key, record);
    }

    fn remove_record(&mut self, record_key: &(u16, KeyName)) {
        let Some(record) = self.records.remove(record_key) else { return };
        self.response_bytes -= record.response_len();
        self.expiries.remove(&(record.keep_until, record_key.0, record_key.1.clone()));
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.expiries.first().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, shard, key)) = self.expiries.pop_first() else { break };
            self.remove_record(&(shard, key));
        }
    }

    fn record_peer_incarnation(&mut self, peer: InstanceId, incarnation: Incarnation) {
        if peer == self.cfg.instance {
            return;
        }
        let seen = self.peers.entry(peer).or_insert(incarnation);
        *seen = incarnation.max(*seen);
    }

    fn peer_list(&self) -> Vec<(InstanceId, Incarnation)> {
        self.peers.iter().map(|(peer, incarnation)| (*peer, *incarnation)).collect()
    }
}

impl ReplicaRecord {
    /// Whether the winner provably did not run, so that another attempt may win the key.
    fn is_freed(&self) -> bool {
        self.outcome.as_ref().is_some_and(|outcome| outcome.code.family() == Family::NotRun)
    }

    /// Whether the attempt may claim the freed key. A delayed claim of the attempt that freed it
    /// must not win it again.
    fn is_free_for(&self, attempt: RequestId) -> bool {
        self.is_freed() && self.attempt != attempt
    }

    /// Whether this record takes precedence over a copied one. A freed key never replaces one that
    /// another attempt may hold, and any other record replaces a freed key.
    fn takes_precedence_over(&self, copy: &KeyRecord) -> bool {
        let copy_is_free =
            copy.outcome.as_ref().is_some_and(|outcome| outcome.code.family() == Family::NotRun);
        if self.is_freed() {
            return copy_is_free;
        }
        self.outcome.is_some()
            || copy.outcome.is_none()
            || (copy_is_free && copy.attempt != self.attempt)
    }

    fn verdict(&self, attempt: RequestId, digest: ContentDigest) -> Verdict {
        if self.accepted_here && self.attempt == attempt && self.outcome.is_none() {
            return Verdict::Accepted;
        }
        Verdict::Held { same_content: self.digest == digest, outcome: self.outcome.clone() }
    }

    fn to_key_record(&self, now: Instant, key: &KeyName) -> KeyRecord {
        KeyRecord {
            key: key.clone(),
            attempt: self.attempt,
            digest: self.digest,
            outcome: self.outcome.clone(),
            keep: self.keep_until.saturating_duration_since(now),
        }
    }

    fn response_len(&self) -> usize {
        let response = self.outcome.as_ref().and_then(|outcome| outcome.response.as_ref());
        response.map_or(0, Vec::len)
    }
}

fn other_replicas(cfg: &ReplicaConfig, shard: u16) -> Vec<InstanceId> {
    let replicas = cfg.shards.replicas(shard).iter().copied();
    replicas.filter(|replica| *replica != cfg.instance).collect()
}
