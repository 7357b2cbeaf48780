//! Leader side of installations: two phases, the leases of the entries, and the history of which revision
//! is in effect at which entry.

use crate::effects::{EffectHistory, EffectRecord};
use crate::groups::{RelayGroup, RelayGroups};
use crate::installer::LEASE_DURATION;
use crate::messages::{
    CommandDelta, DesiredRevision, InstallMessage, InstallPhase, InstallProgress, RelayMembers,
};
use crate::relay::has_reached;
use crate::staging::{MAX_DELTA_COMMANDS, StagedState};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two heartbeats to a relay, or to an entry that is contacted directly.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two heartbeats to a relay with an entry that has not reached the desired revision or whose
/// lease ends soon.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The leader treats a lease that it granted as expired after this long: the duration of the lease plus
/// 10% for clock drift.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(2_750);

/// A relay that has not reported for this long gets heartbeats every `RETRY_INTERVAL`. This exceeds the
/// heartbeat interval plus the time for which the relay waits for its members.
pub const REPORT_OVERDUE_AFTER: Duration = Duration::from_millis(650);

/// A relay that has not reported for this long is replaced. It has then missed three heartbeats, and the
/// leases of the members still run long enough for a round with the next relay.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// An entry that no report contains for this long is contacted directly. Relays report each entry once a
/// second, or 300 ms later when its response was lost.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// A report of an entry whose lease ends within this time is granted at once. A regular heartbeat renews
/// leases before so little time is left.
pub const EARLY_RENEWAL: Duration = Duration::from_millis(1_750);

/// An entry whose lease ends within this time has missed a renewal, so its relay gets heartbeats every
/// `RETRY_INTERVAL`.
pub const SHORT_LEASE: Duration = Duration::from_millis(1_500);

/// The leader contacts each entry directly while there are at most this many.
pub const MAX_DIRECT_ENTRIES: usize = 16;

/// A new leader collects the progress of the entries for this long before it grants the first leases.
pub const FIRST_GRANT_DELAY: Duration = Duration::from_millis(300);

/// A report whose number is less than this far below the last one arrives late or twice and is ignored. A
/// lower number comes from a restarted relay.
const REPORT_REORDER_WINDOW: u64 = 1_000;

/// Action that the daemon has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Send a message.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// Message to send.
        message: InstallMessage,
    },
    /// A revision, and with it every older one, is in effect at all entries with a lease.
    InEffect {
        /// The revision that took effect.
        revision: Revision,
        /// Entries where it is not in effect.
        missing: Vec<InstanceId>,
    },
    /// The lease of an entry has expired: it is isolated.
    Fenced(InstanceId),
    /// An entry has a lease again.
    LeaseRegained(InstanceId),
    /// An entry has received a message of this newer term, so this leader should step down.
    NewerTerm(Term),
}

impl EntryState {
    fn is_leased(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| until > now)
    }

    /// Whether the entry has a lease and needs heartbeats at the retry interval, because the lease ends soon
    /// or the desired revision is not reached.
    fn is_urgent(&self, now: Instant, desired: DesiredRevision) -> bool {
        let is_short = self.lease_until.is_some_and(|until| until < now + SHORT_LEASE);
        self.is_leased(now) && (is_short || !has_reached(self.progress, desired))
    }
}

type ReportedProgress = Vec<(InstallProgress, Vec<InstanceId>)>;

#[derive(Clone, Debug, Default)]
struct EntryState {
    domain: DomainId,
    progress: InstallProgress,
    lease_until: Option<Instant>,
    is_fenced: bool,
    is_removed: bool,
    /// When the last report that contains the entry arrived.
    last_seen: Option<Instant>,
    next_direct_heartbeat: Option<Instant>,
}

