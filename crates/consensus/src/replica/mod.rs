//! Replica of the replicated log: elections, replication, changes of voters, snapshots, and the state after
//! the last applied entry.
//!
//! [`LogReplica::handle`] takes an event and the current time, and returns the actions that the daemon
//! carries out. An entry is committed, or accepted, once a majority of the voters has synced it.

mod api;
mod election;
mod follower;
mod leader;
mod members;
mod rejoin;
mod snapshot;
mod status;

pub use api::{Action, Event, ReplicaSettings, RequestId};
pub use status::{FollowerStatus, ReplicaStatus, RoleName};

use crate::durable::{DurableState, HardState, Snapshot, WriteBatch};
use crate::log::Log;
use crate::message::{Incarnations, LogEntry, Message, MessageBody, PromiseMarks};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Declarations, Voter};
use comfreyhold_types::keys::{InstanceId, Revision, Term};
use leader::LeaderState;
use rand::RngExt;
use rand::rngs::StdRng;
use rejoin::{RejoinResponse, RejoinState};
use snapshot::IncomingSnapshot;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a replica can't start from a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The snapshot can't be decoded.
    #[error("the snapshot in the data folder is not a valid state")]
    BadSnapshot,
}

impl StartError {
    /// Result code for operators.
    #[must_use]
    pub fn code(self) -> ResultCode {
        ResultCode::LogCorrupt
    }
}

enum Role {
    Follower,
    PreCandidate { next: Term, granted: BTreeSet<Voter> },
    Candidate { granted: Incarnations, requested_at: Instant },
    Leader(Box<LeaderState>),
}

/// Output that waits until a batch is synced.
enum DeferredOutput {
    Send(InstanceId, Message),
    /// The vote of this instance for itself in a term.
    LocalVote(Term),
}

/// Replica of the log on one control instance.
pub struct LogReplica {
    settings: ReplicaSettings,
    rng: StdRng,
    start_time: Instant,
    now: Instant,
    hard_state: HardState,
    log: Log,
    snapshot: Snapshot,
    state: Declarations,
    /// Index of the last entry known to be committed.
    commit: Revision,
    /// Index and voters of the last change of voters in the log. It takes effect when it is written, before
    /// it is committed.
    config: (Revision, BTreeSet<Voter>),
    /// What voters are known to have promised.
    marks: PromiseMarks,
    /// Whether `marks` has changed since the last batch that contains it.
    marks_changed: bool,
    role: Role,
    leader: Option<InstanceId>,
    /// When the last message of the current leader arrived; the start time before the first one.
    leader_last_seen: Instant,
    next_tick_at: Instant,
    /// Newest revision that an entry is known to hold. A log that ends before it lacks committed log entries.
    max_reported_revision: Revision,
    /// Entries that have reported what they hold since this process started.
    reported_entries: BTreeSet<InstanceId>,
    rejoin: RejoinState,
    /// Members whose last `Hello` reported an empty log.
    empty_members: BTreeMap<InstanceId, Voter>,
    incoming_snapshot: Option<IncomingSnapshot>,
    fault: Option<ResultCode>,
    actions: Vec<Action>,
    batch: WriteBatch,
    /// Number of the last batch returned as an action.
    issued_seq: u64,
    /// Number of the last batch that is synced.
    synced_seq: u64,
    /// Outputs of the current event that depend on everything written so far.
    step_outputs: Vec<DeferredOutput>,
    /// Outputs of earlier events with the batch that they wait for, in order.
    deferred_outputs: VecDeque<(u64, DeferredOutput)>,
    /// Number and last entry of each batch that is not synced.
    unsynced_batches: VecDeque<(u64, Revision)>,
    /// Last entry that is synced on the local disk.
    synced_index: Revision,
}

