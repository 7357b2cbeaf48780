//! Bodies of the operators' and targets' HTTP interface.

use crate::declarations::{Declarations, VersionRecord};
use crate::event::Event;
use crate::hlc::HybridTimestamp;
use crate::keys::{DomainId, Incarnation, InstanceId, Revision, Term};
use crate::target::{TargetRecord, TargetState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultBody {
    /// The numbered result.
    pub code: u16,
    /// Its name.
    pub name: String,
    /// Its family.
    pub family: String,
    /// Explanation.
    pub message: String,
}

/// Where a revision is in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectReport {
    /// The revision that was asked about.
    pub revision: Revision,
    /// Entries that have put it into effect.
    pub in_effect: Vec<InstanceId>,
    /// Entries that can't be reached and have lost their lease.
    pub fenced: Vec<InstanceId>,
    /// Entries whose confirmation is awaited.
    pub waiting: Vec<InstanceId>,
    /// Time from acceptance until every entry had it in effect or was fenced, in milliseconds.
    pub complete_after_ms: Option<u64>,
}

/// Answer to one publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationReply {
    /// What it is about, such as `profile/orders`.
    pub subject: String,
    /// Its version number.
    pub version: u64,
    /// The numbered result.
    pub code: u16,
    /// Explanation.
    pub message: String,
    /// Revision at which it was accepted.
    pub revision: Option<Revision>,
    /// Where it is in effect.
    pub effect: Option<EffectReport>,
}

/// Answer to a file of publications.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// One per document, in the order of the file, up to the first that was refused.
    pub results: Vec<PublicationReply>,
}

/// State of a process, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The process.
    pub instance: InstanceId,
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its start number.
    pub incarnation: Incarnation,
    /// Election term that it knows.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<InstanceId>,
    /// Revision in effect (entry) or applied (control).
    pub revision: Revision,
    /// Whether it is ready for work.
    pub ready: bool,
    /// Details by name.
    pub details: BTreeMap<String, String>,
    /// Entries and the revision in effect at each; only the leader knows them.
    pub entries: BTreeMap<InstanceId, EntryEffect>,
}

/// What the leader knows of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryEffect {
    /// Last revision that it confirmed to be in effect.
    pub revision: Revision,
    /// Whether its lease is running.
    pub leased: bool,
}

/// The replicated state as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationsReply {
    /// Whether a leader with a running lease answered.
    pub current: bool,
    /// The state.
    pub state: Declarations,
}

/// Versions of one subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Holders of version numbers, by subject and version.
    pub versions: BTreeMap<String, BTreeMap<u64, VersionRecord>>,
}

/// A target's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// Name of the service.
    pub service: String,
    /// Address and port for packets and requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// How many requests it runs at once.
    pub slots: u16,
    /// Start number; a restart raises it.
    pub incarnation: Incarnation,
    /// Announced state.
    pub state: TargetState,
    /// How long the announcement holds, in milliseconds.
    pub lease_ms: u64,
    /// Raised with every announcement of an incarnation.
    pub sequence: u64,
}

impl AnnounceRequest {
    /// The target as it is kept in the declarations.
    #[must_use]
    pub fn to_target_record(&self) -> TargetRecord {
        TargetRecord {
            service: self.service.clone(),
            address: self.address,
            domain: self.domain,
            slots: self.slots,
            incarnation: self.incarnation,
            state: self.state,
        }
    }
}

/// A target as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReply {
    /// The target.
    pub target: TargetRecord,
    /// Whether its lease is running here.
    pub live: bool,
    /// Whether it is in the declarations in effect.
    pub declared: bool,
}

/// Events of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineReply {
    /// The process.
    pub instance: InstanceId,
    /// Its name.
    pub name: String,
    /// Its clock now.
    pub now: HybridTimestamp,
    /// Events that no longer fit into the ring.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

/// One counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountRow {
    /// Name of the service.
    pub service: String,
    /// The numbered result.
    pub code: u16,
    /// Requests that ended so.
    pub count: u64,
}

/// Counters over all instances and incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReply {
    /// Sums by service and result.
    pub rows: Vec<CountRow>,
    /// Incarnations that ended without a final mark: up to a second of their counts may be missing.
    pub gaps: Vec<String>,
}

/// Replacement of a control instance's lost disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceRequest {
    /// The control instance.
    pub instance: InstanceId,
    /// Identity of its new data folder, as its status shows.
    pub disk: u64,
}
