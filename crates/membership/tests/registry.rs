//! Target registry: refused announcements, leases, the exchange between entries and the batches of the
//! leader.
#![allow(clippy::unwrap_used)]

mod support;

use comfreyhold_membership::collector::TargetCollector;
use comfreyhold_membership::registry::{Announcement, Registry, RegistryAction, RegistryMessage};
use comfreyhold_types::declarations::{Content, Publication, ServiceSpec};
use comfreyhold_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Instant;
use support::{Faults, SimulatedNetwork, ms};

const LEADER: InstanceId = InstanceId(9);

fn declared() -> Declarations {
    let mut state = Declarations::default();
    let profile = Content::Profile(Profile::builder().name("orders").build());
    let service = |name: &str, address: &str| {
        Content::Service(ServiceSpec {
            name: name.to_owned(),
            address: address.parse().unwrap(),
            profile: "orders".to_owned(),
        })
    };
    let contents = [profile, service("orders", "10.9.0.1:80"), service("feed", "10.9.0.2:80")];
    for content in contents {
        let publication = Publication { version: 1, operator: "ana".to_owned(), content };
        state.apply(state.revision.next(), &Command::Publish(publication));
    }
    state
}

fn announcement(port: u16, incarnation: u64) -> Announcement {
    let record = TargetRecord {
        service: "orders".to_owned(),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        domain: DomainId(1),
        slots: 2,
        incarnation: Incarnation(incarnation),
        state: TargetState::Serving,
    };
    Announcement { record, lease_ms: 3_000, sequence: 1 }
}

fn registry(id: u16) -> Registry {
    Registry::new((InstanceId(id), Incarnation(1)), DomainId(1), [DomainId(1), DomainId(2)])
}

/// Guards against announcements that would send packets to the wrong service, overload a target or restore
/// an older incarnation.
#[test]
fn bad_announcements_are_refused_with_a_code() {
    type Corruption = fn(&mut Announcement);
    let cases: [(Corruption, u16); 10] = [
        (|a| a.record.slots = 0, 4001),
        (|a| a.record.slots = 10_001, 4001),
        (|a| a.lease_ms = 499, 4001),
        (|a| a.lease_ms = 60_001, 4001),
        (|a| a.record.address.set_port(0), 4001),
        (|a| a.record.service = "feed".to_owned(), 4002),
        (|a| a.record.address = "10.9.0.2:80".parse().unwrap(), 4002),
        (|a| a.record.incarnation = Incarnation(4), 4003),
        (|a| a.record.domain = DomainId(3), 4004),
        (|a| a.record.service = "unknown".to_owned(), 4005),
    ];
    let now = Instant::now();
    let state = declared();
    let mut registry = registry(1);
    registry.on_announcement(now, &announcement(1, 5), &state).unwrap();
    for (index, (corrupt, number)) in cases.into_iter().enumerate() {
        let mut bad = announcement(1, 5);
        corrupt(&mut bad);
        let error = registry.on_announcement(now, &bad, &state).unwrap_err();
        assert_eq!(error.code.number(), number, "case {index}: {error}");
    }
}

/// Guards against an HTTP body that is parsed wrongly, and against a misspelt field that is ignored.
#[test]
fn announcement_is_parsed_from_json() {
    let body = r#"{"service":"orders","address":"10.0.0.1:7","domain":1,"slots":2,
        "incarnation":5,"state":"draining"}"#;
    let read: Announcement = serde_json::from_str(body).unwrap();
    assert_eq!(read.lease_ms, 3_000);
    assert_eq!(read.record.state, TargetState::Draining);
    let misspelt = body.replace("\"slots\"", "\"lease\":1,\"slots\"");
    assert!(serde_json::from_str::<Announcement>(&misspelt).is_err());
}

fn kinds(actions: &[RegistryAction]) -> Vec<EventKind> {
    let kind = |action: &RegistryAction| match action {
        RegistryAction::Changed(kind, _) => Some(*kind),
        RegistryAction::Send { .. } => None,
    };
    actions.iter().filter_map(kind).collect()
}

