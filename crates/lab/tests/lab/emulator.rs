//! Placement of flows under load, in virtual time.

use comfreyhold_lab::emulator::{self, Outcomes, Pattern, SchemeName, Settings};

const SEEDS: std::ops::Range<u64> = 1..4;

/// Sizes of today and of the next step: entries, targets, and the share of the slots in use.
const SIZES: [(usize, usize, f64); 2] = [(5, 14, 0.37), (30, 120, 0.43)];

fn play(size: (usize, usize, f64), seed: u64, scheme: SchemeName) -> Outcomes {
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

/// Guards against requests that are refused or late after an outage because all late ones come at once.
#[test]
fn late_openings_after_an_outage_cost_new_requests_nothing() {
    for size in SIZES {
        let (mut ordered, mut at_once) = ((0, 0.0), (0, 0.0));
        for seed in SEEDS {
            for (scheme, sum) in
                [(SchemeName::LeastWork, &mut ordered), (SchemeName::LeastWorkAtOnce, &mut at_once)]
            {
                let outcomes = play(size, seed, scheme);
                sum.0 += outcomes.refused;
                sum.1 += outcomes.in_time_share();
            }
        }
        assert!(ordered.0 * 10 < at_once.0, "{size:?}: refused {ordered:?} against {at_once:?}");
        assert!(ordered.1 > at_once.1, "{size:?}: in time {ordered:?} against {at_once:?}");
    }
}
