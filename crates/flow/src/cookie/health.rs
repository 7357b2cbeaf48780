//! Passive health of a target: whether it answers the flows that are opened on it.
//!
//! An entry sees only the callers' packets. A copy of an opening shows that the target did not answer in
//! time; the next packet of the flow shows that it did.

use std::time::{Duration, Instant};

/// First time for which a target that left an opening unanswered is passed over. One opening may be lost
/// on its way, so it is short against the second that an attempt lasts.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which a target is passed over. Trying it then costs one caller one copy of an opening.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// What a target's answers have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Openings without an answer since the last answer.
    unanswered: u32,
    avoid_until: Option<Instant>,
}

impl Health {
    /// An opening was not answered in time.
    pub fn failed(&mut self, now: Instant) {
        self.unanswered = self.unanswered.saturating_add(1);
        let doublings = self.unanswered.saturating_sub(1).min(8);
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings).min(LONGEST_PAUSE);
        self.avoid_until = Some(now + pause);
    }

    /// A caller has received something from the target.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Whether other targets are to be preferred now.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// A target that was suspect is tried by one opening at a time: the next ones wait for its answer.
    pub fn trying(&mut self, now: Instant) {
        if self.unanswered > 0 {
            self.avoid_until = Some(now + FIRST_PAUSE);
        }
    }
}
