//! Changes from the control side: versions of the target sets, lost targets, withdrawn failure
//! domains, and the lease.

use crate::merge::PeerTransitions;
use crate::message::{Message, Outgoing};
use crate::report::{PendingEnd, PendingReport};
use crate::router::{FlowRouter, Peer};
use crate::sync::UnsyncedMove;
use crate::table::{SLOTS_PER_SERVICE, SlotTable};
use crate::targets::{ServiceTargets, Target, TargetKey, TargetRef, TargetSets, TargetSpec};
use crate::view::{ServiceView, SlotTransition, View};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision, ServiceId};
use comfreyhold_types::target::TargetState;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;

/// Upper limit of versions that are prepared and not active. Beyond it the oldest is dropped and its
/// activation fails as not prepared. Its slots stay in transition, so no flow is lost.
const MAX_PREPARED: usize = 16;

/// Why a version is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The version is not newer than the active one.
    #[error("version {version} is older than the active version {active}")]
    OldVersion {
        /// Version to prepare or activate.
        version: Revision,
        /// Active version.
        active: Revision,
    },
    /// The version to activate has not been prepared, or was dropped since.
    #[error("version {0} has not been prepared")]
    NotPrepared(Revision),
}

impl ControlError {
    /// Numbered result code of the error.
    #[must_use]
    pub fn code(self) -> ResultCode {
        match self {
            Self::OldVersion { .. } | Self::NotPrepared(_) => ResultCode::OldRevision,
        }
    }
}

/// Table of a service with the targets that it was computed from.
#[derive(Clone)]
pub(crate) struct ComputedTable {
    targets: Vec<(TargetKey, TargetSpec)>,
    pub table: Arc<SlotTable>,
}

/// A version that is prepared and not yet active.
pub(crate) struct PreparedVersion {
    sets: TargetSets,
    pub tables: BTreeMap<ServiceId, ComputedTable>,
}

/// What a peer has handed over and reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerProgress {
    /// Digest of the set of live entries for which the peer has handed over.
    pub marker: Option<u64>,
    pub state: Option<PeerTransitions>,
    /// The peer has reported its flows in slots moved up to this version.
    pub reported_through: Revision,
}

/// State of the control side. Its view is published for packet decisions after each change.
pub(crate) struct Control {
    pub view: View,
    pub prepared: BTreeMap<Revision, PreparedVersion>,
    active_tables: BTreeMap<ServiceId, ComputedTable>,
    /// Failure domains withdrawn ahead of the version that withdraws them, with that version.
    early_withdrawals: BTreeMap<DomainId, Revision>,
    pub previous_live_entries: Vec<Peer>,
    /// All peers have handed over for the current set of live entries.
    pub is_ready: bool,
    /// Last time that missing handovers were requested, or when they were first missing.
    pub last_sync_request: Option<Instant>,
    pub progress: BTreeMap<InstanceId, PeerProgress>,
    /// Record time at which a serving entry was last lost.
    pub last_loss_at: u32,
    /// Up to which version each lost entry had reported, with the record time of the loss.
    pub lost_entries: Vec<(Revision, u32)>,
    /// Next shard to scan for flows to report; `None` between scans.
    pub scan_cursor: Option<usize>,
    pub pending_reports: Vec<PendingReport>,
    /// This entry has reported its flows in slots moved up to this version.
    pub reported_through: Revision,
    /// Bytes that reports and exceptions may take now.
    pub report_tokens: i64,
    /// Bytes that refreshes may take now.
    pub refresh_tokens: i64,
    pub last_refill: Option<Instant>,
    pub sweep_cursor: usize,
    pub last_end_check: u32,
    pub pending_ends: Vec<PendingEnd>,
    pub draining_since: BTreeMap<SocketAddr, u32>,
    /// Once the entry is synced, it has applied all moves of slots by versions after this one.
    pub known_since: Revision,
    /// Moves by versions that were activated before this entry was synced.
    pub unsynced_moves: BTreeMap<(ServiceId, u16), UnsyncedMove>,
    /// Ends of transitions received before this entry was synced, with their versions.
    pub early_endings: BTreeMap<(ServiceId, u16), Revision>,
}

impl Control {
    pub fn new(view: View) -> Self {
        Self {
            view,
            prepared: BTreeMap::new(),
            active_tables: BTreeMap::new(),
            early_withdrawals: BTreeMap::new(),
            previous_live_entries: Vec::new(),
            is_ready: false,
            last_sync_request: None,
            progress: BTreeMap::new(),
            last_loss_at: 0,
            lost_entries: Vec::new(),
            scan_cursor: None,
            pending_reports: Vec::new(),
            reported_through: Revision(0),
            report_tokens: 0,
            refresh_tokens: 0,
            last_refill: None,
            sweep_cursor: 0,
            last_end_check: 0,
            pending_ends: Vec::new(),
            draining_since: BTreeMap::new(),
            known_since: Revision(0),
            unsynced_moves: BTreeMap::new(),
            early_endings: BTreeMap::new(),
        }
    }

