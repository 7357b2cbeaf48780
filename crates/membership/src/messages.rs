//! Messages between the control leader, relays and entries about revisions and leases.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Phase of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Entries hold the revision ready and treat what it moves as in transition.
    Prepare,
    /// Entries put the revision in effect.
    Activate,
}

/// What the leader wants installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Goal {
    /// The revision.
    pub revision: Revision,
    /// How far to go with it.
    pub phase: Phase,
}

/// How far an entry has come.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Progress {
    /// Newest revision held ready.
    pub prepared: Revision,
    /// Revision in effect.
    pub active: Revision,
}

/// A point on an entry's own clock, given out before the lease that is counted from it. A lease
/// granted by a delayed message thus ends no later than one granted in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseToken {
    /// Random number of this start of the process; tokens of an earlier one are void.
    pub nonce: u32,
    /// Milliseconds since the process started.
    pub at_ms: u64,
}

/// Entries that a relay forwards to. The relay itself is not listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMembers {
    /// Number of the list within the term.
    pub version: u32,
    /// The entries.
    pub ids: Vec<InstanceId>,
}

/// Consecutive log entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the commands follow.
    pub from: Revision,
    /// The commands, one per revision.
    pub commands: Vec<Command>,
}

impl Delta {
    /// Revision after the last command.
    #[must_use]
    pub fn to(&self) -> Revision {
        Revision(self.from.0 + self.commands.len() as u64)
    }
}

/// Part of an encoded state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Revision of the state.
    pub revision: Revision,
    /// Position of the part.
    pub index: u32,
    /// Number of parts.
    pub total: u32,
    /// The part.
    pub bytes: Vec<u8>,
}

/// Messages about revisions and leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstallMessage {
    /// Leader to relay. An entry without members is a relay for itself only.
    Heartbeat {
        /// Term of the leader.
        term: Term,
        /// What to install.
        goal: Goal,
        /// Version of the member list that the relay should hold.
        version: u32,
        /// The list, until the relay has reported with its version.
        members: Option<RelayMembers>,
        /// Reports whose tokens are granted a lease.
        granted: Vec<u64>,
        /// Entries of these reports that get none.
        withheld: Vec<InstanceId>,
    },
    /// Relay to leader: progress of the entries heard since the last report.
    Report {
        /// Term of the leader.
        term: Term,
        /// Number of the report.
        number: u64,
        /// Version of the member list held.
        version: u32,
        /// Entries by progress.
        states: Vec<(Progress, Vec<InstanceId>)>,
        /// Whether an entry is named that has missed a grant.
        urgent: bool,
    },
    /// Relay to entry.
    Beat {
        /// Term of the leader.
        term: Term,
        /// The leader.
        leader: InstanceId,
        /// What to install.
        goal: Goal,
        /// Token that a lease is granted for.
        granted: Option<LeaseToken>,
    },
    /// Entry to relay, in response to a `Beat` and after each step.
    Status {
        /// Term of the leader.
        term: Term,
        /// Token for the next grant.
        token: LeaseToken,
        /// How far the entry has come.
        progress: Progress,
    },
    /// Leader to relays and relays to entries: a new goal together with its commands.
    Install {
        /// Term of the leader.
        term: Term,
        /// What to install.
        goal: Goal,
        /// Commands that lead there from the previous goal.
        delta: Delta,
    },
    /// Asks for what follows a revision.
    Fetch {
        /// Revision held.
        have: Revision,
        /// Snapshot being received, and the part wanted next.
        part: Option<(Revision, u32)>,
        /// Whether only state in effect at the receiver is wanted.
        active_only: bool,
    },
    /// Response to `Fetch` when the asker is close behind.
    Delta(Delta),
    /// Response to `Fetch` otherwise.
    Chunk(Chunk),
    /// A restarted entry asks what is in effect.
    AskNewest,
    /// Response to `AskNewest`.
    Newest {
        /// Newest term known.
        term: Term,
        /// Revision in effect.
        active: Revision,
        /// Whether the responder has just restarted itself and knows nothing yet.
        recovering: bool,
    },
    /// A message was refused.
    Refused {
        /// 5003 or 5004.
        code: ResultCode,
        /// Term known to the sender.
        term: Term,
        /// Newest revision held by the sender.
        revision: Revision,
    },
}
