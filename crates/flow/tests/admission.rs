//! Decisions of the limit on openings without an answer.

#![allow(clippy::unwrap_used)]

use comfreyhold_flow::cookie::FlowKey;
use comfreyhold_flow::cookie::admission::{
    Admission, AdmissionControl, Admitted, FirstAnswer, OpeningAge,
};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const OBJECTIVE: Duration = Duration::from_millis(250);

const SERVICE: &str = "orders";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn route(objective: Duration) -> Route {
    Route {
        name: "r".to_owned(),
        address: address(),
        class: RequestClass::Idempotent,
        timeout_ms: 2_500,
        objective_ms: u64::try_from(objective.as_millis()).unwrap_or_default(),
        priority: 1,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    }
}

/// One entry with a virtual clock.
struct Fixture {
    control: AdmissionControl,
    route: Route,
    now: Instant,
    last_port: u16,
}

impl Fixture {
    fn new() -> Self {
        let (control, now) = (AdmissionControl::default(), Instant::now());
        Self { control, route: route(OBJECTIVE), now, last_port: 0 }
    }

    /// An entry whose limit a few late answers have shrunk to some 8 openings.
    fn limited() -> Self {
        let mut fixture = Self::new();
        fixture.run(20, 20, millis(60));
        while fixture.limit().is_none_or(|limit| limit > 10.0) {
            fixture.run(1, 20, millis(200));
        }
        fixture
    }

    fn decide_as(&mut self, copy: u32, waited: Duration, is_top: bool) -> Admission {
        self.last_port += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.last_port);
        let flow = FlowKey { caller, service: address() };
        let opening = OpeningAge { flow, copy, waited };
        self.control.decide(SERVICE, &self.route, is_top, opening, self.now)
    }

    fn decide(&mut self, copy: u32, waited: Duration) -> Admission {
        self.decide_as(copy, waited, true)
    }

    fn forward(&mut self) -> Admitted {
        self.control.record_forwarded(SERVICE, self.now).unwrap()
    }

    fn answer(&mut self, admitted: Admitted, bytes: u32) {
        let answer = FirstAnswer { address: address(), objective: OBJECTIVE, bytes };
        self.control.record_answer(admitted, answer, self.now);
    }

    fn limit(&self) -> Option<f64> {
        self.control.status(SERVICE, self.now).and_then(|status| status.limit)
    }

    /// Keeps `running` openings without an answer at a time, each answered after `took`, for some rounds.
    fn run(&mut self, rounds: u32, running: u32, took: Duration) {
        for _ in 0..rounds {
            let admitted: Vec<_> = (0..running).map(|_| self.forward()).collect();
            self.now += took;
            admitted.into_iter().for_each(|admitted| self.answer(admitted, 1_000));
        }
    }

    /// Forwards openings until the limit is reached.
    fn fill(&mut self) {
        while self.decide(0, Duration::ZERO) == Admission::Now {
            self.forward();
        }
    }
}

/// Guards against refusals without overload: at rest, under load whose answers are in time, and with some targets
/// that are slow or dead.
#[test]
fn without_late_answers_nothing_is_limited() {
    let mut fixture = Fixture::new();
    fixture.run(40, 50, millis(70));
    for round in 0..40 {
        // One answer in five is late, and one opening in five gets none.
        for number in 0..5 {
            let admitted = fixture.forward();
            fixture.now += millis(if number == 0 { 200 } else { 40 });
            if number != 1 {
                fixture.answer(admitted, 1_000);
            }
        }
        assert_eq!(fixture.limit(), None, "round {round}");
        assert_eq!(fixture.decide(0, Duration::ZERO), Admission::Now);
    }
}

/// Guards against queues at the targets that make every answer late.
#[test]
fn late_answers_shrink_the_limit_and_timely_ones_raise_and_lift_it() {
    let mut fixture = Fixture::new();
    fixture.run(3, 40, millis(70));
    fixture.run(10, 40, millis(200));
    let shrunk = fixture.limit().unwrap();
    assert!(shrunk < 10.0, "{shrunk}");
    fixture.fill();
    assert!(matches!(fixture.decide(0, Duration::ZERO), Admission::After(_)));
    fixture.now += millis(1_100);
    fixture.run(10, 10, millis(70));
    assert!(fixture.limit().unwrap() > shrunk);
    fixture.run(80, 1, millis(70));
    assert_eq!(fixture.limit(), None, "the limit is lifted when it is no longer used");
}

/// Guards against a limit that hides overload: full targets refuse requests within milliseconds, which must not
/// count as timely answers.
#[test]
fn quick_refusals_of_full_targets_count_as_overload() {
    let mut fixture = Fixture::new();
    fixture.run(10, 20, millis(70));
    for _ in 0..30 {
        let admitted: Vec<_> = (0..20).map(|_| fixture.forward()).collect();
        fixture.now += millis(9);
        admitted.into_iter().for_each(|admitted| fixture.answer(admitted, 120));
        fixture.now += millis(30);
    }
    assert!(fixture.limit().is_some());
}

