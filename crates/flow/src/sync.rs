//! Synchronization of the slots in transition: an entry collects them from its peers and from the
//! versions that were activated while it waited for them.

use crate::control::{Control, PreparedVersion};
use crate::merge::PeerTransitions;
use crate::router::FlowRouter;
use crate::table::SLOTS_PER_SERVICE;
use crate::targets::TargetKey;
use crate::view::SlotTransition;
use comfreyhold_types::keys::{InstanceId, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Move of a slot by a version that was activated while the entry was not synced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnsyncedMove {
    base: TargetKey,
    stable_version: Revision,
    moved_version: Revision,
}

impl Control {
    /// Records the slots moved by a version that is about to be activated.
    pub fn record_unsynced_moves(&mut self, version: Revision, prepared: &PreparedVersion) {
        for (id, computed) in &prepared.tables {
            let Some(service) = self.view.service(*id) else { continue };
            let Some(table) = service.table.clone() else { continue };
            for slot in 0..SLOTS_PER_SERVICE as u16 {
                let Some(base) = table.target(slot) else { continue };
                if computed.table.target(slot) == Some(base) {
                    continue;
                }
                let stable_version = self.view.active_version;
                let first = UnsyncedMove { base, stable_version, moved_version: version };
                self.unsynced_moves.entry((*id, slot)).or_insert(first).moved_version = version;
            }
        }
    }

    /// Begins transitions of the slots that moved while this entry waited for its peers.
    fn begin_unsynced_transitions(
        &mut self,
        peer_states: &BTreeMap<InstanceId, PeerTransitions>,
        stamp: u32,
    ) {
        let known_since = self.known_since;
        for ((id, slot), unsynced_move) in std::mem::take(&mut self.unsynced_moves) {
            let Some(service) = self.view.service(id) else { continue };
            if let Some(known) = service.transitions.get(&slot).copied() {
                let moved_version = known.moved_version.max(unsynced_move.moved_version);
                self.set_transition(id, slot, SlotTransition { moved_version, ..known });
                continue;
            }
            if peer_states
                .values()
                .any(|state| state.has_ended((id, slot), unsynced_move.moved_version))
            {
                continue;
            }
            let local_id = self.view.local_id;
            let transition = SlotTransition {
                moved_version: unsynced_move.moved_version,
                activated_at: Some(stamp),
                known_since,
                ..SlotTransition::new(
                    unsynced_move.base,
                    unsynced_move.stable_version,
                    stamp,
                    local_id,
                )
            };
            let transition = self.assign_initial_roles(id, slot, transition);
            self.set_transition(id, slot, transition);
        }
    }

    /// Whether a peer may lack slots that are in transition here, because it became synced without
    /// this entry.
    fn may_lack_transitions(&self, state: &PeerTransitions) -> bool {
        let mut services = self.view.services.values();
        !state.is_synced
            || state.known_since > self.known_since
            || services
                .any(|s| s.transitions.keys().any(|slot| !state.is_in_transition((s.id, *slot))))
    }

    /// Keeps the slots in transition after the lease was lost and regained, but resets their roles
    /// and reports. The state of synced peers has precedence.
    pub fn reset_transitions(&mut self, stamp: u32) {
        let active = self.view.active_version;
        for service in self.view.services.values_mut() {
            for transition in Arc::make_mut(service).transitions.values_mut() {
                *transition = SlotTransition {
                    began_at: stamp,
                    activated_at: (transition.moved_version <= active).then_some(stamp),
                    ended_version: None,
                    is_authoritative: false,
                    was_arbiter: false,
                    previous_arbiter: None,
                    all_reported: false,
                    ..*transition
                };
            }
        }
    }

    /// Extends the range of versions known here by that of a peer, if there is no gap between them.
    pub fn extend_known_range(&mut self, known_since: Revision, through: Revision) {
        if self.known_since <= through {
            self.known_since = self.known_since.min(known_since);
        }
    }
}

impl FlowRouter {
    /// Becomes synced once all peers have responded: merges their slots in transition, and sends the
    /// result to the peers that may lack some.
    pub(crate) fn become_synced(&self, control: &mut Control, now: Instant) {
        let stamp = self.stamp(now);
        let peer_states =
            control.progress.iter().filter_map(|(id, p)| Some((*id, p.state.clone()?)));
        let peer_states: BTreeMap<InstanceId, PeerTransitions> = peer_states.collect();
        control.drop_ended_transitions(&peer_states);
        if !peer_states.values().any(|state| state.is_synced) {
            // All entries lost their leases together, and each has kept its slots in transition.
            for state in peer_states.values() {
                control.merge_transitions(&state.unmerged, state.known_since, stamp);
            }
        }
        for state in peer_states.values().filter(|state| state.is_synced) {
            control.extend_known_range(state.known_since, state.through);
        }
        control.begin_unsynced_transitions(&peer_states, stamp);
        control.begin_prepared_transitions(stamp);
        control.view.is_synced = true;
        control.scan_cursor = Some(0);
        let uninformed = |peer: &InstanceId| {
            peer_states.get(peer).is_none_or(|s| control.may_lack_transitions(s))
        };
        let uninformed: Vec<_> = control.view.peers().filter(uninformed).collect();
        if uninformed.is_empty() {
            return;
        }
        let state = control.state_message();
        for peer in uninformed {
            self.outbox().queue_barrier(peer, state.clone());
        }
    }
}
