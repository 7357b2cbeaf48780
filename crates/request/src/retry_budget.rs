//! Retry budget: a token bucket that ties retries to first tries, so that retries can't multiply load
//! when targets fail.

use comfreyhold_types::profile::RetryRule;
use std::time::{Duration, Instant};

/// Cost of one retry in tokens, fine enough that a percent of it and the floor's share of a millisecond
/// are whole numbers; rounding would lose tokens at every refill.
const RETRY_COST: u64 = 100_000;

/// Retries that can be saved up; bounds the burst after a quiet period.
const MAX_SAVED_RETRIES: u64 = 20;

/// Retry budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    tokens: u64,
    refilled: Instant,
}

impl RetryBudget {
    /// Creates a budget that holds the floor of one second.
    #[must_use]
    pub fn new(rule: RetryRule, now: Instant) -> Self {
        let tokens = u64::from(rule.floor_per_s) * RETRY_COST;
        Self { rule, tokens, refilled: now }
    }

    /// Deposits the share of one first try.
    pub fn on_first_try(&mut self) {
        self.deposit(u64::from(self.rule.budget_percent) * (RETRY_COST / 100));
    }

    /// Withdraws one retry. `false` means that the budget is spent.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(rest) = self.tokens.checked_sub(RETRY_COST) else { return false };
        self.tokens = rest;
        true
    }

    fn refill(&mut self, now: Instant) {
        let floor = u64::from(self.rule.floor_per_s);
        let elapsed = now.saturating_duration_since(self.refilled);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let gained = millis.saturating_mul(floor).saturating_mul(RETRY_COST / 1_000);
        self.refilled += Duration::from_millis(millis);
        self.deposit(gained);
    }

    fn deposit(&mut self, tokens: u64) {
        let floor = u64::from(self.rule.floor_per_s);
        let limit = MAX_SAVED_RETRIES.max(floor) * RETRY_COST;
        self.tokens = self.tokens.saturating_add(tokens).min(limit);
    }
}
