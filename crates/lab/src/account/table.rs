//! Tables in Markdown.

use super::{DayAccount, DecisionCounts, FaultCost, fault_costs};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// One row a day: credit, what it lost by outcome, prices, and the worst span, domain and kind of request.
#[must_use]
pub fn days_table(days: &[DayAccount]) -> String {
    let mut out = String::from(
        "| day | worth | credit | late | refused | failed | shed attempts | largest price | worst span | worst domain | worst kind |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for day in days {
        let whole = &day.whole;
        let shed: u64 = day.services.iter().map(|service| service.shed).sum();
        let price = day.prices.iter().max_by(|a, b| a.share.total_cmp(&b.share));
        let price = price.map(|p| format!("{} {:.3}", p.name, p.share)).unwrap_or_default();
        let span = day.worst_span().map(|span| {
            let credit = span.outcomes.credit;
            format!("{credit:.3} from {} s{}", span.from.as_secs(), cause(day, span.from))
        });
        let named = |outcomes: Option<&super::Outcomes>| {
            outcomes.map(|o| format!("{} {:.3}", o.group, o.credit)).unwrap_or_default()
        };
        row(
            &mut out,
            &[
                day.name.clone(),
                format!("{:.3}", day.worth),
                format!("{:.3}", whole.credit),
                whole.late.to_string(),
                whole.refused.to_string(),
                whole.failed.to_string(),
                shed.to_string(),
                price,
                span.unwrap_or_default(),
                named(day.worst_domain()),
                named(day.worst_class()),
            ],
        );
    }
    out
}

/// The kinds of faults that were on when a span began or began in it.
fn cause(day: &DayAccount, from: Duration) -> String {
    let ends = day.spans.iter().map(|span| span.from).find(|next| *next > from);
    let end = ends.unwrap_or(Duration::MAX);
    let on =
        day.faults.iter().filter(|fault| !fault.planned && fault.from < end && from <= fault.to);
    let kinds: Vec<&str> = on.map(|fault| fault.kind.as_str()).collect();
    if kinds.is_empty() { String::new() } else { format!(": {}", kinds.join(", ")) }
}

/// One row a kind of fault over all days, the costliest first.
#[must_use]
pub fn fault_costs_table(days: &[DayAccount]) -> String {
    let mut kinds: BTreeMap<String, Vec<FaultCost>> = BTreeMap::new();
    for recovery in days.iter().flat_map(fault_costs) {
        kinds.entry(recovery.kind.clone()).or_default().push(recovery);
    }
    let mut rows: Vec<(f64, Vec<String>)> =
        kinds.into_iter().map(|(kind, all)| summary(kind, &all)).collect();
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut out = String::from(
        "| fault | times | credit lost, mean | worst | seconds without full service, median | longest |\n\
         |---|---|---|---|---|---|\n",
    );
    for (_, cells) in rows {
        row(&mut out, &cells);
    }
    out
}

fn summary(kind: String, all: &[FaultCost]) -> (f64, Vec<String>) {
    let mean = all.iter().map(|recovery| recovery.lost).sum::<f64>() / all.len().max(1) as f64;
    let worst = all.iter().map(|recovery| recovery.lost).fold(0.0, f64::max);
    let mut times: Vec<Duration> = all.iter().map(|recovery| recovery.without_service).collect();
    times.sort_unstable();
    let at = |index: usize| times.get(index).copied().unwrap_or_default().as_secs_f64();
    let cells = vec![
        kind,
        all.len().to_string(),
        format!("{mean:.4}"),
        format!("{worst:.4}"),
        format!("{:.1}", at(times.len() / 2)),
        format!("{:.1}", at(times.len().saturating_sub(1))),
    ];
    (mean, cells)
}

/// One row a kind and outcome of decisions.
#[must_use]
pub fn decisions_table(counts: &DecisionCounts) -> String {
    let mut out =
        String::from("| decision | lines | left out | most in a second |\n|---|---|---|---|\n");
    for (name, count) in counts.iter() {
        let cells = [
            name.to_owned(),
            count.lines.to_string(),
            count.left_out.to_string(),
            count.busiest.1.to_string(),
        ];
        row(&mut out, &cells);
    }
    if counts.unreadable() > 0 {
        row(
            &mut out,
            &[
                "unreadable".to_owned(),
                counts.unreadable().to_string(),
                String::new(),
                String::new(),
            ],
        );
    }
    out
}

fn row(out: &mut String, cells: &[String]) {
    // Writing to a string can't fail.
    let _ = writeln!(out, "| {} |", cells.join(" | "));
}
