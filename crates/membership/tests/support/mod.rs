//! Simulated lossy network on simulated time, shared by the tests.
#![allow(dead_code)]

use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplicates: f64,
    /// Share of messages that arrive up to 3 s late.
    pub late: f64,
}

pub struct SimulatedNetwork<M> {
    pub rng: StdRng,
    pub faults: Faults,
    /// Cut links, as (sender, receiver).
    pub cuts: BTreeSet<(InstanceId, InstanceId)>,
    pub latency: Duration,
    /// Maximum random addition to the latency, in milliseconds.
    pub jitter_ms: u64,
    pub sent: u64,
    /// Messages in flight, by time of arrival and number.
    queue: BTreeMap<(Instant, u64), (InstanceId, InstanceId, M)>,
    last_number: u64,
}

impl<M: Clone> SimulatedNetwork<M> {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            cuts: BTreeSet::new(),
            latency: ms(2),
            jitter_ms: 10,
            sent: 0,
            queue: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub fn send(&mut self, now: Instant, from: InstanceId, to: InstanceId, message: M) {
        self.sent += 1;
        if self.rng.random_bool(self.faults.loss) || self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let is_late = self.rng.random_bool(self.faults.late);
            let max_jitter_ms = if is_late { 3_000 } else { self.jitter_ms };
            let at = now + self.latency + ms(self.rng.random_range(0..=max_jitter_ms));
            self.last_number += 1;
            self.queue.insert((at, self.last_number), (from, to, message.clone()));
        }
    }

    /// Takes the next message that has arrived by `now`.
    pub fn receive(&mut self, now: Instant) -> Option<(InstanceId, InstanceId, M)> {
        let (key, _) = self.queue.first_key_value()?;
        if key.0 > now {
            return None;
        }
        self.queue.pop_first().map(|(_, message)| message)
    }

    pub fn cut_both(&mut self, a: &[InstanceId], b: &[InstanceId]) {
        for x in a {
            for y in b {
                self.cuts.insert((*x, *y));
                self.cuts.insert((*y, *x));
            }
        }
    }
}
