//! Installation of revisions at an entry: two phases and the lease.

use crate::messages::{Chunk, Delta, Goal, InstallMessage, LeaseToken, Phase, Progress};
use crate::recovery::Recovery;
use crate::relay::{DELAY_LEASE, Relay, STATUS_DELAY, has_reached};
use crate::staging::{Assembly, Store};
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that an entry may use other domains' targets after it gave out a lease token.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);

/// A `Fetch` or `AskNewest` without a response is repeated after this long.
pub const FETCH_RETRY: Duration = Duration::from_millis(200);

/// What the daemon has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum InstallAction {
    /// Send a message.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: InstallMessage,
    },
    /// Hold a state ready: what it moves is in transition once this action is carried out.
    Prepare(Arc<Declarations>),
    /// Put a state in effect.
    Activate(Arc<Declarations>),
    /// The state is new enough to serve.
    Recovered,
    /// The lease runs again.
    LeaseRegained,
    /// The lease has ended: use targets of the own failure domain only.
    LeaseLost,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Fetching {
    from: InstanceId,
    sent: Instant,
    active_only: bool,
}

/// Installer of one entry.
#[derive(Debug)]
pub struct Installer {
    own: InstanceId,
    start: Instant,
    nonce: u32,
    pub(crate) term: Term,
    leader: Option<InstanceId>,
    pub(crate) goal: Option<Goal>,
    pub(crate) active: Arc<Declarations>,
    pub(crate) staged: Store,
    assembly: Assembly,
    pub(crate) fetching: Option<Fetching>,
    lease_until: Option<Instant>,
    has_lease: bool,
    report_to: Option<InstanceId>,
    status_at: Option<Instant>,
    relay: Relay,
    pub(crate) recovery: Option<Recovery>,
    pub(crate) out: Vec<InstallAction>,
}

impl Installer {
    /// Creates the installer of an entry that has just started. `peers` are the other entries of its
    /// failure domain.
    #[must_use]
    pub fn new(
        now: Instant,
        own: InstanceId,
        peers: impl IntoIterator<Item = InstanceId>,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let peers = peers.into_iter().filter(|id| *id != own);
        Self {
            own,
            start: now,
            nonce: rng.random(),
            term: Term::default(),
            leader: None,
            goal: None,
            active: Arc::default(),
            staged: Store::default(),
            assembly: Assembly::default(),
            fetching: None,
            lease_until: None,
            has_lease: false,
            report_to: None,
            status_at: None,
            relay: Relay::new(own, u64::from(rng.random::<u32>())),
            recovery: Some(Recovery::new(now, peers)),
            out: Vec::new(),
        }
    }

    /// Newest term known.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of that term, once it was heard.
    #[must_use]
    pub fn leader(&self) -> Option<InstanceId> {
        self.leader
    }

