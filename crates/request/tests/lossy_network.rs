//! Dispatchers and clients over a network that loses, delays, duplicates and reorders messages,
//! with an entry that dies.

mod common;

use comfreyhold_request::admission::{
    AdmissionAction, AdmissionPolicy, EntryMessage, Layout, SlotRequest,
};
use comfreyhold_request::dispatcher::GRANT_MARGIN;
use comfreyhold_request::message::SlotOutcome;
use comfreyhold_request::single_dispatcher::SingleDispatcher;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::RetryRule;
use common::{ms, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const ENTRIES: usize = 4;
const TARGETS: u16 = 5;
const SLOTS: u16 = 2;
const DEADLINE: Duration = Duration::from_millis(1_500);
const DETECTION_TIME: Duration = Duration::from_millis(300);
const LEASE: Duration = Duration::from_millis(500);

struct Network {
    rng: StdRng,
    now: Instant,
    policy: SingleDispatcher,
    loss: f64,
    in_flight: BTreeMap<(Instant, u64), (usize, usize, EntryMessage)>,
    sent: u64,
    dead: Option<usize>,
    open: BTreeMap<u64, (SlotRequest, usize)>,
    /// Requests at targets: entry, target and end. Those of a dead entry run until their deadlines.
    running: BTreeMap<u64, (usize, usize, Instant)>,
    started: u64,
    ended: BTreeSet<u64>,
}

impl Network {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let entry = |number: u16| (InstanceId(number), DomainId(number % 3));
        let record =
            |number: u16| TargetRecord { domain: DomainId(number % 3), ..target(number, SLOTS) };
        let profile = Profile::builder()
            .name("orders")
            .deadline_ms(1_500)
            .retry(RetryRule { floor_per_s: 100, ..RetryRule::default() })
            .build();
        let layout = Layout {
            entries: (0..4).map(entry).collect(),
            targets: (0..TARGETS).map(record).collect(),
            profile,
        };
        let loss = rng.random_range(0.0..0.3);
        let policy = SingleDispatcher::new(&layout, now);
        let (in_flight, open, running) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (sent, started, dead, ended) = (0, 0, None, BTreeSet::new());
        Self { rng, now, policy, loss, in_flight, sent, dead, open, running, started, ended }
    }

    fn perform(&mut self, seed: u64, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Send { from, to, message } => self.send(from, to, &message),
                AdmissionAction::End { request, .. } => {
                    self.open.remove(&request);
                    assert!(self.ended.insert(request), "seed {seed}: {request} ended twice");
                }
                AdmissionAction::Start { entry, request, target } => {
                    let deadline = self.open[&request].0.deadline;
                    let took = ms(self.rng.random_range(5..120));
                    let ends = (self.now + took).min(deadline);
                    self.running.insert(request, (entry, target, ends));
                    self.started += 1;
                    let used = self.running.values().filter(|(_, at, _)| *at == target).count();
                    assert!(used <= usize::from(SLOTS), "seed {seed}: {used} on target {target}");
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &EntryMessage) {
        if self.dead == Some(from) {
            return;
        }
        for _ in 0..if self.rng.random_bool(0.1) { 2 } else { 1 } {
            if from != to && self.rng.random_bool(self.loss) {
                continue;
            }
            let slow = self.rng.random_bool(0.1);
            let delay =
                if from == to { 0 } else { self.rng.random_range(1..if slow { 400 } else { 4 }) };
            self.sent += 1;
            self.in_flight.insert((self.now + ms(delay), self.sent), (from, to, message.clone()));
        }
    }

    fn step(&mut self, seed: u64) {
        self.now += ms(1);
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            if self.dead != Some(to) {
                let actions = self.policy.deliver(self.now, from, to, message);
                self.perform(seed, actions);
            }
        }
        let actions = self.policy.tick(self.now);
        self.perform(seed, actions);
        self.finish_requests(seed);
    }

    fn finish_requests(&mut self, seed: u64) {
        let done = self.running.iter().filter(|(_, (_, _, ends))| *ends <= self.now);
        for (request, entry) in done.map(|(r, (e, ..))| (*r, *e)).collect::<Vec<_>>() {
            self.running.remove(&request);
            if self.dead == Some(entry) {
                continue;
            }
            let Some((slot_request, _)) = self.open.get(&request).copied() else { continue };
            let outcome = match self.rng.random_range(0..50) {
                0 => SlotOutcome::Refused,
                1 => SlotOutcome::Unknown,
                _ => SlotOutcome::Answered { took: ms(50) },
            };
            if matches!(outcome, SlotOutcome::Answered { .. }) {
                self.open.remove(&request);
                assert!(self.ended.insert(request), "seed {seed}: {request} ended twice");
            }
            let actions = self.policy.release(self.now, entry, slot_request, outcome);
            self.perform(seed, actions);
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        self.dead = Some(entry);
        self.policy.on_entry_death(self.now, entry);
        for (request, (at, _, ends)) in &mut self.running {
            if *at == entry {
                *ends = self.open[request].0.deadline;
            }
        }
        self.open.retain(|_, (_, at)| *at != entry);
    }
}

/// Guards against exceeded slot limits, requests that never end and slots that are never released,
/// under any network faults and the death of any entry.
#[test]
fn slot_limits_hold_and_every_request_ends() {
    let mut started = 0;
    for seed in 0..200 {
        let mut net = Network::new(seed);
        let death = net.rng.random_range(500..1_500);
        let dead = net.rng.random_range(0..ENTRIES);
        let died = net.now + ms(death);
        for millis in 0..3_000_u64 {
            if millis == death {
                net.kill_entry(dead);
            }
            if net.now == died + DETECTION_TIME {
                let actions = net.policy.on_death_detected(net.now, dead, died + LEASE);
                net.perform(seed, actions);
            }
            let entry = net.rng.random_range(0..ENTRIES);
            if net.rng.random_bool(0.15) && net.dead != Some(entry) {
                let slot_request = SlotRequest { request: millis, deadline: net.now + DEADLINE };
                net.open.insert(millis, (slot_request, entry));
                let actions = net.policy.acquire(net.now, entry, slot_request);
                net.perform(seed, actions);
            }
            net.step(seed);
        }
        for _ in 0..(DEADLINE + GRANT_MARGIN + ms(500)).as_millis() {
            net.step(seed);
        }
        assert!(net.open.is_empty(), "seed {seed}: no end for {:?}", net.open.keys());
        assert_eq!(net.policy.occupied_slots(), 0, "seed {seed}: slots lost");
        started += net.started;
    }
    assert!(started > 20_000, "too few requests were started: {started}");
}
