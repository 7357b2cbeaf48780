//! Admission of openings under overload: more requests than the targets can serve in time.
//!
//! Patterns: callers come in a burst, targets or a failure domain are lost, and all callers come back at once
//! after a loss of power. Without a limit, the targets' queues fill up, and every request misses its latency
//! objective because of requests that have missed it before. With one, the queues stay short: openings beyond
//! the limit wait in the entry, and those whose requests can still be in time go first.
//!
//! An entry knows neither the other entries nor the targets' queues. It measures the time from an opening to the
//! answer of its first request. While most answers come late, the limit on openings without an answer shrinks;
//! while they come in time, it grows. Without signs of overload there is no limit. Only openings are limited:
//! open flows are never held up.

use super::FlowKey;
use super::openings::{is_last, retransmission_timeout, send_time};
use comfreyhold_types::routes::{Route, RouteTable};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

slotmap::new_key_type! {
    /// Key of a service's limit.
    pub struct ServiceKey;
}

/// Lowest limit. It keeps the slots in use where an entry has few of them to itself.
const MIN_LIMIT: f64 = 4.0;

/// An answer is late if it takes more than this share of the latency objective. The rest is for the caller's way
/// to the entry and for the next requests of the flow.
const LATE_SHARE_OF_OBJECTIVE: f64 = 0.6;

/// Time after which an opening without an answer no longer counts: its target is dead or its caller has gone.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which answers are gathered before the limit is adjusted, a few times the service time of a request.
const WINDOW: Duration = Duration::from_millis(100);

/// Answers without which the limit is not adjusted before `MAX_WINDOW` is over. Among fewer, most are late by
/// chance when a sixth of the targets is slow.
const MIN_ANSWERS: u32 = 10;

/// Time after which the limit is adjusted by fewer answers, if all of them agree.
const MAX_WINDOW: Duration = Duration::from_millis(800);

/// Time for which most answers must have been late before there is a limit. After a loss of power the queues are
/// full for less, and empty themselves faster than an entry could find the right limit.
const ONSET: Duration = Duration::from_millis(500);

/// Factor on the limit while most answers are late.
const DECREASE: f64 = 0.5;

/// Factor on the limit while it is used and few answers are late.
const INCREASE: f64 = 1.5;

/// Time for which less than half of the limit is used before it is lifted.
const UNUSED_UNTIL_LIFTED: Duration = Duration::from_secs(3);

/// Share of the limit for openings whose requests are late in any case. They use what is left over.
const SHARE_OF_LATE: f64 = 0.5;

/// Share of the limit for routes whose priority is not the highest of their service.
const SHARE_OF_LOWER_PRIORITY: f64 = 0.87;

/// Interval at which a waiting opening is decided on again.
const HOLD_STEP: Duration = Duration::from_millis(20);

/// Openings that may wait are as many as are answered in this time, which is about what an attempt leaves them.
/// Further ones are refused at once: they would wait until their attempts end.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Openings that may wait however few are answered.
const MIN_WAITING: usize = 16;

/// Factor on the highest rate of answers with each window.
const RATE_DECAY: f64 = 0.98;

/// Time after which an opening that is no longer decided on does not count as waiting.
const WAITING_TIMEOUT: Duration = Duration::from_millis(200);

/// Part of an attempt that is reserved for the target's answer: several round trips between failure domains.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Answers of a route from which its usual answer is known.
const MIN_USUAL_ANSWERS: u32 = 16;

/// Weight of the newest answer in the usual one.
const USUAL_WEIGHT: f64 = 0.05;

/// An answer with less than this share of the usual time and of the usual size is the refusal of a full target.
const REFUSAL_SHARE: f64 = 0.4;

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

/// State of a service's limit, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Limit on openings without an answer; `None` without one.
    pub limit: Option<f64>,
    /// Openings without an answer.
    pub unanswered: usize,
    /// Age of the answers that the limit was adjusted by.
    pub age: Duration,
}

#[derive(Debug)]
struct Window {
    start: Instant,
    /// All answers, and those that count for the limit.
    answers: u32,
    in_time: u32,
    late: u32,
    /// Highest number of openings without an answer.
    peak: usize,
}

