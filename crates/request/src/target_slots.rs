//! Slots of one dispatcher's targets, indexed so that the least loaded target is found in
//! logarithmic time.

use crate::ramp::{Ramp, RampFeedback};
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::ColdRamp;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// Key of a target in the arena of its dispatcher.
    pub struct TargetKey;
}

/// Resolution at which the loads of targets are compared: thousandths of the allowance.
const LOAD_SCALE: u32 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IndexPosition {
    None,
    Ready(u32, u64),
    RateLimited(Instant),
}

#[derive(Debug)]
struct TrackedTarget {
    address: SocketAddr,
    incarnation: Incarnation,
    slots: u32,
    serving: bool,
    in_use: u32,
    /// Slots that a failed entry may still use without this dispatcher having a record of it.
    reserved: u32,
    ramp: Ramp,
    last_pick: u64,
    index_position: IndexPosition,
}

impl TrackedTarget {
    fn free(&self) -> u32 {
        if !self.serving {
            return 0;
        }
        self.ramp.allowance(self.slots).saturating_sub(self.in_use + self.reserved)
    }

    fn load(&self) -> u32 {
        let allowance = self.ramp.allowance(self.slots).max(1);
        (self.in_use + self.reserved) * LOAD_SCALE / allowance
    }
}

/// Sums over all serving targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotTotals {
    /// Slots that can be granted.
    pub free: u32,
    /// Slots of serving targets.
    pub capacity: u32,
    /// Slots of serving targets except those that failed entries may use.
    pub usable: u32,
    /// Slots of warm targets that may be in use at once.
    pub warm_slots: u32,
    /// Slots of cold targets that may be in use at once, as limited by their ramps.
    pub cold_slots: u32,
    /// Starts per second that the ramps of cold targets allow.
    pub cold_starts_per_s: u32,
}

impl SlotTotals {
    fn of_target(target: &TrackedTarget) -> Self {
        if !target.serving {
            return Self::default();
        }
        let allowance = target.ramp.allowance(target.slots).saturating_sub(target.reserved);
        let (warm_slots, cold_slots) =
            if target.ramp.is_cold() { (0, allowance) } else { (allowance, 0) };
        let cold_starts_per_s = target.ramp.starts_per_s().unwrap_or(0);
        let (free, capacity) = (target.free(), target.slots);
        let usable = capacity.saturating_sub(target.reserved);
        Self { free, capacity, usable, warm_slots, cold_slots, cold_starts_per_s }
    }

    fn add(&mut self, other: Self) {
        self.free += other.free;
        self.capacity += other.capacity;
        self.usable += other.usable;
        self.warm_slots += other.warm_slots;
        self.cold_slots += other.cold_slots;
        self.cold_starts_per_s = self.cold_starts_per_s.saturating_add(other.cold_starts_per_s);
    }

    fn sub(&mut self, other: Self) {
        self.free -= other.free;
        self.capacity -= other.capacity;
        self.usable -= other.usable;
        self.warm_slots -= other.warm_slots;
        self.cold_slots -= other.cold_slots;
        self.cold_starts_per_s = self.cold_starts_per_s.saturating_sub(other.cold_starts_per_s);
    }

    /// Requests per second that the targets can start.
    #[must_use]
    pub fn starts_per_s(&self, mean_service_time: Duration) -> f64 {
        let seconds = mean_service_time.as_secs_f64().max(1e-6);
        let cold = (f64::from(self.cold_slots) / seconds).min(f64::from(self.cold_starts_per_s));
        f64::from(self.warm_slots) / seconds + cold
    }
}

