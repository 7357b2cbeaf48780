//! Outgoing messages to peers, with retransmission until they are acknowledged.

use crate::message::{Frame, Message, Outgoing};
use comfreyhold_types::keys::InstanceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Retransmission timeout of an unacknowledged message. Round trips take up to 6 ms, and
/// acknowledgements are sent with the next tick.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Upper limit of unacknowledged messages per peer. Above it, new messages to the peer are dropped;
/// once it responds again, retransmissions and refreshes make up for them.
const MAX_UNACKED_MESSAGES: usize = 16_384;

/// Upper limit of acknowledgements per frame.
const MAX_ACKS_PER_FRAME: usize = 256;

struct UnackedMessage {
    message: Message,
    /// Sent only once all earlier messages to the peer are acknowledged.
    is_barrier: bool,
    last_sent: Option<Instant>,
}

#[derive(Default)]
struct PeerQueue {
    /// Unacknowledged messages by sequence number.
    unacked: BTreeMap<u64, UnackedMessage>,
    /// Sequence numbers to acknowledge to the peer.
    pending_acks: Vec<u64>,
}

/// Unacknowledged messages and pending acknowledgements, by peer.
pub(crate) struct Outbox {
    next_seq: u64,
    queues: BTreeMap<InstanceId, PeerQueue>,
    /// Messages dropped because the queue of their peer was full.
    pub dropped: u64,
}

impl Outbox {
    /// `first_seq` is random, so that acknowledgements to an earlier incarnation match nothing.
    pub fn new(first_seq: u64) -> Self {
        Self { next_seq: first_seq.max(1), queues: BTreeMap::new(), dropped: 0 }
    }

    /// Queues a message for delivery at least once, and sends it now unless it is a barrier.
    pub fn send_reliable(
        &mut self,
        to: InstanceId,
        message: Message,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(seq) = self.enqueue(to, message.clone(), false) else { return };
        if let Some(unacked) = self.queues.get_mut(&to).and_then(|q| q.unacked.get_mut(&seq)) {
            unacked.last_sent = Some(now);
        }
        self.push_frame(to, seq, Some(message), out);
    }

    /// Queues a message that is sent only once all earlier ones to the peer are acknowledged.
    /// Returns its sequence number, or `None` if the queue is full.
    pub fn queue_barrier(&mut self, to: InstanceId, message: Message) -> Option<u64> {
        self.enqueue(to, message, true)
    }

    /// Sends a message once, without acknowledgement.
    pub fn send_once(&mut self, to: InstanceId, message: Message, out: &mut Vec<Outgoing>) {
        self.push_frame(to, 0, Some(message), out);
    }

    /// Queues the acknowledgement of a received frame; `seq` 0 needs none.
    pub fn queue_ack(&mut self, to: InstanceId, seq: u64) {
        if seq != 0 {
            self.queues.entry(to).or_default().pending_acks.push(seq);
        }
    }

    pub fn handle_acks(&mut self, from: InstanceId, acks: &[u64]) {
        if let Some(queue) = self.queues.get_mut(&from) {
            for seq in acks {
                queue.unacked.remove(seq);
            }
        }
    }

    pub fn is_unacked(&self, peer: InstanceId, seq: u64) -> bool {
        self.queues.get(&peer).is_some_and(|queue| queue.unacked.contains_key(&seq))
    }

    /// Drops the queue of a lost peer.
    pub fn remove_peer(&mut self, peer: InstanceId) {
        self.queues.remove(&peer);
    }

    /// Sends the messages that are due, and all pending acknowledgements.
    pub fn flush(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let peers: Vec<InstanceId> = self.queues.keys().copied().collect();
        for peer in peers {
            for (seq, message) in self.take_due(peer, now) {
                self.push_frame(peer, seq, Some(message), out);
            }
            while self.queues.get(&peer).is_some_and(|queue| !queue.pending_acks.is_empty()) {
                self.push_frame(peer, 0, None, out);
            }
        }
    }

    fn enqueue(&mut self, to: InstanceId, message: Message, is_barrier: bool) -> Option<u64> {
        let queue = self.queues.entry(to).or_default();
        if queue.unacked.len() >= MAX_UNACKED_MESSAGES {
            self.dropped += 1;
            return None;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        queue.unacked.insert(seq, UnackedMessage { message, is_barrier, last_sent: None });
        Some(seq)
    }

    /// Messages that are due for transmission, marked as sent now.
    fn take_due(&mut self, peer: InstanceId, now: Instant) -> Vec<(u64, Message)> {
        let Some(queue) = self.queues.get_mut(&peer) else { return Vec::new() };
        let mut due = Vec::new();
        for (index, (seq, unacked)) in queue.unacked.iter_mut().enumerate() {
            let is_blocked = unacked.is_barrier && index > 0;
            let has_timed_out = unacked
                .last_sent
                .is_none_or(|sent| now.duration_since(sent) >= RETRANSMISSION_TIMEOUT);
            if has_timed_out && !is_blocked {
                unacked.last_sent = Some(now);
                due.push((*seq, unacked.message.clone()));
            }
        }
        due
    }

    fn push_frame(
        &mut self,
        to: InstanceId,
        seq: u64,
        message: Option<Message>,
        out: &mut Vec<Outgoing>,
    ) {
        let queue = self.queues.entry(to).or_default();
        let count = queue.pending_acks.len().min(MAX_ACKS_PER_FRAME);
        let acks = queue.pending_acks.drain(..count).collect();
        out.push(Outgoing { to, frame: Frame { seq, acks, message } });
    }
}
