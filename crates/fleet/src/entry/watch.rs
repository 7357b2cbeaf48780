//! Watches control daemons for changes of targets and declarations, with long polls.

use super::{Entry, PacketCodec, WATCHED_CONTROLS};
use crate::control::LONG_POLL_TIMEOUT;
use crate::counters::{MessageKind, measure};
use crate::messages::{EntryUpdate, FleetRequest, FleetResponse, WatchCursor};
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Deadline for the response to a query or a long poll. A daemon holds a long poll for [`LONG_POLL_TIMEOUT`]
/// while nothing changes.
const CALL_DEADLINE: Duration = LONG_POLL_TIMEOUT.saturating_add(Duration::from_millis(600));

/// Interval between a response and the next long poll, in which changes accumulate.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Retry interval after a failed call.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for establishing a connection until the routes are known. After a loss of power the daemons start
/// at the same time, and those that are up respond within a few milliseconds.
const JOIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// Retry interval after a failed call until the routes are known.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Head start of the first source in fetching the targets and small route tables. Both sources at the same time
/// would take twice as long over a slow link.
const FIRST_SOURCE_HEAD_START: Duration = Duration::from_millis(400);

/// Number of long polls between two queries for the live control daemons, after which the entry also checks
/// whether it can return to one of the local domain. That is about every 10 s, since nothing depends on it as
/// long as both sources respond.
const POLLS_PER_CONTROLS_QUERY: u32 = 20;

/// Index of the source that watches a control daemon of the local domain if there is one.
pub(super) const LOCAL_SOURCE: usize = 0;

/// Reason for abandoning a daemon that violates the protocol.
const UNEXPECTED_RESPONSE: &str = "unexpected type of response";

