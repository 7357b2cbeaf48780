//! Responses to the long polls of entries, and to daemons that fetch the newest value.

use super::encodings::{EncodedUpdate, Sharing};
use super::feed::FeedState;
use super::turns::Turn;
use super::{Control, LARGE_FLEET, LONG_POLL_TIMEOUT};
use crate::counters::MessageKind;
use crate::messages::{CopyPart, EntryUpdate, FleetResponse, PartRequest, WatchCursor};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_membership::announcements::Announcements;
use comfreyhold_wire::envelope::encode_body;
use comfreyhold_wire::error::WireError;
use std::time::Duration;

/// Size from which a full copy needs a turn, in bytes. Smaller ones cost about as much as any other message.
const MIN_LIMITED_BYTES: usize = 16 * 1024;

impl Control {
    /// Whether more than [`LARGE_FLEET`] control daemons are known, including this one.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.peers.borrow().count() >= LARGE_FLEET
    }

    fn feed_state<'a>(&self, targets: &'a Announcements, cursor: &WatchCursor) -> FeedState<'a> {
        let base = if cursor.change > 0 { self.register.chosen_at(cursor.change) } else { None };
        FeedState {
            incarnation: self.incarnation,
            is_informed: self.is_informed(),
            targets,
            chosen: self.register.chosen(),
            base,
        }
    }

    /// Handles an entry's long poll: returns at once if something has changed since its cursor, and otherwise
    /// after the next change or [`LONG_POLL_TIMEOUT`].
    pub(super) async fn encoded_update(
        &self,
        cursor: WatchCursor,
    ) -> (MessageKind, Result<Vec<u8>, WireError>) {
        let was_informed = self.was_informed.get();
        let change = tokio::time::timeout(LONG_POLL_TIMEOUT, async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                let has_update =
                    self.feed_state(&self.targets.borrow(), &cursor).has_update(&cursor);
                if has_update || self.was_informed.get() != was_informed {
                    return;
                }
                changed.await;
            }
        });
        // After the timeout an update without changes is sent, which shows that this daemon is alive.
        let _ = change.await;
        let encoded = self.encode_update(&cursor);
        match encoded {
            Ok(update) if update.is_full_copy && self.is_limited(&update.body) => {
                let turn = self.entry_turns.borrow_mut().assign(rand::random(), self.clock.now());
                if !wait_for_turn(turn).await {
                    return (MessageKind::WatchIdle, encode_unchanged(&cursor, self.is_informed()));
                }
                // The state may have changed meanwhile.
                kind_and_body(self.encode_update(&cursor))
            }
            encoded => kind_and_body(encoded),
        }
    }

    fn encode_update(&self, cursor: &WatchCursor) -> Result<EncodedUpdate, WireError> {
        let sharing = if self.is_large_fleet() { Sharing::Loose } else { Sharing::Exact };
        let targets = self.targets.borrow();
        let feed = self.feed_state(&targets, cursor);
        self.encodings.borrow_mut().update(&feed, cursor, sharing, self.clock.now())
    }

    /// Handles an entry's request for a part of declarations. The first part of a large copy needs a turn; an entry that gets
    /// none is told that there is none, and is offered the declarations again.
    pub(super) async fn encoded_part(&self, request: &PartRequest) -> Result<Vec<u8>, WireError> {
        let mut part = self.next_part(request)?;
        let is_first = part.as_ref().is_some_and(|p| p.offset == 0 && p.key.base.is_none());
        if is_first && self.is_large_fleet() {
            let turn = self.entry_turns.borrow_mut().assign(rand::random(), self.clock.now());
            part = if wait_for_turn(turn).await { self.next_part(request)? } else { None };
        }
        encode_body(&FleetResponse::Part(part))
    }

    fn next_part(&self, request: &PartRequest) -> Result<Option<CopyPart>, WireError> {
        let cursor = WatchCursor { change: request.change, ..WatchCursor::default() };
        let targets = self.targets.borrow();
        let feed = self.feed_state(&targets, &cursor);
        self.encodings.borrow_mut().part(&feed, request, self.clock.now())
    }

    /// Whether a full copy needs a turn.
    fn is_limited(&self, body: &[u8]) -> bool {
        self.is_large_fleet() && body.len() >= MIN_LIMITED_BYTES
    }

    /// Handles the fetch of a chosen value that is newer than `known`. A daemon that gets no turn is told that there is
    /// none, and asks again after a heartbeat.
    pub(super) async fn encoded_newest(&self, known: Ballot) -> Result<Vec<u8>, WireError> {
        let newer = || self.register.chosen().filter(|value| value.ballot > known);
        let encode = || match newer() {
            Some(newer) => self.encodings.borrow_mut().value(&newer, self.clock.now()),
            None => encode_body(&FleetResponse::Newest(None)),
        };
        let body = encode()?;
        if !self.is_limited(&body) {
            return Ok(body);
        }
        let turn = self.value_turns.borrow_mut().assign(rand::random(), self.clock.now());
        if wait_for_turn(turn).await { encode() } else { encode_body(&FleetResponse::Newest(None)) }
    }
}

/// Waits until it is a copy's turn, or until its receiver is to be told to come again. Returns whether the copy is to be
/// sent.
async fn wait_for_turn(turn: Turn) -> bool {
    let (is_sent, wait, name) = match turn {
        Turn::After(Duration::ZERO) => (true, Duration::ZERO, "at-once"),
        Turn::After(wait) => (true, wait, "waited"),
        Turn::ComeAgain(wait) => (false, wait, "come-again"),
    };
    metrics::counter!("full_copies", "turn" => name).increment(1);
    if !wait.is_zero() {
        tokio::time::sleep(wait).await;
    }
    is_sent
}

/// Encodes an update that leaves an entry where its cursor is. It sends its next long poll then.
fn encode_unchanged(cursor: &WatchCursor, is_informed: bool) -> Result<Vec<u8>, WireError> {
    let (source, revision) = (cursor.source, cursor.targets);
    let unchanged = EntryUpdate { source, revision, is_informed, ..EntryUpdate::default() };
    encode_body(&FleetResponse::News(Box::new(unchanged)))
}

fn kind_and_body(
    update: Result<EncodedUpdate, WireError>,
) -> (MessageKind, Result<Vec<u8>, WireError>) {
    match update {
        Ok(update) => (update.kind, Ok(update.body)),
        Err(error) => (MessageKind::WatchIdle, Err(error)),
    }
}
