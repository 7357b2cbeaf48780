//! Simulated leader and entries on the lossy network. The invariants of installations are checked after
//! each step.
#![allow(clippy::unwrap_used)]

use super::support::{Faults, SimulatedNetwork, ms};
use comfreyhold_membership::installer::{InstallAction, Installer};
use comfreyhold_membership::messages::{InstallMessage, InstallProgress};
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_types::declarations::Publication;
use comfreyhold_types::declarations::{Content, DomainState};
use comfreyhold_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(5);

pub struct SimulatedEntry {
    pub installer: Installer,
    /// Rate of the local clock relative to simulated time.
    pub clock_rate: f64,
    /// Revision that the entry activated last.
    pub served: Revision,
    pub starts: u64,
    /// Revision in effect when the entry recovered; `None` before that.
    pub recovered: Option<Revision>,
}

pub struct Fleet {
    pub net: SimulatedNetwork<InstallMessage>,
    pub started_at: Instant,
    pub now: Instant,
    pub seed: u64,
    pub leader_id: InstanceId,
    pub leader: Option<Rollout>,
    pub term: Term,
    pub state: Declarations,
    pub entries: BTreeMap<InstanceId, SimulatedEntry>,
    pub down: BTreeMap<InstanceId, ()>,
    pub domains: BTreeMap<InstanceId, DomainId>,
    pub actions: Vec<(Instant, RolloutAction)>,
}

impl Fleet {
    pub fn new(seed: u64, entry_count: u16, domain_count: u16, faults: Faults) -> Self {
        let started_at = Instant::now();
        let domains: BTreeMap<InstanceId, DomainId> =
            (1..=entry_count).map(|id| (InstanceId(id), DomainId(id % domain_count))).collect();
        let mut fleet = Self {
            net: SimulatedNetwork::new(seed, faults),
            started_at,
            now: started_at,
            seed,
            leader_id: InstanceId(0),
            leader: None,
            term: Term(0),
            state: Declarations::default(),
            entries: BTreeMap::new(),
            down: BTreeMap::new(),
            domains,
            actions: Vec::new(),
        };
        for id in fleet.ids() {
            fleet.restart(id);
        }
        fleet.elect_leader();
        fleet
    }

    pub fn ids(&self) -> Vec<InstanceId> {
        self.domains.keys().copied().collect()
    }

    pub fn entries_in(&self, domain: DomainId) -> Vec<InstanceId> {
        self.ids().into_iter().filter(|id| self.domains[id] == domain).collect()
    }

    /// Starts a new term with another leader. The old leader has stepped down before.
    pub fn elect_leader(&mut self) {
        self.term = self.term.next();
        self.leader_id = InstanceId(1_000 + (self.term.0 % 3) as u16);
        self.append(Command::Noop);
        let state = Arc::new(self.state.clone());
        self.leader = Some(Rollout::new(self.now, self.term, state, &self.domains));
    }

    pub fn restart(&mut self, id: InstanceId) {
        let starts = self.entries.get(&id).map_or(1, |entry| entry.starts + 1);
        let clock_rate = 1.0 + self.net.rng.random_range(-0.08..=0.08);
        let peers = self.entries_in(self.domains[&id]);
        let at = local_time(self.started_at, self.now, clock_rate);
        let seed = self.seed * 1_000 + u64::from(id.0) + starts * 7_919;
        let installer = Installer::new(at, id, peers, seed);
        let entry =
            SimulatedEntry { installer, clock_rate, served: Revision(0), starts, recovered: None };
        self.entries.insert(id, entry);
        self.down.remove(&id);
    }

    pub fn stop(&mut self, id: InstanceId) {
        self.down.insert(id, ());
    }

    fn append(&mut self, command: Command) -> Revision {
        let revision = self.state.revision.next();
        self.state.apply(revision, &command);
        revision
    }

    /// Commits a publication that toggles a failure domain.
    pub fn publish(&mut self) -> Revision {
        let version = self.state.revision.0;
        let domain = DomainId(100 + (version % 7) as u16);
        let state = if version.is_multiple_of(2) { DomainState::In } else { DomainState::Out };
        let content = Content::Domain(domain, state);
        let command =
            Command::Publish(Publication { version, operator: "ana".to_owned(), content });
        let revision = self.append(command.clone());
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

    /// Runs until the revision is in effect at all entries. Returns how long that took; `None` after
    /// `limit_ms`.
    pub fn run_until_in_effect(&mut self, revision: Revision, limit_ms: u64) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + ms(limit_ms) {
            if self.entries.values().all(|entry| entry.installer.progress().active >= revision) {
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
        let is_due =
            self.leader.as_ref().is_some_and(|leader| leader.next_wake(self.now) <= self.now);
        if is_due {
            let actions = self.leader.as_mut().unwrap().tick(self.now);
            self.perform_leader(actions);
        }
        for id in self.ids() {
            if !self.down.contains_key(&id) {
                let entry = self.entries.get_mut(&id).unwrap();
                let at = local_time(self.started_at, self.now, entry.clock_rate);
                let actions = entry.installer.tick(at);
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
            && let Some(entry) = self.entries.get_mut(&to)
        {
            let at = local_time(self.started_at, self.now, entry.clock_rate);
            let actions = entry.installer.on_message(at, from, message);
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
                    let active = self.entries[&id].served;
                    assert!(
                        active > Revision(0),
                        "seed {}: {id} recovered without a state in effect",
                        self.seed
                    );
                    self.entries.get_mut(&id).unwrap().recovered = Some(active);
                }
                InstallAction::LeaseRegained => {
                    let entry = &self.entries[&id];
                    let active = entry.installer.progress().active;
                    assert_eq!(
                        entry.served, active,
                        "seed {}: {id} got its lease before its state",
                        self.seed
                    );
                }
                _ => {}
            }
        }
        self.check_leased(id);
    }

    fn check_activation(&mut self, id: InstanceId, state: &Declarations) {
        let entry = self.entries.get_mut(&id).unwrap();
        assert!(
            state.revision > entry.served,
            "seed {}: {id} activated an older revision",
            self.seed
        );
        assert!(
            state.revision <= self.state.revision,
            "seed {}: revision was not committed",
            self.seed
        );
        entry.served = state.revision;
    }

    pub fn is_leased(&self, id: InstanceId) -> bool {
        let entry = &self.entries[&id];
        !self.down.contains_key(&id)
            && entry.installer.has_lease(local_time(self.started_at, self.now, entry.clock_rate))
    }

    pub fn progress(&self, id: InstanceId) -> InstallProgress {
        self.entries[&id].installer.progress()
    }

    /// Checks that the changed entry and each other one with a lease have staged the revision that is in
    /// effect at the other.
    fn check_leased(&self, changed: InstanceId) {
        if !self.is_leased(changed) {
            return;
        }
        let progress = self.progress(changed);
        for id in self.ids().into_iter().filter(|id| self.is_leased(*id)) {
            let other = self.progress(id);
            let is_ready = progress.prepared >= other.active && other.prepared >= progress.active;
            assert!(is_ready, "seed {}: {changed} {progress:?} and {id} {other:?}", self.seed);
        }
    }
}

/// Time on the local clock of an entry.
fn local_time(started_at: Instant, now: Instant, clock_rate: f64) -> Instant {
    started_at + (now - started_at).mul_f64(clock_rate)
}
