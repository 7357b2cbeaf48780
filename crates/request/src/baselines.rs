//! Simple admission policies for comparison: each entry selects targets on its own, or the slots
//! are divided among entries.

use crate::admission::{AdmissionAction, AdmissionPolicy, EntryMessage, Layout, SlotRequest};
use crate::message::SlotOutcome;
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Maximum number of starts of one request, as in the default retry rule.
const MAX_STARTS: u8 = 3;

/// How an entry selects a target by its own requests alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSelection {
    /// A random target where the entry has fewer requests in flight than the target has slots.
    Random,
    /// The target where the entry has the fewest requests in flight, at most as many as the target
    /// has slots.
    LeastLoaded,
}

#[derive(Debug, Default)]
struct LocalEntry {
    in_flight: Vec<u32>,
    queue: VecDeque<SlotRequest>,
    /// Target and number of starts of each running request.
    running: BTreeMap<u64, (usize, u8)>,
}

/// Policy in which each entry selects targets and knows only its own requests.
#[derive(Debug)]
pub struct LocalAdmission {
    rule: TargetSelection,
    limits: Vec<u32>,
    queue_limit: usize,
    entries: Vec<LocalEntry>,
    rng: StdRng,
}

impl LocalAdmission {
    /// Creates the policy with a seeded random generator.
    #[must_use]
    pub fn new(rule: TargetSelection, layout: &Layout, rng: StdRng) -> Self {
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

    fn select_target(&mut self, entry: usize) -> Option<usize> {
        let in_flight = &self.entries.get(entry)?.in_flight;
        let available = (0..self.limits.len()).filter(|t| in_flight[*t] < self.limits[*t]);
        let least = match self.rule {
            TargetSelection::Random => None,
            TargetSelection::LeastLoaded => available.clone().map(|target| in_flight[target]).min(),
        };
        let available =
            available.filter(|target| least.is_none_or(|least| in_flight[*target] == least));
        available.collect::<Vec<_>>().choose(&mut self.rng).copied()
    }

    fn start(&mut self, entry: usize, target: usize, request: u64, starts: u8) -> AdmissionAction {
        let state = &mut self.entries[entry];
        state.in_flight[target] += 1;
        state.running.insert(request, (target, starts));
        AdmissionAction::Start { entry, request, target }
    }

    fn start_queued(&mut self, now: Instant, entry: usize, out: &mut Vec<AdmissionAction>) {
        while let Some(slot_request) = self.entries[entry].queue.front().copied() {
            if slot_request.deadline <= now {
                self.entries[entry].queue.pop_front();
                out.push(end_request(slot_request, ResultCode::DeadlineBeforeStart));
                continue;
            }
            let Some(target) = self.select_target(entry) else { return };
            self.entries[entry].queue.pop_front();
            out.push(self.start(entry, target, slot_request.request, 1));
        }
    }
}

fn end_request(slot_request: SlotRequest, code: ResultCode) -> AdmissionAction {
    AdmissionAction::End { request: slot_request.request, code }
}

impl AdmissionPolicy for LocalAdmission {
    fn name(&self) -> &'static str {
        match self.rule {
            TargetSelection::Random => "random",
            TargetSelection::LeastLoaded => "least-loaded",
        }
    }

    fn acquire(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        if self.entries[entry].queue.len() >= self.queue_limit {
            out.push(end_request(slot_request, ResultCode::Shed));
            return out;
        }
        self.entries[entry].queue.push_back(slot_request);
        self.start_queued(now, entry, &mut out);
        out
    }

    fn release(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
        outcome: SlotOutcome,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        let Some((target, starts)) = self.entries[entry].running.remove(&slot_request.request)
        else {
            return out;
        };
        let retry = outcome == SlotOutcome::Refused && starts < MAX_STARTS;
        let next = if retry { self.select_target(entry) } else { None };
        self.entries[entry].in_flight[target] -= 1;
        match next {
            Some(next) => out.push(self.start(entry, next, slot_request.request, starts + 1)),
            None if outcome == SlotOutcome::Refused => {
                out.push(end_request(slot_request, ResultCode::TargetRefused));
            }
            None => {}
        }
        self.start_queued(now, entry, &mut out);
        out
    }

    fn deliver(
        &mut self,
        _now: Instant,
        _from: usize,
        _to: usize,
        _note: EntryMessage,
    ) -> Vec<AdmissionAction> {
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        for entry in 0..self.entries.len() {
            self.start_queued(now, entry, &mut out);
        }
        out
    }

    fn on_entry_death(&mut self, _now: Instant, entry: usize) {
        self.entries[entry].queue.clear();
    }

    fn on_death_detected(
        &mut self,
        _now: Instant,
        _entry: usize,
        _lease_ends: Instant,
    ) -> Vec<AdmissionAction> {
        Vec::new()
    }
}

