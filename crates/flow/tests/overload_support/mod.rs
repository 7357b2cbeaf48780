//! Modelled callers and targets around real entries, in virtual time, reproducible from a seed.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, FlowKey, PacketKind, Verdict,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE: &str = "orders";

/// Mean time that a target works on a request.
const MEAN_WORK: Duration = Duration::from_millis(55);

/// Latency objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(250);

/// Time after which a caller gives up a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Requests that a target queues; it refuses more.
const QUEUE: usize = 16;

/// Round trip between callers and targets.
const ROUND_TRIP: Duration = Duration::from_millis(8);

/// Times of an opening and its retransmissions, and of the end of the attempt.
const SEND_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Bytes of an answer and of a target's refusal.
const ANSWER_BYTES: u32 = 1_200;
const REFUSAL_BYTES: u32 = 150;

/// Time in which callers begin requests; the play goes on until all have ended.
const LENGTH: Duration = Duration::from_secs(6);

/// Load and disturbances of a play.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Mean share of the slots in use without disturbance.
    pub utilisation: f64,
    /// Time of a burst, and the factor on the load in it.
    pub burst: Option<(Range<Duration>, f64)>,
    /// Time in which no entry runs. At its end all start anew within 300 ms.
    pub outage: Option<Range<Duration>>,
    /// Share of the targets that take four times as long.
    pub slow_share: f64,
    /// Share of the targets that answer nothing.
    pub silent_share: f64,
    /// Whether the entries start anew one after another.
    pub restarts_entries: bool,
}

/// What has become of the requests.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub in_time: usize,
    pub late: usize,
    pub unserved: usize,
    pub refused_by_targets: usize,
    pub refused_by_entries: usize,
    /// Attempts that waited in an entry.
    pub held: usize,
    /// Attempts that a target began after an entry had refused them.
    pub run_after_refusal: usize,
    /// Time at which each request began, and whether it was answered in time.
    pub begun: RequestTimes,
}

/// Shows as their number in messages.
#[derive(Default)]
pub struct RequestTimes(Vec<(Duration, bool)>);

impl RequestTimes {
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl std::fmt::Debug for RequestTimes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0.len())
    }
}

impl Outcomes {
    pub fn begun_in(&self, time: &Range<Duration>) -> usize {
        self.begun.0.iter().filter(|(at, _)| time.contains(at)).count()
    }

    pub fn in_time_of(&self, time: &Range<Duration>) -> usize {
        self.begun.0.iter().filter(|(at, in_time)| time.contains(at) && *in_time).count()
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Begin,
    Attempt { request: usize },
    Send { attempt: usize, copy: u32 },
    Decide { attempt: usize, copy: u32, received: Duration },
    Request { attempt: usize },
    Complete { target: usize, attempt: usize },
    Answer { attempt: usize, refused: bool },
    Timeout { attempt: usize },
    RestartEntry { entry: usize },
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
    target: Option<usize>,
    cookie: Cookie,
    is_over: bool,
    is_held: bool,
    is_refused: bool,
}

#[derive(Default)]
struct Target {
    running: u32,
    queue: VecDeque<usize>,
    slowdown: f64,
    is_silent: bool,
}

struct Entry {
    balancer: Balancer,
    /// Time from which the entry runs.
    up_from: Duration,
}

pub struct Play {
    load: Load,
    slots: u32,
    limited: bool,
    rng: StdRng,
    start: Instant,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    outcomes: Outcomes,
}

impl Play {
    pub fn new(
        (entries, targets, slots): (usize, usize, u32),
        load: Load,
        seed: u64,
        limited: bool,
    ) -> Self {
        let count = |share: f64| (share * targets as f64).ceil() as usize;
        let (slow, silent) = (count(load.slow_share), count(load.silent_share));
        let targets = (0..targets).map(|number| Target {
            slowdown: if number < slow { 4.0 } else { 1.0 },
            is_silent: number < silent,
            ..Target::default()
        });
        let mut play = Self {
            load,
            slots,
            limited,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            entries: Vec::new(),
            targets: targets.collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            outcomes: Outcomes::default(),
        };
        // The entries have run for a while.
        play.entries = (0..entries).map(|_| play.new_entry(Duration::ZERO)).collect();
        play
    }

    pub fn run(mut self) -> Outcomes {
        self.schedule(Duration::from_millis(2_500), Event::Begin);
        self.schedule(Duration::ZERO, Event::Sweep);
        if let Some(outage) = self.load.outage.clone() {
            for entry in 0..self.entries.len() {
                let at = outage.end + self.rng.random_range(0..300) * Duration::from_millis(1);
                self.schedule_at(WARM_UP + at, Event::RestartEntry { entry });
            }
        }
        if self.load.restarts_entries {
            let gap = LENGTH / u32::try_from(self.entries.len() + 1).unwrap();
            for entry in 0..self.entries.len() {
                let at = WARM_UP + gap * u32::try_from(entry + 1).unwrap();
                self.schedule_at(at, Event::RestartEntry { entry });
            }
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > WARM_UP + LENGTH + DEADLINE * 2 {
                break;
            }
            self.handle(event);
        }
        for request in &self.requests {
            let in_time = request.answered.is_some_and(|at| at <= request.begun + OBJECTIVE);
            match request.answered {
                Some(_) if in_time => self.outcomes.in_time += 1,
                Some(_) => self.outcomes.late += 1,
                None => self.outcomes.unserved += 1,
            }
            self.outcomes.begun.0.push((request.begun.saturating_sub(WARM_UP), in_time));
        }
        self.outcomes
    }

