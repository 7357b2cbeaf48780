//! Baselines: each entry decides by itself, or slots are divided among entries.

use crate::admission::{Admission, Ask, Layout, Note, Step};
use crate::message::SlotOutcome;
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Starts of one request at most, as in the default retry rule.
const MAX_TRIES: u8 = 3;

/// How an entry that decides by itself picks a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalRule {
    /// At random among targets where it has less in flight than the target's slots.
    Random,
    /// The target where it has the least in flight, at most the target's slots.
    LeastLoaded,
}

#[derive(Debug, Default)]
struct LocalEntry {
    in_flight: Vec<u32>,
    queue: VecDeque<Ask>,
    /// Target and number of starts of running requests.
    running: BTreeMap<u64, (usize, u8)>,
}

/// Each entry knows only its own requests.
#[derive(Debug)]
pub struct LocalChoice {
    rule: LocalRule,
    limits: Vec<u32>,
    queue_limit: usize,
    entries: Vec<LocalEntry>,
    rng: StdRng,
}

impl LocalChoice {
    /// Creates the admission with seeded randomness.
    #[must_use]
    pub fn new(rule: LocalRule, layout: &Layout, rng: StdRng) -> Self {
        let in_flight = vec![0; layout.targets.len()];
        let entry = || LocalEntry { in_flight: in_flight.clone(), ..LocalEntry::default() };
        Self {
            rule,
            limits: layout.targets.iter().map(|target| target.slots.into()).collect(),
            queue_limit: usize::try_from(layout.profile.queue_limit).unwrap_or(usize::MAX),
            entries: layout.entries.iter().map(|_| entry()).collect(),
            rng,
        }
    }

    fn pick(&mut self, entry: usize) -> Option<usize> {
        let in_flight = &self.entries.get(entry)?.in_flight;
        let open = (0..self.limits.len()).filter(|t| in_flight[*t] < self.limits[*t]);
        let least = match self.rule {
            LocalRule::Random => None,
            LocalRule::LeastLoaded => open.clone().map(|target| in_flight[target]).min(),
        };
        let open = open.filter(|target| least.is_none_or(|least| in_flight[*target] == least));
        open.collect::<Vec<_>>().choose(&mut self.rng).copied()
    }

    fn start(&mut self, entry: usize, target: usize, request: u64, tries: u8) -> Step {
        let state = &mut self.entries[entry];
        state.in_flight[target] += 1;
        state.running.insert(request, (target, tries));
        Step::Start { entry, request, target }
    }

    fn drain(&mut self, now: Instant, entry: usize, out: &mut Vec<Step>) {
        while let Some(ask) = self.entries[entry].queue.front().copied() {
            if ask.deadline <= now {
                self.entries[entry].queue.pop_front();
                out.push(end(ask, ResultCode::DeadlineBeforeStart));
                continue;
            }
            let Some(target) = self.pick(entry) else { return };
            self.entries[entry].queue.pop_front();
            out.push(self.start(entry, target, ask.request, 1));
        }
    }
}

fn end(ask: Ask, code: ResultCode) -> Step {
    Step::End { request: ask.request, code }
}

impl Admission for LocalChoice {
    fn name(&self) -> &'static str {
        match self.rule {
            LocalRule::Random => "random",
            LocalRule::LeastLoaded => "least-loaded",
        }
    }

    fn acquire(&mut self, now: Instant, entry: usize, ask: Ask) -> Vec<Step> {
        let mut out = Vec::new();
        if self.entries[entry].queue.len() >= self.queue_limit {
            out.push(end(ask, ResultCode::Shed));
            return out;
        }
        self.entries[entry].queue.push_back(ask);
        self.drain(now, entry, &mut out);
        out
    }

    fn release(&mut self, now: Instant, entry: usize, ask: Ask, outcome: SlotOutcome) -> Vec<Step> {
        let mut out = Vec::new();
        let Some((target, tries)) = self.entries[entry].running.remove(&ask.request) else {
            return out;
        };
        let retry = outcome == SlotOutcome::Refused && tries < MAX_TRIES;
        let other = if retry { self.pick(entry) } else { None };
        self.entries[entry].in_flight[target] -= 1;
        match other {
            Some(other) => out.push(self.start(entry, other, ask.request, tries + 1)),
            None if outcome == SlotOutcome::Refused => {
                out.push(end(ask, ResultCode::TargetRefused));
            }
            None => {}
        }
        self.drain(now, entry, &mut out);
        out
    }

    fn deliver(&mut self, _now: Instant, _from: usize, _to: usize, _note: Note) -> Vec<Step> {
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<Step> {
        let mut out = Vec::new();
        for entry in 0..self.entries.len() {
            self.drain(now, entry, &mut out);
        }
        out
    }

    fn entry_died(&mut self, _now: Instant, entry: usize) {
        self.entries[entry].queue.clear();
    }

    fn death_found(&mut self, _now: Instant, _entry: usize, _lease_ends: Instant) -> Vec<Step> {
        Vec::new()
    }
}

#[derive(Debug, Default)]
struct ShareEntry {
    /// Free slots of the own share, by target.
    free: VecDeque<usize>,
    queue: VecDeque<Ask>,
    /// Target and lender of running requests.
    running: BTreeMap<u64, (usize, usize)>,
    next_lender: usize,
}

