//! Packets that wait in an entry: those buffered until it has its first routes, and openings deferred behind
//! others that can still be answered in time.

use super::packets::{MAX_DATAGRAM_BYTES, PendingPacket, flow_label};
use super::{Entry, MAX_TICK_DELAY, PacketCodec};
use comfreyhold_flow::cookie::startup_buffer::{BufferedPacket, MAX_BUFFERED};
use comfreyhold_flow::cookie::{DiscardReason, FlowKey, PacketKind};
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl<'a> PendingPacket<'a> {
    fn from_buffered(buffered: &'a BufferedPacket, was_deferred: bool) -> Self {
        let BufferedPacket { packet, datagram, since } = buffered;
        Self { packet, datagram, received: *since, is_late: false, was_deferred }
    }
}

impl<C: PacketCodec> Entry<C> {
    /// Whether packets are still buffered. Releases them first if the routes are known and each target has
    /// had the time to announce itself.
    pub(super) fn is_buffering_packets(&self, now: Instant) -> bool {
        if self.startup_buffer.borrow().is_none() {
            return false;
        }
        if !self.is_waiting_for_announcements(now) {
            self.release_buffered_packets();
        }
        self.startup_buffer.borrow().is_some()
    }

    /// Whether a packet that is received now is buffered, because routes or the announcements of targets are missing.
    pub(super) fn is_waiting_for_announcements(&self, now: Instant) -> bool {
        let has_routes = self.balancer.borrow().routing().table.is_some();
        self.startup_buffer.borrow().is_some() && (!has_routes || now < self.all_announced_at)
    }

    /// Buffers a packet until the entry has its first routes.
    pub(super) fn buffer_packet(&self, pending: &PendingPacket<'_>) {
        let PendingPacket { packet, datagram, received, is_late, .. } = *pending;
        if is_late && matches!(packet.kind, PacketKind::Open { .. }) {
            return self.record_discard(packet, DiscardReason::LateOpening);
        }
        let mut buffer = self.startup_buffer.borrow_mut();
        let dropped = buffer.as_mut().map(|buffer| buffer.push(*packet, datagram, received));
        for packet in dropped.iter().flatten() {
            self.record_discard(packet, DiscardReason::NotReady);
        }
    }

    /// Processes the buffered packets and stops buffering. Later calls do nothing.
    pub(super) fn release_buffered_packets(&self) {
        let Some(buffer) = self.startup_buffer.borrow_mut().take() else { return };
        let now = self.clock.now();
        let table = self.balancer.borrow().routing().table.clone();
        let objective = |flow: &FlowKey| {
            let route = table.as_ref().and_then(|table| table.routes.get(&flow.service));
            route.map(|route| route.objective()).unwrap_or_default()
        };
        let (released, dropped) = buffer.release(objective, now);
        if released.is_empty() && dropped.is_empty() {
            return;
        }
        self.record("waited", || json!({"passed_on": released.len(), "given_up": dropped.len()}));
        for packet in &dropped {
            self.record_discard(packet, DiscardReason::NotReady);
        }
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        for buffered in &released {
            self.process_packet(&PendingPacket::from_buffered(buffered, false), &mut out, now);
        }
    }

    /// Processes deferred openings when they are due, and discards those whose time is long over.
    pub(super) async fn run_deferred(self: Rc<Self>) {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            let next = self.deferred.borrow().first_key_value().map(|((due, _), _)| *due);
            let Some(due) = next else {
                self.deferred_added.notified().await;
                continue;
            };
            let wait = due.saturating_duration_since(self.clock.now());
            if !wait.is_zero() {
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = self.deferred_added.notified() => {}
                }
                continue;
            }
            self.process_due_openings(&mut out);
            tokio::task::yield_now().await;
        }
    }

    /// Processes all deferred openings that are due now. Those that are deferred again are due later.
    fn process_due_openings(&self, out: &mut Vec<u8>) {
        let now = self.clock.now();
        let due = self
            .deferred
            .borrow_mut()
            .extract_if(.., |(due, _), _| *due <= now)
            .collect::<Vec<_>>();
        for ((due, _), opening) in due {
            if now > due + MAX_TICK_DELAY {
                self.record_discard(&opening.packet, DiscardReason::LateOpening);
            } else {
                self.process_packet(&PendingPacket::from_buffered(&opening, true), out, now);
            }
        }
    }

    /// Defers an opening behind others for `wait`, which ends while its caller still waits for the response.
    pub(super) fn defer_opening(&self, pending: &PendingPacket<'_>, wait: Duration, now: Instant) {
        let (packet, since) = (*pending.packet, pending.received);
        let due = now + wait;
        let mut deferred = self.deferred.borrow_mut();
        if deferred.len() >= MAX_BUFFERED {
            return self.record_discard(&packet, DiscardReason::Overload);
        }
        if !pending.was_deferred {
            metrics::counter!("openings_deferred").increment(1);
            self.record("deferred", || {
                let mut fields = self.limit_fields(&packet, now);
                fields["flow"] = json!(flow_label(&packet.flow));
                fields["seq"] = json!(packet.seq);
                fields["waiting"] = json!(deferred.len());
                fields
            });
        }
        let datagram = pending.datagram.to_vec();
        deferred.insert((due, packet.flow), BufferedPacket { packet, datagram, since });
        self.deferred_added.notify_one();
    }
}
