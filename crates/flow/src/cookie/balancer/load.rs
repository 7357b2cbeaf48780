//! Reports of this entry's load, and totals over all entries.

use super::{Balancer, hash_opening};
use crate::cookie::CallerPacket;
use crate::cookie::directory::AnswerCounts;
use crate::cookie::shared::{OthersLoad, ServiceShare};
use crate::cookie::spill::DomainLoad;
use comfreyhold_load::book::check_totals;
use comfreyhold_load::messages::{IN_FLIGHT_UNITS, MAX_COUNT, MAX_SERVICES, RATIO_UNITS, VERSION};
use comfreyhold_load::sums::busiest;
use comfreyhold_load::{
    LoadError, LoadReport, LoadTotals, SenderStart, ServiceDemand, ServiceId, ServiceTotal,
    TargetLoad, TargetMark,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::Route;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Age above which totals are not applied: the oldest report was up to 1.5 s old when its control daemon added it
/// up, and that sum up to 1.5 s old when it was included.
const MAX_TOTALS_AGE: Duration = Duration::from_millis(3_100);

/// A target with less than this share of its announced slots is a sign of pressure.
const SLOW_SHARE_OF_SLOTS: f64 = 0.5;

impl Balancer {
    /// Ends the interval of a load report and starts the next one. Returns the report, which is sent or dropped;
    /// `None` for the first interval and for one in which the process was frozen.
    pub fn load_report(&mut self, from: SenderStart, now: Instant) -> Option<LoadReport> {
        let interval = self.shared.end_interval(now);
        let openings = self.shared.take_openings();
        let seconds = interval.unwrap_or(Duration::MAX).as_secs_f64();
        let mut demand: BTreeMap<ServiceId, ServiceDemand> = BTreeMap::new();
        for (service, openings) in openings {
            let service = ServiceId::of(&service);
            let openings = openings.min(MAX_COUNT);
            demand.insert(service, ServiceDemand { service, openings, in_flight: 0 });
        }
        let mut targets = Vec::new();
        let mut responses = AnswerCounts::default();
        let mut in_flight: BTreeMap<&str, f64> = BTreeMap::new();
        for target in self.directory.iter_mut() {
            let mean = target.load_integral.take(target.load, now) / seconds;
            let answered = std::mem::take(&mut target.answered);
            responses.answers = responses.answers.saturating_add(answered.answers);
            responses.failures = responses.failures.saturating_add(answered.failures);
            *in_flight.entry(target.spec.service.as_str()).or_default() += mean;
            let load = TargetLoad {
                mark: TargetMark(target.cookie.0),
                in_flight: to_units(mean, IN_FLIGHT_UNITS),
                answers: answered.answers.min(MAX_COUNT),
                ratio_sum: to_units(answered.ratio_sum, RATIO_UNITS),
                failures: answered.failures.min(MAX_COUNT),
            };
            let is_idle = load.in_flight == 0 && load.answers == 0 && load.failures == 0;
            if !is_idle && !target.has_ambiguous_cookie {
                targets.push(load);
            }
        }
        for (service, mean) in in_flight {
            let (service, in_flight) = (ServiceId::of(service), to_units(mean, IN_FLIGHT_UNITS));
            if in_flight > 0 {
                let empty = ServiceDemand { service, openings: 0, in_flight: 0 };
                demand.entry(service).or_insert(empty).in_flight = in_flight;
            }
        }
        let all = responses.answers.saturating_add(responses.failures);
        self.shared.record_responses(all, responses.failures, now);
        let report = LoadReport {
            version: VERSION,
            from,
            number: self.shared.next_number(),
            domain: self.settings.domain.clone(),
            interval_ms: u32::try_from(interval?.as_millis()).unwrap_or(u32::MAX),
            under_pressure: self.is_under_pressure(now),
            targets: busiest(targets),
            services: demand.into_values().take(MAX_SERVICES).collect(),
        };
        self.shared.keep_sent(&report);
        Some(report)
    }

    /// Applies totals over all entries, received as the response to a report: subtracts this entry's share and
    /// keeps the rest. Totals that say that load is not shared change nothing.
    ///
    /// # Errors
    /// The totals are malformed, too old, or include a report of this entry that it no longer knows. They change
    /// nothing then.
    pub fn apply_load_totals(
        &mut self,
        totals: &LoadTotals,
        now: Instant,
    ) -> Result<(), LoadError> {
        check_totals(totals)?;
        if !totals.is_sharing {
            return Ok(());
        }
        if Duration::from_millis(totals.age_ms.into()) > MAX_TOTALS_AGE {
            return Err(LoadError::Late);
        }
        let own = self.shared.own_share(totals.own_number)?;
        let loads: BTreeMap<TargetMark, &TargetLoad> =
            totals.targets.iter().map(|load| (load.mark, load)).collect();
        let mut elsewhere = Vec::new();
        for target in self.directory.iter_mut().filter(|target| !target.has_ambiguous_cookie) {
            let mark = TargetMark(target.cookie.0);
            let (in_flight, answered) = own.others(mark, loads.get(&mark).copied());
            target.others = Some(OthersLoad::new(in_flight, now));
            if answered != AnswerCounts::default() {
                elsewhere.push((target.cookie, answered));
            }
        }
        let mut services = Vec::new();
        for name in self.top_priorities.keys() {
            let service = ServiceId::of(name);
            let Some(total) = totals.services.iter().find(|t| t.service == service) else {
                continue;
            };
            let last = self.shared.service(name, now);
            let own_per_s = own.openings_per_s(service);
            let domain = &self.settings.domain;
            let share = ServiceShare::from_total(total, own_per_s, domain, last, now);
            services.push((name, share, self.domain_loads(name, total, &loads, now)));
        }
        let is_complete = self.shared.is_complete(totals.entries, now);
        for (name, share, (domains, busy)) in services {
            self.shared.set_service(name, share);
            if is_complete {
                self.shared.update_spill(name, &self.settings.domain, &domains, busy);
            }
        }
        for (cookie, answered) in elsewhere {
            self.record_others_answers(cookie, answered, now);
        }
        self.shared.set_received(totals.entries, now);
        Ok(())
    }

    /// Demand and usable slots of each domain for a service, and the number of slots in use. Domains without entries
    /// that report are left out, since their demand is unknown.
    fn domain_loads(
        &self,
        service: &str,
        total: &ServiceTotal,
        loads: &BTreeMap<TargetMark, &TargetLoad>,
        now: Instant,
    ) -> (BTreeMap<DomainName, DomainLoad>, f64) {
        let mut domains: BTreeMap<DomainName, DomainLoad> = BTreeMap::new();
        for demand in total.domains.iter().filter(|demand| demand.entries > 0) {
            let openings_per_s = f64::from(demand.openings_per_s);
            domains.insert(demand.domain.clone(), DomainLoad { openings_per_s, slots: 0.0 });
        }
        let mut busy = 0.0;
        for (_, target) in self.directory.iter_service(service) {
            let spec = &target.spec;
            let slots = target.effective_slots(now);
            let load = loads.get(&TargetMark(target.cookie.0)).map_or(0, |load| load.in_flight);
            busy += (f64::from(load) / IN_FLIGHT_UNITS).min(slots);
            let is_usable = spec.availability == Availability::Serving
                && !target.has_ambiguous_cookie
                && !self.routing.withdrawn.contains(&spec.domain)
                && now >= spec.cold_until;
            if let Some(domain) = domains.get_mut(&spec.domain).filter(|_| is_usable) {
                domain.slots += slots;
            }
        }
        (domains, busy)
    }

    /// Whether this entry sees signs that targets or entries are short of capacity: openings wait or were refused,
    /// or responses were late, refused or failed, in the last second; or a target is far slower than the others.
    #[must_use]
    pub fn is_under_pressure(&self, now: Instant) -> bool {
        self.shared.is_under_pressure(now)
            || self.directory.iter().any(|(_, target)| {
                let announced = f64::from(target.spec.slots.max(1));
                let is_running = target.ended_at.is_none();
                is_running && target.effective_slots(now) < announced * SLOW_SHARE_OF_SLOTS
            })
    }

    /// Records the response of a target, for the first signs of an overload.
    pub(in crate::cookie) fn record_response(&mut self, is_refusal: bool, now: Instant) {
        self.shared.early.record_response(is_refusal, now);
    }

    /// Time since totals over all entries were last received; `None` if there were none.
    #[must_use]
    pub fn load_totals_age(&self, now: Instant) -> Option<Duration> {
        self.shared.age(now)
    }

    /// Counts the first copy of an opening as demand for its service, whatever is decided about it.
    pub(super) fn count_opening(&mut self, packet: &CallerPacket, route: &Route, now: Instant) {
        if let Some(service) = route.choose_service(hash_opening(&packet.flow, packet.seq)) {
            self.shared.count_opening(service);
        }
        self.shared.early.record_in_flight(self.directory.load(), now);
    }

    /// Records that an opening was refused because this entry's link can't carry it, which is a sign of pressure.
    pub fn record_link_refusal(&mut self, now: Instant) {
        self.shared.record_link_refusal(now);
    }

    /// Requests in flight by priority at the service that a packet's service address leads to, for logs.
    #[must_use]
    pub fn in_flight_by_priority(&self, packet: &CallerPacket) -> BTreeMap<u8, f64> {
        let route = self.routing.table.as_ref().and_then(|t| t.routes.get(&packet.flow.service));
        let service = route.and_then(|r| r.choose_service(hash_opening(&packet.flow, packet.seq)));
        service.map(|name| self.admission.in_flight_by_priority(name)).unwrap_or_default()
    }

    /// Requests that are kept free for the highest priorities of all services.
    #[must_use]
    pub fn admission_reserve(&self) -> f64 {
        self.admission.reserve()
    }

    /// Records that entries begin to share their load, so that a report is due.
    pub fn record_sharing_begins(&mut self) {
        self.shared.early.record_told();
    }

    /// Whether this entry should report its load now, before its next interval: because entries have begun to share, or
    /// by the first signs of an overload, which are refusals by full targets or far more requests in flight than usual.
    /// True at most once in 100 ms if the report is taken then.
    pub fn takes_early_report(&mut self, now: Instant) -> bool {
        self.shared.takes_early_report(now)
    }
}

fn to_units(value: f64, units: f64) -> u32 {
    ((value * units).round() as u32).min(MAX_COUNT)
}
