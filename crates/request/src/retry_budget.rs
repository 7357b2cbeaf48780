//! Retry budget: a token bucket that limits retries to a share of first tries, so that retries
//! can't multiply the load when targets fail.

use comfreyhold_types::profile::RetryRule;
use std::time::{Duration, Instant};

/// Cost of one retry in tokens. Chosen so that one percent of it and the floor's share of one
/// millisecond are whole numbers; rounding would lose tokens at every refill.
const RETRY_COST: u64 = 100_000;

/// Maximum number of retries that can accumulate; limits the burst after a quiet period.
const MAX_SAVED_RETRIES: u64 = 20;

/// Retry budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    tokens: u64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a budget that holds the retries of one second at the floor rate.
    #[must_use]
    pub fn new(rule: RetryRule, now: Instant) -> Self {
        let tokens = u64::from(rule.floor_per_s) * RETRY_COST;
        Self { rule, tokens, refilled_at: now }
    }

    /// Deposits the share of a retry that each first try earns.
    pub fn record_first_try(&mut self) {
        self.deposit(u64::from(self.rule.budget_percent) * (RETRY_COST / 100));
    }

    /// Withdraws one retry. Returns `false` when the budget is exhausted.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(rest) = self.tokens.checked_sub(RETRY_COST) else { return false };
        self.tokens = rest;
        true
    }

    fn refill(&mut self, now: Instant) {
        let floor = u64::from(self.rule.floor_per_s);
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let gained = millis.saturating_mul(floor).saturating_mul(RETRY_COST / 1_000);
        self.refilled_at += Duration::from_millis(millis);
        self.deposit(gained);
    }

    fn deposit(&mut self, tokens: u64) {
        let floor = u64::from(self.rule.floor_per_s);
        let limit = MAX_SAVED_RETRIES.max(floor) * RETRY_COST;
        self.tokens = self.tokens.saturating_add(tokens).min(limit);
    }
}
