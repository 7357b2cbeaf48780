//! A control daemon: shares the operators' declarations with the other control daemons, gathers the
//! targets' announcements, and tells entries about both.

pub mod feed;
mod gossip;
mod orders;
pub mod peers;
mod register;
mod repair;
pub mod voter;

pub use orders::{ControlCall, ControlHandle};
pub use register::RegisterError;

use crate::decisions::Decisions;
use crate::links::Links;
use crate::messages::{ControlState, FleetRequest, FleetResponse, News, StartId, TOPIC, Watch};
use crate::settings::FleetSettings;
use anyhow::Context;
use comfreyhold_consensus::register::{DiskId, RegisterValue, Replica, Voters};
use comfreyhold_membership::announcements::Announcements;
use comfreyhold_types::clock::Clock;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::exchange::{self, Responder};
use feed::Sources;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use peers::Peers;
use rand::seq::IteratorRandom;
use register::Register;
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use voter::Voter;

/// Time for which a control daemon holds an entry's question when it has no news. It bounds how late an
/// entry notices that a daemon has fallen silent.
pub const HOLD_WATCH: Duration = Duration::from_millis(500);

/// Time after which another control daemon that was not heard counts as unreachable: three of its hellos.
const PEER_SILENCE: Duration = Duration::from_millis(1_500);

/// Announcement intervals after which a target that no daemon has heard counts as silent. One announcement
/// may be lost with its daemon, and the next one may need a second attempt.
const SILENT_INTERVALS: u32 = 3;

/// Announcement intervals for which the targets of an earlier start are trusted. Each target announces
/// itself within one; the second allows for a daemon that did not answer.
const RESTORED_INTERVALS: u32 = 2;

/// Control daemons named in a hello. With up to this many all of them are named each time; among more, each
/// one is named by several others within a second.
const NAMED_PEERS: usize = 8;

/// One control daemon. It runs on one thread.
pub struct Control {
    settings: FleetSettings,
    clock: Arc<dyn Clock>,
    decisions: Decisions,
    me: Replica,
    domain: DomainName,
    start: StartId,
    links: Rc<Links>,
    voter: Rc<Voter>,
    register: Register,
    peers: RefCell<Peers>,
    targets: RefCell<Announcements>,
    /// Targets that have lately repeated their announcements here, and when.
    repeated: RefCell<BTreeMap<TargetId, Instant>>,
    /// Targets that others must be told about.
    unspread: RefCell<BTreeSet<TargetId>>,
    spread_due: Notify,
    /// Daemons that have not answered the last hello yet.
    greeting: RefCell<BTreeSet<SocketAddr>>,
    orders: mpsc::Sender<orders::Order>,
    changed: Notify,
}

impl Control {
    /// Opens the folder, listens for other daemons and starts the tasks of a control daemon. Must run on a
    /// `LocalSet`.
    ///
    /// # Errors
    /// The settings name no folder, the folder can't be opened, or the address can't be listened on.
    pub async fn start(
        settings: FleetSettings,
        clock: Arc<dyn Clock>,
    ) -> anyhow::Result<(Rc<Self>, ControlHandle)> {
        let folder =
            settings.data_folder.clone().context("data_folder: a control daemon needs one")?;
        let address = settings.exchange_address();
        let bind = settings.exchange_bind.unwrap_or(address);
        let listener = TcpListener::bind(bind).await.with_context(|| bind.to_string())?;
        let seeds = settings.seed_exchanges();
        let initial = first_value(&settings, &seeds);
        let is_initial = initial
            .as_ref()
            .is_some_and(|value| value.voters.current.iter().any(|voter| voter.address == address));
        let new = if is_initial { DiskId::initial(address) } else { DiskId(rand::random()) };
        let voter = Rc::new(Voter::start(&folder, new)?);
        let me = Replica { disk: voter.disk(), address };
        let start = StartId(rand::random());
        let links = Rc::new(Links::default());
        let register = Register::new(me, start, Rc::clone(&voter), Rc::clone(&links), initial);
        let targets = restored_targets(&settings, &folder, clock.now());
        let (orders, order_queue) = mpsc::channel(orders::MAX_WAITING);
        let control = Rc::new(Self {
            domain: DomainName::from(settings.domain.as_str()),
            peers: RefCell::new(Peers::new(address, &seeds, clock.now())),
            settings,
            clock,
            decisions: Decisions::default(),
            me,
            start,
            links,
            voter,
            register,
            targets: RefCell::new(targets),
            repeated: RefCell::default(),
            unspread: RefCell::default(),
            spread_due: Notify::new(),
            greeting: RefCell::default(),
            orders,
            changed: Notify::new(),
        });
        control
            .record("start", || json!({"settings": control.settings.summary(), "disk": me.disk.0}));
        let handle = control.spawn_tasks(listener, order_queue);
        Ok((control, handle))
    }

    fn spawn_tasks(
        self: &Rc<Self>,
        listener: TcpListener,
        order_queue: mpsc::Receiver<orders::Order>,
    ) -> ControlHandle {
        let (handle, calls) = ControlHandle::new();
        tokio::task::spawn_local(exchange::serve(listener, Rc::clone(self)));
        tokio::task::spawn_local(Rc::clone(self).run_orders(order_queue));
        tokio::task::spawn_local(Rc::clone(self).run_calls(calls));
        tokio::task::spawn_local(Rc::clone(self).run_hellos());
        tokio::task::spawn_local(Rc::clone(self).run_spread());
        tokio::task::spawn_local(Rc::clone(self).run_repair());
        tokio::task::spawn_local(Rc::clone(self).run_saves());
        handle
    }

