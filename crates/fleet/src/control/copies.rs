//! Responses to the long polls of entries, and to daemons that fetch the newest value.

use super::encodings::Sharing;
use super::feed::FeedState;
use super::{Control, LARGE_FLEET, LONG_POLL_TIMEOUT};
use crate::counters::MessageKind;
use crate::messages::{FleetResponse, WatchCursor};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_membership::announcements::Announcements;
use comfreyhold_wire::envelope::encode_body;
use comfreyhold_wire::error::WireError;

impl Control {
    /// Whether more than [`LARGE_FLEET`] control daemons are known, including this one.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.peers.borrow().count() >= LARGE_FLEET
    }

    fn feed_state<'a>(&self, targets: &'a Announcements, cursor: &WatchCursor) -> FeedState<'a> {
        let base = if cursor.change > 0 { self.register.chosen_at(cursor.change) } else { None };
        FeedState { incarnation: self.incarnation, targets, chosen: self.register.chosen(), base }
    }

    /// Handles an entry's long poll: returns at once if something has changed since its cursor, and otherwise
    /// after the next change or [`LONG_POLL_TIMEOUT`].
    pub(super) async fn encoded_update(
        &self,
        cursor: WatchCursor,
    ) -> (MessageKind, Result<Vec<u8>, WireError>) {
        let change = tokio::time::timeout(LONG_POLL_TIMEOUT, async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.feed_state(&self.targets.borrow(), &cursor).has_update(&cursor) {
                    return;
                }
                changed.await;
            }
        });
        // After the timeout an update without changes is sent, which shows that this daemon is alive.
        let _ = change.await;
        let sharing = if self.is_large_fleet() { Sharing::Loose } else { Sharing::Exact };
        let targets = self.targets.borrow();
        let feed = self.feed_state(&targets, &cursor);
        let update = self.encodings.borrow_mut().update(&feed, &cursor, sharing, self.clock.now());
        match update {
            Ok(update) => (update.kind, Ok(update.body)),
            Err(error) => (MessageKind::WatchIdle, Err(error)),
        }
    }

    /// Handles the fetch of a chosen value that is newer than `known`.
    pub(super) fn encoded_newest(&self, known: Ballot) -> Result<Vec<u8>, WireError> {
        match self.register.chosen().filter(|value| value.ballot > known) {
            Some(newer) => self.encodings.borrow_mut().value(&newer, self.clock.now()),
            None => encode_body(&FleetResponse::Newest(None)),
        }
    }
}
