//! A control daemon: replicates the operators' declarations with the other control daemons, collects the
//! targets' announcements, and sends changes of both to the entries that watch it.

pub mod contact;
mod copies;
pub mod encodings;
pub mod feed;
mod gossip;
mod hand_over;
mod load;
mod operations;
pub mod peers;
mod register;
pub mod relay_links;
mod relaying;
pub mod relays;
mod repair;
mod saves;
pub mod stalls;
pub mod turns;
pub mod voter;

pub use load::LOAD_POLL_TIMEOUT;
pub(crate) use load::sender_start;
pub use operations::{ControlCall, ControlHandle, EndError};
pub use register::RegisterError;

use crate::connections::ConnectionPool;
use crate::counters::{CallRecord, CallSide, MessageKind, count_call, with_cpu_time};
use crate::decisions::DecisionLog;
use crate::messages::{ControlState, FleetRequest, FleetResponse, IncarnationId, TOPIC};
use crate::settings::FleetSettings;
use anyhow::Context;
use comfreyhold_consensus::register::{DiskId, RegisterValue, Replica, Voters};
use comfreyhold_membership::announcements::Announcements;
use comfreyhold_types::clock::Clock;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::exchange::{self, Responder};
use contact::Contact;
use encodings::Encodings;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use load::LoadSharing;
use peers::Peers;
use rand::seq::IteratorRandom;
use register::Register;
use relay_links::RelayLinks;
use relays::Partners;
use saves::Saves;
use serde_json::json;
use stalls::StallMonitor;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use turns::CopyTurns;
use voter::Voter;

/// Time for which a control daemon holds an entry's long poll while nothing has changed. It bounds how late
/// an entry notices that a daemon is unresponsive.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Heartbeat timeout: another control daemon counts as unreachable after this time without a heartbeat. It
/// covers three heartbeats.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Announcement intervals after which a target whose announcement has reached no daemon counts as silent. One
/// announcement may be lost with its daemon, and the next one may need a second attempt.
const SILENT_AFTER_INTERVALS: u32 = 3;

/// Announcement intervals for which targets saved by an earlier incarnation are valid. Each target announces
/// itself within one interval; the second one allows for a daemon that did not respond.
const RESTORED_FOR_INTERVALS: u32 = 2;

/// Pause of the process above which it is logged. Heartbeats alone make it active more often.
const LOGGED_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of control daemons named in a heartbeat, chosen at random. Up to this many are all named
/// each time; among more, each one is named by several others within a second.
const PEERS_PER_HEARTBEAT: usize = 8;

/// Number of control daemons above which a fleet counts as large. Up to it, each daemon has every other one as a peer and
/// sends what it did before; deployments of the present size have 5 to 12.
const LARGE_FLEET: usize = 12;

/// One control daemon. All its tasks run on one thread.
pub struct Control {
    settings: FleetSettings,
    clock: Arc<dyn Clock>,
    decision_log: DecisionLog,
    me: Replica,
    domain: DomainName,
    incarnation: IncarnationId,
    connections: Rc<ConnectionPool>,
    voter: Rc<Voter>,
    register: Register,
    peers: RefCell<Peers>,
    targets: RefCell<Announcements>,
    /// Targets that have recently announced themselves to this daemon, and when.
    refreshed_targets: RefCell<BTreeMap<TargetId, Instant>>,
    /// Exchanges of heartbeats in a large fleet.
    relay_links: RefCell<RelayLinks>,
    /// Daemons with which heartbeats are exchanged; empty in a small fleet.
    partners: RefCell<Partners>,
    /// Targets whose changed announcements are not sent to the other daemons yet.
    pending_broadcast: RefCell<BTreeSet<TargetId>>,
    broadcast_due: Notify,
    /// Daemons that have not responded to the last heartbeat yet.
    heartbeats_in_flight: RefCell<BTreeSet<SocketAddr>>,
    operations: mpsc::Sender<operations::QueuedOperation>,
    saves: Saves,
    stalls: Cell<StallMonitor>,
    contact: Cell<Contact>,
    /// Whether this daemon learned new declarations at the last check.
    was_informed: Cell<bool>,
    /// Wakes the entries' long polls.
    changed: Notify,
    /// Wakes the check of the voters.
    repair_due: Notify,
    /// Whether this daemon is told to stop.
    is_stopping: Cell<bool>,
    encodings: RefCell<Encodings>,
    /// Turns of the full copies for entries.
    entry_turns: RefCell<CopyTurns>,
    /// Turns of the newest value for other daemons, which pass it on to their entries.
    value_turns: RefCell<CopyTurns>,
    /// Number of fetches of the newest value in progress.
    value_fetches: Cell<usize>,
    load: LoadSharing,
}

