//! Cold ramp and retry budget.

mod common;

use comfreyhold_request::ramp::{Ramp, RampFeedback, SLOW_RUN_LIMIT};
use comfreyhold_request::retry_budget::RetryBudget;
use comfreyhold_request::target_slots::TargetSlots;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::{ColdRamp, RetryRule};
use common::{address, ms, target};
use std::time::{Duration, Instant};

const FAST: RampFeedback = RampFeedback::Answered(Duration::from_millis(20));
const SLOW: RampFeedback = RampFeedback::Answered(Duration::from_millis(1_001));

/// Five steps of 2 s, with 2 starts per second in the first one.
fn rule() -> ColdRamp {
    ColdRamp::default()
}

/// Guards against a cold target that gets more load than it can handle in any step.
#[test]
fn the_allowance_grows_only_with_responses() {
    let t = Instant::now();
    let mut ramp = Ramp::cold(rule(), t);
    for (step, allowance, starts_per_s) in
        [(1, 2, 2), (2, 4, 4), (3, 6, 8), (4, 8, 16), (5, 10, 32)]
    {
        let begins = t + ms(2_000) * (step - 1);
        assert_eq!((ramp.allowance(10), ramp.starts_per_s()), (allowance, Some(starts_per_s)));
        ramp.on_feedback(begins + ms(1_999), begins, FAST);
        assert_eq!(ramp.step(), Some(u16::try_from(step).expect("a step")), "step too short");
        ramp.on_feedback(begins + ms(2_000), begins, FAST);
    }
    assert_eq!((ramp.allowance(10), ramp.starts_per_s()), (10, None));
    let mut idle = Ramp::cold(rule(), t);
    idle.on_feedback(t + ms(60_000), t - ms(1), FAST);
    assert_eq!(idle.step(), Some(1), "neither time alone nor an earlier request raises the step");
}

/// Guards against keeping up a load that a target has just shown to be too high.
#[test]
fn overload_halves_the_step_and_restarts_it() {
    struct Case {
        name: &'static str,
        feedback: Vec<RampFeedback>,
        warm: bool,
        step: Option<u16>,
    }
    let run = usize::from(SLOW_RUN_LIMIT);
    let cases = [
        Case {
            name: "refusal when cold",
            feedback: vec![RampFeedback::Refused],
            warm: false,
            step: Some(2),
        },
        Case { name: "slow when cold", feedback: vec![SLOW], warm: false, step: Some(2) },
        Case {
            name: "failure when cold",
            feedback: vec![RampFeedback::Failed],
            warm: false,
            step: Some(4),
        },
        Case {
            name: "burst from one allowance",
            feedback: vec![SLOW; 3],
            warm: false,
            step: Some(2),
        },
        Case {
            name: "refusal when warm",
            feedback: vec![RampFeedback::Refused],
            warm: true,
            step: Some(2),
        },
        Case { name: "one slow when warm", feedback: vec![SLOW], warm: true, step: None },
        Case { name: "slow in a row", feedback: vec![SLOW; run], warm: true, step: Some(2) },
        Case {
            name: "slow, but not in a row",
            feedback: vec![SLOW, FAST, SLOW, FAST, SLOW],
            warm: true,
            step: None,
        },
        Case {
            name: "failure when warm",
            feedback: vec![RampFeedback::Failed],
            warm: true,
            step: None,
        },
    ];
    for case in cases {
        let t = Instant::now();
        let mut ramp = if case.warm { Ramp::warm(rule(), t) } else { Ramp::cold(rule(), t) };
        let mut now = t;
        while !case.warm && ramp.step() != Some(4) {
            now += ms(2_000);
            ramp.on_feedback(now, now, FAST);
        }
        for feedback in case.feedback {
            ramp.on_feedback(now + ms(1_500), now, feedback);
        }
        assert_eq!(ramp.step(), case.step, "{}", case.name);
        if let Some(step) = case.step {
            ramp.on_feedback(now + ms(3_400), now + ms(1_500), FAST);
            assert_eq!(
                ramp.step(),
                Some(step),
                "{}: the step starts anew and lasts its full length",
                case.name
            );
        }
    }
}

/// Guards against a burst of starts on a cold target, and against treating a restarted target as
/// warm.
#[test]
fn a_new_incarnation_is_limited_in_starts() {
    let t = Instant::now();
    let mut slots = TargetSlots::new(rule());
    slots.replace(t, &[target(1, 10)], 64, |_| true);
    assert!((0..10).all(|_| slots.occupy_least_loaded(t).is_some()), "warm: all slots at once");
    let restarted = TargetRecord { incarnation: Incarnation(2), ..target(1, 10) };
    slots.replace(t, &[restarted], 64, |_| true);
    assert_eq!(slots.ramp_step(address(1)), Some(1));
    let mut fresh = TargetSlots::new(rule());
    fresh.replace(t, &[target(1, 10)], 64, |_| false);
    assert!(fresh.occupy_least_loaded(t).is_some());
    assert!(fresh.occupy_least_loaded(t + ms(499)).is_none(), "2 starts per second");
    assert!(fresh.occupy_least_loaded(t + ms(500)).is_some());
    assert!(fresh.occupy_least_loaded(t + ms(5_000)).is_none(), "2 of 10 slots in the first step");
}

/// Guards against retries that multiply the load while targets fail.
#[test]
fn retries_are_limited_to_a_share_of_first_tries_plus_a_floor() {
    let t = Instant::now();
    let rule = RetryRule { max_attempts: 3, budget_percent: 10, floor_per_s: 1 };
    let mut budget = RetryBudget::new(rule, t);
    assert!(budget.try_withdraw(t), "the floor");
    assert!(!budget.try_withdraw(t));
    (0..100).for_each(|_| budget.record_first_try());
    let retries = (0..100).filter(|_| budget.try_withdraw(t)).count();
    assert_eq!(retries, 10);
    assert!(!budget.try_withdraw(t + ms(999)));
    assert!(budget.try_withdraw(t + ms(1_000)));
    (0..100_000).for_each(|_| budget.record_first_try());
    let accumulated = (0..100).filter(|_| budget.try_withdraw(t + ms(1_000))).count();
    assert_eq!(accumulated, 20, "a quiet period accumulates a bounded burst");
}
