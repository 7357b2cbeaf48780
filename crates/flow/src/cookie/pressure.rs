//! Signs that the targets or this entry are short of capacity, so that entries should share their load.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which signs of pressure count.
const WINDOW: Duration = Duration::from_secs(1);

/// Length of the parts of the window.
const PART: Duration = Duration::from_millis(250);

/// Responses in the window without which refusals, failures and late ones are no sign of pressure.
const MIN_RESPONSES: u32 = 10;

/// Responses for each refusal, failure or late one from which there is pressure.
const RESPONSES_PER_BAD: u32 = 20;

/// A response is late if it takes more than this share of the latency objective, as for the limit on openings.
const LATE_SHARE_OF_OBJECTIVE: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Instant,
    /// First responses on flows, and those of them that were late.
    first: u32,
    late: u32,
    /// Responses of targets, and those of them that were refusals or failures.
    responses: u32,
    failures: u32,
}

/// Responses of the last second, and the last opening that found no room.
#[derive(Debug, Default)]
pub(super) struct PressureWindow {
    parts: VecDeque<Part>,
    held_at: Option<Instant>,
}

impl PressureWindow {
    /// Records that an opening waits for room or was refused for lack of it.
    pub(super) fn record_held(&mut self, now: Instant) {
        self.held_at = Some(now);
    }

    /// Records the first response on a flow. Flows without a latency objective are never late.
    pub(super) fn record_first_answer(
        &mut self,
        took: Duration,
        objective: Duration,
        now: Instant,
    ) {
        let is_late = !objective.is_zero() && took > objective.mul_f64(LATE_SHARE_OF_OBJECTIVE);
        let part = self.current(now);
        part.first += 1;
        part.late += u32::from(is_late);
    }

    /// Records responses of targets, failures included.
    pub(super) fn record_responses(&mut self, responses: u32, failures: u32, now: Instant) {
        let part = self.current(now);
        part.responses = part.responses.saturating_add(responses);
        part.failures = part.failures.saturating_add(failures);
    }

    /// Whether there were signs of pressure lately.
    pub(super) fn is_under_pressure(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WINDOW;
        if self.held_at.is_some_and(is_recent) {
            return true;
        }
        let (mut first, mut responses, mut bad) = (0_u32, 0_u32, 0_u32);
        for part in self.parts.iter().filter(|part| is_recent(part.start)) {
            first = first.saturating_add(part.first);
            responses = responses.saturating_add(part.responses);
            bad = bad.saturating_add(part.late).saturating_add(part.failures);
        }
        let responses = first.max(responses);
        responses >= MIN_RESPONSES && bad.saturating_mul(RESPONSES_PER_BAD) >= responses
    }

    fn current(&mut self, now: Instant) -> &mut Part {
        let is_current = |part: &Part| now.saturating_duration_since(part.start) < PART;
        if !self.parts.back().is_some_and(is_current) {
            self.parts.retain(|part| now.saturating_duration_since(part.start) < WINDOW);
            let (first, late, responses, failures) = (0, 0, 0, 0);
            self.parts.push_back(Part { start: now, first, late, responses, failures });
        }
        let last = self.parts.len().saturating_sub(1);
        &mut self.parts[last]
    }
}
