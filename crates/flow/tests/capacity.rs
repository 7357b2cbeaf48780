//! Learned capacity against other ways to place openings, in virtual time: entries and modelled targets, with the
//! exchange of totals every 250 ms at a delay of 50 ms. `--nocapture` prints the table of the design note.

#![allow(clippy::unwrap_used)]

mod capacity_support;
#[allow(dead_code)]
mod parallel;

use capacity_support::figures::SIZES;
use capacity_support::{CHANGE, CHANGE_INTERVAL, Figures, Play, Scenario, Size, Way};
use std::time::Duration;
use strum::IntoEnumIterator;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Time within which a change must be followed.
const FOLLOWED_WITHIN: Duration = Duration::from_secs(2);

/// Share of even targets that may count as uneven: the chance of a deviation by three standard errors, 1 in 370.
const UNEVEN_BY_CHANCE: f64 = 1.0 / 370.0;

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| format!("{:.2}", time.as_secs_f64()))
}

/// Runs all ways to place in a scenario at one size, and prints a line of the table for each.
fn compare(size: Size, scenario: Scenario, seed: u64) -> Vec<(Way, Figures)> {
    let mut results = Vec::new();
    let plays = parallel::map(Way::iter(), |way| (way, Play::new(size, scenario, way, seed).run()));
    for (way, mut figures) in plays {
        let bound = if scenario == Scenario::Refusing { 0.1 } else { 0.5 };
        let has_change = matches!(scenario, Scenario::Changing | Scenario::Refusing);
        let left = figures.follows(CHANGE, |share| share < bound).filter(|_| has_change);
        let found = figures.follows(CHANGE + CHANGE_INTERVAL, |share| share > 0.5);
        let found = found.filter(|_| scenario == Scenario::Changing);
        let third = figures.third_between(CHANGE + FOLLOWED_WITHIN, CHANGE + CHANGE_INTERVAL);
        println!(
            "| {scenario} | {} | {way} | {:.1} | {} | {} | {} | {} | {third:.2} | {:.2} |",
            size.entries,
            figures.late_share() * 100.0,
            figures.p95_ms(),
            figures.refusals,
            seconds(left),
            seconds(found),
            figures.imbalance,
        );
        results.push((way, figures));
    }
    results
}

/// Figures of the balancer's own placement by seed; those of the first seed are among `results`.
fn learned_by_seed(
    size: Size,
    scenario: Scenario,
    mut results: Vec<(Way, Figures)>,
) -> Vec<Figures> {
    let position = results.iter().position(|(way, _)| *way == Way::Learned).unwrap();
    let first = results.swap_remove(position).1;
    let run = |seed: &u64| Play::new(size, scenario, Way::Learned, *seed).run();
    std::iter::once(first).chain(parallel::map(&SEEDS[1..], run)).collect()
}

fn figures_of(results: &[(Way, Figures)], way: Way) -> &Figures {
    &results.iter().find(|(other, _)| *other == way).unwrap().1
}

/// Guards against placement that changes where there is nothing to learn: the switch changes no decision.
#[test]
fn an_even_service_is_placed_as_without_learning() {
    for size in SIZES {
        let results = compare(size, Scenario::Even, SEEDS[0]);
        let learned = figures_of(&results, Way::Learned);
        assert!(learned.uneven_share <= UNEVEN_BY_CHANCE, "{}", learned.uneven_share);
        let announced = &figures_of(&results, Way::Announced).placed;
        let same = learned.placed.iter().zip(announced).take_while(|(a, b)| a == b).count();
        let uneven_at = learned.placed_before_uneven.unwrap_or(announced.len());
        assert!(same >= uneven_at, "differs at {same}, uneven from {uneven_at}");
    }
}

/// Guards against targets that look uneven by chance or by their queues: twice the load, and more than the slots
/// allow.
#[test]
fn even_targets_stay_even_under_load() {
    // Only at the second size does 4.5 times the load exceed the slots by much.
    for (size, factor) in SIZES.map(|size| (size, 2.0)).into_iter().chain([(SIZES[1], 4.5)]) {
        let size = Size { per_s: size.per_s * factor, ..size };
        let play = |way| Play::new(size, Scenario::Even, way, SEEDS[0]).run();
        let mut plays = parallel::map([Way::Learned, Way::Announced], play).into_iter();
        let (learned, announced) = (plays.next().unwrap(), plays.next().unwrap());
        println!(
            "even, {} entries, load x {factor}: late {:.3} and {:.3} without learning, refusals {} and {}, uneven {:.4}",
            size.entries,
            learned.late_share(),
            announced.late_share(),
            learned.refusals,
            announced.refusals,
            learned.uneven_share
        );
        assert!(learned.uneven_share <= UNEVEN_BY_CHANCE, "{size:?} {}", learned.uneven_share);
    }
}

/// Guards against fast targets that idle beside slow ones that are full: they are busy for the same share of time.
#[test]
fn targets_are_loaded_in_proportion_to_their_speed() {
    for size in SIZES {
        let results = compare(size, Scenario::Speeds, SEEDS[0]);
        let imbalance = |way| figures_of(&results, way).imbalance;
        assert!(imbalance(Way::Learned) < imbalance(Way::Announced), "{size:?}");
        for learned in learned_by_seed(size, Scenario::Speeds, results) {
            let (fast, slow) = learned.busy;
            assert!((0.8..=1.25).contains(&(fast / slow)), "{size:?} {fast} {slow}");
        }
    }
}

/// Guards against requests that are late at targets that slow down while others have room.
#[test]
fn targets_that_slow_down_early_get_less() {
    for size in SIZES {
        let results = compare(size, Scenario::SlowFromHalf, SEEDS[0]);
        let late = |way| figures_of(&results, way).late_share();
        assert!(late(Way::Learned) < late(Way::Announced), "{size:?}");
    }
}

/// Guards against slow targets that keep their share, and against recovered ones that get none.
#[test]
fn slow_targets_are_left_and_found_again_within_two_seconds() {
    for size in SIZES {
        let results = compare(size, Scenario::Changing, SEEDS[0]);
        for learned in learned_by_seed(size, Scenario::Changing, results) {
            let left = learned.follows(CHANGE, |share| share < 0.5);
            let found = learned.follows(CHANGE + CHANGE_INTERVAL, |share| share > 0.5);
            let is_followed = |time: Option<Duration>| time.is_some_and(|t| t <= FOLLOWED_WITHIN);
            println!("changing, {} entries: {left:?} {found:?}", size.entries);
            assert!(is_followed(left) && is_followed(found), "{size:?} {left:?} {found:?}");
        }
    }
}

/// Guards against targets that refuse at once and seem idle: under a tenth of their share after two seconds.
#[test]
fn refusing_targets_get_under_a_tenth_of_their_share() {
    for size in SIZES {
        let results = compare(size, Scenario::Refusing, SEEDS[0]);
        for learned in learned_by_seed(size, Scenario::Refusing, results) {
            let share = learned.third_between(CHANGE + FOLLOWED_WITHIN, capacity_support::LENGTH);
            println!("refusing, {} entries: share {share:.3}", size.entries);
            assert!(share < 0.1, "{size:?} {share}");
        }
    }
}
