//! Leading: replication, the quorum check, and proposals.

use super::members::Replacement;
use super::{Action, LogReplica, RequestId, Role};
use crate::durable::Snapshot;
use crate::message::{Body, LogEntry, Mark, Position, Starts};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Incarnation, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What a leader knows about one follower.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub(super) next: Revision,
    pub(super) matched: Revision,
    /// When the last request was sent that the follower has answered.
    pub(super) heard: Option<Instant>,
    pub(super) incarnation: Incarnation,
    pub(super) sending: Option<Sending>,
}

/// A snapshot on its way to a follower. It stays the same until the end, even when a newer one exists,
/// because a follower that starts over with each new snapshot might never finish.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    pub(super) snapshot: Snapshot,
    pub(super) offset: u64,
}

impl Progress {
    pub(super) fn new(last: Revision) -> Self {
        Self { next: last.next(), ..Self::default() }
    }
}

pub(super) struct Leader {
    /// The entry that opened the term.
    pub(super) first: Revision,
    pub(super) progress: BTreeMap<Voter, Progress>,
    pub(super) pending: BTreeMap<Revision, RequestId>,
    pub(super) replacement: Option<Replacement>,
    /// Removed voters, followed until their removal is accepted.
    pub(super) leaving: BTreeSet<Voter>,
}

impl LogReplica {
    /// `asked` is when the votes were asked for: each granted vote counts as a response to it.
    pub(super) fn become_leader(&mut self, asked: Instant) {
        let last = self.log.last().index;
        let voters = self.other_voters().into_iter();
        let granted = match &self.role {
            Role::Candidate { granted, .. } => granted.clone(),
            _ => Starts::new(),
        };
        let progress = voters.map(|voter| {
            let heard = granted.contains_key(&voter).then_some(asked);
            (voter, Progress { heard, ..Progress::new(last) })
        });
        self.role = Role::Leader(Box::new(Leader {
            first: last.next(),
            progress: progress.collect(),
            pending: BTreeMap::new(),
            replacement: None,
            leaving: BTreeSet::new(),
        }));
        self.leader = Some(self.settings.me.instance);
        self.out.push(Action::Elected(self.hard.term));
        self.push_entry(LogEntry { term: self.hard.term, command: Command::Noop });
        self.leader_tick();
    }