/// Slots are divided among entries; one without free slots borrows from the others in turn.
#[derive(Debug)]
pub struct SplitShares {
    entries: Vec<ShareEntry>,
    alive: Vec<bool>,
    queue_limit: usize,
}

impl SplitShares {
    /// Divides the slots in turn.
    #[must_use]
    pub fn new(layout: &Layout) -> Self {
        let count = layout.entries.len();
        let mut entries: Vec<_> = (0..count).map(|_| ShareEntry::default()).collect();
        let slots = layout.targets.iter().enumerate();
        let slots = slots.flat_map(|(index, target)| vec![index; usize::from(target.slots)]);
        for (number, target) in slots.enumerate() {
            entries[number % count].free.push_back(target);
        }
        let queue_limit = usize::try_from(layout.profile.queue_limit).unwrap_or(usize::MAX);
        Self { entries, alive: vec![true; count], queue_limit }
    }

    fn drain(&mut self, now: Instant, entry: usize, out: &mut Vec<Step>) {
        let state = &mut self.entries[entry];
        while let Some(ask) = state.queue.front().copied() {
            if ask.deadline <= now {
                state.queue.pop_front();
                out.push(end(ask, ResultCode::DeadlineBeforeStart));
                continue;
            }
            let Some(target) = state.free.pop_front() else { return };
            state.queue.pop_front();
            state.running.insert(ask.request, (target, entry));
            out.push(Step::Start { entry, request: ask.request, target });
        }
    }

    fn borrow(&mut self, entry: usize, ask: Ask, out: &mut Vec<Step>) {
        let count = self.entries.len();
        let state = &mut self.entries[entry];
        for _ in 0..count {
            state.next_lender = (state.next_lender + 1) % count;
            let to = state.next_lender;
            if to != entry && self.alive[to] {
                out.push(Step::Send { from: entry, to, note: Note::Borrow(ask) });
                return;
            }
        }
    }

    fn on_lent(&mut self, to: usize, from: usize, target: usize, out: &mut Vec<Step>) {
        let state = &mut self.entries[to];
        let Some(ask) = state.queue.pop_front() else {
            out.push(Step::Send { from: to, to: from, note: Note::Return(target) });
            return;
        };
        state.running.insert(ask.request, (target, from));
        out.push(Step::Start { entry: to, request: ask.request, target });
    }
}

impl Admission for SplitShares {
    fn name(&self) -> &'static str {
        "split-shares"
    }

    fn acquire(&mut self, now: Instant, entry: usize, ask: Ask) -> Vec<Step> {
        let mut out = Vec::new();
        if self.entries[entry].queue.len() >= self.queue_limit {
            out.push(end(ask, ResultCode::Shed));
            return out;
        }
        self.entries[entry].queue.push_back(ask);
        self.drain(now, entry, &mut out);
        if !self.entries[entry].queue.is_empty() {
            self.borrow(entry, ask, &mut out);
        }
        out
    }

    fn release(&mut self, now: Instant, entry: usize, ask: Ask, outcome: SlotOutcome) -> Vec<Step> {
        let mut out = Vec::new();
        let Some((target, lender)) = self.entries[entry].running.remove(&ask.request) else {
            return out;
        };
        if outcome == SlotOutcome::Refused {
            out.push(end(ask, ResultCode::TargetRefused));
        }
        if lender == entry {
            self.entries[entry].free.push_back(target);
            self.drain(now, entry, &mut out);
        } else {
            out.push(Step::Send { from: entry, to: lender, note: Note::Return(target) });
        }
        out
    }

    fn deliver(&mut self, now: Instant, from: usize, to: usize, note: Note) -> Vec<Step> {
        let mut out = Vec::new();
        match note {
            Note::Borrow(ask) => {
                let spare = self.entries[to].queue.is_empty();
                let lent = if spare { self.entries[to].free.pop_front() } else { None };
                out.push(Step::Send { from: to, to: from, note: Note::Lend(ask, lent) });
            }
            Note::Lend(_, Some(target)) => self.on_lent(to, from, target, &mut out),
            Note::Return(target) => {
                self.entries[to].free.push_back(target);
                self.drain(now, to, &mut out);
            }
            Note::Lend(_, None) | Note::Protocol(_) => {}
        }
        out
    }

    /// Asks for a slot again on behalf of the first waiting request of each entry.
    fn tick(&mut self, now: Instant) -> Vec<Step> {
        let mut out = Vec::new();
        for entry in 0..self.entries.len() {
            self.drain(now, entry, &mut out);
            if let Some(ask) = self.entries[entry].queue.front().copied() {
                self.borrow(entry, ask, &mut out);
            }
        }
        out
    }

    fn entry_died(&mut self, _now: Instant, entry: usize) {
        self.entries[entry].queue.clear();
        self.entries[entry].free.clear();
    }

    /// The share of the dead entry stays unused: which of its slots are lent out is not known.
    fn death_found(&mut self, _now: Instant, entry: usize, _lease_ends: Instant) -> Vec<Step> {
        self.alive[entry] = false;
        Vec::new()
    }
}
