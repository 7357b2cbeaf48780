//! Bounds of the state, and that no packet is lost without a report.

use crate::{ack, data, fill, flow, ms, opening, packet, scheduler, settings, target};
use comfreyhold_flow::cookie::PacketKind;
use comfreyhold_link::{
    LinkScheduler, MAX_QUEUED_BYTES, MAX_QUEUED_PACKETS, MAX_QUEUED_RESETS, MAX_TRACKED_FLOWS,
    Next, Offer, PacketMeta,
};
use proptest::prelude::*;
use std::time::Instant;

fn assert_bounded(link: &LinkScheduler) {
    let status = link.status();
    assert!(status.queued_packets <= MAX_QUEUED_PACKETS + MAX_QUEUED_RESETS, "{status:?}");
    assert!(status.queued_bytes <= MAX_QUEUED_BYTES + MAX_QUEUED_RESETS * 62, "{status:?}");
    assert!(status.tracked_flows <= MAX_TRACKED_FLOWS, "{status:?}");
}

/// Guards against state that grows with the flows of a caller that opens one after another.
#[test]
fn a_million_flows_of_one_caller_take_bounded_state() {
    let (mut link, now) = (LinkScheduler::new(settings(100.0)), Instant::now());
    for number in 0..1_000_000_u32 {
        let port = u16::try_from(number % 60_000).unwrap();
        link.offer(opening(flow(number / 60_000, port), 1, now), &[0; 42], now);
        link.take_drops().clear();
        if number % 1_000 == 0 {
            assert_bounded(&link);
        }
    }
    assert_bounded(&link);
    link.next(now + ms(10_000));
    assert_eq!(link.status().tracked_flows, 0, "no flow is counted for longer than its window");
}

/// Guards against state that grows with the number of callers, and against callers without a queue of their own
/// that are never sent.
#[test]
fn random_callers_take_bounded_state_and_are_all_sent() {
    let (mut link, now) = (LinkScheduler::new(settings(100.0)), Instant::now());
    fill(&mut link, now);
    for number in 0..50_000_u32 {
        let caller = number.wrapping_mul(2_654_435_761);
        link.offer(opening(flow(caller, 1), 1, now), &[0; 42], now);
        link.take_drops().clear();
        assert_bounded(&link);
    }
    let queued = link.status().queued_packets;
    assert_eq!(queued, MAX_QUEUED_PACKETS);
    assert_eq!(crate::drain(&mut link).len(), queued);
    assert!(link.is_empty());
}

/// Guards against a copy of the scheduler, by which an entry explains what the link would do, that holds up packets.
#[test]
fn a_full_queue_is_copied_in_less_than_five_milliseconds() {
    let (mut link, now) = (LinkScheduler::new(settings(100.0)), Instant::now());
    fill(&mut link, now);
    for number in 0..50_000_u32 {
        link.offer(opening(flow(number, 1), 1, now), &[0; 1_000], now);
        link.take_drops().clear();
    }
    let status = link.status();
    assert!(status.queued_bytes > MAX_QUEUED_BYTES - 2_000, "{status:?}");
    let copy_time = || {
        let start = Instant::now();
        let copy = link.clone();
        (start.elapsed(), copy.status())
    };
    let copies: Vec<_> = (0..10).map(|_| copy_time()).collect();
    assert!(copies.iter().all(|(_, copied)| *copied == status));
    let least = copies.iter().map(|(took, _)| *took).min();
    println!("{least:?} for {status:?}");
    assert!(least.is_some_and(|least| least < ms(5)), "{least:?}");
}

/// Guards against resets that are queued without a limit.
#[test]
fn resets_are_bounded() {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    for number in 0..10_000 {
        let answered = packet(flow(number, 1), PacketKind::Established);
        link.offer(PacketMeta::reset(&answered, target()), &[0; 34], now);
        assert_bounded(&link);
    }
    assert_eq!(link.status().queued_packets, MAX_QUEUED_RESETS);
}

