//! Links between cores in memory with one fixed delay, and a count of what each process sends and
//! receives.

use comfreyhold_types::prelude::*;
use comfreyhold_wire::stats::ENVELOPE_OVERHEAD_BYTES;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// One way between two processes.
const DELAY: Duration = Duration::from_millis(2);

/// Messages and bytes sent and received by one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Messages under way.
pub struct Links<M> {
    queue: VecDeque<(Instant, InstanceId, InstanceId, M)>,
    pub counted: BTreeMap<InstanceId, Traffic>,
}

impl<M: Serialize> Links<M> {
    pub fn new() -> Self {
        Self { queue: VecDeque::new(), counted: BTreeMap::new() }
    }

    /// Encodes and queues a message.
    pub fn send(&mut self, now: Instant, from: InstanceId, to: InstanceId, message: M) {
        let bytes = encoded(&message);
        for id in [from, to] {
            let traffic = self.counted.entry(id).or_default();
            traffic.messages += 1;
            traffic.bytes += bytes;
        }
        self.queue.push_back((now + DELAY, from, to, message));
    }

    /// The next message that has arrived.
    pub fn receive(&mut self, now: Instant) -> Option<(InstanceId, InstanceId, M)> {
        if self.queue.front().is_none_or(|(at, ..)| *at > now) {
            return None;
        }
        self.queue.pop_front().map(|(_, from, to, message)| (from, to, message))
    }

    /// Mean messages and bytes per second of some processes.
    pub fn mean(&self, ids: &[InstanceId], seconds: f64) -> (f64, f64) {
        let found = ids.iter().filter_map(|id| self.counted.get(id));
        let (messages, bytes) = found.fold((0, 0), |(m, b), one| (m + one.messages, b + one.bytes));
        let divisor = ids.len().max(1) as f64 * seconds;
        (messages as f64 / divisor, bytes as f64 / divisor)
    }
}

/// Bytes of a message with its envelope.
pub fn encoded<M: Serialize>(message: &M) -> u64 {
    postcard::to_stdvec(message).map_or(0, |body| body.len() as u64) + ENVELOPE_OVERHEAD_BYTES
}
