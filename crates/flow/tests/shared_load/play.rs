//! Entries of several failure domains that share their load, with modelled callers and targets, in virtual time.
//! Reproducible from a seed.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, FlowKey, PacketKind, Verdict,
};
use comfreyhold_load::{LoadBook, LoadReport, LoadSum, LoadTotals, SenderStart};
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

pub const SERVICE: &str = "orders";

/// Slots of a target, and further requests that it queues; it refuses more.
const SLOTS: u32 = 2;
const QUEUE: usize = 8;

/// Mean time that a target works on a request.
const MEAN_WORK: Duration = Duration::from_millis(40);

/// Time between a caller's opening and its data, and between the end of a request and the end of its flow.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Interval and delay of the exchange: half of the delay is for the report, half for the totals.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const HALF_DELAY: Duration = Duration::from_millis(25);

/// Interval at which the targets' loads are sampled.
const SAMPLE: Duration = Duration::from_millis(50);

/// Demand of the callers of a domain at a time, as a share of the slots of the domain.
pub type Demand = fn(domain: usize, at: Duration) -> f64;

/// A deployment and its callers' demand.
#[derive(Clone, Debug)]
pub struct Setup {
    pub entries: usize,
    pub domains: usize,
    pub targets: usize,
    pub shares: bool,
    pub length: Duration,
    /// Time in which the control daemon of domain 0 is cut off from all others.
    pub cut: Option<Range<Duration>>,
    pub demand: Demand,
}

/// What the play has shown.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub begun: usize,
    pub refused: usize,
    /// Refused requests by time, in steps of 250 ms.
    pub refused_by_step: BTreeMap<u128, usize>,
    /// Requests sent to another domain, and all, by the time at which they began in steps of 250 ms. Of domain 0.
    pub remote: Vec<(usize, usize)>,
    /// Requests at each target, by sample.
    pub loads: Vec<Vec<f64>>,
    /// Sums of in-flight requests over all entries that the totals stated, with the true ones.
    pub totals: Vec<(f64, f64)>,
}

impl Outcomes {
    /// Mean over the targets of the standard deviation over time of their loads, averaged over 250 ms.
    pub fn swing(&self, from: Duration) -> f64 {
        let first = (from.as_millis() / SAMPLE.as_millis()) as usize;
        let targets = self.loads[0].len();
        let deviations = (0..targets).map(|target| {
            let series: Vec<f64> = self.loads[first..].iter().map(|loads| loads[target]).collect();
            let means: Vec<f64> =
                series.chunks_exact(5).map(|c| c.iter().sum::<f64>() / 5.0).collect();
            deviation(&means)
        });
        deviations.sum::<f64>() / targets as f64
    }

    /// Remote share of domain 0 in each step of 250 ms.
    pub fn remote_shares(&self) -> Vec<f64> {
        self.remote.iter().map(|(remote, all)| *remote as f64 / (*all).max(1) as f64).collect()
    }
}

/// Standard deviation.
pub fn deviation(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    (values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / values.len() as f64).sqrt()
}

enum Event {
    Begin { domain: usize },
    Data { flow: usize },
    Complete { target: usize, flow: usize },
    Finish { flow: usize },
    Report { entry: usize },
    Receive { entry: usize, report: Box<LoadReport> },
    Totals { entry: usize, totals: Box<LoadTotals> },
    SendSums { book: usize },
    Sum { book: usize, sum: Box<LoadSum> },
    Sample,
}

struct Flow {
    key: FlowKey,
    entry: usize,
    target: usize,
    cookie: Cookie,
}

#[derive(Default)]
struct Target {
    running: u32,
    queue: VecDeque<usize>,
}

pub struct Play {
    setup: Setup,
    rng: StdRng,
    start: Instant,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    pub entries: Vec<Balancer>,
    books: Vec<LoadBook>,
    targets: Vec<Target>,
    flows: Vec<Flow>,
    outcomes: Outcomes,
}

