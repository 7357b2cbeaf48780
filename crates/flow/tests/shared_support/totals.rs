//! Exchange of totals: entries report every 250 ms while one of them is under pressure, or sooner on the first signs of
//! it, and learn the sums 50 ms later. Reports and signs of pressure are those of the real entries.

use super::deployment::{SERVICE, domain_name};
use super::{Event, Play, WARM_UP};
use comfreyhold_flow::cookie::TargetKey;
use comfreyhold_flow::cookie::shared::{OthersLoad, ServiceShare};
use comfreyhold_load::messages::IN_FLIGHT_UNITS;
use comfreyhold_load::{LoadReport, SenderStart, ServiceId, TargetMark};
use comfreyhold_types::keys::DomainName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of reports.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Time from a report to the totals that include it.
const DELAY: Duration = Duration::from_millis(50);

/// Time from the report that begins the sharing to the reports of the other entries.
const TOLD_DELAY: Duration = Duration::from_millis(25);

/// Time for which entries share after the last report under pressure.
const SHARING_PERIOD: Duration = Duration::from_secs(5);

/// State of the exchange.
#[derive(Default)]
pub struct Exchange {
    sharing_until: Option<Duration>,
    /// The newest report of each entry.
    reports: BTreeMap<usize, LoadReport>,
}

impl Exchange {
    fn is_sharing(&self, now: Duration) -> bool {
        self.sharing_until.is_some_and(|until| now < until)
    }
}

impl Play {
    /// Lets entries report that have seen the first signs of pressure.
    pub(super) fn look_for_pressure(&mut self) {
        let at = self.now.saturating_sub(WARM_UP);
        for number in 0..self.entries.len() {
            let balancer = &mut self.entries[number].balancer;
            if self.scenario.is_connected(number, at)
                && balancer.takes_early_report(self.start + self.now)
            {
                let Some(is_under_pressure) = self.take_report(number) else { continue };
                if is_under_pressure {
                    self.begin_sharing();
                }
                self.schedule(DELAY, Event::Totals { entry: Some(number) });
            }
        }
    }

    /// Takes the reports of all entries that are connected.
    pub(super) fn report(&mut self) {
        let at = self.now.saturating_sub(WARM_UP);
        self.exchange.reports.retain(|number, _| self.scenario.is_connected(*number, at));
        for number in 0..self.entries.len() {
            let is_connected = self.scenario.is_connected(number, at);
            let is_under_pressure = is_connected && self.take_report(number) == Some(true);
            if is_under_pressure || self.scenario.always_shares {
                self.begin_sharing();
            }
        }
        if self.exchange.is_sharing(self.now) {
            self.schedule(DELAY, Event::Totals { entry: None });
        }
    }

    /// Takes an entry's report. Returns whether the entry is under pressure; `None` without a report.
    fn take_report(&mut self, number: usize) -> Option<bool> {
        let from = SenderStart { sender: number as u64, start: 1 };
        let balancer = &mut self.entries[number].balancer;
        let report = balancer.load_report(from, self.start + self.now)?;
        let is_under_pressure = report.under_pressure;
        self.exchange.reports.insert(number, report);
        Some(is_under_pressure)
    }

    /// Tells all entries that are connected to report.
    pub(super) fn tell_entries(&mut self) {
        let at = self.now.saturating_sub(WARM_UP);
        for (number, entry) in self.entries.iter_mut().enumerate() {
            if self.scenario.is_connected(number, at) {
                entry.balancer.record_sharing_begins();
            }
        }
    }

    fn begin_sharing(&mut self) {
        if !self.exchange.is_sharing(self.now) {
            self.exchange.reports.retain(|_, report| report.under_pressure);
            self.schedule(TOLD_DELAY, Event::Told);
        }
        self.exchange.sharing_until = Some(self.now + SHARING_PERIOD);
    }

    /// Gives the totals to one entry or to all.
    pub(super) fn deliver_totals(&mut self, entry: Option<usize>) {
        let at = self.now.saturating_sub(WARM_UP);
        let mut domains: BTreeMap<usize, (f64, u32)> = BTreeMap::new();
        let mut in_flight = 0.0;
        let mut loads: BTreeMap<TargetMark, f64> = BTreeMap::new();
        for (number, report) in &self.exchange.reports {
            let domain = domains.entry(self.entries[*number].domain).or_default();
            *domain = (domain.0 + openings_per_s(report), domain.1 + 1);
            for target in &report.targets {
                let load = f64::from(target.in_flight) / IN_FLIGHT_UNITS;
                *loads.entry(target.mark).or_default() += load;
                in_flight += load;
            }
        }
        let domains_per_s: BTreeMap<DomainName, f64> =
            domains.iter().map(|(domain, (per_s, _))| (domain_name(*domain), *per_s)).collect();
        if !self.exchange.is_sharing(self.now) {
            return;
        }
        let received = self.start + self.now;
        let numbers = entry.map_or(0..self.entries.len(), |entry| entry..entry + 1);
        for number in numbers.filter(|number| self.scenario.is_connected(*number, at)) {
            let own = self.exchange.reports.get(&number);
            let entry = &mut self.entries[number];
            if self.scenario.places_by_totals {
                let own_loads: BTreeMap<TargetMark, u32> = own
                    .map(|own| own.targets.iter().map(|t| (t.mark, t.in_flight)).collect())
                    .unwrap_or_default();
                let directory = entry.balancer.directory_mut();
                let keys: Vec<TargetKey> = directory.iter().map(|(key, _)| key).collect();
                for target in keys {
                    let Some(target) = directory.get_mut(target) else { continue };
                    let mark = TargetMark(target.cookie.0);
                    let own = f64::from(own_loads.get(&mark).copied().unwrap_or_default());
                    let total = loads.get(&mark).copied().unwrap_or_default();
                    let others = (total - own / IN_FLIGHT_UNITS).max(0.0);
                    target.others = Some(OthersLoad::new(others, received));
                }
            }
            let (domain_per_s, domain_entries) =
                domains.get(&entry.domain).copied().unwrap_or_default();
            let share = ServiceShare {
                own_per_s: own.map_or(0.0, openings_per_s),
                domain_per_s,
                domain_entries,
                domains_per_s: domains_per_s.clone(),
                in_flight,
                received,
            };
            entry.balancer.shared_mut().set_service(SERVICE, share);
        }
    }
}

/// Openings a second that a report states.
fn openings_per_s(report: &LoadReport) -> f64 {
    let service = ServiceId::of(SERVICE);
    let demand = report.services.iter().find(|demand| demand.service == service);
    let openings = demand.map_or(0, |demand| demand.openings);
    f64::from(openings) * 1_000.0 / f64::from(report.interval_ms.max(1))
}
