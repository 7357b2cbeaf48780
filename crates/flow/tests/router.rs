//! Single rules of the flow router and of the slot table.

#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_flow::targets::{TargetKey, TargetRef};
use comfreyhold_flow::{
    Action, DropReason, FiveTuple, FlowRouter, Frame, Message, Outgoing, Packet, Peer, PeerState,
    Protocol, RouterSettings, SLOTS_PER_SERVICE, ServiceTargets, SlotTable, TargetSets, TargetSpec,
};
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision, ServiceId};
use comfreyhold_types::target::TargetState;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

fn address(index: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, index)), 80)
}

fn service_address(id: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 99, 0, id as u8)), 443)
}

fn spec(index: u8) -> TargetSpec {
    TargetSpec {
        address: address(index),
        incarnation: Incarnation(1),
        domain: DomainId(u16::from(index % 2)),
        weight: 100,
        state: TargetState::Serving,
    }
}

fn service(id: u16, targets: Vec<TargetSpec>) -> ServiceTargets {
    ServiceTargets {
        service: ServiceId(id),
        address: service_address(id),
        idle_timeout: Duration::from_secs(10),
        drain_time: Duration::from_secs(30),
        targets,
    }
}

fn sets(first: Vec<TargetSpec>, second: Vec<TargetSpec>) -> TargetSets {
    TargetSets { services: vec![service(1, first), service(2, second)], withdrawn: BTreeSet::new() }
}

fn packet(flow: u16, opens: bool) -> Packet {
    let source = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(172, 16, 0, 1)), flow);
    let destination = service_address(1);
    Packet::synthetic(FiveTuple { protocol: Protocol::Tcp, source, destination }, opens)
}

struct Fixture {
    router: FlowRouter,
    now: Instant,
}

impl Fixture {
    fn new(sets: &TargetSets) -> Self {
        Self::with_room(sets, 640)
    }

    fn with_room(sets: &TargetSets, max_flows: usize) -> Self {
        let settings = RouterSettings {
            instance: InstanceId(1),
            domain: DomainId(0),
            hash_key: (3, 4),
            max_flows,
            seed: 1,
        };
        let now = Instant::now();
        let fixture = Self { router: FlowRouter::new(settings, now), now };
        fixture.install(1, sets);
        let state = PeerState::Serving;
        let me = Peer { id: InstanceId(1), incarnation: Incarnation(1), state };
        fixture.router.set_live_entries(&[me], now, &mut Vec::new());
        fixture
    }

    fn install(&self, version: u64, sets: &TargetSets) {
        self.router.prepare(Revision(version), sets, self.now).unwrap();
        self.router.activate(Revision(version), self.now).unwrap();
    }

    fn send(&self, flow: u16, opens: bool) -> Action {
        let mut out: Vec<Outgoing> = Vec::new();
        self.router.route_packet(&packet(flow, opens), self.now, &mut out)
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.router.tick(self.now, &mut Vec::new());
        }
    }
}

/// Guards against flows that follow an address to another service, also when the entry's table is
/// older than the change of the address's service.
#[test]
fn an_address_taken_by_another_service_inherits_no_flow() {
    let fixture = Fixture::new(&sets(vec![spec(0)], vec![spec(2)]));
    assert_eq!(fixture.send(1, true), Action::ToTarget(address(0)));
    fixture.router.end_target_flows(address(0), Incarnation(1));
    assert!(matches!(fixture.send(1, false), Action::Reject(_)));
    assert_eq!(fixture.send(2, true), Action::Drop(DropReason::Deferred));
    assert_eq!(fixture.router.return_source(address(0)), None);
    fixture.install(2, &sets(vec![spec(4)], vec![spec(0), spec(2)]));
    assert_ne!(fixture.send(1, false), Action::ToTarget(address(0)));
    assert_eq!(fixture.router.return_source(address(0)), Some(service_address(2)));
}

