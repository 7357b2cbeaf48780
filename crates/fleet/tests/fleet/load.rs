//! The exchange of load between entries and control daemons: the messages, and real daemons on the loopback.

use crate::early_packets::OneByteCodec;
use crate::feed::{announcement, publication};
use crate::saves::settings;
use comfreyhold_fleet::backoff::Backoff;
use comfreyhold_fleet::connections::ConnectionPool;
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::entry::Entry;
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse, TOPIC};
use comfreyhold_load::messages::VERSION;
use comfreyhold_load::{
    LoadError, LoadReport, LoadSum, LoadTotals, SenderStart, ServiceDemand, ServiceId, TargetLoad,
    TargetMark,
};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::StateChange;
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::exchange::{Responder, serve};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Far above the duration of an exchange; only a fault reaches it.
const DEADLINE: Duration = Duration::from_secs(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn from(sender: u64) -> SenderStart {
    SenderStart { sender, start: 1 }
}

fn report(sender: u64, number: u64, under_pressure: bool) -> LoadReport {
    let mark = TargetMark(7);
    LoadReport {
        version: VERSION,
        from: from(sender),
        number,
        domain: DomainName::from("a"),
        interval_ms: 250,
        under_pressure,
        targets: vec![TargetLoad { mark, in_flight: 16, answers: 3, ratio_sum: 48, failures: 0 }],
        services: vec![ServiceDemand { service: ServiceId(1), openings: 5, in_flight: 16 }],
    }
}

fn address(host: u8) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high, low, host), 7902))
}

/// Starts a control daemon on the loopback.
pub async fn start_control(host: u8, seeds: &[u8], folder: &Path) -> (Rc<Control>, ControlHandle) {
    Control::start(settings(host, seeds, folder, ""), Arc::new(SystemClock)).await.unwrap()
}

async fn call(pool: &ConnectionPool, to: u8, request: &FleetRequest) -> FleetResponse {
    pool.call(address(to), request, DEADLINE).await.unwrap()
}

/// Sends a report as an entry, and returns the totals or the code of the refusal.
pub async fn send_report(
    pool: &ConnectionPool,
    to: u8,
    report: LoadReport,
) -> Result<LoadTotals, u8> {
    match call(pool, to, &FleetRequest::Load(Some(Box::new(report)))).await {
        FleetResponse::Load(result) => result.map(|totals| *totals),
        other => panic!("unexpected response {other:?}"),
    }
}

/// Guards against messages that a process of another version takes for other ones: new variants are at the ends,
/// and old ones keep their numbers.
#[test]
fn old_and_new_messages_keep_their_numbers() {
    let first = |request: &FleetRequest| encode_body(request).unwrap()[0];
    assert_eq!(first(&FleetRequest::Announcements(Vec::new())), 5);
    assert_eq!(first(&FleetRequest::Controls), 8);
    assert_eq!(first(&FleetRequest::Load(None)), 9);
    let sum = LoadSum {
        version: VERSION,
        from: from(1),
        number: 1,
        pressure_left_ms: 0,
        age_ms: 0,
        domains: Vec::new(),
        entries: Vec::new(),
        targets: Vec::new(),
        services: Vec::new(),
    };
    assert_eq!(first(&FleetRequest::LoadSum(Box::new(sum.clone()))), 10);
    assert_eq!(encode_body(&FleetResponse::Controls(Vec::new())).unwrap()[0], 6);
    let refused = FleetResponse::Load(Err(LoadError::Stale.code()));
    assert_eq!(encode_body(&refused).unwrap(), [7, 1, 3]);
    for request in [
        FleetRequest::Load(None),
        FleetRequest::Load(Some(Box::new(report(1, 2, true)))),
        FleetRequest::LoadSum(Box::new(sum)),
    ] {
        let decoded: FleetRequest = decode_body(&encode_body(&request).unwrap()).unwrap();
        assert_eq!(decoded, request);
    }
    let totals = FleetResponse::Load(Ok(Box::new(LoadTotals::default())));
    let decoded: FleetResponse = decode_body(&encode_body(&totals).unwrap()).unwrap();
    assert_eq!(decoded, totals);
}

