//! What packet decisions read: tables, slots in transition with their arbiters, and targets. A
//! change builds a new view, which replaces the old one at once.

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

/// A slot in transition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moving {
    /// Target of the last stable version.
    pub base: TargetKey,
    /// Version at which the slot was last stable.
    pub stable: Revision,
    /// Whoever determined `base` and `stable` knows of all moves by later versions.
    pub known_since: Revision,
    /// Last version that changed the slot's target.
    pub moved: Revision,
    /// When the slot began to move here, as a record time.
    pub since: u32,
    /// When `moved` was activated here, as a record time.
    pub active_at: Option<u32>,
    /// The arbiter announced the end of the transition up to this version.
    pub ended: Option<Revision>,
    pub arbiter: InstanceId,
    pub backup: Option<InstanceId>,
    /// This entry is the arbiter, and no other entry decides any more.
    pub sure: bool,
    /// This entry was the arbiter under the previous set of live entries.
    pub former: bool,
    /// Arbiter under the previous set, while this entry is not sure.
    pub previous: Option<InstanceId>,
    /// All entries have reported their flows.
    pub reported: bool,
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceView {
    pub id: ServiceId,
    pub address: SocketAddr,
    pub idle_timeout: Duration,
    pub drain_time: Duration,
    pub table: Option<Arc<SlotTable>>,
    /// Table of the newest prepared version.
    pub next: Option<Arc<SlotTable>>,
    /// Table over the targets of the own failure domain, for isolated mode.
    pub own: Option<Arc<SlotTable>>,
    pub moving: BTreeMap<u16, Moving>,
}

/// Everything that a decision reads.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub me: InstanceId,
    pub domain: DomainId,
    pub active: Revision,
    pub synced: bool,
    pub isolated: bool,
    pub live: Vec<Peer>,
    pub digest: u64,
    pub targets: Arc<Targets>,
    pub services: BTreeMap<SocketAddr, Arc<ServiceView>>,
    pub addresses: BTreeMap<ServiceId, SocketAddr>,
}

impl View {
    pub fn new(me: InstanceId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            active: Revision(0),
            synced: false,
            isolated: false,
            live: Vec::new(),
            digest: 0,
            targets: Arc::default(),
            services: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }

    pub fn service(&self, id: ServiceId) -> Option<&Arc<ServiceView>> {
        self.addresses.get(&id).and_then(|address| self.services.get(address))
    }

    pub fn service_mut(&mut self, id: ServiceId) -> Option<&mut ServiceView> {
        let address = self.addresses.get(&id)?;
        self.services.get_mut(address).map(Arc::make_mut)
    }

    pub fn others(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.live.iter().map(|peer| peer.id).filter(|id| *id != self.me)
    }

    pub fn is_live(&self, id: InstanceId) -> bool {
        self.live.iter().any(|peer| peer.id == id)
    }

    /// The target, if it serves the service and may receive packets from this entry.
    pub fn usable(&self, key: TargetKey, service: ServiceId) -> Option<&Target> {
        let target = self.targets.get(key)?;
        let reachable = !self.isolated || target.spec.domain == self.domain;
        (target.service == service && !target.out && reachable).then_some(target)
    }

    /// Target for new flows of a slot.
    pub fn placement(&self, service: &ServiceView, slot: u16) -> Option<(TargetKey, &Target)> {
        let key = service.table.as_ref()?.target(slot)?;
        Some((key, self.usable(key, service.id)?))
    }

    /// Target that replaces one that is gone once the next version is in force. Peers at which it
    /// is may have opened flows there already.
    pub fn successor(&self, service: &ServiceView, slot: u16) -> Option<(TargetKey, &Target)> {
        let key = service.next.as_ref()?.target(slot)?;
        Some((key, self.usable(key, service.id)?))
    }

    /// Target for flows of a slot while this entry is isolated.
    pub fn isolated_placement(
        &self,
        service: &ServiceView,
        slot: u16,
    ) -> Option<(TargetKey, &Target)> {
        self.placement(service, slot).or_else(|| {
            let key = service.own.as_ref()?.target(slot)?;
            Some((key, self.usable(key, service.id)?))
        })
    }

    pub fn reference(&self, key: TargetKey) -> Option<TargetRef> {
        self.targets.reference(key)
    }

    /// The entries that may be arbiter of a slot, best first; at most two, without `except`.
    pub fn order(
        &self,
        service: ServiceId,
        slot: u16,
        except: Option<InstanceId>,
    ) -> [Option<InstanceId>; 2] {
        let mut best: [Option<(u64, InstanceId)>; 2] = [None, None];
        let eligible = self.live.iter().filter(|peer| peer.state == PeerState::Serving);
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
    pub fn assign(&self, service: ServiceId, slot: u16, moving: &mut Moving) {
        let [first, second] = self.order(service, slot, None);
        moving.arbiter = first.unwrap_or(self.me);
        moving.backup = second;
    }

    /// Digest of the live entries, with incarnations and states.
    pub fn digest_of(live: &[Peer]) -> u64 {
        let mut hasher = SipHasher13::new();
        for peer in live {
            (peer.id, peer.incarnation, peer.state == PeerState::Serving).hash(&mut hasher);
        }
        hasher.finish()
    }
}

impl Target {
    pub fn draining(&self) -> bool {
        self.spec.state == TargetState::Draining
    }
}

fn rank(service: ServiceId, slot: u16, entry: InstanceId) -> u64 {
    let mut hasher = SipHasher13::new();
    (service, slot, entry).hash(&mut hasher);
    hasher.finish()
}
