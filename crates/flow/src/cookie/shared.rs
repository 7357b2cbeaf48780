//! The load of other entries, as this entry knows it from the totals of the control daemons.
//!
//! Totals count in full for a while after they were received, and fade to nothing, so that an entry without news
//! decides by what it sees itself.

use comfreyhold_types::keys::DomainName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which the load of others starts to fade.
const FULL_WEIGHT: Duration = Duration::from_secs(1);

/// Time after which the load of others counts for nothing.
const NO_WEIGHT: Duration = Duration::from_secs(2);

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
        self.mean_in_flight * weight(now.saturating_duration_since(self.received))
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

/// What this entry knows of the load of all entries.
#[derive(Debug, Default)]
pub struct SharedLoad {
    services: BTreeMap<String, ServiceShare>,
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
}

/// Weight of information of an age: 1 at first, then falling to 0.
fn weight(age: Duration) -> f64 {
    if age <= FULL_WEIGHT {
        return 1.0;
    }
    let left = NO_WEIGHT.saturating_sub(age).as_secs_f64();
    left / (NO_WEIGHT - FULL_WEIGHT).as_secs_f64()
}
