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

/// An entry responds to a beat that renews its lease only after this long: with the links and the relay's
/// wait, the next token reaches the leader just before the second heartbeat from then.
pub const STATUS_DELAY: Duration = Duration::from_millis(800);

/// A response is delayed only when the lease runs this much longer.
pub const DELAY_LEASE: Duration = Duration::from_millis(1_750);

/// A member that has reached the goal and responded gets a beat without a grant only after this long. Two
/// of the leader's heartbeats are further apart even by a clock that runs 8% fast.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(900);

/// A member whose response is awaited gets another beat after this long, within the leader's retries.
pub const BEAT_RETRY: Duration = Duration::from_millis(60);

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
    is_awaited: bool,
    is_unrenewed: bool,
    unconfirmed: Option<(u64, Instant)>,
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
    is_round_open: bool,
    is_urgent: bool,
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
            is_round_open: false,
            is_urgent: false,
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
        self.is_round_open = true;
        let due = now + REPORT_AFTER;
        self.report_at = Some(self.report_at.map_or(due, |at| at.min(due)));
    }

    /// Asks those again whose report the leader does not confirm by its grants, since it drops reports that
    /// overtake each other. A repeated report could hide a restart of the entry meanwhile.
    pub fn confirm(&mut self, now: Instant, granted: &[u64]) {
        for member in self.members.values_mut() {
            let Some((number, sent)) = member.unconfirmed else { continue };
            let is_granted = granted.contains(&number);
            if is_granted || now >= sent + BEAT_RETRY {
                member.unconfirmed = None;
                member.is_awaited |= !is_granted;
            }
        }
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
    /// got none for a while. A member that gets a grant responds later, so the round does not wait for it.
    pub fn beats(&mut self, now: Instant, grants: &Tokens) -> Sends {
        let (Some(leader), Some(goal)) = (self.leader, self.goal) else { return Vec::new() };
        let mut sends = Sends::new();
        for (id, member) in self.members.iter_mut().filter(|(id, _)| **id != self.own) {
            let granted = grants.get(id).copied();
            let interval = if member.is_awaited { BEAT_RETRY } else { BEAT_INTERVAL };
            let is_due = member.last_beat.is_none_or(|last| now >= last + interval);
            let is_behind = !has_reached(member.progress, goal);
            member.is_awaited |= is_behind || (is_due && granted.is_none());
            if !member.is_awaited {
                member.responded_to = self.round;
            }
            if granted.is_none() && !is_due && !is_behind {
                continue;
            }
            member.last_beat = Some(now);
            let is_known = member.token.is_some();
            member.is_unrenewed |= granted.is_none() && !(is_behind && is_known);
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
        self.is_urgent |= member.is_unrenewed;
        *member = Member {
            progress,
            token: Some(token),
            is_fresh: true,
            responded_to: self.round,
            is_awaited: false,
            is_unrenewed: false,
            unconfirmed: member.unconfirmed,
            last_beat: member.last_beat,
        };
        self.schedule_report(now, advanced);
    }

    /// A round ends with its last response. A response after the round is reported at once when it
    /// completes the goal.
    fn schedule_report(&mut self, now: Instant, advanced: bool) {
        let Some(goal) = self.goal else { return };
        let mut members = self.members.values();
        let is_due = match self.is_round_open {
            true => members.all(|member| member.responded_to == self.round),
            false => advanced && members.all(|member| has_reached(member.progress, goal)),
        };
        let late = self.report_at.unwrap_or(now + REPORT_LATE_AFTER);
        self.report_at = Some(if is_due { now } else { late });
    }

    /// The report for the leader, when it is due.
    pub fn take_report(&mut self, now: Instant) -> Option<(InstanceId, InstallMessage)> {
        let leader = self.leader?;
        self.report_at.filter(|due| *due <= now)?;
        self.report_at = None;
        self.is_round_open = false;
        let mut states: BTreeMap<Progress, Vec<InstanceId>> = BTreeMap::new();
        let mut tokens = Tokens::new();
        for (id, member) in self.members.iter_mut().filter(|(_, member)| member.is_fresh) {
            member.is_fresh = false;
            member.unconfirmed = Some((self.number + 1, now));
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
            urgent: std::mem::take(&mut self.is_urgent),
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
