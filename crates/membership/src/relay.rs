//! The relay role of an entry: it forwards the leader's heartbeats to the entries of its failure
//! domain and aggregates their responses. An entry that the leader contacts directly is a relay without
//! members other than itself.

use crate::messages::{
    DesiredRevision, InstallMessage, InstallPhase, InstallProgress, LeaseToken, RelayMembers,
};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A report waits this long for the responses of a round. This exceeds the latency of two links with one
/// retransmission by the transport.
pub const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Responses that arrive after the end of a round are collected for this long.
pub const LATE_REPORT_DELAY: Duration = Duration::from_millis(20);

/// An entry delays its response to a `Beat` that renews its lease by this long. With the latency of the
/// links and the delay of the report, the next token reaches the leader just before its second heartbeat
/// after the `Beat`.
pub const STATUS_DELAY: Duration = Duration::from_millis(800);

/// An entry delays its response only when its lease still runs for this long.
pub const MIN_LEASE_FOR_DELAY: Duration = Duration::from_millis(1_750);

/// A member that has reached the desired revision and responded gets a `Beat` without a grant only this
/// long after the last one. Two heartbeats of the leader are further apart than this, even by a clock that
/// runs 8% fast.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(900);

/// A member whose response is awaited gets another `Beat` after this long, which is less than the retry
/// interval of the leader.
pub const BEAT_RETRY: Duration = Duration::from_millis(60);

/// Maximum number of reports whose tokens are kept until they are granted.
const MAX_KEPT_REPORTS: usize = 16;

type LeaseTokens = BTreeMap<InstanceId, LeaseToken>;
type OutgoingMessages = Vec<(InstanceId, InstallMessage)>;

#[derive(Clone, Copy, Debug, Default)]
struct RelayedEntry {
    progress: InstallProgress,
    token: Option<LeaseToken>,
    /// Whether a status has arrived that no report contains yet.
    has_new_status: bool,
    /// Last round that does not wait for a response of this member.
    last_complete_round: u64,
    is_response_awaited: bool,
    /// Whether the member got a `Beat` without a grant since its last status, other than one that only
    /// repeats the desired revision.
    has_missed_grant: bool,
    /// Number and time of the last report about this member, until the leader grants it.
    unconfirmed_report: Option<(u64, Instant)>,
    last_beat: Option<Instant>,
}

/// State of the relay role of one entry.
#[derive(Debug)]
pub struct Relay {
    local_id: InstanceId,
    term: Term,
    leader: Option<InstanceId>,
    desired: Option<DesiredRevision>,
    members_version: u32,
    members: BTreeMap<InstanceId, RelayedEntry>,
    /// Numbers and tokens of the last reports.
    sent_reports: VecDeque<(u64, LeaseTokens)>,
    last_report_number: u64,
    round: u64,
    is_round_open: bool,
    is_urgent: bool,
    report_due: Option<Instant>,
}

impl Relay {
    /// Creates the role without a leader. `last_report_number` is random, so that the leader does not
    /// mistake the reports of an earlier run of the process for those of this one.
    #[must_use]
    pub fn new(local_id: InstanceId, last_report_number: u64) -> Self {
        Self {
            local_id,
            term: Term::default(),
            leader: None,
            desired: None,
            members_version: 0,
            members: BTreeMap::new(),
            sent_reports: VecDeque::new(),
            last_report_number,
            round: 0,
            is_round_open: false,
            is_urgent: false,
            report_due: None,
        }
    }

    /// When the next report is due; `None` when there is nothing to report.
    #[must_use]
    pub fn report_due(&self) -> Option<Instant> {
        self.report_due
    }

    /// Members in the order of their instance numbers, this entry included.
    pub fn members(&self) -> impl Iterator<Item = InstanceId> {
        self.members.keys().copied()
    }

    /// Starts a round of responses. The member list is kept until the leader sends a newer one.
    pub fn begin_round(
        &mut self,
        now: Instant,
        (term, leader): (Term, InstanceId),
        desired: DesiredRevision,
        members: Option<RelayMembers>,
    ) {
        if term != self.term {
            self.term = term;
            self.sent_reports.clear();
            self.members_version = 0;
            self.members.clear();
        }
        self.leader = Some(leader);
        self.desired = Some(desired);
        if let Some(list) = members.filter(|list| list.version > self.members_version) {
            self.members_version = list.version;
            self.members.retain(|id, _| list.ids.contains(id));
            for id in list.ids {
                self.members.entry(id).or_default();
            }
        }
        self.members.entry(self.local_id).or_default();
        self.round += 1;
        self.is_round_open = true;
        let due = now + REPORT_DELAY;
        self.report_due = Some(self.report_due.map_or(due, |at| at.min(due)));
    }

