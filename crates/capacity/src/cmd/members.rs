//! `comfreyhold-capacity members [--seconds S] [COUNT...]`
//!
//! Runs failure detectors in memory and prints, per member, messages and bytes (sent and received),
//! processor time of the core with encoding, and resident memory with its share of messages under way.

use crate::links::Links;
use crate::procfs;
use crate::sample::DOMAINS;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_membership::detector::{Detector, DetectorAction, DetectorMessage};
use comfreyhold_membership::members::MemberRole;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Measured seconds, after a warm-up of 60
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Numbers of members
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[5, 50, 200, 790][..] } else { &args.counts };
    for count in counts {
        measure(*count, args.seconds)?;
    }
    Ok(())
}

struct Group {
    members: BTreeMap<InstanceId, Detector>,
    links: Links<DetectorMessage>,
    now: Instant,
}

impl Group {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let seeds: Vec<InstanceId> = (1..=count).map(InstanceId).collect();
        let member = |id: &InstanceId| {
            let process = (*id, Incarnation(1_790_000_000_000));
            let place = (MemberRole::Entry, DomainId(id.0 % DOMAINS));
            let seed = u64::from(id.0);
            (*id, Detector::new(now, process, place, seeds.iter().copied(), seed))
        };
        Self { members: seeds.iter().map(member).collect(), links: Links::new(), now }
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
        while let Some((from, to, message)) = self.links.receive(self.now) {
            let Some(member) = self.members.get_mut(&to) else { continue };
            let actions = member.on_message(self.now, from, message);
            send(&mut self.links, self.now, to, actions);
        }
    }

    fn tick(&mut self) {
        for (id, member) in &mut self.members {
            if member.next_wake() <= self.now {
                let actions = member.tick(self.now);
                send(&mut self.links, self.now, *id, actions);
            }
        }
    }
}

fn send(
    links: &mut Links<DetectorMessage>,
    now: Instant,
    from: InstanceId,
    actions: Vec<DetectorAction>,
) {
    for action in actions {
        if let DetectorAction::Send { to, message } = action {
            links.send(now, from, to, message);
        }
    }
}

fn measure(count: u16, seconds: u64) -> Result<()> {
    let (mut group, resident) = procfs::resident_of(|| {
        let mut group = Group::new(count);
        group.run(60);
        group
    })?;
    group.links.counted.clear();
    let before = procfs::thread_cpu()?;
    group.run(seconds);
    let cpu = procfs::thread_cpu()? - before;
    let ids: Vec<InstanceId> = group.members.keys().copied().collect();
    let (messages, bytes) = group.links.mean(&ids, seconds as f64);
    let member_seconds = f64::from(count) * seconds as f64;
    let complete = group.members.values().filter(|m| m.live().count() + 1 == ids.len()).count();
    println!(
        "members {count:>4}: {messages:>6.1} msg/s {bytes:>7.0} B/s {:>7.1} us/s {:>6.1} KB; {complete} see all",
        cpu.as_secs_f64() * 1e6 / member_seconds,
        resident as f64 / f64::from(count),
    );
    Ok(())
}
