//! Counts messages and bytes per process for three ways to install a change and renew leases: flat
//! fan-out, one relay per failure domain, and gossip; and for the failure detector. Sizes are those of
//! the postcard encoding with sender, receiver, incarnation and stamp. Links take 1.5 ms and lose 1%.
//!
//! Usage: `cargo run -p comfreyhold-membership --example dissemination [install|detector] [warm-up of
//! the detector in seconds]`

#[path = "../tests/support/mod.rs"]
mod support;

use comfreyhold_membership::detector::{Detector, DetectorAction, DetectorMessage};
use comfreyhold_membership::installer::{InstallAction, Installer};
use comfreyhold_membership::members::MemberRole;
use comfreyhold_membership::messages::{Delta, Goal, InstallMessage, Phase};
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use rand::RngExt;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Faults, Net, ms};

const SIZES: [u16; 3] = [5, 50, 790];
const DOMAINS: u16 = 11;
const LEADER: InstanceId = InstanceId(0);
const STEP: Duration = Duration::from_micros(500);
const CHANGES: u64 = 20;
const FAULTS: Faults = Faults { loss: 0.01, duplicates: 0.0, late: 0.0 };
const GOSSIP_FANOUT: usize = 3;
const GOSSIP_ROUND: Duration = Duration::from_millis(100);

/// Messages and bytes sent and received by one process.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

#[derive(Default)]
struct Counted(BTreeMap<InstanceId, Traffic>);

impl Counted {
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

    fn mean(&self, ids: &[InstanceId], seconds: f64) -> (f64, f64) {
        let traffic = ids.iter().filter_map(|id| self.0.get(id));
        let (messages, bytes) =
            traffic.fold((0, 0), |(m, b), one| (m + one.messages, b + one.bytes));
        let divisor = (ids.len().max(1)) as f64 * seconds;
        (messages as f64 / divisor, bytes as f64 / divisor)
    }
}

fn lossy<M: Clone>(seed: u64) -> Net<M> {
    let mut net = Net::new(seed, FAULTS);
    net.link = Duration::from_micros(1_500);
    net.jitter_ms = 0;
    net
}

fn change(number: u64) -> Command {
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

trait Fleet {
    fn step(&mut self);
    fn publish(&mut self, command: Command) -> Revision;
    fn in_effect(&self, revision: Revision) -> bool;
    fn now(&self) -> Instant;
    fn counted(&mut self) -> &mut Counted;
    fn relays(&self) -> BTreeSet<InstanceId>;
    fn unleased(&self) -> usize;
}

/// The cores of this package.
struct Installed {
    net: Net<InstallMessage>,
    now: Instant,
    steps: u64,
    leader: Rollout,
    revision: Revision,
    entries: BTreeMap<InstanceId, Installer>,
    counted: Counted,
}

impl Installed {
    fn new(count: u16, direct_limit: usize) -> Self {
        let now = Instant::now();
        let domains: BTreeMap<InstanceId, DomainId> =
            (1..=count).map(|id| (InstanceId(id), DomainId(id % DOMAINS))).collect();
        let mut state = Declarations::default();
        state.apply(Revision(1), &Command::Noop);
        let mut leader = Rollout::new(now, Term(1), Arc::new(state), &domains);
        leader.set_direct_limit(now, direct_limit);
        let installer = |id: &InstanceId| Installer::new(now, *id, [], u64::from(id.0));
        let entries = domains.keys().map(|id| (*id, installer(id))).collect();
        let (net, counted) = (lossy(1), Counted::default());
        Self { net, now, steps: 0, leader, revision: Revision(1), entries, counted }
    }

    fn perform_leader(&mut self, actions: Vec<RolloutAction>) {
        for action in actions {
            if let RolloutAction::Send { to, message } = action {
                self.counted.count(LEADER, to, &message);
                self.net.send(self.now, LEADER, to, message);
            }
        }
    }

    fn perform(&mut self, id: InstanceId, actions: Vec<InstallAction>) {
        for action in actions {
            if let InstallAction::Send { to, message } = action {
                self.counted.count(id, to, &message);
                self.net.send(self.now, id, to, message);
            }
        }
    }
}

impl Fleet for Installed {
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

    fn in_effect(&self, revision: Revision) -> bool {
        self.entries.values().all(|entry| entry.progress().active >= revision)
    }

    fn now(&self) -> Instant {
        self.now
    }

    fn counted(&mut self) -> &mut Counted {
        &mut self.counted
    }

    fn relays(&self) -> BTreeSet<InstanceId> {
        self.leader.relays().collect()
    }

    fn unleased(&self) -> usize {
        self.entries.values().filter(|entry| !entry.has_lease(self.now)).count()
    }
}

/// What a gossip message carries: the newest goal, its commands until it is in effect, and which
/// entries are known to have prepared it, activated it, and confirmed the heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Rumour {
    term: Term,
    heartbeat: u64,
    goal: Goal,
    delta: Option<Delta>,
    reached: Vec<u8>,
    confirmed: Vec<u8>,
}

