//! Carries out the actions of an entry's membership cores when a member, a target, the lease or the
//! declarations change.

use crate::entry::{Entry, MembershipState};
use crate::entry_roles::EntryRoles;
use crate::entry_view::EntryView;
use crate::peers;
use comfreyhold_flow::targets::TargetRef;
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

/// Time that a starting entry allows for replies to its first probes: two rounds.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);

impl Entry {
    pub(crate) fn apply_detector_actions(
        &self,
        members: &mut MembershipState,
        actions: Vec<DetectorAction>,
    ) {
        for action in actions {
            match action {
                DetectorAction::Send { to, message } => {
                    self.cx.send(to, Topic::Detector, &message);
                }
                DetectorAction::Changed { change, member } => {
                    peers::record_member_change(&self.cx, change, &member);
                    self.handle_member_change(members, change, member.id, member.rank.incarnation);
                    let is_alive_again =
                        matches!(change, MemberChange::Alive | MemberChange::Restarted);
                    let is_recovered = members.installer.is_recovered();
                    if is_alive_again && is_recovered && member.role == MemberRole::Control {
                        self.send_revision(members, member.id);
                    }
                }
                DetectorAction::Superseded(newer) => peers::stop_superseded(&self.cx, newer),
            }
        }
    }

    fn handle_member_change(
        &self,
        members: &mut MembershipState,
        change: MemberChange,
        id: InstanceId,
        incarnation: Incarnation,
    ) {
        members.is_view_outdated = true;
        match change {
            MemberChange::Alive | MemberChange::Restarted => {
                members.lease_drop_times.remove(&id);
                members.left.remove(&id);
                if change == MemberChange::Restarted {
                    members.leaving.remove(&id);
                    members.restarted.insert(id, self.cx.now());
                    self.requests.handle_entry_restart(id);
                    members.registry.on_peer_restarted(self.cx.now(), id, incarnation);
                }
            }
            MemberChange::Dead => {
                members.leaving.remove(&id);
                members.lease_drop_times.insert(id, self.cx.now() + ENTRY_GRACE);
            }
            MemberChange::Left => {
                members.left.insert(id);
                members.leaving.remove(&id);
                members.lease_drop_times.insert(id, self.cx.now() + ENTRY_GRACE);
            }
            MemberChange::Suspected => {}
        }
    }

    pub(crate) fn apply_registry_actions(
        &self,
        members: &mut MembershipState,
        actions: Vec<RegistryAction>,
    ) {
        for action in actions {
            match action {
                RegistryAction::Send { to, message } => self.cx.send(to, Topic::Registry, &message),
                RegistryAction::Changed(kind, target) => {
                    members.is_view_outdated = true;
                    peers::record_target_change(&self.cx, kind, &target);
                    self.end_stale_flows(members, kind, &target);
                }
            }
        }
    }

    /// Ends flows to another service that had the address of a target before. An isolated entry also ends the flows of a
    /// lost target.
    fn end_stale_flows(&self, members: &MembershipState, kind: EventKind, target: &TargetRecord) {
        let isolated = !members.installer.has_lease(self.cx.now());
        match kind {
            EventKind::TargetLost if isolated => {
                self.packets.end_target_flows(target.address, target.incarnation);
            }
            EventKind::TargetJoined => {
                let view = self.view();
                let service = view.declared.services.get(&target.service).map(|known| known.id);
                let target = TargetRef { address: target.address, incarnation: target.incarnation };
                self.packets.end_flows_of_former_service(&target, service);
            }
            _ => {}
        }
    }

