//! The entry's side of requests: requests slots from dispatchers, tracks each attempt, and decides
//! on retries and on the final result code.

use crate::attempt::{
    Attempt, Finished, Granted, NotRunCause, Queued, RefusalCode, UnknownCause, Written,
};
pub use crate::client_event::{Action, Event, NewRequest};
use crate::directory::DispatcherDirectory;
use crate::message::{AttemptId, GrantId, Message, Pool, RequestId, SlotOutcome};
use crate::open_request::{AttemptStage, PoolWaiters, Request, ResendTimer, unassigned_attempt};
use crate::releases::PendingReleases;
use crate::retry_budget::RetryBudget;
use crate::witness::WitnessRecords;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time before the first resend of an acquire; it doubles with each resend up to
/// [`MAX_RESEND_INTERVAL`]. About ten round trips between failure domains.
pub const INITIAL_RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// Longest time between two resends of an acquire.
pub const MAX_RESEND_INTERVAL: Duration = Duration::from_millis(480);

/// Time before the deadline from which no attempt is started. Targets are told the remaining time in whole milliseconds:
/// with less, one was told 0 ms and ran a request whose caller was answered at the same moment.
const MIN_REMAINING: Duration = Duration::from_millis(1);

/// Longest time between two messages to a dispatcher at which requests wait. It grants only to
/// entries whose last message is at most [`crate::dispatcher::ENTRY_TIMEOUT`] old.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(25);

/// State machine of the requests of one entry.
#[derive(Debug)]
pub struct Client {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) next_request: u64,
    pub(crate) directory: DispatcherDirectory,
    pub(crate) budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) timers: BTreeSet<(Instant, RequestId)>,
    pub(crate) releases: PendingReleases,
    /// Highest epochs of dispatchers that have requested reports. Grants of earlier ones must not
    /// be used.
    pub(crate) fences: BTreeMap<Pool, u64>,
    pub(crate) is_stopping: bool,
    pub(crate) witness_records: WitnessRecords,
    /// Requests that wait for a slot, by pool.
    pub(crate) waiting_by_pool: BTreeMap<Pool, PoolWaiters>,
    /// When load reports of a service were last requested.
    pub(crate) last_watch: BTreeMap<ServiceId, Instant>,
}

