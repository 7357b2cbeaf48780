//! Starts of all entries within 2 s, with the steps of each entry in a random order, and lasting
//! differences in what the entries know of each other.

#[path = "../examples/harness/mod.rs"]
#[allow(dead_code)]
mod harness;

use comfreyhold_flow::FlowRouter;
use comfreyhold_types::keys::InstanceId;
use harness::{Options, World};
use rand::RngExt;
use std::collections::BTreeMap;

type Node = World<FlowRouter>;

const SEEDS: u64 = 60;
const ENTRIES: u16 = 5;
/// Entries are at most this far apart in their starts.
const START_MS: u64 = 1_000;
/// Time that each later step may take.
const STEP_MS: u64 = 1_000;
/// Time in which all entries must know of all transitions after the last step.
const SYNC_MS: u64 = 8_000;
const FLOWS: usize = 300;
/// Idle timeout where transitions have to end.
const IDLE_MS: u64 = 4_000;

#[derive(Clone, Copy)]
enum Step {
    Begin,
    Lease,
    CatchUp,
    /// Tells of the entries that have begun.
    Live,
    Change,
}

fn options(seed: u64) -> Options {
    let harsh = (seed % 3) as usize;
    Options {
        seed,
        entries: 0,
        targets: 6,
        delay_ms: (1, [2, 20, 120][harsh]),
        loss: [0.0, 0.05, 0.2][harsh],
        duplication: [0.0, 0.1, 0.3][harsh],
        uneven_ms: 100,
        overlap: false,
        packet_ms: 700,
        // Slots stay in transition for the whole run.
        idle_ms: 120_000,
        udp: 0.0,
    }
}

/// Steps of all entries by time in milliseconds.
fn plan(world: &mut Node) -> BTreeMap<(u64, usize), (InstanceId, Step)> {
    let mut plan = BTreeMap::new();
    let mut add = |at, id, step| {
        let index = plan.len();
        plan.insert((at, index), (id, step));
    };
    let rng = &mut world.rng;
    for id in (1..=ENTRIES).map(InstanceId) {
        let begin = rng.random_range(0..START_MS);
        add(begin, id, Step::Begin);
        for step in [Step::Lease, Step::CatchUp, Step::Live, Step::Live] {
            add(begin + 1 + rng.random_range(0..STEP_MS), id, step);
        }
        add(START_MS + rng.random_range(STEP_MS / 2..STEP_MS + 1), id, Step::Live);
    }
    for _ in 0..2 {
        add(rng.random_range(START_MS..2 * START_MS), InstanceId(1), Step::Change);
    }
    plan
}

fn carry_out(world: &mut Node, id: InstanceId, step: Step) {
    match step {
        Step::Begin => world.begin(id, 1),
        Step::Lease => world.lease(id),
        Step::CatchUp => world.catch_up(id),
        Step::Live => {
            let peers = world.peers.clone();
            world.tell_live(id, peers);
        }
        Step::Change => {
            let weight = world.rng.random_range(1..1_000);
            world.sets.services[0].targets[0].weight = weight;
            world.change();
        }
    }
}

fn start(seed: u64) -> Node {
    let mut world: Node = World::new(options(seed));
    let mut now = 0;
    for ((at, _), (id, step)) in plan(&mut world) {
        world.run(at.saturating_sub(now) / 5 * 5);
        now += at.saturating_sub(now) / 5 * 5;
        carry_out(&mut world, id, step);
    }
    world
}

fn unsynced(world: &Node) -> Vec<InstanceId> {
    world.nodes.iter().filter(|(_, node)| !node.is_synced()).map(|(id, _)| *id).collect()
}

/// Says what is wrong with a deployment that has had time to settle: entries that do not decide, or
/// new flows in slots in transition that get no target or break.
fn settled(world: &mut Node) -> Option<String> {
    world.run(SYNC_MS);
    let unsynced = unsynced(world);
    world.sets.services[0].targets[1].weight = 1_000;
    world.change();
    world.run(2_000);
    let before = world.stats.opened;
    world.open(FLOWS);
    world.run(6_000);
    let placed = world.stats.opened - before;
    let moving: usize = world.nodes.values().map(|node| node.stats().moving_slots).sum();
    assert!(moving > 0, "no slot is in transition");
    let bad = !unsynced.is_empty() || placed < FLOWS as u64 || world.stats.broken > 0;
    let stats = world.stats;
    bad.then(|| format!("unsynced {unsynced:?}, placed {placed} of {FLOWS}, {stats:?}"))
}

