//! An entry: takes callers' packets and passes them on to targets.

pub mod controls;
mod packets;
pub mod view;
mod waiting;
mod watch;

pub use packets::{PacketCodec, PacketError};

use crate::decisions::Decisions;
use crate::links::Links;
use crate::settings::FleetSettings;
use anyhow::Context;
use comfreyhold_flow::cookie::startup_buffer::{BufferedPacket, StartupBuffer};
use comfreyhold_flow::cookie::{Balancer, BalancerSettings, FlowKey};
use comfreyhold_types::clock::Clock;
use comfreyhold_types::keys::DomainName;
use controls::Controls;
use packets::Received;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use view::View;

/// Control daemons that an entry watches. With two, the loss of one delays no news.
const WATCHED: usize = 2;

/// Advantage of a target in the own domain, in requests per slot: a flow to another domain is lost when the
/// domains are cut off from each other, which is worse than a request that waits for a slot.
pub const HOME_ADVANTAGE: f64 = 1.0;

/// Announcement intervals after the return of a failure domain in which its targets count as cold. Each
/// target has announced itself by then.
const RETURN_INTERVALS: u32 = 2;

/// Announcement intervals after the start in which each target has announced itself.
const START_INTERVALS: u32 = 2;

/// Whether an entry is ready for callers' packets; shared with the task that answers the question.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Whether it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }
}

/// One entry. It runs on one thread.
pub struct Entry<C> {
    clock: Arc<dyn Clock>,
    decisions: Decisions,
    codec: C,
    socket: UdpSocket,
    links: Links,
    controls: RefCell<Controls>,
    view: RefCell<View>,
    balancer: RefCell<Balancer>,
    watching: RefCell<[Option<SocketAddr>; WATCHED]>,
    received: RefCell<Received>,
    /// Packets that wait until the entry is ready for the first time.
    waiting: RefCell<Option<StartupBuffer>>,
    /// Openings that wait behind others, by when their time comes.
    deferred: RefCell<BTreeMap<(Instant, FlowKey), BufferedPacket>>,
    /// Wakes the task that passes them on.
    deferral: Notify,
    /// When each target has announced itself since the start, so that there is none if none is known.
    all_announced: Instant,
    stopping: Cell<bool>,
    last_tick: Cell<Instant>,
    last_news: Cell<Instant>,
    readiness: Readiness,
    /// Wakes the sources that wait for the first one.
    joined: Notify,
}

impl<C: PacketCodec> Entry<C> {
    /// Binds the socket for packets and starts the tasks of an entry. Must run on a `LocalSet`.
    ///
    /// # Errors
    /// The settings name no address for packets, or it can't be bound.
    pub fn start(
        settings: &FleetSettings,
        codec: C,
        clock: Arc<dyn Clock>,
    ) -> anyhow::Result<Rc<Self>> {
        let address = settings.listen.packets.context("listen.packets: an entry needs it")?;
        let socket = packets::bind(address).with_context(|| address.to_string())?;
        let domain = DomainName::from(settings.domain.as_str());
        let balancer = BalancerSettings::builder()
            .domain(domain.clone())
            .remote_penalty(HOME_ADVANTAGE)
            .restore_period(settings.announce_interval() * RETURN_INTERVALS)
            .build();
        let now = clock.now();
        let controls =
            Controls::new(settings.exchange_address(), domain, &settings.seed_exchanges());
        let entry = Rc::new(Self {
            clock,
            decisions: Decisions::default(),
            codec,
            socket,
            links: Links::default(),
            controls: RefCell::new(controls),
            view: RefCell::new(View::new(WATCHED)),
            balancer: RefCell::new(Balancer::new(balancer)),
            watching: RefCell::new([None; WATCHED]),
            received: RefCell::new(Received::default()),
            waiting: RefCell::new(Some(StartupBuffer::default())),
            deferred: RefCell::default(),
            deferral: Notify::new(),
            all_announced: now + settings.announce_interval() * START_INTERVALS,
            stopping: Cell::new(false),
            last_tick: Cell::new(now),
            last_news: Cell::new(now),
            readiness: Readiness::default(),
            joined: Notify::new(),
        });
        entry.record("start", || json!({"settings": settings.summary()}));
        for source in 0..WATCHED {
            tokio::task::spawn_local(Rc::clone(&entry).run_watch(source));
        }
        tokio::task::spawn_local(Rc::clone(&entry).run_ticks());
        tokio::task::spawn_local(Rc::clone(&entry).run_packets());
        tokio::task::spawn_local(Rc::clone(&entry).run_deferred());
        Ok(entry)
    }

    /// Whether the entry is ready, for other tasks.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    /// Takes over the settings that may change while the process runs: the seeds.
    pub fn reload(&self, settings: &FleetSettings) {
        let seeds = settings.seed_exchanges();
        self.controls.borrow_mut().set_seeds(&seeds);
        self.record("reload", || json!({"seeds": seeds}));
    }

    /// Reports the entry as not ready from now on. It goes on passing packets.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.readiness.set(false);
        self.record("stop", || json!({"flows": self.balancer.borrow().flow_count()}));
    }

    fn record(&self, kind: &'static str, fields: impl FnOnce() -> serde_json::Value) {
        self.decisions.record(kind, self.clock.now(), fields);
    }

    fn update_readiness(&self) {
        let is_ready = self.balancer.borrow().is_ready();
        if is_ready {
            self.pass_waiting();
        }
        let ready = is_ready && !self.stopping.get();
        if ready != self.readiness.is_ready() {
            self.readiness.set(ready);
            self.record("readiness", || json!({"ready": ready}));
        }
    }
}

/// Interval of the ticks that show whether the process was suspended or starved.
const TICK: Duration = Duration::from_millis(200);

/// A tick that is late by more than this shows that packets have waited. A caller copies an opening after
/// 200 ms.
const LATE_TICK: Duration = Duration::from_millis(300);
