//! Messages between entries. The network is lossy and unordered: a frame with a sequence number is
//! sent again until it is acknowledged, and every message may arrive more than once.

use crate::flow::FlowHash;
use crate::targets::TargetRef;
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use serde::{Deserialize, Serialize};

/// Why flows are listed next to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinKind {
    /// The arbiter's decision, for its backup and the entry that asked. Replaces what is known.
    Decision,
    /// Flows that the sender has seen, for the arbiter. What the arbiter knows has precedence.
    Claim,
    /// Flows that stay on their target after the end of a transition, for all entries.
    Exception,
    /// Flows that are still live, for the arbiter and its backup.
    Refresh,
}

/// Flows that belong to one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinGroup {
    /// The target.
    pub target: TargetRef,
    /// Its flows.
    pub flows: Vec<FlowHash>,
}

/// Slots in transition that share their base target and versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovingGroup {
    /// Target of the last stable version, if it still serves.
    pub base: Option<TargetRef>,
    /// Version at which the slots were last stable.
    pub stable: Revision,
    /// Last version that changed the slots' target.
    pub moved: Revision,
    /// The slots.
    pub slots: Vec<u16>,
}

/// Body of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet for the arbiter of its slot.
    Forward {
        /// Times that the packet was forwarded between entries, this one included.
        hops: u8,
        /// The sender is the arbiter, but has not yet taken over from the receiver.
        proxy: bool,
        /// The IP packet.
        packet: Vec<u8>,
    },
    /// Flows and their targets.
    Pins {
        /// Service of the flows.
        service: ServiceId,
        /// Why they are listed.
        kind: PinKind,
        /// The flows by target.
        groups: Vec<PinGroup>,
    },
    /// All slots that are in transition at the sender.
    State {
        /// Whether the sender knows of all transitions.
        synced: bool,
        /// Version in force at the sender.
        active: Revision,
        /// Newest version that the sender has prepared or in force.
        through: Revision,
        /// The sender knows of all moves by versions after this one: they are listed or have ended.
        known_since: Revision,
        /// Slots in transition by service; those of services not listed are stable.
        services: Vec<(ServiceId, Vec<MovingGroup>)>,
    },
    /// The sender uses this set of live entries and has handed over all that it calls for.
    Marker {
        /// Digest of the set of live entries.
        view: u64,
    },
    /// All flows that the sender has seen in slots moved up to this version have been reported.
    ReportsDone {
        /// The version.
        through: Revision,
    },
    /// The slots' transition has ended, and their exceptions have been sent.
    Stable {
        /// Service of the slots.
        service: ServiceId,
        /// Version whose table holds for the slots from now on.
        version: Revision,
        /// The slots.
        slots: Vec<u16>,
    },
    /// The sender asks for everything an entry that joins needs.
    Sync,
}

/// What one entry sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Sequence number to acknowledge; 0 for a message that is sent once.
    pub seq: u64,
    /// Sequence numbers of the receiver that the sender has received.
    pub acks: Vec<u64>,
    /// The message; `None` when the frame only acknowledges.
    pub message: Option<Message>,
}

/// A frame with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving entry.
    pub to: InstanceId,
    /// What to send.
    pub frame: Frame,
}
