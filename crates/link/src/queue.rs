//! Bounded queue of datagrams: by class, and within a class in turns by caller.

use crate::packet::{Class, DropReason, HEADER_BYTES, Outgoing, PacketKey, PacketMeta};
use comfreyhold_flow::cookie::CallerPacket;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::ops::Bound;
use std::time::{Duration, Instant};

/// Capacity in packets. With [`MAX_QUEUED_BYTES`] it bounds the memory of the queue.
pub const MAX_QUEUED_PACKETS: usize = 4_096;

/// Capacity in bytes, however fast the link is. Less than a tenth of the smallest instance's memory.
pub const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Time that the link needs for a full queue. Callers retransmit openings after 0.2 s and expect most responses
/// within 0.25 to 0.5 s, so that packets behind a longer queue are worthless.
pub const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);

/// Packets of which at least one is of a lower class, if any is queued.
pub const PACKETS_PER_LOWER: u32 = 8;

/// Capacity in resets, beside the other packets. They have room of their own, so that a refusal never makes the queue
/// drop what it would have to refuse in turn. Further resets are dropped, and their callers time out.
pub const MAX_QUEUED_RESETS: usize = 1_024;

/// Callers of a class with a queue of their own. The others share one.
const MAX_CALLERS: usize = 256;

/// Queue that a packet waits in: that of its caller's address, or the shared one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallerKey {
    Address(Ipv4Addr),
    Shared,
}

#[derive(Clone, Debug, Default)]
struct CallerQueue {
    /// Numbers of the packets, the oldest first.
    packets: BTreeSet<u64>,
    bytes: usize,
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    callers: BTreeMap<CallerKey, CallerQueue>,
    /// Caller whose packet was sent last.
    last: Option<CallerKey>,
}

impl ClassQueue {
    fn caller_key(&self, address: Ipv4Addr) -> CallerKey {
        let key = CallerKey::Address(address);
        if self.callers.contains_key(&key) || self.callers.len() < MAX_CALLERS {
            key
        } else {
            CallerKey::Shared
        }
    }

    /// The oldest packet of the caller whose turn it is.
    fn next(&self) -> Option<(CallerKey, u64)> {
        let after = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.callers.range((after, Bound::Unbounded)).next();
        let (key, queue) = later.or_else(|| self.callers.first_key_value())?;
        queue.packets.first().map(|number| (*key, *number))
    }

    /// The newest packet of the caller with the most queued bytes.
    fn newest_of_largest(&self) -> Option<u64> {
        let largest = self.callers.values().max_by_key(|queue| queue.bytes)?;
        largest.packets.last().copied()
    }
}

#[derive(Clone, Debug)]
struct Queued {
    outgoing: Outgoing,
    class: Class,
    caller: CallerKey,
}

/// What became of a packet that was offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Push {
    /// It was added.
    Added,
    /// It was added in place of an acknowledgement that it supersedes.
    Replaced(PacketMeta),
    /// It was not added.
    Dropped(DropReason),
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct PacketQueue {
    packets: BTreeMap<u64, Queued>,
    last_number: u64,
    classes: BTreeMap<Class, ClassQueue>,
    /// Latest packet of each key.
    keys: BTreeMap<PacketKey, u64>,
    /// Openings by the time at which they are dropped.
    expiries: BTreeSet<(Instant, u64)>,
    bytes: usize,
    resets: usize,
    reset_bytes: usize,
    /// Bytes by the priority of the packets' routes.
    bytes_by_priority: BTreeMap<u8, usize>,
    /// Packets sent since the last one of a lower class, and the class of that one.
    since_lower: u32,
    last_lower: Option<Class>,
}

