//! Rate of the link, and times that stand still or jump.

use crate::{data, flow, ms, opening, scheduler, send_all, settings};
use comfreyhold_link::{LinkError, LinkScheduler, LinkSettings, MAX_LINK_MBPS, Next, Offer};
use std::time::{Duration, Instant};

/// Size of a datagram on the link, in bytes.
const LINK_BYTES: usize = 1_000;

fn offer(link: &mut LinkScheduler, number: u32, now: Instant) -> Offer {
    link.offer(data(flow(number, 1), 1, now), &[0; LINK_BYTES - 28], now)
}

/// Offers twice what the link carries for a time, in steps of 1 ms, and returns the bytes that were sent.
fn saturate(link: &mut LinkScheduler, start: Instant, for_ms: u64) -> f64 {
    let mut sent = 0;
    let per_step = (link.status().packet_rate * 2.0 / 1_000.0 / LINK_BYTES as f64).ceil() as u32;
    for step in 0..for_ms {
        let now = start + ms(step);
        for number in 0..per_step {
            let number = u32::try_from(step).unwrap() * per_step + number;
            sent += usize::from(offer(link, number, now) == Offer::Send);
        }
        while let Next::Send(_) = link.next(now) {
            sent += 1;
        }
        link.take_drops().clear();
    }
    (sent * LINK_BYTES) as f64
}

/// Guards against packets above the stated rate, which would queue in the network, and against unused rate.
#[test]
fn a_saturated_link_is_used_at_its_rate() {
    for mbps in [0.1, 1.5, 5.0, 100.0] {
        let mut link = LinkScheduler::new(settings(mbps));
        let rate = link.status().packet_rate;
        let sent = saturate(&mut link, Instant::now(), 10_000);
        let burst = (rate * 0.005).max(2_600.0);
        assert!(sent <= rate * 10.0 + burst, "{mbps}: {sent}");
        assert!(sent >= rate * 9.9 - burst, "{mbps}: {sent}");
    }
}

/// Guards against a reserve that leaves nothing for control traffic, or nothing for packets.
#[test]
fn the_reserve_is_a_tenth_but_at_least_8_kb_and_at_most_half() {
    for (mbps, rate) in [(5.0, 562_500.0), (1.5, 168_750.0), (0.2, 17_000.0), (0.08, 5_000.0)] {
        let settings = settings(mbps);
        assert!((settings.packet_rate() - rate).abs() < 1.0, "{mbps}: {}", settings.packet_rate());
    }
}

/// Guards against a rate that is taken although it can't be right, and against a scheduler where none is wanted.
#[test]
fn invalid_rates_are_rejected_and_0_means_none() {
    assert_eq!(LinkSettings::from_mbps(0.0), Ok(None));
    for mbps in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(LinkSettings::from_mbps(mbps), Err(LinkError::NotFinite));
    }
    for mbps in [-1.0, MAX_LINK_MBPS * 1.01] {
        assert_eq!(LinkSettings::from_mbps(mbps), Err(LinkError::OutOfRange(mbps)));
    }
    for mbps in [f64::MIN_POSITIVE, 1e-9, MAX_LINK_MBPS] {
        let mut link = LinkScheduler::new(settings(mbps));
        let now = Instant::now();
        for number in 0..100_000 {
            offer(&mut link, number, now);
        }
        assert!(!matches!(link.next(now), Next::Wait(wait) if wait > Duration::from_secs(10)));
    }
}

/// Guards against a reload that needs a restart, or that loses packets.
#[test]
fn a_changed_rate_applies_to_queued_packets() {
    let (mut link, now) = (scheduler(), Instant::now());
    crate::fill(&mut link, now);
    for number in 0..60 {
        assert_eq!(offer(&mut link, number, now), Offer::Queued);
    }
    link.set_settings(settings(15.0), now);
    let (sent, end) = send_all(&mut link, now);
    assert_eq!(sent.len(), 60);
    let expected = 60.0 * LINK_BYTES as f64 / settings(15.0).packet_rate();
    let took = (end - now).as_secs_f64();
    assert!((took - expected).abs() < 0.01, "{took} s instead of {expected} s");
}

/// Guards against more than the burst while no time passes, and against a wait that ends without room.
#[test]
fn time_that_stands_still_sends_the_burst_only() {
    let (mut link, now) = (scheduler(), Instant::now());
    let sent = (0..100).filter(|number| offer(&mut link, *number, now) == Offer::Send).count();
    assert_eq!(sent, 2, "two datagrams");
    for _ in 0..1_000 {
        assert!(matches!(link.next(now), Next::Wait(wait) if wait > Duration::ZERO));
    }
    let Next::Wait(wait) = link.next(now) else { panic!("the link is full") };
    assert!(matches!(link.next(now + wait), Next::Send(_)));
}

/// Guards against a flood after a pause of the process, against openings sent seconds late, and against a clock that
/// seems to go back.
#[test]
fn a_jump_of_time_sends_a_burst_and_drops_old_openings() {
    let (mut link, now) = (scheduler(), Instant::now());
    crate::fill(&mut link, now);
    for number in 0..50 {
        offer(&mut link, number, now);
        link.offer(opening(flow(100 + number, 1), 1, now), &[0; 42], now);
    }
    let later = now + Duration::from_secs(1_000_000);
    let mut sent = 0;
    while let Next::Send(outgoing) = link.next(later) {
        assert!(outgoing.meta.expires.is_none());
        sent += 1;
    }
    assert_eq!(sent, 2, "two datagrams");
    assert_eq!(link.take_drops().len(), 50);
    assert!(matches!(link.next(now), Next::Wait(_)));
    assert!(matches!(link.next(later), Next::Wait(_)));
    let (rest, _) = send_all(&mut link, later);
    assert_eq!(rest.len(), 48);
}