/// Guards against a target that stays in use after its lease has expired, is dropped although its lease was
/// renewed, or drains unnoticed.
#[test]
fn events_follow_lease_and_state_changes() {
    let (now, state) = (Instant::now(), declared());
    let mut registry = registry(1);
    let mut target = announcement(1, 5);
    let joined = registry.on_announcement(now, &target, &state).unwrap();
    assert_eq!(kinds(&joined), [EventKind::TargetJoined]);
    assert!(registry.on_announcement(now + ms(2_900), &target, &state).unwrap().is_empty());
    assert!(registry.tick(now + ms(5_800)).is_empty());
    target.record.state = TargetState::Draining;
    let draining = registry.on_announcement(now + ms(5_850), &target, &state).unwrap();
    assert_eq!(kinds(&draining), [EventKind::TargetDraining]);
    let lost = registry.tick(now + ms(8_850));
    assert_eq!(kinds(&lost), [EventKind::TargetLost]);
    assert!(!registry.is_leased(target.record.address));
    let again = registry.on_announcement(now + ms(9_000), &announcement(1, 6), &state).unwrap();
    assert_eq!(kinds(&again), [EventKind::TargetJoined]);
}

/// Guards against a drain that is undone by an announcement from before it: an entry that wakes up reads what the
/// target has given up, and has repeated at another entry since.
#[test]
fn an_announcement_from_before_a_drain_at_another_entry_is_refused() {
    let (now, state) = (Instant::now(), declared());
    let (mut frozen, mut other) = (registry(1), registry(2));
    other.set_peers([InstanceId(1)]);
    let numbered = |sequence| Announcement { sequence, ..announcement(1, 5) };
    let mut draining = numbered(42);
    draining.record.state = TargetState::Draining;
    frozen.on_announcement(now, &numbered(40), &state).unwrap();
    other.on_announcement(now, &draining, &state).unwrap();
    for action in other.tick(now) {
        if let RegistryAction::Send { message, .. } = action {
            frozen.on_message(now, InstanceId(2), message);
        }
    }
    let refused = frozen.on_announcement(now, &numbered(41), &state).unwrap_err();
    assert_eq!(refused.code, ResultCode::OldIncarnation);
    let known = frozen.targets().get(draining.record.address).unwrap();
    assert_eq!(known.record.state, TargetState::Draining);
    frozen.on_announcement(now, &Announcement { sequence: 43, ..draining }, &state).unwrap();
}

/// Guards against an isolated entry that uses targets of other failure domains.
#[test]
fn isolated_entry_uses_only_its_local_domain() {
    let (now, state) = (Instant::now(), declared());
    let mut registry = registry(1);
    registry.on_announcement(now, &announcement(1, 5), &state).unwrap();
    let mut other = announcement(2, 5);
    other.record.domain = DomainId(2);
    registry.on_announcement(now, &other, &state).unwrap();
    let addresses: Vec<_> = registry.local_domain_targets().map(|t| t.address.port()).collect();
    assert_eq!(addresses, [1]);
}

struct SimulatedExchange {
    net: SimulatedNetwork<RegistryMessage>,
    now: Instant,
    state: Declarations,
    entries: BTreeMap<InstanceId, Registry>,
    collector: TargetCollector,
    batches: Vec<Instant>,
}

impl SimulatedExchange {
    fn new(seed: u64, faults: Faults) -> Self {
        let now = Instant::now();
        let mut entries: BTreeMap<InstanceId, Registry> =
            (1..=3).map(|id| (InstanceId(id), registry(id))).collect();
        for registry in entries.values_mut() {
            registry.set_peers([InstanceId(1), InstanceId(2), InstanceId(3), LEADER]);
        }
        let (net, collector) = (SimulatedNetwork::new(seed, faults), TargetCollector::new(now));
        Self { net, now, state: declared(), entries, collector, batches: Vec::new() }
    }

    fn announce(&mut self, entry: u16, announcement: &Announcement) {
        let id = InstanceId(entry);
        let registry = self.entries.get_mut(&id).unwrap();
        if let Ok(actions) = registry.on_announcement(self.now, announcement, &self.state) {
            self.perform(id, actions);
        }
    }

