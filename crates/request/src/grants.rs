//! Grants of one dispatcher, each counted as a slot in use until it is released or expires.

use crate::message::GrantId;
use crate::target_slots::TargetKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A grant whose slot counts as in use.
#[derive(Clone, Copy, Debug)]
pub struct ActiveGrant {
    /// Target of the slot.
    pub target: TargetKey,
    /// When the slot was granted, or the grant adopted from an earlier dispatcher.
    pub granted_at: Instant,
    /// When the grant stops counting.
    pub expires_at: Instant,
}

/// The active grants, indexed by identifier and expiry.
#[derive(Debug, Default)]
pub struct ActiveGrants {
    by_id: BTreeMap<GrantId, ActiveGrant>,
    expiries: BTreeSet<(Instant, GrantId)>,
}

impl ActiveGrants {
    /// Returns the grant if it is still active.
    #[must_use]
    pub fn get(&self, id: GrantId) -> Option<ActiveGrant> {
        self.by_id.get(&id).copied()
    }

    /// Adds a grant, which counts until it is removed or expires.
    pub fn insert(&mut self, id: GrantId, grant: ActiveGrant) {
        self.expiries.insert((grant.expires_at, id));
        self.by_id.insert(id, grant);
    }

    /// Ends a grant and returns it.
    pub fn remove(&mut self, id: GrantId) -> Option<ActiveGrant> {
        let grant = self.by_id.remove(&id)?;
        self.expiries.remove(&(grant.expires_at, id));
        Some(grant)
    }

    /// Moves the expiry of a grant to an earlier time.
    pub fn shorten_expiry(&mut self, id: GrantId, expires_at: Instant) {
        let Some(mut grant) = self.remove(id) else { return };
        grant.expires_at = grant.expires_at.min(expires_at);
        self.insert(id, grant);
    }

    /// Ends one expired grant and returns it.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(GrantId, ActiveGrant)> {
        let (at, id) = self.expiries.first().copied()?;
        if at > now { None } else { self.remove(id).map(|grant| (id, grant)) }
    }

    /// Earliest expiry of all grants.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(at, _)| *at)
    }
}
