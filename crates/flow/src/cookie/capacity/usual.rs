//! Usual answer of a route: its work time and its size.
//!
//! The work time is gathered in windows of at most [`WINDOW_SAMPLES`] samples. The usual one is the lower quartile
//! of the medians of the last windows: a median passes over a third of slow targets, and the quartile over a surge
//! that lasts for less than three quarters of the history.

use comfreyhold_types::routes::RouteTable;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Samples in a window, and those without which the usual answer is unknown.
const WINDOW_SAMPLES: usize = 16;

/// Shortest time from one window to the next. With [`WINDOWS`] it makes a history of 16 s, of which a burst of some
/// seconds is less than three quarters.
const WINDOW_INTERVAL: Duration = Duration::from_millis(500);

/// Windows whose medians are kept.
const WINDOWS: usize = 32;

/// Weight of the newest answer in the usual size.
const SIZE_WEIGHT: f64 = 0.05;

/// An answer whose work took less than this share of the usual time is quick. The round trip of the flow is not
/// part of the work, so that a refusal takes next to no time.
const QUICK_SHARE: f64 = 0.25;

/// A quick answer with less than this share of the usual size is a refusal.
const REFUSAL_SIZE_SHARE: f64 = 0.4;

/// A quick answer with less than this share of the usual size is a refusal too, if answers of the usual size are
/// hardly ever quick.
const DOUBTFUL_SIZE_SHARE: f64 = 0.8;

/// Answers of the usual size are hardly ever quick if less than this share of them is.
const HARDLY_EVER: f64 = 0.1;

/// Weight of the newest answer in the share of quick ones.
const QUICK_WEIGHT: f64 = 0.02;

/// A handshake counts as the round trip up to this multiple of the usual one. Longer ones waited for a full link or
/// for a caller that had no request yet.
const MAX_ROUND_TRIP_RATIO: f64 = 2.0;

/// Answers that show only with the next request or the end of the flow, up to which share the others show at once.
const MAX_HIDDEN_SHARE: f64 = 0.05;

/// Weight of the newest answer in the share of hidden ones.
const HIDDEN_WEIGHT: f64 = 0.02;

/// Shortest usual work time, in seconds. Below it, the scheduling of processes decides about the ratio.
const MIN_USUAL_SECONDS: f64 = 0.001;

/// Maximum number of routes whose usual answers are kept; nothing is learned from the answers of further ones.
const MAX_ROUTES: usize = 4_096;

/// What an answer says about its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerKind {
    /// The target has worked on the request for this multiple of the usual time.
    Served(f64),
    /// The target has refused the request.
    Refused,
}

/// Usual answer of one route.
#[derive(Clone, Debug, Default)]
pub struct UsualAnswer {
    /// Work times of the current window, in seconds.
    window: Vec<f32>,
    window_start: Option<Instant>,
    /// Medians of the last windows, in seconds.
    medians: VecDeque<f32>,
    /// Lower quartile of the medians, in seconds; `None` while it is unknown.
    seconds: Option<f64>,
    bytes: f64,
    /// Share of quick answers among those of the usual size.
    quick_share: f64,
    /// Slowly following, low estimate of the round trip, in seconds.
    round_trip: f64,
    /// Share of answers that showed at once.
    visible_share: f64,
}

impl UsualAnswer {
    /// Work time of a request whose answer showed after `took` on a flow with this handshake. Both contain the
    /// round trip.
    #[must_use]
    pub fn work_time(&self, took: Duration, handshake: Duration) -> f64 {
        took.saturating_sub(self.round_trip(handshake)).as_secs_f64()
    }

    /// Round trip of a flow with this handshake.
    #[must_use]
    pub fn round_trip(&self, handshake: Duration) -> Duration {
        handshake.min(Duration::from_secs_f64(self.round_trip * MAX_ROUND_TRIP_RATIO))
    }

    /// Records whether an answer showed as soon as the caller had received it.
    pub fn record_visibility(&mut self, is_visible: bool) {
        let visible = if is_visible { 1.0 } else { 0.0 };
        self.visible_share += (visible - self.visible_share) * HIDDEN_WEIGHT;
    }

