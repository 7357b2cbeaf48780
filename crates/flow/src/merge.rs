//! Taking in what peers tell: pins, slots in transition, and ended transitions.

use crate::control::Control;
use crate::flow::FlowHash;
use crate::message::{Message, MovingGroup, Outgoing, PinGroup, PinKind};
use crate::records::{Kind, Record};
use crate::router::FlowRouter;
use crate::targets::TargetKey;
use crate::view::{Moving, ServiceView};
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// What a peer knows of slots in transition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    pub synced: bool,
    pub active: Revision,
    /// Newest version that the peer has prepared or in force.
    pub through: Revision,
    /// The peer knows of all moves by later versions.
    pub known_since: Revision,
}

/// What a peer said of its slots in transition.
#[derive(Clone, Debug)]
pub(crate) struct PeerSlots {
    pub synced: bool,
    pub through: Revision,
    pub known_since: Revision,
    active: Revision,
    moving: BTreeSet<(ServiceId, u16)>,
    /// The slots in transition, of a peer that isn't synced.
    pub unmerged: Vec<(ServiceId, Vec<MovingGroup>)>,
}

impl PeerSlots {
    /// Whether the peer knows of the move of a slot and that its transition has ended; its exceptions
    /// have been sent then.
    pub fn has_ended(&self, slot: (ServiceId, u16), moved: Revision) -> bool {
        let knows = self.synced && self.known_since < moved && self.active >= moved;
        knows && !self.moving.contains(&slot)
    }

    /// Whether the peer has a slot in transition.
    pub fn lists(&self, slot: (ServiceId, u16)) -> bool {
        self.moving.contains(&slot)
    }
}

impl FlowRouter {
    pub(crate) fn take_pins(
        &self,
        from: InstanceId,
        service: ServiceId,
        kind: PinKind,
        groups: &[PinGroup],
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let stamp = self.stamp(now);
        let view = self.view();
        let mut corrections = Vec::new();
        for group in groups {
            let Some(key) = view.targets.find(service, &group.target) else { continue };
            if view.usable(key, service).is_none() && !view.isolated {
                continue;
            }
            for flow in &group.flows {
                let kept = self.merge_pin((service, *flow, key), kind, stamp);
                if let Some(known) = kept.and_then(|key| view.reference(key)) {
                    corrections.push(PinGroup { target: known, flows: vec![*flow] });
                }
            }
        }
        if !corrections.is_empty() {
            let kind = PinKind::Decision;
            let message = Message::Pins { service, kind, groups: corrections };
            self.outbox().reliable(from, message, now, out);
        }
    }

    /// Merges one pin. Returns the target that is kept instead, if the sender must be corrected.
    fn merge_pin(
        &self,
        (service, flow, target): (ServiceId, FlowHash, TargetKey),
        kind: PinKind,
        stamp: u32,
    ) -> Option<TargetKey> {
        let mut shard = self.records.lock(flow);
        let new_kind = if kind == PinKind::Exception { Kind::Exception } else { Kind::Pin };
        let fresh =
            Record { target, seen: 0, told: stamp, service, kind: new_kind, established: false };
        let Some(known) = shard.get_mut(&flow) else {
            if self.records.has_room(&shard) {
                shard.insert(flow, fresh);
            }
            return None;
        };
        let same = known.target == target;
        let replaces = matches!(kind, PinKind::Decision | PinKind::Exception);
        if same && known.kind == Kind::Exception {
            known.told = stamp;
            return None;
        }
        if same || replaces || known.service != service {
            *known = Record { seen: known.seen, established: same && known.established, ..fresh };
            return None;
        }
        (kind == PinKind::Claim).then_some(known.target)
    }

    pub(crate) fn take_state(
        &self,
        control: &mut Control,
        from: InstanceId,
        scope: Scope,
        services: &[(ServiceId, Vec<MovingGroup>)],
        now: Instant,
    ) {
        let listed = services.iter().flat_map(|(id, groups)| {
            groups.iter().flat_map(|group| &group.slots).map(|slot| (*id, *slot))
        });
        let Scope { synced, active, through, known_since } = scope;
        let moving = listed.collect();
        let unmerged = if synced { Vec::new() } else { services.to_vec() };
        let state = PeerSlots { synced, through, known_since, active, moving, unmerged };
        control.progress.entry(from).or_default().state = Some(state);
        if synced {
            control.merge_slots(services, known_since, self.stamp(now));
            control.note_ended(active, from);
            if control.view.synced {
                control.extend_knowledge(known_since, through);
            }
            self.publish(control);
        }
        self.try_ready(control, now);
    }

    pub(crate) fn take_stable(&self, id: ServiceId, version: Revision, slots: &[u16]) {
        let mut control = self.control();
        let active = control.view.active;
        if !control.view.synced {
            // A peer's state from before the end may still be on its way.
            control.ended_early.extend(slots.iter().map(|slot| ((id, *slot), version)));
        }
        let Some(service) = control.view.service_mut(id) else { return };
        for slot in slots {
            let Some(moving) = service.moving.get(slot).copied() else { continue };
            if moving.moved <= version && moving.moved <= active {
                service.moving.remove(slot);
            } else if moving.moved <= version {
                service.moving.insert(*slot, Moving { ended: Some(version), ..moving });
            } else if moving.moved > version && moving.active_at.is_none() {
                settle(service, *slot, version);
            }
        }
        self.publish(&control);
    }
}

