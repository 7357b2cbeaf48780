//! Sends the datagrams of an entry, through a scheduler if its settings state the rate of its link.

use super::packets::{BATCH_PACKETS, PendingPacket, flow_label};
use super::{Entry, PacketCodec};
use comfreyhold_flow::cookie::explain::{LinkAction, LinkAnswer};
use comfreyhold_flow::cookie::{CallerPacket, PacketKind, ResetReason};
use comfreyhold_link::{
    DropReason, LinkScheduler, LinkSettings, LinkStatus, Next, OBJECTIVE_PARTS, Offer, Outgoing,
    PacketMeta, RouteTerms,
};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Minimum interval of `link` lines. A queue may be used and emptied many times per second.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a socket that reports an error is used again.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The link of an entry.
pub(super) struct EntryLink {
    /// `None` if no rate is stated.
    scheduler: RefCell<Option<LinkScheduler>>,
    /// Wakes the task that sends queued datagrams.
    queued: Notify,
    /// Whether the last `link` line said that the queue is used, and when it was written.
    is_queueing: Cell<bool>,
    last_line: Cell<Option<Instant>>,
    /// Packets dropped and openings refused since the last `link` line.
    dropped: Cell<u64>,
    refused: Cell<u64>,
}

impl EntryLink {
    pub(super) fn new(settings: Option<LinkSettings>) -> Self {
        Self {
            scheduler: RefCell::new(settings.map(LinkScheduler::new)),
            queued: Notify::new(),
            is_queueing: Cell::new(false),
            last_line: Cell::new(None),
            dropped: Cell::new(0),
            refused: Cell::new(0),
        }
    }
}

/// What is known of a packet before it is routed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Screening {
    /// First opening of a flow that this entry has not forwarded.
    New,
    /// Any other packet.
    Known,
    /// The packet was dropped or refused.
    Stopped,
}

/// What the task that sends queued datagrams waits for.
enum Pause {
    UntilQueued,
    For(Duration),
    UntilWritable,
}

/// Decides on an opening that repeats no queued one. `is_known` says whether its flow was forwarded here before, and
/// `has_waited` whether it has waited in this entry: its caller may have sent a copy to another entry by then.
fn screen_unqueued(
    link: &mut LinkScheduler,
    packet: &CallerPacket,
    terms: RouteTerms,
    (is_known, has_waited): (bool, bool),
    now: Instant,
) -> Screening {
    if is_known {
        Screening::Known
    } else if has_waited || link.admits(packet.flow.service, terms, now) {
        Screening::New
    } else {
        Screening::Stopped
    }
}

/// What a copy of the scheduler does with a datagram of the least size.
fn explain_offer(link: &mut LinkScheduler, meta: PacketMeta, now: Instant) -> LinkAction {
    match link.offer(meta, &[], now) {
        Offer::Send => LinkAction::Send,
        Offer::Queued => LinkAction::Queue,
        Offer::Dropped(_) => LinkAction::Drop,
    }
}

impl<C: PacketCodec> Entry<C> {
    /// Decides on a packet before it is routed. An opening that repeats a queued one is dropped, and a new one that
    /// the link can't carry in time is refused. Both stay unknown to the balancer.
    pub(super) fn screen(&self, pending: &PendingPacket<'_>, now: Instant) -> Screening {
        let packet = pending.packet;
        let PacketKind::Open { copy } = packet.kind else { return Screening::Known };
        if pending.is_late || self.link.scheduler.borrow().is_none() {
            return Screening::Known;
        }
        let repeats_queued =
            self.with_link(now, |link| link.repeats_queued(packet, now)) == Some(true);
        if repeats_queued {
            self.record_link_drop(DropReason::Retransmission);
            return Screening::Stopped;
        }
        let terms = self.route_terms(packet);
        let has_waited = pending.received != now;
        let is_known = copy > 0 || self.is_known_opening(packet);
        let screening = self.with_link(now, |link| {
            screen_unqueued(link, packet, terms, (is_known, has_waited), now)
        });
        if screening == Some(Screening::Stopped) {
            self.refuse_for_link(packet, now);
        }
        screening.unwrap_or(Screening::New)
    }

    /// Whether this entry has forwarded a packet of the opening's flow, or has no route for it.
    fn is_known_opening(&self, packet: &CallerPacket) -> bool {
        self.balancer.borrow().opening_route(packet).is_none_or(|opening| opening.is_known)
    }

