//! Dispatcher: allocates all slots of the targets of one service in one failure domain. Since no
//! other instance grants these slots, slot limits hold across all entries.

pub use crate::dispatcher_event::{Action, DispatcherConfig, Event};
use crate::dispatcher_refusals::ShedCause;
use crate::grants::{ActiveGrant, ActiveGrants};
use crate::message::{
    AttemptId, GrantId, HeldGrant, LoadReport, Message, Pool, PoolLoad, SlotOutcome,
};
use crate::queue::{AttemptQueue, OfferOutcome, WaitingAttempt};
use crate::ramp::RampFeedback;
use crate::reply_cache::{AcquireReply, ReplyCache};
use crate::takeover::Takeover;
use crate::target_slots::{TargetKey, TargetSlots};
use crate::watchers::Watchers;
use crate::witness::LocalGrants;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between load reports.
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Load reports of other dispatchers are ignored beyond this age.
pub const MAX_LOAD_REPORT_AGE: Duration = Duration::from_millis(600);

/// Time for which a grant counts beyond its deadline, while the entry closes the connection and the
/// target notices.
pub const GRANT_MARGIN: Duration = Duration::from_millis(250);

/// Requests of an entry get no grants when no message of it arrived for this long: a grant to a
/// dead entry would block its slot until the deadline. Tolerates the loss of three keepalives of a
/// client.
pub const ENTRY_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum number of cold targets that a load report names.
pub const MAX_COLD_REPORTED: usize = 32;

/// Weight of the newest service time in the exponential moving average.
const MEAN_WEIGHT: f64 = 0.05;

#[derive(Debug)]
pub(crate) enum DispatcherPhase {
    Active,
    CollectingReports(Takeover),
    Stopped,
}

/// State machine of a dispatcher. [`Dispatcher::handle`] returns the replies to every message.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) cfg: DispatcherConfig,
    pub(crate) phase: DispatcherPhase,
    pub(crate) domain_withdrawn: bool,
    pub(crate) targets: TargetSlots,
    pub(crate) known_targets: Vec<TargetRecord>,
    pub(crate) queue: AttemptQueue,
    pub(crate) grants: ActiveGrants,
    pub(crate) replies: ReplyCache,
    pub(crate) local_grants: LocalGrants,
    /// Slots reserved for failed entries: end of the reservation, and the entries whose grants are
    /// unknown.
    pub(crate) reserved: Option<(Instant, BTreeSet<InstanceId>)>,
    /// Live entries among those that slots are reserved for, by the view at the takeover or by a message since.
    /// They are slow to report, so the reservation ends soon.
    pub(crate) slow_entries: BTreeSet<InstanceId>,
    /// Live entries that have reported their grants.
    pub(crate) reported_entries: BTreeSet<InstanceId>,
    /// Records of witnesses by dispatcher, with their time of receipt, kept while the dispatcher's
    /// own entry may still report.
    pub(crate) witness_records: BTreeMap<InstanceId, (Instant, Vec<HeldGrant>)>,
    pub(crate) mean_service_time: Option<Duration>,
    pub(crate) free_elsewhere: BTreeMap<DomainId, (u32, Instant)>,
    pub(crate) last_seen: BTreeMap<InstanceId, Instant>,
    pub(crate) next_grant_number: u64,
    pub(crate) next_load_report: Instant,
    pub(crate) watchers: Watchers,
    /// Attempts refused with [`ResultCode::Shed`] since the last log line about them.
    pub(crate) sheds: BTreeMap<ShedCause, u32>,
}

