//! Control daemons that are cut off from the majority, and entries that watch them.

use crate::early_packets::OneByteCodec;
use crate::feed::{announcement, publication};
use crate::saves::{settings, start_with_clock};
use comfreyhold_consensus::register::{Ballot, DiskId};
use comfreyhold_fleet::control::contact::Contact;
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::entry::Entry;
use comfreyhold_fleet::entry::controls::ControlSelector;
use comfreyhold_fleet::messages::FleetRequest;
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::StateChange;
use comfreyhold_wire::envelope::decode_body;
use comfreyhold_wire::exchange::{Responder, serve};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::LocalSet;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ballot(count: u64) -> Ballot {
    Ballot { count, proposer: DiskId(1), start: 1 }
}

/// Guards against a daemon that says it is cut off after one late heartbeat or at its start, or does not say so in time: an
/// entry needs its answer, another daemon and the declarations within `contactMs` (4 s).
#[test]
fn a_daemon_is_cut_off_after_two_checks_without_a_majority() {
    let start = Instant::now();
    let mut contact = Contact::new(start);
    assert!(contact.is_informed(start + ms(2_300)), "the others are still starting");
    assert!(!contact.is_informed(start + ms(2_400)));
    contact.record_majority(true, start + ms(3_000));
    contact.record_majority(false, start + ms(3_450));
    assert!(contact.is_informed(start + ms(3_800)));
    contact.record_majority(false, start + ms(3_900));
    assert!(!contact.is_informed(start + ms(3_900)));
    contact.record_majority(true, start + ms(4_350));
    assert!(contact.is_informed(start + ms(4_350)));
}

/// Guards against a daemon that hears a majority, lacks what it has chosen and can't get it; and against one that is behind
/// for a moment with each change.
#[test]
fn a_daemon_that_lacks_a_named_value_for_long_is_cut_off() {
    let start = Instant::now();
    let mut contact = Contact::new(start);
    let heard = |contact: &mut Contact, at| contact.record_majority(true, start + ms(at));
    contact.record_named(ballot(2), ballot(1), start);
    contact.record_named(ballot(3), ballot(1), start + ms(2_000));
    heard(&mut contact, 2_300);
    assert!(contact.is_informed(start + ms(2_300)));
    assert!(!contact.is_informed(start + ms(2_400)));
    // It gets one of them, and is behind the other one from then on.
    contact.record_learned(ballot(2), start + ms(2_500));
    heard(&mut contact, 4_800);
    assert!(contact.is_informed(start + ms(4_800)));
    assert!(!contact.is_informed(start + ms(4_900)));
    contact.record_learned(ballot(3), start + ms(5_000));
    heard(&mut contact, 9_000);
    assert!(contact.is_informed(start + ms(9_000)));
    contact.record_named(ballot(2), ballot(3), start + ms(9_000));
    heard(&mut contact, 20_000);
    assert!(contact.is_informed(start + ms(20_000)), "an old ballot is no news");
}

fn number(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

/// Guards against an entry that goes to and fro between daemons that are all cut off, and against one that never tries them
/// again.
#[test]
fn each_daemon_is_tried_once_in_place_of_one_that_is_cut_off() {
    let now = Instant::now();
    let all: Vec<SocketAddr> = (1..=5).map(number).collect();
    let mut selector = ControlSelector::new(number(9), DomainName::from("b"), &all);
    selector.record_informed(number(1), false, now);
    let mut tried = vec![number(1)];
    while let Some(next) = selector.choose_informed(&[number(2)], now) {
        assert!(!tried.contains(&next), "{next} is tried twice");
        tried.push(next);
        if next == number(4) {
            selector.record_failure(next, now);
        } else {
            selector.record_informed(next, false, now);
        }
    }
    assert_eq!(tried.len(), 4, "{tried:?}");
    assert_eq!(selector.choose_informed(&[number(2)], now + ms(4_900)), None);
    assert!(selector.choose_informed(&[number(2)], now + ms(5_000)).is_some());
    selector.record_informed(number(3), true, now);
    assert_eq!(selector.choose_informed(&[number(2)], now), Some(number(3)));
}

/// Guards against an entry that leaves a good daemon for the one of its domain while that is cut off.
#[test]
fn an_entry_does_not_return_to_a_daemon_that_is_cut_off() {
    let now = Instant::now();
    let all = [number(1), number(2)];
    let mut selector = ControlSelector::new(number(9), DomainName::from("b"), &all);
    let live = [(number(1), DomainName::from("a")), (number(2), DomainName::from("b"))];
    selector.update_live(&live, now);
    assert!(selector.should_return_to_local(number(1), now));
    selector.record_informed(number(2), false, now);
    assert!(!selector.should_return_to_local(number(1), now));
    assert_eq!(selector.choose(true, &[], now), Some(number(1)));
    selector.record_informed(number(2), true, now);
    assert!(selector.should_return_to_local(number(1), now));
    assert_eq!(selector.choose(true, &[], now), Some(number(2)));
}

/// Which control daemons can't reach each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Nobody,
    /// The last two from the others.
    LastTwo,
    /// Each one from all others.
    Everybody,
}