    /// What the link would do with a packet of a caller that is forwarded to `to`, without doing it. `None` if no rate is
    /// stated.
    pub(super) fn explain_link(
        &self,
        packet: &CallerPacket,
        to: SocketAddrV4,
        now: Instant,
    ) -> Option<LinkAnswer> {
        let mut link = self.link.scheduler.borrow().as_ref()?.clone();
        let terms = self.route_terms(packet);
        let action = match packet.kind {
            PacketKind::Open { .. } if link.repeats_queued(packet, now) => LinkAction::Drop,
            PacketKind::Open { copy } => {
                let is_known = copy > 0 || self.is_known_opening(packet);
                match screen_unqueued(&mut link, packet, terms, (is_known, false), now) {
                    Screening::Stopped => LinkAction::Refuse,
                    _ => explain_offer(&mut link, PacketMeta::forward(packet, terms, to, now), now),
                }
            }
            _ => explain_offer(&mut link, PacketMeta::forward(packet, terms, to, now), now),
        };
        let scheduler = self.link.scheduler.borrow();
        let status = scheduler.as_ref()?.status();
        let expected = link.expected_wait(packet.flow.service, terms.priority);
        let allowed = (!terms.objective.is_zero()).then_some(terms.objective / OBJECTIVE_PARTS);
        Some(LinkAnswer {
            action,
            mbps: status.mbps,
            queued_packets: status.queued_packets,
            queued_bytes: status.queued_bytes,
            expected_wait_ms: expected.as_secs_f64() * 1_000.0,
            allowed_wait_ms: allowed.map(|allowed| allowed.as_secs_f64() * 1_000.0),
        })
    }

    /// Sends a datagram, or queues it. `forwards` is the time at which the packet that it forwards was received, and
    /// how it was screened; `None` for a reset that answers the packet. Returns false if the datagram was dropped.
    pub(super) fn transmit(
        &self,
        packet: &CallerPacket,
        forwards: Option<(Instant, Screening)>,
        (to, datagram): (SocketAddrV4, &[u8]),
        now: Instant,
    ) -> bool {
        if self.link.scheduler.borrow().is_none() {
            if let Err(error) = self.socket.try_send_to(datagram, to.into()) {
                self.record_unsent(packet, &error);
            }
            return true;
        }
        let meta = match forwards {
            Some((received, screening)) => {
                let mut meta = PacketMeta::forward(packet, self.route_terms(packet), to, received);
                meta.is_first &= screening == Screening::New;
                meta
            }
            None => PacketMeta::reset(packet, to),
        };
        match self.with_link(now, |link| link.offer(meta, datagram, now)) {
            Some(Offer::Queued) => {
                self.link.queued.notify_one();
                self.record_link_use(now);
                true
            }
            Some(Offer::Dropped(reason)) => {
                self.settle_link_drop(&meta, reason, now);
                false
            }
            Some(Offer::Send) | None => {
                let Err(error) = self.socket.try_send_to(datagram, to.into()) else { return true };
                if error.kind() == io::ErrorKind::WouldBlock {
                    let outgoing = Outgoing { meta, datagram: datagram.to_vec(), since: now };
                    self.with_link(now, |link| link.put_back(outgoing));
                    self.link.queued.notify_one();
                } else {
                    self.record_unsent(packet, &error);
                }
                true
            }
        }
    }

    fn route_terms(&self, packet: &CallerPacket) -> RouteTerms {
        let balancer = self.balancer.borrow();
        let table = balancer.routing().table.as_ref();
        let route = table.and_then(|table| table.routes.get(&packet.flow.service));
        route.map_or_else(RouteTerms::default, |route| RouteTerms {
            priority: route.priority,
            objective: route.objective(),
        })
    }

