//! Decisions on a copy of the state of admission.

#![allow(clippy::unwrap_used)]

use comfreyhold_flow::cookie::FlowKey;
use comfreyhold_flow::cookie::admission::{Admission, AdmissionControl, FirstAnswer, OpeningAge};
use comfreyhold_types::routes::{Destination, RequestClass, Route};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const SERVICE: &str = "orders";

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        class: RequestClass::Idempotent,
        timeout_ms: 2_500,
        objective_ms: 250,
        priority: 1,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    }
}

/// Guards against a decision on a copy that differs from the one that is made next, or that changes the state.
#[test]
fn a_copy_decides_alike_and_changes_nothing() {
    let (mut control, mut now, route) = (AdmissionControl::default(), Instant::now(), route());
    let (mut held, mut admitted, mut running) = (0, 0, VecDeque::new());
    for number in 0..2_000_u16 {
        now += Duration::from_millis(2);
        while let Some((_, forwarded)) = running.pop_front_if(|(at, _)| *at <= now) {
            let answer =
                FirstAnswer { address: route.address, objective: route.objective(), bytes: 1_000 };
            control.record_answer(forwarded, answer, now);
        }
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + number);
        let flow = FlowKey { caller, service: route.address };
        let opening = OpeningAge { flow, copy: 0, waited: Duration::ZERO };
        let before = format!("{control:?}");
        let mut copy = control.snapshot(SERVICE, route.address);
        let expected = copy.decide(SERVICE, &route, true, opening, now);
        assert_eq!(format!("{control:?}"), before);
        assert_eq!(control.decide(SERVICE, &route, true, opening, now), expected);
        if expected != Admission::Now {
            held += 1;
            continue;
        }
        admitted += 1;
        // Every answer is late.
        let answered = now + Duration::from_millis(200);
        running.push_back((answered, control.record_forwarded(SERVICE, now).unwrap()));
    }
    assert!(held > 100 && admitted > 100, "{held} held, {admitted} admitted");
}
