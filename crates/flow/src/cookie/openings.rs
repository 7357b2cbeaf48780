//! When callers send the copies of an opening, and which openings wait behind others.
//!
//! Pattern: after a loss of power every caller has openings that nobody has answered. Their copies come in the
//! first moment in which entries have routes, several times as many as usual, to targets with two slots and a
//! short queue: requests that are new would be late because of requests that are late anyway.

use std::time::{Duration, Instant};

/// Time from an opening to each of its copies.
const COPY_AGES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// Time from an opening to the end of the attempt if nobody answers.
const ATTEMPT: Duration = Duration::from_millis(1_400);

/// Time that is left of an attempt for the answer of the target: several round trips between domains.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(200);

/// What becomes of an opening in the surge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is passed on at once.
    Now,
    /// Its caller sends another copy, which takes its place.
    NextCopy,
    /// It is passed on after this time.
    After(Duration),
}

/// Time since the first opening of an attempt when a copy is sent.
#[must_use]
pub fn age(copy: u32) -> Duration {
    let copy = usize::try_from(copy).unwrap_or(usize::MAX);
    COPY_AGES[copy.min(COPY_AGES.len() - 1)]
}

/// Time after which the caller sends the next copy, or gives up after the last one.
#[must_use]
pub fn patience(copy: u32) -> Duration {
    let next = copy.saturating_add(1);
    let end = if is_last(copy) { ATTEMPT } else { age(next) };
    end.saturating_sub(age(copy))
}

fn is_last(copy: u32) -> bool {
    usize::try_from(copy).map_or(true, |copy| copy + 1 >= COPY_AGES.len())
}

/// Openings, copies included, among which one copy shows a surge. With a fifth of the targets dead, which is none,
/// one of six is a copy.
const OPENINGS_PER_COPY: u32 = 4;

/// The time after an entry's first routes in which copies come of openings that were sent before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surge {
    until: Option<Instant>,
    openings: u32,
    copies: u32,
}

impl Surge {
    /// A surge that may begin with the first routes.
    #[must_use]
    pub fn from(start: Instant) -> Self {
        Self { until: COPY_AGES.last().map(|last| start + *last), ..Self::default() }
    }

    /// What becomes of an opening that has waited here for some time, for requests with a latency objective.
    /// Openings whose requests can still be in time come first.
    pub fn turn(&mut self, copy: u32, objective: Duration, waited: Duration, now: Instant) -> Turn {
        let wait = patience(copy).saturating_sub(ANSWER_ALLOWANCE).saturating_sub(waited);
        if self.until.is_none_or(|until| now >= until) || (is_last(copy) && wait.is_zero()) {
            return Turn::Now;
        }
        self.openings = self.openings.saturating_add(1);
        self.copies = self.copies.saturating_add(u32::from(copy > 0));
        let is_surge = self.copies.saturating_mul(OPENINGS_PER_COPY) >= self.openings;
        if !is_surge || age(copy) < objective {
            Turn::Now
        } else if is_last(copy) {
            Turn::After(wait)
        } else {
            Turn::NextCopy
        }
    }
}
