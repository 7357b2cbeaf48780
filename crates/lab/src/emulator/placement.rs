//! Placement schemes: how one entry chooses the target of a new flow.

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

/// Penalty on targets outside the entry's failure domain under `LeastWork`, in requests per slot. It is the
/// value that the daemon uses.
pub const REMOTE_PENALTY: f64 = comfreyhold_fleet::entry::REMOTE_PENALTY;

/// A placement scheme.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum SchemeName {
    /// The target with the lowest rendezvous hash of the flow.
    Hash,
    /// The targets in rotation.
    RoundRobin,
    /// The target with the fewest open flows through this entry.
    FewestFlows,
    /// The one of two random targets that has fewer requests in flight through this entry.
    TwoChoices,
    /// As `FewestFlows`, but only among the targets that are assigned to this entry.
    Split,
    /// The decision code of the entry daemon.
    LeastWork,
    /// As `LeastWork`, but after a restart late openings are placed at once instead of deferred.
    LeastWorkAtOnce,
}

/// Decision on an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Forwarded to the target with this number.
    Target(usize),
    /// Decided again after this time.
    Deferred(Duration),
    /// Discarded without a response; the caller may retransmit it.
    Discarded,
    /// Refused with a reset to the caller.
    Refused,
}

/// Properties of a flow that an entry uses for its decision.
#[derive(Clone, Copy, Debug)]
pub struct FlowInfo {
    /// Number of the flow, unique in a run.
    pub flow: u64,
    /// Whether the flow carries many requests.
    pub is_long: bool,
    /// Number of earlier transmissions of the opening.
    pub copy: u32,
}

/// Placement state of one entry.
pub struct EntryPlacement {
    scheme: SchemeName,
    targets: usize,
    /// Targets assigned to this entry under `Split`.
    assigned_targets: Vec<usize>,
    round_robin_counter: usize,
    /// Open flows by target.
    open_flows: Vec<u32>,
    /// Requests in flight by target.
    requests_in_flight: Vec<u32>,
    balancer: Balancer,
    /// Instant that corresponds to the start of the run.
    run_start: Instant,
    /// Acknowledged sequence number by flow.
    acknowledged: BTreeMap<u64, u32>,
}

impl EntryPlacement {
    /// Creates an entry that knows all targets, given by their failure domains. It starts at the time `starts_at`
    /// of the run; if `None`, it was already running before.
    #[must_use]
    pub fn new(
        scheme: SchemeName,
        entry: usize,
        entries: usize,
        domains: &[usize],
        local_domain: usize,
        starts_at: Option<Duration>,
    ) -> Self {
        let targets = domains.len();
        let epoch = Instant::now();
        let run_start = epoch + UPTIME_BEFORE_RUN;
        let routing_since = match (scheme, starts_at) {
            (SchemeName::LeastWork, Some(at)) => run_start + at,
            _ => epoch,
        };
        let settings = BalancerSettings::builder()
            .domain(domain_name(local_domain))
            .remote_penalty(REMOTE_PENALTY)
            .restore_period(Duration::ZERO)
            .build();
        let mut balancer = Balancer::new(settings);
        balancer.set_routing(build_routing(), routing_since);
        for (target, domain) in domains.iter().enumerate() {
            balancer.set_target(target_spec(target, *domain, epoch), epoch);
        }
        Self {
            scheme,
            targets,
            assigned_targets: assigned_targets(entry, entries, targets),
            round_robin_counter: entry,
            open_flows: vec![0; targets],
            requests_in_flight: vec![0; targets],
            balancer,
            run_start,
            acknowledged: BTreeMap::new(),
        }
    }

    /// Decides on an opening. `tried` are the targets that did not respond to it.
    pub fn place_opening(
        &mut self,
        flow_info: &FlowInfo,
        tried: &[usize],
        now: Duration,
        rng: &mut StdRng,
    ) -> Placement {
        let candidates: Vec<usize> = (0..self.targets).filter(|t| !tried.contains(t)).collect();
        let with_fewest_flows = |targets: &[usize], open_flows: &[u32]| {
            targets
                .iter()
                .copied()
                .min_by_key(|t| (open_flows[*t], rendezvous_rank(flow_info.flow, *t)))
        };
        let target = match self.scheme {
            SchemeName::Hash => {
                candidates.iter().copied().min_by_key(|t| rendezvous_rank(flow_info.flow, *t))
            }
            SchemeName::RoundRobin => {
                self.round_robin_counter += 1;
                candidates.get(self.round_robin_counter % candidates.len().max(1)).copied()
            }
            SchemeName::FewestFlows => with_fewest_flows(&candidates, &self.open_flows),
            SchemeName::TwoChoices => {
                let pick = |rng: &mut StdRng| candidates[rng.random_range(0..candidates.len())];
                let (a, b) = (pick(rng), pick(rng));
                Some(if self.requests_in_flight[a] <= self.requests_in_flight[b] { a } else { b })
            }
            SchemeName::Split => {
                let assigned: Vec<usize> =
                    self.assigned_targets.iter().copied().filter(|t| !tried.contains(t)).collect();
                with_fewest_flows(
                    if assigned.is_empty() { &candidates } else { &assigned },
                    &self.open_flows,
                )
            }
            SchemeName::LeastWork | SchemeName::LeastWorkAtOnce => {
                return self.place_by_balancer(flow_info, now);
            }
        };
        let Some(target) = target else { return Placement::Refused };
        self.open_flows[target] += 1;
        Placement::Target(target)
    }

