//! A state with the commands that led to it, served to others as deltas or snapshot parts.

use crate::messages::{Chunk, Delta, InstallMessage};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Commands kept for those that are close behind.
pub const KEPT_COMMANDS: usize = 256;

/// Most commands in one message.
pub const DELTA_COMMANDS: usize = 64;

/// Size of a snapshot part, in bytes.
pub const CHUNK_BYTES: usize = 16_384;

/// A state, its recent commands, and the snapshot that is being served.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Declarations>,
    recent: VecDeque<Command>,
    snapshot: Option<(Revision, Arc<Vec<u8>>)>,
}

impl Store {
    /// Starts from a state whose commands are not known.
    #[must_use]
    pub fn new(state: Arc<Declarations>) -> Self {
        Self { state, recent: VecDeque::new(), snapshot: None }
    }

    /// The state.
    #[must_use]
    pub fn state(&self) -> &Arc<Declarations> {
        &self.state
    }

    /// Revision of the state.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state.revision
    }

    /// Applies the part of a delta that is new. Returns whether the state advanced; a delta that
    /// starts later than this state does nothing.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        let have = self.revision();
        if delta.from > have || delta.to() <= have {
            return false;
        }
        let known = (have.0 - delta.from.0) as usize;
        let state = Arc::make_mut(&mut self.state);
        for command in &delta.commands[known..] {
            state.apply(state.revision.next(), command);
            self.recent.push_back(command.clone());
        }
        while self.recent.len() > KEPT_COMMANDS {
            self.recent.pop_front();
        }
        true
    }

    /// Commands from a revision up to a limit, when they are all kept.
    #[must_use]
    pub fn delta(&self, from: Revision, up_to: Revision) -> Option<Delta> {
        let first = self.revision().0 - self.recent.len() as u64;
        if from.0 < first || from > up_to || up_to > self.revision() {
            return None;
        }
        let skip = (from.0 - first) as usize;
        let count = ((up_to.0 - from.0) as usize).min(DELTA_COMMANDS);
        let commands = self.recent.iter().skip(skip).take(count).cloned().collect();
        Some(Delta { from, commands })
    }

    /// Answers a `Fetch` with what leads to `state`, which is this state or an earlier one.
    pub fn serve(
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
        let wanted = part.filter(|(revision, _)| self.is_cached(*revision, state.revision));
        if wanted.is_none() && !self.is_cached_for(state.revision) {
            let bytes = serde_json::to_vec(state).ok()?;
            self.snapshot = Some((state.revision, Arc::new(bytes)));
        }
        let (revision, bytes) = self.snapshot.as_ref()?;
        let index = wanted.map_or(0, |(_, index)| index);
        chunk_of(*revision, bytes, index).map(InstallMessage::Chunk)
    }

    fn is_cached(&self, revision: Revision, newest: Revision) -> bool {
        self.snapshot.as_ref().is_some_and(|(cached, _)| *cached == revision) && revision <= newest
    }

    /// A somewhat older snapshot will do, since the commands after it can follow.
    fn is_cached_for(&self, newest: Revision) -> bool {
        let cached = self.snapshot.as_ref().map(|(cached, _)| *cached);
        cached.is_some_and(|cached| cached <= newest && self.delta(cached, newest).is_some())
    }
}

fn chunk_of(revision: Revision, bytes: &[u8], index: u32) -> Option<Chunk> {
    let total = u32::try_from(bytes.len().div_ceil(CHUNK_BYTES)).ok()?;
    let part = bytes.chunks(CHUNK_BYTES).nth(index as usize)?.to_vec();
    Some(Chunk { revision, index, total, bytes: part })
}

/// A snapshot being received.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    revision: Revision,
    total: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

impl Assembly {
    /// Revision of the snapshot and the first part that is missing; `None` before the first part.
    #[must_use]
    pub fn next_part(&self) -> Option<(Revision, u32)> {
        let is_missing = |index: &u32| !self.parts.contains_key(index);
        (0..self.total).find(is_missing).map(|index| (self.revision, index))
    }

    /// Takes in a part. A snapshot of a newer revision replaces the one begun. Returns the state once
    /// it is complete, and `None` before that or when it can't be decoded.
    pub fn add(&mut self, chunk: Chunk) -> Option<Declarations> {
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
