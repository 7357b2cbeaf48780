//! The packet router of one entry: its settings, its actions on packets, and its flow state.

use crate::control::Control;
use crate::flow::FlowHasher;
use crate::outbox::Outbox;
use crate::records::FlowRecords;
use crate::view::View;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};
use strum::{Display, EnumIter, IntoStaticStr};

/// Settings of a [`FlowRouter`].
#[derive(Clone, Copy, Debug)]
pub struct RouterSettings {
    /// Instance id of this entry.
    pub instance: InstanceId,
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Key of the flow hash, the same on all entries.
    pub hash_key: (u64, u64),
    /// Upper limit of recorded flows. Above it, a flow is placed by the table without a record, and
    /// a new flow of a slot in transition is rejected.
    pub max_flows: usize,
    /// Seed of the first sequence number, which must differ between starts.
    pub seed: u64,
}

/// Whether a live entry may become arbiter or backup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// May take any role.
    Serving,
    /// Leaves in a planned stop: hands over its roles and still handles messages.
    Leaving,
}

/// A live entry in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Instance id of the entry.
    pub id: InstanceId,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Whether the entry may become arbiter or backup.
    pub state: PeerState,
}

/// Why a packet is dropped without a reply.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// No service has the destination address.
    UnknownService,
    /// The slot's arbiter is being replaced. A retransmission reaches the new one; the packet may
    /// also be routed again after a few milliseconds.
    Deferred,
    /// This entry is isolated, and the flow's target is in another failure domain.
    Isolated,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Rewrite the destination to this target's address and send the packet.
    ToTarget(SocketAddr),
    /// Send the packet to a peer in [`crate::Message::Forward`].
    Forward {
        /// Entry that decides on the packet.
        to: InstanceId,
        /// How often the packet was forwarded, this time included.
        hops: u8,
        /// The peer decides in place of this entry, which is not yet able to.
        proxy: bool,
    },
    /// Send [`crate::reply::refusal`] to the caller and count the code.
    Reject(ResultCode),
    /// Drop the packet and count the reason.
    Drop(DropReason),
}

/// Sizes of a router's state, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterStats {
    /// Number of recorded flows.
    pub flows: usize,
    /// Memory of the flow records, in bytes.
    pub record_bytes: usize,
    /// Memory of the slot tables, in bytes.
    pub table_bytes: usize,
    /// Number of slots in transition.
    pub moving_slots: usize,
    /// Messages dropped because the peer's queue was full.
    pub messages_dropped: u64,
}

/// Routes packets at one entry. Packet decisions take `&self` and may run on several threads: they
/// read the view and lock one shard of records. Changes take one more lock.
pub struct FlowRouter {
    pub(crate) hasher: FlowHasher,
    pub(crate) records: FlowRecords,
    pub(crate) start: Instant,
    view: RwLock<View>,
    control: Mutex<Control>,
    outbox: Mutex<Outbox>,
}

impl FlowRouter {
    /// Creates a router without tables. It routes no packet until [`Self::set_live_entries`],
    /// [`Self::prepare`] and [`Self::activate`] have been called.
    #[must_use]
    pub fn new(settings: RouterSettings, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let first_seq = u64::from(rng.random::<u32>());
        let view = View::new(settings.instance, settings.domain);
        Self {
            hasher: FlowHasher::new(settings.hash_key),
            records: FlowRecords::new(settings.max_flows),
            start: now,
            control: Mutex::new(Control::new(view.clone())),
            view: RwLock::new(view),
            outbox: Mutex::new(Outbox::new(first_seq)),
        }
    }

    /// Service address that replaces a target's address as the source of a packet to a caller.
    /// `None` if no target has this address, or its failure domain is withdrawn.
    #[must_use]
    pub fn return_source(&self, source: SocketAddr) -> Option<SocketAddr> {
        let view = self.view();
        let target = view.targets.get_by_address(source).filter(|target| !target.is_withdrawn)?;
        view.service_addresses.get(&target.service).copied()
    }

    /// Active version of the target sets.
    #[must_use]
    pub fn active_version(&self) -> Revision {
        self.view().active_version
    }

    /// Whether this entry has received all slots in transition, so that it decides without its
    /// peers.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.view().is_synced
    }

    /// Sizes of the state, counted now.
    #[must_use]
    pub fn stats(&self) -> RouterStats {
        let (table_bytes, moving_slots) = {
            let view = self.view();
            let tables = view.services.values().flat_map(|s| [&s.table, &s.next_table]).flatten();
            let table_bytes = tables.map(|table| table.bytes()).sum();
            (table_bytes, view.services.values().map(|s| s.transitions.len()).sum())
        };
        RouterStats {
            flows: self.records.len(),
            record_bytes: self.records.bytes(),
            table_bytes,
            moving_slots,
            messages_dropped: self.outbox().dropped,
        }
    }

    pub(crate) fn view(&self) -> RwLockReadGuard<'_, View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the view that decisions read by that of the control side. Waits for decisions in
    /// progress, so no record is made from the old view afterwards.
    pub(crate) fn publish(&self, control: &Control) {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        *view = control.view.clone();
    }

    /// Record time: tenths of a second since the router's start, from 1 up, since 0 means never.
    pub(crate) fn stamp(&self, now: Instant) -> u32 {
        let tenths = now.saturating_duration_since(self.start).as_millis() / 100;
        u32::try_from(tenths + 1).unwrap_or(u32::MAX)
    }
}

/// Converts a duration to record time.
pub(crate) fn tenths(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis() / 100).unwrap_or(u32::MAX)
}
