//! Events of the control side: versions, targets, failure domains and the lease.

use crate::merge::PeerSlots;
use crate::message::{Message, Outgoing};
use crate::report::{Ending, Pending};
use crate::router::{FlowRouter, Peer};
use crate::sync::EarlierMove;
use crate::table::{SLOTS_PER_SERVICE, SlotTable};
use crate::targets::{ServiceTargets, TargetKey, TargetRef, TargetSets, TargetSpec};
use crate::view::{Moving, ServiceView, View};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision, ServiceId};
use comfreyhold_types::target::TargetState;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;

/// Most versions that are prepared and not in force. Activating an older one is then refused as not
/// prepared; its slots stay in transition, so no flow is lost by it.
const MAX_PREPARED: usize = 16;

/// Why an event is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The version is not newer than the one in force.
    #[error("version {version} is older than {active}, which is in force")]
    OldVersion {
        /// The version of the event.
        version: Revision,
        /// The version in force.
        active: Revision,
    },
    /// The version to activate has not been prepared.
    #[error("version {0} has not been prepared")]
    NotPrepared(Revision),
}

impl ControlError {
    /// The numbered result.
    #[must_use]
    pub fn code(self) -> ResultCode {
        match self {
            Self::OldVersion { .. } | Self::NotPrepared(_) => ResultCode::OldRevision,
        }
    }
}

/// Table of a service with what it was computed from.
#[derive(Clone)]
pub(crate) struct Computed {
    targets: Vec<(TargetKey, TargetSpec)>,
    pub table: Arc<SlotTable>,
}

/// A version that is prepared and not yet in force.
pub(crate) struct Prepared {
    sets: TargetSets,
    pub tables: BTreeMap<ServiceId, Computed>,
}

/// What a peer has told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub marker: Option<u64>,
    pub state: Option<PeerSlots>,
    pub reported: Revision,
}

/// State of the control side.
pub(crate) struct Control {
    pub view: View,
    pub prepared: BTreeMap<Revision, Prepared>,
    active_tables: BTreeMap<ServiceId, Computed>,
    out_now: BTreeMap<DomainId, Revision>,
    pub previous_live: Vec<Peer>,
    pub ready: bool,
    /// Last time that missing hand-overs were asked for, or when they were first missing.
    pub asked: Option<Instant>,
    pub progress: BTreeMap<InstanceId, Progress>,
    pub last_loss: u32,
    /// What lost entries had reported, with the time of the loss.
    pub lost: Vec<(Revision, u32)>,
    pub scan: Option<usize>,
    pub pending: Vec<Pending>,
    pub reported: Revision,
    /// Bytes that reports and exceptions may take now.
    pub tokens: i64,
    /// Bytes that refreshes may take now.
    pub refresh_tokens: i64,
    pub refilled: Option<Instant>,
    pub sweep: usize,
    pub checked: u32,
    pub endings: Vec<Ending>,
    pub draining: BTreeMap<SocketAddr, u32>,
    /// Moves by later versions are all known here, once the entry is synced.
    pub known_since: Revision,
    /// Moves by versions that were put in force before this entry was synced.
    pub earlier_moves: BTreeMap<(ServiceId, u16), EarlierMove>,
    /// Ends of transitions heard of before this entry was synced.
    pub ended_early: BTreeMap<(ServiceId, u16), Revision>,
}

impl Control {
    pub fn new(view: View) -> Self {
        Self {
            view,
            prepared: BTreeMap::new(),
            active_tables: BTreeMap::new(),
            out_now: BTreeMap::new(),
            previous_live: Vec::new(),
            ready: false,
            asked: None,
            progress: BTreeMap::new(),
            last_loss: 0,
            lost: Vec::new(),
            scan: None,
            pending: Vec::new(),
            reported: Revision(0),
            tokens: 0,
            refresh_tokens: 0,
            refilled: None,
            sweep: 0,
            checked: 0,
            endings: Vec::new(),
            draining: BTreeMap::new(),
            known_since: Revision(0),
            earlier_moves: BTreeMap::new(),
            ended_early: BTreeMap::new(),
        }
    }

