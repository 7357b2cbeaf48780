//! Failure detection among entries and control daemons: direct and indirect probes, suspicion with
//! refutation, and updates carried by the probes.

use crate::members::{Gossip, Known, MemberRole, MemberState, MemberUpdate, Rank, log2_ceil};
pub use crate::probes::{DetectorAction, DetectorBody, DetectorMessage, MemberChange};
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A probe that has not been confirmed for this long is repeated through others, at most twice.
pub const INDIRECT_AFTER: Duration = Duration::from_millis(150);

/// A probe that has not been confirmed for this long has failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a suspected member has to refute the suspicion.
pub const SUSPICION: Duration = Duration::from_secs(2);

/// How many others are asked to probe a member that does not respond.
pub const HELPERS: usize = 2;

/// Up to this many peers, each of them is probed in every round.
pub const FULL_MESH_PEERS: usize = 8;

/// Members probed per round when there are more than `FULL_MESH_PEERS`.
pub const PROBES_PER_ROUND: usize = 3;

/// Rounds between two probes of a member that is not live, to notice that a partition has healed.
pub const DEAD_PROBE_ROUNDS: u64 = 4;

/// Rounds between two messages that repeat a part of the member list.
pub const SYNC_ROUNDS: u64 = 10;

/// Members listed by one `Sync` message.
pub const SYNC_MEMBERS: usize = 32;

/// Rounds after the start in which the whole member list is asked for again: when many members start
/// together, the first one asked knows few of them.
pub const RESYNC_ROUNDS: [u64; 3] = [4, 20, 60];

/// Time that a dead member outside the seeds is remembered: longer than regions lose contact.
pub const DEAD_KEPT: Duration = Duration::from_secs(7_200);

#[derive(Clone, Copy, Debug)]
struct Flight {
    target: InstanceId,
    sent: Instant,
    repeats: u32,
    next: Instant,
}