impl Dispatcher {
    /// Creates a dispatcher without targets. Targets start cold unless [`Event::Takeover`] says
    /// otherwise.
    #[must_use]
    pub fn new(cfg: DispatcherConfig, now: Instant) -> Self {
        let queue_limit = usize::try_from(cfg.profile.queue_limit).unwrap_or(usize::MAX);
        Self {
            targets: TargetSlots::new(cfg.profile.cold.clone()),
            known_targets: Vec::new(),
            queue: AttemptQueue::new(queue_limit),
            phase: DispatcherPhase::Active,
            domain_withdrawn: false,
            grants: ActiveGrants::default(),
            replies: ReplyCache::default(),
            local_grants: LocalGrants::new(cfg.pool, cfg.epoch, now),
            reserved: None,
            slow_entries: BTreeSet::new(),
            reported_entries: BTreeSet::new(),
            witness_records: BTreeMap::new(),
            mean_service_time: None,
            free_elsewhere: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            next_grant_number: 1,
            next_load_report: now,
            watchers: Watchers::default(),
            sheds: BTreeMap::new(),
            cfg,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Message(from, message) => self.on_message(now, from, message, &mut out),
            Event::Targets(records) => self.on_targets(now, records, &mut out),
            Event::Profile(profile) => self.on_profile(now, *profile),
            Event::Domain(state) => self.on_domain(now, state, &mut out),
            Event::Takeover { lease_ends, live, failed, cold } => {
                self.on_takeover(now, Takeover::new(lease_ends, live, failed, now), &cold);
            }
            Event::Witness(witness) => self.local_grants.set_witness(now, witness),
            Event::EntryFailed(entry) => self.on_entry_failed(now, entry, &mut out),
            Event::Stop => self.on_stop(&mut out),
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// Latest time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_load_report;
        if let DispatcherPhase::CollectingReports(takeover) = &self.phase {
            wake = wake.min(takeover.next_wake());
        }
        let expiry = self.grants.next_expiry();
        let rate_limit_end = self.targets.next_wake().filter(|_| !self.queue.is_empty());
        let witness = self.local_grants.next_wake();
        let others = [expiry, rate_limit_end, witness, self.queue.next_deadline()];
        for at in others.into_iter().flatten() {
            wake = wake.min(at);
        }
        wake
    }

    /// Whether the dispatcher grants slots.
    #[must_use]
    pub fn is_active(&self) -> bool {
        matches!(self.phase, DispatcherPhase::Active) && !self.domain_withdrawn
    }

    /// Whether the dispatcher has stopped, by [`Event::Stop`] or because a later one has requested
    /// grant reports.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        matches!(self.phase, DispatcherPhase::Stopped)
    }

    /// Number of slots of a target that are or may be in use.
    #[must_use]
    pub fn occupied_slots(&self, target: SocketAddr) -> u32 {
        self.targets.occupied_slots(target)
    }

    /// Ramp step of a target, from 1; `None` when warm or unknown.
    #[must_use]
    pub fn ramp_step(&self, target: SocketAddr) -> Option<u16> {
        self.targets.ramp_step(target)
    }

    /// Number of attempts in the queue.
    #[must_use]
    pub fn queued_attempts(&self) -> usize {
        self.queue.len()
    }

    fn on_message(&mut self, now: Instant, from: InstanceId, msg: Message, out: &mut Vec<Action>) {
        self.last_seen.insert(from, now);
        // An entry that was declared failed and sends messages is alive after all, and will report.
        if self.reserved.as_ref().is_some_and(|(_, missing)| missing.contains(&from)) {
            self.slow_entries.insert(from);
        }
        match msg {
            Message::Acquire { attempt, pool, priority, remaining, may_redirect }
                if pool == self.cfg.pool =>
            {
                let deadline = now + remaining;
                let waiting = WaitingAttempt { attempt, entry: from, priority, deadline };
                self.on_acquire(now, waiting, may_redirect, out);
            }
            Message::Release { pool, grant, outcome } if pool == self.cfg.pool => {
                self.on_release(now, grant, outcome, out);
                let (pool, load) = (self.cfg.pool, self.pool_load());
                out.push(Action::Send(from, Message::Released { pool, grant, load }));
            }
            Message::Cancel { pool, attempt } if pool == self.cfg.pool => {
                self.on_cancel(now, from, attempt, out);
            }
            Message::HeldGrants { pool, epoch, .. }
                if pool == self.cfg.pool && epoch > self.cfg.epoch =>
            {
                self.on_stop(out);
            }
            Message::HeldGrants { pool, epoch, grants, witnessed }
                if self.is_current_role(pool, epoch) =>
            {
                self.on_held_grants(now, from, &grants, witnessed);
            }
            Message::Witnessed { pool, epoch, grants } if self.is_current_role(pool, epoch) => {
                self.on_witnessed(from, &grants, out);
            }
            Message::Watch { pool } if pool == self.cfg.pool => self.on_watch(now, from, out),
            Message::Load(report) if report.pool.service == self.cfg.pool.service => {
                self.free_elsewhere.insert(report.pool.domain, (report.load.free, now));
            }
            _ => {}
        }
    }

