//! A balancer with one route and even targets.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{Balancer, BalancerSettings, Cookie};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "orders";

pub fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn spec(number: usize, slots: u32, born_ms: u64, now: Instant) -> TargetSpec {
    let [.., high, low] = (number as u32).to_be_bytes();
    TargetSpec {
        id: TargetId(number as u64 + 1),
        born_ms,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 80),
        domain: DomainName::from("a"),
        slots,
        availability: Availability::Serving,
        cold_until: now,
        silent: false,
    }
}

/// Cookie of the first incarnation of a target.
pub fn cookie(number: usize) -> Cookie {
    Cookie::of(TargetId(number as u64 + 1), 1)
}

pub fn new_balancer(targets: usize, slots: u32, learns: bool, now: Instant) -> Balancer {
    new_balancer_of(RequestClass::Idempotent, targets, slots, learns, now)
}

/// A balancer whose route has requests of a class.
pub fn new_balancer_of(
    class: RequestClass,
    targets: usize,
    slots: u32,
    learns: bool,
    now: Instant,
) -> Balancer {
    let settings = BalancerSettings::builder()
        .domain(DomainName::from("a"))
        .remote_penalty(1.0)
        .restore_period(Duration::from_secs(2))
        .limits_openings(false)
        .learns_capacity(learns)
        .build();
    let mut balancer = Balancer::new(settings);
    let route = Route {
        name: "r".to_owned(),
        address: service_address(),
        class,
        timeout_ms: 2_500,
        objective_ms: 250,
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
    let table = Some(Arc::new(list.into_checked().unwrap()));
    balancer.set_routing(Routing { change: 1, table, ..Routing::default() }, now);
    for number in 0..targets {
        balancer.set_target(spec(number, slots, 1, now), now);
    }
    balancer
}
