//! Flows on a fabric whose packets carry a mark that both ends repeat: the flow cookie.
//!
//! The entry that places a flow writes the cookie of the chosen target into the opening packet. The target
//! and then the caller repeat it, so that any entry finds the flow's target without having seen the flow
//! before and without asking another entry. Slot tables and arbiters remain for fabrics without a mark.

pub mod balancer;
pub mod directory;
pub mod flows;
pub mod health;
pub mod openings;
pub mod placement;
pub mod startup_buffer;

pub use balancer::{Balancer, BalancerSettings};
pub use directory::{Directory, TargetKey};
pub use startup_buffer::StartupBuffer;

use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Mark of a flow's target in the packets of the flow. 0 means that there is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cookie(pub u32);

impl Cookie {
    /// The cookie of one start of a target. All entries derive the same one, without agreement.
    #[must_use]
    pub fn of(id: TargetId, born_ms: u64) -> Self {
        let mut hasher = SipHasher13::new();
        (id, born_ms).hash(&mut hasher);
        let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]).max(1))
    }
}

/// Both ends of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The service address.
    pub service: SocketAddrV4,
}

/// What a packet is for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Asks to open a flow.
    Open {
        /// How many copies of it were sent before.
        copy: u32,
    },
    /// Belongs to an open flow.
    Established,
    /// Says that the caller sends nothing more.
    Finish,
    /// Ends the flow at once.
    Abort,
}

/// What the balancer needs to know about a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerPacket {
    /// Its flow.
    pub flow: FlowKey,
    /// What it is for the flow.
    pub kind: PacketKind,
    /// The mark that it carries.
    pub cookie: Cookie,
    /// Its sequence number.
    pub seq: u32,
    /// The last sequence number that the caller has received.
    pub ack: u32,
    /// Bytes of data.
    pub data: u16,
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// To a target, with this mark.
    Forward {
        /// The target; no other one may take the packet.
        target: TargetId,
        /// Where it takes packets.
        address: SocketAddrV4,
        /// The mark to write.
        cookie: Cookie,
        /// Time since the last opening packet, if this packet shows that the target has answered it.
        answered: Option<Duration>,
    },
    /// The caller is told that its flow does not exist.
    Reset(ResetReason),
    /// Nowhere yet: it is to be decided about again after this time.
    Defer(Duration),
    /// Nowhere; the caller sends it again if it matters.
    Discard(DiscardReason),
}

/// Why a caller is told that its flow does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ResetReason {
    /// No route has this service address.
    NoRoute,
    /// No target of the service takes new flows.
    NoTarget,
    /// The route of an open flow was removed.
    RouteRemoved,
    /// The target of an open flow has ended.
    TargetEnded,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DiscardReason {
    /// No routes are known here yet.
    NotReady,
    /// No route has its service address, and it does not open a flow.
    UnknownRoute,
    /// It names no target that is known here.
    UnknownTarget,
    /// It names a target of a service that its route never led to.
    ForeignTarget,
    /// It asks to open a flow whose request is late anyway, while new ones surge. The caller asks again.
    Surge,
    /// It asks to open a flow and has waited here for so long that the caller has asked again.
    LateOpening,
}
