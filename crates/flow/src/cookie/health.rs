//! Passive health check of a target: whether it answers openings.
//!
//! An entry sees only the callers' packets. A retransmitted opening shows that the target did not answer
//! in time; the next packet of the flow shows that it did.

use std::time::{Duration, Instant};

/// Time for which a target is avoided after its first unanswered opening. The opening may have been lost
/// on the network, so the time is short compared with the second that an attempt lasts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest time for which a target is avoided. Trying a dead target after it costs one caller one
/// retransmission.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Health of a target, with exponential backoff while it does not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Unanswered openings since the last answer.
    unanswered: u32,
    avoid_until: Option<Instant>,
}

impl Health {
    /// Records that an opening was not answered in time.
    pub fn record_failure(&mut self, now: Instant) {
        self.unanswered = self.unanswered.saturating_add(1);
        let doublings = self.unanswered.saturating_sub(1).min(8);
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        self.avoid_until = Some(now + backoff);
    }

    /// Records that a caller has received a packet from the target.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Whether other targets are preferred now.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Number of unanswered openings since the last answer.
    #[must_use]
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Time for which other targets are still preferred; 0 if they are not.
    #[must_use]
    pub fn avoided_for(&self, now: Instant) -> Duration {
        self.avoid_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that an opening is sent. A target that has not answered since its last failure stays
    /// suspect meanwhile, so that only one opening at a time tries it.
    pub fn record_attempt(&mut self, now: Instant) {
        if self.unanswered > 0 {
            self.avoid_until = Some(now + INITIAL_BACKOFF);
        }
    }
}
