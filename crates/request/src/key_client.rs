//! The entry's side of the idempotency register: claims a key for an attempt, receives an earlier
//! outcome, and records the outcome of an attempt that won.

use crate::keys::{
    ContentDigest, KeyMessage, KeyName, KeyOutcome, MAX_KEY_BYTES, MAX_RESPONSE_BYTES, ShardMap,
    Verdict,
};
use crate::message::RequestId;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Interval between resends of a claim, about ten round trips between failure domains.
pub const CLAIM_RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// Longest time to wait for a decision. Covers about 60 resends; replicas that have not voted by
/// then are restarting or isolated.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a claim of a key in use waits for the outcome of the attempt that holds it. The
/// outcome goes to the replicas while the response goes to the caller, whose resend can overtake it; the
/// wait covers the loss of four sends of the outcome.
pub const KEY_IN_USE_WAIT: Duration = Duration::from_secs(1);

/// Interval between resends of an outcome.
pub const FINISH_RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which an outcome is resent.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of outcomes kept for resending. Beyond it the oldest is dropped; its key is
/// then reported as in use.
pub const MAX_UNCONFIRMED_OUTCOMES: usize = 4_096;

/// Decision of the register on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The attempt has won the key and is the only one that may run.
    Won,
    /// The key's request has completed; this is its outcome.
    Replay(KeyOutcome),
    /// The attempt must not run. The code is of family 2xxx.
    NotWon(ResultCode),
}

/// An action that the caller of [`KeyClient`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Send a message.
    Send(InstanceId, KeyMessage),
    /// The claim of this attempt is decided.
    Decided(RequestId, KeyDecision),
}

#[derive(Clone, Debug)]
struct ReceivedVote {
    incarnation: Incarnation,
    peers: Vec<(InstanceId, Incarnation)>,
    verdict: Verdict,
}

#[derive(Debug)]
struct PendingClaim {
    key: KeyName,
    digest: ContentDigest,
    deadline: Instant,
    decide_by: Instant,
    /// From this time on, a key that another attempt holds is reported as in use.
    in_use_from: Instant,
    resend_at: Instant,
    retention: Duration,
    votes: BTreeMap<InstanceId, ReceivedVote>,
}

#[derive(Debug)]
struct PendingFinish {
    message: KeyMessage,
    unconfirmed: BTreeSet<InstanceId>,
    resend_at: Instant,
    until: Instant,
}

#[derive(Debug)]
struct WonKey {
    key: KeyName,
    digest: ContentDigest,
    retention: Duration,
}

/// State machine of the claims and outcomes of one entry.
#[derive(Debug)]
pub struct KeyClient {
    shards: ShardMap,
    claims: BTreeMap<RequestId, PendingClaim>,
    wins: BTreeMap<RequestId, WonKey>,
    finishes: BTreeMap<RequestId, PendingFinish>,
}

impl KeyClient {
    /// Creates a key client without claims.
    #[must_use]
    pub fn new(shards: ShardMap) -> Self {
        let (claims, wins, finishes) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { shards, claims, wins, finishes }
    }

    /// Starts the claim of a key for an attempt. The attempt must not be written to a target before
    /// [`KeyDecision::Won`], nor after `deadline`.
    pub fn claim(
        &mut self,
        now: Instant,
        attempt: RequestId,
        key: KeyName,
        digest: ContentDigest,
        deadline: Instant,
        retention: Duration,
    ) -> Vec<KeyAction> {
        let decide_by = deadline.min(now + CLAIM_TIMEOUT);
        let claim = PendingClaim {
            key,
            digest,
            deadline,
            decide_by,
            in_use_from: decide_by.min(now + KEY_IN_USE_WAIT),
            resend_at: now,
            retention,
            votes: BTreeMap::new(),
        };
        if claim.key.key.len() > MAX_KEY_BYTES {
            let code = ResultCode::KeyRecordLost;
            return vec![KeyAction::Decided(attempt, KeyDecision::NotWon(code))];
        }
        self.claims.insert(attempt, claim);
        self.tick(now)
    }

    /// Drops the claim of a caller that has disconnected. Returns whether the claim was undecided.
    pub fn abandon(&mut self, attempt: RequestId) -> bool {
        self.claims.remove(&attempt).is_some()
    }

