//! Parts of the new flows that go to other domains.

use comfreyhold_flow::cookie::spill::{DomainLoad, SpillPlan};
use comfreyhold_types::keys::DomainName;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn name(number: usize) -> DomainName {
    DomainName::from(format!("d{number}").as_str())
}

fn domains(loads: &[(f64, f64)]) -> BTreeMap<DomainName, DomainLoad> {
    let load = |(number, (openings_per_s, slots)): (usize, &(f64, f64))| {
        (name(number), DomainLoad { openings_per_s: *openings_per_s, slots: *slots })
    };
    loads.iter().enumerate().map(load).collect()
}

fn plan(local: usize, loads: &[(f64, f64)], busy: f64) -> SpillPlan {
    let mut plan = SpillPlan::default();
    plan.update(&name(local), &domains(loads), busy);
    plan
}

/// Guards against traffic between domains that nothing needs, and against flows to domains without room.
#[test]
fn only_what_exceeds_the_own_domain_spills_over() {
    let even = [(100.0, 10.0), (100.0, 10.0)];
    assert_eq!(plan(0, &even, 12.0), plan(1, &even, 12.0), "neither spills over");
    assert_eq!(plan(0, &even, 12.0).remote_part(), 0.0);
    // 16, 2 and 0 of 10 slots each: half stays, and the others get it as 6 to 8 of their spare slots.
    let uneven = [(160.0, 10.0), (20.0, 10.0), (0.0, 10.0)];
    let part = plan(0, &uneven, 18.0);
    assert!((part.remote_part() - 0.5).abs() < 1e-9, "{part:?}");
    let to = |random: f64| part.choose(random).cloned();
    assert_eq!(
        [to(0.01), to(0.21), to(0.22), to(0.49), to(0.51)],
        [Some(name(1)), Some(name(1)), Some(name(2)), Some(name(2)), None]
    );
    assert_eq!(plan(1, &uneven, 18.0).remote_part(), 0.0);
}

/// Guards against a withdrawn domain whose entries send flows to nobody in particular.
#[test]
fn a_domain_without_slots_spreads_its_flows_over_the_others() {
    let part = plan(0, &[(100.0, 0.0), (20.0, 10.0), (20.0, 20.0)], 14.0);
    assert!((part.remote_part() - 1.0).abs() < 1e-9);
}

proptest! {
    /// Guards against parts that are no parts, and against domains that are filled above the common level while
    /// others are below it.
    #[test]
    fn domains_are_filled_to_one_level(
        loads in prop::collection::vec((0.0..1_000.0_f64, 0.0..100.0_f64), 1..8),
        used in 0.01..1.0_f64,
    ) {
        let slots: f64 = loads.iter().map(|(_, slots)| slots).sum();
        let per_s: f64 = loads.iter().map(|(per_s, _)| per_s).sum();
        prop_assume!(slots > 1.0 && per_s > 1.0);
        let busy = slots * used;
        let level = (used * 1.1).min(0.95).max(used).max(0.8);
        let mut filled = vec![0.0; loads.len()];
        for (local, (demand, _)) in loads.iter().enumerate() {
            let plan = plan(local, &loads, busy);
            prop_assert!((0.0..=1.0 + 1e-9).contains(&plan.remote_part()));
            let work = busy / per_s;
            filled[local] += demand * work * (1.0 - plan.remote_part());
            // The parts, by where random numbers lead to.
            let steps = 2_000;
            for step in 1..=steps {
                let random = f64::from(step) / f64::from(steps);
                if let Some(domain) = plan.choose(random) {
                    let other = (0..loads.len()).find(|n| name(*n) == *domain).unwrap();
                    prop_assert_ne!(other, local);
                    filled[other] += demand * work / f64::from(steps);
                }
            }
        }
        for (filled, (_, slots)) in filled.iter().zip(&loads) {
            prop_assert!(*filled <= slots * level + busy * 0.01, "{filled} of {slots}");
        }
    }
}