/// Guards against established flows that are rejected because their target has started again: they may have opened at the
/// new start before this entry or a peer knew of it (review/13). The target itself resets those that it lacks.
#[test]
fn a_target_that_started_again_keeps_its_flows() {
    let later = TargetSpec { incarnation: Incarnation(2), ..spec(0) };
    let joined = TargetRef { address: address(0), incarnation: Incarnation(2) };
    let mut fixture = Fixture::new(&sets(vec![spec(0)], vec![]));
    assert_eq!(fixture.send(1, true), Action::ToTarget(address(0)));
    assert_eq!(fixture.send(1, false), Action::ToTarget(address(0)));
    fixture.router.end_flows_of_former_service(&joined, Some(ServiceId(1)));
    assert_eq!(fixture.send(1, false), Action::ToTarget(address(0)), "announced");
    fixture.install(2, &sets(vec![later, spec(2)], vec![]));
    assert_eq!(fixture.send(1, false), Action::ToTarget(address(0)), "declared");
    fixture.run(Duration::from_secs(8));
    assert_eq!(fixture.send(1, false), Action::ToTarget(address(0)), "after the transition");
    // Another service that takes the address gets none of them.
    let joined = TargetRef { incarnation: Incarnation(3), ..joined };
    fixture.router.end_flows_of_former_service(&joined, Some(ServiceId(2)));
    assert!(matches!(fixture.send(1, false), Action::Reject(_)));
}

/// Guards against an isolated entry that sends to another failure domain, whose state may have
/// changed.
#[test]
fn an_isolated_entry_uses_only_local_targets() {
    let fixture = Fixture::new(&sets((0..6).map(spec).collect(), vec![]));
    let before: Vec<_> = (0..100).map(|flow| fixture.send(flow, true)).collect();
    fixture.router.isolate();
    let local: BTreeSet<_> = [0, 2, 4].map(address).into();
    for (flow, before) in before.iter().enumerate() {
        let Action::ToTarget(target) = before else { panic!("not placed: {before:?}") };
        let expected =
            if local.contains(target) { *before } else { Action::Drop(DropReason::Isolated) };
        assert_eq!(fixture.send(flow as u16, false), expected);
    }
    for flow in 100..300 {
        let Action::ToTarget(to) = fixture.send(flow, true) else { panic!("not served") };
        assert!(local.contains(&to));
        assert_eq!(fixture.send(flow, false), Action::ToTarget(to));
    }
}

/// Guards against packets to a withdrawn domain, and against flows that continue once it is
/// restored.
#[test]
fn a_withdrawn_domain_ends_its_flows_at_once() {
    let fixture = Fixture::new(&sets((0..6).map(spec).collect(), vec![]));
    let placed = |flow| match fixture.send(flow, true) {
        Action::ToTarget(to) => to,
        other => panic!("not placed: {other:?}"),
    };
    let targets: Vec<_> = (0..100).map(placed).collect();
    fixture.router.withdraw_domain(DomainId(1), Revision(2));
    for (flow, target) in targets.iter().enumerate() {
        let withdrawn = [1, 3, 5].map(address).contains(target);
        let action = fixture.send(flow as u16, false);
        assert_eq!(matches!(action, Action::Reject(_)), withdrawn, "{action:?}");
    }
    let mut out = sets((0..6).map(spec).collect(), vec![]);
    out.withdrawn.insert(DomainId(1));
    fixture.install(2, &out);
    for flow in 200..300 {
        let Action::ToTarget(to) = fixture.send(flow, true) else { panic!("not placed") };
        assert!(![1, 3, 5].map(address).contains(&to));
    }
}

/// Guards against a draining target that loses flows early, keeps them without end, or gets new
/// ones.
#[test]
fn a_draining_target_keeps_its_flows_until_its_drain_time_ends() {
    let mut fixture = Fixture::new(&sets(vec![spec(0), spec(2)], vec![]));
    let flow = (0..50).find(|flow| fixture.send(*flow, true) == Action::ToTarget(address(0)));
    let flow = flow.unwrap();
    let mut draining = spec(0);
    draining.state = TargetState::Draining;
    fixture.install(2, &sets(vec![draining, spec(2)], vec![]));
    for _ in 0..5 {
        fixture.run(Duration::from_secs(5));
        assert_eq!(fixture.send(flow, false), Action::ToTarget(address(0)));
    }
    assert!((100..200).all(|flow| fixture.send(flow, true) == Action::ToTarget(address(2))));
    fixture.run(Duration::from_secs(6));
    assert!(matches!(fixture.send(flow, false), Action::Reject(_)));
}

