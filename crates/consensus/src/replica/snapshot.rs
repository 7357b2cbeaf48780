//! Taking snapshots, and transferring them in parts to followers that are far behind.

use super::{Action, LogReplica, Role};
use crate::durable::{Snapshot, SnapshotChange};
use crate::message::{MessageBody, Position};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{Incarnation, Revision};
use std::sync::Arc;

/// Largest snapshot that a follower receives, in bytes; parts of a larger one are ignored.
const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// A snapshot of which some parts have arrived.
pub(super) struct IncomingSnapshot {
    at: Position,
    /// Length of the whole snapshot, in bytes.
    total: u64,
    bytes: Vec<u8>,
}

impl LogReplica {
    pub(super) fn take_snapshot_if_due(&mut self) {
        let applied = self.state.revision;
        if applied.0 < self.snapshot.at.index.0 + self.settings.snapshot_interval {
            return;
        }
        let Some(term) = self.log.term_at(applied) else { return };
        self.snapshot = Snapshot::encode(Position { term, index: applied }, &self.state);
        let oldest = applied.0.saturating_sub(self.settings.kept_entries);
        let keep_from = Revision(oldest).max(self.log.base().index);
        self.log.compact(keep_from);
        let snapshot = self.snapshot.clone();
        self.batch.snapshot = Some(SnapshotChange { snapshot, keep_from: Some(keep_from) });
    }

    pub(super) fn send_chunk(&mut self, voter: Voter) {
        let sent_us = self.elapsed_us();
        let size = self.settings.chunk_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&voter) else { return };
        let Some(outgoing) = &progress.outgoing_snapshot else { return };
        let offset = outgoing.offset;
        let rest =
            usize::try_from(offset).ok().and_then(|from| outgoing.snapshot.bytes.get(from..));
        let bytes: Vec<u8> = rest.unwrap_or_default().iter().copied().take(size).collect();
        let (at, total) = (outgoing.snapshot.at, outgoing.snapshot.bytes.len() as u64);
        self.send(voter, MessageBody::Chunk { at, total, offset, bytes, sent_us });
    }

    pub(super) fn handle_chunk_reply(
        &mut self,
        sender: Voter,
        incarnation: Incarnation,
        at: Position,
        next: u64,
        sent_us: u64,
    ) {
        let Some(progress) = self.record_response(sender, incarnation, sent_us) else { return };
        let Some(outgoing) = &mut progress.outgoing_snapshot else { return };
        if outgoing.snapshot.at != at || next > outgoing.snapshot.bytes.len() as u64 {
            return;
        }
        // Responding to a duplicate would send a part that is already in flight a second time.
        if outgoing.offset != next {
            outgoing.offset = next;
            self.send_chunk(sender);
        }
    }

    pub(super) fn handle_chunk(
        &mut self,
        sender: Voter,
        at: Position,
        total: u64,
        offset: u64,
        bytes: &[u8],
        sent_us: u64,
    ) {
        if self.log_covers(at) {
            return self.confirm_snapshot(sender, at, sent_us);
        }
        if total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let is_same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|part| part.at == at && part.total == total);
        if !is_same {
            self.incoming_snapshot = Some(IncomingSnapshot { at, total, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return };
        let fits = offset.saturating_add(bytes.len() as u64) <= total;
        if offset == incoming.bytes.len() as u64 && fits {
            incoming.bytes.extend_from_slice(bytes);
        }
        let next = incoming.bytes.len() as u64;
        if next < total {
            return self.send(sender, MessageBody::ChunkReply { at, next, sent_us });
        }
        if self.install_snapshot(at) {
            self.confirm_snapshot(sender, at, sent_us);
        }
    }

    /// Whether the log already holds what the snapshot includes. It is not replaced then, since later entries
    /// may be confirmed already.
    fn log_covers(&self, at: Position) -> bool {
        at.index <= self.commit || self.log.term_at(at.index) == Some(at.term)
    }

    fn confirm_snapshot(&mut self, sender: Voter, at: Position, sent_us: u64) {
        self.commit_to(at.index);
        self.rejoin.confirm_match(at);
        let last = self.log.last().index;
        let matched = Some(at.index);
        self.reply_append(sender, matched, last, sent_us);
    }

    fn install_snapshot(&mut self, at: Position) -> bool {
        let Some(incoming) = self.incoming_snapshot.take() else { return false };
        let snapshot = Snapshot { at, bytes: Arc::new(incoming.bytes) };
        let Some(state) = snapshot.decode() else {
            log::error!(
                "{}: received snapshot at {} can't be decoded",
                self.settings.me.instance,
                at.index
            );
            return false;
        };
        self.state = state;
        self.commit = at.index;
        self.log.reset(at);
        self.synced_index = at.index;
        for (_, unsynced) in &mut self.unsynced_batches {
            *unsynced = (*unsynced).min(at.index);
        }
        self.snapshot = snapshot.clone();
        self.batch.snapshot = Some(SnapshotChange { snapshot, keep_from: None });
        self.reload_config();
        self.actions.push(Action::Advanced(at.index));
        true
    }
}
