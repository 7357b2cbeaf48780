//! Forming the first set of voters, learners, and changes of voters.

use super::leader::{Leader, Progress};
use super::{Action, LogReplica, RequestId, Role};
use crate::durable::HardState;
use crate::message::{Body, LogEntry};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Outcome, Voter};
use comfreyhold_types::keys::{InstanceId, Revision, Term};
use std::collections::BTreeSet;

/// Most learners that a leader follows, so that foreign instances can't exhaust its memory.
const MAX_LEARNERS: usize = 16;

/// Term of the entry that forms the first set of voters.
const FORMING_TERM: Term = Term(1);

/// A replacement in progress. The lost voter is removed first and the new one added after that is
/// accepted, because exchanging both at once would allow two majorities that do not overlap.
pub(super) struct Replacement {
    pub(super) request: RequestId,
    old: Voter,
    new: Voter,
}

impl LogReplica {
    pub(super) fn learner_tick(&mut self) {
        self.deadline = self.now + self.settings.heartbeat;
        if self.now < self.heard + self.settings.election && self.leader.is_some() {
            return;
        }
        self.leader = None;
        let empty = self.is_empty();
        for instance in self.other_members() {
            self.send_any(instance, Body::Hello { empty });
        }
        self.try_form();
    }

    fn other_members(&self) -> Vec<InstanceId> {
        let me = self.settings.me.instance;
        self.settings.members.iter().copied().filter(|member| *member != me).collect()
    }

    pub(super) fn greeting(&mut self, sender: Voter, empty: bool) {
        if empty {
            self.greeted.insert(sender.instance, sender);
        } else {
            self.greeted.remove(&sender.instance);
        }
        if empty && self.config.1.contains(&sender) {
            self.send_form(sender);
        }
        let last = self.log.last().index;
        let voter = self.config.1.contains(&sender);
        let Role::Leader(leader) = &mut self.role else { return };
        if voter || leader.progress.contains_key(&sender) {
            return;
        }
        leader
            .progress
            .retain(|known, _| known.instance != sender.instance || self.config.1.contains(known));
        if leader.progress.len() < self.config.1.len() + MAX_LEARNERS {
            leader.progress.insert(sender, Progress::new(last));
            self.replicate(sender, true);
        }
    }

    /// The member with the lowest number forms the first set, once every other member has reported an
    /// empty log.
    fn try_form(&mut self) {
        let me = self.settings.me;
        let first = self.settings.members.first() == Some(&me.instance);
        let fresh = self.is_empty() && self.hard.term == Term(0);
        let others = self.other_members();
        let complete = others.iter().all(|member| self.greeted.contains_key(member));
        if !self.settings.may_form_voters || !first || !fresh || !complete {
            return;
        }
        let greeted = others.iter().filter_map(|member| self.greeted.get(member).copied());
        let voters: BTreeSet<Voter> = greeted.chain([me]).collect();
        self.install_form(voters);
        for voter in self.other_voters() {
            self.send_form(voter);
        }
    }

    fn send_form(&mut self, to: Voter) {
        let Some(LogEntry { command: Command::Voters(voters), term: FORMING_TERM }) =
            self.log.get(Revision(1)).cloned()
        else {
            return;
        };
        self.send_durable(to, Body::Form { voters });
    }

    pub(super) fn form_from(&mut self, sender: Voter, voters: BTreeSet<Voter>) {
        let fresh = self.is_empty() && self.hard.term <= FORMING_TERM;
        let expected = voters.contains(&self.settings.me) && voters.contains(&sender);
        if self.settings.may_form_voters && fresh && expected {
            self.install_form(voters);
        }
    }

    fn install_form(&mut self, voters: BTreeSet<Voter>) {
        self.set_hard(HardState { term: FORMING_TERM, vote: None });
        self.push_entry(LogEntry { term: FORMING_TERM, command: Command::Voters(voters) });
        self.refresh_config();
        self.deadline = self.now + self.random_election();
    }

    /// Adds progress for new voters, and notes removed ones.
    pub(super) fn track_voters(&mut self, voters: &BTreeSet<Voter>) {
        let last = self.log.last().index;
        let removed: Vec<Voter> = self.config.1.difference(voters).copied().collect();
        let me = self.settings.me;
        let Role::Leader(leader) = &mut self.role else { return };
        for voter in voters.iter().filter(|voter| **voter != me) {
            leader.progress.entry(*voter).or_insert_with(|| Progress::new(last));
            leader.leaving.remove(voter);
        }
        leader.leaving.extend(removed);
    }

