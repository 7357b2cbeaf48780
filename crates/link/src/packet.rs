//! What the scheduler knows of a datagram, and why it may be dropped.

use comfreyhold_flow::cookie::{CallerPacket, FlowKey, PacketKind, openings};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Bytes of the IP and UDP headers, which the link carries with each datagram.
pub const HEADER_BYTES: usize = 28;

/// Time before the caller's copy in which an opening is no longer refused. The reset has to reach the caller before the
/// copy is sent, and the opening took as long; 25 ms one way covers callers on the same continent.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);

/// Class of a packet. The first one is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Reset to a caller, which ends work.
    Reset,
    /// Packet of an open flow.
    OpenFlow,
    /// Opening on a route of this priority; 0 is the highest.
    Opening(u8),
}

/// What a route asks of the link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTerms {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Objective for the response time of its requests; 0 if there is none.
    pub objective: Duration,
}

/// What the scheduler needs to know of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketMeta {
    /// Header of the caller's packet that the datagram forwards, or that it answers with a reset.
    pub packet: CallerPacket,
    /// Whether the datagram is a reset to the caller.
    pub is_reset: bool,
    /// Whether the datagram is the first opening of its flow. Set it to false if the entry has forwarded a packet of
    /// the flow before.
    pub is_first: bool,
    /// Terms of the flow's route.
    pub terms: RouteTerms,
    /// Address to send to.
    pub to: SocketAddrV4,
    /// When the caller retransmits an opening or abandons its attempt; `None` for other packets.
    pub expires: Option<Instant>,
}

impl PacketMeta {
    /// Describes a caller's packet that was received at a time and is forwarded to a target.
    #[must_use]
    pub fn forward(
        packet: &CallerPacket,
        terms: RouteTerms,
        to: SocketAddrV4,
        received: Instant,
    ) -> Self {
        let expires = match packet.kind {
            PacketKind::Open { copy } => Some(received + openings::retransmission_timeout(copy)),
            _ => None,
        };
        let is_first = packet.kind == PacketKind::Open { copy: 0 };
        Self { packet: *packet, is_reset: false, is_first, terms, to, expires }
    }

    /// Describes a reset that answers a caller's packet.
    #[must_use]
    pub fn reset(packet: &CallerPacket, to: SocketAddrV4) -> Self {
        let terms = RouteTerms::default();
        Self { packet: *packet, is_reset: true, is_first: false, terms, to, expires: None }
    }

    /// Class that determines when the packet is sent.
    #[must_use]
    pub fn class(&self) -> Class {
        match self.packet.kind {
            _ if self.is_reset => Class::Reset,
            PacketKind::Open { .. } => Class::Opening(self.terms.priority),
            _ => Class::OpenFlow,
        }
    }

    /// Whether the datagram is the first opening of a flow whose caller has not retransmitted it yet, so that no
    /// target can run its request if the datagram is not sent.
    #[must_use]
    pub fn is_refusable(&self, now: Instant) -> bool {
        self.is_first && self.expires.is_some_and(|expires| now + REFUSAL_MARGIN < expires)
    }

    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        self.expires.is_some_and(|expires| now >= expires)
    }

    pub(crate) fn key(&self) -> PacketKey {
        let CallerPacket { flow, kind, seq, data, .. } = self.packet;
        match kind {
            _ if self.is_reset => PacketKey::Reset(flow),
            PacketKind::Open { .. } => PacketKey::Opening(flow),
            PacketKind::Established if data > 0 => PacketKey::Data(flow, seq, data),
            PacketKind::Established => PacketKey::Ack(flow),
            PacketKind::Finish => PacketKey::Finish(flow),
            PacketKind::Abort => PacketKey::Abort(flow),
        }
    }
}

/// Packets with one key have the same effect, except for acknowledgements, of which the later one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PacketKey {
    Reset(FlowKey),
    Opening(FlowKey),
    Data(FlowKey, u32, u16),
    Ack(FlowKey),
    Finish(FlowKey),
    Abort(FlowKey),
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The packet that it repeats is still queued.
    Retransmission,
    /// A later acknowledgement of the flow was queued or offered.
    Superseded,
    /// Opening that was queued until its caller's next retransmission, or the end of the attempt.
    Expired,
    /// The queue was full, and the packet was the newest of the caller with the most queued bytes.
    QueueFull,
}

/// A packet that was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedPacket {
    /// The packet.
    pub meta: PacketMeta,
    /// Why it was dropped.
    pub reason: DropReason,
}

impl DroppedPacket {
    pub(crate) fn expired(outgoing: &Outgoing) -> Self {
        Self { meta: outgoing.meta, reason: DropReason::Expired }
    }
}

/// A queued datagram that is sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Description of the datagram.
    pub meta: PacketMeta,
    /// The datagram.
    pub datagram: Vec<u8>,
    /// When it was offered.
    pub since: Instant,
}

impl Outgoing {
    /// Bytes that the link carries for the datagram.
    #[must_use]
    pub fn link_bytes(&self) -> usize {
        self.datagram.len() + HEADER_BYTES
    }

    /// Time since the datagram was offered.
    #[must_use]
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
