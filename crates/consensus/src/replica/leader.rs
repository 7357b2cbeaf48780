//! Leader side of replication: progress of followers, the quorum check, and proposals.

use super::members::Replacement;
use super::{Action, LogReplica, RequestId, Role};
use crate::durable::Snapshot;
use crate::message::{Incarnations, LogEntry, MessageBody, Position, PromiseMark};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Incarnation, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Replication progress of one follower.
#[derive(Clone, Debug, Default)]
pub(super) struct FollowerProgress {
    /// Index of the next entry to send.
    pub(super) next_index: Revision,
    /// Last entry known to be synced on the follower.
    pub(super) match_index: Revision,
    /// Send time of the latest request that the follower has responded to, synced or not.
    pub(super) last_acked_send: Option<Instant>,
    /// Send time of the latest request that the follower has responded to after a sync of all that it held.
    pub(super) last_synced_send: Option<Instant>,
    /// Incarnation of the follower's process that this progress belongs to.
    pub(super) incarnation: Incarnation,
    pub(super) outgoing_snapshot: Option<OutgoingSnapshot>,
}

/// A snapshot that is being sent to a follower. The transfer is not replaced by a newer snapshot: a follower
/// that starts over with each new one might never finish.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    pub(super) snapshot: Snapshot,
    /// Offset of the next part, in bytes.
    pub(super) offset: u64,
}

impl FollowerProgress {
    pub(super) fn new(last: Revision) -> Self {
        Self { next_index: last.next(), ..Self::default() }
    }

    /// Progress of the same follower after its restart: it responds, and has confirmed nothing.
    fn restarted(&self, incarnation: Incarnation, last: Revision) -> Self {
        Self {
            last_acked_send: self.last_acked_send,
            last_synced_send: self.last_synced_send,
            incarnation,
            ..Self::new(last)
        }
    }
}

/// State that only a leader keeps.
pub(super) struct LeaderState {
    /// Index of the first entry of the leader's term.
    pub(super) term_start: Revision,
    pub(super) elected_at: Instant,
    pub(super) progress: BTreeMap<Voter, FollowerProgress>,
    /// Proposals that are not committed yet, by log index.
    pub(super) pending_requests: BTreeMap<Revision, RequestId>,
    pub(super) replacement: Option<Replacement>,
    /// Removed voters, which receive entries until their removal is committed.
    pub(super) removed_voters: BTreeSet<Voter>,
}

impl LogReplica {
    /// Starts leading the current term. Each granted vote counts as a response to a request sent at
    /// `votes_requested_at`.
    pub(super) fn become_leader(&mut self, votes_requested_at: Instant) {
        let last = self.log.last().index;
        let voters = self.other_voters().into_iter();
        let granted = match &self.role {
            Role::Candidate { granted, .. } => granted.clone(),
            _ => Incarnations::new(),
        };
        let progress = voters.map(|voter| {
            let last_acked_send = granted.contains_key(&voter).then_some(votes_requested_at);
            let last_synced_send = last_acked_send;
            let new = FollowerProgress::new(last);
            (voter, FollowerProgress { last_acked_send, last_synced_send, ..new })
        });
        self.role = Role::Leader(Box::new(LeaderState {
            term_start: last.next(),
            elected_at: self.now,
            progress: progress.collect(),
            pending_requests: BTreeMap::new(),
            replacement: None,
            removed_voters: BTreeSet::new(),
        }));
        self.leader = Some(self.settings.me.instance);
        self.actions.push(Action::Elected(self.hard_state.term));
        self.append_entry(LogEntry { term: self.hard_state.term, command: Command::Noop });
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
        for request in leader.pending_requests.into_values().chain(replacing) {
            self.actions.push(Action::OutcomeUnknown { request });
        }
        self.leader = None;
        self.next_tick_at = self.now + self.random_election_timeout();
        self.actions.push(Action::SteppedDown(self.hard_state.term));
    }