    /// Whether answers show as soon as callers have received them, so that a request without one is still running.
    #[must_use]
    pub fn is_visible(&self) -> bool {
        self.visible_share >= 1.0 - MAX_HIDDEN_SHARE
    }

    /// Usual work time, in seconds; `None` while it is unknown.
    #[must_use]
    pub fn seconds(&self) -> Option<f64> {
        self.seconds
    }

    /// Records the handshake of a flow. The estimate falls at once by half of the difference and rises slowly.
    pub fn record_handshake(&mut self, handshake: Duration) {
        let seconds = handshake.as_secs_f64();
        let weight = if seconds < self.round_trip { 0.5 } else { 0.02 };
        let is_first = self.round_trip == 0.0;
        self.round_trip += (seconds - self.round_trip) * if is_first { 1.0 } else { weight };
    }

    /// Tells refusals from answers; `None` while the usual answer is unknown.
    #[must_use]
    pub fn classify(&self, work: f64, bytes: u32) -> Option<AnswerKind> {
        let ratio = work / self.seconds?;
        let size = f64::from(bytes) / self.bytes.max(1.0);
        let is_short = size < REFUSAL_SIZE_SHARE
            || (size < DOUBTFUL_SIZE_SHARE && self.quick_share < HARDLY_EVER);
        let is_refused = ratio < QUICK_SHARE && is_short;
        Some(if is_refused { AnswerKind::Refused } else { AnswerKind::Served(ratio) })
    }

    /// Records an answer that is no refusal.
    pub fn record(&mut self, work: f64, bytes: u32, now: Instant) {
        let is_first = self.seconds.is_none() && self.window.is_empty();
        let weight = if is_first { 1.0 } else { SIZE_WEIGHT };
        self.bytes += (f64::from(bytes) - self.bytes) * weight;
        if let Some(usual) = self.seconds
            && f64::from(bytes) >= self.bytes * DOUBTFUL_SIZE_SHARE
        {
            let quick = if work < usual * QUICK_SHARE { 1.0 } else { 0.0 };
            self.quick_share += (quick - self.quick_share) * QUICK_WEIGHT;
        }
        let start = *self.window_start.get_or_insert(now);
        if self.window.len() < WINDOW_SAMPLES {
            self.window.push(work as f32);
        }
        let is_over = self.seconds.is_none() || now >= start + WINDOW_INTERVAL;
        if self.window.len() < WINDOW_SAMPLES || !is_over {
            return;
        }
        if self.medians.len() >= WINDOWS {
            self.medians.pop_front();
        }
        self.medians.push_back(quantile(&mut self.window, 2));
        self.window.clear();
        self.window_start = Some(now);
        let mut medians: Vec<f32> = self.medians.iter().copied().collect();
        let usual = f64::from(quantile(&mut medians, 4));
        self.seconds = Some(usual.max(MIN_USUAL_SECONDS));
    }
}

/// Value below which one in `part` of the values lies; 0 without values.
fn quantile(values: &mut [f32], part: usize) -> f32 {
    values.sort_by(f32::total_cmp);
    values.get(values.len().saturating_sub(1) / part).copied().unwrap_or_default()
}

/// Usual answers of all routes, by service address.
#[derive(Debug, Default)]
pub struct UsualAnswers(BTreeMap<SocketAddrV4, UsualAnswer>);

impl UsualAnswers {
    /// Usual answer of a route; `None` if nothing is known of it.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&UsualAnswer> {
        self.0.get(&address)
    }

    /// Usual answer of a route; `None` if too many routes are known already.
    pub fn get_mut(&mut self, address: SocketAddrV4) -> Option<&mut UsualAnswer> {
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(&address) {
            return None;
        }
        Some(self.0.entry(address).or_default())
    }

    /// Forgets routes that the declarations no longer name.
    pub fn forget_removed(&mut self, table: &RouteTable) {
        self.0.retain(|address, _| table.routes.contains_key(address));
    }
}
