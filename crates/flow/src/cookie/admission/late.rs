//! The limit by late answers, for an entry that knows nothing of the others.
//!
//! The entry measures the time from an opening to the answer of its first request. While most answers come late,
//! the limit on openings without an answer shrinks; while they come in time, it grows. Without signs of overload
//! there is no limit.

use super::{Admission, OpeningAge};
use crate::cookie::FlowKey;
use crate::cookie::openings::{is_last, retransmission_timeout, send_time};
use comfreyhold_types::routes::Route;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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
pub(super) const HOLD_STEP: Duration = Duration::from_millis(20);

/// Openings that may wait are as many as are answered in this time, which is about what an attempt leaves them.
/// Further ones are refused at once: they would wait until their attempts end.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Openings that may wait however few are answered.
const MIN_WAITING: usize = 16;

/// Factor on the highest rate of answers with each window.
const RATE_DECAY: f64 = 0.98;

/// Time after which an opening that is no longer decided on does not count as waiting.
pub(super) const WAITING_TIMEOUT: Duration = Duration::from_millis(200);

/// Part of an attempt that is reserved for the target's answer: several round trips between failure domains.
pub(super) const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Answers of a route from which its usual answer is known.
const MIN_USUAL_ANSWERS: u32 = 16;

/// Weight of the newest answer in the usual one.
const USUAL_WEIGHT: f64 = 0.05;

/// Weight of the newest answer in the unloaded answer time. The queues of an overload that begins must not change it
/// before openings wait.
const UNLOADED_WEIGHT: f64 = 0.002;

/// An answer with less than this share of the usual time and of the usual size is the refusal of a full target.
const REFUSAL_SHARE: f64 = 0.4;

#[derive(Clone, Copy, Debug)]
struct Window {
    start: Instant,
    /// All answers, and those that count for the limit.
    answers: u32,
    in_time: u32,
    late: u32,
    /// Highest number of openings without an answer.
    peak: usize,
}

/// Limit of one service by late answers.
#[derive(Clone, Debug)]
pub(super) struct LateLimit {
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
pub(super) struct UsualAnswer {
    answers: u32,
    seconds: f64,
    bytes: f64,
    /// Mean over many answers while no opening waits.
    unloaded_seconds: f64,
}

impl Window {
    fn starting_at(start: Instant, unanswered: usize) -> Self {
        Self { start, answers: 0, in_time: 0, late: 0, peak: unanswered }
    }
}

/// How an answer came, for the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    InTime,
    Late,
    /// The refusal of a full target.
    Refusal,
}

impl LateLimit {
    /// Creates the state of a service without a limit.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            limit: None,
            last_number: 0,
            last_before_decrease: 0,
            unanswered: BTreeMap::new(),
            waiting: BTreeMap::new(),
            answers_per_s: 0.0,
            window: Window::starting_at(now, 0),
            late_since: None,
            unused_since: None,
        }
    }

    /// Current limit on openings without an answer; `None` without one.
    pub(super) fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Number of openings without an answer.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Age of the answers that the limit was adjusted by.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.window.start)
    }

    /// Takes over from the limit by shares, which held the openings without an answer at about this many.
    pub(super) fn resume(&mut self, limit: f64, now: Instant) {
        self.limit = Some(limit.max(MIN_LIMIT));
        self.last_before_decrease = self.last_number;
        self.late_since = None;
        self.unused_since = None;
        self.window = Window::starting_at(now, self.unanswered.len());
    }

    /// Decides on an opening. `usual` is the usual answer time of its route.
    pub(super) fn decide(
        &mut self,
        route: &Route,
        usual: Duration,
        is_top_priority: bool,
        opening: OpeningAge,
        now: Instant,
    ) -> Admission {
        self.adjust(now);
        let age = send_time(opening.copy) + opening.waited;
        let share = match (age + usual > route.objective(), is_top_priority) {
            (true, _) => SHARE_OF_LATE,
            (false, true) => 1.0,
            (false, false) => SHARE_OF_LOWER_PRIORITY,
        };
        let decision = match self.limit.filter(|_| route.objective_ms > 0) {
            Some(limit) if self.unanswered.len() as f64 >= (limit * share).max(1.0) => {
                self.decide_beyond_limit(opening)
            }
            _ => Admission::Now,
        };
        if matches!(decision, Admission::After(_)) {
            self.waiting.insert(opening.flow, now);
        } else {
            self.waiting.remove(&opening.flow);
        }
        decision
    }

    /// Counts an opening that is forwarded. Returns its number.
    pub(super) fn record_forwarded(&mut self, now: Instant) -> u64 {
        self.last_number += 1;
        self.unanswered.insert(self.last_number, now);
        self.window.peak = self.window.peak.max(self.unanswered.len());
        self.last_number
    }

    /// Stops counting an opening. Returns when it was forwarded if it still counted.
    pub(super) fn remove(&mut self, number: u64) -> Option<Instant> {
        self.unanswered.remove(&number)
    }

    /// Records the answer to an opening that has been removed.
    pub(super) fn record_answer(&mut self, number: u64, kind: AnswerKind, now: Instant) {
        let counts = u32::from(number > self.last_before_decrease);
        self.window.answers += 1;
        match kind {
            AnswerKind::InTime => self.window.in_time += counts,
            AnswerKind::Late | AnswerKind::Refusal => self.window.late += counts,
        }
        self.adjust(now);
    }

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
    /// Usual answer time; 0 while it is unknown.
    pub(super) fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Answer time while no limit by shares applied; 0 while it is unknown.
    pub(super) fn unloaded_time(&self) -> Duration {
        Duration::from_secs_f64(self.unloaded_seconds)
    }

    /// Tells how an answer came, and learns from it if it came in time. `is_loaded` says whether openings wait
    /// for the service, so that answers show its queues too.
    pub(super) fn record(
        &mut self,
        (took, objective): (Duration, Duration),
        bytes: u32,
        is_loaded: bool,
    ) -> AnswerKind {
        if self.is_refusal(took, bytes) {
            return AnswerKind::Refusal;
        }
        if took > objective.mul_f64(LATE_SHARE_OF_OBJECTIVE) {
            return AnswerKind::Late;
        }
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(USUAL_WEIGHT);
        self.seconds += (took.as_secs_f64() - self.seconds) * weight;
        self.bytes += (f64::from(bytes) - self.bytes) * weight;
        if !is_loaded {
            let weight = (1.0 / f64::from(self.answers)).max(UNLOADED_WEIGHT);
            self.unloaded_seconds += (took.as_secs_f64() - self.unloaded_seconds) * weight;
        }
        AnswerKind::InTime
    }

    fn is_refusal(&self, took: Duration, bytes: u32) -> bool {
        self.answers >= MIN_USUAL_ANSWERS
            && took.as_secs_f64() < self.seconds * REFUSAL_SHARE
            && f64::from(bytes) < self.bytes * REFUSAL_SHARE
    }
}