impl LogReplica {
    /// Starts a replica from the content of a data folder.
    ///
    /// # Errors
    /// `BadSnapshot` when the snapshot can't be decoded.
    pub fn new(
        settings: ReplicaSettings,
        durable: DurableState,
        rng: StdRng,
        now: Instant,
    ) -> Result<Self, StartError> {
        let state = durable.snapshot.decode().ok_or(StartError::BadSnapshot)?;
        let log = Log::recover(&durable);
        let mut replica = Self {
            rejoin: RejoinState::new(now),
            next_tick_at: now,
            settings,
            rng,
            start_time: now,
            now,
            hard_state: durable.hard_state,
            commit: durable.snapshot.at.index,
            synced_index: log.last().index,
            log,
            snapshot: durable.snapshot,
            state,
            config: (Revision(0), BTreeSet::new()),
            marks: durable.marks,
            marks_changed: false,
            role: Role::Follower,
            leader: None,
            leader_last_seen: now,
            max_reported_revision: Revision(0),
            reported_entries: BTreeSet::new(),
            empty_members: BTreeMap::new(),
            incoming_snapshot: None,
            fault: None,
            actions: Vec::new(),
            batch: WriteBatch::default(),
            issued_seq: 0,
            synced_seq: 0,
            step_outputs: Vec::new(),
            deferred_outputs: VecDeque::new(),
            unsynced_batches: VecDeque::new(),
        };
        replica.reload_config();
        Ok(replica)
    }

