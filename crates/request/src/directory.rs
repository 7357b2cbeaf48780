//! What an entry knows about the dispatchers of its services, and which of them it asks.

use crate::message::{LoadReport, Pool, PoolLoad};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A dispatcher not heard of for this long is asked only when no other is left: three load reports
/// were missed.
pub const DISPATCHER_SILENT: Duration = Duration::from_millis(600);

/// Load of a dispatcher, as last reported, corrected by what this entry asked for since.
#[derive(Clone, Debug)]
struct View {
    instance: InstanceId,
    heard: Option<Instant>,
    epoch: u64,
    load: PoolLoad,
    cold: Vec<SocketAddr>,
}

/// The known dispatchers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    own_domain: DomainId,
    isolated: bool,
    out: BTreeSet<DomainId>,
    views: BTreeMap<Pool, View>,
}

impl Directory {
    /// Creates a directory for an entry in this domain.
    #[must_use]
    pub fn new(own_domain: DomainId) -> Self {
        Self { own_domain, ..Self::default() }
    }

    /// Sets who is dispatcher of each pool. Reports of an unchanged dispatcher are kept. Returns pools
    /// whose dispatcher changed or is gone.
    pub fn set_dispatchers(&mut self, current: &BTreeMap<Pool, InstanceId>) -> Vec<Pool> {
        let changed = |(pool, view): (&Pool, &View)| {
            (current.get(pool) != Some(&view.instance)).then_some(*pool)
        };
        let changed: Vec<_> = self.views.iter().filter_map(changed).collect();
        for pool in &changed {
            self.views.remove(pool);
        }
        for (pool, instance) in current {
            self.views.entry(*pool).or_insert_with(|| View::new(*instance));
        }
        changed
    }

    /// Sets whether only targets of the own domain may be used, because this entry's lease expired.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Sets the failure domains that operators took out.
    pub fn set_domains_out(&mut self, out: BTreeSet<DomainId>) {
        self.out = out;
    }

    /// Takes in a load report. One from another instance than the current dispatcher is ignored.
    pub fn on_load(&mut self, now: Instant, from: InstanceId, report: &LoadReport) {
        let Some(view) = self.views.get_mut(&report.pool) else { return };
        if view.instance != from || report.epoch < view.epoch {
            return;
        }
        view.heard = Some(now);
        view.epoch = report.epoch;
        view.load = report.load;
        view.cold.clone_from(&report.cold);
    }

    /// Counts a request sent to the dispatcher since its last report, so that a burst does not go to
    /// one dispatcher as a whole.
    pub fn on_asked(&mut self, pool: Pool) {
        let Some(view) = self.views.get_mut(&pool) else { return };
        match view.load.free.checked_sub(1) {
            Some(rest) => view.load.free = rest,
            None => view.load.queued += 1,
        }
    }

    /// Takes in the load that came with an answer of the dispatcher.
    pub fn on_brief(&mut self, now: Instant, from: InstanceId, pool: Pool, load: PoolLoad) {
        let Some(view) = self.views.get_mut(&pool) else { return };
        if view.instance == from {
            view.heard = Some(now);
            view.load = load;
        }
    }

    /// The dispatcher's instance.
    #[must_use]
    pub fn instance(&self, pool: Pool) -> Option<InstanceId> {
        self.views.get(&pool).map(|view| view.instance)
    }

    /// The pools of a service with their dispatchers.
    pub fn of_service(&self, service: ServiceId) -> impl Iterator<Item = (Pool, InstanceId)> {
        let own = self.views.iter().filter(move |(pool, _)| pool.service == service);
        own.map(|(pool, view)| (*pool, view.instance))
    }

    /// Cold targets of the pool, by the last report. A successor of its dispatcher keeps them cold.
    #[must_use]
    pub fn cold_targets(&self, pool: Pool) -> &[SocketAddr] {
        self.views.get(&pool).map_or(&[], |view| &view.cold)
    }

    /// Whether targets of the domain may be used by this entry.
    #[must_use]
    pub fn domain_allowed(&self, domain: DomainId) -> bool {
        let reachable = !self.isolated || domain == self.own_domain;
        reachable && !self.out.contains(&domain)
    }

    /// Whether the dispatcher was heard of lately.
    #[must_use]
    pub fn is_heard(&self, now: Instant, pool: Pool) -> bool {
        let heard = self.views.get(&pool).and_then(|view| view.heard);
        heard.is_some_and(|at| now.saturating_duration_since(at) < DISPATCHER_SILENT)
    }

    /// The dispatcher to ask: the most free slots per capacity, then the shortest queue per capacity,
    /// then the own domain. `tried` ones are left out.
    #[must_use]
    pub fn choose(&self, now: Instant, service: ServiceId, tried: &BTreeSet<Pool>) -> Option<Pool> {
        let of_service = self.views.iter().filter(|(pool, _)| pool.service == service);
        let allowed = of_service
            .filter(|(pool, _)| self.domain_allowed(pool.domain) && !tried.contains(*pool));
        let best = allowed.max_by(|(a, view_a), (b, view_b)| {
            let rank_a = (self.is_heard(now, **a), view_a.score(), a.domain == self.own_domain);
            let rank_b = (self.is_heard(now, **b), view_b.score(), b.domain == self.own_domain);
            rank_a.cmp(&rank_b)
        });
        best.map(|(pool, _)| *pool)
    }
}

impl View {
    fn new(instance: InstanceId) -> Self {
        Self { instance, heard: None, epoch: 0, load: PoolLoad::default(), cold: Vec::new() }
    }

    /// Free slots less waiting requests, in millionths of the capacity; lowest without capacity.
    fn score(&self) -> i64 {
        let PoolLoad { free, capacity, queued } = self.load;
        let surplus = i64::from(free) - i64::from(queued);
        if capacity == 0 { i64::MIN } else { surplus * 1_000_000 / i64::from(capacity) }
    }
}