/// The requests that a daemon of the version before knows.
#[derive(Debug, Serialize, Deserialize)]
enum FormerRequest {
    Vote(()),
    Hello(()),
    Chosen(()),
    Newest(()),
    Announced(()),
    Announcements(()),
    LastAnnouncement(()),
    Watch(()),
    Controls,
}

/// Guards against a daemon of the version before that takes a message about load for something else.
#[test]
fn a_daemon_of_the_former_version_refuses_messages_about_load() {
    let encoded = encode_body(&FleetRequest::Load(Some(Box::new(report(1, 2, true))))).unwrap();
    assert!(decode_body::<FormerRequest>(&encoded).is_err());
    let encoded = encode_body(&FleetRequest::Load(None)).unwrap();
    assert!(decode_body::<FormerRequest>(&encoded).is_err());
    assert!(decode_body::<FormerRequest>(&encode_body(&FleetRequest::Controls).unwrap()).is_ok());
}

/// Guards against retries without a bound, and against processes that all retry at the same time.
#[test]
fn pauses_grow_up_to_a_bound() {
    let now = Instant::now();
    let mut backoff = Backoff::default();
    assert!(backoff.is_over(now));
    let pauses: Vec<_> = (0..8).map(|_| backoff.record_failure(false, 0.5, now)).collect();
    assert_eq!(pauses[..5], [ms(500), ms(1_000), ms(2_000), ms(4_000), ms(8_000)]);
    assert_eq!(pauses[5..], [ms(10_000); 3]);
    assert!(!backoff.is_over(now + ms(9_999)) && backoff.is_over(now + ms(10_000)));
    backoff.record_success();
    assert!(backoff.is_over(now));
    assert_eq!(backoff.record_failure(true, 0.0, now), ms(5_000), "a refusal, least jitter");
    for _ in 0..100 {
        assert!(backoff.record_failure(false, 0.999, now) < ms(15_000));
    }
}

/// Guards against a daemon that forwards sums of others, holds polls while load is shared, or counts what it refuses.
#[tokio::test]
async fn control_daemons_share_the_load_of_their_entries() {
    LocalSet::new().run_until(check_control_daemons()).await;
}

async fn check_control_daemons() {
    let folders = [crate::folders::data_folder(), crate::folders::data_folder()];
    let (_first, handle) = start_control(41, &[41], folders[0].path()).await;
    handle.change_declarations(StateChange::Publish(publication(1, &[1]))).await.unwrap();
    let (_second, _) = start_control(42, &[41], folders[1].path()).await;
    let pool = ConnectionPool::default();
    // A calm report starts nothing.
    let calm = send_report(&pool, 41, report(1, 1, false)).await.unwrap();
    assert_eq!(calm, LoadTotals { version: VERSION, ..LoadTotals::default() });
    assert_eq!(send_report(&pool, 41, report(1, 1, true)).await, Err(LoadError::Stale.code()));
    let poll_pool = ConnectionPool::default();
    let held = call(&poll_pool, 42, &FleetRequest::Load(None));
    let pressure = async {
        tokio::time::sleep(ms(600)).await;
        send_report(&pool, 41, report(1, 2, true)).await.unwrap()
    };
    let started = Instant::now();
    let (held, own) = tokio::join!(held, pressure);
    let FleetResponse::Load(Ok(told)) = held else { panic!("unexpected response {held:?}") };
    assert!(told.is_sharing && started.elapsed() >= ms(600));
    assert_eq!((own.is_sharing, own.entries, own.own_number), (true, 1, Some(2)));
    // Both daemons' totals include both entries after an exchange.
    let until = Instant::now() + DEADLINE;
    for number in 3.. {
        let first = send_report(&pool, 41, report(1, number, false)).await.unwrap();
        let second = send_report(&pool, 42, report(2, number, false)).await.unwrap();
        if (first.entries, second.entries) == (2, 2) {
            assert_eq!(first.targets[0].in_flight, 32);
            assert_eq!((first.own_number, second.own_number), (Some(number), Some(number)));
            break;
        }
        assert!(Instant::now() < until, "{first:?} and {second:?}");
        tokio::time::sleep(ms(100)).await;
    }
}

