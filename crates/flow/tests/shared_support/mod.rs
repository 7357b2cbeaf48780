//! Modelled callers, targets and exchange of totals around real entries in several failure domains, in virtual time,
//! reproducible from a seed.

#![allow(clippy::unwrap_used, clippy::cast_possible_truncation)]

pub mod deployment;
pub mod outcomes;
mod pool;
pub mod totals;

use comfreyhold_flow::cookie::{Balancer, CallerPacket, Cookie, FlowKey, PacketKind, Verdict};
use deployment::{Kind, Scenario};
use outcomes::Outcomes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Requests that a target queues; it refuses more.
const QUEUE: usize = 8;

/// Round trip between callers and targets.
const ROUND_TRIP: Duration = Duration::from_millis(8);

/// Times of an opening and its retransmissions, and of the end of the attempt.
const SEND_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause of a caller between two requests on a flow.
const THINK_TIME: Duration = Duration::from_millis(200);

const ANSWER_BYTES: u32 = 2_000;
const REFUSAL_BYTES: u32 = 150;
const REQUEST_BYTES: u16 = 100;

/// Entries run for a while before callers begin.
pub const WARM_UP: Duration = Duration::from_millis(2_500);

/// Interval at which entries look for signs of pressure.
const PRESSURE_STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum Event {
    Begin,
    NextRequest { caller: usize },
    Attempt { request: usize },
    Send { flow: usize, copy: u32 },
    Decide { flow: usize, copy: u32, received: Duration },
    Arrive { flow: usize, request: usize },
    Complete { target: usize, flow: usize, request: usize },
    Answer { flow: usize, request: usize, refused: bool },
    Timeout { flow: usize },
    Pressure,
    Report,
    Totals { entry: Option<usize> },
    Told,
    Join,
    Sweep,
}

pub struct Request {
    pub kind: Kind,
    pub caller: usize,
    pub begun: Duration,
    pub answered: Option<Duration>,
    work: Duration,
    attempts: u32,
}

/// A caller that sends its requests one after another, on one flow as long as that is open.
pub struct Caller {
    pub domain: usize,
    kind: Kind,
    address: Ipv4Addr,
    requests_left: u32,
    flow: Option<usize>,
}

struct Flow {
    key: FlowKey,
    entry: usize,
    request: usize,
    target: Option<usize>,
    cookie: Cookie,
    seq: u32,
    ack: u32,
    /// Requests that a pooled flow still takes; `None` if the flow ends with its caller.
    requests_left: Option<u32>,
    is_over: bool,
    is_refused: bool,
}

#[derive(Default)]
struct Target {
    running: u32,
    queue: VecDeque<(usize, usize)>,
}

pub struct Entry {
    pub balancer: Balancer,
    domain: usize,
}

/// A run of one scenario.
pub struct Play {
    pub scenario: Scenario,
    rng: StdRng,
    pub start: Instant,
    pub now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    pub entries: Vec<Entry>,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    requests: Vec<Request>,
    flows: Vec<Flow>,
    pool: pool::Pool,
    exchange: totals::Exchange,
    outcomes: Outcomes,
}

