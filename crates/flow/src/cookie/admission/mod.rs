//! Admission of openings under overload: more requests than the targets can serve in time.
//!
//! What comes in: openings (with their route, copy and wait), answers to first requests, and the demand and load of
//! all entries where that is known ([`ShareInput`]). Who decides: with fresh totals the entry's share of the service
//! ([`share`]) limits the requests in flight, and [`order`] with [`callers`] chooses who gets the next place; without
//! them the limit by late answers ([`late`]) decides. What goes out: [`Admission`], which is to forward the opening,
//! to decide on it again after a delay, to leave it to its next copy, or to refuse the attempt.
//!
//! Open flows are never held up, and a retransmission of a forwarded opening is not decided on here. Without signs
//! of overload and without totals there is no limit. Nothing here reads a clock, uses a socket or starts a thread.

pub mod callers;
pub mod late;
pub mod order;
mod reserve;
pub mod share;

use super::FlowKey;
use super::directory::Directory;
use super::openings::{retransmission_timeout, send_time};
use super::shared::ServiceShare;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::{RequestClass, Route, RouteTable};
use late::{ANSWER_RESERVE, AnswerKind, LateLimit, UsualAnswer};
use order::{Queue, Rank, Room};
use reserve::{InFlight, Reserve};
use share::Share;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

slotmap::new_key_type! {
    /// Key of a service's limit.
    pub struct ServiceKey;
}

/// Maximum number of routes whose usual answers are kept.
const MAX_ROUTES: usize = 4_096;

/// Proof that an opening counts against its service's limit, until the answer is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    service: ServiceKey,
    number: u64,
}

/// What to do with an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Forward it.
    Now,
    /// Decide on it again after this time.
    After(Duration),
    /// Drop it: the caller's next retransmission takes its place.
    AtRetransmission,
    /// Refuse it: the attempt ends before there is room.
    Refused,
}

/// An opening to decide on.
#[derive(Clone, Copy, Debug)]
pub struct OpeningAge {
    /// Flow that it opens.
    pub flow: FlowKey,
    /// Number of the retransmission.
    pub copy: u32,
    /// Time for which it has waited in this entry.
    pub waited: Duration,
}

/// The answer to a flow's first request.
#[derive(Clone, Copy, Debug)]
pub struct FirstAnswer {
    /// Service address of the flow.
    pub address: SocketAddrV4,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Bytes that the caller has received.
    pub bytes: u32,
}

/// What the share of a service follows from.
pub struct ShareInput<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Demand at all entries; `None` without fresh totals.
    pub totals: Option<&'a ServiceShare>,
    /// Targets, with their load through this entry.
    pub directory: &'a Directory,
    /// Failure domain of this entry.
    pub domain: &'a DomainName,
    /// Failure domains that take no new flows.
    pub withdrawn: &'a BTreeSet<DomainName>,
    /// Restored failure domains, with the time until which their targets may be cold.
    pub restored: &'a BTreeMap<DomainName, Instant>,
}

/// What limits the openings to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitKind {
    /// Late answers at this entry.
    LateAnswers,
    /// The entry's share of the service.
    Share,
}