    pub(crate) fn apply_install_actions(
        &self,
        members: &mut MembershipState,
        actions: Vec<InstallAction>,
    ) {
        for action in actions {
            match action {
                InstallAction::Send { to, message } => self.cx.send(to, Topic::Rollout, &message),
                InstallAction::Prepare(state) => {
                    let local_targets = members.registry.local_domain_targets();
                    self.packets.prepare(&state, local_targets);
                    self.cx
                        .record(EventKind::Prepared, &[("revision", state.revision.0.to_string())]);
                }
                InstallAction::Activate(state) => self.activate_revision(members, &state),
                InstallAction::Recovered => members.is_view_outdated = true,
                InstallAction::LeaseRegained => {
                    members.is_view_outdated = true;
                    members.registry.resend_all();
                    self.packets.set_isolated(false);
                    self.cx.record(EventKind::LeaseRegained, &[]);
                }
                InstallAction::LeaseLost => {
                    members.is_view_outdated = true;
                    self.packets.set_isolated(true);
                    self.cx.record(EventKind::LeaseLost, &[]);
                }
            }
        }
    }

    fn activate_revision(&self, members: &mut MembershipState, state: &Arc<Declarations>) {
        members.is_view_outdated = true;
        self.packets.activate(state.revision);
        self.cx.set_position(members.installer.term(), state.revision);
        metrics::gauge!("comfreyhold_revision").set(state.revision.0 as f64);
        self.cx.record(EventKind::Activated, &[("revision", state.revision.0.to_string())]);
        let previous_view = self.view();
        for domain in self.cx.settings.domains.keys() {
            let new_state = state.domains.get(domain).copied().unwrap_or_default();
            if previous_view.domain_state(*domain) != new_state {
                let kind = match new_state {
                    DomainState::Out => EventKind::DomainOut,
                    DomainState::In => EventKind::DomainIn,
                };
                self.cx.record(kind, &[("domain", domain.to_string())]);
            }
        }
        // The activation is confirmed to the leader only after the new state applies to requests.
        self.refresh_view(members);
    }

    /// Rebuilds the view if something changed, and passes it and the live entries to the drivers.
    pub(crate) fn refresh_view(&self, members: &mut MembershipState) {
        if !std::mem::take(&mut members.is_view_outdated) {
            return;
        }
        let roles = self.current_roles(members);
        let term = members.installer.term();
        if std::mem::replace(&mut members.synced_term, term) != term {
            members.registry.resend_all();
        }
        let declared = Arc::clone(members.installer.active());
        let announced = members.registry.targets().iter();
        let view = Arc::new(EntryView::new(declared, announced, roles.isolated));
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&view);
        members.registry.set_peers(registry_peers(&roles, members.installer.leader()));
        self.connection_pool.retain(|target| view.has_target(target));
        if members.peers_discovered {
            self.packets.set_peers(&flow_peers(&roles, members, self.cx.incarnation));
        }
        self.requests.update(&roles, &view);
    }

    /// Checks once whether the failure detector has had time to find the other entries. If the flow router
    /// were given this entry as the only live one, it would decide about every slot in transition without
    /// the others' records.
    pub(crate) fn check_peer_discovery(&self, members: &mut MembershipState, now: Instant) {
        let had_time = now >= members.started_at + PEER_DISCOVERY_TIME;
        if !members.peers_discovered && had_time && members.installer.has_lease(now) {
            members.peers_discovered = true;
            members.is_view_outdated = true;
        }
    }

    fn current_roles(&self, members: &MembershipState) -> EntryRoles {
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

/// Live entries as peers of the flow router, in the order of their instance numbers.
fn flow_peers(
    roles: &EntryRoles,
    members: &MembershipState,
    local_incarnation: Incarnation,
) -> Vec<Peer> {
    let incarnations: BTreeMap<InstanceId, Incarnation> =
        members.detector.live().map(|member| (member.id, member.rank.incarnation)).collect();
    let peer = |id: &InstanceId| Peer {
        id: *id,
        incarnation: incarnations.get(id).copied().unwrap_or(local_incarnation),
        state: if roles.leaving.contains(id) { PeerState::Leaving } else { PeerState::Serving },
    };
    roles.live.keys().map(peer).collect()
}

/// Receivers of registry messages: the live entries of the local domain, and the leader.
fn registry_peers(roles: &EntryRoles, leader: Option<InstanceId>) -> BTreeSet<InstanceId> {
    let neighbours = roles.live.iter().filter(|(_, domain)| **domain == roles.local_domain);
    neighbours.map(|(id, _)| *id).chain(leader).collect()
}
