//! Dispatcher: the one place that allocates the slots of the targets of a (service, failure domain),
//! so that slot limits hold across all entries.

use crate::answers::{Answer, Answers};
pub use crate::dispatcher_event::{Action, DispatcherConfig, Event};
use crate::grants::{Grant, Grants};
use crate::message::{
    AttemptId, GrantId, HeldGrant, LoadReport, Message, Pool, PoolLoad, SlotOutcome,
};
use crate::queue::{Offer, Queue, Waiting};
use crate::ramp::Feedback;
use crate::takeover::Takeover;
use crate::target_slots::{TargetKey, TargetSlots};
use crate::watchers::Watchers;
use crate::witness::SelfGrants;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between load reports.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Load reports of other dispatchers older than this are ignored.
pub const LOAD_STALE: Duration = Duration::from_millis(600);

/// A grant stays counted this long after its deadline, while the entry closes the connection and the
/// target notices.
pub const GRANT_MARGIN: Duration = Duration::from_millis(250);

/// Requests of an entry not heard of for this long wait: a grant to an entry that died would block its
/// slot until the deadline. Three keepalives of a client may be lost.
pub const ENTRY_QUIET: Duration = Duration::from_millis(80);

/// Cold targets that a load report names.
pub const MAX_COLD_REPORTED: usize = 32;

/// Expected wait when no target can start anything; above every deadline.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(3_600);

/// Weight of the newest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.05;

#[derive(Debug)]
pub(crate) enum Phase {
    Active,
    Collecting(Takeover),
    Stopped,
}

/// The decision core. Every message gets its answer from [`Dispatcher::handle`].
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) cfg: DispatcherConfig,
    pub(crate) phase: Phase,
    pub(crate) out: bool,
    pub(crate) targets: TargetSlots,
    pub(crate) known_targets: Vec<TargetRecord>,
    pub(crate) queue: Queue,
    pub(crate) grants: Grants,
    pub(crate) answers: Answers,
    pub(crate) self_grants: SelfGrants,
    /// End of the count of slots that failed entries may use, and those entries.
    pub(crate) reserved: Option<(Instant, BTreeSet<InstanceId>)>,
    /// Live entries that have told which grants they hold.
    pub(crate) reporters: BTreeSet<InstanceId>,
    /// Records of witnesses, and when they came, while the dispatcher's own entry may still report.
    pub(crate) records: BTreeMap<InstanceId, (Instant, Vec<HeldGrant>)>,
    pub(crate) mean_service: Option<Duration>,
    pub(crate) peers: BTreeMap<DomainId, (u32, Instant)>,
    pub(crate) heard: BTreeMap<InstanceId, Instant>,
    pub(crate) next_grant: u64,
    pub(crate) next_load: Instant,
    pub(crate) watchers: Watchers,
}

impl Dispatcher {
    /// Creates a dispatcher without targets. Targets start cold unless a takeover says otherwise.
    #[must_use]
    pub fn new(cfg: DispatcherConfig, now: Instant) -> Self {
        let queue_limit = usize::try_from(cfg.profile.queue_limit).unwrap_or(usize::MAX);
        Self {
            targets: TargetSlots::new(cfg.profile.cold.clone()),
            known_targets: Vec::new(),
            queue: Queue::new(queue_limit),
            phase: Phase::Active,
            out: false,
            grants: Grants::default(),
            answers: Answers::default(),
            self_grants: SelfGrants::new(cfg.pool, cfg.epoch, now),
            reserved: None,
            reporters: BTreeSet::new(),
            records: BTreeMap::new(),
            mean_service: None,
            peers: BTreeMap::new(),
            heard: BTreeMap::new(),
            next_grant: 1,
            next_load: now,
            watchers: Watchers::default(),
            cfg,
        }
    }

