//! An entry with two routes, two services and three failure domains, in virtual time.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::explain::{
    Action, AdmissionAction, ExplainError, Explanation, Query,
};
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, DiscardReason, FlowKey, PacketKind, Verdict,
};
use comfreyhold_load::messages::{IN_FLIGHT_UNITS, VERSION};
use comfreyhold_load::{
    DomainDemand, LoadTotals, SenderStart, ServiceId, ServiceTotal, TargetLoad, TargetMark,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

pub const OBJECTIVE: Duration = Duration::from_millis(250);

/// Time after the first routes in which retransmissions of openings are deferred.
const SURGE: Duration = Duration::from_millis(600);

pub fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

pub fn caller(number: u32) -> SocketAddrV4 {
    let port = u16::try_from(number % 60_000).unwrap() + 1_024;
    SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number % 40), port)
}

fn route(number: u8, priority: u8, class: RequestClass, weights: &[(&str, u32)]) -> Route {
    let destinations = weights
        .iter()
        .map(|(service, weight)| Destination { service: (*service).to_owned(), weight: *weight });
    Route {
        name: format!("route-{number}"),
        address: address(number),
        class,
        timeout_ms: 2_500,
        objective_ms: u64::try_from(OBJECTIVE.as_millis()).unwrap(),
        priority,
        destinations: destinations.collect(),
    }
}

/// Route 1 leads to both services, route 2 to the first one only and with the higher priority.
pub fn routing(change: u64, withdrawn: &[&str]) -> Routing {
    let routes = vec![
        route(1, 1, RequestClass::Idempotent, &[("orders", 3), ("sheets", 1)]),
        route(2, 0, RequestClass::NonIdempotent, &[("orders", 1)]),
    ];
    let service = |name: &str| RoutedService {
        name: name.to_owned(),
        max_flows: 100,
        cold_requests_per_1000_s: 0,
    };
    let services = vec![service("orders"), service("sheets")];
    let list = RouteList { version: change, routes, services, idle_timeout_ms: 15_000 };
    Routing {
        change,
        table: Some(Arc::new(list.into_checked().unwrap())),
        withdrawn: withdrawn.iter().map(|name| DomainName::from(*name)).collect(),
        ..Routing::default()
    }
}

pub fn spec(id: u64, service: &str, domain: &str, now: Instant) -> TargetSpec {
    let host = u32::try_from(id).unwrap();
    TargetSpec {
        id: TargetId(id),
        born_ms: 1_000 + id,
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + host), 80),
        domain: DomainName::from(domain),
        slots: 2,
        availability: Availability::Serving,
        cold_until: now,
        silent: false,
    }
}

/// An entry in the first domain, after its start.
pub struct Fixture {
    pub balancer: Balancer,
    pub now: Instant,
}

impl Fixture {
    pub fn new() -> Self {
        let mut fixture = Self::starting();
        fixture.now += SURGE;
        fixture
    }

    /// An entry that has just received its first routes.
    pub fn starting() -> Self {
        let mut fixture = Self::without_routes();
        fixture.balancer.set_routing(routing(1, &[]), fixture.now);
        fixture
    }

    pub fn without_routes() -> Self {
        let settings = BalancerSettings::builder()
            .domain(DomainName::from(DOMAINS[0]))
            .remote_penalty(1.0)
            .restore_period(Duration::from_secs(1))
            .build();
        Self { balancer: Balancer::new(settings), now: Instant::now() }
    }

    pub fn explain(&self, query: &Query) -> Result<Explanation, ExplainError> {
        self.balancer.explain(query, self.now)
    }

    pub fn send(&mut self, packet: &CallerPacket) -> Verdict {
        self.balancer.route_packet(packet, false, Duration::ZERO, self.now)
    }

    /// Applies totals of 23 entries, in which each target of the first service has this load through others, and each
    /// domain the given openings a second.
    pub fn apply_totals(&mut self, load: f64, per_s: [u32; 3]) {
        let from = SenderStart { sender: 1, start: 1 };
        let report = self.balancer.load_report(from, self.now);
        let in_flight = (load * IN_FLIGHT_UNITS) as u32;
        let orders = self.balancer.directory().iter_service("orders");
        let marks: BTreeSet<u32> = orders.map(|(_, target)| target.cookie.0).collect();
        let targets: Vec<TargetLoad> = marks
            .into_iter()
            .take(1_000)
            .map(|mark| TargetLoad { mark: TargetMark(mark), in_flight, ..TargetLoad::default() })
            .collect();
        let domains = DOMAINS.iter().zip(per_s).map(|(domain, openings_per_s)| DomainDemand {
            domain: DomainName::from(*domain),
            openings_per_s,
            entries: 8,
        });
        let total = ServiceTotal {
            service: ServiceId::of("orders"),
            in_flight: in_flight * u32::try_from(targets.len()).unwrap(),
            domains: domains.collect(),
        };
        let totals = LoadTotals {
            version: VERSION,
            is_sharing: true,
            age_ms: 100,
            entries: 24,
            own_number: report.map(|report| report.number),
            targets,
            services: vec![total],
        };
        self.balancer.apply_load_totals(&totals, self.now).unwrap();
    }
}

pub fn opening(service: u8, number: u32) -> Query {
    let caller = caller(number);
    Query { service: address(service), caller, cookie: None, seq: number, copy: 0 }
}

pub fn packet(query: &Query, kind: PacketKind, ack: u32, data: u16) -> CallerPacket {
    let flow = FlowKey { caller: query.caller, service: query.service };
    CallerPacket { flow, kind, cookie: Cookie::default(), seq: query.seq, ack, data }
}

/// What the explanation and the verdict differ in; `None` if they agree.
pub fn disagreement(
    explained: &Result<Explanation, ExplainError>,
    verdict: &Verdict,
) -> Option<String> {
    let agrees = match (explained, verdict) {
        (Ok(e), Verdict::Forward { target, cookie, .. }) => {
            e.decision.action == Action::Forward
                && e.decision.target == Some(target.to_string())
                && e.decision.cookie == Some(format!("{:08x}", cookie.0))
        }
        (Ok(e), Verdict::Defer(wait)) => {
            let wait_ms = (wait.as_secs_f64() * 1_000_000.0).round() / 1_000.0;
            e.decision.action == Action::Wait && e.decision.wait_ms == Some(wait_ms)
        }
        (Ok(e), Verdict::Discard(reason)) => {
            e.decision.action == Action::Drop && e.decision.reason == reason.to_string()
        }
        (Ok(e), Verdict::Reset(reason)) => {
            e.decision.action == Action::Reset && e.decision.reason == reason.to_string()
        }
        (Err(ExplainError::UnknownCookie(_)), verdict) => {
            *verdict == Verdict::Discard(DiscardReason::UnknownTarget)
        }
        (Err(_), _) => false,
    };
    let decision = explained.as_ref().map(|e| &e.decision);
    // An opening that admission lets pass, and a packet that it is not asked about, expect no wait.
    let agrees = agrees
        && explained.as_ref().map_or(true, |e| {
            e.admission.expected_wait_ms.is_none() || e.admission.action != AdmissionAction::Forward
        });
    (!agrees).then(|| format!("explained {decision:?}, decided {verdict:?}"))
}