    fn run(&mut self, for_ms: u64) {
        let end = self.now + ms(for_ms);
        while self.now < end {
            self.now += ms(20);
            while let Some((from, to, message)) = self.net.receive(self.now) {
                self.deliver(from, to, message);
            }
            for id in [InstanceId(1), InstanceId(2), InstanceId(3)] {
                let actions = self.entries.get_mut(&id).unwrap().tick(self.now);
                self.perform(id, actions);
            }
            if let Some(batch) = self.collector.tick(self.now, &self.state) {
                self.batches.push(self.now);
                self.state.apply(self.state.revision.next(), &Command::Targets(batch));
            }
        }
    }

    fn deliver(&mut self, from: InstanceId, to: InstanceId, message: RegistryMessage) {
        if to == LEADER {
            if let Some(confirm) = self.collector.on_message(&message) {
                self.net.send(self.now, LEADER, from, confirm);
            }
            return;
        }
        let actions = self.entries.get_mut(&to).unwrap().on_message(self.now, from, message);
        self.perform(to, actions);
    }

    fn perform(&mut self, id: InstanceId, actions: Vec<RegistryAction>) {
        for action in actions {
            if let RegistryAction::Send { to, message } = action {
                self.net.send(self.now, id, to, message);
            }
        }
    }
}

/// Guards against a target that is declared lost although it has a lease at one entry, and against one that
/// stays declared without any lease.
#[test]
fn target_stays_declared_while_any_entry_has_its_lease() {
    let mut exchange = SimulatedExchange::new(1, Faults::default());
    let target = announcement(1, 5);
    let address = target.record.address;
    exchange.announce(1, &target);
    exchange.announce(2, &target);
    exchange.run(2_500);
    for _ in 0..5 {
        exchange.announce(2, &target);
        exchange.run(2_500);
        assert!(exchange.state.targets.contains_key(&address));
        assert!(exchange.entries.values().all(|registry| registry.is_leased(address)));
    }
    exchange.run(5_000);
    assert!(exchange.state.targets.is_empty());
    assert!(exchange.entries.values().all(|registry| !registry.is_leased(address)));
}

/// Guards against targets that are dropped at once with the entry that held their leases, and against ones
/// that stay although they get no lease at another entry.
#[test]
fn targets_of_a_lost_entry_have_a_grace_period() {
    let mut exchange = SimulatedExchange::new(2, Faults::default());
    let (moved, lost) = (announcement(1, 5), announcement(2, 5));
    exchange.announce(1, &moved);
    exchange.announce(1, &lost);
    exchange.run(2_500);
    exchange.net.cut_both(&[InstanceId(1)], &[InstanceId(2), InstanceId(3), LEADER]);
    exchange.collector.on_entry_lost(exchange.now, InstanceId(1));
    for _ in 0..4 {
        exchange.announce(2, &moved);
        exchange.run(2_000);
    }
    let declared: Vec<_> = exchange.state.targets.keys().copied().collect();
    assert_eq!(declared, [moved.record.address]);
}

impl SimulatedExchange {
    /// Restarts an entry under a new incarnation and notifies the other entries and the collector, as the
    /// failure detector would.
    fn restart(&mut self, id: InstanceId, incarnation: Incarnation) {
        let mut fresh = Registry::new((id, incarnation), DomainId(1), [DomainId(1)]);
        fresh.set_peers([InstanceId(1), InstanceId(2), InstanceId(3), LEADER]);
        self.entries.insert(id, fresh);
        for registry in self.entries.values_mut() {
            registry.on_peer_restarted(self.now, id, incarnation);
        }
        self.collector.on_entry_restarted(self.now, id, incarnation);
    }
}

