//! Slots of the targets of one dispatcher, indexed so that the least loaded target is found in
//! logarithmic time.

use crate::ramp::{Feedback, Ramp};
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::ColdRamp;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// A target in the arena of its dispatcher.
    pub struct TargetKey;
}

/// Parts of a whole in which the load of a target is compared.
const LOAD_SCALE: u32 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    None,
    Ready(u32, u64),
    Resting(Instant),
}

#[derive(Debug)]
struct Slots {
    address: SocketAddr,
    incarnation: Incarnation,
    slots: u32,
    serving: bool,
    busy: u32,
    /// Slots that an entry which failed may still use, unknown to this dispatcher.
    reserved: u32,
    ramp: Ramp,
    last_pick: u64,
    place: Place,
}

impl Slots {
    fn free(&self) -> u32 {
        if !self.serving {
            return 0;
        }
        self.ramp.allowance(self.slots).saturating_sub(self.busy + self.reserved)
    }

    fn load(&self) -> u32 {
        let allowance = self.ramp.allowance(self.slots).max(1);
        (self.busy + self.reserved) * LOAD_SCALE / allowance
    }
}

/// Sums over all serving targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Slots that can be granted.
    pub free: u32,
    /// Slots of serving targets.
    pub capacity: u32,
    /// Slots of serving targets less those that failed entries may use.
    pub usable: u32,
    /// Allowed concurrency on warm targets.
    pub warm: u32,
    /// Allowed concurrency on cold targets.
    pub cold: u32,
    /// Allowed starts per second on cold targets.
    pub cold_starts: u32,
}

impl Totals {
    fn of(target: &Slots) -> Self {
        if !target.serving {
            return Self::default();
        }
        let allowance = target.ramp.allowance(target.slots).saturating_sub(target.reserved);
        let (warm, cold) = if target.ramp.is_cold() { (0, allowance) } else { (allowance, 0) };
        let cold_starts = target.ramp.starts_per_s().unwrap_or(0);
        let (free, capacity) = (target.free(), target.slots);
        let usable = capacity.saturating_sub(target.reserved);
        Self { free, capacity, usable, warm, cold, cold_starts }
    }

    fn add(&mut self, other: Self) {
        self.free += other.free;
        self.capacity += other.capacity;
        self.usable += other.usable;
        self.warm += other.warm;
        self.cold += other.cold;
        self.cold_starts = self.cold_starts.saturating_add(other.cold_starts);
    }

    fn sub(&mut self, other: Self) {
        self.free -= other.free;
        self.capacity -= other.capacity;
        self.usable -= other.usable;
        self.warm -= other.warm;
        self.cold -= other.cold;
        self.cold_starts = self.cold_starts.saturating_sub(other.cold_starts);
    }

    /// Requests per second that the targets can start, given the mean service time.
    #[must_use]
    pub fn starts_per_s(&self, mean: Duration) -> f64 {
        let seconds = mean.as_secs_f64().max(1e-6);
        let cold = (f64::from(self.cold) / seconds).min(f64::from(self.cold_starts));
        f64::from(self.warm) / seconds + cold
    }
}

/// The targets of one dispatcher.
#[derive(Debug)]
pub struct TargetSlots {
    rule: ColdRamp,
    arena: SlotMap<TargetKey, Slots>,
    by_address: BTreeMap<SocketAddr, TargetKey>,
    ready: BTreeSet<(u32, u64, TargetKey)>,
    resting: BTreeSet<(Instant, TargetKey)>,
    totals: Totals,
    picks: u64,
}

impl TargetSlots {
    /// Creates an empty set.
    #[must_use]
    pub fn new(rule: ColdRamp) -> Self {
        Self {
            rule,
            arena: SlotMap::with_key(),
            by_address: BTreeMap::new(),
            ready: BTreeSet::new(),
            resting: BTreeSet::new(),
            totals: Totals::default(),
            picks: 0,
        }
    }

