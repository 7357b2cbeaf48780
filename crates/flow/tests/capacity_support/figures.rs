//! Scenarios and sizes of a play, the ways to place that are compared, and the figures of a play.

use std::time::Duration;
use strum::{Display, EnumIter};

/// Windows in which arrivals are counted.
pub const WINDOW: Duration = Duration::from_millis(250);

/// When the disturbed third of the targets changes for the first time, and the interval of further changes.
pub const CHANGE: Duration = Duration::from_secs(4);
pub const CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Length of a play.
pub const LENGTH: Duration = Duration::from_millis(11_500);

/// How openings are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum Way {
    #[strum(to_string = "announced slots")]
    Announced,
    #[strum(to_string = "mean time")]
    MeanTime,
    #[strum(to_string = "gradient")]
    Gradient,
    #[strum(to_string = "hot and cold")]
    HotCold,
    #[strum(to_string = "cubic")]
    Cubic,
    #[strum(to_string = "learned")]
    Learned,
}

/// What the targets do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum Scenario {
    #[strum(to_string = "even")]
    Even,
    /// Two thirds have speed 0.7 and a third 1.7.
    #[strum(to_string = "0.7 and 1.7")]
    Speeds,
    /// A third takes three times as long for requests that begin when half of the slots or more are in use.
    #[strum(to_string = "slow from half")]
    SlowFromHalf,
    /// A third is 8 times slower, then as before, and so on.
    #[strum(to_string = "changing")]
    Changing,
    /// A third refuses everything from a time on.
    #[strum(to_string = "refusing")]
    Refusing,
}

/// Size of a deployment and its load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: usize,
    pub targets: usize,
    pub slots: u32,
    pub per_s: f64,
    pub work: Duration,
}

/// Sizes in the manner of a small one, and of the deployments P and S.
pub const SIZES: [Size; 3] = [
    Size { entries: 5, targets: 15, slots: 4, per_s: 400.0, work: Duration::from_millis(40) },
    Size { entries: 23, targets: 120, slots: 2, per_s: 1_462.0, work: Duration::from_millis(43) },
    Size { entries: 63, targets: 120, slots: 2, per_s: 1_287.0, work: Duration::from_millis(14) },
];

/// Figures of a play, over the time from [`CHANGE`] on.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub requests: usize,
    /// Requests whose answer took more than four times the usual, or that got none.
    pub late: usize,
    pub refusals: usize,
    pub latencies_ms: Vec<u32>,
    /// Arrivals at the disturbed third by window, as a share of an even part.
    pub third: Vec<f64>,
    /// Mean share of their slots in which the disturbed third and the others work.
    pub busy: (f64, f64),
    /// Standard deviation of the busy time of a target, as a share of its mean.
    pub imbalance: f64,
    /// Targets that placement was asked for, in order.
    pub placed: Vec<usize>,
    /// Number of placements before an entry took a target for uneven.
    pub placed_before_uneven: Option<usize>,
    /// Mean share of the targets that an entry took for uneven, at the ends of the intervals of the exchange.
    pub uneven_share: f64,
}

impl Figures {
    pub fn late_share(&self) -> f64 {
        self.late as f64 / self.requests.max(1) as f64
    }

    /// Answer time that one request in twenty exceeds, in milliseconds.
    pub fn p95_ms(&mut self) -> u32 {
        self.latencies_ms.sort_unstable();
        self.latencies_ms.get(self.latencies_ms.len() * 19 / 20).copied().unwrap_or_default()
    }

    /// Time from `change` to the end of the first window in which the third's share holds.
    pub fn follows(&self, change: Duration, holds: impl Fn(f64) -> bool) -> Option<Duration> {
        let first = (change.as_millis() / WINDOW.as_millis()) as usize;
        let later = self.third.iter().skip(first).position(|share| holds(*share))?;
        Some(WINDOW * (later as u32 + 1))
    }

    /// Mean share of the third from a time on.
    pub fn third_between(&self, from: Duration, to: Duration) -> f64 {
        let index = |at: Duration| (at.as_millis() / WINDOW.as_millis()) as usize;
        let windows = &self.third[index(from)..index(to).min(self.third.len())];
        windows.iter().sum::<f64>() / windows.len().max(1) as f64
    }
}