impl Play {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let start = Instant::now();
        let entries = (0..scenario.entries).map(|number| Entry {
            balancer: deployment::balancer(&scenario, number % scenario.domains, start),
            domain: number % scenario.domains,
        });
        Self {
            rng: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            entries: entries.collect(),
            targets: (0..scenario.targets).map(|_| Target::default()).collect(),
            callers: Vec::new(),
            requests: Vec::new(),
            flows: Vec::new(),
            pool: pool::Pool::default(),
            exchange: totals::Exchange::default(),
            outcomes: Outcomes::default(),
            scenario,
        }
    }

    pub fn run(mut self) -> Outcomes {
        self.schedule_at(WARM_UP, Event::Begin);
        self.schedule(Duration::ZERO, Event::Sweep);
        if self.scenario.shares {
            self.schedule(PRESSURE_STEP, Event::Pressure);
            self.schedule(totals::INTERVAL, Event::Report);
        }
        if let Some((_, at)) = self.scenario.joins {
            self.schedule_at(WARM_UP + at, Event::Join);
        }
        let end = WARM_UP + self.scenario.length + deployment::LONGEST_TIMEOUT;
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > end {
                break;
            }
            self.handle(event);
        }
        self.outcomes.finish(&self.requests, &self.callers);
        self.outcomes
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin_caller(),
            Event::NextRequest { caller } => self.begin_request(caller),
            Event::Attempt { request } => self.begin_attempt(request),
            Event::Send { flow, copy } => self.decide(flow, copy, self.now),
            Event::Decide { flow, copy, received } => self.decide(flow, copy, received),
            Event::Arrive { flow, request } => self.arrive(flow, request),
            Event::Complete { target, flow, request } => self.complete(target, flow, request),
            Event::Answer { flow, request, refused } => self.receive_answer(flow, request, refused),
            Event::Timeout { flow } => {
                if self.flows[flow].target.is_none() && !self.flows[flow].is_over {
                    self.fail_opening(flow);
                }
            }
            Event::Pressure => {
                self.look_for_pressure();
                self.schedule(PRESSURE_STEP, Event::Pressure);
            }
            Event::Report => {
                self.report();
                self.schedule(totals::INTERVAL, Event::Report);
            }
            Event::Totals { entry } => self.deliver_totals(entry),
            Event::Told => self.tell_entries(),
            Event::Join => {
                let (number, _) = self.scenario.joins.unwrap();
                let (domain, now) = (self.entries[number].domain, self.start + self.now);
                self.entries[number].balancer = deployment::balancer(&self.scenario, domain, now);
            }
            Event::Sweep => {
                let now = self.start + self.now;
                self.entries.iter_mut().for_each(|entry| entry.balancer.sweep(now));
                self.schedule(Duration::from_millis(200), Event::Sweep);
            }
        }
    }

    fn begin_caller(&mut self) {
        let time = self.now.saturating_sub(WARM_UP);
        let rates = self.scenario.caller_rates(time);
        let total: f64 = rates.iter().map(|(_, _, rate)| rate).sum();
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / total;
        if time + Duration::from_secs_f64(pause) < self.scenario.length {
            self.schedule(Duration::from_secs_f64(pause), Event::Begin);
        }
        let mut pick = self.rng.random::<f64>() * total;
        let chosen = rates.iter().find(|(_, _, rate)| {
            pick -= rate;
            pick < 0.0
        });
        let Some((domain, kind, _)) = chosen.copied() else { return };
        let host = self.rng.random_range(0..deployment::HOSTS_PER_DOMAIN);
        let address = Ipv4Addr::new(100, 64, domain as u8, host);
        let is_pooled = self.scenario.pools_flows;
        let requests_left = if is_pooled { 1 } else { kind.requests_per_flow(&mut self.rng) };
        self.callers.push(Caller { domain, kind, address, requests_left, flow: None });
        self.begin_request(self.callers.len() - 1);
    }

    fn begin_request(&mut self, caller: usize) {
        let Caller { kind, requests_left, .. } = self.callers[caller];
        if requests_left == 0 || self.now >= WARM_UP + self.scenario.length {
            return;
        }
        self.callers[caller].requests_left -= 1;
        let spread = 0.1 + 0.9 * (self.rng.random::<f64>() + self.rng.random::<f64>());
        let (work, begun) = (kind.work().mul_f64(spread), self.now);
        self.requests.push(Request { kind, caller, begun, answered: None, work, attempts: 0 });
        self.begin_attempt(self.requests.len() - 1);
    }

    fn begin_attempt(&mut self, request: usize) {
        let Request { caller, kind, begun, .. } = self.requests[request];
        if self.now >= begun + kind.timeout() {
            return self.end_request(request);
        }
        self.requests[request].attempts += 1;
        if let Some(flow) = self.callers[caller].flow.or_else(|| self.take_pooled(caller)) {
            self.callers[caller].flow = Some(flow);
            return self.send_request(flow, request);
        }
        let number = self.flows.len();
        let port = (number % 60_000) as u16 + 1;
        let key = FlowKey {
            caller: SocketAddrV4::new(self.callers[caller].address, port),
            service: kind.address(),
        };
        let entry = self.scenario.choose_entry(self.callers[caller].domain, &mut self.rng);
        let requests_left = self.draw_pooled_requests(kind);
        self.flows.push(Flow {
            key,
            entry,
            request,
            target: None,
            cookie: Cookie::default(),
            seq: 1,
            ack: 1,
            requests_left,
            is_over: false,
            is_refused: false,
        });
        for (copy, after) in SEND_TIMES.into_iter().enumerate() {
            self.schedule(after, Event::Send { flow: number, copy: copy as u32 });
        }
        self.schedule(ATTEMPT_TIMEOUT, Event::Timeout { flow: number });
    }

    fn packet(&self, flow: usize, kind: PacketKind, data: u16) -> CallerPacket {
        let Flow { key, cookie, seq, ack, .. } = self.flows[flow];
        let is_opening = matches!(kind, PacketKind::Open { .. });
        let (seq, ack) = if is_opening { (0, 0) } else { (seq, ack) };
        CallerPacket { flow: key, kind, cookie, seq, ack, data }
    }

    fn decide(&mut self, flow: usize, copy: u32, received: Duration) {
        let Flow { entry, target, is_over, .. } = self.flows[flow];
        if is_over || target.is_some() {
            return;
        }
        if let Some(until) = self.scenario.frozen_until(entry, self.now.saturating_sub(WARM_UP)) {
            // The entry reads the packet when it is resumed, and drops it as late.
            return self.schedule_at(WARM_UP + until, Event::Decide { flow, copy: 9, received });
        }
        let packet = self.packet(flow, PacketKind::Open { copy }, 0);
        let (now, waited) = (self.start + self.now, self.now.saturating_sub(received));
        let is_late = copy == 9;
        match self.entries[entry].balancer.route_packet(&packet, is_late, waited, now) {
            Verdict::Forward { target, cookie, .. } => {
                self.flows[flow].target = Some(usize::try_from(target.0).unwrap() - 1);
                self.flows[flow].cookie = cookie;
                let request = self.flows[flow].request;
                let caller = self.requests[request].caller;
                self.callers[caller].flow = Some(flow);
                self.schedule(ROUND_TRIP, Event::Arrive { flow, request });
            }
            Verdict::Reset(_) => {
                self.outcomes.refused_by_entries += 1;
                self.flows[flow].is_refused = true;
                self.fail_opening(flow);
            }
            Verdict::Defer(wait) => {
                self.outcomes.hold(self.now.saturating_sub(WARM_UP));
                self.schedule(wait, Event::Decide { flow, copy, received });
            }
            Verdict::Discard(_) => {}
        }
        if !is_late {
            self.record_limit(flow);
        }
    }

    /// Sends a request on an open flow.
    fn send_request(&mut self, flow: usize, request: usize) {
        self.flows[flow].request = request;
        self.schedule(ROUND_TRIP / 2, Event::Arrive { flow, request });
    }

    fn arrive(&mut self, flow: usize, request: usize) {
        self.outcomes.run_after_refusal += usize::from(self.flows[flow].is_refused);
        self.pass(flow, PacketKind::Established, REQUEST_BYTES);
        self.flows[flow].seq += u32::from(REQUEST_BYTES);
        self.outcomes.arrivals += 1;
        let number = self.flows[flow].target.unwrap();
        let slots = self.scenario.slots;
        let target = &mut self.targets[number];
        if target.running < slots {
            target.running += 1;
            self.schedule_completion(number, flow, request);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back((flow, request));
        } else {
            self.outcomes.refused_by_targets += 1;
            self.schedule(ROUND_TRIP / 2, Event::Answer { flow, request, refused: true });
        }
    }

    fn schedule_completion(&mut self, target: usize, flow: usize, request: usize) {
        let work = self.requests[request].work;
        self.schedule(work, Event::Complete { target, flow, request });
    }

    fn complete(&mut self, number: usize, flow: usize, request: usize) {
        let target = &mut self.targets[number];
        target.running -= 1;
        if let Some((flow, request)) = target.queue.pop_front() {
            target.running += 1;
            self.schedule_completion(number, flow, request);
        }
        self.schedule(ROUND_TRIP / 2, Event::Answer { flow, request, refused: false });
    }

    fn receive_answer(&mut self, flow: usize, request: usize, refused: bool) {
        self.flows[flow].ack += if refused { REFUSAL_BYTES } else { ANSWER_BYTES };
        let Request { kind, caller, begun, .. } = self.requests[request];
        let is_last = !refused && self.is_last_on_flow(flow, caller);
        if is_last || kind == Kind::Order {
            self.pass(flow, PacketKind::Finish, 0);
            self.flows[flow].is_over = true;
            self.callers[caller].flow = None;
        } else if !refused {
            // A short refusal is acknowledged only with the next request.
            self.pass(flow, PacketKind::Established, 0);
        }
        if refused {
            return self.retry(request);
        }
        if self.now < begun + kind.timeout() {
            self.requests[request].answered.get_or_insert(self.now);
        }
        self.end_request(request);
    }

    fn pass(&mut self, flow: usize, kind: PacketKind, data: u16) {
        let entry = self.flows[flow].entry;
        if self.scenario.frozen_until(entry, self.now.saturating_sub(WARM_UP)).is_some() {
            return;
        }
        let packet = self.packet(flow, kind, data);
        let now = self.start + self.now;
        self.entries[entry].balancer.route_packet(&packet, false, Duration::ZERO, now);
    }

    fn fail_opening(&mut self, flow: usize) {
        self.flows[flow].is_over = true;
        self.retry(self.flows[flow].request);
    }

    fn retry(&mut self, request: usize) {
        if self.requests[request].attempts >= MAX_ATTEMPTS {
            return self.end_request(request);
        }
        let pause = RETRY_PAUSE.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(pause, Event::Attempt { request });
    }

    fn end_request(&mut self, request: usize) {
        let caller = self.requests[request].caller;
        self.return_to_pool(caller);
        let pause = THINK_TIME.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(pause, Event::NextRequest { caller });
    }
}