    fn place_by_balancer(&mut self, flow_info: &FlowInfo, now: Duration) -> Placement {
        let kind = PacketKind::Open { copy: flow_info.copy };
        let packet = caller_packet(flow_info, kind, Cookie::default(), (1, 0, 0));
        match self.balancer.route_packet(&packet, false, Duration::ZERO, self.run_start + now) {
            Verdict::Forward { target, .. } => {
                usize::try_from(target.0).map_or(Placement::Refused, Placement::Target)
            }
            Verdict::Defer(wait) => Placement::Deferred(wait),
            Verdict::Discard(_) => Placement::Discarded,
            Verdict::Reset(_) => Placement::Refused,
        }
    }

    /// Records a request on an open flow.
    pub fn record_request(&mut self, flow_info: &FlowInfo, target: usize, now: Duration) {
        self.requests_in_flight[target] += 1;
        let seq = self.acknowledged.entry(flow_info.flow).or_insert(1);
        *seq += 100;
        let progress = (*seq, *seq, 100);
        self.route_to_balancer(flow_info, target, PacketKind::Established, progress, now);
    }

    /// Records that the caller has acknowledged the response to a request.
    pub fn record_response(&mut self, flow_info: &FlowInfo, target: usize, now: Duration) {
        self.requests_in_flight[target] = self.requests_in_flight[target].saturating_sub(1);
        let seq = self.acknowledged.get(&flow_info.flow).copied().unwrap_or(1);
        self.route_to_balancer(
            flow_info,
            target,
            PacketKind::Established,
            (seq + 100, seq + 100, 0),
            now,
        );
    }

    /// Records the end of a flow.
    pub fn record_flow_end(&mut self, flow_info: &FlowInfo, target: usize, now: Duration) {
        self.open_flows[target] = self.open_flows[target].saturating_sub(1);
        self.acknowledged.remove(&flow_info.flow);
        self.route_to_balancer(flow_info, target, PacketKind::Finish, (0, 0, 0), now);
    }

    /// Routes a packet of an open flow through the balancer, which updates its state from it. `progress` holds
    /// sequence number, acknowledgement number and data length.
    fn route_to_balancer(
        &mut self,
        flow_info: &FlowInfo,
        target: usize,
        kind: PacketKind,
        progress: (u32, u32, u16),
        now: Duration,
    ) {
        if !matches!(self.scheme, SchemeName::LeastWork | SchemeName::LeastWorkAtOnce) {
            return;
        }
        let cookie = Cookie::of(target_id(target), BORN_MS);
        let packet = caller_packet(flow_info, kind, cookie, progress);
        self.balancer.route_packet(&packet, false, Duration::ZERO, self.run_start + now);
        self.balancer.sweep(self.run_start + now);
    }
}

/// Uptime of an entry at the start of a run, unless it starts during the run. It is longer than a surge of
/// openings.
const UPTIME_BEFORE_RUN: Duration = Duration::from_secs(1);

const SERVICE: &str = "service";
const BORN_MS: u64 = 1;

fn domain_name(domain: usize) -> DomainName {
    DomainName::from(domain.to_string().as_str())
}

fn target_id(target: usize) -> TargetId {
    TargetId(target as u64)
}

fn service_address(is_long: bool) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), if is_long { 1 } else { 2 })
}

fn target_spec(target: usize, domain: usize, now: Instant) -> TargetSpec {
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

fn build_routing() -> Routing {
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
    let route_list = RouteList {
        version: 1,
        routes: vec![route(true), route(false)],
        services: vec![service],
        idle_timeout_ms: 15_000,
    };
    let table = route_list.into_checked().ok().map(Arc::new);
    Routing { change: 1, table, ..Routing::default() }
}

fn caller_packet(
    flow_info: &FlowInfo,
    kind: PacketKind,
    cookie: Cookie,
    (seq, ack, data): (u32, u32, u16),
) -> CallerPacket {
    let [a, b, c, d, e, f, ..] = flow_info.flow.to_le_bytes();
    let caller = SocketAddrV4::new(Ipv4Addr::new(d, c, b, a), u16::from_le_bytes([e, f]));
    let flow = FlowKey { caller, service: service_address(flow_info.is_long) };
    CallerPacket { flow, kind, cookie, seq, ack, data }
}

/// Returns the targets that are assigned to an entry. Each target is assigned to two entries, or to one if there is
/// only one.
fn assigned_targets(entry: usize, entries: usize, targets: usize) -> Vec<usize> {
    let owners = |target: usize| {
        let mut ranked: Vec<usize> = (0..entries).collect();
        ranked.sort_by_key(|entry| rendezvous_rank(target as u64, *entry));
        ranked.into_iter().take(2)
    };
    (0..targets).filter(|target| owners(*target).any(|owner| owner == entry)).collect()
}

fn rendezvous_rank(key: u64, member: usize) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, member).hash(&mut hasher);
    hasher.finish()
}