#[derive(Debug, Default)]
struct ShareEntry {
    /// Targets of the free slots of the entry's share, one item for each slot.
    free: VecDeque<usize>,
    queue: VecDeque<SlotRequest>,
    /// Target and lender of each running request.
    running: BTreeMap<u64, (usize, usize)>,
    next_lender: usize,
}

/// Policy in which slots are divided among entries. An entry without free slots borrows from the
/// others in turn.
#[derive(Debug)]
pub struct SplitShares {
    entries: Vec<ShareEntry>,
    alive: Vec<bool>,
    queue_limit: usize,
}

impl SplitShares {
    /// Divides the slots among the entries in turn.
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

    fn start_queued(&mut self, now: Instant, entry: usize, out: &mut Vec<AdmissionAction>) {
        let state = &mut self.entries[entry];
        while let Some(slot_request) = state.queue.front().copied() {
            if slot_request.deadline <= now {
                state.queue.pop_front();
                out.push(end_request(slot_request, ResultCode::DeadlineBeforeStart));
                continue;
            }
            let Some(target) = state.free.pop_front() else { return };
            state.queue.pop_front();
            state.running.insert(slot_request.request, (target, entry));
            out.push(AdmissionAction::Start { entry, request: slot_request.request, target });
        }
    }

    fn send_borrow(
        &mut self,
        entry: usize,
        slot_request: SlotRequest,
        out: &mut Vec<AdmissionAction>,
    ) {
        let count = self.entries.len();
        let state = &mut self.entries[entry];
        for _ in 0..count {
            state.next_lender = (state.next_lender + 1) % count;
            let to = state.next_lender;
            if to != entry && self.alive[to] {
                out.push(AdmissionAction::Send {
                    from: entry,
                    to,
                    message: EntryMessage::Borrow(slot_request),
                });
                return;
            }
        }
    }

    fn on_lend(&mut self, to: usize, from: usize, target: usize, out: &mut Vec<AdmissionAction>) {
        let state = &mut self.entries[to];
        let Some(slot_request) = state.queue.pop_front() else {
            out.push(AdmissionAction::Send {
                from: to,
                to: from,
                message: EntryMessage::Return(target),
            });
            return;
        };
        state.running.insert(slot_request.request, (target, from));
        out.push(AdmissionAction::Start { entry: to, request: slot_request.request, target });
    }
}

impl AdmissionPolicy for SplitShares {
    fn name(&self) -> &'static str {
        "split-shares"
    }

    fn acquire(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        if self.entries[entry].queue.len() >= self.queue_limit {
            out.push(end_request(slot_request, ResultCode::Shed));
            return out;
        }
        self.entries[entry].queue.push_back(slot_request);
        self.start_queued(now, entry, &mut out);
        if !self.entries[entry].queue.is_empty() {
            self.send_borrow(entry, slot_request, &mut out);
        }
        out
    }

    fn release(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
        outcome: SlotOutcome,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        let Some((target, lender)) = self.entries[entry].running.remove(&slot_request.request)
        else {
            return out;
        };
        if outcome == SlotOutcome::Refused {
            out.push(end_request(slot_request, ResultCode::TargetRefused));
        }
        if lender == entry {
            self.entries[entry].free.push_back(target);
            self.start_queued(now, entry, &mut out);
        } else {
            out.push(AdmissionAction::Send {
                from: entry,
                to: lender,
                message: EntryMessage::Return(target),
            });
        }
        out
    }

    fn deliver(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        message: EntryMessage,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        match message {
            EntryMessage::Borrow(slot_request) => {
                let can_lend = self.entries[to].queue.is_empty();
                let lent = if can_lend { self.entries[to].free.pop_front() } else { None };
                out.push(AdmissionAction::Send {
                    from: to,
                    to: from,
                    message: EntryMessage::Lend(slot_request, lent),
                });
            }
            EntryMessage::Lend(_, Some(target)) => self.on_lend(to, from, target, &mut out),
            EntryMessage::Return(target) => {
                self.entries[to].free.push_back(target);
                self.start_queued(now, to, &mut out);
            }
            EntryMessage::Lend(_, None) | EntryMessage::Protocol(_) => {}
        }
        out
    }

    /// Requests a slot again for the first waiting request of each entry.
    fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        for entry in 0..self.entries.len() {
            self.start_queued(now, entry, &mut out);
            if let Some(slot_request) = self.entries[entry].queue.front().copied() {
                self.send_borrow(entry, slot_request, &mut out);
            }
        }
        out
    }

    fn on_entry_death(&mut self, _now: Instant, entry: usize) {
        self.entries[entry].queue.clear();
        self.entries[entry].free.clear();
    }

    /// The share of the dead entry stays unused, since it is not known which of its slots are lent
    /// out.
    fn on_death_detected(
        &mut self,
        _now: Instant,
        entry: usize,
        _lease_ends: Instant,
    ) -> Vec<AdmissionAction> {
        self.alive[entry] = false;
        Vec::new()
    }
}
