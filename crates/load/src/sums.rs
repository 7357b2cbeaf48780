//! Adds up loads of targets and demand for services.

use crate::messages::{
    DomainDemand, LoadReport, LoadSum, MAX_COUNT, MAX_DOMAINS, MAX_SERVICES, MAX_TARGETS,
    ServiceId, ServiceTotal, TargetLoad, TargetMark,
};
use comfreyhold_types::keys::DomainName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two reports of an entry, and between two sums of a control daemon. Counts in sums and totals
/// are for this length.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, Default)]
struct TargetSum {
    in_flight: f64,
    answers: f64,
    ratio_sum: f64,
    failures: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceSum {
    in_flight: f64,
    openings_per_s: BTreeMap<DomainName, f64>,
}

/// A sum in progress.
#[derive(Clone, Debug, Default)]
pub struct Summation {
    targets: BTreeMap<TargetMark, TargetSum>,
    services: BTreeMap<ServiceId, ServiceSum>,
}

impl Summation {
    /// Adds an entry's report, with its counts scaled to [`REPORT_INTERVAL`].
    pub fn add_report(&mut self, report: &LoadReport) {
        let scale = interval_scale(report.interval_ms);
        for target in &report.targets {
            self.add_target(target, 1.0, scale);
        }
        let per_s = 1_000.0 / f64::from(report.interval_ms.max(1));
        for demand in &report.services {
            let sum = self.services.entry(demand.service).or_default();
            sum.in_flight += f64::from(demand.in_flight);
            *sum.openings_per_s.entry(report.domain.clone()).or_default() +=
                f64::from(demand.openings) * per_s;
        }
    }

    /// Adds a control daemon's sum, multiplied by a factor.
    pub fn add_sum(&mut self, other: &LoadSum, factor: f64) {
        for target in &other.targets {
            self.add_target(target, factor, factor);
        }
        for service in &other.services {
            let sum = self.services.entry(service.service).or_default();
            sum.in_flight += f64::from(service.in_flight) * factor;
            for demand in &service.domains {
                *sum.openings_per_s.entry(demand.domain.clone()).or_default() +=
                    f64::from(demand.openings_per_s) * factor;
            }
        }
    }

    fn add_target(&mut self, target: &TargetLoad, factor: f64, count_factor: f64) {
        let sum = self.targets.entry(target.mark).or_default();
        sum.in_flight += f64::from(target.in_flight) * factor;
        sum.answers += f64::from(target.answers) * count_factor;
        sum.ratio_sum += f64::from(target.ratio_sum) * count_factor;
        sum.failures += f64::from(target.failures) * count_factor;
    }

    /// Loads of the targets, the busiest first and at most [`MAX_TARGETS`] of them.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetLoad> {
        let load = |(mark, sum): (&TargetMark, &TargetSum)| TargetLoad {
            mark: *mark,
            in_flight: to_count(sum.in_flight),
            answers: to_count(sum.answers),
            ratio_sum: to_count(sum.ratio_sum),
            failures: to_count(sum.failures),
        };
        busiest(self.targets.iter().map(load).collect())
    }

    /// Demand for the services, at most [`MAX_SERVICES`] of them, with the number of entries of each failure
    /// domain.
    #[must_use]
    pub fn services(&self, entries: &BTreeMap<DomainName, u32>) -> Vec<ServiceTotal> {
        let domains = |sum: &ServiceSum| {
            let demand = |(domain, count): (&DomainName, &u32)| DomainDemand {
                domain: domain.clone(),
                openings_per_s: to_count(sum.openings_per_s.get(domain).copied().unwrap_or(0.0)),
                entries: *count,
            };
            entries.iter().take(MAX_DOMAINS).map(demand).collect()
        };
        let total = |(service, sum): (&ServiceId, &ServiceSum)| ServiceTotal {
            service: *service,
            in_flight: to_count(sum.in_flight),
            domains: domains(sum),
        };
        self.services.iter().take(MAX_SERVICES).map(total).collect()
    }
}

/// Factor from counts in an interval to counts in [`REPORT_INTERVAL`].
#[must_use]
pub fn interval_scale(interval_ms: u32) -> f64 {
    REPORT_INTERVAL.as_secs_f64() * 1_000.0 / f64::from(interval_ms.max(1))
}

/// Sorts loads by requests in flight and in the interval, the busiest first, and keeps [`MAX_TARGETS`] of them.
#[must_use]
pub fn busiest(mut targets: Vec<TargetLoad>) -> Vec<TargetLoad> {
    targets.sort_unstable_by_key(|target| {
        let requests = target.answers.saturating_add(target.failures);
        (std::cmp::Reverse((target.in_flight, requests)), target.mark)
    });
    targets.truncate(MAX_TARGETS);
    targets
}

/// Rounds to a count that messages may state; values out of range become the nearest one.
fn to_count(value: f64) -> u32 {
    (value.round() as u32).min(MAX_COUNT)
}