#[derive(Debug)]
struct ServiceLimit {
    limit: Option<f64>,
    last_number: u64,
    /// Last opening forwarded before the limit shrank. Answers to it and to earlier ones don't count: they waited
    /// in queues that the smaller limit has not emptied yet.
    last_before_decrease: u64,
    /// Openings without an answer, by number, with the time at which they were forwarded.
    unanswered: BTreeMap<u64, Instant>,
    /// Openings that wait for room, with the time at which each was decided on last.
    waiting: BTreeMap<FlowKey, Instant>,
    /// Answers a second: the highest of recent windows.
    answers_per_s: f64,
    window: Window,
    /// Since when most answers are late, without a limit.
    late_since: Option<Instant>,
    /// Since when less than half of the limit is used.
    unused_since: Option<Instant>,
}

/// Usual answer of a route while it is not overloaded.
#[derive(Clone, Copy, Debug, Default)]
struct UsualAnswer {
    answers: u32,
    seconds: f64,
    bytes: f64,
}

/// Limits of all services at one entry.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    services: SlotMap<ServiceKey, ServiceLimit>,
    by_name: BTreeMap<String, ServiceKey>,
    usual: BTreeMap<SocketAddrV4, UsualAnswer>,
}

impl AdmissionControl {
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
        let usual = self.usual.get(&route.address).map_or(0.0, |usual| usual.seconds);
        let key = self.service_key(service, now);
        let Some(state) = self.services.get_mut(key) else { return Admission::Now };
        state.adjust(now);
        let age = send_time(opening.copy) + opening.waited;
        let is_late = age + Duration::from_secs_f64(usual) > route.objective();
        let share = match (is_late, is_top_priority) {
            (true, _) => SHARE_OF_LATE,
            (false, true) => 1.0,
            (false, false) => SHARE_OF_LOWER_PRIORITY,
        };
        let decision = match state.limit.filter(|_| route.objective_ms > 0) {
            Some(limit) if state.unanswered.len() as f64 >= (limit * share).max(1.0) => {
                state.decide_beyond_limit(opening)
            }
            _ => Admission::Now,
        };
        if matches!(decision, Admission::After(_)) {
            state.waiting.insert(opening.flow, now);
        } else {
            state.waiting.remove(&opening.flow);
        }
        decision
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
        state.last_number += 1;
        state.unanswered.insert(state.last_number, now);
        state.window.peak = state.window.peak.max(state.unanswered.len());
        Some(Admitted { service, number: state.last_number })
    }

    /// Records the answer to the first request of a flow.
    pub fn record_answer(&mut self, admitted: Admitted, answer: FirstAnswer, now: Instant) {
        let Some(state) = self.services.get_mut(admitted.service) else { return };
        let Some(start) = state.unanswered.remove(&admitted.number) else { return };
        let took = now.saturating_duration_since(start);
        let is_late = took > answer.objective.mul_f64(LATE_SHARE_OF_OBJECTIVE);
        let may_add = self.usual.len() < MAX_ROUTES || self.usual.contains_key(&answer.address);
        let mut unknown = UsualAnswer::default();
        let usual =
            if may_add { self.usual.entry(answer.address).or_default() } else { &mut unknown };
        let is_refusal = usual.is_refusal(took, answer.bytes);
        let counts = admitted.number > state.last_before_decrease;
        state.window.answers += 1;
        if is_late || is_refusal {
            state.window.late += u32::from(counts);
        } else {
            state.window.in_time += u32::from(counts);
            usual.record(took, answer.bytes);
        }
        state.adjust(now);
    }

    /// Stops counting an opening whose flow has ended without an answer.
    pub fn record_ended(&mut self, admitted: Admitted) {
        if let Some(state) = self.services.get_mut(admitted.service) {
            state.unanswered.remove(&admitted.number);
        }
    }

    /// State of a service's limit; `None` for a service without openings.
    #[must_use]
    pub fn status(&self, service: &str, now: Instant) -> Option<LimitStatus> {
        let state = self.services.get(*self.by_name.get(service)?)?;
        Some(LimitStatus {
            limit: state.limit,
            unanswered: state.unanswered.len(),
            age: now.saturating_duration_since(state.window.start),
        })
    }

    fn service_key(&mut self, service: &str, now: Instant) -> ServiceKey {
        if let Some(key) = self.by_name.get(service) {
            return *key;
        }
        let key = self.services.insert(ServiceLimit {
            limit: None,
            last_number: 0,
            last_before_decrease: 0,
            unanswered: BTreeMap::new(),
            waiting: BTreeMap::new(),
            answers_per_s: 0.0,
            window: Window::starting_at(now, 0),
            late_since: None,
            unused_since: None,
        });
        self.by_name.insert(service.to_owned(), key);
        key
    }
}

