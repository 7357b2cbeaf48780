//! A leader with entries on the lossy network, with the invariants of installations checked after
//! each step.
#![allow(clippy::unwrap_used)]

use super::support::{Faults, Net, ms};
use comfreyhold_membership::installer::{InstallAction, Installer};
use comfreyhold_membership::messages::{InstallMessage, Progress};
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_types::declarations::Publication;
use comfreyhold_types::declarations::{Content, DomainState};
use comfreyhold_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(5);

pub struct Node {
    pub core: Installer,
    pub rate: f64,
    pub served: Revision,
    pub starts: u64,
    pub recovered: Option<Revision>,
}

pub struct Fleet {
    pub net: Net<InstallMessage>,
    pub start: Instant,
    pub now: Instant,
    pub seed: u64,
    pub leader_id: InstanceId,
    pub leader: Option<Rollout>,
    pub term: Term,
    pub state: Declarations,
    pub nodes: BTreeMap<InstanceId, Node>,
    pub down: BTreeMap<InstanceId, ()>,
    pub domains: BTreeMap<InstanceId, DomainId>,
    pub actions: Vec<(Instant, RolloutAction)>,
}

impl Fleet {
    pub fn new(seed: u64, entries: u16, domains: u16, faults: Faults) -> Self {
        let start = Instant::now();
        let domains: BTreeMap<InstanceId, DomainId> =
            (1..=entries).map(|id| (InstanceId(id), DomainId(id % domains))).collect();
        let mut fleet = Self {
            net: Net::new(seed, faults),
            start,
            now: start,
            seed,
            leader_id: InstanceId(0),
            leader: None,
            term: Term(0),
            state: Declarations::default(),
            nodes: BTreeMap::new(),
            down: BTreeMap::new(),
            domains,
            actions: Vec::new(),
        };
        for id in fleet.ids() {
            fleet.restart(id);
        }
        fleet.elect();
        fleet
    }

    pub fn ids(&self) -> Vec<InstanceId> {
        self.domains.keys().copied().collect()
    }

    pub fn of_domain(&self, domain: DomainId) -> Vec<InstanceId> {
        self.ids().into_iter().filter(|id| self.domains[id] == domain).collect()
    }

    /// Starts a new term on another control instance. The old leader has stepped down before.
    pub fn elect(&mut self) {
        self.term = self.term.next();
        self.leader_id = InstanceId(1_000 + (self.term.0 % 3) as u16);
        self.log(Command::Noop);
        let state = Arc::new(self.state.clone());
        self.leader = Some(Rollout::new(self.now, self.term, state, &self.domains));
    }

    pub fn restart(&mut self, id: InstanceId) {
        let starts = self.nodes.get(&id).map_or(1, |node| node.starts + 1);
        let rate = 1.0 + self.net.rng.random_range(-0.08..=0.08);
        let peers = self.of_domain(self.domains[&id]);
        let at = local(self.start, self.now, rate);
        let seed = self.seed * 1_000 + u64::from(id.0) + starts * 7_919;
        let core = Installer::new(at, id, peers, seed);
        let node = Node { core, rate, served: Revision(0), starts, recovered: None };
        self.nodes.insert(id, node);
        self.down.remove(&id);
    }

    pub fn stop(&mut self, id: InstanceId) {
        self.down.insert(id, ());
    }

    fn log(&mut self, command: Command) -> Revision {
        let revision = self.state.revision.next();
        self.state.apply(revision, &command);
        revision
    }

