//! Orders, and ends of targets, that a control daemon could only carry out after their caller may have given them up.
//! The opposite order may have been carried out by another daemon, or the target may have started again.

use crate::feed::announcement;
use crate::saves::{ask, publish, settings, start_with_clock};
use comfreyhold_consensus::register::{Ballot, RegisterRequest, RegisterResponse};
use comfreyhold_fleet::control::{Control, EndError, RegisterError};
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::clock::{ManualClock, SystemClock};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::StateChange;
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::exchange::{self, Responder};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Longer than a caller waits for an answer.
const FREEZE: Duration = Duration::from_secs(4);

/// Far above the time that anything here takes; only a fault reaches it.
const LIMIT: Duration = Duration::from_secs(60);

fn withdraw(out: bool) -> StateChange {
    StateChange::Withdraw { domain: DomainName::from("b"), out }
}

/// Whether the newest value that a daemon has learned to be chosen withdraws the domain.
async fn is_withdrawn(control: &Rc<Control>) -> bool {
    match ask(control, &FleetRequest::Newest(Ballot::default())).await {
        FleetResponse::Newest(Some(value)) => {
            value.state.withdrawn.contains(&DomainName::from("b"))
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a withdrawal that is undone by an old order: a daemon that wakes up reads calls that their callers
/// have given up and have had carried out by another daemon.
#[tokio::test]
async fn an_order_read_after_a_freeze_is_not_carried_out() {
    LocalSet::new().run_until(check_order_after_freeze()).await;
}

async fn check_order_after_freeze() {
    let folder = crate::folders::data_folder();
    let clock = Arc::new(ManualClock::new());
    let settings = settings(26, &[26], folder.path(), "");
    let (control, handle) = start_with_clock(&settings, Arc::clone(&clock) as _).await;
    handle.change_declarations(withdraw(true)).await.unwrap();
    clock.advance(FREEZE);
    let error = handle.change_declarations(withdraw(false)).await.unwrap_err();
    assert_eq!((error, error.code()), (RegisterError::Expired, ResultCode::OrderExpired));
    // The first message after the freeze may be another one.
    clock.advance(FREEZE);
    ask(&control, &FleetRequest::Controls).await;
    clock.advance(Duration::from_millis(10));
    assert_eq!(handle.change_declarations(withdraw(false)).await, Err(RegisterError::Expired));
    assert!(is_withdrawn(&control).await);
    // Once the backlog is read, orders are carried out again.
    for _ in 0..20 {
        clock.advance(Duration::from_millis(100));
        ask(&control, &FleetRequest::Controls).await;
    }
    handle.change_declarations(withdraw(false)).await.unwrap();
    assert!(!is_withdrawn(&control).await);
}

/// What the second voter does once, beside which the proposer freezes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interference {
    /// The proposer freezes before it gets the promise.
    FreezeBeforePromise,
    /// Another proposer preempts the round while its value is written, and then the proposer freezes.
    PreemptAndFreeze,
}

/// The second voter.
struct InterferingVoter {
    voter: Rc<Control>,
    proposer_clock: Arc<ManualClock>,
    interference: Cell<Option<Interference>>,
}

impl InterferingVoter {
    /// Returns the response to a request that is not passed on to the voter.
    fn interfere(&self, request: &RegisterRequest) -> Option<FleetResponse> {
        let rejected = match (self.interference.get()?, request) {
            (Interference::FreezeBeforePromise, RegisterRequest::Prepare { .. }) => None,
            (Interference::PreemptAndFreeze, RegisterRequest::AcceptChange(change)) => {
                let promised = Ballot { count: change.ballot.count + 1, ..change.ballot };
                Some(FleetResponse::Vote(RegisterResponse::Rejected { promised }))
            }
            _ => return None,
        };
        self.interference.set(None);
        self.proposer_clock.advance(FREEZE);
        rejected
    }
}

impl Responder for InterferingVoter {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        async move {
            let own_response = match decode_body(&body) {
                Ok(FleetRequest::Vote(addressed)) => self.interfere(&addressed.request),
                _ => None,
            };
            match own_response {
                Some(response) => Ok(encode_body(&response).unwrap()),
                None => Rc::clone(&self.voter).respond(topic, body).await,
            }
        }
        .boxed_local()
    }
}

/// Guards against an order that is written after its caller has given it up, because the daemon froze, or waited
/// for voters, when it had already begun with it.
#[tokio::test]
async fn an_order_is_not_written_after_its_lifetime() {
    LocalSet::new().run_until(check_order_in_a_freeze()).await;
}

async fn check_order_in_a_freeze() {
    let (interference, host) = (Interference::FreezeBeforePromise, 27);
    let (control, result) = restore_with_interference(interference, host).await;
    assert_eq!(result, Err(RegisterError::Expired));
    assert!(is_withdrawn(&control).await);
}

/// Guards against a false refusal: the order was written to one voter before, and another proposer may complete it.
#[tokio::test]
async fn an_order_that_may_take_effect_is_not_reported_as_expired() {
    LocalSet::new().run_until(check_preempted_order()).await;
}

async fn check_preempted_order() {
    let (interference, host) = (Interference::PreemptAndFreeze, 33);
    let (_control, result) = restore_with_interference(interference, host).await;
    assert_eq!(result, Err(RegisterError::NoQuorum));
}

/// Withdraws a failure domain and restores it, with an interference while it is restored. Returns the result of that.
/// The hosts are `host` and the next one.
async fn restore_with_interference(
    interference: Interference,
    host: u8,
) -> (Rc<Control>, Result<(), RegisterError>) {
    let folders = [crate::folders::data_folder(), crate::folders::data_folder()];
    let hosts = [host, host + 1];
    let bind = "exchange_bind: \"{ip}:7905\"\n";
    let voter_settings = settings(hosts[1], &hosts, folders[1].path(), bind);
    let exchange = voter_settings.exchange_address();
    let (voter, _voter_handle) = start_with_clock(&voter_settings, Arc::new(SystemClock)).await;
    let clock = Arc::new(ManualClock::new());
    let proposer_clock = Arc::clone(&clock);
    let proxy = Rc::new(InterferingVoter { voter, proposer_clock, interference: Cell::new(None) });
    let listener = TcpListener::bind(exchange).await.unwrap();
    tokio::task::spawn_local(exchange::serve(listener, Rc::clone(&proxy)));
    let proposer = settings(host, &hosts, folders[0].path(), "");
    let (control, handle) = start_with_clock(&proposer, clock).await;
    handle.change_declarations(withdraw(true)).await.unwrap();
    proxy.interference.set(Some(interference));
    let result = handle.change_declarations(withdraw(false)).await;
    assert_eq!(proxy.interference.get(), None, "the voter was not asked");
    (control, result)
}

const ID: TargetId = TargetId(1);

/// The first announcement of the target's incarnation with this start.
fn incarnation(born_ms: u64) -> Announcement {
    let stamp = AnnouncementStamp { born_ms, sequence: 1 };
    Announcement { stamp, ..announcement(ID.0, 1, Availability::Serving) }
}

async fn last_announcement(control: &Rc<Control>) -> Option<Announcement> {
    match ask(control, &FleetRequest::LastAnnouncement(ID)).await {
        FleetResponse::Announcements(mut announcements) => announcements.pop(),
        other => panic!("{other:?}"),
    }
}

/// Guards against an old call to leave that ends a target which has started again under its id: a daemon that wakes
/// up reads the call after the target has given it up.
#[tokio::test]
async fn an_end_read_after_a_freeze_is_not_carried_out() {
    LocalSet::new().run_until(check_end_after_freeze()).await;
}

async fn check_end_after_freeze() {
    let folder = crate::folders::data_folder();
    let clock = Arc::new(ManualClock::new());
    let settings = settings(29, &[29], folder.path(), "");
    let (control, handle) = start_with_clock(&settings, Arc::clone(&clock) as _).await;
    publish(&handle).await;
    handle.announce(incarnation(200)).await.unwrap().unwrap();
    clock.advance(FREEZE);
    assert_eq!(handle.announce_end(ID).await, Err(EndError::Expired));
    assert_eq!(last_announcement(&control).await, Some(incarnation(200)));
}

/// Guards against the end of an incarnation that ends a later one, because it reached this daemon after the target had
/// started again.
#[tokio::test]
async fn a_late_end_does_not_end_a_later_incarnation() {
    LocalSet::new().run_until(check_late_end()).await;
}

async fn check_late_end() {
    let folder = crate::folders::data_folder();
    let settings = settings(30, &[30], folder.path(), "");
    let (control, handle) = start_with_clock(&settings, Arc::new(SystemClock)).await;
    publish(&handle).await;
    handle.announce(incarnation(200)).await.unwrap().unwrap();
    ask(&control, &FleetRequest::Announced(vec![incarnation(100).end()])).await;
    assert_eq!(last_announcement(&control).await, Some(incarnation(200)));
    ask(&control, &FleetRequest::Announced(vec![incarnation(200).end()])).await;
    assert_eq!(last_announcement(&control).await, Some(incarnation(200).end()));
}

/// Guards against an end that is acknowledged and then forgotten, because the daemon that was told did not know the
/// target, or knew an earlier incarnation only.
#[tokio::test]
async fn an_end_reaches_the_incarnation_that_only_other_daemons_know() {
    LocalSet::new().run_until(check_end_at_another_daemon()).await;
}

async fn check_end_at_another_daemon() {
    let folders = [crate::folders::data_folder(), crate::folders::data_folder()];
    let hosts = [31, 32];
    let mut daemons = Vec::new();
    for (host, folder) in hosts.iter().zip(&folders) {
        let settings = settings(*host, &hosts, folder.path(), "");
        daemons.push(start_with_clock(&settings, Arc::new(SystemClock)).await);
    }
    let [(knowing, _), (told, handle)] = &daemons[..] else { unreachable!() };
    let found = async {
        while !matches!(
            ask(told, &FleetRequest::Controls).await,
            FleetResponse::Controls(live) if live.len() == 2
        ) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, found).await.expect("the daemons find each other");
    publish(handle).await;
    let learned = async {
        let newest = FleetRequest::Newest(Ballot::default());
        while matches!(ask(knowing, &newest).await, FleetResponse::Newest(None)) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, learned).await.expect("the publication reaches both daemons");
    ask(told, &FleetRequest::Announced(vec![incarnation(100).end()])).await;
    ask(knowing, &FleetRequest::Announced(vec![incarnation(200)])).await;
    handle.announce_end(ID).await.unwrap();
    for control in [knowing, told] {
        assert_eq!(last_announcement(control).await, Some(incarnation(200).end()));
    }
}
