//! Load of flows whose callers fall silent.

#![allow(clippy::panic, clippy::unwrap_used)]

mod capacity_support;

use capacity_support::fixture::{cookie, new_balancer_of, service_address};
use comfreyhold_flow::cookie::{Balancer, CallerPacket, Cookie, FlowKey, PacketKind, Verdict};
use comfreyhold_types::routes::RequestClass;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One flow to the only target of a service.
struct Flow {
    balancer: Balancer,
    start: Instant,
}

impl Flow {
    fn open(class: RequestClass) -> Self {
        let start = Instant::now();
        let mut flow = Self { balancer: new_balancer_of(class, 1, 2, true, start), start };
        flow.send(millis(0), PacketKind::Open { copy: 0 }, (0, 0, 0));
        flow
    }

    /// Sends a packet at a time from the start, through an entry that sweeps every 50 ms.
    fn send(&mut self, at: Duration, kind: PacketKind, (seq, ack, data): (u32, u32, u16)) {
        self.sweep_until(at);
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024);
        let flow = FlowKey { caller, service: service_address() };
        let cookie =
            if matches!(kind, PacketKind::Open { .. }) { Cookie::default() } else { cookie(0) };
        let packet = CallerPacket { flow, kind, cookie, seq, ack, data };
        let now = self.start + at;
        let verdict = self.balancer.route_packet(&packet, false, Duration::ZERO, now);
        assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
    }

    fn sweep_until(&mut self, at: Duration) {
        for step in 0..=(at.as_millis() as u64 / 50) {
            self.balancer.sweep(self.start + millis(50) * step as u32);
        }
    }

    fn load_at(&mut self, at: Duration) -> f64 {
        self.sweep_until(at);
        let directory = self.balancer.directory();
        let key = directory.find(cookie(0)).unwrap();
        directory.get(key).unwrap().load
    }
}

/// Guards against callers that vanish and fill a target for as long as flows may be idle: after a loss of power, shares
/// refused openings for 15 s at a thirtieth of the slots in use.
#[test]
fn a_flow_that_its_caller_has_left_stops_counting() {
    for class in [RequestClass::NonIdempotent, RequestClass::Download] {
        let mut flow = Flow::open(class);
        flow.send(millis(6), PacketKind::Established, (1, 1, 0));
        assert_eq!(flow.load_at(millis(950)), 1.0, "{class:?}");
        assert!(flow.load_at(millis(1_100)) < 0.06, "{class:?}");
    }
}

/// Guards against openings that no target has answered and that count long after their last copy.
#[test]
fn an_opening_without_an_answer_stops_counting_after_its_copies() {
    let mut flow = Flow::open(RequestClass::Idempotent);
    flow.send(millis(600), PacketKind::Open { copy: 2 }, (0, 0, 0));
    assert_eq!(flow.load_at(millis(750)), 1.0);
    assert_eq!(flow.load_at(millis(850)), 0.0);
}

/// Guards against a target that seems free because a caller was silent for a while.
#[test]
fn a_flow_that_goes_on_counts_again() {
    let mut flow = Flow::open(RequestClass::NonIdempotent);
    flow.send(millis(6), PacketKind::Established, (1, 1, 0));
    assert!(flow.load_at(millis(4_000)) < 1.0);
    flow.send(millis(4_050), PacketKind::Established, (1, 1, 900));
    assert_eq!(flow.load_at(millis(4_100)), 1.0);
    assert_eq!(flow.load_at(millis(4_950)), 1.0);
    flow.send(millis(5_000), PacketKind::Finish, (901, 601, 0));
    assert_eq!(flow.load_at(millis(7_000)), 0.0);
}

/// Guards against long downloads that count as abandoned: their callers acknowledge what they receive.
#[test]
fn a_long_download_counts_until_its_end() {
    let mut flow = Flow::open(RequestClass::Download);
    flow.send(millis(6), PacketKind::Established, (1, 1, 100));
    for step in 1..=60 {
        flow.send(millis(200) * step, PacketKind::Established, (101, 1 + 2_000 * step, 0));
    }
    assert_eq!(flow.load_at(millis(12_050)), 1.0);
}

/// Guards against loads that drift: whatever flows do, nothing is left when they are gone.
#[test]
fn no_load_is_left_when_flows_have_ended() {
    for class in [RequestClass::Idempotent, RequestClass::NonIdempotent, RequestClass::Download] {
        let mut flow = Flow::open(class);
        flow.send(millis(250), PacketKind::Open { copy: 1 }, (0, 0, 0));
        flow.send(millis(2_000), PacketKind::Established, (1, 1, 100));
        flow.send(millis(6_000), PacketKind::Established, (101, 500, 100));
        flow.send(millis(9_500), PacketKind::Established, (201, 900, 0));
        let load = flow.load_at(millis(40_000));
        assert!(load.abs() < 1e-9, "{class:?}: {load}");
    }
}
