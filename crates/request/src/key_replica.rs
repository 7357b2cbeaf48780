//! One instance's replicas of the idempotency register.
//!
//! A replica accepts the first attempt per key that it sees and no other for as long as it keeps the
//! record. Two rules keep this true across restarts. A restarted replica votes only after it has
//! copied the records of the shard's other replicas, or after every attempt that its former self
//! accepted must have ended. And each vote names the start numbers of the other replicas, so that a
//! client can tell a vote given before a restart from one that the restarted replica knows of.
//!
//! Time is measured as durations on the replica's own clock. A record outlives its attempt by a
//! factor of [`DRIFT_FACTOR`], so differing clock rates do no harm.
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

/// How much longer than the attempt's remaining time a record is kept at least.
pub const DRIFT_FACTOR: u32 = 2;

/// Longest time that a claim or finish may be under way in the network and in queues.
pub const TRANSIT_MARGIN: Duration = Duration::from_secs(1);

/// Records per refill page; with 16 KB responses a page stays below 1 MB.
pub const PAGE_RECORDS: usize = 32;

/// Settings of the replicas of one instance.
#[derive(Clone, Debug, Builder)]
pub struct ReplicaConfig {
    /// The instance.
    pub instance: InstanceId,
    /// Its start number; must be higher than at every earlier start.
    pub incarnation: Incarnation,
    /// Placement of shards.
    pub shards: ShardMap,
    /// Longest remaining time of a claim that is accepted; the longest deadline of all profiles.
    pub max_attempt: Duration,
    /// Longest retention of all profiles.
    pub max_retention: Duration,
    /// Most records kept.
    #[builder(default = 100_000)]
    pub max_records: usize,
    /// Most response bytes kept.
    #[builder(default = 64 * 1024 * 1024)]
    pub max_response_bytes: usize,
    /// Whether no instance of the deployment has ever held records. Only an operator can know it.
    #[builder(default)]
    pub first_start: bool,
}

#[derive(Clone, Debug)]
struct Record {
    attempt: RequestId,
    digest: ContentDigest,
    outcome: Option<KeyOutcome>,
    /// Whether this replica itself accepted the attempt in this incarnation. A copied record blocks
    /// other attempts and is no vote: the restarted replica may have accepted another attempt before.
    voted: bool,
    keep_until: Instant,
}

/// The replicas of one instance.
#[derive(Debug)]
pub struct KeyReplica {
    cfg: ReplicaConfig,
    records: BTreeMap<(u16, KeyName), Record>,
    expiries: BTreeSet<(Instant, u16, KeyName)>,
    response_bytes: usize,
    /// Latest start numbers of other replicas.
    peers: BTreeMap<InstanceId, Incarnation>,
    refills: BTreeMap<u16, Refill>,
    votes_from: Instant,
}

impl KeyReplica {
    /// Creates the replicas of an instance at its start.
    #[must_use]
    pub fn new(cfg: ReplicaConfig, now: Instant) -> Self {
        let mut refills = BTreeMap::new();
        if !cfg.first_start {
            for shard in cfg.shards.held_by(cfg.instance) {
                let others = others(&cfg, shard);
                refills.insert(shard, Refill::new(shard, others, now));
            }
        }
        let longest = cfg.max_attempt * DRIFT_FACTOR + TRANSIT_MARGIN;
        let votes_from = now + cfg.max_retention.max(longest) + TRANSIT_MARGIN;
        Self {
            cfg,
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            response_bytes: 0,
            peers: BTreeMap::new(),
            refills,
            votes_from,
        }
    }