/// Guards against records that outlive their flows, and against unbounded memory.
#[test]
fn records_are_bounded_and_expire() {
    let mut fixture = Fixture::new(&sets(vec![spec(0)], vec![]));
    assert!((0..5_000).all(|flow| fixture.send(flow, true) == Action::ToTarget(address(0))));
    assert!(fixture.router.stats().flows <= 640);
    fixture.run(Duration::from_secs(15));
    assert_eq!(fixture.router.stats().flows, 0);
}

/// Guards against reports that exceed their budget of bytes.
#[test]
fn reports_stay_within_their_budget() {
    let mut fixture = Fixture::with_room(&sets(vec![spec(0)], vec![]), 100_000);
    let peer =
        |id| Peer { id: InstanceId(id), incarnation: Incarnation(1), state: PeerState::Serving };
    let (now, mut out) = (fixture.now, Vec::new());
    for flow in 0..20_000 {
        fixture.send(flow, true);
    }
    fixture.router.set_live_entries(&[peer(1), peer(2)], now, &mut out);
    // The marker is sent once the state before it is acknowledged.
    let acks = out.iter().map(|sent| sent.frame.seq).collect();
    fixture.router.handle_frame(InstanceId(2), &Frame { acks, ..Frame::default() }, now, &mut out);
    fixture.router.tick(now, &mut out);
    let marker = out.iter().find_map(|sent| match sent.frame.message {
        Some(Message::Marker { view }) => Some(Message::Marker { view }),
        _ => None,
    });
    let services = Vec::new();
    let state = Message::State {
        synced: true,
        active: Revision(1),
        through: Revision(1),
        known_since: Revision(0),
        services,
    };
    for message in [state, marker.unwrap()] {
        let frame = Frame { message: Some(message), ..Frame::default() };
        fixture.router.handle_frame(InstanceId(2), &frame, now, &mut out);
    }
    fixture.install(2, &sets(vec![spec(0), spec(2)], vec![]));
    let (mut total, mut flows) = (0, 0);
    for second in 1..=12 {
        for _ in 0..20 {
            fixture.now += Duration::from_millis(50);
            let mut out = Vec::new();
            fixture.router.tick(fixture.now, &mut out);
            for Outgoing { to, frame } in out {
                let acks = vec![frame.seq];
                fixture.router.handle_frame(
                    to,
                    &Frame { acks, ..Frame::default() },
                    fixture.now,
                    &mut Vec::new(),
                );
                let Some(Message::Pins { groups, .. }) = &frame.message else { continue };
                flows += groups.iter().map(|group| group.flows.len()).sum::<usize>();
                total += postcard::to_stdvec(&frame).unwrap().len();
            }
        }
        // The batch of one tick may exceed the budget before it is counted.
        assert!(total <= 3_000 * (second + 1) + 4_200, "{total} bytes after {second} s");
    }
    assert!(flows > 3_000, "only {flows} flows were reported");
}

/// Guards against an entry that receives transitions before it has tables and then treats all slots
/// as stable.
#[test]
fn an_entry_requests_state_again_once_it_has_tables() {
    let settings = RouterSettings {
        instance: InstanceId(1),
        domain: DomainId(0),
        hash_key: (3, 4),
        max_flows: 640,
        seed: 2,
    };
    let now = Instant::now();
    let fixture = Fixture { router: FlowRouter::new(settings, now), now };
    let peer =
        |id| Peer { id: InstanceId(id), incarnation: Incarnation(1), state: PeerState::Serving };
    fixture.router.set_live_entries(&[peer(1), peer(2)], now, &mut Vec::new());
    let state = Message::State {
        synced: true,
        active: Revision(1),
        through: Revision(1),
        known_since: Revision(0),
        services: Vec::new(),
    };
    let frame = Frame { message: Some(state), ..Frame::default() };
    fixture.router.handle_frame(InstanceId(2), &frame, now, &mut Vec::new());
    fixture.install(1, &sets(vec![spec(0)], vec![]));
    assert!(!fixture.router.is_synced());
    assert!(matches!(fixture.send(1, true), Action::Forward { to: InstanceId(2), .. }));
    let mut has_requested = false;
    for _ in 0..10 {
        let mut out = Vec::new();
        fixture.router.tick(now + Duration::from_secs(1), &mut out);
        has_requested |= out.iter().any(|sent| sent.frame.message == Some(Message::Sync));
        let acks = out.iter().map(|sent| sent.frame.seq).collect();
        fixture.router.handle_frame(
            InstanceId(2),
            &Frame { acks, ..Frame::default() },
            now,
            &mut Vec::new(),
        );
    }
    assert!(has_requested);
}

