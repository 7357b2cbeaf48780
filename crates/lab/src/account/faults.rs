//! Which faults the lost credit goes to, and how long each kept full service away.

use super::{DayAccount, FULL_SERVICE, Fault, Span};
use serde::Serialize;
use std::time::Duration;

/// Time after its end in which a fault is still charged with lost credit: requests sent during it may fail
/// until their deadlines.
const AFTERMATH: Duration = Duration::from_secs(4);

/// What one fault has cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultCost {
    /// Kind of the fault.
    pub kind: String,
    /// Time from its begin to the end of the last span without full service that it is charged with, or 0.
    /// It is exact to the length of a span.
    pub without_service: Duration,
    /// Credit lost in these spans, as a share of the day's.
    pub lost: f64,
}

/// What each fault of a day has cost. A span is charged to the fault that began last among those that were on
/// or had just ended; unplanned ones go before planned ones.
#[must_use]
pub fn fault_costs(day: &DayAccount) -> Vec<FaultCost> {
    let asked = day.whole.asked.max(1) as f64;
    let length = span_length(&day.spans);
    let mut all: Vec<FaultCost> = day.faults.iter().map(empty).collect();
    for span in &day.spans {
        let Some(index) = charged(&day.faults, span, length) else { continue };
        let recovery = &mut all[index];
        recovery.lost += span.outcomes.lost() / asked;
        if span.outcomes.credit < FULL_SERVICE {
            let end = span.from + length;
            recovery.without_service = end.saturating_sub(day.faults[index].from);
        }
    }
    all
}

fn empty(fault: &Fault) -> FaultCost {
    FaultCost { kind: fault.kind.clone(), without_service: Duration::ZERO, lost: 0.0 }
}

fn span_length(spans: &[Span]) -> Duration {
    match spans {
        [first, second, ..] => second.from.saturating_sub(first.from),
        _ => Duration::from_secs(1),
    }
}

fn charged(faults: &[Fault], span: &Span, length: Duration) -> Option<usize> {
    let on = |fault: &Fault| {
        fault.from < span.from + length && span.from < fault.to.saturating_add(AFTERMATH)
    };
    let candidates = faults.iter().enumerate().filter(|(_, fault)| on(fault));
    candidates.max_by_key(|(_, fault)| (!fault.planned, fault.from)).map(|(index, _)| index)
}
