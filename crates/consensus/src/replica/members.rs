//! Changes of membership: the first set of voters, learners, and changes of voters.

use super::leader::{FollowerProgress, LeaderState};
use super::{Action, LogReplica, RequestId, Role};
use crate::durable::HardState;
use crate::message::{LogEntry, MessageBody};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Outcome, Voter};
use comfreyhold_types::keys::{InstanceId, Revision, Term};
use std::collections::BTreeSet;

/// Maximum number of learners that a leader replicates to; later ones are ignored. It bounds the memory that
/// unknown instances can use.
const MAX_TRACKED_LEARNERS: usize = 16;

/// Term of the entry that forms the first set of voters.
const FORMING_TERM: Term = Term(1);

/// A replacement in progress. The old voter is removed first, and the new one is added once the removal is
/// committed: changing both at once would allow two majorities that do not overlap.
pub(super) struct Replacement {
    pub(super) request: RequestId,
    old: Voter,
    new: Voter,
}

impl LogReplica {
    pub(super) fn learner_tick(&mut self) {
        self.next_tick_at = self.now + self.settings.heartbeat_interval;
        if self.now < self.leader_last_seen + self.settings.election_timeout
            && self.leader.is_some()
        {
            return;
        }
        self.leader = None;
        let empty = self.has_empty_log();
        for instance in self.other_members() {
            self.send_to_any_folder(instance, MessageBody::Hello { empty });
        }
        self.try_form_voters();
    }

    fn other_members(&self) -> Vec<InstanceId> {
        let me = self.settings.me.instance;
        self.settings.members.iter().copied().filter(|member| *member != me).collect()
    }

    pub(super) fn handle_hello(&mut self, sender: Voter, empty: bool) {
        if empty {
            self.empty_members.insert(sender.instance, sender);
        } else {
            self.empty_members.remove(&sender.instance);
        }
        if empty && self.config.1.contains(&sender) {
            self.send_form(sender);
        }
        let last = self.log.last().index;
        let is_voter = self.config.1.contains(&sender);
        let Role::Leader(leader) = &mut self.role else { return };
        if is_voter || leader.progress.contains_key(&sender) {
            return;
        }
        leader
            .progress
            .retain(|known, _| known.instance != sender.instance || self.config.1.contains(known));
        if leader.progress.len() < self.config.1.len() + MAX_TRACKED_LEARNERS {
            leader.progress.insert(sender, FollowerProgress::new(last));
            self.replicate(sender, true);
        }
    }

    /// Forms the first set of voters from all members. Only the member with the lowest number does so, once
    /// every other member has reported an empty log.
    fn try_form_voters(&mut self) {
        let me = self.settings.me;
        let is_first = self.settings.members.first() == Some(&me.instance);
        let is_fresh = self.has_empty_log() && self.hard_state.term == Term(0);
        let others = self.other_members();
        let all_empty = others.iter().all(|member| self.empty_members.contains_key(member));
        if !self.settings.may_form_voters || !is_first || !is_fresh || !all_empty {
            return;
        }
        let other_voters =
            others.iter().filter_map(|member| self.empty_members.get(member).copied());
        let voters: BTreeSet<Voter> = other_voters.chain([me]).collect();
        self.install_first_voters(voters);
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
        self.send_after_sync(to, MessageBody::Form { voters });
    }

    pub(super) fn handle_form(&mut self, sender: Voter, voters: BTreeSet<Voter>) {
        let is_fresh = self.has_empty_log() && self.hard_state.term <= FORMING_TERM;
        let is_included = voters.contains(&self.settings.me) && voters.contains(&sender);
        if self.settings.may_form_voters && is_fresh && is_included {
            self.install_first_voters(voters);
        }
    }

    fn install_first_voters(&mut self, voters: BTreeSet<Voter>) {
        self.set_hard_state(HardState { term: FORMING_TERM, vote: None });
        self.append_entry(LogEntry { term: FORMING_TERM, command: Command::Voters(voters) });
        self.reload_config();
        self.next_tick_at = self.now + self.random_election_timeout();
    }

    /// Starts to track the progress of added voters, and records removed ones.
    pub(super) fn track_changed_voters(&mut self, voters: &BTreeSet<Voter>) {
        let last = self.log.last().index;
        let removed: Vec<Voter> = self.config.1.difference(voters).copied().collect();
        let me = self.settings.me;
        let Role::Leader(leader) = &mut self.role else { return };
        for voter in voters.iter().filter(|voter| **voter != me) {
            leader.progress.entry(*voter).or_insert_with(|| FollowerProgress::new(last));
            leader.removed_voters.remove(voter);
        }
        leader.removed_voters.extend(removed);
    }

