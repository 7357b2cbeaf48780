//! The load of other entries, as this entry knows it from the totals of the control daemons.
//!
//! Totals count in full for a while after they were received, and fade to nothing, so that an entry without news
//! decides by what it sees itself.

use super::directory::AnswerCounts;
use super::early::EarlySigns;
use super::pressure::PressureWindow;
use super::spill::{DomainLoad, SpillPlan};
use super::{DiscardReason, ResetReason, Verdict};
use comfreyhold_load::messages::{IN_FLIGHT_UNITS, MAX_SERVICES, RATIO_UNITS};
use comfreyhold_load::sums::interval_scale;
use comfreyhold_load::{
    LoadError, LoadReport, ServiceDemand, ServiceId, ServiceTotal, TargetLoad, TargetMark,
};
use comfreyhold_types::keys::DomainName;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

/// Time after which the load of others starts to fade.
const FULL_WEIGHT: Duration = Duration::from_secs(1);

/// Time after which the load of others counts for nothing.
const NO_WEIGHT: Duration = Duration::from_secs(2);

/// Longest interval of a report. A longer one ends after the process was frozen, and says nothing about the present.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of sent reports that are kept. Totals include one of the last 4 s if they are not too late.
const MAX_SENT: usize = 16;

/// Time constant for the demand for services: an entry of a large deployment gets a handful of openings in an
/// interval, so that a single interval says little about its share.
const SMOOTHING: Duration = Duration::from_millis(500);

/// Entries for each one by whose reports the totals may differ from the last ones to count as complete.
const ENTRIES_PER_CHANGE: u32 = 10;

/// Rate below which the demand of a failure domain that is no longer named is forgotten, in openings a second.
const MIN_RATE: f64 = 0.5;

/// Load of a target from flows through other entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OthersLoad {
    /// Mean number of requests in flight.
    mean_in_flight: f64,
    received: Instant,
}

impl OthersLoad {
    /// Creates the load that was received at a time, in requests.
    #[must_use]
    pub fn new(mean_in_flight: f64, received: Instant) -> Self {
        Self { mean_in_flight, received }
    }

    /// Requests in flight, weighted by the age of the information.
    #[must_use]
    pub fn in_flight(&self, now: Instant) -> f64 {
        self.mean_in_flight * self.weight(now)
    }

    /// Weight of the information by its age, from 1 to 0.
    #[must_use]
    pub fn weight(&self, now: Instant) -> f64 {
        weight(self.age(now))
    }

    /// Time since it was received.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received)
    }
}

/// Demand for a service, as this entry knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Openings a second at this entry.
    pub own_per_s: f64,
    /// Openings a second at all entries of this entry's failure domain.
    pub domain_per_s: f64,
    /// Entries of this entry's failure domain that report.
    pub domain_entries: u32,
    /// Openings a second by failure domain, this one included.
    pub domains_per_s: BTreeMap<DomainName, f64>,
    /// Requests in flight through all entries.
    pub in_flight: f64,
    /// When the totals were received.
    pub received: Instant,
}

/// Integral of a load over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadIntegral {
    request_seconds: f64,
    /// Time up to which the load is included.
    until: Option<Instant>,
}

impl LoadIntegral {
    /// Includes the load since the last call, which was `load` all the time.
    pub fn advance(&mut self, load: f64, now: Instant) {
        if let Some(until) = self.until {
            self.request_seconds += load * now.saturating_duration_since(until).as_secs_f64();
        }
        self.until = Some(now);
    }

    /// Like `advance`, and starts anew. Returns the integral, in requests times seconds.
    pub fn take(&mut self, load: f64, now: Instant) -> f64 {
        self.advance(load, now);
        std::mem::take(&mut self.request_seconds)
    }
}

/// What a report of this entry stated.
#[derive(Debug)]
struct SentReport {
    number: u64,
    interval_ms: u32,
    targets: BTreeMap<TargetMark, TargetLoad>,
    services: BTreeMap<ServiceId, ServiceDemand>,
}

/// What this entry knows of the load of all entries, and what it has reported about its own.
#[derive(Debug, Default)]
pub struct SharedLoad {
    services: BTreeMap<String, ServiceShare>,
    /// Which new flows go to other domains, by service.
    spills: BTreeMap<String, SpillPlan>,
    /// First copies of openings in the interval of the next report, by service.
    openings: BTreeMap<String, u32>,
    /// Start of the interval of the next report.
    interval_start: Option<Instant>,
    last_number: u64,
    /// The last reports, the oldest first.
    sent: VecDeque<SentReport>,
    /// When totals over all entries were last received.
    received: Option<Instant>,
    /// Number of entries that the last totals included.
    entries: u32,
    pressure: PressureWindow,
    pub(super) early: EarlySigns,
}

impl SharedLoad {
    /// Demand for a service over all entries; `None` without totals that still count.
    #[must_use]
    pub fn service(&self, service: &str, now: Instant) -> Option<&ServiceShare> {
        self.services
            .get(service)
            .filter(|share| now.saturating_duration_since(share.received) < NO_WEIGHT)
    }

