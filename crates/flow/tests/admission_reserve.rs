//! Room for the highest priority of a service with several, and requests at slow targets.

#![allow(clippy::unwrap_used)]

use comfreyhold_flow::cookie::FlowKey;
use comfreyhold_flow::cookie::admission::{
    Admission, AdmissionControl, LimitStatus, OpeningAge, ShareInput,
};
use comfreyhold_flow::cookie::capacity::Reference;
use comfreyhold_flow::cookie::directory::{Directory, Target, TargetSpec};
use comfreyhold_flow::cookie::shared::ServiceShare;
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const SERVICE: &str = "orders";

const TARGETS: u8 = 10;

/// Requests that may be in flight at all targets of two slots.
const LIMIT: f64 = 60.0;

/// Time after its first opening in which an entry counts as just started.
const START: Duration = Duration::from_secs(2);

const TOP: u8 = 1;
const LOWER: u8 = 2;

fn route(priority: u8) -> Route {
    Route {
        name: "r".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, priority), 443),
        class: RequestClass::Idempotent,
        timeout_ms: 10_000,
        objective_ms: 10_000,
        priority,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    }
}

/// The only entry of a service, with a virtual clock.
struct Fixture {
    control: AdmissionControl,
    directory: Directory,
    now: Instant,
    last_port: u16,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let mut directory = Directory::default();
        for number in 1..=TARGETS {
            let spec = TargetSpec {
                id: TargetId(number.into()),
                born_ms: 1,
                service: SERVICE.to_owned(),
                address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 80),
                domain: DomainName::from("a"),
                slots: 2,
                availability: Availability::Serving,
                cold_until: now,
                silent: false,
            };
            directory.upsert(spec, now);
        }
        Self { control: AdmissionControl::default(), directory, now, last_port: 0 }
    }

    /// An entry that has run for longer than its start takes.
    fn running() -> Self {
        let mut fixture = Self::new();
        fixture.control.record_forwarded(SERVICE, fixture.now);
        fixture.now += START;
        fixture
    }

    /// Spreads requests in flight of both priorities over all targets.
    fn set_load(&mut self, top: f64, lower: f64) {
        let parts = [(TOP, top), (LOWER, lower)].map(|(p, load)| (p, load / f64::from(TARGETS)));
        for target in self.directory.iter_mut() {
            set_load(target, parts);
        }
    }

    fn decide(&mut self, priority: u8) -> Admission {
        let (domain, in_flight) = (DomainName::from("a"), 1_000.0);
        let totals = ServiceShare {
            own_per_s: 100.0,
            domain_per_s: 100.0,
            domain_entries: 1,
            domains_per_s: BTreeMap::from([(domain.clone(), 100.0)]),
            in_flight,
            received: self.now,
        };
        let input = ShareInput {
            service: SERVICE,
            totals: Some(&totals),
            directory: &self.directory,
            domain: &domain,
            withdrawn: &BTreeSet::new(),
            restored: &BTreeMap::new(),
        };
        let route = route(priority);
        self.control.update_share(&input, &route, self.now);
        self.last_port += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.last_port);
        let flow = FlowKey { caller, service: route.address };
        let opening = OpeningAge { flow, copy: 0, waited: Duration::ZERO };
        let decision = self.control.decide(SERVICE, &route, priority == TOP, opening, self.now);
        if decision == Admission::Now {
            self.control.record_forwarded(SERVICE, self.now);
        }
        decision
    }

    /// Whether an opening is forwarded at once, with the load that is set and nothing that waits.
    fn admits(&mut self, priority: u8) -> bool {
        self.now += Duration::from_millis(300);
        self.decide(priority) == Admission::Now
    }

    /// Lets openings of the highest priority come for a second, each of which is in flight for 100 ms.
    fn run_top(&mut self, per_s: u32) {
        for _ in 0..per_s {
            self.now += Duration::from_secs(1) / per_s;
            self.set_load(f64::from(per_s) / 10.0, 0.0);
            assert_eq!(self.decide(TOP), Admission::Now);
        }
    }

    fn status(&self) -> LimitStatus {
        self.control.status(SERVICE, self.now).unwrap()
    }
}

fn set_load(target: &mut Target, parts: [(u8, f64); 2]) {
    target.load = parts.iter().map(|(_, load)| load).sum();
    target.load_by_priority = BTreeMap::from(parts);
}

/// Guards against requests on open flows, which are never held up, that leave the highest priority no room, and against
/// a highest priority without a limit.
#[test]
fn the_highest_priority_is_limited_by_its_own_requests() {
    let mut fixture = Fixture::running();
    fixture.set_load(0.0, LIMIT);
    assert!(!fixture.admits(LOWER), "the limit is in use");
    assert!(fixture.admits(TOP));
    fixture.set_load(0.2 * LIMIT, 2.0 * LIMIT);
    assert!(fixture.admits(TOP), "a part of the limit is its own");
    fixture.set_load(0.5 * LIMIT, 2.0 * LIMIT);
    assert!(!fixture.admits(TOP), "full queues would refuse more");
    fixture.set_load(0.9 * LIMIT, 0.0);
    assert!(fixture.admits(TOP), "beside few others it may use all");
    fixture.set_load(LIMIT, 0.0);
    assert!(!fixture.admits(TOP));
    let by_priority = fixture.control.in_flight_by_priority(SERVICE);
    assert!((by_priority[&TOP] - LIMIT).abs() < 1e-6, "{by_priority:?}");
}