impl PacketQueue {
    pub(crate) fn len(&self) -> usize {
        self.packets.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Bytes that the link carries for the queued packets.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes of the queued packets on routes of this priority and above, and of resets.
    pub(crate) fn bytes_up_to(&self, priority: u8) -> usize {
        self.bytes_by_priority.range(..=priority).map(|(_, bytes)| bytes).sum()
    }

    /// Number of the packet that was added last.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// If an opening that this one repeats is queued, keeps that one until the caller's next retransmission, in
    /// its place. Returns whether there is one.
    pub(crate) fn extend_opening(&mut self, packet: &CallerPacket, expires: Instant) -> bool {
        let Some(number) = self.keys.get(&PacketKey::Opening(packet.flow)).copied() else {
            return false;
        };
        if let Some(queued) = self.packets.get_mut(&number) {
            let meta = &mut queued.outgoing.meta;
            if let Some(former) = meta.expires.filter(|former| *former < expires) {
                self.expiries.remove(&(former, number));
                self.expiries.insert((expires, number));
                meta.expires = Some(expires);
                meta.packet = *packet;
                meta.is_first = false;
            }
        }
        true
    }

    /// Adds a packet, unless it repeats a queued one. The queue may then be too large; see
    /// [`PacketQueue::evict`].
    pub(crate) fn push(&mut self, meta: PacketMeta, datagram: &[u8], now: Instant) -> Push {
        let key = meta.key();
        if let Some(number) = self.keys.get(&key).copied() {
            if let Some(expires) = meta.expires {
                self.extend_opening(&meta.packet, expires);
            }
            if !matches!(key, PacketKey::Ack(_)) {
                return Push::Dropped(DropReason::Retransmission);
            }
            let queued = self.packets.get(&number).map(|queued| queued.outgoing.meta.packet.ack);
            let progress = meta.packet.ack.wrapping_sub(queued.unwrap_or_default()).cast_signed();
            if progress < 0 {
                return Push::Dropped(DropReason::Superseded);
            }
            if progress > 0
                && let Some(superseded) = self.replace(number, meta, datagram)
            {
                return Push::Replaced(superseded);
            }
            // Repeated acknowledgements may tell the target that a packet was lost, so both are kept.
        }
        if meta.is_reset && self.resets >= MAX_QUEUED_RESETS {
            return Push::Dropped(DropReason::QueueFull);
        }
        self.insert(key, meta, datagram, now);
        Push::Added
    }

    /// Puts a later acknowledgement into the place of an earlier one, so that it does not lose its turn.
    fn replace(&mut self, number: u64, meta: PacketMeta, datagram: &[u8]) -> Option<PacketMeta> {
        let outgoing = &mut self.packets.get_mut(&number)?.outgoing;
        if outgoing.datagram.len() != datagram.len() || outgoing.meta.terms != meta.terms {
            return None;
        }
        datagram.clone_into(&mut outgoing.datagram);
        Some(std::mem::replace(&mut outgoing.meta, meta))
    }

    fn insert(&mut self, key: PacketKey, meta: PacketMeta, datagram: &[u8], now: Instant) {
        self.last_number += 1;
        let number = self.last_number;
        let outgoing = Outgoing { meta, datagram: datagram.to_vec(), since: now };
        let (bytes, class) = (outgoing.link_bytes(), meta.class());
        let queue = self.classes.entry(class).or_default();
        let caller = queue.caller_key(*meta.packet.flow.caller.ip());
        let caller_queue = queue.callers.entry(caller).or_default();
        caller_queue.packets.insert(number);
        caller_queue.bytes += bytes;
        self.keys.insert(key, number);
        if let Some(expires) = meta.expires {
            self.expiries.insert((expires, number));
        }
        self.bytes += bytes;
        if meta.is_reset {
            self.resets += 1;
            self.reset_bytes += bytes;
        }
        *self.bytes_by_priority.entry(meta.terms.priority).or_default() += bytes;
        self.packets.insert(number, Queued { outgoing, class, caller });
    }

    /// Removes the packet whose turn it is.
    pub(crate) fn pop(&mut self) -> Option<Outgoing> {
        let class = self.next_class()?;
        let queue = self.classes.get_mut(&class)?;
        let (caller, number) = queue.next()?;
        queue.last = Some(caller);
        self.remove(number)
    }

    /// Class of the next packet: the highest one, except that the lower ones get one packet in
    /// [`PACKETS_PER_LOWER`] in turns.
    fn next_class(&mut self) -> Option<Class> {
        let highest = *self.classes.first_key_value()?.0;
        let mut lower = self.classes.range((Bound::Excluded(highest), Bound::Unbounded));
        let Some((lowest_of_turn, _)) = lower.next() else {
            self.since_lower = 0;
            return Some(highest);
        };
        let first = *lowest_of_turn;
        self.since_lower += 1;
        if self.since_lower < PACKETS_PER_LOWER {
            return Some(highest);
        }
        self.since_lower = 0;
        let after = self.last_lower.filter(|last| *last >= first).unwrap_or(highest);
        let next = self.classes.range((Bound::Excluded(after), Bound::Unbounded)).next();
        let class = next.map_or(first, |(class, _)| *class);
        self.last_lower = Some(class);
        Some(class)
    }

    /// Removes an opening whose caller has retransmitted it by now.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Outgoing> {
        let (_, number) = *self.expiries.first().filter(|(expires, _)| now >= *expires)?;
        self.remove(number)
    }

    /// Removes a packet if there are more than allowed, resets aside: in the lowest class, the newest one of the
    /// caller with the most bytes. Returns its number as well.
    pub(crate) fn evict(&mut self, max_bytes: usize) -> Option<(u64, Outgoing)> {
        let (bytes, packets) = (self.bytes - self.reset_bytes, self.packets.len() - self.resets);
        if bytes <= max_bytes && packets <= MAX_QUEUED_PACKETS {
            return None;
        }
        let number = self.classes.last_key_value()?.1.newest_of_largest()?;
        self.remove(number).map(|outgoing| (number, outgoing))
    }

    fn remove(&mut self, number: u64) -> Option<Outgoing> {
        let Queued { outgoing, class, caller } = self.packets.remove(&number)?;
        let (meta, bytes) = (&outgoing.meta, outgoing.link_bytes());
        if let Some(queue) = self.classes.get_mut(&class) {
            if let Some(caller_queue) = queue.callers.get_mut(&caller) {
                caller_queue.packets.remove(&number);
                caller_queue.bytes -= bytes;
                if caller_queue.packets.is_empty() {
                    queue.callers.remove(&caller);
                }
            }
            if queue.callers.is_empty() {
                self.classes.remove(&class);
            }
        }
        if self.keys.get(&meta.key()) == Some(&number) {
            self.keys.remove(&meta.key());
        }
        if let Some(expires) = meta.expires {
            self.expiries.remove(&(expires, number));
        }
        self.bytes -= bytes;
        if meta.is_reset {
            self.resets -= 1;
            self.reset_bytes -= bytes;
        }
        if let Some(queued) = self.bytes_by_priority.get_mut(&meta.terms.priority) {
            *queued -= bytes;
            if *queued == 0 {
                self.bytes_by_priority.remove(&meta.terms.priority);
            }
        }
        Some(outgoing)
    }
}

/// Bytes that the link carries for a datagram.
pub(crate) fn link_bytes(datagram: &[u8]) -> usize {
    datagram.len() + HEADER_BYTES
}