    /// How far this entry has come.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress { prepared: self.staged.revision(), active: self.active.revision }
    }

    /// The state in effect.
    #[must_use]
    pub fn active(&self) -> &Arc<Declarations> {
        &self.active
    }

    /// The newest state held ready; equal to the one in effect between installations.
    #[must_use]
    pub fn prepared(&self) -> &Arc<Declarations> {
        self.staged.state()
    }

    /// Whether the state is new enough to serve.
    #[must_use]
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Whether the newest revision that the leader has in effect is also in effect here, and the lease
    /// runs.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let reached = |goal: Goal| goal.revision == self.active.revision;
        self.has_lease(now) && self.goal.is_some_and(reached)
    }

    /// Whether the lease runs. Without it, only targets of the own failure domain may be used.
    #[must_use]
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// When `tick` has to be called next, if nothing else happens.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let lease = self.lease_until.filter(|_| self.has_lease);
        let fetch = self.fetching.map(|fetching| fetching.sent + FETCH_RETRY);
        let ask = self.recovery.as_ref().map(|recovery| recovery.next_ask());
        let times = [lease, fetch, ask, self.status_at, self.relay.report_at()];
        times.into_iter().flatten().fold(now + LEASE_DURATION, Instant::min)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<InstallAction> {
        if self.has_lease && !self.has_lease(now) {
            self.has_lease = false;
            self.out.push(InstallAction::LeaseLost);
        }
        if let Some(fetching) = self.fetching.filter(|f| now >= f.sent + FETCH_RETRY) {
            self.fetch(now, fetching.from, fetching.active_only);
        }
        if self.status_at.is_some_and(|at| now >= at) {
            self.send_status(now);
        }
        self.ask_peers(now);
        self.send_report(now);
        std::mem::take(&mut self.out)
    }

    /// Handles a message.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: InstallMessage,
    ) -> Vec<InstallAction> {
        match message {
            InstallMessage::Heartbeat { term, goal, members, granted, withheld, .. } => {
                if self.accept(now, from, from, term, goal) {
                    self.relay.begin_round(now, (term, from), goal, members);
                    self.relay.confirm(now, &granted);
                    let grants = self.relay.grants(&granted, &withheld);
                    self.forward_beats(now, &grants);
                    self.pursue(now, self.own, from, goal);
                    self.grant(now, grants.get(&self.own).copied());
                }
            }
            InstallMessage::Beat { term, leader, goal, granted } => {
                if self.accept(now, from, leader, term, goal) {
                    self.on_beat(now, from, goal, granted);
                }
            }
            InstallMessage::Install { term, goal, delta } => {
                self.on_install(now, from, term, goal, delta);
            }
            InstallMessage::Status { term, token, progress } => {
                self.relay.on_status(now, from, term, token, progress);
            }
            InstallMessage::Fetch { have, part, active_only } => {
                let state = if active_only { &self.active } else { self.staged.state() }.clone();
                let response = self.staged.serve(&state, have, part);
                self.out.extend(response.map(|message| InstallAction::Send { to: from, message }));
            }
            InstallMessage::Delta(delta) => self.on_delta(now, &delta),
            InstallMessage::Chunk(chunk) => self.on_chunk(now, chunk),
            InstallMessage::AskNewest => self.answer_newest(from),
            InstallMessage::Newest { term, active, recovering } => {
                self.on_newest(now, from, term, active, recovering);
            }
            InstallMessage::Report { .. } | InstallMessage::Refused { .. } => {}
        }
        self.send_report(now);
        std::mem::take(&mut self.out)
    }

    /// Refuses older terms and revisions; adopts a newer term.
    fn accept(
        &mut self,
        now: Instant,
        from: InstanceId,
        leader: InstanceId,
        term: Term,
        goal: Goal,
    ) -> bool {
        let newest = self.goal.map_or(self.active.revision, |goal| goal.revision);
        let code = if term < self.term {
            ResultCode::OldTerm
        } else if goal.revision < newest {
            ResultCode::OldRevision
        } else {
            self.term = term;
            self.leader = Some(leader);
            self.goal = self.goal.max(Some(goal));
            return true;
        };
        log::debug!("refused goal {goal:?} of term {term} from {from}: {code} at {now:?}");
        let message = InstallMessage::Refused { code, term: self.term, revision: newest };
        self.out.push(InstallAction::Send { to: from, message });
        false
    }

    /// Passes a pushed goal on to the members when this entry relays for the leader.
    fn on_install(&mut self, now: Instant, from: InstanceId, term: Term, goal: Goal, delta: Delta) {
        let is_relay = self.leader == Some(from) && self.report_to == Some(self.own);
        let leader = if is_relay { from } else { self.leader.unwrap_or(from) };
        if !self.accept(now, from, leader, term, goal) {
            return;
        }
        if is_relay {
            self.relay.begin_round(now, (term, from), goal, None);
            for to in self.relay.members().filter(|id| *id != self.own) {
                let message = InstallMessage::Install { term, goal, delta: delta.clone() };
                self.out.push(InstallAction::Send { to, message });
            }
        }
        self.take_delta(&delta);
        let report_to = if is_relay { self.own } else { from };
        self.pursue(now, report_to, from, goal);
    }

    /// Responds at once when the relay lacks this entry's token or progress, and otherwise later.
    fn on_beat(&mut self, now: Instant, from: InstanceId, goal: Goal, granted: Option<LeaseToken>) {
        let before = self.progress();
        self.move_towards(now, from, from, goal);
        let is_renewed = self.grant(now, granted);
        let is_idle = goal.phase == Phase::Activate && has_reached(before, goal);
        let is_lasting = self.lease_until.is_some_and(|until| until >= now + DELAY_LEASE);
        if is_renewed && is_idle && is_lasting {
            self.status_at = Some(now + STATUS_DELAY);
        } else {
            self.send_status(now);
        }
    }

    fn pursue(&mut self, now: Instant, report_to: InstanceId, source: InstanceId, goal: Goal) {
        self.move_towards(now, report_to, source, goal);
        self.send_status(now);
    }

    /// Moves towards a goal as far as the held state allows, and fetches what is missing.
    fn move_towards(
        &mut self,
        now: Instant,
        report_to: InstanceId,
        source: InstanceId,
        goal: Goal,
    ) {
        self.report_to = Some(report_to);
        if self.staged.revision() < goal.revision {
            let is_running = self
                .fetching
                .is_some_and(|f| f.from == source && !f.active_only && now < f.sent + FETCH_RETRY);
            if !is_running {
                self.fetch(now, source, false);
            }
        }
        self.activate_if_due();
    }

    fn activate_if_due(&mut self) {
        let Some(goal) = self.goal else { return };
        let is_due = goal.phase == Phase::Activate
            && self.staged.revision() == goal.revision
            && self.active.revision < goal.revision;
        if is_due {
            self.activate();
        }
    }

    pub(crate) fn activate(&mut self) {
        self.active = Arc::clone(self.staged.state());
        self.out.push(InstallAction::Activate(Arc::clone(&self.active)));
    }

    fn send_status(&mut self, now: Instant) {
        let Some(to) = self.report_to else { return };
        self.status_at = None;
        let token = self.token(now);
        let progress = self.progress();
        if to == self.own {
            self.relay.on_status(now, to, self.term, token, progress);
            return;
        }
        let message = InstallMessage::Status { term: self.term, token, progress };
        self.out.push(InstallAction::Send { to, message });
    }

    fn token(&self, now: Instant) -> LeaseToken {
        let at = now.duration_since(self.start);
        LeaseToken { nonce: self.nonce, at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX) }
    }

    /// Extends the lease from the time the token was given out, not from the time of the grant. Returns
    /// whether the grant is still of use.
    fn grant(&mut self, now: Instant, token: Option<LeaseToken>) -> bool {
        let Some(token) = token.filter(|token| token.nonce == self.nonce) else {
            return false;
        };
        let until = self.start + Duration::from_millis(token.at_ms) + LEASE_DURATION;
        if until <= now {
            return false;
        }
        self.lease_until = self.lease_until.max(Some(until));
        self.finish_recovery();
        if !self.has_lease {
            self.has_lease = true;
            self.out.push(InstallAction::LeaseRegained);
        }
        true
    }

    fn forward_beats(&mut self, now: Instant, grants: &BTreeMap<InstanceId, LeaseToken>) {
        let beats = self.relay.beats(now, grants);
        self.out.extend(beats.into_iter().map(|(to, message)| InstallAction::Send { to, message }));
    }

    fn send_report(&mut self, now: Instant) {
        let report = self.relay.take_report(now);
        self.out.extend(report.map(|(to, message)| InstallAction::Send { to, message }));
    }

    pub(crate) fn fetch(&mut self, now: Instant, from: InstanceId, active_only: bool) {
        self.fetching = Some(Fetching { from, sent: now, active_only });
        let have = self.staged.revision();
        let part = self.assembly.next_part().filter(|(revision, _)| *revision > have);
        let message = InstallMessage::Fetch { have, part, active_only };
        self.out.push(InstallAction::Send { to: from, message });
    }

    fn take_delta(&mut self, delta: &Delta) -> bool {
        let advanced = self.staged.apply(delta);
        if advanced {
            self.out.push(InstallAction::Prepare(Arc::clone(self.staged.state())));
        }
        advanced
    }

    fn on_delta(&mut self, now: Instant, delta: &Delta) {
        if !self.is_beyond_peers(delta.to()) && self.take_delta(delta) {
            self.after_fetch(now);
        }
    }

    fn on_chunk(&mut self, now: Instant, chunk: Chunk) {
        if chunk.revision <= self.staged.revision() || self.is_beyond_peers(chunk.revision) {
            return;
        }
        match self.assembly.add(chunk) {
            Some(state) => {
                self.staged = Store::new(Arc::new(state));
                self.out.push(InstallAction::Prepare(Arc::clone(self.staged.state())));
                self.after_fetch(now);
            }
            None => {
                if let Some(fetching) = self.fetching {
                    self.fetch(now, fetching.from, fetching.active_only);
                }
            }
        }
    }

    /// Continues after state arrived: towards the goal, or with what peers have in effect.
    fn after_fetch(&mut self, now: Instant) {
        let Some(fetching) = self.fetching.take() else { return };
        if fetching.active_only {
            self.adopt_from_peers(now);
            return;
        }
        let wanted = self.goal.map_or(Revision(0), |goal| goal.revision);
        if self.staged.revision() < wanted {
            self.fetch(now, fetching.from, false);
        }
        self.activate_if_due();
        self.send_status(now);
    }
}