/// The targets of one dispatcher.
#[derive(Debug)]
pub struct TargetSlots {
    rule: ColdRamp,
    arena: SlotMap<TargetKey, TrackedTarget>,
    by_address: BTreeMap<SocketAddr, TargetKey>,
    ready: BTreeSet<(u32, u64, TargetKey)>,
    rate_limited: BTreeSet<(Instant, TargetKey)>,
    totals: SlotTotals,
    pick_count: u64,
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
            rate_limited: BTreeSet::new(),
            totals: SlotTotals::default(),
            pick_count: 0,
        }
    }

    /// Sums over all serving targets.
    #[must_use]
    pub fn totals(&self) -> SlotTotals {
        self.totals
    }

    /// Whether any target is serving, also if it has no free slot now.
    #[must_use]
    pub fn has_serving_target(&self) -> bool {
        self.totals.capacity > 0
    }

    /// Address and incarnation of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<(SocketAddr, Incarnation)> {
        self.arena.get(key).map(|target| (target.address, target.incarnation))
    }

    /// Number of slots of a target that are or may be in use.
    #[must_use]
    pub fn occupied_slots(&self, address: SocketAddr) -> u32 {
        self.find(address).map_or(0, |target| target.in_use + target.reserved)
    }

    /// Current ramp step of a target; `None` when it is warm or unknown.
    #[must_use]
    pub fn ramp_step(&self, address: SocketAddr) -> Option<u16> {
        self.find(address).and_then(|target| target.ramp.step())
    }

    /// Addresses of cold targets, at most `limit`.
    #[must_use]
    pub fn cold_targets(&self, limit: usize) -> Vec<SocketAddr> {
        let cold = self.arena.values().filter(|target| target.serving && target.ramp.is_cold());
        cold.map(|target| target.address).take(limit).collect()
    }

    /// Replaces the target set. Targets whose address or incarnation is new start cold, unless
    /// `known_warm` returns `true` for a new address. Slots in use stay in use.
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
    pub fn can_grant(&mut self, now: Instant) -> bool {
        self.promote_rate_limited(now);
        !self.ready.is_empty()
    }

    /// Whether a target has a free slot and is not rate-limited.
    #[must_use]
    pub fn has_ready_target(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Occupies a slot of the target with the lowest share of its allowance in use; among equals,
    /// of the least recently picked one.
    pub fn occupy_least_loaded(&mut self, now: Instant) -> Option<TargetKey> {
        self.promote_rate_limited(now);
        let (_, _, key) = self.ready.first().copied()?;
        self.pick_count += 1;
        let pick = self.pick_count;
        self.update(key, |target| {
            target.in_use += 1;
            target.last_pick = pick;
            target.ramp.on_start(now);
        });
        Some(key)
    }

    /// Counts a grant of an earlier dispatcher as a slot in use. Returns `None` when the target is
    /// unknown.
    pub fn adopt(&mut self, address: SocketAddr) -> Option<TargetKey> {
        let key = self.by_address.get(&address).copied()?;
        self.update(key, |target| {
            target.in_use += 1;
            target.reserved = target.reserved.saturating_sub(1);
        });
        Some(key)
    }

    /// Reserves every slot that is not known to be in use, since a failed entry may be using it.
    pub fn reserve_unaccounted(&mut self) {
        for key in self.keys() {
            self.update(key, |target| target.reserved = target.slots.saturating_sub(target.in_use));
        }
    }

    /// Ends the reservation made by [`Self::reserve_unaccounted`].
    pub fn clear_reserved(&mut self) {
        for key in self.keys() {
            self.update(key, |target| target.reserved = 0);
        }
    }

    /// Releases one slot.
    pub fn release(&mut self, key: TargetKey) {
        self.update(key, |target| target.in_use = target.in_use.saturating_sub(1));
        self.remove_if_idle(key);
    }

    /// Passes the result of a request to the target's ramp. Returns whether the target turned cold.
    pub fn apply_feedback(
        &mut self,
        now: Instant,
        key: TargetKey,
        granted_at: Instant,
        feedback: RampFeedback,
    ) -> bool {
        let mut turned_cold = false;
        self.update(key, |target| {
            turned_cold = target.ramp.on_feedback(now, granted_at, feedback);
        });
        turned_cold
    }

    /// Makes every target cold, for a failure domain that is restored.
    pub fn restart_ramps(&mut self, now: Instant) {
        for key in self.keys() {
            self.update(key, |target| target.ramp.restart(now));
        }
    }

    /// Applies a changed ramp rule to all targets.
    pub fn set_rule(&mut self, rule: ColdRamp) {
        self.rule = rule;
        for key in self.keys() {
            let rule = self.rule.clone();
            self.update(key, |target| target.ramp.set_rule(&rule));
        }
    }

    /// Earliest time at which a rate-limited target may start its next request.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.rate_limited.first().map(|(at, _)| *at)
    }

    fn find(&self, address: SocketAddr) -> Option<&TrackedTarget> {
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
        let key = self.arena.insert(TrackedTarget {
            address: record.address,
            incarnation: record.incarnation,
            slots,
            serving: false,
            in_use: 0,
            reserved: 0,
            ramp,
            last_pick: 0,
            index_position: IndexPosition::None,
        });
        self.by_address.insert(record.address, key);
        self.update(key, |target| target.serving = record.state == TargetState::Serving);
    }

    fn remove_if_idle(&mut self, key: TargetKey) {
        let Some(target) = self.arena.get(key) else { return };
        if target.serving || target.in_use + target.reserved > 0 {
            return;
        }
        self.by_address.remove(&target.address);
        self.arena.remove(key);
    }

    fn promote_rate_limited(&mut self, now: Instant) {
        while let Some((at, key)) = self.rate_limited.first().copied() {
            if at > now {
                return;
            }
            self.rate_limited.pop_first();
            let Some(target) = self.arena.get_mut(key) else { continue };
            let (load, pick) = (target.load(), target.last_pick);
            target.index_position = IndexPosition::Ready(load, pick);
            self.ready.insert((load, pick, key));
        }
    }

    /// Changes a target and keeps the index and the totals consistent with it.
    fn update(&mut self, key: TargetKey, change: impl FnOnce(&mut TrackedTarget)) {
        let Some(target) = self.arena.get_mut(key) else { return };
        self.totals.sub(SlotTotals::of_target(target));
        match target.index_position {
            IndexPosition::None => {}
            IndexPosition::Ready(load, pick) => {
                self.ready.remove(&(load, pick, key));
            }
            IndexPosition::RateLimited(at) => {
                self.rate_limited.remove(&(at, key));
            }
        }
        change(target);
        self.totals.add(SlotTotals::of_target(target));
        target.index_position = IndexPosition::None;
        if target.free() == 0 {
            return;
        }
        if target.ramp.is_cold() {
            let at = target.ramp.next_start();
            target.index_position = IndexPosition::RateLimited(at);
            self.rate_limited.insert((at, key));
            return;
        }
        let (load, pick) = (target.load(), target.last_pick);
        target.index_position = IndexPosition::Ready(load, pick);
        self.ready.insert((load, pick, key));
    }
}
