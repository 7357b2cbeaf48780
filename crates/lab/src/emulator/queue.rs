//! An emulated target: slots, and a short queue in front of them.

use super::load::Settings;
use std::collections::VecDeque;
use std::time::Duration;

/// A request that runs or waits at a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequest {
    /// Time of the run at which the caller first sent it.
    pub requested_at: Duration,
    /// Service time at a target of normal speed.
    pub service_time: Duration,
    /// Number of the flow that it was sent on.
    pub flow: u64,
}

/// An emulated target.
#[derive(Clone, Debug)]
pub struct EmulatedTarget {
    /// Number of its failure domain.
    pub domain: usize,
    /// Whether it responds.
    pub is_responsive: bool,
    /// Factor on the service time.
    pub slowdown: f64,
    /// Number of completed requests.
    pub completed: u64,
    running: u32,
    queue: VecDeque<TargetRequest>,
    slots: u32,
    max_queued: usize,
}

impl EmulatedTarget {
    /// Creates an idle target of normal speed.
    #[must_use]
    pub fn new(settings: &Settings, domain: usize) -> Self {
        Self {
            domain,
            is_responsive: true,
            slowdown: 1.0,
            completed: 0,
            running: 0,
            queue: VecDeque::new(),
            slots: settings.slots,
            max_queued: settings.queue,
        }
    }

    /// Admits a request. Returns the time that it runs if it starts at once, or `None` if it is queued.
    ///
    /// # Errors
    /// The queue is full; the error is the refused request.
    pub fn admit(&mut self, request: TargetRequest) -> Result<Option<Duration>, TargetRequest> {
        if self.running < self.slots {
            self.running += 1;
            return Ok(Some(self.run_time(&request)));
        }
        if self.queue.len() >= self.max_queued {
            return Err(request);
        }
        self.queue.push_back(request);
        Ok(None)
    }

    /// Counts a completed request. Returns the queued request that starts in its slot, with the time that it runs.
    pub fn complete_request(&mut self) -> Option<(TargetRequest, Duration)> {
        self.completed += 1;
        let Some(next) = self.queue.pop_front() else {
            self.running -= 1;
            return None;
        };
        let run_time = self.run_time(&next);
        Some((next, run_time))
    }

    fn run_time(&self, request: &TargetRequest) -> Duration {
        request.service_time.mul_f64(self.slowdown)
    }
}
