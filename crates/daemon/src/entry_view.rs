//! What an entry currently knows: the declarations in effect, overlaid with what targets themselves
//! have announced since.

use comfreyhold_membership::targets::AnnouncedTarget;
use comfreyhold_request::message::Pool;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::WithdrawalRule;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Declarations and targets as used for requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryView {
    /// The declarations in effect.
    pub declared: Arc<Declarations>,
    targets: BTreeMap<SocketAddr, TargetRecord>,
}

impl EntryView {
    /// Overlays the declared targets with the announced ones: a target that announced a newer state
    /// counts with it at once. Only the leader knows all hearings, so a target that no known entry hears
    /// stays until the leader removes it; an isolated entry leaves it out by itself.
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

    /// Targets whose service is declared, leaving ones included.
    pub fn usable_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// Whether a target is known.
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

    /// Targets of a pool.
    #[must_use]
    pub fn targets_of(&self, pool: Pool) -> Vec<TargetRecord> {
        let name = self.declared.services.values().find(|service| service.id == pool.service);
        let Some(name) = name.map(|service| &service.spec.name) else { return Vec::new() };
        let in_pool =
            |target: &&TargetRecord| target.domain == pool.domain && target.service == *name;
        self.targets.values().filter(in_pool).cloned().collect()
    }

    /// Profile of each service.
    pub fn profiles(&self) -> impl Iterator<Item = (ServiceId, &Profile)> {
        let profile = |service: &comfreyhold_types::declarations::Service| {
            self.declared.profiles.get(&service.spec.profile)
        };
        let services = self.declared.services.values();
        services.filter_map(move |service| profile(service).map(|found| (service.id, found)))
    }

    /// Profile of a service.
    #[must_use]
    pub fn profile(&self, service: ServiceId) -> Option<&Profile> {
        self.profiles().find(|(id, _)| *id == service).map(|(_, profile)| profile)
    }

    /// The service that a request's host names.
    #[must_use]
    pub fn service_by_host(&self, host: &str) -> Option<(ServiceId, &str)> {
        let by_address = |service: &&comfreyhold_types::declarations::Service| {
            service.spec.address.to_string() == host
        };
        let name = host.split(':').next().unwrap_or(host);
        let services = &self.declared.services;
        let service = services.get(name).or_else(|| services.values().find(by_address))?;
        Some((service.id, service.spec.name.as_str()))
    }

    /// Failure domains that are out of service.
    #[must_use]
    pub fn domains_out(&self) -> BTreeSet<DomainId> {
        let marked = self.declared.domains.iter();
        marked.filter(|(_, state)| **state == DomainState::Out).map(|(id, _)| *id).collect()
    }

    /// Longest time that a profile gives requests in flight to finish in a domain that is taken out.
    #[must_use]
    pub fn withdrawal_limit(&self) -> Duration {
        let finishing =
            self.profiles().filter(|(_, p)| p.withdrawal == WithdrawalRule::FinishRequests);
        let longest = finishing.map(|(_, profile)| profile.withdrawal_ms).max();
        Duration::from_millis(longest.unwrap_or(0))
    }

    /// Whether operators let a failure domain take traffic.
    #[must_use]
    pub fn domain_state(&self, domain: DomainId) -> DomainState {
        self.declared.domains.get(&domain).copied().unwrap_or_default()
    }
}
