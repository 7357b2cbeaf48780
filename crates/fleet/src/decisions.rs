//! Log lines about single decisions: what was decided, from which inputs, and how old these were. Each kind
//! has a rate, and each line says how many of its kind were left out before it.

use crate::logging::DECISION_TARGET;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Lines of one kind in each window; more would cost a busy entry more than its packets do.
const LINES_PER_WINDOW: u32 = 60;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Kind {
    window: Option<Instant>,
    lines: u32,
    left_out: u64,
}

/// The lines of one process.
#[derive(Default)]
pub struct Decisions {
    kinds: RefCell<BTreeMap<&'static str, Kind>>,
}

impl Decisions {
    /// Writes a line, unless its kind has used up its rate. `fields` is a JSON object.
    pub fn record(&self, kind: &'static str, now: Instant, fields: impl FnOnce() -> Value) {
        let Some(left_out) = self.admit(kind, now) else { return };
        let text = fields().to_string();
        let inside = text.strip_prefix('{').and_then(|rest| rest.strip_suffix('}'));
        let inside = inside.unwrap_or_default();
        let comma = if inside.is_empty() { "" } else { "," };
        log::info!(
            target: DECISION_TARGET,
            "\"kind\":\"{kind}\",\"left_out\":{left_out}{comma}{inside}"
        );
    }

    /// The number of lines left out since the last one, or `None` if this one is left out too.
    fn admit(&self, kind: &'static str, now: Instant) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let state = kinds.entry(kind).or_default();
        if state.window.is_none_or(|window| now >= window + WINDOW) {
            state.window = Some(now);
            state.lines = 0;
        }
        if state.lines >= LINES_PER_WINDOW {
            state.left_out += 1;
            return None;
        }
        state.lines += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}
