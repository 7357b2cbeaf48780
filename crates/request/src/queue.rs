//! Bounded queue of waiting attempts, ordered by priority, then by deadline.

use crate::message::AttemptId;
use comfreyhold_types::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Entry that the reply goes to.
    pub entry: InstanceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Deadline of the request.
    pub deadline: Instant,
}

type Rank = (Reverse<Priority>, Instant, u64);

/// Result of offering an attempt to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The attempt waits.
    Queued,
    /// The attempt waits in place of this one of lower priority.
    Displaced(WaitingAttempt),
    /// The queue is full and holds nothing of lower priority.
    Full,
}

/// Waiting attempts, indexed by rank, attempt and deadline.
#[derive(Debug)]
pub struct AttemptQueue {
    limit: usize,
    ranked: BTreeMap<Rank, WaitingAttempt>,
    ranks: BTreeMap<AttemptId, Rank>,
    deadlines: BTreeSet<(Instant, AttemptId)>,
    sequence: u64,
}

impl AttemptQueue {
    /// Creates an empty queue for at most `limit` attempts.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ranked: BTreeMap::new(),
            ranks: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Number of waiting attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Maximum number of waiting attempts.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether no attempt waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Whether the attempt waits.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.ranks.contains_key(&attempt)
    }

    /// Attempts that would start before one of this priority and deadline.
    #[must_use]
    pub fn count_ahead_of(&self, priority: Priority, deadline: Instant) -> usize {
        self.ranked.range(..(Reverse(priority), deadline, u64::MAX)).count()
    }

    /// Changes the limit. Attempts beyond a lower limit stay until they start or expire.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds an attempt. When the queue is full, the last attempt of the lowest priority is
    /// displaced, provided its priority is lower.
    pub fn offer(&mut self, waiting: WaitingAttempt) -> OfferOutcome {
        if self.len() < self.limit {
            self.insert(waiting);
            return OfferOutcome::Queued;
        }
        let Some((_, last)) = self.ranked.last_key_value() else { return OfferOutcome::Full };
        if last.priority >= waiting.priority {
            return OfferOutcome::Full;
        }
        let displaced = *last;
        self.remove(displaced.attempt);
        self.insert(waiting);
        OfferOutcome::Displaced(displaced)
    }

    /// Returns the first attempt in order whose entry `accept` accepts.
    #[must_use]
    pub fn first_where(&self, accept: impl Fn(InstanceId) -> bool) -> Option<AttemptId> {
        let first = self.ranked.values().find(|waiting| accept(waiting.entry));
        first.map(|waiting| waiting.attempt)
    }

    /// Removes and returns the first attempt in order.
    pub fn pop(&mut self) -> Option<WaitingAttempt> {
        let first = self.first_where(|_| true)?;
        self.remove(first)
    }

    /// Removes an attempt and returns it if it was waiting.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<WaitingAttempt> {
        let rank = self.ranks.remove(&attempt)?;
        let waiting = self.ranked.remove(&rank)?;
        self.deadlines.remove(&(waiting.deadline, attempt));
        Some(waiting)
    }

    /// Removes and returns one attempt whose deadline has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<WaitingAttempt> {
        let (deadline, attempt) = self.deadlines.first().copied()?;
        if deadline > now { None } else { self.remove(attempt) }
    }

    /// Removes and returns all attempts of an entry.
    pub fn remove_entry(&mut self, entry: InstanceId) -> Vec<WaitingAttempt> {
        let of_entry = self.ranked.values().filter(|waiting| waiting.entry == entry);
        let attempts: Vec<_> = of_entry.map(|waiting| waiting.attempt).collect();
        attempts.into_iter().filter_map(|attempt| self.remove(attempt)).collect()
    }

    /// Earliest deadline of all waiting attempts.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn insert(&mut self, waiting: WaitingAttempt) {
        self.sequence += 1;
        let rank = (Reverse(waiting.priority), waiting.deadline, self.sequence);
        self.ranked.insert(rank, waiting);
        self.ranks.insert(waiting.attempt, rank);
        self.deadlines.insert((waiting.deadline, waiting.attempt));
    }
}
