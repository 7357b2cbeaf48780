//! A small network of control instances with injected faults, driven by one seed.

mod checks;

use checks::Checks;
use comfreyhold_consensus::durable::{Durable, WriteBatch};
use comfreyhold_consensus::message::Message;
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaSettings, RequestId};
use comfreyhold_types::declarations::{Content, Publication, Voter};
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const STEP_MS: u64 = 5;

/// Which faults a schedule injects besides loss, delay, duplication, cuts and crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Faults {
    Network,
    OldCopies,
    LostDisks,
    LongCut,
}

struct Member {
    disk: u64,
    start: u64,
    durable: Durable,
    unsynced: Vec<(u64, u64, WriteBatch)>,
    copies: Vec<Durable>,
    node: Option<LogReplica>,
    restart_at: u64,
}

pub struct Network {
    seed: u64,
    faults: Faults,
    rng: StdRng,
    epoch: Instant,
    now_ms: u64,
    members: BTreeMap<InstanceId, Member>,
    in_flight: BTreeMap<(u64, u64), (InstanceId, Message)>,
    sent: u64,
    cuts: BTreeMap<(InstanceId, InstanceId), u64>,
    quiet: bool,
    loss: f64,
    /// Factor on the rates of cuts, crashes and old copies.
    density: f64,
    lost: Option<(Voter, Voter)>,
    replacing: Option<RequestId>,
    next_request: u64,
    pub checks: Checks,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if rng.random_bool(0.5) { 3 } else { 5 };
        let loss = [0.0, 0.02, 0.2][rng.random_range(0..3)];
        let density = [1.0, 3.0, 10.0][rng.random_range(0..3)];
        let mut network = Self {
            seed,
            faults,
            rng,
            epoch: Instant::now(),
            now_ms: 0,
            members: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            cuts: BTreeMap::new(),
            quiet: false,
            loss,
            density,
            lost: None,
            replacing: None,
            next_request: 1,
            checks: Checks::new(seed),
        };
        for number in 1..=count {
            let id = InstanceId(number);
            let member = Member {
                disk: u64::from(number) * 1_000,
                start: 0,
                durable: Durable::default(),
                unsynced: Vec::new(),
                copies: Vec::new(),
                node: None,
                restart_at: 0,
            };
            network.members.insert(id, member);
        }
        network
    }

    /// Runs faults, then heals everything and checks that the instances converge.
    pub fn run(&mut self, fault_ms: u64, calm_ms: u64) {
        self.quiet = true;
        self.run_for(2_500);
        self.quiet = false;
        self.run_for(fault_ms);
        self.quiet = true;
        self.cuts.clear();
        self.loss = 0.0;
        for member in self.members.values_mut() {
            member.restart_at = member.restart_at.min(self.now_ms);
        }
        self.run_for(calm_ms);
        let live = self.members.values().filter_map(|member| member.node.as_ref());
        self.checks.converged(live.collect(), self.now());
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            if !self.quiet {
                self.inject();
            }
            self.start_members();
            self.deliver_due();
            self.sync_due();
            for id in self.ids() {
                self.feed(id, Event::Tick);
            }
            self.operators();
            self.read();
        }
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn ids(&self) -> Vec<InstanceId> {
        self.members.keys().copied().collect()
    }

    fn any_id(&mut self) -> InstanceId {
        let ids = self.ids();
        ids[self.rng.random_range(0..ids.len())]
    }

    fn start_members(&mut self) {
        let members: BTreeSet<InstanceId> = self.members.keys().copied().collect();
        let (now, now_ms) = (self.now(), self.now_ms);
        for (id, member) in &mut self.members {
            if member.node.is_some() || member.restart_at > now_ms {
                continue;
            }
            member.start += 1;
            let me = Voter { instance: *id, disk: member.disk };
            let mut settings = ReplicaSettings::new(me, Incarnation(member.start), members.clone());
            settings.may_form_voters = true;
            settings.heartbeat = Duration::from_millis(50);
            settings.election = Duration::from_millis(300);
            let strict = self.faults == Faults::OldCopies;
            settings.rejoin_grace = (!strict).then_some(Duration::from_secs(1));
            settings.snapshot_every = 8 + self.seed % 30;
            settings.keep_entries = self.seed % 10;
            settings.chunk_bytes = 300;
            settings.max_entries = 4;
            settings.max_inflight = 16;
            let rng = StdRng::seed_from_u64(self.rng.random());
            member.node =
                Some(LogReplica::new(settings, member.durable.clone(), rng, now).unwrap());
        }
    }

    fn deliver_due(&mut self) {
        let later = self.in_flight.split_off(&(self.now_ms + 1, 0));
        for (to, message) in std::mem::replace(&mut self.in_flight, later).into_values() {
            self.feed(to, Event::Message(message));
        }
    }

    fn sync_due(&mut self) {
        for id in self.ids() {
            loop {
                let member = self.members.get_mut(&id).unwrap();
                let due = member.unsynced.first().is_some_and(|(at, ..)| *at <= self.now_ms);
                if !due {
                    break;
                }
                let (_, seq, batch) = member.unsynced.remove(0);
                member.durable.apply(&batch);
                self.feed(id, Event::Persisted(seq));
            }
        }
    }

    fn feed(&mut self, id: InstanceId, event: Event) {
        let now = self.now();
        let Some(node) = self.members.get_mut(&id).unwrap().node.as_mut() else { return };
        let actions = node.handle(now, event);
        for action in actions {
            self.act(id, action);
        }
    }

    fn act(&mut self, id: InstanceId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(id, to, message),
            Action::Persist { seq, batch } => {
                let due = self.now_ms + self.rng.random_range(0..20);
                let member = self.members.get_mut(&id).unwrap();
                let due = member.unsynced.last().map_or(due, |(last, ..)| due.max(*last));
                member.unsynced.push((due, seq, batch));
            }
            Action::Advanced(_) => {
                let member = &self.members[&id];
                self.checks.advanced(id, member.start, member.node.as_ref().unwrap());
            }
            Action::Elected(term) => self.checks.elected(id, term),
            Action::Applied { request, outcome, .. } => {
                self.end_replacement(request, true);
                self.checks.applied(request, &outcome);
            }
            Action::Refused { request, .. } => {
                self.end_replacement(request, false);
                self.checks.refused(request);
            }
            Action::OutcomeUnknown { request } => {
                self.end_replacement(request, false);
                self.checks.unknown(request);
            }
            Action::SteppedDown(_) => {}
        }
    }

    fn end_replacement(&mut self, request: RequestId, done: bool) {
        if self.replacing == Some(request) {
            self.replacing = None;
            if done {
                self.lost = None;
            }
        }
    }

    fn send(&mut self, from: InstanceId, to: InstanceId, message: Message) {
        let cut = self.cuts.get(&(from, to)).is_some_and(|until| *until > self.now_ms);
        if cut || self.rng.random_bool(self.loss) {
            return;
        }
        // The message enum has to survive its encoding, as on the real network.
        let bytes = postcard::to_stdvec(&message).unwrap();
        let message: Message = postcard::from_bytes(&bytes).unwrap();
        let copies = if !self.quiet && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = !self.quiet && self.rng.random_bool(0.05);
            let delay = self.rng.random_range(if slow { 100..3_000 } else { 1..20 });
            self.sent += 1;
            self.in_flight.insert((self.now_ms + delay, self.sent), (to, message.clone()));
        }
    }

    fn inject(&mut self) {
        if self.rng.random_bool(0.003 * self.density) {
            self.cut();
        }
        if self.rng.random_bool(0.002 * self.density) {
            let id = self.any_id();
            self.crash(id);
        }
        if self.rng.random_bool(0.0002 * self.density) {
            for id in self.ids() {
                self.crash(id);
            }
        }
        match self.faults {
            Faults::OldCopies => self.old_copy(),
            Faults::LostDisks => self.lose_disk(),
            Faults::LongCut if self.rng.random_bool(0.001) => self.cut_leader(),
            _ => {}
        }
    }

    /// Cuts one or both directions of one pair, or a group from the rest.
    fn cut(&mut self) {
        let until = self.now_ms + self.rng.random_range(50..2_000);
        let one = self.any_id();
        if self.rng.random_bool(0.5) {
            let other = self.any_id();
            self.cuts.insert((one, other), until);
            if self.rng.random_bool(0.5) {
                self.cuts.insert((other, one), until);
            }
            return;
        }
        let group: BTreeSet<InstanceId> = [one, self.any_id()].into();
        self.cut_group(&group, until);
    }

    fn cut_group(&mut self, group: &BTreeSet<InstanceId>, until: u64) {
        for a in self.ids() {
            for b in self.ids() {
                if group.contains(&a) != group.contains(&b) {
                    self.cuts.insert((a, b), until);
                }
            }
        }
    }

    fn cut_leader(&mut self) {
        let until = self.now_ms + 8_000;
        if let Some(leader) = self.leader() {
            self.cut_group(&[leader].into(), until);
        }
    }

    fn leader(&self) -> Option<InstanceId> {
        let now = self.now();
        let leads =
            |member: &Member| member.node.as_ref().is_some_and(|node| node.read_is_current(now));
        self.members.iter().find(|(_, member)| leads(member)).map(|(id, _)| *id)
    }

    /// Loses all unsynced batches but a random number of the first ones.
    fn crash(&mut self, id: InstanceId) {
        let delay = self.rng.random_range(10..1_500);
        let member = self.members.get_mut(&id).unwrap();
        let kept = self.rng.random_range(0..=member.unsynced.len());
        for (_, _, batch) in member.unsynced.drain(..).take(kept) {
            member.durable.apply(&batch);
        }
        member.node = None;
        member.restart_at = self.now_ms + delay;
    }

    fn old_copy(&mut self) {
        let victim = InstanceId(1 + u16::try_from(self.seed % 3).unwrap());
        if self.rng.random_bool(0.01) {
            let member = self.members.get_mut(&victim).unwrap();
            let copy = member.durable.clone();
            member.copies.push(copy);
        }
        if self.rng.random_bool(0.002 * self.density) {
            self.crash(victim);
            let member = self.members.get_mut(&victim).unwrap();
            if !member.copies.is_empty() {
                let chosen = self.rng.random_range(0..member.copies.len());
                member.durable = member.copies[chosen].clone();
            }
        }
    }

    /// A second disk is lost as soon as the first replacement is accepted.
    fn lose_disk(&mut self) {
        if self.lost.is_some() || !self.rng.random_bool(0.005) {
            return;
        }
        let id = self.any_id();
        self.crash(id);
        let member = self.members.get_mut(&id).unwrap();
        let old = Voter { instance: id, disk: member.disk };
        member.disk += 1;
        member.durable = Durable::default();
        self.lost = Some((old, Voter { instance: id, disk: member.disk }));
    }

    fn operators(&mut self) {
        if !self.rng.random_bool(0.05) {
            return;
        }
        let id = self.any_id();
        if let (Some((old, new)), None) = (self.lost, self.replacing) {
            let request = self.request();
            self.replacing = Some(request);
            self.feed(id, Event::Replace { request, old, new });
            if self.members[&id].node.is_none() {
                self.replacing = None;
            }
            return;
        }
        let Some(node) = &self.members[&id].node else { return };
        let held = node.state().versions.get("profile/orders");
        let last = held.and_then(|held| held.keys().next_back().copied()).unwrap_or(0);
        let resend = self.checks.unanswered(&mut self.rng);
        let publication = resend.unwrap_or_else(|| self.publication(last + 1));
        let request = self.request();
        self.checks.proposed(request, &publication);
        self.feed(id, Event::Propose { request, command: Command::Publish(publication) });
    }

    fn publication(&mut self, version: u64) -> Publication {
        let deadline_ms = 10 + self.next_request;
        let profile = Profile::builder().name("orders").deadline_ms(deadline_ms).build();
        let operator = if self.rng.random_bool(0.5) { "ana" } else { "bia" };
        Publication { version, operator: operator.to_owned(), content: Content::Profile(profile) }
    }

    fn request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    fn read(&mut self) {
        let now = self.now();
        for member in self.members.values() {
            let Some(node) = &member.node else { continue };
            self.checks.stale += usize::from(node.status(now).stale);
            if node.read_is_current(now) {
                self.checks.read(node.state().revision);
            }
        }
    }
}
