//! Read-only snapshot for packet decisions: slot tables, slots in transition with their arbiters,
//! and targets. Each change builds a new snapshot, which replaces the old one atomically.

use crate::router::{Peer, PeerState};
use crate::table::SlotTable;
use crate::targets::{Target, TargetKey, TargetRef, Targets};
use comfreyhold_types::keys::{DomainId, InstanceId, Revision, ServiceId};
use comfreyhold_types::target::TargetState;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A slot in transition from one target to another, with its arbiter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotTransition {
    /// Target of the slot at `stable_version`.
    pub base: TargetKey,
    /// Version at which the slot was last stable.
    pub stable_version: Revision,
    /// The entry that determined `base` and `stable_version` has applied all changes of the slot's
    /// target by later versions.
    pub known_since: Revision,
    /// Last version that changed the slot's target.
    pub moved_version: Revision,
    /// When the transition began here, as a record time.
    pub began_at: u32,
    /// When `moved_version` was activated here, as a record time. 0 ends the transition without
    /// the wait for the idle timeout.
    pub activated_at: Option<u32>,
    /// The arbiter has announced the end of the transition up to this version.
    pub ended_version: Option<Revision>,
    pub arbiter: InstanceId,
    pub backup: Option<InstanceId>,
    /// This entry is the arbiter, and no other entry decides any more.
    pub is_authoritative: bool,
    /// This entry was the arbiter under the previous set of live entries.
    pub was_arbiter: bool,
    /// Arbiter under the previous set, as long as this entry is not authoritative.
    pub previous_arbiter: Option<InstanceId>,
    /// All entries have reported their flows of this slot.
    pub all_reported: bool,
}

/// A service as packet decisions see it.
#[derive(Clone, Debug)]
pub(crate) struct ServiceView {
    pub id: ServiceId,
    pub address: SocketAddr,
    pub idle_timeout: Duration,
    pub drain_time: Duration,
    /// Table of the active version.
    pub table: Option<Arc<SlotTable>>,
    /// Table of the newest prepared version.
    pub next_table: Option<Arc<SlotTable>>,
    /// Table over the targets of the local failure domain, for isolated mode.
    pub local_table: Option<Arc<SlotTable>>,
    /// Slots in transition.
    pub transitions: BTreeMap<u16, SlotTransition>,
}

/// Everything that a packet decision reads.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub local_id: InstanceId,
    pub local_domain: DomainId,
    pub active_version: Revision,
    /// This entry has received all slots in transition, so it decides without forwarding to a peer.
    pub is_synced: bool,
    pub is_isolated: bool,
    /// Live entries, this one included.
    pub live_entries: Vec<Peer>,
    pub live_digest: u64,
    pub targets: Arc<Targets>,
    /// Services by address.
    pub services: BTreeMap<SocketAddr, Arc<ServiceView>>,
    pub service_addresses: BTreeMap<ServiceId, SocketAddr>,
}

impl View {
    pub fn new(local_id: InstanceId, local_domain: DomainId) -> Self {
        Self {
            local_id,
            local_domain,
            active_version: Revision(0),
            is_synced: false,
            is_isolated: false,
            live_entries: Vec::new(),
            live_digest: 0,
            targets: Arc::default(),
            services: BTreeMap::new(),
            service_addresses: BTreeMap::new(),
        }
    }

    pub fn service(&self, id: ServiceId) -> Option<&Arc<ServiceView>> {
        self.service_addresses.get(&id).and_then(|address| self.services.get(address))
    }

    pub fn service_mut(&mut self, id: ServiceId) -> Option<&mut ServiceView> {
        let address = self.service_addresses.get(&id)?;
        self.services.get_mut(address).map(Arc::make_mut)
    }

    /// The live entries without this one.
    pub fn peers(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.live_entries.iter().map(|peer| peer.id).filter(|id| *id != self.local_id)
    }

    pub fn is_live(&self, id: InstanceId) -> bool {
        self.live_entries.iter().any(|peer| peer.id == id)
    }

    /// The target, if it serves the service and may receive packets from this entry.
    pub fn usable_target(&self, key: TargetKey, service: ServiceId) -> Option<&Target> {
        let target = self.targets.get(key)?;
        let reachable = !self.is_isolated || target.spec.domain == self.local_domain;
        (target.service == service && !target.is_withdrawn && reachable).then_some(target)
    }

    /// Target for new flows of a slot.
    pub fn placement(&self, service: &ServiceView, slot: u16) -> Option<(TargetKey, &Target)> {
        let key = service.table.as_ref()?.target(slot)?;
        Some((key, self.usable_target(key, service.id)?))
    }

    /// Target for new flows of a slot once the next version is active. Peers that have activated it
    /// may have opened flows there already.
    pub fn next_placement(&self, service: &ServiceView, slot: u16) -> Option<(TargetKey, &Target)> {
        let key = service.next_table.as_ref()?.target(slot)?;
        Some((key, self.usable_target(key, service.id)?))
    }

    /// Target for flows of a slot while this entry is isolated.
    pub fn isolated_placement(
        &self,
        service: &ServiceView,
        slot: u16,
    ) -> Option<(TargetKey, &Target)> {
        self.placement(service, slot).or_else(|| {
            let key = service.local_table.as_ref()?.target(slot)?;
            Some((key, self.usable_target(key, service.id)?))
        })
    }

    /// The form in which messages name the target.
    pub fn target_ref(&self, key: TargetKey) -> Option<TargetRef> {
        self.targets.target_ref(key)
    }

    /// The two entries that rank highest as arbiter of a slot, best first, by rendezvous hashing.
    /// `except` is left out, as are entries that leave in a planned stop.
    pub fn arbiter_candidates(
        &self,
        service: ServiceId,
        slot: u16,
        except: Option<InstanceId>,
    ) -> [Option<InstanceId>; 2] {
        let mut best: [Option<(u64, InstanceId)>; 2] = [None, None];
        let eligible = self.live_entries.iter().filter(|peer| peer.state == PeerState::Serving);
        for peer in eligible.filter(|peer| Some(peer.id) != except) {
            let candidate = Some((rank(service, slot, peer.id), peer.id));
            if candidate > best[0] {
                best = [candidate, best[0]];
            } else if candidate > best[1] {
                best[1] = candidate;
            }
        }
        best.map(|entry| entry.map(|(_, id)| id))
    }

    /// Sets a slot's arbiter and backup from the live entries.
    pub fn assign_roles(&self, service: ServiceId, slot: u16, transition: &mut SlotTransition) {
        let [first, second] = self.arbiter_candidates(service, slot, None);
        transition.arbiter = first.unwrap_or(self.local_id);
        transition.backup = second;
    }

    /// Digest of the live entries with their incarnations and states.
    pub fn compute_live_digest(live: &[Peer]) -> u64 {
        let mut hasher = SipHasher13::new();
        for peer in live {
            (peer.id, peer.incarnation, peer.state == PeerState::Serving).hash(&mut hasher);
        }
        hasher.finish()
    }
}

impl Target {
    pub fn is_draining(&self) -> bool {
        self.spec.state == TargetState::Draining
    }
}

fn rank(service: ServiceId, slot: u16, entry: InstanceId) -> u64 {
    let mut hasher = SipHasher13::new();
    (service, slot, entry).hash(&mut hasher);
    hasher.finish()
}
