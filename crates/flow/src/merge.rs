//! Merges what peers send: pins, slots in transition, and ended transitions.

use crate::control::Control;
use crate::flow::FlowHash;
use crate::message::{Message, Outgoing, PinGroup, PinKind, TransitionGroup};
use crate::records::{Record, RecordKind};
use crate::router::FlowRouter;
use crate::targets::TargetKey;
use crate::view::{ServiceView, SlotTransition};
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Which versions a peer has applied, from its state message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerKnowledge {
    pub is_synced: bool,
    pub active_version: Revision,
    /// Newest version that the peer has prepared or activated.
    pub through: Revision,
    /// The peer has applied all moves of slots by versions after this one.
    pub known_since: Revision,
}

/// Slots in transition at a peer, from its last state message.
#[derive(Clone, Debug)]
pub(crate) struct PeerTransitions {
    pub is_synced: bool,
    pub through: Revision,
    pub known_since: Revision,
    active_version: Revision,
    transitions: BTreeSet<(ServiceId, u16)>,
    /// The slots in transition, kept unmerged if the peer is not synced.
    pub unmerged: Vec<(ServiceId, Vec<TransitionGroup>)>,
}

impl PeerTransitions {
    /// Whether the peer has applied the move of a slot and the end of its transition. Its exceptions
    /// have then been sent.
    pub fn has_ended(&self, slot: (ServiceId, u16), moved_version: Revision) -> bool {
        let has_applied = self.is_synced
            && self.known_since < moved_version
            && self.active_version >= moved_version;
        has_applied && !self.transitions.contains(&slot)
    }

    /// Whether the peer has a slot in transition.
    pub fn is_in_transition(&self, slot: (ServiceId, u16)) -> bool {
        self.transitions.contains(&slot)
    }
}

impl FlowRouter {
    /// Merges a peer's pins and sends corrections where the recorded target has precedence.
    pub(crate) fn handle_pins(
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
            if view.usable_target(key, service).is_none() && !view.is_isolated {
                continue;
            }
            for flow in &group.flows {
                let kept = self.merge_pin((service, *flow, key), kind, stamp);
                if let Some(kept_target) = kept.and_then(|key| view.target_ref(key)) {
                    corrections.push(PinGroup { target: kept_target, flows: vec![*flow] });
                }
            }
        }
        if !corrections.is_empty() {
            let kind = PinKind::Decision;
            let message = Message::Pins { service, kind, groups: corrections };
            self.outbox().send_reliable(from, message, now, out);
        }
    }

    /// Merges one pin. Returns the recorded target if it is kept and the sender must be corrected.
    fn merge_pin(
        &self,
        (service, flow, target): (ServiceId, FlowHash, TargetKey),
        kind: PinKind,
        stamp: u32,
    ) -> Option<TargetKey> {
        let mut shard = self.records.lock_shard_of(flow);
        let new_kind =
            if kind == PinKind::Exception { RecordKind::Exception } else { RecordKind::Pin };
        let new_record = Record {
            target,
            last_seen: 0,
            last_reported: stamp,
            service,
            kind: new_kind,
            is_established: false,
        };
        let Some(existing) = shard.get_mut(&flow) else {
            if self.records.has_room(&shard) {
                shard.insert(flow, new_record);
            }
            return None;
        };
        let is_same_target = existing.target == target;
        let has_precedence = matches!(kind, PinKind::Decision | PinKind::Exception);
        if is_same_target && existing.kind == RecordKind::Exception {
            existing.last_reported = stamp;
            return None;
        }
        if is_same_target || has_precedence || existing.service != service {
            *existing = Record {
                last_seen: existing.last_seen,
                is_established: is_same_target && existing.is_established,
                ..new_record
            };
            return None;
        }
        (kind == PinKind::Claim).then_some(existing.target)
    }

    /// Stores a peer's slots in transition, and merges them if the peer is synced.
    pub(crate) fn handle_state(
        &self,
        control: &mut Control,
        from: InstanceId,
        knowledge: PeerKnowledge,
        services: &[(ServiceId, Vec<TransitionGroup>)],
        now: Instant,
    ) {
        let listed = services.iter().flat_map(|(id, groups)| {
            groups.iter().flat_map(|group| &group.slots).map(|slot| (*id, *slot))
        });
        let PeerKnowledge { is_synced, active_version, through, known_since } = knowledge;
        let transitions = listed.collect();
        let unmerged = if is_synced { Vec::new() } else { services.to_vec() };
        let state = PeerTransitions {
            is_synced,
            through,
            known_since,
            active_version,
            transitions,
            unmerged,
        };
        control.progress.entry(from).or_default().state = Some(state);
        if is_synced {
            control.merge_transitions(services, known_since, self.stamp(now));
            control.rebase_ended_transitions(active_version, from);
            if control.view.is_synced {
                control.extend_known_range(known_since, through);
            }
            self.publish(control);
        }
        self.try_become_ready(control, now);
    }

    /// Ends the transitions of slots that their arbiter has announced as stable.
    pub(crate) fn handle_stable(&self, id: ServiceId, version: Revision, slots: &[u16]) {
        let mut control = self.control();
        let active = control.view.active_version;
        if !control.view.is_synced {
            // A state message sent before the end may still arrive.
            control.early_endings.extend(slots.iter().map(|slot| ((id, *slot), version)));
        }
        let Some(service) = control.view.service_mut(id) else { return };
        for slot in slots {
            let Some(transition) = service.transitions.get(slot).copied() else { continue };
            if transition.moved_version <= version && transition.moved_version <= active {
                service.transitions.remove(slot);
            } else if transition.moved_version <= version {
                service
                    .transitions
                    .insert(*slot, SlotTransition { ended_version: Some(version), ..transition });
            } else if transition.moved_version > version && transition.activated_at.is_none() {
                rebase_transition(service, *slot, version);
            }
        }
        self.publish(&control);
    }
}

