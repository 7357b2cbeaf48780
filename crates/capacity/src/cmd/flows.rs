//! `comfreyhold-capacity flows [COUNT...]`
//!
//! Prints, for an entry with one service of 8 targets, the memory per flow record and the processor time
//! of opening a flow, of routing a packet of a known flow, of one tick and of reading the statistics.

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

/// Flows from each source address.
const PORTS_PER_ADDRESS: usize = 50_000;
/// Packets of known flows whose processor time is averaged.
const KNOWN_FLOW_PACKETS: u32 = 100_000;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Numbers of flows to measure; 10000, 100000 and 1000000 where none is given
    #[bpaf(positional("COUNT"))]
    counts: Vec<usize>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts =
        if args.counts.is_empty() { &[10_000, 100_000, 1_000_000] } else { &args.counts[..] };
    for count in counts {
        measure_flows(*count)?;
    }
    Ok(())
}

fn service_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 99, 0, 1), 443))
}

fn new_router(now: Instant) -> Result<FlowRouter> {
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
        address: service_address(),
        idle_timeout: Duration::from_secs(300),
        drain_time: Duration::from_secs(3_600),
        targets: (1..=8).map(target).collect(),
    };
    let router = FlowRouter::new(settings, now);
    let local_peer =
        Peer { id: InstanceId(1), incarnation: Incarnation(1), state: PeerState::Serving };
    let sets = TargetSets { services: vec![service], withdrawn: BTreeSet::new() };
    router.prepare(Revision(1), &sets, now)?;
    router.activate(Revision(1), now)?;
    router.set_live_entries(&[local_peer], now, &mut Vec::new());
    Ok(router)
}

fn packet(index: usize, opens_flow: bool) -> Packet {
    let source = Ipv4Addr::from(0xac10_0000 + (index / PORTS_PER_ADDRESS) as u32);
    let source = SocketAddr::from((source, 1_024 + (index % PORTS_PER_ADDRESS) as u16));
    let tuple = FiveTuple { protocol: Protocol::Tcp, source, destination: service_address() };
    Packet::synthetic(tuple, opens_flow)
}

fn measure_flows(flows: usize) -> Result<()> {
    let now = Instant::now();
    let router = new_router(now)?;
    let mut out = Vec::new();
    let before = procfs::thread_cpu()?;
    let ((), resident_kb) = procfs::resident_growth_kb(|| {
        for index in 0..flows {
            router.route_packet(&packet(index, true), now, &mut out);
        }
    })?;
    let opening = (procfs::thread_cpu()? - before) / flows as u32;
    let mut index = 0;
    let known = procfs::cpu_per_round(KNOWN_FLOW_PACKETS, || {
        index = (index + 514_229) % flows;
        black_box(router.route_packet(&packet(index, false), now, &mut out));
    })?;
    let tick = procfs::cpu_per_call(|| router.tick(now, &mut out))?;
    let stats = procfs::cpu_per_call(|| {
        black_box(router.stats());
    })?;
    println!(
        "flows {flows:>7}: {:>3} B per record, resident {:>3} B, open {opening:?}, known {known:?}, tick {tick:.1?}, stats {stats:.1?}",
        router.stats().record_bytes / flows,
        resident_kb * 1_024 / flows as u64,
    );
    Ok(())
}
