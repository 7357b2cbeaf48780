//! `comfreyhold-capacity rollout [COUNT...]`
//!
//! Runs a leader's rollout and the entries' installers in memory at the size of targets that belongs to
//! the number of entries, idle and with one change every 2 s. Prints messages, bytes and time spent in
//! the core and the encoding per process of each role, and the longest time until a change is in effect.

use crate::links::Links;
use crate::sample::{self, DOMAINS};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_membership::installer::{InstallAction, Installer};
use comfreyhold_membership::messages::InstallMessage;
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const LEADER: InstanceId = InstanceId(0);
const CHANGE_STEPS: u32 = 200;
const MEASURED_STEPS: u32 = 2_000;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Numbers of entries
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[5, 50, 200, 790][..] } else { &args.counts };
    for count in counts {
        let mut fleet = Fleet::new(*count);
        fleet.run(500, false);
        fleet.report("idle", false);
        fleet.report("a change every 2 s", true);
    }
    Ok(())
}

struct Fleet {
    now: Instant,
    targets: u32,
    leader: Rollout,
    entries: BTreeMap<InstanceId, Installer>,
    links: Links<InstallMessage>,
    spent: BTreeMap<InstanceId, Duration>,
    revision: Revision,
    published: Option<Instant>,
    slowest: Duration,
}

impl Fleet {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let targets = u32::from(count) * 4_300 / 790;
        let services = (u32::from(count) * 570 / 790).max(1) as u16;
        let state = sample::declarations(targets, services);
        let revision = state.revision;
        let domains: BTreeMap<InstanceId, DomainId> =
            (1..=count).map(|id| (InstanceId(id), DomainId(id % DOMAINS))).collect();
        let leader = Rollout::new(now, Term(1), Arc::new(state), &domains);
        let installer = |id: &InstanceId| Installer::new(now, *id, [], u64::from(id.0));
        let entries = domains.keys().map(|id| (*id, installer(id))).collect();
        Self {
            now,
            targets,
            leader,
            entries,
            links: Links::new(),
            spent: BTreeMap::new(),
            revision,
            published: None,
            slowest: Duration::ZERO,
        }
    }

    fn run(&mut self, steps: u32, changes: bool) {
        for step in 0..steps {
            self.now += STEP;
            self.deliver();
            if changes && step % CHANGE_STEPS == 0 {
                self.publish(step / CHANGE_STEPS);
            }
            self.tick();
        }
    }

    fn publish(&mut self, number: u32) {
        self.revision = Revision(self.revision.0 + 1);
        self.published = Some(self.now);
        let command = sample::target_change(number % self.targets.max(1), 1, self.revision.0);
        let started = Instant::now();
        let actions = self.leader.on_committed(self.now, command);
        self.on_leader(actions, started);
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.links.receive(self.now) {
            let started = Instant::now();
            if to == LEADER {
                let actions = self.leader.on_message(self.now, from, message);
                self.on_leader(actions, started);
            } else if let Some(entry) = self.entries.get_mut(&to) {
                let actions = entry.on_message(self.now, from, message);
                self.on_entry(to, actions, started);
            }
        }
    }

    fn tick(&mut self) {
        let started = Instant::now();
        let actions = self.leader.tick(self.now);
        self.on_leader(actions, started);
        let ids: Vec<InstanceId> = self.entries.keys().copied().collect();
        for id in ids {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let started = Instant::now();
            let actions = entry.tick(self.now);
            self.on_entry(id, actions, started);
        }
    }

    fn on_leader(&mut self, actions: Vec<RolloutAction>, started: Instant) {
        for action in actions {
            match action {
                RolloutAction::Send { to, message } => {
                    self.links.send(self.now, LEADER, to, message);
                }
                RolloutAction::InEffect { revision, .. } if revision == self.revision => {
                    let since = self.published.take().map(|at| self.now - at);
                    self.slowest = self.slowest.max(since.unwrap_or_default());
                }
                _ => {}
            }
        }
        *self.spent.entry(LEADER).or_default() += started.elapsed();
    }

    fn on_entry(&mut self, id: InstanceId, actions: Vec<InstallAction>, started: Instant) {
        for action in actions {
            if let InstallAction::Send { to, message } = action {
                self.links.send(self.now, id, to, message);
            }
        }
        *self.spent.entry(id).or_default() += started.elapsed();
    }

    fn report(&mut self, load: &str, changes: bool) {
        self.links.counted.clear();
        self.spent.clear();
        self.slowest = Duration::ZERO;
        self.run(MEASURED_STEPS, changes);
        let relayed = self.entries.len() > comfreyhold_membership::rollout::MAX_DIRECT_ENTRIES;
        let relays: BTreeSet<InstanceId> = self.leader.relays().filter(|_| relayed).collect();
        let plain = self.entries.keys().filter(|id| !relays.contains(id)).copied().collect();
        for (role, ids) in
            [("leader", vec![LEADER]), ("relay", relays.into_iter().collect()), ("entry", plain)]
        {
            self.print(load, role, &ids);
        }
        println!("  slowest change in effect after {} ms", self.slowest.as_millis());
    }

    fn print(&self, load: &str, role: &str, ids: &[InstanceId]) {
        let seconds = (STEP * MEASURED_STEPS).as_secs_f64();
        let (messages, bytes) = self.links.mean(ids, seconds);
        let spent: Duration = ids.iter().filter_map(|id| self.spent.get(id)).sum();
        let spent = spent.as_secs_f64() * 1e6 / seconds / ids.len().max(1) as f64;
        println!(
            "rollout {:>3} {load:<18} {:>2} x {role:<6} {messages:>6.1} msg/s {bytes:>7.0} B/s {spent:>7.0} us/s",
            self.entries.len(),
            ids.len(),
        );
    }
}
