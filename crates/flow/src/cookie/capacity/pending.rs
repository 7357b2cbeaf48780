//! Requests that run for longer than usual, which shows that their target is slow before it has answered.
//!
//! A target that becomes 8 times slower answers its first request only after 8 times the usual time, and those that wait
//! in its queue far later. Without these requests it would go on getting openings until then.

use crate::cookie::FlowKey;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Multiple of the usual time from which a running request counts as an answer of that ratio. Each time that it has
/// doubled, the ratio is raised. Queues in front of even targets delay all of them alike, so that the median rises too.
pub(super) const FIRST_RATIO: f64 = 4.0;

/// Shortest work time that counts: a shorter one may be a matter of scheduling.
pub(super) const MIN_WORK: Duration = Duration::from_millis(30);

/// Maximum number of requests that are watched; further ones count by their answers only.
const MAX_WATCHED: usize = 65_536;

/// Running requests, by the time at which each is looked at next.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    due: BTreeSet<(Instant, FlowKey, Instant)>,
}

impl PendingRequests {
    /// Looks at the request that began on a flow at `start` again at `due`.
    pub(super) fn watch(&mut self, flow: FlowKey, start: Instant, due: Instant) {
        if self.due.len() < MAX_WATCHED {
            self.due.insert((due, flow, start));
        }
    }

    /// Takes the requests that are due, with their starts. They may have been answered since.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(FlowKey, Instant)> {
        let mut due = Vec::new();
        while let Some((at, flow, start)) = self.due.first().copied().filter(|(at, ..)| *at <= now)
        {
            self.due.remove(&(at, flow, start));
            due.push((flow, start));
        }
        due
    }
}
