//! A target: slots, and a short queue before them.

use super::load::Settings;
use std::collections::VecDeque;
use std::time::Duration;

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// When it was asked for.
    pub asked: Duration,
    /// How long it takes.
    pub takes: Duration,
    /// Number of its flow.
    pub flow: u64,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Number of its domain.
    pub domain: usize,
    /// Whether it answers.
    pub alive: bool,
    /// Factor of the time that it takes.
    pub slowness: f64,
    /// Requests that it has run.
    pub ran: u64,
    running: u32,
    waiting: VecDeque<Work>,
    slots: u32,
    room: usize,
}

impl Target {
    /// Creates an idle target.
    #[must_use]
    pub fn new(settings: &Settings, domain: usize) -> Self {
        Self {
            domain,
            alive: true,
            slowness: 1.0,
            ran: 0,
            running: 0,
            waiting: VecDeque::new(),
            slots: settings.slots,
            room: settings.queue,
        }
    }

    /// Takes a request. Returns the time that it runs if it starts at once, `None` if it waits, and an error
    /// if the queue is full.
    ///
    /// # Errors
    /// The queue is full.
    pub fn take(&mut self, work: Work) -> Result<Option<Duration>, Work> {
        if self.running < self.slots {
            self.running += 1;
            return Ok(Some(self.time(&work)));
        }
        if self.waiting.len() >= self.room {
            return Err(work);
        }
        self.waiting.push_back(work);
        Ok(None)
    }

    /// A request has ended. Returns the next one with the time that it runs.
    pub fn end(&mut self) -> Option<(Work, Duration)> {
        self.ran += 1;
        let Some(next) = self.waiting.pop_front() else {
            self.running -= 1;
            return None;
        };
        let time = self.time(&next);
        Some((next, time))
    }

    fn time(&self, work: &Work) -> Duration {
        work.takes.mul_f64(self.slowness)
    }
}
