//! The entry's side of requests: asks dispatchers for slots, follows each attempt, decides on retries
//! and on the final result code.

use crate::attempt::{
    Attempt, Finished, Granted, NotRunCause, Queued, RefusalCode, UnknownCause, Written,
};
pub use crate::client_event::{Action, Event, NewRequest};
use crate::directory::Directory;
use crate::message::{AttemptId, GrantId, Message, Pool, RequestId, SlotOutcome};
use crate::open_request::{Request, Resend, Stage, WaitingAt, unplaced};
use crate::releases::Releases;
use crate::retry_budget::RetryBudget;
use crate::witness::WitnessRecords;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// First time to wait before an acquire is sent again; doubles up to [`RESEND_MAX`]. About ten round
/// trips between failure domains.
pub const RESEND_FIRST: Duration = Duration::from_millis(30);

/// Longest time between resends.
pub const RESEND_MAX: Duration = Duration::from_millis(480);

/// While requests wait at a dispatcher, it hears from this entry at least this often, since it grants
/// only to entries that it has heard of within [`crate::dispatcher::ENTRY_QUIET`].
pub const KEEPALIVE: Duration = Duration::from_millis(25);

/// The decision core of one entry.
#[derive(Debug)]
pub struct Client {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) next_request: u64,
    pub(crate) directory: Directory,
    pub(crate) budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) wakes: BTreeSet<(Instant, RequestId)>,
    pub(crate) releases: Releases,
    /// Epochs of dispatchers that collected grants; grants of earlier ones must not be used.
    pub(crate) fences: BTreeMap<Pool, u64>,
    pub(crate) stopping: bool,
    pub(crate) witnessed: WitnessRecords,
    /// Requests that wait, by pool.
    pub(crate) waiting: BTreeMap<Pool, WaitingAt>,
    /// When the dispatchers of a service were last asked for load reports.
    pub(crate) watched: BTreeMap<ServiceId, Instant>,
}