/// Passes requests on to a real control daemon and counts those about load, or refuses them.
struct Relay {
    control: Rc<Control>,
    address: SocketAddr,
    knows_load: bool,
    calls: RefCell<Vec<(Instant, bool)>>,
}

impl Responder for Relay {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        if body.first() == Some(&8) {
            // The entry knows the relay only, and not the daemon behind it.
            let live = FleetResponse::Controls(vec![(self.address, DomainName::from("a"))]);
            return std::future::ready(encode_body(&live).map_err(|e| e.code())).boxed_local();
        }
        let is_load = body.first().is_some_and(|kind| *kind == 9);
        if is_load {
            let is_report = body.get(1) == Some(&1);
            self.calls.borrow_mut().push((Instant::now(), is_report));
            if !self.knows_load {
                return std::future::ready(Err(ResultCode::BadFrame)).boxed_local();
            }
        }
        assert_eq!(topic, TOPIC);
        Rc::clone(&self.control).respond(topic, body)
    }
}

/// Starts a control daemon behind a relay at `host`, and an entry at `host + 1` that knows it only.
async fn start_entry(
    host: u8,
    folder: &Path,
    knows_load: bool,
) -> (Rc<Relay>, Rc<Entry<OneByteCodec>>) {
    let (control, handle) = start_control(host + 2, &[host + 2], folder).await;
    handle.announce(announcement(1, 1, Availability::Serving)).await;
    handle.change_declarations(StateChange::Publish(publication(1, &[1]))).await.unwrap();
    let relay =
        Rc::new(Relay { control, address: address(host), knows_load, calls: RefCell::default() });
    let listener = TcpListener::bind(address(host)).await.unwrap();
    tokio::task::spawn_local(serve(listener, Rc::clone(&relay)));
    let listen = "listen: {packets: \"{ip}:7913\"}";
    let settings = settings(host + 1, &[host], folder, listen);
    let entry = Entry::start(&settings, OneByteCodec, Arc::new(SystemClock)).unwrap();
    (relay, entry)
}

async fn wait_for_calls(relay: &Relay, count: usize) {
    let until = Instant::now() + DEADLINE;
    while relay.calls.borrow().len() < count {
        assert!(Instant::now() < until, "{:?}", relay.calls.borrow());
        tokio::time::sleep(ms(20)).await;
    }
}

/// Guards against traffic on quiet days, and against an entry that is told to report and does not.
#[tokio::test]
async fn an_entry_polls_while_it_is_quiet_and_reports_while_load_is_shared() {
    LocalSet::new().run_until(check_entry()).await;
}

async fn check_entry() {
    let folder = crate::folders::data_folder();
    let (relay, _entry) = start_entry(51, folder.path(), true).await;
    wait_for_calls(&relay, 1).await;
    tokio::time::sleep(ms(1_500)).await;
    assert_eq!(relay.calls.borrow().len(), 1, "one poll is held");
    assert!(!relay.calls.borrow()[0].1);
    // Another entry of the daemon is under pressure.
    let pool = ConnectionPool::default();
    let totals = send_report(&pool, 53, report(9, 1, true)).await.unwrap();
    assert!(totals.is_sharing);
    wait_for_calls(&relay, 6).await;
    assert!(relay.calls.borrow()[1..].iter().all(|(_, is_report)| *is_report));
    let totals = send_report(&pool, 53, report(9, 2, false)).await.unwrap();
    assert_eq!(totals.entries, 2, "the entry's reports are included");
    // Five seconds after the last pressure the entry polls again.
    let until = Instant::now() + DEADLINE;
    while relay.calls.borrow().last().is_some_and(|(_, is_report)| *is_report) {
        assert!(Instant::now() < until, "{:?}", relay.calls.borrow());
        tokio::time::sleep(ms(100)).await;
    }
    let calls = relay.calls.borrow().clone();
    let took = calls.last().unwrap().0 - calls[0].0;
    let at_most = took.as_millis() / 250 + 2;
    assert!(calls.len() as u128 <= at_most, "{} calls in {took:?}", calls.len());
}