impl Window {
    fn starting_at(start: Instant, unanswered: usize) -> Self {
        Self { start, answers: 0, in_time: 0, late: 0, peak: unanswered }
    }
}

impl ServiceLimit {
    /// Decides on an opening for which there is no room now.
    fn decide_beyond_limit(&self, opening: OpeningAge) -> Admission {
        let answered = self.answers_per_s * LONGEST_WAIT.as_secs_f64();
        let max_waiting = (answered as usize).max(MIN_WAITING);
        if self.waiting.len() >= max_waiting && !self.waiting.contains_key(&opening.flow) {
            return Admission::Refused;
        }
        let left = retransmission_timeout(opening.copy).saturating_sub(opening.waited);
        if !is_last(opening.copy) {
            let has_time = left > HOLD_STEP;
            return if has_time {
                Admission::After(HOLD_STEP)
            } else {
                Admission::AtRetransmission
            };
        }
        match left.saturating_sub(ANSWER_RESERVE) {
            Duration::ZERO => Admission::Refused,
            left => Admission::After(left.min(HOLD_STEP)),
        }
    }

    /// Adjusts the limit at the end of a window.
    fn adjust(&mut self, now: Instant) {
        while let Some(entry) = self.unanswered.first_entry()
            && now >= *entry.get() + ANSWER_TIMEOUT
        {
            entry.remove();
        }
        let Window { start, answers: all_answers, in_time, late, peak } = self.window;
        let length = now.saturating_duration_since(start);
        let answers = in_time + late;
        if length < WINDOW || (answers < MIN_ANSWERS && length < MAX_WINDOW) {
            return;
        }
        self.window = Window::starting_at(now, self.unanswered.len());
        let answers_per_s = f64::from(all_answers) / length.as_secs_f64();
        self.answers_per_s = answers_per_s.max(self.answers_per_s * RATE_DECAY);
        self.waiting.retain(|_, decided| now < *decided + WAITING_TIMEOUT);
        let peak = peak as f64;
        let are_few = answers < MIN_ANSWERS;
        if (late * 2 > answers && !are_few) || (late == answers && answers * 2 > MIN_ANSWERS) {
            let late_since = *self.late_since.get_or_insert(start);
            if self.limit.is_none() && now < late_since + ONSET {
                return;
            }
            let used = self.limit.unwrap_or(f64::MAX).min(peak.max(MIN_LIMIT));
            self.limit = Some((used * DECREASE).max(MIN_LIMIT));
            self.last_before_decrease = self.last_number;
            self.unused_since = None;
            return;
        }
        self.late_since = None;
        let Some(limit) = self.limit else { return };
        let is_in_time = if are_few { late == 0 && answers > 0 } else { late * 4 <= answers };
        if is_in_time && peak >= limit * 0.75 {
            self.limit = Some(limit * INCREASE);
        }
        if peak * 2.0 >= limit {
            self.unused_since = None;
        } else if now >= *self.unused_since.get_or_insert(now) + UNUSED_UNTIL_LIFTED {
            self.limit = None;
        }
    }
}

impl UsualAnswer {
    fn is_refusal(&self, took: Duration, bytes: u32) -> bool {
        self.answers >= MIN_USUAL_ANSWERS
            && took.as_secs_f64() < self.seconds * REFUSAL_SHARE
            && f64::from(bytes) < self.bytes * REFUSAL_SHARE
    }

    fn record(&mut self, took: Duration, bytes: u32) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(USUAL_WEIGHT);
        self.seconds += (took.as_secs_f64() - self.seconds) * weight;
        self.bytes += (f64::from(bytes) - self.bytes) * weight;
    }
}
