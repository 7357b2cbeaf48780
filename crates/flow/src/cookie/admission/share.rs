//! The share of an entry in a service, from the demand at all entries and the slots of the targets.
//!
//! Failure domains share a service by max-min fairness: a domain gets what it asks for, as long as that is not
//! more than an equal part of what is left. The entries of a domain share its part by their demand.

use super::ShareInput;
use crate::cookie::directory::Target;
use crate::cookie::shared::ServiceShare;
use comfreyhold_types::announcement::Availability;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Requests in flight for each effective slot: one runs, and two wait or are on their way.
const ALLOWED_PER_SLOT: f64 = 3.0;

/// Highest factor on a target's slots for its speed. A fast target queues no more requests than others: with 5 requests
/// in flight for each announced slot, the queue of a target with two slots is full.
const MAX_SPEED: f64 = 5.0 / ALLOWED_PER_SLOT;

/// Share of the latency objective that the wait in a target's queue may take.
const QUEUE_SHARE_OF_OBJECTIVE: f64 = 0.5;

/// Interval at which slots and loads of the targets are added up.
const SCAN_INTERVAL: Duration = Duration::from_millis(5);

/// Time in which an entry that has started has no demand of its own to go by.
const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// Time after an entry's first opening in which its requests in flight include attempts that their callers give up: an
/// attempt lasts 1.4 s, and its packets may have waited for the entry. After a loss of power on 37 entries, shares
/// refused 12,000 openings in 4 s for these.
const START_PERIOD: Duration = Duration::from_secs(2);

/// Weight of the newest totals in the entry's part of its domain. An interval of 250 ms has few openings at a
/// small entry.
const PART_WEIGHT: f64 = 0.2;

/// Demand that is added to that of each entry, in openings a second: one in an interval. An entry that had none by
/// chance keeps a place for the next ones.
const LEAST_PER_S: f64 = 4.0;

/// Weight of the newest totals in the mean time that an opening's requests are in flight.
const HOLD_TIME_WEIGHT: f64 = 0.2;

/// Highest factor on the limits of a service with capacity to spare. Entries whose callers come unevenly then need not
/// wait for newer totals.
const MAX_SLACK: f64 = 2.0;

/// Room for the fluctuation of a domain's demand, as a factor on it.
const HEADROOM: f64 = 1.5;

/// Lowest and highest weight of a domain, as its need relative to the mean. Equal parts would serve a smaller share
/// of the requests of a domain that has a few more callers, or whose callers repeat more of them.
const WEIGHTS: (f64, f64) = (0.75, 1.33);

/// Part of an equal share that a domain without demand gets, for its next openings.
const IDLE_DOMAIN_SHARE: f64 = 0.1;

/// Changes of the fill with each first answer on a flow, and with the refusal of a full target. It settles where one
/// answer in 107 is a refusal, or more at entries that see several within [`FILL_SETTLING_TIME`]. Requests on open flows are
/// refused up to twice as often, since their retries go to the same target.
const FILL_INCREASE: f64 = 1.0012;
const FILL_DECREASE: f64 = 0.88;

/// Requests in flight for each slot, over all entries, from which a service is in use: one runs and one waits.
const IN_USE_PER_SLOT: f64 = 2.0;

/// Requests in flight, as a factor on the limit, from which refusals lower the fill to no less than
/// [`MIN_FILL_EXCEEDED`]: those beyond the limit are on open flows, which a lower limit does not hold up.
const MAX_EXCESS: f64 = 1.25;

/// Time after a decrease in which further refusals follow from the load before it.
const FILL_SETTLING_TIME: Duration = Duration::from_millis(100);

/// Time after an entry gets a share in which refusals follow from the load without one.
const SHARE_SETTLING_TIME: Duration = Duration::from_millis(300);

/// Range of the fill: from one request in flight for each slot to four. Requests on the way between entry and
/// target, and open flows without a request, count as in flight but take no place there.
const MIN_FILL: f64 = 1.0 / ALLOWED_PER_SLOT;
const MIN_FILL_EXCEEDED: f64 = 0.75;
const MAX_FILL: f64 = 4.0 / ALLOWED_PER_SLOT;