/// Guards against a target that stays declared because the entry with its lease has restarted and lost the
/// lease, and against a restarted entry that does not get the targets of the others.
#[test]
fn leases_at_an_earlier_incarnation_of_an_entry_are_dropped() {
    let mut exchange = SimulatedExchange::new(4, Faults::default());
    let expiring = Announcement { lease_ms: 60_000, ..announcement(1, 5) };
    let kept = Announcement { lease_ms: 60_000, ..announcement(2, 5) };
    let elsewhere = Announcement { lease_ms: 60_000, ..announcement(3, 5) };
    exchange.announce(1, &expiring);
    exchange.announce(1, &kept);
    exchange.announce(2, &elsewhere);
    exchange.run(2_500);
    exchange.restart(InstanceId(1), Incarnation(2));
    exchange.run(1_000);
    exchange.announce(1, &kept);
    exchange.run(8_000);
    let expected = [kept.record.address, elsewhere.record.address];
    let declared: Vec<_> = exchange.state.targets.keys().copied().collect();
    assert_eq!(declared, expected);
    for registry in exchange.entries.values() {
        let leased = registry.targets().iter().filter(|known| known.is_leased());
        let leased: Vec<_> = leased.map(|known| known.record.address).collect();
        assert_eq!(leased, expected);
    }
}

/// Guards against a lease at an earlier incarnation of an entry that still counts after other entries have
/// sent its record back to the restarted entry.
#[test]
fn restarted_entry_corrects_its_earlier_leases() {
    let mut exchange = SimulatedExchange::new(5, Faults::default());
    let target = announcement(1, 5);
    exchange.announce(1, &Announcement { lease_ms: 60_000, ..target.clone() });
    exchange.announce(2, &target);
    exchange.run(2_500);
    let fresh = Registry::new((InstanceId(1), Incarnation(2)), DomainId(1), [DomainId(1)]);
    exchange.entries.insert(InstanceId(1), fresh);
    let peers = [InstanceId(2), InstanceId(3), LEADER];
    exchange.entries.get_mut(&InstanceId(1)).unwrap().set_peers(peers);
    exchange.entries.get_mut(&InstanceId(2)).unwrap().resend_all();
    exchange.run(6_000);
    assert!(exchange.state.targets.is_empty());
}

/// Guards against more than one batch per second, and against batches without a change.
#[test]
fn batches_are_proposed_at_most_once_a_second() {
    let mut exchange = SimulatedExchange::new(3, Faults::default());
    for port in 1..=80 {
        let target = Announcement { lease_ms: 60_000, ..announcement(port, 5) };
        exchange.announce(1 + port % 3, &target);
        exchange.run(40);
    }
    exchange.run(2_000);
    assert_eq!(exchange.state.targets.len(), 80);
    let intervals = exchange.batches.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(intervals.min().unwrap() >= ms(1_000));
    assert!(exchange.batches.len() <= 6, "{} batches", exchange.batches.len());
}

/// Guards against entries, or the leader, that end up with different targets after loss, reordering,
/// partitions and announcements to changing entries.
#[test]
fn schedules_converge() {
    for seed in 0..300 {
        let faults = Faults { loss: 0.2, duplicates: 0.1, late: 0.1 };
        let mut exchange = SimulatedExchange::new(seed, faults);
        for sequence in 0..40 {
            let rng = &mut exchange.net.rng;
            let mut target = announcement(rng.random_range(1..=6), rng.random_range(1..=4));
            target.sequence = sequence;
            target.lease_ms = 60_000;
            target.record.slots = rng.random_range(1..=3);
            if rng.random_bool(0.2) {
                target.record.state = TargetState::Draining;
            }
            let (entry, pause) = (rng.random_range(1..=3), rng.random_range(0..400));
            match rng.random_range(0..8) {
                0 => exchange.net.cut_both(&[InstanceId(entry)], &[LEADER, InstanceId(2)]),
                1 => exchange.net.cuts.clear(),
                _ => exchange.announce(entry, &target),
            }
            exchange.run(pause);
        }
        exchange.net.cuts.clear();
        exchange.run(15_000);
        let maps: Vec<_> = exchange.entries.values().map(Registry::targets).collect();
        assert!(maps.windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}: {maps:?}");
        let leased = maps[0].iter().filter(|known| known.is_leased());
        let leased: Vec<_> = leased.map(|known| &known.record).collect();
        let declared: Vec<_> = exchange.state.targets.values().collect();
        assert_eq!(leased, declared, "seed {seed}");
    }
}
