//! Decision for one packet.

use crate::flow::{FlowHash, Protocol};
use crate::message::{Message, Outgoing, PinGroup, PinKind};
use crate::packet::Packet;
use crate::records::{Kind, Record, Shard};
use crate::router::{Action, DropReason, FlowRouter};
use crate::targets::{Target, TargetKey};
use crate::view::{Moving, ServiceView, View};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::InstanceId;
use std::net::SocketAddr;
use std::time::Instant;

/// Most times that a packet is forwarded between entries whose sets of live entries differ.
pub const MAX_HOPS: u8 = 2;

/// How a packet came to this entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    pub from: Option<InstanceId>,
    pub hops: u8,
    pub proxy: bool,
}

impl Origin {
    pub const FABRIC: Self = Self { from: None, hops: 0, proxy: false };
}

struct Case<'a> {
    view: &'a View,
    service: &'a ServiceView,
    flow: FlowHash,
    packet: &'a Packet,
    origin: Origin,
    now: Instant,
    stamp: u32,
}

impl Case<'_> {
    fn forward(&self, to: InstanceId, proxy: bool) -> Action {
        if self.origin.hops >= MAX_HOPS || (Some(to) == self.origin.from && !proxy) {
            return Action::Drop(DropReason::Deferred);
        }
        Action::Forward { to, hops: self.origin.hops + 1, proxy }
    }

    fn is_old_tcp(&self) -> bool {
        self.packet.tuple.protocol == Protocol::Tcp && !self.packet.opens()
    }

    /// The slot's target is gone. New flows wait for the next version: peers that have not prepared
    /// it would send their next packets elsewhere.
    fn unplaced(&self) -> Action {
        let slot = self.flow.slot();
        let tables = [&self.service.table, &self.service.next];
        let waits = tables.into_iter().flatten().any(|table| table.target(slot).is_some());
        if waits && !self.is_old_tcp() {
            return Action::Drop(DropReason::Deferred);
        }
        Action::Reject(ResultCode::NoTarget)
    }

    fn abandoned(&self) -> Action {
        Action::Reject(ResultCode::NoTarget)
    }

    /// Logs what placed a packet of an open flow that this entry has no record of. If the flow's target was
    /// another one, the flow breaks here.
    fn log_unrecorded(&self, target: SocketAddr) {
        if !self.is_old_tcp() || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let slot = self.flow.slot();
        let moving = self.service.moving.get(&slot);
        let base = moving.and_then(|moving| self.view.targets.get(moving.base));
        log::debug!(
            "unrecorded flow {} to {}: target {target}, slot {slot}, version {}, isolated {}, base {:?}, \
             arbiter {:?}, from {:?}",
            self.packet.tuple.source,
            self.packet.tuple.destination,
            self.view.active,
            self.view.isolated,
            base.map(|base| base.spec.address),
            moving.map(|moving| moving.arbiter),
            self.origin.from,
        );
    }
}

impl FlowRouter {
    /// Decides on a packet that the fabric delivered. Messages to peers are appended to `out`.
    pub fn route_packet(&self, packet: &Packet, now: Instant, out: &mut Vec<Outgoing>) -> Action {
        self.decide(packet, Origin::FABRIC, now, out)
    }

    /// Decides on a packet that came in [`Message::Forward`] from a peer, given as the peer, the hops
    /// and the proxy flag of the message.
    pub fn route_forwarded(
        &self,
        (from, hops, proxy): (InstanceId, u8, bool),
        packet: &Packet,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        self.decide(packet, Origin { from: Some(from), hops, proxy }, now, out)
    }

    fn decide(
        &self,
        packet: &Packet,
        origin: Origin,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        let view = self.view();
        let Some(service) = view.services.get(&packet.tuple.destination) else {
            return Action::Drop(DropReason::UnknownService);
        };
        let flow = self.hasher.hash(&packet.tuple);
        let stamp = self.stamp(now);
        let case = Case { view: &view, service, flow, packet, origin, now, stamp };
        let mut shard = self.records.lock(flow);
        if let Some(action) = recorded(&case, &mut shard) {
            return action;
        }
        let action = if view.isolated {
            self.isolated(&case, &mut shard)
        } else if !view.synced {
            unsynced(&case)
        } else {
            match service.moving.get(&flow.slot()) {
                None => self.stable(&case, &mut shard),
                Some(moving) => self.in_transition(&case, moving, &mut shard, out),
            }
        };
        if let Action::ToTarget(target) = action {
            case.log_unrecorded(target);
        }
        action
    }

    fn stable(&self, case: &Case<'_>, shard: &mut Shard) -> Action {
        let slot = case.flow.slot();
        let successor = || case.view.successor(case.service, slot).filter(|_| case.is_old_tcp());
        let Some((key, target)) = case.view.placement(case.service, slot).or_else(successor) else {
            return case.unplaced();
        };
        // A flow that is not recorded for lack of room is still placed by the table.
        self.record(case, shard, key, Kind::Plain, 0);
        Action::ToTarget(target.spec.address)
    }