    /// Newest version that is prepared or active.
    pub fn newest_version(&self) -> Revision {
        self.prepared.keys().next_back().copied().unwrap_or(self.view.active_version)
    }

    fn newest_tables(&self) -> &BTreeMap<ServiceId, ComputedTable> {
        self.prepared.values().next_back().map_or(&self.active_tables, |prepared| &prepared.tables)
    }

    fn update_targets(&mut self, sets: &TargetSets, stamp: u32) {
        let targets = Arc::make_mut(&mut self.view.targets);
        let mut listed = BTreeSet::new();
        for service in &sets.services {
            for spec in &service.targets {
                let is_withdrawn = sets.withdrawn.contains(&spec.domain)
                    || self.early_withdrawals.contains_key(&spec.domain);
                targets.upsert(service.service, *spec, is_withdrawn);
                listed.insert(spec.address);
                if spec.state == TargetState::Draining {
                    self.draining_since.entry(spec.address).or_insert(stamp);
                } else {
                    self.draining_since.remove(&spec.address);
                }
            }
        }
        targets.retain(&listed);
        self.draining_since.retain(|address, _| listed.contains(address));
        for domain in &sets.withdrawn {
            targets.withdraw_domain(*domain);
        }
    }

    /// Computes the table of a service, or returns the newest one if its targets are the same.
    fn compute_table(
        &self,
        version: Revision,
        sets: &TargetSets,
        service: &ServiceTargets,
    ) -> ComputedTable {
        let listed = service.targets.iter().filter_map(|spec| {
            let target_ref = TargetRef { address: spec.address, incarnation: spec.incarnation };
            let key = self.view.targets.find(service.service, &target_ref)?;
            let takes_flows =
                spec.state == TargetState::Serving && !sets.withdrawn.contains(&spec.domain);
            Some((key, TargetSpec { weight: if takes_flows { spec.weight } else { 0 }, ..*spec }))
        });
        let mut targets: Vec<_> = listed.collect();
        targets.sort_by_key(|(_, spec)| spec.address);
        let existing = self.newest_tables().get(&service.service);
        if let Some(existing) = existing.filter(|existing| existing.targets == targets) {
            return existing.clone();
        }
        let table = Arc::new(SlotTable::compute(service.service, version, &targets));
        ComputedTable { targets, table }
    }

    fn upsert_service(&mut self, service: &ServiceTargets) {
        self.view.service_addresses.insert(service.service, service.address);
        let existing =
            self.view.services.values().find(|existing| existing.id == service.service).cloned();
        let mut updated = existing.as_deref().cloned().unwrap_or_else(|| ServiceView {
            id: service.service,
            address: service.address,
            idle_timeout: service.idle_timeout,
            drain_time: service.drain_time,
            table: None,
            next_table: None,
            local_table: None,
            transitions: BTreeMap::new(),
        });
        if updated.address != service.address {
            self.view.services.remove(&updated.address);
        }
        updated.address = service.address;
        updated.idle_timeout = service.idle_timeout;
        updated.drain_time = service.drain_time;
        self.view.services.insert(service.address, Arc::new(updated));
    }

    /// Begins transitions of the slots that a new table moves to another target.
    fn begin_transitions(&mut self, id: ServiceId, version: Revision, new: &SlotTable, stamp: u32) {
        let Some(service) = self.view.service(id).cloned() else { return };
        let latest = self.newest_tables().get(&id).map(|computed| computed.table.clone());
        for slot in 0..SLOTS_PER_SERVICE as u16 {
            let usable_key = |table: &Option<Arc<SlotTable>>| {
                let key = table.as_ref()?.target(slot)?;
                self.view.usable_target(key, id).map(|_| key)
            };
            let (current, latest) = (usable_key(&service.table), usable_key(&latest));
            let changed = |old: Option<TargetKey>| old.is_some() && old != new.target(slot);
            if !changed(current) && !changed(latest) {
                continue;
            }
            let Some(base) = current.or(latest) else { continue };
            let existing = service.transitions.get(&slot).copied();
            let transition = existing.unwrap_or_else(|| {
                let transition =
                    SlotTransition::new(base, self.view.active_version, stamp, self.view.local_id);
                let known_since = self.known_since;
                self.assign_initial_roles(id, slot, SlotTransition { known_since, ..transition })
            });
            let moved_version = version.max(transition.moved_version);
            let transition = SlotTransition {
                moved_version,
                activated_at: None,
                ended_version: None,
                all_reported: false,
                ..transition
            };
            if let Some(service) = self.view.service_mut(id) {
                service.transitions.insert(slot, transition);
            }
        }
    }

