//! Starts of all entries within 2 s, with the steps of each entry in a random order, and entries that
//! detect the loss, return or restart of a peer at different times.

#[path = "../examples/harness/mod.rs"]
#[allow(dead_code)]
mod harness;

use comfreyhold_flow::FlowRouter;
use comfreyhold_types::keys::InstanceId;
use harness::{Options, World};
use rand::RngExt;
use std::collections::BTreeMap;

type Simulation = World<FlowRouter>;

const SEEDS: u64 = 60;
const ENTRIES: u16 = 5;
/// Longest time between the starts of two entries.
const START_MS: u64 = 1_000;
/// Longest time from the start of an entry to each of its later steps.
const STEP_MS: u64 = 1_000;
/// Time after the last step in which all entries must become synced.
const SYNC_MS: u64 = 8_000;
const FLOWS: usize = 300;
/// Idle timeout where transitions have to end.
const IDLE_MS: u64 = 4_000;

#[derive(Clone, Copy)]
enum StartStep {
    Begin,
    Lease,
    CatchUp,
    /// Sets the entries that have started as the live ones.
    Live,
    Change,
}

fn options(seed: u64) -> Options {
    let severity = (seed % 3) as usize;
    Options {
        seed,
        entries: 0,
        targets: 6,
        delay_ms: (1, [2, 20, 120][severity]),
        loss: [0.0, 0.05, 0.2][severity],
        duplication: [0.0, 0.1, 0.3][severity],
        max_skew_ms: 100,
        overlap: false,
        packet_ms: 700,
        // Slots stay in transition for the whole run.
        idle_ms: 120_000,
        udp: 0.0,
    }
}

/// Steps of all entries by time in milliseconds and by number.
fn plan_steps(world: &mut Simulation) -> BTreeMap<(u64, usize), (InstanceId, StartStep)> {
    let mut plan = BTreeMap::new();
    let mut add = |at, id, step| {
        let index = plan.len();
        plan.insert((at, index), (id, step));
    };
    let rng = &mut world.rng;
    for id in (1..=ENTRIES).map(InstanceId) {
        let begin = rng.random_range(0..START_MS);
        add(begin, id, StartStep::Begin);
        for step in [StartStep::Lease, StartStep::CatchUp, StartStep::Live, StartStep::Live] {
            add(begin + 1 + rng.random_range(0..STEP_MS), id, step);
        }
        add(START_MS + rng.random_range(STEP_MS / 2..STEP_MS + 1), id, StartStep::Live);
    }
    for _ in 0..2 {
        add(rng.random_range(START_MS..2 * START_MS), InstanceId(1), StartStep::Change);
    }
    plan
}

fn run_step(world: &mut Simulation, id: InstanceId, step: StartStep) {
    match step {
        StartStep::Begin => world.start_entry(id, 1),
        StartStep::Lease => world.grant_lease(id),
        StartStep::CatchUp => world.catch_up_versions(id),
        StartStep::Live => {
            let peers = world.peers.clone();
            world.set_live_entries(id, peers);
        }
        StartStep::Change => {
            let weight = world.rng.random_range(1..1_000);
            world.sets.services[0].targets[0].weight = weight;
            world.change();
        }
    }
}

fn start_entries(seed: u64) -> Simulation {
    let mut world: Simulation = World::new(options(seed));
    let mut now = 0;
    for ((at, _), (id, step)) in plan_steps(&mut world) {
        world.run(at.saturating_sub(now) / 5 * 5);
        now += at.saturating_sub(now) / 5 * 5;
        run_step(&mut world, id, step);
    }
    world
}

fn unsynced(world: &Simulation) -> Vec<InstanceId> {
    world.entries.iter().filter(|(_, entry)| !entry.is_synced()).map(|(id, _)| *id).collect()
}

/// Describes what is wrong with a deployment that has had time to settle: unsynced entries, or new
/// flows of slots in transition that get no target or break.
fn check_settled(world: &mut Simulation) -> Option<String> {
    world.run(SYNC_MS);
    let unsynced = unsynced(world);
    world.sets.services[0].targets[1].weight = 1_000;
    world.change();
    world.run(2_000);
    let before = world.stats.opened;
    world.open(FLOWS);
    world.run(6_000);
    let placed = world.stats.opened - before;
    let moving: usize = world.entries.values().map(|entry| entry.stats().moving_slots).sum();
    assert!(moving > 0, "no slot is in transition");
    let has_failed = !unsynced.is_empty() || placed < FLOWS as u64 || world.stats.broken > 0;
    let stats = world.stats;
    has_failed.then(|| format!("unsynced {unsynced:?}, placed {placed} of {FLOWS}, {stats:?}"))
}