impl Play {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut play = Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            entries: (0..setup.entries).map(|number| entry(number % setup.domains)).collect(),
            books: (0..setup.domains)
                .map(|book| LoadBook::new(SenderStart { sender: 1_000 + book as u64, start: 1 }))
                .collect(),
            targets: (0..setup.targets).map(|_| Target::default()).collect(),
            flows: Vec::new(),
            outcomes: Outcomes::default(),
            setup,
        };
        // Entries hold openings for a moment after they have received their first routes.
        play.now = Duration::from_secs(1);
        let at = play.start;
        for balancer in &mut play.entries {
            balancer.set_routing(routing(), at);
            for target in 0..play.setup.targets {
                balancer.set_target(spec(target, play.setup.domains, at), at);
            }
        }
        play.schedule_first();
        play
    }

    fn schedule_first(&mut self) {
        for domain in 0..self.setup.domains {
            self.schedule(Duration::ZERO, Event::Begin { domain });
            if self.setup.shares {
                let delay = REPORT_INTERVAL.mul_f64(self.rng.random());
                self.schedule(delay, Event::SendSums { book: domain });
            }
        }
        let reporting = if self.setup.shares { self.setup.entries } else { 0 };
        for entry in 0..reporting {
            let delay = REPORT_INTERVAL.mul_f64(self.rng.random());
            self.schedule(delay, Event::Report { entry });
        }
        self.schedule(Duration::ZERO, Event::Sample);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + delay, self.last_event), event);
    }

    pub fn run(mut self) -> Outcomes {
        let end = self.now + self.setup.length;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcomes
    }

    /// Whether messages to and from the control daemon of a domain are lost now.
    fn is_cut(&self, domain: usize) -> bool {
        let elapsed = self.now - Duration::from_secs(1);
        domain == 0 && self.setup.cut.as_ref().is_some_and(|cut| cut.contains(&elapsed))
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin { domain } => self.begin(domain),
            Event::Data { flow } => self.receive_data(flow),
            Event::Complete { target, flow } => self.complete(target, flow),
            Event::Finish { flow } => self.send(flow, PacketKind::Finish, 0),
            Event::Report { entry } => self.report(entry),
            Event::Receive { entry, report } => self.receive_report(entry, *report),
            Event::Totals { entry, totals } => {
                let at = self.at();
                self.entries[entry].apply_load_totals(&totals, at).expect("fresh totals");
            }
            Event::SendSums { book } => {
                let at = self.at();
                if let Some(sum) = self.books[book].own_sum(at) {
                    for other in 0..self.books.len() {
                        if other == book || self.is_cut(other) || self.is_cut(book) {
                            continue;
                        }
                        let sum = Box::new(sum.clone());
                        self.schedule(Duration::from_millis(1), Event::Sum { book: other, sum });
                    }
                }
                self.schedule(REPORT_INTERVAL, Event::SendSums { book });
            }
            Event::Sum { book, sum } => {
                let at = self.at();
                self.books[book].receive_sum(*sum, at).expect("sums arrive in order");
            }
            Event::Sample => {
                let load = |t: &Target| f64::from(t.running) + t.queue.len() as f64;
                self.outcomes.loads.push(self.targets.iter().map(load).collect());
                self.schedule(SAMPLE, Event::Sample);
            }
        }
    }

    fn begin(&mut self, domain: usize) {
        let targets = self.setup.targets as f64 / self.setup.domains as f64;
        let elapsed = self.now - Duration::from_secs(1);
        let demand = (self.setup.demand)(domain, elapsed).max(0.01);
        let per_s = demand * targets * f64::from(SLOTS) / MEAN_WORK.as_secs_f64();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
        self.schedule(Duration::from_secs_f64(gap), Event::Begin { domain });
        let of_domain = (self.setup.entries - domain).div_ceil(self.setup.domains);
        let entry = domain + self.rng.random_range(0..of_domain) * self.setup.domains;
        let number = self.flows.len() as u32;
        let caller = SocketAddrV4::new(
            Ipv4Addr::from(0x6440_0000 + number / 50_000),
            (number % 50_000) as u16 + 1_024,
        );
        let key = FlowKey { caller, service: address() };
        let opening = packet(key, PacketKind::Open { copy: 0 }, Cookie::default(), 0);
        let at = self.at();
        let verdict = self.entries[entry].route_packet(&opening, false, Duration::ZERO, at);
        let Verdict::Forward { target, cookie, .. } = verdict else {
            unreachable!("nothing limits openings here: {verdict:?}")
        };
        let target = target.0 as usize;
        self.outcomes.begun += 1;
        if domain == 0 {
            let step = (elapsed.as_millis() / 250) as usize;
            self.outcomes.remote.resize((step + 1).max(self.outcomes.remote.len()), (0, 0));
            let counts = &mut self.outcomes.remote[step];
            counts.0 += usize::from(!target.is_multiple_of(self.setup.domains));
            counts.1 += 1;
        }
        self.flows.push(Flow { key, entry, target, cookie });
        self.schedule(ROUND_TRIP, Event::Data { flow: number as usize });
    }

    fn send(&mut self, flow: usize, kind: PacketKind, data: u16) {
        let at = self.at();
        let Flow { key, entry, cookie, .. } = self.flows[flow];
        let packet = packet(key, kind, cookie, data);
        self.entries[entry].route_packet(&packet, false, Duration::ZERO, at);
    }

    fn receive_data(&mut self, flow: usize) {
        self.send(flow, PacketKind::Established, 100);
        let target = self.flows[flow].target;
        if self.targets[target].running < SLOTS {
            self.targets[target].running += 1;
            self.work(target, flow);
        } else if self.targets[target].queue.len() < QUEUE {
            self.targets[target].queue.push_back(flow);
        } else {
            self.outcomes.refused += 1;
            let step = (self.now - Duration::from_secs(1)).as_millis() / 250;
            *self.outcomes.refused_by_step.entry(step).or_default() += 1;
            self.schedule(ROUND_TRIP, Event::Finish { flow });
        }
    }

    fn work(&mut self, target: usize, flow: usize) {
        let work = MEAN_WORK.mul_f64(-(1.0 - self.rng.random::<f64>()).ln());
        self.schedule(work, Event::Complete { target, flow });
    }

    fn complete(&mut self, target: usize, flow: usize) {
        self.schedule(ROUND_TRIP, Event::Finish { flow });
        match self.targets[target].queue.pop_front() {
            Some(next) => self.work(target, next),
            None => self.targets[target].running -= 1,
        }
    }

    fn report(&mut self, entry: usize) {
        let from = SenderStart { sender: entry as u64, start: 1 };
        let at = self.at();
        if let Some(mut report) = self.entries[entry].load_report(from, at) {
            report.under_pressure = true;
            let report = Box::new(report);
            self.schedule(HALF_DELAY, Event::Receive { entry, report });
        }
        self.schedule(REPORT_INTERVAL, Event::Report { entry });
    }

    fn receive_report(&mut self, entry: usize, report: LoadReport) {
        if self.is_cut(entry % self.setup.domains) {
            return;
        }
        let at = self.at();
        let from = report.from;
        let book = &mut self.books[entry % self.setup.domains];
        book.receive_report(report, at).expect("reports arrive in order");
        let totals = Box::new(book.totals(Some(from), at));
        let stated: u32 = totals.targets.iter().map(|target| target.in_flight).sum();
        let load = |t: &Target| f64::from(t.running) + t.queue.len() as f64;
        let present = self.targets.iter().map(load).sum();
        self.outcomes.totals.push((f64::from(stated) / 16.0, present));
        self.schedule(HALF_DELAY, Event::Totals { entry, totals });
    }
}

