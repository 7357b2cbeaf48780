//! Elections: pre-votes, votes and terms.

use super::{DeferredOutput, LogReplica, Role};
use crate::durable::HardState;
use crate::message::{Incarnations, MessageBody, Position, PromiseMark};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, Term};
use std::collections::BTreeSet;

impl LogReplica {
    /// Becomes a follower, in a higher term or in the current one.
    pub(super) fn become_follower(&mut self, term: Term) {
        self.step_down();
        self.role = Role::Follower;
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.leader = None;
        }
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.next_tick_at = self.now + self.random_election_timeout();
        if self.has_unsynced_vote() {
            // A further term would only add to what the disk has to sync.
            return;
        }
        self.leader = None;
        let last = self.log.last();
        if last.index < self.max_reported_revision {
            // A leader that lacks committed entries would revert them.
            return;
        }
        if !self.rejoin_allows(last, self.hard_state.term.next()) {
            self.next_tick_at = self.now;
            return self.rejoin.ask_peers_again();
        }
        let next = self.hard_state.term.next();
        let granted = BTreeSet::from([self.settings.me]);
        if granted.len() >= self.majority_size() {
            return self.start_election();
        }
        self.role = Role::PreCandidate { next, granted };
        for voter in self.other_voters() {
            self.send(voter, MessageBody::PreVote { next, last });
        }
    }

    fn has_unsynced_vote(&self) -> bool {
        let is_vote = |(_, item): &(u64, DeferredOutput)| match item {
            DeferredOutput::LocalVote(term) => *term == self.hard_state.term,
            DeferredOutput::Send(_, message) => {
                matches!(message.body, MessageBody::VoteReply { granted: true, .. })
            }
        };
        self.deferred_outputs.iter().any(is_vote)
    }

    fn start_election(&mut self) {
        let vote = Some(self.settings.me);
        self.set_hard_state(HardState { term: self.hard_state.term.next(), vote });
        self.role = Role::Candidate { granted: Incarnations::new(), requested_at: self.now };
        self.next_tick_at = self.now + self.random_election_timeout();
        self.step_outputs.push(DeferredOutput::LocalVote(self.hard_state.term));
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_after_sync(voter, MessageBody::Vote { last });
        }
    }

    /// Whether a leader may hold a lease that relies on this replica, which must not vote meanwhile. A
    /// restarted replica does not know when it last received a message of a leader, so `leader_last_seen`
    /// starts as its start time.
    fn has_recent_leader(&self) -> bool {
        self.now < self.leader_last_seen + self.settings.election_timeout
            || matches!(self.role, Role::Leader(_))
    }

    fn can_vote_for(&self, next: Term, last: Position) -> bool {
        !self.has_empty_log()
            && last >= self.log.last()
            && last.index >= self.max_reported_revision
            && self.rejoin_allows(last, next)
    }

    pub(super) fn handle_pre_vote(&mut self, sender: Voter, next: Term, last: Position) {
        let granted = next > self.hard_state.term
            && !self.has_recent_leader()
            && !self.has_unsynced_vote()
            && self.can_vote_for(next, last);
        self.send(sender, MessageBody::PreVoteReply { next, granted });
    }

    pub(super) fn handle_pre_vote_reply(&mut self, sender: Voter, next: Term, granted: bool) {
        let is_voter = self.config.1.contains(&sender);
        let Role::PreCandidate { next: requested, granted: votes } = &mut self.role else { return };
        if !granted || *requested != next || !is_voter {
            return;
        }
        votes.insert(sender);
        if votes.len() >= self.majority_size() {
            self.start_election();
        }
    }

    pub(super) fn handle_vote(&mut self, sender: Voter, term: Term, last: Position) {
        if term < self.hard_state.term || self.has_recent_leader() {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        let vote_is_free = self.hard_state.vote.is_none_or(|vote| vote == sender);
        let granted = vote_is_free && self.can_vote_for(term, last);
        if granted && self.hard_state.vote.is_none() {
            self.set_hard_state(HardState { term, vote: Some(sender) });
            self.next_tick_at = self.now + self.random_election_timeout();
        }
        let starts = self.known_incarnations();
        self.send_after_sync(sender, MessageBody::VoteReply { granted, starts });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        granted: bool,
    ) {
        let term = self.hard_state.term;
        let restarted = self.marks.get(&sender).is_some_and(|mark| mark.incarnation > incarnation);
        let counts = self.config.1.contains(&sender) && !restarted;
        let Role::Candidate { granted: votes, requested_at } = &mut self.role else { return };
        if !granted || !counts {
            return;
        }
        votes.insert(sender, incarnation);
        let (count, requested_at) = (votes.len(), *requested_at);
        let mark = PromiseMark { term, voted: true, ..PromiseMark::default() };
        self.marks_changed |= self.marks.entry(sender).or_default().merge(&mark);
        if count >= self.majority_size() {
            self.become_leader(requested_at);
        }
    }
}
