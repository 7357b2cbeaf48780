//! Account of a simulated day: the credit that its requests earned, and the faults that caused the loss.

mod decisions;
mod faults;
mod table;

pub use decisions::{DecisionCount, DecisionCounts};
pub use faults::{FaultCost, fault_costs};
pub use table::{days_table, decisions_table, fault_costs_table};

use serde::Serialize;
use std::time::Duration;

/// Smallest share of the credit at which a span counts as full service. Spans of days without faults earn
/// more than this.
pub const FULL_SERVICE_CREDIT: f64 = 0.98;

/// Outcomes of a group of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcomes {
    /// Name of the group, such as a kind of request or a failure domain.
    pub group: String,
    /// Requests for which a response was due.
    pub asked: u64,
    /// Requests that met their latency objective.
    pub in_time: u64,
    /// Requests whose response came after their latency objective.
    pub late: u64,
    /// Requests that were refused and that no retry served.
    pub refused: u64,
    /// Requests that were aborted or never got a response.
    pub failed: u64,
    /// Share of the possible credit that the group earned, 0 to 1.
    pub credit: f64,
}

impl Outcomes {
    /// Lost credit in units of requests: a request that earned nothing counts as 1.
    #[must_use]
    pub fn lost(&self) -> f64 {
        self.asked as f64 * (1.0 - self.credit)
    }
}

/// Outcomes of the requests sent in one interval of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Span {
    /// Begin, relative to the start of the load.
    pub from: Duration,
    /// Outcomes of the requests sent in it.
    pub outcomes: Outcomes,
}

/// A fault or a planned change that happened during the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fault {
    /// Kind and variant of the fault.
    pub kind: String,
    /// Begin, relative to the start of the load.
    pub from: Duration,
    /// End, relative to the start of the load.
    pub to: Duration,
    /// Whether it is a planned change instead of a fault.
    pub planned: bool,
}

/// A deduction from the credit.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Price {
    /// What the deduction is for.
    pub name: String,
    /// Deduction as a share of the day's credit.
    pub share: f64,
}

/// Counts of the requests that reached the targets of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceAccount {
    /// Name of the service.
    pub name: String,
    /// Requests that reached a target.
    pub arrivals: u64,
    /// Requests that a target refused because it was full.
    pub shed: u64,
    /// Requests of the busiest target divided by the mean of all targets.
    pub busiest_over_mean: f64,
}

/// Report of one simulated day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DayAccount {
    /// Name of the day.
    pub name: String,
    /// Credit minus the prices.
    pub worth: f64,
    /// Outcomes of all requests.
    pub whole: Outcomes,
    /// Outcomes by kind of request.
    pub classes: Vec<Outcomes>,
    /// Outcomes by the callers' failure domain.
    pub domains: Vec<Outcomes>,
    /// Outcomes by time, in spans of equal length.
    pub spans: Vec<Span>,
    /// Faults and planned changes of the day.
    pub faults: Vec<Fault>,
    /// Deductions from the credit.
    pub prices: Vec<Price>,
    /// Counts of each service.
    pub services: Vec<ServiceAccount>,
    /// Number of attempts by how they ended.
    pub attempts: Vec<(String, u64)>,
}

impl DayAccount {
    fn worst_group(groups: &[Outcomes]) -> Option<&Outcomes> {
        groups.iter().min_by(|a, b| a.credit.total_cmp(&b.credit))
    }

    /// The span that earned the smallest share of its credit; `None` without spans.
    #[must_use]
    pub fn worst_span(&self) -> Option<&Span> {
        self.spans.iter().min_by(|a, b| a.outcomes.credit.total_cmp(&b.outcomes.credit))
    }

    /// The kind of request that earned the smallest share of its credit.
    #[must_use]
    pub fn worst_class(&self) -> Option<&Outcomes> {
        Self::worst_group(&self.classes)
    }

    /// The failure domain whose callers earned the smallest share of their credit.
    #[must_use]
    pub fn worst_domain(&self) -> Option<&Outcomes> {
        Self::worst_group(&self.domains)
    }
}
