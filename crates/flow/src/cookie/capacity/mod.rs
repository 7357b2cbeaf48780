//! Learned capacity: how well each target answers, compared with the others of its service.
//!
//! In come the answers and failures that this entry observes in its callers' packets ([`Sample`]), and those of
//! other entries, while load is shared ([`Capacity::record_others`]). Each answer time is divided by the usual one
//! of its route ([`UsualAnswers`]), so that heavy requests do not make a target look slow. Every 100 ms in which
//! something has changed, [`Capacity::refresh`] compares each target with the median of its service. Nobody else
//! decides: entries with the same totals come to the same result, and others go by what they see. Out come the
//! slowness of each target, by which `Target::effective_slots` divides the announced slots, whether a service has
//! uneven targets, which placement depends on, and the changes to log. Sums decay, so that nothing is known 10 s
//! after the last sample. No sockets, threads or clocks; time is passed in.

mod drift;
mod learned;
mod observe;
mod pending;
mod sample;
mod trials;
mod usual;

pub use learned::{FAILURE_RATIO, Learned, MAX_RATIO, RETENTION, Reference};
pub use sample::{AnswerTime, Sample};
pub use trials::{choose_trial, fraction};
pub use usual::{AnswerKind, UsualAnswer, UsualAnswers};

use super::FlowKey;
use super::directory::{AnswerCounts, Directory, TargetKey};
use super::flows::Flow;
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::RouteTable;
use pending::{FIRST_RATIO, MIN_WORK, PendingRequests};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Least time between two comparisons of the targets.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// A request that ends without an answer counts as a failure of its target if it has run for this multiple of the
/// usual time. A caller that gives up earlier says nothing about the target.
const MIN_MISSING_RATIO: f64 = 2.0;

/// Weight of the newest ratio in the spread of a service's ratios.
const SPREAD_WEIGHT: f64 = 0.01;

/// Spread that is assumed at least and at most, as a share of the mean. At the start it is the mean of the two.
const MIN_SPREAD: f64 = 0.3;
const MAX_SPREAD: f64 = 1.5;

/// Square deviation that one ratio counts as at most, as a share of the mean.
const MAX_DEVIATION: f64 = 9.0;

/// Number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

/// A target whose effective slots have changed by a quarter or more.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityChange {
    /// The target.
    pub id: TargetId,
    /// Its service.
    pub service: String,
    /// Announced slots.
    pub slots: u32,
    /// Effective slots.
    pub effective_slots: f64,
    /// Decayed number of samples.
    pub samples: f64,
    /// Age of the last sample; `None` if all were forgotten.
    pub age: Option<Duration>,
    /// Mean ratio of the target, in multiples of the usual answer time.
    pub ratio: f64,
    /// Mean ratio of the service's median target.
    pub median: f64,
}

/// Effective slots of a target, for metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveSlots {
    /// The target.
    pub id: TargetId,
    /// Effective slots.
    pub effective_slots: f64,
}

#[derive(Clone, Copy, Debug)]
struct Service {
    has_new_samples: bool,
    is_uneven: bool,
    /// Mean square deviation of a ratio from its target's mean, as a share of that mean.
    variance: f64,
}

/// Learns the capacity of all targets at one entry. The samples of each target are in the directory.
#[derive(Debug, Default)]
pub struct Capacity {
    usual: UsualAnswers,
    services: BTreeMap<String, Service>,
    refreshed: Option<Instant>,
    swept: Option<Instant>,
    pending: PendingRequests,
    changes: Vec<CapacityChange>,
}

impl Capacity {
    /// Forgets routes that the declarations no longer name.
    pub fn forget_removed(&mut self, table: &RouteTable) {
        self.usual.forget_removed(table);
    }

    /// Records the round trip that the handshake of a flow has shown.
    pub fn record_handshake(&mut self, address: SocketAddrV4, handshake: Duration) {
        if let Some(usual) = self.usual.get_mut(address) {
            usual.record_handshake(handshake);
        }
    }

    /// Usual work time of a route's requests, in seconds; `None` while it is unknown.
    #[must_use]
    pub fn usual_seconds(&self, address: SocketAddrV4) -> Option<f64> {
        self.usual.get(address)?.seconds()
    }

    /// Records an observed request. Returns whether it was answered or refused; `None` if that is not known.
    pub fn record(
        &mut self,
        sample: &Sample,
        directory: &mut Directory,
        now: Instant,
    ) -> Option<AnswerKind> {
        let usual = self.usual.get_mut(sample.address)?;
        let mut known = None;
        let counts = match sample.time {
            AnswerTime::Exactly(took) => {
                let work = usual.work_time(took, sample.handshake);
                let kind = usual.classify(work, sample.bytes);
                if kind != Some(AnswerKind::Refused) {
                    usual.record(work, sample.bytes, now);
                    usual.record_visibility(true);
                }
                known = kind;
                kind.map(|kind| counts_of(kind, sample.counted_ratio))
            }
            AnswerTime::AtMost(took) => {
                let work = usual.work_time(took, sample.handshake);
                let kind = usual.classify(work, sample.bytes);
                known = kind;
                let is_refused = kind == Some(AnswerKind::Refused);
                if !is_refused {
                    usual.record_visibility(false);
                }
                is_refused.then_some(FAILURE)
            }
            AnswerTime::Missing(took) => {
                let work = usual.work_time(took, sample.handshake);
                let least = usual.seconds().map(|usual| usual * MIN_MISSING_RATIO);
                least.filter(|least| work >= *least).map(|_| FAILURE)
            }
        };
        if let Some(counts) = counts {
            self.record_counts(sample.target, counts, true, directory, now);
        }
        known
    }

