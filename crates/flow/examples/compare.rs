//! Compares the chosen scheme with its baselines through changes, on in-memory entries.
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
/// Time that flows are watched after the change, in milliseconds.
const WATCH_MS: u64 = 450_000;
/// Part of it in which new flows are opened, in milliseconds.
const OPENING_MS: u64 = 20_000;
const NEW_PER_S: usize = 2_000;

type Step<S> = fn(&mut World<S>);

fn targets<S: Scheme>(world: &mut World<S>) -> &mut Vec<TargetSpec> {
    &mut world.sets.services[0].targets
}

fn join<S: Scheme>(world: &mut World<S>) {
    targets(world).push(target(TARGETS));
    world.change();
}

fn drain<S: Scheme>(world: &mut World<S>) {
    targets(world)[3].state = TargetState::Draining;
    world.change();
}

fn weight<S: Scheme>(world: &mut World<S>) {
    targets(world)[2].weight = 300;
    world.change();
}

fn cold<S: Scheme>(world: &mut World<S>) {
    targets(world)[4].weight = 10;
    world.change();
}

fn entry_joins<S: Scheme>(world: &mut World<S>) {
    join(world);
    world.run_with(1_000, NEW_PER_S);
    world.add_entry(InstanceId(ENTRIES + 1), 1);
    world.announce(300);
}

fn entry_stops<S: Scheme>(world: &mut World<S>) {
    join(world);
    world.run_with(1_000, NEW_PER_S);
    world.stop_entry(InstanceId(2));
}

fn entry_killed<S: Scheme>(world: &mut World<S>) {
    join(world);
    world.run_with(1_000, NEW_PER_S);
    world.kill_entry(InstanceId(2));
}

fn uneven<S: Scheme>(world: &mut World<S>) {
    world.options.uneven_ms = 1_900;
    join(world);
}

fn two_changes<S: Scheme>(world: &mut World<S>) {
    join(world);
    world.run_with(2_000, NEW_PER_S);
    drain(world);
}

fn second_loss<S: Scheme>(world: &mut World<S>) {
    entry_killed(world);
    world.run_with(2_500, NEW_PER_S);
    world.kill_entry(InstanceId(4));
}

fn domain_out_and_back<S: Scheme>(world: &mut World<S>) {
    world.sets.withdrawn.insert(DomainId(1));
    world.change();
    world.run_with(5_000, NEW_PER_S);
    world.sets.withdrawn.clear();
    world.change();
}

fn scenarios<S: Scheme>() -> [(&'static str, Step<S>); 11] {
    [
        ("target joins", join),
        ("target drains", drain),
        ("weight change", weight),
        ("target turns cold", cold),
        ("entry joins", entry_joins),
        ("planned entry stop", entry_stops),
        ("entry killed", entry_killed),
        ("uneven activation", uneven),
        ("two changes in a row", two_changes),
        ("second loss", second_loss),
        ("domain out and back", domain_out_and_back),
    ]
}

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

fn run<S: Scheme>(name: &str, step: Step<S>, flows: usize, seed: u64) {
    let options = Options {
        seed,
        entries: ENTRIES,
        targets: TARGETS,
        delay_ms: (1, 3),
        loss: 0.0,
        duplication: 0.0,
        uneven_ms: 300,
        overlap: false,
        packet_ms: 60_000,
        idle_ms: 300_000,
        udp: 0.1,
    };
    let mut world: World<S> = World::new(options);
    world.run_with(10_000, flows / 10);
    let opening_bytes = world.stats.control_bytes;
    step(&mut world);
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
