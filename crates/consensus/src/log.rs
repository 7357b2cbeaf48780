//! The log in memory: the entries after a base position.

use crate::durable::DurableState;
use crate::message::{LogEntry, Position};
use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Revision, Term};
use std::collections::BTreeSet;

/// Approximate size of the entries in one message, in bytes. A single larger entry is sent alone.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Size of a target record or a publication in a message, in bytes, rounded up.
const APPROXIMATE_RECORD_BYTES: usize = 256;

fn approximate_bytes(command: &Command) -> usize {
    let records = match command {
        Command::Targets(batch) => batch.upserts.len() + batch.removals.len(),
        Command::Voters(voters) => voters.len(),
        Command::Noop | Command::Publish(_) | Command::OpenRegister => 1,
    };
    (records + 1) * APPROXIMATE_RECORD_BYTES
}

/// Entries that follow a base position.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: Position,
    entries: Vec<LogEntry>,
}

impl Log {
    /// Takes the log out of a data folder. The oldest entry covered by the snapshot becomes the base,
    /// because its term is needed and its content is not.
    #[must_use]
    pub fn recover(durable: &DurableState) -> Self {
        let snapshot = durable.snapshot.at;
        match durable.entries.first() {
            Some(entry) if durable.first_index <= snapshot.index => Self {
                base: Position { term: entry.term, index: durable.first_index },
                entries: durable.entries[1..].to_vec(),
            },
            _ => Self { base: snapshot, entries: durable.entries.clone() },
        }
    }

    /// Position before the first entry.
    #[must_use]
    pub fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        let index = Revision(self.base.index.0 + self.entries.len() as u64);
        let term = self.entries.last().map_or(self.base.term, |entry| entry.term);
        Position { term, index }
    }

    /// Term of the entry at an index; `None` when it is not in memory.
    #[must_use]
    pub fn term_at(&self, index: Revision) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entry at an index.
    #[must_use]
    pub fn get(&self, index: Revision) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `count` entries, starting at an index, and no more than a message should hold.
    #[must_use]
    pub fn slice(&self, from: Revision, count: usize) -> Vec<LogEntry> {
        let skip = from.0.saturating_sub(self.base.index.0 + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            let first = bytes == 0;
            bytes += approximate_bytes(&entry.command);
            first || bytes <= MAX_MESSAGE_BYTES
        };
        self.entries.iter().skip(skip).take(count).take_while(fits).cloned().collect()
    }

    /// Adds an entry and returns its index.
    pub fn push(&mut self, entry: LogEntry) -> Revision {
        self.entries.push(entry);
        self.last().index
    }

    /// Drops an entry and all that follow.
    pub fn truncate(&mut self, from: Revision) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Moves the base forward to an entry in memory.
    pub fn compact(&mut self, to: Revision) {
        let Some(term) = self.term_at(to) else { return };
        let count = to.0 - self.base.index.0;
        self.entries.drain(..usize::try_from(count).unwrap_or(usize::MAX));
        self.base = Position { term, index: to };
    }

    /// Replaces the log by a position without entries.
    pub fn reset(&mut self, base: Position) {
        *self = Self { base, entries: Vec::new() };
    }

    /// The last change of voters in memory.
    #[must_use]
    pub fn last_voters(&self) -> Option<(Revision, &BTreeSet<Voter>)> {
        self.entries.iter().enumerate().rev().find_map(|(offset, entry)| match &entry.command {
            Command::Voters(voters) => {
                Some((Revision(self.base.index.0 + 1 + offset as u64), voters))
            }
            _ => None,
        })
    }
}
