//! Packets that wait in an entry: for its first routes, or behind openings that can be in time.

use super::packets::{Arrival, MAX_DATAGRAM, flow};
use super::{Entry, LATE_TICK, PacketCodec};
use comfreyhold_flow::cookie::startup_buffer::{BufferedPacket, MAX_BUFFERED};
use comfreyhold_flow::cookie::{DiscardReason, FlowKey, PacketKind};
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl<'a> Arrival<'a> {
    fn waited(waited: &'a BufferedPacket) -> Self {
        let BufferedPacket { packet, datagram, since } = waited;
        Self { packet, datagram, since: *since, late: false }
    }
}

impl<C: PacketCodec> Entry<C> {
    /// Whether packets wait for the first routes. Once each target has had the time to announce itself, none is
    /// waited for any more.
    pub(super) fn waits_for_routes(&self, now: Instant) -> bool {
        if self.waiting.borrow().is_none() {
            return false;
        }
        let knows_routes = self.balancer.borrow().routing().table.is_some();
        if knows_routes && now >= self.all_announced {
            self.pass_waiting();
        }
        self.waiting.borrow().is_some()
    }

    /// Lets a packet wait for the first routes.
    pub(super) fn hold(&self, arrival: &Arrival<'_>) {
        let Arrival { packet, datagram, since, late } = *arrival;
        if late && matches!(packet.kind, PacketKind::Open { .. }) {
            return self.note_discard(packet, DiscardReason::LateOpening);
        }
        let mut waiting = self.waiting.borrow_mut();
        let given_up = waiting.as_mut().map(|waiting| waiting.push(*packet, datagram, since));
        for packet in given_up.iter().flatten() {
            self.note_discard(packet, DiscardReason::NotReady);
        }
    }

    /// Passes on the packets that have waited for the first routes, once.
    pub(super) fn pass_waiting(&self) {
        let Some(waiting) = self.waiting.borrow_mut().take() else { return };
        let now = self.clock.now();
        let table = self.balancer.borrow().routing().table.clone();
        let objective = |flow: &FlowKey| {
            let route = table.as_ref().and_then(|table| table.routes.get(&flow.service));
            route.map(|route| route.objective()).unwrap_or_default()
        };
        let (released, given_up) = waiting.release(objective, now);
        if released.is_empty() && given_up.is_empty() {
            return;
        }
        self.record("waited", || json!({"passed_on": released.len(), "given_up": given_up.len()}));
        for packet in &given_up {
            self.note_discard(packet, DiscardReason::NotReady);
        }
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        for waited in &released {
            self.pass(&Arrival::waited(waited), &mut out, now);
        }
    }

    /// Passes on the openings that wait behind others once their time has come.
    pub(super) async fn run_deferred(self: Rc<Self>) {
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        loop {
            let next = self.deferred.borrow().first_key_value().map(|((due, _), _)| *due);
            let Some(due) = next else {
                self.deferral.notified().await;
                continue;
            };
            let wait = due.saturating_duration_since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.deferral.notified() => continue,
            }
            let Some((_, waited)) = self.deferred.borrow_mut().pop_first() else { continue };
            let now = self.clock.now();
            if now > due + LATE_TICK {
                self.note_discard(&waited.packet, DiscardReason::LateOpening);
            } else {
                self.pass(&Arrival::waited(&waited), &mut out, now);
            }
        }
    }

    /// Lets an opening wait behind others, as long as its caller waits for the answer.
    pub(super) fn defer(&self, arrival: &Arrival<'_>, wait: Duration, now: Instant) {
        let (packet, since) = (*arrival.packet, arrival.since);
        let due = now + wait;
        let mut deferred = self.deferred.borrow_mut();
        if deferred.len() >= MAX_BUFFERED {
            return self.note_discard(&packet, DiscardReason::Surge);
        }
        metrics::counter!("openings_deferred").increment(1);
        self.record("deferred", || {
            json!({
                "flow": flow(&packet.flow),
                "seq": packet.seq,
                "wait_ms": wait.as_millis(),
                "waiting": deferred.len(),
            })
        });
        let datagram = arrival.datagram.to_vec();
        deferred.insert((due, packet.flow), BufferedPacket { packet, datagram, since });
        self.deferral.notify_one();
    }
}
