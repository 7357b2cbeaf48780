//! Settings of a dispatcher, events that it handles and actions that it returns.

use crate::message::{LoadReport, Message, Pool};
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Targets that the dispatcher is responsible for.
    pub pool: Pool,
    /// Instance that the dispatcher runs on.
    pub instance: InstanceId,
    /// Term of the role; must be higher than that of every earlier dispatcher of the pool.
    pub epoch: u64,
    /// Profile of the service.
    pub profile: Profile,
}

/// An event that a dispatcher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from an entry.
    Message(InstanceId, Message),
    /// The current targets of the pool.
    Targets(Vec<TargetRecord>),
    /// A changed profile.
    Profile(Box<Profile>),
    /// The state that operators set for the failure domain.
    Domain(DomainState),
    /// This dispatcher takes over from an earlier one. Sent after the first [`Event::Targets`].
    Takeover {
        /// End of the earlier dispatcher's lease, with allowance for clock drift.
        lease_ends: Instant,
        /// Live entries, which must report their grants.
        live: BTreeSet<InstanceId>,
        /// Entries that failed or restarted and may have held grants or recorded them as a witness.
        failed: BTreeSet<InstanceId>,
        /// Targets that were cold by the last load report, or joined since.
        cold: BTreeSet<SocketAddr>,
    },
    /// The entry that records grants to the local instance; `None` when it is the only entry or
    /// isolated. It should be a live entry, in another failure domain where possible.
    Witness(Option<InstanceId>),
    /// An entry was declared dead or has restarted.
    EntryFailed(InstanceId),
    /// This instance may no longer act as dispatcher.
    Stop,
    /// Time has passed.
    Tick,
}

/// An action that the caller of [`crate::dispatcher::Dispatcher`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to one entry.
    Send(InstanceId, Message),
    /// Send a load report to these watching entries, to the other dispatchers of the service and to
    /// the possible successors of this one.
    Report(BTreeSet<InstanceId>, LoadReport),
    /// A warm target turned cold.
    TargetCold(SocketAddr),
}
