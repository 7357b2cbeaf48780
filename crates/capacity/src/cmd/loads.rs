//! `comfreyhold-capacity loads`
//!
//! Runs the dispatcher of one pool for an hour of its own time and prints the load reports that it sends, then what the
//! reports of all pools come to per entry when each entry gets each report.

use crate::links::encoded;
use crate::procfs;
use crate::sample::{self, DOMAINS, SIZES};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_request::dispatcher::{Action, Dispatcher, DispatcherConfig, Event};
use comfreyhold_request::message::{Message, Pool};
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const SECONDS: u32 = 3_600;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {}

struct Cost {
    reports_per_s: f64,
    bytes_per_s: f64,
    us_per_s: f64,
}

pub fn run(_: &Args) -> Result<()> {
    let cost = one_pool(1)?;
    println!(
        "one dispatcher, 1 target: {:.1} reports/s, {:.0} B/s, {:.0} us/s",
        cost.reports_per_s, cost.bytes_per_s, cost.us_per_s
    );
    let entries = [5_u64, 50, 200, 790];
    for ((targets, services), entries) in SIZES.into_iter().zip(entries) {
        spread(&cost, targets, services, entries);
    }
    Ok(())
}

/// Every entry receives all reports; each sends its pools' reports to all entries.
fn spread(cost: &Cost, targets: u32, services: u16, entries: u64) {
    let records = (0..targets).map(|number| sample::target(number, services));
    let pools: BTreeSet<_> = records.map(|target| (target.service, target.domain)).collect();
    let received = pools.len() as f64 * cost.bytes_per_s;
    let sent = received * (entries - 1) as f64 / entries as f64;
    println!(
        "{entries:>3} entries, {targets:>4} targets, {services:>3} services, {:>4} pools: each entry receives {received:>7.0} B/s and sends {sent:>7.0} B/s",
        pools.len()
    );
}

fn one_pool(targets: u32) -> Result<Cost> {
    let start = Instant::now();
    let pool = Pool { service: ServiceId(570), domain: DomainId(DOMAINS) };
    let profile = Profile::builder().name("orders").build();
    let cfg = DispatcherConfig { pool, instance: InstanceId(790), epoch: 1 << 56, profile };
    let mut dispatcher = Dispatcher::new(cfg, start);
    let records = (0..targets).map(|number| sample::target(number, 1)).collect();
    dispatcher.handle(start, Event::Targets(records));
    let (mut reports, mut bytes) = (0_u64, 0_u64);
    let before = procfs::thread_cpu()?;
    for step in 1..=SECONDS * 100 {
        for action in dispatcher.handle(start + STEP * step, Event::Tick) {
            if let Action::Broadcast(message @ Message::Load(_)) = action {
                reports += 1;
                bytes += encoded(&message);
            }
        }
    }
    let cpu = procfs::thread_cpu()? - before;
    let per_s = |value: f64| value / f64::from(SECONDS);
    Ok(Cost {
        reports_per_s: per_s(reports as f64),
        bytes_per_s: per_s(bytes as f64),
        us_per_s: per_s(cpu.as_secs_f64() * 1e6),
    })
}
