//! What callers ask for.

use crate::service_time::ServiceTime;
use bon::Builder;
use serde::Serialize;
use std::ops::Range;
use std::time::Duration;
use strum::{Display, EnumIter, EnumString};

/// Times at which the entries stop and start anew in the pattern `Outage`.
pub const OUTAGE: Range<Duration> = Duration::from_millis(10_000)..Duration::from_millis(11_500);

/// What happens beside the steady load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Pattern {
    /// Nothing.
    Steady,
    /// Twice the load for a fifth of the time.
    Burst,
    /// Half of the callers of one domain call from another one.
    Moved,
    /// A tenth of the targets answer nothing.
    Dead,
    /// A tenth of the targets take four times as long.
    Slow,
    /// All entries stand still for a moment and start anew.
    Outage,
}

/// Settings of a run.
#[derive(Clone, Debug, Serialize, Builder)]
pub struct Settings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Entries, spread over the domains in turn.
    pub entries: usize,
    /// Targets, spread over the domains in turn.
    pub targets: usize,
    /// Failure domains.
    pub domains: usize,
    /// Requests that a target runs at once.
    #[builder(default = 2)]
    pub slots: u32,
    /// Requests that wait at a target; more are refused.
    #[builder(default = 8)]
    pub queue: usize,
    /// Share of the slots that the steady load uses.
    #[builder(default = 0.43)]
    pub utilisation: f64,
    /// Share of the requests that come on long flows.
    #[builder(default = 0.78)]
    pub long_share: f64,
    /// Requests a second on a long flow.
    #[builder(default = 1.0)]
    pub long_rate: f64,
    /// Time that a request takes.
    #[builder(default = ServiceTime::LogNormal(28.0, 0.5))]
    pub work: ServiceTime,
    /// Time within which a request should be answered.
    #[builder(default = Duration::from_millis(150))]
    pub objective: Duration,
    /// Length of the run.
    #[builder(default = Duration::from_secs(30))]
    pub length: Duration,
    /// What happens beside the steady load.
    #[builder(default = Pattern::Steady)]
    pub pattern: Pattern,
}

impl Settings {
    /// Requests a second of the steady load.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let mean_s = match self.work {
            ServiceTime::Constant(ms) | ServiceTime::Exponential(ms) => ms / 1_000.0,
            ServiceTime::LogNormal(median, sigma) => median * (sigma * sigma / 2.0).exp() / 1_000.0,
        };
        let slots = self.targets as f64 * f64::from(self.slots);
        slots * self.utilisation / mean_s
    }

    /// Whether no entry runs at a time.
    #[must_use]
    pub fn is_out(&self, at: Duration) -> bool {
        self.pattern == Pattern::Outage && OUTAGE.contains(&at)
    }

    /// Factor of the load at a time.
    #[must_use]
    pub fn factor(&self, at: Duration) -> f64 {
        let share = at.as_secs_f64() / self.length.as_secs_f64();
        if self.pattern == Pattern::Burst && (0.4..0.6).contains(&share) { 2.0 } else { 1.0 }
    }
}
