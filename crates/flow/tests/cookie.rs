//! Decisions about packets whose mark leads them to their target.

#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{
    Balancer, BalancerSettings, CallerPacket, Cookie, DiscardReason, FlowKey, PacketKind,
    ResetReason, Verdict,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{
    Destination, RequestClass, Route, RouteList, RoutePublication, RouteTable, RoutedService,
    SharedState, StateChange,
};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time after the first routes in which copies of openings wait behind others.
const SURGE_MS: u64 = 600;

fn service_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

fn route(number: u8, service: &str) -> Route {
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

fn publication(version: u64, routes: Vec<Route>) -> RoutePublication {
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

fn settings() -> BalancerSettings {
    BalancerSettings::builder()
        .domain(DomainName::from("a"))
        .remote_penalty(0.5)
        .restore_period(RETURN_TIME)
        .build()
}

fn routing(state: &SharedState) -> Routing {
    Routing {
        change: state.change,
        table: state.publication.as_ref().map(|p| Arc::clone(&p.table)),
        former: Arc::clone(&state.former),
        withdrawn: state.withdrawn.clone(),
    }
}

/// An entry with its declarations.
struct Fixture {
    balancer: Balancer,
    state: SharedState,
    now: Instant,
}

impl Fixture {
    fn new(routes: Vec<Route>) -> Self {
        let mut fixture = Self {
            balancer: Balancer::new(settings()),
            state: SharedState::default(),
            now: Instant::now(),
        };
        fixture.publish(1, routes);
        fixture.wait(SURGE_MS);
        fixture
    }

    fn publish(&mut self, version: u64, routes: Vec<Route>) {
        self.apply(StateChange::Publish(publication(version, routes)));
    }

    fn withdraw(&mut self, domain: &str, out: bool) {
        self.apply(StateChange::Withdraw { domain: DomainName::from(domain), out });
    }

    fn apply(&mut self, change: StateChange) {
        assert!(self.state.apply(&change));
        assert!(self.balancer.set_routing(routing(&self.state), self.now));
    }

    fn target(&mut self, spec: TargetSpec) {
        self.balancer.set_target(spec, self.now);
    }

    fn send(&mut self, packet: &CallerPacket) -> Verdict {
        self.balancer.route_packet(packet, false, Duration::ZERO, self.now)
    }

    /// Opens a flow and returns its target.
    fn open(&mut self, port: u16) -> TargetId {
        match self.send(&opening(port, 0)) {
            Verdict::Forward { target, .. } => target,
            other => panic!("not opened: {other:?}"),
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }
}

fn spec(id: u64, service: &str, domain: &str, now: Instant) -> TargetSpec {
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

fn flow(port: u16) -> FlowKey {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
    FlowKey { caller, service: service_address(1) }
}

fn opening(port: u16, copy: u32) -> CallerPacket {
    packet(port, PacketKind::Open { copy }, Cookie::default())
}

fn packet(port: u16, kind: PacketKind, cookie: Cookie) -> CallerPacket {
    CallerPacket { flow: flow(port), kind, cookie, seq: 7, ack: 9, data: 0 }
}

fn data(port: u16, cookie: Cookie, seq: u32, ack: u32) -> CallerPacket {
    CallerPacket { seq, ack, data: 100, ..packet(port, PacketKind::Established, cookie) }
}

fn cookie(id: u64) -> Cookie {
    Cookie::of(TargetId(id), 1_000 + id)
}

fn target_of(verdict: Verdict) -> Option<u64> {
    match verdict {
        Verdict::Forward { target, .. } => Some(target.0),
        _ => None,
    }
}

fn orders_on(targets: &[(u64, &str)]) -> Fixture {
    let mut fixture = Fixture::new(vec![route(1, "orders")]);
    for (id, domain) in targets {
        let spec = spec(*id, "orders", domain, fixture.now);
        fixture.target(spec);
    }
    fixture
}

/// Guards against a flow that breaks because its packets come through an entry that has not seen it.
#[test]
fn any_entry_finds_the_target_of_a_flow_by_its_cookie() {
    let mut first = orders_on(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut second = orders_on(&[(3, "c"), (2, "b"), (1, "a")]);
    for port in 0..50 {
        let target = first.open(port);
        let later = packet(port, PacketKind::Established, cookie(target.0));
        assert_eq!(target_of(second.send(&later)), Some(target.0));
    }
}

/// Guards against a packet that reaches another service by a forged mark or a reused address.
#[test]
fn a_cookie_of_a_foreign_service_leads_nowhere() {
    let mut fixture = orders_on(&[(1, "a")]);
    let foreign = spec(2, "sheets", "a", fixture.now);
    fixture.target(foreign);
    let verdict = fixture.send(&packet(1, PacketKind::Established, cookie(2)));
    assert_eq!(verdict, Verdict::Discard(DiscardReason::ForeignTarget));
}

/// Guards against open flows that break when their route is turned to another service.
#[test]
fn a_changed_route_leaves_open_flows_where_they_are() {
    let mut fixture = orders_on(&[(1, "a")]);
    let sheet = spec(2, "sheets", "a", fixture.now);
    fixture.target(sheet);
    fixture.publish(2, vec![route(1, "sheets")]);
    assert_eq!(target_of(fixture.send(&packet(1, PacketKind::Established, cookie(1)))), Some(1));
    assert_eq!(fixture.open(2).0, 2, "a new flow goes to the new service");
}

/// Guards against flows of a removed route that go on, and against flows that end although their route may
/// only be newer than what this entry knows.
#[test]
fn only_flows_of_removed_routes_are_reset() {
    let mut fixture = orders_on(&[(1, "a")]);
    fixture.publish(2, vec![route(2, "orders")]);
    let removed = fixture.send(&packet(1, PacketKind::Established, cookie(1)));
    assert_eq!(removed, Verdict::Reset(ResetReason::RouteRemoved));
    assert_eq!(fixture.send(&opening(1, 0)), Verdict::Reset(ResetReason::NoRoute));
    let mut unknown = packet(1, PacketKind::Established, cookie(1));
    unknown.flow.service = service_address(9);
    assert_eq!(fixture.send(&unknown), Verdict::Discard(DiscardReason::UnknownRoute));
}

/// Guards against new flows on targets that drain, have ended or whose domain is out, and against open
/// flows that lose such a target.
#[test]
fn leaving_targets_keep_flows_and_get_no_new_ones() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b"), (3, "c")]);
    let draining =
        TargetSpec { availability: Availability::Draining, ..spec(1, "orders", "a", fixture.now) };
    fixture.target(draining);
    fixture.withdraw("b", true);
    for port in 0..50 {
        assert_eq!(fixture.open(port).0, 3);
    }
    for id in [1, 2] {
        let open = packet(100, PacketKind::Established, cookie(id));
        assert_eq!(
            target_of(fixture.send(&CallerPacket { flow: flow(100 + id as u16), ..open })),
            Some(id)
        );
    }
}

/// Guards against a rush on the targets of a domain that has just come back and may be cold.
#[test]
fn targets_of_a_returned_domain_wait_until_they_have_said_whether_they_are_cold() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b")]);
    fixture.withdraw("a", true);
    fixture.withdraw("a", false);
    for port in 0..20 {
        assert_eq!(fixture.open(port).0, 2);
    }
    fixture.wait(2_100);
    assert!((20..60).any(|port| fixture.open(port).0 == 1));
}

/// Guards against requests that fall onto a target while it is cold, as long as others take them.
#[test]
fn cold_targets_get_flows_only_when_there_is_no_other() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b")]);
    let cold_until = fixture.now + Duration::from_secs(2);
    fixture.target(TargetSpec { cold_until, ..spec(1, "orders", "a", fixture.now) });
    for port in 0..20 {
        assert_eq!(fixture.open(port).0, 2);
    }
    let ended =
        TargetSpec { availability: Availability::Ended, ..spec(2, "orders", "b", fixture.now) };
    fixture.target(ended);
    assert_eq!(fixture.open(50).0, 1);
}

/// Guards against an opening that is lost for a second because its target is dead, full or cut off.
#[test]
fn a_copy_of_an_unanswered_opening_goes_to_another_target() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b"), (3, "c")]);
    let first = fixture.open(1);
    fixture.wait(200);
    let second = target_of(fixture.send(&opening(1, 1))).unwrap();
    fixture.wait(400);
    let third = target_of(fixture.send(&opening(1, 2))).unwrap();
    assert_eq!(BTreeSet::from([first.0, second, third]).len(), 3);
}

/// Guards against a flow that moves to the target that lost: it has answered a copy of the opening late,
/// and its mark replaced the first one.
#[test]
fn a_late_second_answer_does_not_move_a_flow() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b")]);
    let first = fixture.open(1).0;
    let other = 3 - first;
    fixture.send(&packet(1, PacketKind::Established, cookie(first)));
    let later = fixture.send(&data(1, cookie(other), 20, 30));
    assert_eq!(target_of(later), Some(first));
    let Verdict::Forward { cookie: mark, .. } = later else { panic!("{later:?}") };
    assert_eq!(mark, cookie(first), "the mark is put right");
}

