//! Pauses in which a process read no messages, because it was suspended or got no processor time.
//!
//! A call that is read after a pause may have arrived at its beginning, and its caller may have given up since.

use std::time::{Duration, Instant};

/// Longest time after a pause until the calls that arrived in it are read.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(1);

/// A time in which no activity was observed.
#[derive(Clone, Copy, Debug)]
struct Pause {
    length: Duration,
    ended: Instant,
}

impl Pause {
    /// Whether calls that arrived in the pause may still be unread. Reading them takes about as long as the pause,
    /// and [`MAX_BACKLOG_TIME`] at most.
    fn has_backlog(&self, now: Instant) -> bool {
        now < self.ended + self.length.min(MAX_BACKLOG_TIME)
    }
}

/// Observes the activity of a process.
#[derive(Clone, Copy, Debug)]
pub struct StallMonitor {
    last_active: Instant,
    /// The longest pause whose backlog may not be read yet.
    pause: Pause,
}

impl StallMonitor {
    /// Creates a monitor of a process that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { last_active: now, pause: Pause { length: Duration::ZERO, ended: now } }
    }

    /// Records that the process is active. Must be called before each call is handled. Returns the time since the
    /// last activity.
    pub fn observe(&mut self, now: Instant) -> Duration {
        let length = now.saturating_duration_since(self.last_active);
        self.last_active = now;
        if length >= self.pause.length || !self.pause.has_backlog(now) {
            self.pause = Pause { length, ended: now };
        }
        length
    }

    /// Returns when a call that is read now may have arrived at the earliest.
    #[must_use]
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let since_active = now.saturating_duration_since(self.last_active);
        let pause = if self.pause.has_backlog(now) { self.pause.length } else { Duration::ZERO };
        now.checked_sub(pause.max(since_active)).unwrap_or(now)
    }
}
