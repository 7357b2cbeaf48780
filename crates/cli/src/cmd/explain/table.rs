//! Explanations as text: one column for each entry, and where the entries differ.

use super::live::Answer;
use comfreyhold_flow::cookie::explain::{
    AdmissionAnswer, Decision, Explanation, InputAges, LinkAnswer, RouteAnswer, Standing,
    TargetAnswer, TargetList,
};
use std::collections::BTreeMap;
use std::fmt::Display;

/// Ratio of effective slots at two entries from which they count as different.
const SLOTS_RATIO: f64 = 1.25;

/// Renders the answers of all entries.
pub fn render(answers: &[Answer]) -> String {
    let mut rows = vec![row("entry", answers, |answer| answer.entry.to_string())];
    if answers.iter().any(|answer| answer.failure.is_some()) {
        rows.push(row("error", answers, |answer| {
            let failure = answer.failure.as_ref();
            failure.map_or("-".to_owned(), |f| format!("{} {}", f.code, f.message))
        }));
    }
    let mut add = |label: &str, text: fn(&Explanation) -> String| {
        rows.push(row(label, answers, |a| a.explanation.as_ref().map_or("-".to_owned(), text)));
    };
    add("route", |e| route(&e.route));
    add("service", |e| weights(&e.route));
    add("usual work", |e| usual_work(&e.route));
    add("decision", |e| decision(&e.decision));
    add("target", |e| or_dash(e.decision.target.as_ref()));
    add("spills to", |e| or_dash(e.spill_domain.as_ref()));
    add("admission", |e| admission(&e.admission));
    add("limit", |e| limit(&e.admission));
    add("in use", |e| in_use(&e.admission));
    add("link", |e| e.link.as_ref().map_or("no rate stated".to_owned(), link));
    add("age of inputs", |e| ages(&e.ages));
    add("targets", |e| counts(&e.targets));
    let mut text = align(&rows);
    match answers {
        [Answer { explanation: Some(explanation), .. }] => {
            text.push('\n');
            text.push_str(&align(&target_rows(&explanation.targets)));
        }
        [_] => {}
        _ => {
            text.push('\n');
            text.push_str(&align(&target_cells(answers)));
            let differences = differences(answers);
            if differences.is_empty() {
                text.push_str("the entries agree\n");
            } else {
                text.push_str(&format!("the entries differ: {}\n", differences.join("; ")));
            }
        }
    }
    text
}

/// Where the entries that answered differ, apart from loads and ages.
pub fn differences(answers: &[Answer]) -> Vec<String> {
    let explanations: Vec<&Explanation> =
        answers.iter().filter_map(|answer| answer.explanation.as_ref()).collect();
    let mut found = Vec::new();
    let mut compare = |label: &str, text: fn(&Explanation) -> String| {
        let texts: Vec<String> = explanations.iter().map(|e| text(e)).collect();
        if texts.windows(2).any(|pair| pair[0] != pair[1]) {
            found.push(format!("{label} ({})", texts.join(" | ")));
        }
    };
    compare("route", |e| route(&e.route));
    compare("service", |e| or_dash(e.route.service.as_ref()));
    compare("decision", |e| format!("{}, {}", e.decision.action, e.decision.reason));
    compare("target", |e| or_dash(e.decision.target.as_ref()));
    compare("admission", |e| format!("{}, {}", e.admission.action, e.admission.reason));
    compare("link", |e| or_dash(e.link.as_ref().map(|link| link.action)));
    compare("number of targets", |e| e.targets.total.to_string());
    for (id, targets) in by_target(answers) {
        let known: Vec<&TargetAnswer> = targets.into_iter().flatten().collect();
        // The chosen target differs anyway where the choice does.
        let standing = |target: &TargetAnswer| match target.standing {
            Standing::Chosen => Standing::Usable,
            other => other,
        };
        if known.windows(2).any(|pair| standing(pair[0]) != standing(pair[1])) {
            let texts: Vec<String> = known.iter().map(|t| t.standing.to_string()).collect();
            found.push(format!("{id} ({})", texts.join(" | ")));
        }
        let slots = || known.iter().map(|target| target.effective_slots);
        let (least, most) = (slots().fold(f64::MAX, f64::min), slots().fold(0.0, f64::max));
        if most > least * SLOTS_RATIO {
            let texts: Vec<String> = slots().map(|slots| slots.to_string()).collect();
            found.push(format!("effective slots of {id} ({})", texts.join(" | ")));
        }
    }
    found
}

/// What each entry says about each target that one of them lists, in the order in which they are listed first.
fn by_target(answers: &[Answer]) -> Vec<(String, Vec<Option<&TargetAnswer>>)> {
    let mut order = Vec::new();
    let mut targets: BTreeMap<&str, Vec<Option<&TargetAnswer>>> = BTreeMap::new();
    for (column, answer) in answers.iter().enumerate() {
        let listed = answer.explanation.iter().flat_map(|e| &e.targets.listed);
        for target in listed {
            let cells = targets.entry(&target.id).or_insert_with(|| {
                order.push(target.id.as_str());
                vec![None; answers.len()]
            });
            cells[column] = Some(target);
        }
    }
    let cells = |id: &str| targets.get(id).cloned().unwrap_or_default();
    order.into_iter().map(|id| (id.to_owned(), cells(id))).collect()
}

