//! `comfreyhold-capacity refresh [--entries N]`
//!
//! Prints the processor time that an entry spends on one changed target: its view, the request side,
//! and the packet tables.

use crate::procfs;
use crate::sample::{self, DOMAINS, SIZES};
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

const ROUNDS: u32 = 40;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Live entries
    #[bpaf(argument("N"), fallback(790))]
    entries: u16,
}

pub fn run(args: &Args) -> Result<()> {
    for (targets, services) in SIZES {
        let states = states(targets, services);
        packets(&states, targets, services)?;
        requests(&states, args.entries)?;
    }
    Ok(())
}

/// States that differ by one target each.
fn states(targets: u32, services: u16) -> Vec<Arc<Declarations>> {
    let mut state = sample::declarations(targets, services);
    let mut states = vec![Arc::new(state.clone())];
    for number in 0..ROUNDS {
        let revision = Revision(state.revision.0 + 1);
        state.apply(revision, &sample::target_change(targets + number, services, 0));
        states.push(Arc::new(state.clone()));
    }
    states
}

fn names() -> BTreeMap<DomainId, String> {
    (1..=DOMAINS).map(|id| (DomainId(id), format!("domain-{id}"))).collect()
}

fn packets(states: &[Arc<Declarations>], targets: u32, services: u16) -> Result<()> {
    let now = Instant::now();
    let settings = RouterSettings {
        instance: InstanceId(1),
        domain: DomainId(1),
        hash_key: (1, 2),
        max_flows: 1_000,
        seed: 1,
    };
    let me = Peer { id: InstanceId(1), incarnation: Incarnation(1), state: PeerState::Serving };
    let node = FlowRouter::new(settings, now);
    let mut out = Vec::new();
    node.set_live_entries(&[me], now, &mut out);
    let names = names();
    let mut pending = states.iter();
    let mut install = || -> Result<()> {
        let state = pending.next().context("no state is left")?;
        let sets = TargetSets::from_declarations(state, &names);
        node.prepare(state.revision, &sets, now)?;
        Ok(node.activate(state.revision, now)?)
    };
    let first = procfs::resident_of(&mut install)?;
    first.0?;
    let sets = procfs::repeated(|| {
        drop(black_box(TargetSets::from_declarations(&states[0], &names)));
    })?;
    let change = procfs::per_round(ROUNDS, || {
        if let Err(error) = install() {
            eprintln!("{error:#}");
        }
    })?;
    let stats = node.stats();
    println!(
        "packets {targets:>4} targets {services:>3} services: sets {sets:>9.1?}, sets+prepare+activate {change:>9.1?}, tables {} KB, resident {} KB, {} slots move",
        stats.table_bytes / 1_024,
        first.1,
        stats.moving_slots,
    );
    let mut tick_out = Vec::new();
    let tick = procfs::repeated(|| node.tick(now, &mut tick_out))?;
    let stats = procfs::repeated(|| {
        black_box(node.stats());
    })?;
    println!("  tick {tick:.1?}, stats {stats:.1?}, both every 10 ms");
    Ok(())
}

fn requests(states: &[Arc<Declarations>], entries: u16) -> Result<()> {
    let cx = context(entries);
    let (requests, resident) = procfs::resident_of(|| RequestDriver::new(cx))?;
    let roles = roles(entries);
    let mut views: Vec<Arc<EntryView>> = Vec::new();
    let view = procfs::per_round(ROUNDS, || {
        let declared = Arc::clone(&states[views.len()]);
        views.push(Arc::new(EntryView::new(declared, std::iter::empty(), false)));
    })?;
    let (first, grown) =
        procfs::resident_of(|| procfs::per_round(1, || requests.update(&roles, &views[0])))?;
    let mut pending = views[1..].iter();
    let update = procfs::per_round(ROUNDS - 1, || {
        if let Some(view) = pending.next() {
            requests.update(&roles, view);
        }
    })?;
    let same = procfs::repeated(|| requests.update(&roles, &views[views.len() - 1]))?;
    let tick = procfs::repeated(|| requests.tick())?;
    println!(
        "  requests, {entries} entries: view {view:.1?}, first update {:.1?}, update {update:.1?}, unchanged update {same:.1?}, tick {tick:.1?}, memory {} KB, (dispatchers, requests) {:?}",
        first?,
        resident + grown,
        requests.dispatcher_counts(),
    );
    Ok(())
}

fn roles(entries: u16) -> EntryRoles {
    let live = (1..=entries).map(|id| (InstanceId(id), DomainId(id % DOMAINS + 1))).collect();
    EntryRoles { instance: InstanceId(1), local_domain: DomainId(2), live, ..EntryRoles::default() }
}

fn context(entries: u16) -> Arc<Context> {
    let member = |id: u16| Member {
        instance: InstanceId(id),
        name: format!("entry-{id}"),
        role: Role::Entry,
        domain: DomainId(id % DOMAINS + 1),
        peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        admin: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
    };
    let settings = Settings {
        instance: InstanceId(1),
        domains: names(),
        members: (1..=entries).map(member).collect(),
        entry: None,
        data_folder: None,
        bootstrap: false,
        log: LogSettings::default(),
    };
    Context::new(settings, member(1), Incarnation(1), Arc::new(SystemClock))
}