/// State of a service's limit, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Which limit applies.
    pub kind: LimitKind,
    /// Limit on openings without an answer, or on requests in flight if the share applies; `None` without one.
    pub limit: Option<f64>,
    /// Part of the service that this entry may use, from 0 to 1; `None` without fresh totals.
    pub share: Option<f64>,
    /// Requests in flight through this entry; `None` without fresh totals.
    pub in_flight: Option<f64>,
    /// Requests that are kept free for the highest priority; `None` without fresh totals.
    pub reserve: Option<f64>,
    /// Age of the totals that the share follows from.
    pub totals_age: Option<Duration>,
    /// Openings without an answer.
    pub unanswered: usize,
    /// Openings that wait for room by their share.
    pub waiting: usize,
    /// Callers whose admissions are counted one by one.
    pub callers: usize,
    /// Age of the answers that the limit by late answers was adjusted by.
    pub age: Duration,
    /// Time until the opening that was decided on last is expected to have room by the share; `None` if it has room, or
    /// the time is unknown.
    pub expected_wait: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Service {
    late: LateLimit,
    share: Option<Share>,
    queue: Queue,
    /// Whether openings of a lower priority than the highest have come.
    has_lower_priority: bool,
    /// Highest priority whose openings have come, with the room that is kept for it.
    top_priority: Option<u8>,
    reserve: Reserve,
    /// First opening at this entry.
    first_seen: Instant,
    /// Requests in flight by priority at the last scan of the targets.
    by_priority: BTreeMap<u8, f64>,
    /// Those of the highest priority, and openings of it admitted since.
    top_in_flight: f64,
    top_scanned: Option<Instant>,
    /// Requests that were kept free for the highest priority at the last decision.
    last_reserve: f64,
    /// Limit by the share at the last decision, and when an opening was last held by it.
    last_limit: f64,
    last_held: Option<Instant>,
}

/// Limits of all services at one entry.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    services: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<String, ServiceKey>,
    usual: BTreeMap<SocketAddrV4, UsualAnswer>,
}

/// Share of the time until an opening is late that it may be expected to wait. An attempt that was refused before
/// looks like a new one, so the rest is for the time that its request has lost already. Requests that may be repeated
/// are tried three times, each within the objective of the first.
const WAIT_SHARE: f64 = 0.25;
const WAIT_SHARE_OF_REPEATABLE: f64 = 0.16;

/// Time after the last held opening for which the service counts as loaded.
const LOADED_PERIOD: Duration = Duration::from_secs(2);

impl AdmissionControl {
    /// Follows the newest totals and the load of the targets. To be called before [`Self::decide`]. It does nothing
    /// for a service without totals.
    pub fn update_share(&mut self, input: &ShareInput<'_>, route: &Route, now: Instant) {
        let Some(totals) = input.totals else {
            let state = self.by_name.get(input.service).and_then(|key| self.services.get_mut(*key));
            if let Some(state) = state.filter(|state| state.share.is_some()) {
                state.leave_share(now);
            }
            return;
        };
        let usual = self.usual.get(&route.address).map(UsualAnswer::time).unwrap_or_default();
        let key = self.service_key(input.service, now);
        let Some(state) = self.services.get_mut(key) else { return };
        let age = now.saturating_duration_since(state.first_seen);
        let share = state.share.get_or_insert_with(|| Share::new(input, totals, (age, usual), now));
        share.update(input, totals, (age, usual), now);
        state.sample_top(input, now);
    }

    /// Decides on an opening to a service. `is_top_priority` says whether no route to the service has a higher
    /// priority. Routes without a latency objective are not limited.
    pub fn decide(
        &mut self,
        service: &str,
        route: &Route,
        is_top_priority: bool,
        opening: OpeningAge,
        now: Instant,
    ) -> Admission {
        let usual = self.usual.get(&route.address).copied().unwrap_or_default();
        let key = self.service_key(service, now);
        let Some(state) = self.services.get_mut(key) else { return Admission::Now };
        state.record_priority(route.priority, is_top_priority, opening);
        if state.share.is_none() {
            return state.late.decide(route, usual.time(), is_top_priority, opening, now);
        }
        if route.objective_ms == 0 {
            Admission::Now
        } else {
            state.decide(route, is_top_priority, usual, opening, now)
        }
    }

    /// Forgets services and routes that the declarations no longer name.
    pub fn forget_removed(&mut self, table: &RouteTable) {
        let destinations = table.routes.values().flat_map(|route| &route.destinations);
        let names: BTreeSet<&str> = destinations.map(|d| d.service.as_str()).collect();
        self.by_name.retain(|name, _| names.contains(name.as_str()));
        let kept: BTreeSet<ServiceKey> = self.by_name.values().copied().collect();
        self.services.retain(|key, _| kept.contains(&key));
        self.usual.retain(|address, _| table.routes.contains_key(address));
    }