/// State of the network that all proxies share.
struct Network {
    cut: Cell<Cut>,
    /// Whether entries reach the daemons other than the last two.
    is_open: Cell<bool>,
    /// Queries for the live control daemons by entries.
    queries: Cell<usize>,
    controls: Vec<SocketAddr>,
}

impl Network {
    /// Whether a message between daemons arrives.
    fn connects(&self, from: &SocketAddr, to: &SocketAddr) -> bool {
        let is_last = |address: &SocketAddr| self.controls[DAEMONS - 2..].contains(address);
        match self.cut.get() {
            Cut::Nobody => true,
            Cut::LastTwo => is_last(from) == is_last(to),
            Cut::Everybody => false,
        }
    }
}

/// Passes requests on to a control daemon, as far as the network does.
struct Proxy {
    control: Rc<Control>,
    address: SocketAddr,
    network: Rc<Network>,
}

impl Responder for Proxy {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        let network = &self.network;
        let arrives = match decode_body::<FleetRequest>(&body).unwrap() {
            FleetRequest::Hello(hello) => {
                network.connects(&hello.state.replica.address, &self.address)
            }
            FleetRequest::Chosen(_, sender) => network.connects(&sender, &self.address),
            request @ (FleetRequest::Watch(_) | FleetRequest::Controls) => {
                let is_query = request == FleetRequest::Controls;
                network.queries.set(network.queries.get() + usize::from(is_query));
                let is_last = network.controls[DAEMONS - 2..].contains(&self.address);
                if !is_last && !network.is_open.get() {
                    return std::future::ready(Err(ResultCode::Stopping)).boxed_local();
                }
                true
            }
            FleetRequest::Vote(_) => network.cut.get() != Cut::Everybody,
            _ => true,
        };
        if !arrives {
            return std::future::pending().boxed_local();
        }
        Rc::clone(&self.control).respond(topic, body)
    }
}

const DAEMONS: usize = 5;

/// Five control daemons, of which the first three vote, and an entry that watches the last two.
struct Deployment {
    network: Rc<Network>,
    handles: Vec<ControlHandle>,
    entry: Rc<Entry<OneByteCodec>>,
    target: UdpSocket,
    caller: UdpSocket,
    packets: SocketAddr,
    _folders: Vec<TempDir>,
}

/// Starts a deployment with one route that leads nowhere near the packets of [`OneByteCodec`].
async fn start(first: u8) -> Deployment {
    let hosts: Vec<u8> = (first..).take(DAEMONS).collect();
    let folders: Vec<TempDir> = hosts.iter().map(|_| crate::folders::data_folder()).collect();
    let daemon_settings = hosts.iter().zip(&folders).map(|(host, folder)| {
        settings(*host, &hosts[..3], folder.path(), "exchange_bind: \"{ip}:7912\"\n")
    });
    let daemon_settings: Vec<_> = daemon_settings.collect();
    let network = Rc::new(Network {
        cut: Cell::new(Cut::Nobody),
        is_open: Cell::new(false),
        queries: Cell::default(),
        controls: daemon_settings.iter().map(|settings| settings.exchange_address()).collect(),
    });
    let mut handles = Vec::new();
    for settings in &daemon_settings {
        let (control, handle) = start_with_clock(settings, Arc::new(SystemClock)).await;
        let address = settings.exchange_address();
        let proxy = Rc::new(Proxy { control, address, network: Rc::clone(&network) });
        tokio::task::spawn_local(serve(TcpListener::bind(address).await.unwrap(), proxy));
        handles.push(handle);
    }
    publish(&handles[0], publication(1, &[2])).await;
    let host_ip = |host: u8| settings(host, &[host], folders[0].path(), "").exchange_address().ip();
    let target = UdpSocket::bind((host_ip(first + 5), 0)).await.unwrap();
    let SocketAddr::V4(address) = target.local_addr().unwrap() else { unreachable!("IPv4") };
    let serving = Announcement { address, ..announcement(1, 1, Availability::Serving) };
    handles[4].announce(serving).await.unwrap().unwrap();
    let listen = "listen: {packets: \"{ip}:7914\"}";
    let entry_settings = settings(first + 6, &hosts[3..], folders[0].path(), listen);
    let entry = Entry::start(&entry_settings, OneByteCodec, Arc::new(SystemClock)).unwrap();
    let packets_ip: IpAddr = host_ip(first + 6);
    let caller = UdpSocket::bind((packets_ip, 0)).await.unwrap();
    let packets = SocketAddr::new(packets_ip, 7_914);
    let deployment =
        Deployment { network, handles, entry, target, caller, packets, _folders: folders };
    let until = Instant::now() + LIMIT;
    while !deployment.entry.readiness().is_ready() {
        assert!(Instant::now() < until, "the entry does not get ready");
        tokio::time::sleep(ms(20)).await;
    }
    // The second source finds the last daemon that it reaches.
    tokio::time::sleep(ms(2_000)).await;
    deployment
}