    /// Newest version that is prepared or in force.
    pub fn newest(&self) -> Revision {
        self.prepared.keys().next_back().copied().unwrap_or(self.view.active)
    }

    fn newest_tables(&self) -> &BTreeMap<ServiceId, Computed> {
        self.prepared.values().next_back().map_or(&self.active_tables, |prepared| &prepared.tables)
    }

    fn update_targets(&mut self, sets: &TargetSets, stamp: u32) {
        let targets = Arc::make_mut(&mut self.view.targets);
        let mut listed = BTreeSet::new();
        for service in &sets.services {
            for spec in &service.targets {
                let out = sets.withdrawn.contains(&spec.domain)
                    || self.out_now.contains_key(&spec.domain);
                targets.upsert(service.service, *spec, out);
                listed.insert(spec.address);
                if spec.state == TargetState::Draining {
                    self.draining.entry(spec.address).or_insert(stamp);
                } else {
                    self.draining.remove(&spec.address);
                }
            }
        }
        targets.retain(&listed);
        self.draining.retain(|address, _| listed.contains(address));
        for domain in &sets.withdrawn {
            targets.take_out(*domain);
        }
    }

    fn compute(&self, version: Revision, sets: &TargetSets, service: &ServiceTargets) -> Computed {
        let listed = service.targets.iter().filter_map(|spec| {
            let reference = TargetRef { address: spec.address, incarnation: spec.incarnation };
            let key = self.view.targets.find(service.service, &reference)?;
            let placed =
                spec.state == TargetState::Serving && !sets.withdrawn.contains(&spec.domain);
            Some((key, TargetSpec { weight: if placed { spec.weight } else { 0 }, ..*spec }))
        });
        let mut targets: Vec<_> = listed.collect();
        targets.sort_by_key(|(_, spec)| spec.address);
        let known = self.newest_tables().get(&service.service);
        if let Some(known) = known.filter(|known| known.targets == targets) {
            return known.clone();
        }
        let table = Arc::new(SlotTable::compute(service.service, version, &targets));
        Computed { targets, table }
    }

    fn ensure_service(&mut self, service: &ServiceTargets) {
        self.view.addresses.insert(service.service, service.address);
        let known = self.view.services.values().find(|known| known.id == service.service).cloned();
        let mut updated = known.as_deref().cloned().unwrap_or_else(|| ServiceView {
            id: service.service,
            address: service.address,
            idle_timeout: service.idle_timeout,
            drain_time: service.drain_time,
            table: None,
            next: None,
            own: None,
            moving: BTreeMap::new(),
        });
        if updated.address != service.address {
            self.view.services.remove(&updated.address);
        }
        updated.address = service.address;
        updated.idle_timeout = service.idle_timeout;
        updated.drain_time = service.drain_time;
        self.view.services.insert(service.address, Arc::new(updated));
    }

    /// Puts the slots that a new table moves in transition.
    fn begin_moves(&mut self, id: ServiceId, version: Revision, new: &SlotTable, stamp: u32) {
        let Some(service) = self.view.service(id).cloned() else { return };
        let latest = self.newest_tables().get(&id).map(|computed| computed.table.clone());
        for slot in 0..SLOTS_PER_SERVICE as u16 {
            let of = |table: &Option<Arc<SlotTable>>| {
                let key = table.as_ref()?.target(slot)?;
                self.view.usable(key, id).map(|_| key)
            };
            let (current, latest) = (of(&service.table), of(&latest));
            let changed = |old: Option<TargetKey>| old.is_some() && old != new.target(slot);
            if !changed(current) && !changed(latest) {
                continue;
            }
            let Some(base) = current.or(latest) else { continue };
            let known = service.moving.get(&slot).copied();
            let moving = known.unwrap_or_else(|| {
                let moving = Moving::new(base, self.view.active, stamp, self.view.me);
                let known_since = self.known_since;
                self.assign_new(id, slot, Moving { known_since, ..moving })
            });
            let moved = version.max(moving.moved);
            let moving = Moving { moved, active_at: None, ended: None, reported: false, ..moving };
            if let Some(service) = self.view.service_mut(id) {
                service.moving.insert(slot, moving);
            }
        }
    }