/// Rollout of revisions during one leader's term.
#[derive(Debug)]
pub struct Rollout {
    term: Term,
    elected_at: Instant,
    desired: DesiredRevision,
    /// Last revision in effect at all entries with a lease; the initial one before that.
    completed: Revision,
    /// Whether the first revision of the term is still being installed.
    is_first_install: bool,
    staged: StagedState,
    /// Committed commands that follow the desired revision.
    pending: VecDeque<Command>,
    entries: BTreeMap<InstanceId, EntryState>,
    groups: RelayGroups,
    /// Numbers and contents of the reports to grant with the next heartbeat, by sender.
    ungranted_reports: BTreeMap<InstanceId, Vec<(u64, ReportedProgress)>>,
    last_report_number: BTreeMap<InstanceId, u64>,
    effects: EffectHistory,
    actions: Vec<RolloutAction>,
}

impl Rollout {
    /// Creates the rollout of a newly elected leader, once the first log entry of its term is committed.
    /// Every known entry may hold a lease granted by the previous leader.
    #[must_use]
    pub fn new(
        now: Instant,
        term: Term,
        state: Arc<Declarations>,
        entries: &BTreeMap<InstanceId, DomainId>,
    ) -> Self {
        let revision = state.revision;
        let mut rollout = Self {
            term,
            elected_at: now,
            desired: DesiredRevision { revision, phase: InstallPhase::Prepare },
            completed: revision,
            is_first_install: true,
            staged: StagedState::new(state),
            pending: VecDeque::new(),
            entries: BTreeMap::new(),
            groups: RelayGroups::new(MAX_DIRECT_ENTRIES),
            ungranted_reports: BTreeMap::new(),
            last_report_number: BTreeMap::new(),
            effects: EffectHistory::default(),
            actions: Vec::new(),
        };
        rollout.effects.record_accepted(now, revision);
        rollout.set_entries(now, entries);
        for entry in rollout.entries.values_mut() {
            entry.lease_until = Some(now + FENCE_TIMEOUT);
        }
        rollout
    }

    /// Sets the number of entries up to which each is contacted directly (`MAX_DIRECT_ENTRIES` by default).
    pub fn set_direct_limit(&mut self, now: Instant, direct_limit: usize) {
        self.groups.set_direct_limit(direct_limit);
        self.rebuild_groups(now);
    }

    /// Term of the leader.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The revision to install and the phase that entries carry out.
    #[must_use]
    pub fn desired(&self) -> DesiredRevision {
        self.desired
    }

    /// Sets the known entries. Installations still wait for a removed entry until its lease expires.
    pub fn set_entries(&mut self, now: Instant, entries: &BTreeMap<InstanceId, DomainId>) {
        let before: Vec<InstanceId> = self.entries.keys().copied().collect();
        for (id, entry) in &mut self.entries {
            entry.is_removed = !entries.contains_key(id);
        }
        for (id, domain) in entries {
            self.entries.entry(*id).or_default().domain = *domain;
        }
        if !before.iter().eq(self.entries.keys()) {
            self.rebuild_groups(now);
        }
    }

