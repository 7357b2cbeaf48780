//! The decision on one packet: from the flow's record, from the slot table, or by the arbiter of a
//! slot in transition.

use crate::flow::{FlowHash, Protocol};
use crate::message::{Message, Outgoing, PinGroup, PinKind};
use crate::packet::Packet;
use crate::records::{Record, RecordKind, Shard};
use crate::router::{Action, DropReason, FlowRouter};
use crate::targets::{Target, TargetKey};
use crate::view::{ServiceView, SlotTransition, View};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::InstanceId;
use std::net::SocketAddr;
use std::time::Instant;

/// Upper limit of hops between entries whose sets of live entries differ. A packet that would need
/// more is dropped as deferred.
pub const MAX_HOPS: u8 = 2;

/// Where a packet came from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PacketOrigin {
    /// Forwarding entry; `None` for the fabric.
    pub from: Option<InstanceId>,
    pub hops: u8,
    pub proxy: bool,
}

impl PacketOrigin {
    pub const FABRIC: Self = Self { from: None, hops: 0, proxy: false };
}

/// What the decision on one packet depends on.
struct PacketContext<'a> {
    view: &'a View,
    service: &'a ServiceView,
    flow: FlowHash,
    packet: &'a Packet,
    origin: PacketOrigin,
    now: Instant,
    stamp: u32,
}

impl PacketContext<'_> {
    fn forward(&self, to: InstanceId, proxy: bool) -> Action {
        if self.origin.hops >= MAX_HOPS || (Some(to) == self.origin.from && !proxy) {
            return Action::Drop(DropReason::Deferred);
        }
        Action::Forward { to, hops: self.origin.hops + 1, proxy }
    }

    fn is_established_tcp(&self) -> bool {
        self.packet.tuple.protocol == Protocol::Tcp && !self.packet.opens()
    }

    /// Action if the slot's target can't be used. New flows are deferred until the next version:
    /// peers that have not prepared it would send the flow's next packets elsewhere.
    fn defer_or_reject(&self) -> Action {
        let slot = self.flow.slot();
        let tables = [&self.service.table, &self.service.next_table];
        let has_target = tables.into_iter().flatten().any(|table| table.target(slot).is_some());
        if has_target && !self.is_established_tcp() {
            return Action::Drop(DropReason::Deferred);
        }
        Action::Reject(ResultCode::NoTarget)
    }

    fn reject_lost_target(&self) -> Action {
        Action::Reject(ResultCode::NoTarget)
    }

    /// Logs how a packet of an established flow without a record was placed. If the flow's target
    /// was another one, the flow breaks here.
    fn log_unrecorded(&self, target: SocketAddr) {
        if !self.is_established_tcp() || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let slot = self.flow.slot();
        let transition = self.service.transitions.get(&slot);
        let base = transition.and_then(|transition| self.view.targets.get(transition.base));
        log::debug!(
            "unrecorded flow {} to {}: target {target}, slot {slot}, version {}, isolated {}, base {:?}, \
             arbiter {:?}, from {:?}",
            self.packet.tuple.source,
            self.packet.tuple.destination,
            self.view.active_version,
            self.view.is_isolated,
            base.map(|base| base.spec.address),
            transition.map(|transition| transition.arbiter),
            self.origin.from,
        );
    }
}

impl FlowRouter {
    /// Decides on a packet from the fabric. Messages to peers are appended to `out`.
    pub fn route_packet(&self, packet: &Packet, now: Instant, out: &mut Vec<Outgoing>) -> Action {
        self.route(packet, PacketOrigin::FABRIC, now, out)
    }

    /// Decides on a packet that a peer sent in [`Message::Forward`]. The tuple holds the peer and the
    /// message's hops and proxy flag.
    pub fn route_forwarded(
        &self,
        (from, hops, proxy): (InstanceId, u8, bool),
        packet: &Packet,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        self.route(packet, PacketOrigin { from: Some(from), hops, proxy }, now, out)
    }

