//! Pre-vote, votes and terms.

use super::{Deferred, LogReplica, Role};
use crate::durable::HardState;
use crate::message::{Body, Mark, Position, Starts};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, Term};
use std::collections::BTreeSet;

impl LogReplica {
    /// Takes on a higher term, or gives up a candidacy in the current one.
    pub(super) fn become_follower(&mut self, term: Term) {
        self.step_down();
        self.role = Role::Follower;
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None });
            self.leader = None;
        }
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.deadline = self.now + self.random_election();
        self.leader = None;
        let last = self.log.last();
        if last.index < self.held {
            // A leader without accepted entries would revert them.
            return;
        }
        if !self.rejoin_allows(last, self.hard.term.next()) {
            self.deadline = self.now;
            return self.rejoin.ask_again();
        }
        let next = self.hard.term.next();
        let granted = BTreeSet::from([self.settings.me]);
        if granted.len() >= self.majority() {
            return self.start_election();
        }
        self.role = Role::PreCandidate { next, granted };
        for voter in self.other_voters() {
            self.send(voter, Body::PreVote { next, last });
        }
    }

    fn start_election(&mut self) {
        let vote = Some(self.settings.me);
        self.set_hard(HardState { term: self.hard.term.next(), vote });
        self.role = Role::Candidate { granted: Starts::new(), asked: self.now };
        self.deadline = self.now + self.random_election();
        self.step_deferred.push(Deferred::OwnVote(self.hard.term));
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_durable(voter, Body::Vote { last });
        }
    }

    /// Votes are withheld while a leader is heard, so that its lease holds. A restarted instance can't
    /// know whether it just heard one, and waits as if it had.
    fn leader_is_heard(&self) -> bool {
        self.now < self.heard + self.settings.election || matches!(self.role, Role::Leader(_))
    }

    fn may_vote(&self, next: Term, last: Position) -> bool {
        !self.is_empty()
            && last >= self.log.last()
            && last.index >= self.held
            && self.rejoin_allows(last, next)
    }

    pub(super) fn pre_vote(&mut self, sender: Voter, next: Term, last: Position) {
        let granted = next > self.hard.term && !self.leader_is_heard() && self.may_vote(next, last);
        self.send(sender, Body::PreVoteReply { next, granted });
    }

    pub(super) fn pre_vote_reply(&mut self, sender: Voter, next: Term, granted: bool) {
        let known = self.config.1.contains(&sender);
        let Role::PreCandidate { next: own, granted: votes } = &mut self.role else { return };
        if !granted || *own != next || !known {
            return;
        }
        votes.insert(sender);
        if votes.len() >= self.majority() {
            self.start_election();
        }
    }

    pub(super) fn vote(&mut self, sender: Voter, term: Term, last: Position) {
        if term < self.hard.term || self.leader_is_heard() {
            return;
        }
        if term > self.hard.term {
            self.become_follower(term);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == sender);
        let granted = free && self.may_vote(term, last);
        if granted && self.hard.vote.is_none() {
            self.set_hard(HardState { term, vote: Some(sender) });
            self.deadline = self.now + self.random_election();
        }
        let starts = self.starts();
        self.send_durable(sender, Body::VoteReply { granted, starts });
    }

    pub(super) fn vote_reply(&mut self, sender: Voter, incarnation: Incarnation, granted: bool) {
        let term = self.hard.term;
        let restarted = self.marks.get(&sender).is_some_and(|mark| mark.incarnation > incarnation);
        let known = self.config.1.contains(&sender) && !restarted;
        let Role::Candidate { granted: votes, asked } = &mut self.role else { return };
        if !granted || !known {
            return;
        }
        votes.insert(sender, incarnation);
        let (count, asked) = (votes.len(), *asked);
        let mark = Mark { term, voted: true, ..Mark::default() };
        self.marks_changed |= self.marks.entry(sender).or_default().merge(&mark);
        if count >= self.majority() {
            self.become_leader(asked);
        }
    }
}