    /// Watches the request that has begun on a flow, if answers on its route show at once.
    pub(super) fn watch(&mut self, key: FlowKey, flow: &Flow) {
        let Some(start) = flow.sample_start.filter(|_| !flow.handshake.is_zero()) else { return };
        if let Some(wait) = self.time_until(key.service, flow, FIRST_RATIO) {
            self.pending.watch(key, start, start + wait);
        }
    }

    /// Takes the watched requests that are due. They may have been answered since.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(FlowKey, Instant)> {
        self.pending.take_due(now)
    }

    /// Counts a request that runs for long as an answer of the ratio that it has reached, or raises that ratio, and watches
    /// it further.
    pub(super) fn record_running(
        &mut self,
        key: FlowKey,
        flow: &mut Flow,
        directory: &mut Directory,
        now: Instant,
    ) {
        let Some(start) = flow.sample_start else { return };
        let took = now.saturating_duration_since(start);
        let Some(usual) = self.usual.get_mut(key.service) else { return };
        let Some(seconds) = usual.seconds().filter(|_| usual.is_visible()) else { return };
        let ratio = (usual.work_time(took, flow.handshake) / seconds).min(MAX_RATIO);
        if ratio >= FIRST_RATIO && ratio > flow.counted_ratio {
            let counts = counts_of(AnswerKind::Served(ratio), flow.counted_ratio);
            flow.counted_ratio = ratio;
            self.record_counts(flow.target, counts, true, directory, now);
        }
        let next = flow.counted_ratio.max(FIRST_RATIO / 2.0) * 2.0;
        if let Some(wait) = self.time_until(key.service, flow, next).filter(|_| next <= MAX_RATIO) {
            self.pending.watch(key, start, start + wait);
        }
    }

    /// Time after which a request has run for a multiple of the usual time; `None` if that is unknown, or if answers
    /// on the route show late.
    fn time_until(&mut self, address: SocketAddrV4, flow: &Flow, ratio: f64) -> Option<Duration> {
        let usual = self.usual.get_mut(address).filter(|usual| usual.is_visible())?;
        let work = Duration::from_secs_f64(usual.seconds()? * ratio).max(MIN_WORK);
        Some(work + usual.round_trip(flow.handshake))
    }

    /// Records a sweep. Returns the time since the last one, or zero for the first.
    pub fn record_sweep(&mut self, now: Instant) -> Duration {
        let last = self.swept.replace(now).unwrap_or(now);
        now.saturating_duration_since(last)
    }

    /// Whether a request without an answer has run for so long that it counts as a failure already.
    pub fn is_overdue(&mut self, sample: &Sample) -> bool {
        let AnswerTime::Missing(took) = sample.time else { return false };
        self.usual.get_mut(sample.address).is_some_and(|usual| {
            let work = usual.work_time(took, sample.handshake);
            usual.seconds().is_some_and(|usual| work >= usual * FAILURE_RATIO)
        })
    }

    /// Records the answers and failures of other entries for a target in an interval. This entry's own share must
    /// have been subtracted, and each interval be recorded once.
    pub fn record_others(
        &mut self,
        target: TargetKey,
        counts: AnswerCounts,
        directory: &mut Directory,
        now: Instant,
    ) {
        let is_valid = counts.ratio_sum.is_finite() && counts.ratio_sum >= 0.0;
        if is_valid && counts != AnswerCounts::default() {
            self.record_counts(target, counts, false, directory, now);
        }
    }

    fn record_counts(
        &mut self,
        key: TargetKey,
        counts: AnswerCounts,
        is_own: bool,
        directory: &mut Directory,
        now: Instant,
    ) {
        let Some(target) = directory.get_mut(key) else { return };
        let AnswerCounts { answers, ratio_sum, failures } = counts;
        // The ratio of a request that was counted before may be raised in an interval without answers.
        let ratio_sum = ratio_sum.min(f64::from(answers.max(1)) * MAX_RATIO);
        target.learned.record(answers, ratio_sum, failures, now);
        if is_own {
            target.answered.answers = target.answered.answers.saturating_add(answers);
            target.answered.ratio_sum += ratio_sum;
            target.answered.failures = target.answered.failures.saturating_add(failures);
        }
        let service = match self.services.get_mut(&target.spec.service) {
            Some(service) => service,
            None => self.services.entry(target.spec.service.clone()).or_insert(Service::new()),
        };
        service.has_new_samples = true;
        let mean = target.learned.mean_ratio();
        if is_own && mean > 0.0 && answers + failures > 0 {
            let ratio = ratio_sum + f64::from(failures) * FAILURE_RATIO;
            let deviation = (ratio / mean - 1.0).powi(2).min(MAX_DEVIATION);
            service.variance += (deviation - service.variance) * SPREAD_WEIGHT;
        }
    }

    /// Whether targets of the service count as slower or faster than others.
    #[must_use]
    pub fn is_uneven(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.is_uneven)
    }

    /// Compares the targets of services with new samples or uneven targets. Call it often; it does nothing more
    /// than ten times a second, and nothing for other services.
    pub fn refresh(&mut self, directory: &mut Directory, now: Instant) {
        if self.refreshed.is_some_and(|at| now < at + REFRESH_INTERVAL) {
            return;
        }
        self.refreshed = Some(now);
        let changes = &mut self.changes;
        self.services.retain(|name, service| {
            if service.has_new_samples || service.is_uneven {
                service.has_new_samples = false;
                let keys: Vec<TargetKey> = directory.iter_service(name).map(|(k, _)| k).collect();
                service.compare(&keys, directory, changes, now);
                return !keys.is_empty();
            }
            true
        });
    }

    /// Takes the changes of effective slots by a quarter or more since the last call.
    pub fn take_changes(&mut self) -> Vec<CapacityChange> {
        std::mem::take(&mut self.changes)
    }

    /// The targets whose effective slots are furthest from their announced ones, the furthest first. Those that
    /// count as even are left out.
    #[must_use]
    pub fn furthest(&self, directory: &Directory, max: usize, now: Instant) -> Vec<EffectiveSlots> {
        if !self.services.values().any(|service| service.is_uneven) {
            return Vec::new();
        }
        let running = directory.iter().filter(|(_, target)| target.ended_at.is_none());
        let mut targets: Vec<(f64, EffectiveSlots)> = running
            .map(|(_, target)| {
                let (id, effective_slots) = (target.spec.id, target.effective_slots(now));
                let distance = target.learned.slowness(now).ln().abs();
                (distance, EffectiveSlots { id, effective_slots })
            })
            .filter(|(distance, _)| *distance > 0.0)
            .collect();
        targets.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
        targets.into_iter().take(max).map(|(_, target)| target).collect()
    }
}

