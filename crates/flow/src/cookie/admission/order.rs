//! Order of the openings that wait for room at one service.
//!
//! By rank: the priority of the route, then requests that may not be repeated, then those that can still be in time;
//! within a rank by the callers' turns, then by age. Each fifth admission goes to a lower rank while one waits.

use super::callers::Callers;
use super::late::{ANSWER_RESERVE, HOLD_STEP, WAITING_TIMEOUT};
use super::{Admission, OpeningAge};
use crate::cookie::FlowKey;
use crate::cookie::openings::{is_last, retransmission_timeout};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Every admission of this many goes to a lower rank while one waits.
const ADMISSIONS_PER_LOWER: u32 = 5;

/// Maximum number of waiting openings.
pub const MAX_WAITING: usize = 4_096;

/// Shortest delay until an opening at the head of the queue is decided on again. It keeps a place from standing
/// empty without a decision each time that the service answers.
const SHORTEST_DELAY: Duration = Duration::from_millis(2);

/// Time by which a decision may be overdue before the opening no longer holds its place.
const OVERDUE: Duration = Duration::from_millis(10);

/// Maximum number of openings that are counted for the expected wait of one, which bounds the time for a decision. With
/// more of them, a wait is underestimated and ends with the attempt.
const MAX_COUNTED: usize = 256;

/// Rank of an opening; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Priority of the route.
    pub priority: u8,
    /// Whether the request may be repeated.
    pub is_repeatable: bool,
    /// Whether the answer will be late in any case.
    pub is_late: bool,
}

/// Place in the order: rank, turn of the caller, number of arrival.
type Place = (Rank, u64, u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    flow: FlowKey,
    /// Until when it holds its place.
    holds_until: Instant,
    /// Whether this entry has seen the attempt from its first copy, so that none was forwarded elsewhere.
    is_seen_from_start: bool,
}

/// What a decision depends on besides the waiting openings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Requests that may be added now.
    pub free: f64,
    /// Openings admitted a second; `None` while that is unknown.
    pub per_s: Option<f64>,
    /// Longest wait after which the opening still gets what it waits for.
    pub patience: Duration,
}

/// Openings that wait for a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    places: BTreeMap<Place, Waiting>,
    by_flow: BTreeMap<FlowKey, Place>,
    callers: Callers,
    last_number: u64,
    /// Admissions of the first rank since one of a lower one, while one waited.
    passed_over: u32,
    /// Number of admissions, and its value at the last admission of each rank.
    admissions: u64,
    last_admissions: BTreeMap<Rank, u64>,
    pruned: Option<Instant>,
    /// Expected wait of the opening that was decided on last; `None` if it has room or the wait is unknown.
    last_wait: Option<Duration>,
}

impl Queue {
    /// Number of waiting openings.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Number of callers with a record of their own.
    pub(super) fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Expected wait of the opening that was decided on last; `None` if it has room or the wait is unknown.
    pub(super) fn last_wait(&self) -> Option<Duration> {
        self.last_wait
    }

    /// Decides on an opening, which may be waiting already.
    pub(super) fn decide(
        &mut self,
        opening: OpeningAge,
        rank: Rank,
        room: Room,
        now: Instant,
    ) -> Admission {
        self.prune(now);
        self.last_wait = None;
        if self.places.is_empty() && room.free >= 1.0 {
            let turn = self.callers.take_turn(*opening.flow.caller.ip());
            self.callers.admit(turn);
            return Admission::Now;
        }
        let is_new = !self.by_flow.contains_key(&opening.flow);
        if is_new && self.places.len() >= MAX_WAITING {
            return refuse(opening.copy == 0);
        }
        let place = self.place(opening, rank, now);
        if self.is_next(place, room.free, now) {
            self.admit(opening.flow, place, now);
            return Admission::Now;
        }
        let wait = self.expected_wait(place, room, now);
        self.last_wait = wait;
        let is_refusable = self.places.get(&place).is_some_and(|w| w.is_seen_from_start);
        if wait.is_some_and(|wait| wait > room.patience) {
            self.remove(opening.flow);
            return refuse(is_refusable);
        }
        self.hold(opening, place, wait, now)
    }

    fn hold(
        &mut self,
        opening: OpeningAge,
        place: Place,
        wait: Option<Duration>,
        now: Instant,
    ) -> Admission {
        let is_last = is_last(opening.copy);
        let reserve = if is_last { ANSWER_RESERVE } else { Duration::ZERO };
        let left = retransmission_timeout(opening.copy)
            .saturating_sub(opening.waited)
            .saturating_sub(reserve);
        let delay = wait.unwrap_or(HOLD_STEP).clamp(SHORTEST_DELAY, HOLD_STEP);
        let Some(waiting) = self.places.get_mut(&place) else { return Admission::After(delay) };
        if left.is_zero() && is_last {
            let is_refusable = waiting.is_seen_from_start;
            self.remove(opening.flow);
            return refuse(is_refusable);
        }
        if left <= delay && !is_last {
            // Its next copy finds the same place, which nothing keeps empty until then.
            waiting.holds_until = now;
            return Admission::AtRetransmission;
        }
        let delay = delay.min(left);
        waiting.holds_until = now + delay + OVERDUE;
        Admission::After(delay)
    }