impl Control {
    /// Opens the data folder, listens for other daemons and starts the tasks of a control daemon. Must run on
    /// a `LocalSet`.
    ///
    /// # Errors
    /// The settings name no data folder, it can't be opened, or the exchange address can't be listened on.
    pub async fn start(
        settings: FleetSettings,
        clock: Arc<dyn Clock>,
    ) -> anyhow::Result<(Rc<Self>, ControlHandle)> {
        let folder =
            settings.data_folder.clone().context("data_folder: a control daemon needs one")?;
        let address = settings.exchange_address();
        let bind = settings.exchange_bind.unwrap_or(address);
        let listener = TcpListener::bind(bind).await.with_context(|| bind.to_string())?;
        let seeds = settings.seed_exchange_addresses();
        let initial = initial_value(&settings, &seeds);
        let new_id = new_disk(address, initial.as_deref());
        let voter = Rc::new(Voter::start(&folder, new_id)?);
        let me = Replica { disk: voter.disk(), address };
        let incarnation = IncarnationId(rand::random());
        let connections = Rc::new(ConnectionPool::default());
        let register =
            Register::new(me, incarnation, Rc::clone(&voter), Rc::clone(&connections), initial);
        let started_ms = clock.wall_millis();
        let targets = restored_targets(&settings, &folder, clock.now());
        let (operations, operation_queue) = mpsc::channel(operations::MAX_QUEUED);
        let domain = DomainName::from(settings.domain.as_str());
        let relay_links = RelayLinks::new(incarnation, domain.clone(), clock.now());
        let control = Rc::new(Self {
            domain,
            peers: RefCell::new(Peers::new(address, &seeds, clock.now())),
            saves: Saves::new(targets.revision()),
            stalls: Cell::new(StallMonitor::new(clock.now())),
            contact: Cell::new(Contact::new(clock.now())),
            was_informed: Cell::new(true),
            settings,
            clock,
            decision_log: DecisionLog::default(),
            me,
            incarnation,
            connections,
            voter,
            register,
            targets: RefCell::new(targets),
            refreshed_targets: RefCell::default(),
            relay_links: RefCell::new(relay_links),
            partners: RefCell::default(),
            pending_broadcast: RefCell::default(),
            broadcast_due: Notify::new(),
            heartbeats_in_flight: RefCell::default(),
            operations,
            changed: Notify::new(),
            repair_due: Notify::new(),
            is_stopping: Cell::new(false),
            encodings: RefCell::default(),
            entry_turns: RefCell::default(),
            value_turns: RefCell::default(),
            value_fetches: Cell::default(),
            load: LoadSharing::new(load::sender_start(address, started_ms)),
        });
        control
            .record("start", || json!({"settings": control.settings.summary(), "disk": me.disk.0}));
        if let Some(value) = control.register.newest_known() {
            control.release_held(&value.state);
        }
        let handle = control.spawn_tasks(listener, operation_queue);
        Ok((control, handle))
    }

    fn spawn_tasks(
        self: &Rc<Self>,
        listener: TcpListener,
        operation_queue: mpsc::Receiver<operations::QueuedOperation>,
    ) -> ControlHandle {
        let (handle, calls) = ControlHandle::new();
        tokio::task::spawn_local(exchange::serve(listener, Rc::clone(self)));
        tokio::task::spawn_local(Rc::clone(self).run_operations(operation_queue));
        tokio::task::spawn_local(Rc::clone(self).run_calls(calls));
        tokio::task::spawn_local(Rc::clone(self).run_heartbeats());
        tokio::task::spawn_local(Rc::clone(self).run_broadcasts());
        tokio::task::spawn_local(Rc::clone(self).run_repair());
        tokio::task::spawn_local(Rc::clone(self).run_saves());
        tokio::task::spawn_local(Rc::clone(self).run_load());
        handle
    }

    /// Applies the settings that may change while the process runs: the seeds.
    pub fn reload(&self, settings: &FleetSettings) {
        let seeds = settings.seed_exchange_addresses();
        self.peers.borrow_mut().set_seeds(&seeds, self.clock.now());
        self.record("reload", || json!({"seeds": seeds}));
    }

