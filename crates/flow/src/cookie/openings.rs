//! Retransmission schedule of openings, and which openings are deferred behind others in a surge.
//!
//! After a power failure every caller has unanswered openings. Their retransmissions arrive as soon as entries
//! have routes, several times as many as usual, at targets with two slots and a short queue. Without a deferral,
//! new requests would miss their objective because of requests that have already missed it.

use std::time::{Duration, Instant};

/// Times at which a caller sends an opening and its retransmissions, from the start of an attempt.
const SEND_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// Time from the first opening to the end of an unanswered attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Part of an attempt that is reserved for the target's answer: several round trips between failure domains.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// How long an opening is deferred in a surge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It is forwarded at once.
    None,
    /// It is dropped, and the caller's next retransmission takes its place.
    UntilRetransmission,
    /// It is forwarded after this time.
    For(Duration),
}

/// Time from the start of an attempt to a retransmission.
#[must_use]
pub fn send_time(copy: u32) -> Duration {
    let copy = usize::try_from(copy).unwrap_or(usize::MAX);
    SEND_TIMES[copy.min(SEND_TIMES.len() - 1)]
}

/// Time after which the caller sends the next retransmission, or abandons the attempt after the last one.
#[must_use]
pub fn retransmission_timeout(copy: u32) -> Duration {
    let next = copy.saturating_add(1);
    let end = if is_last(copy) { ATTEMPT_TIMEOUT } else { send_time(next) };
    end.saturating_sub(send_time(copy))
}

/// Whether the caller sends no further retransmission of the attempt.
#[must_use]
pub fn is_last(copy: u32) -> bool {
    usize::try_from(copy).map_or(true, |copy| copy + 1 >= SEND_TIMES.len())
}

/// A surge is a share of at least one retransmission among this many openings, retransmissions included. With a
/// fifth of the targets dead, which is no surge, one opening in six is a retransmission.
const OPENINGS_PER_RETRANSMISSION: u32 = 4;

/// Detects a surge of retransmissions in the time after an entry's first routes, in which retransmissions of
/// earlier openings arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surge {
    until: Option<Instant>,
    openings: u32,
    retransmissions: u32,
}

impl Surge {
    /// Starts the detection when the entry receives its first routes.
    #[must_use]
    pub fn starting_at(start: Instant) -> Self {
        Self { until: SEND_TIMES.last().map(|last| start + *last), ..Self::default() }
    }

    /// Decides how long to defer an opening that has already waited here for `waited`. Openings whose requests
    /// can still meet the latency objective go first.
    pub fn defer(
        &mut self,
        copy: u32,
        objective: Duration,
        waited: Duration,
        now: Instant,
    ) -> Deferral {
        let wait =
            retransmission_timeout(copy).saturating_sub(ANSWER_RESERVE).saturating_sub(waited);
        if self.until.is_none_or(|until| now >= until) || (is_last(copy) && wait.is_zero()) {
            return Deferral::None;
        }
        self.openings = self.openings.saturating_add(1);
        self.retransmissions = self.retransmissions.saturating_add(u32::from(copy > 0));
        let is_surge =
            self.retransmissions.saturating_mul(OPENINGS_PER_RETRANSMISSION) >= self.openings;
        if !is_surge || send_time(copy) < objective {
            Deferral::None
        } else if is_last(copy) {
            Deferral::For(wait)
        } else {
            Deferral::UntilRetransmission
        }
    }
}
