//! Witness of a dispatcher: another entry that records the grants a dispatcher gives to its own
//! instance before they are used.
//!
//! Grants of other entries are reported by those entries at a takeover. Grants that an instance gave
//! itself would be lost with it, and its successor would have to count every slot as in use until the
//! longest deadline (13 s without grants in the comparison). With a witness, all grants are known.

use crate::message::{AttemptId, GrantId, HeldGrant, Message, Pool, WitnessRecord};
use crate::queue::Waiting;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between resends to the witness, about ten round trips.
const WITNESS_RESEND: Duration = Duration::from_millis(30);

/// A grant that the witness has not confirmed after this long is taken back: a dead witness would
/// otherwise block the slots of a whole failure domain until the death is found. Two resends may be lost.
pub const WITNESS_QUIET: Duration = Duration::from_millis(80);

#[derive(Clone, Copy, Debug)]
struct SelfGrant {
    waiting: Waiting,
    target: SocketAddr,
    /// When the current witness was first told of it.
    told: Instant,
    confirmed: bool,
    /// Whether the own client may have it, as after an earlier witness confirmed it.
    handed_out: bool,
}

/// The grants that a dispatcher gave to its own instance.
#[derive(Debug)]
pub struct SelfGrants {
    pool: Pool,
    epoch: u64,
    witness: Option<InstanceId>,
    /// Whether the current witness has confirmed anything.
    appointed: bool,
    /// Whether grants were taken back since the witness last confirmed anything.
    silent: bool,
    grants: BTreeMap<GrantId, SelfGrant>,
    forgotten: Vec<GrantId>,
    resend_at: Instant,
}

impl SelfGrants {
    /// Creates the record of a dispatcher without a witness.
    #[must_use]
    pub fn new(pool: Pool, epoch: u64, now: Instant) -> Self {
        Self {
            pool,
            epoch,
            witness: None,
            appointed: false,
            silent: false,
            grants: BTreeMap::new(),
            forgotten: Vec::new(),
            resend_at: now,
        }
    }

    /// Names the witness. A new one is told of all current grants.
    pub fn set_witness(&mut self, now: Instant, witness: Option<InstanceId>) {
        if self.witness == witness {
            return;
        }
        self.witness = witness;
        self.appointed = false;
        self.silent = false;
        self.resend_at = now;
        for grant in self.grants.values_mut() {
            grant.confirmed = false;
            grant.told = now;
            grant.handed_out |= witness.is_none();
        }
    }

    /// The witness failed or restarted and has lost its record. It is told again, in case it is back.
    pub fn on_entry_failed(&mut self, now: Instant, entry: InstanceId) {
        if self.witness == Some(entry) {
            self.witness = None;
            self.set_witness(now, Some(entry));
        }
    }

    /// Whether grants to the own instance must wait for the witness.
    #[must_use]
    pub fn has_witness(&self) -> bool {
        self.witness.is_some()
    }

    /// Whether the witness owes confirmations, so that the own instance must get no grants.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Grants to take back, with the attempts that they were for. None of them was handed out.
    pub fn overdue(&mut self, now: Instant) -> Vec<(GrantId, Waiting)> {
        if !self.has_witness() {
            return Vec::new();
        }
        let waited = |grant: &SelfGrant| now.saturating_duration_since(grant.told);
        let is_overdue = |grant: &SelfGrant| !grant.confirmed && waited(grant) > WITNESS_QUIET;
        let unused = self.grants.iter().filter(|(_, grant)| !grant.handed_out);
        let overdue = unused.filter(|(_, grant)| is_overdue(grant));
        let overdue: Vec<_> = overdue.map(|(id, grant)| (*id, grant.waiting)).collect();
        self.silent |= !overdue.is_empty();
        overdue
    }

    /// Records a grant. With a witness it must not be used before [`Self::on_witnessed`] returns it.
    pub fn add(&mut self, now: Instant, id: GrantId, waiting: Waiting, target: SocketAddr) {
        let handed_out = !self.has_witness();
        let grant = SelfGrant { waiting, target, told: now, confirmed: false, handed_out };
        self.grants.insert(id, grant);
        self.resend_at = now;
    }

