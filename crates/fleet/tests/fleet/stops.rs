//! Orders beside a control daemon that is told to stop, and voters that are kept.

use crate::feed::publication;
use crate::saves::{ask, settings, start_with_clock};
use comfreyhold_consensus::register::{Ballot, RegisterRequest};
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::StateChange;
use comfreyhold_wire::envelope::decode_body;
use comfreyhold_wire::exchange::{Responder, serve};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Far above the time that a start takes; only a fault reaches it.
const LIMIT: Duration = Duration::from_secs(60);

/// Delay of the first phase of a round, so that two rounds take longer than an order may wait.
const PREPARE_DELAY: Duration = Duration::from_millis(500);

/// Passes requests on to a control daemon.
struct Proxy {
    control: Rc<Control>,
    /// Whether the daemon learns that others are told to stop.
    hears_stops: bool,
    is_slow: Rc<Cell<bool>>,
}

impl Responder for Proxy {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        async move {
            match decode_body::<FleetRequest>(&body).unwrap() {
                FleetRequest::Stopping(..) if !self.hears_stops => {
                    return Err(ResultCode::Stopping);
                }
                FleetRequest::Vote(vote)
                    if matches!(vote.request, RegisterRequest::Prepare { .. })
                        && self.is_slow.get() =>
                {
                    tokio::time::sleep(PREPARE_DELAY).await;
                }
                _ => {}
            }
            Rc::clone(&self.control).respond(topic, body).await
        }
        .boxed_local()
    }
}

/// Guards against an order that is refused as not carried out although it is in effect: a change of voters was made along
/// with it, and its time was over before that change was completed.
#[tokio::test]
async fn an_order_that_a_change_of_voters_goes_with_is_acknowledged() {
    LocalSet::new().run_until(check_order()).await;
}

async fn check_order() {
    let hosts: Vec<u8> = (231..235).collect();
    let folders: Vec<TempDir> = hosts.iter().map(|_| crate::folders::data_folder()).collect();
    let is_slow = Rc::new(Cell::new(false));
    let mut daemons: Vec<(Rc<Control>, ControlHandle)> = Vec::new();
    for (host, folder) in hosts.iter().zip(&folders) {
        let further = "exchange_bind: \"{ip}:7913\"\n";
        let settings = settings(*host, &hosts[..3], folder.path(), further);
        let (control, handle) = start_with_clock(&settings, Arc::new(SystemClock)).await;
        let hears_stops = *host == hosts[1];
        let is_slow = Rc::clone(&is_slow);
        let proxy = Rc::new(Proxy { control: Rc::clone(&control), hears_stops, is_slow });
        let listener = TcpListener::bind(settings.exchange_address()).await.unwrap();
        tokio::task::spawn_local(serve(listener, proxy));
        daemons.push((control, handle));
    }
    let until = Instant::now() + LIMIT;
    let publish = StateChange::Publish(publication(1, &[1]));
    while daemons[1].1.change_declarations(publish.clone()).await.is_err() {
        assert!(Instant::now() < until, "a publication is not accepted");
    }
    // Each daemon hears the others.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    is_slow.set(true);
    daemons[2].0.stop();
    // An order counts as arrived when the daemon was last active, so it is kept so.
    for _ in 0..30 {
        daemons[1].1.read_publication().await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let withdraw = StateChange::Withdraw { domain: DomainName::from("b"), out: true };
    let begun = Instant::now();
    assert_eq!(daemons[1].1.change_declarations(withdraw).await, Ok(()));
    assert!(begun.elapsed() >= PREPARE_DELAY * 2, "no change of voters went with the order");
}

/// Passes requests on, but no heartbeats between two daemons that hear all others.
struct CutPair {
    control: Rc<Control>,
    address: SocketAddr,
    pair: [SocketAddr; 2],
}

impl Responder for CutPair {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        if let FleetRequest::Hello(hello) = decode_body(&body).unwrap() {
            let from = hello.state.replica.address;
            if self.pair.contains(&from) && self.pair.contains(&self.address) {
                return std::future::pending().boxed_local();
            }
        }
        Rc::clone(&self.control).respond(topic, body)
    }
}

/// Guards against a voter that is exchanged although it is well: the second daemon to decide does not hear it, the first one
/// does.
#[tokio::test]
async fn a_voter_that_the_deciding_daemon_hears_is_kept() {
    LocalSet::new().run_until(check_cut_pair()).await;
}

async fn check_cut_pair() {
    let hosts: Vec<u8> = (236..240).collect();
    let folders: Vec<TempDir> = hosts.iter().map(|_| crate::folders::data_folder()).collect();
    let further = "exchange_bind: \"{ip}:7915\"\n";
    let all: Vec<_> = hosts
        .iter()
        .zip(&folders)
        .map(|(host, folder)| settings(*host, &hosts[..3], folder.path(), further))
        .collect();
    let pair = [all[1].exchange_address(), all[2].exchange_address()];
    let mut daemons = Vec::new();
    for settings in &all {
        let (control, handle) = start_with_clock(settings, Arc::new(SystemClock)).await;
        let address = settings.exchange_address();
        let proxy = Rc::new(CutPair { control: Rc::clone(&control), address, pair });
        tokio::task::spawn_local(serve(TcpListener::bind(address).await.unwrap(), proxy));
        daemons.push((control, handle));
    }
    let until = Instant::now() + LIMIT;
    let publish = StateChange::Publish(publication(1, &[1]));
    while daemons[0].1.change_declarations(publish.clone()).await.is_err() {
        assert!(Instant::now() < until, "a publication is not accepted");
    }
    // Longer than a silent voter is kept, and than the first daemon has the time to decide.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let newest = ask(&daemons[0].0, &FleetRequest::Newest(Ballot::default())).await;
    let FleetResponse::Newest(Some(value)) = newest else { panic!("{newest:?}") };
    let voters: Vec<SocketAddr> = value.voters.current.iter().map(|v| v.address).collect();
    assert!(voters.contains(&pair[0]) && voters.contains(&pair[1]), "{voters:?}");
}
