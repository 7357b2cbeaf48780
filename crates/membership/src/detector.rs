//! Failure detection among entries and control daemons: direct and indirect probes, suspicion with
//! refutation, and dissemination of updates that are piggybacked on the probes.

use crate::members::{
    MemberRecord, MemberRole, MemberState, MemberUpdate, Rank, UpdateQueue, log2_ceil,
};
pub use crate::probes::{DetectorAction, DetectorBody, DetectorMessage, MemberChange};
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A probe without an `Ack` is repeated, also through other members, after this long and once more after
/// twice this long.
pub const INDIRECT_PROBE_DELAY: Duration = Duration::from_millis(150);

/// A probe without an `Ack` fails after this long.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A suspected member is declared dead unless it refutes the suspicion within this time.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of other members that are asked to probe a member that does not respond.
pub const INDIRECT_PROBERS: usize = 2;

/// Up to this many live members, all of them are probed in every round.
pub const MAX_FULL_MESH_PEERS: usize = 8;

/// Number of members probed per round when more than `MAX_FULL_MESH_PEERS` are live.
pub const PROBES_PER_ROUND: usize = 3;

/// Rounds between two probes of a random dead member, which detect that a partition has healed.
pub const DEAD_PROBE_ROUNDS: u64 = 4;

/// Rounds between two `Sync` messages, each of which repeats a part of the member list.
pub const SYNC_ROUNDS: u64 = 10;

/// Maximum number of members listed in one `Sync` message.
pub const MAX_SYNC_MEMBERS: usize = 32;

/// Rounds after the start in which the whole member list is requested again. When many members start
/// together, the member asked first has a short list itself.
pub const RESYNC_ROUNDS: [u64; 3] = [4, 20, 60];

/// Records of dead members outside the seeds are kept for this long, which is longer than regions lose
/// contact with each other.
pub const DEAD_RETENTION: Duration = Duration::from_secs(7_200);

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    target: InstanceId,
    sent_at: Instant,
    retries: u32,
    /// When the probe is retried or fails.
    next_step_at: Instant,
}

/// Failure detector of one process.
#[derive(Debug)]
pub struct Detector {
    local: MemberUpdate,
    seeds: BTreeSet<InstanceId>,
    members: BTreeMap<InstanceId, MemberRecord>,
    suspected: BTreeSet<InstanceId>,
    updates: UpdateQueue,
    pending_probes: BTreeMap<u32, PendingProbe>,
    /// Members still to be probed in the current random order.
    rotation: Vec<InstanceId>,
    last_probe_number: u32,
    round: u64,
    next_round: Instant,
    /// When the last message of any member arrived.
    last_received: Instant,
    /// Last member in the most recent part of the list that was sent.
    sync_cursor: InstanceId,
    has_requested_sync: bool,
    rng: StdRng,
    actions: Vec<DetectorAction>,
}

impl Detector {
    /// Creates the detector of a process. `seeds` are the instances named in the settings.
    #[must_use]
    pub fn new(
        now: Instant,
        (id, incarnation): (InstanceId, Incarnation),
        (role, domain): (MemberRole, DomainId),
        seeds: impl IntoIterator<Item = InstanceId>,
        seed: u64,
    ) -> Self {
        let rank = Rank { incarnation, refutation: 0 };
        let local = MemberUpdate { id, rank, state: MemberState::Alive, role, domain };
        let mut detector = Self {
            local,
            seeds: seeds.into_iter().filter(|other| *other != id).collect(),
            members: BTreeMap::new(),
            suspected: BTreeSet::new(),
            updates: UpdateQueue::default(),
            pending_probes: BTreeMap::new(),
            rotation: Vec::new(),
            last_probe_number: 0,
            round: 0,
            next_round: now,
            last_received: now,
            sync_cursor: InstanceId(0),
            has_requested_sync: false,
            rng: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
        };
        detector.updates.push(local, 1);
        detector
    }

    /// The statement of this process about itself.
    #[must_use]
    pub fn local(&self) -> MemberUpdate {
        self.local
    }

