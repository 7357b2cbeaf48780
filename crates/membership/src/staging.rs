//! A state with the commands that led to it, served to other instances as deltas or snapshot parts.

use crate::messages::{CommandDelta, InstallMessage, SnapshotChunk};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of recent commands kept. A receiver further behind gets a snapshot.
pub const MAX_RECENT_COMMANDS: usize = 256;

/// Maximum number of commands in one message.
pub const MAX_DELTA_COMMANDS: usize = 64;

/// Size of a snapshot part, in bytes; the last part may be smaller.
pub const CHUNK_BYTES: usize = 16_384;

/// A state, the recent commands that led to it, and the encoded snapshot that is being served.
#[derive(Clone, Debug, Default)]
pub struct StagedState {
    state: Arc<Declarations>,
    recent: VecDeque<Command>,
    snapshot: Option<(Revision, Arc<Vec<u8>>)>,
}

impl StagedState {
    /// Creates a staged state without recent commands.
    #[must_use]
    pub fn new(state: Arc<Declarations>) -> Self {
        Self { state, recent: VecDeque::new(), snapshot: None }
    }

    /// The newest state.
    #[must_use]
    pub fn state(&self) -> &Arc<Declarations> {
        &self.state
    }

    /// Revision of the newest state.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state.revision
    }

    /// Applies the commands of a delta that are new. Returns whether the state advanced; a delta that
    /// starts after the revision of this state is ignored.
    pub fn apply(&mut self, delta: &CommandDelta) -> bool {
        let have = self.revision();
        if delta.from > have || delta.to() <= have {
            return false;
        }
        let applied = (have.0 - delta.from.0) as usize;
        let state = Arc::make_mut(&mut self.state);
        for command in &delta.commands[applied..] {
            state.apply(state.revision.next(), command);
            self.recent.push_back(command.clone());
        }
        while self.recent.len() > MAX_RECENT_COMMANDS {
            self.recent.pop_front();
        }
        true
    }

    /// Returns commands after `from`, at most up to `up_to` and `MAX_DELTA_COMMANDS` of them; `None` when
    /// they are no longer kept.
    #[must_use]
    pub fn delta(&self, from: Revision, up_to: Revision) -> Option<CommandDelta> {
        let first = self.revision().0 - self.recent.len() as u64;
        if from.0 < first || from > up_to || up_to > self.revision() {
            return None;
        }
        let skip = (from.0 - first) as usize;
        let count = ((up_to.0 - from.0) as usize).min(MAX_DELTA_COMMANDS);
        let commands = self.recent.iter().skip(skip).take(count).cloned().collect();
        Some(CommandDelta { from, commands })
    }

    /// Returns the response to a `Fetch`, which leads to `state`: this state or an earlier one. `None` when
    /// the sender already has it.
    pub fn respond_to_fetch(
        &mut self,
        state: &Declarations,
        have: Revision,
        part: Option<(Revision, u32)>,
    ) -> Option<InstallMessage> {
        if have >= state.revision {
            return None;
        }
        if let Some(delta) = self.delta(have, state.revision) {
            return Some(InstallMessage::Delta(delta));
        }
        let wanted =
            part.filter(|(revision, _)| self.is_snapshot_cached(*revision, state.revision));
        if wanted.is_none() && !self.has_usable_snapshot(state.revision) {
            let bytes = serde_json::to_vec(state).ok()?;
            self.snapshot = Some((state.revision, Arc::new(bytes)));
        }
        let (revision, bytes) = self.snapshot.as_ref()?;
        let index = wanted.map_or(0, |(_, index)| index);
        snapshot_chunk(*revision, bytes, index).map(InstallMessage::Chunk)
    }

    fn is_snapshot_cached(&self, revision: Revision, newest: Revision) -> bool {
        self.snapshot.as_ref().is_some_and(|(cached, _)| *cached == revision) && revision <= newest
    }

    /// Whether the cached snapshot is of `newest` or the kept commands lead from it to `newest`.
    fn has_usable_snapshot(&self, newest: Revision) -> bool {
        let cached = self.snapshot.as_ref().map(|(cached, _)| *cached);
        cached.is_some_and(|cached| cached <= newest && self.delta(cached, newest).is_some())
    }
}

fn snapshot_chunk(revision: Revision, bytes: &[u8], index: u32) -> Option<SnapshotChunk> {
    let total = u32::try_from(bytes.len().div_ceil(CHUNK_BYTES)).ok()?;
    let part = bytes.chunks(CHUNK_BYTES).nth(index as usize)?.to_vec();
    Some(SnapshotChunk { revision, index, total, bytes: part })
}

/// Parts of a snapshot that is being received.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembly {
    revision: Revision,
    total: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

impl SnapshotAssembly {
    /// Returns the revision of the snapshot and the index of its first missing part; `None` before any
    /// part has arrived.
    #[must_use]
    pub fn next_part(&self) -> Option<(Revision, u32)> {
        let is_missing = |index: &u32| !self.parts.contains_key(index);
        (0..self.total).find(is_missing).map(|index| (self.revision, index))
    }

    /// Adds a part. A part of a newer snapshot discards the parts of an older one. Returns the state once
    /// it is complete, and `None` before that or when it can't be decoded.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Option<Declarations> {
        if chunk.revision < self.revision || chunk.index >= chunk.total {
            return None;
        }
        if chunk.revision > self.revision || chunk.total != self.total {
            *self = Self { revision: chunk.revision, total: chunk.total, parts: BTreeMap::new() };
        }
        self.parts.insert(chunk.index, chunk.bytes);
        if self.next_part().is_some() {
            return None;
        }
        let bytes: Vec<u8> = std::mem::take(self).parts.into_values().flatten().collect();
        let state: Declarations = serde_json::from_slice(&bytes).ok()?;
        (state.revision == chunk.revision).then_some(state)
    }
}
