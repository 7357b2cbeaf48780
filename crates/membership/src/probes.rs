//! Messages and actions of the failure detector.

use crate::members::{MemberState, MemberUpdate};
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Messages between detectors. Each carries the sender's own state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetectorMessage {
    /// The sender's statement about itself.
    pub sender: MemberUpdate,
    /// Updates passed on.
    pub updates: Vec<MemberUpdate>,
    /// What the message is for.
    pub body: DetectorBody,
}

/// Purpose of a detector message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DetectorBody {
    /// Asks for an `Ack`.
    Probe {
        /// Number of the probe.
        number: u32,
        /// On whose behalf the sender probes.
        origin: Option<InstanceId>,
    },
    /// Confirms a probe.
    Ack {
        /// Number of the probe.
        number: u32,
        /// As in the probe.
        origin: Option<InstanceId>,
    },
    /// Asks the receiver to probe another member.
    ProbeRequest {
        /// Number of the probe.
        number: u32,
        /// The member to probe.
        target: InstanceId,
    },
    /// Passes on the `Ack` of a requested probe.
    IndirectAck {
        /// Number of the probe.
        number: u32,
        /// The member that responded.
        target: MemberUpdate,
    },
    /// A part of the member list, in `updates`.
    Sync {
        /// Whether the receiver should send its whole list.
        want: bool,
    },
}

/// How the live set changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The member is live for the first time, or again.
    Alive,
    /// A newer start of the member replaced the older one.
    Restarted,
    /// The member is suspected; it still counts as live.
    Suspected,
    /// The member was declared dead.
    Dead,
    /// The member stopped gracefully.
    Left,
}

impl MemberChange {
    /// The change from one statement about a member to the next, if it matters.
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

/// What the daemon has to do.
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
        /// How.
        change: MemberChange,
        /// The member's new state.
        member: MemberUpdate,
    },
    /// Another process with this instance number and a higher incarnation exists; this one must stop.
    Superseded(Incarnation),
}
