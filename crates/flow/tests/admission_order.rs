//! Order of openings that wait by the share of their entry, and the limits of the state kept about them.

#![allow(clippy::unwrap_used)]

use comfreyhold_flow::cookie::admission::callers::MAX_CALLERS;
use comfreyhold_flow::cookie::admission::order::MAX_WAITING;
use comfreyhold_flow::cookie::admission::share::max_min_parts;
use comfreyhold_flow::cookie::admission::{
    Admission, AdmissionControl, LimitKind, LimitStatus, OpeningAge, ShareInput,
};
use comfreyhold_flow::cookie::directory::{Directory, TargetSpec};
use comfreyhold_flow::cookie::shared::ServiceShare;
use comfreyhold_flow::cookie::{FlowKey, TargetKey};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const SERVICE: &str = "orders";

/// Requests that may be in flight at one target of two slots.
const LIMIT: f64 = 6.0;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route(priority: u8, class: RequestClass, objective: Duration) -> Route {
    Route {
        name: "r".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, priority), 443),
        class,
        timeout_ms: 10_000,
        objective_ms: u64::try_from(objective.as_millis()).unwrap(),
        priority,
        destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
    }
}

/// A route whose openings are never late.
fn patient(priority: u8) -> Route {
    route(priority, RequestClass::Idempotent, Duration::from_secs(60))
}

fn flow(caller: u32, port: u16) -> FlowKey {
    let caller = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + caller), port);
    FlowKey { caller, service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443) }
}

/// The only entry of a service with one target, with a virtual clock.
struct Fixture {
    control: AdmissionControl,
    directory: Directory,
    target: TargetKey,
    now: Instant,
    has_totals: bool,
}

impl Fixture {
    /// An entry whose share is in use.
    fn full() -> Self {
        let now = Instant::now();
        let mut directory = Directory::default();
        let spec = TargetSpec {
            id: TargetId(1),
            born_ms: 1,
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
            domain: DomainName::from("a"),
            slots: 2,
            availability: Availability::Serving,
            cold_until: now,
            silent: false,
        };
        directory.upsert(spec, now);
        let target = directory.iter().next().unwrap().0;
        let control = AdmissionControl::default();
        let mut fixture = Self { control, directory, target, now, has_totals: true };
        fixture.set_load(LIMIT);
        fixture
    }

    fn set_load(&mut self, load: f64) {
        self.directory.get_mut(self.target).unwrap().load = load;
        self.now += millis(5);
    }

    fn decide(&mut self, flow: FlowKey, route: &Route, copy: u32, waited: Duration) -> Admission {
        let domain = DomainName::from("a");
        let totals = ServiceShare {
            own_per_s: 100.0,
            domain_per_s: 100.0,
            domain_entries: 1,
            domains_per_s: BTreeMap::from([(domain.clone(), 100.0)]),
            in_flight: 1_000.0,
            received: self.now,
        };
        let input = ShareInput {
            service: SERVICE,
            totals: Some(&totals).filter(|_| self.has_totals),
            directory: &self.directory,
            domain: &domain,
            withdrawn: &BTreeSet::new(),
            restored: &BTreeMap::new(),
        };
        self.control.update_share(&input, route, self.now);
        let opening = OpeningAge { flow, copy, waited };
        let decision = self.control.decide(SERVICE, route, true, opening, self.now);
        if decision == Admission::Now {
            self.control.record_forwarded(SERVICE, self.now);
        }
        decision
    }

    /// Makes room for one opening at a time and decides on all that wait, in the given order. Returns the first `count`
    /// that are admitted.
    fn admit(&mut self, waiting: &[(FlowKey, Route)], count: usize) -> Vec<FlowKey> {
        let mut waiting = waiting.to_vec();
        let mut admitted = Vec::new();
        for (flow, route) in &waiting {
            assert!(matches!(self.decide(*flow, route, 0, millis(1)), Admission::After(_)));
        }
        while admitted.len() < count {
            self.set_load(LIMIT - 1.0);
            waiting.retain(|(flow, route)| {
                let is_admitted = self.decide(*flow, route, 0, millis(1)) == Admission::Now;
                if is_admitted {
                    admitted.push(*flow);
                }
                !is_admitted
            });
        }
        admitted
    }

    fn status(&self) -> LimitStatus {
        self.control.status(SERVICE, self.now).unwrap()
    }
}