/// Share of a service at one entry.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// When the totals that it follows from were received.
    received: Instant,
    /// Part of the entry's failure domain in the service, and of the entry in its domain.
    domain_part: f64,
    own_part: f64,
    /// Factor on the limit while the service has more capacity than is asked for.
    slack: f64,
    /// Requests in flight through all entries, by the totals.
    total_in_flight: f64,
    /// Effective slots of the usable targets.
    slots: f64,
    /// Requests in flight through this entry at `scanned`, and openings forwarded since.
    in_flight: f64,
    forwarded: f64,
    scanned: Instant,
    hold: HoldTime,
    fill: Fill,
}

/// Mean time that the requests of an opening are in flight, as the ratio of requests in flight to openings a second.
#[derive(Clone, Debug, Default)]
struct HoldTime {
    in_flight_sum: f64,
    scans: u32,
    forwarded: u32,
    mean_in_flight: f64,
    mean_per_s: f64,
}

/// Part of the allowed requests in flight that the targets take without refusals. Entries place openings without
/// knowing each other's latest ones, so that some targets get more than the mean.
#[derive(Clone, Debug)]
struct Fill {
    factor: f64,
    /// Time until which refusals don't count.
    settled_at: Instant,
}

impl Share {
    /// Creates the share of an entry that starts to follow totals.
    pub(super) fn new(
        input: &ShareInput<'_>,
        totals: &ServiceShare,
        (age, usual): (Duration, Duration),
        now: Instant,
    ) -> Self {
        let mut share = Self {
            received: totals.received,
            domain_part: 1.0,
            own_part: mean_part(totals),
            slack: 1.0,
            total_in_flight: totals.in_flight,
            slots: 0.0,
            in_flight: 0.0,
            forwarded: 0.0,
            scanned: now,
            hold: HoldTime::default(),
            fill: Fill { factor: 1.0, settled_at: now + SHARE_SETTLING_TIME },
        };
        if age >= JOIN_PERIOD && totals.domain_per_s > 0.0 {
            share.own_part = own_part(totals);
        }
        share.scan(input, age, now);
        share.update_domain_part(input, totals, usual);
        share
    }

    /// Follows newer totals and the present load of the targets. `age` is the time since the entry's first opening
    /// to the service, `usual` the usual answer time.
    pub(super) fn update(
        &mut self,
        input: &ShareInput<'_>,
        totals: &ServiceShare,
        (age, usual): (Duration, Duration),
        now: Instant,
    ) {
        let is_new = totals.received != self.received;
        let is_due = now >= self.scanned + SCAN_INTERVAL;
        if is_due {
            self.scan(input, age, now);
        }
        if is_new {
            let interval = totals.received.saturating_duration_since(self.received);
            self.hold.end_interval(interval);
            let part = if age < JOIN_PERIOD || totals.domain_per_s <= 0.0 {
                mean_part(totals)
            } else {
                own_part(totals)
            };
            self.own_part += (part - self.own_part) * PART_WEIGHT;
            self.received = totals.received;
            self.total_in_flight = totals.in_flight;
        }
        if is_new || is_due {
            self.update_domain_part(input, totals, usual);
        }
    }

    fn update_domain_part(
        &mut self,
        input: &ShareInput<'_>,
        totals: &ServiceShare,
        usual: Duration,
    ) {
        let capacity = self.slots * ALLOWED_PER_SLOT;
        let hold = self.hold.seconds().unwrap_or(usual.as_secs_f64());
        let needs = needs(totals, hold, capacity);
        let parts = max_min_parts(&needs, capacity);
        let own = needs.keys().position(|domain| *domain == &*input.domain.0);
        self.domain_part = own.and_then(|own| parts.get(own).copied()).unwrap_or(1.0);
        let needed = needs.values().sum::<f64>().max(totals.in_flight * HEADROOM);
        self.slack = (capacity / needed.max(1.0)).clamp(1.0, MAX_SLACK);
    }