/// Describes what is wrong with a deployment whose transitions have had time to end.
fn check_transitions_ended(world: &mut Simulation) -> Option<String> {
    world.run(SYNC_MS + 3 * IDLE_MS);
    let unsynced = unsynced(world);
    let moving: usize = world.entries.values().map(|entry| entry.stats().moving_slots).sum();
    let has_failed = !unsynced.is_empty() || moving > 0;
    has_failed.then(|| format!("unsynced {unsynced:?}, {moving} slots in transition"))
}

/// Builds a running deployment whose targets have just changed.
fn deployment_in_transition(seed: u64) -> Simulation {
    let options = Options { entries: ENTRIES, idle_ms: IDLE_MS, ..options(seed) };
    let mut world: Simulation = World::new(options);
    world.sets.services[0].targets[0].weight = 1_000;
    world.change();
    world
}

fn assert_none(failures: &[String]) {
    let shown = failures.iter().take(10).cloned().collect::<Vec<_>>().join("\n");
    assert!(failures.is_empty(), "{} schedules failed:\n{shown}", failures.len());
}

/// Guards against starts after which entries wait forever for messages that arrived before they could
/// be applied, or differ in which slots are in transition, so that flows break.
#[test]
fn entries_that_start_together_decide_in_bounded_time() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut world = start_entries(seed);
        failures.extend(check_settled(&mut world).map(|text| format!("seed {seed}: {text}")));
    }
    assert_none(&failures);
}

/// Guards against an arbiter that drops what a peer has sent when it considers the peer lost for a
/// moment: the peer's set of live entries never changed, so it has no reason to send it again.
#[test]
fn transitions_end_after_an_entry_was_considered_lost() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS / 3 {
        let mut world = deployment_in_transition(seed);
        let elapsed_ms = world.rng.random_range(0..400);
        world.run(elapsed_ms);
        let all = world.peers.clone();
        let without: Vec<_> = all.iter().copied().filter(|peer| peer.id != InstanceId(2)).collect();
        let others: Vec<_> = without.iter().map(|peer| peer.id).collect();
        others.iter().for_each(|id| world.set_live_entries(*id, without.clone()));
        world.run(100);
        others.iter().for_each(|id| world.set_live_entries(*id, all.clone()));
        failures
            .extend(check_transitions_ended(&mut world).map(|text| format!("seed {seed}: {text}")));
    }
    assert_none(&failures);
}

/// Guards against losing what a restarted entry sent before its new incarnation was known here.
#[test]
fn transitions_end_after_a_restart_detected_late() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS / 3 {
        let mut world = deployment_in_transition(seed);
        world.run(1_000);
        let before = world.peers.clone();
        for id in [InstanceId(2), InstanceId(3)] {
            world.start_entry(id, 2);
            world.catch_up_versions(id);
            world.grant_lease(id);
        }
        let all = world.peers.clone();
        let id = InstanceId(3);
        let itself = all.iter().filter(|peer| peer.id == id);
        let known = before.iter().filter(|peer| peer.id != id).chain(itself).copied().collect();
        world.set_live_entries(id, known);
        world.set_live_entries(InstanceId(2), all);
        world.run(1_000);
        world.announce(500);
        failures
            .extend(check_transitions_ended(&mut world).map(|text| format!("seed {seed}: {text}")));
    }
    assert_none(&failures);
}

/// Guards against entries that drop the slots in transition because all of them lost and regained their
/// leases together, as in an outage of the control daemons.
#[test]
fn flows_survive_a_common_loss_of_leases() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut world: Simulation = World::new(Options { entries: ENTRIES, ..options(seed) });
        world.open(FLOWS);
        world.run(2_000);
        world.sets.services[0].targets[0].weight = 1_000;
        world.change();
        let elapsed_ms = world.rng.random_range(0..3_000);
        world.run(elapsed_ms);
        for id in world.entries.keys().copied().collect::<Vec<_>>() {
            world.entries[&id].isolate();
        }
        for id in world.entries.keys().copied().collect::<Vec<_>>() {
            world.grant_lease(id);
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