/// Guards against a queue that holds more than half a second of the link's rate.
#[test]
fn the_queue_holds_at_most_half_a_second() {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    for number in 0..1_000 {
        link.offer(data(flow(number, 1), 1, now), &[0; 900], now);
    }
    let status = link.status();
    assert!(status.queued_bytes as f64 <= status.packet_rate * 0.5, "{status:?}");
    let (sent, end) = crate::send_all(&mut link, now);
    assert!(sent.len() > 80 && end <= now + ms(510), "{} in {:?}", sent.len(), end - now);
}

/// Guards against state that stays when a rate is lowered.
#[test]
fn a_lower_rate_drops_what_exceeds_its_queue() {
    let (mut link, now) = (LinkScheduler::new(settings(10.0)), Instant::now());
    fill(&mut link, now);
    for number in 0..300 {
        link.offer(data(flow(number, 1), 1, now), &[0; 900], now);
    }
    link.set_settings(settings(1.0), now);
    let status = link.status();
    assert!(status.queued_bytes as f64 <= status.packet_rate * 0.5, "{status:?}");
    assert_eq!(link.take_drops().len() + status.queued_packets, 300);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { caller: u32, port: u16, kind: u8, number: u32, len: usize },
    Next { after_ms: u64 },
    PutBack,
    Rate(f64),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0..5_u32, 0..4_u16, 0..7_u8, 0..4_u32, 0..1_300_usize).prop_map(
        |(caller, port, kind, number, len)| Step::Offer { caller, port, kind, number, len },
    );
    prop_oneof![
        8 => offer,
        4 => (0..50_u64).prop_map(|after_ms| Step::Next { after_ms }),
        1 => Just(Step::PutBack),
        1 => (0.01..5.0_f64).prop_map(Step::Rate),
    ]
}

fn offered(kind: u8, caller: u32, port: u16, number: u32, now: Instant) -> PacketMeta {
    let flow = flow(caller, port);
    let forward = |kind| crate::forward(packet(flow, kind), 1, now);
    match kind {
        0 => opening(flow, u8::try_from(number).unwrap(), now),
        1 => forward(PacketKind::Open { copy: number }),
        2 => data(flow, number * 100, now),
        3 => ack(flow, number, now),
        4 => forward(PacketKind::Finish),
        5 => forward(PacketKind::Abort),
        _ => PacketMeta::reset(&packet(flow, PacketKind::Established), target()),
    }
}

proptest! {
    /// Guards against packets that are lost without a report, sent twice, or counted wrongly, in any sequence.
    #[test]
    fn every_packet_is_sent_or_reported_once(steps in prop::collection::vec(step(), 1..300)) {
        let (mut link, mut now) = (LinkScheduler::new(settings(0.05)), Instant::now());
        let (mut offers, mut sent, mut dropped) = (0, 0, 0);
        for step in steps {
            match step {
                Step::Offer { caller, port, kind, number, len } => {
                    offers += 1;
                    let meta = offered(kind, caller, port, number, now);
                    match link.offer(meta, &vec![0; len], now) {
                        Offer::Send => sent += 1,
                        Offer::Queued => {}
                        Offer::Dropped(_) => dropped += 1,
                    }
                }
                Step::Next { after_ms } => {
                    now += ms(after_ms);
                    sent += usize::from(matches!(link.next(now), Next::Send(_)));
                }
                Step::PutBack => {
                    if let Next::Send(outgoing) = link.next(now) {
                        link.put_back(outgoing);
                    }
                }
                Step::Rate(mbps) => link.set_settings(settings(mbps), now),
            }
            dropped += link.take_drops().len();
            prop_assert_eq!(offers, sent + dropped + link.status().queued_packets);
        }
        sent += crate::drain(&mut link).len();
        prop_assert_eq!(offers, sent + dropped);
        prop_assert!(link.is_empty());
        prop_assert_eq!(link.status().queued_bytes, 0);
    }
}
