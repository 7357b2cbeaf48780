//! Witness of a dispatcher: another entry that records the grants of the dispatcher to its own
//! instance before they are used.
//!
//! At a takeover, entries report the grants that they hold. Grants of a dispatcher to its own
//! instance would be lost with the instance, and the successor would have to count every slot as in
//! use until the longest deadline (13 s without grants in the comparison `examples/compare.rs`).
//! With a witness, all grants are known.

use crate::message::{AttemptId, GrantId, HeldGrant, Message, Pool, WitnessRecord};
use crate::queue::WaitingAttempt;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Retry interval of messages to the witness, about ten round trips.
const WITNESS_RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which a grant that the witness has not confirmed is reclaimed. A dead witness would
/// otherwise block the slots of a whole failure domain until its death is detected. Tolerates the
/// loss of two resends.
pub const WITNESS_TIMEOUT: Duration = Duration::from_millis(80);

#[derive(Clone, Copy, Debug)]
struct LocalGrant {
    waiting: WaitingAttempt,
    target: SocketAddr,
    /// When the grant was first sent to the current witness.
    sent_at: Instant,
    confirmed: bool,
    /// Whether the local client may have received the grant, for example after an earlier witness
    /// confirmed it.
    handed_out: bool,
}

/// A dispatcher's grants to its own instance, and the state of their witness.
#[derive(Debug)]
pub struct LocalGrants {
    pool: Pool,
    epoch: u64,
    witness: Option<InstanceId>,
    /// Whether the current witness has confirmed any message.
    is_acknowledged: bool,
    /// Whether grants were reclaimed since the witness last confirmed anything.
    confirmations_overdue: bool,
    grants: BTreeMap<GrantId, LocalGrant>,
    ended: Vec<GrantId>,
    resend_at: Instant,
}

impl LocalGrants {
    /// Creates the state of a dispatcher that has no grants and no witness.
    #[must_use]
    pub fn new(pool: Pool, epoch: u64, now: Instant) -> Self {
        Self {
            pool,
            epoch,
            witness: None,
            is_acknowledged: false,
            confirmations_overdue: false,
            grants: BTreeMap::new(),
            ended: Vec::new(),
            resend_at: now,
        }
    }

    /// Sets the witness. All current grants are sent to a new one.
    pub fn set_witness(&mut self, now: Instant, witness: Option<InstanceId>) {
        if self.witness == witness {
            return;
        }
        self.witness = witness;
        self.is_acknowledged = false;
        self.confirmations_overdue = false;
        self.resend_at = now;
        for grant in self.grants.values_mut() {
            grant.confirmed = false;
            grant.sent_at = now;
            grant.handed_out |= witness.is_none();
        }
    }

    /// Sends all grants anew if the entry is the witness: it failed or restarted and has lost its
    /// record, but may be running again.
    pub fn on_entry_failed(&mut self, now: Instant, entry: InstanceId) {
        if self.witness == Some(entry) {
            self.witness = None;
            self.set_witness(now, Some(entry));
        }
    }

    /// Whether grants to the local instance need the confirmation of a witness.
    #[must_use]
    pub fn has_witness(&self) -> bool {
        self.witness.is_some()
    }

    /// Whether confirmations of the witness are overdue, so that the local instance must get no
    /// grants.
    #[must_use]
    pub fn has_overdue_confirmations(&self) -> bool {
        self.confirmations_overdue
    }

    /// Grants to reclaim because their confirmations are overdue, with their attempts. None of them
    /// was handed out.
    pub fn overdue_grants(&mut self, now: Instant) -> Vec<(GrantId, WaitingAttempt)> {
        if !self.has_witness() {
            return Vec::new();
        }
        let waited = |grant: &LocalGrant| now.saturating_duration_since(grant.sent_at);
        let is_overdue = |grant: &LocalGrant| !grant.confirmed && waited(grant) > WITNESS_TIMEOUT;
        let unused = self.grants.iter().filter(|(_, grant)| !grant.handed_out);
        let overdue = unused.filter(|(_, grant)| is_overdue(grant));
        let overdue: Vec<_> = overdue.map(|(id, grant)| (*id, grant.waiting)).collect();
        self.confirmations_overdue |= !overdue.is_empty();
        overdue
    }

    /// Adds a grant. With a witness it must not be used before [`Self::on_witnessed`] returns its
    /// attempt.
    pub fn add(&mut self, now: Instant, id: GrantId, waiting: WaitingAttempt, target: SocketAddr) {
        let handed_out = !self.has_witness();
        let grant = LocalGrant { waiting, target, sent_at: now, confirmed: false, handed_out };
        self.grants.insert(id, grant);
        self.resend_at = now;
    }

