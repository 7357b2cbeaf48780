//! Rate-limited log lines about single decisions: what was decided, from which inputs, and how old these
//! were. The limit applies to each kind of line, and each line carries the number of lines of its kind that
//! were dropped before it.

use crate::logging::DECISION_TARGET;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of lines of one kind in each window. More would cost a busy entry more CPU time than its
/// packets do.
const MAX_LINES_PER_WINDOW: u32 = 60;

/// Length of a rate limit window.
const WINDOW: Duration = Duration::from_secs(1);

/// Rate limit state of one kind of line.
#[derive(Default)]
struct KindLimit {
    window_start: Option<Instant>,
    lines: u32,
    dropped: u64,
}

/// Writes the decision lines of one process and limits their rate.
#[derive(Default)]
pub struct DecisionLog {
    kinds: RefCell<BTreeMap<&'static str, KindLimit>>,
}

impl DecisionLog {
    /// Writes a line, unless `kind` has reached its rate limit. `fields` must return a JSON object; it is
    /// called only if the line is written.
    pub fn record(&self, kind: &'static str, now: Instant, fields: impl FnOnce() -> Value) {
        let Some(dropped) = self.admit(kind, now) else { return };
        let text = fields().to_string();
        let members = text.strip_prefix('{').and_then(|rest| rest.strip_suffix('}'));
        let members = members.unwrap_or_default();
        let comma = if members.is_empty() { "" } else { "," };
        log::info!(
            target: DECISION_TARGET,
            "\"kind\":\"{kind}\",\"left_out\":{dropped}{comma}{members}"
        );
    }

    /// Returns the number of lines dropped since the last one, or `None` if this one is dropped too.
    fn admit(&self, kind: &'static str, now: Instant) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let state = kinds.entry(kind).or_default();
        if state.window_start.is_none_or(|start| now >= start + WINDOW) {
            state.window_start = Some(now);
            state.lines = 0;
        }
        if state.lines >= MAX_LINES_PER_WINDOW {
            state.dropped += 1;
            return None;
        }
        state.lines += 1;
        Some(std::mem::take(&mut state.dropped))
    }
}
