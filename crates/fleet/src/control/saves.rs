//! Saves the targets for the next start of a control daemon.
//!
//! Changes are collected for [`SAVE_INTERVAL`]. A target that stops taking flows is added to the last save before
//! that is acknowledged: after a loss of power, daemons would otherwise send flows to a target that has left.

use super::Control;
use comfreyhold_types::announcement::{Announcement, Availability};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval between saves of targets that take flows. It bounds the number of disk syncs.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a save that failed, for example on a full disk.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a save before a change is acknowledged without it. A disk that takes longer is stalled;
/// the change has reached the other daemons by then, and the save is repeated until it succeeds.
const SAVE_DEADLINE: Duration = Duration::from_millis(200);

/// State of the saves.
#[derive(Default)]
pub(super) struct Saves {
    /// Revision of the targets in the last save that succeeded.
    saved_revision: Cell<u64>,
    /// Wakes the task that saves before its interval is over.
    due: Notify,
    /// Wakes those who wait for a save.
    done: Notify,
}

impl Saves {
    /// Creates the state at a start, with the revision of the targets restored from the last save.
    pub(super) fn new(restored_revision: u64) -> Self {
        Self { saved_revision: Cell::new(restored_revision), ..Self::default() }
    }
}

impl Control {
    /// Saves changed targets at intervals, and at once when a change is to be acknowledged.
    pub(super) async fn run_saves(self: Rc<Self>) {
        let saves = &self.saves;
        loop {
            // Either event is the reason for the next save.
            let _ = tokio::time::timeout(SAVE_INTERVAL, saves.due.notified()).await;
            let revision = self.targets.borrow().revision();
            if revision == saves.saved_revision.get() {
                continue;
            }
            let targets = self.targets.borrow().announcements_to_save(self.clock.now());
            if self.voter.save_targets(targets).await {
                saves.saved_revision.set(revision);
                saves.done.notify_waiters();
            } else {
                tokio::time::sleep(SAVE_RETRY_INTERVAL).await;
            }
        }
    }

    /// Saves those of the changed targets that take no more flows, and waits for that for [`SAVE_DEADLINE`] at most.
    pub(super) async fn save_left(&self, targets: &[Announcement]) {
        let takes_none = |target: &&Announcement| target.availability != Availability::Serving;
        let left: Vec<Announcement> = targets.iter().filter(takes_none).cloned().collect();
        if left.is_empty() {
            return;
        }
        let revision = self.targets.borrow().revision();
        let saved = tokio::time::timeout(SAVE_DEADLINE, async {
            if self.voter.append_targets(left).await {
                return;
            }
            loop {
                let done = self.saves.done.notified();
                tokio::pin!(done);
                done.as_mut().enable();
                if self.saves.saved_revision.get() >= revision {
                    return;
                }
                self.saves.due.notify_one();
                done.await;
            }
        });
        if saved.await.is_err() {
            metrics::counter!("targets_saved_late").increment(1);
            self.record("saved-late", || serde_json::json!({"revision": revision}));
        }
    }
}