    fn route(
        &self,
        packet: &Packet,
        origin: PacketOrigin,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        let view = self.view();
        let Some(service) = view.services.get(&packet.tuple.destination) else {
            return Action::Drop(DropReason::UnknownService);
        };
        let flow = self.hasher.hash(&packet.tuple);
        let stamp = self.stamp(now);
        let cx = PacketContext { view: &view, service, flow, packet, origin, now, stamp };
        let mut shard = self.records.lock_shard_of(flow);
        if let Some(action) = route_by_record(&cx, &mut shard) {
            return action;
        }
        let action = if view.is_isolated {
            self.route_isolated(&cx, &mut shard)
        } else if !view.is_synced {
            route_unsynced(&cx)
        } else {
            match service.transitions.get(&flow.slot()) {
                None => self.route_stable(&cx, &mut shard),
                Some(transition) => self.route_in_transition(&cx, transition, &mut shard, out),
            }
        };
        if let Action::ToTarget(target) = action {
            cx.log_unrecorded(target);
        }
        action
    }

    fn route_stable(&self, cx: &PacketContext<'_>, shard: &mut Shard) -> Action {
        let slot = cx.flow.slot();
        let next = || cx.view.next_placement(cx.service, slot).filter(|_| cx.is_established_tcp());
        let Some((key, target)) = cx.view.placement(cx.service, slot).or_else(next) else {
            return cx.defer_or_reject();
        };
        // Without room for a record, the flow is still placed by the table.
        self.record_flow(cx, shard, key, RecordKind::Table, 0);
        Action::ToTarget(target.spec.address)
    }

    fn route_isolated(&self, cx: &PacketContext<'_>, shard: &mut Shard) -> Action {
        let slot = cx.flow.slot();
        let base = cx.service.transitions.get(&slot).map(|transition| transition.base);
        let base = base.filter(|_| !cx.packet.opens());
        let base = base.and_then(|key| Some((key, cx.view.usable_target(key, cx.service.id)?)));
        let Some((key, target)) = base.or_else(|| cx.view.isolated_placement(cx.service, slot))
        else {
            return Action::Drop(DropReason::Isolated);
        };
        self.record_flow(cx, shard, key, RecordKind::Pin, 0);
        Action::ToTarget(target.spec.address)
    }

    fn route_in_transition(
        &self,
        cx: &PacketContext<'_>,
        transition: &SlotTransition,
        shard: &mut Shard,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        if transition.arbiter == cx.view.local_id && transition.is_authoritative {
            return self.arbitrate(cx, transition, shard, out);
        }
        let is_established_tcp = cx.is_established_tcp();
        if cx.origin.proxy {
            let is_known = is_established_tcp && transition.was_arbiter;
            return if is_known {
                forward_to_base(cx, transition)
            } else {
                Action::Drop(DropReason::Deferred)
            };
        }
        if transition.arbiter != cx.view.local_id {
            return cx.forward(transition.arbiter, false);
        }
        // Until all entries have handed over, only the previous arbiter can distinguish old flows from
        // new ones.
        match transition.previous_arbiter.filter(|_| is_established_tcp) {
            Some(previous) => cx.forward(previous, true),
            None => Action::Drop(DropReason::Deferred),
        }
    }

    /// Decides as arbiter of the slot: flows that are not new stay on the base target, new ones go to
    /// the table's target.
    fn arbitrate(
        &self,
        cx: &PacketContext<'_>,
        transition: &SlotTransition,
        shard: &mut Shard,
        out: &mut Vec<Outgoing>,
    ) -> Action {
        let is_new = match cx.packet.tuple.protocol {
            Protocol::Tcp => cx.packet.opens(),
            Protocol::Udp => {
                transition.all_reported
                    || cx.view.usable_target(transition.base, cx.service.id).is_none()
            }
        };
        if !is_new {
            let action = forward_to_base(cx, transition);
            if matches!(action, Action::ToTarget(_)) {
                self.record_flow(cx, shard, transition.base, RecordKind::Pin, cx.stamp);
                self.send_decision(cx, transition.base, cx.origin.from, None, out);
            }
            return action;
        }
        let Some((key, target)) = cx.view.placement(cx.service, cx.flow.slot()) else {
            return cx.defer_or_reject();
        };
        if !self.record_flow(cx, shard, key, RecordKind::Pin, cx.stamp) {
            return Action::Reject(ResultCode::Shed);
        }
        self.send_decision(cx, key, cx.origin.from, transition.backup, out);
        Action::ToTarget(target.spec.address)
    }

