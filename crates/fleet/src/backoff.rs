//! Pauses after failed calls that would otherwise be repeated at once.

use std::time::{Duration, Instant};

/// Mean pause after the first failure. A restarted daemon accepts connections again after about that.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest mean pause, and the one after a refusal: a daemon of an older version refuses until it is replaced.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Pause before the next call to one daemon. It doubles with each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Whether a call may be made now.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Records a failed call. `jitter`, in [0, 1), varies the pause from half to one and a half times its mean, so
    /// that callers whose calls failed together don't return together. Returns the pause.
    pub fn record_failure(&mut self, is_refusal: bool, jitter: f64, now: Instant) -> Duration {
        let doublings = self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let mean = if is_refusal {
            LONGEST_PAUSE
        } else {
            FIRST_PAUSE.saturating_mul(1 << doublings).min(LONGEST_PAUSE)
        };
        let pause = mean.mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        self.until = Some(now + pause);
        pause
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}
