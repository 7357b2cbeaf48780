//! Counts of the decisions that entries have logged.

use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Lines of one kind of decision.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DecisionCount {
    /// Lines that were written.
    pub lines: u64,
    /// Lines of the same kind, whatever their outcome, that were left out before these.
    pub left_out: u64,
    /// Second of the wall clock with the most lines, and their number.
    pub busiest: (u64, u64),
}

/// Decisions by kind and outcome.
#[derive(Clone, Debug, Default)]
pub struct DecisionCounts {
    counts: BTreeMap<String, (DecisionCount, BTreeMap<u64, u64>)>,
    unreadable: u64,
}

impl DecisionCounts {
    /// Takes in one line of a daemon's log. A line that is not a whole JSON object is counted as unreadable.
    pub fn add_line(&mut self, line: &str) {
        let Ok(Value::Object(fields)) = serde_json::from_str(line) else {
            self.unreadable += 1;
            return;
        };
        let Some(kind) = fields.get("kind").and_then(Value::as_str) else {
            self.unreadable += 1;
            return;
        };
        let outcome = match (fields.get("reason").and_then(Value::as_str), fields.get("copy")) {
            (Some(reason), _) => format!("{kind}: {reason}"),
            (None, Some(copy)) if copy != 0 => format!("{kind}: copy"),
            _ => kind.to_owned(),
        };
        let number = |name: &str| fields.get(name).and_then(Value::as_u64).unwrap_or_default();
        let (count, seconds) = self.counts.entry(outcome).or_default();
        count.lines += 1;
        count.left_out += number("left_out");
        let second = number("time_ms") / 1_000;
        let here = seconds.entry(second).or_default();
        *here += 1;
        if *here > count.busiest.1 {
            count.busiest = (second, *here);
        }
    }

    /// Kinds and outcomes with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &DecisionCount)> {
        self.counts.iter().map(|(name, (count, _))| (name.as_str(), count))
    }

    /// Lines that could not be read.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }
}
