//! Limits of publications and of what the shared state keeps of former ones.

#![allow(clippy::unwrap_used)]

use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::routes::{
    Destination, MAX_PUBLICATION_BYTES, MAX_TABLE_BYTES, RequestClass, Route, RouteList,
    RoutePublication, RouteTable, RoutedService, SharedState, StateChange,
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A table of routes that all lead to one service.
fn table(version: u64, routes: u32, service: &str) -> RouteTable {
    let route = |number: u32| Route {
        name: format!("r-{number:07x}"),
        address: SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 + number), 443),
        class: RequestClass::Idempotent,
        timeout_ms: 3_000,
        objective_ms: 200,
        priority: 1,
        destinations: vec![Destination { service: service.to_owned(), weight: 1 }],
    };
    let services = vec![RoutedService {
        name: service.to_owned(),
        max_flows: 2_000,
        cold_requests_per_1000_s: 0,
    }];
    let routes = (0..routes).map(route).collect();
    RouteList { version, routes, services, idle_timeout_ms: 15_000 }.into_checked().unwrap()
}

/// Guards against a limit that is off by one, or that allows a table which the document's size does not bound.
#[test]
fn a_publication_is_refused_from_the_first_byte_beyond_a_limit() {
    let new = |bytes| RoutePublication::new(vec![b' '; bytes], table(1, 1, "orders"));
    assert!(new(MAX_PUBLICATION_BYTES).is_ok());
    let error = new(MAX_PUBLICATION_BYTES + 1).unwrap_err();
    assert_eq!(error.code(), ResultCode::DocumentTooLarge);
    let encoded_len = |name_len: usize| {
        let table = table(1, 1, &"n".repeat(name_len));
        postcard::to_stdvec(&table).unwrap().len()
    };
    // The name is contained twice, each time with a length of three bytes.
    let name_len = MAX_TABLE_BYTES / 2 - 100;
    let largest_len = name_len + (MAX_TABLE_BYTES - encoded_len(name_len)) / 2;
    let new = |len: usize| RoutePublication::new(Vec::new(), table(1, 1, &"n".repeat(len)));
    assert!(new(largest_len).is_ok());
    assert_eq!(new(largest_len + 1).unwrap_err().code(), ResultCode::DocumentTooLarge);
}

/// Guards against a shared state that grows with each publication, until it can't be sent any more; and against open
/// flows of present routes that lose their service by that.
#[test]
fn former_services_are_bounded_over_many_publications() {
    let mut state = SharedState::default();
    for version in 1..=60 {
        let service = format!("service-{version}-{}", "s".repeat(20));
        let table = table(version, 2_000, &service);
        let publication = RoutePublication::new(Vec::new(), table).unwrap();
        assert!(state.apply(&StateChange::Publish(publication)));
        let bytes = postcard::to_stdvec(&state.former).unwrap().len();
        assert!(bytes <= MAX_TABLE_BYTES, "{bytes} bytes at version {version}");
        assert!(state.former.len() == 2_000);
        assert!(state.former.values().all(|services| services.contains(&service)));
    }
    let bytes = postcard::to_stdvec(&state).unwrap().len();
    assert!(bytes <= 2 * MAX_TABLE_BYTES, "{bytes} bytes");
}
