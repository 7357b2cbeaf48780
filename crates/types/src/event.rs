//! Events of the timeline, which operators read over HTTP.

use crate::hlc::HybridTimestamp;
use crate::keys::{DomainId, InstanceId, Revision, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of an event.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    Started,
    /// A graceful shutdown began.
    Stopping,
    /// A control daemon became leader of a term.
    LeaderElected,
    /// A leader stepped down.
    LeaderSteppedDown,
    /// A declaration was accepted.
    Accepted,
    /// A declaration was refused.
    Refused,
    /// An instance prepared a revision.
    Prepared,
    /// An instance put a revision into effect.
    Activated,
    /// The lease of an instance ended.
    LeaseLost,
    /// An instance regained its lease.
    LeaseRegained,
    /// A target announced itself for the first time or with a new incarnation.
    TargetJoined,
    /// A target started to drain.
    TargetDraining,
    /// The lease of a target ended.
    TargetLost,
    /// A target was detected as cold.
    TargetCold,
    /// An instance was suspected to have failed.
    PeerSuspected,
    /// An instance was declared dead.
    PeerDead,
    /// An instance was detected as alive again.
    PeerAlive,
    /// A failure domain was withdrawn.
    DomainOut,
    /// A failure domain was restored.
    DomainIn,
    /// An instance took over a dispatcher role.
    DispatcherTakeover,
    /// A connection to a peer was unresponsive or broken and was closed.
    ConnectionSilent,
    /// A storage fault was detected.
    StorageFault,
    /// A data folder that was full accepts writes again.
    StorageRecovered,
}

/// An event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event on the hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Instance that recorded it.
    pub instance: InstanceId,
    /// Failure domain of that instance.
    pub domain: DomainId,
    /// Newest election term that the instance had received.
    pub term: Term,
    /// Revision in effect at the instance.
    pub revision: Revision,
    /// Kind of the event.
    pub kind: EventKind,
    /// Details, by field name.
    pub fields: BTreeMap<String, String>,
}