    /// Takes over the settings that may change while the process runs: the seeds.
    pub fn reload(&self, settings: &FleetSettings) {
        let seeds = settings.seed_exchanges();
        self.peers.borrow_mut().set_seeds(&seeds, self.clock.now());
        self.record("reload", || json!({"seeds": seeds}));
    }

    /// Notes that the process is told to stop.
    pub fn stop(&self) {
        self.record("stop", || json!({"targets": self.targets.borrow().live_count()}));
    }

    fn record(&self, kind: &'static str, fields: impl FnOnce() -> serde_json::Value) {
        self.decisions.record(kind, self.clock.now(), fields);
    }

    /// What this daemon tells others about itself.
    fn state(&self) -> ControlState {
        ControlState {
            replica: self.me,
            domain: self.domain.clone(),
            start: self.start,
            chosen: self.register.chosen_ballot(),
            targets: self.targets.borrow().digests(),
            peers: self.live_peers().into_iter().sample(&mut rand::rng(), NAMED_PEERS),
        }
    }

    /// Other control daemons that were heard lately.
    fn live_peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let now = self.clock.now();
        peers.heard_within(PEER_SILENCE, now).map(|(address, _)| *address).collect()
    }

    /// Takes in a chosen value, and tells the entries.
    fn learn(&self, value: &Arc<RegisterValue>) {
        if self.register.learn(value) {
            self.note_chosen();
        }
    }

    fn note_chosen(&self) {
        self.changed.notify_waiters();
        let Some(value) = self.register.chosen() else { return };
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

    fn sources<'a>(&self, targets: &'a Announcements, watch: &Watch) -> Sources<'a> {
        let base = if watch.change > 0 { self.register.chosen_at(watch.change) } else { None };
        Sources { start: self.start, targets, chosen: self.register.chosen(), base }
    }

    /// Answers an entry, at once if there is news, else after a while.
    async fn watch(&self, watch: Watch) -> News {
        let held = tokio::time::timeout(HOLD_WATCH, async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.sources(&self.targets.borrow(), &watch).has_news(&watch) {
                    return;
                }
                changed.await;
            }
        });
        // A question without news by then is answered all the same, as a sign of life.
        let _ = held.await;
        let now = self.clock.now();
        let targets = self.targets.borrow();
        self.sources(&targets, &watch).news(&watch, now)
    }

    fn known_controls(&self, now: Instant) -> Vec<(SocketAddr, DomainName)> {
        let peers = self.peers.borrow();
        let live = peers.heard_within(PEER_SILENCE, now);
        let others = live.map(|(address, state)| (*address, state.domain.clone()));
        others.chain([(self.me.address, self.domain.clone())]).collect()
    }

    async fn answer(self: Rc<Self>, request: FleetRequest) -> FleetResponse {
        match request {
            FleetRequest::Vote(addressed) => {
                FleetResponse::Vote(self.voter.answer(addressed).await)
            }
            FleetRequest::Hello(hello) => {
                let address = hello.state.replica.address;
                self.heard_hello(hello);
                FleetResponse::Hello(self.hello(address).0)
            }
            FleetRequest::Chosen(ballot, holder) => {
                self.heard_chosen(ballot, holder);
                FleetResponse::Done
            }
            FleetRequest::Newest(known) => {
                let newer = self.register.chosen().filter(|value| value.ballot > known);
                FleetResponse::Newest(newer)
            }
            FleetRequest::Announced(announcements) => {
                self.hear_all(&announcements);
                FleetResponse::Done
            }
            FleetRequest::Announcements(ids) => {
                let known = self.targets.borrow().by_ids(&ids, self.clock.now());
                FleetResponse::Announcements(known)
            }
            FleetRequest::Ended(id) => {
                self.hear_end(id);
                FleetResponse::Done
            }
            FleetRequest::Watch(watch) => FleetResponse::News(Box::new(self.watch(watch).await)),
            FleetRequest::Controls => {
                FleetResponse::Controls(self.known_controls(self.clock.now()))
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
                log::warn!("refused a request: {error}");
                error.code()
            })?;
            let kind: &'static str = (&request).into();
            let response = self.answer(request).await;
            let encoded = encode_body(&response).map_err(|error| {
                log::error!("a response can't be sent: {error}");
                error.code()
            })?;
            let bytes = (body.len() + encoded.len()) as u64;
            metrics::counter!("exchange_bytes", "request" => kind).increment(bytes);
            metrics::counter!("exchanges", "request" => kind).increment(1);
            Ok(encoded)
        }
        .boxed_local()
    }
}

/// The targets that an earlier start of this daemon knew.
fn restored_targets(settings: &FleetSettings, folder: &Path, now: Instant) -> Announcements {
    let interval = settings.announce_interval();
    let mut targets = Announcements::new(interval * SILENT_INTERVALS);
    targets.restore(voter::saved_targets(folder), interval * RESTORED_INTERVALS, now);
    targets
}

/// The value that a deployment starts with: no declarations, and the seeds as voters.
fn first_value(settings: &FleetSettings, seeds: &[SocketAddr]) -> Option<Arc<RegisterValue>> {
    let replica =
        |address: &SocketAddr| Replica { disk: DiskId::initial(*address), address: *address };
    let voters = Voters::stable(seeds.iter().map(replica).collect());
    settings.first_start.then(|| Arc::new(RegisterValue { voters, ..RegisterValue::default() }))
}
