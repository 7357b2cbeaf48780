//! The leader's side of installations: two phases, leases, and the record of what is in effect where.

use crate::effects::{EffectRecord, Effects};
use crate::groups::{Group, Groups};
use crate::installer::LEASE_DURATION;
use crate::messages::{Delta, Goal, InstallMessage, Phase, Progress, RelayMembers};
use crate::relay::has_reached;
use crate::staging::{DELTA_COMMANDS, Store};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two heartbeats to an entry or relay.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time between two heartbeats to one that has not reached the goal.
pub const RETRY: Duration = Duration::from_millis(100);

/// After this long, the leader no longer counts a lease that it granted: the lease plus 10% for the
/// drift of clocks.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(2_750);

/// A relay that has not reported for this long gets heartbeats every `RETRY`. It exceeds the time between
/// two heartbeats and the relay's wait for its members.
pub const REPORT_OVERDUE: Duration = Duration::from_millis(650);

/// A relay that has not reported for this long is replaced. It has missed three heartbeats then, and the
/// members' leases run long enough for a round with the next relay.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// An entry that no report names for this long is contacted directly. Relays name an entry once a second,
/// or 300 ms later when its response was lost.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// A report that can renew a lease that ends within this time is granted at once. A heartbeat that renews
/// in time finds leases that run this long.
pub const RENEW_BEFORE: Duration = Duration::from_millis(1_750);

/// An entry whose lease ends within this time has missed a renewal, so its relay gets heartbeats every
/// `RETRY`.
pub const SHORT_LEASE: Duration = Duration::from_millis(1_500);

/// Up to this many entries, the leader contacts each of them directly.
pub const MAX_DIRECT_ENTRIES: usize = 16;

/// A new leader collects the entries' states for this long before it grants the first leases.
pub const FIRST_GRANT_AFTER: Duration = Duration::from_millis(300);

/// A report numbered at most this far below the last one is a late or repeated one; a lower one comes
/// from a restarted relay.
const REPORT_WINDOW: u64 = 1_000;

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Send a message.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: InstallMessage,
    },
    /// A revision, and with it every older one, is in effect at all entries with a lease.
    InEffect {
        /// The revision.
        revision: Revision,
        /// Entries where it is not in effect.
        missing: Vec<InstanceId>,
    },
    /// The lease of an entry has ended: it is isolated.
    Fenced(InstanceId),
    /// An entry has a lease again.
    LeaseRegained(InstanceId),
    /// An entry knows of a newer term; this leader should step down.
    NewerTerm(Term),
}

impl Entry {
    fn is_leased(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| until > now)
    }

    /// Whether the entry has a lease and needs heartbeats sooner, to move on or to keep the lease.
    fn is_urgent(&self, now: Instant, goal: Goal) -> bool {
        let is_short = self.lease_until.is_some_and(|until| until < now + SHORT_LEASE);
        self.is_leased(now) && (is_short || !has_reached(self.progress, goal))
    }
}

type States = Vec<(Progress, Vec<InstanceId>)>;

#[derive(Clone, Debug, Default)]
struct Entry {
    domain: DomainId,
    progress: Progress,
    lease_until: Option<Instant>,
    is_fenced: bool,
    is_removed: bool,
    seen: Option<Instant>,
    next_direct: Option<Instant>,
}

/// Rollout of one leader's term.
#[derive(Debug)]
pub struct Rollout {
    term: Term,
    elected: Instant,
    goal: Goal,
    settled: Revision,
    is_first: bool,
    store: Store,
    pending: VecDeque<Command>,
    entries: BTreeMap<InstanceId, Entry>,
    groups: Groups,
    ungranted: BTreeMap<InstanceId, Vec<(u64, States)>>,
    last_report: BTreeMap<InstanceId, u64>,
    effects: Effects,
    out: Vec<RolloutAction>,
}

