//! Settings of a run: size of the deployment, load, and disturbance.

use crate::service_time::ServiceTime;
use bon::Builder;
use serde::Serialize;
use std::ops::Range;
use std::time::Duration;
use strum::{Display, EnumIter, EnumString};

/// Interval of the run during which no entry runs under [`Pattern::Outage`]. At its end all entries restart.
pub const OUTAGE: Range<Duration> = Duration::from_millis(10_000)..Duration::from_millis(11_500);

/// Disturbance of the steady load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Pattern {
    /// No disturbance.
    Steady,
    /// Twice the load for a fifth of the time.
    Burst,
    /// Half of the callers of one failure domain call from another one.
    Moved,
    /// A tenth of the targets respond to nothing.
    Dead,
    /// A tenth of the targets take four times as long for each request.
    Slow,
    /// All entries stop during [`OUTAGE`] and then restart without their state.
    Outage,
}

/// Settings of one emulated run.
#[derive(Clone, Debug, Serialize, Builder)]
pub struct Settings {
    /// Seed for all random choices.
    pub seed: u64,
    /// Number of entries, assigned to the failure domains in rotation.
    pub entries: usize,
    /// Number of targets, assigned to the failure domains in rotation.
    pub targets: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of requests that a target runs concurrently.
    #[builder(default = 2)]
    pub slots: u32,
    /// Maximum number of requests queued at a target; it refuses more.
    #[builder(default = 8)]
    pub queue: usize,
    /// Mean share of the slots that the steady load occupies.
    #[builder(default = 0.43)]
    pub utilisation: f64,
    /// Share of the requests that are sent on long flows.
    #[builder(default = 0.78)]
    pub long_share: f64,
    /// Requests per second on a long flow.
    #[builder(default = 1.0)]
    pub long_rate: f64,
    /// Distribution of the service time.
    #[builder(default = ServiceTime::LogNormal(28.0, 0.5))]
    pub work: ServiceTime,
    /// Latency objective of a request.
    #[builder(default = Duration::from_millis(150))]
    pub objective: Duration,
    /// Virtual duration of the load.
    #[builder(default = Duration::from_secs(30))]
    pub length: Duration,
    /// Disturbance of the steady load.
    #[builder(default = Pattern::Steady)]
    pub pattern: Pattern,
}

impl Settings {
    /// Requests per second of the steady load.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let mean_s = match self.work {
            ServiceTime::Constant(ms) | ServiceTime::Exponential(ms) => ms / 1_000.0,
            ServiceTime::LogNormal(median, sigma) => median * (sigma * sigma / 2.0).exp() / 1_000.0,
        };
        let slots = self.targets as f64 * f64::from(self.slots);
        slots * self.utilisation / mean_s
    }

    /// Whether all entries are down at this time of the run.
    #[must_use]
    pub fn is_outage(&self, at: Duration) -> bool {
        self.pattern == Pattern::Outage && OUTAGE.contains(&at)
    }

    /// Factor on the steady load at this time of the run.
    #[must_use]
    pub fn load_factor(&self, at: Duration) -> f64 {
        let elapsed_share = at.as_secs_f64() / self.length.as_secs_f64();
        if self.pattern == Pattern::Burst && (0.4..0.6).contains(&elapsed_share) {
            2.0
        } else {
            1.0
        }
    }
}
