//! Formats day accounts, fault costs and decision counts as Markdown tables.

use super::{DayAccount, DecisionCounts, FaultCost, fault_costs};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Formats a table with one row per day: credit, requests by outcome, the largest price, and the worst span,
/// failure domain and kind of request.
#[must_use]
pub fn days_table(days: &[DayAccount]) -> String {
    let mut table = String::from(
        "| day | worth | credit | late | refused | failed | shed attempts | largest price | worst span | worst domain | worst kind |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for day in days {
        let whole = &day.whole;
        let shed: u64 = day.services.iter().map(|service| service.shed).sum();
        let price = day.prices.iter().max_by(|a, b| a.share.total_cmp(&b.share));
        let price = price.map(|p| format!("{} {:.3}", p.name, p.share)).unwrap_or_default();
        let worst_span = day.worst_span().map(|span| {
            let credit = span.outcomes.credit;
            format!("{credit:.3} from {} s{}", span.from.as_secs(), fault_suffix(day, span.from))
        });
        let name_and_credit = |outcomes: Option<&super::Outcomes>| {
            outcomes.map(|o| format!("{} {:.3}", o.group, o.credit)).unwrap_or_default()
        };
        push_row(
            &mut table,
            &[
                day.name.clone(),
                format!("{:.3}", day.worth),
                format!("{:.3}", whole.credit),
                whole.late.to_string(),
                whole.refused.to_string(),
                whole.failed.to_string(),
                shed.to_string(),
                price,
                worst_span.unwrap_or_default(),
                name_and_credit(day.worst_domain()),
                name_and_credit(day.worst_class()),
            ],
        );
    }
    table
}

/// Lists the unplanned faults that were active during the span that begins at `from`, as a suffix `: a, b`.
/// It is empty if there was none.
fn fault_suffix(day: &DayAccount, from: Duration) -> String {
    let next_begin = day.spans.iter().map(|span| span.from).find(|next| *next > from);
    let end = next_begin.unwrap_or(Duration::MAX);
    let active =
        day.faults.iter().filter(|fault| !fault.planned && fault.from < end && from <= fault.to);
    let kinds: Vec<&str> = active.map(|fault| fault.kind.as_str()).collect();
    if kinds.is_empty() { String::new() } else { format!(": {}", kinds.join(", ")) }
}

/// Formats a table with one row per kind of fault over all days, the costliest first.
#[must_use]
pub fn fault_costs_table(days: &[DayAccount]) -> String {
    let mut kinds: BTreeMap<String, Vec<FaultCost>> = BTreeMap::new();
    for cost in days.iter().flat_map(fault_costs) {
        kinds.entry(cost.kind.clone()).or_default().push(cost);
    }
    let mut rows: Vec<(f64, Vec<String>)> =
        kinds.into_iter().map(|(kind, costs)| summary_row(kind, &costs)).collect();
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut table = String::from(
        "| fault | times | credit lost, mean | worst | seconds without full service, median | longest |\n\
         |---|---|---|---|---|---|\n",
    );
    for (_, cells) in rows {
        push_row(&mut table, &cells);
    }
    table
}

/// Returns the mean share of credit lost, by which the rows are sorted, and the cells of the row.
fn summary_row(kind: String, costs: &[FaultCost]) -> (f64, Vec<String>) {
    let mean = costs.iter().map(|cost| cost.lost).sum::<f64>() / costs.len().max(1) as f64;
    let worst = costs.iter().map(|cost| cost.lost).fold(0.0, f64::max);
    let mut times: Vec<Duration> = costs.iter().map(|cost| cost.without_service).collect();
    times.sort_unstable();
    let seconds_at = |index: usize| times.get(index).copied().unwrap_or_default().as_secs_f64();
    let cells = vec![
        kind,
        costs.len().to_string(),
        format!("{mean:.4}"),
        format!("{worst:.4}"),
        format!("{:.1}", seconds_at(times.len() / 2)),
        format!("{:.1}", seconds_at(times.len().saturating_sub(1))),
    ];
    (mean, cells)
}

/// Formats a table with one row per kind and outcome of decisions.
#[must_use]
pub fn decisions_table(counts: &DecisionCounts) -> String {
    let mut table =
        String::from("| decision | lines | left out | most in a second |\n|---|---|---|---|\n");
    for (name, count) in counts.iter() {
        let cells = [
            name.to_owned(),
            count.lines.to_string(),
            count.left_out.to_string(),
            count.busiest.1.to_string(),
        ];
        push_row(&mut table, &cells);
    }
    if counts.unreadable() > 0 {
        push_row(
            &mut table,
            &[
                "unreadable".to_owned(),
                counts.unreadable().to_string(),
                String::new(),
                String::new(),
            ],
        );
    }
    table
}

fn push_row(table: &mut String, cells: &[String]) {
    // Writing to a string can't fail.
    let _ = writeln!(table, "| {} |", cells.join(" | "));
}