    fn isolated(&self, case: &Case<'_>, shard: &mut Shard) -> Action {
        let slot = case.flow.slot();
        let base = case.service.moving.get(&slot).map(|moving| moving.base);
        let base = base.filter(|_| !case.packet.opens());
        let base = base.and_then(|key| Some((key, case.view.usable(key, case.service.id)?)));
        let Some((key, target)) = base.or_else(|| case.view.isolated_placement(case.service, slot))
        else {
            return Action::Drop(DropReason::Isolated);
        };
        self.record(case, shard, key, Kind::Pin, 0);
        Action::ToTarget(target.spec.address)
    }

    fn in_transition(
        &self,
        case: &Case<'_>,
        moving: &Moving,
        shard: &mut Shard,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        if moving.arbiter == case.view.me && moving.sure {
            return self.arbitrate(case, moving, shard, out);
        }
        let old_tcp = case.is_old_tcp();
        if case.origin.proxy {
            let known = old_tcp && moving.former;
            return if known { base(case, moving) } else { Action::Drop(DropReason::Deferred) };
        }
        if moving.arbiter != case.view.me {
            return case.forward(moving.arbiter, false);
        }
        // Until all entries have handed over, only the previous arbiter knows which flows are old.
        match moving.previous.filter(|_| old_tcp) {
            Some(previous) => case.forward(previous, true),
            None => Action::Drop(DropReason::Deferred),
        }
    }

    fn arbitrate(
        &self,
        case: &Case<'_>,
        moving: &Moving,
        shard: &mut Shard,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        let is_new = match case.packet.tuple.protocol {
            Protocol::Tcp => case.packet.opens(),
            Protocol::Udp => {
                moving.reported || case.view.usable(moving.base, case.service.id).is_none()
            }
        };
        if !is_new {
            let action = base(case, moving);
            if matches!(action, Action::ToTarget(_)) {
                self.record(case, shard, moving.base, Kind::Pin, case.stamp);
                self.tell(case, moving.base, case.origin.from, None, out);
            }
            return action;
        }
        let Some((key, target)) = case.view.placement(case.service, case.flow.slot()) else {
            return case.unplaced();
        };
        if !self.record(case, shard, key, Kind::Pin, case.stamp) {
            return Action::Reject(ResultCode::Shed);
        }
        self.tell(case, key, case.origin.from, moving.backup, out);
        Action::ToTarget(target.spec.address)
    }

    /// Sends a decision to the entry that asked, once, and to the backup until acknowledged.
    fn tell(
        &self,
        case: &Case<'_>,
        key: TargetKey,
        asker: Option<InstanceId>,
        backup: Option<InstanceId>,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(target) = case.view.reference(key) else { return };
        let message = Message::Pins {
            service: case.service.id,
            kind: PinKind::Decision,
            groups: vec![PinGroup { target, flows: vec![case.flow] }],
        };
        if let Some(backup) = backup.filter(|backup| *backup != case.view.me) {
            self.outbox().reliable(backup, message.clone(), case.now, out);
        }
        if let Some(asker) = asker.filter(|asker| Some(*asker) != backup) {
            self.outbox().once(asker, message, out);
        }
    }

    fn record(
        &self,
        case: &Case<'_>,
        shard: &mut Shard,
        target: TargetKey,
        kind: Kind,
        told: u32,
    ) -> bool {
        if !self.records.has_room(shard) && !shard.contains_key(&case.flow) {
            return false;
        }
        let service = case.service.id;
        let established = !case.packet.opens();
        let seen = case.stamp;
        shard.insert(case.flow, Record { target, seen, told, service, kind, established });
        true
    }
}

/// Action from the flow's record. A record whose target is gone ends an established TCP flow. One
/// that was opening may have been opened again elsewhere, by a retransmission through another
/// entry. A packet that opens a flow is not bound to a draining or lost target.
fn recorded(case: &Case<'_>, shard: &mut Shard) -> Option<Action> {
    let record = shard.get_mut(&case.flow)?;
    let opens = case.packet.opens();
    if record.service == case.service.id {
        if let Some(target) = case.view.usable(record.target, case.service.id) {
            if !(opens && target.draining()) {
                record.seen = case.stamp;
                record.established |= !opens;
                return Some(Action::ToTarget(target.spec.address));
            }
        } else if !opens && case.view.targets.get(record.target).is_some_and(|target| !target.out) {
            return Some(Action::Drop(DropReason::Isolated));
        }
    }
    let abandoned = case.view.targets.get(record.target).is_none_or(|target| target.out);
    let established = record.established;
    shard.remove(&case.flow);
    (abandoned && established && case.is_old_tcp()).then(|| case.abandoned())
}

fn base(case: &Case<'_>, moving: &Moving) -> Action {
    match case.view.usable(moving.base, case.service.id) {
        Some(Target { spec, .. }) => Action::ToTarget(spec.address),
        None => case.abandoned(),
    }
}

fn unsynced(case: &Case<'_>) -> Action {
    let [first, _] = case.view.order(case.service.id, case.flow.slot(), Some(case.view.me));
    match first.filter(|_| !case.origin.proxy) {
        Some(first) => case.forward(first, true),
        None => Action::Drop(DropReason::Deferred),
    }
}