    /// Requests that may be in flight through this entry, for a route with this objective and answer time.
    pub(super) fn limit(&self, objective: Duration, usual: Duration) -> f64 {
        let per_slot = allowed_per_slot(objective, usual, self.fill.factor);
        (self.slots * per_slot * self.part() * self.slack).max(1.0)
    }

    /// Part of the service that this entry may use, from 0 to 1.
    pub(super) fn part(&self) -> f64 {
        self.domain_part * self.own_part
    }

    /// Requests in flight through this entry.
    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight + self.forwarded
    }

    /// When the totals were received.
    pub(super) fn received(&self) -> Instant {
        self.received
    }

    /// When the loads of the targets were last added up.
    pub(super) fn scanned(&self) -> Instant {
        self.scanned
    }

    /// Openings a second that the entry can admit at a limit, by the usual answer time until more is learned; `None`
    /// while that is unknown too.
    pub(super) fn admissions_per_s(&self, limit: f64, usual: Duration) -> Option<f64> {
        let usual = Some(usual.as_secs_f64()).filter(|seconds| *seconds > 0.0);
        self.hold.seconds().or(usual).map(|seconds| limit / seconds)
    }

    /// Counts an opening that is forwarded.
    pub(super) fn record_forwarded(&mut self) {
        self.forwarded += 1.0;
        self.hold.forwarded += 1;
    }

    /// Counts an answer while the limit is `limit`. A refusal shows a full service only if the service is in use: a target
    /// that fails a part of its requests refuses at any load.
    pub(super) fn record_answer(&mut self, is_refusal: bool, limit: f64, now: Instant) {
        let is_in_use = self.total_in_flight >= self.slots * IN_USE_PER_SLOT;
        let is_exceeded = self.in_flight() > limit * MAX_EXCESS;
        if !is_refusal || is_in_use {
            self.fill.record(is_refusal, is_exceeded, now);
        }
    }

    fn scan(&mut self, input: &ShareInput<'_>, age: Duration, now: Instant) {
        (self.in_flight, self.forwarded) = (0.0, 0.0);
        let (mut ready, mut all) = (0.0, 0.0);
        for (_, target) in input.directory.iter_service(input.service) {
            self.in_flight += target.load * served_part(target, age, now);
            if takes_flows(target, input) {
                let slots = admission_slots(target, now);
                all += slots;
                ready += if is_ready(target, input, now) { slots } else { 0.0 };
            }
        }
        // As for placement, cold and silent targets are used if there are no others.
        self.slots = if ready > 0.0 { ready } else { all };
        self.scanned = now;
        self.hold.in_flight_sum += self.in_flight;
        self.hold.scans += 1;
    }
}

impl HoldTime {
    fn end_interval(&mut self, interval: Duration) {
        if self.scans > 0 && self.forwarded > 0 && !interval.is_zero() {
            let in_flight = self.in_flight_sum / f64::from(self.scans);
            let per_s = f64::from(self.forwarded) / interval.as_secs_f64();
            let weight = if self.mean_per_s == 0.0 { 1.0 } else { HOLD_TIME_WEIGHT };
            self.mean_in_flight += (in_flight - self.mean_in_flight) * weight;
            self.mean_per_s += (per_s - self.mean_per_s) * weight;
        }
        (self.in_flight_sum, self.scans, self.forwarded) = (0.0, 0, 0);
    }

    fn seconds(&self) -> Option<f64> {
        let is_known = self.mean_per_s > 0.0 && self.mean_in_flight > 0.0;
        is_known.then(|| self.mean_in_flight / self.mean_per_s)
    }
}

impl Fill {
    fn record(&mut self, is_refusal: bool, is_exceeded: bool, now: Instant) {
        if !is_refusal {
            self.factor = (self.factor * FILL_INCREASE).min(MAX_FILL);
        } else if now >= self.settled_at {
            let least = if is_exceeded { MIN_FILL_EXCEEDED.min(self.factor) } else { MIN_FILL };
            self.factor = (self.factor * FILL_DECREASE).max(least);
            self.settled_at = now + FILL_SETTLING_TIME;
        }
    }
}