/// Rebases the transition of a slot that was stable at `version` and that a prepared version moves
/// again.
fn rebase_transition(service: &mut ServiceView, slot: u16, version: Revision) {
    let base = service.table.as_ref().and_then(|table| table.target(slot));
    if let (Some(base), Some(transition)) = (base, service.transitions.get_mut(&slot)) {
        transition.base = base;
        transition.stable_version = version;
        transition.known_since = Revision(0);
    }
}

/// Whether the first of two statements of a slot's last stable version is more reliable. Each is a
/// pair of that version and its author's `known_since`: a slot that is stable only since
/// `known_since` may have been in transition already when the author first saw it.
fn is_more_reliable(new: (Revision, Revision), existing: (Revision, Revision)) -> bool {
    let is_certain = |(stable, known_since): (Revision, Revision)| stable > known_since;
    match (is_certain(new), is_certain(existing)) {
        (true, true) => new.0 > existing.0,
        (false, false) => new.1 < existing.1,
        (certain, _) => certain,
    }
}

impl Control {
    /// Merges the slots that a peer has in transition.
    pub fn merge_transitions(
        &mut self,
        services: &[(ServiceId, Vec<TransitionGroup>)],
        known_since: Revision,
        stamp: u32,
    ) {
        for (service, groups) in services {
            for group in groups {
                for slot in &group.slots {
                    self.merge_transition(*service, *slot, (group, known_since), stamp);
                }
            }
        }
    }

