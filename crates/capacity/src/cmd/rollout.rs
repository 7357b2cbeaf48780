//! `comfreyhold-capacity rollout [COUNT...]`
//!
//! Runs a leader's rollout and the entries' installers on a simulated network, idle and with one change
//! every 2 s. The numbers of targets and services grow with the number of entries. Prints messages, bytes
//! and the time spent in the core and the encoding per process of each role, and the longest time until a
//! change is in effect.

use crate::network::SimulatedNetwork;
use crate::sample::{self, DOMAIN_COUNT};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_membership::installer::{InstallAction, Installer};
use comfreyhold_membership::messages::InstallMessage;
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Simulated time between two ticks.
const STEP: Duration = Duration::from_millis(10);
const LEADER: InstanceId = InstanceId(0);
/// Steps between two changes.
const CHANGE_INTERVAL_STEPS: u32 = 200;
const MEASURED_STEPS: u32 = 2_000;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Numbers of entries to measure; 5, 50, 200 and 790 where none is given
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[5, 50, 200, 790][..] } else { &args.counts };
    for count in counts {
        let mut simulation = RolloutSimulation::new(*count);
        simulation.run(500, false);
        simulation.measure_load("idle", false);
        simulation.measure_load("a change every 2 s", true);
    }
    Ok(())
}

struct RolloutSimulation {
    now: Instant,
    targets: u32,
    leader: Rollout,
    entries: BTreeMap<InstanceId, Installer>,
    network: SimulatedNetwork<InstallMessage>,
    /// Time spent by each process in its core and the encoding.
    processing_time: BTreeMap<InstanceId, Duration>,
    revision: Revision,
    /// Time of the last change, until it is in effect.
    published_at: Option<Instant>,
    /// Longest time until a change was in effect.
    max_effect_delay: Duration,
}

impl RolloutSimulation {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let targets = u32::from(count) * 4_300 / 790;
        let services = (u32::from(count) * 570 / 790).max(1) as u16;
        let state = sample::declarations(targets, services);
        let revision = state.revision;
        let domains: BTreeMap<InstanceId, DomainId> =
            (1..=count).map(|id| (InstanceId(id), DomainId(id % DOMAIN_COUNT))).collect();
        let leader = Rollout::new(now, Term(1), Arc::new(state), &domains);
        let new_installer = |id: &InstanceId| Installer::new(now, *id, [], u64::from(id.0));
        let entries = domains.keys().map(|id| (*id, new_installer(id))).collect();
        Self {
            now,
            targets,
            leader,
            entries,
            network: SimulatedNetwork::new(),
            processing_time: BTreeMap::new(),
            revision,
            published_at: None,
            max_effect_delay: Duration::ZERO,
        }
    }

    fn run(&mut self, steps: u32, changes: bool) {
        for step in 0..steps {
            self.now += STEP;
            self.deliver();
            if changes && step % CHANGE_INTERVAL_STEPS == 0 {
                self.publish_change(step / CHANGE_INTERVAL_STEPS);
            }
            self.tick();
        }
    }

    fn publish_change(&mut self, number: u32) {
        self.revision = Revision(self.revision.0 + 1);
        self.published_at = Some(self.now);
        let command = sample::target_change(number % self.targets.max(1), 1, self.revision.0);
        let started = Instant::now();
        let actions = self.leader.on_committed(self.now, command);
        self.apply_leader_actions(actions, started);
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.network.receive(self.now) {
            let started = Instant::now();
            if to == LEADER {
                let actions = self.leader.on_message(self.now, from, message);
                self.apply_leader_actions(actions, started);
            } else if let Some(entry) = self.entries.get_mut(&to) {
                let actions = entry.on_message(self.now, from, message);
                self.apply_entry_actions(to, actions, started);
            }
        }
    }

    fn tick(&mut self) {
        let started = Instant::now();
        let actions = self.leader.tick(self.now);
        self.apply_leader_actions(actions, started);
        let ids: Vec<InstanceId> = self.entries.keys().copied().collect();
        for id in ids {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let started = Instant::now();
            let actions = entry.tick(self.now);
            self.apply_entry_actions(id, actions, started);
        }
    }

    fn apply_leader_actions(&mut self, actions: Vec<RolloutAction>, started: Instant) {
        for action in actions {
            match action {
                RolloutAction::Send { to, message } => {
                    self.network.send(self.now, LEADER, to, message);
                }
                RolloutAction::InEffect { revision, .. } if revision == self.revision => {
                    let delay = self.published_at.take().map(|at| self.now - at);
                    self.max_effect_delay = self.max_effect_delay.max(delay.unwrap_or_default());
                }
                _ => {}
            }
        }
        *self.processing_time.entry(LEADER).or_default() += started.elapsed();
    }

    fn apply_entry_actions(
        &mut self,
        id: InstanceId,
        actions: Vec<InstallAction>,
        started: Instant,
    ) {
        for action in actions {
            if let InstallAction::Send { to, message } = action {
                self.network.send(self.now, id, to, message);
            }
        }
        *self.processing_time.entry(id).or_default() += started.elapsed();
    }

    fn measure_load(&mut self, load: &str, changes: bool) {
        self.network.traffic.clear();
        self.processing_time.clear();
        self.max_effect_delay = Duration::ZERO;
        self.run(MEASURED_STEPS, changes);
        let has_relays = self.entries.len() > comfreyhold_membership::rollout::MAX_DIRECT_ENTRIES;
        let relays: BTreeSet<InstanceId> = self.leader.relays().filter(|_| has_relays).collect();
        let others = self.entries.keys().filter(|id| !relays.contains(id)).copied().collect();
        for (role, ids) in
            [("leader", vec![LEADER]), ("relay", relays.into_iter().collect()), ("entry", others)]
        {
            self.print_role(load, role, &ids);
        }
        println!("  slowest change in effect after {} ms", self.max_effect_delay.as_millis());
    }

    fn print_role(&self, load: &str, role: &str, ids: &[InstanceId]) {
        let seconds = (STEP * MEASURED_STEPS).as_secs_f64();
        let (messages, bytes) = self.network.mean_per_s(ids, seconds);
        let total: Duration = ids.iter().filter_map(|id| self.processing_time.get(id)).sum();
        let us_per_s = total.as_secs_f64() * 1e6 / seconds / ids.len().max(1) as f64;
        println!(
            "rollout {:>3} {load:<18} {:>2} x {role:<6} {messages:>6.1} msg/s {bytes:>7.0} B/s {us_per_s:>7.0} us/s",
            self.entries.len(),
            ids.len(),
        );
    }
}
