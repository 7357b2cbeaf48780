//! Bounded queue of waiting attempts, ordered by priority, then deadline.

use crate::message::AttemptId;
use comfreyhold_types::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The attempt.
    pub attempt: AttemptId,
    /// Entry to answer.
    pub entry: InstanceId,
    /// Its priority.
    pub priority: Priority,
    /// Time after which a start is useless.
    pub deadline: Instant,
}

type Rank = (Reverse<Priority>, Instant, u64);

/// What happened to an attempt that was offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It waits.
    Queued,
    /// It waits, in place of this one of lower priority.
    Displaced(Waiting),
    /// The queue is full and holds nothing of lower priority.
    Full,
}

/// The queue.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    ranked: BTreeMap<Rank, Waiting>,
    ranks: BTreeMap<AttemptId, Rank>,
    deadlines: BTreeSet<(Instant, AttemptId)>,
    sequence: u64,
}

impl Queue {
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

    /// Whether nothing waits.
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
    pub fn ahead_of(&self, priority: Priority, deadline: Instant) -> usize {
        self.ranked.range(..(Reverse(priority), deadline, u64::MAX)).count()
    }

    /// Changes the bound. Attempts beyond a lower bound stay until they start or expire.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds an attempt. When full, the last one of the lowest priority makes room, if its priority is
    /// lower.
    pub fn offer(&mut self, waiting: Waiting) -> Offer {
        if self.len() < self.limit {
            self.insert(waiting);
            return Offer::Queued;
        }
        let Some((_, last)) = self.ranked.last_key_value() else { return Offer::Full };
        if last.priority >= waiting.priority {
            return Offer::Full;
        }
        let displaced = *last;
        self.remove(displaced.attempt);
        self.insert(waiting);
        Offer::Displaced(displaced)
    }

    /// The first attempt in order whose entry is accepted by `accept`.
    #[must_use]
    pub fn first_where(&self, accept: impl Fn(InstanceId) -> bool) -> Option<AttemptId> {
        let first = self.ranked.values().find(|waiting| accept(waiting.entry));
        first.map(|waiting| waiting.attempt)
    }

    /// Takes the first attempt in order.
    pub fn pop(&mut self) -> Option<Waiting> {
        let first = self.first_where(|_| true)?;
        self.remove(first)
    }

    /// Takes an attempt out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Waiting> {
        let rank = self.ranks.remove(&attempt)?;
        let waiting = self.ranked.remove(&rank)?;
        self.deadlines.remove(&(waiting.deadline, attempt));
        Some(waiting)
    }

    /// Takes out one attempt whose deadline has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let (deadline, attempt) = self.deadlines.first().copied()?;
        if deadline > now { None } else { self.remove(attempt) }
    }

    /// Takes out all attempts of an entry.
    pub fn remove_entry(&mut self, entry: InstanceId) -> Vec<Waiting> {
        let of_entry = self.ranked.values().filter(|waiting| waiting.entry == entry);
        let attempts: Vec<_> = of_entry.map(|waiting| waiting.attempt).collect();
        attempts.into_iter().filter_map(|attempt| self.remove(attempt)).collect()
    }

    /// The earliest deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn insert(&mut self, waiting: Waiting) {
        self.sequence += 1;
        let rank = (Reverse(waiting.priority), waiting.deadline, self.sequence);
        self.ranked.insert(rank, waiting);
        self.ranks.insert(waiting.attempt, rank);
        self.deadlines.insert((waiting.deadline, waiting.attempt));
    }
}
