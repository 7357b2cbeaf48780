//! `comfreyhold-capacity loads`
//!
//! Runs the dispatcher of one pool for an hour of simulated time and prints the rate and size of its load
//! reports, then the resulting traffic per entry over all pools.

use crate::network::encoded_bytes;
use crate::procfs;
use crate::sample::{self, DEPLOYMENT_SIZES, DOMAIN_COUNT};
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

/// Simulated time between two ticks.
const STEP: Duration = Duration::from_millis(10);
const SIMULATED_SECONDS: u32 = 3_600;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {}

/// Load reports of one dispatcher, and the processor time that it uses.
struct ReportCost {
    reports_per_s: f64,
    bytes_per_s: f64,
    us_per_s: f64,
}

pub fn run(_: &Args) -> Result<()> {
    let cost = measure_dispatcher(1)?;
    println!(
        "one dispatcher, 1 target: {:.1} reports/s, {:.0} B/s, {:.0} us/s",
        cost.reports_per_s, cost.bytes_per_s, cost.us_per_s
    );
    let entries = [5_u16, 50, 200, 790];
    for ((targets, services), entries) in DEPLOYMENT_SIZES.into_iter().zip(entries) {
        print_received_per_entry(&cost, targets, services, entries);
    }
    Ok(())
}

/// Prints the report traffic that an entry receives if every report goes to every entry, and if it goes
/// only to the dispatcher's audience (other dispatchers of the service and possible successors) and to
/// entries that have subscribed to the service.
fn print_received_per_entry(cost: &ReportCost, targets: u32, services: u16, entries: u16) {
    let records = (0..targets).map(|number| sample::target_record(number, services));
    let service_number =
        |name: &str| name.rsplit('-').next().and_then(|number| number.parse().ok());
    let pool = |target: TargetRecord| {
        Some(Pool { service: ServiceId(service_number(&target.service)?), domain: target.domain })
    };
    let pools: BTreeSet<Pool> = records.filter_map(pool).collect();
    let live = (1..=entries).map(|id| (InstanceId(id), DomainId(id % DOMAIN_COUNT + 1))).collect();
    let roles = EntryRoles { live, ..EntryRoles::default() };
    let dispatchers = roles.dispatchers(&pools);
    let mut receiver_count = 0;
    for (pool, dispatcher) in &dispatchers {
        let receivers = load_reports::report_receivers(&roles, &dispatchers, *pool);
        receiver_count += receivers.iter().filter(|id| *id != dispatcher).count();
    }
    let entries = f64::from(entries);
    let to_all = pools.len() as f64 * cost.bytes_per_s;
    let to_audience = receiver_count as f64 * cost.bytes_per_s / entries;
    let subscription =
        Message::Watch { pool: Pool { service: ServiceId(services), domain: DomainId(1) } };
    let per_pool = cost.bytes_per_s
        + encoded_bytes(&subscription) as f64 / WATCH_RENEWAL_INTERVAL.as_secs_f64();
    let per_service = pools.len() as f64 / f64::from(services) * per_pool;
    println!(
        "{entries:>3} entries, {targets:>4} targets, {services:>3} services, {:>4} pools; received per entry, B/s: {to_all:>7.0} to all; {to_audience:>6.0} audience, {per_service:>5.0} more per subscribed service",
        pools.len()
    );
}

fn measure_dispatcher(targets: u32) -> Result<ReportCost> {
    let start = Instant::now();
    let pool = Pool { service: ServiceId(570), domain: DomainId(DOMAIN_COUNT) };
    let profile = Profile::builder().name("orders").build();
    let cfg = DispatcherConfig { pool, instance: InstanceId(790), epoch: 1 << 56, profile };
    let mut dispatcher = Dispatcher::new(cfg, start);
    let records = (0..targets).map(|number| sample::target_record(number, 1)).collect();
    dispatcher.handle(start, Event::Targets(records));
    let (mut reports, mut bytes) = (0_u64, 0_u64);
    let before = procfs::thread_cpu()?;
    for step in 1..=SIMULATED_SECONDS * 100 {
        for action in dispatcher.handle(start + STEP * step, Event::Tick) {
            if let Action::Report(_, report) = action {
                reports += 1;
                bytes += encoded_bytes(&Message::Load(report));
            }
        }
    }
    let cpu = procfs::thread_cpu()? - before;
    let per_s = |value: f64| value / f64::from(SIMULATED_SECONDS);
    Ok(ReportCost {
        reports_per_s: per_s(reports as f64),
        bytes_per_s: per_s(bytes as f64),
        us_per_s: per_s(cpu.as_secs_f64() * 1e6),
    })
}
