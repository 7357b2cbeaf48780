//! Whether a control daemon still learns what is declared.
//!
//! A daemon that is cut off from the majority goes on answering entries. It would leave them with old routes and withdrawals
//! for as long as the cut lasts, so it tells them, and they turn to another one.

use comfreyhold_consensus::register::Ballot;
use std::time::{Duration, Instant};

/// Time for which a majority of the voters counts as heard after it was last found within the heartbeat timeout. It covers
/// two checks, so that one late heartbeat changes nothing.
const MAJORITY_HELD_FOR: Duration = Duration::from_millis(900);

/// Time after which a daemon that has heard of newer declarations, and could not fetch them, counts as behind. A fetch takes
/// a tenth of that with the largest value.
const BEHIND_AFTER: Duration = Duration::from_millis(2_400);

/// Contact of a daemon with those that decide what is declared.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    /// When a majority of the voters was last found to be heard.
    majority_at: Instant,
    /// Newest ballot that another daemon has named as chosen.
    named: Ballot,
    /// Since when a ballot is named that this daemon lacks.
    behind_since: Option<Instant>,
}

impl Contact {
    /// Creates the state of a daemon that starts now. The others have the time of a heartbeat timeout to
    /// answer.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let majority_at = now + super::PEER_TIMEOUT;
        Self { majority_at, named: Ballot::default(), behind_since: None }
    }

    /// Records whether a majority of the voters is heard.
    pub fn record_majority(&mut self, is_heard: bool, now: Instant) {
        if is_heard {
            self.majority_at = self.majority_at.max(now);
        }
    }

    /// Records that another daemon names a ballot as chosen, while this one has learned `learned`.
    pub fn record_named(&mut self, ballot: Ballot, learned: Ballot, now: Instant) {
        self.named = self.named.max(ballot);
        if self.named > learned {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that a ballot was learned. A daemon that still lacks a newer one is behind from now on.
    pub fn record_learned(&mut self, learned: Ballot, now: Instant) {
        self.behind_since = (self.named > learned).then_some(now);
    }

    /// Whether the daemon learns new declarations.
    #[must_use]
    pub fn is_informed(&self, now: Instant) -> bool {
        let is_behind = self.behind_since.is_some_and(|since| now >= since + BEHIND_AFTER);
        now < self.majority_at + MAJORITY_HELD_FOR && !is_behind
    }
}
