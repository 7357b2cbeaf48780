//! Following a leader: taking in entries and applying accepted ones.

use super::{Action, LogReplica, Role};
use crate::message::{Body, LogEntry, Position};
use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Revision, Term};

impl LogReplica {
    /// Recognises the leader of the current term. Returns false, and tells the sender the current term,
    /// when its own is older.
    pub(super) fn follow(&mut self, sender: Voter, term: Term, sent_us: u64) -> bool {
        if term < self.hard.term {
            let last = self.log.last().index;
            self.reply_append(sender, None, last, sent_us);
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.become_follower(term);
        }
        self.leader = Some(sender.instance);
        self.heard = self.now;
        self.deadline = self.now + self.random_election();
        true
    }

    pub(super) fn append(
        &mut self,
        sender: Voter,
        prev: Position,
        entries: Vec<LogEntry>,
        commit: Revision,
        sent_us: u64,
    ) {
        if !self.matches(prev) {
            let last = self.hint(prev);
            return self.reply_append(sender, None, last, sent_us);
        }
        let matched = Revision(prev.index.0 + entries.len() as u64);
        self.take_entries(prev.index, entries);
        if let Some(term) = self.log.term_at(matched) {
            self.rejoin.matched(Position { term, index: matched });
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
        let starts = self.starts();
        self.send_durable(to, Body::AppendReply { matched, last, starts, sent_us });
    }

    /// Entries up to the base are accepted, so a leader's log can't differ there.
    fn matches(&self, prev: Position) -> bool {
        prev.index <= self.log.base().index || self.log.term_at(prev.index) == Some(prev.term)
    }

    /// Where the leader should continue: before the whole conflicting term, to save round trips.
    fn hint(&self, prev: Position) -> Revision {
        let last = self.log.last().index;
        if prev.index > last {
            return last;
        }
        let conflicting = self.log.term_at(prev.index);
        let mut index = Revision(prev.index.0 - 1);
        while index > self.commit && self.log.term_at(index) == conflicting {
            index = Revision(index.0 - 1);
        }
        index
    }

    fn take_entries(&mut self, prev: Revision, entries: Vec<LogEntry>) {
        let mut config_changed = false;
        for (offset, entry) in entries.into_iter().enumerate() {
            let index = Revision(prev.0 + 1 + offset as u64);
            if index <= self.log.base().index {
                continue;
            }
            match self.log.term_at(index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.truncate(index);
                    config_changed = true;
                }
                None => {}
            }
            config_changed |= matches!(entry.command, Command::Voters(_));
            self.push_entry(entry);
        }
        if config_changed {
            self.refresh_config();
        }
    }

    /// Raises the commit index and applies what it newly covers.
    pub(super) fn commit_to(&mut self, commit: Revision) {
        if commit <= self.commit {
            return;
        }
        self.commit = commit;
        while self.state.revision < commit {
            let index = self.state.revision.next();
            let Some(entry) = self.log.get(index).cloned() else { break };
            self.apply(index, &entry.command);
        }
        self.out.push(Action::Advanced(self.state.revision));
        self.maybe_snapshot();
    }

    fn apply(&mut self, index: Revision, command: &Command) {
        let outcome = self.state.apply(index, command);
        if let Command::Voters(voters) = command {
            self.marks.retain(|voter, _| voters.contains(voter));
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(request) = leader.pending.remove(&index) {
            self.out.push(Action::Applied { request, revision: index, outcome });
        }
    }
}