/// Guards against an entry that waits for late or refused responses while a burst fills the queues: it reports as soon as
/// far more requests are in flight than usual.
#[tokio::test]
async fn an_entry_reports_when_a_burst_begins() {
    LocalSet::new().run_until(check_burst()).await;
}

async fn check_burst() {
    let folder = crate::folders::data_folder();
    let (relay, entry) = start_entry(81, folder.path(), true).await;
    wait_for_calls(&relay, 1).await;
    let until = Instant::now() + DEADLINE;
    while !entry.readiness().is_ready() {
        assert!(Instant::now() < until, "the entry has no routes");
        tokio::time::sleep(ms(20)).await;
    }
    let caller = tokio::net::UdpSocket::bind((address(89).ip(), 0)).await.unwrap();
    let packets = (address(82).ip(), 7_913);
    for number in 0..8 {
        caller.send_to(&[number], packets).await.unwrap();
        tokio::time::sleep(ms(100)).await;
    }
    assert!(relay.calls.borrow().iter().all(|(_, is_report)| !is_report), "nothing unusual");
    for number in 8..128 {
        caller.send_to(&[number], packets).await.unwrap();
    }
    let until = Instant::now() + DEADLINE;
    while !relay.calls.borrow().iter().any(|(_, is_report)| *is_report) {
        assert!(Instant::now() < until, "no report");
        tokio::time::sleep(ms(20)).await;
    }
}

/// Guards against an entry that hammers a daemon of the version before, or stops receiving its updates.
#[tokio::test]
async fn an_entry_works_with_a_daemon_that_knows_nothing_about_load() {
    LocalSet::new().run_until(check_former_daemon()).await;
}

async fn check_former_daemon() {
    let folder = crate::folders::data_folder();
    let (relay, entry) = start_entry(61, folder.path(), false).await;
    wait_for_calls(&relay, 1).await;
    tokio::time::sleep(ms(4_000)).await;
    assert_eq!(relay.calls.borrow().len(), 1, "the next poll follows after 5 s at the earliest");
    assert!(entry.readiness().is_ready());
}

/// Guards against a daemon that understands a report of another version or an oversized one.
#[tokio::test]
async fn odd_reports_are_refused_with_a_code() {
    LocalSet::new().run_until(check_odd_reports()).await;
}

async fn check_odd_reports() {
    let folder = crate::folders::data_folder();
    let (_control, _handle) = start_control(71, &[71], folder.path()).await;
    let pool = ConnectionPool::default();
    let mut other = report(1, 1, true);
    other.version = VERSION + 1;
    assert_eq!(send_report(&pool, 71, other).await, Err(1));
    let mut long = report(1, 1, true);
    let target = |mark| TargetLoad { mark: TargetMark(mark), ..TargetLoad::default() };
    long.targets = (0..1_025).map(target).collect();
    assert_eq!(send_report(&pool, 71, long).await, Err(2));
    let calm = send_report(&pool, 71, report(1, 1, false)).await.unwrap();
    assert!(!calm.is_sharing, "refused reports start nothing");
    let unreachable = pool.call(address(79), &FleetRequest::Load(None), ms(200)).await;
    assert!(matches!(unreachable, Err(WireError::Disconnected(_))), "{unreachable:?}");
}
