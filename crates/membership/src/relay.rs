//! The relay role of an entry: it forwards the leader's heartbeats to the entries of its failure
//! domain and aggregates their responses. An entry without members is a relay for itself.

use crate::messages::{Goal, InstallMessage, LeaseToken, Phase, Progress, RelayMembers};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A report waits this long for the responses of a round. It exceeds the time of two links with one
/// retransmission by the transport.
pub const REPORT_AFTER: Duration = Duration::from_millis(100);

/// Responses that come later are collected for this long.
pub const REPORT_LATE_AFTER: Duration = Duration::from_millis(20);

/// A member that has reached the goal gets a beat at most this often.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Reports whose tokens are kept for a grant.
const KEPT_REPORTS: usize = 16;

type Tokens = BTreeMap<InstanceId, LeaseToken>;
type Sends = Vec<(InstanceId, InstallMessage)>;

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    progress: Progress,
    token: Option<LeaseToken>,
    is_fresh: bool,
    responded_to: u64,
    last_beat: Option<Instant>,
}

/// Relay state of one entry.
#[derive(Debug)]
pub struct Relay {
    own: InstanceId,
    term: Term,
    leader: Option<InstanceId>,
    goal: Option<Goal>,
    version: u32,
    members: BTreeMap<InstanceId, Member>,
    reports: VecDeque<(u64, Tokens)>,
    number: u64,
    round: u64,
    report_at: Option<Instant>,
}

impl Relay {
    /// Creates the role. `first_number` is random, so that reports of an earlier start of the process
    /// are not mistaken for those of this one.
    #[must_use]
    pub fn new(own: InstanceId, first_number: u64) -> Self {
        Self {
            own,
            term: Term::default(),
            leader: None,
            goal: None,
            version: 0,
            members: BTreeMap::new(),
            reports: VecDeque::new(),
            number: first_number,
            round: 0,
            report_at: None,
        }
    }

    /// When the next report is due.
    #[must_use]
    pub fn report_at(&self) -> Option<Instant> {
        self.report_at
    }

    /// Members in the order of their numbers, this entry included.
    pub fn members(&self) -> impl Iterator<Item = InstanceId> {
        self.members.keys().copied()
    }

    /// Starts a round for the leader. The list of members is kept until the leader sends another.
    pub fn begin_round(
        &mut self,
        now: Instant,
        (term, leader): (Term, InstanceId),
        goal: Goal,
        members: Option<RelayMembers>,
    ) {
        if term != self.term {
            self.term = term;
            self.reports.clear();
            self.version = 0;
            self.members.clear();
        }
        self.leader = Some(leader);
        self.goal = Some(goal);
        if let Some(list) = members.filter(|list| list.version > self.version) {
            self.version = list.version;
            self.members.retain(|id, _| list.ids.contains(id));
            for id in list.ids {
                self.members.entry(id).or_default();
            }
        }
        self.members.entry(self.own).or_default();
        self.round += 1;
        let due = now + REPORT_AFTER;
        self.report_at = Some(self.report_at.map_or(due, |at| at.min(due)));
    }

    /// Tokens of granted reports, the newest for each entry.
    #[must_use]
    pub fn grants(&self, granted: &[u64], withheld: &[InstanceId]) -> Tokens {
        let mut tokens = Tokens::new();
        for (number, of_report) in &self.reports {
            if granted.contains(number) {
                tokens.extend(of_report);
            }
        }
        tokens.retain(|id, _| !withheld.contains(id));
        tokens
    }

    /// Beats to the members that need one: those with a grant, those behind the goal, and those that
    /// got none for a while.
    pub fn beats(&mut self, now: Instant, grants: &Tokens) -> Sends {
        let (Some(leader), Some(goal)) = (self.leader, self.goal) else { return Vec::new() };
        let mut sends = Sends::new();
        for (id, member) in self.members.iter_mut().filter(|(id, _)| **id != self.own) {
            let granted = grants.get(id).copied();
            let is_due = member.last_beat.is_none_or(|last| now >= last + BEAT_INTERVAL);
            if granted.is_none() && !is_due && has_reached(member.progress, goal) {
                member.responded_to = self.round;
                continue;
            }
            member.last_beat = Some(now);
            let beat = InstallMessage::Beat { term: self.term, leader, goal, granted };
            sends.push((*id, beat));
        }
        sends
    }

    /// Takes in the state of an entry, this one included.
    pub fn on_status(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        token: LeaseToken,
        progress: Progress,
    ) {
        let Some(member) = self.members.get_mut(&from).filter(|_| term == self.term) else {
            return;
        };
        let advanced = member.progress != progress;
        *member = Member {
            progress,
            token: Some(token),
            is_fresh: true,
            responded_to: self.round,
            last_beat: member.last_beat,
        };
        self.schedule_report(now, advanced);
    }

    /// A round ends with its last response. A response after the round is reported at once when it
    /// completes the goal.
    fn schedule_report(&mut self, now: Instant, advanced: bool) {
        let Some(goal) = self.goal else { return };
        let mut members = self.members.values();
        let is_due = match self.report_at {
            Some(_) => members.all(|member| member.responded_to == self.round),
            None => advanced && members.all(|member| has_reached(member.progress, goal)),
        };
        let late = self.report_at.unwrap_or(now + REPORT_LATE_AFTER);
        self.report_at = Some(if is_due { now } else { late });
    }

    /// The report for the leader, when it is due.
    pub fn take_report(&mut self, now: Instant) -> Option<(InstanceId, InstallMessage)> {
        let leader = self.leader?;
        self.report_at.filter(|due| *due <= now)?;
        self.report_at = None;
        let mut states: BTreeMap<Progress, Vec<InstanceId>> = BTreeMap::new();
        let mut tokens = Tokens::new();
        for (id, member) in self.members.iter_mut().filter(|(_, member)| member.is_fresh) {
            member.is_fresh = false;
            states.entry(member.progress).or_default().push(*id);
            tokens.extend(member.token.map(|token| (*id, token)));
        }
        self.number += 1;
        self.reports.push_back((self.number, tokens));
        while self.reports.len() > KEPT_REPORTS {
            self.reports.pop_front();
        }
        let report = InstallMessage::Report {
            term: self.term,
            number: self.number,
            version: self.version,
            states: states.into_iter().collect(),
        };
        Some((leader, report))
    }
}

/// Whether an entry needs to do nothing more for a goal.
#[must_use]
pub fn has_reached(progress: Progress, goal: Goal) -> bool {
    match goal.phase {
        Phase::Prepare => progress.prepared >= goal.revision,
        Phase::Activate => progress.active >= goal.revision,
    }
}