    /// Handles one event and returns the actions to carry out, in order. After a storage fault, proposals are
    /// refused and all other events are ignored.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Propose { request, command } => self.handle_proposal(request, command),
            Event::Replace { request, old, new } => self.handle_replacement(request, old, new),
            Event::StorageFault(code) => self.handle_storage_fault(code),
            Event::StorageRecovered => self.handle_storage_recovery(),
            _ if self.fault.is_some() => {}
            Event::EntryReport { entry, revision } => self.handle_entry_report(entry, revision),
            Event::Tick => self.handle_tick(),
            Event::Message(message) => self.handle_message(message),
            Event::Persisted(seq) => self.handle_persisted(seq),
        }
        self.finish_step()
    }

    /// Time at which the replica next needs a `Tick`.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        self.next_tick_at
    }

    /// Replicated state up to the last applied entry.
    #[must_use]
    pub fn state(&self) -> &Declarations {
        &self.state
    }

    /// Command at a revision; `None` when it is not in memory.
    #[must_use]
    pub fn command(&self, revision: Revision) -> Option<&Command> {
        self.log.get(revision).map(|entry| &entry.command)
    }

    /// Current term of this replica.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica is leader and its state is current: a majority has responded within the lease,
    /// and an entry of the leader's term is committed.
    #[must_use]
    pub fn read_is_current(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let lease = self.settings.election_timeout.mul_f64(LEASE_FRACTION);
        self.fault.is_none()
            && self.commit >= leader.term_start
            && self.quorum_responded(leader, now, lease)
    }

    fn handle_message(&mut self, message: Message) {
        let me = self.settings.me;
        if message.to_disk.is_some_and(|disk| disk != me.disk) || message.sender == me {
            return;
        }
        let sender = message.sender;
        match message.body {
            MessageBody::RejoinAsk => return self.handle_rejoin_ask(sender, message.incarnation),
            MessageBody::RejoinReply { asked, last, mark, config } => {
                let response = RejoinResponse { sender, term: message.term, last, mark, config };
                return self.handle_rejoin_reply(asked, response);
            }
            MessageBody::Hello { empty } => return self.handle_hello(sender, empty),
            _ if self.rejoin.is_asking() => return,
            MessageBody::Form { voters } => return self.handle_form(sender, voters),
            MessageBody::PreVote { next, last } => return self.handle_pre_vote(sender, next, last),
            MessageBody::Vote { last } => return self.handle_vote(sender, message.term, last),
            _ => {}
        }
        if message.term > self.hard_state.term {
            self.become_follower(message.term);
        }
        match message.body {
            MessageBody::PreVoteReply { next, granted } => {
                self.handle_pre_vote_reply(sender, next, granted)
            }
            MessageBody::VoteReply { granted, starts } if message.term == self.hard_state.term => {
                self.merge_incarnations(starts);
                self.handle_vote_reply(sender, message.incarnation, granted);
            }
            MessageBody::Append { prev, entries, commit, sent_us, marks }
                if self.accept_leader(sender, message.term, sent_us) =>
            {
                self.merge_marks(marks);
                self.handle_append(sender, prev, entries, commit, sent_us);
            }
            MessageBody::Chunk { at, total, offset, bytes, sent_us }
                if self.accept_leader(sender, message.term, sent_us) =>
            {
                self.handle_chunk(sender, at, total, offset, &bytes, sent_us);
            }
            MessageBody::AppendReply { matched, last, starts, sent_us }
                if message.term == self.hard_state.term =>
            {
                self.merge_incarnations(starts);
                self.handle_append_reply(sender, message.incarnation, matched, last, sent_us);
            }
            MessageBody::Heard { sent_us } if message.term == self.hard_state.term => {
                self.record_heard(sender, message.incarnation, sent_us);
            }
            MessageBody::ChunkReply { at, next, sent_us }
                if message.term == self.hard_state.term =>
            {
                self.handle_chunk_reply(sender, message.incarnation, at, next, sent_us);
            }
            _ => {}
        }
    }

    fn handle_tick(&mut self) {
        if self.now < self.next_tick_at {
            return;
        }
        if self.rejoin.is_asking() {
            self.next_tick_at = self.now + self.settings.heartbeat_interval;
            return self.send_rejoin_requests();
        }
        if matches!(self.role, Role::Leader(_)) {
            return self.leader_tick();
        }
        if !self.is_voter() || self.rejoin.is_stale() {
            return self.learner_tick();
        }
        self.start_pre_vote();
    }

    fn handle_persisted(&mut self, seq: u64) {
        self.synced_seq = self.synced_seq.max(seq.min(self.issued_seq));
        while let Some((_, last)) =
            self.unsynced_batches.pop_front_if(|(seq, _)| *seq <= self.synced_seq)
        {
            self.synced_index = self.synced_index.max(last);
        }
        while let Some((_, item)) =
            self.deferred_outputs.pop_front_if(|(seq, _)| *seq <= self.synced_seq)
        {
            match item {
                DeferredOutput::Send(to, message) => {
                    self.actions.push(Action::Send { to, message })
                }
                DeferredOutput::LocalVote(term) if term == self.hard_state.term => {
                    if matches!(self.role, Role::Candidate { .. }) {
                        // The others receive the request for their votes only now.
                        self.next_tick_at = self.now + self.random_election_timeout();
                    }
                    self.handle_vote_reply(self.settings.me, self.settings.incarnation, true);
                }
                DeferredOutput::LocalVote(_) => {}
            }
        }
        self.advance_commit();
    }

    fn handle_storage_fault(&mut self, code: ResultCode) {
        log::error!(
            "{}: storage fault {code}; this instance does not vote until its folder can be written",
            self.settings.me.instance
        );
        self.step_down();
        self.role = Role::Follower;
        // This replica ignores messages from now on, so the leader that it last saw may be outdated.
        self.leader = None;
        self.fault = Some(code);
        self.next_tick_at = self.now + FAULT_TICK_INTERVAL;
        self.batch = WriteBatch::default();
        self.step_outputs.clear();
        self.deferred_outputs.clear();
    }

    /// Continues as a follower after a fault. Nothing that this replica has issued is lost, so it may vote as
    /// before. A leader may rely on it not to vote for the length of an election timeout.
    fn handle_storage_recovery(&mut self) {
        if self.fault.take().is_none() {
            return;
        }
        log::info!("{}: the folder can be written again", self.settings.me.instance);
        self.leader_last_seen = self.now;
        self.next_tick_at = self.now + self.random_election_timeout();
        self.handle_persisted(self.issued_seq);
    }

    /// Ends the handling of an event: collects its changes in one batch, and holds back output that depends
    /// on unsynced changes.
    fn finish_step(&mut self) -> Vec<Action> {
        if self.fault.is_none() && !self.batch.is_empty() {
            if self.marks_changed {
                self.batch.marks = Some(self.marks.clone());
                self.marks_changed = false;
            }
            self.issued_seq += 1;
            let batch = std::mem::take(&mut self.batch);
            if batch.entries.is_some() {
                self.unsynced_batches.push_back((self.issued_seq, self.log.last().index));
            }
            self.actions.push(Action::Persist { seq: self.issued_seq, batch });
        }
        for item in std::mem::take(&mut self.step_outputs) {
            match item {
                DeferredOutput::Send(to, message) if self.synced_seq == self.issued_seq => {
                    self.actions.push(Action::Send { to, message });
                }
                item => {
                    self.respond_before_sync(&item);
                    self.deferred_outputs.push_back((self.issued_seq, item));
                }
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Tells the leader that its request has arrived while the response waits for a sync. Only entries need the
    /// disk: an instance that restarts votes for nobody during an election timeout, whatever it has stored.
    fn respond_before_sync(&mut self, deferred: &DeferredOutput) {
        let DeferredOutput::Send(to, message) = deferred else { return };
        let MessageBody::AppendReply { sent_us, .. } = message.body else { return };
        let heard = self.build_message(message.to_disk, MessageBody::Heard { sent_us });
        self.actions.push(Action::Send { to: *to, message: heard });
    }

    fn build_message(&self, to_disk: Option<u64>, body: MessageBody) -> Message {
        Message {
            sender: self.settings.me,
            incarnation: self.settings.incarnation,
            to_disk,
            term: self.hard_state.term,
            body,
        }
    }

    fn send(&mut self, to: Voter, body: MessageBody) {
        let message = self.build_message(Some(to.disk), body);
        self.actions.push(Action::Send { to: to.instance, message });
    }

    fn send_to_any_folder(&mut self, to: InstanceId, body: MessageBody) {
        let message = self.build_message(None, body);
        self.actions.push(Action::Send { to, message });
    }

    /// Sends a message once everything written so far is synced.
    fn send_after_sync(&mut self, to: Voter, body: MessageBody) {
        let message = self.build_message(Some(to.disk), body);
        self.step_outputs.push(DeferredOutput::Send(to.instance, message));
    }

    fn append_entry(&mut self, entry: LogEntry) -> Revision {
        let index = self.log.push(entry.clone());
        match &mut self.batch.entries {
            Some((_, entries)) => entries.push(entry),
            None => self.batch.entries = Some((index, vec![entry])),
        }
        index
    }

    fn truncate_log(&mut self, from: Revision) {
        self.log.truncate(from);
        self.batch.truncate_from = Some(from);
        let last = Revision(from.0 - 1);
        self.synced_index = self.synced_index.min(last);
        for (_, unsynced) in &mut self.unsynced_batches {
            *unsynced = (*unsynced).min(last);
        }
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.batch.hard_state = Some(hard_state);
    }

    fn reload_config(&mut self) {
        let from_log = self.log.last_voter_change().map(|(index, voters)| (index, voters.clone()));
        self.config = match from_log {
            Some(found) if found.0 > self.snapshot.at.index => found,
            _ => (self.snapshot.at.index, self.snapshot_voters()),
        };
    }

    /// Voters in the snapshot. Entries applied after the snapshot are still in the log, where
    /// `reload_config` finds later changes of voters.
    fn snapshot_voters(&self) -> BTreeSet<Voter> {
        self.snapshot.decode().map(|state| state.voters).unwrap_or_default()
    }

    fn is_voter(&self) -> bool {
        self.config.1.contains(&self.settings.me)
    }

    fn has_empty_log(&self) -> bool {
        self.log.last().index == Revision(0)
    }

    fn majority_size(&self) -> usize {
        self.config.1.len() / 2 + 1
    }

    fn other_voters(&self) -> Vec<Voter> {
        let me = self.settings.me;
        self.config.1.iter().copied().filter(|voter| *voter != me).collect()
    }

    fn random_election_timeout(&mut self) -> Duration {
        let shortest = self.settings.election_timeout;
        shortest + shortest.mul_f64(self.rng.random::<f64>())
    }

    fn merge_marks(&mut self, marks: PromiseMarks) {
        for (voter, mark) in marks {
            self.marks_changed |= self.marks.entry(voter).or_default().merge(&mark);
        }
    }
}

/// Interval of ticks after a storage fault, which do nothing. Without it, a daemon would tick in a busy loop.
const FAULT_TICK_INTERVAL: Duration = Duration::from_secs(3_600);

/// Length of the leader's lease as a fraction of the election timeout; the rest allows for clock drift.
const LEASE_FRACTION: f64 = 0.9;
