//! Modelled callers and targets around entries, in virtual time, reproducible from a seed. Entries are real
//! balancers, or place by one of the ways that are compared with them.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod figures;
pub mod fixture;
pub mod ways;

pub use figures::{CHANGE, CHANGE_INTERVAL, Figures, LENGTH, Scenario, Size, WINDOW, Way};

use comfreyhold_flow::cookie::directory::AnswerCounts;
use comfreyhold_flow::cookie::{Balancer, CallerPacket, Cookie, FlowKey, PacketKind, Verdict};
use fixture::{new_balancer, service_address};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};
use ways::Known;

/// Round trip between callers and targets.
pub const ROUND_TRIP: Duration = Duration::from_millis(6);

/// Requests that a target queues; it refuses more.
const QUEUE: usize = 8;

/// Bytes of an answer and of a refusal.
const ANSWER_BYTES: u32 = 1_000;
const REFUSAL_BYTES: u32 = 150;

const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Interval and delay of the exchange of totals.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
const EXCHANGE_DELAY: Duration = Duration::from_millis(50);

/// Time that a refusal counts as where only times are compared.
pub const FAILURE_SECONDS: f64 = 0.4;

enum Event {
    Begin,
    Attempt { request: usize },
    Request { attempt: usize },
    Complete { target: usize, attempt: usize },
    Answer { attempt: usize, refused: bool },
    Exchange,
    Totals(Vec<Vec<AnswerCounts>>),
    Sweep,
}

struct Request {
    begun: Duration,
    work: Duration,
    attempts: u32,
    answered: Option<Duration>,
}

struct Attempt {
    request: usize,
    flow: FlowKey,
    entry: usize,
    target: usize,
    cookie: Cookie,
    begun: Duration,
}

#[derive(Default)]
struct Target {
    running: u32,
    queue: VecDeque<usize>,
    busy: Duration,
}

impl Target {
    fn load(&self) -> f64 {
        f64::from(self.running) + self.queue.len() as f64
    }
}

struct Entry {
    balancer: Balancer,
    known: Vec<Known>,
    /// Answers and failures since the last exchange, for entries that place by themselves.
    counts: Vec<AnswerCounts>,
}

pub struct Play {
    size: Size,
    scenario: Scenario,
    way: Way,
    rng: StdRng,
    start: Instant,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    arrivals: Vec<(usize, usize)>,
    figures: Figures,
    /// Placements when the entries were last asked for uneven targets.
    uneven_checked: usize,
}