/// Guards against old or unprepared versions that take effect.
#[test]
fn versions_never_revert() {
    let fixture = Fixture::new(&sets(vec![spec(0)], vec![]));
    fixture.install(5, &sets(vec![spec(2)], vec![]));
    let old = sets(vec![spec(4)], vec![]);
    assert!(fixture.router.prepare(Revision(4), &old, fixture.now).is_err());
    assert!(fixture.router.activate(Revision(1), fixture.now).is_err());
    assert!(fixture.router.activate(Revision(6), fixture.now).is_err());
    assert_eq!(fixture.send(1, true), Action::ToTarget(address(2)));
}

/// Guards against a router that can't be shared between threads, deadlocks under changes, or drops
/// packets while a change is applied.
#[test]
fn threads_can_share_a_router() {
    let weighted = |version: u64| {
        let mut targets: Vec<_> = (0..4).map(spec).collect();
        targets[0].weight = 100 + 200 * (version % 2) as u32;
        sets(targets, vec![])
    };
    let fixture = Fixture::with_room(&weighted(1), 100_000);
    std::thread::scope(|scope| {
        for part in 0..3 {
            let fixture = &fixture;
            scope.spawn(move || {
                for flow in 0..2_000 {
                    let action = fixture.send(part * 2_000 + flow, true);
                    assert!(matches!(action, Action::ToTarget(_)), "{action:?}");
                }
            });
        }
        for version in 2..20 {
            fixture.install(version, &weighted(version));
            fixture.router.tick(fixture.now, &mut Vec::new());
        }
    });
}

fn keyed(specs: &[TargetSpec]) -> Vec<(TargetKey, TargetSpec)> {
    let mut arena: SlotMap<TargetKey, ()> = SlotMap::with_key();
    specs.iter().map(|spec| (arena.insert(()), *spec)).collect()
}

fn shares(table: &SlotTable) -> BTreeMap<TargetKey, usize> {
    let mut shares = BTreeMap::new();
    for slot in 0..SLOTS_PER_SERVICE as u16 {
        *shares.entry(table.target(slot).unwrap()).or_default() += 1;
    }
    shares
}

/// Guards against tables that differ between entries, and against shares that ignore the weights.
#[test]
fn tables_are_deterministic_and_weighted() {
    let mut targets = keyed(&(0..10).map(spec).collect::<Vec<_>>());
    targets[0].1.weight = 300;
    targets[1].1.weight = 0;
    let table = SlotTable::compute(ServiceId(1), Revision(1), &targets);
    let mut reversed = targets.clone();
    reversed.reverse();
    let same = SlotTable::compute(ServiceId(1), Revision(1), &reversed);
    assert!((0..SLOTS_PER_SERVICE as u16).all(|slot| table.target(slot) == same.target(slot)));
    let shares = shares(&table);
    assert!(!shares.contains_key(&targets[1].0));
    let expected = SLOTS_PER_SERVICE * 3 / 11;
    assert!(shares[&targets[0].0].abs_diff(expected) < expected / 8);
}

/// Guards against a change of one target that moves slots between others.
#[test]
fn a_change_moves_only_slots_of_its_target() {
    let targets = keyed(&(0..10).map(spec).collect::<Vec<_>>());
    let before = SlotTable::compute(ServiceId(1), Revision(1), &targets[..9]);
    let after = SlotTable::compute(ServiceId(1), Revision(2), &targets);
    for slot in 0..SLOTS_PER_SERVICE as u16 {
        let to = after.target(slot).unwrap();
        assert!(before.target(slot) == Some(to) || to == targets[9].0);
    }
}