    /// Whether the grant must not be used yet.
    #[must_use]
    pub fn is_withheld(&self, id: GrantId) -> bool {
        self.has_witness() && self.grants.get(&id).is_some_and(|grant| !grant.confirmed)
    }

    /// Removes a grant that has ended.
    pub fn remove(&mut self, id: GrantId) {
        if self.grants.remove(&id).is_some() {
            self.ended.push(id);
        }
    }

    /// Handles a confirmation. Returns the attempts whose grants may be used now.
    pub fn on_witnessed(&mut self, from: InstanceId, ids: &[GrantId]) -> Vec<AttemptId> {
        if self.witness != Some(from) {
            return Vec::new();
        }
        self.is_acknowledged = true;
        self.confirmations_overdue = false;
        let mut usable = Vec::new();
        for id in ids {
            let Some(grant) = self.grants.get_mut(id).filter(|grant| !grant.confirmed) else {
                continue;
            };
            grant.confirmed = true;
            grant.handed_out = true;
            usable.push(grant.waiting.attempt);
        }
        usable
    }

    /// Messages to the witness that are due. Each one names every unconfirmed grant, so that the
    /// first one to arrive completes its record.
    pub fn due_messages(&mut self, now: Instant) -> Vec<(InstanceId, Message)> {
        let (pool, epoch) = (self.pool, self.epoch);
        let ended = std::mem::take(&mut self.ended);
        let Some(witness) = self.witness else { return Vec::new() };
        let forget = |grant| (witness, Message::Forget { pool, grant });
        let mut messages: Vec<_> = ended.into_iter().map(forget).collect();
        let unconfirmed = self.grants.iter().filter(|(_, grant)| !grant.confirmed);
        let grants: Vec<_> = unconfirmed.map(|(id, grant)| grant.held(now, *id)).collect();
        if now >= self.resend_at
            && (!grants.is_empty() || !self.is_acknowledged || self.confirmations_overdue)
        {
            self.resend_at = now + WITNESS_RESEND_INTERVAL;
            messages.push((witness, Message::Witness { pool, epoch, grants }));
        }
        messages
    }

    /// Time of the next resend; `None` when nothing is unconfirmed.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let is_pending = !self.is_acknowledged
            || self.confirmations_overdue
            || self.grants.values().any(|grant| !grant.confirmed);
        (self.has_witness() && is_pending).then_some(self.resend_at)
    }
}

impl LocalGrant {
    fn held(&self, now: Instant, grant: GrantId) -> HeldGrant {
        let remaining = self.waiting.deadline.saturating_duration_since(now);
        HeldGrant { grant, target: self.target, remaining }
    }
}

#[derive(Debug)]
struct PoolRecord {
    dispatcher: InstanceId,
    epoch: u64,
    grants: BTreeMap<GrantId, (SocketAddr, Instant)>,
}

/// Grants that an entry has recorded as a witness, by pool.
#[derive(Debug, Default)]
pub struct WitnessRecords {
    by_pool: BTreeMap<Pool, PoolRecord>,
}

impl WitnessRecords {
    /// Records grants and returns the confirmation; `None` when a dispatcher of a later epoch is
    /// known.
    pub fn record(
        &mut self,
        now: Instant,
        from: InstanceId,
        pool: Pool,
        epoch: u64,
        held: &[HeldGrant],
    ) -> Option<Message> {
        let new_record = || PoolRecord { dispatcher: from, epoch, grants: BTreeMap::new() };
        let record = self.by_pool.entry(pool).or_insert_with(new_record);
        if epoch < record.epoch {
            return None;
        }
        if epoch > record.epoch {
            *record = new_record();
        }
        record.grants.retain(|_, (_, until)| *until > now);
        for held in held {
            record.grants.insert(held.grant, (held.target, now + held.remaining));
        }
        let grants = held.iter().map(|held| held.grant).collect();
        Some(Message::Witnessed { pool, epoch, grants })
    }

    /// Removes a grant that has ended.
    pub fn forget(&mut self, pool: Pool, grant: GrantId) {
        if let Some(record) = self.by_pool.get_mut(&pool) {
            record.grants.remove(&grant);
        }
    }

    /// The recorded dispatcher of an epoch before `epoch`, with those of its grants to its own
    /// instance that have not expired; `None` when this entry was the witness of no such
    /// dispatcher.
    #[must_use]
    pub fn record_before(&self, now: Instant, pool: Pool, epoch: u64) -> Option<WitnessRecord> {
        let record = self.by_pool.get(&pool).filter(|record| record.epoch < epoch)?;
        let held = record.grants.iter().map(|(grant, (target, until))| HeldGrant {
            grant: *grant,
            target: *target,
            remaining: until.saturating_duration_since(now),
        });
        let grants = held.filter(|held| !held.remaining.is_zero()).collect();
        Some(WitnessRecord { dispatcher: record.dispatcher, grants })
    }
}
