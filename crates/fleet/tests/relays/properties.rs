//! Random failures and changes: nothing that has left is used again, and all members agree in the end.

use crate::model::{Id, Model, ms};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::TargetId;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MEMBERS: usize = 24;
const TARGETS: u64 = 30;

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Kill(Id),
    Restart(Id),
    Freeze(Id),
    Thaw(Id),
    Cut(BTreeSet<Id>),
    CutDomain(usize),
    Heal,
    Drain(u64),
    End(u64),
    Crash(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    prop_oneof![
        6 => (50..2_500_u64).prop_map(Step::Run),
        1 => member.clone().prop_map(Step::Kill),
        2 => member.clone().prop_map(Step::Restart),
        1 => member.clone().prop_map(Step::Freeze),
        2 => member.clone().prop_map(Step::Thaw),
        1 => prop::collection::btree_set(member, 1..12).prop_map(Step::Cut),
        1 => (0..4_usize).prop_map(Step::CutDomain),
        2 => Just(Step::Heal),
        3 => (1..=TARGETS).prop_map(Step::Drain),
        2 => (1..=TARGETS).prop_map(Step::End),
        1 => (1..=TARGETS).prop_map(Step::Crash),
    ]
}

/// Changes of targets that each incarnation of a member has recorded.
type Left = BTreeMap<(Id, u64, TargetId), Availability>;

/// Checks that no member uses a target again that it had recorded as draining or ended.
fn check_left(model: &Model, left: &mut Left) -> Result<(), TestCaseError> {
    for id in model.live() {
        let member = &model.members[id];
        for target in model.targets.keys() {
            let Some(recorded) = member.targets.last_announcement(*target) else { continue };
            let key = (id, member.start.0, *target);
            let known = left.get(&key).copied().unwrap_or(Availability::Serving);
            let now = recorded.availability;
            prop_assert!(now >= known, "{target} at member {id}: {now} after {known}");
            left.insert(key, now);
        }
    }
    Ok(())
}

fn cut(model: &mut Model, group: BTreeSet<Id>) {
    let rest = (0..MEMBERS).filter(|id| !group.contains(id)).collect();
    model.cuts.push((group, rest));
}

fn apply(model: &mut Model, step: &Step, left: &mut Left) -> Result<(), TestCaseError> {
    match step {
        Step::Run(time) => {
            for _ in 0..time.div_ceil(250) {
                model.run(ms(250));
                check_left(model, left)?;
            }
        }
        Step::Kill(id) => model.kill(*id),
        Step::Restart(id) => {
            let domain = model.members[*id].domain.clone();
            model.restart(*id, domain);
        }
        Step::Freeze(id) => model.freeze(*id),
        Step::Thaw(id) => model.thaw(*id),
        Step::Cut(group) => cut(model, group.clone()),
        Step::CutDomain(domain) => {
            cut(model, (0..MEMBERS).filter(|id| id % 4 == *domain).collect())
        }
        Step::Heal => model.cuts.clear(),
        Step::Drain(id) => {
            let target = TargetId(*id);
            if model.targets[&target].availability == Availability::Serving {
                model.change(target, Availability::Draining);
            }
        }
        Step::End(id) => model.change(TargetId(*id), Availability::Ended),
        Step::Crash(id) => {
            model.ended.insert(TargetId(*id));
        }
    }
    check_left(model, left)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 40, ..ProptestConfig::default() })]

    /// Guards against an old refresh, a late message or a daemon with an empty memory that brings back what has left, and
    /// against members that disagree for good.
    #[test]
    fn nothing_that_has_left_is_used_again(
        steps in prop::collection::vec(step(), 5..30),
        seed in 0..1_000_u64,
    ) {
        let mut model = Model::new(MEMBERS, 4, TARGETS as usize, seed);
        let mut left = Left::new();
        model.run(Duration::from_secs(6));
        for step in &steps {
            apply(&mut model, step, &mut left)?;
        }
        model.cuts.clear();
        for id in 0..MEMBERS {
            if !model.members[id].is_alive {
                apply(&mut model, &Step::Restart(id), &mut left)?;
            }
            model.thaw(id);
        }
        for _ in 0..60 {
            model.run(ms(250));
            check_left(&model, &mut left)?;
        }
        // Targets that still announce themselves are in use everywhere, or drain everywhere; the others are nowhere.
        for (target, announcement) in &model.targets {
            for id in model.live() {
                let member = &model.members[id];
                let in_use = member.targets.by_ids(&[*target], model.now).pop();
                let found = in_use.map(|found| found.availability);
                let is_gone = model.ended.contains(target);
                if is_gone {
                    let is_in_use = found == Some(Availability::Serving);
                    prop_assert!(!is_in_use, "{target} at member {id}");
                } else {
                    prop_assert_eq!(found, Some(announcement.availability), "{} at {}", target, id);
                }
            }
        }
    }
}
