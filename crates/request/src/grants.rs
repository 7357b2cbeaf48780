//! Grants of one dispatcher, each counted until it is released or expires.

use crate::message::GrantId;
use crate::target_slots::TargetKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A slot in use.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// The target.
    pub target: TargetKey,
    /// When it was granted, or adopted from an earlier dispatcher.
    pub started: Instant,
    /// When it stops to count.
    pub expires: Instant,
}

/// The grants.
#[derive(Debug, Default)]
pub struct Grants {
    by_id: BTreeMap<GrantId, Grant>,
    expiries: BTreeSet<(Instant, GrantId)>,
}

impl Grants {
    /// A grant that still counts.
    #[must_use]
    pub fn get(&self, id: GrantId) -> Option<Grant> {
        self.by_id.get(&id).copied()
    }

    /// Adds a grant.
    pub fn insert(&mut self, id: GrantId, grant: Grant) {
        self.expiries.insert((grant.expires, id));
        self.by_id.insert(id, grant);
    }

    /// Ends a grant.
    pub fn remove(&mut self, id: GrantId) -> Option<Grant> {
        let grant = self.by_id.remove(&id)?;
        self.expiries.remove(&(grant.expires, id));
        Some(grant)
    }

    /// Moves the expiry of a grant to an earlier time.
    pub fn shorten(&mut self, id: GrantId, expires: Instant) {
        let Some(mut grant) = self.remove(id) else { return };
        grant.expires = grant.expires.min(expires);
        self.insert(id, grant);
    }

    /// Ends one grant whose time is over.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(GrantId, Grant)> {
        let (at, id) = self.expiries.first().copied()?;
        if at > now { None } else { self.remove(id).map(|grant| (id, grant)) }
    }

    /// The earliest expiry.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(at, _)| *at)
    }
}