    /// Puts the slots in transition that versions prepared while this entry was not synced move.
    pub fn begin_prepared_moves(&mut self, stamp: u32) {
        let prepared = self.prepared.iter().flat_map(|(version, prepared)| {
            let tables = prepared.tables.iter();
            tables.map(|(id, computed)| (*id, *version, computed.table.clone()))
        });
        for (id, version, table) in prepared.collect::<Vec<_>>() {
            self.begin_moves(id, version, &table, stamp);
        }
    }

    fn set_next(&mut self) {
        let newest = self.prepared.values().next_back();
        let tables: BTreeMap<ServiceId, Arc<SlotTable>> = newest
            .map(|prepared| prepared.tables.iter().map(|(id, c)| (*id, c.table.clone())).collect())
            .unwrap_or_default();
        for service in self.view.services.values_mut() {
            let next = tables.get(&service.id).cloned();
            Arc::make_mut(service).next = next;
        }
    }

    fn install(&mut self, version: Revision, prepared: Prepared, stamp: u32) {
        let declared: BTreeSet<ServiceId> = prepared.tables.keys().copied().collect();
        self.view.services.retain(|_, service| declared.contains(&service.id));
        self.view.addresses.retain(|id, _| declared.contains(id));
        for service in self.view.services.values_mut() {
            let service = Arc::make_mut(service);
            service.table = prepared.tables.get(&service.id).map(|c| c.table.clone());
            let me = self.view.me;
            let ended = |m: &Moving| m.arbiter != me && m.ended.is_some_and(|at| at >= m.moved);
            service.moving.retain(|_, m| !(ended(m) && m.moved <= version));
            for moving in service.moving.values_mut() {
                if moving.moved <= version && moving.active_at.is_none() {
                    moving.active_at = Some(stamp);
                }
            }
        }
        self.out_now.retain(|_, since| *since > version);
        let mut out = prepared.sets.withdrawn.clone();
        out.extend(self.out_now.keys());
        out.extend(self.prepared.values().flat_map(|later| later.sets.withdrawn.iter()));
        Arc::make_mut(&mut self.view.targets).set_out(&out);
        self.view.active = version;
        self.active_tables = prepared.tables;
    }

    fn build_own_tables(&mut self) {
        for (id, computed) in &self.active_tables {
            let own = computed.targets.iter().filter(|(_, spec)| spec.domain == self.view.domain);
            let own: Vec<_> = own.copied().collect();
            let table = Arc::new(SlotTable::compute(*id, self.view.active, &own));
            if let Some(service) = self.view.service_mut(*id) {
                service.own = Some(table);
            }
        }
    }
}

impl Moving {
    pub fn new(base: TargetKey, stable: Revision, since: u32, me: InstanceId) -> Self {
        Self {
            base,
            stable,
            known_since: Revision(0),
            moved: stable,
            since,
            active_at: None,
            ended: None,
            arbiter: me,
            backup: None,
            sure: false,
            former: false,
            previous: None,
            reported: false,
        }
    }
}