impl Client {
    /// Creates a client for an entry.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation, local_domain: DomainId) -> Self {
        Self {
            instance,
            incarnation,
            next_request: 1,
            directory: DispatcherDirectory::new(local_domain),
            budgets: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            releases: PendingReleases::default(),
            fences: BTreeMap::new(),
            is_stopping: false,
            witness_records: WitnessRecords::default(),
            waiting_by_pool: BTreeMap::new(),
            last_watch: BTreeMap::new(),
        }
    }

    /// Sets a service's retry budget.
    pub fn set_budget(&mut self, service: ServiceId, budget: RetryBudget) {
        self.budgets.insert(service, budget);
    }

    /// The known dispatchers.
    #[must_use]
    pub fn directory(&self) -> &DispatcherDirectory {
        &self.directory
    }

    /// Number of requests without a final result.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Latest time at which the next [`Event::Tick`] is due; `None` when nothing is pending.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let request = self.timers.first().map(|(at, _)| *at);
        let keepalive = self.waiting_by_pool.values().map(|waiters| waiters.keepalive_at);
        request.into_iter().chain(self.releases.next_wake()).chain(keepalive).min()
    }

    /// Starts a request and returns its identifier.
    pub fn begin(&mut self, now: Instant, params: NewRequest, out: &mut Vec<Action>) -> RequestId {
        let id = RequestId {
            entry: self.instance,
            incarnation: self.incarnation,
            number: self.next_request,
        };
        self.next_request += 1;
        if let Some(budget) = self.budgets.get_mut(&params.service) {
            budget.record_first_try();
        }
        self.request_load_reports(now, params.service, out);
        let mut request = Request {
            stage: AttemptStage::Queued(
                unassigned_attempt(id, params.service),
                ResendTimer::first(now),
            ),
            params,
            granted_attempts: 0,
            tried_pools: BTreeSet::new(),
            last_attempt_number: 0,
            requested_at: now,
        };
        if self.is_stopping {
            out.push(Action::Finish(id, ResultCode::Stopping));
        } else if let Err(code) = self.request_slot(now, id, &mut request, out) {
            out.push(Action::Finish(id, code));
        } else {
            self.store_request(id, request);
        }
        id
    }

    /// Returns whether the first byte of a granted attempt may be written. After `true` the request
    /// counts as possibly run; after `false` nothing must be written, since the attempt is over.
    #[must_use]
    pub fn try_begin_write(&mut self, now: Instant, attempt: AttemptId) -> bool {
        let Some(mut request) = self.take_request(attempt.request) else { return false };
        let domain = request.stage.pool().domain;
        let in_time = now < request.params.deadline && self.directory.is_domain_allowed(domain);
        let (stage, allowed) = match request.stage {
            AttemptStage::Granted(granted) if granted.id == attempt && in_time => {
                (AttemptStage::Written(granted.written(now)), true)
            }
            stage => (stage, false),
        };
        request.stage = stage;
        self.store_request(attempt.request, request);
        allowed
    }

    /// Handles an event and returns the actions to carry out.
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
                self.end_request(now, request, causes, &mut out);
            }
            Event::Dispatchers(current) => self.on_dispatchers(now, &current, &mut out),
            Event::Isolated(isolated) => self.on_isolated(now, isolated, &mut out),
            Event::DomainsWithdrawn(domains) => self.on_domains_withdrawn(now, domains, &mut out),
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
                self.directory.apply_load(now, from, pool, load);
                let used = self.on_grant(now, attempt, pool, (grant, target, incarnation), out);
                self.return_unused_grant(used, now, pool, grant, out);
            }
            Message::Refuse { attempt, pool, code, elsewhere, load } => {
                self.directory.apply_load(now, from, pool, load);
                self.on_refuse(now, attempt, code, elsewhere, out);
            }
            Message::Released { pool, grant, load } => {
                self.directory.apply_load(now, from, pool, load);
                self.releases.confirm(grant);
            }
            Message::Witness { pool, epoch, grants } => {
                self.on_witness(now, from, (pool, epoch), &grants, out);
            }
            Message::Forget { pool, grant } => self.witness_records.forget(pool, grant),
            Message::Load(report) => self.directory.apply_load_report(now, from, &report),
            Message::ReportGrants { pool, epoch } => {
                self.on_report_grants(now, from, pool, epoch, out);
            }
            _ => {}
        }
    }

    /// Handles a grant and returns whether it is in use. One that matches no waiting attempt is
    /// returned unused.
    fn on_grant(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        pool: Pool,
        (grant, target, incarnation): (GrantId, SocketAddr, Incarnation),
        out: &mut Vec<Action>,
    ) -> bool {
        let fenced = self.fences.get(&pool).is_some_and(|epoch| grant.epoch < *epoch);
        let allowed = !fenced && self.directory.is_domain_allowed(pool.domain);
        let Some(mut request) = self.take_request(attempt.request) else { return false };
        let mut used = false;
        let remaining = request.params.deadline.saturating_duration_since(now);
        let startable = allowed && remaining >= MIN_REMAINING;
        request.stage = match request.stage {
            AttemptStage::Queued(queued, _) if queued.id == attempt && startable => {
                used = true;
                request.granted_attempts += 1;
                out.push(Action::Start { attempt, target, incarnation, remaining });
                AttemptStage::Granted(queued.granted(grant, target))
            }
            stage => {
                used |= stage.grant() == Some(grant);
                stage
            }
        };
        self.store_request(attempt.request, request);
        if fenced {
            self.report_fence(pool, grant.issuer, out);
        }
        used
    }

    /// Returns an unused grant to the dispatcher, unless its release is pending already.
    fn return_unused_grant(
        &mut self,
        used: bool,
        now: Instant,
        pool: Pool,
        grant: GrantId,
        out: &mut Vec<Action>,
    ) {
        if !used && !self.releases.contains(grant) {
            self.send_release(now, pool, grant, SlotOutcome::Unused, now, out);
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
        let Some(mut request) = self.take_request(attempt.request) else { return };
        let queued = match &request.stage {
            AttemptStage::Queued(queued, _) if queued.id == attempt => *queued,
            _ => {
                self.store_request(attempt.request, request);
                return;
            }
        };
        let code = RefusalCode::new(code);
        let finished = queued.not_run(NotRunCause::Refused(code));
        request.record_refusal(now, queued.pool);
        if elsewhere && self.request_slot(now, attempt.request, &mut request, out).is_ok() {
            self.store_request(attempt.request, request);
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
        let Some(request) = self.take_request(attempt.request) else { return };
        match &request.stage {
            AttemptStage::Granted(granted) if granted.id == attempt => {
                let finished = end(*granted);
                self.end_or_retry(now, request, finished, out);
            }
            _ => self.store_request(attempt.request, request),
        }
    }

    fn end_written(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: impl FnOnce(Attempt<Written>) -> Attempt<Finished>,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.take_request(attempt.request) else { return };
        match &request.stage {
            AttemptStage::Written(written) if written.id == attempt => {
                let finished = end(*written);
                self.end_or_retry(now, request, finished, out);
            }
            _ => self.store_request(attempt.request, request),
        }
    }

    /// Releases the slot of a finished attempt, then requests another slot or finishes the request.
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
            self.send_release(now, finished.pool, grant, outcome, request.params.deadline, out);
        }
        if self.may_retry(now, &request, code) {
            request.tried_pools.clear();
            if self.request_slot(now, id, &mut request, out).is_ok() {
                self.store_request(id, request);
                return;
            }
        }
        out.push(Action::Finish(id, code));
    }

    fn may_retry(&mut self, now: Instant, request: &Request, code: ResultCode) -> bool {
        let not_run = matches!(code, ResultCode::TargetRefused | ResultCode::TargetUnreachable);
        let repeatable = not_run || (request.params.idempotent && code == ResultCode::AnswerLost);
        if !repeatable
            || request.granted_attempts >= request.params.max_attempts
            || self.is_stopping
        {
            return false;
        }
        let budget = self.budgets.get_mut(&request.params.service);
        now < request.params.deadline && budget.is_some_and(|budget| budget.try_withdraw(now))
    }

    /// Requests a slot from the best dispatcher not yet tried.
    pub(crate) fn request_slot(
        &mut self,
        now: Instant,
        id: RequestId,
        request: &mut Request,
        out: &mut Vec<Action>,
    ) -> Result<(), ResultCode> {
        if now >= request.params.deadline {
            return Err(ResultCode::DeadlineBeforeStart);
        }
        let pool = self.directory.choose_pool(now, request.params.service, &request.tried_pools);
        let pool = pool.ok_or(ResultCode::NoDispatcher)?;
        self.directory.count_request(pool);
        request.last_attempt_number += 1;
        request.requested_at = now;
        let attempt = AttemptId { request: id, number: request.last_attempt_number };
        request.stage = AttemptStage::Queued(Attempt::new(attempt, pool), ResendTimer::first(now));
        out.extend(self.acquire_action(now, request));
        Ok(())
    }

    pub(crate) fn acquire_action(&self, now: Instant, request: &Request) -> Option<Action> {
        let AttemptStage::Queued(queued, _) = &request.stage else { return None };
        let to = self.directory.dispatcher_of(queued.pool)?;
        let acquire = Message::Acquire {
            attempt: queued.id,
            pool: queued.pool,
            priority: request.params.priority,
            remaining: request.params.deadline.saturating_duration_since(now),
            may_redirect: request.tried_pools.is_empty(),
        };
        Some(Action::Send(to, acquire))
    }

    pub(crate) fn send_release(
        &mut self,
        now: Instant,
        pool: Pool,
        grant: GrantId,
        outcome: SlotOutcome,
        until: Instant,
        out: &mut Vec<Action>,
    ) {
        if let Some(to) = self.directory.dispatcher_of(pool) {
            out.push(Action::Send(to, Message::Release { pool, grant, outcome }));
        }
        self.releases.add(now, pool, grant, outcome, until);
    }

    /// Ends a request whose deadline passed, whose caller disconnected or whose domain was
    /// withdrawn.
    pub(crate) fn end_request(
        &mut self,
        now: Instant,
        id: RequestId,
        (not_run, unknown): (NotRunCause, UnknownCause),
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.take_request(id) else { return };
        let finished = match request.stage {
            AttemptStage::Queued(queued, _) => {
                self.send_cancel(queued, out);
                queued.not_run(not_run)
            }
            AttemptStage::Granted(granted) => {
                out.push(Action::Abort(granted.id));
                granted.not_run(not_run)
            }
            AttemptStage::Written(written) => {
                out.push(Action::Abort(written.id));
                written.unknown(unknown)
            }
        };
        if let Some((grant, outcome)) = finished.stage.release {
            self.send_release(now, finished.pool, grant, outcome, request.params.deadline, out);
        }
        out.push(Action::Finish(id, finished.stage.code));
    }

    /// Sends a cancellation once. If it is lost, the grant that arrives later is returned unused.
    pub(crate) fn send_cancel(&self, queued: Attempt<Queued>, out: &mut Vec<Action>) {
        if let Some(to) = self.directory.dispatcher_of(queued.pool) {
            let cancel = Message::Cancel { pool: queued.pool, attempt: queued.id };
            out.push(Action::Send(to, cancel));
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.on_timer(now, id, out);
        }
        self.send_keepalives(now, out);
        for (pool, release) in self.releases.due_messages(now) {
            if let Some(to) = self.directory.dispatcher_of(pool) {
                out.push(Action::Send(to, release));
            }
        }
    }

    fn on_timer(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let pool = request.stage.pool();
        if request.params.deadline <= now {
            let unresponsive =
                request.stage.grant().is_none() && !self.directory.is_responsive(now, pool);
            let not_run =
                if !unresponsive { NotRunCause::Deadline } else { NotRunCause::NoDispatcher };
            self.end_request(now, id, (not_run, UnknownCause::Deadline), out);
            return;
        }
        if !self.directory.is_responsive(now, pool)
            && self.other_dispatcher_responsive(now, request)
        {
            self.replace_attempt(now, id, out);
            return;
        }
        let Some(mut request) = self.take_request(id) else { return };
        if let AttemptStage::Queued(_, resend) = &mut request.stage {
            resend.interval = (resend.interval * 2).min(MAX_RESEND_INTERVAL);
            resend.at = now + resend.interval;
        }
        out.extend(self.acquire_action(now, &request));
        self.store_request(id, request);
    }

    fn other_dispatcher_responsive(&self, now: Instant, request: &Request) -> bool {
        let unresponsive = BTreeSet::from([request.stage.pool()]);
        let other = self.directory.choose_pool(now, request.params.service, &unresponsive);
        other.is_some_and(|pool| self.directory.is_responsive(now, pool))
    }

    pub(crate) fn take_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(&(request.wake_at(), id));
        self.remove_waiting(id, &request);
        Some(request)
    }

    pub(crate) fn store_request(&mut self, id: RequestId, request: Request) {
        self.timers.insert((request.wake_at(), id));
        self.add_waiting(id, &request);
        self.requests.insert(id, request);
    }
}