    /// Sends a new watcher its first report at once.
    fn on_watch(&mut self, now: Instant, from: InstanceId, out: &mut Vec<Action>) {
        if self.watchers.add(now, from) {
            out.push(Action::Send(from, Message::Load(self.load_report())));
        }
    }

    fn on_acquire(
        &mut self,
        now: Instant,
        waiting: WaitingAttempt,
        may_redirect: bool,
        out: &mut Vec<Action>,
    ) {
        if self.queue.contains(waiting.attempt) {
            return;
        }
        if let Some(reply) = self.replies.get(waiting.attempt) {
            if reply.grant().is_some_and(|grant| self.local_grants.is_withheld(grant)) {
                return;
            }
            out.push(Action::Send(
                waiting.entry,
                reply.message(waiting.attempt, self.cfg.pool, self.pool_load()),
            ));
            return;
        }
        if let Some((code, elsewhere, cause)) = self.refusal_reason(now, &waiting, may_redirect) {
            self.count_shed(cause);
            self.refuse(&waiting, code, elsewhere, out);
            return;
        }
        match self.queue.offer(waiting) {
            OfferOutcome::Full if self.can_grant_now(now, waiting.entry) => {
                self.grant(now, &waiting, out)
            }
            offer => self.apply_offer_outcome(waiting, offer, out),
        }
    }

    pub(crate) fn apply_offer_outcome(
        &mut self,
        waiting: WaitingAttempt,
        offer: OfferOutcome,
        out: &mut Vec<Action>,
    ) {
        match offer {
            OfferOutcome::Queued => {}
            OfferOutcome::Displaced(last) => {
                self.count_shed(Some(ShedCause::Displaced));
                self.refuse(&last, ResultCode::Shed, true, out);
            }
            OfferOutcome::Full => {
                self.count_shed(Some(ShedCause::QueueFull));
                self.refuse(&waiting, ResultCode::Shed, true, out);
            }
        }
    }

    /// Whether a new attempt of the entry would get a slot now. Queued attempts that wait for their
    /// entry or for the witness don't block it.
    pub(crate) fn can_grant_now(&self, now: Instant, entry: InstanceId) -> bool {
        let rate_limit_ended = self.targets.next_wake().is_some_and(|at| at <= now);
        let ready = self.targets.has_ready_target() || rate_limit_ended;
        let grantable = |entry| self.is_grantable(now, entry);
        self.is_active() && ready && grantable(entry) && self.queue.first_where(grantable).is_none()
    }

    /// Whether attempts of the entry may get slots.
    fn is_grantable(&self, now: Instant, entry: InstanceId) -> bool {
        let withheld = entry == self.cfg.instance && self.local_grants.has_overdue_confirmations();
        let last_seen = self.last_seen.get(&entry);
        let timed_out =
            last_seen.is_none_or(|at| now.saturating_duration_since(*at) > ENTRY_TIMEOUT);
        !withheld && !timed_out
    }