/// Stand-in for gossip: every round each process sends what it knows to a few random others.
struct Gossiped {
    net: Net<Rumour>,
    now: Instant,
    next_round: Instant,
    heartbeat_at: Instant,
    known: Vec<Rumour>,
    heartbeat_known: Vec<Instant>,
    active: Vec<Revision>,
    revision: Revision,
    counted: Counted,
}

impl Gossiped {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let processes = usize::from(count) + 1;
        let bits = vec![0; processes.div_ceil(8)];
        let goal = Goal { revision: Revision(1), phase: Phase::Activate };
        let rumour = Rumour {
            term: Term(1),
            heartbeat: 0,
            goal,
            delta: None,
            reached: bits.clone(),
            confirmed: bits,
        };
        Self {
            net: lossy(2),
            now,
            next_round: now,
            heartbeat_at: now,
            known: vec![rumour; processes],
            heartbeat_known: vec![now; processes],
            active: vec![Revision(1); processes],
            revision: Revision(1),
            counted: Counted::default(),
        }
    }

    fn merge(&mut self, to: usize, rumour: &Rumour) {
        let own = &mut self.known[to];
        if rumour.goal > own.goal {
            own.goal = rumour.goal;
            own.delta.clone_from(&rumour.delta);
            own.reached.fill(0);
        }
        if rumour.goal == own.goal {
            union(&mut own.reached, &rumour.reached);
        }
        set(&mut own.reached, to);
        if rumour.heartbeat > own.heartbeat {
            own.heartbeat = rumour.heartbeat;
            own.confirmed.fill(0);
            self.heartbeat_known[to] = self.now;
        }
        if rumour.heartbeat == own.heartbeat {
            union(&mut own.confirmed, &rumour.confirmed);
        }
        set(&mut own.confirmed, to);
        if own.goal.phase == Phase::Activate {
            self.active[to] = own.goal.revision;
        }
    }

    fn lead(&mut self) {
        let processes = self.known.len();
        let own = &mut self.known[0];
        if self.now >= self.heartbeat_at {
            self.heartbeat_at = self.now + ms(500);
            own.heartbeat += 1;
            own.confirmed.fill(0);
            set(&mut own.confirmed, 0);
        }
        let is_reached = (0..processes).all(|id| own.reached[id / 8] & (1 << (id % 8)) != 0);
        if own.goal.phase == Phase::Prepare && is_reached {
            own.goal.phase = Phase::Activate;
            own.reached.fill(0);
            set(&mut own.reached, 0);
            self.active[0] = own.goal.revision;
        } else if own.goal.phase == Phase::Activate && is_reached {
            own.delta = None;
        }
    }

    fn gossip(&mut self, id: usize) {
        for _ in 0..GOSSIP_FANOUT {
            let to = self.net.rng.random_range(0..self.known.len());
            if to == id {
                continue;
            }
            let (from, to) = (InstanceId(id as u16), InstanceId(to as u16));
            let rumour = self.known[id].clone();
            self.counted.count(from, to, &rumour);
            self.net.send(self.now, from, to, rumour);
        }
    }
}

fn union(a: &mut [u8], b: &[u8]) {
    a.iter_mut().zip(b).for_each(|(a, b)| *a |= b);
}

fn set(bits: &mut [u8], id: usize) {
    bits[id / 8] |= 1 << (id % 8);
}

impl Fleet for Gossiped {
    fn step(&mut self) {
        self.now += STEP;
        while let Some((_, to, rumour)) = self.net.receive(self.now) {
            self.merge(usize::from(to.0), &rumour);
        }
        self.lead();
        if self.now >= self.next_round {
            self.next_round = self.now + GOSSIP_ROUND;
            (0..self.known.len()).for_each(|id| self.gossip(id));
        }
    }

    fn publish(&mut self, command: Command) -> Revision {
        let from = self.revision;
        self.revision = from.next();
        let own = &mut self.known[0];
        own.goal = Goal { revision: self.revision, phase: Phase::Prepare };
        own.delta = Some(Delta { from, commands: vec![command] });
        own.reached.fill(0);
        set(&mut own.reached, 0);
        self.revision
    }

