//! Openings that are refused because the link can't carry their flows in time.

use crate::{data, fill, flow, ms, opening, packet, scheduler, service, terms};
use comfreyhold_flow::cookie::{FlowKey, PacketKind};
use comfreyhold_link::{
    FLOW_WINDOW, LinkScheduler, MIN_SAMPLES, OBJECTIVE_PARTS, PacketMeta, RouteTerms,
};
use std::time::{Duration, Instant};

/// Datagrams of a flow: opening, body and end. With headers: 70 + 970 + 70 bytes.
const FLOW_BYTES: f64 = 1_110.0;

/// Time that the link may take.
fn link_time() -> Duration {
    crate::OBJECTIVE / OBJECTIVE_PARTS
}

fn on_route(flow: FlowKey, route: u8) -> FlowKey {
    FlowKey { service: service(route), ..flow }
}

fn offer_open(link: &mut LinkScheduler, flow: FlowKey, priority: u8, now: Instant) {
    link.offer(opening(flow, priority, now), &[0; 42], now);
}

fn offer_rest(link: &mut LinkScheduler, flow: FlowKey, now: Instant) {
    link.offer(data(flow, 1, now), &[0; 942], now);
    link.offer(crate::forward(packet(flow, PacketKind::Finish), 0, now), &[0; 42], now);
}

/// Lets the scheduler observe `flows` whole flows of a route on a link with room. Returns the time afterwards.
fn observe(link: &mut LinkScheduler, route: u8, flows: u32, start: Instant) -> Instant {
    let mut now = start;
    for number in 0..flows {
        now += ms(100);
        let flow = on_route(flow(0x0900_0000 + number, 1), route);
        offer_open(link, flow, route, now);
        offer_rest(link, flow, now);
    }
    now + ms(100)
}

fn admits(link: &mut LinkScheduler, route: u8, now: Instant) -> bool {
    link.admits(service(route), terms(route), now)
}

/// Opens flows that are still to send their bodies, until an opening is refused. Returns their number.
fn open_until_refused(link: &mut LinkScheduler, route: u8, now: Instant) -> u32 {
    let mut opened = 0;
    while admits(link, route, now) {
        offer_open(link, on_route(flow(opened, 1), route), route, now);
        opened += 1;
        assert!(opened < 10_000, "nothing is refused");
    }
    opened
}

/// Guards against refusals before the cost of flows is known.
#[test]
fn nothing_is_refused_until_the_cost_of_the_route_is_known() {
    for (observed, is_refused) in [(0, false), (MIN_SAMPLES - 1, false), (MIN_SAMPLES, true)] {
        let mut link = scheduler();
        let now = observe(&mut link, 1, observed, Instant::now());
        fill(&mut link, now);
        for number in 0..200 {
            offer_open(&mut link, flow(number, 1), 1, now);
        }
        assert_eq!(!admits(&mut link, 1, now), is_refused, "{observed} flows");
    }
}

/// Guards against refusals on a link that has room, whatever the estimate says.
#[test]
fn nothing_is_refused_while_nothing_was_queued() {
    let mut link = scheduler();
    let mut now = observe(&mut link, 1, MIN_SAMPLES, Instant::now());
    for number in 0..500 {
        now += ms(1);
        assert!(admits(&mut link, 1, now), "{number}");
        offer_open(&mut link, flow(number, 1), 1, now);
    }
}

/// Guards against refusals that the arithmetic does not require, and against flows beyond what the link can carry.
#[test]
fn openings_are_refused_when_the_link_cannot_carry_them_in_time() {
    let mut link = scheduler();
    let now = observe(&mut link, 1, MIN_SAMPLES, Instant::now());
    fill(&mut link, now);
    let opened = open_until_refused(&mut link, 1, now);
    let carried = link.status().packet_rate * link_time().as_secs_f64() / FLOW_BYTES;
    assert_eq!(
        opened, carried as u32,
        "flows that the link can carry in its part of the objective"
    );
    assert!(link.expected_wait(service(1), 1) > link_time());
}

