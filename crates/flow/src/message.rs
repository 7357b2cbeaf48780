//! Messages between entries. The network may lose, reorder and duplicate frames. A frame with a
//! sequence number is retransmitted until it is acknowledged, so every message must be idempotent.

use crate::flow::FlowHash;
use crate::targets::TargetRef;
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use serde::{Deserialize, Serialize};

/// Why a message pins flows to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinKind {
    /// The arbiter's decision, for its backup and the entry that forwarded the packet. Replaces the
    /// receiver's record.
    Decision,
    /// Flows that the sender has seen, for the arbiter. The arbiter's records have precedence.
    Claim,
    /// Flows that stay on their target after the end of a transition, for all entries.
    Exception,
    /// Flows that still have packets, for the arbiter and its backup.
    Refresh,
}

/// Flows that belong to one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinGroup {
    /// Target that the flows are pinned to.
    pub target: TargetRef,
    /// Hashes of the flows.
    pub flows: Vec<FlowHash>,
}

/// Slots in transition that share base target and versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransitionGroup {
    /// Target of the slots at the last stable version; `None` if it no longer exists.
    pub base: Option<TargetRef>,
    /// Version at which the slots were last stable.
    pub stable: Revision,
    /// Last version that changed the slots' target.
    pub moved: Revision,
    /// Numbers of the slots.
    pub slots: Vec<u16>,
}

/// Body of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet for the arbiter of its slot.
    Forward {
        /// How often the packet was forwarded between entries, this time included.
        hops: u8,
        /// The receiver decides in place of the sender, which is the new arbiter but not yet
        /// authoritative, or is not yet synced.
        proxy: bool,
        /// The IP packet.
        packet: Vec<u8>,
    },
    /// Flows pinned to their targets.
    Pins {
        /// Service of the flows.
        service: ServiceId,
        /// Why they are pinned, which decides about precedence.
        kind: PinKind,
        /// Flows by target.
        groups: Vec<PinGroup>,
    },
    /// All slots that are in transition at the sender.
    State {
        /// Whether the sender has applied all transitions.
        synced: bool,
        /// Active version of the sender.
        active: Revision,
        /// Newest version that the sender has prepared or activated.
        through: Revision,
        /// The sender has applied all moves by versions after this one: each is listed or has
        /// ended.
        known_since: Revision,
        /// Slots in transition by service; those of services not listed are stable.
        services: Vec<(ServiceId, Vec<TransitionGroup>)>,
    },
    /// The sender has handed over everything that its set of live entries requires.
    Marker {
        /// Digest of the set of live entries.
        view: u64,
    },
    /// The sender has reported all flows that it has seen in slots moved up to a version.
    ReportsDone {
        /// Last version that the reports cover.
        through: Revision,
    },
    /// The slots' transitions have ended, and their exceptions have been sent.
    Stable {
        /// Service of the slots.
        service: ServiceId,
        /// Version whose table applies to the slots from now on.
        version: Revision,
        /// Numbers of the slots.
        slots: Vec<u16>,
    },
    /// Requests the state, pins and exceptions that an added entry needs.
    Sync,
}

/// Unit of transmission between entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Sequence number to acknowledge; 0 for a message that is sent once.
    pub seq: u64,
    /// Acknowledged sequence numbers of the receiver.
    pub acks: Vec<u64>,
    /// Body of the frame; `None` if it only acknowledges.
    pub message: Option<Message>,
}

/// A frame to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination of the frame.
    pub to: InstanceId,
    /// Frame to send.
    pub frame: Frame,
}
