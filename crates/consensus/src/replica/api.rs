//! What a daemon passes to the core and gets back.

use crate::durable::WriteBatch;
use crate::message::Message;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::{Command, Outcome, Voter};
use comfreyhold_types::keys::{Incarnation, InstanceId, Revision, Term};
use std::collections::BTreeSet;
use std::time::Duration;

/// Settings of one control instance.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// This instance with its data folder.
    pub me: Voter,
    /// Start number of this process; it must grow with every start, even on a restored folder.
    pub incarnation: Incarnation,
    /// All control instances.
    pub members: BTreeSet<InstanceId>,
    /// Whether members with empty logs may form the first set of voters.
    pub may_form_voters: bool,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout; the longest is twice that. Also the limit of the quorum check.
    pub election: Duration,
    /// After this time a restarted voter joins with the responses of half of the other voters. `None`
    /// waits for as many as needed to find every older copy of a folder.
    pub rejoin_grace: Option<Duration>,
    /// Number of entries. The grace ends only once more than half of them have reported what they hold.
    pub entry_count: usize,
    /// After this time a restarted voter no longer waits for the reports of entries.
    pub entry_report_timeout: Duration,
    /// Most entries per message.
    pub max_entries: usize,
    /// Most entries sent to a follower without a response.
    pub max_inflight: u64,
    /// Length of a snapshot part, in bytes.
    pub chunk_bytes: usize,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    /// Entries kept after a snapshot for followers that are slightly behind.
    pub keep_entries: u64,
}

impl ReplicaSettings {
    /// Default settings for an instance.
    #[must_use]
    pub fn new(me: Voter, incarnation: Incarnation, members: BTreeSet<InstanceId>) -> Self {
        Self {
            me,
            incarnation,
            members,
            may_form_voters: false,
            heartbeat: Duration::from_millis(150),
            election: Duration::from_millis(750),
            rejoin_grace: Some(Duration::from_secs(3)),
            entry_count: 0,
            // Longer than an entry takes to restart, recover and reconnect.
            entry_report_timeout: Duration::from_secs(30),
            max_entries: 64,
            max_inflight: 256,
            chunk_bytes: 16 * 1024,
            snapshot_every: 1_000,
            keep_entries: 1_000,
        }
    }
}

/// Number that the daemon gives to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message(Message),
    /// The batch with this number, and every earlier one, is synced.
    Persisted(u64),
    /// The data folder has failed. The instance neither votes nor replicates until its restart.
    StorageFault(ResultCode),
    /// An entry holds the state of this revision, so it was accepted.
    EntryReport {
        /// The entry.
        entry: InstanceId,
        /// Newest revision that it holds.
        revision: Revision,
    },
    /// An operator or the control daemon proposes a change.
    Propose {
        /// Number of the proposal.
        request: RequestId,
        /// The change.
        command: Command,
    },
    /// An operator replaces a voter whose disk is lost.
    Replace {
        /// Number of the operation.
        request: RequestId,
        /// The voter that is lost.
        old: Voter,
        /// The learner that takes its place.
        new: Voter,
    },
}

/// Output of the core, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may get lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Write and sync a batch, then report `Persisted` with its number, or `StorageFault`.
    Persist {
        /// Number of the batch; batches must be written in order.
        seq: u64,
        /// The changes.
        batch: WriteBatch,
    },
    /// A proposal of this instance was accepted and applied.
    Applied {
        /// Number of the proposal.
        request: RequestId,
        /// Its position in the log.
        revision: Revision,
        /// What applying it came to.
        outcome: Outcome,
    },
    /// A proposal was refused and will never be applied.
    Refused {
        /// Number of the proposal.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// Leader to ask instead, if known.
        leader: Option<InstanceId>,
        /// Explanation for the operator.
        reason: &'static str,
    },
    /// The leadership was lost before the proposal was accepted; it may still be.
    OutcomeUnknown {
        /// Number of the proposal.
        request: RequestId,
    },
    /// The state has advanced to a revision.
    Advanced(Revision),
    /// This instance was elected.
    Elected(Term),
    /// This instance is no longer leader of the term.
    SteppedDown(Term),
}
