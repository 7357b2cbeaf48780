//! What an entry does when a member, a target, the lease or the declarations change.

use crate::entry::{Entry, Members};
use crate::entry_roles::EntryRoles;
use crate::entry_view::EntryView;
use crate::peers;
use comfreyhold_flow::{Peer, PeerState};
use comfreyhold_membership::collector::ENTRY_GRACE;
use comfreyhold_membership::detector::{DetectorAction, MemberChange};
use comfreyhold_membership::installer::InstallAction;
use comfreyhold_membership::members::MemberRole;
use comfreyhold_membership::registry::RegistryAction;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::Topic;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Time that a starting entry gives the others to answer its first probes: two rounds.
const PEER_DISCOVERY: Duration = Duration::from_secs(1);

impl Entry {
    pub(crate) fn on_detector(&self, members: &mut Members, actions: Vec<DetectorAction>) {
        for action in actions {
            match action {
                DetectorAction::Send { to, message } => {
                    self.cx.send(to, Topic::Detector, &message);
                }
                DetectorAction::Changed { change, member } => {
                    peers::record_member_change(&self.cx, change, &member);
                    self.on_change(members, change, member.id, member.rank.incarnation);
                    let is_back = matches!(change, MemberChange::Alive | MemberChange::Restarted);
                    let is_recovered = members.installer.is_recovered();
                    if is_back && is_recovered && member.role == MemberRole::Control {
                        self.send_held(members, member.id);
                    }
                }
                DetectorAction::Superseded(newer) => peers::stop_superseded(&self.cx, newer),
            }
        }
    }

    fn on_change(
        &self,
        members: &mut Members,
        change: MemberChange,
        id: InstanceId,
        incarnation: Incarnation,
    ) {
        members.changed = true;
        match change {
            MemberChange::Alive | MemberChange::Restarted => {
                members.lost_entries.remove(&id);
                members.left.remove(&id);
                if change == MemberChange::Restarted {
                    members.leaving.remove(&id);
                    members.restarted.insert(id, self.cx.now());
                    self.requests.entry_restarted(id);
                    members.registry.on_peer_restarted(self.cx.now(), id, incarnation);
                }
            }
            MemberChange::Dead => {
                members.leaving.remove(&id);
                members.lost_entries.insert(id, self.cx.now() + ENTRY_GRACE);
            }
            MemberChange::Left => {
                members.left.insert(id);
                members.leaving.remove(&id);
                members.lost_entries.insert(id, self.cx.now() + ENTRY_GRACE);
            }
            MemberChange::Suspected => {}
        }
    }

    pub(crate) fn on_registry(&self, members: &mut Members, actions: Vec<RegistryAction>) {
        for action in actions {
            match action {
                RegistryAction::Send { to, message } => self.cx.send(to, Topic::Registry, &message),
                RegistryAction::Changed(kind, target) => {
                    members.changed = true;
                    peers::record_target_change(&self.cx, kind, &target);
                    self.end_old_flows(members, kind, &target);
                }
            }
        }
    }

    /// Ends flows that a target can no longer have: those of an earlier start, or of another service
    /// that had the address before. An isolated entry also ends those of a lost target.
    fn end_old_flows(&self, members: &Members, kind: EventKind, target: &TargetRecord) {
        let isolated = !members.installer.has_lease(self.cx.now());
        match kind {
            EventKind::TargetLost if isolated => {
                self.packets.target_lost(target.address, target.incarnation);
            }
            EventKind::TargetJoined => {
                let earlier = Incarnation(target.incarnation.0.saturating_sub(1));
                self.packets.target_lost(target.address, earlier);
            }
            _ => {}
        }
    }

    pub(crate) fn on_installer(&self, members: &mut Members, actions: Vec<InstallAction>) {
        for action in actions {
            match action {
                InstallAction::Send { to, message } => self.cx.send(to, Topic::Rollout, &message),
                InstallAction::Prepare(state) => {
                    let kept = members.registry.local_domain_targets();
                    self.packets.prepare(&state, kept);
                    self.cx
                        .record(EventKind::Prepared, &[("revision", state.revision.0.to_string())]);
                }
                InstallAction::Activate(state) => self.on_activate(members, &state),
                InstallAction::Recovered => members.changed = true,
                InstallAction::LeaseRegained => {
                    members.changed = true;
                    members.registry.resend_all();
                    self.packets.set_isolated(false);
                    self.cx.record(EventKind::LeaseRegained, &[]);
                }
                InstallAction::LeaseLost => {
                    members.changed = true;
                    self.packets.set_isolated(true);
                    self.cx.record(EventKind::LeaseLost, &[]);
                }
            }
        }
    }