/// Guards against openings that go on to a target which answers none, and against one that is never tried
/// again.
#[test]
fn a_target_that_answers_nothing_is_passed_over_and_tried_again() {
    let mut fixture = orders_on(&[(1, "a"), (2, "a")]);
    let mut to_dead = 0;
    for port in 0..200 {
        if fixture.open(port).0 == 1 {
            to_dead += 1;
            fixture.wait(200);
            assert_eq!(target_of(fixture.send(&opening(port, 1))), Some(2));
        }
        fixture.send(&packet(port, PacketKind::Established, cookie(2)));
        fixture.send(&packet(port, PacketKind::Finish, cookie(2)));
        fixture.wait(50);
    }
    // 200 openings over 10 s and more: pauses of 0.4, 0.8, 1.6, 3.2 and 5 s allow for 6 attempts.
    assert!((2..=7).contains(&to_dead), "{to_dead} openings went to the dead target");
}

/// Guards against openings that wait at a suspended entry and are answered after their caller has opened
/// the flow elsewhere.
#[test]
fn openings_that_have_waited_are_dropped() {
    let mut fixture = orders_on(&[(1, "a")]);
    let verdict = fixture.balancer.route_packet(&opening(1, 0), true, Duration::ZERO, fixture.now);
    assert_eq!(verdict, Verdict::Discard(DiscardReason::LateOpening));
    let open = packet(1, PacketKind::Established, cookie(1));
    assert_eq!(
        target_of(fixture.balancer.route_packet(&open, true, Duration::ZERO, fixture.now)),
        Some(1)
    );
}