    pub(super) fn leader_tick(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let timeout = self.settings.election_timeout;
        // The votes may have taken longer than the timeout, and say nothing about who responds now.
        let had_time = self.now >= leader.elected_at + timeout;
        if had_time && !self.quorum_responded(leader, self.now, timeout) {
            log::warn!(
                "{}: no majority has responded within {} ms",
                self.settings.me.instance,
                timeout.as_millis()
            );
            return self.step_down();
        }
        self.next_tick_at = self.now + self.settings.heartbeat_interval;
        let followers: Vec<Voter> = leader.progress.keys().copied().collect();
        for voter in followers {
            self.replicate(voter, true);
        }
    }

    /// Whether a majority has responded to a request that was sent less than `within` ago.
    pub(super) fn quorum_responded(
        &self,
        leader: &LeaderState,
        now: Instant,
        within: Duration,
    ) -> bool {
        let is_recent = |send: Option<Instant>| send.is_some_and(|sent| now < sent + within);
        self.is_quorum(leader, |progress| is_recent(progress.last_acked_send))
    }

    /// Whether a majority has synced what it was sent until `sync_timeout` ago.
    fn quorum_synced(&self, leader: &LeaderState) -> bool {
        let timeout = self.settings.sync_timeout;
        let is_recent = |send: Option<Instant>| send.is_some_and(|sent| self.now < sent + timeout);
        self.is_quorum(leader, |progress| is_recent(progress.last_synced_send))
    }

    /// Whether this instance and the followers that `counts` holds for are a majority.
    fn is_quorum(&self, leader: &LeaderState, counts: impl Fn(&FollowerProgress) -> bool) -> bool {
        let counted = self.config.1.iter().filter(|voter| {
            **voter == self.settings.me || leader.progress.get(voter).is_some_and(&counts)
        });
        counted.count() >= self.majority_size()
    }

    pub(super) fn replicate_all(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let followers: Vec<Voter> = leader.progress.keys().copied().collect();
        for voter in followers {
            self.replicate(voter, false);
        }
    }

