//! Messages between the control leader, relays and entries that install revisions and renew leases.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Phase of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum InstallPhase {
    /// Entries stage the revision and treat the slots that it moves as in transition.
    Prepare,
    /// Entries put the staged revision in effect.
    Activate,
}

/// Revision that the leader installs, and the phase of its installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DesiredRevision {
    /// The revision to install.
    pub revision: Revision,
    /// Phase that entries carry out.
    pub phase: InstallPhase,
}

/// Revisions that an entry has staged and put in effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct InstallProgress {
    /// Newest revision that is staged.
    pub prepared: Revision,
    /// Revision that is in effect.
    pub active: Revision,
}

/// Time on an entry's local clock at which it requested a lease. The lease runs from this time, so that a
/// delayed grant does not extend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseToken {
    /// Random number of this run of the process; tokens of an earlier run are ignored.
    pub nonce: u32,
    /// Time of the request, in milliseconds since the process started.
    pub at_ms: u64,
}

/// Entries to which a relay forwards messages. The relay itself is not listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMembers {
    /// Version of the list within the term.
    pub version: u32,
    /// Entries of the group other than the relay.
    pub ids: Vec<InstanceId>,
}

/// Consecutive commands of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandDelta {
    /// Revision that precedes the first command.
    pub from: Revision,
    /// The commands, one per revision.
    pub commands: Vec<Command>,
}

impl CommandDelta {
    /// Revision after the last command.
    #[must_use]
    pub fn to(&self) -> Revision {
        Revision(self.from.0 + self.commands.len() as u64)
    }
}

/// Part of an encoded snapshot of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Zero-based index of the part.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub total: u32,
    /// Content of the part.
    pub bytes: Vec<u8>,
}

/// Messages about revisions and leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstallMessage {
    /// From the leader to a relay. An entry that is contacted directly is a relay without members.
    Heartbeat {
        /// Term of the leader.
        term: Term,
        /// Revision to install.
        goal: DesiredRevision,
        /// Version of `members`; 0 without a list.
        version: u32,
        /// The member list, sent until the relay reports its version.
        members: Option<RelayMembers>,
        /// Numbers of the reports whose tokens are granted a lease.
        granted: Vec<u64>,
        /// Entries in these reports that are granted no lease.
        withheld: Vec<InstanceId>,
    },
    /// From a relay to the leader: progress of the entries that responded since the last report.
    Report {
        /// Term of the leader.
        term: Term,
        /// Number of the report.
        number: u64,
        /// Version of the member list that the relay uses.
        version: u32,
        /// Entries grouped by progress.
        states: Vec<(InstallProgress, Vec<InstanceId>)>,
        /// Whether the report contains an entry that has missed a grant.
        urgent: bool,
    },
    /// Heartbeat from a relay to an entry.
    Beat {
        /// Term of the leader.
        term: Term,
        /// The leader.
        leader: InstanceId,
        /// Revision to install.
        goal: DesiredRevision,
        /// Token for which a lease is granted; `None` for a heartbeat without a grant.
        granted: Option<LeaseToken>,
    },
    /// From an entry to its relay, in response to a `Beat` and after each step of an installation.
    Status {
        /// Term of the leader.
        term: Term,
        /// Token for the next grant.
        token: LeaseToken,
        /// Revisions staged and in effect at the entry.
        progress: InstallProgress,
    },
    /// From the leader to relays and from relays to entries: a new revision to install, with its
    /// commands.
    Install {
        /// Term of the leader.
        term: Term,
        /// Revision to install.
        goal: DesiredRevision,
        /// Commands that lead to it from the previous revision.
        delta: CommandDelta,
    },
    /// Requests the state that follows a revision.
    Fetch {
        /// Newest revision staged at the sender.
        have: Revision,
        /// Revision of the snapshot that is being received, and the next missing part.
        part: Option<(Revision, u32)>,
        /// Whether to send only state that is in effect at the receiver.
        active_only: bool,
    },
    /// Response to `Fetch` when the receiver still keeps the commands after `have`.
    Delta(CommandDelta),
    /// Response to `Fetch` otherwise: one part of a snapshot.
    Chunk(SnapshotChunk),
    /// Request of a restarted entry for the revision that is in effect.
    AskNewest,
    /// Response to `AskNewest`.
    Newest {
        /// Newest term known to the sender.
        term: Term,
        /// Revision in effect at the sender.
        active: Revision,
        /// Whether the sender has restarted too and has not recovered yet.
        recovering: bool,
    },
    /// Response to a message that was refused.
    Refused {
        /// `OldTerm` or `OldRevision`: 5003 or 5004.
        code: ResultCode,
        /// Term known to the sender.
        term: Term,
        /// Newest revision known to the sender.
        revision: Revision,
    },
}