/// Guards against new requests that miss their objective because of requests that have missed it already, and
/// against late requests that are never served.
#[test]
fn late_openings_wait_behind_those_that_can_be_in_time() {
    let mut fixture = Fixture::limited();
    let mut late_ones = 0;
    while fixture.decide(2, Duration::ZERO) == Admission::Now {
        fixture.forward();
        late_ones += 1;
    }
    assert!(late_ones > 0, "they use what is left over");
    assert_eq!(fixture.decide(0, Duration::ZERO), Admission::Now, "new ones go first");
    assert_eq!(fixture.decide(0, millis(180)), Admission::Now, "180 ms of 250 ms are over");
    assert_ne!(fixture.decide(1, Duration::ZERO), Admission::Now, "an answer takes 60 ms");
}

/// Guards against openings of lower priority that take the room of those of the highest one.
#[test]
fn the_highest_priority_has_the_last_places() {
    let mut fixture = Fixture::limited();
    while fixture.decide_as(0, Duration::ZERO, false) == Admission::Now {
        fixture.forward();
    }
    assert_eq!(fixture.decide_as(0, Duration::ZERO, true), Admission::Now);
}

/// Guards against an opening that is held until its caller has given up, and against one that is forwarded after
/// its caller has retransmitted it.
#[test]
fn waiting_ends_with_the_retransmission_or_a_refusal() {
    let mut fixture = Fixture::limited();
    fixture.fill();
    assert!(matches!(fixture.decide(0, millis(150)), Admission::After(_)));
    assert_eq!(fixture.decide(0, millis(185)), Admission::AtRetransmission);
    assert_eq!(fixture.decide(1, millis(385)), Admission::AtRetransmission);
    assert_eq!(fixture.decide(2, millis(595)), Admission::After(millis(5)));
    assert_eq!(
        fixture.decide(2, millis(600)),
        Admission::Refused,
        "the caller waits 200 ms longer"
    );
}

/// Guards against openings that wait although those before them will use all the room in the time of an attempt:
/// they are refused at once.
#[test]
fn openings_that_can_not_be_served_are_refused_at_once() {
    let mut fixture = Fixture::new();
    fixture.run(3, 4, millis(100));
    fixture.run(20, 8, millis(200));
    fixture.fill();
    // 4 answers in 100 ms are 40 a second, as are 8 in 200 ms.
    let waiting = (0..100).filter(|_| matches!(fixture.decide(0, millis(1)), Admission::After(_)));
    assert!((20..=60).contains(&waiting.count()));
    assert_eq!(fixture.decide(0, millis(1)), Admission::Refused);
    fixture.now += millis(1_100);
    assert_eq!(fixture.decide(0, millis(1)), Admission::Now, "later ones are decided anew");
}

/// Guards against callers that wait at an entry that has just started, which knows nothing of any overload.
#[test]
fn an_entry_that_starts_holds_nothing_back() {
    let mut fixture = Fixture::new();
    for _ in 0..50 {
        assert_eq!(fixture.decide(0, Duration::ZERO), Admission::Now);
        let admitted = fixture.forward();
        fixture.now += millis(30);
        fixture.answer(admitted, 1_000);
    }
}

/// Guards against openings to dead targets that use up the limit for ever.
#[test]
fn an_opening_without_an_answer_counts_for_a_second() {
    let mut fixture = Fixture::limited();
    fixture.fill();
    fixture.now += millis(999);
    assert_ne!(fixture.decide(0, Duration::ZERO), Admission::Now);
    fixture.now += millis(1);
    assert_eq!(fixture.decide(0, Duration::ZERO), Admission::Now);
}

/// Guards against a limit for routes whose objective is not known.
#[test]
fn routes_without_an_objective_are_not_limited() {
    let mut fixture = Fixture::limited();
    fixture.fill();
    fixture.route = route(Duration::ZERO);
    assert_eq!(fixture.decide(0, Duration::ZERO), Admission::Now);
}

/// Guards against state that grows with each service that was ever declared, and against a limit that a service
/// finds again when it is declared anew.
#[test]
fn services_that_are_no_longer_declared_are_forgotten() {
    let mut fixture = Fixture::limited();
    let table = |service: &str| {
        let destinations = vec![Destination { service: service.to_owned(), weight: 1 }];
        let route = Route { destinations, ..route(OBJECTIVE) };
        let routed =
            RoutedService { name: service.to_owned(), max_flows: 10, cold_requests_per_1000_s: 0 };
        let list = RouteList {
            version: 1,
            routes: vec![route],
            services: vec![routed],
            idle_timeout_ms: 15_000,
        };
        list.into_checked().unwrap()
    };
    let admitted = fixture.control.record_forwarded(SERVICE, fixture.now).unwrap();
    fixture.control.forget_removed(&table(SERVICE));
    assert!(fixture.limit().is_some(), "a declared service keeps its limit");
    fixture.control.forget_removed(&table("sheets"));
    assert_eq!(fixture.control.status(SERVICE, fixture.now), None);
    fixture.control.record_ended(admitted);
    assert_eq!(fixture.control.status(SERVICE, fixture.now), None);
}
