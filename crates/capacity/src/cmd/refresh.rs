//! `comfreyhold-capacity refresh [--entries N]`
//!
//! Prints the processor time that an entry spends on one changed target: for its view of the declarations,
//! for the request router and for the packet tables.

use crate::procfs;
use crate::sample::{self, DEPLOYMENT_SIZES, DOMAIN_COUNT};
use anyhow::{Context as _, Result};
use bpaf::Bpaf;
use comfreyhold_daemon::context::Context;
use comfreyhold_daemon::entry_requests::RequestDriver;
use comfreyhold_daemon::entry_roles::EntryRoles;
use comfreyhold_daemon::entry_view::EntryView;
use comfreyhold_daemon::settings::{LogSettings, Member, Role, Settings};
use comfreyhold_flow::{FlowRouter, Peer, PeerState, RouterSettings, TargetSets};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

/// Changes that are applied one after the other.
const CHANGES: u32 = 40;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Number of live entries
    #[bpaf(argument("N"), fallback(790))]
    entries: u16,
}

pub fn run(args: &Args) -> Result<()> {
    for (targets, services) in DEPLOYMENT_SIZES {
        let states = successive_states(targets, services);
        measure_packet_tables(&states, targets, services)?;
        measure_requests(&states, args.entries)?;
    }
    Ok(())
}

/// Declarations that each have one target more than the one before.
fn successive_states(targets: u32, services: u16) -> Vec<Arc<Declarations>> {
    let mut state = sample::declarations(targets, services);
    let mut states = vec![Arc::new(state.clone())];
    for number in 0..CHANGES {
        let revision = Revision(state.revision.0 + 1);
        state.apply(revision, &sample::target_change(targets + number, services, 0));
        states.push(Arc::new(state.clone()));
    }
    states
}

fn domain_names() -> BTreeMap<DomainId, String> {
    (1..=DOMAIN_COUNT).map(|id| (DomainId(id), format!("domain-{id}"))).collect()
}

fn measure_packet_tables(states: &[Arc<Declarations>], targets: u32, services: u16) -> Result<()> {
    let now = Instant::now();
    let settings = RouterSettings {
        instance: InstanceId(1),
        domain: DomainId(1),
        hash_key: (1, 2),
        max_flows: 1_000,
        seed: 1,
    };
    let local_peer =
        Peer { id: InstanceId(1), incarnation: Incarnation(1), state: PeerState::Serving };
    let router = FlowRouter::new(settings, now);
    let mut out = Vec::new();
    router.set_live_entries(&[local_peer], now, &mut out);
    let domain_names = domain_names();
    let mut remaining = states.iter();
    let mut install_next = || -> Result<()> {
        let state = remaining.next().context("all declarations have been installed")?;
        let sets = TargetSets::from_declarations(state, &domain_names);
        router.prepare(state.revision, &sets, now)?;
        Ok(router.activate(state.revision, now)?)
    };
    let first_install = procfs::resident_growth_kb(&mut install_next)?;
    first_install.0?;
    let sets = procfs::cpu_per_call(|| {
        drop(black_box(TargetSets::from_declarations(&states[0], &domain_names)));
    })?;
    let change = procfs::cpu_per_round(CHANGES, || {
        if let Err(error) = install_next() {
            eprintln!("{error:#}");
        }
    })?;
    let stats = router.stats();
    println!(
        "packets {targets:>4} targets {services:>3} services: sets {sets:>9.1?}, sets+prepare+activate {change:>9.1?}, tables {} KB, resident {} KB, {} slots in transition",
        stats.table_bytes / 1_024,
        first_install.1,
        stats.moving_slots,
    );
    let mut tick_out = Vec::new();
    let tick = procfs::cpu_per_call(|| router.tick(now, &mut tick_out))?;
    let stats = procfs::cpu_per_call(|| {
        black_box(router.stats());
    })?;
    println!("  tick {tick:.1?}, stats {stats:.1?}, both every 10 ms");
    Ok(())
}

fn measure_requests(states: &[Arc<Declarations>], entries: u16) -> Result<()> {
    let cx = entry_context(entries);
    let (requests, requests_kb) = procfs::resident_growth_kb(|| RequestDriver::new(cx))?;
    let roles = roles(entries);
    let mut views: Vec<Arc<EntryView>> = Vec::new();
    let view = procfs::cpu_per_round(CHANGES, || {
        let declared = Arc::clone(&states[views.len()]);
        views.push(Arc::new(EntryView::new(declared, std::iter::empty(), false)));
    })?;
    let (first_update, update_kb) = procfs::resident_growth_kb(|| {
        procfs::cpu_per_round(1, || requests.update(&roles, &views[0]))
    })?;
    let mut remaining = views[1..].iter();
    let update = procfs::cpu_per_round(CHANGES - 1, || {
        if let Some(view) = remaining.next() {
            requests.update(&roles, view);
        }
    })?;
    let unchanged = procfs::cpu_per_call(|| requests.update(&roles, &views[views.len() - 1]))?;
    let tick = procfs::cpu_per_call(|| requests.tick())?;
    println!(
        "  requests, {entries} entries: view {view:.1?}, first update {:.1?}, update {update:.1?}, unchanged update {unchanged:.1?}, tick {tick:.1?}, memory {} KB, (dispatchers, granting) {:?}",
        first_update?,
        requests_kb + update_kb,
        requests.dispatcher_counts(),
    );
    Ok(())
}

fn roles(entries: u16) -> EntryRoles {
    let live = (1..=entries).map(|id| (InstanceId(id), DomainId(id % DOMAIN_COUNT + 1))).collect();
    EntryRoles { instance: InstanceId(1), local_domain: DomainId(2), live, ..EntryRoles::default() }
}

fn entry_context(entries: u16) -> Arc<Context> {
    let member = |id: u16| Member {
        instance: InstanceId(id),
        name: format!("entry-{id}"),
        role: Role::Entry,
        domain: DomainId(id % DOMAIN_COUNT + 1),
        peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        admin: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
    };
    let settings = Settings {
        instance: InstanceId(1),
        domains: domain_names(),
        members: (1..=entries).map(member).collect(),
        entry: None,
        data_folder: None,
        bootstrap: false,
        log: LogSettings::default(),
    };
    Context::new(settings, member(1), Incarnation(1), Arc::new(SystemClock))
}
