//! One entry's flow state: construction, what it decides, and what it exposes.

use crate::control::Control;
use crate::flow::FlowHasher;
use crate::outbox::Outbox;
use crate::records::Records;
use crate::view::View;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};
use strum::{Display, EnumIter, IntoStaticStr};

/// Settings of a node.
#[derive(Clone, Copy, Debug)]
pub struct RouterSettings {
    /// This entry.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Key of the flow hash, the same on all entries.
    pub hash_key: (u64, u64),
    /// Most flows that are recorded. A flow beyond it is placed by the table without a record; a
    /// new flow of a slot in transition is refused.
    pub max_flows: usize,
    /// Seed of the first sequence number; differs from start to start.
    pub seed: u64,
}

/// Whether a live entry takes new roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// Takes part in everything.
    Serving,
    /// Leaves in a planned stop: hands over and still answers.
    Leaving,
}

/// A live entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// The entry.
    pub id: InstanceId,
    /// Its start number.
    pub incarnation: Incarnation,
    /// Whether it takes new roles.
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
    /// The slot's arbiter is being replaced. The caller's retransmission finds the new one; the
    /// packet may also be offered again after a few milliseconds.
    Deferred,
    /// This entry is isolated, and the flow belongs to another failure domain.
    Isolated,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Rewrite the destination to this target and send the packet.
    ToTarget(SocketAddr),
    /// Send the packet to a peer in [`crate::Message::Forward`].
    Forward {
        /// The peer.
        to: InstanceId,
        /// Times that the packet was forwarded, this one included.
        hops: u8,
        /// The peer answers in place of this entry.
        proxy: bool,
    },
    /// Answer the caller with [`crate::reply::refusal`] and count the code.
    Reject(ResultCode),
    /// Drop the packet and count the reason.
    Drop(DropReason),
}

/// Sizes of a node's state, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterStats {
    /// Recorded flows.
    pub flows: usize,
    /// Memory of the flow records, in bytes.
    pub record_bytes: usize,
    /// Memory of the tables, in bytes.
    pub table_bytes: usize,
    /// Slots in transition.
    pub moving_slots: usize,
    /// Messages not queued because too many waited for a peer.
    pub messages_dropped: u64,
}

/// The flow state of one entry. Packet decisions take `&self` and may run on several threads: they
/// read the view and lock one shard of records. Events of the control side take one more lock.
pub struct FlowRouter {
    pub(crate) hasher: FlowHasher,
    pub(crate) records: Records,
    pub(crate) start: Instant,
    view: RwLock<View>,
    control: Mutex<Control>,
    outbox: Mutex<Outbox>,
}

impl FlowRouter {
    /// Creates a node without tables. It forwards nothing and places nothing until
    /// [`Self::set_live_entries`], [`Self::prepare`] and [`Self::activate`] have been called.
    #[must_use]
    pub fn new(settings: RouterSettings, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let first_seq = u64::from(rng.random::<u32>());
        let view = View::new(settings.instance, settings.domain);
        Self {
            hasher: FlowHasher::new(settings.hash_key),
            records: Records::new(settings.max_flows),
            start: now,
            control: Mutex::new(Control::new(view.clone())),
            view: RwLock::new(view),
            outbox: Mutex::new(Outbox::new(first_seq)),
        }
    }

    /// Service address that a packet from a target carries as its source on the way back. `None`
    /// for a source that is no known target, or one of a domain that is out.
    #[must_use]
    pub fn return_source(&self, source: SocketAddr) -> Option<SocketAddr> {
        let view = self.view();
        let target = view.targets.at(source).filter(|target| !target.out)?;
        view.addresses.get(&target.service).copied()
    }

    /// Version in force here.
    #[must_use]
    pub fn active(&self) -> Revision {
        self.view().active
    }

    /// Whether the node knows of all transitions, and decides by itself.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.view().synced
    }

    /// Sizes of the state.
    #[must_use]
    pub fn stats(&self) -> RouterStats {
        let (table_bytes, moving_slots) = {
            let view = self.view();
            let tables = view.services.values().flat_map(|s| [&s.table, &s.next]).flatten();
            let table_bytes = tables.map(|table| table.bytes()).sum();
            (table_bytes, view.services.values().map(|s| s.moving.len()).sum())
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

    /// Makes the control side's view the one that decisions read. Decisions under way finish first,
    /// so no record is made by the old view afterwards.
    pub(crate) fn publish(&self, control: &Control) {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        *view = control.view.clone();
    }

    /// Record time: tenths of a second since the node's start, from 1 up.
    pub(crate) fn stamp(&self, now: Instant) -> u32 {
        let tenths = now.saturating_duration_since(self.start).as_millis() / 100;
        u32::try_from(tenths + 1).unwrap_or(u32::MAX)
    }
}

/// A duration in record time.
pub(crate) fn tenths(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis() / 100).unwrap_or(u32::MAX)
}
