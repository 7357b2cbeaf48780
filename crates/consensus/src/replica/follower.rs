//! Follower side of replication: appending a leader's entries and applying committed ones.

use super::{Action, LogReplica, Role};
use crate::message::{LogEntry, MessageBody, Position};
use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Revision, Term};

impl LogReplica {
    /// Records the sender as the leader of the current term. Returns false when the sender's term is older,
    /// and replies with the current one.
    pub(super) fn accept_leader(&mut self, sender: Voter, term: Term, sent_us: u64) -> bool {
        if term < self.hard_state.term {
            let last = self.log.last().index;
            self.reply_append(sender, None, last, sent_us);
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.become_follower(term);
        }
        self.leader = Some(sender.instance);
        self.leader_last_seen = self.now;
        self.next_tick_at = self.now + self.random_election_timeout();
        true
    }

    pub(super) fn handle_append(
        &mut self,
        sender: Voter,
        prev: Position,
        entries: Vec<LogEntry>,
        commit: Revision,
        sent_us: u64,
    ) {
        if !self.log_matches(prev) {
            let last = self.continue_after(prev);
            return self.reply_append(sender, None, last, sent_us);
        }
        let matched = Revision(prev.index.0 + entries.len() as u64);
        self.merge_entries(prev.index, entries);
        if let Some(term) = self.log.term_at(matched) {
            self.rejoin.confirm_match(Position { term, index: matched });
        }
        let last = self.log.last().index;
        self.reply_append(sender, Some(matched), last, sent_us);
        self.commit_to(commit.min(matched));
    }

    pub(super) fn reply_append(
        &mut self,
        to: Voter,
        matched: Option<Revision>,
        last: Revision,
        sent_us: u64,
    ) {
        let starts = self.known_incarnations();
        self.send_after_sync(to, MessageBody::AppendReply { matched, last, starts, sent_us });
    }

    /// Whether the local log holds the entry at `prev`. Entries up to the base are committed, so a leader's log
    /// can't differ there.
    fn log_matches(&self, prev: Position) -> bool {
        prev.index <= self.log.base().index || self.log.term_at(prev.index) == Some(prev.term)
    }

    /// Index after which the leader should continue. It skips the whole conflicting term, to save round
    /// trips.
    fn continue_after(&self, prev: Position) -> Revision {
        let last = self.log.last().index;
        if prev.index > last {
            return last;
        }
        let conflicting_term = self.log.term_at(prev.index);
        let mut index = Revision(prev.index.0 - 1);
        while index > self.commit && self.log.term_at(index) == conflicting_term {
            index = Revision(index.0 - 1);
        }
        index
    }

    fn merge_entries(&mut self, prev: Revision, entries: Vec<LogEntry>) {
        let mut config_changed = false;
        for (offset, entry) in entries.into_iter().enumerate() {
            let index = Revision(prev.0 + 1 + offset as u64);
            if index <= self.log.base().index {
                continue;
            }
            match self.log.term_at(index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.truncate_log(index);
                    config_changed = true;
                }
                None => {}
            }
            config_changed |= matches!(entry.command, Command::Voters(_));
            self.append_entry(entry);
        }
        if config_changed {
            self.reload_config();
        }
    }

    /// Raises the commit index and applies the newly committed entries.
    pub(super) fn commit_to(&mut self, commit: Revision) {
        if commit <= self.commit {
            return;
        }
        self.commit = commit;
        while self.state.revision < commit {
            let index = self.state.revision.next();
            let Some(entry) = self.log.get(index).cloned() else { break };
            self.apply_entry(index, &entry.command);
        }
        self.actions.push(Action::Advanced(self.state.revision));
        self.take_snapshot_if_due();
    }

    fn apply_entry(&mut self, index: Revision, command: &Command) {
        let outcome = self.state.apply(index, command);
        if let Command::Voters(voters) = command {
            self.marks.retain(|voter, _| voters.contains(voter));
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(request) = leader.pending_requests.remove(&index) {
            self.actions.push(Action::Applied { request, revision: index, outcome });
        }
    }
}
