//! Which live entry is dispatcher of which pool. Every entry computes it from its own view; a new
//! dispatcher waits for the lease of the one before, which covers the time in which views differ.

use comfreyhold_request::message::Pool;
use comfreyhold_types::prelude::*;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The entries that a process counts with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// This entry.
    pub own: InstanceId,
    /// Its failure domain.
    pub own_domain: DomainId,
    /// Live entries, this one included, with their failure domains.
    pub live: BTreeMap<InstanceId, DomainId>,
    /// Entries that stopped gracefully; they hold no lease and no grants.
    pub left: BTreeSet<InstanceId>,
    /// Whether this entry's lease has expired.
    pub isolated: bool,
}

impl Roles {
    /// The dispatcher of each pool: the first in rendezvous order among the live entries of the pool's
    /// failure domain, or of all where that domain has none. An isolated entry has dispatchers for its
    /// own domain only.
    #[must_use]
    pub fn dispatchers(&self, pools: &BTreeSet<Pool>) -> BTreeMap<Pool, InstanceId> {
        let assign = |pool: &Pool| self.dispatcher(*pool).map(|instance| (*pool, instance));
        pools.iter().filter_map(assign).collect()
    }

    fn dispatcher(&self, pool: Pool) -> Option<InstanceId> {
        if self.isolated && pool.domain != self.own_domain {
            return None;
        }
        let weight = |instance: &InstanceId| {
            let mut hasher = SipHasher13::new();
            (pool, instance).hash(&mut hasher);
            hasher.finish()
        };
        let local = self.live.iter().filter(|(_, domain)| **domain == pool.domain);
        let local = local.map(|(id, _)| *id).max_by_key(weight);
        local.or_else(|| self.live.keys().copied().max_by_key(weight))
    }
}