    /// Records the demand for a service.
    pub fn set_service(&mut self, service: &str, share: ServiceShare) {
        self.services.insert(service.to_owned(), share);
    }

    /// The domain that a new flow spills over to; `None` if it stays in the domain of this entry. The same flow always
    /// draws the same number, so that a retransmitted opening does not change its domain without need.
    #[must_use]
    pub fn spill_domain(&self, service: &str, flow_hash: u64, now: Instant) -> Option<&DomainName> {
        let plan = self.spills.get(service).filter(|_| self.is_fresh(now))?;
        let mut hasher = SipHasher13::new();
        ("spill", flow_hash).hash(&mut hasher);
        plan.choose(((hasher.finish() >> 11) + 1) as f64 / (1_u64 << 53) as f64)
    }

    /// Part of a service's new flows that goes to other domains.
    #[must_use]
    pub fn remote_part(&self, service: &str, now: Instant) -> f64 {
        let plan = self.spills.get(service).filter(|_| self.is_fresh(now));
        plan.map_or(0.0, SpillPlan::remote_part)
    }

    /// Whether totals include about as many entries as the last ones. While sharing begins, or after a cut, some domains
    /// seem idle because not all of their entries have reported yet, and must not get flows for that.
    pub(super) fn is_complete(&mut self, entries: u32, now: Instant) -> bool {
        let is_known = self.is_fresh(now);
        let last = std::mem::replace(&mut self.entries, entries);
        is_known && entries.abs_diff(last) * ENTRIES_PER_CHANGE <= last
    }

    /// Adjusts the spill-over of a service to the demand and slots of all domains.
    pub(super) fn update_spill(
        &mut self,
        service: &str,
        local: &DomainName,
        domains: &BTreeMap<DomainName, DomainLoad>,
        busy: f64,
    ) {
        self.spills.entry(service.to_owned()).or_default().update(local, domains, busy);
    }

    /// Whether the load of other entries is known and still counts.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.received.is_some_and(|at| now.saturating_duration_since(at) < NO_WEIGHT)
    }

    /// Number of entries in the newest totals; 0 without any.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Time since totals were last received; `None` if there were none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.received.map(|at| now.saturating_duration_since(at))
    }

    /// Counts the first copy of an opening.
    pub(super) fn count_opening(&mut self, service: &str) {
        let has_room = self.openings.len() < MAX_SERVICES;
        if let Some(count) = self.openings.get_mut(service) {
            *count = count.saturating_add(1);
        } else if has_room {
            self.openings.insert(service.to_owned(), 1);
        }
    }

    /// Records the decision on an opening: one that waits or is refused for lack of room is a sign of pressure.
    pub(super) fn record_verdict(&mut self, verdict: &Verdict, now: Instant) {
        let is_held = matches!(
            verdict,
            Verdict::Defer(_)
                | Verdict::Discard(DiscardReason::Overload)
                | Verdict::Reset(ResetReason::Overloaded)
        );
        if is_held {
            self.pressure.record_held(now);
        }
    }

    /// Records an opening that the entry's own link can't carry: a sign of pressure, like one that waits for room.
    pub(super) fn record_link_refusal(&mut self, now: Instant) {
        self.pressure.record_held(now);
    }

    /// Records the first response on a flow, for signs of pressure.
    pub(super) fn record_first_answer(
        &mut self,
        took: Duration,
        objective: Duration,
        now: Instant,
    ) {
        self.pressure.record_first_answer(took, objective, now);
    }

    /// Records responses of targets, failures included, for signs of pressure.
    pub(super) fn record_responses(&mut self, responses: u32, failures: u32, now: Instant) {
        self.pressure.record_responses(responses, failures, now);
    }

    /// Whether a report should be sent before the next interval. Signs of an overload count as pressure then.
    pub(super) fn takes_early_report(&mut self, now: Instant) -> bool {
        if !self.early.may_report(now) {
            return false;
        }
        let has_signs = self.early.has_signs(now);
        if has_signs {
            self.pressure.record_held(now);
        }
        has_signs || self.early.is_told()
    }

    /// Whether openings wait or were refused, or responses were late or failed, in the last second.
    pub(super) fn is_under_pressure(&self, now: Instant) -> bool {
        self.pressure.is_under_pressure(now)
    }

    /// Ends the interval of a report. Returns its length; `None` if it is too long or has just begun, for example
    /// because the process was frozen.
    pub(super) fn end_interval(&mut self, now: Instant) -> Option<Duration> {
        if self.early.has_signs(now) {
            self.pressure.record_held(now);
        }
        self.early.record_report(now);
        let start = self.interval_start.replace(now);
        let length = start.map(|start| now.saturating_duration_since(start));
        length.filter(|length| *length <= MAX_INTERVAL && length.as_millis() > 0)
    }

    /// Openings in the interval that has ended, by service.
    pub(super) fn take_openings(&mut self) -> BTreeMap<String, u32> {
        std::mem::take(&mut self.openings)
    }

    /// Number of the next report.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Keeps the contents of a report, to subtract them from totals that include it.
    pub(super) fn keep_sent(&mut self, report: &LoadReport) {
        if self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport {
            number: report.number,
            interval_ms: report.interval_ms,
            targets: report.targets.iter().map(|target| (target.mark, *target)).collect(),
            services: report.services.iter().map(|demand| (demand.service, *demand)).collect(),
        });
    }

    /// Share of this entry in totals that include the report with a number.
    ///
    /// # Errors
    /// The report is no longer known.
    pub(super) fn own_share(&self, number: Option<u64>) -> Result<OwnShare<'_>, LoadError> {
        let Some(number) = number else { return Ok(OwnShare(None)) };
        let sent = self.sent.iter().find(|sent| sent.number == number);
        sent.map(|sent| OwnShare(Some(sent))).ok_or(LoadError::Late)
    }

    /// Records that totals over a number of entries were received.
    pub(super) fn set_received(&mut self, entries: u32, now: Instant) {
        self.received = Some(now);
        self.entries = entries;
        let is_known =
            |share: &ServiceShare| now.saturating_duration_since(share.received) < NO_WEIGHT;
        self.services.retain(|_, share| is_known(share));
        let services = &self.services;
        self.spills.retain(|service, _| services.contains_key(service));
    }
}

