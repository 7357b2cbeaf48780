//! Death of the entry that is the witness of all other dispatchers, at a load that the remaining
//! targets can handle.

mod common;

use comfreyhold_request::admission::{
    AdmissionAction, AdmissionPolicy, EntryMessage, Layout, SlotRequest,
};
use comfreyhold_request::message::SlotOutcome;
use comfreyhold_request::single_dispatcher::SingleDispatcher;
use comfreyhold_types::prelude::*;
use common::{ms, target, warm_profile};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The first entry is the witness of all other dispatchers.
const WITNESS: usize = 0;
const ENTRIES: usize = 4;
const DOMAINS: u16 = 3;
const SLOTS: u16 = 2;

/// As in the daemons: probes and suspicion, then the lease with its allowance for clock drift.
const DETECTION_TIME: Duration = Duration::from_millis(2_500);
const LEASE: Duration = Duration::from_millis(2_750);

const DEADLINE: Duration = Duration::from_millis(5_000);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const ONE_WAY: Duration = Duration::from_millis(2);

/// One request every 10 ms; the targets of the two remaining domains can handle twice as many.
const ARRIVAL_MS: u64 = 10;

struct Simulation {
    now: Instant,
    policy: SingleDispatcher,
    in_flight: BTreeMap<(Instant, u64), (usize, usize, EntryMessage)>,
    sent: u64,
    witness_dead: bool,
    slot_requests: BTreeMap<u64, (SlotRequest, usize)>,
    running: BTreeMap<(Instant, u64), usize>,
    answered: u64,
    refused: Vec<ResultCode>,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let domain = |number: u16| DomainId(number % DOMAINS);
        let record = |number: u16| TargetRecord { domain: domain(number), ..target(number, SLOTS) };
        let layout = Layout {
            entries: (0..4).map(|number| (InstanceId(number), domain(number))).collect(),
            targets: (0..DOMAINS).map(record).collect(),
            profile: Profile { deadline_ms: 5_000, ..warm_profile(32) },
        };
        Self {
            now,
            policy: SingleDispatcher::new(&layout, now),
            in_flight: BTreeMap::new(),
            sent: 0,
            witness_dead: false,
            slot_requests: BTreeMap::new(),
            running: BTreeMap::new(),
            answered: 0,
            refused: Vec::new(),
        }
    }

    fn is_dead(&self, entry: usize) -> bool {
        self.witness_dead && entry == WITNESS
    }

    fn submit(&mut self, request: u64, entry: usize) {
        let slot_request = SlotRequest { request, deadline: self.now + DEADLINE };
        self.slot_requests.insert(request, (slot_request, entry));
        let actions = self.policy.acquire(self.now, entry, slot_request);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Send { from, .. } if self.is_dead(from) => {}
                AdmissionAction::Send { from, to, message } => {
                    let delay = if from == to { Duration::ZERO } else { ONE_WAY };
                    self.sent += 1;
                    self.in_flight.insert((self.now + delay, self.sent), (from, to, message));
                }
                AdmissionAction::Start { entry, request, .. } => {
                    self.running.insert((self.now + SERVICE_TIME, request), entry);
                }
                AdmissionAction::End { code, request } => {
                    let lost =
                        self.slot_requests.get(&request).is_some_and(|(_, at)| self.is_dead(*at));
                    if !lost {
                        self.refused.push(code);
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += ms(1);
        while let Some(due) = self.in_flight.first_entry().filter(|due| due.key().0 <= self.now) {
            let (from, to, message) = due.remove();
            if !self.is_dead(to) {
                let actions = self.policy.deliver(self.now, from, to, message);
                self.perform(actions);
            }
        }
        while let Some(due) = self.running.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, request), entry) = due.remove_entry();
            if !self.is_dead(entry) {
                self.answered += 1;
                let outcome = SlotOutcome::Answered { took: SERVICE_TIME };
                let actions =
                    self.policy.release(self.now, entry, self.slot_requests[&request].0, outcome);
                self.perform(actions);
            }
        }
        let actions = self.policy.tick(self.now);
        self.perform(actions);
    }
}

/// Guards against refusals after the death of a witness: its dispatchers kept every slot for
/// unconfirmed grants to their own instances, and the queues of the other domains overflowed.
#[test]
fn the_death_of_a_witness_causes_no_refusals_at_a_load_that_the_others_can_handle() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation::new();
        let death = simulation.now + ms(1_000 + rng.random_range(0..200));
        let mut sent = 0;
        for millis in 0..8_000_u64 {
            if simulation.now == death {
                simulation.witness_dead = true;
                simulation.policy.on_entry_death(simulation.now, WITNESS);
            }
            if simulation.now == death + DETECTION_TIME {
                let actions = simulation.policy.on_death_detected(
                    simulation.now,
                    WITNESS,
                    simulation.now + LEASE,
                );
                simulation.perform(actions);
            }
            let entry = rng.random_range(0..ENTRIES);
            if millis % ARRIVAL_MS == 0 && !simulation.is_dead(entry) {
                simulation.submit(millis, entry);
                sent += 1;
            }
            simulation.step();
        }
        for _ in 0..DEADLINE.as_millis() {
            simulation.step();
        }
        assert!(
            simulation.refused.is_empty(),
            "seed {seed}: of {sent} refused: {:?}",
            simulation.refused
        );
        assert!(simulation.answered > 500, "seed {seed}: too few requests were answered");
    }
}