    fn on_cancel(
        &mut self,
        now: Instant,
        from: InstanceId,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let queued = self.queue.remove(attempt);
        if let Some(AcquireReply::Granted { grant, .. }) = self.replies.get(attempt) {
            self.release_grant(grant);
        }
        let default_deadline = now + self.cfg.profile.deadline();
        let deadline = queued.map_or(default_deadline, |waiting| waiting.deadline);
        let priority = self.cfg.profile.priority;
        let waiting = WaitingAttempt { attempt, entry: from, priority, deadline };
        self.refuse(&waiting, ResultCode::CancelledBeforeStart, false, out);
    }

    fn on_release(
        &mut self,
        now: Instant,
        id: GrantId,
        outcome: SlotOutcome,
        out: &mut Vec<Action>,
    ) {
        if let DispatcherPhase::CollectingReports(takeover) = &mut self.phase {
            takeover.released.insert(id);
        }
        let Some(ActiveGrant { target: key, granted_at, .. }) = self.grants.get(id) else { return };
        match outcome {
            SlotOutcome::Answered { took } => {
                self.record_service_time(took);
                self.apply_feedback(now, key, granted_at, RampFeedback::Answered(took), out);
            }
            SlotOutcome::Refused => {
                self.apply_feedback(now, key, granted_at, RampFeedback::Refused, out)
            }
            SlotOutcome::Failed | SlotOutcome::Unknown => {
                self.apply_feedback(now, key, granted_at, RampFeedback::Failed, out);
            }
            SlotOutcome::Cancelled | SlotOutcome::Unused => {}
        }
        match outcome {
            SlotOutcome::Unknown => {}
            SlotOutcome::Cancelled => self.grants.shorten_expiry(id, now + GRANT_MARGIN),
            _ => self.release_grant(id),
        }
    }

    fn apply_feedback(
        &mut self,
        now: Instant,
        key: TargetKey,
        granted_at: Instant,
        feedback: RampFeedback,
        out: &mut Vec<Action>,
    ) {
        if !self.targets.apply_feedback(now, key, granted_at, feedback) {
            return;
        }
        if let Some((address, _)) = self.targets.get(key) {
            out.push(Action::TargetCold(address));
        }
    }

    fn record_service_time(&mut self, took: Duration) {
        let mean = self.mean_service_time.unwrap_or(took);
        self.mean_service_time = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
    }

    fn on_targets(&mut self, now: Instant, records: Vec<TargetRecord>, out: &mut Vec<Action>) {
        self.targets.replace(now, &records, self.cfg.profile.max_slots, |_| false);
        self.known_targets = records;
        if !self.targets.has_serving_target() && self.is_active() {
            self.refuse_all(ResultCode::NoTarget, out);
        }
    }

    fn on_profile(&mut self, now: Instant, profile: Profile) {
        self.queue.set_limit(usize::try_from(profile.queue_limit).unwrap_or(usize::MAX));
        self.targets.set_rule(profile.cold.clone());
        self.targets.replace(now, &self.known_targets, profile.max_slots, |_| false);
        self.cfg.profile = profile;
    }

    fn on_domain(&mut self, now: Instant, state: DomainState, out: &mut Vec<Action>) {
        let was_withdrawn = self.domain_withdrawn;
        self.domain_withdrawn = state == DomainState::Out;
        if self.domain_withdrawn {
            self.refuse_all(ResultCode::NoTarget, out);
        } else if was_withdrawn {
            self.targets.restart_ramps(now);
        }
    }

    fn on_stop(&mut self, out: &mut Vec<Action>) {
        self.phase = DispatcherPhase::Stopped;
        self.refuse_all(ResultCode::NoDispatcher, out);
    }

    fn on_entry_failed(&mut self, now: Instant, entry: InstanceId, out: &mut Vec<Action>) {
        self.local_grants.on_entry_failed(now, entry);
        self.queue.remove_entry(entry);
        self.last_seen.remove(&entry);
        self.watchers.remove(entry);
        if let DispatcherPhase::CollectingReports(takeover) = &mut self.phase {
            takeover.mark_failed(entry);
        }
        let was_slow = self.slow_entries.remove(&entry);
        if was_slow && self.slow_entries.is_empty() {
            self.refuse_without_usable_slots(out);
        }
    }

