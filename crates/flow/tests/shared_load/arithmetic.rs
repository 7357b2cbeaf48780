//! Reports, totals and signs of pressure of one entry.

use crate::play::{SERVICE, address, domain_name, entry, packet, routing, spec};
use comfreyhold_flow::cookie::{Balancer, Cookie, FlowKey, PacketKind, Verdict};
use comfreyhold_load::messages::{MAX_COUNT, VERSION};
use comfreyhold_load::{
    DomainDemand, LoadBook, LoadError, LoadReport, LoadTotals, SenderStart, ServiceId,
    ServiceTotal, TargetLoad, TargetMark,
};
use comfreyhold_types::keys::TargetId;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const FROM: SenderStart = SenderStart { sender: 1, start: 1 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An entry that has just begun the interval of a report.
struct Fixture {
    balancer: Balancer,
    now: Instant,
    next_port: u16,
}

impl Fixture {
    fn new(targets: usize) -> Self {
        let mut balancer = entry(0);
        let start = Instant::now();
        balancer.set_routing(routing(), start);
        for number in 0..targets {
            balancer.set_target(spec(number, 2, start), start);
        }
        let now = start + ms(1_000);
        assert_eq!(balancer.load_report(FROM, now), None, "the first interval has just begun");
        Self { balancer, now, next_port: 1_024 }
    }

    fn send(&mut self, flow: FlowKey, kind: PacketKind, cookie: Cookie, ack: u32) -> Verdict {
        let mut packet =
            packet(flow, kind, cookie, if kind == PacketKind::Established { 100 } else { 0 });
        packet.ack = ack;
        self.balancer.route_packet(&packet, false, Duration::ZERO, self.now)
    }

    fn open(&mut self) -> (FlowKey, Cookie) {
        self.next_port += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.next_port);
        let flow = FlowKey { caller, service: address() };
        match self.send(flow, PacketKind::Open { copy: 0 }, Cookie::default(), 9) {
            Verdict::Forward { cookie, .. } => (flow, cookie),
            _ => (flow, Cookie::default()),
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        self.balancer.load_report(FROM, self.now)
    }

    /// Load of others on a target.
    fn others(&self, mark: TargetMark, at: Instant) -> Option<f64> {
        let (_, target) =
            self.balancer.directory().iter().find(|(_, t)| t.cookie.0 == mark.0).unwrap();
        target.others.map(|others| others.in_flight(at))
    }
}

fn totals(own_number: Option<u64>, in_flight: u32) -> LoadTotals {
    let mark = TargetMark(Cookie::of(TargetId(0), 1).0);
    LoadTotals {
        version: VERSION,
        is_sharing: true,
        age_ms: 10,
        entries: 2,
        own_number,
        targets: vec![TargetLoad { mark, in_flight, ..TargetLoad::default() }],
        services: Vec::new(),
    }
}

/// Guards against a report of the load at one moment, and against demand that is counted again when an opening is
/// decided on again.
#[test]
fn a_report_states_means_and_demand() {
    let mut fixture = Fixture::new(1);
    fixture.now += ms(50);
    let (flow, cookie) = fixture.open();
    let again = packet(flow, PacketKind::Open { copy: 0 }, Cookie::default(), 0);
    fixture.balancer.route_packet(&again, false, ms(20), fixture.now);
    fixture.send(flow, PacketKind::Open { copy: 1 }, Cookie::default(), 9);
    fixture.now += ms(100);
    fixture.send(flow, PacketKind::Finish, cookie, 9);
    fixture.now += ms(100);
    let report = fixture.report().unwrap();
    assert_eq!((report.from, report.interval_ms, report.domain), (FROM, 250, domain_name(0)));
    // One request for 100 of 250 ms, in sixteenths.
    assert_eq!((report.targets.len(), report.targets[0].in_flight), (1, 6));
    assert_eq!(report.targets[0].mark, TargetMark(cookie.0));
    let demand = report.services[0];
    assert_eq!((demand.service, demand.openings, demand.in_flight), (ServiceId::of(SERVICE), 1, 6));
    assert!(!report.under_pressure);
    fixture.now += ms(250);
    let next = fixture.report().unwrap();
    assert!(next.number > report.number && next.targets.is_empty() && next.services.is_empty());
}

/// Guards against demand that is missing where an entry turns callers away.
#[test]
fn refused_openings_count_as_demand() {
    let mut fixture = Fixture::new(0);
    fixture.open();
    fixture.now += ms(250);
    let report = fixture.report().unwrap();
    assert_eq!((report.services[0].openings, report.targets.len()), (1, 0));
}

/// Guards against the report of a frozen process, whose means say nothing about the present.
#[test]
fn a_thawed_entry_reports_afresh() {
    let mut fixture = Fixture::new(1);
    fixture.open();
    fixture.now += ms(5_000);
    assert_eq!(fixture.report(), None);
    fixture.now += ms(250);
    assert_eq!(fixture.report().unwrap().targets[0].in_flight, 16);
}

/// Guards against an entry that counts its own load as that of others, or others' load after it has become old.
#[test]
fn the_own_share_is_subtracted_and_the_rest_fades() {
    let mut fixture = Fixture::new(1);
    let (_, cookie) = fixture.open();
    let mark = TargetMark(cookie.0);
    fixture.now += ms(250);
    let report = fixture.report().unwrap();
    let mut book = LoadBook::new(SenderStart { sender: 100, start: 1 });
    let mut other = LoadReport { from: SenderStart { sender: 2, start: 1 }, ..report.clone() };
    other.targets[0].in_flight = 40;
    other.services[0].openings = 5;
    other.under_pressure = true;
    book.receive_report(report.clone(), fixture.now).unwrap();
    book.receive_report(other, fixture.now).unwrap();
    let totals = book.totals(Some(FROM), fixture.now);
    assert_eq!(totals.own_number, Some(report.number));
    let now = fixture.now;
    fixture.balancer.apply_load_totals(&totals, now).unwrap();
    let at = |millis| fixture.others(mark, now + ms(millis)).unwrap();
    assert_eq!([at(0), at(1_000), at(1_500), at(2_000)], [2.5, 2.5, 1.25, 0.0]);
    let share = fixture.balancer.shared_mut().service(SERVICE, now).unwrap().clone();
    assert_eq!((share.own_per_s, share.domain_per_s, share.domain_entries), (4.0, 24.0, 2));
    assert_eq!(share.domains_per_s.get(&domain_name(0)), Some(&24.0));
    assert!(fixture.balancer.shared_mut().service(SERVICE, now + ms(2_000)).is_none());
    assert_eq!(fixture.balancer.load_totals_age(now + ms(7)), Some(ms(7)));
}

/// Guards against totals from before a freeze or a restart, and against malformed ones, that change anything.
#[test]
fn odd_totals_change_nothing() {
    let mut fixture = Fixture::new(1);
    let now = fixture.now;
    let mark = totals(None, 0).targets[0].mark;
    fixture.balancer.apply_load_totals(&totals(None, 32), now).unwrap();
    assert_eq!(fixture.others(mark, now), Some(2.0));
    let twice = {
        let mut twice = totals(None, 99);
        twice.targets.push(twice.targets[0]);
        twice
    };
    let odd = [
        (totals(Some(77), 99), LoadError::Late),
        (LoadTotals { age_ms: 3_200, ..totals(None, 99) }, LoadError::Late),
        (LoadTotals { version: 2, ..totals(None, 99) }, LoadError::OtherVersion(2)),
        (totals(None, MAX_COUNT + 1), LoadError::OutOfRange),
        (twice, LoadError::Inconsistent),
    ];
    for (odd, error) in odd {
        assert_eq!(fixture.balancer.apply_load_totals(&odd, now), Err(error));
        assert_eq!(fixture.others(mark, now), Some(2.0));
    }
    let ended = LoadTotals { version: VERSION, ..LoadTotals::default() };
    assert_eq!(fixture.balancer.apply_load_totals(&ended, now), Ok(()));
    assert_eq!(fixture.others(mark, now), Some(2.0), "load that is no longer shared fades");
}

/// Guards against reports without need, and against late responses that no other entry learns of.
#[test]
fn late_responses_are_a_sign_of_pressure() {
    for (took, expected) in [(280, false), (320, true)] {
        let mut fixture = Fixture::new(4);
        // The objective is 500 ms, and a response is late after 300 ms.
        let flows: Vec<_> = (0..20).map(|_| fixture.open()).collect();
        for (flow, cookie) in &flows {
            fixture.send(*flow, PacketKind::Established, *cookie, 9);
        }
        fixture.now += ms(took);
        for (flow, cookie) in &flows {
            fixture.send(*flow, PacketKind::Finish, *cookie, 500);
        }
        assert_eq!(fixture.balancer.is_under_pressure(fixture.now), expected, "after {took} ms");
        let later = fixture.now + ms(1_000);
        assert!(!fixture.balancer.is_under_pressure(later));
    }
}

/// Guards against answers through this entry that count twice in what is learned about a target.
#[test]
fn answers_through_others_are_kept_for_each_target() {
    let mut fixture = Fixture::new(1);
    let mut all = totals(None, 0);
    let load = &mut all.targets[0];
    (load.answers, load.ratio_sum, load.failures) = (8, 160, 2);
    let now = fixture.now;
    fixture.balancer.apply_load_totals(&all, now).unwrap();
    fixture.balancer.apply_load_totals(&all, now + ms(250)).unwrap();
    let (_, target) = fixture.balancer.directory().iter().next().unwrap();
    // Two intervals of 8 answers and 2 failures; the first has decayed for 250 ms, a quarter of the half-life.
    let samples = target.learned.samples();
    assert!((18.0..=20.0).contains(&samples), "{samples} samples");
    assert!(target.learned.mean_ratio() > 1.25, "failures count as slow answers");
}

/// Guards against flows to domains that only seem idle, because their entries have not reported yet or are cut off.
#[test]
fn flows_spill_over_by_complete_totals_only() {
    let demand = |domain, openings_per_s, entries| DomainDemand {
        domain: domain_name(domain),
        openings_per_s,
        entries,
    };
    let full = |entries: u32, domains: Vec<DomainDemand>| {
        let mut full = LoadTotals { entries, ..totals(None, 32) };
        let other = TargetMark(Cookie::of(TargetId(2), 1).0);
        full.targets.push(TargetLoad { mark: other, in_flight: 32, ..TargetLoad::default() });
        let service = ServiceId::of(SERVICE);
        full.services = vec![ServiceTotal { service, in_flight: 64, domains }];
        full
    };
    // All four slots of the own domain are used, and 0.8 of them are to be.
    let cases = [
        ("the first totals", vec![(3, true)], 0.0),
        ("further entries", vec![(3, true), (6, true)], 0.0),
        ("the other domain is unknown", vec![(3, false), (3, false)], 0.0),
        ("complete", vec![(3, true), (6, true), (6, true)], 0.2),
    ];
    for (name, received, expected) in cases {
        let mut fixture = Fixture::new(4);
        for (entries, is_named) in received {
            fixture.now += ms(250);
            let mut domains = vec![demand(0, 1_000, 2)];
            domains.extend(is_named.then(|| demand(1, 0, 1)));
            let now = fixture.now;
            fixture.balancer.apply_load_totals(&full(entries, domains), now).unwrap();
        }
        let now = fixture.now;
        let part = fixture.balancer.shared_mut().remote_part(SERVICE, now);
        assert!((part - expected).abs() < 1e-9, "{name}: {part}");
        assert_eq!(fixture.balancer.shared_mut().remote_part(SERVICE, now + ms(2_000)), 0.0);
    }
}
