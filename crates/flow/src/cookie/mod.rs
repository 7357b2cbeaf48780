//! Flow routing on a fabric whose packets carry a cookie that both endpoints echo.
//!
//! The entry that places a flow writes the cookie of the chosen target into the opening packet. The target
//! and then the caller echo it, so that any entry finds the flow's target without having seen the flow
//! before and without asking another entry. Fabrics without a cookie use slot tables and arbiters.

pub mod admission;
pub mod balancer;
pub mod capacity;
pub mod directory;
mod early;
pub mod explain;
pub mod flows;
pub mod habits;
pub mod health;
pub mod openings;
pub mod placement;
mod pressure;
pub mod shared;
pub mod spill;
pub mod startup_buffer;

pub use balancer::{Balancer, BalancerSettings};
pub use directory::{Directory, TargetKey};
pub use startup_buffer::StartupBuffer;

use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Identifies a flow's target in the packets of the flow. 0 means that there is none.
///
/// The upper bits depend on the target's id alone, so that an entry which knows another start of the target than the one
/// that placed the flow still finds it. The lower bits depend on the start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cookie(pub u32);

/// Bits of a cookie that depend on the start of the target.
const START_BITS: u32 = 8;

const START_MASK: u32 = (1 << START_BITS) - 1;

impl Cookie {
    /// Derives the cookie of one incarnation of a target. All entries derive the same one independently.
    #[must_use]
    pub fn of(id: TargetId, born_ms: u64) -> Self {
        let of_id = hash32(&id) & !START_MASK;
        let of_start = hash32(&(id, born_ms)) & START_MASK;
        Self((of_id | of_start).max(1))
    }

    /// The cookies of all incarnations of the target that this one belongs to.
    fn all_starts(self) -> RangeInclusive<Self> {
        Self(self.0 & !START_MASK)..=Self(self.0 | START_MASK)
    }
}

fn hash32(value: &impl Hash) -> u32 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Endpoints of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Service address and port.
    pub service: SocketAddrV4,
}

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens a flow.
    Open {
        /// Number of the retransmission; 0 for the first packet.
        copy: u32,
    },
    /// Belongs to an established flow.
    Established,
    /// Last packet that the caller sends on the flow.
    Finish,
    /// Resets the flow.
    Abort,
}

/// Header fields of a caller's packet that the balancer depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerPacket {
    /// Flow that the packet belongs to.
    pub flow: FlowKey,
    /// Role of the packet in its flow.
    pub kind: PacketKind,
    /// Cookie that the packet carries.
    pub cookie: Cookie,
    /// Sequence number of the packet.
    pub seq: u32,
    /// Last sequence number that the caller has received.
    pub ack: u32,
    /// Length of the data, in bytes.
    pub data: u16,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to a target.
    Forward {
        /// Target of the packet. Another one at the same address must not accept it.
        target: TargetId,
        /// Address and port at which the target receives packets.
        address: SocketAddrV4,
        /// Cookie to write into the packet.
        cookie: Cookie,
        /// Time since the last opening packet, if this packet shows that the target has answered it.
        answered: Option<Duration>,
    },
    /// Send a reset to the caller.
    Reset(ResetReason),
    /// Keep the packet and decide on it again after this time.
    Defer(Duration),
    /// Drop the packet. The caller retransmits it if necessary.
    Discard(DiscardReason),
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ResetReason {
    /// No route has this service address.
    NoRoute,
    /// No target of the service takes new flows.
    NoTarget,
    /// The route of an established flow was removed.
    RouteRemoved,
    /// The target of an established flow has ended.
    TargetEnded,
    /// The targets can't serve the opening before its attempt ends.
    Overloaded,
    /// The entry's own link can't carry the flow in time.
    LinkFull,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DiscardReason {
    /// This entry has not received any routes yet.
    NotReady,
    /// No route has the service address, and the packet does not open a flow.
    UnknownRoute,
    /// The cookie belongs to no target in the directory of this entry.
    UnknownTarget,
    /// The cookie belongs to a target of a service that the route never led to.
    ForeignTarget,
    /// Opening during a surge whose request is late in any case. The caller retransmits it.
    Surge,
    /// Opening that has waited for room until its retransmission, which takes its place.
    Overload,
    /// Opening that has waited here for so long that the caller has retransmitted it.
    LateOpening,
}
