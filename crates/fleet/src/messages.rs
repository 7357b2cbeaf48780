//! Messages between control daemons, and between entries and control daemons. They are encoded with postcard,
//! so the order of fields and variants is part of the protocol.

use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, RegisterResponse, RegisterValue, Replica,
};
use comfreyhold_load::{LoadReport, LoadSum, LoadTotals};
use comfreyhold_membership::announcements::{
    AgedRepetition, Repetition, TargetDigests, TargetReport,
};
use comfreyhold_types::announcement::Announcement;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{FormerServices, RouteDifference, RouteTable};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use strum::IntoStaticStr;

/// Topic number of this protocol on the exchange port.
pub const TOPIC: u16 = 10;

/// Random identifier of one incarnation of a process: it changes with every start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

/// State that a control daemon reports about itself to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Address and data folder of the daemon.
    pub replica: Replica,
    /// Failure domain of the daemon.
    pub domain: DomainName,
    /// Current incarnation of the daemon.
    pub start: IncarnationId,
    /// Ballot of the newest value that the daemon has learned to be chosen.
    pub chosen: Ballot,
    /// Digests of the targets known to the daemon, for anti-entropy.
    pub targets: TargetDigests,
    /// Some of the live control daemons, for discovery.
    pub peers: Vec<SocketAddr>,
    /// Whether the daemon learns new declarations.
    pub is_informed: bool,
}

/// Heartbeat between control daemons. The response to it is the receiver's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's state.
    pub state: ControlState,
    /// Targets that have repeated their announcements to the sender since its last heartbeat to the receiver.
    pub repeated: Vec<Repetition>,
}

/// What a control daemon of a large fleet asks another one to pass on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Wanted {
    /// Nothing but what targets have announced to the receiver itself.
    #[default]
    Nothing,
    /// The daemons that the receiver hears.
    Daemons,
    /// The daemons, and the refreshes of targets.
    All,
}

/// Heartbeat between control daemons of a large fleet, in which a daemon does not exchange heartbeats with every other
/// one. Its `hello` repeats no targets; they are in `refreshes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHello {
    /// The sender's state.
    pub hello: Hello,
    /// What the receiver is asked to pass on of what it hears in its failure domain.
    pub wanted: Wanted,
    /// Time at which the message is sent, in milliseconds since the start of the sender.
    pub sent_ms: u64,
    /// Number of the sender's last refresh that this message or an earlier one contains.
    pub refreshes_until: u64,
    /// What the sender has received from the receiver; `None` before the first message. Without it, the receiver can't
    /// tell how old the message is, and `heard` and `refreshes` are empty.
    pub received: Option<RelayReceipt>,
    /// Daemons of the sender's failure domain that it hears, itself or through others of that domain.
    pub heard: Vec<HeardDaemon>,
    /// Targets that have repeated their announcements to the sender, or to daemons of its failure domain.
    pub refreshes: Vec<AgedRepetition>,
}

/// The newest message of a daemon that another one has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReceipt {
    /// Incarnation of the daemon that sent the message.
    pub start: IncarnationId,
    /// `sent_ms` of the message.
    pub sent_ms: u64,
    /// Time since the message was received, in milliseconds.
    pub held_ms: u64,
    /// `refreshes_until` of the message.
    pub refreshes_until: u64,
}

/// A control daemon that another one hears.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardDaemon {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Incarnation of the daemon.
    pub start: IncarnationId,
    /// Ballot of the newest value that it has learned to be chosen; `None` if it is that of the sender.
    pub chosen: Option<Ballot>,
    /// Time since a daemon received its last heartbeat, in milliseconds.
    pub age_ms: u64,
}

/// A request to a control daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetRequest {
    /// Request of a proposer to the receiver's voter.
    Vote(AddressedRequest),
    /// The sender's heartbeat; the response carries the receiver's.
    Hello(Hello),
    /// A value was chosen under this ballot, and can be fetched from the daemon at this address.
    Chosen(Ballot, SocketAddr),
    /// Fetches the newest chosen value if its ballot is higher than this one.
    Newest(Ballot),
    /// Announcements that changed a target, or that the receiver may lack.
    Announced(Vec<Announcement>),
    /// Fetches the announcements of these targets.
    Announcements(Vec<TargetId>),
    /// Fetches the last announcement of a target that ends, also if the receiver has it from its file only.
    LastAnnouncement(TargetId),
    /// An entry's long poll for changes since this cursor.
    Watch(WatchCursor),
    /// An entry's query for the live control daemons.
    Controls,
    /// An entry's report of its load, or its long poll for the time from which load is shared.
    Load(Option<Box<LoadReport>>),
    /// Another control daemon's sum over the load reports of its own entries.
    LoadSum(Box<LoadSum>),
    /// The sender's heartbeat in a large fleet; the response carries the receiver's. A daemon that refuses it gets
    /// `Hello`.
    Relay(Box<RelayHello>),
    /// An entry's request for the next part of newer declarations.
    Part(PartRequest),
    /// The control daemon at this address, in this incarnation, is told to stop.
    Stopping(SocketAddr, IncarnationId),
}

