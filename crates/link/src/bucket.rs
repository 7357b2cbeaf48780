//! Token bucket that keeps packets below the rate of a link.

use std::time::{Duration, Instant};

/// Burst that may be sent at once. Shorter than a request's delay by its network, and long enough for a timer.
const BURST_TIME: Duration = Duration::from_millis(5);

/// A full packet of the fabric with its headers (1,270), rounded up, in bytes. On a thin link the burst is two of them.
const DATAGRAM_BYTES: f64 = 1_300.0;

/// Resolution of waits; a wait that is rounded down would end just before there is room.
const WAIT_STEP: Duration = Duration::from_micros(1);

/// Tokens in bytes, kept as the bytes that the link has not carried yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    backlog: f64,
    updated: Option<Instant>,
}

impl TokenBucket {
    /// Creates a full bucket with a rate in bytes per second.
    pub(crate) fn new(rate: f64) -> Self {
        Self { rate, backlog: 0.0, updated: None }
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate. What was sent before counts at the former one.
    pub(crate) fn set_rate(&mut self, rate: f64, now: Instant) {
        self.update(now);
        self.rate = rate;
    }

    /// Whether a packet may be sent now.
    pub(crate) fn has_room(&mut self, now: Instant) -> bool {
        self.update(now);
        self.backlog <= self.allowed_backlog()
    }

    /// Time until a packet may be sent.
    pub(crate) fn wait(&mut self, now: Instant) -> Duration {
        self.update(now);
        let excess = (self.backlog - self.allowed_backlog()).max(0.0);
        Duration::try_from_secs_f64(excess / self.rate).unwrap_or(Duration::MAX / 2) + WAIT_STEP
    }

    pub(crate) fn charge(&mut self, bytes: usize) {
        self.backlog += bytes as f64;
    }

    /// Takes back the charge for a packet that was not sent.
    pub(crate) fn refund(&mut self, bytes: usize) {
        self.backlog = (self.backlog - bytes as f64).max(0.0);
    }

    /// Backlog up to which a further packet stays within the burst.
    fn allowed_backlog(&self) -> f64 {
        let burst = (self.rate * BURST_TIME.as_secs_f64()).max(2.0 * DATAGRAM_BYTES);
        burst - DATAGRAM_BYTES
    }

    fn update(&mut self, now: Instant) {
        let since = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.backlog = (self.backlog - since.as_secs_f64() * self.rate).max(0.0);
        self.updated = self.updated.max(Some(now));
    }
}
