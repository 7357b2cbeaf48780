//! Turns of large responses, so that those who start together don't all wait for the last one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of copies that may begin in each [`WINDOW`]. With copies of 90 KB (3,000 targets and 250 routes) that is
/// 7 MB/s, which half of a gigabit link carries many times.
const COPIES_PER_WINDOW: usize = 8;

const WINDOW: Duration = Duration::from_millis(100);

/// Longest wait for a turn. An entry gives a long poll up after 1.1 s, and the copy itself takes time too.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// When a copy may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// After this time; at once for zero.
    After(Duration),
    /// Not within the longest wait. The receiver is told so after this time, and asks again then.
    ComeAgain(Duration),
}

/// Assigns turns in the order of the requests. At most [`COPIES_PER_WINDOW`] begin in each [`WINDOW`], and at most
/// 32 requests wait.
#[derive(Debug, Default)]
pub struct CopyTurns {
    /// Times at which the newest copies begin or will begin, in order.
    begins: VecDeque<Instant>,
}

impl CopyTurns {
    /// Assigns a turn to a request. `jitter`, in [0, 1), varies the time after which others are told to come again, so
    /// that they don't return together.
    pub fn assign(&mut self, jitter: f64, now: Instant) -> Turn {
        let earliest = match self.begins.front() {
            Some(first) if self.begins.len() >= COPIES_PER_WINDOW => now.max(*first + WINDOW),
            _ => now,
        };
        let wait = earliest.saturating_duration_since(now);
        if wait > MAX_WAIT {
            return Turn::ComeAgain(MAX_WAIT.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0));
        }
        if self.begins.len() >= COPIES_PER_WINDOW {
            self.begins.pop_front();
        }
        self.begins.push_back(earliest);
        Turn::After(wait)
    }
}