    fn merge_transition(
        &mut self,
        id: ServiceId,
        slot: u16,
        (group, known_since): (&TransitionGroup, Revision),
        stamp: u32,
    ) {
        let base =
            group.base.and_then(|base| self.view.targets.find(id, &base)).unwrap_or_default();
        let Some(service) = self.view.service(id) else { return };
        let active = self.view.active_version;
        if let Some(existing) = service.transitions.get(&slot).copied() {
            let moved_version = existing.moved_version.max(group.moved);
            let merged = if is_more_reliable(
                (group.stable, known_since),
                (existing.stable_version, existing.known_since),
            ) {
                SlotTransition {
                    base,
                    stable_version: group.stable,
                    known_since,
                    moved_version,
                    ..existing
                }
            } else {
                SlotTransition { moved_version, ..existing }
            };
            self.set_transition(id, slot, merged);
            return;
        }
        let [arbiter, _] = self.view.arbiter_candidates(id, slot, None);
        let current = service.table.as_ref().and_then(|table| table.target(slot));
        let received = SlotTransition {
            known_since,
            moved_version: group.moved,
            activated_at: (active >= group.moved).then_some(stamp),
            ..SlotTransition::new(base, group.stable, stamp, self.view.local_id)
        };
        if !self.view.is_synced {
            let mut transition = self.assign_initial_roles(id, slot, received);
            if transition.arbiter == self.view.local_id {
                let [previous, _] =
                    self.view.arbiter_candidates(id, slot, Some(self.view.local_id));
                transition.is_authoritative = false;
                transition.previous_arbiter = previous;
            }
            self.set_transition(id, slot, transition);
        } else if group.moved <= self.known_since {
            // This entry became synced without a peer that had applied the move.
            let transition = self.assign_initial_roles(id, slot, received);
            self.set_transition(id, slot, SlotTransition { was_arbiter: false, ..transition });
            self.scan_cursor = Some(0);
            self.pending_reports.clear();
        } else if arbiter == Some(self.view.local_id) && group.moved <= active {
            // The previous arbiter ended the transition here and not yet at the peer: end it again.
            let mut transition =
                SlotTransition::new(current.unwrap_or(base), active, stamp, self.view.local_id);
            transition.activated_at = Some(0);
            let transition = self.assign_initial_roles(id, slot, transition);
            self.set_transition(id, slot, transition);
        }
    }

    /// Rebases the slots of this arbiter that a synced peer no longer has in transition. The peer has
    /// their exceptions, so their unrecorded flows are new and must not go to the old base target.
    fn rebase_ended_transitions(&mut self, active: Revision, from: InstanceId) {
        let local_id = self.view.local_id;
        let state = self.progress.get(&from).and_then(|progress| progress.state.clone());
        let Some(state) = state else { return };
        let local_active = self.view.active_version;
        for service in self.view.services.values_mut() {
            let ended: Vec<u16> = service
                .transitions
                .iter()
                .filter(|(slot, m)| {
                    let awaits_handover = m.arbiter == local_id
                        && !m.is_authoritative
                        && m.moved_version <= local_active;
                    awaits_handover && state.has_ended((service.id, **slot), m.moved_version)
                })
                .map(|(slot, _)| *slot)
                .collect();
            for slot in ended {
                let service = std::sync::Arc::make_mut(service);
                rebase_transition(service, slot, active);
                if let Some(transition) = service.transitions.get_mut(&slot) {
                    transition.activated_at = Some(0);
                }
            }
        }
    }

    /// Drops the transitions that have ended at a synced peer that has applied their move. The
    /// peer has sent their exceptions.
    pub fn drop_ended_transitions(&mut self, peer_states: &BTreeMap<InstanceId, PeerTransitions>) {
        let early = std::mem::take(&mut self.early_endings);
        for service in self.view.services.values_mut() {
            let id = service.id;
            let is_ended = |slot: u16, moved_version: Revision| {
                if early.get(&(id, slot)).is_some_and(|version| *version >= moved_version) {
                    return true;
                }
                peer_states.values().any(|state| state.has_ended((id, slot), moved_version))
            };
            if service.transitions.iter().any(|(slot, m)| is_ended(*slot, m.moved_version)) {
                let transitions = &mut std::sync::Arc::make_mut(service).transitions;
                transitions.retain(|slot, m| !is_ended(*slot, m.moved_version));
            }
        }
        for progress in self.progress.values_mut() {
            progress.state = None;
        }
    }

    pub fn set_transition(&mut self, id: ServiceId, slot: u16, transition: SlotTransition) {
        if let Some(service) = self.view.service_mut(id) {
            service.transitions.insert(slot, transition);
        }
    }
}
