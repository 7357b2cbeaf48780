//! Compares policies that allocate target slots, in virtual time with an open-loop load.
//!
//! 5 entries in 4 failure domains, 15 targets with 2 slots; messages take 1 ms within a domain and
//! 1.5 ms between domains. One entry, which is the dispatcher of its domain, dies halfway through.

use comfreyhold_request::admission::{
    AdmissionAction, AdmissionPolicy, EntryMessage, Layout, SlotRequest,
};
use comfreyhold_request::baselines::{LocalAdmission, SplitShares, TargetSelection};
use comfreyhold_request::message::SlotOutcome;
use comfreyhold_request::single_dispatcher::SingleDispatcher;
use comfreyhold_types::prelude::*;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const DOMAINS: [u16; 5] = [1, 1, 2, 3, 4];
const TARGETS: u16 = 15;
const SLOTS: u16 = 2;
const MEAN_SERVICE_MS: f64 = 50.0;
const SERVICE_SIGMA: f64 = 0.5;
const RUN_TIME: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(5);
const DEATH_TIME: Duration = Duration::from_secs(30);
/// Suspicion timeout of the membership protocol.
const DETECTION_TIME: Duration = Duration::from_millis(2_000);
/// Lease with an allowance of 10% for clock drift.
const LEASE: Duration = Duration::from_millis(2_750);
const TICK: Duration = Duration::from_millis(5);
/// Index of the entry that dies. It is the only one of its domain, so that the role moves to
/// another domain.
const DEAD_ENTRY: usize = 2;
const SEEDS: [u64; 3] = [1, 2, 3];

enum SimulationEvent {
    Arrival,
    Deliver { from: usize, to: usize, message: EntryMessage },
    AtTarget { entry: usize, request: u64, target: usize },
    Served { entry: usize, request: u64, target: usize, took: Duration },
    AtEntry { entry: usize, request: u64, outcome: SlotOutcome },
    Tick,
    Death,
    DeathDetected,
}

/// Results of one run.
struct RunResults {
    waiting: Histogram<u64>,
    served: Vec<u64>,
    overload: u64,
    starts: u64,
    refused: BTreeMap<ResultCode, u64>,
    arrivals: u64,
    lost_with_entry: u64,
    answered: u64,
    /// Longest gap between starts in the dead entry's domain after its death, including the one
    /// that the death falls into.
    longest_gap: Duration,
    answered_after_death: u64,
    answered_before_death: u64,
}

impl RunResults {
    fn new() -> Self {
        let waiting = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        Self {
            waiting,
            served: vec![0; usize::from(TARGETS)],
            overload: 0,
            starts: 0,
            refused: BTreeMap::new(),
            arrivals: 0,
            lost_with_entry: 0,
            answered: 0,
            longest_gap: Duration::ZERO,
            answered_after_death: 0,
            answered_before_death: 0,
        }
    }

    fn imbalance(&self) -> f64 {
        let sum: u64 = self.served.iter().sum();
        let mean = sum as f64 / self.served.len() as f64;
        self.served.iter().copied().max().unwrap_or(0) as f64 / mean
    }
}

struct Simulation {
    rng: StdRng,
    start: Instant,
    now: Instant,
    policy: Box<dyn AdmissionPolicy>,
    layout: Layout,
    rate: f64,
    with_death: bool,
    event_queue: BTreeMap<(Instant, u64), SimulationEvent>,
    scheduled: u64,
    alive: Vec<bool>,
    running: Vec<u16>,
    slot_requests: BTreeMap<u64, (SlotRequest, Instant, usize)>,
    last_start: Instant,
    results: RunResults,
}

