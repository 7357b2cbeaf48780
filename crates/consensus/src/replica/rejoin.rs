//! The check of a restarted instance against what its peers know, which finds older copies of a data
//! folder.
//!
//! A restarted instance asks the other voters before it takes part. An entry that it confirmed before
//! is known to a majority, so enough responses include an instance that holds the entry or the vote. It
//! then votes only in later terms, and only for logs at least as long as the longest response.

use super::{LogReplica, Role};
use crate::durable::HardState;
use crate::message::{Incarnations, MessageBody, Position, PromiseMark};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, InstanceId, Revision, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

pub(super) struct RejoinResponse {
    pub(super) sender: Voter,
    pub(super) term: Term,
    pub(super) last: Position,
    pub(super) mark: Option<PromiseMark>,
    pub(super) config: (Revision, BTreeSet<Voter>),
}

pub(super) struct RejoinState {
    started: Instant,
    is_asking: bool,
    responses: BTreeMap<Voter, RejoinResponse>,
    /// No new vote is given in this term or an older one.
    voted_through: Term,
    min_log_end: Option<Position>,
    is_stale: bool,
}

impl RejoinState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started: now,
            is_asking: true,
            responses: BTreeMap::new(),
            voted_through: Term(0),
            min_log_end: None,
            is_stale: false,
        }
    }

    pub(super) fn is_asking(&self) -> bool {
        self.is_asking
    }

    pub(super) fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Whether a vote for a log in a term is allowed.
    fn allows_vote(&self, last: Position, term: Term, waited: bool) -> bool {
        let reaches_min_end =
            waited || self.min_log_end.is_none_or(|min_log_end| last >= min_log_end);
        !self.is_asking && !self.is_stale && term > self.voted_through && reaches_min_end
    }

    /// Asks again. A floor can come from an entry that was never accepted and that its only holder has
    /// lost since.
    pub(super) fn ask_peers_again(&mut self) {
        self.is_asking = true;
    }

    /// Takes in a position that equals a current leader's log.
    pub(super) fn confirm_match(&mut self, position: Position) {
        if self.min_log_end.is_none_or(|min_log_end| position >= min_log_end) {
            self.min_log_end = None;
            self.is_stale = false;
        }
    }
}

impl LogReplica {
    /// Whether a vote for a log in a term is allowed after the restart of this instance.
    pub(super) fn rejoin_allows(&self, last: Position, term: Term) -> bool {
        self.rejoin.allows_vote(last, term, self.has_waited_enough())
    }

    /// Whether this instance goes on without the voters that haven't responded. What they know beyond the
    /// others was accepted only if entries hold it, so most entries have to report first.
    fn has_waited_enough(&self) -> bool {
        let since_start = self.now - self.rejoin.started;
        let in_time = self.settings.rejoin_grace.is_some_and(|grace| since_start >= grace);
        let reported = 2 * self.reported_entries.len() > self.settings.entry_count
            || self.settings.entry_count == 0;
        in_time && (reported || since_start >= self.settings.entry_report_timeout)
    }

    /// Takes in what an entry holds. A leader without accepted log entries would revert them.
    pub(super) fn handle_entry_report(&mut self, holder: InstanceId, revision: Revision) {
        self.reported_entries.insert(holder);
        self.max_reported_revision = self.max_reported_revision.max(revision);
        if matches!(self.role, Role::Leader(_))
            && self.log.last().index < self.max_reported_revision
        {
            log::error!(
                "{}: {holder} holds {revision}, beyond this log",
                self.settings.me.instance
            );
            self.step_down();
        }
    }

    pub(super) fn send_rejoin_requests(&mut self) {
        for instance in self.rejoin_peers() {
            self.send_to_any_folder(instance, MessageBody::RejoinAsk);
        }
        self.try_end_rejoin();
    }

    fn rejoin_peers(&self) -> BTreeSet<InstanceId> {
        let me = self.settings.me.instance;
        let voters = self.config.1.iter().map(|voter| voter.instance);
        let members = self.settings.members.iter().copied();
        voters.chain(members).filter(|instance| *instance != me).collect()
    }

