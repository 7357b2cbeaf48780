//! Messages between control instances, and the log entries and positions that they carry.

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
    /// Change of the replicated state.
    pub command: Command,
}

/// What a voter is known to have promised from its data folder. A folder that contradicts its mark is an
/// older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseMark {
    /// Highest term in which it voted or confirmed entries.
    pub term: Term,
    /// Whether it voted in that term.
    pub voted: bool,
    /// Last entry that it confirmed in that term.
    pub confirmed: Position,
    /// Highest incarnation in which it has asked to rejoin.
    pub incarnation: Incarnation,
}

impl PromiseMark {
    /// Merges what another instance knows about the same voter. Returns whether this changes the mark.
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

/// Promise marks by voter.
pub type PromiseMarks = BTreeMap<Voter, PromiseMark>;

/// Incarnations of voters that have asked to rejoin. What a voter promised in a lower incarnation is void,
/// because its folder may be an older copy.
pub type Incarnations = BTreeMap<Voter, Incarnation>;

/// A message with the identity, incarnation and term of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender and its data folder.
    pub sender: Voter,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Data folder that the message is for; `None` for any folder of the receiver.
    pub to_disk: Option<u64>,
    /// Current term of the sender.
    pub term: Term,
    /// Kind of the message and its content.
    pub body: MessageBody,
}

/// Kinds of messages with their content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether an election could be won, without raising the term.
    PreVote {
        /// Term of the election, one above the sender's.
        next: Term,
        /// End of the sender's log.
        last: Position,
    },
    /// Responds to `PreVote`.
    PreVoteReply {
        /// Term of the election, copied from the request.
        next: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// End of the sender's log.
        last: Position,
    },
    /// Responds to `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
        /// Incarnations that the sender knows.
        starts: Incarnations,
    },
    /// Replicates log entries; a heartbeat when there are none.
    Append {
        /// Position before the first entry.
        prev: Position,
        /// Entries that follow `prev`.
        entries: Vec<LogEntry>,
        /// Last committed entry.
        commit: Revision,
        /// Send time in microseconds since the start of the leader's process.
        sent_us: u64,
        /// Promise marks that the leader knows.
        marks: PromiseMarks,
    },
    /// Responds to `Append` once the entries are synced.
    AppendReply {
        /// Last entry known to equal the leader's; `None` when `prev` did not match.
        matched: Option<Revision>,
        /// End of the sender's log, or after a mismatch the entry after which to continue.
        last: Revision,
        /// Incarnations that the sender knows.
        starts: Incarnations,
        /// Copied from the request.
        sent_us: u64,
    },
    /// Carries one part of a snapshot.
    Chunk {
        /// Last entry that the snapshot includes.
        at: Position,
        /// Length of the whole snapshot, in bytes.
        total: u64,
        /// Offset of this part, in bytes.
        offset: u64,
        /// Bytes of this part.
        bytes: Vec<u8>,
        /// Send time in microseconds since the start of the leader's process.
        sent_us: u64,
    },
    /// Responds to `Chunk` with the next part that is missing.
    ChunkReply {
        /// Last entry that the snapshot includes.
        at: Position,
        /// Offset of the next part, in bytes.
        next: u64,
        /// Copied from the request.
        sent_us: u64,
    },
    /// Announces an instance that does not vote; sent at each heartbeat interval while it has no leader.
    Hello {
        /// Whether its log is empty.
        empty: bool,
    },
    /// Forms the first set of voters; accepted only by an instance with an empty log.
    Form {
        /// All voters, the sender and the receiver included.
        voters: BTreeSet<Voter>,
    },
    /// Asks what the receiver knows about the sender, which has restarted. The sender's incarnation identifies
    /// the request.
    RejoinAsk,
    /// Responds to `RejoinAsk`.
    RejoinReply {
        /// Incarnation copied from the request.
        asked: Incarnation,
        /// End of the sender's log.
        last: Position,
        /// Promise mark of the restarted instance; `None` when the sender has none.
        mark: Option<PromiseMark>,
        /// Index and voters of the last change of voters in the sender's log.
        config: (Revision, BTreeSet<Voter>),
    },
    /// Responds at once to an `Append` whose `AppendReply` waits for a sync. It confirms no entry.
    Heard {
        /// Copied from the request.
        sent_us: u64,
    },
}