/// Far above the time that a start takes; only a fault reaches it.
const LIMIT: Duration = Duration::from_secs(60);

/// Time after a cut in which machines are in touch again, and in which declarations are in effect then, as the users' pages
/// state them.
const IN_EFFECT: Duration = Duration::from_secs(5 + 4);

async fn publish(handle: &ControlHandle, publication: comfreyhold_types::routes::RoutePublication) {
    let change = StateChange::Publish(publication);
    let until = Instant::now() + LIMIT;
    while handle.change_declarations(change.clone()).await.is_err() {
        assert!(Instant::now() < until, "a publication is not accepted");
    }
}

/// Sends openings on the first service address until one reaches the target. Returns the time that it takes; `None` if it
/// takes longer than `limit`.
async fn time_until_forwarded(deployment: &Deployment, limit: Duration) -> Option<Duration> {
    let (began, mut buf) = (Instant::now(), [0; 8]);
    for number in 0..=u8::MAX {
        deployment.caller.send_to(&[number], deployment.packets).await.unwrap();
        let received = tokio::time::timeout(ms(100), deployment.target.recv(&mut buf)).await;
        if received.is_ok() {
            return Some(began.elapsed());
        }
        if began.elapsed() > limit {
            break;
        }
    }
    None
}

/// Guards against an entry that keeps to control daemons which answer and learn nothing any more (review/8): both are cut
/// off from the majority, which the entry can reach.
#[tokio::test]
async fn an_entry_leaves_daemons_that_are_cut_off_from_the_majority() {
    LocalSet::new().run_until(check_cut_off()).await;
}

async fn check_cut_off() {
    let deployment = start(131).await;
    assert_eq!(time_until_forwarded(&deployment, ms(300)).await, None, "there is no route yet");
    deployment.network.is_open.set(true);
    deployment.network.cut.set(Cut::LastTwo);
    publish(&deployment.handles[0], publication(2, &[1, 2])).await;
    let took = time_until_forwarded(&deployment, IN_EFFECT).await;
    assert!(took.is_some(), "the new route is not in effect after {IN_EFFECT:?}");
    // A withdrawal reaches the entry as well. Its target is the only one, so that nothing takes the flows.
    let domain = DomainName::from("a");
    let withdraw = StateChange::Withdraw { domain, out: true };
    deployment.handles[1].change_declarations(withdraw).await.unwrap();
    tokio::time::sleep(ms(1_000)).await;
    assert_eq!(time_until_forwarded(&deployment, ms(500)).await, None, "it was withdrawn");
}

/// Guards against an entry without a daemon, or one that asks for a better one all the time, when all are cut off.
#[tokio::test]
async fn an_entry_goes_on_when_all_daemons_are_cut_off() {
    LocalSet::new().run_until(check_no_majority()).await;
}

async fn check_no_majority() {
    let deployment = start(141).await;
    publish(&deployment.handles[0], publication(2, &[1, 2])).await;
    assert!(time_until_forwarded(&deployment, LIMIT).await.is_some());
    deployment.network.is_open.set(true);
    deployment.network.cut.set(Cut::Everybody);
    tokio::time::sleep(ms(3_000)).await;
    deployment.network.queries.set(0);
    tokio::time::sleep(ms(6_000)).await;
    // Each of the five is tried at most twice, and each source asks for the live ones every 10 s.
    let queries = deployment.network.queries.get();
    assert!(queries <= 2 * DAEMONS + 2, "{queries} queries");
    assert!(deployment.entry.readiness().is_ready());
    assert!(time_until_forwarded(&deployment, ms(1_000)).await.is_some());
}
