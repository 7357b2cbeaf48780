//! What is learned about one target, and its slowness relative to the median of its service.

use super::drift::Drift;
use std::time::{Duration, Instant};

/// Half-life of the sums that follow a change.
const FAST_HALF_LIFE: Duration = Duration::from_secs(1);

/// Half-life of the sums that tell lasting differences. A target with 10 answers a second has some 60 in them, so
/// that the mean of ratios with a spread of 0.6 is known to 8%.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time without samples after which nothing is known.
pub const RETENTION: Duration = Duration::from_secs(10);

/// Answers and failures below which nothing is learned about a target.
const MIN_SAMPLES: f64 = 4.0;

/// Ratio that a failure counts as, in multiples of the ratio of the service's median target.
pub const FAILURE_RATIO: f64 = 8.0;

/// Highest ratio that one answer counts as, so that none outweighs all others.
pub const MAX_RATIO: f64 = 16.0;

/// A relative slowness up to this factor from 1 counts as 1.
const DEAD_BAND: f64 = 1.3;

/// Standard errors of the mean ratio by which a target must differ before it counts as slower or faster. With 3, at
/// which one in 370 independent means errs, one even target in 85 did so with half of the slots in use, since the
/// answers of one queue are late together.
const STANDARD_ERRORS: f64 = 5.0;

/// Part of [`STANDARD_ERRORS`] below which a target that counts as slower or faster is even again. With a half, targets
/// that slow down under load got their full share back after a few answers, and slowed down again.
const SHARE_TO_RETURN: f64 = 0.2;

/// Mean ratio of the median target above which the service is overloaded: targets differ by their queues and by chance
/// refusals, and the dead band widens in proportion. Without this, a burst of 8 times the load on even targets had 1.4%
/// fewer answers in time.
const OVERLOAD_RATIO: f64 = 2.0;

/// Weight of the median, in samples, against which a target's last samples fade.
const MEDIAN_WEIGHT: f64 = 0.1;

/// Relative slowness that is used at most and at least.
const MAX_SLOWNESS: f64 = 16.0;
const MIN_SLOWNESS: f64 = 0.25;

/// Relative slowness above which a target gets openings only as trials.
pub const TRIAL_SLOWNESS: f64 = 4.0;

/// Relative slowness above which only the last samples count, so that a recovery shows in a few answers.
const SLOW: f64 = 2.0;

/// Weight of the newest sample where only the last ones count, and for a target with trials only. There, one answer
/// as fast as usual shows a change: a target that is 8 times slower gives none.
const RECENT_WEIGHT: f64 = 0.25;
const TRIAL_WEIGHT: f64 = 0.6;

/// Least time between two trials of a target by one entry.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Exponentially decaying sums of answers and failures.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    answers: f64,
    ratio_sum: f64,
    failures: f64,
}

impl Sums {
    fn add(&mut self, other: Sums) {
        self.answers += other.answers;
        self.ratio_sum += other.ratio_sum;
        self.failures += other.failures;
    }

    fn decay(&mut self, elapsed: Duration, half_life: Duration) {
        self.scale((-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2());
    }

    fn scale(&mut self, factor: f64) {
        self.answers *= factor;
        self.ratio_sum *= factor;
        self.failures *= factor;
    }

    fn samples(&self) -> f64 {
        self.answers + self.failures
    }

    /// Mean ratio, in which a failure counts as a multiple of `base`, the usual mean ratio of answers.
    fn mean(&self, base: f64) -> f64 {
        (self.ratio_sum + self.failures * FAILURE_RATIO * base) / self.samples().max(f64::EPSILON)
    }
}

/// What the estimates of a service's targets are compared with.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    /// Mean ratio of answers at the median target, without failures.
    pub base: f64,
    /// Mean ratio of the median target, failures included.
    pub median: f64,
    /// Standard deviation of one ratio, as a share of its mean.
    pub spread: f64,
}

/// Samples of a target, and its slowness relative to the median of its service.
#[derive(Clone, Copy, Debug)]
pub struct Learned {
    /// Sums of the last few samples, of the last seconds, and of a longer time.
    recent: Sums,
    fast: Sums,
    slow: Sums,
    decayed: Option<Instant>,
    last_sample: Option<Instant>,
    slowness: f64,
    /// Slowness when its last change was reported.
    reported: f64,
    last_trial: Option<Instant>,
    drift: Drift,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            recent: Sums::default(),
            fast: Sums::default(),
            slow: Sums::default(),
            decayed: None,
            last_sample: None,
            slowness: 1.0,
            reported: 1.0,
            last_trial: None,
            drift: Drift::default(),
        }
    }
}

impl Learned {
    /// Records answers with the sum of their ratios, and failures. A sum without answers raises the ratio of a request
    /// that was recorded before.
    pub fn record(&mut self, answers: u32, ratio_sum: f64, failures: u32, now: Instant) {
        self.decay(now);
        let (answers, failures) = (f64::from(answers), f64::from(failures));
        let new = Sums { answers, ratio_sum, failures };
        let weight = if self.slowness > TRIAL_SLOWNESS { TRIAL_WEIGHT } else { RECENT_WEIGHT };
        self.recent.scale((1.0 - weight).powf(new.samples()));
        self.recent.add(new);
        self.recent.ratio_sum = self.recent.ratio_sum.min(self.recent.answers * MAX_RATIO);
        self.fast.add(new);
        self.slow.add(new);
        self.drift.add(new.samples(), new.mean(self.drift.base()));
        self.last_sample = Some(now);
    }