    fn on_activate(&self, members: &mut Members, state: &Arc<Declarations>) {
        members.changed = true;
        self.packets.activate(state.revision);
        self.cx.set_position(members.installer.term(), state.revision);
        metrics::gauge!("comfreyhold_revision").set(state.revision.0 as f64);
        self.cx.record(EventKind::Activated, &[("revision", state.revision.0.to_string())]);
        let before = self.view();
        for domain in self.cx.settings.domains.keys() {
            let now_state = state.domains.get(domain).copied().unwrap_or_default();
            if before.domain_state(*domain) != now_state {
                let kind = match now_state {
                    DomainState::Out => EventKind::DomainOut,
                    DomainState::In => EventKind::DomainIn,
                };
                self.cx.record(kind, &[("domain", domain.to_string())]);
            }
        }
        // Responses to the leader depend on the new state being in effect for requests.
        self.refresh(members);
    }

    /// Passes the current view and live entries on, when they changed.
    pub(crate) fn refresh(&self, members: &mut Members) {
        if !std::mem::take(&mut members.changed) {
            return;
        }
        let roles = self.roles(members);
        let term = members.installer.term();
        if std::mem::replace(&mut members.reported_term, term) != term {
            members.registry.resend_all();
        }
        let declared = Arc::clone(members.installer.active());
        let announced = members.registry.targets().iter();
        let view = Arc::new(EntryView::new(declared, announced, roles.isolated));
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&view);
        members.registry.set_peers(registry_peers(&roles, members.installer.leader()));
        self.pool.retain(|target| view.has_target(target));
        if members.peers_known {
            self.packets.set_peers(&flow_peers(&roles, members, self.cx.incarnation));
        }
        self.requests.update(&roles, &view);
    }

    /// Notes once that the failure detector had time to find the other entries. A packet side that is told
    /// of itself alone would decide about every slot in transition without the others' records.
    pub(crate) fn note_known_peers(&self, members: &mut Members, now: Instant) {
        let had_time = now >= members.started + PEER_DISCOVERY;
        if !members.peers_known && had_time && members.installer.has_lease(now) {
            members.peers_known = true;
            members.changed = true;
        }
    }

    fn roles(&self, members: &Members) -> EntryRoles {
        let entries = members.detector.live().filter(|member| member.role == MemberRole::Entry);
        let mut live: BTreeMap<InstanceId, DomainId> =
            entries.map(|member| (member.id, member.domain)).collect();
        live.insert(self.cx.instance(), self.cx.member.domain);
        EntryRoles {
            instance: self.cx.instance(),
            local_domain: self.cx.member.domain,
            leaving: members.leaving.iter().copied().filter(|id| live.contains_key(id)).collect(),
            live,
            left: members.left.clone(),
            restarted: members.restarted.clone(),
            isolated: !members.installer.has_lease(self.cx.now()),
        }
    }
}

/// Live entries as the packet side sees them, in order.
fn flow_peers(roles: &EntryRoles, members: &Members, own: Incarnation) -> Vec<Peer> {
    let starts: BTreeMap<InstanceId, Incarnation> =
        members.detector.live().map(|member| (member.id, member.rank.incarnation)).collect();
    let peer = |id: &InstanceId| Peer {
        id: *id,
        incarnation: starts.get(id).copied().unwrap_or(own),
        state: if roles.leaving.contains(id) { PeerState::Leaving } else { PeerState::Serving },
    };
    roles.live.keys().map(peer).collect()
}

/// The live entries of the own domain and the leader.
fn registry_peers(roles: &EntryRoles, leader: Option<InstanceId>) -> BTreeSet<InstanceId> {
    let neighbours = roles.live.iter().filter(|(_, domain)| **domain == roles.local_domain);
    neighbours.map(|(id, _)| *id).chain(leader).collect()
}
