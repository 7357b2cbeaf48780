//! Cold ramp of one target: limits concurrency and starts per second until the target has shown that
//! it can handle more. Only answers raise the allowance. Health and load endpoints are no input,
//! since they lag or mislead.

use comfreyhold_types::profile::ColdRamp;
use std::time::{Duration, Instant};

/// Slow answers in a row after which a warm target is treated as cold. A single one may be a long
/// request rather than a cold target.
pub const SLOW_RUN: u8 = 3;

/// What a finished request shows about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// A whole response after this time.
    Answered(Duration),
    /// The target refused before running.
    Refused,
    /// The target could not be reached or gave no whole response.
    Failed,
}

/// Allowance of one target.
#[derive(Clone, Debug)]
pub struct Ramp {
    rule: ColdRamp,
    /// Current step, from 1; above `rule.steps` when warm.
    step: u16,
    step_started: Instant,
    slow_run: u8,
    next_start: Instant,
}

impl Ramp {
    /// Starts cold, at the first step.
    #[must_use]
    pub fn cold(rule: ColdRamp, now: Instant) -> Self {
        let step = if rule.ramp_ms == 0 { rule.steps + 1 } else { 1 };
        Self { rule, step, step_started: now, slow_run: 0, next_start: now }
    }

    /// Starts warm, for targets that a previous dispatcher had seen warm.
    #[must_use]
    pub fn warm(rule: ColdRamp, now: Instant) -> Self {
        let mut ramp = Self::cold(rule, now);
        ramp.step = ramp.rule.steps + 1;
        ramp
    }

    /// Whether the allowance is limited.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.step <= self.rule.steps
    }

    /// Current step, from 1; `None` when warm.
    #[must_use]
    pub fn step(&self) -> Option<u16> {
        self.is_cold().then_some(self.step)
    }

    /// Requests that may run at once, out of `slots`.
    #[must_use]
    pub fn allowance(&self, slots: u32) -> u32 {
        if !self.is_cold() {
            return slots;
        }
        let share = slots * u32::from(self.step) / u32::from(self.rule.steps);
        share.max(1).min(slots)
    }

    /// Starts per second; `None` when unlimited.
    #[must_use]
    pub fn starts_per_s(&self) -> Option<u32> {
        let doublings = u32::from(self.step()?) - 1;
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        Some(self.rule.first_starts_per_s.max(1).saturating_mul(factor))
    }

    /// Earliest time of the next start; a past time when it may start now.
    #[must_use]
    pub fn next_start(&self) -> Instant {
        self.next_start
    }

    /// Records the start of a request.
    pub fn on_start(&mut self, now: Instant) {
        if let Some(rate) = self.starts_per_s() {
            self.next_start = now + Duration::from_secs(1) / rate;
        }
    }

    /// Takes in a finished request that started at `started`. Returns whether the target turned cold.
    pub fn on_feedback(&mut self, now: Instant, started: Instant, feedback: Feedback) -> bool {
        let was_cold = self.is_cold();
        match feedback {
            Feedback::Answered(took) if took <= self.slow_limit() => self.on_good(now, started),
            Feedback::Answered(_) => self.on_slow(now, started),
            Feedback::Refused => self.on_trouble(now, started),
            Feedback::Failed => self.on_failed(now, started),
        }
        !was_cold && self.is_cold()
    }

    /// Returns to the first step, for a new incarnation or a returning failure domain.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::cold(self.rule.clone(), now);
    }

    /// Applies a changed rule; a target in its ramp keeps its step where the new rule has it.
    pub fn set_rule(&mut self, rule: &ColdRamp) {
        if self.rule == *rule {
            return;
        }
        self.step = if self.is_cold() { self.step.min(rule.steps) } else { rule.steps + 1 };
        self.rule = rule.clone();
    }

    fn slow_limit(&self) -> Duration {
        Duration::from_millis(self.rule.slow_answer_ms)
    }

    fn step_length(&self) -> Duration {
        Duration::from_millis(self.rule.ramp_ms) / u32::from(self.rule.steps)
    }

    fn on_good(&mut self, now: Instant, started: Instant) {
        self.slow_run = 0;
        if !self.is_cold() || started < self.step_started {
            return;
        }
        if now.saturating_duration_since(self.step_started) >= self.step_length() {
            self.enter_step(now, self.step + 1);
        }
    }

    fn on_slow(&mut self, now: Instant, started: Instant) {
        self.slow_run = self.slow_run.saturating_add(1);
        if self.is_cold() || self.slow_run >= SLOW_RUN {
            self.on_trouble(now, started);
        }
    }

    /// A target that can't be reached has no answer in its favour, so the step begins again without
    /// being halved; a restarted process shows up as a new incarnation.
    fn on_failed(&mut self, now: Instant, started: Instant) {
        if self.is_cold() && started >= self.step_started {
            self.enter_step(now, self.step);
        }
    }

    /// Halves the step and starts it again. Requests that started before the step are the result of
    /// the earlier allowance and don't count twice.
    fn on_trouble(&mut self, now: Instant, started: Instant) {
        if started < self.step_started {
            return;
        }
        let current = self.step.min(self.rule.steps);
        self.enter_step(now, (current / 2).max(1));
    }

    fn enter_step(&mut self, now: Instant, step: u16) {
        self.step = step;
        self.step_started = now;
        self.slow_run = 0;
    }
}