    /// Tells the other daemons that this one stops, so that none of them gives it a vote. Follow it with
    /// [`hand_over`](Self::hand_over).
    pub fn stop(self: &Rc<Self>) {
        self.record("stop", || json!({"targets": self.targets.borrow().live_count()}));
        self.is_stopping.set(true);
        self.announce_stop();
    }

    /// Records that the process is active, before it handles a message. Returns the present time.
    fn observe_activity(&self) -> Instant {
        let now = self.clock.now();
        let mut stalls = self.stalls.get();
        let pause = stalls.observe(now);
        self.stalls.set(stalls);
        if pause >= LOGGED_PAUSE {
            self.record("stalled", || json!({"for_ms": pause.as_millis()}));
        }
        now
    }

    fn record(&self, kind: &'static str, fields: impl FnOnce() -> serde_json::Value) {
        self.decision_log.record(kind, self.clock.now(), fields);
    }

    /// State that this daemon reports to the others.
    fn local_state(&self) -> ControlState {
        ControlState {
            replica: self.me,
            domain: self.domain.clone(),
            start: self.incarnation,
            chosen: self.register.chosen_ballot(),
            targets: self.targets.borrow().digests(),
            peers: self.live_peers().into_iter().sample(&mut rand::rng(), PEERS_PER_HEARTBEAT),
            is_informed: self.is_informed(),
        }
    }

    /// Addresses of the other control daemons that are within their heartbeat timeout, or that others hear.
    fn live_peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        peers.live(PEER_TIMEOUT, self.clock.now()).map(|(address, _)| address).collect()
    }

    /// Learns a chosen value, and notifies the entries if it is newer than the last one.
    fn learn(&self, value: &Arc<RegisterValue>) {
        if self.register.learn(value) {
            self.notify_chosen();
        }
    }

    /// Whether this daemon learns new declarations.
    fn is_informed(&self) -> bool {
        self.contact.get().is_informed(self.clock.now())
    }

    /// Checks whether a majority of the voters is heard. Wakes the entries' long polls if this daemon no longer learns new
    /// declarations, or does so again.
    fn check_contact(&self, now: Instant) {
        let mut contact = self.contact.get();
        let has_majority = self.live_majority(now).is_some_and(|(has_majority, _)| has_majority);
        contact.record_majority(has_majority, now);
        self.contact.set(contact);
        let is_informed = contact.is_informed(now);
        if self.was_informed.replace(is_informed) != is_informed {
            metrics::gauge!("control_informed").set(f64::from(u8::from(is_informed)));
            self.record("informed", || json!({"informed": is_informed, "majority": has_majority}));
            self.changed.notify_waiters();
        }
    }

    fn notify_chosen(&self) {
        let mut contact = self.contact.get();
        contact.record_learned(self.register.chosen_ballot(), self.clock.now());
        self.contact.set(contact);
        self.changed.notify_waiters();
        let Some(value) = self.register.chosen() else { return };
        self.release_held(&value.state);
        self.record("declarations", || {
            json!({
                "ballot": value.ballot.count,
                "change": value.state.change,
                "version": value.state.version(),
                "withdrawn": value.state.withdrawn,
                "voters": value.voters.current.iter().map(|v| v.address).collect::<Vec<_>>(),
            })
        });
    }

    /// Addresses and failure domains of the live control daemons, including this one unless it no longer learns new
    /// declarations.
    fn live_controls(&self, now: Instant) -> Vec<(SocketAddr, DomainName)> {
        let peers = self.peers.borrow();
        let live = peers.live(PEER_TIMEOUT, now);
        let others = live.map(|(address, domain)| (address, domain.clone()));
        let local = self.is_informed().then(|| (self.me.address, self.domain.clone()));
        others.chain(local).collect()
    }

    /// Handles a request and encodes the response. Those that many processes ask for are encoded once.
    async fn encoded_response(
        self: Rc<Self>,
        request: FleetRequest,
    ) -> (MessageKind, Result<Vec<u8>, WireError>) {
        let kind = MessageKind::of_request(&request);
        let response = match request {
            FleetRequest::Watch(cursor) => return self.encoded_update(cursor).await,
            FleetRequest::Newest(known) => return (kind, self.encoded_newest(known).await),
            FleetRequest::Part(request) => return (kind, self.encoded_part(&request).await),
            other => self.handle_request(other).await,
        };
        (kind, encode_body(&response))
    }

    /// Handles the requests whose responses are not shared.
    async fn handle_request(self: Rc<Self>, request: FleetRequest) -> FleetResponse {
        match request {
            // Encoded by `encoded_response`.
            FleetRequest::Watch(_) | FleetRequest::Newest(_) | FleetRequest::Part(_) => {
                FleetResponse::Done
            }
            FleetRequest::Vote(addressed) => {
                FleetResponse::Vote(self.voter.handle_request(addressed).await)
            }
            FleetRequest::Hello(hello) => {
                let address = hello.state.replica.address;
                self.receive_heartbeat(hello);
                self.peers.borrow_mut().record_request(&address, false, self.clock.now());
                FleetResponse::Hello(self.next_heartbeat(address).0)
            }
            FleetRequest::Relay(message) => self.receive_relay_request(&message),
            FleetRequest::Chosen(ballot, holder) => {
                self.receive_chosen(ballot, holder);
                FleetResponse::Done
            }
            FleetRequest::Announced(announcements) => {
                let changed = self.apply_announcements(&announcements);
                self.save_left(&changed).await;
                FleetResponse::Done
            }
            FleetRequest::Announcements(ids) => {
                let announcements = self.targets.borrow().by_ids(&ids, self.clock.now());
                FleetResponse::Announcements(announcements)
            }
            FleetRequest::LastAnnouncement(id) => {
                let last = self.targets.borrow().last_announcement(id).cloned();
                FleetResponse::Announcements(last.into_iter().collect())
            }
            FleetRequest::Controls => FleetResponse::Controls(self.live_controls(self.clock.now())),
            FleetRequest::Load(None) => self.poll_sharing().await,
            FleetRequest::Load(Some(report)) => self.receive_load_report(*report),
            FleetRequest::LoadSum(sum) => self.receive_load_sum(*sum),
            FleetRequest::Stopping(address, start) => {
                self.receive_stop(address, start);
                FleetResponse::Done
            }
        }
    }
}

