//! Signs after which an entry reports its load before its next interval.
//!
//! A burst fills the queues of all targets within some 200 ms, less than an interval of reports. What shows first is that
//! far more requests are in flight through an entry than usual, then that full targets refuse some.

use std::time::{Duration, Instant};

/// Least time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Window in which refusals are counted.
const WINDOW: Duration = Duration::from_millis(100);

/// Refusals in the window that are a sign, and responses for each refusal beyond which they are none.
const MIN_REFUSALS: u32 = 2;
const RESPONSES_PER_REFUSAL: u32 = 20;

/// Time constant of the usual number of requests in flight, and time in which it is not known yet.
const USUAL_PERIOD: Duration = Duration::from_secs(5);
const MIN_USUAL_PERIOD: Duration = Duration::from_millis(500);

/// Requests in flight above the usual number that don't come by chance: six standard deviations of a Poisson
/// distribution, and a few more for small numbers.
const DEVIATIONS: f64 = 6.0;
const MIN_EXCESS: f64 = 4.0;

/// Factor on the load of the last report from which that report no longer tells the present.
const RISE_SINCE_REPORT: f64 = 1.25;

/// Usual number of requests in flight through the entry.
#[derive(Clone, Copy, Debug)]
struct Usual {
    since: Instant,
    until: Instant,
    mean: f64,
}

/// Signs of an overload that begins.
#[derive(Debug, Default)]
pub(super) struct EarlySigns {
    window_start: Option<Instant>,
    responses: u32,
    refusals: u32,
    usual: Option<Usual>,
    in_flight: f64,
    /// Time of the last report and the requests in flight then.
    reported: Option<(Instant, f64)>,
    /// Whether entries have begun to share their load since.
    is_told: bool,
}

impl EarlySigns {
    /// Records the response of a target.
    pub(super) fn record_response(&mut self, is_refusal: bool, now: Instant) {
        let is_current =
            |start: Instant| now.saturating_duration_since(start) < WINDOW && start <= now;
        if !self.window_start.is_some_and(is_current) {
            (self.window_start, self.responses, self.refusals) = (Some(now), 0, 0);
        }
        self.responses = self.responses.saturating_add(1);
        self.refusals = self.refusals.saturating_add(u32::from(is_refusal));
    }

    /// Records the requests in flight through the entry.
    pub(super) fn record_in_flight(&mut self, in_flight: f64, now: Instant) {
        self.in_flight = in_flight;
        let usual = self.usual.get_or_insert(Usual { since: now, until: now, mean: in_flight });
        let step = now.saturating_duration_since(usual.until).as_secs_f64();
        let known = now.saturating_duration_since(usual.since).min(USUAL_PERIOD).as_secs_f64();
        if known > 0.0 {
            usual.mean += (in_flight - usual.mean) * (step / known).min(1.0);
        }
        usual.until = now;
    }

    /// Records that a report was taken.
    pub(super) fn record_report(&mut self, now: Instant) {
        self.reported = Some((now, self.in_flight));
        self.is_told = false;
    }

    /// Records that entries begin to share their load.
    pub(super) fn record_told(&mut self) {
        self.is_told = true;
    }

    /// Whether the last report is old enough for another one, which would otherwise state a few openings as a rate.
    pub(super) fn may_report(&self, now: Instant) -> bool {
        self.reported.is_none_or(|(at, _)| now.saturating_duration_since(at) >= MIN_INTERVAL)
    }

    /// Whether entries have begun to share their load since the last report.
    pub(super) fn is_told(&self) -> bool {
        self.is_told
    }

    /// Whether there are signs of an overload that the last report does not tell.
    pub(super) fn has_signs(&self, now: Instant) -> bool {
        let last = self.reported.map_or(0.0, |(_, in_flight)| in_flight);
        let has_risen = self.is_above_usual(now) && self.in_flight >= last * RISE_SINCE_REPORT;
        has_risen || self.has_refusals(now)
    }

    fn has_refusals(&self, now: Instant) -> bool {
        let is_recent = self
            .window_start
            .is_some_and(|start| now.saturating_duration_since(start) < 2 * WINDOW);
        is_recent
            && self.refusals >= MIN_REFUSALS
            && self.refusals.saturating_mul(RESPONSES_PER_REFUSAL) >= self.responses
    }

    /// Whether far more requests are in flight than usual.
    fn is_above_usual(&self, now: Instant) -> bool {
        self.usual.is_some_and(|usual| {
            let is_known = now.saturating_duration_since(usual.since) >= MIN_USUAL_PERIOD;
            let excess = DEVIATIONS * usual.mean.max(0.0).sqrt() + MIN_EXCESS;
            is_known && self.in_flight > usual.mean + excess
        })
    }
}
