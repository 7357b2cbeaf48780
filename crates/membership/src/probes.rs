//! Messages and actions of the failure detector.

use crate::members::{MemberState, MemberUpdate};
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Message between two detectors. Each one carries the state of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetectorMessage {
    /// The sender's statement about itself.
    pub sender: MemberUpdate,
    /// Updates that the sender disseminates.
    pub updates: Vec<MemberUpdate>,
    /// Purpose of the message.
    pub body: DetectorBody,
}

/// Purpose of a detector message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DetectorBody {
    /// Requests an `Ack`.
    Probe {
        /// Number of the probe.
        number: u32,
        /// The member that requested the probe; `None` for a direct probe.
        origin: Option<InstanceId>,
    },
    /// Confirms a probe.
    Ack {
        /// Number of the probe.
        number: u32,
        /// `origin` of the probe.
        origin: Option<InstanceId>,
    },
    /// Requests that the receiver probe another member.
    ProbeRequest {
        /// Number of the probe.
        number: u32,
        /// The member to probe.
        target: InstanceId,
    },
    /// Reports the `Ack` of a requested probe to the member that requested it.
    IndirectAck {
        /// Number of the probe.
        number: u32,
        /// The member that responded.
        target: MemberUpdate,
    },
    /// A part of the member list, in `updates`.
    Sync {
        /// Whether the sender requests the whole member list of the receiver.
        want: bool,
    },
}

/// How the live set changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The member is live for the first time, or again.
    Alive,
    /// A newer incarnation of the member replaced the older one.
    Restarted,
    /// The member is suspected; it still counts as live.
    Suspected,
    /// The member was declared dead.
    Dead,
    /// The member stopped gracefully.
    Left,
}

impl MemberChange {
    /// The change between two successive statements about a member; `None` when the member merely
    /// stays alive.
    #[must_use]
    pub fn between(old: Option<MemberUpdate>, new: MemberUpdate) -> Option<Self> {
        match new.state {
            MemberState::Suspect => Some(Self::Suspected),
            MemberState::Dead => Some(Self::Dead),
            MemberState::Left => Some(Self::Left),
            MemberState::Alive => match old {
                Some(old) if old.rank.incarnation < new.rank.incarnation => Some(Self::Restarted),
                Some(old) if old.state == MemberState::Alive => None,
                _ => Some(Self::Alive),
            },
        }
    }
}

/// Action that the daemon has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a message.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: DetectorMessage,
    },
    /// A member's state changed.
    Changed {
        /// Kind of change.
        change: MemberChange,
        /// The new statement about the member.
        member: MemberUpdate,
    },
    /// Another process runs under this instance number with this higher incarnation, so this one must
    /// stop.
    Superseded(Incarnation),
}