impl FlowRouter {
    /// Takes in a version without putting it in force: slots whose target changes are in transition
    /// from now on. Once this returns, the prepare may be confirmed.
    ///
    /// # Errors
    /// The version is not newer than the one in force. A version that is prepared already is fine.
    pub fn prepare(
        &self,
        version: Revision,
        sets: &TargetSets,
        now: Instant,
    ) -> Result<(), ControlError> {
        let mut control = self.control();
        let active = control.view.active;
        if version <= active && active != Revision(0) {
            return Err(ControlError::OldVersion { version, active });
        }
        if control.prepared.contains_key(&version) {
            return Ok(());
        }
        let stamp = self.stamp(now);
        // Prepares may overtake each other; the newest one decides which targets exist.
        if control.prepared.is_empty() || version > control.newest() {
            control.update_targets(sets, stamp);
        }
        let mut tables = BTreeMap::new();
        for service in &sets.services {
            let computed = control.compute(version, sets, service);
            control.ensure_service(service);
            if control.view.synced {
                control.begin_moves(service.service, version, &computed.table, stamp);
            }
            tables.insert(service.service, computed);
        }
        control.prepared.insert(version, Prepared { sets: sets.clone(), tables });
        while control.prepared.len() > MAX_PREPARED {
            control.prepared.pop_first();
        }
        control.set_next();
        control.scan = Some(0);
        control.pending.clear();
        self.publish(&control);
        Ok(())
    }

    /// Puts a prepared version in force.
    ///
    /// # Errors
    /// The version is older than the one in force, or has not been prepared.
    pub fn activate(&self, version: Revision, now: Instant) -> Result<(), ControlError> {
        let mut control = self.control();
        let active = control.view.active;
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
        } else if !control.view.synced {
            control.note_earlier_moves(version, &prepared);
        }
        control.install(version, prepared, self.stamp(now));
        control.set_next();
        if control.view.isolated {
            control.build_own_tables();
        }
        if active == Revision(0) {
            self.ask_again(&mut control);
        }
        self.publish(&control);
        self.try_ready(&mut control, now);
        Ok(())
    }

    /// Stops sending to a failure domain at once and ends its flows. It stays out until a version
    /// of at least `since` that has it in is activated.
    pub fn withdraw_domain(&self, domain: DomainId, since: Revision) {
        let mut control = self.control();
        if since <= control.view.active {
            return;
        }
        control.out_now.insert(domain, since);
        Arc::make_mut(&mut control.view.targets).take_out(domain);
        self.publish(&control);
    }

    /// Ends the flows of a target whose lease has expired, or whose address another service or a
    /// higher incarnation has taken, without waiting for the next version.
    pub fn end_target_flows(&self, address: SocketAddr, incarnation: Incarnation) {
        let mut control = self.control();
        let known = control.view.targets.at(address);
        if known.is_some_and(|target| target.spec.incarnation <= incarnation) {
            Arc::make_mut(&mut control.view.targets).remove(address);
            self.publish(&control);
        }
    }

    /// What peers told of slots before the first version was in force could not be taken in.
    fn ask_again(&self, control: &mut Control) {
        control.progress.values_mut().for_each(|progress| progress.state = None);
        for peer in control.view.others() {
            self.outbox().barrier(peer, Message::Sync);
        }
    }

    /// The lease has expired: only targets of the own failure domain are served from now on.
    pub fn isolate(&self) {
        let mut control = self.control();
        control.view.isolated = true;
        control.view.synced = false;
        control.build_own_tables();
        self.publish(&control);
    }

    /// The lease is back. Transitions may have begun and ended meanwhile, so everything is asked
    /// of the peers again, and unknown flows go through them until they have answered. What was known before
    /// is kept: after an outage of the control daemons all entries get their leases back together, and no
    /// peer knows more.
    pub fn end_isolation(&self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut control = self.control();
        control.view.isolated = false;
        control.view.synced = false;
        control.ready = false;
        control.endings.clear();
        control.ended_early.clear();
        control.known_since = control.view.active;
        control.retain_moving(self.stamp(now));
        for progress in control.progress.values_mut() {
            progress.marker = None;
            progress.state = None;
        }
        self.publish(&control);
        for peer in control.view.others() {
            self.outbox().reliable(peer, Message::Sync, now, out);
        }
        self.try_ready(&mut control, now);
    }
}