impl Play {
    pub fn new(size: Size, scenario: Scenario, way: Way, seed: u64) -> Self {
        let start = Instant::now();
        let learns = way == Way::Learned;
        let entries = (0..size.entries).map(|_| Entry {
            balancer: new_balancer(size.targets, size.slots, learns, start),
            known: vec![Known::new(size.slots); size.targets],
            counts: vec![AnswerCounts::default(); size.targets],
        });
        Self {
            size,
            scenario,
            way,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            entries: entries.collect(),
            targets: (0..size.targets).map(|_| Target::default()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            arrivals: Vec::new(),
            figures: Figures::default(),
            uneven_checked: 0,
        }
    }

    /// Number of targets in the disturbed third, which are the first ones.
    fn third(&self) -> usize {
        self.size.targets / 3
    }

    pub fn run(mut self) -> Figures {
        self.schedule(Duration::ZERO, Event::Begin);
        self.schedule(Duration::ZERO, Event::Sweep);
        self.schedule(EXCHANGE_INTERVAL, Event::Exchange);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > LENGTH + Duration::from_secs(2) {
                break;
            }
            self.handle(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Figures {
        let limit = (self.size.work + ROUND_TRIP) * 4;
        for request in self.requests.iter().filter(|r| r.begun >= CHANGE) {
            self.figures.requests += 1;
            let took = request.answered.map(|at| at - request.begun);
            self.figures.late += usize::from(took.is_none_or(|took| took > limit));
            let took = took.unwrap_or(Duration::from_secs(2));
            self.figures.latencies_ms.push(took.as_millis() as u32);
        }
        let even = self.third() as f64 / self.size.targets as f64;
        let share = |&(third, all): &(usize, usize)| third as f64 / (all.max(1) as f64 * even);
        self.figures.third = self.arrivals.iter().map(share).collect();
        let busy: Vec<f64> = self.targets.iter().map(|t| t.busy.as_secs_f64()).collect();
        let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len() as f64;
        let available = f64::from(self.size.slots) * (LENGTH - CHANGE).as_secs_f64();
        let (third, others) = busy.split_at(self.third());
        self.figures.busy = (mean(third) / available, mean(others) / available);
        let all = mean(&busy);
        let variance = busy.iter().map(|b| (b - all).powi(2)).sum::<f64>() / busy.len() as f64;
        self.figures.imbalance = variance.sqrt() / all;
        self.figures
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + after, self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin(),
            Event::Attempt { request } => self.attempt(request),
            Event::Request { attempt } => self.send_request(attempt),
            Event::Complete { target, attempt } => self.complete(target, attempt),
            Event::Answer { attempt, refused } => self.receive_answer(attempt, refused),
            Event::Exchange => self.exchange(),
            Event::Totals(reports) => self.receive_totals(&reports),
            Event::Sweep => {
                let now = self.start + self.now;
                self.entries.iter_mut().for_each(|entry| entry.balancer.sweep(now));
                self.schedule(Duration::from_millis(50), Event::Sweep);
            }
        }
    }

    fn begin(&mut self) {
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.size.per_s;
        if self.now + Duration::from_secs_f64(pause) < LENGTH {
            self.schedule(Duration::from_secs_f64(pause), Event::Begin);
        }
        let spread = 0.1 + 0.9 * (self.rng.random::<f64>() + self.rng.random::<f64>());
        let work = self.size.work.mul_f64(spread);
        self.requests.push(Request { begun: self.now, work, attempts: 0, answered: None });
        self.attempt(self.requests.len() - 1);
    }

    fn attempt(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let number = self.attempts.len() as u32;
        let caller = SocketAddrV4::new(
            Ipv4Addr::from(0x6440_0000 + number / 60_000),
            (number % 60_000) as u16 + 1,
        );
        let flow = FlowKey { caller, service: service_address() };
        let entry = self.rng.random_range(0..self.entries.len());
        let Some((target, cookie)) = self.place(entry, flow) else { return };
        let attempt = self.attempts.len();
        let begun = self.now;
        self.attempts.push(Attempt { request, flow, entry, target, cookie, begun });
        self.schedule(ROUND_TRIP, Event::Request { attempt });
    }

    fn place(&mut self, number: usize, flow: FlowKey) -> Option<(usize, Cookie)> {
        let size = self.size;
        let loads: Vec<f64> = match self.way {
            Way::HotCold => self.targets.iter().map(Target::load).collect(),
            _ => Vec::new(),
        };
        let entry = &mut self.entries[number];
        if !matches!(self.way, Way::Announced | Way::Learned) {
            let target = ways::choose(self.way, &entry.known, &loads, size.entries, &mut self.rng);
            entry.known[target].own += 1.0;
            return Some((target, Cookie::default()));
        }
        let (kind, cookie) = (PacketKind::Open { copy: 0 }, Cookie::default());
        let packet = CallerPacket { flow, kind, cookie, seq: 0, ack: 0, data: 0 };
        let now = self.start + self.now;
        match entry.balancer.route_packet(&packet, false, Duration::ZERO, now) {
            Verdict::Forward { target, cookie, .. } => {
                let target = target.0 as usize - 1;
                self.figures.placed.push(target);
                Some((target, cookie))
            }
            _ => None,
        }
    }

    fn send_request(&mut self, attempt: usize) {
        self.pass(attempt, PacketKind::Established, 1, 100);
        let number = self.attempts[attempt].target;
        let window = (self.now.as_millis() / WINDOW.as_millis()) as usize;
        self.arrivals.resize(self.arrivals.len().max(window + 1), (0, 0));
        let is_third = number < self.third();
        self.arrivals[window].0 += usize::from(is_third);
        self.arrivals[window].1 += 1;
        let refuses = self.scenario == Scenario::Refusing && is_third && self.now >= CHANGE;
        let slots = self.size.slots;
        let target = &mut self.targets[number];
        if target.running < slots && !refuses {
            self.start_work(number, attempt);
        } else if target.queue.len() < QUEUE && !refuses {
            target.queue.push_back(attempt);
        } else {
            self.figures.refusals += usize::from(self.now >= CHANGE);
            self.schedule(ROUND_TRIP, Event::Answer { attempt, refused: true });
        }
    }

    /// Factor on the work of a request that begins at a target now.
    fn slowdown(&self, target: usize) -> f64 {
        let is_third = target < self.third();
        match self.scenario {
            Scenario::Even | Scenario::Refusing => 1.0,
            Scenario::Speeds => 1.0 / if is_third { 1.7 } else { 0.7 },
            Scenario::SlowFromHalf => {
                let is_half_used = self.targets[target].running * 2 >= self.size.slots;
                if is_third && is_half_used { 3.0 } else { 1.0 }
            }
            Scenario::Changing => {
                let since = self.now.checked_sub(CHANGE).map(|t| t.as_millis());
                let is_slow =
                    since.is_some_and(|t| (t / CHANGE_INTERVAL.as_millis()).is_multiple_of(2));
                if is_third && is_slow { 8.0 } else { 1.0 }
            }
        }
    }

    fn start_work(&mut self, number: usize, attempt: usize) {
        let work = self.requests[self.attempts[attempt].request].work;
        let work = work.mul_f64(self.slowdown(number));
        self.targets[number].running += 1;
        if self.now >= CHANGE && self.now < LENGTH {
            self.targets[number].busy += work;
        }
        self.schedule(work, Event::Complete { target: number, attempt });
    }

    fn complete(&mut self, number: usize, attempt: usize) {
        self.targets[number].running -= 1;
        if let Some(next) = self.targets[number].queue.pop_front() {
            self.start_work(number, next);
        }
        self.schedule(ROUND_TRIP, Event::Answer { attempt, refused: false });
    }

    fn receive_answer(&mut self, attempt: usize, refused: bool) {
        let bytes = if refused { REFUSAL_BYTES } else { ANSWER_BYTES };
        self.pass(attempt, PacketKind::Finish, 1 + bytes, 0);
        self.count(attempt, refused);
        let request = self.attempts[attempt].request;
        if !refused {
            self.requests[request].answered.get_or_insert(self.now);
        } else if self.requests[request].attempts < MAX_ATTEMPTS {
            self.schedule(RETRY_PAUSE, Event::Attempt { request });
        }
    }

    /// Counts an answer for an entry that places by itself.
    fn count(&mut self, attempt: usize, refused: bool) {
        let Attempt { entry, target, begun, .. } = self.attempts[attempt];
        let queue = self.targets[target].load();
        let entry = &mut self.entries[entry];
        let seconds = if refused { FAILURE_SECONDS } else { (self.now - begun).as_secs_f64() };
        entry.known[target].own = (entry.known[target].own - 1.0).max(0.0);
        entry.known[target].record_own(seconds, queue);
        entry.counts[target].answers += 1;
        entry.counts[target].ratio_sum += seconds;
    }

    fn pass(&mut self, attempt: usize, kind: PacketKind, ack: u32, data: u16) {
        if matches!(self.way, Way::Announced | Way::Learned) {
            let Attempt { flow, cookie, entry, .. } = self.attempts[attempt];
            let packet = CallerPacket { flow, kind, cookie, seq: 1, ack, data };
            let now = self.start + self.now;
            self.entries[entry].balancer.route_packet(&packet, false, Duration::ZERO, now);
        }
    }

    /// Entries report what they have seen in the last interval; the totals reach them after a delay.
    fn exchange(&mut self) {
        self.count_uneven();
        let way = self.way;
        let reports = self.entries.iter_mut().map(|entry| {
            let mut counts = std::mem::replace(
                &mut entry.counts,
                vec![AnswerCounts::default(); entry.known.len()],
            );
            if way == Way::Learned {
                counts.fill(AnswerCounts::default());
                for (id, taken) in entry.balancer.take_answered() {
                    counts[id.0 as usize - 1] = taken;
                }
            }
            // Requests in flight travel in the place of the failures, for entries that place by themselves.
            if way != Way::Learned {
                let loads = entry.known.iter().zip(&mut counts);
                loads.for_each(|(known, counts)| counts.failures = known.own.round() as u32);
            }
            counts
        });
        let reports = reports.collect();
        self.schedule(EXCHANGE_DELAY, Event::Totals(reports));
        self.schedule(EXCHANGE_INTERVAL, Event::Exchange);
    }

    fn count_uneven(&mut self) {
        let now = self.start + self.now;
        let furthest = |entry: &Entry| entry.balancer.furthest_from_announced(usize::MAX, now);
        let uneven: usize = self.entries.iter().map(|entry| furthest(entry).len()).sum();
        if uneven > 0 {
            self.figures.placed_before_uneven.get_or_insert(self.uneven_checked);
        }
        self.uneven_checked = self.figures.placed.len();
        let intervals = LENGTH.as_secs_f64() / EXCHANGE_INTERVAL.as_secs_f64();
        let all = (self.entries.len() * self.targets.len()) as f64;
        self.figures.uneven_share += uneven as f64 / all / intervals;
    }

    fn receive_totals(&mut self, reports: &[Vec<AnswerCounts>]) {
        let mut totals = vec![AnswerCounts::default(); self.size.targets];
        for report in reports {
            totals.iter_mut().zip(report).for_each(|(total, counts)| add(total, counts));
        }
        let now = self.start + self.now;
        for (entry, own) in self.entries.iter_mut().zip(reports) {
            for (target, total) in totals.iter().enumerate() {
                let mut others = *total;
                others.answers -= own[target].answers;
                others.failures -= own[target].failures;
                others.ratio_sum = (others.ratio_sum - own[target].ratio_sum).max(0.0);
                if self.way == Way::Learned {
                    let cookie = fixture::cookie(target);
                    entry.balancer.record_others_answers(cookie, others, now);
                } else {
                    let known = &mut entry.known[target];
                    known.others = f64::from(others.failures);
                    known.record(f64::from(others.answers), others.ratio_sum);
                    known.step();
                }
            }
        }
    }
}

fn add(total: &mut AnswerCounts, counts: &AnswerCounts) {
    total.answers += counts.answers;
    total.failures += counts.failures;
    total.ratio_sum += counts.ratio_sum;
}