    /// Follow-up work of a leader when its commit index has risen.
    pub(super) fn after_commit(&mut self) {
        if self.config.0 <= self.commit {
            if !self.is_voter() {
                return self.step_down();
            }
            self.drop_removed();
        }
        self.advance_replacement();
    }

    /// A removed voter stops being followed; if its process still runs, it returns as a learner.
    fn drop_removed(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for voter in std::mem::take(&mut leader.leaving) {
            leader.progress.remove(&voter);
        }
    }

    pub(super) fn check_voters(
        &self,
        leader: &Leader,
        voters: &BTreeSet<Voter>,
    ) -> Result<(), (ResultCode, &'static str)> {
        let refused = |reason| Err((ResultCode::MemberChangeRefused, reason));
        if leader.replacement.is_some() {
            return refused("a replacement is in progress");
        }
        if self.config.0 > self.commit || self.commit < leader.first {
            return refused("an earlier change of voters is not accepted yet");
        }
        let changed: Vec<&Voter> = self.config.1.symmetric_difference(voters).collect();
        let [changed] = changed[..] else {
            return refused("exactly one voter can be added or removed at a time");
        };
        if voters.is_empty() {
            return refused("the last voter can't be removed");
        }
        if voters.contains(changed) { self.check_learner(leader, *changed) } else { Ok(()) }
    }

    fn check_learner(&self, leader: &Leader, new: Voter) -> Result<(), (ResultCode, &'static str)> {
        let refused = |reason| Err((ResultCode::MemberChangeRefused, reason));
        let Some(progress) = leader.progress.get(&new) else {
            return refused("the new voter has not announced itself as a learner");
        };
        let answers = progress.heard.is_some_and(|heard| self.now < heard + self.settings.election);
        if !answers || progress.matched < self.commit {
            return refused("the new voter has not caught up");
        }
        Ok(())
    }

    fn has_other_disk(&self, new: Voter, old: Option<Voter>) -> bool {
        let mut others = self.config.1.iter().filter(|voter| Some(**voter) != old);
        others.any(|voter| voter.instance == new.instance && *voter != new)
    }

    pub(super) fn replace(&mut self, request: RequestId, old: Voter, new: Voter) {
        if let Err((code, reason)) = self.check_replacement(old, new) {
            return self.refuse(request, code, reason);
        }
        let (has_old, has_new) = (self.config.1.contains(&old), self.config.1.contains(&new));
        if has_new && !has_old {
            let revision = self.state.revision;
            let outcome = Outcome::Duplicate(revision);
            return self.out.push(Action::Applied { request, revision, outcome });
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.replacement = Some(Replacement { request, old, new });
        }
        self.advance_replacement();
    }

    fn check_replacement(&self, old: Voter, new: Voter) -> Result<(), (ResultCode, &'static str)> {
        let refused = |reason| Err((ResultCode::MemberChangeRefused, reason));
        let leader = self.check_leader()?;
        let (has_old, has_new) = (self.config.1.contains(&old), self.config.1.contains(&new));
        if leader.replacement.is_some() {
            return refused("another replacement is in progress");
        }
        if self.config.0 > self.commit || self.commit < leader.first {
            return refused("an earlier change of voters is not accepted yet");
        }
        if has_new && !has_old {
            return Ok(());
        }
        if has_new || old == self.settings.me || self.has_other_disk(new, Some(old)) {
            return refused("the new voter is in place already, or the old one is the leader");
        }
        if has_old && self.config.1.len() == 1 {
            return refused("the last voter can't be removed");
        }
        self.check_learner(leader, new)
    }

    /// Proposes the next step of a replacement once the last one is accepted.
    fn advance_replacement(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if self.config.0 > self.commit {
            return;
        }
        let Some(replacement) = leader.replacement.take() else { return };
        let mut voters = self.config.1.clone();
        if voters.remove(&replacement.old) {
            leader.replacement = Some(replacement);
            return self.accept_proposal(None, Command::Voters(voters));
        }
        voters.insert(replacement.new);
        self.accept_proposal(Some(replacement.request), Command::Voters(voters));
    }
}