    pub(super) fn step_down(&mut self) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        let replacing = leader.replacement.map(|replacement| replacement.request);
        for request in leader.pending.into_values().chain(replacing) {
            self.out.push(Action::OutcomeUnknown { request });
        }
        self.leader = None;
        self.deadline = self.now + self.random_election();
        self.out.push(Action::SteppedDown(self.hard.term));
    }

    pub(super) fn leader_tick(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        if !self.quorum_heard(leader, self.now, self.settings.election) {
            return self.step_down();
        }
        self.deadline = self.now + self.settings.heartbeat;
        let followers: Vec<Voter> = leader.progress.keys().copied().collect();
        for voter in followers {
            self.replicate(voter, true);
        }
    }

    /// Whether a majority has answered a request that was sent within the last `within`.
    pub(super) fn quorum_heard(&self, leader: &Leader, now: Instant, within: Duration) -> bool {
        let heard = self.config.1.iter().filter(|voter| {
            let progress = leader.progress.get(voter);
            let answered = progress.and_then(|progress| progress.heard);
            **voter == self.settings.me || answered.is_some_and(|heard| now < heard + within)
        });
        heard.count() >= self.majority()
    }

    pub(super) fn replicate_all(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let followers: Vec<Voter> = leader.progress.keys().copied().collect();
        for voter in followers {
            self.replicate(voter, false);
        }
    }

    /// Sends what a follower lacks; `heartbeat` sends even if that is nothing.
    pub(super) fn replicate(&mut self, voter: Voter, heartbeat: bool) {
        let sent_us = self.sent_us();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&voter) else { return };
        if progress.sending.is_some() {
            if heartbeat {
                self.send_chunk(voter);
            }
            return;
        }
        if progress.next <= self.log.base().index {
            let snapshot = self.snapshot.clone();
            progress.sending = Some(Sending { snapshot, offset: 0 });
            return self.send_chunk(voter);
        }
        let prev_index = Revision(progress.next.0 - 1);
        let inflight = prev_index.0.saturating_sub(progress.matched.0);
        let room = self.settings.max_inflight.saturating_sub(inflight);
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        let entries = self.log.slice(progress.next, room.min(self.settings.max_entries));
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next.0 += entries.len() as u64;
        let Some(term) = self.log.term_at(prev_index) else { return };
        let prev = Position { term, index: prev_index };
        let (commit, marks) = (self.commit, self.marks.clone());
        self.send(voter, Body::Append { prev, entries, commit, sent_us, marks });
    }

    pub(super) fn sent_us(&self) -> u64 {
        u64::try_from((self.now - self.epoch).as_micros()).unwrap_or(u64::MAX)
    }

    /// Finds a follower's progress for a response, and drops responses of an earlier process.
    pub(super) fn answered(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        sent_us: u64,
    ) -> Option<&mut Progress> {
        let last = self.log.last().index;
        let sent = self.epoch + Duration::from_micros(sent_us);
        let Role::Leader(leader) = &mut self.role else { return None };
        let progress = leader.progress.get_mut(&sender)?;
        if incarnation < progress.incarnation || sent > self.now {
            return None;
        }
        if incarnation > progress.incarnation {
            let heard = progress.heard;
            *progress = Progress { heard, incarnation, ..Progress::new(last) };
        }
        progress.heard = progress.heard.max(Some(sent));
        Some(progress)
    }

    /// Forgets what a follower confirmed before its restart: its folder may be an older copy.
    pub(super) fn reset_progress(&mut self, sender: Voter, incarnation: Incarnation) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&sender) else { return };
        if incarnation > progress.incarnation {
            let heard = progress.heard;
            *progress = Progress { heard, incarnation, ..Progress::new(last) };
        }
    }

    pub(super) fn append_reply(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        matched: Option<Revision>,
        last: Revision,
        sent_us: u64,
    ) {
        let Some(progress) = self.answered(sender, incarnation, sent_us) else { return };
        let Some(matched) = matched else {
            let least = progress.matched.next();
            progress.next = last.next().min(progress.next).max(least);
            return self.replicate(sender, true);
        };
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(matched.next());
        progress.sending.take_if(|sending| sending.snapshot.at.index <= matched);
        self.mark_confirmed(sender, matched);
        self.advance_commit();
        self.replicate(sender, false);
    }

    fn mark_confirmed(&mut self, voter: Voter, index: Revision) {
        let Some(term) = self.log.term_at(index) else { return };
        if !self.config.1.contains(&voter) {
            return;
        }
        let confirmed = Position { term, index };
        let mark = Mark { term: self.hard.term, confirmed, ..Mark::default() };
        self.marks_changed |= self.marks.entry(voter).or_default().merge(&mark);
    }

    /// Accepts what is synced on a majority of disks. Entries of earlier terms are accepted only along
    /// with one of the current term, since a later leader could still replace them.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let matched = |voter: &Voter| {
            let progress = leader.progress.get(voter).map(|progress| progress.matched);
            if *voter == self.settings.me { self.durable } else { progress.unwrap_or_default() }
        };
        let mut positions: Vec<Revision> = self.config.1.iter().map(matched).collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        let Some(accepted) = positions.get(self.majority() - 1).copied() else { return };
        if accepted <= self.commit || self.log.term_at(accepted) != Some(self.hard.term) {
            return;
        }
        self.mark_confirmed(self.settings.me, self.durable);
        self.commit_to(accepted);
        self.after_commit();
    }

    pub(super) fn propose(&mut self, request: RequestId, command: Command) {
        if let Err((code, reason)) = self.check_proposal(&command) {
            return self.refuse(request, code, reason);
        }
        self.accept_proposal(Some(request), command);
    }

    pub(super) fn refuse(&mut self, request: RequestId, code: ResultCode, reason: &'static str) {
        let leader = self.leader;
        self.out.push(Action::Refused { request, code, leader, reason });
    }

    pub(super) fn accept_proposal(&mut self, request: Option<RequestId>, command: Command) {
        let config = match &command {
            Command::Voters(voters) => Some(voters.clone()),
            _ => None,
        };
        let index = self.push_entry(LogEntry { term: self.hard.term, command });
        if let Some(voters) = config {
            self.track_voters(&voters);
            self.config = (index, voters);
        }
        if let (Role::Leader(leader), Some(request)) = (&mut self.role, request) {
            leader.pending.insert(index, request);
        }
        self.replicate_all();
    }

    fn check_proposal(&self, command: &Command) -> Result<(), (ResultCode, &'static str)> {
        let leader = self.check_leader()?;
        match command {
            Command::Voters(voters) => self.check_voters(leader, voters),
            _ => Ok(()),
        }
    }

    pub(super) fn check_leader(&self) -> Result<&Leader, (ResultCode, &'static str)> {
        if let Some(code) = self.fault {
            return Err((code, "the data folder of this instance has failed"));
        }
        let Role::Leader(leader) = &self.role else {
            return Err(match self.leader {
                Some(_) => (ResultCode::NotLeader, "another instance is leader"),
                None => (ResultCode::NoQuorum, "no leader is known"),
            });
        };
        if !self.quorum_heard(leader, self.now, self.settings.election) {
            return Err((ResultCode::NoQuorum, "no majority of control instances answers"));
        }
        Ok(leader)
    }
}