    /// Finds the opening's place or gives it one. Its rank may have changed since it was decided on last.
    fn place(&mut self, opening: OpeningAge, rank: Rank, now: Instant) -> Place {
        let holds_until = now + OVERDUE;
        let (place, is_seen_from_start) = match self.by_flow.get(&opening.flow) {
            Some(old) => {
                let seen = self.places.remove(old).is_some_and(|w| w.is_seen_from_start);
                ((rank, old.1, old.2), seen)
            }
            None => {
                self.last_number += 1;
                let turn = self.callers.take_turn(*opening.flow.caller.ip());
                ((rank, turn, self.last_number), opening.copy == 0)
            }
        };
        self.by_flow.insert(opening.flow, place);
        let waiting = Waiting { flow: opening.flow, holds_until, is_seen_from_start };
        self.places.insert(place, waiting);
        place
    }

    /// Whether the opening is among those that have room now.
    fn is_next(&self, place: Place, free: f64, now: Instant) -> bool {
        if free < 1.0 {
            return false;
        }
        let mut rooms = free as usize;
        if let Some(lower) = self.lower_in_turn(now) {
            if lower == place {
                return true;
            }
            rooms -= 1;
        }
        self.holding(now).take(rooms).any(|first| first == place)
    }

    /// First opening of the lower rank that has waited longest, if a lower rank is to be admitted next.
    fn lower_in_turn(&self, now: Instant) -> Option<Place> {
        if self.passed_over + 1 < ADMISSIONS_PER_LOWER {
            return None;
        }
        let mut firsts = Vec::new();
        let mut next = self.holding(now).next();
        while let Some(place) = next {
            firsts.push(place);
            let after = (place.0, u64::MAX, u64::MAX);
            let mut rest = self.places.range(after..).filter(|(_, w)| now < w.holds_until);
            next = rest.next().map(|(place, _)| *place);
        }
        let last = |place: &Place| self.last_admissions.get(&place.0).copied().unwrap_or(0);
        firsts.into_iter().skip(1).min_by_key(last)
    }

    /// Places that openings hold, in order.
    fn holding(&self, now: Instant) -> impl Iterator<Item = Place> {
        self.places.iter().filter(move |(_, w)| now < w.holds_until).map(|(place, _)| *place)
    }

    /// Time until there is room for the opening; `None` while the rate of admissions is unknown.
    fn expected_wait(&self, place: Place, room: Room, now: Instant) -> Option<Duration> {
        let per_s = room.per_s.filter(|per_s| *per_s > 0.0)?;
        // A longer wait than the patience needs no exact figure.
        let enough = (per_s * room.patience.as_secs_f64()) as usize + 2;
        let first_rank = self.holding(now).next().map(|first| first.0)?;
        let before = self.places.range(..place).filter(|(_, w)| now < w.holds_until);
        let (mut ahead, mut lower_ahead) = (0, 0);
        let counted = (enough * ADMISSIONS_PER_LOWER as usize).min(MAX_COUNTED);
        for (place, _) in before.take(counted) {
            ahead += 1;
            lower_ahead += usize::from(place.0 > first_rank);
        }
        let mut seconds = (ahead as f64 + 1.0 - room.free).max(0.0) / per_s;
        if place.0 > first_rank {
            let lower_per_s = per_s / f64::from(ADMISSIONS_PER_LOWER);
            seconds = seconds.min((lower_ahead as f64 + 1.0) / lower_per_s);
        }
        Some(Duration::from_secs_f64(seconds.min(60.0)))
    }

    fn admit(&mut self, flow: FlowKey, place: Place, now: Instant) {
        let first = self.holding(now).next();
        let lower = self.holding(now).find(|other| Some(other.0) != first.map(|f| f.0));
        let is_first_rank = first.is_none_or(|first| first.0 == place.0);
        self.passed_over = match lower {
            Some(_) if is_first_rank => self.passed_over.saturating_add(1),
            _ => 0,
        };
        self.by_flow.remove(&flow);
        self.places.remove(&place);
        self.callers.admit(place.1);
        self.admissions += 1;
        self.last_admissions.insert(place.0, self.admissions);
    }

    fn remove(&mut self, flow: FlowKey) {
        if let Some(place) = self.by_flow.remove(&flow) {
            self.places.remove(&place);
            self.callers.return_turn(*flow.caller.ip());
        }
    }

    /// Removes openings that are no longer decided on: their callers have gone.
    fn prune(&mut self, now: Instant) {
        if self.places.is_empty() || self.pruned.is_some_and(|at| now < at + HOLD_STEP) {
            return;
        }
        self.pruned = Some(now);
        let is_gone = |w: &&Waiting| now >= w.holds_until + WAITING_TIMEOUT;
        let gone: Vec<FlowKey> = self.places.values().filter(is_gone).map(|w| w.flow).collect();
        gone.into_iter().for_each(|flow| self.remove(flow));
    }
}

/// Refuses an attempt, unless a copy of it may have been forwarded before this entry saw it: then its last copy is
/// dropped, since a target may run it.
fn refuse(is_refusable: bool) -> Admission {
    if is_refusable { Admission::Refused } else { Admission::AtRetransmission }
}
