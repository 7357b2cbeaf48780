//! Entries under more load than the targets can serve in time, in virtual time: the real decisions of several
//! entries that know nothing of each other, with modelled callers and targets.
//!
//! Each pattern is played twice with the same seed: with the limit on openings, and without it.

#![allow(clippy::unwrap_used)]

mod overload_support;
#[allow(dead_code)]
mod parallel;

use overload_support::{Load, Outcomes, Play};
use std::time::Duration;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Deployments as entries, targets and slots of a target.
const DEPLOYMENTS: [(usize, usize, u32); 3] = [(5, 14, 4), (30, 120, 2), (78, 234, 2)];

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Entries, targets and slots of a target; load; and seed.
type Case = ((usize, usize, u32), Load, u64);

fn play((deployment, load, seed): Case, limited: bool) -> Outcomes {
    Play::new(deployment, load, seed, limited).run()
}

/// Plays each case with the limit and without it.
fn play_both(cases: &[Case]) -> Vec<(Outcomes, Outcomes)> {
    let plays = cases.iter().cloned().flat_map(|case| [(case.clone(), true), (case, false)]);
    let mut outcomes = parallel::map(plays, |(case, limited)| play(case, limited)).into_iter();
    std::iter::from_fn(|| Some((outcomes.next()?, outcomes.next()?))).collect()
}

/// Guards against queues in which every request becomes late: all callers send several times as much for some
/// seconds. With the limit, at least half as many again are served in time, and at most a twentieth more go
/// without an answer.
#[test]
fn a_burst_is_served_in_time_as_far_as_the_slots_allow() {
    // Three times what all slots together can do.
    let load = Load {
        utilisation: 0.35,
        burst: Some((seconds(2.0)..seconds(5.0), 3.0 / 0.35)),
        ..Load::default()
    };
    let mut cases = Vec::new();
    // The largest deployment takes longest, so it begins first.
    for deployment in DEPLOYMENTS.into_iter().rev() {
        let seeds = if deployment.0 > 30 { &SEEDS[..1] } else { &SEEDS[..] };
        cases.extend(seeds.iter().map(|seed| (deployment, load.clone(), *seed)));
    }
    for ((deployment, _, seed), (with, without)) in cases.iter().zip(play_both(&cases)) {
        let context =
            format!("{deployment:?}, seed {seed}: {with:?} without the limit {without:?}");
        assert!(with.in_time * 2 >= without.in_time * 3, "{context}");
        assert!(with.unserved * 20 <= without.unserved * 21, "{context}");
        assert!(with.refused_by_targets < without.refused_by_targets / 2, "{context}");
    }
}

/// Guards against the second outage after a loss of power: all callers come back at once, and the requests of the
/// outage make those after it late. Requests that begin in the second after the return are served in time at least
/// half as often again, or nearly all are.
#[test]
fn after_a_loss_of_power_new_requests_go_first() {
    for deployment in [DEPLOYMENTS[0], DEPLOYMENTS[1]] {
        let outage = seconds(2.0)..seconds(3.6);
        let load = Load { utilisation: 0.7, outage: Some(outage.clone()), ..Load::default() };
        let (mut with_total, mut without_total, mut begun_total) = (0, 0, 0);
        let seeds = if deployment.0 > 5 { &SEEDS[..1] } else { &SEEDS[..] };
        let cases: Vec<Case> = seeds.iter().map(|seed| (deployment, load.clone(), *seed)).collect();
        for (with, without) in play_both(&cases) {
            let after = outage.end + seconds(0.5)..outage.end + seconds(1.5);
            with_total += with.in_time_of(&after);
            without_total += without.in_time_of(&after);
            begun_total += with.begun_in(&after);
        }
        let context =
            format!("{deployment:?}: {with_total} with, {without_total} without, of {begun_total}");
        assert!(
            with_total * 2 >= without_total * 3 || with_total * 10 >= begun_total * 9,
            "{context}"
        );
    }
}

/// Guards against refusals and waits without overload: at half of the slots, with targets that take four
/// times as long, with targets that answer nothing, and with entries that start anew one after another.
#[test]
fn without_overload_nothing_is_refused_or_held() {
    let mut cases: Vec<Case> = Vec::new();
    for deployment in DEPLOYMENTS.into_iter().rev() {
        let loads = [
            Load { utilisation: 0.5, ..Load::default() },
            Load { utilisation: 0.4, slow_share: 0.15, ..Load::default() },
            Load { utilisation: 0.4, silent_share: 0.1, ..Load::default() },
            Load { utilisation: 0.4, restarts_entries: true, ..Load::default() },
        ];
        // The largest deployment takes as long as the others together.
        let loads = if deployment.0 > 30 { &loads[..1] } else { &loads[..] };
        cases.extend(loads.iter().map(|load| (deployment, load.clone(), 5)));
    }
    for ((deployment, load, _), (outcomes, without)) in cases.iter().zip(play_both(&cases)) {
        let context = format!("{deployment:?}, {load:?}: {outcomes:?}");
        assert_eq!(outcomes.refused_by_entries, 0, "{context}");
        // A restarted entry may hold an opening for a moment until it knows that there is room.
        assert!(outcomes.held * 200 <= outcomes.begun.len(), "{context}");
        assert!(outcomes.in_time * 100 >= without.in_time * 99, "{context} {without:?}");
    }
}

/// Guards against a refusal of an attempt that a target runs: the caller would send it again.
#[test]
fn a_refused_attempt_is_never_run() {
    let load = Load {
        utilisation: 0.35,
        burst: Some((seconds(1.0)..seconds(3.0), 12.0)),
        ..Load::default()
    };
    for seed in SEEDS {
        let outcomes = play((DEPLOYMENTS[0], load.clone(), seed), true);
        assert!(outcomes.refused_by_entries > 0, "the load is too low to show anything");
        assert_eq!(outcomes.run_after_refusal, 0);
    }
}
