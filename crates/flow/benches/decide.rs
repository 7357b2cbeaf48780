//! Cost of a packet decision and memory per flow, by the number of recorded flows.
//!
//! Usage: `cargo bench -p comfreyhold-flow --bench decide`
#![allow(missing_docs)] // the macros of criterion generate public functions

use comfreyhold_flow::{
    FiveTuple, FlowRouter, Packet, Peer, PeerState, Protocol, RouterSettings, ServiceTargets,
    TargetSets, TargetSpec,
};
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision, ServiceId};
use comfreyhold_types::target::TargetState;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const FLOWS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const SERVICES: u16 = 100;
const TARGETS: u16 = 8;

fn address(kind: u8, service: u16, index: u16, port: u16) -> SocketAddr {
    let [high, low] = service.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, kind + high, low, index as u8)), port)
}

fn sets(targets: u16) -> TargetSets {
    let target = |service, index| TargetSpec {
        address: address(1, service, index, 8_080),
        incarnation: Incarnation(1),
        domain: DomainId(index % 4),
        weight: 100,
        state: TargetState::Serving,
    };
    let services = (0..SERVICES).map(|id| ServiceTargets {
        service: ServiceId(id),
        address: address(99, id, 0, 443),
        idle_timeout: Duration::from_secs(300),
        drain_time: Duration::from_secs(3_600),
        targets: (0..targets).map(|index| target(id, index)).collect(),
    });
    TargetSets { services: services.collect(), withdrawn: BTreeSet::new() }
}

fn packet(index: usize, opens: bool) -> Packet {
    let source = IpAddr::V4(Ipv4Addr::from(0xac10_0000 + (index / 50_000) as u32));
    let tuple = FiveTuple {
        protocol: Protocol::Tcp,
        source: SocketAddr::new(source, 1_024 + (index % 50_000) as u16),
        destination: address(99, index as u16 % SERVICES, 0, 443),
    };
    Packet::synthetic(tuple, opens)
}

fn router(flows: usize, now: Instant) -> FlowRouter {
    let settings = RouterSettings {
        instance: InstanceId(1),
        domain: DomainId(0),
        hash_key: (1, 2),
        max_flows: 4_000_000,
        seed: 1,
    };
    let router = FlowRouter::new(settings, now);
    let me = Peer { id: InstanceId(1), incarnation: Incarnation(1), state: PeerState::Serving };
    let mut out = Vec::new();
    router.prepare(Revision(1), &sets(TARGETS), now).expect("first version");
    router.activate(Revision(1), now).expect("prepared");
    router.set_live_entries(&[me], now, &mut out);
    for index in 0..flows {
        router.route_packet(&packet(index, true), now, &mut out);
    }
    router
}

/// Packets of recorded flows, in an order that defeats the cache. Each parsed packet is built just
/// before its decision: in practice it is in the cache then, which a packet from a long list is
/// not.
fn known(c: &mut Criterion) {
    let mut group = c.benchmark_group("known flow");
    group.throughput(Throughput::Elements(1));
    for flows in FLOWS {
        let now = Instant::now();
        let router = router(flows, now);
        let stats = router.stats();
        println!("{flows} flows: {} bytes per flow", stats.record_bytes / flows);
        let mut at = 0;
        let mut out = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(flows), |b| {
            b.iter(|| {
                at = (at + 514_229) % flows;
                black_box(router.route_packet(&packet(at, false), now, &mut out))
            });
        });
    }
    group.finish();
}

/// Openings of flows in slots in transition, at the arbiter.
fn arbitrated(c: &mut Criterion) {
    let mut group = c.benchmark_group("new flow in transition");
    group.throughput(Throughput::Elements(1));
    let now = Instant::now();
    let router = router(0, now);
    router.prepare(Revision(2), &sets(TARGETS + 8), now).expect("newer version");
    router.activate(Revision(2), now).expect("prepared");
    let mut index = 0;
    let mut out = Vec::new();
    group.bench_function("open", |b| {
        b.iter(|| {
            index += 1;
            black_box(router.route_packet(&packet(index, true), now, &mut out))
        });
    });
    group.finish();
}

/// Parsing and rewriting of one packet of 1,400 bytes.
fn rewrite(c: &mut Criterion) {
    let builder = etherparse::PacketBuilder::ipv4([10, 0, 0, 1], [10, 99, 0, 0], 64);
    let builder = builder.tcp(1_024, 443, 1, 1_024).ack(1);
    let mut bytes = Vec::new();
    builder.write(&mut bytes, &[7; 1_360]).expect("a vector takes any packet");
    let to = address(1, 0, 0, 8_080);
    c.bench_function("parse and rewrite", |b| {
        b.iter(|| {
            let mut bytes = bytes.clone();
            let packet = Packet::parse(&bytes).expect("well formed");
            packet.rewrite(&mut bytes, comfreyhold_flow::packet::Endpoint::Destination, to)
        });
    });
}

/// Preparation and activation of a version in which every service gains or loses a target.
fn change(c: &mut Criterion) {
    let mut version = 1;
    let now = Instant::now();
    let router = router(0, now);
    c.bench_function("change of 100 services", |b| {
        b.iter(|| {
            version += 1;
            let targets = TARGETS + version as u16 % 2;
            router.prepare(Revision(version), &sets(targets), now).expect("newer version");
            router.activate(Revision(version), now).expect("prepared");
        });
    });
}

criterion_group!(benches, known, arbitrated, rewrite, change);
criterion_main!(benches);
