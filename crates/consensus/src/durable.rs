//! What a control instance keeps on its disk, and the changes it makes to it.

use crate::message::{LogEntry, Marks, Position};
use comfreyhold_types::declarations::{Declarations, Voter};
use comfreyhold_types::keys::{Revision, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Term and vote. A response that depends on them waits for their sync.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Candidate that got the vote in this term.
    pub vote: Option<Voter>,
}

/// The replicated state up to a position, encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that it includes.
    pub at: Position,
    /// Encoded [`Declarations`].
    pub bytes: Arc<Vec<u8>>,
}

impl Snapshot {
    /// Encodes a state.
    #[must_use]
    pub fn encode(at: Position, state: &Declarations) -> Self {
        let bytes = postcard::to_stdvec(state).unwrap_or_default();
        Self { at, bytes: Arc::new(bytes) }
    }

    /// Decodes the state; `None` when the bytes are not a state at this position.
    #[must_use]
    pub fn decode(&self) -> Option<Declarations> {
        if self.at == Position::default() && self.bytes.is_empty() {
            return Some(Declarations::default());
        }
        let state: Declarations = postcard::from_bytes(&self.bytes).ok()?;
        (state.revision == self.at.index).then_some(state)
    }
}

/// One set of changes that is synced as a whole, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// New term and vote.
    pub hard: Option<HardState>,
    /// New snapshot; entries before `keep_from` are dropped.
    pub snapshot: Option<SnapshotChange>,
    /// Drops this entry and all that follow.
    pub truncate: Option<Revision>,
    /// Entries to add, the first with its index.
    pub entries: Option<(Revision, Vec<LogEntry>)>,
    /// What voters are known to have promised.
    pub marks: Option<Marks>,
}

/// A snapshot with what it makes obsolete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChange {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// First entry that stays; `None` drops the whole log, which contradicts the snapshot.
    pub keep_from: Option<Revision>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Content of a data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durable {
    /// Term and vote.
    pub hard: HardState,
    /// Last snapshot.
    pub snapshot: Snapshot,
    /// Index of the first entry in `entries`.
    pub first: Revision,
    /// Entries in order.
    pub entries: Vec<LogEntry>,
    /// What voters are known to have promised.
    pub marks: Marks,
}

impl Durable {
    /// Applies a batch, as a synced write does to the folder.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(hard) = batch.hard {
            self.hard = hard;
        }
        if let Some(change) = &batch.snapshot {
            self.snapshot = change.snapshot.clone();
            match change.keep_from {
                Some(from) => self.drop_before(from),
                None => self.entries.clear(),
            }
        }
        if let Some(from) = batch.truncate {
            self.drop_from(from);
        }
        if let Some((first, entries)) = &batch.entries {
            self.append(*first, entries.clone());
        }
        if let Some(marks) = &batch.marks {
            self.marks.clone_from(marks);
        }
    }

    /// Drops entries before `from`.
    pub fn drop_before(&mut self, from: Revision) {
        let count = from.0.saturating_sub(self.first.0).min(self.entries.len() as u64);
        self.entries.drain(..usize::try_from(count).unwrap_or(usize::MAX));
        self.first.0 += count;
    }

    /// Drops `from` and later entries.
    pub fn drop_from(&mut self, from: Revision) {
        let keep = from.0.saturating_sub(self.first.0);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Adds entries. Returns false when they do not follow the last one.
    pub fn append(&mut self, first: Revision, entries: Vec<LogEntry>) -> bool {
        if self.entries.is_empty() {
            self.first = first;
        }
        if first.0 != self.first.0 + self.entries.len() as u64 {
            return false;
        }
        self.entries.extend(entries);
        true
    }
}