    /// Takes in an event and returns what to do.
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
            Event::Witness(witness) => self.self_grants.set_witness(now, witness),
            Event::EntryFailed(entry) => self.on_entry_failed(now, entry),
            Event::Stop => self.on_stop(&mut out),
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// Latest time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_load;
        if let Phase::Collecting(takeover) = &self.phase {
            wake = wake.min(takeover.next_wake());
        }
        let expiry = self.grants.next_expiry();
        let rested = self.targets.next_wake().filter(|_| !self.queue.is_empty());
        let witness = self.self_grants.next_wake();
        let others = [expiry, rested, witness, self.queue.next_deadline()];
        for at in others.into_iter().flatten() {
            wake = wake.min(at);
        }
        wake
    }

    /// Whether it grants slots.
    #[must_use]
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active) && !self.out
    }

    /// Whether it has ended, by [`Event::Stop`] or because a later one has asked for grants.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        matches!(self.phase, Phase::Stopped)
    }

    /// Slots of a target that are or may be in use.
    #[must_use]
    pub fn occupied(&self, target: SocketAddr) -> u32 {
        self.targets.occupied(target)
    }

    /// Ramp step of a target; `None` when warm or unknown.
    #[must_use]
    pub fn ramp_step(&self, target: SocketAddr) -> Option<u16> {
        self.targets.ramp_step(target)
    }

    /// Attempts that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn on_message(&mut self, now: Instant, from: InstanceId, msg: Message, out: &mut Vec<Action>) {
        self.heard.insert(from, now);
        match msg {
            Message::Acquire { attempt, pool, priority, remaining, may_redirect }
                if pool == self.cfg.pool =>
            {
                let deadline = now + remaining;
                let waiting = Waiting { attempt, entry: from, priority, deadline };
                self.on_acquire(now, waiting, may_redirect, out);
            }
            Message::Release { pool, grant, outcome } if pool == self.cfg.pool => {
                self.on_release(now, grant, outcome, out);
                let (pool, load) = (self.cfg.pool, self.brief());
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
            Message::HeldGrants { pool, epoch, grants, witnessed } if self.is_own(pool, epoch) => {
                self.on_held(now, from, &grants, witnessed);
            }
            Message::Witnessed { pool, epoch, grants } if self.is_own(pool, epoch) => {
                self.on_witnessed(from, &grants, out);
            }
            Message::Watch { pool } if pool == self.cfg.pool => self.on_watch(now, from, out),
            Message::Load(report) if report.pool.service == self.cfg.pool.service => {
                self.peers.insert(report.pool.domain, (report.load.free, now));
            }
            _ => {}
        }
    }

    /// A new watcher gets its first report at once.
    fn on_watch(&mut self, now: Instant, from: InstanceId, out: &mut Vec<Action>) {
        if self.watchers.add(now, from) {
            out.push(Action::Send(from, Message::Load(self.load_report())));
        }
    }

    fn on_acquire(&mut self, now: Instant, w: Waiting, may_redirect: bool, out: &mut Vec<Action>) {
        if self.queue.contains(w.attempt) {
            return;
        }
        if let Some(answer) = self.answers.get(w.attempt) {
            if answer.grant().is_some_and(|grant| self.self_grants.is_withheld(grant)) {
                return;
            }
            out.push(Action::Send(w.entry, answer.message(w.attempt, self.cfg.pool, self.brief())));
            return;
        }
        if let Some((code, elsewhere)) = self.refusal(now, &w, may_redirect) {
            self.refuse(&w, code, elsewhere, out);
            return;
        }
        match self.queue.offer(w) {
            Offer::Full if self.can_grant_now(now, w.entry) => self.grant(now, &w, out),
            offer => self.on_offer(w, offer, out),
        }
    }

    pub(crate) fn on_offer(&mut self, w: Waiting, offer: Offer, out: &mut Vec<Action>) {
        match offer {
            Offer::Queued => {}
            Offer::Displaced(last) => self.refuse(&last, ResultCode::Shed, true, out),
            Offer::Full => self.refuse(&w, ResultCode::Shed, true, out),
        }
    }

    /// Why a new attempt can't be accepted, and whether another domain may take it.
    fn refusal(&self, now: Instant, w: &Waiting, redirect: bool) -> Option<(ResultCode, bool)> {
        if matches!(self.phase, Phase::Stopped) {
            return Some((ResultCode::NoDispatcher, true));
        }
        if self.out || (self.is_active() && !self.targets.any_serving()) {
            return Some((ResultCode::NoTarget, true));
        }
        if self.is_active() && self.targets.totals().usable == 0 {
            return Some((ResultCode::Shed, true));
        }
        if w.deadline <= now {
            return Some((ResultCode::DeadlineBeforeStart, false));
        }
        if self.can_grant_now(now, w.entry) {
            return None;
        }
        if redirect && self.others_have_room(now) {
            return Some((ResultCode::Shed, true));
        }
        let expected = self.expected_wait(w)?;
        (now + expected > w.deadline).then_some((ResultCode::DeadlineBeforeStart, true))
    }

    /// Whether a new attempt of the entry gets a slot now. Attempts that wait for their entry or the
    /// witness don't stand in its way.
    fn can_grant_now(&self, now: Instant, entry: InstanceId) -> bool {
        let rested = self.targets.next_wake().is_some_and(|at| at <= now);
        let ready = self.targets.has_ready() || rested;
        let grantable = |entry| self.is_grantable(now, entry);
        self.is_active() && ready && grantable(entry) && self.queue.first_where(grantable).is_none()
    }

    /// Whether the entry's attempts may get slots.
    fn is_grantable(&self, now: Instant, entry: InstanceId) -> bool {
        let withheld = entry == self.cfg.instance && self.self_grants.is_silent();
        let heard = self.heard.get(&entry);
        let quiet = heard.is_none_or(|at| now.saturating_duration_since(*at) > ENTRY_QUIET);
        !withheld && !quiet
    }

    fn others_have_room(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < LOAD_STALE;
        let mut others = self.peers.iter().filter(|(domain, _)| **domain != self.cfg.pool.domain);
        others.any(|(_, (free, at))| *free > 0 && fresh(*at))
    }

    /// Expected time in the queue; `None` until a service time is known.
    fn expected_wait(&self, w: &Waiting) -> Option<Duration> {
        let mean = self.mean_service?;
        let rate = self.targets.totals().starts_per_s(mean);
        let ahead = self.queue.ahead_of(w.priority, w.deadline) + 1;
        let seconds = (ahead as f64 / rate).min(MAX_EXPECTED_WAIT.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    fn refuse(&mut self, w: &Waiting, code: ResultCode, elsewhere: bool, out: &mut Vec<Action>) {
        let answer = Answer::Refused { code, elsewhere };
        self.answers.insert(w.attempt, answer, w.deadline);
        out.push(Action::Send(w.entry, answer.message(w.attempt, self.cfg.pool, self.brief())));
    }

    fn on_cancel(
        &mut self,
        now: Instant,
        from: InstanceId,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let queued = self.queue.remove(attempt);
        if let Some(Answer::Granted { grant, .. }) = self.answers.get(attempt) {
            self.free_grant(grant);
        }
        let keep = now + self.cfg.profile.deadline();
        let deadline = queued.map_or(keep, |waiting| waiting.deadline);
        let priority = self.cfg.profile.priority;
        let waiting = Waiting { attempt, entry: from, priority, deadline };
        self.refuse(&waiting, ResultCode::CancelledBeforeStart, false, out);
    }

    fn on_release(
        &mut self,
        now: Instant,
        id: GrantId,
        outcome: SlotOutcome,
        out: &mut Vec<Action>,
    ) {
        if let Phase::Collecting(takeover) = &mut self.phase {
            takeover.released.insert(id);
        }
        let Some(Grant { target: key, started, .. }) = self.grants.get(id) else { return };
        match outcome {
            SlotOutcome::Answered { took } => {
                self.learn_service_time(took);
                self.feedback(now, key, started, Feedback::Answered(took), out);
            }
            SlotOutcome::Refused => self.feedback(now, key, started, Feedback::Refused, out),
            SlotOutcome::Failed | SlotOutcome::Unknown => {
                self.feedback(now, key, started, Feedback::Failed, out);
            }
            SlotOutcome::Cancelled | SlotOutcome::Unused => {}
        }
        match outcome {
            SlotOutcome::Unknown => {}
            SlotOutcome::Cancelled => self.grants.shorten(id, now + GRANT_MARGIN),
            _ => self.free_grant(id),
        }
    }

    fn feedback(
        &mut self,
        now: Instant,
        key: TargetKey,
        started: Instant,
        feedback: Feedback,
        out: &mut Vec<Action>,
    ) {
        if !self.targets.feedback(now, key, started, feedback) {
            return;
        }
        if let Some((address, _)) = self.targets.get(key) {
            out.push(Action::TargetCold(address));
        }
    }

    fn learn_service_time(&mut self, took: Duration) {
        let mean = self.mean_service.unwrap_or(took);
        self.mean_service = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
    }

    fn on_targets(&mut self, now: Instant, records: Vec<TargetRecord>, out: &mut Vec<Action>) {
        self.targets.replace(now, &records, self.cfg.profile.max_slots, |_| false);
        self.known_targets = records;
        if !self.targets.any_serving() && self.is_active() {
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
        let was_out = self.out;
        self.out = state == DomainState::Out;
        if self.out {
            self.refuse_all(ResultCode::NoTarget, out);
        } else if was_out {
            self.targets.restart_ramps(now);
        }
    }

    fn on_stop(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Stopped;
        self.refuse_all(ResultCode::NoDispatcher, out);
    }

    fn on_entry_failed(&mut self, now: Instant, entry: InstanceId) {
        self.self_grants.on_entry_failed(now, entry);
        self.queue.remove_entry(entry);
        self.heard.remove(&entry);
        self.watchers.remove(entry);
        if let Phase::Collecting(takeover) = &mut self.phase {
            takeover.fail(entry);
        }
    }

    pub(crate) fn refuse_all(&mut self, code: ResultCode, out: &mut Vec<Action>) {
        while let Some(waiting) = self.queue.pop() {
            self.refuse(&waiting, code, true, out);
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.finish_takeover(now, out);
        self.expire(now, out);
        self.take_back_overdue(now, out);
        while self.is_active() && !self.queue.is_empty() && self.targets.ready(now) {
            let Some(attempt) = self.queue.first_where(|entry| self.is_grantable(now, entry))
            else {
                break;
            };
            let Some(waiting) = self.queue.remove(attempt) else { break };
            self.grant(now, &waiting, out);
        }
        for (to, message) in self.self_grants.due_messages(now) {
            out.push(Action::Send(to, message));
        }
        if now >= self.next_load && !matches!(self.phase, Phase::Stopped) {
            out.push(Action::Report(self.watchers.current(now), self.load_report()));
            self.ask_missing(out);
        }
        if now >= self.next_load {
            self.next_load = now + LOAD_INTERVAL;
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(waiting) = self.queue.pop_expired(now) {
            self.refuse(&waiting, ResultCode::DeadlineBeforeStart, false, out);
        }
        while let Some((id, grant)) = self.grants.pop_expired(now) {
            self.targets.vacate(grant.target);
            self.self_grants.remove(id);
        }
        if self.reserved.as_ref().is_some_and(|(until, _)| *until <= now) {
            self.reserved = None;
            self.targets.clear_reserved();
        }
        self.answers.expire(now);
    }

    fn grant(&mut self, now: Instant, waiting: &Waiting, out: &mut Vec<Action>) {
        let Some(key) = self.targets.take(now) else { return };
        let Some((target, incarnation)) = self.targets.get(key) else { return };
        let id =
            GrantId { epoch: self.cfg.epoch, issuer: self.cfg.instance, number: self.next_grant };
        self.next_grant += 1;
        let expires = waiting.deadline + GRANT_MARGIN;
        self.grants.insert(id, Grant { target: key, started: now, expires });
        let answer = Answer::Granted { grant: id, target, incarnation };
        self.answers.insert(waiting.attempt, answer, waiting.deadline);
        if waiting.entry == self.cfg.instance {
            self.self_grants.add(now, id, *waiting, target);
        }
        if !self.self_grants.is_withheld(id) {
            let message = answer.message(waiting.attempt, self.cfg.pool, self.brief());
            out.push(Action::Send(waiting.entry, message));
        }
    }

    fn is_own(&self, pool: Pool, epoch: u64) -> bool {
        pool == self.cfg.pool && epoch == self.cfg.epoch
    }

    pub(crate) fn free_grant(&mut self, id: GrantId) {
        if let Some(grant) = self.grants.remove(id) {
            self.targets.vacate(grant.target);
            self.self_grants.remove(id);
        }
    }

    /// A dispatcher that can't grant reports no capacity, so that entries prefer others.
    pub(crate) fn brief(&self) -> PoolLoad {
        let totals = self.targets.totals();
        let (free, capacity) = if self.is_active() { (totals.free, totals.usable) } else { (0, 0) };
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        PoolLoad { free, capacity, queued }
    }

    fn load_report(&self) -> LoadReport {
        LoadReport {
            pool: self.cfg.pool,
            epoch: self.cfg.epoch,
            load: self.brief(),
            cold: self.targets.cold(MAX_COLD_REPORTED),
        }
    }
}