    pub(super) fn handle_rejoin_ask(&mut self, sender: Voter, asked: Incarnation) {
        self.merge_incarnations(Incarnations::from([(sender, asked)]));
        let mark = self.marks.get(&sender).copied();
        // The log of an older copy sets no floor: it can't be elected, and what was accepted from it is
        // on other disks too.
        let last = if self.rejoin.is_stale { Position::default() } else { self.log.last() };
        let config = self.config.clone();
        self.send_after_sync(sender, MessageBody::RejoinReply { asked, last, mark, config });
    }

    /// Forgets what restarted voters promised before. The start numbers are synced before the response,
    /// so that a restart of this instance does not lose them.
    pub(super) fn merge_incarnations(&mut self, starts: Incarnations) {
        for (voter, incarnation) in starts {
            self.reset_progress(voter, incarnation);
            if !self.config.1.contains(&voter) {
                continue;
            }
            let mark = PromiseMark { incarnation, ..PromiseMark::default() };
            if !self.marks.entry(voter).or_default().merge(&mark) {
                continue;
            }
            self.marks_changed = true;
            self.batch.marks = Some(self.marks.clone());
            if let Role::Candidate { granted, .. } = &mut self.role {
                granted.retain(|granter, at| *granter != voter || *at >= incarnation);
            }
        }
    }

    pub(super) fn known_incarnations(&self) -> Incarnations {
        let started = |(voter, mark): (&Voter, &PromiseMark)| (*voter, mark.incarnation);
        self.marks.iter().map(started).collect()
    }

    pub(super) fn handle_rejoin_reply(&mut self, asked: Incarnation, answer: RejoinResponse) {
        if asked != self.settings.incarnation || !self.rejoin.is_asking {
            return;
        }
        self.rejoin.responses.insert(answer.sender, answer);
        self.try_end_rejoin();
    }

    /// Responses count by the newest set of voters that is known: in an older one, every other voter may
    /// have been replaced.
    fn try_end_rejoin(&mut self) {
        let responses = self.rejoin.responses.values();
        let configs = responses.map(|answer| &answer.config).chain([&self.config]);
        let newest = configs.max_by_key(|config| config.0).map(|config| config.1.clone());
        let voters = newest.unwrap_or_default();
        let counts = |voter: &&Voter| voters.is_empty() || voters.contains(voter);
        let count = self.rejoin.responses.keys().filter(counts).count();
        let size = if voters.is_empty() { self.settings.members.len() } else { voters.len() };
        let size = size.max(1);
        let majority = size / 2 + 1;
        let all = (size - majority + 1).min(size - 1);
        let needed = if self.has_waited_enough() { majority - 1 } else { all };
        if count >= needed {
            self.end_rejoin();
        }
    }

    fn end_rejoin(&mut self) {
        let responses = std::mem::take(&mut self.rejoin.responses);
        let term = responses.values().map(|answer| answer.term).max().unwrap_or_default();
        let last = responses.values().map(|answer| answer.last).max().unwrap_or_default();
        let mut mark = PromiseMark::default();
        for known in responses.values().filter_map(|answer| answer.mark) {
            mark.merge(&known);
        }
        self.rejoin.is_asking = false;
        self.rejoin.is_stale |= self.contradicts_mark(&mark);
        self.rejoin.voted_through = self.rejoin.voted_through.max(term).max(mark.term);
        self.rejoin.min_log_end = Some(last.max(mark.confirmed));
        if self.rejoin.voted_through > self.hard_state.term {
            self.set_hard_state(HardState { term: self.rejoin.voted_through, vote: None });
        }
        self.role = Role::Follower;
        self.next_tick_at = self.now + self.random_election_timeout();
        if self.rejoin.is_stale {
            log::warn!("{}: older data folder, returning as learner", self.settings.me.instance);
        }
    }

    /// Whether this folder contradicts what its instance is known to have promised from it.
    fn contradicts_mark(&self, mark: &PromiseMark) -> bool {
        if mark.term != self.hard_state.term {
            return mark.term > self.hard_state.term;
        }
        let held = mark.confirmed.index <= self.log.base().index
            || self.log.term_at(mark.confirmed.index) == Some(mark.confirmed.term);
        let confirmed = mark.confirmed.index == Revision(0) || held;
        !confirmed || (mark.voted && self.hard_state.vote.is_none())
    }
}
