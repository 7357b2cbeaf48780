//! `comfreyhold-capacity flows [COUNT...]`
//!
//! Prints memory per recorded flow, processor time of opening a flow and of a packet of a known one, and
//! of one tick, for entries with a service of 8 targets.

use crate::procfs;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_flow::{
    FiveTuple, FlowRouter, Packet, Peer, PeerState, Protocol, RouterSettings, ServiceTargets,
    TargetSets, TargetSpec,
};
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const PORTS: usize = 50_000;
const PACKETS: u32 = 100_000;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Numbers of flows
    #[bpaf(positional("COUNT"))]
    counts: Vec<usize>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts =
        if args.counts.is_empty() { &[10_000, 100_000, 1_000_000] } else { &args.counts[..] };
    for count in counts {
        measure(*count)?;
    }
    Ok(())
}

fn service() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 99, 0, 1), 443))
}

fn node(now: Instant) -> Result<FlowRouter> {
    let settings = RouterSettings {
        instance: InstanceId(1),
        domain: DomainId(0),
        hash_key: (1, 2),
        max_flows: 4_000_000,
        seed: 1,
    };
    let target = |index: u8| TargetSpec {
        address: SocketAddr::from((Ipv4Addr::new(10, 1, 0, index), 8_080)),
        incarnation: Incarnation(1),
        domain: DomainId(u16::from(index) % 4),
        weight: 100,
        state: TargetState::Serving,
    };
    let service = ServiceTargets {
        service: ServiceId(1),
        address: service(),
        idle_timeout: Duration::from_secs(300),
        drain_time: Duration::from_secs(3_600),
        targets: (1..=8).map(target).collect(),
    };
    let node = FlowRouter::new(settings, now);
    let me = Peer { id: InstanceId(1), incarnation: Incarnation(1), state: PeerState::Serving };
    let sets = TargetSets { services: vec![service], withdrawn: BTreeSet::new() };
    node.prepare(Revision(1), &sets, now)?;
    node.activate(Revision(1), now)?;
    node.set_live_entries(&[me], now, &mut Vec::new());
    Ok(node)
}

fn packet(index: usize, opens: bool) -> Packet {
    let source = Ipv4Addr::from(0xac10_0000 + (index / PORTS) as u32);
    let source = SocketAddr::from((source, 1_024 + (index % PORTS) as u16));
    let tuple = FiveTuple { protocol: Protocol::Tcp, source, destination: service() };
    Packet::synthetic(tuple, opens)
}

fn measure(flows: usize) -> Result<()> {
    let now = Instant::now();
    let node = node(now)?;
    let mut out = Vec::new();
    let before = procfs::thread_cpu()?;
    let ((), resident) = procfs::resident_of(|| {
        for index in 0..flows {
            node.route_packet(&packet(index, true), now, &mut out);
        }
    })?;
    let opening = (procfs::thread_cpu()? - before) / flows as u32;
    let mut at = 0;
    let known = procfs::per_round(PACKETS, || {
        at = (at + 514_229) % flows;
        black_box(node.route_packet(&packet(at, false), now, &mut out));
    })?;
    let tick = procfs::repeated(|| node.tick(now, &mut out))?;
    let stats = procfs::repeated(|| {
        black_box(node.stats());
    })?;
    println!(
        "flows {flows:>7}: {:>3} B per record, resident {:>3} B, open {opening:?}, known {known:?}, tick {tick:.1?}, stats {stats:.1?}",
        node.stats().record_bytes / flows,
        resident * 1_024 / flows as u64,
    );
    Ok(())
}