    /// Continues membership changes of a leader after its commit index has risen. A leader that is no longer a
    /// voter steps down.
    pub(super) fn handle_commit_advance(&mut self) {
        if self.config.0 <= self.commit {
            if !self.is_voter() {
                return self.step_down();
            }
            self.drop_removed_voters();
        }
        self.advance_replacement();
    }

    /// Stops replicating to removed voters. One whose process still runs returns as a learner.
    fn drop_removed_voters(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for voter in std::mem::take(&mut leader.removed_voters) {
            leader.progress.remove(&voter);
        }
    }

    pub(super) fn check_voter_change(
        &self,
        leader: &LeaderState,
        voters: &BTreeSet<Voter>,
    ) -> Result<(), (ResultCode, &'static str)> {
        let refuse = |reason| Err((ResultCode::MemberChangeRefused, reason));
        if leader.replacement.is_some() {
            return refuse("a replacement is in progress");
        }
        if self.config.0 > self.commit || self.commit < leader.term_start {
            return refuse("an earlier change of voters is not accepted yet");
        }
        let differences: Vec<&Voter> = self.config.1.symmetric_difference(voters).collect();
        let [changed] = differences[..] else {
            return refuse("exactly one voter can be added or removed at a time");
        };
        if voters.is_empty() {
            return refuse("the last voter can't be removed");
        }
        if voters.contains(changed) { self.check_learner(leader, *changed) } else { Ok(()) }
    }

    fn check_learner(
        &self,
        leader: &LeaderState,
        new: Voter,
    ) -> Result<(), (ResultCode, &'static str)> {
        let refuse = |reason| Err((ResultCode::MemberChangeRefused, reason));
        let Some(progress) = leader.progress.get(&new) else {
            return refuse("the new voter has not announced itself as a learner");
        };
        let is_live = progress
            .last_acked_send
            .is_some_and(|sent| self.now < sent + self.settings.election_timeout);
        if !is_live || progress.match_index < self.commit {
            return refuse("the new voter has not caught up");
        }
        Ok(())
    }

    /// Whether another folder of the same instance already votes.
    fn has_other_folder(&self, new: Voter, old: Option<Voter>) -> bool {
        let mut others = self.config.1.iter().filter(|voter| Some(**voter) != old);
        others.any(|voter| voter.instance == new.instance && *voter != new)
    }

    pub(super) fn handle_replacement(&mut self, request: RequestId, old: Voter, new: Voter) {
        if let Err((code, reason)) = self.check_replacement(old, new) {
            return self.refuse_request(request, code, reason);
        }
        let (has_old, has_new) = (self.config.1.contains(&old), self.config.1.contains(&new));
        if has_new && !has_old {
            let revision = self.state.revision;
            let outcome = Outcome::Duplicate(revision);
            return self.actions.push(Action::Applied { request, revision, outcome });
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.replacement = Some(Replacement { request, old, new });
        }
        self.advance_replacement();
    }

    fn check_replacement(&self, old: Voter, new: Voter) -> Result<(), (ResultCode, &'static str)> {
        let refuse = |reason| Err((ResultCode::MemberChangeRefused, reason));
        let leader = self.check_leader()?;
        let (has_old, has_new) = (self.config.1.contains(&old), self.config.1.contains(&new));
        if leader.replacement.is_some() {
            return refuse("another replacement is in progress");
        }
        if self.config.0 > self.commit || self.commit < leader.term_start {
            return refuse("an earlier change of voters is not accepted yet");
        }
        if has_new && !has_old {
            return Ok(());
        }
        if has_new || old == self.settings.me || self.has_other_folder(new, Some(old)) {
            return refuse("the new voter is in place already, or the old one is the leader");
        }
        if has_old && self.config.1.len() == 1 {
            return refuse("the last voter can't be removed");
        }
        self.check_learner(leader, new)
    }

    /// Proposes the next step of a replacement once the previous one is committed.
    fn advance_replacement(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if self.config.0 > self.commit {
            return;
        }
        let Some(replacement) = leader.replacement.take() else { return };
        let mut voters = self.config.1.clone();
        if voters.remove(&replacement.old) {
            leader.replacement = Some(replacement);
            return self.append_proposal(None, Command::Voters(voters));
        }
        voters.insert(replacement.new);
        self.append_proposal(Some(replacement.request), Command::Voters(voters));
    }
}
