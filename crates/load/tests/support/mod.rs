//! Reports and sums for tests.
#![allow(dead_code)]

use comfreyhold_load::messages::VERSION;
use comfreyhold_load::{
    LoadReport, LoadTotals, SenderStart, ServiceDemand, ServiceId, TargetLoad, TargetMark,
};
use comfreyhold_types::keys::DomainName;
use std::time::Duration;

/// Interval of the reports, in milliseconds.
pub const INTERVAL_MS: u32 = 250;

/// The service that reports name.
pub const SERVICE: ServiceId = ServiceId(7);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sender(sender: u64, start: u64) -> SenderStart {
    SenderStart { sender, start }
}

pub fn domain(name: &str) -> DomainName {
    DomainName::from(name)
}

/// Load with `in_flight` sixteenths of a request in flight, one answer and one failure.
pub fn target(mark: u32, in_flight: u32) -> TargetLoad {
    let mark = TargetMark(mark);
    TargetLoad { mark, in_flight, answers: 1, ratio_sum: 16, failures: 1 }
}

/// A report about target 1 with `in_flight` sixteenths of a request, and 25 openings.
pub fn report(from: SenderStart, number: u64, in_flight: u32) -> LoadReport {
    LoadReport {
        version: VERSION,
        from,
        number,
        domain: domain(if from.sender.is_multiple_of(2) { "even" } else { "odd" }),
        interval_ms: INTERVAL_MS,
        under_pressure: true,
        targets: vec![target(1, in_flight)],
        services: vec![ServiceDemand { service: SERVICE, openings: 25, in_flight }],
    }
}

/// Requests in flight at target 1, in sixteenths.
pub fn in_flight(totals: &LoadTotals) -> u32 {
    totals.targets.iter().find(|t| t.mark == TargetMark(1)).map_or(0, |t| t.in_flight)
}