    /// Queues the next committed command. Commands must be passed in the order of their revisions.
    pub fn on_committed(&mut self, now: Instant, command: Command) -> Vec<RolloutAction> {
        self.pending.push_back(command);
        let revision = Revision(self.staged.revision().0 + self.pending.len() as u64);
        self.effects.record_accepted(now, revision);
        self.advance(now);
        self.send_due_heartbeats(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles a message of an entry or relay.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: InstallMessage,
    ) -> Vec<RolloutAction> {
        match message {
            InstallMessage::Report { term, number, version, states, urgent }
                if term == self.term =>
            {
                self.on_report(now, from, (number, urgent), version, states);
            }
            InstallMessage::Fetch { have, part, active_only: false } => {
                let state = Arc::clone(self.staged.state());
                let response = self.staged.respond_to_fetch(&state, have, part);
                self.actions
                    .extend(response.map(|message| RolloutAction::Send { to: from, message }));
            }
            InstallMessage::Refused { term, .. } if term > self.term => {
                self.actions.push(RolloutAction::NewerTerm(term));
            }
            _ => {}
        }
        self.send_due_heartbeats(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<RolloutAction> {
        self.expire_leases(now);
        let entries = &self.entries;
        self.groups.replace_unresponsive(now, |id| {
            let last_seen = entries.get(&id).and_then(|entry| entry.last_seen);
            last_seen.is_some_and(|seen| now < seen + LEASE_DURATION)
        });
        self.advance(now);
        self.send_due_heartbeats(now);
        self.send_direct_heartbeats(now);
        std::mem::take(&mut self.actions)
    }

    /// When `tick` must be called next.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let groups = self.groups.iter().map(RelayGroup::heartbeat_due);
        let leases = self.entries.values().filter(|e| !e.is_fenced).filter_map(|e| e.lease_until);
        let relays = self.groups.iter().filter_map(RelayGroup::replacement_due);
        groups.chain(leases).chain(relays).fold(now + HEARTBEAT_INTERVAL, Instant::min)
    }

    /// Returns when and where a revision took effect; `None` when it was not passed to the rollout yet. A
    /// revision from before this term, or no longer kept, gets the times of the next one on record.
    #[must_use]
    pub fn effect_record(&self, revision: Revision) -> Option<EffectRecord> {
        let mut record = self.effects.record_at_or_after(revision)?.clone();
        record.revision = revision;
        record.missing = self.entries_without(revision);
        Some(record)
    }

    /// Entries without a lease, which the status lists as unreachable.
    pub fn unreachable(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        self.entries.iter().filter(move |(_, entry)| !entry.is_leased(now)).map(|(id, _)| *id)
    }

    /// The current relays, including entries that are contacted directly.
    pub fn relays(&self) -> impl Iterator<Item = InstanceId> {
        self.groups.relays()
    }

    fn entries_without(&self, revision: Revision) -> Vec<InstanceId> {
        let is_missing = |entry: &EntryState| entry.progress.active < revision;
        self.entries.iter().filter(|(_, entry)| is_missing(entry)).map(|(id, _)| *id).collect()
    }

    fn send_heartbeat(&mut self, now: Instant, to: InstanceId, members: Option<RelayMembers>) {
        let version = members.as_ref().map_or(0, |members| members.version);
        let (granted, withheld) = self.grant_reports(now, to);
        let message = InstallMessage::Heartbeat {
            term: self.term,
            goal: self.desired,
            version,
            members,
            granted,
            withheld,
        };
        self.actions.push(RolloutAction::Send { to, message });
    }

    fn send_due_heartbeats(&mut self, now: Instant) {
        let mut due = Vec::new();
        for group in self.groups.iter_mut().filter(|group| group.heartbeat_due() <= now) {
            let ids = group.members.ids.iter().chain([&group.relay]);
            let mut entries = ids.filter_map(|id| self.entries.get(id));
            let is_urgent = entries.any(|entry| entry.is_urgent(now, self.desired));
            group.next_heartbeat =
                now + if is_urgent { RETRY_INTERVAL } else { HEARTBEAT_INTERVAL };
            group.last_heartbeat = now;
            let is_current = group.reported_version == group.members.version;
            due.push((group.relay, (!is_current).then(|| group.members.clone())));
        }
        due.into_iter().for_each(|(relay, members)| self.send_heartbeat(now, relay, members));
    }

    /// Sends heartbeats directly to entries that their relay does not reach.
    fn send_direct_heartbeats(&mut self, now: Instant) {
        let relays: BTreeSet<InstanceId> = self.relays().collect();
        let mut due = Vec::new();
        for (id, entry) in &mut self.entries {
            let is_unreported = entry.last_seen.is_none_or(|seen| now >= seen + MEMBER_TIMEOUT)
                && now >= self.elected_at + RELAY_TIMEOUT;
            let is_due = entry.next_direct_heartbeat.is_none_or(|next| now >= next);
            if is_unreported && is_due && !relays.contains(id) {
                entry.next_direct_heartbeat = Some(now + HEARTBEAT_INTERVAL);
                due.push(*id);
            }
        }
        let no_members = RelayMembers { version: self.groups.version(), ids: Vec::new() };
        due.into_iter().for_each(|id| self.send_heartbeat(now, id, Some(no_members.clone())));
    }

    fn on_report(
        &mut self,
        now: Instant,
        from: InstanceId,
        (number, urgent): (u64, bool),
        version: u32,
        states: ReportedProgress,
    ) {
        let last = self.last_report_number.insert(from, number).unwrap_or(0);
        if number <= last && last - number < REPORT_REORDER_WINDOW {
            self.last_report_number.insert(from, last);
            return;
        }
        if let Some(group) = self.groups.by_relay_mut(from) {
            group.last_report = now;
            group.reported_version = version;
        }
        let states = self.retain_relayed(from, states);
        for (progress, id) in flatten(&states) {
            self.record_progress(now, id, progress);
        }
        if (urgent || self.needs_grant(now, &states))
            && let Some(group) = self.groups.by_relay_mut(from)
        {
            group.next_heartbeat = now;
        }
        self.ungranted_reports.entry(from).or_default().push((number, states));
        self.advance(now);
    }

    /// Drops the progress of entries that the sender is no longer the relay of, which may be outdated.
    fn retain_relayed(&self, from: InstanceId, mut states: ReportedProgress) -> ReportedProgress {
        let relayed = self.groups.entries_reported_by(from);
        states.iter_mut().for_each(|(_, ids)| ids.retain(|id| relayed.contains(id)));
        states
    }

    fn record_progress(&mut self, now: Instant, id: InstanceId, progress: InstallProgress) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.progress = progress;
        entry.last_seen = Some(now);
        self.effects.record_in_effect(now, id, progress.active);
    }

    /// Whether this report contains an entry whose lease has expired or ends soon, and that may get one.
    fn needs_grant(&self, now: Instant, states: &ReportedProgress) -> bool {
        flatten(states).any(|(progress, id)| {
            let until = self.entries.get(&id).and_then(|entry| entry.lease_until);
            let is_short = until.is_none_or(|until| until < now + EARLY_RENEWAL);
            is_short && self.may_hold_lease(now, progress)
        })
    }

    /// Whether an entry may get a lease. It must place flows by the same revision as the other entries: the
    /// last completed one during the phase `Prepare`, or one that the activation has waited for.
    fn may_hold_lease(&self, now: Instant, progress: InstallProgress) -> bool {
        if self.desired.phase == InstallPhase::Activate {
            return progress.prepared >= self.desired.revision;
        }
        if !self.is_first_install {
            return progress.active >= self.completed;
        }
        // An entry that was not reported yet may hold a lease of the previous leader, with any accepted
        // revision in effect.
        let is_accounted_for =
            |entry: &EntryState| entry.last_seen.is_some() || !entry.is_leased(now);
        if progress.prepared < self.desired.revision && !self.entries.values().all(is_accounted_for)
        {
            return false;
        }
        let newest = self.entries.values().map(|entry| entry.progress.active).max();
        let has_state = progress.active > Revision(0);
        has_state && now >= self.elected_at + FIRST_GRANT_DELAY && Some(progress.active) >= newest
    }

    /// Extends the leases of the entries in the reports that a relay has sent since the last heartbeat to it.
    /// Returns the numbers of these reports and the entries that get no lease.
    fn grant_reports(&mut self, now: Instant, to: InstanceId) -> (Vec<u64>, Vec<InstanceId>) {
        let reports = self.ungranted_reports.remove(&to).unwrap_or_default();
        let mut withheld = BTreeSet::new();
        let mut granted = BTreeSet::new();
        for (progress, id) in reports.iter().flat_map(|(_, states)| flatten(states)) {
            let allowed = self.entries.contains_key(&id) && self.may_hold_lease(now, progress);
            let set = if allowed { &mut granted } else { &mut withheld };
            set.insert(id);
        }
        for id in granted.difference(&withheld) {
            self.extend_lease(now, *id);
        }
        let numbers = reports.iter().map(|(number, _)| *number).collect();
        (numbers, withheld.into_iter().collect())
    }

    fn extend_lease(&mut self, now: Instant, id: InstanceId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let is_new = !entry.is_leased(now);
        entry.lease_until = Some(now + FENCE_TIMEOUT);
        entry.is_fenced = false;
        if is_new {
            self.actions.push(RolloutAction::LeaseRegained(id));
        }
    }

    fn rebuild_groups(&mut self, now: Instant) {
        self.groups.rebuild(now, self.entries.iter().map(|(id, entry)| (*id, entry.domain)));
    }

    fn expire_leases(&mut self, now: Instant) {
        let count = self.entries.len();
        self.entries.retain(|_, entry| !entry.is_removed || entry.is_leased(now));
        if self.entries.len() != count {
            self.rebuild_groups(now);
        }
        for (id, entry) in &mut self.entries {
            if entry.lease_until.is_some() && !entry.is_leased(now) && !entry.is_fenced {
                entry.is_fenced = true;
                log::warn!("the lease of entry {id} has expired; the entry is isolated");
                self.actions.push(RolloutAction::Fenced(*id));
            }
        }
    }

    /// Advances to the next phase or installation while all entries with a lease have reached the desired
    /// revision.
    fn advance(&mut self, now: Instant) {
        while self.is_desired_reached(now) {
            match self.desired.phase {
                InstallPhase::Prepare => {
                    self.desired.phase = InstallPhase::Activate;
                    self.groups.iter_mut().for_each(|group| group.next_heartbeat = now);
                }
                InstallPhase::Activate => {
                    self.complete_install(now);
                    if self.pending.is_empty() {
                        return;
                    }
                    self.start_next_install(now);
                }
            }
        }
    }

    fn is_desired_reached(&self, now: Instant) -> bool {
        let is_idle = self.desired.phase == InstallPhase::Activate
            && self.completed == self.desired.revision
            && !self.is_first_install
            && self.pending.is_empty();
        let mut leased = self.entries.values().filter(|entry| entry.is_leased(now));
        !is_idle && leased.all(|entry| has_reached(entry.progress, self.desired))
    }

    fn complete_install(&mut self, now: Instant) {
        let revision = self.desired.revision;
        if self.completed == revision && !self.is_first_install {
            return;
        }
        self.completed = revision;
        self.is_first_install = false;
        self.effects.record_complete(now, revision);
        let missing = self.entries_without(revision);
        self.actions.push(RolloutAction::InEffect { revision, missing });
    }

    /// Starts the installation of the next pending commands as one revision, and pushes them to the relays.
    fn start_next_install(&mut self, now: Instant) {
        let count = self.pending.len().min(MAX_DELTA_COMMANDS);
        let commands = self.pending.drain(..count).collect();
        let delta = CommandDelta { from: self.staged.revision(), commands };
        self.staged.apply(&delta);
        self.desired =
            DesiredRevision { revision: self.staged.revision(), phase: InstallPhase::Prepare };
        for group in self.groups.iter_mut() {
            group.next_heartbeat = now + RETRY_INTERVAL;
            let message = InstallMessage::Install {
                term: self.term,
                goal: self.desired,
                delta: delta.clone(),
            };
            self.actions.push(RolloutAction::Send { to: group.relay, message });
        }
    }
}

fn flatten(states: &ReportedProgress) -> impl Iterator<Item = (InstallProgress, InstanceId)> {
    states.iter().flat_map(|(progress, ids)| ids.iter().map(|id| (*progress, *id)))
}