    /// Counts an opening that is forwarded.
    pub fn record_forwarded(&mut self, service: &str, now: Instant) -> Option<Admitted> {
        let service = self.service_key(service, now);
        let state = self.services.get_mut(service)?;
        if let Some(share) = &mut state.share {
            share.record_forwarded();
        }
        Some(Admitted { service, number: state.late.record_forwarded(now) })
    }

    /// Records the answer to the first request of a flow.
    pub fn record_answer(&mut self, admitted: Admitted, answer: FirstAnswer, now: Instant) {
        let Some(state) = self.services.get_mut(admitted.service) else { return };
        let Some(start) = state.late.remove(admitted.number) else { return };
        let took = now.saturating_duration_since(start);
        let may_add = self.usual.len() < MAX_ROUTES || self.usual.contains_key(&answer.address);
        let mut unknown = UsualAnswer::default();
        let usual =
            if may_add { self.usual.entry(answer.address).or_default() } else { &mut unknown };
        let kind = usual.record((took, answer.objective), answer.bytes, state.is_loaded(now));
        if let Some(share) = &mut state.share {
            share.record_answer(kind == AnswerKind::Refusal, state.last_limit, now);
        }
        state.late.record_answer(admitted.number, kind, now);
    }

    /// Stops counting an opening whose flow has ended without an answer.
    pub fn record_ended(&mut self, admitted: Admitted) {
        if let Some(state) = self.services.get_mut(admitted.service) {
            state.late.remove(admitted.number);
        }
    }

    /// State of a service's limit; `None` for a service without openings.
    #[must_use]
    pub fn status(&self, service: &str, now: Instant) -> Option<LimitStatus> {
        let state = self.services.get(*self.by_name.get(service)?)?;
        let share = state.share.as_ref();
        let (kind, limit) = match share {
            Some(_) => (LimitKind::Share, Some(state.last_limit)),
            None => (LimitKind::LateAnswers, state.late.limit()),
        };
        Some(LimitStatus {
            kind,
            limit,
            share: share.map(Share::part),
            in_flight: share.map(Share::in_flight),
            reserve: share.map(|_| state.last_reserve),
            totals_age: share.map(|share| now.saturating_duration_since(share.received())),
            unanswered: state.late.unanswered(),
            waiting: state.queue.len(),
            callers: state.queue.callers(),
            age: state.late.age(now),
            expected_wait: share.and_then(|_| state.queue.last_wait()),
        })
    }

    /// A copy of the state that decides on openings of a route to a service, to decide without changing anything. Other
    /// services are left out.
    #[must_use]
    pub fn snapshot(&self, service: &str, address: SocketAddrV4) -> Self {
        let mut copy = Self::default();
        let state = self.by_name.get(service).and_then(|key| self.services.get(*key));
        if let Some(state) = state {
            let key = copy.services.insert(state.clone());
            copy.by_name.insert(service.to_owned(), key);
        }
        copy.usual.extend(self.usual.get(&address).map(|usual| (address, *usual)));
        copy
    }

    /// Requests in flight through this entry by priority, when its share was last used; empty without a share.
    #[must_use]
    pub fn in_flight_by_priority(&self, service: &str) -> BTreeMap<u8, f64> {
        let state = self.by_name.get(service).and_then(|key| self.services.get(*key));
        let state = state.filter(|state| state.share.is_some());
        state.map(|state| state.by_priority.clone()).unwrap_or_default()
    }

    /// Requests that are kept free for the highest priorities of all services.
    #[must_use]
    pub fn reserve(&self) -> f64 {
        let shared = self.services.values().filter(|state| state.share.is_some());
        shared.map(|state| state.last_reserve).sum()
    }

    fn service_key(&mut self, service: &str, now: Instant) -> ServiceKey {
        if let Some(key) = self.by_name.get(service) {
            return *key;
        }
        let key = self.services.insert(Service {
            late: LateLimit::new(now),
            share: None,
            queue: Queue::default(),
            has_lower_priority: false,
            top_priority: None,
            reserve: Reserve::new(now),
            first_seen: now,
            by_priority: BTreeMap::new(),
            top_in_flight: 0.0,
            top_scanned: None,
            last_reserve: 0.0,
            last_limit: 0.0,
            last_held: None,
        });
        self.by_name.insert(service.to_owned(), key);
        key
    }
}