impl Client {
    /// Creates a client for an entry.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation, own_domain: DomainId) -> Self {
        Self {
            instance,
            incarnation,
            next_request: 1,
            directory: Directory::new(own_domain),
            budgets: BTreeMap::new(),
            requests: BTreeMap::new(),
            wakes: BTreeSet::new(),
            releases: Releases::default(),
            fences: BTreeMap::new(),
            stopping: false,
            witnessed: WitnessRecords::default(),
            waiting: BTreeMap::new(),
            watched: BTreeMap::new(),
        }
    }

    /// Sets a service's retry budget.
    pub fn set_budget(&mut self, service: ServiceId, budget: RetryBudget) {
        self.budgets.insert(service, budget);
    }

    /// What is known about dispatchers.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Requests without a final result.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Latest time at which [`Event::Tick`] is due; `None` when nothing is open.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let request = self.wakes.first().map(|(at, _)| *at);
        let keepalive = self.waiting.values().map(|waiting| waiting.heard_until);
        request.into_iter().chain(self.releases.next_wake()).chain(keepalive).min()
    }

    /// Begins a request.
    pub fn begin(&mut self, now: Instant, new: NewRequest, out: &mut Vec<Action>) -> RequestId {
        let id = RequestId {
            entry: self.instance,
            incarnation: self.incarnation,
            number: self.next_request,
        };
        self.next_request += 1;
        if let Some(budget) = self.budgets.get_mut(&new.service) {
            budget.on_first_try();
        }
        self.watch(now, new.service, out);
        let mut request = Request {
            stage: Stage::Queued(unplaced(id, new.service), Resend::first(now)),
            new,
            tries: 0,
            tried: BTreeSet::new(),
            last_attempt: 0,
            asked: now,
        };
        if self.stopping {
            out.push(Action::Finish(id, ResultCode::Stopping));
        } else if let Err(code) = self.ask(now, id, &mut request, out) {
            out.push(Action::Finish(id, code));
        } else {
            self.store(id, request);
        }
        id
    }

    /// Asks whether the first byte of a granted attempt may be written. After `true` the request counts
    /// as possibly run; after `false` nothing must be written, since the attempt is over.
    #[must_use]
    pub fn try_begin_write(&mut self, now: Instant, attempt: AttemptId) -> bool {
        let Some(mut request) = self.take(attempt.request) else { return false };
        let domain = request.stage.pool().domain;
        let in_time = now < request.new.deadline && self.directory.domain_allowed(domain);
        let (stage, allowed) = match request.stage {
            Stage::Granted(granted) if granted.id == attempt && in_time => {
                (Stage::Written(granted.written(now)), true)
            }
            stage => (stage, false),
        };
        request.stage = stage;
        self.store(attempt.request, request);
        allowed
    }

    /// Takes in an event and returns what to do.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Message(from, message) => self.on_message(now, from, message, &mut out),
            Event::TargetUnreachable(attempt) => self.end_granted(
                now,
                attempt,
                |granted| granted.not_run(NotRunCause::Unreachable),
                &mut out,
            ),
            Event::KeyNotWon(attempt, code) => {
                self.end_granted(now, attempt, |granted| granted.key_not_won(code), &mut out);
            }
            Event::TargetRefused(attempt, proof) => {
                self.end_written(now, attempt, |written| written.refused(proof), &mut out);
            }
            Event::Answered(attempt) => {
                self.end_written(now, attempt, |written| written.answered(now), &mut out);
            }
            Event::ResponseLost(attempt) => {
                let lost = |written: Attempt<Written>| written.unknown(UnknownCause::AnswerLost);
                self.end_written(now, attempt, lost, &mut out);
            }
            Event::Cancelled(request) => {
                let causes = (NotRunCause::Cancelled, UnknownCause::Cancelled);
                self.stop(now, request, causes, &mut out);
            }
            Event::Dispatchers(current) => self.on_dispatchers(now, &current, &mut out),
            Event::Isolated(isolated) => self.on_isolated(now, isolated, &mut out),
            Event::DomainsWithdrawn(domains) => self.on_domains_out(now, domains, &mut out),
            Event::EndInFlight(domain) => self.on_end_in_flight(now, domain, &mut out),
            Event::Stopping => self.on_stopping(now, &mut out),
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        out
    }

    fn on_message(&mut self, now: Instant, from: InstanceId, msg: Message, out: &mut Vec<Action>) {
        match msg {
            Message::Grant { attempt, pool, grant, target, incarnation, load } => {
                self.directory.on_brief(now, from, pool, load);
                let used = self.on_grant(now, attempt, pool, (grant, target, incarnation), out);
                self.return_unless(used, now, pool, grant, out);
            }
            Message::Refuse { attempt, pool, code, elsewhere, load } => {
                self.directory.on_brief(now, from, pool, load);
                self.on_refuse(now, attempt, code, elsewhere, out);
            }
            Message::Released { pool, grant, load } => {
                self.directory.on_brief(now, from, pool, load);
                self.releases.confirm(grant);
            }
            Message::Witness { pool, epoch, grants } => {
                self.on_witness(now, from, (pool, epoch), &grants, out);
            }
            Message::Forget { pool, grant } => self.witnessed.forget(pool, grant),
            Message::Load(report) => self.directory.on_load(now, from, &report),
            Message::ReportGrants { pool, epoch } => {
                self.on_report_grants(now, from, pool, epoch, out);
            }
            _ => {}
        }
    }

    /// Returns whether the grant is in use. One that matches no waiting attempt is returned unused.
    fn on_grant(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        pool: Pool,
        (grant, target, incarnation): (GrantId, SocketAddr, Incarnation),
        out: &mut Vec<Action>,
    ) -> bool {
        let fenced = self.fences.get(&pool).is_some_and(|epoch| grant.epoch < *epoch);
        let allowed = !fenced && self.directory.domain_allowed(pool.domain);
        let Some(mut request) = self.take(attempt.request) else { return false };
        let mut used = false;
        request.stage = match request.stage {
            Stage::Queued(queued, _) if queued.id == attempt && allowed => {
                used = true;
                request.tries += 1;
                let remaining = request.new.deadline.saturating_duration_since(now);
                out.push(Action::Start { attempt, target, incarnation, remaining });
                Stage::Granted(queued.granted(grant, target))
            }
            stage => {
                used |= stage.grant() == Some(grant);
                stage
            }
        };
        self.store(attempt.request, request);
        if fenced {
            self.report_fence(pool, grant.issuer, out);
        }
        used
    }

    /// Returns an unused grant, unless its release is already under way.
    fn return_unless(
        &mut self,
        used: bool,
        now: Instant,
        pool: Pool,
        grant: GrantId,
        out: &mut Vec<Action>,
    ) {
        if !used && !self.releases.contains(grant) {
            self.release(now, pool, grant, SlotOutcome::Unused, now, out);
        }
    }

    fn on_refuse(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        code: ResultCode,
        elsewhere: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.take(attempt.request) else { return };
        let queued = match &request.stage {
            Stage::Queued(queued, _) if queued.id == attempt => *queued,
            _ => {
                self.store(attempt.request, request);
                return;
            }
        };
        let code = RefusalCode::new(code);
        let finished = queued.not_run(NotRunCause::Refused(code));
        request.note_refusal(now, queued.pool);
        if elsewhere && self.ask(now, attempt.request, &mut request, out).is_ok() {
            self.store(attempt.request, request);
            return;
        }
        out.push(Action::Finish(attempt.request, finished.stage.code));
    }

    fn end_granted(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: impl FnOnce(Attempt<Granted>) -> Attempt<Finished>,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.take(attempt.request) else { return };
        match &request.stage {
            Stage::Granted(granted) if granted.id == attempt => {
                let finished = end(*granted);
                self.end_or_retry(now, request, finished, out);
            }
            _ => self.store(attempt.request, request),
        }
    }

    fn end_written(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: impl FnOnce(Attempt<Written>) -> Attempt<Finished>,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.take(attempt.request) else { return };
        match &request.stage {
            Stage::Written(written) if written.id == attempt => {
                let finished = end(*written);
                self.end_or_retry(now, request, finished, out);
            }
            _ => self.store(attempt.request, request),
        }
    }

    /// Releases the slot of a finished attempt, then either asks for another slot or finishes the
    /// request.
    fn end_or_retry(
        &mut self,
        now: Instant,
        mut request: Request,
        finished: Attempt<Finished>,
        out: &mut Vec<Action>,
    ) {
        let id = finished.id.request;
        let Finished { code, release } = finished.stage;
        if let Some((grant, outcome)) = release {
            self.release(now, finished.pool, grant, outcome, request.new.deadline, out);
        }
        if self.may_retry(now, &request, code) {
            request.tried.clear();
            if self.ask(now, id, &mut request, out).is_ok() {
                self.store(id, request);
                return;
            }
        }
        out.push(Action::Finish(id, code));
    }

    fn may_retry(&mut self, now: Instant, request: &Request, code: ResultCode) -> bool {
        let not_run = matches!(code, ResultCode::TargetRefused | ResultCode::TargetUnreachable);
        let repeatable = not_run || (request.new.idempotent && code == ResultCode::AnswerLost);
        if !repeatable || request.tries >= request.new.max_attempts || self.stopping {
            return false;
        }
        let budget = self.budgets.get_mut(&request.new.service);
        now < request.new.deadline && budget.is_some_and(|budget| budget.take(now))
    }

    /// Asks the best dispatcher not yet tried for a slot.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        id: RequestId,
        request: &mut Request,
        out: &mut Vec<Action>,
    ) -> Result<(), ResultCode> {
        if now >= request.new.deadline {
            return Err(ResultCode::DeadlineBeforeStart);
        }
        let pool = self.directory.choose(now, request.new.service, &request.tried);
        let pool = pool.ok_or(ResultCode::NoDispatcher)?;
        self.directory.on_asked(pool);
        request.last_attempt += 1;
        request.asked = now;
        let attempt = AttemptId { request: id, number: request.last_attempt };
        request.stage = Stage::Queued(Attempt::new(attempt, pool), Resend::first(now));
        out.extend(self.acquire(now, request));
        Ok(())
    }

    pub(crate) fn acquire(&self, now: Instant, request: &Request) -> Option<Action> {
        let Stage::Queued(queued, _) = &request.stage else { return None };
        let to = self.directory.instance(queued.pool)?;
        let acquire = Message::Acquire {
            attempt: queued.id,
            pool: queued.pool,
            priority: request.new.priority,
            remaining: request.new.deadline.saturating_duration_since(now),
            may_redirect: request.tried.is_empty(),
        };
        Some(Action::Send(to, acquire))
    }

    pub(crate) fn release(
        &mut self,
        now: Instant,
        pool: Pool,
        grant: GrantId,
        outcome: SlotOutcome,
        until: Instant,
        out: &mut Vec<Action>,
    ) {
        if let Some(to) = self.directory.instance(pool) {
            out.push(Action::Send(to, Message::Release { pool, grant, outcome }));
        }
        self.releases.add(now, pool, grant, outcome, until);
    }

    /// Ends a request from this side: the deadline passed, the caller left or the domain is out.
    pub(crate) fn stop(
        &mut self,
        now: Instant,
        id: RequestId,
        (not_run, unknown): (NotRunCause, UnknownCause),
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.take(id) else { return };
        let finished = match request.stage {
            Stage::Queued(queued, _) => {
                self.send_cancel(queued, out);
                queued.not_run(not_run)
            }
            Stage::Granted(granted) => {
                out.push(Action::Abort(granted.id));
                granted.not_run(not_run)
            }
            Stage::Written(written) => {
                out.push(Action::Abort(written.id));
                written.unknown(unknown)
            }
        };
        if let Some((grant, outcome)) = finished.stage.release {
            self.release(now, finished.pool, grant, outcome, request.new.deadline, out);
        }
        out.push(Action::Finish(id, finished.stage.code));
    }

    /// A lost cancellation costs nothing: the grant that then arrives is returned unused.
    pub(crate) fn send_cancel(&self, queued: Attempt<Queued>, out: &mut Vec<Action>) {
        if let Some(to) = self.directory.instance(queued.pool) {
            let cancel = Message::Cancel { pool: queued.pool, attempt: queued.id };
            out.push(Action::Send(to, cancel));
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((at, id)) = self.wakes.first().copied() {
            if at > now {
                break;
            }
            self.wake(now, id, out);
        }
        self.send_keepalives(now, out);
        for (pool, release) in self.releases.resend(now) {
            if let Some(to) = self.directory.instance(pool) {
                out.push(Action::Send(to, release));
            }
        }
    }

    fn wake(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let pool = request.stage.pool();
        if request.new.deadline <= now {
            let silent = request.stage.grant().is_none() && !self.directory.is_heard(now, pool);
            let not_run = if !silent { NotRunCause::Deadline } else { NotRunCause::NoDispatcher };
            self.stop(now, id, (not_run, UnknownCause::Deadline), out);
            return;
        }
        if !self.directory.is_heard(now, pool) && self.other_heard(now, request) {
            self.ask_again(now, id, out);
            return;
        }
        let Some(mut request) = self.take(id) else { return };
        if let Stage::Queued(_, resend) = &mut request.stage {
            resend.interval = (resend.interval * 2).min(RESEND_MAX);
            resend.at = now + resend.interval;
        }
        out.extend(self.acquire(now, &request));
        self.store(id, request);
    }

    fn other_heard(&self, now: Instant, request: &Request) -> bool {
        let silent = BTreeSet::from([request.stage.pool()]);
        let other = self.directory.choose(now, request.new.service, &silent);
        other.is_some_and(|pool| self.directory.is_heard(now, pool))
    }

    pub(crate) fn take(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.wakes.remove(&(request.wake_at(), id));
        self.forget_waiting(id, &request);
        Some(request)
    }

    pub(crate) fn store(&mut self, id: RequestId, request: Request) {
        self.wakes.insert((request.wake_at(), id));
        self.note_waiting(id, &request);
        self.requests.insert(id, request);
    }
}
