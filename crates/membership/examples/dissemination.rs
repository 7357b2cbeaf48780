//! Measures messages and bytes per process for the failure detector, and for three ways to install a change
//! and renew leases: flat fan-out, one relay per failure domain, and gossip. Sizes are those of the postcard
//! encoding with sender, receiver, incarnation and timestamp. Links have a latency of 1.5 ms and lose 1%.
//!
//! Usage: `cargo run -p comfreyhold-membership --example dissemination [install|detector] [warm-up of
//! the detector in seconds]`

#[path = "../tests/support/mod.rs"]
mod support;

use comfreyhold_membership::detector::{Detector, DetectorAction, DetectorMessage};
use comfreyhold_membership::installer::{InstallAction, Installer};
use comfreyhold_membership::members::MemberRole;
use comfreyhold_membership::messages::{
    CommandDelta, DesiredRevision, InstallMessage, InstallPhase,
};
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use rand::RngExt;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Faults, SimulatedNetwork, ms};

const ENTRY_COUNTS: [u16; 3] = [5, 50, 790];
const DOMAIN_COUNT: u16 = 11;
const LEADER: InstanceId = InstanceId(0);
const STEP: Duration = Duration::from_micros(500);
const CHANGE_COUNT: u64 = 20;
const FAULTS: Faults = Faults { loss: 0.01, duplicates: 0.0, late: 0.0 };
const GOSSIP_FANOUT: usize = 3;
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Messages and bytes sent and received by one process.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

#[derive(Default)]
struct TrafficByInstance(BTreeMap<InstanceId, Traffic>);

impl TrafficByInstance {
    fn count<M: Serialize>(&mut self, from: InstanceId, to: InstanceId, message: &M) {
        let stamp = HybridTimestamp { wall_ms: 1_790_000_000_000, counter: 3 };
        let envelope = (from, to, Incarnation(1_790_000_000_000), stamp, message);
        let bytes = postcard::to_stdvec(&envelope).map_or(0, |bytes| bytes.len() as u64);
        for id in [from, to] {
            let traffic = self.0.entry(id).or_default();
            traffic.messages += 1;
            traffic.bytes += bytes;
        }
    }

    /// Mean messages and bytes per second of some instances.
    fn mean_rates(&self, ids: &[InstanceId], seconds: f64) -> (f64, f64) {
        let traffic = ids.iter().filter_map(|id| self.0.get(id));
        let (messages, bytes) =
            traffic.fold((0, 0), |(m, b), one| (m + one.messages, b + one.bytes));
        let divisor = (ids.len().max(1)) as f64 * seconds;
        (messages as f64 / divisor, bytes as f64 / divisor)
    }
}

fn lossy_network<M: Clone>(seed: u64) -> SimulatedNetwork<M> {
    let mut net = SimulatedNetwork::new(seed, FAULTS);
    net.latency = Duration::from_micros(1_500);
    net.jitter_ms = 0;
    net
}

fn target_change(number: u64) -> Command {
    let target = TargetRecord {
        service: "reservations".to_owned(),
        address: std::net::SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        domain: DomainId(1),
        slots: 2,
        incarnation: Incarnation(1_790_000_000_000),
        state: TargetState::Serving,
    };
    Command::Targets(TargetBatch { upserts: vec![target], removals: Vec::new() })
}

trait SimulatedFleet {
    fn step(&mut self);
    fn publish(&mut self, command: Command) -> Revision;
    fn is_in_effect(&self, revision: Revision) -> bool;
    fn now(&self) -> Instant;
    fn traffic(&mut self) -> &mut TrafficByInstance;
    fn relays(&self) -> BTreeSet<InstanceId>;
    /// Number of entries without a lease.
    fn unleased_count(&self) -> usize;
}

/// Leader and entries that use the rollout and installers of this package.
struct InstallerFleet {
    net: SimulatedNetwork<InstallMessage>,
    now: Instant,
    steps: u64,
    leader: Rollout,
    revision: Revision,
    entries: BTreeMap<InstanceId, Installer>,
    traffic: TrafficByInstance,
}

