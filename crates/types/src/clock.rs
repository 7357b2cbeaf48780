//! The [`Clock`] trait and its implementations. Decision cores receive the time as an argument and never
//! read a clock.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and leases.
    fn now(&self) -> Instant;

    /// Wall-clock time, for logs and the hybrid logical clock.
    fn wall(&self) -> SystemTime;

    /// Wall-clock time in milliseconds since the Unix epoch; 0 for an earlier time.
    fn wall_millis(&self) -> u64 {
        let since_epoch = self.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The monotonic and wall clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock of the operating system whose monotonic time includes the time in which the system was suspended.
/// Otherwise the leases and deadlines of a suspended process would outlast those of all other processes.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    boot_time_at_start: Duration,
}

impl BootClock {
    /// Creates a clock that starts at the present [`Instant`].
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now(), boot_time_at_start: time_since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + time_since_boot().saturating_sub(self.boot_time_at_start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}

/// A clock that only [`ManualClock::advance`] moves, for tests and simulations. Its wall-clock time starts
/// at the Unix epoch.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock at elapsed time zero.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the monotonic and the wall-clock time forward.
    pub fn advance(&self, by: Duration) {
        *self.lock() += by;
    }

    /// Time since the clock was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        *self.lock()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Duration> {
        self.elapsed.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed()
    }
}
