//! Packets that are dropped in the queue.

use crate::{ack, data, drain, fill, flow, ms, opening, packet, reasons, scheduler, target};
use comfreyhold_flow::cookie::{CallerPacket, PacketKind};
use comfreyhold_link::{DropReason, LinkScheduler, Next, Offer, PacketMeta};
use std::time::Instant;

fn full_link() -> (LinkScheduler, Instant) {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    (link, now)
}

/// Guards against copies that take up the link although the packet that they repeat has not been sent.
#[test]
fn retransmissions_of_queued_packets_are_dropped() {
    let (mut link, now) = full_link();
    let end = packet(flow(2, 1), PacketKind::Finish);
    let end = PacketMeta::forward(&end, crate::terms(0), target(), now);
    let reset = PacketMeta::reset(&packet(flow(3, 1), PacketKind::Established), target());
    for meta in [data(flow(1, 1), 1, now), opening(flow(1, 1), 0, now), end, reset] {
        assert_eq!(link.offer(meta, &[0; 34], now), Offer::Queued);
        let repeated = link.offer(meta, &[0; 34], now);
        assert_eq!(repeated, Offer::Dropped(DropReason::Retransmission));
    }
    assert_eq!(link.offer(data(flow(1, 1), 101, now), &[0; 34], now), Offer::Queued);
    assert_eq!(drain(&mut link).len(), 5);
    let again = link.offer(data(flow(1, 1), 1, now), &[0; 34], now);
    assert_eq!(again, Offer::Queued, "the packet is no longer queued");
}

/// Guards against acknowledgements that are sent one after another although the last one says all, and against
/// one that loses its turn each time.
#[test]
fn a_later_acknowledgement_takes_the_place_of_a_queued_one() {
    let (mut link, now) = full_link();
    assert_eq!(link.offer(ack(flow(1, 1), u32::MAX, now), &[1; 34], now), Offer::Queued);
    assert_eq!(link.offer(ack(flow(1, 2), 50, now), &[2; 34], now), Offer::Queued);
    assert_eq!(link.offer(ack(flow(1, 1), 100, now), &[3; 34], now), Offer::Queued);
    assert_eq!(reasons(&mut link), [DropReason::Superseded]);
    let earlier = link.offer(ack(flow(1, 1), 99, now), &[4; 34], now);
    assert_eq!(earlier, Offer::Dropped(DropReason::Superseded));
    // A repeated one may say that a packet was lost.
    assert_eq!(link.offer(ack(flow(1, 2), 50, now), &[5; 34], now), Offer::Queued);
    let sent: Vec<u8> = drain(&mut link).iter().map(|outgoing| outgoing.datagram[0]).collect();
    assert_eq!(sent, [3, 2, 5]);
}

/// Guards against data that is dropped for an acknowledgement.
#[test]
fn acknowledgements_supersede_no_data_and_no_ends() {
    let (mut link, now) = full_link();
    let end = packet(flow(1, 1), PacketKind::Finish);
    for meta in [data(flow(1, 1), 1, now), crate::forward(end, 0, now), ack(flow(1, 1), 900, now)] {
        assert_eq!(link.offer(meta, &[0; 34], now), Offer::Queued);
    }
    assert_eq!(drain(&mut link).len(), 3);
}

/// Guards against openings that are sent after their callers' copies, as duplicate load.
#[test]
fn an_opening_is_dropped_when_its_retransmission_is_due() {
    let (mut link, now) = full_link();
    let first = opening(flow(1, 1), 0, now);
    link.offer(first, &[0; 34], now);
    assert!(matches!(link.next(now + ms(199)), Next::Send(_)));
    fill(&mut link, now + ms(200));
    link.offer(opening(flow(2, 1), 0, now + ms(200)), &[0; 34], now + ms(200));
    assert_eq!(link.next(now + ms(400)), Next::Empty);
    assert_eq!(reasons(&mut link), [DropReason::Expired]);
    let late = opening(flow(3, 1), 0, now);
    fill(&mut link, now + ms(400));
    let offer = link.offer(late, &[0; 34], now + ms(400));
    assert_eq!(offer, Offer::Dropped(DropReason::Expired));
}

/// Guards against the loss of both: the copy because the opening is queued, and the opening because its copy is due.
#[test]
fn an_opening_whose_copy_was_dropped_is_kept_until_the_next_copy() {
    let (mut link, now) = full_link();
    link.offer(opening(flow(1, 1), 0, now), &[0; 34], now);
    let copy = packet(flow(1, 1), PacketKind::Open { copy: 1 });
    let early = now + ms(199);
    assert!(link.repeats_queued(&copy, early));
    assert!(!link.repeats_queued(&CallerPacket { flow: flow(2, 1), ..copy }, early));
    fill_more(&mut link, early);
    let Next::Send(sent) = link.next(early + ms(300)) else { panic!("it is still queued") };
    assert_eq!(sent.meta.packet.flow, flow(1, 1));
    assert!(!sent.meta.is_refusable(early), "its caller has sent a copy");
    assert!(!link.repeats_queued(&copy, early + ms(300)), "it was sent");
}

fn fill_more(link: &mut LinkScheduler, now: Instant) {
    let other = data(flow(9, 9), 1, now);
    assert_eq!(link.offer(other, &[0; 34], now), Offer::Queued);
    assert!(matches!(link.next(now), Next::Send(outgoing) if outgoing.meta == other));
}

/// Guards against a full queue that drops packets of open flows, urgent openings, or packets of quiet callers, as
/// long as a caller has many openings of a lower priority.
#[test]
fn a_full_queue_drops_the_newest_of_the_largest_caller_in_the_lowest_class() {
    let (mut link, now) = full_link();
    link.offer(opening(flow(2, 1), 5, now), &[0; 42], now);
    link.offer(opening(flow(3, 1), 1, now), &[0; 42], now);
    let mut port = 0;
    let dropped = loop {
        port += 1;
        let meta = opening(flow(1, port), 5, now);
        if link.offer(meta, &[0; 42], now) != Offer::Queued {
            break meta;
        }
    };
    assert!(dropped.is_refusable(now));
    assert!(reasons(&mut link).is_empty(), "the newest one was the offered one");
    let urgent = opening(flow(1, 50_000), 1, now);
    assert_eq!(link.offer(urgent, &[0; 42], now), Offer::Queued);
    let drops = link.take_drops();
    let [drop] = &drops[..] else { panic!("{drops:?}") };
    assert_eq!((drop.reason, drop.meta.packet.flow), (DropReason::QueueFull, flow(1, port - 1)));
    let sent = drain(&mut link);
    for kept in [flow(2, 1), flow(3, 1), flow(1, 50_000)] {
        assert!(sent.iter().any(|outgoing| outgoing.meta.packet.flow == kept));
    }
}

/// Guards against a refusal that makes the full queue refuse the next opening, and so on.
#[test]
fn a_reset_drops_nothing_from_a_full_queue() {
    let (mut link, now) = full_link();
    for port in 0..10_000 {
        link.offer(opening(flow(1, port), 5, now), &[0; 42], now);
    }
    link.take_drops().clear();
    let queued = link.status().queued_packets;
    for caller in 0..1_000 {
        let answered = packet(flow(caller, 1), PacketKind::Open { copy: 0 });
        let reset = PacketMeta::reset(&answered, target());
        assert_eq!(link.offer(reset, &[0; 34], now), Offer::Queued);
    }
    assert!(link.take_drops().is_empty());
    assert_eq!(link.status().queued_packets, queued + 1_000);
}
