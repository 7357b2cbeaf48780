//! Taking snapshots, and sending them in parts to followers that are far behind.

use super::{Action, LogReplica, Role};
use crate::durable::{Snapshot, SnapshotChange};
use crate::message::{Body, Position};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, Revision};
use std::sync::Arc;

/// Largest snapshot that a follower takes in, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// A snapshot that arrives in parts.
pub(super) struct Incoming {
    at: Position,
    total: u64,
    bytes: Vec<u8>,
}

impl LogReplica {
    pub(super) fn maybe_snapshot(&mut self) {
        let applied = self.state.revision;
        if applied.0 < self.snapshot.at.index.0 + self.settings.snapshot_every {
            return;
        }
        let Some(term) = self.log.term_at(applied) else { return };
        self.snapshot = Snapshot::encode(Position { term, index: applied }, &self.state);
        let from = applied.0.saturating_sub(self.settings.keep_entries);
        let keep_from = Revision(from).max(self.log.base().index);
        self.log.compact(keep_from);
        let snapshot = self.snapshot.clone();
        self.batch.snapshot = Some(SnapshotChange { snapshot, keep_from: Some(keep_from) });
    }

    pub(super) fn send_chunk(&mut self, voter: Voter) {
        let sent_us = self.sent_us();
        let size = self.settings.chunk_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&voter) else { return };
        let Some(sending) = &progress.sending else { return };
        let offset = sending.offset;
        let rest = usize::try_from(offset).ok().and_then(|from| sending.snapshot.bytes.get(from..));
        let bytes: Vec<u8> = rest.unwrap_or_default().iter().copied().take(size).collect();
        let (at, total) = (sending.snapshot.at, sending.snapshot.bytes.len() as u64);
        self.send(voter, Body::Chunk { at, total, offset, bytes, sent_us });
    }

    pub(super) fn chunk_reply(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        at: Position,
        next: u64,
        sent_us: u64,
    ) {
        let Some(progress) = self.answered(sender, incarnation, sent_us) else { return };
        let Some(sending) = &mut progress.sending else { return };
        if sending.snapshot.at != at || next > sending.snapshot.bytes.len() as u64 {
            return;
        }
        // A repeated response would repeat the part that is already on its way.
        if sending.offset != next {
            sending.offset = next;
            self.send_chunk(sender);
        }
    }

    pub(super) fn chunk(
        &mut self,
        sender: Voter,
        at: Position,
        total: u64,
        offset: u64,
        bytes: &[u8],
        sent_us: u64,
    ) {
        if self.covers(at) {
            return self.confirm_snapshot(sender, at, sent_us);
        }
        if total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let same = self.incoming.as_ref().is_some_and(|part| part.at == at && part.total == total);
        if !same {
            self.incoming = Some(Incoming { at, total, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        let fits = offset.saturating_add(bytes.len() as u64) <= total;
        if offset == incoming.bytes.len() as u64 && fits {
            incoming.bytes.extend_from_slice(bytes);
        }
        let next = incoming.bytes.len() as u64;
        if next < total {
            return self.send(sender, Body::ChunkReply { at, next, sent_us });
        }
        if self.install(at) {
            self.confirm_snapshot(sender, at, sent_us);
        }
    }

    /// Whether the log holds what the snapshot includes. Such a log stays: entries after the snapshot
    /// may be confirmed already.
    fn covers(&self, at: Position) -> bool {
        at.index <= self.commit || self.log.term_at(at.index) == Some(at.term)
    }

    fn confirm_snapshot(&mut self, sender: Voter, at: Position, sent_us: u64) {
        self.commit_to(at.index);
        self.rejoin.matched(at);
        let last = self.log.last().index;
        let matched = Some(at.index);
        self.reply_append(sender, matched, last, sent_us);
    }

    fn install(&mut self, at: Position) -> bool {
        let Some(incoming) = self.incoming.take() else { return false };
        let snapshot = Snapshot { at, bytes: Arc::new(incoming.bytes) };
        let Some(state) = snapshot.decode() else {
            log::error!("{}: snapshot at {} is invalid", self.settings.me.instance, at.index);
            return false;
        };
        self.state = state;
        self.commit = at.index;
        self.log.reset(at);
        self.durable = at.index;
        for (_, unsynced) in &mut self.unsynced {
            *unsynced = (*unsynced).min(at.index);
        }
        self.snapshot = snapshot.clone();
        self.batch.snapshot = Some(SnapshotChange { snapshot, keep_from: None });
        self.refresh_config();
        self.out.push(Action::Advanced(at.index));
        true
    }
}