    /// Takes in a message and returns messages to send.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        msg: KeyMessage,
    ) -> Vec<(InstanceId, KeyMessage)> {
        self.expire(now);
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

    /// Drops records whose time is over and returns refill requests that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<(InstanceId, KeyMessage)> {
        self.expire(now);
        if now >= self.votes_from {
            self.refills.clear();
        }
        let incarnation = self.cfg.incarnation;
        let refills = self.refills.values_mut();
        refills.flat_map(|refill| refill.due_asks(now, incarnation)).collect()
    }

    /// Whether the replica of the shard votes.
    #[must_use]
    pub fn is_ready(&self, shard: u16) -> bool {
        !self.refills.contains_key(&shard)
    }

    /// Records kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
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
        let place = (shard, key.clone());
        let known = self.records.get(&place);
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
            let keep_until = kept.max(now + self.keep_time(retention, remaining));
            let record = Record { attempt, digest, outcome: None, voted: true, keep_until };
            self.put(place, record);
            Verdict::Accepted
        };
        Some(self.vote(shard, key, attempt, verdict))
    }

    /// Only the winner finishes, so its outcome replaces whatever is recorded. A winner that provably did
    /// not run frees the key; by the time this arrives another attempt may hold it, which stays.
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
        let place = (shard, key.clone());
        let reply = KeyMessage::Finished { key, attempt };
        let known = self.records.get(&place);
        let frees = outcome.code.family() == Family::NotRun;
        let is_obsolete = |record: &Record| {
            let finished = record.outcome.is_some() && !record.is_free();
            finished || (frees && record.attempt != attempt)
        };
        if known.is_some_and(is_obsolete) {
            return Some(reply);
        }
        if known.is_none() && self.records.len() >= self.cfg.max_records {
            return None;
        }
        let kept = known.map_or(now, |record| record.keep_until);
        let keep_until = kept.max(now + self.keep_time(retention, Duration::ZERO));
        let voted = known.is_some_and(|record| record.voted && record.attempt == attempt);
        let outcome = Some(self.fit(outcome));
        self.put(place, Record { attempt, digest, outcome, voted, keep_until });
        Some(reply)
    }

    /// Answers only when ready: a replica that is being refilled itself may lack records.
    fn on_refill(
        &mut self,
        now: Instant,
        from: InstanceId,
        shard: u16,
        incarnation: Incarnation,
        after: Option<KeyName>,
    ) -> Option<KeyMessage> {
        self.see_peer(from, incarnation);
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
        let records = page.into_iter().map(|((_, key), record)| record.copy(now, key)).collect();
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
        self.see_peer(from, incarnation);
        for (peer, seen) in peers {
            self.see_peer(peer, seen);
        }
        let end = records.last().map(|record| record.key.clone());
        let refill = self.refills.get_mut(&shard)?;
        if !refill.accept_page(now, from, incarnation, after.as_ref(), end, last) {
            return None;
        }
        let next = refill.next_ask(from, self.cfg.incarnation);
        if refill.is_complete() {
            self.refills.remove(&shard);
        }
        for record in records {
            self.copy_in(now, shard, record);
        }
        next
    }

    /// Stores a copied record. The bound does not apply: a refill must be whole to be of use.
    fn copy_in(&mut self, now: Instant, shard: u16, copy: KeyRecord) {
        let place = (shard, copy.key.clone());
        let keep_until = now + copy.keep + TRANSIT_MARGIN;
        let known = self.records.get(&place);
        if let Some(known) = known
            && known.has_precedence(&copy)
        {
            let mut kept = known.clone();
            kept.keep_until = kept.keep_until.max(keep_until);
            self.put(place, kept);
            return;
        }
        let outcome = copy.outcome.map(|outcome| self.fit(outcome));
        let (attempt, digest) = (copy.attempt, copy.digest);
        self.put(place, Record { attempt, digest, outcome, voted: false, keep_until });
    }

    fn vote(&self, shard: u16, key: KeyName, attempt: RequestId, verdict: Verdict) -> KeyMessage {
        let others = others(&self.cfg, shard);
        let seen = self.peers.iter().filter(|(peer, _)| others.contains(*peer));
        let peers = seen.map(|(peer, incarnation)| (*peer, *incarnation)).collect();
        KeyMessage::Vote { key, attempt, incarnation: self.cfg.incarnation, peers, verdict }
    }

    fn held_shard(&self, key: &KeyName) -> Option<u16> {
        let shard = key.shard();
        let held = self.cfg.shards.replicas(shard).contains(&self.cfg.instance);
        (held && shard < SHARD_COUNT && key.key.len() <= MAX_KEY_BYTES).then_some(shard)
    }

    fn keep_time(&self, retention: Duration, remaining: Duration) -> Duration {
        let attempt_over = remaining * DRIFT_FACTOR + TRANSIT_MARGIN;
        retention.min(self.cfg.max_retention).max(attempt_over)
    }

    /// Drops a response that is too large or does not fit the bound.
    fn fit(&self, mut outcome: KeyOutcome) -> KeyOutcome {
        let size = outcome.response.as_ref().map_or(0, Vec::len);
        let full = self.response_bytes + size > self.cfg.max_response_bytes;
        if size > MAX_RESPONSE_BYTES || full {
            outcome.response = None;
        }
        outcome
    }

    fn put(&mut self, place: (u16, KeyName), record: Record) {
        self.remove(&place);
        self.response_bytes += record.response_len();
        self.expiries.insert((record.keep_until, place.0, place.1.clone()));
        self.records.insert(place, record);
    }

    fn remove(&mut self, place: &(u16, KeyName)) {
        let Some(record) = self.records.remove(place) else { return };
        self.response_bytes -= record.response_len();
        self.expiries.remove(&(record.keep_until, place.0, place.1.clone()));
    }

    fn expire(&mut self, now: Instant) {
        while self.expiries.first().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, shard, key)) = self.expiries.pop_first() else { break };
            self.remove(&(shard, key));
        }
    }

    fn see_peer(&mut self, peer: InstanceId, incarnation: Incarnation) {
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

impl Record {
    /// Whether the winner provably did not run, so that another attempt may win the key.
    fn is_free(&self) -> bool {
        self.outcome.as_ref().is_some_and(|outcome| outcome.code.family() == Family::NotRun)
    }

    /// A late claim of the attempt that freed the key must not take it again.
    fn is_free_for(&self, attempt: RequestId) -> bool {
        self.is_free() && self.attempt != attempt
    }

    /// Whether a copied record leaves this one in place. A freed key never replaces one that another
    /// attempt may hold, and any other record replaces a freed key.
    fn has_precedence(&self, copy: &KeyRecord) -> bool {
        let copy_is_free =
            copy.outcome.as_ref().is_some_and(|outcome| outcome.code.family() == Family::NotRun);
        if self.is_free() {
            return copy_is_free;
        }
        self.outcome.is_some()
            || copy.outcome.is_none()
            || (copy_is_free && copy.attempt != self.attempt)
    }

    fn verdict(&self, attempt: RequestId, digest: ContentDigest) -> Verdict {
        if self.voted && self.attempt == attempt && self.outcome.is_none() {
            return Verdict::Accepted;
        }
        Verdict::Held { same_content: self.digest == digest, outcome: self.outcome.clone() }
    }

    fn copy(&self, now: Instant, key: &KeyName) -> KeyRecord {
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

fn others(cfg: &ReplicaConfig, shard: u16) -> Vec<InstanceId> {
    let replicas = cfg.shards.replicas(shard).iter().copied();
    replicas.filter(|replica| *replica != cfg.instance).collect()
}
