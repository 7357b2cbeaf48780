//! A simulated network between decision cores in one process, with a fixed delay and counters of the
//! traffic of each simulated process.

use comfreyhold_types::prelude::*;
use comfreyhold_wire::stats::ENVELOPE_OVERHEAD_BYTES;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// One-way delay between two processes.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);

/// Messages and bytes sent and received by one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Delivers messages in the order in which they were sent, each after `ONE_WAY_DELAY`.
pub struct SimulatedNetwork<M> {
    in_flight: VecDeque<(Instant, InstanceId, InstanceId, M)>,
    pub traffic: BTreeMap<InstanceId, Traffic>,
}

impl<M: Serialize> SimulatedNetwork<M> {
    pub fn new() -> Self {
        Self { in_flight: VecDeque::new(), traffic: BTreeMap::new() }
    }

    /// Queues a message and counts its encoded size for the sender and the receiver.
    pub fn send(&mut self, now: Instant, from: InstanceId, to: InstanceId, message: M) {
        let bytes = encoded_bytes(&message);
        for id in [from, to] {
            let counters = self.traffic.entry(id).or_default();
            counters.messages += 1;
            counters.bytes += bytes;
        }
        self.in_flight.push_back((now + ONE_WAY_DELAY, from, to, message));
    }

    /// Returns the next message that is due, with its sender and receiver.
    pub fn receive(&mut self, now: Instant) -> Option<(InstanceId, InstanceId, M)> {
        if self.in_flight.front().is_none_or(|(due, ..)| *due > now) {
            return None;
        }
        self.in_flight.pop_front().map(|(_, from, to, message)| (from, to, message))
    }

    /// Mean messages and bytes per second and process. Processes without traffic count as idle.
    pub fn mean_per_s(&self, ids: &[InstanceId], seconds: f64) -> (f64, f64) {
        let counters = ids.iter().filter_map(|id| self.traffic.get(id));
        let (messages, bytes) = counters.fold((0, 0), |(m, b), t| (m + t.messages, b + t.bytes));
        let process_seconds = ids.len().max(1) as f64 * seconds;
        (messages as f64 / process_seconds, bytes as f64 / process_seconds)
    }
}

/// Bytes of an encoded message with its envelope.
pub fn encoded_bytes<M: Serialize>(message: &M) -> u64 {
    postcard::to_stdvec(message).map_or(0, |body| body.len() as u64) + ENVELOPE_OVERHEAD_BYTES
}
