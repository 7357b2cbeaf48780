//! Account of a played day: what its requests earned, and which faults took the rest.

mod decisions;
mod faults;
mod table;

pub use decisions::{DecisionCount, DecisionCounts};
pub use faults::{FaultCost, fault_costs};
pub use table::{days_table, decisions_table, fault_costs_table};

use serde::Serialize;
use std::time::Duration;

/// Share of the credit from which a span counts as full service. Spans of days without faults earn more.
pub const FULL_SERVICE: f64 = 0.98;

/// Requests of a group, and what became of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcomes {
    /// Name of the group.
    pub group: String,
    /// Requests that were owed an answer.
    pub asked: u64,
    /// Answered within their latency objective.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused, and not served by a retry.
    pub refused: u64,
    /// Broken off, or never answered.
    pub failed: u64,
    /// Share of the credit that they earned, 0 to 1.
    pub credit: f64,
}

impl Outcomes {
    /// Credit lost, in requests.
    #[must_use]
    pub fn lost(&self) -> f64 {
        self.asked as f64 * (1.0 - self.credit)
    }
}

/// The requests sent in a span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Span {
    /// Begin, from the start of the load.
    pub from: Duration,
    /// Its requests.
    pub outcomes: Outcomes,
}

/// A fault or a planned change.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fault {
    /// Its kind and variant.
    pub kind: String,
    /// Begin, from the start of the load.
    pub from: Duration,
    /// End.
    pub to: Duration,
    /// Whether it was planned.
    pub planned: bool,
}

/// A price taken off the credit.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Price {
    /// What is paid for.
    pub name: String,
    /// Share of the day's credit.
    pub share: f64,
}

/// Requests that reached the targets of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceAccount {
    /// Its name.
    pub name: String,
    /// Requests that reached a target.
    pub arrivals: u64,
    /// Requests that a full target refused.
    pub shed: u64,
    /// Requests of the busiest target over the mean.
    pub busiest_over_mean: f64,
}

/// One played day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DayAccount {
    /// Name of the day.
    pub name: String,
    /// Credit less prices.
    pub worth: f64,
    /// All requests.
    pub whole: Outcomes,
    /// By kind of request.
    pub classes: Vec<Outcomes>,
    /// By the callers' failure domain.
    pub domains: Vec<Outcomes>,
    /// By time.
    pub spans: Vec<Span>,
    /// Faults and planned changes.
    pub faults: Vec<Fault>,
    /// Prices.
    pub prices: Vec<Price>,
    /// Services.
    pub services: Vec<ServiceAccount>,
    /// How attempts ended, with their number.
    pub attempts: Vec<(String, u64)>,
}

impl DayAccount {
    /// The group that earned the smallest share.
    fn worst(groups: &[Outcomes]) -> Option<&Outcomes> {
        groups.iter().min_by(|a, b| a.credit.total_cmp(&b.credit))
    }

    /// The span that earned the smallest share.
    #[must_use]
    pub fn worst_span(&self) -> Option<&Span> {
        self.spans.iter().min_by(|a, b| a.outcomes.credit.total_cmp(&b.outcomes.credit))
    }

    /// The kind of request that earned the smallest share.
    #[must_use]
    pub fn worst_class(&self) -> Option<&Outcomes> {
        Self::worst(&self.classes)
    }

    /// The failure domain that earned the smallest share.
    #[must_use]
    pub fn worst_domain(&self) -> Option<&Outcomes> {
        Self::worst(&self.domains)
    }
}