/// Guards against callers that wait for their deadline although no target can serve them.
#[test]
fn an_opening_without_usable_target_is_refused_at_once() {
    let mut fixture = orders_on(&[]);
    assert_eq!(fixture.send(&opening(1, 0)), Verdict::Reset(ResetReason::NoTarget));
}

/// Guards against resets of flows whose target still sends its last answers, and against silence for good
/// once it has ended.
#[test]
fn flows_of_an_ended_target_are_reset_after_a_grace() {
    let mut fixture = orders_on(&[(1, "a")]);
    let ended =
        TargetSpec { availability: Availability::Ended, ..spec(1, "orders", "a", fixture.now) };
    fixture.target(ended);
    let open = packet(1, PacketKind::Established, cookie(1));
    assert_eq!(target_of(fixture.send(&open)), Some(1));
    fixture.wait(2_100);
    assert_eq!(fixture.send(&open), Verdict::Reset(ResetReason::TargetEnded));
}

/// Guards against packets of an earlier start of a target that its later start is blamed for.
#[test]
fn a_new_start_under_the_same_id_has_another_cookie() {
    let mut fixture = orders_on(&[(1, "a")]);
    fixture.target(TargetSpec { born_ms: 9_000, ..spec(1, "orders", "a", fixture.now) });
    match fixture.send(&opening(1, 0)) {
        Verdict::Forward { cookie, .. } => assert_eq!(cookie, Cookie::of(TargetId(1), 9_000)),
        other => panic!("{other:?}"),
    }
    let former = packet(2, PacketKind::Established, cookie(1));
    assert_eq!(fixture.send(&former), Verdict::Reset(ResetReason::TargetEnded));
}

/// Guards against callers that wait for their deadline at a target that has crashed, although another one
/// has its address now. Pattern: the targets of a domain go dark and come back after seconds.
#[test]
fn flows_of_a_target_whose_address_is_used_again_are_reset_at_once() {
    let mut fixture = orders_on(&[(1, "a")]);
    let open = packet(1, PacketKind::Established, cookie(1));
    assert_eq!(target_of(fixture.send(&open)), Some(1));
    let address = spec(1, "orders", "a", fixture.now).address;
    let later = TargetSpec { address, ..spec(7, "sheets", "a", fixture.now) };
    fixture.target(later);
    assert_eq!(fixture.send(&open), Verdict::Reset(ResetReason::TargetEnded));
    let late_news = spec(1, "orders", "a", fixture.now);
    fixture.target(late_news);
    assert_eq!(fixture.send(&open), Verdict::Reset(ResetReason::TargetEnded));
}

/// Guards against the later of two starts that is given up because the earlier one becomes known after it.
#[test]
fn an_earlier_start_that_becomes_known_late_replaces_nothing() {
    let mut fixture = orders_on(&[]);
    let late = TargetSpec { born_ms: 9_000, ..spec(1, "orders", "a", fixture.now) };
    fixture.target(late);
    let early = spec(1, "orders", "a", fixture.now);
    fixture.target(early);
    match fixture.send(&opening(1, 0)) {
        Verdict::Forward { cookie, .. } => assert_eq!(cookie, Cookie::of(TargetId(1), 9_000)),
        other => panic!("{other:?}"),
    }
}