    /// Live members other than this process, suspected ones included.
    pub fn live(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update).filter(|update| update.state.is_live())
    }

    /// Records of all members other than this process.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// The member through which another one is reached; `None` when that one is reached directly or not
    /// known.
    #[must_use]
    pub fn via(&self, id: InstanceId) -> Option<InstanceId> {
        self.members.get(&id).and_then(|member| member.via)
    }

    /// When `tick` must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let probes = self.pending_probes.values().map(|probe| probe.next_step_at);
        let suspected = self.suspected.iter().filter_map(|id| self.members.get(id));
        let suspicions = suspected.filter_map(|member| member.suspect_until);
        probes.chain(suspicions).fold(self.next_round, Instant::min)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<DetectorAction> {
        self.advance_probes(now);
        self.expire_suspicions(now);
        if now >= self.next_round {
            self.next_round = now + PROBE_INTERVAL;
            self.start_round(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Announces a graceful stop to `INDIRECT_PROBERS` + 1 live members, which disseminate it.
    pub fn leave(&mut self) -> Vec<DetectorAction> {
        self.local.state = MemberState::Left;
        self.updates.push(self.local, self.members.len());
        let receivers = self.pick_alive(INDIRECT_PROBERS + 1, &BTreeSet::new());
        for to in receivers {
            self.send(to, DetectorBody::Sync { want: false });
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles a message from another detector.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: DetectorMessage,
    ) -> Vec<DetectorAction> {
        if from != self.local.id && message.sender.id == from {
            self.last_received = now;
            self.merge_sender(now, message.sender);
            message.updates.into_iter().for_each(|update| self.merge(now, update));
            self.handle_body(now, from, message.body);
        }
        std::mem::take(&mut self.actions)
    }

    fn handle_body(&mut self, now: Instant, from: InstanceId, body: DetectorBody) {
        match body {
            DetectorBody::Probe { number, origin } => {
                self.send(from, DetectorBody::Ack { number, origin });
            }
            DetectorBody::Ack { number, origin: None } => {
                self.confirm_probe(now, number, from, None)
            }
            DetectorBody::Ack { number, origin: Some(origin) } => {
                if let Some(target) = self.members.get(&from).map(|member| member.update) {
                    self.send(origin, DetectorBody::IndirectAck { number, target });
                }
            }
            DetectorBody::ProbeRequest { number, target } => {
                self.send(target, DetectorBody::Probe { number, origin: Some(from) });
            }
            DetectorBody::IndirectAck { number, target } => {
                self.merge(now, target);
                self.confirm_probe(now, number, target.id, Some(from));
            }
            DetectorBody::Sync { want: true } => self.send_full_sync(from),
            DetectorBody::Sync { want: false } => {}
        }
        if !self.has_requested_sync {
            self.has_requested_sync = true;
            self.send(from, DetectorBody::Sync { want: true });
        }
    }

    fn confirm_probe(
        &mut self,
        now: Instant,
        number: u32,
        target: InstanceId,
        via: Option<InstanceId>,
    ) {
        let matches = self.pending_probes.get(&number).is_some_and(|probe| probe.target == target);
        if !matches {
            return;
        }
        self.pending_probes.remove(&number);
        if let Some(member) = self.members.get_mut(&target) {
            member.last_seen = Some(now);
            member.via = via;
        }
    }

    fn merge_sender(&mut self, now: Instant, sender: MemberUpdate) {
        self.merge(now, sender);
        if let Some(member) = self.members.get_mut(&sender.id)
            && member.update.rank <= sender.rank
        {
            member.last_seen = Some(now);
        }
    }

    /// Merges a statement about a member. A reported death counts as a suspicion while messages of the
    /// member arrived here recently: a member isolated in one direction would otherwise remove all others.
    fn merge(&mut self, now: Instant, mut update: MemberUpdate) {
        if update.id == self.local.id {
            self.refute(update);
            return;
        }
        let old = self.members.get(&update.id).copied();
        if let Some(old) = old {
            let recent = now.checked_sub(SUSPICION_TIMEOUT);
            let is_recent = recent.is_some() && old.seen_since(recent);
            if update.state == MemberState::Dead && update.rank == old.update.rank && is_recent {
                update.state = MemberState::Suspect;
            }
            if !update.replaces(&old.update) {
                return;
            }
        } else if !update.state.is_live() {
            return;
        }
        self.store_update(now, old, update, false);
    }

    fn refute(&mut self, update: MemberUpdate) {
        if update.rank.incarnation > self.local.rank.incarnation {
            self.actions.push(DetectorAction::Superseded(update.rank.incarnation));
            return;
        }
        let contradicts_local =
            update.rank >= self.local.rank && update.state != MemberState::Alive;
        if contradicts_local && self.local.state == MemberState::Alive {
            self.local.rank.refutation = update.rank.refutation + 1;
            self.updates.push(self.local, self.members.len());
        }
    }

    fn store_update(
        &mut self,
        now: Instant,
        old: Option<MemberRecord>,
        update: MemberUpdate,
        suspected_locally: bool,
    ) {
        let mut member = MemberRecord::new(update, now);
        if let Some(old) = old {
            member.via = old.via;
            let restarted = old.update.rank.incarnation < update.rank.incarnation;
            member.last_seen = if restarted { None } else { old.last_seen };
        }
        self.suspected.remove(&update.id);
        if update.state == MemberState::Suspect {
            self.suspected.insert(update.id);
            member.suspected_locally = suspected_locally;
            member.suspect_until = Some(now + self.suspicion_timeout(suspected_locally));
        }
        self.members.insert(update.id, member);
        // A process that receives no messages may itself be cut off, so it keeps its suspicions local.
        let receives_nothing = now.duration_since(self.last_received) > PROBE_INTERVAL * 2;
        if !(receives_nothing && suspected_locally) {
            self.updates.push(update, self.members.len());
        }
        if let Some(change) = MemberChange::between(old.map(|old| old.update), update) {
            self.actions.push(DetectorAction::Changed { change, member: update });
        }
    }

    /// Timeout of a suspicion. It is longer where another member raised the suspicion, so that the
    /// refutation can arrive in time: the number of members it has reached doubles about once a round.
    fn suspicion_timeout(&self, suspected_locally: bool) -> Duration {
        if suspected_locally {
            return SUSPICION_TIMEOUT;
        }
        SUSPICION_TIMEOUT + PROBE_INTERVAL * log2_ceil(self.members.len())
    }

    fn start_round(&mut self, now: Instant) {
        self.round += 1;
        for target in self.pick_probe_targets() {
            self.send_probe(now, target);
        }
        if RESYNC_ROUNDS.contains(&self.round) {
            let to = self.pick_alive(1, &BTreeSet::new()).pop_first();
            to.into_iter().for_each(|to| self.send(to, DetectorBody::Sync { want: true }));
        }
        if self.round.is_multiple_of(SYNC_ROUNDS) {
            self.send_sync_part();
            self.forget_dead(now);
        }
    }

    fn pick_probe_targets(&mut self) -> BTreeSet<InstanceId> {
        let live: Vec<InstanceId> = self.live().map(|update| update.id).collect();
        let mut targets: BTreeSet<InstanceId> = self
            .members
            .values()
            .filter(|member| member.suspected_locally)
            .map(|member| member.update.id)
            .sample_sorted(&mut self.rng, INDIRECT_PROBERS);
        if live.len() <= MAX_FULL_MESH_PEERS {
            targets.extend(live);
        } else {
            targets.extend(self.take_from_rotation(&live));
        }
        let unknown = self.seeds.iter().filter(|id| !self.members.contains_key(id));
        targets.extend(unknown.copied().sample_sorted(&mut self.rng, INDIRECT_PROBERS));
        if self.round.is_multiple_of(DEAD_PROBE_ROUNDS) {
            let dead =
                self.members.values().filter(|member| member.update.state == MemberState::Dead);
            targets.extend(dead.map(|member| member.update.id).choose(&mut self.rng));
        }
        targets
    }

    /// Takes the next members of a random order, which is shuffled anew once every member had its turn.
    fn take_from_rotation(&mut self, live: &[InstanceId]) -> Vec<InstanceId> {
        let mut chosen = Vec::new();
        while chosen.len() < PROBES_PER_ROUND {
            let Some(id) = self.rotation.pop() else {
                self.rotation = live.to_vec();
                self.rotation.shuffle(&mut self.rng);
                continue;
            };
            if live.binary_search(&id).is_ok() {
                chosen.push(id);
            }
        }
        chosen
    }

    fn send_probe(&mut self, now: Instant, target: InstanceId) {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let probe = PendingProbe {
            target,
            sent_at: now,
            retries: 0,
            next_step_at: now + INDIRECT_PROBE_DELAY,
        };
        self.pending_probes.insert(self.last_probe_number, probe);
        self.send(target, DetectorBody::Probe { number: self.last_probe_number, origin: None });
    }

    fn advance_probes(&mut self, now: Instant) {
        let due: Vec<(u32, PendingProbe)> = self
            .pending_probes
            .iter()
            .filter(|(_, probe)| probe.next_step_at <= now)
            .map(|(number, probe)| (*number, *probe))
            .collect();
        for (number, probe) in due {
            if now >= probe.sent_at + PROBE_TIMEOUT {
                self.pending_probes.remove(&number);
                self.fail_probe(now, probe);
            } else {
                self.retry_probe(number, probe);
            }
        }
    }

    /// Repeats a probe and asks other members to probe the target too.
    fn retry_probe(&mut self, number: u32, mut probe: PendingProbe) {
        probe.retries += 1;
        let is_last_retry = probe.retries >= 2;
        let wait =
            if is_last_retry { PROBE_TIMEOUT } else { INDIRECT_PROBE_DELAY * (probe.retries + 1) };
        probe.next_step_at = probe.sent_at + wait;
        self.pending_probes.insert(number, probe);
        let target = probe.target;
        self.send(target, DetectorBody::Probe { number, origin: None });
        let mut probers: BTreeSet<InstanceId> = self.via(target).into_iter().collect();
        let excluded = probers.iter().copied().chain([target]).collect();
        let missing = INDIRECT_PROBERS - probers.len();
        probers.extend(self.pick_alive(missing, &excluded));
        for prober in probers {
            self.send(prober, DetectorBody::ProbeRequest { number, target });
        }
    }

    /// Raises a suspicion, unless a message of the member arrived after the probe was sent.
    fn fail_probe(&mut self, now: Instant, probe: PendingProbe) {
        let Some(member) = self.members.get_mut(&probe.target).map(|member| *member) else {
            return;
        };
        let is_alive = member.update.state == MemberState::Alive;
        if !is_alive || member.seen_since(Some(probe.sent_at)) {
            return;
        }
        let update = MemberUpdate { state: MemberState::Suspect, ..member.update };
        self.store_update(now, Some(member), update, true);
    }

    fn expire_suspicions(&mut self, now: Instant) {
        let is_due =
            |member: &&MemberRecord| member.suspect_until.is_some_and(|until| until <= now);
        let suspected = self.suspected.iter().filter_map(|id| self.members.get(id));
        let due: Vec<MemberRecord> = suspected.filter(is_due).copied().collect();
        for member in due {
            if member.seen_since(Some(member.since)) {
                self.clear_suspicion(member.update);
                continue;
            }
            let update = MemberUpdate { state: MemberState::Dead, ..member.update };
            self.store_update(now, Some(member), update, member.suspected_locally);
        }
    }

    /// Clears the suspicion of a member whose messages arrived here meanwhile. Other members keep
    /// theirs until they receive its refutation.
    fn clear_suspicion(&mut self, update: MemberUpdate) {
        let member = MemberUpdate { state: MemberState::Alive, ..update };
        self.suspected.remove(&update.id);
        if let Some(record) = self.members.get_mut(&update.id) {
            record.update = member;
            record.suspect_until = None;
            record.suspected_locally = false;
        }
        self.actions.push(DetectorAction::Changed { change: MemberChange::Alive, member });
    }

    fn forget_dead(&mut self, now: Instant) {
        let seeds = &self.seeds;
        self.members.retain(|id, member| {
            let is_recent = now.duration_since(member.since) < DEAD_RETENTION;
            member.update.state.is_live() || is_recent || seeds.contains(id)
        });
    }

    fn pick_alive(
        &mut self,
        count: usize,
        excluded: &BTreeSet<InstanceId>,
    ) -> BTreeSet<InstanceId> {
        self.members
            .values()
            .filter(|member| member.update.state == MemberState::Alive)
            .map(|member| member.update.id)
            .filter(|id| !excluded.contains(id))
            .sample_sorted(&mut self.rng, count)
    }

    /// Sends a message with queued updates. A suspicion or death of the receiver is always included,
    /// since only the receiver can refute it.
    fn send(&mut self, to: InstanceId, body: DetectorBody) {
        let mut updates = self.updates.take_batch();
        let about_receiver = self.members.get(&to).map(|member| member.update);
        let refutable = about_receiver.filter(|update| update.state != MemberState::Alive);
        updates.retain(|update| Some(*update) != refutable && update.id != self.local.id);
        updates.extend(refutable);
        let message = DetectorMessage { sender: self.local, updates, body };
        self.actions.push(DetectorAction::Send { to, message });
    }

    /// Sends the next part of the member list to a random member.
    fn send_sync_part(&mut self) {
        let Some(to) = self.pick_alive(1, &BTreeSet::new()).pop_first() else { return };
        let after = (std::ops::Bound::Excluded(self.sync_cursor), std::ops::Bound::Unbounded);
        let part = self.members.range(after).take(MAX_SYNC_MEMBERS);
        let updates: Vec<MemberUpdate> = part.map(|(_, member)| member.update).collect();
        let is_last = updates.len() < MAX_SYNC_MEMBERS;
        let last = updates.last().map_or(InstanceId(0), |update| update.id);
        self.sync_cursor = if is_last { InstanceId(0) } else { last };
        self.send_sync(to, updates);
    }

    fn send_full_sync(&mut self, to: InstanceId) {
        let all: Vec<MemberUpdate> = self.members.values().map(|member| member.update).collect();
        for part in all.chunks(MAX_SYNC_MEMBERS) {
            self.send_sync(to, part.to_vec());
        }
    }

    fn send_sync(&mut self, to: InstanceId, updates: Vec<MemberUpdate>) {
        let body = DetectorBody::Sync { want: false };
        let message = DetectorMessage { sender: self.local, updates, body };
        self.actions.push(DetectorAction::Send { to, message });
    }
}

/// Random selection into an ordered set, so that the order of sends does not depend on the sampler.
trait SampleSorted: Iterator<Item = InstanceId> + Sized {
    fn sample_sorted(self, rng: &mut impl RngExt, count: usize) -> BTreeSet<InstanceId> {
        self.sample(rng, count).into_iter().collect()
    }
}

impl<I: Iterator<Item = InstanceId>> SampleSorted for I {}
