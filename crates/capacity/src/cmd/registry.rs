//! `comfreyhold-capacity registry [COUNT...]`
//!
//! Runs the registries of one failure domain's entries in memory: targets renew every second, and one
//! target per 10 s joins or restarts. Prints messages, bytes, processor time and memory per entry.

use crate::links::Links;
use crate::procfs;
use crate::sample::{self, DOMAINS};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_membership::registry::{
    Announcement, DEFAULT_LEASE_MS, Registry, RegistryAction, RegistryMessage,
};
use comfreyhold_types::prelude::*;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const SECONDS: u32 = 30;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Numbers of entries of the deployment
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[11, 50, 200, 790][..] } else { &args.counts };
    for count in counts {
        measure(*count)?;
    }
    Ok(())
}

struct Place {
    registries: Vec<Registry>,
    links: Links<RegistryMessage>,
    now: Instant,
    targets: u32,
    declared: Declarations,
    restarts: u64,
}

impl Place {
    fn new(entries: u16, targets: u32) -> Self {
        let now = Instant::now();
        let ids: Vec<InstanceId> = (1..=entries).map(InstanceId).collect();
        let registry = |id: &InstanceId| {
            let allowed = (0..=DOMAINS).map(DomainId);
            let mut made = Registry::new((*id, Incarnation(1)), DomainId(1), allowed);
            made.set_peers(ids.iter().copied());
            made
        };
        let registries = ids.iter().map(registry).collect();
        let declared = sample::declarations(0, 570);
        Self { registries, links: Links::new(), now, targets, declared, restarts: 0 }
    }

    fn run(&mut self, seconds: u32) -> Result<()> {
        for step in 0..seconds * 100 {
            self.now += STEP;
            while let Some((from, to, message)) = self.links.receive(self.now) {
                let Some(registry) = self.registries.get_mut(usize::from(to.0) - 1) else {
                    continue;
                };
                let actions = registry.on_message(self.now, from, message);
                self.send(to, actions);
            }
            self.announce(step)?;
            for index in 0..self.registries.len() {
                let actions = self.registries[index].tick(self.now);
                self.send(InstanceId(index as u16 + 1), actions);
            }
        }
        Ok(())
    }

    /// Each target announces itself once a second; one restarts every 10 s.
    fn announce(&mut self, step: u32) -> Result<()> {
        if step.is_multiple_of(1_000) {
            self.restarts += 1;
        }
        for number in (0..self.targets).filter(|number| number % 100 == step % 100) {
            let mut record = sample::target(number, 570);
            record.domain = DomainId(1);
            if number == 0 {
                record.incarnation.0 += self.restarts;
            }
            let index = number as usize % self.registries.len();
            let announcement = Announcement { record, lease_ms: DEFAULT_LEASE_MS };
            let registry = &mut self.registries[index];
            let actions = registry.on_announcement(self.now, &announcement, &self.declared)?;
            self.send(InstanceId(index as u16 + 1), actions);
        }
        Ok(())
    }

    fn send(&mut self, from: InstanceId, actions: Vec<RegistryAction>) {
        for action in actions {
            if let RegistryAction::Send { to, message } = action {
                self.links.send(self.now, from, to, message);
            }
        }
    }
}

fn measure(count: u16) -> Result<()> {
    let entries = count / DOMAINS;
    let targets = u32::from(count) * 4_300 / 790 / u32::from(DOMAINS);
    let (place, resident) = procfs::resident_of(|| -> Result<Place> {
        let mut place = Place::new(entries.max(1), targets.max(1));
        place.run(10)?;
        Ok(place)
    })?;
    let mut place = place?;
    place.links.counted.clear();
    let before = procfs::thread_cpu()?;
    place.run(SECONDS)?;
    let cpu = procfs::thread_cpu()? - before;
    let ids: Vec<InstanceId> = (1..=entries).map(InstanceId).collect();
    let (messages, bytes) = place.links.mean(&ids, f64::from(SECONDS));
    println!(
        "registry {count:>3} ({entries:>2} entries, {targets:>3} targets per domain): {messages:>5.2} msg/s {bytes:>6.0} B/s {:>6.1} us/s {:>6.1} KB",
        cpu.as_secs_f64() * 1e6 / f64::from(SECONDS) / f64::from(entries.max(1)),
        resident as f64 / f64::from(entries.max(1)),
    );
    Ok(())
}
