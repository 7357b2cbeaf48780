//! The consensus core: an event and the current time go in, actions come out.

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

use crate::durable::{Durable, HardState, Snapshot, WriteBatch};
use crate::log::Log;
use crate::message::{Body, LogEntry, Marks, Message, Starts};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Declarations, Voter};
use comfreyhold_types::keys::{InstanceId, Revision, Term};
use leader::Leader;
use rand::RngExt;
use rand::rngs::StdRng;
use rejoin::{Answer, Rejoin};
use snapshot::Incoming;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a core can't start from a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The snapshot can't be decoded.
    #[error("the snapshot in the data folder is not a valid state")]
    BadSnapshot,
}

impl StartError {
    /// The numbered result.
    #[must_use]
    pub fn code(self) -> ResultCode {
        ResultCode::LogCorrupt
    }
}

enum Role {
    Follower,
    PreCandidate { next: Term, granted: BTreeSet<Voter> },
    Candidate { granted: Starts, asked: Instant },
    Leader(Box<Leader>),
}

/// Output that waits for a batch to be synced.
enum Deferred {
    Send(InstanceId, Message),
    OwnVote(Term),
}

/// One control instance.
pub struct LogReplica {
    settings: ReplicaSettings,
    rng: StdRng,
    epoch: Instant,
    now: Instant,
    hard: HardState,
    log: Log,
    snapshot: Snapshot,
    state: Declarations,
    commit: Revision,
    /// Last change of voters in the log; it counts from the moment it is written, accepted or not.
    config: (Revision, BTreeSet<Voter>),
    marks: Marks,
    marks_changed: bool,
    role: Role,
    leader: Option<InstanceId>,
    heard: Instant,
    deadline: Instant,
    /// Newest revision that an entry is known to hold. A log that ends before it lacks accepted log entries.
    held: Revision,
    /// Entries that have reported what they hold since the start.
    holders: BTreeSet<InstanceId>,
    rejoin: Rejoin,
    greeted: BTreeMap<InstanceId, Voter>,
    incoming: Option<Incoming>,
    fault: Option<ResultCode>,
    out: Vec<Action>,
    batch: WriteBatch,
    issued: u64,
    synced: u64,
    step_deferred: Vec<Deferred>,
    deferred: VecDeque<(u64, Deferred)>,
    /// Last entry of each batch that is not synced.
    unsynced: VecDeque<(u64, Revision)>,
    durable: Revision,
}

