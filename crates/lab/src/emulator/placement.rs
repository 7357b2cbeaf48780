//! Schemes that choose the target of a new flow, as one entry runs them.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, FlowKey, PacketKind, Verdict,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::{Display, EnumIter, EnumString};

/// Advantage of a target in the own domain under `LeastWork`, in requests per slot; that of the daemon.
pub const HOME_ADVANTAGE: f64 = comfreyhold_fleet::entry::HOME_ADVANTAGE;

/// A scheme of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum SchemeName {
    /// By a hash of the flow alone.
    Hash,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest open flows through this entry.
    FewestFlows,
    /// The one of two random targets with less work through this entry.
    TwoChoices,
    /// As `FewestFlows`, among a part of the targets that belongs to this entry.
    Split,
    /// The entry's own decision code.
    LeastWork,
    /// As `LeastWork`, but late openings go at once after a start.
    LeastWorkAtOnce,
}

/// Where an opening goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placed {
    /// To a target.
    At(usize),
    /// It is decided about again after this time.
    Later(Duration),
    /// Nowhere, as long as its caller sends no other copy.
    Nowhere,
    /// Nowhere; its caller is told.
    Refused,
}

/// What an entry knows about a flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowFacts {
    /// Number of the flow.
    pub flow: u64,
    /// Whether many requests will come on it.
    pub long: bool,
    /// Copies of the opening sent before.
    pub copy: u32,
}

/// One entry.
pub struct EntryPlacement {
    scheme: SchemeName,
    targets: usize,
    part: Vec<usize>,
    turn: usize,
    open: Vec<u32>,
    work: Vec<u32>,
    balancer: Balancer,
    start: Instant,
    acknowledged: BTreeMap<u64, u32>,
}

impl EntryPlacement {
    /// Creates an entry that knows all targets, given by their domains. It starts at a time of the run, or has
    /// run long before.
    #[must_use]
    pub fn new(
        scheme: SchemeName,
        entry: usize,
        entries: usize,
        domains: &[usize],
        own: usize,
        starts: Option<Duration>,
    ) -> Self {
        let targets = domains.len();
        let epoch = Instant::now();
        let start = epoch + SETTLED;
        let knows = match (scheme, starts) {
            (SchemeName::LeastWork, Some(at)) => start + at,
            _ => epoch,
        };
        let settings = BalancerSettings::builder()
            .domain(domain_name(own))
            .remote_penalty(HOME_ADVANTAGE)
            .restore_period(Duration::ZERO)
            .build();
        let mut balancer = Balancer::new(settings);
        balancer.set_routing(routing(), knows);
        for (target, domain) in domains.iter().enumerate() {
            balancer.set_target(spec(target, *domain, epoch), epoch);
        }
        Self {
            scheme,
            targets,
            part: part(entry, entries, targets),
            turn: entry,
            open: vec![0; targets],
            work: vec![0; targets],
            balancer,
            start,
            acknowledged: BTreeMap::new(),
        }
    }

    /// Chooses the target of an opening. `tried` are targets that left it unanswered.
    pub fn place(
        &mut self,
        facts: &FlowFacts,
        tried: &[usize],
        now: Duration,
        rng: &mut StdRng,
    ) -> Placed {
        let all: Vec<usize> = (0..self.targets).filter(|t| !tried.contains(t)).collect();
        let fewest = |among: &[usize], open: &[u32]| {
            among.iter().copied().min_by_key(|t| (open[*t], rank(facts.flow, *t)))
        };
        let target = match self.scheme {
            SchemeName::Hash => all.iter().copied().min_by_key(|t| rank(facts.flow, *t)),
            SchemeName::RoundRobin => {
                self.turn += 1;
                all.get(self.turn % all.len().max(1)).copied()
            }
            SchemeName::FewestFlows => fewest(&all, &self.open),
            SchemeName::TwoChoices => {
                let pick = |rng: &mut StdRng| all[rng.random_range(0..all.len())];
                let (a, b) = (pick(rng), pick(rng));
                Some(if self.work[a] <= self.work[b] { a } else { b })
            }
            SchemeName::Split => {
                let own: Vec<usize> =
                    self.part.iter().copied().filter(|t| !tried.contains(t)).collect();
                fewest(if own.is_empty() { &all } else { &own }, &self.open)
            }
            SchemeName::LeastWork | SchemeName::LeastWorkAtOnce => {
                return self.decide(facts, now);
            }
        };
        let Some(target) = target else { return Placed::Refused };
        self.open[target] += 1;
        Placed::At(target)
    }

