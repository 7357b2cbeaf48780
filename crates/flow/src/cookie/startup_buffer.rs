//! Buffer for packets that reach an entry before it has any routes.
//!
//! After a power failure all processes start together, and entries wait for a majority of the control daemons.
//! A packet that is dropped meanwhile is retransmitted only after the sender's backoff, when its request is
//! late or past its deadline. So packets are buffered here until their sender retransmits them.

use super::{CallerPacket, FlowKey, PacketKind, openings};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which packets other than openings are kept: the longest retransmission timeout of their senders.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Capacity in packets. At up to 1,300 bytes each, they take less than a hundredth of the smallest instance's
/// memory. An entry receives fewer in the second that a start takes.
pub const MAX_BUFFERED: usize = 2_048;

/// A packet that waits until it can be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferedPacket {
    /// Decoded header of the packet.
    pub packet: CallerPacket,
    /// Datagram that carries the packet.
    pub datagram: Vec<u8>,
    /// Time of arrival.
    pub since: Instant,
}

impl BufferedPacket {
    /// Whether the sender has retransmitted the packet by now, or abandoned its attempt.
    fn is_expired(&self, now: Instant) -> bool {
        let timeout = match self.packet.kind {
            PacketKind::Open { copy } => openings::retransmission_timeout(copy),
            _ => RETRANSMISSION_TIMEOUT,
        };
        now >= self.since + timeout
    }
}

/// Packets that wait for the first routes. Of retransmissions only the last one is kept.
#[derive(Debug, Default)]
pub struct StartupBuffer {
    /// By flow, and by sequence number and length within it.
    packets: BTreeMap<(FlowKey, u32, u16), BufferedPacket>,
}

impl StartupBuffer {
    /// Adds a packet. Returns the packets that are dropped: if the buffer is full, the expired ones, and this
    /// one if there are none.
    pub fn push(
        &mut self,
        packet: CallerPacket,
        datagram: &[u8],
        now: Instant,
    ) -> Vec<CallerPacket> {
        let key = (packet.flow, packet.seq, packet.data);
        let mut dropped = Vec::new();
        if self.packets.len() >= MAX_BUFFERED && !self.packets.contains_key(&key) {
            dropped = self.drop_expired(now);
        }
        if self.packets.len() >= MAX_BUFFERED && !self.packets.contains_key(&key) {
            dropped.push(packet);
        } else {
            let datagram = datagram.to_vec();
            self.packets.insert(key, BufferedPacket { packet, datagram, since: now });
        }
        dropped
    }

    /// Ends the wait. Returns the packets to route, in order of arrival, and the dropped ones: those that have
    /// expired, and packets of established flows that have waited for longer than the `objective` of their
    /// requests. Released all at once, these would only make new requests miss their objective.
    #[must_use]
    pub fn release(
        mut self,
        objective: impl Fn(&FlowKey) -> Duration,
        now: Instant,
    ) -> (Vec<BufferedPacket>, Vec<CallerPacket>) {
        let mut dropped = self.drop_expired(now);
        let (late, mut released): (Vec<_>, Vec<_>) =
            self.packets.into_values().partition(|buffered| {
                let opens = matches!(buffered.packet.kind, PacketKind::Open { .. });
                !opens && now >= buffered.since + objective(&buffered.packet.flow)
            });
        dropped.extend(late.into_iter().map(|buffered| buffered.packet));
        released.sort_by_key(|buffered| buffered.since);
        (released, dropped)
    }

    fn drop_expired(&mut self, now: Instant) -> Vec<CallerPacket> {
        let expired = self.packets.extract_if(.., |_, buffered| buffered.is_expired(now));
        expired.map(|(_, buffered)| buffered.packet).collect()
    }
}
