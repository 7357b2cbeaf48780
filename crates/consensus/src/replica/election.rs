//! Pre-vote, votes and terms.

use super::{DeferredOutput, LogReplica, Role};
use crate::durable::HardState;
use crate::message::{Incarnations, MessageBody, Position, PromiseMark};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, Term};
use std::collections::BTreeSet;

impl LogReplica {
    /// Takes on a higher term, or gives up a candidacy in the current one.
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
        self.leader = None;
        let last = self.log.last();
        if last.index < self.max_reported_revision {
            // A leader without accepted entries would revert them.
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

    fn start_election(&mut self) {
        let vote = Some(self.settings.me);
        self.set_hard_state(HardState { term: self.hard_state.term.next(), vote });
        self.role = Role::Candidate { granted: Incarnations::new(), asked: self.now };
        self.next_tick_at = self.now + self.random_election_timeout();
        self.step_outputs.push(DeferredOutput::LocalVote(self.hard_state.term));
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_after_sync(voter, MessageBody::Vote { last });
        }
    }

    /// Votes are withheld while a leader is heard, so that its lease holds. A restarted instance can't
    /// know whether it just heard one, and waits as if it had.
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
            && self.can_vote_for(next, last);
        self.send(sender, MessageBody::PreVoteReply { next, granted });
    }

    pub(super) fn handle_pre_vote_reply(&mut self, sender: Voter, next: Term, granted: bool) {
        let known = self.config.1.contains(&sender);
        let Role::PreCandidate { next: own, granted: votes } = &mut self.role else { return };
        if !granted || *own != next || !known {
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
        let free = self.hard_state.vote.is_none_or(|vote| vote == sender);
        let granted = free && self.can_vote_for(term, last);
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
        let known = self.config.1.contains(&sender) && !restarted;
        let Role::Candidate { granted: votes, asked } = &mut self.role else { return };
        if !granted || !known {
            return;
        }
        votes.insert(sender, incarnation);
        let (count, asked) = (votes.len(), *asked);
        let mark = PromiseMark { term, voted: true, ..PromiseMark::default() };
        self.marks_changed |= self.marks.entry(sender).or_default().merge(&mark);
        if count >= self.majority_size() {
            self.become_leader(asked);
        }
    }
}
