//! Valid messages of each kind, from which damaged ones are made.

use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica,
    ValueChange, Voters,
};
use comfreyhold_fleet::messages::{
    ControlState, CopyKey, CopyPart, DeclarationUpdate, EntryUpdate, FleetRequest, FleetResponse,
    Hello, IncarnationId, PartRequest, RouteUpdate, WatchCursor,
};
use comfreyhold_load::messages::VERSION;
use comfreyhold_load::{
    DomainDemand, IncludedEntry, LoadError, LoadReport, LoadSum, LoadTotals, SenderStart,
    ServiceDemand, ServiceId, ServiceTotal, TargetLoad, TargetMark,
};
use comfreyhold_membership::announcements::{Announcements, TargetReport};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{
    Destination, RequestClass, Route, RouteList, RoutePublication, RouteTable, RoutedService,
    SharedState, StateChange,
};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn domain() -> DomainName {
    DomainName::from("a")
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 7_700))
}

fn ballot() -> Ballot {
    Ballot { count: 300, proposer: DiskId(2), start: 3 }
}

fn announcement(id: u64) -> Announcement {
    Announcement {
        id: TargetId(id),
        stamp: AnnouncementStamp { born_ms: 1_772_587_777_833, sequence: 4 },
        service: "orders".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(u32::try_from(id).unwrap()), 80),
        domain: domain(),
        slots: 2,
        availability: Availability::Serving,
        cold_ms: 250,
    }
}

fn table(version: u64) -> Arc<RouteTable> {
    let route = Route {
        name: format!("r{version}"),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        class: RequestClass::Idempotent,
        timeout_ms: 3_000,
        objective_ms: 200,
        priority: 1,
        destinations: vec![Destination { service: "orders".to_owned(), weight: 90 }],
    };
    let service =
        RoutedService { name: "orders".to_owned(), max_flows: 10, cold_requests_per_1000_s: 1_500 };
    let list =
        RouteList { version, routes: vec![route], services: vec![service], idle_timeout_ms: 1 };
    Arc::new(list.into_checked().unwrap())
}

fn value() -> Arc<RegisterValue> {
    let replica = Replica { disk: DiskId(1), address: address(1) };
    let mut state = SharedState::default();
    let document = Arc::new(b"{\"version\":7}".to_vec());
    state.apply(&StateChange::Publish(RoutePublication { document, table: table(7) }));
    state.apply(&StateChange::Withdraw { domain: domain(), out: true });
    let voters = Voters { current: BTreeSet::from([replica]), previous: BTreeSet::new() };
    Arc::new(RegisterValue { ballot: ballot(), voters, state })
}

fn hello() -> Hello {
    let now = Instant::now();
    let mut targets = Announcements::new(Duration::from_secs(3));
    targets.add_services(["orders"], now);
    for id in [1, 2] {
        targets.apply(&announcement(id), now);
    }
    let state = ControlState {
        is_informed: true,
        replica: Replica { disk: DiskId(1), address: address(1) },
        domain: domain(),
        start: IncarnationId(7),
        chosen: ballot(),
        targets: targets.digests(),
        peers: vec![address(2), address(3)],
    };
    Hello { state, repeated: targets.repetitions(&[TargetId(1), TargetId(2)], now) }
}

fn target_load(mark: u32) -> TargetLoad {
    let mark = TargetMark(mark);
    TargetLoad { mark, in_flight: 16, answers: 3, ratio_sum: 48, failures: 1 }
}

fn service_total() -> ServiceTotal {
    let demand = DomainDemand { domain: domain(), openings_per_s: 20, entries: 1 };
    ServiceTotal { service: ServiceId::of("orders"), in_flight: 32, domains: vec![demand] }
}

/// A report about load.
pub fn report() -> LoadReport {
    LoadReport {
        version: VERSION,
        from: SenderStart { sender: 1, start: 2 },
        number: 3,
        domain: domain(),
        interval_ms: 250,
        under_pressure: true,
        targets: vec![target_load(7), target_load(70_000)],
        services: vec![ServiceDemand {
            service: ServiceId::of("orders"),
            openings: 5,
            in_flight: 16,
        }],
    }
}