pub fn address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn packet(flow: FlowKey, kind: PacketKind, cookie: Cookie, data: u16) -> CallerPacket {
    CallerPacket { flow, kind, cookie, seq: 7, ack: 9, data }
}

pub fn entry(domain: usize) -> Balancer {
    let settings = BalancerSettings::builder()
        .domain(domain_name(domain))
        .remote_penalty(1.0)
        .restore_period(Duration::from_secs(2))
        .limits_openings(false)
        .build();
    Balancer::new(settings)
}

pub fn domain_name(domain: usize) -> DomainName {
    DomainName::from(format!("d{domain}").as_str())
}

pub fn spec(number: usize, domains: usize, now: Instant) -> TargetSpec {
    TargetSpec {
        id: TargetId(number as u64),
        born_ms: 1,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0001 + number as u32), 80),
        domain: domain_name(number % domains),
        slots: SLOTS,
        availability: Availability::Serving,
        cold_until: now,
        silent: false,
    }
}

pub fn routing() -> Routing {
    let route = Route {
        name: "orders".to_owned(),
        address: address(),
        class: RequestClass::NonIdempotent,
        timeout_ms: 5_000,
        objective_ms: 500,
        priority: 0,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    };
    let list = RouteList {
        version: 1,
        routes: vec![route],
        services: vec![RoutedService {
            name: SERVICE.to_owned(),
            max_flows: 10,
            cold_requests_per_1000_s: 0,
        }],
        idle_timeout_ms: 15_000,
    };
    let table = list.into_checked().expect("the routes are valid");
    Routing { change: 1, table: Some(Arc::new(table)), ..Routing::default() }
}
