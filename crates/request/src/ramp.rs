//! Cold ramp of one target: limits concurrency and starts per second until the target has shown
//! that it can handle more. Only complete responses raise the allowance. Health and load endpoints
//! are not used, since they lag or mislead.

use comfreyhold_types::profile::ColdRamp;
use std::time::{Duration, Instant};

/// Consecutive slow responses after which a warm target is treated as cold. A single one may come
/// from a long request rather than from a cold target.
pub const SLOW_RUN_LIMIT: u8 = 3;

/// Result of a request, which shows whether its target can handle the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampFeedback {
    /// A complete response, with the time that it took.
    Answered(Duration),
    /// The target refused the request before running it.
    Refused,
    /// The target could not be reached or sent no complete response.
    Failed,
}

/// Allowance of one target, raised step by step while it is cold.
#[derive(Clone, Debug)]
pub struct Ramp {
    rule: ColdRamp,
    /// Current step, from 1; above `rule.steps` when warm.
    step: u16,
    step_started: Instant,
    consecutive_slow: u8,
    next_start: Instant,
}

impl Ramp {
    /// Starts cold, at the first step.
    #[must_use]
    pub fn cold(rule: ColdRamp, now: Instant) -> Self {
        let step = if rule.ramp_ms == 0 { rule.steps + 1 } else { 1 };
        Self { rule, step, step_started: now, consecutive_slow: 0, next_start: now }
    }

    /// Starts warm, for targets that were warm at an earlier dispatcher.
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

    /// Allowed starts per second, doubled with each step; `None` when unlimited.
    #[must_use]
    pub fn starts_per_s(&self) -> Option<u32> {
        let doublings = u32::from(self.step()?) - 1;
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        Some(self.rule.first_starts_per_s.max(1).saturating_mul(factor))
    }

    /// Earliest time of the next start; in the past when a request may start now.
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

    /// Applies the result of a request that started at `started`. Returns whether the target turned
    /// cold.
    pub fn on_feedback(&mut self, now: Instant, started: Instant, feedback: RampFeedback) -> bool {
        let was_cold = self.is_cold();
        match feedback {
            RampFeedback::Answered(took) if took <= self.slow_limit() => self.on_fast(now, started),
            RampFeedback::Answered(_) => self.on_slow(now, started),
            RampFeedback::Refused => self.on_overload(now, started),
            RampFeedback::Failed => self.on_failed(now, started),
        }
        !was_cold && self.is_cold()
    }

    /// Returns to the first step, for a new incarnation or a restored failure domain.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::cold(self.rule.clone(), now);
    }

    /// Applies a changed rule. A cold target keeps its step, as far as the new rule has that many.
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

    fn on_fast(&mut self, now: Instant, started: Instant) {
        self.consecutive_slow = 0;
        if !self.is_cold() || started < self.step_started {
            return;
        }
        if now.saturating_duration_since(self.step_started) >= self.step_length() {
            self.enter_step(now, self.step + 1);
        }
    }

    fn on_slow(&mut self, now: Instant, started: Instant) {
        self.consecutive_slow = self.consecutive_slow.saturating_add(1);
        if self.is_cold() || self.consecutive_slow >= SLOW_RUN_LIMIT {
            self.on_overload(now, started);
        }
    }

    /// Restarts the step without halving it, since no response shows that the target can handle the
    /// step. A restarted process shows up as a new incarnation.
    fn on_failed(&mut self, now: Instant, started: Instant) {
        if self.is_cold() && started >= self.step_started {
            self.enter_step(now, self.step);
        }
    }

    /// Halves the step and starts it anew. Requests that started before the current step were
    /// admitted by the earlier allowance and don't count again.
    fn on_overload(&mut self, now: Instant, started: Instant) {
        if started < self.step_started {
            return;
        }
        let current = self.step.min(self.rule.steps);
        self.enter_step(now, (current / 2).max(1));
    }

    fn enter_step(&mut self, now: Instant, step: u16) {
        self.step = step;
        self.step_started = now;
        self.consecutive_slow = 0;
    }
}