/// A sum over reports about load.
pub fn sum() -> LoadSum {
    let from = SenderStart { sender: 2, start: 2 };
    LoadSum {
        version: VERSION,
        from: SenderStart { sender: 9, start: 1 },
        number: 4,
        pressure_left_ms: 1_000,
        age_ms: 20,
        domains: vec![domain()],
        entries: vec![IncludedEntry { from, number: 3, domain: 0 }],
        targets: vec![target_load(7)],
        services: vec![service_total()],
    }
}

/// Totals over all entries.
pub fn totals() -> LoadTotals {
    LoadTotals {
        version: VERSION,
        is_sharing: true,
        age_ms: 100,
        entries: 2,
        own_number: Some(3),
        targets: vec![target_load(7)],
        services: vec![service_total()],
    }
}

fn change() -> ValueChange {
    let withdrawal = StateChange::Withdraw { domain: domain(), out: true };
    let (ballot, voters) = (ballot(), value().voters.clone());
    ValueChange { ballot, base: Ballot::default(), changes: vec![withdrawal], voters }
}

fn copy_key() -> CopyKey {
    CopyKey { base: Some(1), change: 2, length: 6, hash: 7 }
}

/// A request of each kind.
pub fn requests() -> Vec<FleetRequest> {
    let vote = |request| FleetRequest::Vote(AddressedRequest { to: DiskId(1), request });
    vec![
        vote(RegisterRequest::Prepare { ballot: ballot(), known: Ballot::default() }),
        vote(RegisterRequest::Accept(value())),
        vote(RegisterRequest::AcceptChange(Arc::new(change()))),
        FleetRequest::Hello(hello()),
        FleetRequest::Chosen(ballot(), address(1)),
        FleetRequest::Newest(ballot()),
        FleetRequest::Announced(vec![announcement(1), announcement(2)]),
        FleetRequest::Announcements(vec![TargetId(1), TargetId(70_000)]),
        FleetRequest::LastAnnouncement(TargetId(1)),
        FleetRequest::Watch(WatchCursor {
            source: IncarnationId(7),
            targets: 300,
            change: 2,
            offered: 3,
        }),
        FleetRequest::Controls,
        FleetRequest::Load(None),
        FleetRequest::Load(Some(Box::new(report()))),
        FleetRequest::LoadSum(Box::new(sum())),
        FleetRequest::Part(PartRequest { change: 2, begun: Some(copy_key()), offset: 3 }),
        FleetRequest::Stopping(address(2), IncarnationId(7)),
    ]
}

/// A response of each kind.
pub fn responses() -> Vec<FleetResponse> {
    let update = |routes| {
        let report = TargetReport { announcement: announcement(1), silent: false };
        let withdrawn = BTreeSet::from([domain()]);
        FleetResponse::News(Box::new(EntryUpdate {
            source: IncarnationId(7),
            revision: 300,
            all_targets: true,
            is_informed: true,
            targets: vec![report],
            declarations: Some(DeclarationUpdate { change: 2, withdrawn, routes }),
            offer: Some(3),
        }))
    };
    vec![
        FleetResponse::Vote(RegisterResponse::Promised {
            accepted: ballot(),
            value: Some(value()),
        }),
        FleetResponse::Vote(RegisterResponse::Rejected { promised: ballot() }),
        FleetResponse::Hello(hello()),
        FleetResponse::Newest(Some(value())),
        FleetResponse::Announcements(vec![announcement(1), announcement(2)]),
        FleetResponse::Done,
        update(RouteUpdate::Full(table(7), Arc::clone(&value().state.former))),
        update(RouteUpdate::Difference(table(8).difference_from(&table(7)))),
        FleetResponse::Controls(vec![(address(1), domain()), (address(2), domain())]),
        FleetResponse::Load(Ok(Box::new(totals()))),
        FleetResponse::Load(Err(LoadError::Stale.code())),
        FleetResponse::Part(Some(CopyPart { key: copy_key(), offset: 3, bytes: vec![1, 2, 3] })),
    ]
}