/// A response of a control daemon, with one variant for each kind of result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// Response to `Vote`.
    Vote(RegisterResponse),
    /// Response to `Hello`.
    Hello(Hello),
    /// Response to `Newest`: the newer value, if there is one.
    Newest(Option<Arc<RegisterValue>>),
    /// Response to `Announcements` and `LastAnnouncement`, without the targets that the receiver does not know.
    Announcements(Vec<Announcement>),
    /// Response without content: to `Chosen`, `Announced` and `Stopping`.
    Done,
    /// Response to `Watch`.
    News(Box<EntryUpdate>),
    /// Response to `Controls`: the live control daemons with their failure domains. A daemon that no longer learns new
    /// declarations leaves itself out.
    Controls(Vec<(SocketAddr, DomainName)>),
    /// Response to `Load`, and to a refused `LoadSum`: the totals, or the code of a
    /// [`LoadError`](comfreyhold_load::LoadError).
    Load(Result<Box<LoadTotals>, u8>),
    /// Response to `Relay`.
    Relay(Box<RelayHello>),
    /// Response to `Part`: the part requested, or the first one of the newest declarations if the copy that was begun is no
    /// longer kept. `None` if the receiver has no newer declarations, or sends no copy at the moment.
    Part(Option<CopyPart>),
}

/// Position up to which an entry has received changes from one control daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCursor {
    /// Incarnation of the daemon that the targets came from.
    pub source: IncarnationId,
    /// Revision of the targets at that daemon up to which the entry has them.
    pub targets: u64,
    /// Change number of the entry's declarations, which all daemons share; 0 if it has none.
    pub change: u64,
    /// Change number up to which declarations were offered to the entry, which fetches them in parts; 0 if it fetches none.
    pub offered: u64,
}

/// Changes since an entry's cursor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Incarnation of the sending daemon.
    pub source: IncarnationId,
    /// Revision of the daemon's targets.
    pub revision: u64,
    /// Whether `targets` holds all targets instead of only the changed ones.
    pub all_targets: bool,
    /// Whether the daemon learns new declarations. One that is cut off from the majority does not.
    pub is_informed: bool,
    /// Changed targets, or all of them.
    pub targets: Vec<TargetReport>,
    /// Newer declarations; absent if the entry has the newest ones, or if they are offered.
    pub declarations: Option<DeclarationUpdate>,
    /// Change number of newer declarations that are too large for one message. The entry fetches them in parts.
    pub offer: Option<u64>,
}

/// An entry's request for a part of declarations that are newer than its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Change number of the entry's declarations; 0 if it has none.
    pub change: u64,
    /// Copy that the entry has begun to receive, if any.
    pub begun: Option<CopyKey>,
    /// Number of bytes of that copy that the entry has.
    pub offset: u64,
}

/// Identifies the encoding of declarations. Daemons that hold the same declarations encode them alike, so that any of them
/// can send the next part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyKey {
    /// Change number of the declarations that the encoding is a difference to; `None` if it is complete.
    pub base: Option<u64>,
    /// Change number of the encoded declarations.
    pub change: u64,
    /// Length of the encoding, in bytes.
    pub length: u64,
    /// Hash of the encoding.
    pub hash: u64,
}

/// A part of encoded declarations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPart {
    /// The encoding that it is a part of.
    pub key: CopyKey,
    /// Position of the part in it.
    pub offset: u64,
    /// The bytes from there on.
    pub bytes: Vec<u8>,
}

/// Declarations that are newer than the entry's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclarationUpdate {
    /// Change number of the declarations.
    pub change: u64,
    /// Withdrawn failure domains.
    pub withdrawn: BTreeSet<DomainName>,
    /// Published routes.
    pub routes: RouteUpdate,
}

impl DeclarationUpdate {
    /// Whether the update has the complete route table.
    #[must_use]
    pub fn has_full_table(&self) -> bool {
        matches!(self.routes, RouteUpdate::Full(..))
    }
}

/// Published routes, complete or as a difference.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteUpdate {
    /// No routes are published yet.
    None,
    /// The complete table, with the services that each address has been routed to before.
    Full(Arc<RouteTable>, Arc<FormerServices>),
    /// Difference to the table of the declarations that the entry's cursor refers to.
    Difference(RouteDifference),
}
