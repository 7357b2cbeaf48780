//! Counts the decisions that entries wrote to their logs, by kind and outcome.

use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of log lines of one kind and outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DecisionCount {
    /// Lines found in the log.
    pub lines: u64,
    /// Lines of the same kind, of any outcome, that were omitted from the log before these.
    pub left_out: u64,
    /// Busiest second, in seconds since the Unix epoch, and the number of lines in it.
    pub busiest: (u64, u64),
}

/// Decision counts, keyed by `kind: outcome`.
#[derive(Clone, Debug, Default)]
pub struct DecisionCounts {
    /// For each kind and outcome: its count, and its lines in each second.
    counts: BTreeMap<String, (DecisionCount, BTreeMap<u64, u64>)>,
    unreadable: u64,
}

impl DecisionCounts {
    /// Counts one line of a daemon's log. A line that is not a JSON object with a `kind` counts as unreadable.
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
        let numeric_field =
            |name: &str| fields.get(name).and_then(Value::as_u64).unwrap_or_default();
        let (count, seconds) = self.counts.entry(outcome).or_default();
        count.lines += 1;
        count.left_out += numeric_field("left_out");
        let second = numeric_field("time_ms") / 1_000;
        let lines_in_second = seconds.entry(second).or_default();
        *lines_in_second += 1;
        if *lines_in_second > count.busiest.1 {
            count.busiest = (second, *lines_in_second);
        }
    }

    /// Iterates over the counts by name, in alphabetical order. The name is `kind` or `kind: outcome`.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &DecisionCount)> {
        self.counts.iter().map(|(name, (count, _))| (name.as_str(), count))
    }

    /// Number of lines that are not a JSON object with a `kind`.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }
}
