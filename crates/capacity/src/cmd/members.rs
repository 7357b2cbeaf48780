//! `comfreyhold-capacity members [--seconds S] [COUNT...]`
//!
//! Runs failure detectors on a simulated network and prints, per member, messages and bytes (sent and
//! received), processor time of the core with encoding, and resident memory with its share of messages in
//! flight.

use crate::network::SimulatedNetwork;
use crate::procfs;
use crate::sample::DOMAIN_COUNT;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_membership::detector::{Detector, DetectorAction, DetectorMessage};
use comfreyhold_membership::members::MemberRole;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Simulated time between two ticks.
const STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Simulated seconds to measure, after a warm-up of 60 s
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Numbers of members to measure; 5, 50, 200 and 790 where none is given
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[5, 50, 200, 790][..] } else { &args.counts };
    for count in counts {
        measure_group(*count, args.seconds)?;
    }
    Ok(())
}

struct DetectorGroup {
    members: BTreeMap<InstanceId, Detector>,
    network: SimulatedNetwork<DetectorMessage>,
    now: Instant,
}

impl DetectorGroup {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let ids: Vec<InstanceId> = (1..=count).map(InstanceId).collect();
        let new_detector = |id: &InstanceId| {
            let process = (*id, Incarnation(1_790_000_000_000));
            let role_and_domain = (MemberRole::Entry, DomainId(id.0 % DOMAIN_COUNT));
            let rng_seed = u64::from(id.0);
            (*id, Detector::new(now, process, role_and_domain, ids.iter().copied(), rng_seed))
        };
        Self {
            members: ids.iter().map(new_detector).collect(),
            network: SimulatedNetwork::new(),
            now,
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.tick();
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.network.receive(self.now) {
            let Some(member) = self.members.get_mut(&to) else { continue };
            let actions = member.on_message(self.now, from, message);
            send_messages(&mut self.network, self.now, to, actions);
        }
    }

    fn tick(&mut self) {
        for (id, member) in &mut self.members {
            if member.next_wake() <= self.now {
                let actions = member.tick(self.now);
                send_messages(&mut self.network, self.now, *id, actions);
            }
        }
    }
}

fn send_messages(
    network: &mut SimulatedNetwork<DetectorMessage>,
    now: Instant,
    from: InstanceId,
    actions: Vec<DetectorAction>,
) {
    for action in actions {
        if let DetectorAction::Send { to, message } = action {
            network.send(now, from, to, message);
        }
    }
}

fn measure_group(count: u16, seconds: u64) -> Result<()> {
    let (mut group, resident_kb) = procfs::resident_growth_kb(|| {
        let mut group = DetectorGroup::new(count);
        group.run(60);
        group
    })?;
    group.network.traffic.clear();
    let before = procfs::thread_cpu()?;
    group.run(seconds);
    let cpu = procfs::thread_cpu()? - before;
    let ids: Vec<InstanceId> = group.members.keys().copied().collect();
    let (messages, bytes) = group.network.mean_per_s(&ids, seconds as f64);
    let member_seconds = f64::from(count) * seconds as f64;
    let complete = group.members.values().filter(|m| m.live().count() + 1 == ids.len()).count();
    println!(
        "members {count:>4}: {messages:>6.1} msg/s {bytes:>7.0} B/s {:>7.1} us/s {:>6.1} KB; {complete} with a complete live set",
        cpu.as_secs_f64() * 1e6 / member_seconds,
        resident_kb as f64 / f64::from(count),
    );
    Ok(())
}
