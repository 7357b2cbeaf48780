//! Messages between control instances, and the log types that they carry.

use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Incarnation, Revision, Term};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A position in a log. The derived order (term first) decides which log is more up to date.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash,
)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry; 0 is the position before the first one.
    pub index: Revision,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created it.
    pub term: Term,
    /// What it changes.
    pub command: Command,
}

/// What a voter is known to have promised from its disk. A folder that contradicts its mark is an
/// older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseMark {
    /// Highest term in which it voted or confirmed entries.
    pub term: Term,
    /// Whether it voted in that term.
    pub voted: bool,
    /// Last entry that it confirmed in that term.
    pub confirmed: Position,
    /// Highest start number under which it has asked to rejoin.
    pub incarnation: Incarnation,
}

impl PromiseMark {
    /// Takes in what another instance knows about the same voter. Returns whether anything is new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = *self;
        let incarnation = self.incarnation.max(other.incarnation);
        if other.term > self.term {
            *self = *other;
        } else if other.term == self.term {
            self.voted |= other.voted;
            if other.confirmed.index > self.confirmed.index {
                self.confirmed = other.confirmed;
            }
        }
        self.incarnation = incarnation;
        *self != before
    }
}

/// Marks by voter.
pub type PromiseMarks = BTreeMap<Voter, PromiseMark>;

/// Start numbers of voters that have asked to rejoin. What a voter promised under a lower number counts
/// no longer, because its folder may be an older copy.
pub type Incarnations = BTreeMap<Voter, Incarnation>;

/// A message with what every receiver needs to know about its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender with its data folder.
    pub sender: Voter,
    /// Start number of the sender's process.
    pub incarnation: Incarnation,
    /// Data folder that the message is meant for; `None` for any.
    pub to_disk: Option<u64>,
    /// Current term of the sender.
    pub term: Term,
    /// What the message says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether an election could be won, without raising the term.
    PreVote {
        /// Term of the election.
        next: Term,
        /// End of the sender's log.
        last: Position,
    },
    /// Answers `PreVote`.
    PreVoteReply {
        /// Term of the election.
        next: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answers `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
        /// Known restarts.
        starts: Incarnations,
    },
    /// Replicates entries; without entries, a heartbeat.
    Append {
        /// Position before the first entry.
        prev: Position,
        /// Entries that follow `prev`.
        entries: Vec<LogEntry>,
        /// Last entry accepted by a majority.
        commit: Revision,
        /// The leader's time of sending, in microseconds since its start.
        sent_us: u64,
        /// What voters are known to have promised.
        marks: PromiseMarks,
    },
    /// Answers `Append`, after the entries are synced.
    AppendReply {
        /// Last entry that equals the leader's; `None` when `prev` did not match.
        matched: Option<Revision>,
        /// End of the sender's log, where to continue after a mismatch.
        last: Revision,
        /// Known restarts.
        starts: Incarnations,
        /// Copied from the request.
        sent_us: u64,
    },
    /// Part of a snapshot.
    Chunk {
        /// Position that the snapshot includes.
        at: Position,
        /// Length of the whole snapshot, in bytes.
        total: u64,
        /// Offset of this part, in bytes.
        offset: u64,
        /// The part.
        bytes: Vec<u8>,
        /// The leader's time of sending, in microseconds since its start.
        sent_us: u64,
    },
    /// Asks for the next part of a snapshot.
    ChunkReply {
        /// Position that the snapshot includes.
        at: Position,
        /// Offset of the next part, in bytes.
        next: u64,
        /// Copied from the request.
        sent_us: u64,
    },
    /// Announces an instance that is no voter.
    Hello {
        /// Whether its log is empty.
        empty: bool,
    },
    /// Forms the first set of voters; accepted only by an instance with an empty log.
    Form {
        /// The voters.
        voters: BTreeSet<Voter>,
    },
    /// Asks what the receiver knows about the sender, which has restarted.
    RejoinAsk,
    /// Answers `RejoinAsk`.
    RejoinReply {
        /// Start number copied from the request.
        asked: Incarnation,
        /// End of the log.
        last: Position,
        /// What is known about the restarted instance.
        mark: Option<PromiseMark>,
        /// Last change of voters in the log, with its index.
        config: (Revision, BTreeSet<Voter>),
    },
}
