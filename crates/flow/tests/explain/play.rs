//! Callers, targets and operators in virtual time, so that packets are explained in many states.

use crate::support::{DOMAINS, Fixture, OBJECTIVE, disagreement, opening, packet, routing, spec};
use comfreyhold_flow::cookie::directory::{AnswerCounts, TargetSpec};
use comfreyhold_flow::cookie::explain::Query;
use comfreyhold_flow::cookie::{Cookie, PacketKind, Verdict};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::TargetId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(2);

const LENGTH: Duration = Duration::from_secs(30);

/// Explained packets for each one whose explanation is checked for changes of the state.
const EXPLANATIONS_PER_COMPARISON: u32 = 100;

/// A flow that was forwarded, and when its next packet is due.
struct OpenFlow {
    query: Query,
    cookie: Cookie,
    /// Packets sent since the opening.
    sent: u32,
    due: Instant,
}

pub struct Play {
    pub fixture: Fixture,
    rng: StdRng,
    specs: BTreeMap<u64, TargetSpec>,
    flows: Vec<OpenFlow>,
    withdrawn: Vec<&'static str>,
    last_change: u64,
    last_number: u32,
    packets: u32,
    /// Number of explained packets by action and reason.
    pub explained: BTreeMap<String, u32>,
    pub disagreements: Vec<String>,
    /// Explanations before and after which the state was compared, and those after which it was not the same.
    pub compared: u32,
    pub changed: u32,
}

impl Play {
    pub fn new(seed: u64) -> Self {
        let fixture = Fixture::new();
        let mut play = Self {
            fixture,
            rng: StdRng::seed_from_u64(seed),
            specs: BTreeMap::new(),
            flows: Vec::new(),
            withdrawn: Vec::new(),
            last_change: 1,
            last_number: 0,
            packets: 0,
            explained: BTreeMap::new(),
            disagreements: Vec::new(),
            compared: 0,
            changed: 0,
        };
        for id in 1..=18_u64 {
            let domain = DOMAINS[usize::try_from(id % 3).unwrap()];
            let service = if id > 12 { "sheets" } else { "orders" };
            let spec = spec(id, service, domain, play.fixture.now);
            play.specs.insert(id, spec.clone());
            play.fixture.balancer.set_target(spec, play.fixture.now);
        }
        play
    }

    pub fn run(mut self) -> Self {
        let start = self.fixture.now;
        let mut next_totals = start;
        while self.fixture.now < start + LENGTH {
            self.fixture.now += STEP;
            let now = self.fixture.now;
            let second = (now - start).as_secs();
            if second.is_multiple_of(4) && self.rng.random_bool(0.05) {
                self.change_something();
            }
            // A third of the time load is shared, partly with full targets and with uneven demand.
            if (10..25).contains(&second) && now >= next_totals {
                next_totals = now + Duration::from_millis(250);
                let load = if second.is_multiple_of(2) { 8.0 } else { 1.0 };
                let own = if second % 5 < 2 { 2_000 } else { 100 };
                self.fixture.apply_totals(load, [own, 60, 60]);
            }
            if (now - start).as_millis().is_multiple_of(200) {
                self.fixture.balancer.sweep(now);
            }
            self.send_due(second);
            // Bursts of four times the usual load.
            let openings = if (5..9).contains(&(second % 10)) { 4 } else { 1 };
            for _ in 0..openings {
                self.open();
            }
        }
        self
    }

    fn change_something(&mut self) {
        let now = self.fixture.now;
        let id = self.rng.random_range(1..=18_u64);
        let spec = self.specs.get_mut(&id).unwrap();
        match self.rng.random_range(0..7) {
            0 => spec.availability = Availability::Draining,
            1 | 2 => spec.availability = Availability::Serving,
            3 => spec.cold_until = now + Duration::from_secs(2),
            4 => spec.silent = !spec.silent,
            5 => {
                let domain = DOMAINS[self.rng.random_range(0..3)];
                match self.withdrawn.iter().position(|name| *name == domain) {
                    Some(position) => drop(self.withdrawn.remove(position)),
                    None if self.withdrawn.len() < 2 => self.withdrawn.push(domain),
                    None => {}
                }
                self.last_change += 1;
                let routing = routing(self.last_change, &self.withdrawn);
                self.fixture.balancer.set_routing(routing, now);
            }
            // What others report makes some targets slow for a while.
            _ => {
                for (id, spec) in &self.specs {
                    let ratio_sum = if [3, 5, 15].contains(id) { 200.0 } else { 20.0 };
                    let counts = AnswerCounts { answers: 20, ratio_sum, failures: 0 };
                    let cookie = Cookie::of(spec.id, spec.born_ms);
                    self.fixture.balancer.record_others_answers(cookie, counts, now);
                }
            }
        }
        let spec = self.specs[&id].clone();
        self.fixture.balancer.set_target(spec, now);
    }

