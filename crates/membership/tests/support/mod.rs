//! A lossy network on simulated time, shared by the fault schedules.
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
    pub loss: f64,
    pub duplicates: f64,
    /// Share of messages that arrive up to 3 s late.
    pub late: f64,
}

pub struct Net<M> {
    pub rng: StdRng,
    pub faults: Faults,
    pub cuts: BTreeSet<(InstanceId, InstanceId)>,
    pub link: Duration,
    /// Greatest random addition to the link time, in milliseconds.
    pub jitter_ms: u64,
    pub sent: u64,
    queue: BTreeMap<(Instant, u64), (InstanceId, InstanceId, M)>,
    number: u64,
}

impl<M: Clone> Net<M> {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            cuts: BTreeSet::new(),
            link: ms(2),
            jitter_ms: 10,
            sent: 0,
            queue: BTreeMap::new(),
            number: 0,
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
            let spread = if is_late { 3_000 } else { self.jitter_ms };
            let at = now + self.link + ms(self.rng.random_range(0..=spread));
            self.number += 1;
            self.queue.insert((at, self.number), (from, to, message.clone()));
        }
    }

    /// Next message that has arrived by now.
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