impl Service {
    /// Decides on an opening by the share.
    fn decide(
        &mut self,
        route: &Route,
        is_top_priority: bool,
        usual: UsualAnswer,
        opening: OpeningAge,
        now: Instant,
    ) -> Admission {
        let Some(share) = &self.share else { return Admission::Now };
        let limit = share.limit(route.objective(), usual.unloaded_time());
        let in_flight = InFlight { limit, all: share.in_flight(), top: self.top_in_flight };
        let is_above_others = is_top_priority && self.has_lower_priority;
        self.last_limit = limit;
        self.last_reserve = 0.0;
        if self.has_lower_priority {
            self.last_reserve = self.reserve.kept(in_flight, usual.time());
        }
        let free = match (is_top_priority, self.has_lower_priority) {
            (true, true) => in_flight.free_for_top(),
            (true, false) => limit - in_flight.all,
            (false, _) => in_flight.free_for_others(self.last_reserve),
        };
        let needed = send_time(opening.copy) + opening.waited + usual.time();
        let in_time_left = route.objective().checked_sub(needed);
        let attempt_left = retransmission_timeout(opening.copy)
            .saturating_sub(opening.waited)
            .saturating_sub(ANSWER_RESERVE);
        let is_repeatable = route.class != RequestClass::NonIdempotent;
        let wait_share = match (is_above_others, is_repeatable) {
            (true, _) => 1.0,
            (false, true) => WAIT_SHARE_OF_REPEATABLE,
            (false, false) => WAIT_SHARE,
        };
        let room = Room {
            free,
            per_s: share.admissions_per_s(limit, usual.time()),
            patience: in_time_left.map_or(attempt_left, |left| left.mul_f64(wait_share)),
        };
        let rank =
            Rank { priority: route.priority, is_repeatable, is_late: in_time_left.is_none() };
        let decision = self.queue.decide(opening, rank, room, now);
        if decision != Admission::Now {
            self.last_held = Some(now);
        } else if is_top_priority {
            self.top_in_flight += 1.0;
            self.reserve.record_admitted();
        }
        decision
    }

    /// Notes the priority of an opening to decide on, and counts it if it is of the highest one.
    fn record_priority(&mut self, priority: u8, is_top: bool, opening: OpeningAge) {
        self.has_lower_priority |= !is_top;
        if is_top {
            self.top_priority = Some(self.top_priority.map_or(priority, |top| top.max(priority)));
            if opening.copy == 0 && opening.waited.is_zero() {
                self.reserve.record_opening();
            }
        } else if self.top_priority.is_some_and(|top| priority <= top) {
            // The declarations have changed.
            self.top_priority = None;
        }
    }

    /// Follows the requests in flight of the highest priority.
    fn sample_top(&mut self, input: &ShareInput<'_>, now: Instant) {
        let scanned = self.share.as_ref().map(Share::scanned);
        if scanned == self.top_scanned {
            return;
        }
        self.top_scanned = scanned;
        self.by_priority.clear();
        for (_, target) in input.directory.iter_service(input.service) {
            for (priority, load) in &target.load_by_priority {
                *self.by_priority.entry(*priority).or_default() += load;
            }
        }
        let top = self.top_priority.map(|top| self.by_priority.range(..=top));
        self.top_in_flight = top.map_or(0.0, |loads| loads.map(|(_, load)| load).sum());
        self.reserve.record_in_flight(self.top_in_flight, now);
    }

    /// Returns to the limit by late answers. If openings were held, it starts with what the share allowed.
    fn leave_share(&mut self, now: Instant) {
        self.share = None;
        self.queue = Queue::default();
        if self.is_loaded(now) {
            self.late.resume(self.last_limit, now);
        }
    }

    fn is_loaded(&self, now: Instant) -> bool {
        self.last_held.is_some_and(|held| now < held + LOADED_PERIOD)
    }
}