impl Simulation {
    fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.scheduled += 1;
        self.event_queue.insert((self.now + delay, self.scheduled), event);
    }

    fn delay(&self, a: DomainId, b: DomainId) -> Duration {
        Duration::from_micros(if a == b { 1_000 } else { 1_500 })
    }

    fn entry_delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.delay(self.layout.entries[from].1, self.layout.entries[to].1)
    }

    fn target_delay(&self, entry: usize, target: usize) -> Duration {
        self.delay(self.layout.entries[entry].1, self.layout.targets[target].domain)
    }

    fn is_measured(&self) -> bool {
        self.now >= self.start + WARM_UP
    }

    fn run(mut self) -> RunResults {
        self.schedule(Duration::ZERO, SimulationEvent::Arrival);
        self.schedule(Duration::ZERO, SimulationEvent::Tick);
        if self.with_death {
            self.schedule(DEATH_TIME, SimulationEvent::Death);
        }
        while let Some(((at, _), event)) = self.event_queue.pop_first() {
            if at > self.start + RUN_TIME {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.results
    }

    fn handle(&mut self, event: SimulationEvent) {
        let actions = match event {
            SimulationEvent::Arrival => self.submit_request(),
            SimulationEvent::Deliver { to, .. } if !self.alive[to] => Vec::new(),
            SimulationEvent::Deliver { from, to, message } => {
                self.policy.deliver(self.now, from, to, message)
            }
            SimulationEvent::AtTarget { entry, request, target } => {
                self.arrive_at_target(entry, request, target);
                Vec::new()
            }
            SimulationEvent::Served { entry, request, target, took } => {
                self.running[target] -= 1;
                let outcome = SlotOutcome::Answered { took };
                let back = self.target_delay(entry, target);
                self.schedule(back, SimulationEvent::AtEntry { entry, request, outcome });
                Vec::new()
            }
            SimulationEvent::AtEntry { entry, request, outcome } => {
                self.arrive_at_entry(entry, request, outcome)
            }
            SimulationEvent::Tick => {
                self.schedule(TICK, SimulationEvent::Tick);
                self.policy.tick(self.now)
            }
            SimulationEvent::Death => {
                self.alive[DEAD_ENTRY] = false;
                self.policy.on_entry_death(self.now, DEAD_ENTRY);
                let lost = self
                    .slot_requests
                    .values()
                    .filter(|(_, _, entry)| *entry == DEAD_ENTRY)
                    .count();
                self.results.lost_with_entry = lost as u64;
                self.schedule(DETECTION_TIME, SimulationEvent::DeathDetected);
                Vec::new()
            }
            SimulationEvent::DeathDetected => {
                let lease_ends = self.start + DEATH_TIME + LEASE;
                self.policy.on_death_detected(self.now, DEAD_ENTRY, lease_ends)
            }
        };
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn submit_request(&mut self) -> Vec<AdmissionAction> {
        let gap = Exp::new(self.rate).expect("a positive rate").sample(&mut self.rng);
        self.schedule(Duration::from_secs_f64(gap), SimulationEvent::Arrival);
        let alive_entries: Vec<_> =
            (0..self.alive.len()).filter(|entry| self.alive[*entry]).collect();
        let entry = alive_entries[self.rng.random_range(0..alive_entries.len())];
        self.results.arrivals += 1;
        let slot_request = SlotRequest {
            request: self.results.arrivals,
            deadline: self.now + self.layout.profile.deadline(),
        };
        self.slot_requests.insert(slot_request.request, (slot_request, self.now, entry));
        self.policy.acquire(self.now, entry, slot_request)
    }

    fn perform(&mut self, action: AdmissionAction) {
        match action {
            AdmissionAction::Start { entry, request, target } => {
                self.start_request(entry, request, target)
            }
            AdmissionAction::End { request, code } => {
                if self.slot_requests.remove(&request).is_some() {
                    *self.results.refused.entry(code).or_default() += 1;
                }
            }
            AdmissionAction::Send { from, .. } if !self.alive[from] => {}
            AdmissionAction::Send { from, to, message } => {
                let delay = self.entry_delay(from, to);
                self.schedule(delay, SimulationEvent::Deliver { from, to, message });
            }
        }
    }

    fn start_request(&mut self, entry: usize, request: u64, target: usize) {
        let Some((_, arrived, _)) = self.slot_requests.get(&request).copied() else { return };
        if self.is_measured() {
            let waited = (self.now - arrived).as_micros();
            let waited = u64::try_from(waited).unwrap_or(u64::MAX).max(1);
            self.results.waiting.saturating_record(waited);
            self.results.starts += 1;
        }
        let after_death = self.with_death && self.now >= self.start + DEATH_TIME;
        if self.layout.targets[target].domain == self.layout.entries[DEAD_ENTRY].1 {
            if after_death {
                self.results.longest_gap = self.results.longest_gap.max(self.now - self.last_start);
            }
            self.last_start = self.now;
        }
        let delay = self.target_delay(entry, target);
        self.schedule(delay, SimulationEvent::AtTarget { entry, request, target });
    }

    /// Handles the arrival of a request at a target. A target with all slots in use refuses it
    /// before running it.
    fn arrive_at_target(&mut self, entry: usize, request: u64, target: usize) {
        if self.running[target] >= SLOTS {
            self.results.overload += u64::from(self.is_measured());
            let back = self.target_delay(entry, target);
            let outcome = SlotOutcome::Refused;
            self.schedule(back, SimulationEvent::AtEntry { entry, request, outcome });
            return;
        }
        self.running[target] += 1;
        self.results.served[target] += u64::from(self.is_measured());
        let mu = MEAN_SERVICE_MS.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        let service = LogNormal::new(mu, SERVICE_SIGMA).expect("a valid distribution");
        let took = Duration::from_secs_f64(service.sample(&mut self.rng) / 1_000.0);
        self.schedule(took, SimulationEvent::Served { entry, request, target, took });
    }

    fn arrive_at_entry(
        &mut self,
        entry: usize,
        request: u64,
        outcome: SlotOutcome,
    ) -> Vec<AdmissionAction> {
        if !self.alive[entry] {
            return Vec::new();
        }
        let Some((slot_request, _, _)) = self.slot_requests.get(&request).copied() else {
            return Vec::new();
        };
        if outcome != SlotOutcome::Refused {
            self.slot_requests.remove(&request);
            self.count_answer();
        }
        self.policy.release(self.now, entry, slot_request, outcome)
    }

    fn count_answer(&mut self) {
        self.results.answered += u64::from(self.is_measured());
        let death = self.start + DEATH_TIME;
        let span = Duration::from_secs(5);
        let before = self.now >= death - span && self.now < death;
        let after = self.now >= death && self.now < death + span;
        self.results.answered_before_death += u64::from(before);
        self.results.answered_after_death += u64::from(after);
    }
}

fn layout() -> Layout {
    let entries = DOMAINS.iter().zip(1..);
    let entries = entries.map(|(domain, id)| (InstanceId(id), DomainId(*domain))).collect();
    let target = |number: u16| TargetRecord {
        service: "orders".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number)),
        domain: DomainId(number % 4 + 1),
        slots: SLOTS,
        incarnation: Incarnation(1),
        state: TargetState::Serving,
    };
    let profile = Profile::builder().name("orders").priority(Priority::High).build();
    Layout { entries, targets: (0..TARGETS).map(target).collect(), profile }
}