    fn open(&mut self) {
        self.last_number += 1;
        let service = if self.rng.random_bool(0.3) { 2 } else { 1 };
        // The first copy of some openings went to another entry.
        let copy = u32::from(self.rng.random_bool(0.1));
        self.forward(Query { copy, ..opening(service, self.last_number) });
    }

    /// Sends an opening, and keeps its flow if it is forwarded.
    fn forward(&mut self, query: Query) {
        if let Verdict::Forward { cookie, .. } = self.send(&query) {
            self.flows.retain(|flow| flow.query.caller != query.caller);
            // Some openings are not answered, and some are copied too early.
            let is_silent = query.copy == 0 && self.rng.random_bool(0.04);
            let is_early = is_silent && self.rng.random_bool(0.25);
            let wait = match (is_silent, is_early) {
                (true, true) => 50,
                (true, false) => 250,
                _ => self.rng.random_range(4..20),
            };
            let due = self.fixture.now + Duration::from_millis(wait);
            let sent = if is_silent { u32::MAX } else { 0 };
            self.flows.push(OpenFlow { query, cookie, sent, due });
        }
    }

    /// Sends what is due on open flows: a request, its acknowledgement, the end; or a copy of an unanswered opening.
    fn send_due(&mut self, second: u64) {
        let now = self.fixture.now;
        let is_slow = (5..9).contains(&(second % 10));
        let (due, rest): (Vec<OpenFlow>, Vec<OpenFlow>) =
            std::mem::take(&mut self.flows).into_iter().partition(|flow| flow.due <= now);
        self.flows = rest;
        for mut flow in due {
            let query = flow.query;
            match flow.sent {
                u32::MAX => {
                    self.forward(Query { copy: query.copy + 1, ..query });
                    continue;
                }
                0 => {
                    let request = packet(&query, PacketKind::Established, 10, 100);
                    self.fixture.send(&request);
                    let usual = OBJECTIVE.mul_f64(if is_slow { 0.9 } else { 0.2 });
                    flow.due = now + usual.mul_f64(self.rng.random_range(0.7..1.3));
                }
                1 => {
                    let answer = packet(&query, PacketKind::Established, 1_200, 0);
                    self.fixture.send(&answer);
                    flow.due = now + Duration::from_millis(5);
                }
                2 => {
                    let cookie = match self.rng.random_range(0..40) {
                        0 => Cookie(self.rng.random_range(1..1_000)),
                        // A target of the other service.
                        1 => Cookie::of(TargetId(14), 1_014),
                        _ => flow.cookie,
                    };
                    // Sometimes this entry has not seen the flow.
                    let seq = if self.rng.random_bool(0.5) { query.seq } else { query.seq + 1 };
                    let caller = if seq == query.seq {
                        query.caller
                    } else {
                        crate::support::caller(seq + 77_777)
                    };
                    self.send(&Query { cookie: Some(cookie), caller, ..query });
                    flow.due = now + Duration::from_millis(5);
                }
                _ => {
                    self.fixture.send(&packet(&query, PacketKind::Finish, 1_200, 0));
                    continue;
                }
            }
            flow.sent += 1;
            self.flows.push(flow);
        }
    }

    /// Explains a packet and then sends it.
    fn send(&mut self, query: &Query) -> Verdict {
        self.packets += 1;
        let compares = self.packets.is_multiple_of(EXPLANATIONS_PER_COMPARISON);
        let before = compares.then(|| format!("{:?}", self.fixture.balancer));
        let explained = self.fixture.explain(query);
        let after = compares.then(|| format!("{:?}", self.fixture.balancer));
        self.compared += u32::from(compares);
        self.changed += u32::from(before != after);
        let verdict = self.fixture.send(&query.packet());
        self.disagreements.extend(disagreement(&explained, &verdict));
        let kind = match &explained {
            Ok(e) => format!("{} {}", e.decision.action, e.decision.reason),
            Err(error) => error.code().to_string(),
        };
        *self.explained.entry(kind).or_default() += 1;
        let Ok(explanation) = explained else { return verdict };
        if explanation.spill_domain.is_some() {
            *self.explained.entry("spill-over".to_owned()).or_default() += 1;
        }
        for target in &explanation.targets.listed {
            *self.explained.entry(format!("target {}", target.standing)).or_default() += 1;
        }
        verdict
    }
}
