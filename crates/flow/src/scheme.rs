//! Routing schemes behind one trait, for comparison: the arbiter scheme of [`FlowRouter`] and two
//! baselines.

use crate::control::ControlError;
use crate::flow::{FlowHash, FlowHasher};
use crate::message::{Frame, Message, Outgoing, PinGroup, PinKind};
use crate::outbox::Outbox;
use crate::packet::Packet;
use crate::router::{Action, DropReason, FlowRouter, Peer, RouterSettings};
use crate::table::SlotTable;
use crate::targets::{TargetRef, TargetSets, TargetSpec, Targets};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainId, InstanceId, Revision, ServiceId};
use comfreyhold_types::target::TargetState;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// An entry that routes packets by one scheme.
pub trait Scheme {
    /// Name of the scheme in reports.
    const NAME: &'static str;

    /// Creates an entry without tables and peers.
    fn create(settings: RouterSettings, now: Instant) -> Self;

    /// Decides on a packet from the fabric. Messages to peers are appended to `out`.
    fn route_packet(&self, packet: &Packet, now: Instant, out: &mut Vec<Outgoing>) -> Action;

    /// Decides on a packet that a peer forwarded. `via` holds the peer, the hops and the proxy flag.
    /// Schemes whose entries never forward keep the default, which treats it as one from the fabric.
    fn route_forwarded(
        &self,
        _via: (InstanceId, u8, bool),
        packet: &Packet,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        self.route_packet(packet, now, out)
    }

    /// Handles a frame from a peer.
    fn handle_frame(&self, from: InstanceId, frame: &Frame, now: Instant, out: &mut Vec<Outgoing>);

    /// Prepares a version without activating it.
    ///
    /// # Errors
    /// The version is not newer than the active one.
    fn prepare(
        &self,
        version: Revision,
        sets: &TargetSets,
        now: Instant,
    ) -> Result<(), ControlError>;

    /// Activates a prepared version.
    ///
    /// # Errors
    /// The version is older than the active one, or has not been prepared.
    fn activate(&self, version: Revision, now: Instant) -> Result<(), ControlError>;

    /// Sets the live entries, this one included.
    fn set_live_entries(&self, peers: &[Peer], now: Instant, out: &mut Vec<Outgoing>);

    /// Stops sending to a failure domain until a version of at least `since` that does not withdraw
    /// it is activated.
    fn withdraw_domain(&self, domain: DomainId, since: Revision);

    /// Does the work that is due.
    fn tick(&self, now: Instant, out: &mut Vec<Outgoing>);
}

impl Scheme for FlowRouter {
    const NAME: &'static str = "arbiter";

    fn create(settings: RouterSettings, now: Instant) -> Self {
        Self::new(settings, now)
    }

    fn route_packet(&self, packet: &Packet, now: Instant, out: &mut Vec<Outgoing>) -> Action {
        self.route_packet(packet, now, out)
    }

    fn route_forwarded(
        &self,
        via: (InstanceId, u8, bool),
        packet: &Packet,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        self.route_forwarded(via, packet, now, out)
    }

    fn handle_frame(&self, from: InstanceId, frame: &Frame, now: Instant, out: &mut Vec<Outgoing>) {
        self.handle_frame(from, frame, now, out);
    }

    fn prepare(
        &self,
        version: Revision,
        sets: &TargetSets,
        now: Instant,
    ) -> Result<(), ControlError> {
        self.prepare(version, sets, now)
    }

    fn activate(&self, version: Revision, now: Instant) -> Result<(), ControlError> {
        self.activate(version, now)
    }

    fn set_live_entries(&self, peers: &[Peer], now: Instant, out: &mut Vec<Outgoing>) {
        self.set_live_entries(peers, now, out);
    }

    fn withdraw_domain(&self, domain: DomainId, since: Revision) {
        self.withdraw_domain(domain, since);
    }

    fn tick(&self, now: Instant, out: &mut Vec<Outgoing>) {
        self.tick(now, out);
    }
}

/// Targets and slot tables of the active version, for the baselines.
#[derive(Default)]
struct Tables {
    active_version: Revision,
    targets: Targets,
    tables: BTreeMap<SocketAddr, (ServiceId, SlotTable)>,
    prepared: BTreeMap<Revision, TargetSets>,
}