/// Guards against urgent openings behind others, and against a class that gets nothing while urgent ones wait.
#[test]
fn higher_priorities_go_first_and_lower_ones_get_a_fifth() {
    let mut fixture = Fixture::full();
    let low = (0..40).map(|number| (flow(number, 1), patient(2)));
    let high = (40..80).map(|number| (flow(number, 1), patient(1)));
    let waiting: Vec<_> = low.chain(high).collect();
    let admitted = fixture.admit(&waiting, 25);
    let is_low = |key: &FlowKey| waiting[..40].iter().any(|(low, _)| low == key);
    assert!(!is_low(&admitted[0]), "an urgent one goes first");
    assert_eq!(admitted.iter().filter(|key| is_low(key)).count(), 5);
}

/// Guards against several lower ranks of which one takes all that is left to them.
#[test]
fn each_lower_rank_is_served() {
    let mut fixture = Fixture::full();
    let ranks = (0..80).map(|number| (flow(number, 1), patient(1 + (number % 4) as u8)));
    let waiting: Vec<_> = ranks.collect();
    let admitted = fixture.admit(&waiting, 15);
    for rank in 0..4 {
        let is_of_rank = |key: &&FlowKey| u32::from(*key.caller.ip()) % 4 == rank;
        assert!(admitted.iter().any(|key| is_of_rank(&key)), "rank {rank}: {admitted:?}");
    }
}

/// Guards against requests that may be repeated in the places of those that may not, and against late ones in the
/// places of those that can be in time.
#[test]
fn within_a_priority_class_and_lateness_decide() {
    let mut fixture = Fixture::full();
    let objective = Duration::from_secs(60);
    let late = (flow(1, 1), route(1, RequestClass::Idempotent, millis(1)));
    let repeatable = (flow(2, 1), route(1, RequestClass::Idempotent, objective));
    let once = (flow(3, 1), route(1, RequestClass::NonIdempotent, objective));
    // The wait of 1 ms makes the objective of 1 ms late as soon as any answer time is added.
    let waiting = [late.clone(), repeatable.clone(), once.clone()];
    for (flow, route) in &waiting {
        fixture.decide(*flow, route, 0, millis(2));
    }
    let mut admitted = Vec::new();
    while admitted.len() < 3 {
        fixture.set_load(LIMIT - 1.0);
        for (flow, route) in &waiting {
            let is_done = admitted.contains(flow);
            if !is_done && fixture.decide(*flow, route, 0, millis(2)) == Admission::Now {
                admitted.push(*flow);
            }
        }
    }
    assert_eq!(admitted, [once.0, repeatable.0, late.0]);
}

/// Guards against a caller that takes all places by opening many flows.
#[test]
fn each_of_n_callers_is_admitted_once_in_n_admissions() {
    let mut fixture = Fixture::full();
    let greedy = (1..=100).map(|port| (flow(0, port), patient(1)));
    let modest = (1..10).flat_map(|caller| (1..=2).map(move |p| (flow(caller, p), patient(1))));
    let waiting: Vec<_> = greedy.chain(modest).collect();
    let admitted = fixture.admit(&waiting, 20);
    for (round, admitted) in admitted.chunks(10).enumerate() {
        let callers: BTreeSet<Ipv4Addr> = admitted.iter().map(|key| *key.caller.ip()).collect();
        assert_eq!(callers.len(), 10, "round {round}: {admitted:?}");
    }
}

/// Guards against state that grows with random callers.
#[test]
fn waiting_openings_and_callers_are_bounded() {
    let mut fixture = Fixture::full();
    let mut refused = 0;
    for caller in 0..3 * MAX_WAITING as u32 {
        let decision = fixture.decide(flow(caller, 1), &patient(1), 0, millis(1));
        refused += usize::from(decision == Admission::Refused);
    }
    let status = fixture.status();
    assert_eq!(status.waiting, MAX_WAITING);
    assert!(status.callers <= MAX_CALLERS);
    assert_eq!(refused, 2 * MAX_WAITING);
    fixture.now += millis(300);
    fixture.set_load(0.0);
    assert_eq!(fixture.decide(flow(0, 2), &patient(1), 0, millis(1)), Admission::Now);
    assert_eq!(fixture.status().waiting, 0, "those that are no longer decided on are forgotten");
}