    fn decide(&mut self, facts: &FlowFacts, now: Duration) -> Placed {
        let kind = PacketKind::Open { copy: facts.copy };
        let packet = packet(facts, kind, Cookie::default(), (1, 0, 0));
        match self.balancer.route_packet(&packet, false, Duration::ZERO, self.start + now) {
            Verdict::Forward { target, .. } => {
                usize::try_from(target.0).map_or(Placed::Refused, Placed::At)
            }
            Verdict::Defer(wait) => Placed::Later(wait),
            Verdict::Discard(_) => Placed::Nowhere,
            Verdict::Reset(_) => Placed::Refused,
        }
    }

    /// The target has answered the opening, and a request is sent on the flow.
    pub fn sent(&mut self, facts: &FlowFacts, target: usize, now: Duration) {
        self.work[target] += 1;
        let number = self.acknowledged.entry(facts.flow).or_insert(1);
        *number += 100;
        let progress = (*number, *number, 100);
        self.feed(facts, target, PacketKind::Established, progress, now);
    }

    /// The caller has acknowledged the answer.
    pub fn answered(&mut self, facts: &FlowFacts, target: usize, now: Duration) {
        self.work[target] = self.work[target].saturating_sub(1);
        let number = self.acknowledged.get(&facts.flow).copied().unwrap_or(1);
        self.feed(facts, target, PacketKind::Established, (number + 100, number + 100, 0), now);
    }

    /// The flow has ended.
    pub fn ended(&mut self, facts: &FlowFacts, target: usize, now: Duration) {
        self.open[target] = self.open[target].saturating_sub(1);
        self.acknowledged.remove(&facts.flow);
        self.feed(facts, target, PacketKind::Finish, (0, 0, 0), now);
    }

    fn feed(
        &mut self,
        facts: &FlowFacts,
        target: usize,
        kind: PacketKind,
        progress: (u32, u32, u16),
        now: Duration,
    ) {
        if !matches!(self.scheme, SchemeName::LeastWork | SchemeName::LeastWorkAtOnce) {
            return;
        }
        let cookie = Cookie::of(target_id(target), BORN_MS);
        let packet = packet(facts, kind, cookie, progress);
        self.balancer.route_packet(&packet, false, Duration::ZERO, self.start + now);
        self.balancer.sweep(self.start + now);
    }
}

/// Time that an entry has run before a run if it does not start in it: longer than a surge.
const SETTLED: Duration = Duration::from_secs(1);

const SERVICE: &str = "service";
const BORN_MS: u64 = 1;

fn domain_name(domain: usize) -> DomainName {
    DomainName::from(domain.to_string().as_str())
}

fn target_id(target: usize) -> TargetId {
    TargetId(target as u64)
}

fn service_address(long: bool) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), if long { 1 } else { 2 })
}

fn spec(target: usize, domain: usize, now: Instant) -> TargetSpec {
    TargetSpec {
        id: target_id(target),
        born_ms: BORN_MS,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + target as u32), 80),
        domain: domain_name(domain),
        slots: 2,
        availability: Availability::Serving,
        cold_until: now,
        silent: false,
    }
}

fn routing() -> Routing {
    let route = |long: bool| Route {
        name: format!("long-{long}"),
        address: service_address(long),
        class: if long { RequestClass::Idempotent } else { RequestClass::NonIdempotent },
        timeout_ms: 2_500,
        objective_ms: 150,
        priority: 1,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    };
    let service =
        RoutedService { name: SERVICE.to_owned(), max_flows: 2_000, cold_requests_per_1000_s: 0 };
    let list = RouteList {
        version: 1,
        routes: vec![route(true), route(false)],
        services: vec![service],
        idle_timeout_ms: 15_000,
    };
    let table = list.into_checked().ok().map(Arc::new);
    Routing { change: 1, table, ..Routing::default() }
}

fn packet(
    facts: &FlowFacts,
    kind: PacketKind,
    cookie: Cookie,
    (seq, ack, data): (u32, u32, u16),
) -> CallerPacket {
    let [a, b, c, d, e, f, ..] = facts.flow.to_le_bytes();
    let caller = SocketAddrV4::new(Ipv4Addr::new(d, c, b, a), u16::from_le_bytes([e, f]));
    let flow = FlowKey { caller, service: service_address(facts.long) };
    CallerPacket { flow, kind, cookie, seq, ack, data }
}

/// The targets that belong to an entry: each target belongs to two entries at least.
fn part(entry: usize, entries: usize, targets: usize) -> Vec<usize> {
    let owners = |target: usize| {
        let mut order: Vec<usize> = (0..entries).collect();
        order.sort_by_key(|entry| rank(target as u64, *entry));
        order.into_iter().take(2)
    };
    (0..targets).filter(|target| owners(*target).any(|owner| owner == entry)).collect()
}

fn rank(flow: u64, target: usize) -> u64 {
    let mut hasher = SipHasher13::new();
    (flow, target).hash(&mut hasher);
    hasher.finish()
}
