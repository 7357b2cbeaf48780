//! Refusals of attempts, and what is logged of them.

use crate::dispatcher::{Action, Dispatcher, DispatcherPhase, MAX_LOAD_REPORT_AGE};
use crate::queue::WaitingAttempt;
use crate::reply_cache::AcquireReply;
use comfreyhold_types::prelude::*;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// Expected wait when no target can start any request; above every deadline.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(3_600);

/// Why attempts are refused with [`ResultCode::Shed`], for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ShedCause {
    /// The queue is full.
    QueueFull,
    /// An attempt of higher priority took its place in the queue.
    Displaced,
    /// No slot may be used: all are reserved for entries that have not reported their grants.
    NoUsableSlot,
    /// Another failure domain has free slots.
    FreeElsewhere,
}

impl Dispatcher {
    pub(crate) fn count_shed(&mut self, cause: Option<ShedCause>) {
        if let Some(cause) = cause {
            *self.sheds.entry(cause).or_default() += 1;
        }
    }

    /// Logs the attempts refused since the last call, with the state that they were refused by.
    pub(crate) fn log_sheds(&mut self) {
        if self.sheds.is_empty() {
            return;
        }
        let causes = std::mem::take(&mut self.sheds).into_iter().map(|(cause, count)| {
            let name: &'static str = cause.into();
            format!("{count} {name}")
        });
        let totals = self.targets.totals();
        log::info!(
            "{:?} epoch {}: refused as shed: {}; {} queued of {}, {} of {} slots usable, {} free, reserved for {:?}",
            self.cfg.pool,
            self.cfg.epoch,
            causes.collect::<Vec<_>>().join(", "),
            self.queue.len(),
            self.queue.limit(),
            totals.usable,
            totals.capacity,
            totals.free,
            self.reserved.as_ref().map(|(_, entries)| entries),
        );
    }

    /// The reason to refuse a new attempt, whether another domain may accept it, and the cause for the log.
    pub(crate) fn refusal_reason(
        &self,
        now: Instant,
        waiting: &WaitingAttempt,
        redirect: bool,
    ) -> Option<(ResultCode, bool, Option<ShedCause>)> {
        if matches!(self.phase, DispatcherPhase::Stopped) {
            return Some((ResultCode::NoDispatcher, true, None));
        }
        if self.domain_withdrawn || (self.is_active() && !self.targets.has_serving_target()) {
            return Some((ResultCode::NoTarget, true, None));
        }
        let may_wait = !redirect && !self.slow_entries.is_empty();
        if self.is_active() && self.targets.totals().usable == 0 && !may_wait {
            return Some((ResultCode::Shed, true, Some(ShedCause::NoUsableSlot)));
        }
        if waiting.deadline <= now {
            return Some((ResultCode::DeadlineBeforeStart, false, None));
        }
        if self.can_grant_now(now, waiting.entry) {
            return None;
        }
        if redirect && self.other_domain_has_free_slots(now) {
            return Some((ResultCode::Shed, true, Some(ShedCause::FreeElsewhere)));
        }
        let expected = self.expected_wait(waiting)?;
        let is_late = now + expected > waiting.deadline;
        is_late.then_some((ResultCode::DeadlineBeforeStart, true, None))
    }

    pub(crate) fn refuse(
        &mut self,
        waiting: &WaitingAttempt,
        code: ResultCode,
        elsewhere: bool,
        out: &mut Vec<Action>,
    ) {
        let reply = AcquireReply::Refused { code, elsewhere };
        self.replies.insert(waiting.attempt, reply, waiting.deadline);
        out.push(Action::Send(
            waiting.entry,
            reply.message(waiting.attempt, self.cfg.pool, self.pool_load()),
        ));
    }

    fn other_domain_has_free_slots(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < MAX_LOAD_REPORT_AGE;
        let mut others =
            self.free_elsewhere.iter().filter(|(domain, _)| **domain != self.cfg.pool.domain);
        others.any(|(_, (free, at))| *free > 0 && fresh(*at))
    }

    /// Expected time in the queue; `None` until a service time is known.
    fn expected_wait(&self, waiting: &WaitingAttempt) -> Option<Duration> {
        let mean = self.mean_service_time?;
        let rate = self.targets.totals().starts_per_s(mean);
        let ahead = self.queue.count_ahead_of(waiting.priority, waiting.deadline) + 1;
        let seconds = (ahead as f64 / rate).min(MAX_EXPECTED_WAIT.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }
}