fn target_cells(answers: &[Answer]) -> Vec<Vec<String>> {
    let rows = by_target(answers).into_iter().map(|(id, targets)| {
        let cells = targets.into_iter().map(|target| match target {
            Some(target) => format!(
                "{} score {} load {}+{} slots {}/{}{}",
                target.standing,
                or_dash(target.score),
                target.load,
                or_dash(target.others_load),
                target.effective_slots,
                target.announced_slots,
                notes_suffix(target),
            ),
            None => "not listed".to_owned(),
        });
        std::iter::once(id).chain(cells).collect()
    });
    rows.collect()
}

fn target_rows(targets: &TargetList) -> Vec<Vec<String>> {
    let header = [
        "target",
        "standing",
        "tier",
        "score",
        "load",
        "others",
        "slots",
        "effective",
        "work",
        "samples",
        "age",
        "domain",
        "notes",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    rows.extend(targets.listed.iter().map(|target| {
        vec![
            target.id.clone(),
            target.standing.to_string(),
            or_dash(target.tier),
            or_dash(target.score),
            target.load.to_string(),
            or_dash(target.others_load),
            target.announced_slots.to_string(),
            target.effective_slots.to_string(),
            or_dash(target.work_ratio),
            target.samples.to_string(),
            or_dash(target.sample_age_ms.map(|age| format!("{age} ms"))),
            target.domain.clone(),
            notes(target).join(", "),
        ]
    }));
    rows
}

fn notes(target: &TargetAnswer) -> Vec<String> {
    let mut notes = Vec::new();
    if target.is_withdrawn {
        notes.push("domain withdrawn".to_owned());
    }
    if target.cold_ms > 0 {
        notes.push(format!("cold for {} ms", target.cold_ms));
    }
    if target.is_silent {
        notes.push("silent".to_owned());
    }
    if target.unanswered > 0 {
        let avoided = target.avoided_ms;
        notes.push(format!("{} unanswered, avoided for {avoided} ms", target.unanswered));
    }
    if target.is_tried {
        notes.push("tried".to_owned());
    }
    notes
}

fn notes_suffix(target: &TargetAnswer) -> String {
    let notes = notes(target);
    if notes.is_empty() { String::new() } else { format!(" ({})", notes.join(", ")) }
}

fn route(route: &RouteAnswer) -> String {
    let RouteAnswer { name, version, change, priority, .. } = route;
    format!("{name}, version {version}, change {change}, priority {priority}")
}

fn weights(route: &RouteAnswer) -> String {
    let destinations = &route.destinations;
    let mut weights: Vec<String> =
        destinations.iter().map(|d| format!("{} {}", d.service, d.weight)).collect();
    let more = route.destination_count.saturating_sub(destinations.len());
    if more > 0 {
        weights.push(format!("{more} more"));
    }
    format!("{}, by weights {}", or_dash(route.service.as_ref()), weights.join(", "))
}

fn usual_work(route: &RouteAnswer) -> String {
    let usual = route.usual_work_ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
    format!("{usual}, objective {} ms", route.objective_ms)
}

fn decision(decision: &Decision) -> String {
    let wait = decision.wait_ms.map(|wait| format!(", again in {wait} ms")).unwrap_or_default();
    format!("{}, {}{wait}", decision.action, decision.reason)
}

fn admission(admission: &AdmissionAnswer) -> String {
    let expected = admission.expected_wait_ms;
    let wait = expected.map(|wait| format!(", expected wait {wait} ms")).unwrap_or_default();
    format!("{}, {}{wait}", admission.action, admission.reason)
}

fn limit(admission: &AdmissionAnswer) -> String {
    let limit = admission.limit.map_or("none".to_owned(), |limit| limit.to_string());
    let kind = admission.limit_kind.as_ref().map(|kind| format!(" by {kind}")).unwrap_or_default();
    let share =
        admission.share.map(|share| format!(", {share} of the service")).unwrap_or_default();
    format!("{limit}{kind}{share}")
}

fn in_use(admission: &AdmissionAnswer) -> String {
    let AdmissionAnswer { unanswered, waiting, .. } = admission;
    let in_flight = admission.in_flight.map(|n| format!("{n} in flight, ")).unwrap_or_default();
    format!("{in_flight}{unanswered} unanswered, {waiting} waiting")
}

fn link(link: &LinkAnswer) -> String {
    let LinkAnswer { action, mbps, queued_packets, queued_bytes, expected_wait_ms, .. } = link;
    let allowed = link.allowed_wait_ms.map(|wait| format!(" of {wait}")).unwrap_or_default();
    format!(
        "{action}, {mbps} Mbit/s, {queued_packets} packets ({queued_bytes} bytes) queued, \
         expected wait {expected_wait_ms}{allowed} ms"
    )
}

fn ages(ages: &InputAges) -> String {
    let inputs = [
        ("routes and targets", ages.updates_ms),
        ("totals", ages.totals_ms),
        ("share", ages.share_ms),
        ("limit", ages.limit_ms),
    ];
    let known = inputs.iter().filter_map(|(name, age)| Some(format!("{name} {} ms", (*age)?)));
    known.collect::<Vec<_>>().join(", ")
}

fn counts(targets: &TargetList) -> String {
    let counts = targets.counts.iter().map(|(standing, count)| format!("{count} {standing}"));
    let counts: Vec<String> = counts.collect();
    let listed = targets.listed.len();
    let rest = if listed < targets.total { format!(", {listed} listed") } else { String::new() };
    format!("{} ({}){rest}", targets.total, counts.join(", "))
}

fn row(label: &str, answers: &[Answer], text: impl Fn(&Answer) -> String) -> Vec<String> {
    std::iter::once(label.to_owned()).chain(answers.iter().map(text)).collect()
}

fn or_dash<T: Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Aligns the cells of the columns, with two spaces between them.
fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}