const FAILURE: AnswerCounts = AnswerCounts { answers: 0, ratio_sum: 0.0, failures: 1 };

/// Counts of an answer whose request has been counted with a ratio before, or with 0 if it has not.
fn counts_of(kind: AnswerKind, counted_ratio: f64) -> AnswerCounts {
    match kind {
        AnswerKind::Served(ratio) => AnswerCounts {
            answers: u32::from(counted_ratio == 0.0),
            ratio_sum: (ratio.min(MAX_RATIO) - counted_ratio).max(0.0),
            failures: 0,
        },
        AnswerKind::Refused => FAILURE,
    }
}

impl Service {
    fn new() -> Self {
        let spread = (MIN_SPREAD + MAX_SPREAD) / 2.0;
        Self { has_new_samples: false, is_uneven: false, variance: spread.powi(2) }
    }

    fn compare(
        &mut self,
        keys: &[TargetKey],
        directory: &mut Directory,
        changes: &mut Vec<CapacityChange>,
        now: Instant,
    ) {
        let spread = self.variance.sqrt().clamp(MIN_SPREAD, MAX_SPREAD);
        let mut answer_ratios = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(target) = directory.get_mut(*key) else { continue };
            target.learned.decay(now);
            answer_ratios.extend(target.learned.answer_ratio());
        }
        let base = lower_median(&mut answer_ratios).unwrap_or(1.0);
        let mut means = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(target) = directory.get_mut(*key) else { continue };
            if target.learned.is_known() && target.spec.availability == Availability::Serving {
                means.push(target.learned.estimate(base, spread));
            }
        }
        let median = lower_median(&mut means).unwrap_or(0.0);
        let reference = Reference { base, median, spread };
        self.is_uneven = false;
        for key in keys {
            let Some(target) = directory.get_mut(*key) else { continue };
            target.learned.compare(&reference);
            self.is_uneven |= target.learned.is_off();
            if target.learned.take_change() && changes.len() < MAX_CHANGES {
                changes.push(CapacityChange {
                    id: target.spec.id,
                    service: target.spec.service.clone(),
                    slots: target.spec.slots,
                    effective_slots: target.effective_slots(now),
                    samples: target.learned.samples(),
                    age: target.learned.age(now),
                    ratio: target.learned.estimate(base, spread),
                    median,
                });
            }
        }
    }
}

/// Median of the values, the lower one of two; `None` without values. With the lower one, a target is compared with
/// the faster half if half of the targets are slow.
fn lower_median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
