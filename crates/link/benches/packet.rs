//! Cost that the scheduler adds to a packet: on a link with room, and on a full one.

#![allow(missing_docs, reason = "the macros of criterion create undocumented items")]

use comfreyhold_flow::cookie::{CallerPacket, Cookie, FlowKey, PacketKind};
use comfreyhold_link::{LinkScheduler, LinkSettings, Next, Offer, PacketMeta, RouteTerms};
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

/// Size of a small datagram that is forwarded, in bytes.
const DATAGRAM_BYTES: usize = 42;

/// Flows that are open at the same time.
const FLOWS: u32 = 1_000;

/// Time between packets on a link with room: 1,333 flows of three packets per second, so that all are tracked.
const PACKET_INTERVAL: Duration = Duration::from_micros(250);

fn scheduler(mbps: f64) -> LinkScheduler {
    let settings = LinkSettings::from_mbps(mbps).ok().flatten();
    let Some(settings) = settings else { unreachable!("the rate is valid") };
    LinkScheduler::new(settings)
}

fn meta(flow: u32, kind: PacketKind, seq: u32, now: Instant) -> PacketMeta {
    let address = |ip, port| SocketAddrV4::new(Ipv4Addr::from(ip), port);
    let flow = FlowKey { caller: address(flow, 1_025), service: address(0xc612_0001, 443) };
    let packet = CallerPacket { flow, kind, cookie: Cookie(1), seq, ack: 1, data: 1 };
    let terms = RouteTerms { priority: 1, objective: Duration::from_millis(250) };
    PacketMeta::forward(&packet, terms, address(0x0a00_0001, 80), now)
}

/// Packets of flows that open, send data and end.
fn whole_flows(number: u32, now: Instant) -> PacketMeta {
    let kind = match number / FLOWS % 3 {
        0 => PacketKind::Open { copy: 0 },
        1 => PacketKind::Established,
        _ => PacketKind::Finish,
    };
    meta(number % FLOWS, kind, number, now)
}

fn packets(c: &mut Criterion) {
    let datagram = [0; DATAGRAM_BYTES];
    let start = Instant::now();
    let mut link = scheduler(1_000_000.0);
    let (mut number, mut now) = (0_u32, start);
    c.bench_function("offer, link with room, flows of three packets", |b| {
        b.iter(|| {
            number = number.wrapping_add(1);
            now += PACKET_INTERVAL;
            let meta = whole_flows(number, now);
            black_box(link.offer(black_box(meta), &datagram, now))
        });
    });
    let mut link = scheduler(5.0);
    c.bench_function("offer and next, full link", |b| {
        b.iter(|| {
            number = number.wrapping_add(1);
            now += Duration::from_micros(100);
            let meta = meta(number % FLOWS, PacketKind::Established, number, now);
            black_box(link.offer(black_box(meta), &datagram, now));
            while let Next::Send(outgoing) = link.next(now) {
                black_box(outgoing);
            }
            black_box(link.take_drops());
        });
    });
}

/// Sends over the loopback interface, as an entry does, without and with the scheduler on a link with room. The
/// receiver reads nothing, so that the kernel drops what exceeds its buffer.
fn sends(c: &mut Criterion) {
    let bind = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
    let (Ok(socket), Ok(receiver)) = (bind(), bind()) else { return };
    let Ok(SocketAddr::V4(to)) = receiver.local_addr() else { return };
    let datagram = [0; DATAGRAM_BYTES];
    c.bench_function("send without scheduler", |b| {
        b.iter(|| black_box(socket.send_to(&datagram, to).is_ok()));
    });
    let (mut number, mut now) = (0_u32, Instant::now());
    let mut link = scheduler(1_000_000.0);
    c.bench_function("send with scheduler, link with room", |b| {
        b.iter(|| {
            number = number.wrapping_add(1);
            now += PACKET_INTERVAL;
            let meta = whole_flows(number, now);
            if link.offer(meta, &datagram, now) == Offer::Send {
                black_box(socket.send_to(&datagram, to).is_ok());
            }
        });
    });
}

criterion_group!(benches, packets, sends);
criterion_main!(benches);