    /// Sends queued datagrams as the link gets room. Runs a timer only while something is queued.
    pub(super) async fn run_link(self: Rc<Self>) {
        loop {
            match self.send_queued() {
                Pause::UntilQueued => self.link.queued.notified().await,
                Pause::For(wait) => tokio::time::sleep(wait).await,
                Pause::UntilWritable => {
                    if let Err(error) = self.socket.writable().await {
                        log::error!("can't send packets: {error}");
                        tokio::time::sleep(ERROR_PAUSE).await;
                    }
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn send_queued(&self) -> Pause {
        let now = self.clock.now();
        for _ in 0..BATCH_PACKETS {
            match self.with_link(now, |link| link.next(now)) {
                Some(Next::Send(outgoing)) => {
                    if !self.send_outgoing(outgoing, now) {
                        return Pause::UntilWritable;
                    }
                }
                Some(Next::Wait(wait)) => return Pause::For(wait),
                Some(Next::Empty) | None => return Pause::UntilQueued,
            }
        }
        Pause::For(Duration::ZERO)
    }

    /// Sends a queued datagram. Returns false if the socket is full, and the datagram was put back.
    fn send_outgoing(&self, outgoing: Outgoing, now: Instant) -> bool {
        match self.socket.try_send_to(&outgoing.datagram, outgoing.meta.to.into()) {
            Ok(_) => metrics::histogram!("link_wait_seconds").record(outgoing.waited(now)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.with_link(now, |link| link.put_back(outgoing));
                return false;
            }
            Err(error) => self.record_unsent(&outgoing.meta.packet, &error),
        }
        true
    }

    /// Changes the rate of the link, or sends without a scheduler from now on.
    pub(super) fn set_link(&self, settings: Option<LinkSettings>) {
        let now = self.clock.now();
        let Some(settings) = settings else {
            self.flush_link();
            *self.link.scheduler.borrow_mut() = None;
            return;
        };
        if self.link.scheduler.borrow().is_none() {
            *self.link.scheduler.borrow_mut() = Some(LinkScheduler::new(settings));
        }
        self.with_link(now, |link| link.set_settings(settings, now));
    }

    /// Sends all queued datagrams at once, for a process that ends.
    pub fn flush_link(&self) {
        let now = self.clock.now();
        while let Some(Some(outgoing)) = self.with_link(now, LinkScheduler::flush) {
            if !self.send_outgoing(outgoing, now) {
                return;
            }
        }
    }

    /// Calls the scheduler, if there is one, and handles the packets that it dropped meanwhile.
    fn with_link<T>(&self, now: Instant, call: impl FnOnce(&mut LinkScheduler) -> T) -> Option<T> {
        let (result, drops) = {
            let mut scheduler = self.link.scheduler.borrow_mut();
            let scheduler = scheduler.as_mut()?;
            (call(scheduler), scheduler.take_drops())
        };
        for drop in drops {
            self.settle_link_drop(&drop.meta, drop.reason, now);
        }
        Some(result)
    }

    /// Handles a dropped packet. The balancer forgets an opening that was never sent. If its caller has not
    /// retransmitted it yet, it is refused, so that the caller opens the flow at another entry at once.
    fn settle_link_drop(&self, meta: &PacketMeta, reason: DropReason, now: Instant) {
        self.record_link_drop(reason);
        let is_opening = matches!(meta.packet.kind, PacketKind::Open { .. }) && !meta.is_reset;
        if !is_opening || !matches!(reason, DropReason::Expired | DropReason::QueueFull) {
            return;
        }
        self.balancer.borrow_mut().forget_unsent(&meta.packet.flow);
        if reason == DropReason::QueueFull && meta.is_refusable(now) {
            self.refuse_for_link(&meta.packet, now);
        }
    }

    fn refuse_for_link(&self, packet: &CallerPacket, now: Instant) {
        self.link.refused.set(self.link.refused.get() + 1);
        metrics::counter!("link_refused").increment(1);
        self.balancer.borrow_mut().record_link_refusal(now);
        let mut reset = Vec::new();
        let to = self.codec.encode_reset(packet, &mut reset);
        self.transmit(packet, None, (to, &reset), now);
        self.record_reset(packet, ResetReason::LinkFull, now);
    }

    /// State of the link that an opening is refused by, for its log line.
    pub(super) fn link_fields(&self, packet: &CallerPacket) -> serde_json::Value {
        let scheduler = self.link.scheduler.borrow();
        let Some(link) = scheduler.as_ref() else { return json!({}) };
        let LinkStatus { mbps, queued_bytes, .. } = link.status();
        let wait = link.expected_wait(packet.flow.service, self.route_terms(packet).priority);
        json!({
            "link_mbps": mbps,
            "queued_bytes": queued_bytes,
            "expected_wait_ms": wait.as_millis(),
        })
    }

    /// Updates the metrics of the queue, and writes a line when the queue starts or stops being used.
    pub(super) fn record_link_use(&self, now: Instant) {
        let Some(status) = self.link.scheduler.borrow().as_ref().map(LinkScheduler::status) else {
            return;
        };
        metrics::gauge!("link_queue_packets").set(status.queued_packets as f64);
        metrics::gauge!("link_queue_bytes").set(status.queued_bytes as f64);
        let is_queueing = status.queued_packets > 0;
        let is_due = self.link.last_line.get().is_none_or(|last| now >= last + LINE_INTERVAL);
        if is_queueing == self.link.is_queueing.get() || !is_due {
            return;
        }
        self.link.is_queueing.set(is_queueing);
        self.link.last_line.set(Some(now));
        let (dropped, refused) = (self.link.dropped.take(), self.link.refused.take());
        self.record("link", || {
            json!({
                "state": if is_queueing { "queueing" } else { "clear" },
                "rate_mbps": status.mbps,
                "queued": status.queued_packets,
                "queued_bytes": status.queued_bytes,
                "dropped": dropped,
                "refused": refused,
            })
        });
    }

    fn record_link_drop(&self, reason: DropReason) {
        self.link.dropped.set(self.link.dropped.get() + 1);
        let name: &'static str = reason.into();
        metrics::counter!("link_dropped", "reason" => name).increment(1);
    }

    fn record_unsent(&self, packet: &CallerPacket, error: &io::Error) {
        metrics::counter!("packets_unsent").increment(1);
        self.record(
            "unsent",
            || json!({"flow": flow_label(&packet.flow), "error": error.to_string()}),
        );
    }
}
