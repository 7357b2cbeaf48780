//! `comfreyhold-capacity loads`
//!
//! Runs the dispatcher of one pool for an hour of its own time and prints the load reports that it sends,
//! then what the reports of all pools come to per entry.

use crate::links::encoded;
use crate::procfs;
use crate::sample::{self, DOMAINS, SIZES};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_daemon::entry_roles::EntryRoles;
use comfreyhold_daemon::load_reports;
use comfreyhold_request::dispatcher::{Action, Dispatcher, DispatcherConfig, Event};
use comfreyhold_request::message::{Message, Pool};
use comfreyhold_request::watchers::WATCH_RENEWAL_INTERVAL;
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
    let entries = [5_u16, 50, 200, 790];
    for ((targets, services), entries) in SIZES.into_iter().zip(entries) {
        spread(&cost, targets, services, entries);
    }
    Ok(())
}

/// Prints the traffic of an entry when every report goes to every entry, and when it goes to the
/// dispatcher's audience and to entries that watch a service.
fn spread(cost: &Cost, targets: u32, services: u16, entries: u16) {
    let records = (0..targets).map(|number| sample::target(number, services));
    let service = |name: &str| name.rsplit('-').next().and_then(|number| number.parse().ok());
    let pool = |target: TargetRecord| {
        Some(Pool { service: ServiceId(service(&target.service)?), domain: target.domain })
    };
    let pools: BTreeSet<Pool> = records.filter_map(pool).collect();
    let live = (1..=entries).map(|id| (InstanceId(id), DomainId(id % DOMAINS + 1))).collect();
    let roles = EntryRoles { live, ..EntryRoles::default() };
    let assigned = roles.dispatchers(&pools);
    let mut audience = 0;
    for (pool, dispatcher) in &assigned {
        let receivers = load_reports::report_receivers(&roles, &assigned, *pool);
        audience += receivers.iter().filter(|id| *id != dispatcher).count();
    }
    let entries = f64::from(entries);
    let all = pools.len() as f64 * cost.bytes_per_s;
    let fixed = audience as f64 * cost.bytes_per_s / entries;
    let watch = Message::Watch { pool: Pool { service: ServiceId(services), domain: DomainId(1) } };
    let watching = cost.bytes_per_s + encoded(&watch) as f64 / WATCH_RENEWAL_INTERVAL.as_secs_f64();
    let service = pools.len() as f64 / f64::from(services) * watching;
    println!(
        "{entries:>3} entries, {targets:>4} targets, {services:>3} services, {:>4} pools; received per entry, B/s: {all:>7.0} to all; {fixed:>6.0} audience, {service:>5.0} more per service watched",
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
            if let Action::Report(_, report) = action {
                reports += 1;
                bytes += encoded(&Message::Load(report));
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