    /// Sends a decision to the entry that forwarded the packet, once, and to the backup until it is
    /// acknowledged.
    fn send_decision(
        &self,
        cx: &PacketContext<'_>,
        key: TargetKey,
        requester: Option<InstanceId>,
        backup: Option<InstanceId>,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(target) = cx.view.target_ref(key) else { return };
        let message = Message::Pins {
            service: cx.service.id,
            kind: PinKind::Decision,
            groups: vec![PinGroup { target, flows: vec![cx.flow] }],
        };
        if let Some(backup) = backup.filter(|backup| *backup != cx.view.local_id) {
            self.outbox().send_reliable(backup, message.clone(), cx.now, out);
        }
        if let Some(requester) = requester.filter(|requester| Some(*requester) != backup) {
            self.outbox().send_once(requester, message, out);
        }
    }

    /// Records the flow. Returns false if there is no room.
    fn record_flow(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        target: TargetKey,
        kind: RecordKind,
        last_reported: u32,
    ) -> bool {
        if !self.records.has_room(shard) && !shard.contains_key(&cx.flow) {
            return false;
        }
        let service = cx.service.id;
        let is_established = !cx.packet.opens();
        let last_seen = cx.stamp;
        shard.insert(
            cx.flow,
            Record { target, last_seen, last_reported, service, kind, is_established },
        );
        true
    }
}

/// Action from the flow's record, if it decides. If the recorded target can't be used any more, an
/// established TCP flow is rejected. A flow that was still opening may have been opened elsewhere by
/// a retransmission through another entry, so its record is dropped. A packet that opens a flow is
/// placed anew if its target drains or was lost.
fn route_by_record(cx: &PacketContext<'_>, shard: &mut Shard) -> Option<Action> {
    let record = shard.get_mut(&cx.flow)?;
    let opens = cx.packet.opens();
    if record.service == cx.service.id {
        if let Some(target) = cx.view.usable_target(record.target, cx.service.id) {
            if !(opens && target.is_draining()) {
                record.last_seen = cx.stamp;
                record.is_established |= !opens;
                return Some(Action::ToTarget(target.spec.address));
            }
        } else if !opens
            && cx.view.targets.get(record.target).is_some_and(|target| !target.is_withdrawn)
        {
            return Some(Action::Drop(DropReason::Isolated));
        }
    }
    let is_target_lost =
        cx.view.targets.get(record.target).is_none_or(|target| target.is_withdrawn);
    let was_established = record.is_established;
    shard.remove(&cx.flow);
    (is_target_lost && was_established && cx.is_established_tcp()).then(|| cx.reject_lost_target())
}

fn forward_to_base(cx: &PacketContext<'_>, transition: &SlotTransition) -> Action {
    match cx.view.usable_target(transition.base, cx.service.id) {
        Some(Target { spec, .. }) => Action::ToTarget(spec.address),
        None => cx.reject_lost_target(),
    }
}

/// Forwards to another entry, which decides as proxy: this one has not received all slots in
/// transition.
fn route_unsynced(cx: &PacketContext<'_>) -> Action {
    let [first, _] =
        cx.view.arbiter_candidates(cx.service.id, cx.flow.slot(), Some(cx.view.local_id));
    match first.filter(|_| !cx.origin.proxy) {
        Some(first) => cx.forward(first, true),
        None => Action::Drop(DropReason::Deferred),
    }
}