/// Says what is wrong with a deployment whose transitions have had time to end.
fn ended(world: &mut Node) -> Option<String> {
    world.run(SYNC_MS + 3 * IDLE_MS);
    let unsynced = unsynced(world);
    let moving: usize = world.nodes.values().map(|node| node.stats().moving_slots).sum();
    let bad = !unsynced.is_empty() || moving > 0;
    bad.then(|| format!("unsynced {unsynced:?}, {moving} slots in transition"))
}

/// A running deployment whose targets have just changed.
fn in_transition(seed: u64) -> Node {
    let options = Options { entries: ENTRIES, idle_ms: IDLE_MS, ..options(seed) };
    let mut world: Node = World::new(options);
    world.sets.services[0].targets[0].weight = 1_000;
    world.change();
    world
}

fn assert_none(failures: &[String]) {
    let shown = failures.iter().take(10).cloned().collect::<Vec<_>>().join("\n");
    assert!(failures.is_empty(), "{} schedules failed:\n{shown}", failures.len());
}

/// Guards against starts after which entries wait forever for what their peers told before it could
/// be taken in, or differ in which slots are in transition, so that flows break.
#[test]
fn entries_that_start_together_decide_in_bounded_time() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut world = start(seed);
        failures.extend(settled(&mut world).map(|text| format!("seed {seed}: {text}")));
    }
    assert_none(&failures);
}

/// Guards against an arbiter that forgets what a peer told when it takes the peer for lost for a
/// moment: the peer, whose own set of live entries never changed, has no reason to repeat it.
#[test]
fn transitions_end_after_an_entry_was_taken_for_lost() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS / 3 {
        let mut world = in_transition(seed);
        let during_reports = world.rng.random_range(0..400);
        world.run(during_reports);
        let all = world.peers.clone();
        let without: Vec<_> = all.iter().copied().filter(|peer| peer.id != InstanceId(2)).collect();
        let others: Vec<_> = without.iter().map(|peer| peer.id).collect();
        others.iter().for_each(|id| world.tell_live(*id, without.clone()));
        world.run(100);
        others.iter().for_each(|id| world.tell_live(*id, all.clone()));
        failures.extend(ended(&mut world).map(|text| format!("seed {seed}: {text}")));
    }
    assert_none(&failures);
}

/// Guards against losing what a restarted entry told before its new start was known here.
#[test]
fn transitions_end_after_a_restart_learnt_late() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS / 3 {
        let mut world = in_transition(seed);
        world.run(1_000);
        let before = world.peers.clone();
        for id in [InstanceId(2), InstanceId(3)] {
            world.begin(id, 2);
            world.catch_up(id);
            world.lease(id);
        }
        let all = world.peers.clone();
        let id = InstanceId(3);
        let own = all.iter().filter(|peer| peer.id == id);
        let known = before.iter().filter(|peer| peer.id != id).chain(own).copied().collect();
        world.tell_live(id, known);
        world.tell_live(InstanceId(2), all);
        world.run(1_000);
        world.announce(500);
        failures.extend(ended(&mut world).map(|text| format!("seed {seed}: {text}")));
    }
    assert_none(&failures);
}

/// Guards against entries that forget the slots in transition because all of them lost their leases and got
/// them back at the same time, as after an outage of the control daemons.
#[test]
fn flows_survive_a_common_loss_of_leases() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut world: Node = World::new(Options { entries: ENTRIES, ..options(seed) });
        world.open(FLOWS);
        world.run(2_000);
        world.sets.services[0].targets[0].weight = 1_000;
        world.change();
        let into_the_change = world.rng.random_range(0..3_000);
        world.run(into_the_change);
        for id in world.nodes.keys().copied().collect::<Vec<_>>() {
            world.nodes[&id].isolate();
        }
        for id in world.nodes.keys().copied().collect::<Vec<_>>() {
            world.lease(id);
        }
        world.run(SYNC_MS);
        let unsynced = unsynced(&world);
        let stats = world.stats;
        if !unsynced.is_empty() || stats.broken > 0 {
            failures.push(format!("seed {seed}: unsynced {unsynced:?}, {stats:?}"));
        }
    }
    assert_none(&failures);
}