impl Rollout {
    /// Starts the rollout of a newly elected leader, once the first entry of its term is committed.
    /// Every known entry may hold a lease of the leader before.
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
            elected: now,
            goal: Goal { revision, phase: Phase::Prepare },
            settled: revision,
            is_first: true,
            store: Store::new(state),
            pending: VecDeque::new(),
            entries: BTreeMap::new(),
            groups: Groups::new(MAX_DIRECT_ENTRIES),
            ungranted: BTreeMap::new(),
            last_report: BTreeMap::new(),
            effects: Effects::default(),
            out: Vec::new(),
        };
        rollout.effects.accepted(now, revision);
        rollout.set_entries(now, entries);
        for entry in rollout.entries.values_mut() {
            entry.lease_until = Some(now + FENCE_TIMEOUT);
        }
        rollout
    }

    /// Changes up to how many entries are contacted directly (`MAX_DIRECT_ENTRIES` by default).
    pub fn set_direct_limit(&mut self, now: Instant, direct_limit: usize) {
        self.groups.set_direct_limit(direct_limit);
        self.form_groups(now);
    }

    /// The term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// What is being installed.
    #[must_use]
    pub fn goal(&self) -> Goal {
        self.goal
    }

    /// Sets the known entries. One that is removed is waited for until its lease ends.
    pub fn set_entries(&mut self, now: Instant, entries: &BTreeMap<InstanceId, DomainId>) {
        let before: Vec<InstanceId> = self.entries.keys().copied().collect();
        for (id, entry) in &mut self.entries {
            entry.is_removed = !entries.contains_key(id);
        }
        for (id, domain) in entries {
            self.entries.entry(*id).or_default().domain = *domain;
        }
        if !before.iter().eq(self.entries.keys()) {
            self.form_groups(now);
        }
    }

    /// Takes in the next committed command. Commands are passed in the order of their revisions.
    pub fn on_committed(&mut self, now: Instant, command: Command) -> Vec<RolloutAction> {
        self.pending.push_back(command);
        let revision = Revision(self.store.revision().0 + self.pending.len() as u64);
        self.effects.accepted(now, revision);
        self.advance(now);
        self.beat_due_groups(now);
        std::mem::take(&mut self.out)
    }

    /// Handles a message of an entry.
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
                let state = Arc::clone(self.store.state());
                let response = self.store.serve(&state, have, part);
                self.out.extend(response.map(|message| RolloutAction::Send { to: from, message }));
            }
            InstallMessage::Refused { term, .. } if term > self.term => {
                self.out.push(RolloutAction::NewerTerm(term));
            }
            _ => {}
        }
        self.beat_due_groups(now);
        std::mem::take(&mut self.out)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<RolloutAction> {
        self.end_leases(now);
        let entries = &self.entries;
        self.groups.replace_silent(now, |id| {
            let seen = entries.get(&id).and_then(|entry| entry.seen);
            seen.is_some_and(|seen| now < seen + LEASE_DURATION)
        });
        self.advance(now);
        self.beat_due_groups(now);
        self.beat_stragglers(now);
        std::mem::take(&mut self.out)
    }

    /// When `tick` has to be called next.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let groups = self.groups.iter().map(Group::due);
        let leases = self.entries.values().filter(|e| !e.is_fenced).filter_map(|e| e.lease_until);
        let relays = self.groups.iter().filter_map(Group::ends);
        groups.chain(leases).chain(relays).fold(now + HEARTBEAT, Instant::min)
    }

    /// Where a revision is in effect; `None` when it was not passed to the rollout yet. One from before this
    /// term, or no longer kept, gets the times of the next one on record.
    #[must_use]
    pub fn effect_record(&self, revision: Revision) -> Option<EffectRecord> {
        let mut record = self.effects.covering(revision)?.clone();
        record.revision = revision;
        record.missing = self.missing(revision);
        Some(record)
    }

    /// Entries without a lease, which the status lists as unreachable.
    pub fn unreachable(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        self.entries.iter().filter(move |(_, entry)| !entry.is_leased(now)).map(|(id, _)| *id)
    }

    /// The current relays.
    pub fn relays(&self) -> impl Iterator<Item = InstanceId> {
        self.groups.relays()
    }

    fn missing(&self, revision: Revision) -> Vec<InstanceId> {
        let is_missing = |entry: &Entry| entry.progress.active < revision;
        self.entries.iter().filter(|(_, entry)| is_missing(entry)).map(|(id, _)| *id).collect()
    }

    fn heartbeat(&mut self, now: Instant, to: InstanceId, members: Option<RelayMembers>) {
        let version = members.as_ref().map_or(0, |members| members.version);
        let (granted, withheld) = self.take_grants(now, to);
        let message = InstallMessage::Heartbeat {
            term: self.term,
            goal: self.goal,
            version,
            members,
            granted,
            withheld,
        };
        self.out.push(RolloutAction::Send { to, message });
    }

    fn beat_due_groups(&mut self, now: Instant) {
        let mut due = Vec::new();
        for group in self.groups.iter_mut().filter(|group| group.due() <= now) {
            let ids = group.members.ids.iter().chain([&group.relay]);
            let mut entries = ids.filter_map(|id| self.entries.get(id));
            let is_urgent = entries.any(|entry| entry.is_urgent(now, self.goal));
            group.next = now + if is_urgent { RETRY } else { HEARTBEAT };
            group.sent = now;
            let is_current = group.held_version == group.members.version;
            due.push((group.relay, (!is_current).then(|| group.members.clone())));
        }
        due.into_iter().for_each(|(relay, members)| self.heartbeat(now, relay, members));
    }

    /// Contacts entries directly that their relay does not reach.
    fn beat_stragglers(&mut self, now: Instant) {
        let relays: BTreeSet<InstanceId> = self.relays().collect();
        let mut due = Vec::new();
        for (id, entry) in &mut self.entries {
            let is_silent = entry.seen.is_none_or(|seen| now >= seen + MEMBER_TIMEOUT)
                && now >= self.elected + RELAY_TIMEOUT;
            let is_due = entry.next_direct.is_none_or(|next| now >= next);
            if is_silent && is_due && !relays.contains(id) {
                entry.next_direct = Some(now + HEARTBEAT);
                due.push(*id);
            }
        }
        let alone = RelayMembers { version: self.groups.version(), ids: Vec::new() };
        due.into_iter().for_each(|id| self.heartbeat(now, id, Some(alone.clone())));
    }

    fn on_report(
        &mut self,
        now: Instant,
        from: InstanceId,
        (number, urgent): (u64, bool),
        version: u32,
        states: States,
    ) {
        let last = self.last_report.insert(from, number).unwrap_or(0);
        if number <= last && last - number < REPORT_WINDOW {
            self.last_report.insert(from, last);
            return;
        }
        if let Some(group) = self.groups.of_relay(from) {
            group.reported = now;
            group.held_version = version;
        }
        let states = self.own_states(from, states);
        for (progress, id) in flatten(&states) {
            self.observe(now, id, progress);
        }
        if (urgent || self.needs_grant(now, &states))
            && let Some(group) = self.groups.of_relay(from)
        {
            group.next = now;
        }
        self.ungranted.entry(from).or_default().push((number, states));
        self.advance(now);
    }

    /// Drops states of entries that the sender no longer relays for: they may be outdated.
    fn own_states(&self, from: InstanceId, mut states: States) -> States {
        let relayed = self.groups.reported_by(from);
        states.iter_mut().for_each(|(_, ids)| ids.retain(|id| relayed.contains(id)));
        states
    }

    fn observe(&mut self, now: Instant, id: InstanceId, progress: Progress) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.progress = progress;
        entry.seen = Some(now);
        self.effects.observed(now, id, progress.active);
    }

    /// Whether a lease that is over or ends soon could be renewed by this report.
    fn needs_grant(&self, now: Instant, states: &States) -> bool {
        flatten(states).any(|(progress, id)| {
            let until = self.entries.get(&id).and_then(|entry| entry.lease_until);
            let is_short = until.is_none_or(|until| until < now + RENEW_BEFORE);
            is_short && self.may_hold_lease(now, progress)
        })
    }

    /// An entry gets a lease only when it places flows by the same revision as the others: the last
    /// one in effect during a prepare, or one that the activation has waited for.
    fn may_hold_lease(&self, now: Instant, progress: Progress) -> bool {
        if self.goal.phase == Phase::Activate {
            return progress.prepared >= self.goal.revision;
        }
        if !self.is_first {
            return progress.active >= self.settled;
        }
        // An entry not heard yet may hold a lease of the leader before, with any accepted revision in effect.
        let is_heard = |entry: &Entry| entry.seen.is_some() || !entry.is_leased(now);
        if progress.prepared < self.goal.revision && !self.entries.values().all(is_heard) {
            return false;
        }
        let newest = self.entries.values().map(|entry| entry.progress.active).max();
        let has_state = progress.active > Revision(0);
        has_state && now >= self.elected + FIRST_GRANT_AFTER && Some(progress.active) >= newest
    }

    /// Grants the reports that an entry or relay has sent since the last heartbeat to it.
    fn take_grants(&mut self, now: Instant, to: InstanceId) -> (Vec<u64>, Vec<InstanceId>) {
        let reports = self.ungranted.remove(&to).unwrap_or_default();
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
            self.out.push(RolloutAction::LeaseRegained(id));
        }
    }

    fn form_groups(&mut self, now: Instant) {
        self.groups.form(now, self.entries.iter().map(|(id, entry)| (*id, entry.domain)));
    }

    fn end_leases(&mut self, now: Instant) {
        let count = self.entries.len();
        self.entries.retain(|_, entry| !entry.is_removed || entry.is_leased(now));
        if self.entries.len() != count {
            self.form_groups(now);
        }
        for (id, entry) in &mut self.entries {
            if entry.lease_until.is_some() && !entry.is_leased(now) && !entry.is_fenced {
                entry.is_fenced = true;
                log::warn!("the lease of entry {id} has ended; it is isolated");
                self.out.push(RolloutAction::Fenced(*id));
            }
        }
    }

    /// Moves on as far as the entries with a lease allow.
    fn advance(&mut self, now: Instant) {
        while self.goal_reached(now) {
            match self.goal.phase {
                Phase::Prepare => {
                    self.goal.phase = Phase::Activate;
                    self.groups.iter_mut().for_each(|group| group.next = now);
                }
                Phase::Activate => {
                    self.complete(now);
                    if self.pending.is_empty() {
                        return;
                    }
                    self.start_next(now);
                }
            }
        }
    }

    fn goal_reached(&self, now: Instant) -> bool {
        let is_idle = self.goal.phase == Phase::Activate
            && self.settled == self.goal.revision
            && !self.is_first
            && self.pending.is_empty();
        let mut leased = self.entries.values().filter(|entry| entry.is_leased(now));
        !is_idle && leased.all(|entry| has_reached(entry.progress, self.goal))
    }

    fn complete(&mut self, now: Instant) {
        let revision = self.goal.revision;
        if self.settled == revision && !self.is_first {
            return;
        }
        self.settled = revision;
        self.is_first = false;
        self.effects.completed(now, revision);
        let missing = self.missing(revision);
        self.out.push(RolloutAction::InEffect { revision, missing });
    }

    /// Begins the next goal with everything accepted meanwhile, and pushes it with its commands.
    fn start_next(&mut self, now: Instant) {
        let count = self.pending.len().min(DELTA_COMMANDS);
        let commands = self.pending.drain(..count).collect();
        let delta = Delta { from: self.store.revision(), commands };
        self.store.apply(&delta);
        self.goal = Goal { revision: self.store.revision(), phase: Phase::Prepare };
        for group in self.groups.iter_mut() {
            group.next = now + RETRY;
            let message =
                InstallMessage::Install { term: self.term, goal: self.goal, delta: delta.clone() };
            self.out.push(RolloutAction::Send { to: group.relay, message });
        }
    }
}

fn flatten(states: &States) -> impl Iterator<Item = (Progress, InstanceId)> {
    states.iter().flat_map(|(progress, ids)| ids.iter().map(|id| (*progress, *id)))
}
