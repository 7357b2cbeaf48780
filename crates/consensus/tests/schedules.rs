//! Seeded schedules of faults. `CONSENSUS_SEED` runs one seed of each kind, and `CONSENSUS_SCHEDULES`
//! sets how many of each kind run.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panic")]

mod support;

use support::{Faults, Network};

fn seeds() -> Vec<u64> {
    let number = |name| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    match number("CONSENSUS_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("CONSENSUS_SCHEDULES").unwrap_or(1_000)).collect(),
    }
}

fn run_all(faults: Faults, fault_ms: u64) {
    let mut accepted = 0;
    let mut stale = 0;
    for seed in seeds() {
        let mut network = Network::new(seed, faults);
        network.run(fault_ms, 8_000);
        accepted += network.checks.accepted;
        stale += network.checks.stale;
    }
    let found = faults != Faults::OldCopies || stale > 0;
    assert!(found, "no older copy was found and made a learner");
    assert!(accepted >= seeds().len(), "schedules accept too little to show anything: {accepted}");
}

/// Guards against two leaders, lost entries and false responses under loss, delay, duplication,
/// reordering, cuts and crashes.
#[test]
fn network_faults_and_crashes() {
    run_all(Faults::Network, 8_000);
}

/// Guards against an instance that votes or confirms from an older copy of its data folder.
#[test]
fn older_copies_of_a_folder() {
    run_all(Faults::OldCopies, 8_000);
}

/// Guards against lost entries when a disk is replaced and another one is lost right after.
#[test]
fn lost_disks_with_replacement() {
    run_all(Faults::LostDisks, 12_000);
}

/// Guards against a floor that nobody can reach: the only holder of an entry that was never accepted lost
/// it after it had reported it to a restarted voter.
#[test]
fn old_copies_seeds_47_and_488_elect_a_leader() {
    Network::new(47, Faults::OldCopies).run(8_000, 8_000);
    Network::new(488, Faults::OldCopies).run(8_000, 8_000);
}

/// Guards against a floor set by the log of an older copy, which can't be elected itself.
#[test]
fn old_copies_seed_2479_elects_a_leader() {
    Network::new(2_479, Faults::OldCopies).run(8_000, 8_000);
}

/// Guards against a restarted voter that waits for a replaced one, because its own log ends before the
/// replacement.
#[test]
fn lost_disks_seeds_223_and_3270_elect_a_leader() {
    Network::new(223, Faults::LostDisks).run(12_000, 8_000);
    Network::new(3_270, Faults::LostDisks).run(12_000, 8_000);
}

/// Guards against a leader that answers as current, or reverts others, after a long cut.
#[test]
fn leader_cut_off_for_long() {
    run_all(Faults::LongCut, 12_000);
}
