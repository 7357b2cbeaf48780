//! `comfreyhold-capacity registry [COUNT...]`
//!
//! Runs the target registries of one failure domain's entries on a simulated network. Targets renew their
//! leases every second, and one target restarts every 10 s. Prints messages, bytes, processor time and
//! memory per entry.

use crate::network::SimulatedNetwork;
use crate::procfs;
use crate::sample::{self, DOMAIN_COUNT};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_membership::registry::{
    Announcement, DEFAULT_LEASE_MS, Registry, RegistryAction, RegistryMessage,
};
use comfreyhold_types::prelude::*;
use std::time::{Duration, Instant};

/// Simulated time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const MEASURED_SECONDS: u32 = 30;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Numbers of entries of the deployment to measure; 11, 50, 200 and 790 where none is given
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[11, 50, 200, 790][..] } else { &args.counts };
    for count in counts {
        measure_domain(*count)?;
    }
    Ok(())
}

/// The registries of one failure domain.
struct DomainRegistries {
    registries: Vec<Registry>,
    network: SimulatedNetwork<RegistryMessage>,
    now: Instant,
    targets: u32,
    declared: Declarations,
    restarts: u64,
}

impl DomainRegistries {
    fn new(entries: u16, targets: u32) -> Self {
        let now = Instant::now();
        let ids: Vec<InstanceId> = (1..=entries).map(InstanceId).collect();
        let new_registry = |id: &InstanceId| {
            let allowed = (0..=DOMAIN_COUNT).map(DomainId);
            let mut registry = Registry::new((*id, Incarnation(1)), DomainId(1), allowed);
            registry.set_peers(ids.iter().copied());
            registry
        };
        let registries = ids.iter().map(new_registry).collect();
        let declared = sample::declarations(0, 570);
        Self { registries, network: SimulatedNetwork::new(), now, targets, declared, restarts: 0 }
    }

    fn run(&mut self, seconds: u32) -> Result<()> {
        for step in 0..seconds * 100 {
            self.now += TICK_INTERVAL;
            while let Some((from, to, message)) = self.network.receive(self.now) {
                let Some(registry) = self.registries.get_mut(usize::from(to.0) - 1) else {
                    continue;
                };
                let actions = registry.on_message(self.now, from, message);
                self.send(to, actions);
            }
            self.announce_targets(step)?;
            for index in 0..self.registries.len() {
                let actions = self.registries[index].tick(self.now);
                self.send(InstanceId(index as u16 + 1), actions);
            }
        }
        Ok(())
    }

    /// Announces every target once a second, and one of them under a new incarnation every 10 s.
    fn announce_targets(&mut self, step: u32) -> Result<()> {
        if step.is_multiple_of(1_000) {
            self.restarts += 1;
        }
        for number in (0..self.targets).filter(|number| number % 100 == step % 100) {
            let mut record = sample::target_record(number, 570);
            record.domain = DomainId(1);
            if number == 0 {
                record.incarnation.0 += self.restarts;
            }
            let index = number as usize % self.registries.len();
            let announcement = Announcement { record, lease_ms: DEFAULT_LEASE_MS, sequence: 1 };
            let registry = &mut self.registries[index];
            let actions = registry.on_announcement(self.now, &announcement, &self.declared)?;
            self.send(InstanceId(index as u16 + 1), actions);
        }
        Ok(())
    }

    fn send(&mut self, from: InstanceId, actions: Vec<RegistryAction>) {
        for action in actions {
            if let RegistryAction::Send { to, message } = action {
                self.network.send(self.now, from, to, message);
            }
        }
    }
}

fn measure_domain(deployment_entries: u16) -> Result<()> {
    let entries = deployment_entries / DOMAIN_COUNT;
    let targets = u32::from(deployment_entries) * 4_300 / 790 / u32::from(DOMAIN_COUNT);
    let (domain, resident_kb) = procfs::resident_growth_kb(|| -> Result<DomainRegistries> {
        let mut domain = DomainRegistries::new(entries.max(1), targets.max(1));
        domain.run(10)?;
        Ok(domain)
    })?;
    let mut domain = domain?;
    domain.network.traffic.clear();
    let before = procfs::thread_cpu()?;
    domain.run(MEASURED_SECONDS)?;
    let cpu = procfs::thread_cpu()? - before;
    let ids: Vec<InstanceId> = (1..=entries).map(InstanceId).collect();
    let (messages, bytes) = domain.network.mean_per_s(&ids, f64::from(MEASURED_SECONDS));
    println!(
        "registry {deployment_entries:>3} ({entries:>2} entries, {targets:>3} targets per domain): {messages:>5.2} msg/s {bytes:>6.0} B/s {:>6.1} us/s {:>6.1} KB",
        cpu.as_secs_f64() * 1e6 / f64::from(MEASURED_SECONDS) / f64::from(entries.max(1)),
        resident_kb as f64 / f64::from(entries.max(1)),
    );
    Ok(())
}
