//! The dispatchers that an entry knows of, their load, and the choice of the one to request a slot
//! from.

use crate::message::{LoadReport, Pool, PoolLoad};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A dispatcher whose last message is older than this is chosen only when no responsive one is
/// left: three load reports were missed.
pub const DISPATCHER_TIMEOUT: Duration = Duration::from_millis(600);

/// Last reported load of a dispatcher, corrected by the requests that this entry has sent to it
/// since.
#[derive(Clone, Debug)]
struct DispatcherView {
    instance: InstanceId,
    last_seen: Option<Instant>,
    epoch: u64,
    load: PoolLoad,
    cold: Vec<SocketAddr>,
}

/// The known dispatchers, by pool.
#[derive(Clone, Debug, Default)]
pub struct DispatcherDirectory {
    local_domain: DomainId,
    isolated: bool,
    withdrawn_domains: BTreeSet<DomainId>,
    views: BTreeMap<Pool, DispatcherView>,
}

impl DispatcherDirectory {
    /// Creates an empty directory for an entry in this failure domain.
    #[must_use]
    pub fn new(local_domain: DomainId) -> Self {
        Self { local_domain, ..Self::default() }
    }

    /// Sets the dispatcher of each pool. Reports of an unchanged dispatcher are kept. Returns the
    /// pools whose dispatcher changed or is gone.
    pub fn set_dispatchers(&mut self, current: &BTreeMap<Pool, InstanceId>) -> Vec<Pool> {
        let changed = |(pool, view): (&Pool, &DispatcherView)| {
            (current.get(pool) != Some(&view.instance)).then_some(*pool)
        };
        let changed: Vec<_> = self.views.iter().filter_map(changed).collect();
        for pool in &changed {
            self.views.remove(pool);
        }
        for (pool, instance) in current {
            self.views.entry(*pool).or_insert_with(|| DispatcherView::new(*instance));
        }
        changed
    }

    /// Sets whether only targets of the local domain may be used because this entry's lease has
    /// expired.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Sets the failure domains that operators have withdrawn.
    pub fn set_withdrawn_domains(&mut self, withdrawn: BTreeSet<DomainId>) {
        self.withdrawn_domains = withdrawn;
    }

    /// Applies a load report. A report from an instance that is not the current dispatcher, or of
    /// an earlier epoch, is ignored.
    pub fn apply_load_report(&mut self, now: Instant, from: InstanceId, report: &LoadReport) {
        let Some(view) = self.views.get_mut(&report.pool) else { return };
        if view.instance != from || report.epoch < view.epoch {
            return;
        }
        view.last_seen = Some(now);
        view.epoch = report.epoch;
        view.load = report.load;
        view.cold.clone_from(&report.cold);
    }

    /// Corrects a dispatcher's load by one request sent since its last report, so that a burst is
    /// spread over several dispatchers.
    pub fn count_request(&mut self, pool: Pool) {
        let Some(view) = self.views.get_mut(&pool) else { return };
        match view.load.free.checked_sub(1) {
            Some(rest) => view.load.free = rest,
            None => view.load.queued += 1,
        }
    }

    /// Applies the load that a dispatcher's reply carries.
    pub fn apply_load(&mut self, now: Instant, from: InstanceId, pool: Pool, load: PoolLoad) {
        let Some(view) = self.views.get_mut(&pool) else { return };
        if view.instance == from {
            view.last_seen = Some(now);
            view.load = load;
        }
    }

    /// The instance of the pool's dispatcher; `None` when the pool has none.
    #[must_use]
    pub fn dispatcher_of(&self, pool: Pool) -> Option<InstanceId> {
        self.views.get(&pool).map(|view| view.instance)
    }

    /// The pools of a service with their dispatchers.
    pub fn dispatchers_of(&self, service: ServiceId) -> impl Iterator<Item = (Pool, InstanceId)> {
        let of_service = self.views.iter().filter(move |(pool, _)| pool.service == service);
        of_service.map(|(pool, view)| (*pool, view.instance))
    }

    /// Cold targets of the pool according to the last report. A successor of its dispatcher keeps
    /// them cold.
    #[must_use]
    pub fn cold_targets(&self, pool: Pool) -> &[SocketAddr] {
        self.views.get(&pool).map_or(&[], |view| &view.cold)
    }

    /// Whether targets of the domain may be used by this entry.
    #[must_use]
    pub fn is_domain_allowed(&self, domain: DomainId) -> bool {
        let reachable = !self.isolated || domain == self.local_domain;
        reachable && !self.withdrawn_domains.contains(&domain)
    }

    /// Whether a message of the pool's dispatcher has arrived within [`DISPATCHER_TIMEOUT`].
    #[must_use]
    pub fn is_responsive(&self, now: Instant, pool: Pool) -> bool {
        let last_seen = self.views.get(&pool).and_then(|view| view.last_seen);
        last_seen.is_some_and(|at| now.saturating_duration_since(at) < DISPATCHER_TIMEOUT)
    }

    /// The pool whose dispatcher to request a slot from. Responsive dispatchers come first, then
    /// those with the most free slots less queued requests in relation to the capacity, then the
    /// local domain. Pools in `tried_pools` are skipped.
    #[must_use]
    pub fn choose_pool(
        &self,
        now: Instant,
        service: ServiceId,
        tried_pools: &BTreeSet<Pool>,
    ) -> Option<Pool> {
        let of_service = self.views.iter().filter(|(pool, _)| pool.service == service);
        let allowed = of_service.filter(|(pool, _)| {
            self.is_domain_allowed(pool.domain) && !tried_pools.contains(*pool)
        });
        let best = allowed.max_by(|(a, view_a), (b, view_b)| {
            let rank_a =
                (self.is_responsive(now, **a), view_a.load_score(), a.domain == self.local_domain);
            let rank_b =
                (self.is_responsive(now, **b), view_b.load_score(), b.domain == self.local_domain);
            rank_a.cmp(&rank_b)
        });
        best.map(|(pool, _)| *pool)
    }
}

impl DispatcherView {
    fn new(instance: InstanceId) -> Self {
        Self { instance, last_seen: None, epoch: 0, load: PoolLoad::default(), cold: Vec::new() }
    }

    /// Free slots less queued requests, in millionths of the capacity; the lowest value without
    /// capacity.
    fn load_score(&self) -> i64 {
        let PoolLoad { free, capacity, queued } = self.load;
        let surplus = i64::from(free) - i64::from(queued);
        if capacity == 0 { i64::MIN } else { surplus * 1_000_000 / i64::from(capacity) }
    }
}