/// Guards against openings of lower priorities in the places of urgent ones that are expected, and against a reserve
/// without a bound.
#[test]
fn what_the_highest_priority_is_expected_to_ask_for_is_kept_free() {
    let mut fixture = Fixture::running();
    fixture.set_load(0.0, 0.0);
    assert!(fixture.admits(LOWER));
    fixture.run_top(100);
    // 100 a second, each in flight for 100 ms, and none of them in flight now.
    fixture.set_load(0.0, LIMIT - 5.0);
    fixture.now += Duration::from_millis(5);
    assert_ne!(fixture.decide(LOWER), Admission::Now);
    let reserve = fixture.status().reserve.unwrap();
    assert!((6.0..=11.0).contains(&reserve), "{reserve}");
    assert!((fixture.control.reserve() - reserve).abs() < 1e-9);
    fixture.run_top(400);
    fixture.set_load(0.0, 0.0);
    fixture.now += Duration::from_millis(5);
    assert_eq!(fixture.decide(LOWER), Admission::Now);
    let reserve = fixture.status().reserve.unwrap();
    assert!(reserve > 15.0 && reserve <= LIMIT / 2.0, "{reserve}");
}

/// Guards against slots that stay empty for urgent openings that no longer come.
#[test]
fn an_unused_reserve_is_given_back_within_a_second() {
    let mut fixture = Fixture::running();
    fixture.set_load(0.0, 0.0);
    assert!(fixture.admits(LOWER));
    fixture.run_top(200);
    fixture.set_load(0.0, LIMIT - 3.0);
    for _ in 0..10 {
        fixture.now += Duration::from_millis(100);
        fixture.decide(LOWER);
    }
    let reserve = fixture.status().reserve.unwrap();
    assert!(reserve < 2.0, "{reserve}");
    assert!(fixture.admits(LOWER));
}

/// Guards against an entry that starts after a loss of power and refuses all openings, because callers have given up those
/// that it forwarded first: what a target has beyond its allowance counts from 2 s on.
#[test]
fn attempts_from_before_the_start_hold_no_opening_up() {
    let mut fixture = Fixture::new();
    fixture.control.record_forwarded(SERVICE, fixture.now);
    // On one target in two, which leaves half of the limit.
    for (number, target) in fixture.directory.iter_mut().enumerate() {
        let load = if number % 2 == 0 { 0.4 * LIMIT } else { 0.0 };
        set_load(target, [(TOP, 0.0), (LOWER, load)]);
    }
    assert!(fixture.admits(LOWER));
    fixture.now += START;
    assert!(!fixture.admits(LOWER));
}

/// Guards against a highest priority that fills the limit and starves the others.
#[test]
fn others_keep_a_fifth_of_the_requests() {
    let mut fixture = Fixture::running();
    assert!(fixture.admits(TOP));
    fixture.set_load(LIMIT, 0.2 * LIMIT);
    assert!(fixture.admits(LOWER));
    fixture.set_load(LIMIT, 0.25 * LIMIT);
    assert!(!fixture.admits(LOWER));
}

/// Guards against a service with routes of one priority that has a reserve.
#[test]
fn a_single_priority_has_no_reserve() {
    let mut fixture = Fixture::running();
    fixture.run_top(100);
    assert_eq!(fixture.status().reserve, Some(0.0));
    fixture.set_load(0.5 * LIMIT, 0.5 * LIMIT);
    assert!(!fixture.admits(TOP), "all requests count");
}

/// Guards against openings that are refused because of requests that pile up at slow targets on open flows, while other
/// targets have free slots.
#[test]
fn requests_at_slow_targets_take_no_place_elsewhere() {
    let mut fixture = Fixture::running();
    let now = fixture.now;
    for target in fixture.directory.iter_mut() {
        let is_slow = target.spec.id.0 <= 3;
        let load = if is_slow { 40.0 } else { 2.0 };
        set_load(target, [(TOP, 0.0), (LOWER, load)]);
        target.learned.record(50, if is_slow { 400.0 } else { 50.0 }, 0, now);
        target.learned.compare(&Reference { base: 1.0, median: 1.0, spread: 0.5 });
        assert_eq!(target.effective_slots(now) < 1.0, is_slow);
    }
    for priority in [LOWER, TOP] {
        assert_eq!(fixture.decide(priority), Admission::Now);
    }
    // The same requests at targets that are fast enough leave no room.
    fixture.set_load(0.0, 3.0 * 40.0 + 7.0 * 2.0);
    assert!(!fixture.admits(LOWER));
}