impl InstallerFleet {
    fn new(count: u16, direct_limit: usize) -> Self {
        let now = Instant::now();
        let domains: BTreeMap<InstanceId, DomainId> =
            (1..=count).map(|id| (InstanceId(id), DomainId(id % DOMAIN_COUNT))).collect();
        let mut state = Declarations::default();
        state.apply(Revision(1), &Command::Noop);
        let mut leader = Rollout::new(now, Term(1), Arc::new(state), &domains);
        leader.set_direct_limit(now, direct_limit);
        let installer = |id: &InstanceId| Installer::new(now, *id, [], u64::from(id.0));
        let entries = domains.keys().map(|id| (*id, installer(id))).collect();
        let (net, traffic) = (lossy_network(1), TrafficByInstance::default());
        Self { net, now, steps: 0, leader, revision: Revision(1), entries, traffic }
    }

    fn perform_leader(&mut self, actions: Vec<RolloutAction>) {
        for action in actions {
            if let RolloutAction::Send { to, message } = action {
                self.traffic.count(LEADER, to, &message);
                self.net.send(self.now, LEADER, to, message);
            }
        }
    }

    fn perform(&mut self, id: InstanceId, actions: Vec<InstallAction>) {
        for action in actions {
            if let InstallAction::Send { to, message } = action {
                self.traffic.count(id, to, &message);
                self.net.send(self.now, id, to, message);
            }
        }
    }
}

impl SimulatedFleet for InstallerFleet {
    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        while let Some((from, to, message)) = self.net.receive(self.now) {
            if to == LEADER {
                let actions = self.leader.on_message(self.now, from, message);
                self.perform_leader(actions);
            } else if let Some(entry) = self.entries.get_mut(&to) {
                let actions = entry.on_message(self.now, from, message);
                self.perform(to, actions);
            }
        }
        if self.steps.is_multiple_of(4) {
            let actions = self.leader.tick(self.now);
            self.perform_leader(actions);
            let ids: Vec<InstanceId> = self.entries.keys().copied().collect();
            for id in ids {
                let Some(entry) = self.entries.get_mut(&id) else { continue };
                let actions = entry.tick(self.now);
                self.perform(id, actions);
            }
        }
    }

    fn publish(&mut self, command: Command) -> Revision {
        self.revision = self.revision.next();
        let actions = self.leader.on_committed(self.now, command);
        self.perform_leader(actions);
        self.revision
    }

    fn is_in_effect(&self, revision: Revision) -> bool {
        self.entries.values().all(|entry| entry.progress().active >= revision)
    }

    fn now(&self) -> Instant {
        self.now
    }

    fn traffic(&mut self) -> &mut TrafficByInstance {
        &mut self.traffic
    }

    fn relays(&self) -> BTreeSet<InstanceId> {
        self.leader.relays().collect()
    }

    fn unleased_count(&self) -> usize {
        self.entries.values().filter(|entry| !entry.has_lease(self.now)).count()
    }
}

/// Gossip message: the desired revision, its commands until it is in effect, and bit sets of the processes
/// that have completed its phase and confirmed the heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct GossipMessage {
    term: Term,
    heartbeat: u64,
    desired: DesiredRevision,
    delta: Option<CommandDelta>,
    reached: Vec<u8>,
    confirmed: Vec<u8>,
}

/// Simulated gossip: in every round, each process sends its state to a few random others.
struct GossipFleet {
    net: SimulatedNetwork<GossipMessage>,
    now: Instant,
    next_round: Instant,
    next_heartbeat: Instant,
    /// State of each process; the leader is the first one.
    states: Vec<GossipMessage>,
    heartbeat_received: Vec<Instant>,
    active: Vec<Revision>,
    revision: Revision,
    traffic: TrafficByInstance,
}