    /// Sends a follower the next entries or snapshot part. `even_if_empty` sends a message without entries when
    /// there are none, and repeats the last snapshot part.
    pub(super) fn replicate(&mut self, voter: Voter, even_if_empty: bool) {
        let sent_us = self.elapsed_us();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&voter) else { return };
        if progress.outgoing_snapshot.is_some() {
            if even_if_empty {
                self.send_chunk(voter);
            }
            return;
        }
        if progress.next_index <= self.log.base().index {
            let snapshot = self.snapshot.clone();
            progress.outgoing_snapshot = Some(OutgoingSnapshot { snapshot, offset: 0 });
            return self.send_chunk(voter);
        }
        let prev_index = Revision(progress.next_index.0 - 1);
        let in_flight = prev_index.0.saturating_sub(progress.match_index.0);
        let room = self.settings.max_inflight_entries.saturating_sub(in_flight);
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        let entries =
            self.log.slice(progress.next_index, room.min(self.settings.max_entries_per_message));
        if entries.is_empty() && !even_if_empty {
            return;
        }
        progress.next_index.0 += entries.len() as u64;
        let Some(term) = self.log.term_at(prev_index) else { return };
        let prev = Position { term, index: prev_index };
        let (commit, marks) = (self.commit, self.marks.clone());
        self.send(voter, MessageBody::Append { prev, entries, commit, sent_us, marks });
    }

    /// Time since the start of this process, in microseconds.
    pub(super) fn elapsed_us(&self) -> u64 {
        u64::try_from((self.now - self.start_time).as_micros()).unwrap_or(u64::MAX)
    }

    /// Records the send time that a response after a sync acknowledges, and returns the follower's progress. `None`
    /// for a response of an earlier incarnation, or to a request that this process has not sent.
    pub(super) fn record_response(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        sent_us: u64,
    ) -> Option<&mut FollowerProgress> {
        let sent = Some(self.start_time + Duration::from_micros(sent_us));
        let progress = self.record_heard(sender, incarnation, sent_us)?;
        progress.last_synced_send = progress.last_synced_send.max(sent);
        Some(progress)
    }

    /// As `record_response`, for a response that says nothing about the follower's disk.
    pub(super) fn record_heard(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        sent_us: u64,
    ) -> Option<&mut FollowerProgress> {
        let last = self.log.last().index;
        let sent = self.start_time + Duration::from_micros(sent_us);
        let Role::Leader(leader) = &mut self.role else { return None };
        let progress = leader.progress.get_mut(&sender)?;
        if incarnation < progress.incarnation || sent > self.now {
            return None;
        }
        if incarnation > progress.incarnation {
            *progress = progress.restarted(incarnation, last);
        }
        progress.last_acked_send = progress.last_acked_send.max(Some(sent));
        Some(progress)
    }

    /// Resets what a follower confirmed before its restart, since its folder may be an older copy.
    pub(super) fn reset_progress(&mut self, sender: Voter, incarnation: Incarnation) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&sender) else { return };
        if incarnation > progress.incarnation {
            *progress = progress.restarted(incarnation, last);
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        matched: Option<Revision>,
        last: Revision,
        sent_us: u64,
    ) {
        let Some(progress) = self.record_response(sender, incarnation, sent_us) else { return };
        let Some(matched) = matched else {
            let min_next = progress.match_index.next();
            progress.next_index = last.next().min(progress.next_index).max(min_next);
            return self.replicate(sender, true);
        };
        progress.match_index = progress.match_index.max(matched);
        progress.next_index = progress.next_index.max(matched.next());
        progress.outgoing_snapshot.take_if(|outgoing| outgoing.snapshot.at.index <= matched);
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
        let mark = PromiseMark { term: self.hard_state.term, confirmed, ..PromiseMark::default() };
        self.marks_changed |= self.marks.entry(voter).or_default().merge(&mark);
    }

    /// Commits what is synced on a majority of disks. Entries of earlier terms are committed only together
    /// with one of the current term, since a later leader could still replace them.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let matched = |voter: &Voter| {
            let progress = leader.progress.get(voter).map(|progress| progress.match_index);
            if *voter == self.settings.me {
                self.synced_index
            } else {
                progress.unwrap_or_default()
            }
        };
        let mut positions: Vec<Revision> = self.config.1.iter().map(matched).collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        let Some(replicated) = positions.get(self.majority_size() - 1).copied() else { return };
        if replicated <= self.commit || self.log.term_at(replicated) != Some(self.hard_state.term) {
            return;
        }
        self.mark_confirmed(self.settings.me, self.synced_index);
        self.commit_to(replicated);
        self.handle_commit_advance();
    }

    pub(super) fn handle_proposal(&mut self, request: RequestId, command: Command) {
        if let Err((code, reason)) = self.check_proposal(&command) {
            return self.refuse_request(request, code, reason);
        }
        self.append_proposal(Some(request), command);
    }

    pub(super) fn refuse_request(
        &mut self,
        request: RequestId,
        code: ResultCode,
        reason: &'static str,
    ) {
        let leader = self.leader;
        self.actions.push(Action::Refused { request, code, leader, reason });
    }

    pub(super) fn append_proposal(&mut self, request: Option<RequestId>, command: Command) {
        let config = match &command {
            Command::Voters(voters) => Some(voters.clone()),
            _ => None,
        };
        let index = self.append_entry(LogEntry { term: self.hard_state.term, command });
        if let Some(voters) = config {
            self.track_changed_voters(&voters);
            self.config = (index, voters);
        }
        if let (Role::Leader(leader), Some(request)) = (&mut self.role, request) {
            leader.pending_requests.insert(index, request);
        }
        self.replicate_all();
    }

    fn check_proposal(&self, command: &Command) -> Result<(), (ResultCode, &'static str)> {
        let leader = self.check_leader()?;
        match command {
            Command::Voters(voters) => self.check_voter_change(leader, voters),
            _ => Ok(()),
        }
    }

    pub(super) fn check_leader(&self) -> Result<&LeaderState, (ResultCode, &'static str)> {
        if let Some(code) = self.fault {
            return Err((code, "the data folder of this instance has failed"));
        }
        let Role::Leader(leader) = &self.role else {
            return Err(match self.leader {
                Some(_) => (ResultCode::NotLeader, "another instance is leader"),
                None => (ResultCode::NoQuorum, "no leader is known"),
            });
        };
        if !self.quorum_responded(leader, self.now, self.settings.election_timeout) {
            return Err((ResultCode::NoQuorum, "no majority of control instances answers"));
        }
        if !self.quorum_synced(leader) {
            return Err((ResultCode::NoQuorum, "no majority of control instances stores entries"));
        }
        Ok(leader)
    }
}