fn simulate(name: &str, load: f64, with_death: bool, seed: u64) -> RunResults {
    let layout = layout();
    let start = Instant::now();
    let policy_rng = StdRng::seed_from_u64(seed + 1_000);
    let policy: Box<dyn AdmissionPolicy> = match name {
        "random" => Box::new(LocalAdmission::new(TargetSelection::Random, &layout, policy_rng)),
        "least-loaded" => {
            Box::new(LocalAdmission::new(TargetSelection::LeastLoaded, &layout, policy_rng))
        }
        "split-shares" => Box::new(SplitShares::new(&layout)),
        _ => Box::new(SingleDispatcher::new(&layout, start)),
    };
    let capacity = f64::from(TARGETS * SLOTS) / (MEAN_SERVICE_MS / 1_000.0);
    let simulation = Simulation {
        rng: StdRng::seed_from_u64(seed),
        start,
        now: start,
        policy,
        rate: capacity * load,
        with_death,
        event_queue: BTreeMap::new(),
        scheduled: 0,
        alive: vec![true; layout.entries.len()],
        running: vec![0; layout.targets.len()],
        layout,
        slot_requests: BTreeMap::new(),
        last_start: start,
        results: RunResults::new(),
    };
    simulation.run()
}

fn print_row(name: &str, load: f64, with_death: bool, runs: &[RunResults]) {
    let mut waiting = runs[0].waiting.clone();
    for run in &runs[1..] {
        waiting.add(&run.waiting).expect("equal bounds");
    }
    let sum = |f: fn(&RunResults) -> u64| runs.iter().map(f).sum::<u64>();
    let worst = runs.iter().map(RunResults::imbalance).fold(0.0, f64::max);
    let gap = runs.iter().map(|run| run.longest_gap).max().unwrap_or_default();
    let seconds = (RUN_TIME - WARM_UP).as_secs_f64() * runs.len() as f64;
    let millis = |quantile| waiting.value_at_quantile(quantile) as f64 / 1_000.0;
    let refused: u64 = runs.iter().flat_map(|run| run.refused.values()).sum();
    let mut line = format!(
        "{name:<13} {load:>4.2} {:>9.3} {:>8.2} {:>8.2} {:>8.1} {:>9} {:>8.3}% {:>8} {:>8.0}",
        worst,
        waiting.mean() / 1_000.0,
        millis(0.5),
        millis(0.99),
        sum(|run| run.overload),
        100.0 * sum(|run| run.overload) as f64 / sum(|run| run.starts).max(1) as f64,
        refused,
        sum(|run| run.answered) as f64 / seconds,
    );
    if with_death {
        let before = sum(|run| run.answered_before_death);
        let kept = 100.0 * sum(|run| run.answered_after_death) as f64 / before.max(1) as f64;
        let lost = sum(|run| run.lost_with_entry);
        line += &format!(" {:>8} {kept:>7.1}% {lost:>6}", gap.as_millis());
    }
    println!("{line}");
}

fn main() {
    println!(
        "{TARGETS} targets x {SLOTS} slots, mean service {MEAN_SERVICE_MS} ms, {} s, seeds {SEEDS:?}",
        RUN_TIME.as_secs()
    );
    println!(
        "imbalance: worst run; wait in ms; overload: starts beyond the slots; answered per second;"
    );
    println!("with a death: longest time without a start in its domain (ms), answers in the 5 s");
    println!("after it relative to the 5 s before, requests lost with the entry");
    for with_death in [false, true] {
        println!("\nentry death: {with_death}");
        println!(
            "{:<13} {:>4} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>6}",
            "admission",
            "load",
            "imbalance",
            "mean",
            "p50",
            "p99",
            "overload",
            "share",
            "refused",
            "answered",
            "gap",
            "kept",
            "lost"
        );
        for load in [0.3, 0.6, 0.8, 0.95, 1.2] {
            for name in ["random", "least-loaded", "split-shares", "dispatcher"] {
                let run = |seed: &u64| simulate(name, load, with_death, *seed);
                let runs: Vec<_> = SEEDS.iter().map(run).collect();
                print_row(name, load, with_death, &runs);
            }
        }
    }
}