impl GossipFleet {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let processes = usize::from(count) + 1;
        let bits = vec![0; processes.div_ceil(8)];
        let desired = DesiredRevision { revision: Revision(1), phase: InstallPhase::Activate };
        let message = GossipMessage {
            term: Term(1),
            heartbeat: 0,
            desired,
            delta: None,
            reached: bits.clone(),
            confirmed: bits,
        };
        Self {
            net: lossy_network(2),
            now,
            next_round: now,
            next_heartbeat: now,
            states: vec![message; processes],
            heartbeat_received: vec![now; processes],
            active: vec![Revision(1); processes],
            revision: Revision(1),
            traffic: TrafficByInstance::default(),
        }
    }

    fn merge(&mut self, to: usize, message: &GossipMessage) {
        let state = &mut self.states[to];
        if message.desired > state.desired {
            state.desired = message.desired;
            state.delta.clone_from(&message.delta);
            state.reached.fill(0);
        }
        if message.desired == state.desired {
            union(&mut state.reached, &message.reached);
        }
        set_bit(&mut state.reached, to);
        if message.heartbeat > state.heartbeat {
            state.heartbeat = message.heartbeat;
            state.confirmed.fill(0);
            self.heartbeat_received[to] = self.now;
        }
        if message.heartbeat == state.heartbeat {
            union(&mut state.confirmed, &message.confirmed);
        }
        set_bit(&mut state.confirmed, to);
        if state.desired.phase == InstallPhase::Activate {
            self.active[to] = state.desired.revision;
        }
    }

    fn step_leader(&mut self) {
        let processes = self.states.len();
        let state = &mut self.states[0];
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + ms(500);
            state.heartbeat += 1;
            state.confirmed.fill(0);
            set_bit(&mut state.confirmed, 0);
        }
        let is_reached = (0..processes).all(|id| state.reached[id / 8] & (1 << (id % 8)) != 0);
        if state.desired.phase == InstallPhase::Prepare && is_reached {
            state.desired.phase = InstallPhase::Activate;
            state.reached.fill(0);
            set_bit(&mut state.reached, 0);
            self.active[0] = state.desired.revision;
        } else if state.desired.phase == InstallPhase::Activate && is_reached {
            state.delta = None;
        }
    }

    fn gossip(&mut self, id: usize) {
        for _ in 0..GOSSIP_FANOUT {
            let to = self.net.rng.random_range(0..self.states.len());
            if to == id {
                continue;
            }
            let (from, to) = (InstanceId(id as u16), InstanceId(to as u16));
            let message = self.states[id].clone();
            self.traffic.count(from, to, &message);
            self.net.send(self.now, from, to, message);
        }
    }
}

fn union(a: &mut [u8], b: &[u8]) {
    a.iter_mut().zip(b).for_each(|(a, b)| *a |= b);
}

fn set_bit(bits: &mut [u8], id: usize) {
    bits[id / 8] |= 1 << (id % 8);
}

impl SimulatedFleet for GossipFleet {
    fn step(&mut self) {
        self.now += STEP;
        while let Some((_, to, message)) = self.net.receive(self.now) {
            self.merge(usize::from(to.0), &message);
        }
        self.step_leader();
        if self.now >= self.next_round {
            self.next_round = self.now + GOSSIP_INTERVAL;
            (0..self.states.len()).for_each(|id| self.gossip(id));
        }
    }

    fn publish(&mut self, command: Command) -> Revision {
        let from = self.revision;
        self.revision = from.next();
        let state = &mut self.states[0];
        state.desired = DesiredRevision { revision: self.revision, phase: InstallPhase::Prepare };
        state.delta = Some(CommandDelta { from, commands: vec![command] });
        state.reached.fill(0);
        set_bit(&mut state.reached, 0);
        self.revision
    }

    fn is_in_effect(&self, revision: Revision) -> bool {
        self.active.iter().all(|active| *active >= revision)
    }

    fn now(&self) -> Instant {
        self.now
    }

    fn traffic(&mut self) -> &mut TrafficByInstance {
        &mut self.traffic
    }

    fn relays(&self) -> BTreeSet<InstanceId> {
        BTreeSet::new()
    }

    fn unleased_count(&self) -> usize {
        let is_late = |at: &&Instant| self.now > **at + ms(2_500);
        self.heartbeat_received.iter().skip(1).filter(is_late).count()
    }
}

fn run(fleet: &mut dyn SimulatedFleet, for_ms: u64) {
    let end = fleet.now() + ms(for_ms);
    while fleet.now() < end {
        fleet.step();
    }
}