/// This entry's share in totals.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnShare<'a>(Option<&'a SentReport>);

impl OwnShare<'_> {
    /// Load of other entries on a target.
    pub(super) fn others(
        &self,
        mark: TargetMark,
        total: Option<&TargetLoad>,
    ) -> (f64, AnswerCounts) {
        let total = total.copied().unwrap_or_default();
        let sent = self.0.and_then(|sent| Some((sent, sent.targets.get(&mark)?)));
        let (own, scale) = match sent {
            Some((sent, own)) => (*own, interval_scale(sent.interval_ms)),
            None => (TargetLoad::default(), 1.0),
        };
        let rest = |total: u32, own: u32| (f64::from(total) - f64::from(own) * scale).max(0.0);
        let in_flight = f64::from(total.in_flight.saturating_sub(own.in_flight)) / IN_FLIGHT_UNITS;
        let answered = AnswerCounts {
            answers: rest(total.answers, own.answers).round() as u32,
            ratio_sum: rest(total.ratio_sum, own.ratio_sum) / RATIO_UNITS,
            failures: rest(total.failures, own.failures).round() as u32,
        };
        (in_flight, answered)
    }

    /// Openings of this entry for a service, a second.
    pub(super) fn openings_per_s(&self, service: ServiceId) -> f64 {
        let Some(sent) = self.0 else { return 0.0 };
        let openings = sent.services.get(&service).map_or(0, |demand| demand.openings);
        f64::from(openings) * 1_000.0 / f64::from(sent.interval_ms.max(1))
    }
}

impl ServiceShare {
    /// Demand by totals, smoothed with the `last` one.
    pub(super) fn from_total(
        total: &ServiceTotal,
        own_per_s: f64,
        domain: &DomainName,
        last: Option<&Self>,
        now: Instant,
    ) -> Self {
        let last = last.filter(|last| now.saturating_duration_since(last.received) < NO_WEIGHT);
        let weight = last.map_or(1.0, |last| {
            let age = now.saturating_duration_since(last.received);
            1.0 - (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
        });
        let smooth = |before: f64, value: f64| before + (value - before) * weight;
        let mut domains_per_s = last.map(|last| last.domains_per_s.clone()).unwrap_or_default();
        for demand in &total.domains {
            domains_per_s.entry(demand.domain.clone()).or_insert(0.0);
        }
        for (name, rate) in &mut domains_per_s {
            let demand = total.domains.iter().find(|demand| demand.domain == *name);
            *rate = smooth(*rate, demand.map_or(0.0, |d| f64::from(d.openings_per_s)));
        }
        let is_named =
            |name: &DomainName| total.domains.iter().any(|demand| demand.domain == *name);
        domains_per_s.retain(|name, rate| *rate >= MIN_RATE || is_named(name));
        let own_domain = total.domains.iter().find(|demand| demand.domain == *domain);
        Self {
            own_per_s: smooth(last.map_or(0.0, |last| last.own_per_s), own_per_s),
            domain_per_s: domains_per_s.get(domain).copied().unwrap_or(0.0),
            domain_entries: own_domain.map_or(0, |demand| demand.entries),
            domains_per_s,
            in_flight: f64::from(total.in_flight) / IN_FLIGHT_UNITS,
            received: now,
        }
    }
}

/// Weight of information of an age: 1 at first, then falling to 0.
fn weight(age: Duration) -> f64 {
    if age <= FULL_WEIGHT {
        return 1.0;
    }
    let left = NO_WEIGHT.saturating_sub(age).as_secs_f64();
    left / (NO_WEIGHT - FULL_WEIGHT).as_secs_f64()
}
