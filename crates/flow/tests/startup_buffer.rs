//! Packets that arrive before an entry has any routes.

#![allow(clippy::unwrap_used)]

use comfreyhold_flow::cookie::startup_buffer::MAX_BUFFERED;
use comfreyhold_flow::cookie::{CallerPacket, Cookie, FlowKey, PacketKind, StartupBuffer};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

fn packet(port: u16, kind: PacketKind, seq: u32) -> CallerPacket {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
    let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let flow = FlowKey { caller, service };
    let data = if kind == PacketKind::Established { 100 } else { 0 };
    CallerPacket { flow, kind, cookie: Cookie(5), seq, ack: 9, data }
}

fn opening(port: u16, copy: u32) -> CallerPacket {
    packet(port, PacketKind::Open { copy }, 1)
}

/// Latency objective of all routes.
const OBJECTIVE: Duration = Duration::from_millis(250);

fn objective(_: &FlowKey) -> Duration {
    OBJECTIVE
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Guards against late requests whose packets were dropped just before the entry was ready.
#[test]
fn packets_are_released_in_order_of_arrival() {
    let (mut buffer, start) = (StartupBuffer::default(), Instant::now());
    let packets = [
        packet(9, PacketKind::Established, 4),
        opening(3, 0),
        packet(5, PacketKind::Established, 4),
    ];
    for (millis, packet) in (0..).zip(packets) {
        assert!(
            buffer.push(packet, &[u8::try_from(millis).unwrap()], after(start, millis)).is_empty()
        );
    }
    let (released, dropped) = buffer.release(objective, after(start, 150));
    assert_eq!(released.iter().map(|buffered| buffered.packet).collect::<Vec<_>>(), packets);
    let datagrams = released.iter().map(|buffered| buffered.datagram.as_slice());
    assert!(datagrams.eq([[0], [1], [2]]));
    assert!(dropped.is_empty());
}

/// Guards against two targets for one flow, since the next retransmission may have gone through another
/// entry, and against opening an abandoned attempt.
#[test]
fn openings_expire_when_their_caller_retransmits_or_abandons_them() {
    for (copy, useful_ms) in [(0, 200), (1, 400), (2, 800), (7, 800)] {
        let start = Instant::now();
        let wait = |millis| {
            let mut buffer = StartupBuffer::default();
            buffer.push(opening(1, copy), &[], start);
            buffer.release(objective, after(start, millis))
        };
        let (released, dropped) = wait(useful_ms - 1);
        assert_eq!((released.len(), dropped.len()), (1, 0), "copy {copy}");
        let (released, dropped) = wait(useful_ms);
        assert_eq!((released.len(), dropped), (0, vec![opening(1, copy)]), "copy {copy}");
    }
}

/// Guards against new requests that queue behind a burst of late ones once the entry is ready.
#[test]
fn packets_of_established_flows_are_dropped_when_their_request_is_late() {
    for (waited_ms, is_useful) in [(249, true), (250, false)] {
        let (mut buffer, start) = (StartupBuffer::default(), Instant::now());
        buffer.push(packet(2, PacketKind::Established, 7), &[], start);
        let (released, dropped) = buffer.release(objective, after(start, waited_ms));
        assert_eq!((released.len(), dropped.len()), if is_useful { (1, 0) } else { (0, 1) });
    }
}

/// Guards against a burst of retransmissions at the targets once the entry is ready.
#[test]
fn only_the_last_of_several_retransmissions_is_kept() {
    let (mut buffer, start) = (StartupBuffer::default(), Instant::now());
    for (millis, copy) in [(0, 0), (200, 1)] {
        buffer.push(opening(1, copy), &[], after(start, millis));
        buffer.push(packet(2, PacketKind::Established, 7), &[], after(start, millis));
    }
    buffer.push(packet(2, PacketKind::Established, 107), &[], after(start, 250));
    let (released, _) = buffer.release(objective, after(start, 300));
    let kept: Vec<CallerPacket> = released.iter().map(|buffered| buffered.packet).collect();
    let later = [7, 107].map(|seq| packet(2, PacketKind::Established, seq));
    assert_eq!(kept, [opening(1, 1), later[0], later[1]]);
}

/// Guards against unbounded memory of an entry without routes, and against expired packets that keep newer
/// ones out.
#[test]
fn a_full_buffer_drops_only_expired_packets() {
    let (mut buffer, start) = (StartupBuffer::default(), Instant::now());
    for number in 0..MAX_BUFFERED {
        let port = u16::try_from(number).unwrap();
        assert!(buffer.push(opening(port, 0), &[], start).is_empty());
    }
    let next = opening(60_000, 0);
    assert_eq!(buffer.push(next, &[], after(start, 199)), [next]);
    assert_eq!(buffer.push(next, &[], after(start, 200)).len(), MAX_BUFFERED);
    let (released, _) = buffer.release(objective, after(start, 200));
    assert_eq!(released.len(), 1);
}
