//! Room that is kept for the highest priority of a service with several.
//!
//! Requests on open flows are never held up and may use the whole limit, while a request of the highest priority often
//! needs an opening. What that priority is expected to ask for is kept free of other openings. Its demand is learned
//! from its openings at this entry, whatever was decided about them, and from the time that its requests are in flight.

use std::time::{Duration, Instant};

/// Interval in which openings are counted.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time constant for demand and time in flight: a wrong estimate is corrected within a second.
const SMOOTHING: Duration = Duration::from_millis(300);

/// Highest part of the limit that is kept, and that the highest priority may use however many other requests are in
/// flight. With half of the limit, targets refuse up to 1.6 times as much where requests on open flows fill their queues.
const MAX_PART: f64 = 0.35;

/// Requests in flight, as a factor on the limit, up to which the highest priority may use more than [`MAX_PART`]. Without a
/// ceiling it fills the queues that requests on open flows have left, and targets refuse two to three times as much.
const CEILING: f64 = 1.4;

/// Part of the limit that the other priorities may use while they wait, however much the highest one asks for. With the
/// whole limit for the highest priority, it makes every fifth request theirs.
const PART_OF_OTHERS: f64 = 0.25;

/// Demand of the highest priority at one entry.
#[derive(Clone, Debug)]
pub(super) struct Reserve {
    started: Instant,
    /// First copies of openings, and openings admitted, in the interval.
    openings: u32,
    admitted: u32,
    /// Sum of the samples of requests in flight in the interval, and their number.
    in_flight_sum: f64,
    samples: u32,
    /// Smoothed means, a second and in requests.
    openings_per_s: f64,
    admitted_per_s: f64,
    in_flight: f64,
}

/// Requests in flight of a service, and the limit on them.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub limit: f64,
    /// All requests, and those of the highest priority.
    pub all: f64,
    pub top: f64,
}

impl Reserve {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started: now,
            openings: 0,
            admitted: 0,
            in_flight_sum: 0.0,
            samples: 0,
            openings_per_s: 0.0,
            admitted_per_s: 0.0,
            in_flight: 0.0,
        }
    }

    /// Counts the first copy of an opening of the highest priority.
    pub(super) fn record_opening(&mut self) {
        self.openings += 1;
    }

    /// Counts an opening of the highest priority that is forwarded.
    pub(super) fn record_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Takes a sample of the requests in flight of the highest priority, and ends the interval if it is over.
    pub(super) fn record_in_flight(&mut self, in_flight: f64, now: Instant) {
        self.in_flight_sum += in_flight;
        self.samples += 1;
        let length = now.saturating_duration_since(self.started);
        if length < INTERVAL {
            return;
        }
        let weight = 1.0 - (-length.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        let per_s = |count: u32| f64::from(count) / length.as_secs_f64();
        self.openings_per_s += (per_s(self.openings) - self.openings_per_s) * weight;
        self.admitted_per_s += (per_s(self.admitted) - self.admitted_per_s) * weight;
        let mean = self.in_flight_sum / f64::from(self.samples.max(1));
        self.in_flight += (mean - self.in_flight) * weight;
        (self.openings, self.admitted, self.in_flight_sum, self.samples) = (0, 0, 0.0, 0);
        self.started = now;
    }

    /// Requests of the highest priority that are expected in flight; `usual` is the usual answer time.
    pub(super) fn expected(&self, usual: Duration) -> f64 {
        let hold = if self.admitted_per_s > 0.0 && self.in_flight > 0.0 {
            self.in_flight / self.admitted_per_s
        } else {
            usual.as_secs_f64()
        };
        self.openings_per_s * hold
    }

    /// Requests that are kept free for the highest priority: those expected that are not in flight yet.
    pub(super) fn kept(&self, in_flight: InFlight, usual: Duration) -> f64 {
        let expected = self.expected(usual).min(in_flight.limit * MAX_PART);
        (expected - in_flight.top).max(0.0)
    }
}

impl InFlight {
    /// Requests of the highest priority that may be added: up to the whole limit beside a few others.
    pub(super) fn free_for_top(self) -> f64 {
        let ceiling = self.limit * CEILING - self.all;
        (self.limit - self.top).min(ceiling.max(self.limit * MAX_PART - self.top))
    }

    /// Requests of other priorities that may be added beside a reserve.
    pub(super) fn free_for_others(self, kept: f64) -> f64 {
        let others = (self.all - self.top).max(0.0);
        (self.limit - self.all - kept).max(self.limit * PART_OF_OTHERS - others)
    }
}