impl Responder for Control {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        async move {
            if topic != TOPIC {
                return Err(ResultCode::BadFrame);
            }
            let request: FleetRequest = decode_body(&body).map_err(|error| {
                log::warn!("can't decode a request: {error}");
                error.code()
            })?;
            let name: &'static str = (&request).into();
            self.observe_activity();
            let ((kind, encoded), cpu) = with_cpu_time(self.encoded_response(request)).await;
            let encoded = encoded.map_err(|error| {
                log::error!("can't encode a response to {name}: {error}");
                error.code()
            })?;
            let (request_bytes, response_bytes) = (body.len(), encoded.len());
            let bytes = (request_bytes + response_bytes) as u64;
            metrics::counter!("exchange_bytes", "request" => name).increment(bytes);
            metrics::counter!("exchanges", "request" => name).increment(1);
            let side = CallSide::Receiver;
            count_call(kind, &CallRecord { side, request_bytes, response_bytes, cpu });
            Ok(encoded)
        }
        .boxed_local()
    }
}

/// Identity of an empty data folder: a fixed one for the first voters at the first start of a deployment.
fn new_disk(address: SocketAddr, initial: Option<&RegisterValue>) -> DiskId {
    let is_voter =
        |value: &RegisterValue| value.voters.current.iter().any(|v| v.address == address);
    if initial.is_some_and(is_voter) { DiskId::initial(address) } else { DiskId(rand::random()) }
}

/// Targets saved by an earlier incarnation of this daemon.
fn restored_targets(settings: &FleetSettings, folder: &Path, now: Instant) -> Announcements {
    let interval = settings.announce_interval();
    let mut targets = Announcements::new(interval * SILENT_AFTER_INTERVALS);
    targets.restore(voter::saved_targets(folder), interval * RESTORED_FOR_INTERVALS, now);
    targets
}

/// Initial value of the register at the first start of a deployment: no declarations, and the seeds as
/// voters. `None` if `first_start` is not set.
fn initial_value(settings: &FleetSettings, seeds: &[SocketAddr]) -> Option<Arc<RegisterValue>> {
    let replica =
        |address: &SocketAddr| Replica { disk: DiskId::initial(*address), address: *address };
    let voters = Voters::stable(seeds.iter().map(replica).collect());
    settings.first_start.then(|| Arc::new(RegisterValue { voters, ..RegisterValue::default() }))
}
