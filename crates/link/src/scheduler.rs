//! The scheduler: what is sent at once, what waits, what is dropped, and which openings the link can carry.

use crate::bucket::TokenBucket;
use crate::costs::FlowCosts;
use crate::packet::{DropReason, DroppedPacket, Outgoing, PacketMeta, RouteTerms};
use crate::queue::{MAX_QUEUE_TIME, MAX_QUEUED_BYTES, PacketQueue, Push, link_bytes};
use crate::settings::LinkSettings;
use comfreyhold_flow::cookie::{CallerPacket, PacketKind, openings};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time after the last queued packet in which the link counts as full. Openings are refused only then, so that the
/// estimate of what flows will cost alone refuses nothing.
const FULL_PERIOD: Duration = Duration::from_secs(1);

/// The link may take one of this many parts of a request's objective. Two are for the target, and one is for the
/// inbound link, which carries the same packets. With the whole objective for the link, most admitted requests are
/// late (docs/design/link.md).
pub const OBJECTIVE_PARTS: u32 = 4;

/// Least capacity of the queue in bytes: two full packets, since the thinnest links could queue none otherwise.
const MIN_QUEUE_BYTES: usize = 2_600;

/// What becomes of an offered datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The caller sends it now.
    Send,
    /// The scheduler keeps a copy and returns it from [`LinkScheduler::next`].
    Queued,
    /// It is not sent.
    Dropped(DropReason),
}

/// What to do next with the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this datagram and ask again.
    Send(Outgoing),
    /// Ask again after this time.
    Wait(Duration),
    /// Nothing is queued.
    Empty,
}

/// State of the scheduler, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkStatus {
    /// Stated rate, in Mbit/s.
    pub mbps: f64,
    /// Rate at which packets are sent, in bytes per second.
    pub packet_rate: f64,
    /// Number of queued packets.
    pub queued_packets: usize,
    /// Bytes that the link carries for them.
    pub queued_bytes: usize,
    /// Number of flows for which there is state.
    pub tracked_flows: usize,
}

/// Schedules the packets of one link. A clone decides alike without an effect on the link; it copies the queued datagrams,
/// at most 4 MB.
#[derive(Clone, Debug)]
pub struct LinkScheduler {
    settings: LinkSettings,
    bucket: TokenBucket,
    queue: PacketQueue,
    /// Datagram that the socket did not take.
    returned: Option<Outgoing>,
    drops: Vec<DroppedPacket>,
    costs: FlowCosts,
    last_queued: Option<Instant>,
}

