//! Settings, input and output of a dispatcher.

use crate::message::{LoadReport, Message, Pool};
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The targets it is responsible for.
    pub pool: Pool,
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Term of the role; must be higher than that of every earlier dispatcher of the pool.
    pub epoch: u64,
    /// Profile of the service.
    pub profile: Profile,
}

/// Input of a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message of an entry.
    Message(InstanceId, Message),
    /// The current targets of the pool.
    Targets(Vec<TargetRecord>),
    /// A changed profile.
    Profile(Box<Profile>),
    /// Operators marked the failure domain.
    Domain(DomainState),
    /// This dispatcher follows an earlier one. Comes after the first [`Event::Targets`].
    Takeover {
        /// End of the earlier dispatcher's lease, with allowance for clock drift.
        lease_ends: Instant,
        /// Entries that are alive and asked for their grants.
        live: BTreeSet<InstanceId>,
        /// Entries that failed or restarted and may have held grants, or recorded them as a witness.
        failed: BTreeSet<InstanceId>,
        /// Targets that were cold, by the last load report, or joined since.
        cold: BTreeSet<SocketAddr>,
    },
    /// The entry that records grants to this instance; `None` when it is the only entry or isolated.
    /// It should be a live entry, in another failure domain where possible.
    Witness(Option<InstanceId>),
    /// An entry was found dead or has restarted.
    EntryFailed(InstanceId),
    /// This instance may no longer act as dispatcher.
    Stop,
    /// Time has passed.
    Tick,
}

/// Output of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to one entry.
    Send(InstanceId, Message),
    /// Send a load report to these entries, which asked for it, to the other dispatchers of the
    /// service, and to those that would succeed this one.
    Report(BTreeSet<InstanceId>, LoadReport),
    /// A target was found cold.
    TargetCold(SocketAddr),
}
