//! Cold ramp and retry budget.

mod common;

use comfreyhold_request::ramp::{Feedback, Ramp, SLOW_RUN};
use comfreyhold_request::retry_budget::RetryBudget;
use comfreyhold_request::target_slots::TargetSlots;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::{ColdRamp, RetryRule};
use common::{address, ms, target};
use std::time::{Duration, Instant};

const FAST: Feedback = Feedback::Answered(Duration::from_millis(20));
const SLOW: Feedback = Feedback::Answered(Duration::from_millis(1_001));

/// Five steps of 2 s; 2 starts per second in the first.
fn rule() -> ColdRamp {
    ColdRamp::default()
}

/// Guards against a cold target that gets more load than it can handle in some step.
#[test]
fn the_allowance_grows_with_answers_only() {
    let t = Instant::now();
    let mut ramp = Ramp::cold(rule(), t);
    for (step, allowance, starts) in [(1, 2, 2), (2, 4, 4), (3, 6, 8), (4, 8, 16), (5, 10, 32)] {
        let begins = t + ms(2_000) * (step - 1);
        assert_eq!((ramp.allowance(10), ramp.starts_per_s()), (allowance, Some(starts)));
        ramp.on_feedback(begins + ms(1_999), begins, FAST);
        assert_eq!(ramp.step(), Some(u16::try_from(step).expect("a step")), "step too short");
        ramp.on_feedback(begins + ms(2_000), begins, FAST);
    }
    assert_eq!((ramp.allowance(10), ramp.starts_per_s()), (10, None));
    let mut idle = Ramp::cold(rule(), t);
    idle.on_feedback(t + ms(60_000), t - ms(1), FAST);
    assert_eq!(idle.step(), Some(1), "time alone, or an answer from before, shows nothing");
}

/// Guards against going on at a load that a target has just shown it can't handle.
#[test]
fn trouble_halves_the_step_and_repeats_it() {
    struct Case {
        name: &'static str,
        feedback: Vec<Feedback>,
        warm: bool,
        step: Option<u16>,
    }
    let run = usize::from(SLOW_RUN);
    let cases = [
        Case {
            name: "refusal when cold",
            feedback: vec![Feedback::Refused],
            warm: false,
            step: Some(2),
        },
        Case { name: "slow when cold", feedback: vec![SLOW], warm: false, step: Some(2) },
        Case {
            name: "failure when cold",
            feedback: vec![Feedback::Failed],
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
            feedback: vec![Feedback::Refused],
            warm: true,
            step: Some(2),
        },
        Case { name: "one slow when warm", feedback: vec![SLOW], warm: true, step: None },
        Case { name: "slow in a row", feedback: vec![SLOW; run], warm: true, step: Some(2) },
        Case {
            name: "slow now and then",
            feedback: vec![SLOW, FAST, SLOW, FAST, SLOW],
            warm: true,
            step: None,
        },
        Case {
            name: "failure when warm",
            feedback: vec![Feedback::Failed],
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
            assert_eq!(ramp.step(), Some(step), "{}: the step is repeated in full", case.name);
        }
    }
}

/// Guards against a burst of starts on a cold target, and a restarted target taken for warm.
#[test]
fn a_new_incarnation_is_limited_in_starts() {
    let t = Instant::now();
    let mut slots = TargetSlots::new(rule());
    slots.replace(t, &[target(1, 10)], 64, |_| true);
    assert!((0..10).all(|_| slots.take(t).is_some()), "warm: all slots at once");
    let restarted = TargetRecord { incarnation: Incarnation(2), ..target(1, 10) };
    slots.replace(t, &[restarted], 64, |_| true);
    assert_eq!(slots.ramp_step(address(1)), Some(1));
    let mut fresh = TargetSlots::new(rule());
    fresh.replace(t, &[target(1, 10)], 64, |_| false);
    assert!(fresh.take(t).is_some());
    assert!(fresh.take(t + ms(499)).is_none(), "2 starts per second");
    assert!(fresh.take(t + ms(500)).is_some());
    assert!(fresh.take(t + ms(5_000)).is_none(), "2 of 10 slots in the first step");
}

/// Guards against retries that multiply load while targets fail.
#[test]
fn retries_are_a_share_of_first_tries_plus_a_floor() {
    let t = Instant::now();
    let rule = RetryRule { max_attempts: 3, budget_percent: 10, floor_per_s: 1 };
    let mut budget = RetryBudget::new(rule, t);
    assert!(budget.take(t), "the floor");
    assert!(!budget.take(t));
    (0..100).for_each(|_| budget.on_first_try());
    let retries = (0..100).filter(|_| budget.take(t)).count();
    assert_eq!(retries, 10);
    assert!(!budget.take(t + ms(999)));
    assert!(budget.take(t + ms(1_000)));
    (0..100_000).for_each(|_| budget.on_first_try());
    let saved = (0..100).filter(|_| budget.take(t + ms(1_000))).count();
    assert_eq!(saved, 20, "a quiet period saves up a bounded burst");
}
