//! Compares the arbiter scheme with its baselines through changes, in the simulation.
//!
//! Usage: `cargo run --release --example compare -- [flows] [seed]`

#[allow(dead_code)]
mod harness;

use comfreyhold_flow::scheme::{ConsistentHash, Replicated, Scheme};
use comfreyhold_flow::{FlowRouter, TargetSpec};
use comfreyhold_types::keys::{DomainId, InstanceId};
use comfreyhold_types::target::TargetState;
use harness::{Options, World, target};

const FLOWS: usize = 200_000;
const SEED: u64 = 1;
const ENTRIES: u16 = 5;
const TARGETS: u8 = 15;
/// Time that the simulation runs after the change, in milliseconds.
const WATCH_MS: u64 = 450_000;
/// Part of [`WATCH_MS`] in which new flows open, in milliseconds.
const OPENING_MS: u64 = 20_000;
const NEW_PER_S: usize = 2_000;

type Scenario<S> = fn(&mut World<S>);

fn targets<S: Scheme>(world: &mut World<S>) -> &mut Vec<TargetSpec> {
    &mut world.sets.services[0].targets
}

fn join_target<S: Scheme>(world: &mut World<S>) {
    targets(world).push(target(TARGETS));
    world.change();
}

fn drain_target<S: Scheme>(world: &mut World<S>) {
    targets(world)[3].state = TargetState::Draining;
    world.change();
}

fn change_weight<S: Scheme>(world: &mut World<S>) {
    targets(world)[2].weight = 300;
    world.change();
}

fn make_target_cold<S: Scheme>(world: &mut World<S>) {
    targets(world)[4].weight = 10;
    world.change();
}

fn join_entry<S: Scheme>(world: &mut World<S>) {
    join_target(world);
    world.run_with(1_000, NEW_PER_S);
    world.add_entry(InstanceId(ENTRIES + 1), 1);
    world.announce(300);
}

fn stop_entry<S: Scheme>(world: &mut World<S>) {
    join_target(world);
    world.run_with(1_000, NEW_PER_S);
    world.stop_entry(InstanceId(2));
}

fn kill_entry<S: Scheme>(world: &mut World<S>) {
    join_target(world);
    world.run_with(1_000, NEW_PER_S);
    world.kill_entry(InstanceId(2));
}

fn activate_with_skew<S: Scheme>(world: &mut World<S>) {
    world.options.max_skew_ms = 1_900;
    join_target(world);
}

fn change_twice<S: Scheme>(world: &mut World<S>) {
    join_target(world);
    world.run_with(2_000, NEW_PER_S);
    drain_target(world);
}

fn kill_second_entry<S: Scheme>(world: &mut World<S>) {
    kill_entry(world);
    world.run_with(2_500, NEW_PER_S);
    world.kill_entry(InstanceId(4));
}

fn withdraw_and_restore_domain<S: Scheme>(world: &mut World<S>) {
    world.sets.withdrawn.insert(DomainId(1));
    world.change();
    world.run_with(5_000, NEW_PER_S);
    world.sets.withdrawn.clear();
    world.change();
}

fn scenarios<S: Scheme>() -> [(&'static str, Scenario<S>); 11] {
    [
        ("target joins", join_target),
        ("target drains", drain_target),
        ("weight change", change_weight),
        ("target turns cold", make_target_cold),
        ("entry joins", join_entry),
        ("planned entry stop", stop_entry),
        ("entry killed", kill_entry),
        ("uneven activation", activate_with_skew),
        ("two changes in a row", change_twice),
        ("second loss", kill_second_entry),
        ("domain out and back", withdraw_and_restore_domain),
    ]
}

/// Highest number of opened flows per weight of a serving target, relative to the mean.
fn imbalance<S: Scheme>(world: &World<S>) -> f64 {
    let serving = world.sets.services[0].targets.iter().filter(|t| t.state == TargetState::Serving);
    let loads: Vec<f64> = serving
        .map(|spec| *world.opened.get(&spec.address).unwrap_or(&0) as f64 / f64::from(spec.weight))
        .collect();
    let weights: f64 = world.sets.services[0]
        .targets
        .iter()
        .filter(|t| t.state == TargetState::Serving)
        .map(|t| f64::from(t.weight))
        .sum();
    let total: f64 = world.opened.values().map(|count| *count as f64).sum();
    loads.iter().copied().fold(0.0, f64::max) / (total / weights)
}

fn run<S: Scheme>(name: &str, scenario: Scenario<S>, flows: usize, seed: u64) {
    let options = Options {
        seed,
        entries: ENTRIES,
        targets: TARGETS,
        delay_ms: (1, 3),
        loss: 0.0,
        duplication: 0.0,
        max_skew_ms: 300,
        overlap: false,
        packet_ms: 60_000,
        idle_ms: 300_000,
        udp: 0.1,
    };
    let mut world: World<S> = World::new(options);
    world.run_with(10_000, flows / 10);
    let opening_bytes = world.stats.control_bytes;
    scenario(&mut world);
    world.opened.clear();
    world.run_with(OPENING_MS, NEW_PER_S);
    let imbalance = imbalance(&world);
    world.run(WATCH_MS - OPENING_MS);
    let stats = world.stats;
    println!(
        "{name:22} {:10} {:7} {:6} {:6} {imbalance:9.2} {:9} {:9} {:7} {:9}",
        S::NAME,
        stats.broken,
        stats.wrong_service,
        stats.withdrawn,
        opening_bytes / u64::from(ENTRIES),
        (stats.control_bytes - opening_bytes) / u64::from(ENTRIES),
        stats.extra_hops,
        stats.deferred,
    );
}

fn argument(index: usize, default: u64) -> u64 {
    std::env::args().nth(index).and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let flows = argument(1, FLOWS as u64) as usize;
    let seed = argument(2, SEED);
    println!("{flows} flows, seed {seed}, {ENTRIES} entries, {TARGETS} targets");
    println!(
        "{:22} {:10} {:>7} {:>6} {:>6} {:>9} {:>9} {:>9} {:>7} {:>9}",
        "scenario",
        "scheme",
        "broken",
        "wrong",
        "late",
        "max/mean",
        "B before",
        "B after",
        "hops",
        "deferred"
    );
    let arbiter = scenarios::<FlowRouter>();
    let hash = scenarios::<ConsistentHash>();
    let replicated = scenarios::<Replicated>();
    for index in 0..arbiter.len() {
        run(arbiter[index].0, arbiter[index].1, flows, seed);
        run(hash[index].0, hash[index].1, flows, seed);
        run(replicated[index].0, replicated[index].1, flows, seed);
    }
}
