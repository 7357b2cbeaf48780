//! Calls from other tasks and threads to a control daemon: operators' changes and targets' announcements.
//! Also the queue of operations on the register.

use super::Control;
use super::register::RegisterError;
use crate::messages::FleetRequest;
use comfreyhold_consensus::register::RegisterValue;
use comfreyhold_consensus::register::round::{Proposal, VoterChange};
use comfreyhold_types::announcement::{Announcement, AnnouncementError};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::{RoutePublication, SharedState, StateChange};
use serde_json::json;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queues of calls and of register operations; senders wait while they are full. The
/// platform's operators have at most eight changes in progress.
pub const MAX_QUEUED: usize = 256;

/// Deadline for other daemons to confirm a message about a chosen value or a changed target.
pub(super) const BROADCAST_DEADLINE: Duration = Duration::from_millis(500);

/// Time from the arrival of an order to the moment from which it is not carried out any more. Callers wait for a
/// second, and may then have the order and the opposite one carried out by another daemon.
const ORDER_LIFETIME: Duration = Duration::from_millis(800);

/// Wait before an order is carried out. When the network has held up a call, the close of a caller that has given up
/// arrives up to a round trip after it.
const CALLER_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// An operation on the register, and where to send its result.
pub(super) struct QueuedOperation {
    pub(super) operation: RegisterOperation,
    /// Time from which the operation is not to be made any more.
    expires_at: Option<Instant>,
    /// Closed when nobody waits for the operation any more.
    reply: oneshot::Sender<Result<Arc<RegisterValue>, RegisterError>>,
}

impl QueuedOperation {
    fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now >= expires_at)
    }

    fn is_wanted(&self, now: Instant) -> bool {
        !self.reply.is_closed() && !self.has_expired(now)
    }
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
    Ended(TargetId, oneshot::Sender<Result<(), EndError>>),
}

/// Why the end of a target is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EndError {
    /// The control daemon has ended.
    #[error("this daemon is stopping")]
    Stopping,
    /// The target may have given the call up, and may have started again since.
    #[error("the call has waited for too long; it was not carried out")]
    Expired,
}

impl EndError {
    /// Result code for a response to the target.
    #[must_use]
    pub fn code(self) -> ResultCode {
        match self {
            Self::Stopping => ResultCode::Stopping,
            Self::Expired => ResultCode::OrderExpired,
        }
    }
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

    /// Changes the declarations. The change is synced on a majority of the voters' disks when this returns. If the
    /// returned future is dropped, a withdrawal or its reversal is not carried out any more, unless that has begun.
    ///
    /// # Errors
    /// No majority of the voters responds; the change may still take effect. Or a withdrawal or its reversal has
    /// waited for so long that its caller may have given it up; it is not carried out.
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

    /// Handles the end of a target. If the returned future is dropped early, it is not carried out.
    ///
    /// # Errors
    /// The control daemon has ended, or the call has waited for so long that the target may have given it up.
    pub async fn announce_end(&self, id: TargetId) -> Result<(), EndError> {
        let result = self.call(|tx| ControlCall::Ended(id, tx)).await;
        result.unwrap_or(Err(EndError::Stopping))
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
        let now = self.observe_activity();
        let arrived = self.stalls.get().earliest_arrival(now);
        // A task that no longer waits gets no reply.
        match call {
            // The version orders publications, however late they are carried out.
            ControlCall::Change(change @ StateChange::Publish(_), reply) => {
                let result = self.submit(RegisterOperation::Change(change), None).await;
                let _ = reply.send(result.map(|_| ()));
            }
            ControlCall::Change(change @ StateChange::Withdraw { .. }, reply) => {
                self.serve_order(change, arrived + ORDER_LIFETIME, reply).await;
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
                self.serve_end(id, arrived + ORDER_LIFETIME, reply).await;
            }
        }
    }

    /// Carries out an order that nothing but its time puts in order with others. Not after `expires_at`, and not
    /// after its caller has gone: the caller may have had it carried out elsewhere, and reversed it since.
    async fn serve_order(
        &self,
        order: StateChange,
        expires_at: Instant,
        mut reply: oneshot::Sender<Result<(), RegisterError>>,
    ) {
        if has_gone(&mut reply).await {
            return self.record_abandoned(&order);
        }
        if !self.is_within_limits(&order) {
            self.record("order-refused", || order_fields(&order));
            let _ = reply.send(Err(RegisterError::TooLarge));
            return;
        }
        let operation = RegisterOperation::Change(order.clone());
        tokio::select! {
            () = reply.closed() => self.record_abandoned(&order),
            result = self.submit(operation, Some(expires_at)) => {
                // The caller may have gone this moment; the order stays in effect.
                let _ = reply.send(result.map(|_| ()));
            }
        }
    }

