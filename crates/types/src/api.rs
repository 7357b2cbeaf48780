//! Request and response bodies of the HTTP interface for operators and targets.

use crate::declarations::{Declarations, VersionRecord};
use crate::event::Event;
use crate::hlc::HybridTimestamp;
use crate::keys::{DomainId, Incarnation, InstanceId, Revision, Term};
use crate::target::{TargetRecord, TargetState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Response body of every refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultBody {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code, such as `bad-field`.
    pub name: String,
    /// Family of the result code, such as `not-run`.
    pub family: String,
    /// Explanation of the refusal.
    pub message: String,
}

/// Which entries have a revision in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectReport {
    /// The revision that the report is about.
    pub revision: Revision,
    /// Entries that have confirmed it to be in effect.
    pub in_effect: Vec<InstanceId>,
    /// Entries that are unreachable and have lost their lease.
    pub fenced: Vec<InstanceId>,
    /// Entries whose confirmation is pending.
    pub waiting: Vec<InstanceId>,
    /// Time from acceptance until every entry had it in effect or was fenced, in milliseconds; `None` before
    /// that.
    pub complete_after_ms: Option<u64>,
}

/// Result of one publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationReply {
    /// Subject of the publication, such as `profile/orders`.
    pub subject: String,
    /// Version number of the publication.
    pub version: u64,
    /// Number of the result code.
    pub code: u16,
    /// Explanation of the result.
    pub message: String,
    /// Revision at which it was accepted; `None` if it was refused.
    pub revision: Option<Revision>,
    /// Entries that have the revision in effect; `None` if the publication was refused.
    pub effect: Option<EffectReport>,
}

/// Results of a file of publications.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// One result per document, in the order of the file, up to the first refused one.
    pub results: Vec<PublicationReply>,
}

/// Status of a process, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Number of the instance.
    pub instance: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Role of the process: `entry` or `control`.
    pub role: String,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Newest election term received.
    pub term: Term,
    /// Leader known to the process, if any.
    pub leader: Option<InstanceId>,
    /// Revision in effect (entry) or last applied (control).
    pub revision: Revision,
    /// Whether it is ready for work.
    pub ready: bool,
    /// Further details that depend on the role, by name.
    pub details: BTreeMap<String, String>,
    /// Effective revision of each entry; empty unless the process is the leader.
    pub entries: BTreeMap<InstanceId, EntryEffect>,
}

/// Revision and lease of an entry, as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryEffect {
    /// Last revision that the entry confirmed to be in effect.
    pub revision: Revision,
    /// Whether its lease is valid.
    pub leased: bool,
}

/// The replicated state, as returned to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationsReply {
    /// Whether the response comes from a leader with a valid lease.
    pub current: bool,
    /// The replicated state.
    pub state: Declarations,
}

/// Version history of subjects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Accepted publications, by subject and version number.
    pub versions: BTreeMap<String, BTreeMap<u64, VersionRecord>>,
}

/// Request body of a target's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// Name of the service.
    pub service: String,
    /// Address and port for packets and requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u16,
    /// Incarnation of the target; every restart raises it.
    pub incarnation: Incarnation,
    /// Life-cycle state of the target.
    pub state: TargetState,
    /// How long the announcement is valid, in milliseconds.
    pub lease_ms: u64,
    /// Sequence number, raised with every announcement of an incarnation.
    pub sequence: u64,
}

impl AnnounceRequest {
    /// Creates the record of the target that the declarations hold.
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

/// State of a target at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReply {
    /// Record of the target.
    pub target: TargetRecord,
    /// Whether its lease is valid at this entry.
    pub live: bool,
    /// Whether the declarations in effect contain it.
    pub declared: bool,
}

/// Recorded events of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineReply {
    /// Number of the instance.
    pub instance: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Hybrid logical clock of the process at the time of the response.
    pub now: HybridTimestamp,
    /// Number of older events that were dropped from the ring buffer.
    pub dropped: u64,
    /// The recorded events, oldest first.
    pub events: Vec<Event>,
}

/// Number of requests of a service that ended with a result code.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountRow {
    /// Name of the service.
    pub service: String,
    /// Number of the result code.
    pub code: u16,
    /// Number of requests that ended with this result.
    pub count: u64,
}

/// Request counters, summed over all instances and incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReply {
    /// Sums by service and result code.
    pub rows: Vec<CountRow>,
    /// Incarnations that ended without their final mark: up to a second of their counts may be missing.
    pub gaps: Vec<String>,
}

/// Request to replace the lost data folder of a control instance by a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceRequest {
    /// The control instance whose data folder was lost.
    pub instance: InstanceId,
    /// Identity of its new data folder, as shown in its status.
    pub disk: u64,
}
