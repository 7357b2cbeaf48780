//! Installation of revisions at an entry in two phases, and the lease of the entry.

use crate::messages::{
    CommandDelta, DesiredRevision, InstallMessage, InstallPhase, InstallProgress, LeaseToken,
    SnapshotChunk,
};
use crate::recovery::Recovery;
use crate::relay::{MIN_LEASE_FOR_DELAY, Relay, STATUS_DELAY, has_reached};
use crate::staging::{SnapshotAssembly, StagedState};
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An entry may use targets of other failure domains for this long after it issued the token of its lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);

/// A `Fetch` or `AskNewest` without a response is sent again after this long.
pub const FETCH_RETRY: Duration = Duration::from_millis(200);

/// Action that the daemon has to perform, in the order in which it is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum InstallAction {
    /// Send a message.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// Message to send.
        message: InstallMessage,
    },
    /// Stage a state: the slots that it moves are in transition once this action is performed.
    Prepare(Arc<Declarations>),
    /// Put a state in effect.
    Activate(Arc<Declarations>),
    /// The state in effect is recent enough to serve.
    Recovered,
    /// The entry has a lease again.
    LeaseRegained,
    /// The lease has expired: use only targets of the local failure domain.
    LeaseLost,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingFetch {
    from: InstanceId,
    sent_at: Instant,
    active_only: bool,
}

/// State machine that installs revisions at one entry and keeps its lease.
#[derive(Debug)]
pub struct Installer {
    local_id: InstanceId,
    started_at: Instant,
    nonce: u32,
    pub(crate) term: Term,
    leader: Option<InstanceId>,
    pub(crate) desired: Option<DesiredRevision>,
    pub(crate) active: Arc<Declarations>,
    pub(crate) staged: StagedState,
    assembly: SnapshotAssembly,
    pub(crate) pending_fetch: Option<PendingFetch>,
    lease_until: Option<Instant>,
    has_lease: bool,
    /// Relay that receives the status of this entry; the entry itself while it is a relay.
    status_receiver: Option<InstanceId>,
    status_due: Option<Instant>,
    relay: Relay,
    pub(crate) recovery: Option<Recovery>,
    pub(crate) actions: Vec<InstallAction>,
}

impl Installer {
    /// Creates the installer of an entry that has just started. `peers` are the other entries of its
    /// failure domain.
    #[must_use]
    pub fn new(
        now: Instant,
        local_id: InstanceId,
        peers: impl IntoIterator<Item = InstanceId>,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let peers = peers.into_iter().filter(|id| *id != local_id);
        Self {
            local_id,
            started_at: now,
            nonce: rng.random(),
            term: Term::default(),
            leader: None,
            desired: None,
            active: Arc::default(),
            staged: StagedState::default(),
            assembly: SnapshotAssembly::default(),
            pending_fetch: None,
            lease_until: None,
            has_lease: false,
            status_receiver: None,
            status_due: None,
            relay: Relay::new(local_id, u64::from(rng.random::<u32>())),
            recovery: Some(Recovery::new(now, peers)),
            actions: Vec::new(),
        }
    }

    /// Newest term that this entry has received.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of that term; `None` until a message of it arrives.
    #[must_use]
    pub fn leader(&self) -> Option<InstanceId> {
        self.leader
    }

    /// Revisions staged and in effect at this entry.
    #[must_use]
    pub fn progress(&self) -> InstallProgress {
        InstallProgress { prepared: self.staged.revision(), active: self.active.revision }
    }

    /// The state that is in effect.
    #[must_use]
    pub fn active(&self) -> &Arc<Declarations> {
        &self.active
    }

    /// The newest staged state. Between installations it equals the one in effect.
    #[must_use]
    pub fn prepared(&self) -> &Arc<Declarations> {
        self.staged.state()
    }