    /// Records the outcome of an attempt that has won. Without a win nothing is sent.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: RequestId,
        mut outcome: KeyOutcome,
    ) -> Vec<KeyAction> {
        let Some(WonKey { key, digest, retention }) = self.wins.remove(&attempt) else {
            return Vec::new();
        };
        let size = outcome.response.as_ref().map_or(0, Vec::len);
        if size > MAX_RESPONSE_BYTES {
            outcome.response = None;
        }
        let unconfirmed = self.shards.replicas(key.shard()).iter().copied().collect();
        let message = KeyMessage::Finish { key, attempt, digest, outcome, retention };
        let until = now + FINISH_TIMEOUT;
        self.finishes
            .insert(attempt, PendingFinish { message, unconfirmed, resend_at: now, until });
        if self.finishes.len() > MAX_UNCONFIRMED_OUTCOMES {
            self.finishes.pop_first();
        }
        self.tick(now)
    }

    /// Handles a reply. One that matches no undecided claim and no unconfirmed outcome is ignored.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        msg: KeyMessage,
    ) -> Vec<KeyAction> {
        match msg {
            KeyMessage::Vote { key, attempt, incarnation, peers, verdict } => {
                self.on_vote(now, from, &key, attempt, ReceivedVote { incarnation, peers, verdict })
            }
            KeyMessage::Finished { attempt, .. } => {
                self.on_finished(from, attempt);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Resends claims and outcomes that are due, and ends claims that have timed out.
    pub fn tick(&mut self, now: Instant) -> Vec<KeyAction> {
        let mut out = Vec::new();
        let shards = &self.shards;
        self.claims.retain(|attempt, claim| {
            let Some(code) = claim.timeout_code(now, shards) else { return true };
            out.push(KeyAction::Decided(*attempt, KeyDecision::NotWon(code)));
            false
        });
        for (attempt, claim) in &mut self.claims {
            claim.resend_if_due(now, *attempt, &self.shards, &mut out);
        }
        self.finishes.retain(|_, finish| finish.until > now);
        for finish in self.finishes.values_mut() {
            finish.resend_if_due(now, &mut out);
        }
        out
    }

    /// Time at which [`Self::tick`] is due next; `None` when no claim or outcome is pending.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let claims = self.claims.values().map(|claim| claim.next_wake(&self.shards));
        claims.chain(self.finishes.values().map(|finish| finish.resend_at)).min()
    }

    fn on_vote(
        &mut self,
        now: Instant,
        from: InstanceId,
        key: &KeyName,
        attempt: RequestId,
        vote: ReceivedVote,
    ) -> Vec<KeyAction> {
        let Some(claim) = self.claims.get_mut(&attempt) else { return Vec::new() };
        let replicas = self.shards.replicas(key.shard());
        if claim.key != *key || !replicas.contains(&from) || now >= claim.decide_by {
            return Vec::new();
        }
        claim.record_vote(from, vote);
        let quorum = self.shards.quorum(key.shard());
        let Some(decision) = claim.decide(now, replicas, quorum) else { return Vec::new() };
        if let Some(claim) = self.claims.remove(&attempt)
            && decision == KeyDecision::Won
        {
            let PendingClaim { key, digest, retention, .. } = claim;
            self.wins.insert(attempt, WonKey { key, digest, retention });
        }
        vec![KeyAction::Decided(attempt, decision)]
    }

    fn on_finished(&mut self, from: InstanceId, attempt: RequestId) {
        let Some(finish) = self.finishes.get_mut(&attempt) else { return };
        finish.unconfirmed.remove(&from);
        if finish.unconfirmed.is_empty() {
            self.finishes.remove(&attempt);
        }
    }
}

impl PendingClaim {
    /// Keeps the vote of a replica's latest incarnation. Delayed votes of an earlier one are
    /// dropped. Within an incarnation, a verdict is replaced by one of the same or a higher rank: an
    /// outcome replaces any verdict. An acceptance replaces "held", since a key that was held and not run
    /// is accepted for another attempt, and an accepted one is held for no other while the claim is open.
    fn record_vote(&mut self, from: InstanceId, vote: ReceivedVote) {
        match self.votes.get_mut(&from) {
            Some(known) if vote.incarnation < known.incarnation => {}
            Some(known) if vote.incarnation == known.incarnation => {
                if vote.verdict.rank() >= known.verdict.rank() {
                    known.verdict = vote.verdict;
                }
                known.peers.extend(vote.peers);
            }
            _ => {
                self.votes.insert(from, vote);
            }
        }
    }

    /// Whether an acceptance counts. It does not when another replica has since seen a later
    /// incarnation of the voter, because the restarted voter may have accepted another attempt.
    fn is_valid(&self, voter: InstanceId, vote: &ReceivedVote) -> bool {
        let mut seen = self.votes.values().flat_map(|other| &other.peers);
        !seen.any(|(peer, incarnation)| *peer == voter && *incarnation > vote.incarnation)
    }

    /// Records of other attempts that the votes report: whether the content is the same, and the outcome.
    fn held(&self) -> impl Iterator<Item = (bool, Option<&KeyOutcome>)> {
        self.votes.values().filter_map(|vote| match &vote.verdict {
            Verdict::Held { same_content, outcome } => Some((*same_content, outcome.as_ref())),
            _ => None,
        })
    }

    /// Whether other attempts hold so many replicas that this one can't win unless one of them frees the
    /// key.
    fn is_in_use(&self, replicas: usize, quorum: usize) -> bool {
        replicas - self.held().count() < quorum
    }

    /// Code of a claim whose time is over; `None` while it may wait.
    fn timeout_code(&self, now: Instant, shards: &ShardMap) -> Option<ResultCode> {
        let shard = self.key.shard();
        let in_use = self.is_in_use(shards.replicas(shard).len(), shards.quorum(shard));
        if in_use && self.in_use_from <= now {
            return Some(ResultCode::KeyInUse);
        }
        (self.decide_by <= now).then_some(ResultCode::KeyRecordLost)
    }

    fn next_wake(&self, shards: &ShardMap) -> Instant {
        let shard = self.key.shard();
        let in_use = self.is_in_use(shards.replicas(shard).len(), shards.quorum(shard));
        let timeout = if in_use { self.in_use_from } else { self.decide_by };
        self.resend_at.min(timeout)
    }

    fn decide(&self, now: Instant, replicas: &[InstanceId], quorum: usize) -> Option<KeyDecision> {
        let finished = self.held().find_map(|(same, outcome)| outcome.filter(|_| same));
        if let Some(outcome) = finished {
            return Some(decision_for_outcome(outcome));
        }
        let accepted = self.votes.iter().filter(|(voter, vote)| {
            vote.verdict == Verdict::Accepted && self.is_valid(**voter, vote)
        });
        if accepted.count() >= quorum {
            return Some(KeyDecision::Won);
        }
        if self.held().any(|(same_content, _)| !same_content) {
            return Some(KeyDecision::NotWon(ResultCode::KeyContentMismatch));
        }
        let in_use = self.is_in_use(replicas.len(), quorum) && now >= self.in_use_from;
        in_use.then_some(KeyDecision::NotWon(ResultCode::KeyInUse))
    }

    fn resend_if_due(
        &mut self,
        now: Instant,
        attempt: RequestId,
        shards: &ShardMap,
        out: &mut Vec<KeyAction>,
    ) {
        if self.resend_at > now {
            return;
        }
        self.resend_at = now + CLAIM_RESEND_INTERVAL;
        for replica in shards.replicas(self.key.shard()) {
            let claim = KeyMessage::Claim {
                key: self.key.clone(),
                attempt,
                digest: self.digest,
                remaining: self.deadline.saturating_duration_since(now),
                retention: self.retention,
            };
            out.push(KeyAction::Send(*replica, claim));
        }
    }
}

impl PendingFinish {
    fn resend_if_due(&mut self, now: Instant, out: &mut Vec<KeyAction>) {
        if self.resend_at > now {
            return;
        }
        self.resend_at = now + FINISH_RESEND_INTERVAL;
        let sends = self.unconfirmed.iter();
        out.extend(sends.map(|replica| KeyAction::Send(*replica, self.message.clone())));
    }
}

impl Verdict {
    fn rank(&self) -> u8 {
        match self {
            Self::NotReady | Self::Full => 0,
            Self::Held { outcome: None, .. } => 1,
            Self::Accepted => 2,
            Self::Held { outcome: Some(_), .. } => 3,
        }
    }
}

fn decision_for_outcome(outcome: &KeyOutcome) -> KeyDecision {
    let completed = outcome.code == ResultCode::Ok;
    if completed && outcome.response.is_none() {
        return KeyDecision::NotWon(ResultCode::AnswerNotKept);
    }
    KeyDecision::Replay(outcome.clone())
}
