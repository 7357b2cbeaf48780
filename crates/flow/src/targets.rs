//! Target sets derived from the declarations, and the arena in which each target has a small key.

use comfreyhold_types::declarations::Declarations;
use comfreyhold_types::keys::{DomainId, Incarnation, ServiceId};
use comfreyhold_types::target::{TargetRecord, TargetState};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Weight per slot of a target whose failure domain has none in the profile.
const DEFAULT_WEIGHT: u32 = 100;

new_key_type! {
    /// Key of a target. A target gets a new key when its service changes, or when its failure domain is
    /// withdrawn. Keys are never reused, so pins to a removed target match nothing.
    pub struct TargetKey;
}

/// What the slot tables are computed from: one target with its weight and state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Address and port.
    pub address: SocketAddr,
    /// Incarnation of the target, which increases with each start.
    pub incarnation: Incarnation,
    /// Failure domain that the target runs in.
    pub domain: DomainId,
    /// Relative share of the slots; a cold target has a small one.
    pub weight: u32,
    /// Announced state; a draining target has no slots.
    pub state: TargetState,
}

/// A service with its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTargets {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Address and port to which callers send.
    pub address: SocketAddr,
    /// A flow without packets for this long counts as ended.
    pub idle_timeout: Duration,
    /// How long a draining target keeps its flows.
    pub drain_time: Duration,
    /// Targets, ordered by address.
    pub targets: Vec<TargetSpec>,
}

/// All services with their targets at one version of the declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetSets {
    /// Declared services whose profile exists.
    pub services: Vec<ServiceTargets>,
    /// Failure domains that operators have withdrawn.
    pub withdrawn: BTreeSet<DomainId>,
}

impl TargetSets {
    /// Derives the sets from the declarations. `domain_names` maps failure domains to the names
    /// that profiles use in `domain_weights`.
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
            let of_service = targets.filter(|target| target.service == service.spec.name);
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
                targets: of_service.map(|target| spec(target, weight(target))).collect(),
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

/// The form in which messages name a target. The message names the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetRef {
    /// Address and port.
    pub address: SocketAddr,
    /// Incarnation of the target at that address.
    pub incarnation: Incarnation,
}

/// A target in the arena.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    pub service: ServiceId,
    pub spec: TargetSpec,
    pub is_withdrawn: bool,
}

/// Arena of targets. Each address belongs to at most one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    arena: SlotMap<TargetKey, Target>,
    by_address: BTreeMap<SocketAddr, TargetKey>,
}

impl Targets {
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    pub fn get_by_address(&self, address: SocketAddr) -> Option<&Target> {
        self.by_address.get(&address).and_then(|key| self.arena.get(*key))
    }

    /// Key of the target if the address still belongs to this service. Flows of another incarnation may be open at the
    /// present one, since openings reach it before this entry or the sender knows of it; it resets those that it lacks.
    pub fn find(&self, service: ServiceId, target: &TargetRef) -> Option<TargetKey> {
        let key = *self.by_address.get(&target.address)?;
        let known = self.arena.get(key)?;
        (known.service == service).then_some(key)
    }

    pub fn target_ref(&self, key: TargetKey) -> Option<TargetRef> {
        let spec = self.arena.get(key)?.spec;
        Some(TargetRef { address: spec.address, incarnation: spec.incarnation })
    }

    /// Adds or updates a target. Another service at the address gets a new key.
    pub fn upsert(
        &mut self,
        service: ServiceId,
        spec: TargetSpec,
        is_withdrawn: bool,
    ) -> TargetKey {
        let wanted = TargetRef { address: spec.address, incarnation: spec.incarnation };
        if let Some(key) = self.find(service, &wanted) {
            if let Some(known) = self.arena.get_mut(key) {
                known.spec = spec;
                known.is_withdrawn |= is_withdrawn;
            }
            return key;
        }
        self.remove(spec.address);
        let key = self.arena.insert(Target { service, spec, is_withdrawn });
        self.by_address.insert(spec.address, key);
        key
    }

    pub fn remove(&mut self, address: SocketAddr) {
        if let Some(key) = self.by_address.remove(&address) {
            self.arena.remove(key);
        }
    }

    /// Removes the targets whose address is not in `listed`.
    pub fn retain(&mut self, listed: &BTreeSet<SocketAddr>) {
        let unlisted: Vec<SocketAddr> =
            self.by_address.keys().copied().filter(|address| !listed.contains(address)).collect();
        for address in unlisted {
            self.remove(address);
        }
    }

    /// Marks every target of a failure domain as withdrawn and gives it a new key, which ends all
    /// its flows.
    pub fn withdraw_domain(&mut self, domain: DomainId) {
        let keys: Vec<TargetKey> = self
            .arena
            .iter()
            .filter(|(_, t)| t.spec.domain == domain && !t.is_withdrawn)
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            if let Some(target) = self.arena.remove(key) {
                let key = self.arena.insert(Target { is_withdrawn: true, ..target });
                self.by_address.insert(target.spec.address, key);
            }
        }
    }

    /// Marks the targets of exactly these failure domains as withdrawn.
    pub fn set_withdrawn_domains(&mut self, domains: &BTreeSet<DomainId>) {
        for domain in domains {
            self.withdraw_domain(*domain);
        }
        for target in self.arena.values_mut() {
            target.is_withdrawn = domains.contains(&target.spec.domain);
        }
    }
}