    fn new_entry(&self, up_from: Duration) -> Entry {
        let settings = BalancerSettings::builder()
            .domain(DomainName::from("a"))
            .remote_penalty(1.0)
            .restore_period(Duration::from_secs(2))
            .limits_openings(self.limited)
            .build();
        let mut balancer = Balancer::new(settings);
        let now = self.start + up_from;
        let route = Route {
            name: "r".to_owned(),
            address: service_address(),
            class: RequestClass::Idempotent,
            timeout_ms: 2_500,
            objective_ms: u64::try_from(OBJECTIVE.as_millis()).unwrap(),
            priority: 1,
            destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
        };
        let service = RoutedService {
            name: SERVICE.to_owned(),
            max_flows: 2_000,
            cold_requests_per_1000_s: 0,
        };
        let list = RouteList {
            version: 1,
            routes: vec![route],
            services: vec![service],
            idle_timeout_ms: 15_000,
        };
        let table = Some(Arc::new(list.into_checked().unwrap()));
        balancer.set_routing(Routing { change: 1, table, ..Routing::default() }, now);
        for number in 0..self.targets.len() {
            balancer.set_target(self.target_spec(number, now), now);
        }
        Entry { balancer, up_from }
    }

    fn target_spec(&self, number: usize, now: Instant) -> TargetSpec {
        let [.., high, low] = u32::try_from(number).unwrap().to_be_bytes();
        TargetSpec {
            id: TargetId(number as u64 + 1),
            born_ms: 1,
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 80),
            domain: DomainName::from("a"),
            slots: self.slots,
            availability: Availability::Serving,
            cold_until: now,
            silent: false,
        }
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
            Event::Begin => self.begin_request(),
            Event::Attempt { request } => self.begin_attempt(request),
            Event::Send { attempt, copy } => {
                let is_waiting = !self.attempts[attempt].is_over;
                if is_waiting
                    && self.attempts[attempt].target.is_none_or(|t| self.targets[t].is_silent)
                {
                    self.decide(attempt, copy, self.now);
                }
            }
            Event::Decide { attempt, copy, received } => {
                if !self.attempts[attempt].is_over {
                    self.decide(attempt, copy, received);
                }
            }
            Event::Request { attempt } => self.send_request(attempt),
            Event::Complete { target, attempt } => self.complete(target, attempt),
            Event::Answer { attempt, refused } => self.receive_answer(attempt, refused),
            Event::Timeout { attempt } => {
                let is_open =
                    self.attempts[attempt].target.is_some_and(|t| !self.targets[t].is_silent);
                if !is_open {
                    self.end_attempt(attempt);
                }
            }
            Event::RestartEntry { entry } => {
                self.entries[entry] = self.new_entry(self.now);
            }
            Event::Sweep => {
                let now = self.start + self.now;
                self.entries.iter_mut().for_each(|entry| entry.balancer.sweep(now));
                self.schedule(Duration::from_millis(200), Event::Sweep);
            }
        }
    }

    fn begin_request(&mut self) {
        let capacity = f64::from(self.slots) * self.targets.len() as f64 / MEAN_WORK.as_secs_f64();
        let time = self.now.saturating_sub(WARM_UP);
        let factor = match &self.load.burst {
            Some((burst, factor)) if burst.contains(&time) => *factor,
            _ => 1.0,
        };
        let rate = capacity * self.load.utilisation * factor;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        if self.now + Duration::from_secs_f64(pause) < WARM_UP + LENGTH {
            self.schedule(Duration::from_secs_f64(pause), Event::Begin);
        }
        // A sum of uniform numbers is close to the spread of real work and needs no tail.
        let spread = 0.1 + 0.9 * (self.rng.random::<f64>() + self.rng.random::<f64>());
        let work = MEAN_WORK.mul_f64(spread);
        self.requests.push(Request { begun: self.now, work, attempts: 0, answered: None });
        self.begin_attempt(self.requests.len() - 1);
    }

    fn begin_attempt(&mut self, request: usize) {
        if self.now >= self.requests[request].begun + DEADLINE {
            return;
        }
        self.requests[request].attempts += 1;
        let number = u32::try_from(self.attempts.len()).unwrap();
        let caller = SocketAddrV4::new(
            Ipv4Addr::from(0x6440_0000 + number / 60_000),
            (number % 60_000) as u16 + 1,
        );
        let attempt = self.attempts.len();
        let entry = self.rng.random_range(0..self.entries.len());
        self.attempts.push(Attempt {
            request,
            flow: FlowKey { caller, service: service_address() },
            entry,
            target: None,
            cookie: Cookie::default(),
            is_over: false,
            is_held: false,
            is_refused: false,
        });
        for (copy, after) in SEND_TIMES.into_iter().enumerate() {
            self.schedule(after, Event::Send { attempt, copy: copy as u32 });
        }
        self.schedule(ATTEMPT_TIMEOUT, Event::Timeout { attempt });
    }

    fn is_up(&self, entry: usize) -> bool {
        let outage = self.load.outage.clone().map(|o| WARM_UP + o.start..WARM_UP + o.end);
        let is_lost = outage.is_some_and(|outage| {
            self.now >= outage.start && self.entries[entry].up_from < outage.end
        });
        !is_lost
    }

    fn packet(&self, attempt: usize, kind: PacketKind, ack: u32, data: u16) -> CallerPacket {
        let Attempt { flow, cookie, .. } = self.attempts[attempt];
        let seq = u32::from(ack > 0);
        CallerPacket { flow, kind, cookie, seq, ack, data }
    }

    fn decide(&mut self, attempt: usize, copy: u32, received: Duration) {
        let entry = self.attempts[attempt].entry;
        if !self.is_up(entry) {
            return;
        }
        let packet = self.packet(attempt, PacketKind::Open { copy }, 0, 0);
        let (now, waited) = (self.start + self.now, self.now.saturating_sub(received));
        match self.entries[entry].balancer.route_packet(&packet, false, waited, now) {
            Verdict::Forward { target, cookie, .. } => {
                let target = usize::try_from(target.0).unwrap() - 1;
                self.attempts[attempt].target = Some(target);
                self.attempts[attempt].cookie = cookie;
                if !self.targets[target].is_silent {
                    self.schedule(ROUND_TRIP, Event::Request { attempt });
                }
            }
            Verdict::Reset(_) => {
                self.outcomes.refused_by_entries += 1;
                self.attempts[attempt].is_refused = true;
                self.end_attempt(attempt);
            }
            Verdict::Defer(wait) => {
                let was_held = std::mem::replace(&mut self.attempts[attempt].is_held, true);
                self.outcomes.held += usize::from(!was_held);
                self.schedule(wait, Event::Decide { attempt, copy, received });
            }
            Verdict::Discard(_) => {}
        }
    }

    /// The caller acknowledges the handshake and sends its request.
    fn send_request(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        self.outcomes.run_after_refusal += usize::from(self.attempts[attempt].is_refused);
        self.pass(attempt, PacketKind::Established, 1, 100);
        let Some(number) = self.attempts[attempt].target else { return };
        let slots = self.slots;
        let target = &mut self.targets[number];
        if target.running < slots {
            target.running += 1;
            self.schedule_completion(number, attempt);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back(attempt);
        } else {
            self.outcomes.refused_by_targets += 1;
            self.schedule(ROUND_TRIP, Event::Answer { attempt, refused: true });
        }
    }

    fn schedule_completion(&mut self, target: usize, attempt: usize) {
        let work = self.requests[self.attempts[attempt].request].work;
        let work = work.mul_f64(self.targets[target].slowdown);
        self.schedule(work, Event::Complete { target, attempt });
    }

    fn complete(&mut self, number: usize, attempt: usize) {
        let target = &mut self.targets[number];
        target.running -= 1;
        if let Some(next) = target.queue.pop_front() {
            target.running += 1;
            self.schedule_completion(number, next);
        }
        self.schedule(ROUND_TRIP / 2, Event::Answer { attempt, refused: false });
    }

    fn receive_answer(&mut self, attempt: usize, refused: bool) {
        let bytes = if refused { REFUSAL_BYTES } else { ANSWER_BYTES };
        self.pass(attempt, PacketKind::Finish, 1 + bytes, 0);
        if self.attempts[attempt].is_over {
            return;
        }
        let request = self.attempts[attempt].request;
        let is_in_time = self.now < self.requests[request].begun + DEADLINE;
        if !refused && is_in_time {
            self.requests[request].answered.get_or_insert(self.now);
            self.attempts[attempt].is_over = true;
        } else {
            self.end_attempt(attempt);
        }
    }

    /// Passes a packet of an open flow to its entry, if that runs.
    fn pass(&mut self, attempt: usize, kind: PacketKind, ack: u32, data: u16) {
        let entry = self.attempts[attempt].entry;
        if self.is_up(entry) {
            let packet = self.packet(attempt, kind, ack, data);
            let now = self.start + self.now;
            self.entries[entry].balancer.route_packet(&packet, false, Duration::ZERO, now);
        }
    }

    fn end_attempt(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].is_over, true) {
            return;
        }
        let request = self.attempts[attempt].request;
        if self.requests[request].attempts < MAX_ATTEMPTS
            && self.requests[request].answered.is_none()
        {
            let pause = RETRY_PAUSE.mul_f64(self.rng.random_range(0.5..1.5));
            self.schedule(pause, Event::Attempt { request });
        }
    }
}

/// Callers begin when the entries have run for longer than the limit that they start with lasts.
const WARM_UP: Duration = Duration::from_millis(2_500);

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}
