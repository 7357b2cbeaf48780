//! Target sets derived from the declarations, and the arena that gives each target a small key.

use comfreyhold_types::declarations::Declarations;
use comfreyhold_types::keys::{DomainId, Incarnation, ServiceId};
use comfreyhold_types::target::{TargetRecord, TargetState};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_WEIGHT: u32 = 100;

new_key_type! {
    /// Key of a target while it serves one service under one incarnation and its failure domain
    /// stays in. A key is never reused, so pins to a target that is gone match nothing.
    pub struct TargetKey;
}

/// A target as the tables see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Address and port.
    pub address: SocketAddr,
    /// Start number.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Relative share of the slots; a cold target has a small one.
    pub weight: u32,
    /// Announced state; a draining target has no slots.
    pub state: TargetState,
}

/// A service with its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTargets {
    /// Key of the service.
    pub service: ServiceId,
    /// Service address.
    pub address: SocketAddr,
    /// A flow without packets for this long has ended.
    pub idle_timeout: Duration,
    /// Time that a draining target keeps its flows.
    pub drain_time: Duration,
    /// Targets, ordered by address.
    pub targets: Vec<TargetSpec>,
}

/// All services with their targets at one version of the declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetSets {
    /// Services.
    pub services: Vec<ServiceTargets>,
    /// Failure domains that operators have withdrawn.
    pub withdrawn: BTreeSet<DomainId>,
}

impl TargetSets {
    /// Derives the sets. `domain_names` gives the names that profiles use in `domain_weights`.
    #[must_use]
    pub fn from_declarations(
        declarations: &Declarations,
        domain_names: &BTreeMap<DomainId, String>,
    ) -> Self {
        let domains = declarations.domains.keys().copied();
        let withdrawn = domains.filter(|domain| !declarations.domain_in_service(*domain)).collect();
        let services = declarations.services.values().filter_map(|service| {
            let profile = declarations.profiles.get(&service.spec.profile)?;
            let targets = declarations.targets.values();
            let own = targets.filter(|target| target.service == service.spec.name);
            let weight = |target: &TargetRecord| {
                let name = domain_names.get(&target.domain);
                let weight = name.and_then(|name| profile.domain_weights.get(name));
                weight.copied().unwrap_or(DEFAULT_WEIGHT)
                    * u32::from(target.slots.min(profile.max_slots))
            };
            Some(ServiceTargets {
                service: service.id,
                address: service.spec.address,
                idle_timeout: Duration::from_millis(profile.flow_idle_ms),
                drain_time: Duration::from_millis(profile.drain_ms),
                targets: own.map(|target| spec(target, weight(target))).collect(),
            })
        });
        Self { services: services.collect(), withdrawn }
    }
}

fn spec(target: &TargetRecord, weight: u32) -> TargetSpec {
    TargetSpec {
        address: target.address,
        incarnation: target.incarnation,
        domain: target.domain,
        weight,
        state: target.state,
    }
}

/// A target as messages name it. The service is named next to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetRef {
    /// Address and port.
    pub address: SocketAddr,
    /// Start number.
    pub incarnation: Incarnation,
}

/// A known target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    pub service: ServiceId,
    pub spec: TargetSpec,
    pub out: bool,
}

/// Arena of known targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    arena: SlotMap<TargetKey, Target>,
    by_address: BTreeMap<SocketAddr, TargetKey>,
}

impl Targets {
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    pub fn at(&self, address: SocketAddr) -> Option<&Target> {
        self.by_address.get(&address).and_then(|key| self.arena.get(*key))
    }

    pub fn find(&self, service: ServiceId, target: &TargetRef) -> Option<TargetKey> {
        let key = *self.by_address.get(&target.address)?;
        let known = self.arena.get(key)?;
        let same = known.service == service && known.spec.incarnation == target.incarnation;
        same.then_some(key)
    }

    pub fn reference(&self, key: TargetKey) -> Option<TargetRef> {
        let spec = self.arena.get(key)?.spec;
        Some(TargetRef { address: spec.address, incarnation: spec.incarnation })
    }

    /// Adds or updates a target. Another service or incarnation at the address gets a new key.
    pub fn upsert(&mut self, service: ServiceId, spec: TargetSpec, out: bool) -> TargetKey {
        let wanted = TargetRef { address: spec.address, incarnation: spec.incarnation };
        if let Some(key) = self.find(service, &wanted) {
            if let Some(known) = self.arena.get_mut(key) {
                known.spec = spec;
                known.out |= out;
            }
            return key;
        }
        self.remove(spec.address);
        let key = self.arena.insert(Target { service, spec, out });
        self.by_address.insert(spec.address, key);
        key
    }

    pub fn remove(&mut self, address: SocketAddr) {
        if let Some(key) = self.by_address.remove(&address) {
            self.arena.remove(key);
        }
    }

    /// Removes the targets that a newer state no longer lists.
    pub fn retain(&mut self, listed: &BTreeSet<SocketAddr>) {
        let gone: Vec<SocketAddr> =
            self.by_address.keys().copied().filter(|address| !listed.contains(address)).collect();
        for address in gone {
            self.remove(address);
        }
    }

    /// Gives every target of a failure domain a new key, marked out, which ends all its flows.
    pub fn take_out(&mut self, domain: DomainId) {
        let keys: Vec<TargetKey> = self
            .arena
            .iter()
            .filter(|(_, t)| t.spec.domain == domain && !t.out)
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            if let Some(target) = self.arena.remove(key) {
                let key = self.arena.insert(Target { out: true, ..target });
                self.by_address.insert(target.spec.address, key);
            }
        }
    }

    /// Sets which targets are out to exactly those of the given domains.
    pub fn set_out(&mut self, domains: &BTreeSet<DomainId>) {
        for domain in domains {
            self.take_out(*domain);
        }
        for target in self.arena.values_mut() {
            target.out = domains.contains(&target.spec.domain);
        }
    }
}
