//! Events of the time line.

use crate::hlc::HybridTimestamp;
use crate::keys::{DomainId, InstanceId, Revision, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What happened.
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
    /// An instance put a revision in force.
    Activated,
    /// The lease of an instance ended.
    LeaseLost,
    /// An instance got its lease back.
    LeaseRegained,
    /// A target announced itself for the first time or under a new incarnation.
    TargetJoined,
    /// A target began to drain.
    TargetDraining,
    /// A target's lease ended.
    TargetLost,
    /// A target was found cold.
    TargetCold,
    /// An instance came under suspicion.
    PeerSuspected,
    /// An instance was found dead.
    PeerDead,
    /// An instance was found alive again.
    PeerAlive,
    /// A failure domain was taken out of service.
    DomainOut,
    /// A failure domain was brought back into service.
    DomainIn,
    /// A dispatcher role was taken over.
    DispatcherTakeover,
    /// A connection was found silent and closed.
    ConnectionSilent,
    /// A storage fault was found.
    StorageFault,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened, on the hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Which process recorded it.
    pub instance: InstanceId,
    /// The failure domain of that process.
    pub domain: DomainId,
    /// Election term known to the process.
    pub term: Term,
    /// Revision in force at the process.
    pub revision: Revision,
    /// What happened.
    pub kind: EventKind,
    /// Details, by field name.
    pub fields: BTreeMap<String, String>,
}
