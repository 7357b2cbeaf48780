//! Settings, events and actions of a log replica.

use crate::durable::WriteBatch;
use crate::message::Message;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Outcome, Voter};
use comfreyhold_types::keys::{Incarnation, InstanceId, Revision, Term};
use std::collections::BTreeSet;
use std::time::Duration;

/// Settings of one log replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The local instance and its data folder.
    pub me: Voter,
    /// Incarnation of this process. It must grow with every start, even on a restored folder.
    pub incarnation: Incarnation,
    /// All control instances, the local one included.
    pub members: BTreeSet<InstanceId>,
    /// Whether members with empty logs may form the first set of voters.
    pub may_form_voters: bool,
    /// Interval of the leader's heartbeats, and of requests by learners and restarted instances.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; the longest is twice that. A leader without responses of a majority for this
    /// time steps down.
    pub election_timeout: Duration,
    /// Time without a sync on a majority of disks after which a leader refuses proposals. It leads on, since
    /// another leader would have the same disks.
    pub sync_timeout: Duration,
    /// Time after which a restarted voter rejoins with responses of half of the other voters. `None` waits for
    /// as many responses as are needed to find every older copy of a folder.
    pub rejoin_grace: Option<Duration>,
    /// Number of entries. `rejoin_grace` ends only once more than half of them have reported the revision that
    /// they hold.
    pub entry_count: usize,
    /// Time after which a restarted voter no longer waits for the reports of entries.
    pub entry_report_timeout: Duration,
    /// Most log entries per message.
    pub max_entries_per_message: usize,
    /// Most log entries in flight to a follower.
    pub max_inflight_entries: u64,
    /// Length of one part of a snapshot, in bytes.
    pub chunk_bytes: usize,
    /// Number of log entries between two snapshots.
    pub snapshot_interval: u64,
    /// Number of log entries kept before a snapshot, for followers that are slightly behind.
    pub kept_entries: u64,
}

impl ReplicaSettings {
    /// Default settings of an instance.
    #[must_use]
    pub fn new(me: Voter, incarnation: Incarnation, members: BTreeSet<InstanceId>) -> Self {
        Self {
            me,
            incarnation,
            members,
            may_form_voters: false,
            heartbeat_interval: Duration::from_millis(150),
            election_timeout: Duration::from_millis(750),
            // As long as an operator's call waits for its outcome.
            sync_timeout: Duration::from_secs(3),
            rejoin_grace: Some(Duration::from_secs(3)),
            entry_count: 0,
            // Longer than an entry needs to restart, recover and reconnect.
            entry_report_timeout: Duration::from_secs(30),
            max_entries_per_message: 64,
            max_inflight_entries: 256,
            chunk_bytes: 16 * 1024,
            snapshot_interval: 1_000,
            kept_entries: 1_000,
        }
    }
}

/// Identifies a proposal. The daemon chooses it, and the action that ends the proposal repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Input of a log replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due at [`LogReplica::next_tick`](super::LogReplica::next_tick).
    Tick,
    /// A message of another control instance has arrived.
    Message(Message),
    /// The batch with this number, and every earlier one, is synced.
    Persisted(u64),
    /// The data folder has failed. The replica neither votes nor replicates until its restart, or until the
    /// folder has recovered.
    StorageFault(ResultCode),
    /// The data folder accepts writes again, and every batch issued so far is synced.
    StorageRecovered,
    /// An entry has reported the newest revision that it holds, which is therefore committed.
    EntryReport {
        /// Entry that sent the report.
        entry: InstanceId,
        /// Newest revision that it holds.
        revision: Revision,
    },
    /// An operator or the control daemon proposes a change.
    Propose {
        /// Identifies the proposal.
        request: RequestId,
        /// Change to replicate.
        command: Command,
    },
    /// An operator replaces a voter whose disk is lost by a learner.
    Replace {
        /// Identifies the replacement.
        request: RequestId,
        /// Voter whose disk is lost.
        old: Voter,
        /// Learner that takes its place.
        new: Voter,
    },
}

/// Output of a log replica, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message, which may get lost.
    Send {
        /// Instance to send it to.
        to: InstanceId,
        /// Message to send.
        message: Message,
    },
    /// Write and sync a batch, then pass `Persisted` with its number, or `StorageFault`, to the replica.
    Persist {
        /// Number of the batch; batches must be written in order.
        seq: u64,
        /// Changes to write.
        batch: WriteBatch,
    },
    /// A proposal made on this instance was committed and applied.
    Applied {
        /// Identifies the proposal.
        request: RequestId,
        /// Index of its log entry.
        revision: Revision,
        /// Result of applying it.
        outcome: Outcome,
    },
    /// A proposal was refused and will never be applied.
    Refused {
        /// Identifies the proposal.
        request: RequestId,
        /// Result code for the operator.
        code: ResultCode,
        /// Leader to send the proposal to, if known.
        leader: Option<InstanceId>,
        /// Explanation for the operator.
        reason: &'static str,
    },
    /// The leadership was lost before the proposal was committed; a later leader may still commit it.
    OutcomeUnknown {
        /// Identifies the proposal.
        request: RequestId,
    },
    /// Committed entries up to this revision have been applied.
    Advanced(Revision),
    /// This replica was elected leader of the term.
    Elected(Term),
    /// This replica is no longer leader of the term.
    SteppedDown(Term),
}