/// Failure detector of one process.
#[derive(Debug)]
pub struct Detector {
    own: MemberUpdate,
    seeds: BTreeSet<InstanceId>,
    known: BTreeMap<InstanceId, Known>,
    suspected: BTreeSet<InstanceId>,
    gossip: Gossip,
    flights: BTreeMap<u32, Flight>,
    rotation: Vec<InstanceId>,
    number: u32,
    round: u64,
    next_round: Instant,
    last_heard: Instant,
    sync_after: InstanceId,
    synced: bool,
    rng: StdRng,
    out: Vec<DetectorAction>,
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
        let own = MemberUpdate { id, rank, state: MemberState::Alive, role, domain };
        let mut detector = Self {
            own,
            seeds: seeds.into_iter().filter(|other| *other != id).collect(),
            known: BTreeMap::new(),
            suspected: BTreeSet::new(),
            gossip: Gossip::default(),
            flights: BTreeMap::new(),
            rotation: Vec::new(),
            number: 0,
            round: 0,
            next_round: now,
            last_heard: now,
            sync_after: InstanceId(0),
            synced: false,
            rng: StdRng::seed_from_u64(seed),
            out: Vec::new(),
        };
        detector.gossip.push(own, 1);
        detector
    }

    /// This process as it presents itself.
    #[must_use]
    pub fn own(&self) -> MemberUpdate {
        self.own
    }

    /// Live members other than this process, suspected ones included.
    pub fn live(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.known.values().map(|known| &known.update).filter(|update| update.state.is_live())
    }

    /// All known members other than this process.
    pub fn members(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// The member through which another one is reached, or `None` when it is reached directly.
    #[must_use]
    pub fn via(&self, id: InstanceId) -> Option<InstanceId> {
        self.known.get(&id).and_then(|known| known.via)
    }

    /// When `tick` has to be called next.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let flights = self.flights.values().map(|flight| flight.next);
        let suspected = self.suspected.iter().filter_map(|id| self.known.get(id));
        let suspicions = suspected.filter_map(|known| known.suspect_until);
        flights.chain(suspicions).fold(self.next_round, Instant::min)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<DetectorAction> {
        self.advance_flights(now);
        self.end_suspicions(now);
        if now >= self.next_round {
            self.next_round = now + PROBE_INTERVAL;
            self.start_round(now);
        }
        std::mem::take(&mut self.out)
    }

    /// Announces a graceful stop to `HELPERS` + 1 live members, which pass it on.
    pub fn leave(&mut self) -> Vec<DetectorAction> {
        self.own.state = MemberState::Left;
        self.gossip.push(self.own, self.known.len());
        let told = self.pick_live(HELPERS + 1, &BTreeSet::new());
        for to in told {
            self.send(to, DetectorBody::Sync { want: false });
        }
        std::mem::take(&mut self.out)
    }

    /// Handles a message of another detector.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: DetectorMessage,
    ) -> Vec<DetectorAction> {
        if from != self.own.id && message.sender.id == from {
            self.last_heard = now;
            self.hear(now, message.sender);
            message.updates.into_iter().for_each(|update| self.merge(now, update));
            self.handle(now, from, message.body);
        }
        std::mem::take(&mut self.out)
    }

    fn handle(&mut self, now: Instant, from: InstanceId, body: DetectorBody) {
        match body {
            DetectorBody::Probe { number, origin } => {
                self.send(from, DetectorBody::Ack { number, origin });
            }
            DetectorBody::Ack { number, origin: None } => self.confirm(now, number, from, None),
            DetectorBody::Ack { number, origin: Some(origin) } => {
                if let Some(target) = self.known.get(&from).map(|known| known.update) {
                    self.send(origin, DetectorBody::IndirectAck { number, target });
                }
            }
            DetectorBody::ProbeRequest { number, target } => {
                self.send(target, DetectorBody::Probe { number, origin: Some(from) });
            }
            DetectorBody::IndirectAck { number, target } => {
                self.merge(now, target);
                self.confirm(now, number, target.id, Some(from));
            }
            DetectorBody::Sync { want: true } => self.send_all(from),
            DetectorBody::Sync { want: false } => {}
        }
        if !self.synced {
            self.synced = true;
            self.send(from, DetectorBody::Sync { want: true });
        }
    }

    fn confirm(&mut self, now: Instant, number: u32, target: InstanceId, via: Option<InstanceId>) {
        let matches = self.flights.get(&number).is_some_and(|flight| flight.target == target);
        if !matches {
            return;
        }
        self.flights.remove(&number);
        if let Some(known) = self.known.get_mut(&target) {
            known.heard = Some(now);
            known.via = via;
        }
    }

    fn hear(&mut self, now: Instant, sender: MemberUpdate) {
        self.merge(now, sender);
        if let Some(known) = self.known.get_mut(&sender.id)
            && known.update.rank <= sender.rank
        {
            known.heard = Some(now);
        }
    }

    /// Takes in a statement about a member. A reported death counts as a suspicion while the member
    /// was heard here recently: a member cut off in one direction would otherwise remove all others.
    fn merge(&mut self, now: Instant, mut update: MemberUpdate) {
        if update.id == self.own.id {
            self.refute(update);
            return;
        }
        let old = self.known.get(&update.id).copied();
        if let Some(old) = old {
            let recent = now.checked_sub(SUSPICION);
            let is_recent = recent.is_some() && old.heard_since(recent);
            if update.state == MemberState::Dead && update.rank == old.update.rank && is_recent {
                update.state = MemberState::Suspect;
            }
            if !update.replaces(&old.update) {
                return;
            }
        } else if !update.state.is_live() {
            return;
        }
        self.store(now, old, update, false);
    }

    fn refute(&mut self, update: MemberUpdate) {
        if update.rank.incarnation > self.own.rank.incarnation {
            self.out.push(DetectorAction::Superseded(update.rank.incarnation));
            return;
        }
        let concerns_own = update.rank >= self.own.rank && update.state != MemberState::Alive;
        if concerns_own && self.own.state == MemberState::Alive {
            self.own.rank.refutation = update.rank.refutation + 1;
            self.gossip.push(self.own, self.known.len());
        }
    }

    fn store(
        &mut self,
        now: Instant,
        old: Option<Known>,
        update: MemberUpdate,
        accused_here: bool,
    ) {
        let mut known = Known::new(update, now);
        if let Some(old) = old {
            known.via = old.via;
            let restarted = old.update.rank.incarnation < update.rank.incarnation;
            known.heard = if restarted { None } else { old.heard };
        }
        self.suspected.remove(&update.id);
        if update.state == MemberState::Suspect {
            self.suspected.insert(update.id);
            known.accused_here = accused_here;
            known.suspect_until = Some(now + self.suspicion(accused_here));
        }
        self.known.insert(update.id, known);
        // A member that hears nobody may itself be the one that is cut off.
        let is_deaf = now.duration_since(self.last_heard) > PROBE_INTERVAL * 2;
        if !(is_deaf && accused_here) {
            self.gossip.push(update, self.known.len());
        }
        if let Some(change) = MemberChange::between(old.map(|old| old.update), update) {
            self.out.push(DetectorAction::Changed { change, member: update });
        }
    }

    /// Members that only heard of a suspicion wait longer, so that a refutation can reach them: it
    /// takes about one round per doubling of the informed members.
    fn suspicion(&self, accused_here: bool) -> Duration {
        if accused_here {
            return SUSPICION;
        }
        SUSPICION + PROBE_INTERVAL * log2_ceil(self.known.len())
    }

    fn start_round(&mut self, now: Instant) {
        self.round += 1;
        for target in self.round_targets() {
            self.probe(now, target);
        }
        if RESYNC_ROUNDS.contains(&self.round) {
            let to = self.pick_live(1, &BTreeSet::new()).pop_first();
            to.into_iter().for_each(|to| self.send(to, DetectorBody::Sync { want: true }));
        }
        if self.round.is_multiple_of(SYNC_ROUNDS) {
            self.send_part();
            self.forget_dead(now);
        }
    }

    fn round_targets(&mut self) -> BTreeSet<InstanceId> {
        let live: Vec<InstanceId> = self.live().map(|update| update.id).collect();
        let mut targets: BTreeSet<InstanceId> = self
            .known
            .values()
            .filter(|known| known.accused_here)
            .map(|known| known.update.id)
            .choose_multiple_sorted(&mut self.rng, HELPERS);
        if live.len() <= FULL_MESH_PEERS {
            targets.extend(live);
        } else {
            targets.extend(self.rotate(&live));
        }
        let unknown = self.seeds.iter().filter(|id| !self.known.contains_key(id));
        targets.extend(unknown.copied().choose_multiple_sorted(&mut self.rng, HELPERS));
        if self.round.is_multiple_of(DEAD_PROBE_ROUNDS) {
            let dead = self.known.values().filter(|known| known.update.state == MemberState::Dead);
            targets.extend(dead.map(|known| known.update.id).choose(&mut self.rng));
        }
        targets
    }

    /// Next members of a random order that covers everyone before it starts again.
    fn rotate(&mut self, live: &[InstanceId]) -> Vec<InstanceId> {
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

    fn probe(&mut self, now: Instant, target: InstanceId) {
        self.number = self.number.wrapping_add(1);
        let flight = Flight { target, sent: now, repeats: 0, next: now + INDIRECT_AFTER };
        self.flights.insert(self.number, flight);
        self.send(target, DetectorBody::Probe { number: self.number, origin: None });
    }

    fn advance_flights(&mut self, now: Instant) {
        let due: Vec<(u32, Flight)> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.next <= now)
            .map(|(number, flight)| (*number, *flight))
            .collect();
        for (number, flight) in due {
            if now >= flight.sent + PROBE_TIMEOUT {
                self.flights.remove(&number);
                self.fail(now, flight);
            } else {
                self.repeat(number, flight);
            }
        }
    }

    fn repeat(&mut self, number: u32, mut flight: Flight) {
        flight.repeats += 1;
        let repeats_end = flight.repeats >= 2;
        let wait = if repeats_end { PROBE_TIMEOUT } else { INDIRECT_AFTER * (flight.repeats + 1) };
        flight.next = flight.sent + wait;
        self.flights.insert(number, flight);
        let target = flight.target;
        self.send(target, DetectorBody::Probe { number, origin: None });
        let mut helpers: BTreeSet<InstanceId> = self.via(target).into_iter().collect();
        let excluded = helpers.iter().copied().chain([target]).collect();
        let missing = HELPERS - helpers.len();
        helpers.extend(self.pick_live(missing, &excluded));
        for helper in helpers {
            self.send(helper, DetectorBody::ProbeRequest { number, target });
        }
    }

    fn fail(&mut self, now: Instant, flight: Flight) {
        let Some(known) = self.known.get_mut(&flight.target).map(|known| *known) else { return };
        let is_alive = known.update.state == MemberState::Alive;
        if !is_alive || known.heard_since(Some(flight.sent)) {
            return;
        }
        let update = MemberUpdate { state: MemberState::Suspect, ..known.update };
        self.store(now, Some(known), update, true);
    }

    fn end_suspicions(&mut self, now: Instant) {
        let is_due = |known: &&Known| known.suspect_until.is_some_and(|until| until <= now);
        let suspected = self.suspected.iter().filter_map(|id| self.known.get(id));
        let due: Vec<Known> = suspected.filter(is_due).copied().collect();
        for known in due {
            if known.heard_since(Some(known.since)) {
                self.clear_suspicion(known.update);
                continue;
            }
            let update = MemberUpdate { state: MemberState::Dead, ..known.update };
            self.store(now, Some(known), update, known.accused_here);
        }
    }

    /// Ends a suspicion of a member that was heard here meanwhile. Others keep theirs until the
    /// member's refutation reaches them.
    fn clear_suspicion(&mut self, update: MemberUpdate) {
        let member = MemberUpdate { state: MemberState::Alive, ..update };
        self.suspected.remove(&update.id);
        if let Some(known) = self.known.get_mut(&update.id) {
            known.update = member;
            known.suspect_until = None;
            known.accused_here = false;
        }
        self.out.push(DetectorAction::Changed { change: MemberChange::Alive, member });
    }

    fn forget_dead(&mut self, now: Instant) {
        let seeds = &self.seeds;
        self.known.retain(|id, known| {
            let is_recent = now.duration_since(known.since) < DEAD_KEPT;
            known.update.state.is_live() || is_recent || seeds.contains(id)
        });
    }

    fn pick_live(&mut self, count: usize, excluded: &BTreeSet<InstanceId>) -> BTreeSet<InstanceId> {
        self.known
            .values()
            .filter(|known| known.update.state == MemberState::Alive)
            .map(|known| known.update.id)
            .filter(|id| !excluded.contains(id))
            .choose_multiple_sorted(&mut self.rng, count)
    }

    /// Sends a message with the queued updates. What the receiver is accused of always comes along,
    /// since only it can refute.
    fn send(&mut self, to: InstanceId, body: DetectorBody) {
        let mut updates = self.gossip.take();
        let about = self.known.get(&to).map(|known| known.update);
        let accusation = about.filter(|update| update.state != MemberState::Alive);
        updates.retain(|update| Some(*update) != accusation && update.id != self.own.id);
        updates.extend(accusation);
        let message = DetectorMessage { sender: self.own, updates, body };
        self.out.push(DetectorAction::Send { to, message });
    }

    fn send_part(&mut self) {
        let Some(to) = self.pick_live(1, &BTreeSet::new()).pop_first() else { return };
        let after = (std::ops::Bound::Excluded(self.sync_after), std::ops::Bound::Unbounded);
        let part = self.known.range(after).take(SYNC_MEMBERS);
        let updates: Vec<MemberUpdate> = part.map(|(_, known)| known.update).collect();
        let is_last = updates.len() < SYNC_MEMBERS;
        let last = updates.last().map_or(InstanceId(0), |update| update.id);
        self.sync_after = if is_last { InstanceId(0) } else { last };
        self.send_sync(to, updates);
    }

    fn send_all(&mut self, to: InstanceId) {
        let all: Vec<MemberUpdate> = self.known.values().map(|known| known.update).collect();
        for part in all.chunks(SYNC_MEMBERS) {
            self.send_sync(to, part.to_vec());
        }
    }

    fn send_sync(&mut self, to: InstanceId, updates: Vec<MemberUpdate>) {
        let body = DetectorBody::Sync { want: false };
        let message = DetectorMessage { sender: self.own, updates, body };
        self.out.push(DetectorAction::Send { to, message });
    }
}

/// Random choice into an ordered set, so that the order of sends does not depend on the sampler.
trait ChooseSorted: Iterator<Item = InstanceId> + Sized {
    fn choose_multiple_sorted(self, rng: &mut impl RngExt, count: usize) -> BTreeSet<InstanceId> {
        self.sample(rng, count).into_iter().collect()
    }
}

impl<I: Iterator<Item = InstanceId>> ChooseSorted for I {}