    /// Sums over all serving targets.
    #[must_use]
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Whether any target takes new work, now or later.
    #[must_use]
    pub fn any_serving(&self) -> bool {
        self.totals.capacity > 0
    }

    /// Address and incarnation of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<(SocketAddr, Incarnation)> {
        self.arena.get(key).map(|target| (target.address, target.incarnation))
    }

    /// Requests that hold or may hold slots of a target.
    #[must_use]
    pub fn occupied(&self, address: SocketAddr) -> u32 {
        self.find(address).map_or(0, |target| target.busy + target.reserved)
    }

    /// Current ramp step of a target; `None` when it is warm or unknown.
    #[must_use]
    pub fn ramp_step(&self, address: SocketAddr) -> Option<u16> {
        self.find(address).and_then(|target| target.ramp.step())
    }

    /// Addresses of cold targets, at most `limit`.
    #[must_use]
    pub fn cold(&self, limit: usize) -> Vec<SocketAddr> {
        let cold = self.arena.values().filter(|target| target.serving && target.ramp.is_cold());
        cold.map(|target| target.address).take(limit).collect()
    }

    /// Replaces the target set. Targets whose address or incarnation is new start cold, unless
    /// `known_warm` says otherwise. Occupied slots stay occupied.
    pub fn replace(
        &mut self,
        now: Instant,
        records: &[TargetRecord],
        max_slots: u16,
        known_warm: impl Fn(SocketAddr) -> bool,
    ) {
        let listed: BTreeSet<_> = records.iter().map(|record| record.address).collect();
        let absent: Vec<_> =
            self.by_address.iter().filter(|(a, _)| !listed.contains(*a)).map(|(_, k)| *k).collect();
        for key in absent {
            self.update(key, |target| target.serving = false);
            self.remove_if_idle(key);
        }
        for record in records {
            self.upsert(now, record, max_slots, known_warm(record.address));
        }
    }

    /// Whether a slot can be granted now.
    pub fn ready(&mut self, now: Instant) -> bool {
        self.wake_rested(now);
        !self.ready.is_empty()
    }

    /// Whether a target that is not limited by its start rate has a free slot.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes the target with the lowest share of its allowance in use; among equals the one that was
    /// picked longest ago. Occupies one of its slots.
    pub fn take(&mut self, now: Instant) -> Option<TargetKey> {
        self.wake_rested(now);
        let (_, _, key) = self.ready.first().copied()?;
        self.picks += 1;
        let pick = self.picks;
        self.update(key, |target| {
            target.busy += 1;
            target.last_pick = pick;
            target.ramp.on_start(now);
        });
        Some(key)
    }

    /// Counts a grant of an earlier dispatcher. Returns `None` when the target is unknown.
    pub fn adopt(&mut self, address: SocketAddr) -> Option<TargetKey> {
        let key = self.by_address.get(&address).copied()?;
        self.update(key, |target| {
            target.busy += 1;
            target.reserved = target.reserved.saturating_sub(1);
        });
        Some(key)
    }

    /// Counts every slot that is not known to be in use as in use by an entry that failed.
    pub fn reserve_rest(&mut self) {
        for key in self.keys() {
            self.update(key, |target| target.reserved = target.slots.saturating_sub(target.busy));
        }
    }

    /// Ends the count of [`Self::reserve_rest`].
    pub fn clear_reserved(&mut self) {
        for key in self.keys() {
            self.update(key, |target| target.reserved = 0);
        }
    }

    /// Frees one slot.
    pub fn vacate(&mut self, key: TargetKey) {
        self.update(key, |target| target.busy = target.busy.saturating_sub(1));
        self.remove_if_idle(key);
    }

    /// Passes feedback to the target's ramp. Returns whether the target turned cold.
    pub fn feedback(
        &mut self,
        now: Instant,
        key: TargetKey,
        started: Instant,
        feedback: Feedback,
    ) -> bool {
        let mut turned_cold = false;
        self.update(key, |target| {
            turned_cold = target.ramp.on_feedback(now, started, feedback);
        });
        turned_cold
    }

    /// Makes every target cold, for a failure domain that returns.
    pub fn restart_ramps(&mut self, now: Instant) {
        for key in self.keys() {
            self.update(key, |target| target.ramp.restart(now));
        }
    }

    /// Applies a changed ramp rule.
    pub fn set_rule(&mut self, rule: ColdRamp) {
        self.rule = rule;
        for key in self.keys() {
            let rule = self.rule.clone();
            self.update(key, |target| target.ramp.set_rule(&rule));
        }
    }

    /// Time at which a rate-limited target may start the next request.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.resting.first().map(|(at, _)| *at)
    }

    fn find(&self, address: SocketAddr) -> Option<&Slots> {
        self.by_address.get(&address).and_then(|key| self.arena.get(*key))
    }

    fn keys(&self) -> Vec<TargetKey> {
        self.arena.keys().collect()
    }

    fn upsert(&mut self, now: Instant, record: &TargetRecord, max_slots: u16, known_warm: bool) {
        let slots = u32::from(record.slots.min(max_slots));
        let serving = record.state == TargetState::Serving;
        let Some(key) = self.by_address.get(&record.address).copied() else {
            self.insert(now, record, slots, known_warm);
            return;
        };
        self.update(key, |target| {
            if record.incarnation > target.incarnation {
                target.ramp.restart(now);
            }
            target.incarnation = target.incarnation.max(record.incarnation);
            target.slots = slots;
            target.serving = serving;
        });
    }

    fn insert(&mut self, now: Instant, record: &TargetRecord, slots: u32, known_warm: bool) {
        let rule = self.rule.clone();
        let ramp = if known_warm { Ramp::warm(rule, now) } else { Ramp::cold(rule, now) };
        let key = self.arena.insert(Slots {
            address: record.address,
            incarnation: record.incarnation,
            slots,
            serving: false,
            busy: 0,
            reserved: 0,
            ramp,
            last_pick: 0,
            place: Place::None,
        });
        self.by_address.insert(record.address, key);
        self.update(key, |target| target.serving = record.state == TargetState::Serving);
    }

    fn remove_if_idle(&mut self, key: TargetKey) {
        let Some(target) = self.arena.get(key) else { return };
        if target.serving || target.busy + target.reserved > 0 {
            return;
        }
        self.by_address.remove(&target.address);
        self.arena.remove(key);
    }

    fn wake_rested(&mut self, now: Instant) {
        while let Some((at, key)) = self.resting.first().copied() {
            if at > now {
                return;
            }
            self.resting.pop_first();
            let Some(target) = self.arena.get_mut(key) else { continue };
            let (load, pick) = (target.load(), target.last_pick);
            target.place = Place::Ready(load, pick);
            self.ready.insert((load, pick, key));
        }
    }

    /// Changes a target and keeps the index and the sums in step with it.
    fn update(&mut self, key: TargetKey, change: impl FnOnce(&mut Slots)) {
        let Some(target) = self.arena.get_mut(key) else { return };
        self.totals.sub(Totals::of(target));
        match target.place {
            Place::None => {}
            Place::Ready(load, pick) => {
                self.ready.remove(&(load, pick, key));
            }
            Place::Resting(at) => {
                self.resting.remove(&(at, key));
            }
        }
        change(target);
        self.totals.add(Totals::of(target));
        target.place = Place::None;
        if target.free() == 0 {
            return;
        }
        if target.ramp.is_cold() {
            let at = target.ramp.next_start();
            target.place = Place::Resting(at);
            self.resting.insert((at, key));
            return;
        }
        let (load, pick) = (target.load(), target.last_pick);
        target.place = Place::Ready(load, pick);
        self.ready.insert((load, pick, key));
    }
}