impl<C: PacketCodec> Entry<C> {
    pub(super) async fn run_watch(self: Rc<Self>, source: usize) {
        let mut calls: u32 = 0;
        if source > 0 {
            // Waits until the first source has received the routes or its head start is over.
            tokio::time::timeout(FIRST_SOURCE_HEAD_START, self.first_routes.notified()).await.ok();
        }
        loop {
            let Some(control) = self.control_to_watch(source) else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            };
            let is_joined = self.view.borrow().routing().change > 0;
            self.connections.set_connect_timeout(if is_joined {
                None
            } else {
                Some(JOIN_CONNECT_TIMEOUT)
            });
            let outcome = if calls.is_multiple_of(POLLS_PER_CONTROLS_QUERY) {
                self.query_controls(source, control).await
            } else {
                self.poll_updates(source, control).await
            };
            if let Err(reason) = outcome {
                self.abandon_control(source, control, &reason);
                // The first call to the next daemon is the query for the live control daemons.
                calls = 0;
                tokio::time::sleep(if is_joined { RETRY_INTERVAL } else { JOIN_RETRY_INTERVAL })
                    .await;
            } else if self.leave_cut_off(source, control) {
                calls = 0;
            } else {
                calls = calls.wrapping_add(1);
            }
        }
    }

    /// Sends a long poll to a daemon and applies the response.
    async fn poll_updates(&self, source: usize, control: SocketAddr) -> Result<(), String> {
        let cursor = self.view.borrow().cursor(source);
        let request = FleetRequest::Watch(cursor);
        match self.connections.call(control, &request, CALL_DEADLINE).await {
            Ok(FleetResponse::News(update)) => {
                measure(MessageKind::of_update(&update), || {
                    self.apply_update(source, control, &cursor, *update);
                });
                // Until the routes are known, each change may bring them.
                if self.view.borrow().routing().change > 0 {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Ok(())
            }
            Ok(_) => Err(UNEXPECTED_RESPONSE.to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Queries a daemon for the live control daemons. With this list, entries that start together spread over
    /// all of them.
    async fn query_controls(&self, source: usize, control: SocketAddr) -> Result<(), String> {
        match self.connections.call(control, &FleetRequest::Controls, CALL_DEADLINE).await {
            Ok(FleetResponse::Controls(live)) => {
                let now = self.clock.now();
                let mut controls = self.controls.borrow_mut();
                controls.update_live(&live, now);
                let is_informed = live.iter().any(|(address, _)| *address == control);
                controls.record_informed(control, is_informed, now);
                self.informed.borrow_mut()[source] = is_informed;
                if source == LOCAL_SOURCE && controls.should_return_to_local(control, now) {
                    self.watched.borrow_mut()[source] = None;
                }
                Ok(())
            }
            Ok(_) => Err(UNEXPECTED_RESPONSE.to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Returns the daemon that a source watches. Chooses one if it watches none.
    fn control_to_watch(&self, source: usize) -> Option<SocketAddr> {
        let mut watched = self.watched.borrow_mut();
        let taken: Vec<SocketAddr> = (0..WATCHED_CONTROLS)
            .filter(|other| *other != source)
            .filter_map(|o| watched[o])
            .collect();
        let prefer_local = source == LOCAL_SOURCE;
        let choose = || self.controls.borrow().choose(prefer_local, &taken, self.clock.now());
        // If there is only one daemon, `choose` returns none for the second source, which retries later.
        let chosen = watched[source].or_else(choose);
        watched[source] = chosen;
        chosen
    }

    /// Stops watching a daemon that is cut off from the majority if no source watches one that is not. The local source
    /// stays where it is while another one looks for such a daemon: targets may announce themselves to the local one only.
    /// Returns whether the source watches another daemon from now on.
    fn leave_cut_off(&self, source: usize, control: SocketAddr) -> bool {
        let watched = *self.watched.borrow();
        let is_any_informed = watched
            .iter()
            .zip(*self.informed.borrow())
            .any(|(control, is_informed)| control.is_some() && is_informed);
        let others_look = source == LOCAL_SOURCE && watched.iter().skip(1).any(Option::is_some);
        if is_any_informed || others_look {
            return false;
        }
        let taken: Vec<SocketAddr> = watched.into_iter().flatten().collect();
        let next = self.controls.borrow().choose_informed(&taken, self.clock.now());
        if next.is_some() {
            self.watched.borrow_mut()[source] = next;
            self.informed.borrow_mut()[source] = true;
            self.record("control-cut-off", || json!({"control": control, "next": next}));
        }
        next.is_some()
    }

    /// Stops watching a daemon after a failed call.
    fn abandon_control(&self, source: usize, control: SocketAddr, reason: &str) {
        self.controls.borrow_mut().record_failure(control, self.clock.now());
        self.watched.borrow_mut()[source] = None;
        self.informed.borrow_mut()[source] = true;
        self.record("control-lost", || json!({"control": control, "reason": reason}));
    }

    /// Applies the response to a long poll, and passes its changes on to the balancer.
    fn apply_update(
        &self,
        source: usize,
        control: SocketAddr,
        cursor: &WatchCursor,
        update: EntryUpdate,
    ) {
        let now = self.clock.now();
        self.last_update.set(now);
        self.controls.borrow_mut().record_informed(control, update.is_informed, now);
        self.informed.borrow_mut()[source] = update.is_informed;
        if update.source != cursor.source {
            self.record("control-watched", || json!({"control": control}));
        }
        let offer = update.offer;
        let changes = self.view.borrow_mut().apply(source, cursor, update, now);
        for spec in changes.targets {
            let target = spec.clone();
            if self.balancer.borrow_mut().set_target(spec, now) {
                self.record("target", || {
                    json!({
                        "target": target.id.to_string(),
                        "service": target.service,
                        "address": target.address,
                        "domain": target.domain.to_string(),
                        "availability": target.availability.to_string(),
                        "silent": target.silent,
                        "born_ms": target.born_ms,
                        "cold_ms": target.cold_until.saturating_duration_since(now).as_millis(),
                        "control": control,
                    })
                });
            }
        }
        if let Some(change) = offer {
            self.record_offer(source, control, change);
        }
        if changes.routing {
            self.apply_routing(control, now);
        }
        self.update_readiness();
    }

    /// Passes newer declarations on to the balancer.
    pub(super) fn apply_routing(&self, control: SocketAddr, now: Instant) {
        let routing = self.view.borrow().routing().clone();
        let (change, withdrawn) = (routing.change, routing.withdrawn.clone());
        let version = routing.table.as_ref().map(|table| table.version);
        if self.balancer.borrow_mut().set_routing(routing, now) {
            self.first_routes.notify_waiters();
            self.record("declarations", || {
                json!({
                    "change": change,
                    "version": version,
                    "withdrawn": withdrawn,
                    "control": control,
                })
            });
        }
    }
}