/// Guards against declarations that go back when a slow control daemon tells older ones.
#[test]
fn older_declarations_change_nothing() {
    let mut fixture = orders_on(&[(1, "a")]);
    fixture.publish(2, vec![route(1, "orders"), route(2, "orders")]);
    let older =
        Routing { change: 1, table: Some(Arc::new(RouteTable::default())), ..Routing::default() };
    assert!(!fixture.balancer.set_routing(older, fixture.now));
    assert_eq!(fixture.balancer.routing().table.as_ref().unwrap().routes.len(), 2);
}

/// Guards against targets whose slots are full while others of the domain have free ones. Pattern: flows of
/// one request each, all through one entry.
#[test]
fn short_flows_spread_over_the_slots() {
    let mut fixture = orders_on(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);
    let mut counts = [0; 5];
    for port in 0..8 {
        counts[fixture.open(port).0 as usize] += 1;
    }
    assert_eq!(counts[1..], [2, 2, 2, 2]);
}

/// Guards against flows that cross domains while the own one has room, and against an own domain that is
/// overloaded while others are idle.
#[test]
fn the_own_domain_comes_first_until_it_is_fuller() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b")]);
    assert_eq!(fixture.open(1).0, 1);
    let all: Vec<u64> = (2..8).map(|port| fixture.open(port).0).collect();
    assert!(all.contains(&2), "{all:?}");
}

/// Guards against a load that grows with flows that have ended or been forgotten.
#[test]
fn the_load_of_finished_and_forgotten_flows_is_taken_off() {
    let mut fixture = orders_on(&[(1, "a")]);
    for port in 0..20 {
        fixture.open(port);
        fixture.send(&data(port, cookie(1), 20, 30));
        if port % 2 == 0 {
            fixture.send(&packet(port, PacketKind::Finish, cookie(1)));
        }
    }
    fixture.wait(400);
    fixture.balancer.sweep(fixture.now);
    fixture.wait(20_000);
    fixture.balancer.sweep(fixture.now);
    assert_eq!(fixture.balancer.flow_count(), 0);
    let load: f64 = fixture.balancer.directory().iter().map(|(_, target)| target.load).sum();
    assert!(load.abs() < 1e-6, "{load}");
}

/// Guards against weights that are not kept, and against copies of one opening that fall on different
/// services.
#[test]
fn a_split_route_follows_its_weights() {
    let mut split = route(1, "orders");
    split.destinations[0].weight = 3;
    split.destinations.push(Destination { service: "sheets".to_owned(), weight: 1 });
    let mut fixture = Fixture::new(vec![split]);
    let (orders, sheets) =
        (spec(1, "orders", "a", fixture.now), spec(2, "sheets", "a", fixture.now));
    fixture.target(orders);
    fixture.target(sheets);
    let mut to_sheets = 0;
    for port in 0..4_000 {
        let first = fixture.open(port).0;
        assert_eq!(target_of(fixture.send(&opening(port, 1))), Some(first));
        to_sheets += u32::from(first == 2);
    }
    // 1,000 are expected; five standard deviations are 137.
    assert!((863..=1_137).contains(&to_sheets), "{to_sheets}");
}

/// Guards against a second target for an opening whose first one has not had the time to answer: the opening
/// had waited in the entry, and its copy was on its way already.
#[test]
fn a_copy_that_comes_right_after_its_opening_goes_to_the_same_target() {
    let mut fixture = orders_on(&[(1, "a"), (2, "b"), (3, "c")]);
    let first = fixture.open(1);
    fixture.wait(10);
    assert_eq!(target_of(fixture.send(&opening(1, 1))), Some(first.0));
    fixture.wait(390);
    assert_ne!(target_of(fixture.send(&opening(1, 2))), Some(first.0));
}

/// Guards against new requests that are late in the first moment after an outage, and against a late opening
/// that is forgotten.
#[test]
fn late_copies_wait_for_the_end_of_the_surge() {
    let mut fixture = orders_on(&[(1, "a")]);
    fixture.balancer = Balancer::new(settings());
    let (state, now) = (fixture.state.clone(), fixture.now);
    fixture.balancer.set_routing(routing(&state), now);
    fixture.target(spec(1, "orders", "a", now));
    assert_eq!(fixture.send(&opening(1, 1)), Verdict::Discard(DiscardReason::Surge));
    let Verdict::Defer(wait) = fixture.send(&opening(2, 2)) else { panic!("it does not wait") };
    assert_eq!(target_of(fixture.send(&opening(3, 0))), Some(1), "a new one goes first");
    fixture.now += wait;
    assert_eq!(target_of(fixture.send(&opening(2, 2))), Some(1));
}
