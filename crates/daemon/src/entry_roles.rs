//! Assigns a dispatcher to each pool among the live entries. Every entry computes this from its local view;
//! a new dispatcher waits for its predecessor's lease to expire, which covers the time in which views differ.

use comfreyhold_request::message::Pool;
use comfreyhold_types::prelude::*;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

/// The entries as seen by one of them, with their failure domains and states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryRoles {
    /// This entry.
    pub instance: InstanceId,
    /// Its failure domain.
    pub local_domain: DomainId,
    /// Live entries, this one included, with their failure domains.
    pub live: BTreeMap<InstanceId, DomainId>,
    /// Live entries in a graceful stop: they have stopped their dispatchers and still finish requests.
    pub leaving: BTreeSet<InstanceId>,
    /// Entries that stopped gracefully; they hold no lease and no grants.
    pub left: BTreeSet<InstanceId>,
    /// When live entries were last found to have restarted.
    pub restarted: BTreeMap<InstanceId, Instant>,
    /// Whether this entry's lease has expired.
    pub isolated: bool,
}

impl EntryRoles {
    /// Whether an entry has stopped its dispatchers, so that a successor need not wait for its lease.
    #[must_use]
    pub fn has_handed_over(&self, id: InstanceId) -> bool {
        self.leaving.contains(&id) || self.left.contains(&id)
    }

    /// The dispatcher of each pool: the first in rendezvous order among the live entries of the pool's
    /// failure domain, or of all where that domain has none. An isolated entry has dispatchers for its
    /// local domain only.
    #[must_use]
    pub fn dispatchers(&self, pools: &BTreeSet<Pool>) -> BTreeMap<Pool, InstanceId> {
        let assign = |pool: &Pool| self.dispatcher(*pool).map(|instance| (*pool, instance));
        pools.iter().filter_map(assign).collect()
    }

    fn dispatcher(&self, pool: Pool) -> Option<InstanceId> {
        if self.isolated && pool.domain != self.local_domain {
            return None;
        }
        let weight = |instance: &InstanceId| weight(pool, *instance);
        let staying = || self.live.iter().filter(|(id, _)| !self.leaving.contains(id));
        let local = staying().filter(|(_, domain)| **domain == pool.domain);
        let local = local.map(|(id, _)| *id).max_by_key(weight);
        local.or_else(|| staying().map(|(id, _)| *id).max_by_key(weight))
    }

    /// Entries that would become the pool's dispatcher if the current one failed: the next in its failure
    /// domain, and the next in any other domain in case the whole domain fails.
    #[must_use]
    pub fn successors(&self, pool: Pool) -> BTreeSet<InstanceId> {
        let current = self.dispatcher(pool);
        let others = || {
            let staying = self.live.iter().filter(|(id, _)| !self.leaving.contains(id));
            staying.filter(|(id, _)| Some(**id) != current)
        };
        let first = |is_local: bool| {
            let chosen = others().filter(|(_, domain)| (**domain == pool.domain) == is_local);
            chosen.map(|(id, _)| *id).max_by_key(|id| weight(pool, *id))
        };
        [first(true), first(false)].into_iter().flatten().collect()
    }

    /// The entry that records the grants which a local dispatcher gives to the local entry. It is in another
    /// failure domain where possible, since a domain may fail as a whole.
    #[must_use]
    pub fn witness(&self, pool: Pool) -> Option<InstanceId> {
        let others =
            self.live.iter().filter(|(id, _)| **id != self.instance && !self.leaving.contains(id));
        let rank = |(id, domain): &(&InstanceId, &DomainId)| {
            (**domain != self.local_domain, weight(pool, **id))
        };
        others.max_by_key(rank).map(|(id, _)| *id)
    }
}

fn weight(pool: Pool, instance: InstanceId) -> u64 {
    let mut hasher = SipHasher13::new();
    (pool, instance).hash(&mut hasher);
    hasher.finish()
}