    /// Requests the status again from members whose report is not among the granted ones, since the leader
    /// drops reports that arrive out of order. The report itself is not repeated: that could hide a restart
    /// of the entry in the meantime.
    pub fn confirm_reports(&mut self, now: Instant, granted: &[u64]) {
        for member in self.members.values_mut() {
            let Some((number, sent_at)) = member.unconfirmed_report else { continue };
            let is_granted = granted.contains(&number);
            if is_granted || now >= sent_at + BEAT_RETRY {
                member.unconfirmed_report = None;
                member.is_response_awaited |= !is_granted;
            }
        }
    }

    /// Returns the tokens of the granted reports, the newest for each entry.
    #[must_use]
    pub fn granted_tokens(&self, granted: &[u64], withheld: &[InstanceId]) -> LeaseTokens {
        let mut tokens = LeaseTokens::new();
        for (number, report_tokens) in &self.sent_reports {
            if granted.contains(number) {
                tokens.extend(report_tokens);
            }
        }
        tokens.retain(|id, _| !withheld.contains(id));
        tokens
    }

    /// Returns a `Beat` for each member with a grant, each one behind the desired revision, and each one
    /// whose last `Beat` is too long ago. A member that gets a grant delays its response, so the round does
    /// not wait for it.
    pub fn take_beats(&mut self, now: Instant, grants: &LeaseTokens) -> OutgoingMessages {
        let (Some(leader), Some(desired)) = (self.leader, self.desired) else { return Vec::new() };
        let mut messages = OutgoingMessages::new();
        for (id, member) in self.members.iter_mut().filter(|(id, _)| **id != self.local_id) {
            let granted = grants.get(id).copied();
            let interval = if member.is_response_awaited { BEAT_RETRY } else { BEAT_INTERVAL };
            let is_due = member.last_beat.is_none_or(|last| now >= last + interval);
            let is_behind = !has_reached(member.progress, desired);
            member.is_response_awaited |= is_behind || (is_due && granted.is_none());
            if !member.is_response_awaited {
                member.last_complete_round = self.round;
            }
            if granted.is_none() && !is_due && !is_behind {
                continue;
            }
            member.last_beat = Some(now);
            let has_token = member.token.is_some();
            member.has_missed_grant |= granted.is_none() && !(is_behind && has_token);
            let beat = InstallMessage::Beat { term: self.term, leader, goal: desired, granted };
            messages.push((*id, beat));
        }
        messages
    }

    /// Handles the status of an entry, this one included.
    pub fn on_status(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        token: LeaseToken,
        progress: InstallProgress,
    ) {
        let Some(member) = self.members.get_mut(&from).filter(|_| term == self.term) else {
            return;
        };
        let advanced = member.progress != progress;
        self.is_urgent |= member.has_missed_grant;
        *member = RelayedEntry {
            progress,
            token: Some(token),
            has_new_status: true,
            last_complete_round: self.round,
            is_response_awaited: false,
            has_missed_grant: false,
            unconfirmed_report: member.unconfirmed_report,
            last_beat: member.last_beat,
        };
        self.schedule_report(now, advanced);
    }

    /// Schedules the report at once when the last response of the round has arrived, or, after the round,
    /// when all members have reached the desired revision.
    fn schedule_report(&mut self, now: Instant, advanced: bool) {
        let Some(desired) = self.desired else { return };
        let mut members = self.members.values();
        let is_due = match self.is_round_open {
            true => members.all(|member| member.last_complete_round == self.round),
            false => advanced && members.all(|member| has_reached(member.progress, desired)),
        };
        let late = self.report_due.unwrap_or(now + LATE_REPORT_DELAY);
        self.report_due = Some(if is_due { now } else { late });
    }

    /// Returns the report for the leader, once it is due.
    pub fn take_report(&mut self, now: Instant) -> Option<(InstanceId, InstallMessage)> {
        let leader = self.leader?;
        self.report_due.filter(|due| *due <= now)?;
        self.report_due = None;
        self.is_round_open = false;
        let mut states: BTreeMap<InstallProgress, Vec<InstanceId>> = BTreeMap::new();
        let mut tokens = LeaseTokens::new();
        for (id, member) in self.members.iter_mut().filter(|(_, member)| member.has_new_status) {
            member.has_new_status = false;
            member.unconfirmed_report = Some((self.last_report_number + 1, now));
            states.entry(member.progress).or_default().push(*id);
            tokens.extend(member.token.map(|token| (*id, token)));
        }
        self.last_report_number += 1;
        self.sent_reports.push_back((self.last_report_number, tokens));
        while self.sent_reports.len() > MAX_KEPT_REPORTS {
            self.sent_reports.pop_front();
        }
        let report = InstallMessage::Report {
            term: self.term,
            number: self.last_report_number,
            version: self.members_version,
            states: states.into_iter().collect(),
            urgent: std::mem::take(&mut self.is_urgent),
        };
        Some((leader, report))
    }
}

/// Whether an entry has completed the desired phase of the desired revision.
#[must_use]
pub fn has_reached(progress: InstallProgress, desired: DesiredRevision) -> bool {
    match desired.phase {
        InstallPhase::Prepare => progress.prepared >= desired.revision,
        InstallPhase::Activate => progress.active >= desired.revision,
    }
}
