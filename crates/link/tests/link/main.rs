//! Tests of the scheduler: order, drops, bounds, refusals and the rate.

#![allow(clippy::unwrap_used, clippy::panic)]

mod admission;
mod bounds;
mod drops;
mod order;
mod rate;

use comfreyhold_flow::cookie::{CallerPacket, Cookie, FlowKey, PacketKind};
use comfreyhold_link::{
    DropReason, LinkScheduler, LinkSettings, Next, Offer, Outgoing, PacketMeta, RouteTerms,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Rate of the small entries of deployment S, in Mbit/s.
const SMALL_LINK_MBPS: f64 = 1.5;

const OBJECTIVE: Duration = Duration::from_millis(250);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn settings(mbps: f64) -> LinkSettings {
    LinkSettings::from_mbps(mbps).unwrap().unwrap()
}

fn scheduler() -> LinkScheduler {
    LinkScheduler::new(settings(SMALL_LINK_MBPS))
}

fn service(route: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, route), 443)
}

fn terms(priority: u8) -> RouteTerms {
    RouteTerms { priority, objective: OBJECTIVE }
}

fn flow(caller: u32, port: u16) -> FlowKey {
    FlowKey { caller: SocketAddrV4::new(Ipv4Addr::from(caller), port), service: service(1) }
}

fn packet(flow: FlowKey, kind: PacketKind) -> CallerPacket {
    CallerPacket { flow, kind, cookie: Cookie(7), seq: 1, ack: 1, data: 0 }
}

fn target() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80)
}

fn forward(packet: CallerPacket, priority: u8, now: Instant) -> PacketMeta {
    PacketMeta::forward(&packet, terms(priority), target(), now)
}

fn opening(flow: FlowKey, priority: u8, now: Instant) -> PacketMeta {
    forward(packet(flow, PacketKind::Open { copy: 0 }), priority, now)
}

fn data(flow: FlowKey, seq: u32, now: Instant) -> PacketMeta {
    let packet = packet(flow, PacketKind::Established);
    forward(CallerPacket { seq, data: 100, ..packet }, 0, now)
}

fn ack(flow: FlowKey, ack: u32, now: Instant) -> PacketMeta {
    forward(CallerPacket { ack, ..packet(flow, PacketKind::Established) }, 0, now)
}

/// Uses up the burst of the link, so that further packets are queued.
fn fill(link: &mut LinkScheduler, now: Instant) {
    for number in 0.. {
        let filler = data(flow(0xffff_ffff, 9), 1_000_000 + number, now);
        if link.offer(filler, &[0; 1_200], now) != Offer::Send {
            break;
        }
    }
    while link.flush().is_some() {}
    assert!(matches!(link.offer(data(flow(0xffff_ffff, 9), 1, now), &[], now), Offer::Queued));
    while link.flush().is_some() {}
}

/// All queued datagrams in their order, whatever the rate.
fn drain(link: &mut LinkScheduler) -> Vec<Outgoing> {
    std::iter::from_fn(|| link.flush()).collect()
}

/// Sends at the link's rate until nothing is queued. Returns the datagrams and the time at which the last one was
/// sent.
fn send_all(link: &mut LinkScheduler, mut now: Instant) -> (Vec<Outgoing>, Instant) {
    let mut sent = Vec::new();
    loop {
        match link.next(now) {
            Next::Send(outgoing) => sent.push(outgoing),
            Next::Wait(wait) => now += wait,
            Next::Empty => return (sent, now),
        }
    }
}

fn reasons(link: &mut LinkScheduler) -> Vec<DropReason> {
    link.take_drops().into_iter().map(|drop| drop.reason).collect()
}