impl LogReplica {
    /// Starts from the content of a data folder.
    ///
    /// # Errors
    /// The snapshot is not a valid state.
    pub fn new(
        settings: ReplicaSettings,
        durable: Durable,
        rng: StdRng,
        now: Instant,
    ) -> Result<Self, StartError> {
        let state = durable.snapshot.decode().ok_or(StartError::BadSnapshot)?;
        let log = Log::recover(&durable);
        let mut node = Self {
            rejoin: Rejoin::new(now),
            deadline: now,
            settings,
            rng,
            epoch: now,
            now,
            hard: durable.hard,
            commit: durable.snapshot.at.index,
            durable: log.last().index,
            log,
            snapshot: durable.snapshot,
            state,
            config: (Revision(0), BTreeSet::new()),
            marks: durable.marks,
            marks_changed: false,
            role: Role::Follower,
            leader: None,
            heard: now,
            held: Revision(0),
            holders: BTreeSet::new(),
            greeted: BTreeMap::new(),
            incoming: None,
            fault: None,
            out: Vec::new(),
            batch: WriteBatch::default(),
            issued: 0,
            synced: 0,
            step_deferred: Vec::new(),
            deferred: VecDeque::new(),
            unsynced: VecDeque::new(),
        };
        node.refresh_config();
        Ok(node)
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Propose { request, command } => self.propose(request, command),
            Event::Replace { request, old, new } => self.replace(request, old, new),
            Event::StorageFault(code) => self.storage_fault(code),
            _ if self.fault.is_some() => {}
            Event::EntryReport { entry, revision } => self.note_holder(entry, revision),
            Event::Tick => self.tick(),
            Event::Message(message) => self.receive(message),
            Event::Persisted(seq) => self.persisted(seq),
        }
        self.finish()
    }

    /// When the core next needs a `Tick`.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        self.deadline
    }

    /// The replicated state up to the last applied entry.
    #[must_use]
    pub fn state(&self) -> &Declarations {
        &self.state
    }

    /// The command at a revision, while the log still holds it.
    #[must_use]
    pub fn command(&self, revision: Revision) -> Option<&Command> {
        self.log.get(revision).map(|entry| &entry.command)
    }

    /// Current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether this instance is leader and may answer for the whole deployment: a majority has
    /// answered within the lease, and an entry of its own term is accepted.
    #[must_use]
    pub fn read_is_current(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let lease = self.settings.election.mul_f64(LEASE_SHARE);
        self.fault.is_none() && self.commit >= leader.first && self.quorum_heard(leader, now, lease)
    }

    fn receive(&mut self, message: Message) {
        let me = self.settings.me;
        if message.to_disk.is_some_and(|disk| disk != me.disk) || message.sender == me {
            return;
        }
        let sender = message.sender;
        match message.body {
            Body::RejoinAsk => return self.answer_rejoin(sender, message.incarnation),
            Body::RejoinReply { asked, last, mark, config } => {
                let answer = Answer { sender, term: message.term, last, mark, config };
                return self.rejoin_reply(asked, answer);
            }
            Body::Hello { empty } => return self.greeting(sender, empty),
            _ if self.rejoin.asking() => return,
            Body::Form { voters } => return self.form_from(sender, voters),
            Body::PreVote { next, last } => return self.pre_vote(sender, next, last),
            Body::Vote { last } => return self.vote(sender, message.term, last),
            _ => {}
        }
        if message.term > self.hard.term {
            self.become_follower(message.term);
        }
        match message.body {
            Body::PreVoteReply { next, granted } => self.pre_vote_reply(sender, next, granted),
            Body::VoteReply { granted, starts } if message.term == self.hard.term => {
                self.note_starts(starts);
                self.vote_reply(sender, message.incarnation, granted);
            }
            Body::Append { prev, entries, commit, sent_us, marks }
                if self.follow(sender, message.term, sent_us) =>
            {
                self.merge_marks(marks);
                self.append(sender, prev, entries, commit, sent_us);
            }
            Body::Chunk { at, total, offset, bytes, sent_us }
                if self.follow(sender, message.term, sent_us) =>
            {
                self.chunk(sender, at, total, offset, &bytes, sent_us);
            }
            Body::AppendReply { matched, last, starts, sent_us }
                if message.term == self.hard.term =>
            {
                self.note_starts(starts);
                self.append_reply(sender, message.incarnation, matched, last, sent_us);
            }
            Body::ChunkReply { at, next, sent_us } if message.term == self.hard.term => {
                self.chunk_reply(sender, message.incarnation, at, next, sent_us);
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        if self.now < self.deadline {
            return;
        }
        if self.rejoin.asking() {
            self.deadline = self.now + self.settings.heartbeat;
            return self.ask_rejoin();
        }
        if matches!(self.role, Role::Leader(_)) {
            return self.leader_tick();
        }
        if !self.is_voter() || self.rejoin.stale() {
            return self.learner_tick();
        }
        self.start_pre_vote();
    }

    fn persisted(&mut self, seq: u64) {
        self.synced = self.synced.max(seq.min(self.issued));
        while let Some((_, last)) = self.unsynced.pop_front_if(|(seq, _)| *seq <= self.synced) {
            self.durable = self.durable.max(last);
        }
        while let Some((_, item)) = self.deferred.pop_front_if(|(seq, _)| *seq <= self.synced) {
            match item {
                Deferred::Send(to, message) => self.out.push(Action::Send { to, message }),
                Deferred::OwnVote(term) if term == self.hard.term => {
                    self.vote_reply(self.settings.me, self.settings.incarnation, true);
                }
                Deferred::OwnVote(_) => {}
            }
        }
        self.advance_commit();
    }

    fn storage_fault(&mut self, code: ResultCode) {
        log::error!("{}: storage fault {code}, no longer voting", self.settings.me.instance);
        self.step_down();
        self.role = Role::Follower;
        // It no longer hears of elections, so what it knew of the leader becomes outdated.
        self.leader = None;
        self.fault = Some(code);
        self.deadline = self.now + FAULT_TICK;
        self.batch = WriteBatch::default();
        self.step_deferred.clear();
        self.deferred.clear();
    }

    /// Closes a step: changes become one batch, and what depends on unsynced changes waits.
    fn finish(&mut self) -> Vec<Action> {
        if self.fault.is_none() && !self.batch.is_empty() {
            if self.marks_changed {
                self.batch.marks = Some(self.marks.clone());
                self.marks_changed = false;
            }
            self.issued += 1;
            let batch = std::mem::take(&mut self.batch);
            if batch.entries.is_some() {
                self.unsynced.push_back((self.issued, self.log.last().index));
            }
            self.out.push(Action::Persist { seq: self.issued, batch });
        }
        for item in std::mem::take(&mut self.step_deferred) {
            match item {
                Deferred::Send(to, message) if self.synced == self.issued => {
                    self.out.push(Action::Send { to, message });
                }
                item => self.deferred.push_back((self.issued, item)),
            }
        }
        std::mem::take(&mut self.out)
    }

    fn message(&self, to_disk: Option<u64>, body: Body) -> Message {
        Message {
            sender: self.settings.me,
            incarnation: self.settings.incarnation,
            to_disk,
            term: self.hard.term,
            body,
        }
    }

    fn send(&mut self, to: Voter, body: Body) {
        let message = self.message(Some(to.disk), body);
        self.out.push(Action::Send { to: to.instance, message });
    }

    fn send_any(&mut self, to: InstanceId, body: Body) {
        let message = self.message(None, body);
        self.out.push(Action::Send { to, message });
    }

    /// Sends once everything written so far is synced.
    fn send_durable(&mut self, to: Voter, body: Body) {
        let message = self.message(Some(to.disk), body);
        self.step_deferred.push(Deferred::Send(to.instance, message));
    }

    fn push_entry(&mut self, entry: LogEntry) -> Revision {
        let index = self.log.push(entry.clone());
        match &mut self.batch.entries {
            Some((_, entries)) => entries.push(entry),
            None => self.batch.entries = Some((index, vec![entry])),
        }
        index
    }

    fn truncate(&mut self, from: Revision) {
        self.log.truncate(from);
        self.batch.truncate = Some(from);
        let last = Revision(from.0 - 1);
        self.durable = self.durable.min(last);
        for (_, unsynced) in &mut self.unsynced {
            *unsynced = (*unsynced).min(last);
        }
    }

    fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.batch.hard = Some(hard);
    }

    fn refresh_config(&mut self) {
        let from_log = self.log.last_voters().map(|(index, voters)| (index, voters.clone()));
        self.config = match from_log {
            Some(found) if found.0 > self.snapshot.at.index => found,
            _ => (self.snapshot.at.index, self.snapshot_voters()),
        };
    }

    /// Voters as of the snapshot. The applied state can be ahead of the snapshot only by entries that
    /// are still in the log.
    fn snapshot_voters(&self) -> BTreeSet<Voter> {
        self.snapshot.decode().map(|state| state.voters).unwrap_or_default()
    }

    fn is_voter(&self) -> bool {
        self.config.1.contains(&self.settings.me)
    }

    fn is_empty(&self) -> bool {
        self.log.last().index == Revision(0)
    }

    fn majority(&self) -> usize {
        self.config.1.len() / 2 + 1
    }

    fn other_voters(&self) -> Vec<Voter> {
        let me = self.settings.me;
        self.config.1.iter().copied().filter(|voter| *voter != me).collect()
    }

    fn random_election(&mut self) -> Duration {
        let shortest = self.settings.election;
        shortest + shortest.mul_f64(self.rng.random::<f64>())
    }

    fn merge_marks(&mut self, marks: Marks) {
        for (voter, mark) in marks {
            self.marks_changed |= self.marks.entry(voter).or_default().merge(&mark);
        }
    }
}

/// Ticks do nothing after a storage fault; this keeps a daemon from spinning on them.
const FAULT_TICK: Duration = Duration::from_secs(3_600);

/// Share of the election timeout that a lease lasts; the rest allows for clock drift.
const LEASE_SHARE: f64 = 0.9;
