//! Charges lost credit to faults, and computes how long each fault prevented full service.

use super::{DayAccount, FULL_SERVICE_CREDIT, Fault, Span};
use serde::Serialize;
use std::time::Duration;

/// Time after its end during which a fault is still charged with lost credit: requests sent during the
/// fault may fail until their deadlines.
const CHARGED_AFTER_END: Duration = Duration::from_secs(4);

/// Cost of one fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultCost {
    /// Kind of the fault.
    pub kind: String,
    /// Time from the fault's begin to the end of the last span below full service that is charged to it, or 0.
    /// Its resolution is the length of a span.
    pub without_service: Duration,
    /// Credit lost in the spans charged to it, as a share of the day's.
    pub lost: f64,
}

/// Computes the cost of each fault of a day. A span is charged to the fault that began last among those that
/// were active or had just ended; unplanned faults take precedence over planned ones.
#[must_use]
pub fn fault_costs(day: &DayAccount) -> Vec<FaultCost> {
    let requests = day.whole.asked.max(1) as f64;
    let span_length = span_length(&day.spans);
    let mut costs: Vec<FaultCost> = day.faults.iter().map(zero_cost).collect();
    for span in &day.spans {
        let Some(index) = charged_fault(&day.faults, span, span_length) else { continue };
        let cost = &mut costs[index];
        cost.lost += span.outcomes.lost() / requests;
        if span.outcomes.credit < FULL_SERVICE_CREDIT {
            let end = span.from + span_length;
            cost.without_service = end.saturating_sub(day.faults[index].from);
        }
    }
    costs
}

fn zero_cost(fault: &Fault) -> FaultCost {
    FaultCost { kind: fault.kind.clone(), without_service: Duration::ZERO, lost: 0.0 }
}

fn span_length(spans: &[Span]) -> Duration {
    match spans {
        [first, second, ..] => second.from.saturating_sub(first.from),
        _ => Duration::from_secs(1),
    }
}

fn charged_fault(faults: &[Fault], span: &Span, span_length: Duration) -> Option<usize> {
    let is_charged = |fault: &Fault| {
        fault.from < span.from + span_length
            && span.from < fault.to.saturating_add(CHARGED_AFTER_END)
    };
    let candidates = faults.iter().enumerate().filter(|(_, fault)| is_charged(fault));
    candidates.max_by_key(|(_, fault)| (!fault.planned, fault.from)).map(|(index, _)| index)
}