    /// Whether the newest state known can take an order.
    fn is_within_limits(&self, order: &StateChange) -> bool {
        let StateChange::Withdraw { domain, out: true } = order else { return true };
        let newest = self.register.newest_known();
        newest.map_or_else(SharedState::default, |value| value.state.clone()).can_withdraw(domain)
    }

    /// Carries out the end of a target, on the same conditions as an order: a target that has gone may have had it
    /// carried out elsewhere, and may have started again under its id.
    async fn serve_end(
        self: &Rc<Self>,
        id: TargetId,
        expires_at: Instant,
        mut reply: oneshot::Sender<Result<(), EndError>>,
    ) {
        let reason = if has_gone(&mut reply).await {
            "abandoned"
        } else if self.clock.now() >= expires_at {
            "expired"
        } else {
            self.handle_end(id).await;
            let _ = reply.send(Ok(()));
            return;
        };
        metrics::counter!("ends_not_carried_out", "reason" => reason).increment(1);
        self.record("end-not-carried-out", || json!({"target": id.to_string(), "reason": reason}));
        let _ = reply.send(Err(EndError::Expired));
    }

    /// Counts and logs an order whose caller has gone. If it was being written, it may be in effect.
    fn record_abandoned(&self, order: &StateChange) {
        metrics::counter!("orders", "result" => "abandoned").increment(1);
        self.record("order-abandoned", || order_fields(order));
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

    /// Queues an operation on the register and waits for its result. It is not made after `expires_at`, nor after
    /// the returned future was dropped, unless it is being written by then.
    pub(super) async fn submit(
        &self,
        operation: RegisterOperation,
        expires_at: Option<Instant>,
    ) -> Result<Arc<RegisterValue>, RegisterError> {
        let (reply, result) = oneshot::channel();
        let queued = QueuedOperation { operation, expires_at, reply };
        if self.operations.send(queued).await.is_err() {
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
            // Those that expire before they are written are left out, and the others proposed again.
            loop {
                batch = self.without_unwanted(batch);
                let is_wanted = || {
                    let now = self.clock.now();
                    batch.iter().all(|queued| queued.is_wanted(now))
                };
                if batch.is_empty() {
                    break;
                }
                match self.propose(&batch, &is_wanted).await {
                    Err(RegisterError::Expired) => {}
                    result => {
                        for queued in batch {
                            let _ = queued.reply.send(result.clone());
                        }
                        break;
                    }
                }
            }
        }
    }

    /// Returns the operations that are still to be made, and answers the others.
    fn without_unwanted(&self, batch: Vec<QueuedOperation>) -> Vec<QueuedOperation> {
        let now = self.clock.now();
        let (wanted, unwanted): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|queued| queued.is_wanted(now));
        for queued in unwanted.into_iter().filter(|queued| queued.has_expired(now)) {
            metrics::counter!("orders", "result" => "expired").increment(1);
            if let RegisterOperation::Change(order) = &queued.operation {
                self.record("order-expired", || order_fields(order));
            }
            let _ = queued.reply.send(Err(RegisterError::Expired));
        }
        wanted
    }

    /// Proposes operations together. Other daemons and the entries are notified of the value that is chosen.
    async fn propose(
        self: &Rc<Self>,
        batch: &[QueuedOperation],
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<Arc<RegisterValue>, RegisterError> {
        let mut proposal = Proposal::default();
        for queued in batch {
            match &queued.operation {
                RegisterOperation::Change(change) => proposal.changes.push(change.clone()),
                RegisterOperation::Voters(change) => proposal.voters = Some(change.clone()),
                RegisterOperation::Complete => {}
            }
        }
        // Under many changes, a round for the voters alone could be preempted again and again.
        if proposal.voters.is_none() {
            proposal.voters = self.stated_voter_change(self.clock.now());
            if let Some(change) = &proposal.voters {
                self.record_voter_change("round", change);
            }
        }
        let previous_ballot = self.register.chosen_ballot();
        let started = self.clock.now();
        let result = self.register.propose(&proposal, is_wanted).await;
        let duration = self.clock.now() - started;
        metrics::histogram!("round_seconds").record(duration);
        if result != Err(RegisterError::Expired) {
            metrics::counter!("orders", "result" => if result.is_ok() { "done" } else { "failed" })
                .increment(batch.len() as u64);
        }
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
        result
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

/// Waits for [`CALLER_CLOSE_DELAY`]. Returns whether the caller has gone by then.
async fn has_gone<T>(reply: &mut oneshot::Sender<T>) -> bool {
    tokio::time::timeout(CALLER_CLOSE_DELAY, reply.closed()).await.is_ok()
}

/// Fields of the log lines about an order.
fn order_fields(order: &StateChange) -> serde_json::Value {
    match order {
        StateChange::Publish(publication) => json!({"version": publication.table.version}),
        StateChange::Withdraw { domain, out } => json!({"domain": domain, "out": out}),
    }
}