fn measure_install(name: &str, count: u16, fleet: &mut dyn SimulatedFleet) {
    run(fleet, 6_000);
    fleet.traffic().0.clear();
    run(fleet, 10_000);
    print_traffic(name, count, "steady, per second", fleet, 10.0);
    let unleased = fleet.unleased_count();
    fleet.traffic().0.clear();
    let mut times = Vec::new();
    for number in 0..CHANGE_COUNT {
        let begin = fleet.now();
        let revision = fleet.publish(target_change(number));
        while !fleet.is_in_effect(revision) && fleet.now() < begin + ms(10_000) {
            fleet.step();
        }
        times.push((fleet.now() - begin).as_secs_f64() * 1_000.0);
        let rest = ms(2_000).saturating_sub(fleet.now() - begin);
        run(fleet, rest.as_millis() as u64);
    }
    print_traffic(name, count, "a change every 2 s, per second", fleet, 2.0 * CHANGE_COUNT as f64);
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{name:>6} {count:>4}  in effect after: median {median:.1} ms, worst of {CHANGE_COUNT} {worst:.1} ms; without lease: {unleased}"
    );
}

fn print_traffic(name: &str, count: u16, load: &str, fleet: &mut dyn SimulatedFleet, seconds: f64) {
    let is_relayed = fleet.relays().len() < usize::from(count);
    let relays: Vec<_> = fleet.relays().into_iter().filter(|_| is_relayed).collect();
    let plain: Vec<_> = (1..=count).map(InstanceId).filter(|id| !relays.contains(id)).collect();
    for (role, ids) in [("leader", vec![LEADER]), ("relay", relays), ("entry", plain)] {
        if ids.is_empty() {
            continue;
        }
        let (messages, bytes) = fleet.traffic().mean_rates(&ids, seconds);
        println!(
            "{name:>6} {count:>4}  {load:<31} {role:<7} {messages:>9.1} msg/s {bytes:>10.0} B/s"
        );
    }
}

fn measure_detector(count: u16, warm_up_s: u64) {
    let now = Instant::now();
    let mut net: SimulatedNetwork<DetectorMessage> = lossy_network(3);
    let seeds = [InstanceId(1), InstanceId(2), InstanceId(3)];
    let mut members: BTreeMap<InstanceId, Detector> = (1..=count)
        .map(|id| {
            let process = (InstanceId(id), Incarnation(1_790_000_000_000));
            let place = (MemberRole::Entry, DomainId(id % DOMAIN_COUNT));
            (InstanceId(id), Detector::new(now, process, place, seeds, u64::from(id)))
        })
        .collect();
    let mut traffic = TrafficByInstance::default();
    let warm_up = now + ms(warm_up_s * 1_000);
    let end = warm_up + ms(10_000);
    let mut at = now;
    while at < end {
        at += ms(5);
        if at <= warm_up {
            traffic.0.clear();
        }
        let mut actions = Vec::new();
        while let Some((from, to, message)) = net.receive(at) {
            if let Some(member) = members.get_mut(&to) {
                actions.extend(member.on_message(at, from, message).into_iter().map(|a| (to, a)));
            }
        }
        for (id, member) in &mut members {
            if member.next_wake() <= at {
                actions.extend(member.tick(at).into_iter().map(|action| (*id, action)));
            }
        }
        for (id, action) in actions {
            if let DetectorAction::Send { to, message } = action {
                traffic.count(id, to, &message);
                net.send(at, id, to, message);
            }
        }
    }
    let ids: Vec<InstanceId> = members.keys().copied().collect();
    let (messages, bytes) = traffic.mean_rates(&ids, 10.0);
    let complete = members.values().filter(|m| m.live().count() + 1 == ids.len()).count();
    println!(
        "detector {count:>4}  {messages:>7.1} msg/s {bytes:>8.0} B/s per process; {complete} with a complete live set"
    );
}

fn main() {
    let selection = std::env::args().nth(1).unwrap_or_default();
    let warm_up_s = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(60);
    println!("sent and received, mean per process of each role");
    if selection != "detector" {
        for count in ENTRY_COUNTS {
            measure_install("flat", count, &mut InstallerFleet::new(count, usize::MAX));
            measure_install("relay", count, &mut InstallerFleet::new(count, 0));
            measure_install("gossip", count, &mut GossipFleet::new(count));
        }
    }
    if selection != "install" {
        ENTRY_COUNTS.into_iter().for_each(|count| measure_detector(count, warm_up_s));
    }
}