    /// Whether the state in effect is recent enough to serve.
    #[must_use]
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Whether the newest revision that the leader has announced is in effect here and the entry has a
    /// lease.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let is_active = |desired: DesiredRevision| desired.revision == self.active.revision;
        self.has_lease(now) && self.desired.is_some_and(is_active)
    }

    /// Whether the entry has a lease. Without one, it may use only targets of its failure domain.
    #[must_use]
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// When `tick` must be called next, unless a message arrives before.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let lease = self.lease_until.filter(|_| self.has_lease);
        let fetch = self.pending_fetch.map(|fetch| fetch.sent_at + FETCH_RETRY);
        let query = self.recovery.as_ref().map(|recovery| recovery.next_query());
        let times = [lease, fetch, query, self.status_due, self.relay.report_due()];
        times.into_iter().flatten().fold(now + LEASE_DURATION, Instant::min)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<InstallAction> {
        if self.has_lease && !self.has_lease(now) {
            self.has_lease = false;
            self.actions.push(InstallAction::LeaseLost);
        }
        if let Some(fetch) = self.pending_fetch.filter(|fetch| now >= fetch.sent_at + FETCH_RETRY) {
            self.fetch(now, fetch.from, fetch.active_only);
        }
        if self.status_due.is_some_and(|due| now >= due) {
            self.send_status(now);
        }
        self.query_peers(now);
        self.send_report(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles a message of the leader, a relay or another entry.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: InstallMessage,
    ) -> Vec<InstallAction> {
        match message {
            InstallMessage::Heartbeat {
                term, goal: desired, members, granted, withheld, ..
            } => {
                if self.accept_desired(now, from, from, term, desired) {
                    self.relay.begin_round(now, (term, from), desired, members);
                    self.relay.confirm_reports(now, &granted);
                    let grants = self.relay.granted_tokens(&granted, &withheld);
                    self.forward_beats(now, &grants);
                    self.install_and_report(now, self.local_id, from, desired);
                    self.extend_lease(now, grants.get(&self.local_id).copied());
                }
            }
            InstallMessage::Beat { term, leader, goal: desired, granted } => {
                if self.accept_desired(now, from, leader, term, desired) {
                    self.on_beat(now, from, desired, granted);
                }
            }
            InstallMessage::Install { term, goal: desired, delta } => {
                self.on_install(now, from, term, desired, delta);
            }
            InstallMessage::Status { term, token, progress } => {
                self.relay.on_status(now, from, term, token, progress);
            }
            InstallMessage::Fetch { have, part, active_only } => {
                let state = if active_only { &self.active } else { self.staged.state() }.clone();
                let response = self.staged.respond_to_fetch(&state, have, part);
                self.actions
                    .extend(response.map(|message| InstallAction::Send { to: from, message }));
            }
            InstallMessage::Delta(delta) => self.on_delta(now, &delta),
            InstallMessage::Chunk(chunk) => self.on_chunk(now, chunk),
            InstallMessage::AskNewest => self.send_newest(from),
            InstallMessage::Newest { term, active, recovering } => {
                self.on_newest(now, from, term, active, recovering);
            }
            InstallMessage::Report { .. } | InstallMessage::Refused { .. } => {}
        }
        self.send_report(now);
        std::mem::take(&mut self.actions)
    }

    /// Adopts the term and the desired revision, or refuses them when they are older than known ones.
    /// Returns whether they were adopted.
    fn accept_desired(
        &mut self,
        now: Instant,
        from: InstanceId,
        leader: InstanceId,
        term: Term,
        desired: DesiredRevision,
    ) -> bool {
        let newest = self.desired.map_or(self.active.revision, |desired| desired.revision);
        let code = if term < self.term {
            ResultCode::OldTerm
        } else if desired.revision < newest {
            ResultCode::OldRevision
        } else {
            self.term = term;
            self.leader = Some(leader);
            self.desired = self.desired.max(Some(desired));
            return true;
        };
        log::debug!("refused {desired:?} of term {term} from {from}: {code} at {now:?}");
        let message = InstallMessage::Refused { code, term: self.term, revision: newest };
        self.actions.push(InstallAction::Send { to: from, message });
        false
    }

    /// Installs a revision pushed by the leader or the relay, and forwards it to the members when this entry
    /// is a relay.
    fn on_install(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        desired: DesiredRevision,
        delta: CommandDelta,
    ) {
        let is_relay = self.leader == Some(from) && self.status_receiver == Some(self.local_id);
        let leader = if is_relay { from } else { self.leader.unwrap_or(from) };
        if !self.accept_desired(now, from, leader, term, desired) {
            return;
        }
        if is_relay {
            self.relay.begin_round(now, (term, from), desired, None);
            for to in self.relay.members().filter(|id| *id != self.local_id) {
                let message = InstallMessage::Install { term, goal: desired, delta: delta.clone() };
                self.actions.push(InstallAction::Send { to, message });
            }
        }
        self.stage_delta(&delta);
        let status_receiver = if is_relay { self.local_id } else { from };
        self.install_and_report(now, status_receiver, from, desired);
    }

    /// Responds to a `Beat`: at once when the relay needs a new token or the progress of this entry, and
    /// otherwise after `STATUS_DELAY`.
    fn on_beat(
        &mut self,
        now: Instant,
        from: InstanceId,
        desired: DesiredRevision,
        granted: Option<LeaseToken>,
    ) {
        let before = self.progress();
        self.install(now, from, from, desired);
        let is_renewed = self.extend_lease(now, granted);
        let is_idle = desired.phase == InstallPhase::Activate && has_reached(before, desired);
        let may_delay = self.lease_until.is_some_and(|until| until >= now + MIN_LEASE_FOR_DELAY);
        if is_renewed && is_idle && may_delay {
            self.status_due = Some(now + STATUS_DELAY);
        } else {
            self.send_status(now);
        }
    }

    fn install_and_report(
        &mut self,
        now: Instant,
        status_receiver: InstanceId,
        source: InstanceId,
        desired: DesiredRevision,
    ) {
        self.install(now, status_receiver, source, desired);
        self.send_status(now);
    }

    /// Carries out the desired phase as far as the staged state allows, and fetches missing state from
    /// `source`.
    fn install(
        &mut self,
        now: Instant,
        status_receiver: InstanceId,
        source: InstanceId,
        desired: DesiredRevision,
    ) {
        self.status_receiver = Some(status_receiver);
        if self.staged.revision() < desired.revision {
            let is_fetching = self.pending_fetch.is_some_and(|f| {
                f.from == source && !f.active_only && now < f.sent_at + FETCH_RETRY
            });
            if !is_fetching {
                self.fetch(now, source, false);
            }
        }
        self.activate_if_desired();
    }

    fn activate_if_desired(&mut self) {
        let Some(desired) = self.desired else { return };
        let is_due = desired.phase == InstallPhase::Activate
            && self.staged.revision() == desired.revision
            && self.active.revision < desired.revision;
        if is_due {
            self.activate();
        }
    }

    pub(crate) fn activate(&mut self) {
        self.active = Arc::clone(self.staged.state());
        self.actions.push(InstallAction::Activate(Arc::clone(&self.active)));
    }

    fn send_status(&mut self, now: Instant) {
        let Some(to) = self.status_receiver else { return };
        self.status_due = None;
        let token = self.issue_token(now);
        let progress = self.progress();
        if to == self.local_id {
            self.relay.on_status(now, to, self.term, token, progress);
            return;
        }
        let message = InstallMessage::Status { term: self.term, token, progress };
        self.actions.push(InstallAction::Send { to, message });
    }

    fn issue_token(&self, now: Instant) -> LeaseToken {
        let at = now.duration_since(self.started_at);
        LeaseToken { nonce: self.nonce, at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX) }
    }

    /// Extends the lease, counted from the time when the token was issued rather than granted. Returns
    /// whether this lease has not expired yet.
    fn extend_lease(&mut self, now: Instant, token: Option<LeaseToken>) -> bool {
        let Some(token) = token.filter(|token| token.nonce == self.nonce) else {
            return false;
        };
        let until = self.started_at + Duration::from_millis(token.at_ms) + LEASE_DURATION;
        if until <= now {
            return false;
        }
        self.lease_until = self.lease_until.max(Some(until));
        self.finish_recovery();
        if !self.has_lease {
            self.has_lease = true;
            self.actions.push(InstallAction::LeaseRegained);
        }
        true
    }

    fn forward_beats(&mut self, now: Instant, grants: &BTreeMap<InstanceId, LeaseToken>) {
        let beats = self.relay.take_beats(now, grants);
        self.actions
            .extend(beats.into_iter().map(|(to, message)| InstallAction::Send { to, message }));
    }

    fn send_report(&mut self, now: Instant) {
        let report = self.relay.take_report(now);
        self.actions.extend(report.map(|(to, message)| InstallAction::Send { to, message }));
    }

    pub(crate) fn fetch(&mut self, now: Instant, from: InstanceId, active_only: bool) {
        self.pending_fetch = Some(PendingFetch { from, sent_at: now, active_only });
        let have = self.staged.revision();
        let part = self.assembly.next_part().filter(|(revision, _)| *revision > have);
        let message = InstallMessage::Fetch { have, part, active_only };
        self.actions.push(InstallAction::Send { to: from, message });
    }

    /// Stages the state after a delta. Returns whether the staged state advanced.
    fn stage_delta(&mut self, delta: &CommandDelta) -> bool {
        let advanced = self.staged.apply(delta);
        if advanced {
            self.actions.push(InstallAction::Prepare(Arc::clone(self.staged.state())));
        }
        advanced
    }

    fn on_delta(&mut self, now: Instant, delta: &CommandDelta) {
        if !self.exceeds_peers(delta.to()) && self.stage_delta(delta) {
            self.continue_after_fetch(now);
        }
    }

    fn on_chunk(&mut self, now: Instant, chunk: SnapshotChunk) {
        if chunk.revision <= self.staged.revision() || self.exceeds_peers(chunk.revision) {
            return;
        }
        match self.assembly.add(chunk) {
            Some(state) => {
                self.staged = StagedState::new(Arc::new(state));
                self.actions.push(InstallAction::Prepare(Arc::clone(self.staged.state())));
                self.continue_after_fetch(now);
            }
            None => {
                if let Some(fetch) = self.pending_fetch {
                    self.fetch(now, fetch.from, fetch.active_only);
                }
            }
        }
    }

    /// Continues the recovery or the installation of the desired revision after a fetch has completed.
    fn continue_after_fetch(&mut self, now: Instant) {
        let Some(fetch) = self.pending_fetch.take() else { return };
        if fetch.active_only {
            self.adopt_from_peers(now);
            return;
        }
        let desired = self.desired.map_or(Revision(0), |desired| desired.revision);
        if self.staged.revision() < desired {
            self.fetch(now, fetch.from, false);
        }
        self.activate_if_desired();
        self.send_status(now);
    }
}