/// Part of each domain in a capacity that is shared by max-min fairness, in the order of the domains. Domains that
/// ask for somewhat more than others weigh more, within [`WEIGHTS`]. What nobody asks for is distributed by need.
#[must_use]
pub fn max_min_parts(needs: &BTreeMap<&str, f64>, capacity: f64) -> Vec<f64> {
    let mean = needs.values().sum::<f64>() / needs.len().max(1) as f64;
    let weight =
        |need: f64| if mean > 0.0 { (need / mean).clamp(WEIGHTS.0, WEIGHTS.1) } else { 1.0 };
    let mut sorted: Vec<f64> = needs.values().copied().collect();
    sorted.sort_by(|a, b| (a / weight(*a)).total_cmp(&(b / weight(*b))));
    let mut weights: f64 = sorted.iter().map(|need| weight(*need)).sum();
    let (mut left, mut level) = (capacity, f64::INFINITY);
    for need in sorted {
        if need * weights > left * weight(need) {
            level = left / weights;
            break;
        }
        left -= need;
        weights -= weight(need);
    }
    let given: Vec<f64> = needs.values().map(|need| need.min(level * weight(*need))).collect();
    let sum: f64 = given.iter().sum();
    if sum <= 0.0 {
        return vec![1.0 / given.len().max(1) as f64; given.len()];
    }
    given.into_iter().map(|given| given / sum).collect()
}

/// Requests in flight that each domain asks for.
fn needs(totals: &ServiceShare, hold: f64, capacity: f64) -> BTreeMap<&str, f64> {
    let least = capacity * IDLE_DOMAIN_SHARE / totals.domains_per_s.len().max(1) as f64;
    let need = |per_s: f64| (per_s * hold * HEADROOM).max(least);
    totals.domains_per_s.iter().map(|(name, per_s)| (&*name.0, need(*per_s))).collect()
}

/// Part of an entry in its domain if all entries are alike.
fn mean_part(totals: &ServiceShare) -> f64 {
    1.0 / f64::from(totals.domain_entries.max(1))
}

/// Part of an entry in its domain by demand.
fn own_part(totals: &ServiceShare) -> f64 {
    let entries = f64::from(totals.domain_entries.max(1));
    let domain_per_s = totals.domain_per_s.max(totals.own_per_s);
    (totals.own_per_s + LEAST_PER_S) / (domain_per_s + LEAST_PER_S * entries)
}

/// Requests in flight for each slot such that the wait in a target's queue leaves time to answer.
fn allowed_per_slot(objective: Duration, usual: Duration, fill: f64) -> f64 {
    let allowed = ALLOWED_PER_SLOT * fill;
    if usual.is_zero() {
        return allowed;
    }
    let queue_time = objective.as_secs_f64() * QUEUE_SHARE_OF_OBJECTIVE;
    (1.0 + queue_time / usual.as_secs_f64()).min(allowed)
}

/// Whether the target takes new flows at all.
fn takes_flows(target: &Target, input: &ShareInput<'_>) -> bool {
    let spec = &target.spec;
    spec.availability == Availability::Serving
        && !target.has_ambiguous_cookie
        && !input.withdrawn.contains(&spec.domain)
}

/// Effective slots, as far as the target's queue allows.
fn admission_slots(target: &Target, now: Instant) -> f64 {
    target.effective_slots(now).min(target.announced_slots() * MAX_SPEED)
}

/// Part of a target's load that counts against the share. Requests that pile up at a slow target take no place elsewhere.
/// Nor do requests beyond it at an entry that has just started: they are attempts that callers made while nothing ran.
fn served_part(target: &Target, age: Duration, now: Instant) -> f64 {
    if age >= START_PERIOD && target.effective_slots(now) >= target.announced_slots() {
        return 1.0;
    }
    let allowed = admission_slots(target, now) * ALLOWED_PER_SLOT;
    let load = target.total_load(now);
    if load > allowed { allowed / load } else { 1.0 }
}

/// Whether the target is neither cold nor silent.
fn is_ready(target: &Target, input: &ShareInput<'_>, now: Instant) -> bool {
    let spec = &target.spec;
    let is_restored = input.restored.get(&spec.domain).is_some_and(|until| now < *until);
    !spec.silent && now >= spec.cold_until && !is_restored
}
