//! How an entry comes to know of all slots in transition: from its peers, and from the versions that were
//! put in force while it waited for them.

use crate::control::{Control, Prepared};
use crate::merge::PeerSlots;
use crate::router::FlowRouter;
use crate::table::SLOTS_PER_SERVICE;
use crate::targets::TargetKey;
use crate::view::Moving;
use comfreyhold_types::keys::{InstanceId, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// A slot that moved while the entry was not synced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlierMove {
    base: TargetKey,
    stable: Revision,
    moved: Revision,
}

impl Control {
    /// Remembers the slots that a version moves which is about to be in force.
    pub fn note_earlier_moves(&mut self, version: Revision, prepared: &Prepared) {
        for (id, computed) in &prepared.tables {
            let Some(service) = self.view.service(*id) else { continue };
            let Some(table) = service.table.clone() else { continue };
            for slot in 0..SLOTS_PER_SERVICE as u16 {
                let Some(base) = table.target(slot) else { continue };
                if computed.table.target(slot) == Some(base) {
                    continue;
                }
                let stable = self.view.active;
                let first = EarlierMove { base, stable, moved: version };
                self.earlier_moves.entry((*id, slot)).or_insert(first).moved = version;
            }
        }
    }

    /// Puts the slots in transition that moved while this entry waited for its peers.
    fn begin_earlier_moves(&mut self, told: &BTreeMap<InstanceId, PeerSlots>, stamp: u32) {
        let known_since = self.known_since;
        for ((id, slot), earlier) in std::mem::take(&mut self.earlier_moves) {
            let Some(service) = self.view.service(id) else { continue };
            if let Some(known) = service.moving.get(&slot).copied() {
                let moved = known.moved.max(earlier.moved);
                self.set_moving(id, slot, Moving { moved, ..known });
                continue;
            }
            if told.values().any(|state| state.has_ended((id, slot), earlier.moved)) {
                continue;
            }
            let me = self.view.me;
            let moving = Moving {
                moved: earlier.moved,
                active_at: Some(stamp),
                known_since,
                ..Moving::new(earlier.base, earlier.stable, stamp, me)
            };
            let moving = self.assign_new(id, slot, moving);
            self.set_moving(id, slot, moving);
        }
    }

    /// Whether a peer may not know of all slots in transition here: it became synced without this entry.
    fn knows_more(&self, state: &PeerSlots) -> bool {
        let mut services = self.view.services.values();
        !state.synced
            || state.known_since > self.known_since
            || services.any(|s| s.moving.keys().any(|slot| !state.lists((s.id, *slot))))
    }

    /// Keeps the slots in transition over the loss of a lease. Their roles and reports start over, and the
    /// peers' knowledge goes first.
    pub fn retain_moving(&mut self, stamp: u32) {
        let active = self.view.active;
        for service in self.view.services.values_mut() {
            for moving in Arc::make_mut(service).moving.values_mut() {
                *moving = Moving {
                    since: stamp,
                    active_at: (moving.moved <= active).then_some(stamp),
                    ended: None,
                    sure: false,
                    former: false,
                    previous: None,
                    reported: false,
                    ..*moving
                };
            }
        }
    }

    /// Extends what is known here by what a peer knows, if there is no gap between the two.
    pub fn extend_knowledge(&mut self, known_since: Revision, through: Revision) {
        if self.known_since <= through {
            self.known_since = self.known_since.min(known_since);
        }
    }
}

impl FlowRouter {
    /// All peers have answered: this entry decides by itself from now on.
    pub(crate) fn become_synced(&self, control: &mut Control, now: Instant) {
        let stamp = self.stamp(now);
        let told = control.progress.iter().filter_map(|(id, p)| Some((*id, p.state.clone()?)));
        let told: BTreeMap<InstanceId, PeerSlots> = told.collect();
        control.drop_ended(&told);
        if !told.values().any(|state| state.synced) {
            // After a common loss of leases, each entry has kept what it knew.
            for state in told.values() {
                control.merge_slots(&state.unmerged, state.known_since, stamp);
            }
        }
        for state in told.values().filter(|state| state.synced) {
            control.extend_knowledge(state.known_since, state.through);
        }
        control.begin_earlier_moves(&told, stamp);
        control.begin_prepared_moves(stamp);
        control.view.synced = true;
        control.scan = Some(0);
        let uninformed = |peer: &InstanceId| told.get(peer).is_none_or(|s| control.knows_more(s));
        let uninformed: Vec<_> = control.view.others().filter(uninformed).collect();
        if uninformed.is_empty() {
            return;
        }
        let state = control.state();
        for peer in uninformed {
            self.outbox().barrier(peer, state.clone());
        }
    }
}
