//! The check of a restarted instance against what its peers know, which finds older copies of a data
//! folder.
//!
//! A restarted instance asks the other voters before it takes part. An entry that it confirmed before
//! is known to a majority, so enough responses include an instance that holds the entry or the vote. It
//! then votes only in later terms, and only for logs at least as long as the longest response.

use super::{LogReplica, Role};
use crate::durable::HardState;
use crate::message::{Body, Mark, Position, Starts};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, InstanceId, Revision, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

pub(super) struct Answer {
    pub(super) sender: Voter,
    pub(super) term: Term,
    pub(super) last: Position,
    pub(super) mark: Option<Mark>,
    pub(super) config: (Revision, BTreeSet<Voter>),
}

pub(super) struct Rejoin {
    started: Instant,
    asking: bool,
    answers: BTreeMap<Voter, Answer>,
    /// No new vote is given in this term or an older one.
    voted_through: Term,
    floor: Option<Position>,
    stale: bool,
}

impl Rejoin {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started: now,
            asking: true,
            answers: BTreeMap::new(),
            voted_through: Term(0),
            floor: None,
            stale: false,
        }
    }

    pub(super) fn asking(&self) -> bool {
        self.asking
    }

    pub(super) fn stale(&self) -> bool {
        self.stale
    }

    /// Whether a vote for a log in a term is allowed.
    fn allows(&self, last: Position, term: Term, waited: bool) -> bool {
        let above_floor = waited || self.floor.is_none_or(|floor| last >= floor);
        !self.asking && !self.stale && term > self.voted_through && above_floor
    }

    /// Asks again. A floor can come from an entry that was never accepted and that its only holder has
    /// lost since.
    pub(super) fn ask_again(&mut self) {
        self.asking = true;
    }

    /// Takes in a position that equals a current leader's log.
    pub(super) fn matched(&mut self, position: Position) {
        if self.floor.is_none_or(|floor| position >= floor) {
            self.floor = None;
            self.stale = false;
        }
    }
}

impl LogReplica {
    /// Whether a vote for a log in a term is allowed after the restart of this instance.
    pub(super) fn rejoin_allows(&self, last: Position, term: Term) -> bool {
        self.rejoin.allows(last, term, self.has_waited())
    }

    /// Whether this instance goes on without the voters that haven't responded. What they know beyond the
    /// others was accepted only if entries hold it, so most entries have to report first.
    fn has_waited(&self) -> bool {
        let since_start = self.now - self.rejoin.started;
        let in_time = self.settings.rejoin_grace.is_some_and(|grace| since_start >= grace);
        let reported =
            2 * self.holders.len() > self.settings.entry_count || self.settings.entry_count == 0;
        in_time && (reported || since_start >= self.settings.entry_report_timeout)
    }

    /// Takes in what an entry holds. A leader without accepted log entries would revert them.
    pub(super) fn note_holder(&mut self, holder: InstanceId, revision: Revision) {
        self.holders.insert(holder);
        self.held = self.held.max(revision);
        if matches!(self.role, Role::Leader(_)) && self.log.last().index < self.held {
            log::error!(
                "{}: {holder} holds {revision}, beyond this log",
                self.settings.me.instance
            );
            self.step_down();
        }
    }

    pub(super) fn ask_rejoin(&mut self) {
        for instance in self.rejoin_peers() {
            self.send_any(instance, Body::RejoinAsk);
        }
        self.check_rejoin();
    }

    fn rejoin_peers(&self) -> BTreeSet<InstanceId> {
        let me = self.settings.me.instance;
        let voters = self.config.1.iter().map(|voter| voter.instance);
        let members = self.settings.members.iter().copied();
        voters.chain(members).filter(|instance| *instance != me).collect()
    }

    pub(super) fn answer_rejoin(&mut self, sender: Voter, asked: Incarnation) {
        self.note_starts(Starts::from([(sender, asked)]));
        let mark = self.marks.get(&sender).copied();
        // The log of an older copy sets no floor: it can't be elected, and what was accepted from it is
        // on other disks too.
        let last = if self.rejoin.stale { Position::default() } else { self.log.last() };
        let config = self.config.clone();
        self.send_durable(sender, Body::RejoinReply { asked, last, mark, config });
    }

    /// Forgets what restarted voters promised before. The start numbers are synced before the response,
    /// so that a restart of this instance does not lose them.
    pub(super) fn note_starts(&mut self, starts: Starts) {
        for (voter, incarnation) in starts {
            self.reset_progress(voter, incarnation);
            if !self.config.1.contains(&voter) {
                continue;
            }
            let mark = Mark { incarnation, ..Mark::default() };
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

    pub(super) fn starts(&self) -> Starts {
        let started = |(voter, mark): (&Voter, &Mark)| (*voter, mark.incarnation);
        self.marks.iter().map(started).collect()
    }

    pub(super) fn rejoin_reply(&mut self, asked: Incarnation, answer: Answer) {
        if asked != self.settings.incarnation || !self.rejoin.asking {
            return;
        }
        self.rejoin.answers.insert(answer.sender, answer);
        self.check_rejoin();
    }

    /// Responses count by the newest set of voters that is known: in an older one, every other voter may
    /// have been replaced.
    fn check_rejoin(&mut self) {
        let answers = self.rejoin.answers.values();
        let configs = answers.map(|answer| &answer.config).chain([&self.config]);
        let newest = configs.max_by_key(|config| config.0).map(|config| config.1.clone());
        let voters = newest.unwrap_or_default();
        let counts = |voter: &&Voter| voters.is_empty() || voters.contains(voter);
        let count = self.rejoin.answers.keys().filter(counts).count();
        let size = if voters.is_empty() { self.settings.members.len() } else { voters.len() };
        let size = size.max(1);
        let majority = size / 2 + 1;
        let all = (size - majority + 1).min(size - 1);
        let needed = if self.has_waited() { majority - 1 } else { all };
        if count >= needed {
            self.end_rejoin();
        }
    }

    fn end_rejoin(&mut self) {
        let answers = std::mem::take(&mut self.rejoin.answers);
        let term = answers.values().map(|answer| answer.term).max().unwrap_or_default();
        let last = answers.values().map(|answer| answer.last).max().unwrap_or_default();
        let mut mark = Mark::default();
        for known in answers.values().filter_map(|answer| answer.mark) {
            mark.merge(&known);
        }
        self.rejoin.asking = false;
        self.rejoin.stale |= self.is_behind(&mark);
        self.rejoin.voted_through = self.rejoin.voted_through.max(term).max(mark.term);
        self.rejoin.floor = Some(last.max(mark.confirmed));
        if self.rejoin.voted_through > self.hard.term {
            self.set_hard(HardState { term: self.rejoin.voted_through, vote: None });
        }
        self.role = Role::Follower;
        self.deadline = self.now + self.random_election();
        if self.rejoin.stale {
            log::warn!("{}: older data folder, returning as learner", self.settings.me.instance);
        }
    }

    /// Whether this folder contradicts what its instance is known to have promised from it.
    fn is_behind(&self, mark: &Mark) -> bool {
        if mark.term != self.hard.term {
            return mark.term > self.hard.term;
        }
        let held = mark.confirmed.index <= self.log.base().index
            || self.log.term_at(mark.confirmed.index) == Some(mark.confirmed.term);
        let confirmed = mark.confirmed.index == Revision(0) || held;
        !confirmed || (mark.voted && self.hard.vote.is_none())
    }
}