    fn in_effect(&self, revision: Revision) -> bool {
        self.active.iter().all(|active| *active >= revision)
    }

    fn now(&self) -> Instant {
        self.now
    }

    fn counted(&mut self) -> &mut Counted {
        &mut self.counted
    }

    fn relays(&self) -> BTreeSet<InstanceId> {
        BTreeSet::new()
    }

    fn unleased(&self) -> usize {
        let is_late = |at: &&Instant| self.now > **at + ms(2_500);
        self.heartbeat_known.iter().skip(1).filter(is_late).count()
    }
}

fn run(fleet: &mut dyn Fleet, for_ms: u64) {
    let end = fleet.now() + ms(for_ms);
    while fleet.now() < end {
        fleet.step();
    }
}

fn measure(name: &str, count: u16, fleet: &mut dyn Fleet) {
    run(fleet, 6_000);
    fleet.counted().0.clear();
    run(fleet, 10_000);
    print_traffic(name, count, "steady, per second", fleet, 10.0);
    let unleased = fleet.unleased();
    fleet.counted().0.clear();
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let begin = fleet.now();
        let revision = fleet.publish(change(number));
        while !fleet.in_effect(revision) && fleet.now() < begin + ms(10_000) {
            fleet.step();
        }
        times.push((fleet.now() - begin).as_secs_f64() * 1_000.0);
        let rest = ms(2_000).saturating_sub(fleet.now() - begin);
        run(fleet, rest.as_millis() as u64);
    }
    print_traffic(name, count, "a change every 2 s, per second", fleet, 2.0 * CHANGES as f64);
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{name:>6} {count:>4}  in effect after: median {median:.1} ms, worst of {CHANGES} {worst:.1} ms; without lease: {unleased}"
    );
}

fn print_traffic(name: &str, count: u16, load: &str, fleet: &mut dyn Fleet, seconds: f64) {
    let is_relayed = fleet.relays().len() < usize::from(count);
    let relays: Vec<_> = fleet.relays().into_iter().filter(|_| is_relayed).collect();
    let plain: Vec<_> = (1..=count).map(InstanceId).filter(|id| !relays.contains(id)).collect();
    for (role, ids) in [("leader", vec![LEADER]), ("relay", relays), ("entry", plain)] {
        if ids.is_empty() {
            continue;
        }
        let (messages, bytes) = fleet.counted().mean(&ids, seconds);
        println!(
            "{name:>6} {count:>4}  {load:<31} {role:<7} {messages:>9.1} msg/s {bytes:>10.0} B/s"
        );
    }
}

fn measure_detector(count: u16, warm_up_s: u64) {
    let now = Instant::now();
    let mut net: Net<DetectorMessage> = lossy(3);
    let seeds = [InstanceId(1), InstanceId(2), InstanceId(3)];
    let mut members: BTreeMap<InstanceId, Detector> = (1..=count)
        .map(|id| {
            let process = (InstanceId(id), Incarnation(1_790_000_000_000));
            let place = (MemberRole::Entry, DomainId(id % DOMAINS));
            (InstanceId(id), Detector::new(now, process, place, seeds, u64::from(id)))
        })
        .collect();
    let mut counted = Counted::default();
    let warm_up = now + ms(warm_up_s * 1_000);
    let end = warm_up + ms(10_000);
    let mut at = now;
    while at < end {
        at += ms(5);
        if at <= warm_up {
            counted.0.clear();
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
                counted.count(id, to, &message);
                net.send(at, id, to, message);
            }
        }
    }
    let ids: Vec<InstanceId> = members.keys().copied().collect();
    let (messages, bytes) = counted.mean(&ids, 10.0);
    let complete = members.values().filter(|m| m.live().count() + 1 == ids.len()).count();
    println!(
        "detector {count:>4}  {messages:>7.1} msg/s {bytes:>8.0} B/s per process; {complete} see all"
    );
}

fn main() {
    let part = std::env::args().nth(1).unwrap_or_default();
    let warm_up_s = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(60);
    println!("sent and received, mean per process of each role");
    if part != "detector" {
        for count in SIZES {
            measure("flat", count, &mut Installed::new(count, usize::MAX));
            measure("relay", count, &mut Installed::new(count, 0));
            measure("gossip", count, &mut Gossiped::new(count));
        }
    }
    if part != "install" {
        SIZES.into_iter().for_each(|count| measure_detector(count, warm_up_s));
    }
}
