//! Retransmission of messages until they are acknowledged.

use crate::message::{Frame, Message, Outgoing};
use comfreyhold_types::keys::InstanceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time until an unacknowledged message is sent again; round trips take up to 6 ms, and
/// acknowledgements wait for a tick.
const RETRY: Duration = Duration::from_millis(200);

/// Most messages that wait for one peer. A peer this far behind gets no new ones; when it answers
/// again, retransmission and refreshes repair what it misses.
const MAX_WAITING: usize = 16_384;

/// Most acknowledgements per frame.
const MAX_ACKS: usize = 256;

struct Waiting {
    message: Message,
    barrier: bool,
    sent: Option<Instant>,
}

#[derive(Default)]
struct PeerQueue {
    waiting: BTreeMap<u64, Waiting>,
    acks: Vec<u64>,
}

/// Messages that wait for acknowledgement, by peer.
pub(crate) struct Outbox {
    next_seq: u64,
    queues: BTreeMap<InstanceId, PeerQueue>,
    pub dropped: u64,
}

impl Outbox {
    /// `first_seq` is random, so that acknowledgements to an earlier start match nothing.
    pub fn new(first_seq: u64) -> Self {
        Self { next_seq: first_seq.max(1), queues: BTreeMap::new(), dropped: 0 }
    }

    /// Queues a message for delivery at least once, and sends it now unless it is a barrier.
    pub fn reliable(
        &mut self,
        to: InstanceId,
        message: Message,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(seq) = self.enqueue(to, message.clone(), false) else { return };
        if let Some(waiting) = self.queues.get_mut(&to).and_then(|q| q.waiting.get_mut(&seq)) {
            waiting.sent = Some(now);
        }
        self.push(to, seq, Some(message), out);
    }

    /// Queues a message that is sent once everything before it is acknowledged.
    pub fn barrier(&mut self, to: InstanceId, message: Message) -> Option<u64> {
        self.enqueue(to, message, true)
    }

    /// Sends a message once.
    pub fn once(&mut self, to: InstanceId, message: Message, out: &mut Vec<Outgoing>) {
        self.push(to, 0, Some(message), out);
    }

    pub fn owe_ack(&mut self, to: InstanceId, seq: u64) {
        if seq != 0 {
            self.queues.entry(to).or_default().acks.push(seq);
        }
    }

    pub fn acked(&mut self, from: InstanceId, acks: &[u64]) {
        if let Some(queue) = self.queues.get_mut(&from) {
            for seq in acks {
                queue.waiting.remove(seq);
            }
        }
    }

    pub fn is_waiting(&self, peer: InstanceId, seq: u64) -> bool {
        self.queues.get(&peer).is_some_and(|queue| queue.waiting.contains_key(&seq))
    }

    /// Forgets what waits for a peer that is gone.
    pub fn forget(&mut self, peer: InstanceId) {
        self.queues.remove(&peer);
    }

    /// Sends what is due, and the acknowledgements that are owed.
    pub fn flush(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let peers: Vec<InstanceId> = self.queues.keys().copied().collect();
        for peer in peers {
            for (seq, message) in self.due(peer, now) {
                self.push(peer, seq, Some(message), out);
            }
            while self.queues.get(&peer).is_some_and(|queue| !queue.acks.is_empty()) {
                self.push(peer, 0, None, out);
            }
        }
    }

    fn enqueue(&mut self, to: InstanceId, message: Message, barrier: bool) -> Option<u64> {
        let queue = self.queues.entry(to).or_default();
        if queue.waiting.len() >= MAX_WAITING {
            self.dropped += 1;
            return None;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        queue.waiting.insert(seq, Waiting { message, barrier, sent: None });
        Some(seq)
    }

    fn due(&mut self, peer: InstanceId, now: Instant) -> Vec<(u64, Message)> {
        let Some(queue) = self.queues.get_mut(&peer) else { return Vec::new() };
        let mut due = Vec::new();
        for (index, (seq, waiting)) in queue.waiting.iter_mut().enumerate() {
            let blocked = waiting.barrier && index > 0;
            let rested = waiting.sent.is_none_or(|sent| now.duration_since(sent) >= RETRY);
            if rested && !blocked {
                waiting.sent = Some(now);
                due.push((*seq, waiting.message.clone()));
            }
        }
        due
    }

    fn push(
        &mut self,
        to: InstanceId,
        seq: u64,
        message: Option<Message>,
        out: &mut Vec<Outgoing>,
    ) {
        let queue = self.queues.entry(to).or_default();
        let count = queue.acks.len().min(MAX_ACKS);
        let acks = queue.acks.drain(..count).collect();
        out.push(Outgoing { to, frame: Frame { seq, acks, message } });
    }
}
