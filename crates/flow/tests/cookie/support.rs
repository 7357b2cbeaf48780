//! An entry with its declarations and a virtual clock, and packets for it.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, FlowKey, PacketKind, Verdict,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{
    Destination, RequestClass, Route, RouteList, RoutePublication, RoutedService, SharedState,
    StateChange,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const RESTORE_PERIOD: Duration = Duration::from_secs(2);

/// Time after the first routes in which retransmissions of openings are deferred.
pub const SURGE_MS: u64 = 600;

pub fn service_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

pub fn route(number: u8, service: &str) -> Route {
    Route {
        name: format!("route-{number}"),
        address: service_address(number),
        class: RequestClass::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        destinations: vec![Destination { service: service.to_owned(), weight: 1 }],
    }
}

pub fn publication(version: u64, routes: Vec<Route>) -> RoutePublication {
    let service = |name: &str| RoutedService {
        name: name.to_owned(),
        max_flows: 10,
        cold_requests_per_1000_s: 0,
    };
    let list = RouteList {
        version,
        routes,
        services: vec![service("orders"), service("sheets")],
        idle_timeout_ms: 15_000,
    };
    RoutePublication { document: Arc::default(), table: Arc::new(list.into_checked().unwrap()) }
}

pub fn settings() -> BalancerSettings {
    BalancerSettings::builder()
        .domain(DomainName::from("a"))
        .remote_penalty(0.5)
        .restore_period(RESTORE_PERIOD)
        .build()
}

pub fn routing(state: &SharedState) -> Routing {
    Routing {
        change: state.change,
        table: state.publication.as_ref().map(|p| Arc::clone(&p.table)),
        former: Arc::clone(&state.former),
        withdrawn: state.withdrawn.clone(),
    }
}

/// An entry with its declarations and a virtual clock.
pub struct Fixture {
    pub balancer: Balancer,
    pub state: SharedState,
    pub now: Instant,
}

impl Fixture {
    pub fn new(routes: Vec<Route>) -> Self {
        let mut fixture = Self {
            balancer: Balancer::new(settings()),
            state: SharedState::default(),
            now: Instant::now(),
        };
        fixture.publish(1, routes);
        fixture.advance(SURGE_MS);
        fixture
    }

    pub fn publish(&mut self, version: u64, routes: Vec<Route>) {
        self.apply(StateChange::Publish(publication(version, routes)));
    }

    pub fn withdraw(&mut self, domain: &str, out: bool) {
        self.apply(StateChange::Withdraw { domain: DomainName::from(domain), out });
    }

    pub fn apply(&mut self, change: StateChange) {
        assert!(self.state.apply(&change));
        assert!(self.balancer.set_routing(routing(&self.state), self.now));
    }

    pub fn set_target(&mut self, spec: TargetSpec) {
        self.balancer.set_target(spec, self.now);
    }

    pub fn send(&mut self, packet: &CallerPacket) -> Verdict {
        self.balancer.route_packet(packet, false, Duration::ZERO, self.now)
    }

    /// Opens a flow and returns its target.
    pub fn open(&mut self, port: u16) -> TargetId {
        match self.send(&opening(port, 0)) {
            Verdict::Forward { target, .. } => target,
            other => panic!("not opened: {other:?}"),
        }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }
}

pub fn spec(id: u64, service: &str, domain: &str, now: Instant) -> TargetSpec {
    TargetSpec {
        id: TargetId(id),
        born_ms: 1_000 + id,
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(id).unwrap()), 80),
        domain: DomainName::from(domain),
        slots: 2,
        availability: Availability::Serving,
        cold_until: now,
        silent: false,
    }
}

pub fn flow(port: u16) -> FlowKey {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
    FlowKey { caller, service: service_address(1) }
}

pub fn opening(port: u16, copy: u32) -> CallerPacket {
    packet(port, PacketKind::Open { copy }, Cookie::default())
}

pub fn packet(port: u16, kind: PacketKind, cookie: Cookie) -> CallerPacket {
    CallerPacket { flow: flow(port), kind, cookie, seq: 7, ack: 9, data: 0 }
}

pub fn data(port: u16, cookie: Cookie, seq: u32, ack: u32) -> CallerPacket {
    CallerPacket { seq, ack, data: 100, ..packet(port, PacketKind::Established, cookie) }
}

pub fn cookie(id: u64) -> Cookie {
    Cookie::of(TargetId(id), 1_000 + id)
}

pub fn target_of(verdict: Verdict) -> Option<u64> {
    match verdict {
        Verdict::Forward { target, .. } => Some(target.0),
        _ => None,
    }
}

pub fn fixture_with_targets(targets: &[(u64, &str)]) -> Fixture {
    let mut fixture = Fixture::new(vec![route(1, "orders")]);
    for (id, domain) in targets {
        let spec = spec(*id, "orders", domain, fixture.now);
        fixture.set_target(spec);
    }
    fixture
}
