//! Rejoin of a restarted instance, which detects that its data folder is an older copy.
//!
//! A restarted instance asks the other voters what they know about it before it votes or confirms entries.
//! An entry that it confirmed earlier is known to a majority, so enough responses include an instance that
//! holds the entry or knows the vote. The restarted instance then votes only in later terms, and only for
//! logs that end no earlier than the furthest log end in the responses.

use super::{LogReplica, Role};
use crate::durable::HardState;
use crate::message::{Incarnations, MessageBody, Position, PromiseMark};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, InstanceId, Revision, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Response of a peer to `RejoinAsk`.
pub(super) struct RejoinResponse {
    pub(super) sender: Voter,
    pub(super) term: Term,
    pub(super) last: Position,
    pub(super) mark: Option<PromiseMark>,
    pub(super) config: (Revision, BTreeSet<Voter>),
}

/// State of the rejoin since the start of this process.
pub(super) struct RejoinState {
    started: Instant,
    /// Whether responses of peers are awaited; the instance does not take part until then.
    is_asking: bool,
    responses: BTreeMap<Voter, RejoinResponse>,
    /// No new vote is given in this term or an older one.
    voted_through: Term,
    /// Log end that a candidate must reach to get a vote, from the responses of peers; `None` for any.
    min_log_end: Option<Position>,
    /// Whether the data folder was found to be an older copy.
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

    /// Whether a vote for a log that ends at `last` is allowed in a term. `ignore_log_end` allows logs that
    /// end before `min_log_end`.
    fn allows_vote(&self, last: Position, term: Term, ignore_log_end: bool) -> bool {
        let is_long_enough =
            ignore_log_end || self.min_log_end.is_none_or(|min_log_end| last >= min_log_end);
        !self.is_asking && !self.is_stale && term > self.voted_through && is_long_enough
    }

    /// Restarts the rejoin. `min_log_end` can come from an entry that was never committed and that the only
    /// instance that held it has lost since.
    pub(super) fn ask_peers_again(&mut self) {
        self.is_asking = true;
    }

    /// Records that the local log equals a current leader's log up to a position.
    pub(super) fn confirm_match(&mut self, position: Position) {
        if self.min_log_end.is_none_or(|min_log_end| position >= min_log_end) {
            self.min_log_end = None;
            self.is_stale = false;
        }
    }
}

impl LogReplica {
    /// Whether the rejoin allows a vote for a log that ends at `last` in a term.
    pub(super) fn rejoin_allows(&self, last: Position, term: Term) -> bool {
        self.rejoin.allows_vote(last, term, self.has_waited_enough())
    }

    /// Whether this instance continues without the voters that have not responded. A log entry that only those
    /// voters know was committed only if entries hold its revision, so most entries have to report first.
    fn has_waited_enough(&self) -> bool {
        let since_start = self.now - self.rejoin.started;
        let grace_is_over = self.settings.rejoin_grace.is_some_and(|grace| since_start >= grace);
        let entries_reported = 2 * self.reported_entries.len() > self.settings.entry_count
            || self.settings.entry_count == 0;
        grace_is_over && (entries_reported || since_start >= self.settings.entry_report_timeout)
    }

    /// Records the revision that an entry holds. A leader whose log ends before it steps down, because it lacks
    /// committed entries and would revert them.
    pub(super) fn handle_entry_report(&mut self, entry: InstanceId, revision: Revision) {
        self.reported_entries.insert(entry);
        self.max_reported_revision = self.max_reported_revision.max(revision);
        if matches!(self.role, Role::Leader(_))
            && self.log.last().index < self.max_reported_revision
        {
            log::error!(
                "{}: stepping down: {entry} holds revision {revision}, which is beyond the local log",
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
        // The end of an older copy's log is not reported as a minimum: an older copy can't be elected, and
        // committed entries of its log are on other disks too.
        let last = if self.rejoin.is_stale { Position::default() } else { self.log.last() };
        let config = self.config.clone();
        self.send_after_sync(sender, MessageBody::RejoinReply { asked, last, mark, config });
    }

    /// Discards what restarted voters promised under lower incarnations. The incarnations are synced before
    /// the response, so that a restart of this instance does not lose them.
    pub(super) fn merge_incarnations(&mut self, incarnations: Incarnations) {
        for (voter, incarnation) in incarnations {
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
                granted.retain(|granter, under| *granter != voter || *under >= incarnation);
            }
        }
    }

    pub(super) fn known_incarnations(&self) -> Incarnations {
        let incarnation = |(voter, mark): (&Voter, &PromiseMark)| (*voter, mark.incarnation);
        self.marks.iter().map(incarnation).collect()
    }

    pub(super) fn handle_rejoin_reply(&mut self, asked: Incarnation, response: RejoinResponse) {
        if asked != self.settings.incarnation || !self.rejoin.is_asking {
            return;
        }
        self.rejoin.responses.insert(response.sender, response);
        self.try_end_rejoin();
    }

    /// Ends the rejoin once enough voters have responded. Voters are counted by the newest set that is known:
    /// in an older one, every other voter may have been replaced.
    fn try_end_rejoin(&mut self) {
        let responses = self.rejoin.responses.values();
        let configs = responses.map(|response| &response.config).chain([&self.config]);
        let newest = configs.max_by_key(|config| config.0).map(|config| config.1.clone());
        let voters = newest.unwrap_or_default();
        let counts = |voter: &&Voter| voters.is_empty() || voters.contains(voter);
        let count = self.rejoin.responses.keys().filter(counts).count();
        let size = if voters.is_empty() { self.settings.members.len() } else { voters.len() };
        let size = size.max(1);
        let majority = size / 2 + 1;
        let detection_quorum = (size - majority + 1).min(size - 1);
        let needed = if self.has_waited_enough() { majority - 1 } else { detection_quorum };
        if count >= needed {
            self.end_rejoin();
        }
    }

    fn end_rejoin(&mut self) {
        let responses = std::mem::take(&mut self.rejoin.responses);
        let term = responses.values().map(|response| response.term).max().unwrap_or_default();
        let last = responses.values().map(|response| response.last).max().unwrap_or_default();
        let mut mark = PromiseMark::default();
        for known in responses.values().filter_map(|response| response.mark) {
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
            log::warn!(
                "{}: the data folder is an older copy; rejoining as a learner",
                self.settings.me.instance
            );
        }
    }

    /// Whether the data folder lacks something that this instance is known to have promised from it.
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
