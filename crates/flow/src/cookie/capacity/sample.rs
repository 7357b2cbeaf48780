//! When the answer of a request shows in its caller's packets, and what that says about the time it took.

use crate::cookie::directory::TargetKey;
use crate::cookie::flows::Flow;
use crate::cookie::{CallerPacket, PacketKind};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time from a request to its answer, as far as it shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTime {
    /// The answer took this long.
    Exactly(Duration),
    /// The answer came at some time before this: it shows only with the next request or the end of the flow.
    AtMost(Duration),
    /// No answer had come by this time.
    Missing(Duration),
}

/// An observed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Target of the request.
    pub target: TargetKey,
    /// Service address of the flow.
    pub address: SocketAddrV4,
    /// Time to the answer.
    pub time: AnswerTime,
    /// Time from the opening of the flow to the next packet of its caller: one round trip.
    pub handshake: Duration,
    /// Bytes of the answer that the caller has acknowledged.
    pub bytes: u32,
    /// Ratio with which the request was counted while it ran; 0 if it was not.
    pub counted_ratio: f64,
}

impl Sample {
    /// Takes the sample of the flow's last request if the packet shows its answer, or that there is none. Each
    /// request has one sample. `is_single` says whether flows of the route end right after their first answer.
    pub fn take(
        flow: &mut Flow,
        packet: &CallerPacket,
        is_single: bool,
        now: Instant,
    ) -> Option<Self> {
        let took = now.saturating_duration_since(flow.sample_start?);
        let bytes = flow.bytes_received(packet.ack);
        let is_answered = bytes.cast_signed() > 0;
        let ends_with_answer = is_single && flow.requests == 1;
        if flow.handshake.is_zero() {
            // The handshake was read late.
            flow.sample_start = None;
            return None;
        }
        let time = match (packet.kind, is_answered) {
            (PacketKind::Established, false) | (PacketKind::Open { .. }, _) => return None,
            (PacketKind::Established, true) if packet.data == 0 => Some(AnswerTime::Exactly(took)),
            (PacketKind::Finish, true) if ends_with_answer => Some(AnswerTime::Exactly(took)),
            (PacketKind::Established | PacketKind::Finish, true) => Some(AnswerTime::AtMost(took)),
            (PacketKind::Finish | PacketKind::Abort, false) => Some(AnswerTime::Missing(took)),
            // The caller did not want the rest of the answer, which says nothing about the target.
            (PacketKind::Abort, true) => None,
        };
        flow.sample_start = None;
        Some(Self {
            target: flow.target,
            address: packet.flow.service,
            time: time?,
            handshake: flow.handshake,
            bytes,
            counted_ratio: flow.counted_ratio,
        })
    }

    /// The sample of a request that runs and has no answer so far.
    #[must_use]
    pub fn overdue(flow: &Flow, address: SocketAddrV4, now: Instant) -> Option<Self> {
        let took = now.saturating_duration_since(flow.sample_start?);
        let (target, handshake) = (flow.target, flow.handshake);
        let (time, counted_ratio) = (AnswerTime::Missing(took), flow.counted_ratio);
        Some(Self { target, address, time, handshake, bytes: 0, counted_ratio })
    }
}
