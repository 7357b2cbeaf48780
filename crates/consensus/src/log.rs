//! In-memory part of the replicated log: the entries after a base position.

use crate::durable::DurableState;
use crate::message::{LogEntry, Position};
use comfreyhold_types::declarations::{Command, Voter};
use comfreyhold_types::keys::{Revision, Term};
use std::collections::BTreeSet;

/// Approximate maximum size of the entries in one message, in bytes. A larger entry is sent alone.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Size of a target record or a publication in a message, in bytes, estimated high.
const APPROXIMATE_RECORD_BYTES: usize = 256;

fn approximate_bytes(command: &Command) -> usize {
    let records = match command {
        Command::Targets(batch) => batch.upserts.len() + batch.removals.len(),
        Command::Voters(voters) => voters.len(),
        Command::Noop | Command::Publish(_) | Command::OpenRegister => 1,
    };
    (records + 1) * APPROXIMATE_RECORD_BYTES
}

/// Log entries that follow a base position.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: Position,
    entries: Vec<LogEntry>,
}

impl Log {
    /// Restores the log from the content of a data folder. The oldest entry that the snapshot covers becomes
    /// the base: its term is needed, its content is not.
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

    /// Position before the first entry in memory.
    #[must_use]
    pub fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry, or the base when there is none.
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

    /// Entry at an index; `None` when it is not in memory.
    #[must_use]
    pub fn get(&self, index: Revision) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `count` entries from an index on, limited to the size of one message.
    #[must_use]
    pub fn slice(&self, from: Revision, count: usize) -> Vec<LogEntry> {
        let skip = from.0.saturating_sub(self.base.index.0 + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits_message = |entry: &&LogEntry| {
            let is_first = bytes == 0;
            bytes += approximate_bytes(&entry.command);
            is_first || bytes <= MAX_MESSAGE_BYTES
        };
        self.entries.iter().skip(skip).take(count).take_while(fits_message).cloned().collect()
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: LogEntry) -> Revision {
        self.entries.push(entry);
        self.last().index
    }

    /// Drops the entry at `from` and all later ones.
    pub fn truncate(&mut self, from: Revision) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Drops the entries up to `to`, which becomes the base. Does nothing when `to` is not in memory.
    pub fn compact(&mut self, to: Revision) {
        let Some(term) = self.term_at(to) else { return };
        let count = to.0 - self.base.index.0;
        self.entries.drain(..usize::try_from(count).unwrap_or(usize::MAX));
        self.base = Position { term, index: to };
    }

    /// Drops all entries and continues after a new base.
    pub fn reset(&mut self, base: Position) {
        *self = Self { base, entries: Vec::new() };
    }

    /// Index and voters of the last change of voters; `None` when there is none in memory.
    #[must_use]
    pub fn last_voter_change(&self) -> Option<(Revision, &BTreeSet<Voter>)> {
        self.entries.iter().enumerate().rev().find_map(|(offset, entry)| match &entry.command {
            Command::Voters(voters) => {
                Some((Revision(self.base.index.0 + 1 + offset as u64), voters))
            }
            _ => None,
        })
    }
}
