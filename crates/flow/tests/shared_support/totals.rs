//! Exchange of totals: entries report every 250 ms while one of them is under pressure, and learn the sums 50 ms later.

use super::deployment::{SERVICE, domain_name};
use super::{Entry, Event, Play, WARM_UP};
use comfreyhold_flow::cookie::TargetKey;
use comfreyhold_flow::cookie::shared::{OthersLoad, ServiceShare};
use comfreyhold_types::keys::DomainName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of reports.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Time from a report to the totals that include it.
const DELAY: Duration = Duration::from_millis(50);

/// Time for which entries share after the last sign of pressure.
const SHARING_PERIOD: Duration = Duration::from_secs(5);

/// Answers of the last second without which there is no pressure, and how many for each bad one there may be.
const MIN_ANSWERS: usize = 10;
const ANSWERS_PER_BAD: usize = 20;

/// State of the exchange.
#[derive(Default)]
pub struct Exchange {
    sharing_until: Option<Duration>,
    last_report: Duration,
    /// Openings a second of each entry in its last report, and the requests in flight of all.
    reported: BTreeMap<usize, f64>,
    in_flight: f64,
    /// Samples of the requests in flight by entry and target since the last report, and their number.
    samples: BTreeMap<usize, BTreeMap<TargetKey, f64>>,
    sample_count: u32,
    /// Mean requests in flight in the last report.
    loads: BTreeMap<usize, BTreeMap<TargetKey, f64>>,
}

impl Play {
    pub(super) fn look_for_pressure(&mut self) {
        let now = self.now;
        self.sample_loads();
        let is_under_pressure = self.entries.iter_mut().any(|entry| is_under_pressure(entry, now));
        if !is_under_pressure && !self.scenario.always_shares {
            return;
        }
        let was_sharing = self.exchange.sharing_until.is_some_and(|until| now < until);
        self.exchange.sharing_until = Some(now + SHARING_PERIOD);
        if !was_sharing {
            self.report();
        }
    }

    /// Keys are the same at all entries, which learn of the targets in the same order.
    fn sample_loads(&mut self) {
        if self.exchange.sharing_until.is_none_or(|until| self.now >= until) {
            return;
        }
        self.exchange.sample_count += 1;
        for (number, entry) in self.entries.iter().enumerate() {
            let samples = self.exchange.samples.entry(number).or_default();
            for (key, target) in entry.balancer.directory().iter().filter(|(_, t)| t.load > 0.0) {
                *samples.entry(key).or_default() += target.load;
            }
        }
    }

    /// Takes the reports of all entries that are connected.
    pub(super) fn report(&mut self) {
        let (now, at) = (self.now, self.now.saturating_sub(WARM_UP));
        let seconds = (now - self.exchange.last_report).as_secs_f64().max(0.001);
        self.exchange.last_report = now;
        self.exchange.reported.clear();
        self.exchange.in_flight = 0.0;
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let openings = std::mem::take(&mut entry.openings);
            entry.has_held = false;
            if self.scenario.is_connected(number, at) {
                self.exchange.reported.insert(number, f64::from(openings) / seconds);
                let targets = entry.balancer.directory().iter();
                self.exchange.in_flight += targets.map(|(_, target)| target.load).sum::<f64>();
            }
        }
        let samples = std::mem::take(&mut self.exchange.samples);
        let count = f64::from(std::mem::take(&mut self.exchange.sample_count).max(1));
        let connected =
            samples.into_iter().filter(|(number, _)| self.scenario.is_connected(*number, at));
        let mean = |loads: BTreeMap<TargetKey, f64>| -> BTreeMap<TargetKey, f64> {
            loads.into_iter().map(|(key, sum)| (key, sum / count)).collect()
        };
        self.exchange.loads = connected.map(|(number, loads)| (number, mean(loads))).collect();
        if self.exchange.sharing_until.is_some_and(|until| now < until) {
            self.schedule(DELAY, Event::Totals);
        }
    }

    pub(super) fn deliver_totals(&mut self) {
        let at = self.now.saturating_sub(WARM_UP);
        let mut domains: BTreeMap<usize, (f64, u32)> = BTreeMap::new();
        for (number, per_s) in &self.exchange.reported {
            let domain = domains.entry(self.entries[*number].domain).or_default();
            *domain = (domain.0 + per_s, domain.1 + 1);
        }
        let domains_per_s: BTreeMap<DomainName, f64> =
            domains.iter().map(|(domain, (per_s, _))| (domain_name(*domain), *per_s)).collect();
        let mut total_loads: BTreeMap<TargetKey, f64> = BTreeMap::new();
        for (key, load) in self.exchange.loads.values().flatten() {
            *total_loads.entry(*key).or_default() += load;
        }
        let received = self.start + self.now;
        for (number, entry) in self.entries.iter_mut().enumerate() {
            if !self.scenario.is_connected(number, at) {
                continue;
            }
            let own = self.exchange.loads.get(&number);
            for (key, total) in total_loads.iter().filter(|_| self.scenario.places_by_totals) {
                let own = own.and_then(|own| own.get(key)).copied().unwrap_or_default();
                if let Some(target) = entry.balancer.directory_mut().get_mut(*key) {
                    target.others = Some(OthersLoad::new(total - own, received));
                }
            }
            let (domain_per_s, domain_entries) =
                domains.get(&entry.domain).copied().unwrap_or_default();
            let share = ServiceShare {
                own_per_s: self.exchange.reported.get(&number).copied().unwrap_or_default(),
                domain_per_s,
                domain_entries,
                domains_per_s: domains_per_s.clone(),
                in_flight: self.exchange.in_flight,
                received,
            };
            entry.balancer.shared_mut().set_service(SERVICE, share);
        }
    }
}

fn is_under_pressure(entry: &mut Entry, now: Duration) -> bool {
    while entry.answers.front().is_some_and(|(at, _)| now > *at + Duration::from_secs(1)) {
        entry.answers.pop_front();
    }
    let answers = entry.answers.len();
    let bad = entry.answers.iter().filter(|(_, is_bad)| *is_bad).count();
    entry.has_held || (answers >= MIN_ANSWERS && bad * ANSWERS_PER_BAD >= answers)
}
