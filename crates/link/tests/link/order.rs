//! Order of queued packets.

use crate::{data, drain, fill, flow, ms, opening, packet, scheduler, send_all, target};
use comfreyhold_flow::cookie::PacketKind;
use comfreyhold_link::{Class, Next, Offer, Outgoing, PACKETS_PER_LOWER, PacketMeta};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

fn classes(sent: &[Outgoing]) -> Vec<Class> {
    sent.iter().map(|outgoing| outgoing.meta.class()).collect()
}

/// Guards against a delay or a reordering by the scheduler while the link has room.
#[test]
fn packets_are_sent_at_once_while_the_link_has_room() {
    let (mut link, mut now) = (scheduler(), Instant::now());
    for number in 0..1_000 {
        now += ms(10);
        let meta = opening(flow(number, 1), 3, now);
        assert_eq!(link.offer(meta, &[0; 42], now), Offer::Send);
        assert_eq!(link.offer(data(flow(number, 1), 2, now), &[0; 942], now), Offer::Send);
        assert_eq!(link.next(now), Next::Empty);
    }
    assert!(link.take_drops().is_empty());
}

/// Guards against bodies and ends of open flows that wait behind openings, and against urgent openings behind others.
#[test]
fn resets_go_first_then_open_flows_then_openings_by_priority() {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    let offers = [
        opening(flow(1, 1), 2, now),
        opening(flow(2, 1), 1, now),
        data(flow(3, 1), 1, now),
        PacketMeta::reset(&packet(flow(4, 1), PacketKind::Established), target()),
    ];
    for meta in offers {
        assert_eq!(link.offer(meta, &[0; 34], now), Offer::Queued);
    }
    let expected = [Class::Reset, Class::OpenFlow, Class::Opening(1), Class::Opening(2)];
    assert_eq!(classes(&drain(&mut link)), expected);
}

/// Guards against a caller with many packets that delays the others of its class.
#[test]
fn callers_of_a_class_take_turns() {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    for seq in 0..20 {
        link.offer(data(flow(1, 1), seq * 100, now), &[0; 142], now);
    }
    for caller in [2, 3] {
        for seq in 0..3 {
            link.offer(data(flow(caller, 1), seq * 100, now), &[0; 142], now);
        }
    }
    let sent = drain(&mut link);
    let callers = |part: &[Outgoing]| {
        part.iter().map(|o| o.meta.packet.flow.caller).collect::<BTreeSet<_>>().len()
    };
    for turn in sent.chunks(3).take(3) {
        assert_eq!(callers(turn), 3);
    }
    let first = sent.iter().filter(|o| o.meta.packet.flow == flow(1, 1));
    let seqs: Vec<u32> = first.map(|o| o.meta.packet.seq).collect();
    assert!(seqs.is_sorted(), "packets of one flow keep their order");
}

/// Guards against lower classes that wait for as long as higher ones have packets.
#[test]
fn each_lower_class_gets_its_part_while_higher_ones_have_packets() {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    for number in 0..200 {
        link.offer(data(flow(number, 1), 1, now), &[0; 34], now);
    }
    for priority in [1, 2, 5] {
        for number in 0..10 {
            let flow = flow(1_000 + number, 1 + u16::from(priority));
            assert_eq!(link.offer(opening(flow, priority, now), &[0; 34], now), Offer::Queued);
        }
    }
    let sent = classes(&drain(&mut link));
    let period = PACKETS_PER_LOWER as usize;
    for part in sent.chunks(period).take(200 / period) {
        assert!(part.iter().any(|class| *class != Class::OpenFlow), "{part:?}");
    }
    let mut counts = BTreeMap::new();
    for class in sent.iter().take(period * 9) {
        *counts.entry(*class).or_insert(0) += 1;
    }
    for priority in [1, 2, 5] {
        assert_eq!(counts.get(&Class::Opening(priority)), Some(&3), "{counts:?}");
    }
}

/// Guards against a packet that is lost or overtaken when the socket does not take it.
#[test]
fn a_packet_that_was_put_back_is_sent_next_and_not_charged_twice() {
    let (mut link, now) = (scheduler(), Instant::now());
    fill(&mut link, now);
    link.offer(data(flow(1, 1), 1, now), &[1; 900], now);
    link.offer(data(flow(2, 1), 1, now), &[2; 900], now);
    let Next::Wait(wait) = link.next(now) else { panic!("the link is full") };
    let later = now + wait;
    let Next::Send(first) = link.next(later) else { panic!("the wait is over") };
    link.put_back(first.clone());
    let reset = PacketMeta::reset(&packet(flow(4, 1), PacketKind::Established), target());
    assert_eq!(link.offer(reset, &[3; 34], later), Offer::Queued);
    assert_eq!(link.next(later), Next::Send(first));
    let (sent, _) = send_all(&mut link, later);
    let marks: Vec<u8> = sent.iter().map(|outgoing| outgoing.datagram[0]).collect();
    assert_eq!(marks, [3, 2]);
}
