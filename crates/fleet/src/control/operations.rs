//! Calls from other tasks and threads to a control daemon: operators' changes and targets' announcements.
//! Also the queue of operations on the register.

use super::Control;
use super::register::RegisterError;
use crate::messages::FleetRequest;
use comfreyhold_consensus::register::RegisterValue;
use comfreyhold_consensus::register::round::{Proposal, VoterChange};
use comfreyhold_types::announcement::{Announcement, AnnouncementError};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::{RoutePublication, StateChange};
use serde_json::json;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queues of calls and of register operations; senders wait while they are full. The
/// platform's operators have at most eight changes in progress.
pub const MAX_QUEUED: usize = 256;

/// Deadline for other daemons to confirm a message about a chosen value or a changed target.
pub(super) const BROADCAST_DEADLINE: Duration = Duration::from_millis(500);

/// An operation on the register, and where to send its result.
pub(super) struct QueuedOperation {
    pub(super) operation: RegisterOperation,
    pub(super) reply: oneshot::Sender<Result<Arc<RegisterValue>, RegisterError>>,
}

/// A write to the register.
pub(super) enum RegisterOperation {
    Change(StateChange),
    Voters(VoterChange),
    /// Completes a change of voters that its proposer has left unfinished.
    Complete,
}

/// A call to a control daemon, with the channel for its result.
pub enum ControlCall {
    /// Changes the declarations.
    Change(StateChange, oneshot::Sender<Result<(), RegisterError>>),
    /// Reads the newest publication, confirmed by a quorum.
    Read(oneshot::Sender<Result<Option<RoutePublication>, RegisterError>>),
    /// Handles a target's announcement.
    Announce(Announcement, oneshot::Sender<Result<(), AnnouncementError>>),
    /// Counts and logs an announcement that can't be read: from whom, and why.
    Unreadable(String, String),
    /// Handles the end of a target.
    Ended(TargetId, oneshot::Sender<()>),
}

/// Handle for calls to a control daemon from other tasks and threads. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    calls: mpsc::Sender<ControlCall>,
}

impl ControlHandle {
    pub(super) fn new() -> (Self, mpsc::Receiver<ControlCall>) {
        let (calls, call_queue) = mpsc::channel(MAX_QUEUED);
        (Self { calls }, call_queue)
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> ControlCall) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.calls.send(call(tx)).await.ok()?;
        rx.await.ok()
    }

    /// Changes the declarations. The change is synced on a majority of the voters' disks when this returns.
    ///
    /// # Errors
    /// No majority of the voters responds; the change may still take effect.
    pub async fn change_declarations(&self, change: StateChange) -> Result<(), RegisterError> {
        let result = self.call(|tx| ControlCall::Change(change, tx)).await;
        result.unwrap_or(Err(RegisterError::NoQuorum))
    }

    /// Reads the newest publication, confirmed by a quorum after this call began.
    ///
    /// # Errors
    /// No majority of the voters responds.
    pub async fn read_publication(&self) -> Result<Option<RoutePublication>, RegisterError> {
        self.call(ControlCall::Read).await.unwrap_or(Err(RegisterError::NoQuorum))
    }

    /// Handles a target's announcement. One that takes the target out of use has reached the live daemons,
    /// and is saved for the next start, when this returns. `None` if the control daemon has ended.
    ///
    /// # Errors
    /// A field of the announcement is out of range; nothing has changed.
    pub async fn announce(
        &self,
        announcement: Announcement,
    ) -> Option<Result<(), AnnouncementError>> {
        self.call(|tx| ControlCall::Announce(announcement, tx)).await
    }

    /// Counts and logs an announcement that can't be read. `from` is the sender as far as it is known.
    pub async fn record_unreadable(&self, from: &str, reason: &str) {
        // Without a control daemon there is no log to write to.
        let _ = self.calls.send(ControlCall::Unreadable(from.to_owned(), reason.to_owned())).await;
    }

    /// Handles the end of a target. Returns false if the control daemon has ended.
    pub async fn announce_end(&self, id: TargetId) -> bool {
        self.call(|tx| ControlCall::Ended(id, tx)).await.is_some()
    }
}