    /// Accepts a publication that toggles a domain.
    pub fn publish(&mut self) -> Revision {
        let version = self.state.revision.0;
        let domain = DomainId(100 + (version % 7) as u16);
        let state = if version.is_multiple_of(2) { DomainState::In } else { DomainState::Out };
        let content = Content::Domain(domain, state);
        let command =
            Command::Publish(Publication { version, operator: "ana".to_owned(), content });
        let revision = self.log(command.clone());
        let actions = self.leader.as_mut().unwrap().on_committed(self.now, command);
        self.perform_leader(actions);
        revision
    }

    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + ms(for_ms);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the revision is in effect everywhere, and returns how long that took.
    pub fn run_until_in_effect(&mut self, revision: Revision, limit_ms: u64) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + ms(limit_ms) {
            if self.nodes.values().all(|node| node.core.progress().active >= revision) {
                return Some(self.now - begin);
            }
            self.step();
        }
        None
    }

    pub fn step(&mut self) {
        self.now += STEP;
        while let Some((from, to, message)) = self.net.receive(self.now) {
            self.deliver(from, to, message);
        }
        let wake =
            self.leader.as_ref().is_some_and(|leader| leader.next_wake(self.now) <= self.now);
        if wake {
            let actions = self.leader.as_mut().unwrap().tick(self.now);
            self.perform_leader(actions);
        }
        for id in self.ids() {
            if !self.down.contains_key(&id) {
                let node = self.nodes.get_mut(&id).unwrap();
                let at = local(self.start, self.now, node.rate);
                let actions = node.core.tick(at);
                self.perform(id, actions);
            }
        }
    }

    fn deliver(&mut self, from: InstanceId, to: InstanceId, message: InstallMessage) {
        if to == self.leader_id {
            if let Some(leader) = &mut self.leader {
                let actions = leader.on_message(self.now, from, message);
                self.perform_leader(actions);
            }
        } else if !self.down.contains_key(&to)
            && let Some(node) = self.nodes.get_mut(&to)
        {
            let at = local(self.start, self.now, node.rate);
            let actions = node.core.on_message(at, from, message);
            self.perform(to, actions);
        }
    }

    fn perform_leader(&mut self, actions: Vec<RolloutAction>) {
        for action in actions {
            if let RolloutAction::Send { to, message } = action {
                self.net.send(self.now, self.leader_id, to, message);
            } else {
                self.actions.push((self.now, action));
            }
        }
    }

    fn perform(&mut self, id: InstanceId, actions: Vec<InstallAction>) {
        for action in actions {
            match action {
                InstallAction::Send { to, message } => self.net.send(self.now, id, to, message),
                InstallAction::Activate(state) => self.check_activation(id, &state),
                InstallAction::Recovered => {
                    let active = self.nodes[&id].served;
                    assert!(active > Revision(0), "seed {}: {id} has nothing to serve", self.seed);
                    self.nodes.get_mut(&id).unwrap().recovered = Some(active);
                }
                InstallAction::LeaseRegained => {
                    let node = &self.nodes[&id];
                    let active = node.core.progress().active;
                    assert_eq!(node.served, active, "seed {}: {id} leased too early", self.seed);
                }
                _ => {}
            }
        }
        self.check_leased(id);
    }

    fn check_activation(&mut self, id: InstanceId, state: &Declarations) {
        let node = self.nodes.get_mut(&id).unwrap();
        assert!(state.revision > node.served, "seed {}: {id} went back", self.seed);
        assert!(state.revision <= self.state.revision, "seed {}: not accepted", self.seed);
        node.served = state.revision;
    }

    pub fn is_leased(&self, id: InstanceId) -> bool {
        let node = &self.nodes[&id];
        !self.down.contains_key(&id) && node.core.has_lease(local(self.start, self.now, node.rate))
    }

    pub fn progress(&self, id: InstanceId) -> Progress {
        self.nodes[&id].core.progress()
    }

    /// Every entry with a lease must hold ready what any entry with a lease has in effect.
    fn check_leased(&self, changed: InstanceId) {
        if !self.is_leased(changed) {
            return;
        }
        let own = self.progress(changed);
        for id in self.ids().into_iter().filter(|id| self.is_leased(*id)) {
            let other = self.progress(id);
            let ready = own.prepared >= other.active && other.prepared >= own.active;
            assert!(ready, "seed {}: {changed} {own:?} and {id} {other:?}", self.seed);
        }
    }
}

/// Time on a clock that runs at another rate.
fn local(start: Instant, now: Instant, rate: f64) -> Instant {
    start + (now - start).mul_f64(rate)
}
