//! Cost of the balancer's decision on an opening and on a later packet of a flow.

#![allow(missing_docs, reason = "the macros of criterion create undocumented items")]

use comfreyhold_flow::cookie::admission::{AdmissionControl, OpeningAge, ShareInput};
use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::shared::ServiceShare;
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, FlowKey, PacketKind,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use criterion::{Criterion, criterion_group, criterion_main};
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE: &str = "orders";

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn balancer(targets: u32, now: Instant) -> Balancer {
    let settings = BalancerSettings::builder()
        .domain(DomainName::from("0"))
        .remote_penalty(1.0)
        .restore_period(Duration::ZERO)
        .build();
    let mut balancer = Balancer::new(settings);
    let route = Route {
        name: SERVICE.to_owned(),
        address: service_address(),
        class: RequestClass::Idempotent,
        timeout_ms: 2_500,
        objective_ms: 150,
        priority: 1,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    };
    let service =
        RoutedService { name: SERVICE.to_owned(), max_flows: 2_000, cold_requests_per_1000_s: 0 };
    let list = RouteList {
        version: 1,
        routes: vec![route],
        services: vec![service],
        idle_timeout_ms: 15_000,
    };
    let table = list.into_checked().ok().map(Arc::new);
    balancer.set_routing(Routing { change: 1, table, ..Routing::default() }, now);
    for target in 0..targets {
        let spec = TargetSpec {
            id: TargetId(u64::from(target)),
            born_ms: 1,
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + target), 80),
            domain: DomainName::from((target % 4).to_string().as_str()),
            slots: 2,
            availability: Availability::Serving,
            cold_until: now,
            silent: false,
        };
        balancer.set_target(spec, now);
    }
    balancer
}

fn packet(flow: u32, kind: PacketKind, cookie: Cookie) -> CallerPacket {
    let caller = SocketAddrV4::new(Ipv4Addr::from(flow), 1_025);
    let flow = FlowKey { caller, service: service_address() };
    CallerPacket { flow, kind, cookie, seq: 1, ack: 1, data: 0 }
}

fn decisions(c: &mut Criterion) {
    let now = Instant::now();
    for targets in [14, 150, 4_300] {
        let mut entry = balancer(targets, now);
        let mut flow = 0;
        c.bench_function(&format!("opening, {targets} targets"), |b| {
            b.iter(|| {
                flow = (flow + 1) % 10_000;
                let opening = packet(flow, PacketKind::Open { copy: 0 }, Cookie::default());
                black_box(entry.route_packet(&opening, false, Duration::ZERO, now))
            });
        });
        let cookie = Cookie::of(TargetId(1), 1);
        c.bench_function(&format!("packet by cookie, {targets} targets"), |b| {
            b.iter(|| {
                flow = (flow + 1) % 10_000;
                black_box(entry.route_packet(
                    &packet(flow, PacketKind::Established, cookie),
                    false,
                    Duration::ZERO,
                    now,
                ))
            });
        });
    }
}

/// Interval between openings: 10,000 a second.
const GAP: Duration = Duration::from_micros(100);

fn opening(flow: u32) -> OpeningAge {
    let flow = packet(flow, PacketKind::Open { copy: 0 }, Cookie::default()).flow;
    OpeningAge { flow, copy: 0, waited: Duration::ZERO }
}

/// The decision whether an opening is forwarded, without totals of other entries.
fn admission(c: &mut Criterion) {
    let mut now = Instant::now();
    let table = balancer(1, now).routing().table.clone();
    let Some(route) = table.and_then(|t| t.routes.get(&service_address()).cloned()) else { return };
    let (mut control, mut flow) = (AdmissionControl::default(), 0);
    c.bench_function("admission, no totals", |b| {
        b.iter(|| {
            (flow, now) = (flow + 1, now + GAP);
            black_box(control.decide(SERVICE, &route, true, opening(flow), now))
        });
    });
}

/// The same with totals, while there is room and while none is left.
fn shared_admission(c: &mut Criterion) {
    let domain = DomainName::from("0");
    let (withdrawn, restored) = (BTreeSet::new(), BTreeMap::new());
    for (name, load) in [("room", 0.5), ("no room", 6.0)] {
        let mut now = Instant::now();
        let mut entry = balancer(150, now);
        let keys: Vec<_> = entry.directory().iter().map(|(key, _)| key).collect();
        for target in keys {
            if let Some(target) = entry.directory_mut().get_mut(target) {
                target.load = load;
            }
        }
        let table = entry.routing().table.clone();
        let route = table.and_then(|table| table.routes.get(&service_address()).cloned());
        let Some(route) = route else { return };
        let domains_per_s = (0..4).map(|d| (DomainName::from(d.to_string().as_str()), 1_000.0));
        let totals = ServiceShare {
            own_per_s: 1_000.0,
            domain_per_s: 1_000.0,
            domain_entries: 1,
            domains_per_s: domains_per_s.collect(),
            in_flight: 900.0,
            received: now,
        };
        let (mut control, mut flow) = (AdmissionControl::default(), 0);
        c.bench_function(&format!("admission by share, {name}"), |b| {
            b.iter(|| {
                (flow, now) = (flow + 1, now + GAP);
                let input = ShareInput {
                    service: SERVICE,
                    totals: Some(&totals),
                    directory: entry.directory(),
                    domain: &domain,
                    withdrawn: &withdrawn,
                    restored: &restored,
                };
                control.update_share(&input, &route, now);
                black_box(control.decide(SERVICE, &route, true, opening(flow), now))
            });
        });
    }
}

criterion_group!(benches, decisions, admission, shared_admission);
criterion_main!(benches);
