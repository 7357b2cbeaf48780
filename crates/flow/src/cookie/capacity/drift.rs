//! Finds a target that has become slow, as soon as enough of its answers say so.
//!
//! A cumulative sum (CUSUM) of how far the answers lie above what chance explains: it starts anew with each run of usual
//! answers, and a handful of slow ones in a row carry it over its limit. Means over the last seconds, which hold the answers
//! of the time before, take twice as long.

use super::learned::{MAX_RATIO, Reference};

/// Slowdown that the sum leaves out, as a factor on the answer time. Smaller ones show in the means.
const LEAST_SLOWDOWN: f64 = 2.0;

/// Deviation that the sum leaves out, and limit of the sum, in standard deviations of one answer. An even target exceeds
/// the limit once in exp(2 x 1.5 x 5) = 3 million answers, if they are independent.
const ALLOWANCE: f64 = 1.5;
const LIMIT: f64 = 5.0;

/// Cumulative sum of a target's answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drift {
    sum: f64,
    /// What answers are compared with; `None` before the first comparison of the service.
    reference: Option<Reference>,
}

impl Drift {
    /// Adds answers and failures with the mean of their ratios.
    pub(super) fn add(&mut self, samples: f64, mean: f64) {
        let Some(Reference { median, spread, .. }) = self.reference else { return };
        if samples <= 0.0 || mean <= 0.0 || median <= 0.0 {
            return;
        }
        let allowance = LEAST_SLOWDOWN.ln().max(ALLOWANCE * log_spread(spread));
        let deviation = (mean.min(MAX_RATIO) / median).ln();
        self.sum = (self.sum + samples * (deviation - allowance)).max(0.0);
    }

    /// Mean ratio that a failure is a multiple of.
    pub(super) fn base(&self) -> f64 {
        self.reference.map_or(1.0, |reference| reference.base)
    }

    /// Whether the answers can't be explained by chance.
    pub(super) fn is_over_limit(&self) -> bool {
        self.reference.is_some_and(|reference| self.sum > LIMIT * log_spread(reference.spread))
    }

    /// Follows the reference, and starts anew for a target that counts as slow already.
    pub(super) fn follow(&mut self, reference: &Reference, is_slow: bool) {
        self.reference = Some(*reference);
        if is_slow {
            self.sum = 0.0;
        }
    }
}

/// Standard deviation of the logarithm of a ratio whose deviation is this share of its mean, for ratios that are
/// distributed log-normally.
fn log_spread(spread: f64) -> f64 {
    (1.0 + spread * spread).ln().sqrt()
}
