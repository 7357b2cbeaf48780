//! Messages between control daemons, and between entries and control daemons.

use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, RegisterResponse, RegisterValue, Replica,
};
use comfreyhold_membership::announcements::{TargetDigests, TargetReport};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp};
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{FormerServices, RouteDifference, RouteTable};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use strum::IntoStaticStr;

/// Number of this protocol among those of the exchange.
pub const TOPIC: u16 = 10;

/// Identity of one start of a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StartId(pub u64);

/// What a control daemon tells about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Its address and folder.
    pub replica: Replica,
    /// Its failure domain.
    pub domain: DomainName,
    /// This start of its process.
    pub start: StartId,
    /// Ballot of the newest value that it knows to be chosen.
    pub chosen: Ballot,
    /// Digests of its targets.
    pub targets: TargetDigests,
    /// Some of the control daemons that it has heard lately.
    pub peers: Vec<SocketAddr>,
}

/// What control daemons tell each other regularly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's state.
    pub state: ControlState,
    /// Targets that have repeated their announcements to the sender since its last hello to the receiver.
    pub repeated: Vec<(TargetId, AnnouncementStamp)>,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetRequest {
    /// For a voter.
    Vote(AddressedRequest),
    /// The sender's news; the response has the receiver's.
    Hello(Hello),
    /// A value was chosen under this ballot; the daemon at this address holds it.
    Chosen(Ballot, SocketAddr),
    /// Asks for the newest chosen value, unless it is this one.
    Newest(Ballot),
    /// Announcements that changed something, or of targets that the receiver does not know.
    Announced(Vec<Announcement>),
    /// Asks for the announcements of targets.
    Announcements(Vec<TargetId>),
    /// A target has said that it ends.
    Ended(TargetId),
    /// An entry asks for what has changed.
    Watch(Watch),
    /// An entry asks which control daemons there are.
    Controls,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// To `Vote`.
    Vote(RegisterResponse),
    /// To `Hello`.
    Hello(Hello),
    /// To `Newest`: the value, if there is a newer one.
    Newest(Option<Arc<RegisterValue>>),
    /// To `Announcements`: those that are known.
    Announcements(Vec<Announcement>),
    /// To requests that need no answer.
    Done,
    /// To `Watch`.
    News(Box<News>),
    /// To `Controls`: those that are known to answer, with their failure domains.
    Controls(Vec<(SocketAddr, DomainName)>),
}

/// What an entry already knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Start of the daemon that the targets came from.
    pub source: StartId,
    /// Revision of the targets there.
    pub targets: u64,
    /// Change number of the declarations.
    pub change: u64,
}

/// What has changed for an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// This start of the daemon.
    pub source: StartId,
    /// Revision of its targets.
    pub revision: u64,
    /// Whether `targets` are all targets and not only the changed ones.
    pub all_targets: bool,
    /// Targets.
    pub targets: Vec<TargetReport>,
    /// Declarations, if there are newer ones.
    pub declarations: Option<DeclarationNews>,
}

/// Newer declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclarationNews {
    /// Their change number.
    pub change: u64,
    /// Failure domains that are out.
    pub withdrawn: BTreeSet<DomainName>,
    /// Routes.
    pub routes: RouteNews,
}

/// Routes for an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteNews {
    /// No routes are published.
    None,
    /// All of them, with the services that each address has led to.
    Full(Arc<RouteTable>, Arc<FormerServices>),
    /// What differs from the declarations with the change number that the entry named.
    Difference(RouteDifference),
}