/// The slot was stable at `version`, and a prepared version moves it again.
fn settle(service: &mut ServiceView, slot: u16, version: Revision) {
    let base = service.table.as_ref().and_then(|table| table.target(slot));
    if let (Some(base), Some(moving)) = (base, service.moving.get_mut(&slot)) {
        moving.base = base;
        moving.stable = version;
        moving.known_since = Revision(0);
    }
}

/// Compares two statements of the version at which a slot was last stable, each with the version after
/// which its author knows of all moves. A slot that the author first saw at that version may have been in
/// transition already.
fn is_better(new: (Revision, Revision), known: (Revision, Revision)) -> bool {
    let is_certain = |(stable, known_since): (Revision, Revision)| stable > known_since;
    match (is_certain(new), is_certain(known)) {
        (true, true) => new.0 > known.0,
        (false, false) => new.1 < known.1,
        (certain, _) => certain,
    }
}

impl Control {
    /// Takes in the slots that a peer has in transition.
    pub fn merge_slots(
        &mut self,
        services: &[(ServiceId, Vec<MovingGroup>)],
        known_since: Revision,
        stamp: u32,
    ) {
        for (service, groups) in services {
            for group in groups {
                for slot in &group.slots {
                    self.merge_slot(*service, *slot, (group, known_since), stamp);
                }
            }
        }
    }

    fn merge_slot(
        &mut self,
        id: ServiceId,
        slot: u16,
        (group, known_since): (&MovingGroup, Revision),
        stamp: u32,
    ) {
        let base =
            group.base.and_then(|base| self.view.targets.find(id, &base)).unwrap_or_default();
        let Some(service) = self.view.service(id) else { return };
        let active = self.view.active;
        if let Some(known) = service.moving.get(&slot).copied() {
            let moved = known.moved.max(group.moved);
            let merged =
                if is_better((group.stable, known_since), (known.stable, known.known_since)) {
                    Moving { base, stable: group.stable, known_since, moved, ..known }
                } else {
                    Moving { moved, ..known }
                };
            self.set_moving(id, slot, merged);
            return;
        }
        let [arbiter, _] = self.view.order(id, slot, None);
        let current = service.table.as_ref().and_then(|table| table.target(slot));
        let told = Moving {
            known_since,
            moved: group.moved,
            active_at: (active >= group.moved).then_some(stamp),
            ..Moving::new(base, group.stable, stamp, self.view.me)
        };
        if !self.view.synced {
            let mut moving = self.assign_new(id, slot, told);
            if moving.arbiter == self.view.me {
                let [previous, _] = self.view.order(id, slot, Some(self.view.me));
                moving.sure = false;
                moving.previous = previous;
            }
            self.set_moving(id, slot, moving);
        } else if group.moved <= self.known_since {
            // This entry became synced without a peer that knew of the move.
            let moving = self.assign_new(id, slot, told);
            self.set_moving(id, slot, Moving { former: false, ..moving });
            self.scan = Some(0);
            self.pending.clear();
        } else if arbiter == Some(self.view.me) && group.moved <= active {
            // The former arbiter ended the transition here and not yet at the peer: end it again.
            let mut moving = Moving::new(current.unwrap_or(base), active, stamp, self.view.me);
            moving.active_at = Some(0);
            let moving = self.assign_new(id, slot, moving);
            self.set_moving(id, slot, moving);
        }
    }

    /// Slots that a synced peer no longer has in transition have ended, and it has their
    /// exceptions: a new arbiter must not take their unknown flows for old ones.
    fn note_ended(&mut self, active: Revision, from: InstanceId) {
        let me = self.view.me;
        let state = self.progress.get(&from).and_then(|progress| progress.state.clone());
        let Some(state) = state else { return };
        let own_active = self.view.active;
        for service in self.view.services.values_mut() {
            let ended: Vec<u16> = service
                .moving
                .iter()
                .filter(|(slot, m)| {
                    let here = m.arbiter == me && !m.sure && m.moved <= own_active;
                    here && state.has_ended((service.id, **slot), m.moved)
                })
                .map(|(slot, _)| *slot)
                .collect();
            for slot in ended {
                let service = std::sync::Arc::make_mut(service);
                settle(service, slot, active);
                if let Some(moving) = service.moving.get_mut(&slot) {
                    moving.active_at = Some(0);
                }
            }
        }
    }

    /// Drops the slots that a synced peer has stable although it knows of their move: their
    /// transition has ended, and the peer has sent their exceptions.
    pub fn drop_ended(&mut self, told: &BTreeMap<InstanceId, PeerSlots>) {
        let early = std::mem::take(&mut self.ended_early);
        for service in self.view.services.values_mut() {
            let id = service.id;
            let is_ended = |slot: u16, moved: Revision| {
                if early.get(&(id, slot)).is_some_and(|version| *version >= moved) {
                    return true;
                }
                told.values().any(|state| state.has_ended((id, slot), moved))
            };
            if service.moving.iter().any(|(slot, m)| is_ended(*slot, m.moved)) {
                let moving = &mut std::sync::Arc::make_mut(service).moving;
                moving.retain(|slot, m| !is_ended(*slot, m.moved));
            }
        }
        for progress in self.progress.values_mut() {
            progress.state = None;
        }
    }

    pub fn set_moving(&mut self, id: ServiceId, slot: u16, moving: Moving) {
        if let Some(service) = self.view.service_mut(id) {
            service.moving.insert(slot, moving);
        }
    }
}