    pub(crate) fn refuse_all(&mut self, code: ResultCode, out: &mut Vec<Action>) {
        while let Some(waiting) = self.queue.pop() {
            self.refuse(&waiting, code, true, out);
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.advance_takeover(now, out);
        self.expire(now, out);
        self.reclaim_unconfirmed_grants(now, out);
        while self.is_active() && !self.queue.is_empty() && self.targets.can_grant(now) {
            let Some(attempt) = self.queue.first_where(|entry| self.is_grantable(now, entry))
            else {
                break;
            };
            let Some(waiting) = self.queue.remove(attempt) else { break };
            self.grant(now, &waiting, out);
        }
        for (to, message) in self.local_grants.due_messages(now) {
            out.push(Action::Send(to, message));
        }
        if now >= self.next_load_report && !matches!(self.phase, DispatcherPhase::Stopped) {
            out.push(Action::Report(self.watchers.active(now), self.load_report()));
            self.request_missing_reports(out);
        }
        if now >= self.next_load_report {
            self.log_sheds();
            self.next_load_report = now + LOAD_REPORT_INTERVAL;
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(waiting) = self.queue.pop_expired(now) {
            self.refuse(&waiting, ResultCode::DeadlineBeforeStart, false, out);
        }
        while let Some((id, grant)) = self.grants.pop_expired(now) {
            self.targets.release(grant.target);
            self.local_grants.remove(id);
        }
        if self.reserved.as_ref().is_some_and(|(until, _)| *until <= now) {
            self.reserved = None;
            self.targets.clear_reserved();
        }
        self.replies.expire(now);
    }

    fn grant(&mut self, now: Instant, waiting: &WaitingAttempt, out: &mut Vec<Action>) {
        let Some(key) = self.targets.occupy_least_loaded(now) else { return };
        let Some((target, incarnation)) = self.targets.get(key) else { return };
        let id = GrantId {
            epoch: self.cfg.epoch,
            issuer: self.cfg.instance,
            number: self.next_grant_number,
        };
        self.next_grant_number += 1;
        let expires_at = waiting.deadline + GRANT_MARGIN;
        self.grants.insert(id, ActiveGrant { target: key, granted_at: now, expires_at });
        let reply = AcquireReply::Granted { grant: id, target, incarnation };
        self.replies.insert(waiting.attempt, reply, waiting.deadline);
        if waiting.entry == self.cfg.instance {
            self.local_grants.add(now, id, *waiting, target);
        }
        if !self.local_grants.is_withheld(id) {
            let message = reply.message(waiting.attempt, self.cfg.pool, self.pool_load());
            out.push(Action::Send(waiting.entry, message));
        }
    }

    fn is_current_role(&self, pool: Pool, epoch: u64) -> bool {
        pool == self.cfg.pool && epoch == self.cfg.epoch
    }

    pub(crate) fn release_grant(&mut self, id: GrantId) {
        if let Some(grant) = self.grants.remove(id) {
            self.targets.release(grant.target);
            self.local_grants.remove(id);
        }
    }

    /// Load of the pool. A dispatcher that can't grant reports no capacity, so that entries prefer
    /// others.
    pub(crate) fn pool_load(&self) -> PoolLoad {
        let totals = self.targets.totals();
        let (free, capacity) = if self.is_active() { (totals.free, totals.usable) } else { (0, 0) };
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        PoolLoad { free, capacity, queued }
    }

    fn load_report(&self) -> LoadReport {
        LoadReport {
            pool: self.cfg.pool,
            epoch: self.cfg.epoch,
            load: self.pool_load(),
            cold: self.targets.cold_targets(MAX_COLD_REPORTED),
        }
    }
}
