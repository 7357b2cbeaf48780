//! The targets of all services, with what this entry has learned about each.

use super::Cookie;
use super::health::Health;
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

slotmap::new_key_type! {
    /// One start of a target in the directory.
    pub struct TargetKey;
}

/// Time for which an ended target is still known, so that its flows get a reset and not silence. Callers
/// give their requests up within a few seconds.
const KEEP_ENDED: Duration = Duration::from_secs(30);

/// What is told about a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Identity that it was given.
    pub id: TargetId,
    /// When it started, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub availability: Availability,
    /// How long it stays cold.
    pub cold_until: Instant,
    /// Whether it has not been heard for a while.
    pub silent: bool,
}

/// A target with its load through this entry.
#[derive(Clone, Debug)]
pub struct Target {
    /// What was told about it.
    pub spec: TargetSpec,
    /// Mark of its flows.
    pub cookie: Cookie,
    /// Work that it has through this entry, in requests.
    pub load: f64,
    /// What its answers to callers have shown.
    pub health: Health,
    /// Whether an older target has the same mark, so that flows to this one could be mistaken.
    pub ambiguous: bool,
    /// When it was known to have ended.
    pub ended: Option<Instant>,
    /// Whether a later start at its address or under its id shows that its process is gone.
    pub replaced: bool,
}

/// All targets.
#[derive(Default)]
pub struct Directory {
    targets: SlotMap<TargetKey, Target>,
    starts: BTreeMap<(TargetId, u64), TargetKey>,
    cookies: BTreeMap<Cookie, Vec<TargetKey>>,
    services: BTreeMap<String, BTreeSet<TargetKey>>,
}

impl Directory {
    /// Takes in what is told about a target. Returns whether routing depends on the difference.
    pub fn update(&mut self, spec: TargetSpec, now: Instant) -> bool {
        let start = (spec.id, spec.born_ms);
        match self.starts.get(&start).copied().and_then(|key| self.targets.get_mut(key)) {
            Some(target) => {
                let changed = target.spec != spec;
                target.spec = spec;
                mark_ended(target, now);
                changed
            }
            None => {
                self.insert(spec, now);
                true
            }
        }
    }

    fn insert(&mut self, spec: TargetSpec, now: Instant) {
        let start = (spec.id, spec.born_ms);
        let cookie = Cookie::of(spec.id, spec.born_ms);
        let service = spec.service.clone();
        let target = Target {
            spec,
            cookie,
            load: 0.0,
            health: Health::default(),
            ambiguous: false,
            ended: None,
            replaced: false,
        };
        let key = self.targets.insert(target);
        self.starts.insert(start, key);
        self.services.entry(service).or_default().insert(key);
        self.cookies.entry(cookie).or_default().push(key);
        if let Some(target) = self.targets.get_mut(key) {
            mark_ended(target, now);
        }
        self.resolve_cookie(cookie);
        self.end_replaced(key, now);
    }

    /// Of targets with one mark, the oldest keeps it.
    fn resolve_cookie(&mut self, cookie: Cookie) {
        let Some(keys) = self.cookies.get_mut(&cookie) else { return };
        keys.sort_by_key(|key| {
            self.targets.get(*key).map(|target| (target.spec.born_ms, target.spec.id))
        });
        for (position, key) in keys.iter().enumerate() {
            if let Some(target) = self.targets.get_mut(*key) {
                target.ambiguous = position > 0;
            }
        }
        if keys.len() > 1 {
            log::warn!("{} targets share the mark {}", keys.len(), cookie.0);
        }
    }

    /// Of the starts under one id and of those at one address, only the latest can still run.
    fn end_replaced(&mut self, new: TargetKey, now: Instant) {
        let Some(spec) = self.targets.get(new).map(|target| target.spec.clone()) else { return };
        let start = (spec.born_ms, spec.id);
        let mut is_replaced = false;
        for (key, target) in &mut self.targets {
            let rivals = target.spec.id == spec.id || target.spec.address == spec.address;
            if key == new || !rivals {
                continue;
            }
            if (target.spec.born_ms, target.spec.id) < start {
                target.replaced = true;
                mark_ended(target, now);
            } else {
                is_replaced = true;
            }
        }
        if let Some(target) = self.targets.get_mut(new).filter(|_| is_replaced) {
            target.replaced = true;
            mark_ended(target, now);
        }
    }

    /// Forgets targets that ended a while ago.
    pub fn forget_ended(&mut self, now: Instant) {
        let old = |target: &Target| target.ended.is_some_and(|ended| now >= ended + KEEP_ENDED);
        let gone: Vec<TargetKey> =
            self.targets.iter().filter(|(_, target)| old(target)).map(|(key, _)| key).collect();
        for key in gone {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else { return };
        self.starts.remove(&(target.spec.id, target.spec.born_ms));
        if let Some(keys) = self.services.get_mut(&target.spec.service) {
            keys.remove(&key);
        }
        if let Some(keys) = self.cookies.get_mut(&target.cookie) {
            keys.retain(|other| *other != key);
        }
        self.resolve_cookie(target.cookie);
    }

    /// A target by its key.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// A target by its key, to change its load and health.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// The target that a mark names.
    #[must_use]
    pub fn find(&self, cookie: Cookie) -> Option<TargetKey> {
        self.cookies.get(&cookie)?.first().copied()
    }

    /// All targets of a service, ended ones included.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter_map(|key| self.targets.get(*key).map(|target| (*key, target)))
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }
}

fn mark_ended(target: &mut Target, now: Instant) {
    if target.replaced {
        target.spec.availability = Availability::Ended;
    }
    if target.spec.availability == Availability::Ended {
        target.ended.get_or_insert(now);
    } else {
        target.ended = None;
    }
}