    /// Begins transitions of the slots moved by versions that were prepared before this entry was
    /// synced.
    pub fn begin_prepared_transitions(&mut self, stamp: u32) {
        let prepared = self.prepared.iter().flat_map(|(version, prepared)| {
            let tables = prepared.tables.iter();
            tables.map(|(id, computed)| (*id, *version, computed.table.clone()))
        });
        for (id, version, table) in prepared.collect::<Vec<_>>() {
            self.begin_transitions(id, version, &table, stamp);
        }
    }

    fn set_next_tables(&mut self) {
        let newest = self.prepared.values().next_back();
        let tables: BTreeMap<ServiceId, Arc<SlotTable>> = newest
            .map(|prepared| prepared.tables.iter().map(|(id, c)| (*id, c.table.clone())).collect())
            .unwrap_or_default();
        for service in self.view.services.values_mut() {
            let next = tables.get(&service.id).cloned();
            Arc::make_mut(service).next_table = next;
        }
    }

    /// Replaces the active version. Transitions that have ended up to it are removed.
    fn install(&mut self, version: Revision, prepared: PreparedVersion, stamp: u32) {
        let declared: BTreeSet<ServiceId> = prepared.tables.keys().copied().collect();
        self.view.services.retain(|_, service| declared.contains(&service.id));
        self.view.service_addresses.retain(|id, _| declared.contains(id));
        for service in self.view.services.values_mut() {
            let service = Arc::make_mut(service);
            service.table = prepared.tables.get(&service.id).map(|c| c.table.clone());
            let local_id = self.view.local_id;
            let has_ended = |m: &SlotTransition| {
                m.arbiter != local_id && m.ended_version.is_some_and(|at| at >= m.moved_version)
            };
            service.transitions.retain(|_, m| !(has_ended(m) && m.moved_version <= version));
            for transition in service.transitions.values_mut() {
                if transition.moved_version <= version && transition.activated_at.is_none() {
                    transition.activated_at = Some(stamp);
                }
            }
        }
        self.early_withdrawals.retain(|_, since| *since > version);
        let mut withdrawn = prepared.sets.withdrawn.clone();
        withdrawn.extend(self.early_withdrawals.keys());
        withdrawn.extend(self.prepared.values().flat_map(|later| later.sets.withdrawn.iter()));
        Arc::make_mut(&mut self.view.targets).set_withdrawn_domains(&withdrawn);
        self.view.active_version = version;
        self.active_tables = prepared.tables;
    }

    fn build_local_tables(&mut self) {
        for (id, computed) in &self.active_tables {
            let local =
                computed.targets.iter().filter(|(_, spec)| spec.domain == self.view.local_domain);
            let local: Vec<_> = local.copied().collect();
            let table = Arc::new(SlotTable::compute(*id, self.view.active_version, &local));
            if let Some(service) = self.view.service_mut(*id) {
                service.local_table = Some(table);
            }
        }
    }
}

impl SlotTransition {
    /// A transition that no version has moved yet, with the local entry as arbiter.
    pub fn new(
        base: TargetKey,
        stable_version: Revision,
        began_at: u32,
        local_id: InstanceId,
    ) -> Self {
        Self {
            base,
            stable_version,
            known_since: Revision(0),
            moved_version: stable_version,
            began_at,
            activated_at: None,
            ended_version: None,
            arbiter: local_id,
            backup: None,
            is_authoritative: false,
            was_arbiter: false,
            previous_arbiter: None,
            all_reported: false,
        }
    }
}

impl FlowRouter {
    /// Prepares a version without activating it: slots whose target changes are in transition from
    /// now on. Once this returns, the prepare may be confirmed.
    ///
    /// # Errors
    /// The version is not newer than the active one. Preparing a version twice is no error.
    pub fn prepare(
        &self,
        version: Revision,
        sets: &TargetSets,
        now: Instant,
    ) -> Result<(), ControlError> {
        let mut control = self.control();
        let active = control.view.active_version;
        if version <= active && active != Revision(0) {
            return Err(ControlError::OldVersion { version, active });
        }
        if control.prepared.contains_key(&version) {
            return Ok(());
        }
        let stamp = self.stamp(now);
        // Prepares may arrive out of order; the newest one decides which targets exist.
        if control.prepared.is_empty() || version > control.newest_version() {
            control.update_targets(sets, stamp);
        }
        let mut tables = BTreeMap::new();
        for service in &sets.services {
            let computed = control.compute_table(version, sets, service);
            control.upsert_service(service);
            if control.view.is_synced {
                control.begin_transitions(service.service, version, &computed.table, stamp);
            }
            tables.insert(service.service, computed);
        }
        control.prepared.insert(version, PreparedVersion { sets: sets.clone(), tables });
        while control.prepared.len() > MAX_PREPARED {
            control.prepared.pop_first();
        }
        control.set_next_tables();
        control.scan_cursor = Some(0);
        control.pending_reports.clear();
        self.publish(&control);
        Ok(())
    }

