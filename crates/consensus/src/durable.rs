//! State that a control instance stores in its data folder, and the batches that change it.

use crate::message::{LogEntry, Position, PromiseMarks};
use comfreyhold_types::declarations::{Declarations, Voter};
use comfreyhold_types::keys::{Revision, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Term and vote. A response that depends on them is sent only after they are synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term of the instance.
    pub term: Term,
    /// Candidate that got the vote in this term; `None` while it is free.
    pub vote: Option<Voter>,
}

/// Encoded replicated state as of a position in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last log entry that it includes.
    pub at: Position,
    /// Encoded [`Declarations`]; empty at the default position.
    pub bytes: Arc<Vec<u8>>,
}

impl Snapshot {
    /// Encodes the state as of a position.
    #[must_use]
    pub fn encode(at: Position, state: &Declarations) -> Self {
        let bytes = postcard::to_stdvec(state).unwrap_or_default();
        Self { at, bytes: Arc::new(bytes) }
    }

    /// Decodes the state; `None` when the bytes do not hold a state as of this position.
    #[must_use]
    pub fn decode(&self) -> Option<Declarations> {
        if self.at == Position::default() && self.bytes.is_empty() {
            return Some(Declarations::default());
        }
        let state: Declarations = postcard::from_bytes(&self.bytes).ok()?;
        (state.revision == self.at.index).then_some(state)
    }
}

/// A set of changes that is synced as a whole. The changes apply in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// New term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// New snapshot, with which entries before `keep_from` are dropped.
    pub snapshot: Option<SnapshotChange>,
    /// First entry to drop; all later ones are dropped too.
    pub truncate_from: Option<Revision>,
    /// Entries to append, with the index of the first one.
    pub entries: Option<(Revision, Vec<LogEntry>)>,
    /// New promise marks of the voters, which replace the stored ones.
    pub marks: Option<PromiseMarks>,
}

/// A snapshot and the first log entry to keep with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChange {
    /// Snapshot to store.
    pub snapshot: Snapshot,
    /// First log entry to keep; `None` drops the whole log, because it contradicts the snapshot.
    pub keep_from: Option<Revision>,
}

impl WriteBatch {
    /// Whether the batch changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Whole content of a data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Snapshot,
    /// Index of the first entry in `entries`; meaningless while there is none.
    pub first_index: Revision,
    /// Log entries in order, without gaps.
    pub entries: Vec<LogEntry>,
    /// Promise marks of the voters.
    pub marks: PromiseMarks,
}

impl DurableState {
    /// Applies a batch, with the same effect as a synced write on the data folder.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(change) = &batch.snapshot {
            self.snapshot = change.snapshot.clone();
            match change.keep_from {
                Some(from) => self.drop_before(from),
                None => self.entries.clear(),
            }
        }
        if let Some(from) = batch.truncate_from {
            self.drop_from(from);
        }
        if let Some((first, entries)) = &batch.entries {
            self.append(*first, entries.clone());
        }
        if let Some(marks) = &batch.marks {
            self.marks.clone_from(marks);
        }
    }

    /// Drops the entries before `from`.
    pub fn drop_before(&mut self, from: Revision) {
        let count = from.0.saturating_sub(self.first_index.0).min(self.entries.len() as u64);
        self.entries.drain(..usize::try_from(count).unwrap_or(usize::MAX));
        self.first_index.0 += count;
    }

    /// Drops the entry at `from` and all later ones.
    pub fn drop_from(&mut self, from: Revision) {
        let keep = from.0.saturating_sub(self.first_index.0);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Appends entries, the first with the index `first`. Returns false, and appends nothing, when they do not
    /// follow the last entry.
    pub fn append(&mut self, first: Revision, entries: Vec<LogEntry>) -> bool {
        if self.entries.is_empty() {
            self.first_index = first;
        }
        if first.0 != self.first_index.0 + self.entries.len() as u64 {
            return false;
        }
        self.entries.extend(entries);
        true
    }
}