impl LinkScheduler {
    /// Creates a scheduler with an empty queue.
    #[must_use]
    pub fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            bucket: TokenBucket::new(settings.packet_rate()),
            queue: PacketQueue::default(),
            returned: None,
            drops: Vec::new(),
            costs: FlowCosts::default(),
            last_queued: None,
        }
    }

    /// Changes the rate. Queued packets stay, unless they exceed the new capacity.
    pub fn set_settings(&mut self, settings: LinkSettings, now: Instant) {
        self.settings = settings;
        self.bucket.set_rate(settings.packet_rate(), now);
        // The numbers of packets start at 1.
        self.evict(0);
    }

    /// Decides on a datagram that is to be sent.
    pub fn offer(&mut self, meta: PacketMeta, datagram: &[u8], now: Instant) -> Offer {
        self.update(now);
        let bytes = link_bytes(datagram);
        if self.is_empty() && self.bucket.has_room(now) {
            self.bucket.charge(bytes);
            self.record_cost(&meta, bytes, now);
            return Offer::Send;
        }
        self.last_queued = Some(now);
        if meta.is_expired(now) {
            return Offer::Dropped(DropReason::Expired);
        }
        match self.queue.push(meta, datagram, now) {
            Push::Dropped(reason) => return Offer::Dropped(reason),
            Push::Replaced(meta) => {
                self.drops.push(DroppedPacket { meta, reason: DropReason::Superseded });
                return Offer::Queued;
            }
            Push::Added => {}
        }
        if self.evict(self.queue.last_number()) {
            return Offer::Dropped(DropReason::QueueFull);
        }
        self.record_cost(&meta, bytes, now);
        Offer::Queued
    }

    /// Returns the next queued datagram, or when to ask again.
    pub fn next(&mut self, now: Instant) -> Next {
        self.update(now);
        if self.is_empty() {
            return Next::Empty;
        }
        self.last_queued = Some(now);
        if !self.bucket.has_room(now) {
            return Next::Wait(self.bucket.wait(now));
        }
        self.pop().map_or(Next::Empty, Next::Send)
    }

    /// Returns a queued datagram whatever the rate, in order, for a process that stops.
    pub fn flush(&mut self) -> Option<Outgoing> {
        self.pop()
    }

    /// Puts a datagram that the socket did not take to the front of the queue. It is returned first.
    pub fn put_back(&mut self, outgoing: Outgoing) {
        self.bucket.refund(outgoing.link_bytes());
        self.returned = Some(outgoing);
    }

    /// Returns the packets that were dropped from the queue since the last call. Call it after each call of
    /// [`LinkScheduler::offer`], [`LinkScheduler::next`] and [`LinkScheduler::set_settings`].
    #[must_use]
    pub fn take_drops(&mut self) -> Vec<DroppedPacket> {
        std::mem::take(&mut self.drops)
    }

    /// Whether an opening is still queued that this one, received now, repeats. The queued one keeps its place
    /// until the caller's next retransmission, and this one is not needed.
    pub fn repeats_queued(&mut self, opening: &CallerPacket, now: Instant) -> bool {
        self.update(now);
        let PacketKind::Open { copy } = opening.kind else { return false };
        let expires = now + openings::retransmission_timeout(copy);
        self.queue.extend_opening(opening, expires)
    }

    /// Whether the link can carry a new flow of the route within its part of the objective of the requests. Always true
    /// while nothing was queued for a second, and until it is known what flows of the route cost.
    pub fn admits(&mut self, route: SocketAddrV4, terms: RouteTerms, now: Instant) -> bool {
        self.update(now);
        let is_full = self.last_queued.is_some_and(|last| now < last + FULL_PERIOD);
        if !is_full || terms.objective.is_zero() || self.costs.mean(route).is_none() {
            return true;
        }
        self.expected_wait(route, terms.priority) <= terms.objective / OBJECTIVE_PARTS
    }

    /// Time in which the link can carry what is queued, what admitted flows will cost, and one more flow of the
    /// route. Only flows of this priority and above are included.
    #[must_use]
    pub fn expected_wait(&self, route: SocketAddrV4, priority: u8) -> Duration {
        let returned = self.returned.as_ref().map_or(0, Outgoing::link_bytes);
        let queued = (self.queue.bytes_up_to(priority) + returned) as f64;
        let flow = self.costs.mean(route).unwrap_or_default();
        let bytes = queued + self.costs.remaining(priority) + flow;
        Duration::try_from_secs_f64(bytes / self.bucket.rate()).unwrap_or(Duration::MAX)
    }

    /// State at the moment.
    #[must_use]
    pub fn status(&self) -> LinkStatus {
        let returned = self.returned.as_ref();
        LinkStatus {
            mbps: self.settings.mbps(),
            packet_rate: self.bucket.rate(),
            queued_packets: self.queue.len() + usize::from(returned.is_some()),
            queued_bytes: self.queue.bytes() + returned.map_or(0, Outgoing::link_bytes),
            tracked_flows: self.costs.tracked(),
        }
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.returned.is_none()
    }

    fn pop(&mut self) -> Option<Outgoing> {
        let outgoing = self.returned.take().or_else(|| self.queue.pop())?;
        self.bucket.charge(outgoing.link_bytes());
        Some(outgoing)
    }

    /// Drops what is too old.
    fn update(&mut self, now: Instant) {
        let returned = self.returned.take_if(|outgoing| outgoing.meta.is_expired(now));
        self.drops.extend(returned.map(|outgoing| DroppedPacket::expired(&outgoing)));
        while let Some(outgoing) = self.queue.pop_expired(now) {
            self.drops.push(DroppedPacket::expired(&outgoing));
        }
        self.costs.expire(self.last_queued, now);
    }

    /// Drops what the queue has no room for. Returns whether the packet `added` was dropped, which is not added to
    /// the list of drops.
    fn evict(&mut self, added: u64) -> bool {
        let capacity = self.bucket.rate() * MAX_QUEUE_TIME.as_secs_f64();
        let max_bytes = (capacity as usize).clamp(MIN_QUEUE_BYTES, MAX_QUEUED_BYTES);
        let mut is_dropped = false;
        while let Some((number, outgoing)) = self.queue.evict(max_bytes) {
            if number == added {
                is_dropped = true;
            } else {
                let reason = DropReason::QueueFull;
                self.drops.push(DroppedPacket { meta: outgoing.meta, reason });
            }
        }
        is_dropped
    }

    fn record_cost(&mut self, meta: &PacketMeta, bytes: usize, now: Instant) {
        if !meta.is_reset {
            self.costs.record(meta, bytes, now);
        }
    }
}