    /// Lets the samples fade, and forgets everything [`RETENTION`] after the last one.
    pub fn decay(&mut self, now: Instant) {
        let Some(last_sample) = self.last_sample else { return };
        if now >= last_sample + RETENTION {
            *self = Self { reported: self.reported, ..Self::default() };
            return;
        }
        let elapsed = self.decayed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.recent.decay(elapsed, FAST_HALF_LIFE);
        self.fast.decay(elapsed, FAST_HALF_LIFE);
        self.slow.decay(elapsed, SLOW_HALF_LIFE);
        self.decayed = Some(self.decayed.map_or(now, |at| at.max(now)));
    }

    /// Whether enough is known to compare the target with others.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.is_off() || self.slow.samples() >= MIN_SAMPLES
    }

    /// Whether the target counts as slower or faster than the median.
    #[must_use]
    pub fn is_off(&self) -> bool {
        self.slowness != 1.0
    }

    /// Mean ratio of the answers, failures left out; `None` without answers.
    #[must_use]
    pub fn answer_ratio(&self) -> Option<f64> {
        (self.slow.answers >= 1.0).then(|| self.slow.ratio_sum / self.slow.answers)
    }

    /// Mean ratio, in which a failure counts as [`FAILURE_RATIO`].
    #[must_use]
    pub fn mean_ratio(&self) -> f64 {
        self.slow.mean(1.0)
    }

    /// Mean ratio, failures included. Older samples are dropped where those of the last seconds differ from them by
    /// more than chance, and as long as the target is slow.
    pub fn estimate(&mut self, base: f64, spread: f64) -> f64 {
        let (fast, slow) = (self.fast.mean(base), self.slow.mean(base));
        let samples = self.fast.samples();
        let has_changed = samples >= MIN_SAMPLES
            && (fast / slow).ln().abs() > DEAD_BAND.ln().max(noise(spread, samples));
        if has_changed || self.slowness > SLOW || self.drift.is_over_limit() {
            (self.fast, self.slow) = (self.recent, self.recent);
        }
        self.slow.mean(base)
    }

    /// Updates the relative slowness.
    pub fn compare(&mut self, reference: &Reference) {
        let Reference { base, median, spread } = *reference;
        let has_drifted = self.drift.is_over_limit();
        if !(self.is_known() || has_drifted) || median <= 0.0 {
            self.slowness = 1.0;
            self.drift.follow(reference, false);
            return;
        }
        let samples = self.slow.samples();
        let mean =
            (self.slow.mean(base) * samples + median * MEDIAN_WEIGHT) / (samples + MEDIAN_WEIGHT);
        let slowness = (mean / median).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let share = match self.slowness {
            _ if has_drifted => 0.0,
            1.0 => 1.0,
            // A slow target has few samples, and even one that is not slow counts.
            slowness if slowness > SLOW => 0.0,
            _ => SHARE_TO_RETURN,
        };
        let overload = (median / OVERLOAD_RATIO).max(1.0);
        let chance = noise(spread, samples) * share * overload;
        let is_even = slowness.ln().abs() <= DEAD_BAND.ln().max(chance);
        self.slowness = if is_even { 1.0 } else { slowness };
        self.drift.follow(reference, self.slowness > SLOW);
    }

    /// Slowness relative to the median of the service; 1 where nothing is learned.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        let is_recent = self.last_sample.is_some_and(|last| now < last + RETENTION);
        if is_recent { self.slowness } else { 1.0 }
    }

    /// Samples that the slowness follows from.
    #[must_use]
    pub fn samples(&self) -> f64 {
        self.slow.samples()
    }

    /// Time since the last sample.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_sample.map(|last| now.saturating_duration_since(last))
    }

    /// Whether the slowness has changed by a quarter since this last returned true.
    pub fn take_change(&mut self) -> bool {
        let change = self.slowness / self.reported;
        let has_changed = !(0.8..1.25).contains(&change);
        if has_changed {
            self.reported = self.slowness;
        }
        has_changed
    }

    /// Whether the target gets openings only as trials.
    #[must_use]
    #[inline(never)]
    pub fn needs_trials(&self, now: Instant) -> bool {
        self.slowness(now) > TRIAL_SLOWNESS
    }

    /// Whether a trial is due.
    #[must_use]
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.last_trial.is_none_or(|last| now >= last + TRIAL_INTERVAL)
    }

    /// Records that the target gets an opening.
    pub fn record_opening(&mut self, now: Instant) {
        if self.needs_trials(now) {
            self.last_trial = Some(now);
        }
    }
}

/// Deviation of the logarithm of a mean ratio that chance explains.
fn noise(spread: f64, samples: f64) -> f64 {
    STANDARD_ERRORS * spread / samples.sqrt()
}