impl Tables {
    fn activate(&mut self, version: Revision) -> Result<(), ControlError> {
        let sets = self.prepared.remove(&version).ok_or(ControlError::NotPrepared(version))?;
        self.prepared.retain(|other, _| *other > version);
        self.active_version = version;
        let listed =
            sets.services.iter().flat_map(|s| s.targets.iter().map(|t| t.address)).collect();
        self.targets.retain(&listed);
        self.tables.clear();
        for service in &sets.services {
            let targets = service.targets.iter().map(|spec| {
                let key = self.targets.upsert(service.service, *spec, false);
                let takes_flows =
                    spec.state == TargetState::Serving && !sets.withdrawn.contains(&spec.domain);
                (key, TargetSpec { weight: if takes_flows { spec.weight } else { 0 }, ..*spec })
            });
            let targets: Vec<_> = targets.collect();
            let table = SlotTable::compute(service.service, version, &targets);
            self.tables.insert(service.address, (service.service, table));
        }
        self.targets.set_withdrawn_domains(&sets.withdrawn);
        Ok(())
    }

    /// Service and target of a packet by the active table, or the action if there is none.
    fn place(&self, packet: &Packet, flow: FlowHash) -> Result<(ServiceId, TargetSpec), Action> {
        let unknown = Action::Drop(DropReason::UnknownService);
        let (service, table) = self.tables.get(&packet.tuple.destination).ok_or(unknown)?;
        let target = table.target(flow.slot()).and_then(|key| self.targets.get(key));
        let target = target
            .filter(|target| !target.is_withdrawn)
            .ok_or(Action::Reject(ResultCode::NoTarget))?;
        Ok((*service, target.spec))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Baseline 1: every packet goes to the target in the active table, without any flow state.
pub struct ConsistentHash {
    hasher: FlowHasher,
    tables: Mutex<Tables>,
}

impl Scheme for ConsistentHash {
    const NAME: &'static str = "hash";

    fn create(settings: RouterSettings, _now: Instant) -> Self {
        Self { hasher: FlowHasher::new(settings.hash_key), tables: Mutex::default() }
    }

    fn route_packet(&self, packet: &Packet, _now: Instant, _out: &mut Vec<Outgoing>) -> Action {
        let flow = self.hasher.hash(&packet.tuple);
        let placed = lock(&self.tables).place(packet, flow);
        placed.map_or_else(|action| action, |(_, target)| Action::ToTarget(target.address))
    }

    fn handle_frame(
        &self,
        _from: InstanceId,
        _frame: &Frame,
        _now: Instant,
        _out: &mut Vec<Outgoing>,
    ) {
    }

    fn prepare(
        &self,
        version: Revision,
        sets: &TargetSets,
        _now: Instant,
    ) -> Result<(), ControlError> {
        lock(&self.tables).prepared.insert(version, sets.clone());
        Ok(())
    }

    fn activate(&self, version: Revision, _now: Instant) -> Result<(), ControlError> {
        lock(&self.tables).activate(version)
    }

    fn set_live_entries(&self, _peers: &[Peer], _now: Instant, _out: &mut Vec<Outgoing>) {}

    fn withdraw_domain(&self, domain: DomainId, _since: Revision) {
        lock(&self.tables).targets.withdraw_domain(domain);
    }

    fn tick(&self, _now: Instant, _out: &mut Vec<Outgoing>) {}
}

/// Baseline 2: every flow is recorded when it opens, and the record is replicated to all entries.
pub struct Replicated {
    local_id: InstanceId,
    hasher: FlowHasher,
    tables: Mutex<Tables>,
    flows: Mutex<HashMap<FlowHash, (ServiceId, TargetRef)>>,
    outbox: Mutex<Outbox>,
    live_entries: Mutex<Vec<Peer>>,
}

impl Replicated {
    /// Action for a recorded flow.
    fn route_by_record(&self, tables: &Tables, flow: FlowHash) -> Option<Action> {
        let (service, target) = *lock(&self.flows).get(&flow)?;
        let key = tables.targets.find(service, &target);
        let target =
            key.and_then(|key| tables.targets.get(key)).filter(|target| !target.is_withdrawn);
        let reject = Action::Reject(ResultCode::NoTarget);
        Some(target.map_or(reject, |target| Action::ToTarget(target.spec.address)))
    }

    /// Records a flow here and at all live entries.
    fn replicate(
        &self,
        service: ServiceId,
        flow: FlowHash,
        target: TargetRef,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        lock(&self.flows).insert(flow, (service, target));
        let groups = vec![PinGroup { target, flows: vec![flow] }];
        let message = Message::Pins { service, kind: PinKind::Exception, groups };
        for peer in lock(&self.live_entries).iter().filter(|peer| peer.id != self.local_id) {
            lock(&self.outbox).send_reliable(peer.id, message.clone(), now, out);
        }
    }

    /// Sends all records to a new entry.
    fn send_all_records(&self, to: InstanceId, now: Instant, out: &mut Vec<Outgoing>) {
        let mut batches: BTreeMap<(ServiceId, TargetRef), Vec<FlowHash>> = BTreeMap::new();
        for (flow, key) in lock(&self.flows).iter() {
            batches.entry(*key).or_default().push(*flow);
        }
        for ((service, target), flows) in batches {
            for chunk in flows.chunks(crate::handover::FLOWS_PER_MESSAGE) {
                let groups = vec![PinGroup { target, flows: chunk.to_vec() }];
                let message = Message::Pins { service, kind: PinKind::Exception, groups };
                lock(&self.outbox).send_reliable(to, message, now, out);
            }
        }
    }
}

impl Scheme for Replicated {
    const NAME: &'static str = "replicate";

    fn create(settings: RouterSettings, _now: Instant) -> Self {
        Self {
            local_id: settings.instance,
            hasher: FlowHasher::new(settings.hash_key),
            tables: Mutex::default(),
            flows: Mutex::default(),
            outbox: Mutex::new(Outbox::new(settings.seed % u64::from(u32::MAX))),
            live_entries: Mutex::default(),
        }
    }

    fn route_packet(&self, packet: &Packet, now: Instant, out: &mut Vec<Outgoing>) -> Action {
        let flow = self.hasher.hash(&packet.tuple);
        let tables = lock(&self.tables);
        if let Some(action) = self.route_by_record(&tables, flow).filter(|_| !packet.opens()) {
            return action;
        }
        match tables.place(packet, flow) {
            Ok((service, target)) => {
                let target_ref =
                    TargetRef { address: target.address, incarnation: target.incarnation };
                self.replicate(service, flow, target_ref, now, out);
                Action::ToTarget(target.address)
            }
            Err(action) => action,
        }
    }

    fn handle_frame(
        &self,
        from: InstanceId,
        frame: &Frame,
        _now: Instant,
        _out: &mut Vec<Outgoing>,
    ) {
        {
            let mut outbox = lock(&self.outbox);
            outbox.handle_acks(from, &frame.acks);
            outbox.queue_ack(from, frame.seq);
        }
        let Some(Message::Pins { service, groups, .. }) = &frame.message else { return };
        let mut flows = lock(&self.flows);
        for group in groups {
            for flow in &group.flows {
                flows.insert(*flow, (*service, group.target));
            }
        }
    }

    fn prepare(
        &self,
        version: Revision,
        sets: &TargetSets,
        _now: Instant,
    ) -> Result<(), ControlError> {
        lock(&self.tables).prepared.insert(version, sets.clone());
        Ok(())
    }

    fn activate(&self, version: Revision, _now: Instant) -> Result<(), ControlError> {
        lock(&self.tables).activate(version)
    }

    fn set_live_entries(&self, peers: &[Peer], now: Instant, out: &mut Vec<Outgoing>) {
        let old = std::mem::replace(&mut *lock(&self.live_entries), peers.to_vec());
        for peer in &old {
            if !peers.contains(peer) {
                lock(&self.outbox).remove_peer(peer.id);
            }
        }
        let is_new =
            |peer: &&Peer| peer.id != self.local_id && !old.iter().any(|o| o.id == peer.id);
        for peer in peers.iter().filter(is_new) {
            self.send_all_records(peer.id, now, out);
        }
    }

    fn withdraw_domain(&self, domain: DomainId, _since: Revision) {
        lock(&self.tables).targets.withdraw_domain(domain);
    }

    fn tick(&self, now: Instant, out: &mut Vec<Outgoing>) {
        lock(&self.outbox).flush(now, out);
    }
}
