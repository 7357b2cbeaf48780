//! Orders of operators and announcements of targets, from the threads and tasks that take them in.

use super::Control;
use super::register::RegisterError;
use crate::messages::FleetRequest;
use comfreyhold_consensus::register::RegisterValue;
use comfreyhold_consensus::register::round::{Proposal, VoterChange};
use comfreyhold_types::announcement::Announcement;
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::{RoutePublication, StateChange};
use serde_json::json;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Orders that may wait; the platform's operators have eight in progress at most.
pub const MAX_WAITING: usize = 256;

/// Time in which other daemons must confirm that a value was chosen or a target changed.
pub(super) const SPREAD_DEADLINE: Duration = Duration::from_millis(500);

/// Something for the register.
pub(super) struct Order {
    pub(super) what: OrderKind,
    pub(super) reply: oneshot::Sender<Result<Arc<RegisterValue>, RegisterError>>,
}

pub(super) enum OrderKind {
    Change(StateChange),
    Voters(VoterChange),
    /// Completes a change of voters that its proposer has left.
    Complete,
}

/// A call from outside.
pub enum ControlCall {
    /// Changes the declarations.
    Change(StateChange, oneshot::Sender<Result<(), RegisterError>>),
    /// Reads the newest publication, confirmed by a majority.
    Read(oneshot::Sender<Result<Option<RoutePublication>, RegisterError>>),
    /// A target has announced itself.
    Announce(Announcement, oneshot::Sender<()>),
    /// A target has said that it ends.
    Ended(TargetId, oneshot::Sender<()>),
}

/// Calls a control daemon from other tasks. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    calls: mpsc::Sender<ControlCall>,
}

impl ControlHandle {
    pub(super) fn new() -> (Self, mpsc::Receiver<ControlCall>) {
        let (calls, queue) = mpsc::channel(MAX_WAITING);
        (Self { calls }, queue)
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> ControlCall) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.calls.send(call(tx)).await.ok()?;
        rx.await.ok()
    }

    /// Changes the declarations. The change is synced on a majority of disks when this returns.
    ///
    /// # Errors
    /// No majority answers; the change may still take effect.
    pub async fn change_declarations(&self, change: StateChange) -> Result<(), RegisterError> {
        let result = self.call(|tx| ControlCall::Change(change, tx)).await;
        result.unwrap_or(Err(RegisterError::NoQuorum))
    }

    /// Reads the newest publication, confirmed by a majority after this call began.
    ///
    /// # Errors
    /// No majority answers.
    pub async fn read_publication(&self) -> Result<Option<RoutePublication>, RegisterError> {
        self.call(ControlCall::Read).await.unwrap_or(Err(RegisterError::NoQuorum))
    }

    /// Takes in a target's announcement. One that takes a target out of use has reached the other daemons
    /// when this returns, as far as they answer.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        self.call(|tx| ControlCall::Announce(announcement, tx)).await.is_some()
    }

    /// Takes in that a target ends.
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
        // A caller that has gone away needs no reply; what it ordered stays in effect.
        match call {
            ControlCall::Change(change, reply) => {
                let result = self.order(OrderKind::Change(change)).await;
                let _ = reply.send(result.map(|_| ()));
            }
            ControlCall::Read(reply) => {
                let newest = self.newest().await;
                let _ = reply.send(newest.map(|value| value.state.publication.clone()));
            }
            ControlCall::Announce(announcement, reply) => {
                self.announced(&announcement).await;
                let _ = reply.send(());
            }
            ControlCall::Ended(id, reply) => {
                self.ended(id).await;
                let _ = reply.send(());
            }
        }
    }

    /// The newest value, confirmed by a majority; what is new about it is told to the entries.
    pub(super) async fn newest(self: &Rc<Self>) -> Result<Arc<RegisterValue>, RegisterError> {
        let before = self.register.chosen_ballot();
        let begun = self.clock.now();
        let newest = self.register.newest().await;
        metrics::histogram!("read_seconds").record(self.clock.now() - begun);
        if let Ok(value) = &newest
            && value.ballot > before
        {
            self.note_chosen();
            self.spread_chosen(value);
        }
        newest
    }

    /// Queues an order and waits for its result.
    pub(super) async fn order(&self, what: OrderKind) -> Result<Arc<RegisterValue>, RegisterError> {
        let (reply, result) = oneshot::channel();
        if self.orders.send(Order { what, reply }).await.is_err() {
            return Err(RegisterError::NoQuorum);
        }
        result.await.unwrap_or(Err(RegisterError::NoQuorum))
    }

    /// Carries out orders, all that wait in one round.
    pub(super) async fn run_orders(self: Rc<Self>, mut queue: mpsc::Receiver<Order>) {
        while let Some(first) = queue.recv().await {
            let mut batch = vec![first];
            while let Ok(order) = queue.try_recv() {
                batch.push(order);
            }
            let mut proposal = Proposal::default();
            for order in &batch {
                match &order.what {
                    OrderKind::Change(change) => proposal.changes.push(change.clone()),
                    OrderKind::Voters(change) => proposal.voters = Some(change.clone()),
                    OrderKind::Complete => {}
                }
            }
            let before = self.register.chosen_ballot();
            let begun = self.clock.now();
            let result = self.register.propose(&proposal).await;
            let took = self.clock.now() - begun;
            metrics::histogram!("round_seconds").record(took);
            metrics::counter!("orders", "result" => if result.is_ok() { "done" } else { "failed" })
                .increment(batch.len() as u64);
            self.record("round", || {
                json!({
                    "changes": proposal.changes.len(),
                    "voters": proposal.voters.is_some(),
                    "took_ms": took.as_secs_f64() * 1_000.0,
                    "error": result.as_ref().err().map(ToString::to_string),
                })
            });
            if let Ok(value) = &result
                && value.ballot > before
            {
                self.note_chosen();
                self.spread_chosen(value);
            }
            for order in batch {
                let _ = order.reply.send(result.clone());
            }
        }
    }

    /// Tells the other daemons, which tell their entries.
    fn spread_chosen(self: &Rc<Self>, value: &Arc<RegisterValue>) {
        let request = FleetRequest::Chosen(value.ballot, self.me.address);
        for address in self.live_peers() {
            let (control, request) = (Rc::clone(self), request.clone());
            tokio::task::spawn_local(async move {
                let called = control.links.call(address, &request, SPREAD_DEADLINE).await;
                if let Err(error) = called {
                    log::debug!("{address} was not told of a choice: {error}");
                }
            });
        }
    }
}