    /// Whether the grant must not be used yet.
    #[must_use]
    pub fn is_withheld(&self, id: GrantId) -> bool {
        self.has_witness() && self.grants.get(&id).is_some_and(|grant| !grant.confirmed)
    }

    /// Drops a grant that has ended.
    pub fn remove(&mut self, id: GrantId) {
        if self.grants.remove(&id).is_some() {
            self.forgotten.push(id);
        }
    }

    /// Takes in a confirmation. Returns the attempts whose grants may be used now.
    pub fn on_witnessed(&mut self, from: InstanceId, ids: &[GrantId]) -> Vec<AttemptId> {
        if self.witness != Some(from) {
            return Vec::new();
        }
        self.appointed = true;
        self.silent = false;
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

    /// Messages to the witness that are due. Each names every grant that it has not confirmed, so
    /// that the first one to arrive makes its record complete.
    pub fn due_messages(&mut self, now: Instant) -> Vec<(InstanceId, Message)> {
        let (pool, epoch) = (self.pool, self.epoch);
        let forgotten = std::mem::take(&mut self.forgotten);
        let Some(witness) = self.witness else { return Vec::new() };
        let forget = |grant| (witness, Message::Forget { pool, grant });
        let mut messages: Vec<_> = forgotten.into_iter().map(forget).collect();
        let open = self.grants.iter().filter(|(_, grant)| !grant.confirmed);
        let grants: Vec<_> = open.map(|(id, grant)| grant.held(now, *id)).collect();
        if now >= self.resend_at && (!grants.is_empty() || !self.appointed || self.silent) {
            self.resend_at = now + WITNESS_RESEND;
            messages.push((witness, Message::Witness { pool, epoch, grants }));
        }
        messages
    }

    /// When the next resend is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let open =
            !self.appointed || self.silent || self.grants.values().any(|grant| !grant.confirmed);
        (self.has_witness() && open).then_some(self.resend_at)
    }
}

impl SelfGrant {
    fn held(&self, now: Instant, grant: GrantId) -> HeldGrant {
        let remaining = self.waiting.deadline.saturating_duration_since(now);
        HeldGrant { grant, target: self.target, remaining }
    }
}

#[derive(Debug)]
struct Record {
    dispatcher: InstanceId,
    epoch: u64,
    grants: BTreeMap<GrantId, (SocketAddr, Instant)>,
}

/// What an entry has recorded as a witness.
#[derive(Debug, Default)]
pub struct WitnessRecords {
    by_pool: BTreeMap<Pool, Record>,
}

impl WitnessRecords {
    /// Records grants and returns the confirmation. `None` when a later dispatcher is known.
    pub fn record(
        &mut self,
        now: Instant,
        from: InstanceId,
        pool: Pool,
        epoch: u64,
        held: &[HeldGrant],
    ) -> Option<Message> {
        let fresh = || Record { dispatcher: from, epoch, grants: BTreeMap::new() };
        let record = self.by_pool.entry(pool).or_insert_with(fresh);
        if epoch < record.epoch {
            return None;
        }
        if epoch > record.epoch {
            *record = fresh();
        }
        record.grants.retain(|_, (_, until)| *until > now);
        for held in held {
            record.grants.insert(held.grant, (held.target, now + held.remaining));
        }
        let grants = held.iter().map(|held| held.grant).collect();
        Some(Message::Witnessed { pool, epoch, grants })
    }

    /// Drops a grant that has ended.
    pub fn forget(&mut self, pool: Pool, grant: GrantId) {
        if let Some(record) = self.by_pool.get_mut(&pool) {
            record.grants.remove(&grant);
        }
    }

    /// The dispatcher before `epoch` that this entry is witness of, and that one's own grants.
    #[must_use]
    pub fn report(&self, now: Instant, pool: Pool, epoch: u64) -> Option<WitnessRecord> {
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
