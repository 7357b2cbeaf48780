//! Running control daemons of a fleet that is large enough for relays, and one of the former version among them. This is a
//! binary of its own, since the disks of so many daemons would hold up those of other tests.

#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse, TOPIC, WatchCursor};
use comfreyhold_fleet::settings::FleetSettings;
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{
    Destination, RequestClass, Route, RouteList, RoutePublication, RoutedService, StateChange,
};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::exchange::{Responder, serve};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const FIRST_HOST: u8 = 100;
const DAEMONS: u8 = 15;
const TARGETS: u64 = 30;

/// Far above the duration of a start; only a fault reaches it.
const DEADLINE: Duration = Duration::from_secs(60);

/// Number of the heartbeat of large fleets among the requests.
const RELAY_REQUEST: u8 = 11;

fn daemon_settings(host: u8, folder: &TempDir, bind: Option<u8>) -> FleetSettings {
    let seeds: Vec<String> = (FIRST_HOST..FIRST_HOST + 3)
        .map(|seed| format!("\"{}:80\"", exchange_address(seed).ip()))
        .collect();
    let mut settings = FleetSettings::parse(&format!(
        "instance: i{host}\ndomain: d{}\nip: {}\nexchange_port: 7902\nseeds: [{}]\n\
         first_start: true\nannounce_interval_ms: 1000\ntolerate: {{instances: 0}}\n\
         bounds: {{stop_s: 6}}\ndata_folder: {:?}",
        host % 3,
        exchange_address(host).ip(),
        seeds.join(", "),
        folder.path(),
    ))
    .unwrap();
    settings.exchange_bind = bind.map(exchange_address);
    settings
}

fn announcement(id: u64, sequence: u64) -> Announcement {
    Announcement {
        id: TargetId(id),
        stamp: AnnouncementStamp { born_ms: 1, sequence },
        service: "orders".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(id).unwrap()), 80),
        domain: DomainName::from("d0"),
        slots: 2,
        availability: Availability::Serving,
        cold_ms: 0,
    }
}

fn publication() -> RoutePublication {
    let route = Route {
        name: "r".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        class: RequestClass::Idempotent,
        timeout_ms: 100,
        objective_ms: 100,
        priority: 0,
        destinations: vec![Destination { service: "orders".to_owned(), weight: 1 }],
    };
    let service =
        RoutedService { name: "orders".to_owned(), max_flows: 10, cold_requests_per_1000_s: 0 };
    let list = RouteList {
        version: 1,
        routes: vec![route],
        services: vec![service],
        idle_timeout_ms: 15_000,
    };
    let table = Arc::new(list.into_checked().unwrap());
    RoutePublication { document: Arc::new(vec![1]), table }
}

/// Publishes routes to the service of the targets. The voters may not have found each other yet.
async fn publish(handle: &ControlHandle) {
    let until = Instant::now() + DEADLINE;
    while let Err(error) = handle.change_declarations(StateChange::Publish(publication())).await {
        assert!(Instant::now() < until, "{error}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends a request to a daemon as another daemon does, and returns the response.
async fn ask(control: &Rc<Control>, request: &FleetRequest) -> FleetResponse {
    let response = Rc::clone(control).respond(TOPIC, encode_body(request).unwrap()).await;
    decode_body(&response.unwrap()).unwrap()
}

fn exchange_address(host: u8) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high, low, host), 7902))
}

/// Passes requests on to a daemon, except for those that the former version does not know.
struct Former {
    control: RefCell<Option<Rc<Control>>>,
    refused: Cell<u32>,
}

impl Responder for Former {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        assert_eq!(topic, TOPIC);
        let control = self.control.borrow().clone();
        match control.filter(|_| body.first() != Some(&RELAY_REQUEST)) {
            Some(control) => control.respond(topic, body),
            None => {
                self.refused.set(self.refused.get() + 1);
                std::future::ready(Err(ResultCode::BadFrame)).boxed_local()
            }
        }
    }
}

/// Targets that a daemon knows and counts as in use.
async fn in_use(control: &Rc<Control>) -> usize {
    let response = ask(control, &FleetRequest::Watch(WatchCursor::default())).await;
    let FleetResponse::News(update) = response else { panic!("{response:?}") };
    update.targets.iter().filter(|report| !report.silent).count()
}

async fn announce_all(handles: Vec<ControlHandle>) {
    for round in 1.. {
        for id in 1..=TARGETS {
            let handle = &handles[(id as usize + round as usize) % handles.len()];
            handle.announce(announcement(id, round)).await;
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
}

/// Guards against relays that work in the model only: targets that are announced to any daemon are heard at all of
/// them and stay in use, also at one of the former version, and ends reach all.
#[tokio::test]
async fn a_large_fleet_hears_all_targets_through_relays() {
    LocalSet::new().run_until(check_large_fleet()).await;
}

async fn check_large_fleet() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let folders: Vec<TempDir> = (0..DAEMONS).map(|_| tempfile::tempdir().unwrap()).collect();
    let (mut controls, mut handles) = (Vec::new(), Vec::new());
    let former = Rc::new(Former { control: RefCell::default(), refused: Cell::default() });
    for (number, folder) in folders.iter().enumerate() {
        let host = FIRST_HOST + u8::try_from(number).unwrap();
        // The last daemon listens behind another socket, which refuses what the former version does not know.
        let is_former = number + 1 == folders.len();
        let settings = daemon_settings(host, folder, is_former.then_some(host + 1));
        let (control, handle) = Control::start(settings, Arc::new(SystemClock)).await.unwrap();
        if is_former {
            let listener = TcpListener::bind(exchange_address(host)).await.unwrap();
            *former.control.borrow_mut() = Some(Rc::clone(&control));
            tokio::task::spawn_local(serve(listener, Rc::clone(&former)));
        }
        controls.push(control);
        handles.push(handle);
    }
    publish(&handles[0]).await;
    tokio::task::spawn_local(announce_all(handles.clone()));
    let until = Instant::now() + DEADLINE;
    for control in &controls {
        while in_use(control).await < TARGETS as usize {
            assert!(Instant::now() < until, "a daemon lacks targets");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(7)).await;
    for control in &controls {
        assert_eq!(in_use(control).await, TARGETS as usize);
    }
    let text = metrics.render();
    let calls = |kind: &str| {
        let series = format!("fleet_messages{{kind=\"{kind}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&series));
        line.map_or(0, |count| count.parse::<u64>().unwrap())
    };
    assert!(calls("relay") > 200, "{text}");
    assert!(former.refused.get() > 0 && former.refused.get() <= u32::from(DAEMONS));
    handles[3].announce_end(TargetId(7)).await.unwrap();
    for control in &controls {
        let request = FleetRequest::LastAnnouncement(TargetId(7));
        let FleetResponse::Announcements(found) = ask(control, &request).await else {
            panic!("unexpected response")
        };
        assert_eq!(found[0].availability, Availability::Ended);
    }
}
