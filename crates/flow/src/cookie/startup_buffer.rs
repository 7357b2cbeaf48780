//! Packets that reach an entry before it knows any routes.
//!
//! Pattern: after a loss of power all processes start together, and entries have to wait for a majority of the
//! control daemons. A packet that is dropped meanwhile is sent again only after the sender's pause, which grows
//! with each repetition: its request is late then, or past its deadline. The packets wait here instead, as long
//! as their sender has not repeated them.

use super::{CallerPacket, FlowKey, PacketKind, openings};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which other packets wait: the longest pause after which they are sent again.
const PACKET_PATIENCE: Duration = Duration::from_millis(1_600);

/// Most packets that wait. At most 1,300 bytes each, they take less than a hundredth of the smallest instance's
/// memory, and more than an entry gets in the second that a start takes.
pub const MAX_BUFFERED: usize = 2_048;

/// A packet that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferedPacket {
    /// What it is.
    pub packet: CallerPacket,
    /// The datagram that it came in.
    pub datagram: Vec<u8>,
    /// When it came.
    pub since: Instant,
}

impl BufferedPacket {
    /// Whether the sender has repeated it by now, or given up.
    fn is_overdue(&self, now: Instant) -> bool {
        let patience = match self.packet.kind {
            PacketKind::Open { copy } => openings::patience(copy),
            _ => PACKET_PATIENCE,
        };
        now >= self.since + patience
    }
}

/// Packets that wait for the first routes. Of repetitions only the last one is kept.
#[derive(Debug, Default)]
pub struct StartupBuffer {
    /// By flow, and by sequence number and length within it.
    packets: BTreeMap<(FlowKey, u32, u16), BufferedPacket>,
}

impl StartupBuffer {
    /// Takes in a packet. Returns those that are given up: the ones that have waited for too long if there is
    /// no room, or this one if there is none even so.
    pub fn push(
        &mut self,
        packet: CallerPacket,
        datagram: &[u8],
        now: Instant,
    ) -> Vec<CallerPacket> {
        let key = (packet.flow, packet.seq, packet.data);
        let mut given_up = Vec::new();
        if self.packets.len() >= MAX_BUFFERED && !self.packets.contains_key(&key) {
            given_up = self.give_up_overdue(now);
        }
        if self.packets.len() >= MAX_BUFFERED && !self.packets.contains_key(&key) {
            given_up.push(packet);
        } else {
            let datagram = datagram.to_vec();
            self.packets.insert(key, BufferedPacket { packet, datagram, since: now });
        }
        given_up
    }

    /// Ends the wait. Returns the packets that are still of use, in the order in which they came, and those
    /// that have waited for too long. Packets of open flows are of use within the `objective` of their
    /// requests: all at once, later ones would only keep new requests from being in time.
    #[must_use]
    pub fn release(
        mut self,
        objective: impl Fn(&FlowKey) -> Duration,
        now: Instant,
    ) -> (Vec<BufferedPacket>, Vec<CallerPacket>) {
        let mut given_up = self.give_up_overdue(now);
        let (late, mut of_use): (Vec<_>, Vec<_>) =
            self.packets.into_values().partition(|waiting| {
                let opens = matches!(waiting.packet.kind, PacketKind::Open { .. });
                !opens && now >= waiting.since + objective(&waiting.packet.flow)
            });
        given_up.extend(late.into_iter().map(|waiting| waiting.packet));
        of_use.sort_by_key(|waiting| waiting.since);
        (of_use, given_up)
    }

    fn give_up_overdue(&mut self, now: Instant) -> Vec<CallerPacket> {
        let overdue = self.packets.extract_if(.., |_, waiting| waiting.is_overdue(now));
        overdue.map(|(_, waiting)| waiting.packet).collect()
    }
}