/// Guards against a refusal of an attempt whose first copy may have been forwarded by the process before a restart.
#[test]
fn attempts_that_were_not_seen_from_their_start_are_not_refused() {
    let mut fixture = Fixture::full();
    let last = millis(599);
    assert!(matches!(fixture.decide(flow(1, 1), &patient(1), 2, last), Admission::After(_)));
    let end = fixture.decide(flow(1, 1), &patient(1), 2, millis(600));
    assert_eq!(end, Admission::AtRetransmission, "it is dropped, and its caller gives up");
    assert!(matches!(fixture.decide(flow(2, 1), &patient(1), 0, millis(150)), Admission::After(_)));
    assert_eq!(
        fixture.decide(flow(2, 1), &patient(1), 0, millis(199)),
        Admission::AtRetransmission
    );
    assert!(matches!(fixture.decide(flow(2, 1), &patient(1), 2, millis(590)), Admission::After(_)));
    assert_eq!(fixture.decide(flow(2, 1), &patient(1), 2, millis(600)), Admission::Refused);
}

/// Guards against a place that stays empty for an opening whose next copy has not arrived yet.
#[test]
fn an_opening_between_two_copies_holds_no_place() {
    let mut fixture = Fixture::full();
    assert_eq!(
        fixture.decide(flow(1, 1), &patient(1), 0, millis(199)),
        Admission::AtRetransmission
    );
    fixture.set_load(LIMIT - 1.0);
    assert_eq!(fixture.decide(flow(2, 1), &patient(2), 0, millis(1)), Admission::Now);
}

/// Guards against log lines that don't tell which limit decided, and against a share that outlives its totals.
#[test]
fn the_status_tells_which_limit_applies() {
    let mut fixture = Fixture::full();
    assert!(matches!(fixture.decide(flow(1, 1), &patient(1), 0, millis(1)), Admission::After(_)));
    let status = fixture.status();
    assert_eq!((status.kind, status.limit), (LimitKind::Share, Some(LIMIT)));
    assert_eq!((status.share, status.in_flight), (Some(1.0), Some(LIMIT)));
    assert_eq!(status.totals_age, Some(Duration::ZERO));
    fixture.has_totals = false;
    assert_eq!(fixture.decide(flow(1, 1), &patient(1), 0, millis(1)), Admission::Now);
    let status = fixture.status();
    assert_eq!((status.kind, status.share), (LimitKind::LateAnswers, None));
    assert_eq!(status.limit, Some(LIMIT), "it starts with what the share allowed");
}

/// Guards against a service that stands still because all its targets are cold or silent, as after a loss of power.
#[test]
fn cold_and_silent_targets_count_if_there_are_no_others() {
    let mut fixture = Fixture::full();
    let mut spec = fixture.directory.get(fixture.target).unwrap().spec.clone();
    spec.cold_until = fixture.now + Duration::from_secs(60);
    spec.silent = true;
    fixture.directory.upsert(spec.clone(), fixture.now);
    fixture.set_load(LIMIT - 1.0);
    assert_eq!(fixture.decide(flow(1, 1), &patient(1), 0, millis(1)), Admission::Now);
    assert_eq!(fixture.status().limit, Some(LIMIT));
    // A target that is ready takes all flows, so that the slots of the cold one don't count.
    let ready = TargetSpec {
        id: TargetId(2),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 80),
        slots: 1,
        cold_until: fixture.now,
        silent: false,
        ..spec
    };
    fixture.directory.upsert(ready, fixture.now);
    fixture.set_load(LIMIT - 1.0);
    assert!(matches!(fixture.decide(flow(2, 1), &patient(1), 0, millis(1)), Admission::After(_)));
    assert_eq!(fixture.status().limit, Some(LIMIT / 2.0));
}

/// Guards against domains that pay for the demand of another.
#[test]
fn domains_share_a_service_by_max_min_fairness() {
    let parts = |needs: [f64; 4]| {
        let names = ["a", "b", "c", "d"];
        max_min_parts(&names.into_iter().zip(needs).collect(), 100.0)
    };
    assert_eq!(parts([10.0, 10.0, 10.0, 1_000.0]), [0.1, 0.1, 0.1, 0.7]);
    assert_eq!(parts([500.0; 4]), [0.25; 4]);
    assert_eq!(parts([0.0; 4]), [0.25; 4]);
    let alike = parts([500.0, 500.0, 500.0, 550.0]);
    assert!(alike[3] > alike[0] && alike[3] < 0.28, "{alike:?}");
    for needs in [[1.0, 2.0, 300.0, 40.0], [90.0, 90.0, 90.0, 5.0], [26.0, 26.0, 26.0, 1e9]] {
        let parts = parts(needs);
        assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{parts:?}");
    }
}
