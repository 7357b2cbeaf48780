//! Directory of the targets of all services, with the load and health that this entry has observed.

use super::Cookie;
use super::capacity::Learned;
use super::health::Health;
use super::shared::{LoadIntegral, OthersLoad};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

slotmap::new_key_type! {
    /// Key of one incarnation of a target in the directory.
    pub struct TargetKey;
}

/// Time for which an ended target is kept, so that packets of its flows are answered by a reset instead
/// of being discarded. Callers abandon their requests within a few seconds.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Reported properties of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Id assigned to the target.
    pub id: TargetId,
    /// Start time in milliseconds since the Unix epoch, by the target's clock. Identifies its
    /// incarnation.
    pub born_ms: u64,
    /// Name of its service.
    pub service: String,
    /// Address and port at which it receives packets.
    pub address: SocketAddrV4,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub availability: Availability,
    /// Time until which it is cold.
    pub cold_until: Instant,
    /// Whether its announcements are overdue.
    pub silent: bool,
}

/// Answers and failures of a target that this entry has seen in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerCounts {
    /// Requests that were answered.
    pub answers: u32,
    /// Sum of their answer times, each as a multiple of the usual one of its route.
    pub ratio_sum: f64,
    /// Requests that the target refused, failed, or left without an answer.
    pub failures: u32,
}

/// A target with the state that this entry keeps about it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Last reported properties.
    pub spec: TargetSpec,
    /// Cookie of its flows.
    pub cookie: Cookie,
    /// Load from flows through this entry, in requests.
    pub load: f64,
    /// The same by priority of the flows' routes.
    pub load_by_priority: BTreeMap<u8, f64>,
    /// Load from flows through other entries, as far as it is known.
    pub others: Option<OthersLoad>,
    /// Integral of `load` over the interval of the next load report.
    pub load_integral: LoadIntegral,
    /// Answers and failures since the last load report.
    pub answered: AnswerCounts,
    /// What is learned about its capacity.
    pub learned: Box<Learned>,
    /// Health by its answers to openings.
    pub health: Health,
    /// Whether another target has the same cookie and keeps it, so that packets to this one would go there: an older
    /// one, or a later start of this one.
    pub has_ambiguous_cookie: bool,
    /// When this entry learned that the target has ended; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// Whether a later incarnation with its id or at its address shows that its process has ended.
    pub is_replaced: bool,
}

impl Target {
    /// Number of requests that the target handles well at once: the announced slots, less where it answers more
    /// slowly than the median target of its service, and more where it answers faster.
    #[must_use]
    pub fn effective_slots(&self, now: Instant) -> f64 {
        self.announced_slots() / self.learned.slowness(now)
    }

    /// Number of requests that the target can run at once, by its announcement; at least 1.
    #[must_use]
    pub fn announced_slots(&self) -> f64 {
        f64::from(self.spec.slots.max(1))
    }

    /// Requests in flight at the target through all entries, as far as this entry knows.
    #[must_use]
    pub fn total_load(&self, now: Instant) -> f64 {
        self.load + self.others.map_or(0.0, |others| others.in_flight(now))
    }
}

/// Targets of all services, by incarnation, cookie and service.
#[derive(Debug, Default)]
pub struct Directory {
    targets: SlotMap<TargetKey, Target>,
    by_incarnation: BTreeMap<(TargetId, u64), TargetKey>,
    by_cookie: BTreeMap<Cookie, Vec<TargetKey>>,
    by_service: BTreeMap<String, BTreeSet<TargetKey>>,
    /// Load of all targets through this entry, in requests.
    load: f64,
    /// Current time, to which loads are attributed.
    now: Option<Instant>,
}

impl Directory {
    /// Adds a target or updates its properties. Returns whether they changed.
    pub fn upsert(&mut self, spec: TargetSpec, now: Instant) -> bool {
        let incarnation = (spec.id, spec.born_ms);
        match self
            .by_incarnation
            .get(&incarnation)
            .copied()
            .and_then(|key| self.targets.get_mut(key))
        {
            Some(target) => {
                let has_changed = target.spec != spec;
                target.spec = spec;
                update_ended(target, now);
                has_changed
            }
            None => {
                self.insert(spec, now);
                true
            }
        }
    }

    fn insert(&mut self, spec: TargetSpec, now: Instant) {
        let incarnation = (spec.id, spec.born_ms);
        let cookie = Cookie::of(spec.id, spec.born_ms);
        let service = spec.service.clone();
        let target = Target {
            spec,
            cookie,
            load: 0.0,
            load_by_priority: BTreeMap::new(),
            others: None,
            load_integral: LoadIntegral::default(),
            answered: AnswerCounts::default(),
            learned: Box::default(),
            health: Health::default(),
            has_ambiguous_cookie: false,
            ended_at: None,
            is_replaced: false,
        };
        let key = self.targets.insert(target);
        self.by_incarnation.insert(incarnation, key);
        self.by_service.entry(service).or_default().insert(key);
        self.by_cookie.entry(cookie).or_default().push(key);
        if let Some(target) = self.targets.get_mut(key) {
            update_ended(target, now);
        }
        self.resolve_cookie_collision(cookie);
        self.mark_replaced(key, now);
    }