    /// Activates a prepared version.
    ///
    /// # Errors
    /// The version is older than the active one, or has not been prepared.
    pub fn activate(&self, version: Revision, now: Instant) -> Result<(), ControlError> {
        let mut control = self.control();
        let active = control.view.active_version;
        if version == active {
            return Ok(());
        }
        if version < active {
            return Err(ControlError::OldVersion { version, active });
        }
        let prepared =
            control.prepared.remove(&version).ok_or(ControlError::NotPrepared(version))?;
        control.prepared.retain(|other, _| *other > version);
        if active == Revision(0) {
            control.known_since = version;
        } else if !control.view.is_synced {
            control.record_unsynced_moves(version, &prepared);
        }
        control.install(version, prepared, self.stamp(now));
        control.set_next_tables();
        if control.view.is_isolated {
            control.build_local_tables();
        }
        if active == Revision(0) {
            self.request_state_again(&mut control);
        }
        self.publish(&control);
        self.try_become_ready(&mut control, now);
        Ok(())
    }

    /// Stops sending to a failure domain at once and ends its flows. It stays withdrawn until a
    /// version of at least `since` is activated that does not withdraw it.
    pub fn withdraw_domain(&self, domain: DomainId, since: Revision) {
        let mut control = self.control();
        if since <= control.view.active_version {
            return;
        }
        control.early_withdrawals.insert(domain, since);
        Arc::make_mut(&mut control.view.targets).withdraw_domain(domain);
        self.publish(&control);
    }

    /// Ends the flows of another service whose target had the address of `target` before, without waiting for the next
    /// version. `service` is that of `target`; `None` if it is not declared. Flows of a former incarnation of the same service
    /// are left to the target.
    pub fn end_flows_of_former_service(&self, target: &TargetRef, service: Option<ServiceId>) {
        let mut control = self.control();
        let existing = control.view.targets.get_by_address(target.address);
        let is_former = |existing: &Target| {
            existing.spec.incarnation < target.incarnation && Some(existing.service) != service
        };
        if existing.is_some_and(is_former) {
            Arc::make_mut(&mut control.view.targets).remove(target.address);
            self.publish(&control);
        }
    }

    /// Ends the flows of a target up to an incarnation without waiting for the next version: its
    /// lease has expired.
    pub fn end_target_flows(&self, address: SocketAddr, incarnation: Incarnation) {
        let mut control = self.control();
        let existing = control.view.targets.get_by_address(address);
        if existing.is_some_and(|target| target.spec.incarnation <= incarnation) {
            Arc::make_mut(&mut control.view.targets).remove(address);
            self.publish(&control);
        }
    }

    /// Requests the peers' slots in transition again: what they sent before the first version was
    /// active could not be applied.
    fn request_state_again(&self, control: &mut Control) {
        control.progress.values_mut().for_each(|progress| progress.state = None);
        for peer in control.view.peers() {
            self.outbox().queue_barrier(peer, Message::Sync);
        }
    }

    /// Isolates this entry after its lease has expired: from now on it sends only to targets of the
    /// local failure domain.
    pub fn isolate(&self) {
        let mut control = self.control();
        control.view.is_isolated = true;
        control.view.is_synced = false;
        control.build_local_tables();
        self.publish(&control);
    }

    /// Ends the isolation after the lease was regained. Transitions may have begun and ended
    /// meanwhile, so the state is requested from all peers, and packets of unrecorded flows go
    /// through them until they have responded. The slots in transition are kept: after an outage of
    /// the control daemons all entries regain their leases together, and no peer has more state.
    pub fn end_isolation(&self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut control = self.control();
        control.view.is_isolated = false;
        control.view.is_synced = false;
        control.is_ready = false;
        control.pending_ends.clear();
        control.early_endings.clear();
        control.known_since = control.view.active_version;
        control.reset_transitions(self.stamp(now));
        for progress in control.progress.values_mut() {
            progress.marker = None;
            progress.state = None;
        }
        self.publish(&control);
        for peer in control.view.peers() {
            self.outbox().send_reliable(peer, Message::Sync, now, out);
        }
        self.try_become_ready(&mut control, now);
    }
}