impl Control {
    pub(super) async fn run_calls(self: Rc<Self>, mut calls: mpsc::Receiver<ControlCall>) {
        while let Some(call) = calls.recv().await {
            let control = Rc::clone(&self);
            tokio::task::spawn_local(async move { control.serve_call(call).await });
        }
    }

    async fn serve_call(self: Rc<Self>, call: ControlCall) {
        // A task that no longer waits gets no reply; its change stays in effect.
        match call {
            ControlCall::Change(change, reply) => {
                let result = self.submit(RegisterOperation::Change(change)).await;
                let _ = reply.send(result.map(|_| ()));
            }
            ControlCall::Read(reply) => {
                let newest = self.read_newest().await;
                let _ = reply.send(newest.map(|value| value.state.publication.clone()));
            }
            ControlCall::Announce(announcement, reply) => {
                let _ = reply.send(self.handle_announcement(&announcement).await);
            }
            ControlCall::Unreadable(from, reason) => self.record_refused(&from, &reason),
            ControlCall::Ended(id, reply) => {
                self.handle_end(id).await;
                let _ = reply.send(());
            }
        }
    }

    /// Reads the newest value, confirmed by a quorum. If it is newer than the last one learned, entries and
    /// other daemons are notified.
    pub(super) async fn read_newest(self: &Rc<Self>) -> Result<Arc<RegisterValue>, RegisterError> {
        let previous_ballot = self.register.chosen_ballot();
        let started = self.clock.now();
        let newest = self.register.read_newest().await;
        metrics::histogram!("read_seconds").record(self.clock.now() - started);
        if let Ok(value) = &newest
            && value.ballot > previous_ballot
        {
            self.notify_chosen();
            self.broadcast_chosen(value);
        }
        newest
    }

    /// Queues an operation on the register and waits for its result.
    pub(super) async fn submit(
        &self,
        operation: RegisterOperation,
    ) -> Result<Arc<RegisterValue>, RegisterError> {
        let (reply, result) = oneshot::channel();
        if self.operations.send(QueuedOperation { operation, reply }).await.is_err() {
            return Err(RegisterError::NoQuorum);
        }
        result.await.unwrap_or(Err(RegisterError::NoQuorum))
    }

    /// Executes queued operations. All that wait at a time are proposed together.
    pub(super) async fn run_operations(self: Rc<Self>, mut queue: mpsc::Receiver<QueuedOperation>) {
        while let Some(first) = queue.recv().await {
            let mut batch = vec![first];
            while let Ok(operation) = queue.try_recv() {
                batch.push(operation);
            }
            let mut proposal = Proposal::default();
            for queued in &batch {
                match &queued.operation {
                    RegisterOperation::Change(change) => proposal.changes.push(change.clone()),
                    RegisterOperation::Voters(change) => proposal.voters = Some(change.clone()),
                    RegisterOperation::Complete => {}
                }
            }
            let previous_ballot = self.register.chosen_ballot();
            let started = self.clock.now();
            let result = self.register.propose(&proposal).await;
            let duration = self.clock.now() - started;
            metrics::histogram!("round_seconds").record(duration);
            metrics::counter!("orders", "result" => if result.is_ok() { "done" } else { "failed" })
                .increment(batch.len() as u64);
            self.record("round", || {
                json!({
                    "changes": proposal.changes.len(),
                    "voters": proposal.voters.is_some(),
                    "took_ms": duration.as_secs_f64() * 1_000.0,
                    "error": result.as_ref().err().map(ToString::to_string),
                })
            });
            if let Ok(value) = &result
                && value.ballot > previous_ballot
            {
                self.notify_chosen();
                self.broadcast_chosen(value);
            }
            for queued in batch {
                let _ = queued.reply.send(result.clone());
            }
        }
    }

    /// Notifies the other daemons of a newly chosen value; they notify the entries that watch them.
    fn broadcast_chosen(self: &Rc<Self>, value: &Arc<RegisterValue>) {
        let request = FleetRequest::Chosen(value.ballot, self.me.address);
        for address in self.live_peers() {
            let (control, request) = (Rc::clone(self), request.clone());
            tokio::task::spawn_local(async move {
                let sent = control.connections.call(address, &request, BROADCAST_DEADLINE).await;
                if let Err(error) = sent {
                    log::debug!("chosen ballot to {address}: {error}");
                }
            });
        }
    }
}
