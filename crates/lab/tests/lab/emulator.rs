//! The emulator of flow placement: entries must spread late openings after an outage.

use comfreyhold_lab::emulator::{self, Outcomes, Pattern, SchemeName, Settings};

const SEEDS: std::ops::Range<u64> = 1..4;

/// Entries, targets and share of the slots in use of the current deployment and of the planned larger one.
const SIZES: [(usize, usize, f64); 2] = [(5, 14, 0.37), (30, 120, 0.43)];

fn run_outage(size: (usize, usize, f64), seed: u64, scheme: SchemeName) -> Outcomes {
    let (entries, targets, utilisation) = size;
    let settings = Settings::builder()
        .seed(seed)
        .entries(entries)
        .targets(targets)
        .domains(4)
        .utilisation(utilisation)
        .pattern(Pattern::Outage)
        .build();
    emulator::run(&settings, scheme).unwrap()
}

/// Guards against requests that are refused or late after an outage because entries place all late openings at once.
#[test]
fn deferred_late_openings_after_an_outage_reduce_refusals() {
    for size in SIZES {
        let (mut deferred, mut at_once) = ((0, 0.0), (0, 0.0));
        for seed in SEEDS {
            for (scheme, totals) in [
                (SchemeName::LeastWork, &mut deferred),
                (SchemeName::LeastWorkAtOnce, &mut at_once),
            ] {
                let outcomes = run_outage(size, seed, scheme);
                totals.0 += outcomes.refused;
                totals.1 += outcomes.in_time_share();
            }
        }
        assert!(deferred.0 * 10 < at_once.0, "{size:?}: refused {deferred:?} against {at_once:?}");
        assert!(deferred.1 > at_once.1, "{size:?}: in time {deferred:?} against {at_once:?}");
    }
}
