//! Packets that come before an entry knows any routes.

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

/// That of all routes here.
const OBJECTIVE: Duration = Duration::from_millis(250);

fn objective(_: &FlowKey) -> Duration {
    OBJECTIVE
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Guards against requests that are late because their packets were dropped just before the entry was ready.
#[test]
fn packets_are_returned_in_the_order_in_which_they_came() {
    let (mut waiting, start) = (StartupBuffer::default(), Instant::now());
    let packets = [
        packet(9, PacketKind::Established, 4),
        opening(3, 0),
        packet(5, PacketKind::Established, 4),
    ];
    for (millis, packet) in (0..).zip(packets) {
        assert!(
            waiting.push(packet, &[u8::try_from(millis).unwrap()], after(start, millis)).is_empty()
        );
    }
    let (released, given_up) = waiting.release(objective, after(start, 150));
    assert_eq!(released.iter().map(|w| w.packet).collect::<Vec<_>>(), packets);
    let datagrams = released.iter().map(|waiting| waiting.datagram.as_slice());
    assert!(datagrams.eq([[0], [1], [2]]));
    assert!(given_up.is_empty());
}

/// Guards against two targets for one flow: the next copy of an opening may have gone through another entry,
/// and an attempt that was given up must not be opened.
#[test]
fn openings_are_given_up_when_their_caller_sends_the_next_copy_or_none() {
    for (copy, useful_ms) in [(0, 200), (1, 400), (2, 800), (7, 800)] {
        let start = Instant::now();
        let wait = |millis| {
            let mut waiting = StartupBuffer::default();
            waiting.push(opening(1, copy), &[], start);
            waiting.release(objective, after(start, millis))
        };
        let (released, given_up) = wait(useful_ms - 1);
        assert_eq!((released.len(), given_up.len()), (1, 0), "copy {copy}");
        let (released, given_up) = wait(useful_ms);
        assert_eq!((released.len(), given_up), (0, vec![opening(1, copy)]), "copy {copy}");
    }
}

/// Guards against new requests that wait behind a burst of late ones once the entry is ready.
#[test]
fn packets_of_open_flows_are_given_up_when_their_request_is_late() {
    for (waited_ms, of_use) in [(249, true), (250, false)] {
        let (mut waiting, start) = (StartupBuffer::default(), Instant::now());
        waiting.push(packet(2, PacketKind::Established, 7), &[], start);
        let (released, given_up) = waiting.release(objective, after(start, waited_ms));
        assert_eq!((released.len(), given_up.len()), if of_use { (1, 0) } else { (0, 1) });
    }
}

/// Guards against a burst of repetitions at the targets once the entry is ready.
#[test]
fn only_the_last_of_several_repetitions_is_kept() {
    let (mut waiting, start) = (StartupBuffer::default(), Instant::now());
    for (millis, copy) in [(0, 0), (200, 1)] {
        waiting.push(opening(1, copy), &[], after(start, millis));
        waiting.push(packet(2, PacketKind::Established, 7), &[], after(start, millis));
    }
    waiting.push(packet(2, PacketKind::Established, 107), &[], after(start, 250));
    let (released, _) = waiting.release(objective, after(start, 300));
    let kept: Vec<CallerPacket> = released.iter().map(|waiting| waiting.packet).collect();
    let later = [7, 107].map(|seq| packet(2, PacketKind::Established, seq));
    assert_eq!(kept, [opening(1, 1), later[0], later[1]]);
}

/// Guards against an entry without routes that takes ever more memory, and against old packets that keep
/// newer ones out.
#[test]
fn a_full_store_makes_room_only_for_packets_that_are_of_use_longer() {
    let (mut waiting, start) = (StartupBuffer::default(), Instant::now());
    for number in 0..MAX_BUFFERED {
        let port = u16::try_from(number).unwrap();
        assert!(waiting.push(opening(port, 0), &[], start).is_empty());
    }
    let next = opening(60_000, 0);
    assert_eq!(waiting.push(next, &[], after(start, 199)), [next]);
    assert_eq!(waiting.push(next, &[], after(start, 200)).len(), MAX_BUFFERED);
    let (released, _) = waiting.release(objective, after(start, 200));
    assert_eq!(released.len(), 1);
}