/// Guards against refusals that go on after the admitted flows have sent what they had to.
#[test]
fn openings_are_admitted_again_once_flows_have_ended() {
    let mut link = scheduler();
    let now = observe(&mut link, 1, MIN_SAMPLES, Instant::now());
    fill(&mut link, now);
    let opened = open_until_refused(&mut link, 1, now);
    let (_, mut now) = crate::send_all(&mut link, now);
    // The openings were sent, the bodies still count.
    let wait = link.expected_wait(service(1), 1);
    assert!(wait > link_time() * 9 / 10 && wait < link_time(), "{wait:?}");
    for number in 0..opened {
        offer_rest(&mut link, flow(number, 1), now);
        now = crate::send_all(&mut link, now).1;
    }
    assert!(admits(&mut link, 1, now));
}

/// Guards against flows of callers that went silent and count for ever.
#[test]
fn flows_without_packets_count_for_their_window_only() {
    let mut link = scheduler();
    let now = observe(&mut link, 1, MIN_SAMPLES, Instant::now());
    fill(&mut link, now);
    open_until_refused(&mut link, 1, now);
    let later = now + FLOW_WINDOW;
    fill(&mut link, later);
    assert!(admits(&mut link, 1, later));
    assert_eq!(link.status().tracked_flows, 0);
}

/// Guards against urgent openings that are refused for the sake of others.
#[test]
fn openings_count_only_traffic_of_their_own_priority_and_above() {
    let mut link = scheduler();
    let now = observe(&mut link, 1, MIN_SAMPLES, Instant::now());
    let now = observe(&mut link, 2, MIN_SAMPLES, now);
    fill(&mut link, now);
    open_until_refused(&mut link, 2, now);
    assert!(admits(&mut link, 1, now), "the lower priority does not count");
    open_until_refused(&mut link, 1, now);
    assert!(!admits(&mut link, 2, now), "the higher priority counts");
}

/// Guards against refusals on routes without an objective.
#[test]
fn routes_without_an_objective_are_not_refused() {
    let mut link = scheduler();
    let now = observe(&mut link, 1, MIN_SAMPLES, Instant::now());
    fill(&mut link, now);
    open_until_refused(&mut link, 1, now);
    let no_objective = RouteTerms { priority: 1, objective: Duration::ZERO };
    assert!(link.admits(service(1), no_objective, now));
}

/// Guards against long flows whose bytes of many requests count as if they were due at once.
#[test]
fn of_a_long_flow_only_the_part_of_one_objective_counts() {
    let (mut link, mut now) = (scheduler(), Instant::now());
    // Flows of 10 requests, one each 400 ms.
    for number in 0..MIN_SAMPLES {
        offer_open(&mut link, flow(number, 1), 1, now);
        for request in 0..10 {
            now += ms(400);
            link.offer(data(flow(number, 1), request * 900, now), &[0; 942], now);
        }
    }
    now += FLOW_WINDOW;
    fill(&mut link, now);
    let opened = open_until_refused(&mut link, 1, now);
    let carried = link.status().packet_rate * link_time().as_secs_f64();
    let bytes_each = carried / f64::from(opened);
    assert!((500.0..1_100.0).contains(&bytes_each), "about one request: {bytes_each}");
}

/// Guards against a cost that is learned too low from flows that a full link has held up.
#[test]
fn long_flows_are_not_learned_on_a_full_link() {
    for is_full in [true, false] {
        let (mut link, mut now) = (scheduler(), Instant::now());
        for number in 0..MIN_SAMPLES {
            offer_open(&mut link, flow(number, 1), 1, now);
        }
        if is_full {
            fill(&mut link, now);
        }
        now += FLOW_WINDOW;
        fill(&mut link, now);
        for number in 0..1_000 {
            offer_open(&mut link, flow(1_000 + number, 1), 1, now);
        }
        assert_eq!(admits(&mut link, 1, now), is_full, "refused only if the cost was learned");
    }
}

/// Guards against refusals of openings that may have been sent, or whose caller has gone on.
#[test]
fn only_first_openings_before_their_copy_are_refusable() {
    let now = Instant::now();
    let first = opening(flow(1, 1), 0, now);
    assert!(first.is_refusable(now + ms(149)) && !first.is_refusable(now + ms(150)));
    let known = PacketMeta { is_first: false, ..first };
    let copy = crate::forward(packet(flow(1, 1), PacketKind::Open { copy: 1 }), 0, now);
    let reset = PacketMeta::reset(&first.packet, crate::target());
    for other in [known, copy, reset, data(flow(1, 1), 1, now)] {
        assert!(!other.is_refusable(now));
    }
}
