//! An entry: receives callers' packets and forwards them to targets.

mod capacity;
pub mod controls;
pub mod explain;
mod link;
mod load;
mod offers;
mod packets;
pub mod partial_copy;
pub mod view;
mod waiting;
mod watch;

pub use packets::{PacketCodec, PacketError};

use crate::connections::ConnectionPool;
use crate::decisions::DecisionLog;
use crate::settings::FleetSettings;
use anyhow::Context;
use capacity::PublishedSlots;
use comfreyhold_flow::cookie::startup_buffer::{BufferedPacket, StartupBuffer};
use comfreyhold_flow::cookie::{Balancer, BalancerSettings, FlowKey};
use comfreyhold_types::clock::Clock;
use comfreyhold_types::keys::DomainName;
use controls::ControlSelector;
use explain::ExplainHandle;
use link::EntryLink;
use load::LoadExchange;
use offers::Offers;
use packets::ReceiveState;
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
use view::ControlView;

/// Number of control daemons that an entry watches. With two, the loss of one delays no updates.
const WATCHED_CONTROLS: usize = 2;

/// Penalty of a target in a remote domain when targets are compared, in requests per slot. A flow to another
/// domain is lost when the domains are isolated from each other, which is worse than a request that waits for a
/// slot.
pub const REMOTE_PENALTY: f64 = 1.0;

/// Number of entries from which each has a share of a service. With fewer, an entry sees a good part of the load of each
/// target, and a share refuses openings that the targets could have served late: at 5 entries, 616 attempts were reset on a
/// day on which 5 were without shares.
const MIN_ENTRIES_FOR_SHARES: u32 = 12;

/// Announcement intervals for which the targets of a restored failure domain count as cold. Each target has
/// announced itself by then.
const RESTORED_COLD_INTERVALS: u32 = 2;

/// Announcement intervals after the start of an entry in which every target has announced itself.
const ALL_ANNOUNCED_INTERVALS: u32 = 2;

/// Whether an entry is ready for callers' packets. Clones share the state, so that the readiness endpoint can
/// read it.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Whether the entry is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }
}

/// One entry. All its tasks run on one thread.
pub struct Entry<C> {
    clock: Arc<dyn Clock>,
    decision_log: DecisionLog,
    codec: C,
    socket: UdpSocket,
    connections: ConnectionPool,
    controls: RefCell<ControlSelector>,
    view: RefCell<ControlView>,
    balancer: RefCell<Balancer>,
    /// Control daemon that each source watches at the moment.
    watched: RefCell<[Option<SocketAddr>; WATCHED_CONTROLS]>,
    /// Whether the daemon that each source watches learns new declarations; `true` until it says otherwise.
    informed: RefCell<[bool; WATCHED_CONTROLS]>,
    receive_state: RefCell<ReceiveState>,
    link: EntryLink,
    /// Packets received before the entry is ready for the first time; `None` from then on.
    startup_buffer: RefCell<Option<StartupBuffer>>,
    /// Openings deferred behind others, by the time at which they are due.
    deferred: RefCell<BTreeMap<(Instant, FlowKey), BufferedPacket>>,
    /// Wakes the task that forwards deferred openings.
    deferred_added: Notify,
    published_slots: RefCell<PublishedSlots>,
    /// Time by which each target has announced itself since the start. If no target is known by then, there
    /// is none.
    all_announced_at: Instant,
    stopping: Cell<bool>,
    last_tick: Cell<Instant>,
    last_update: Cell<Instant>,
    readiness: Readiness,
    /// Wakes the sources that wait until the first one has received the routes.
    first_routes: Notify,
    load: LoadExchange,
    offers: Offers,
    explain_handle: ExplainHandle,
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
            .remote_penalty(REMOTE_PENALTY)
            .min_entries_for_shares(MIN_ENTRIES_FOR_SHARES)
            .restore_period(settings.announce_interval() * RESTORED_COLD_INTERVALS)
            .build();
        let (now, started_ms) = (clock.now(), clock.wall_millis());
        let controls = ControlSelector::new(
            settings.exchange_address(),
            domain,
            &settings.seed_exchange_addresses(),
        );
        let (explain_handle, explain_rx) = ExplainHandle::new();
        let entry = Rc::new(Self {
            clock,
            decision_log: DecisionLog::default(),
            codec,
            socket,
            connections: ConnectionPool::default(),
            controls: RefCell::new(controls),
            view: RefCell::new(ControlView::new(WATCHED_CONTROLS)),
            balancer: RefCell::new(Balancer::new(balancer)),
            watched: RefCell::new([None; WATCHED_CONTROLS]),
            informed: RefCell::new([true; WATCHED_CONTROLS]),
            receive_state: RefCell::new(ReceiveState::default()),
            link: EntryLink::new(settings.link()),
            startup_buffer: RefCell::new(Some(StartupBuffer::default())),
            deferred: RefCell::default(),
            deferred_added: Notify::new(),
            published_slots: RefCell::default(),
            all_announced_at: now + settings.announce_interval() * ALL_ANNOUNCED_INTERVALS,
            stopping: Cell::new(false),
            last_tick: Cell::new(now),
            last_update: Cell::new(now),
            readiness: Readiness::default(),
            first_routes: Notify::new(),
            load: LoadExchange::new(settings.exchange_address(), started_ms),
            offers: Offers::default(),
            explain_handle,
        });
        entry.record("start", || json!({"settings": settings.summary()}));
        for source in 0..WATCHED_CONTROLS {
            tokio::task::spawn_local(Rc::clone(&entry).run_watch(source));
        }
        tokio::task::spawn_local(Rc::clone(&entry).run_ticks());
        tokio::task::spawn_local(Rc::clone(&entry).run_packets());
        tokio::task::spawn_local(Rc::clone(&entry).run_deferred());
        tokio::task::spawn_local(Rc::clone(&entry).run_link());
        tokio::task::spawn_local(Rc::clone(&entry).run_load());
        tokio::task::spawn_local(Rc::clone(&entry).run_offers());
        tokio::task::spawn_local(Rc::clone(&entry).run_explain(explain_rx));
        Ok(entry)
    }

    /// Handle from which other tasks read whether the entry is ready.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    /// Applies the settings that may change while the process runs: the seeds and the rate of the link.
    pub fn reload(&self, settings: &FleetSettings) {
        let seeds = settings.seed_exchange_addresses();
        self.controls.borrow_mut().set_seeds(&seeds);
        self.set_link(settings.link());
        let link_mbps = settings.link().map(|link| link.mbps());
        self.record("reload", || json!({"seeds": seeds, "link_mbps": link_mbps}));
    }

    /// Marks the entry as not ready from now on. It continues to forward packets.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.readiness.set(false);
        self.record("stop", || json!({"flows": self.balancer.borrow().flow_count()}));
    }

    fn record(&self, kind: &'static str, fields: impl FnOnce() -> serde_json::Value) {
        self.decision_log.record(kind, self.clock.now(), fields);
    }

    fn update_readiness(&self) {
        let is_ready = self.balancer.borrow().is_ready();
        if is_ready {
            self.release_buffered_packets();
        }
        let ready = is_ready && !self.stopping.get();
        if ready != self.readiness.is_ready() {
            self.readiness.set(ready);
            self.record("readiness", || json!({"ready": ready}));
        }
    }
}

/// Interval of the ticks that detect whether the process was suspended or starved of CPU time.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay of a tick above which the packets read next count as late. A caller retransmits an opening after
/// 200 ms.
const MAX_TICK_DELAY: Duration = Duration::from_millis(300);