    /// Marks all targets with this cookie as ambiguous except for the oldest, which keeps it. Of its incarnations with this
    /// cookie, the latest keeps it: it receives the packets of them all.
    fn resolve_cookie_collision(&mut self, cookie: Cookie) {
        let Some(keys) = self.by_cookie.get_mut(&cookie) else { return };
        let start_of =
            |key: &TargetKey| self.targets.get(*key).map(|t| (t.spec.born_ms, t.spec.id));
        keys.sort_by_key(start_of);
        let owner = keys.first().and_then(start_of).map(|(_, id)| id);
        let latest = keys.iter().rfind(|key| start_of(key).map(|(_, id)| id) == owner).copied();
        for key in &*keys {
            if let Some(target) = self.targets.get_mut(*key) {
                target.has_ambiguous_cookie = Some(*key) != latest;
            }
        }
        if keys.len() > 1 {
            log::warn!("{} targets share the cookie {}", keys.len(), cookie.0);
        }
    }

    /// Marks incarnations as replaced: among those with one id or at one address, only the latest can
    /// still run.
    fn mark_replaced(&mut self, new: TargetKey, now: Instant) {
        let Some(spec) = self.targets.get(new).map(|target| target.spec.clone()) else { return };
        let incarnation = (spec.born_ms, spec.id);
        let mut is_replaced = false;
        for (key, target) in &mut self.targets {
            let has_same_id_or_address =
                target.spec.id == spec.id || target.spec.address == spec.address;
            if key == new || !has_same_id_or_address {
                continue;
            }
            if (target.spec.born_ms, target.spec.id) < incarnation {
                target.is_replaced = true;
                update_ended(target, now);
            } else {
                is_replaced = true;
            }
        }
        if let Some(target) = self.targets.get_mut(new).filter(|_| is_replaced) {
            target.is_replaced = true;
            update_ended(target, now);
        }
    }

    /// Removes targets that ended a while ago.
    pub fn remove_ended(&mut self, now: Instant) {
        let is_expired =
            |target: &Target| target.ended_at.is_some_and(|ended| now >= ended + ENDED_RETENTION);
        let expired: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| is_expired(target))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else { return };
        self.load = (self.load - target.load).max(0.0);
        self.by_incarnation.remove(&(target.spec.id, target.spec.born_ms));
        if let Some(keys) = self.by_service.get_mut(&target.spec.service) {
            keys.remove(&key);
        }
        if let Some(keys) = self.by_cookie.get_mut(&target.cookie) {
            keys.retain(|other| *other != key);
        }
        self.resolve_cookie_collision(target.cookie);
    }

    /// Returns a target by its key, or `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns a target by its key, to change its load and health.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// Iterates over all targets, to change their load and health.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.targets.values_mut()
    }

    /// Sets the time at which loads change until the next call.
    pub fn set_now(&mut self, now: Instant) {
        self.now = Some(now);
    }

    /// Adds to the load of a target from flows of a priority through this entry, in requests.
    pub fn add_load(&mut self, key: TargetKey, priority: u8, load: f64) {
        let Some(target) = self.targets.get_mut(key) else { return };
        if let Some(now) = self.now {
            target.load_integral.advance(target.load, now);
        }
        let before = target.load;
        target.load = (target.load + load).max(0.0);
        self.load = (self.load + target.load - before).max(0.0);
        let of_priority = target.load_by_priority.entry(priority).or_default();
        *of_priority = (*of_priority + load).max(0.0);
    }

    /// Load of all targets through this entry, in requests.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Returns the oldest target with a cookie.
    #[must_use]
    pub fn find(&self, cookie: Cookie) -> Option<TargetKey> {
        self.by_cookie.get(&cookie)?.first().copied()
    }

    /// Returns the latest incarnation of the target that a cookie belongs to, if the directory lacks the incarnation that
    /// it was derived from: that one may be earlier or later than the known ones. `None` if there is no such target, or
    /// several.
    #[must_use]
    pub fn find_other_start(&self, cookie: Cookie) -> Option<TargetKey> {
        let mut ids = self
            .by_cookie
            .range(cookie.all_starts())
            .flat_map(|(_, keys)| keys)
            .filter_map(|key| self.targets.get(*key))
            .map(|target| target.spec.id);
        let id = ids.next()?;
        if ids.all(|other| other == id) { self.latest_start(id) } else { None }
    }

    /// Returns the latest known incarnation of a target.
    #[must_use]
    pub fn latest_start(&self, id: TargetId) -> Option<TargetKey> {
        let mut starts = self.by_incarnation.range((id, 0)..=(id, u64::MAX));
        starts.next_back().map(|(_, key)| *key)
    }

    /// Iterates over the targets of a service, ended ones included.
    pub fn iter_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.targets.get(*key).map(|target| (*key, target)))
    }

    /// Iterates over all targets, ended ones included.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }
}

/// Updates `ended_at` to the target's availability. A replaced target counts as ended.
fn update_ended(target: &mut Target, now: Instant) {
    if target.is_replaced {
        target.spec.availability = Availability::Ended;
    }
    if target.spec.availability == Availability::Ended {
        target.ended_at.get_or_insert(now);
    } else {
        target.ended_at = None;
    }
}
