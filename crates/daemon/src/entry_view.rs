//! Combines the active declarations with the targets' later announcements into one view for requests.

use comfreyhold_membership::targets::AnnouncedTarget;
use comfreyhold_request::message::Pool;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::WithdrawalRule;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Active declarations and current target records of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryView {
    /// The active declarations.
    pub declared: Arc<Declarations>,
    targets: BTreeMap<SocketAddr, TargetRecord>,
}

impl EntryView {
    /// Overlays the declared targets with the announced ones: a newer announced state takes effect at once.
    /// Only the leader knows the target's leases at all entries, so a target without a lease at any entry
    /// known here stays until the leader removes it; an isolated entry removes it itself.
    pub fn new<'a>(
        declared: Arc<Declarations>,
        announced: impl Iterator<Item = &'a AnnouncedTarget>,
        isolated: bool,
    ) -> Self {
        let mut targets = declared.targets.clone();
        for known in announced {
            let record = &known.record;
            let address = record.address;
            let older =
                targets.get(&address).is_some_and(|target| target.incarnation > record.incarnation);
            if older {
                continue;
            }
            if known.is_leased() {
                targets.insert(address, record.clone());
            } else if isolated {
                targets.remove(&address);
            }
        }
        targets.retain(|_, target| declared.services.contains_key(&target.service));
        Self { declared, targets }
    }

    /// Targets whose service is declared, including draining ones.
    pub fn usable_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// Whether a target is in the view.
    #[must_use]
    pub fn has_target(&self, address: SocketAddr) -> bool {
        self.targets.contains_key(&address)
    }

    /// The pools that have targets.
    #[must_use]
    pub fn pools(&self) -> BTreeSet<Pool> {
        let pool = |target: &TargetRecord| {
            let service = self.declared.services.get(&target.service)?;
            Some(Pool { service: service.id, domain: target.domain })
        };
        self.targets.values().filter_map(pool).collect()
    }

    /// Targets of a pool; empty if its service is not declared.
    #[must_use]
    pub fn targets_of(&self, pool: Pool) -> Vec<TargetRecord> {
        let name = self.declared.services.values().find(|service| service.id == pool.service);
        let Some(name) = name.map(|service| &service.spec.name) else { return Vec::new() };
        let in_pool =
            |target: &&TargetRecord| target.domain == pool.domain && target.service == *name;
        self.targets.values().filter(in_pool).cloned().collect()
    }

    /// Profile of each service that has a declared one.
    pub fn profiles(&self) -> impl Iterator<Item = (ServiceId, &Profile)> {
        let profile = |service: &comfreyhold_types::declarations::Service| {
            self.declared.profiles.get(&service.spec.profile)
        };
        let services = self.declared.services.values();
        services.filter_map(move |service| profile(service).map(|found| (service.id, found)))
    }

    /// Profile of a service; `None` if the service or its profile is not declared.
    #[must_use]
    pub fn profile(&self, service: ServiceId) -> Option<&Profile> {
        self.profiles().find(|(id, _)| *id == service).map(|(_, profile)| profile)
    }

    /// Id and name of the service that a Host header names, by name or by the service's address.
    #[must_use]
    pub fn find_service_by_host(&self, host: &str) -> Option<(ServiceId, &str)> {
        let by_address = |service: &&comfreyhold_types::declarations::Service| {
            service.spec.address.to_string() == host
        };
        let name = host.split(':').next().unwrap_or(host);
        let services = &self.declared.services;
        let service = services.get(name).or_else(|| services.values().find(by_address))?;
        Some((service.id, service.spec.name.as_str()))
    }

    /// Failure domains that operators have withdrawn.
    #[must_use]
    pub fn withdrawn_domains(&self) -> BTreeSet<DomainId> {
        let marked = self.declared.domains.iter();
        marked.filter(|(_, state)| **state == DomainState::Out).map(|(id, _)| *id).collect()
    }

    /// Longest time that any profile gives requests in flight to finish in a withdrawn domain.
    #[must_use]
    pub fn withdrawal_limit(&self) -> Duration {
        let finishing =
            self.profiles().filter(|(_, p)| p.withdrawal == WithdrawalRule::FinishRequests);
        let longest = finishing.map(|(_, profile)| profile.withdrawal_ms).max();
        Duration::from_millis(longest.unwrap_or(0))
    }

    /// State that operators have set for a failure domain.
    #[must_use]
    pub fn domain_state(&self, domain: DomainId) -> DomainState {
        self.declared.domains.get(&domain).copied().unwrap_or_default()
    }
}
