//! Collects the load reports of the entries, and exchanges sums of them with the other control daemons while load is
//! shared.
//!
//! Calls about load use connections of their own: one that fails must not close the connection for heartbeats.

use super::Control;
use crate::backoff::Backoff;
use crate::connections::ConnectionPool;
use crate::counters::MessageKind;
use crate::messages::{FleetRequest, FleetResponse};
use comfreyhold_load::book::MAX_AGE;
use comfreyhold_load::sums::REPORT_INTERVAL;
use comfreyhold_load::{LoadBook, LoadError, LoadReport, LoadSum, SenderStart};
use comfreyhold_wire::envelope::encode_body;
use comfreyhold_wire::error::WireError;
use serde_json::json;
use siphasher::sip::SipHasher13;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time for which an entry's poll is held while load is not shared.
pub const LOAD_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Deadline for the response to a sum: later ones have been sent by then.
const SUM_DEADLINE: Duration = Duration::from_millis(800);

/// Interval and time of the first sums. Entries report within some 100 ms of the begin, and need the totals of all daemons
/// before the queues of the targets are full.
const FIRST_SUM_INTERVAL: Duration = Duration::from_millis(50);
const FIRST_SUMS_TIME: Duration = Duration::from_millis(400);

/// State of the exchange of load at a control daemon.
pub(super) struct LoadSharing {
    book: RefCell<LoadBook>,
    /// Whether load was shared when this was last checked.
    is_sharing: Cell<bool>,
    /// Wakes the held polls and the task that sends the sums.
    began: Notify,
    connections: ConnectionPool,
    in_flight: RefCell<BTreeSet<SocketAddr>>,
    backoffs: RefCell<BTreeMap<SocketAddr, Backoff>>,
}

impl LoadSharing {
    pub(super) fn new(me: SenderStart) -> Self {
        Self {
            book: RefCell::new(LoadBook::new(me)),
            is_sharing: Cell::new(false),
            began: Notify::new(),
            connections: ConnectionPool::default(),
            in_flight: RefCell::default(),
            backoffs: RefCell::default(),
        }
    }
}

/// Identifies one start of the process at an exchange address in messages about load.
pub(crate) fn sender_start(address: SocketAddr, started_ms: u64) -> SenderStart {
    let mut hasher = SipHasher13::new();
    address.hash(&mut hasher);
    SenderStart { sender: hasher.finish(), start: started_ms }
}

impl Control {
    /// Handles an entry's poll: returns when load is shared, and otherwise after [`LOAD_POLL_TIMEOUT`].
    pub(super) async fn poll_sharing(&self) -> FleetResponse {
        let begin = async {
            loop {
                let began = self.load.began.notified();
                tokio::pin!(began);
                began.as_mut().enable();
                if self.load.book.borrow().is_sharing(self.clock.now()) {
                    return;
                }
                began.await;
            }
        };
        // After the timeout the response shows that this daemon is alive.
        let _ = tokio::time::timeout(LOAD_POLL_TIMEOUT, begin).await;
        let totals = self.load.book.borrow_mut().totals(None, self.clock.now());
        FleetResponse::Load(Ok(Box::new(totals)))
    }

    pub(super) fn receive_load_report(&self, report: LoadReport) -> FleetResponse {
        let now = self.clock.now();
        let from = report.from;
        let received = self.check_arrival(now).and_then(|()| {
            let reason = if report.under_pressure { "own-entry" } else { "told" };
            self.load.book.borrow_mut().receive_report(report, now).map(|()| reason)
        });
        match received {
            Ok(reason) => {
                metrics::counter!("load_reports").increment(1);
                self.update_sharing(reason, now);
                let totals = self.load.book.borrow_mut().totals(Some(from), now);
                FleetResponse::Load(Ok(Box::new(totals)))
            }
            Err(error) => refuse(error),
        }
    }

    pub(super) fn receive_load_sum(&self, sum: LoadSum) -> FleetResponse {
        let now = self.clock.now();
        let received = self
            .check_arrival(now)
            .and_then(|()| self.load.book.borrow_mut().receive_sum(sum, now));
        match received {
            Ok(()) => {
                self.update_sharing("other-daemon", now);
                FleetResponse::Done
            }
            Err(error) => refuse(error),
        }
    }

    /// Refuses messages that may have been sent before a pause of this process: they say nothing about the present.
    fn check_arrival(&self, now: Instant) -> Result<(), LoadError> {
        let earliest = self.stalls.get().earliest_arrival(now);
        if now.saturating_duration_since(earliest) < MAX_AGE {
            Ok(())
        } else {
            Err(LoadError::Late)
        }
    }

    /// Logs when sharing begins or ends, and wakes the tasks that wait for its begin.
    fn update_sharing(&self, reason: &'static str, now: Instant) {
        let is_sharing = self.load.book.borrow().is_sharing(now);
        if self.load.is_sharing.replace(is_sharing) == is_sharing {
            return;
        }
        if is_sharing {
            self.load.began.notify_waiters();
        }
        self.record("load-sharing", || {
            let totals = self.load.book.borrow_mut().totals(None, now);
            json!({
                "begins": is_sharing,
                "reason": reason,
                "entries": totals.entries,
                "own_entries": self.load.book.borrow().own_entries(now),
                "age_ms": totals.age_ms,
            })
        });
    }

    /// Sends this daemon's sum to the other daemons while load is shared.
    pub(super) async fn run_load(self: Rc<Self>) {
        loop {
            let began = self.load.began.notified();
            tokio::pin!(began);
            began.as_mut().enable();
            if !self.load.is_sharing.get() {
                began.await;
            }
            let first_until = self.clock.now() + FIRST_SUMS_TIME;
            while self.load.is_sharing.get() {
                self.send_load_sums();
                let is_first = self.clock.now() < first_until;
                let interval = if is_first { FIRST_SUM_INTERVAL } else { REPORT_INTERVAL };
                tokio::time::sleep(interval).await;
                self.update_sharing("no-pressure", self.clock.now());
            }
            self.load.connections.retain(|_| false);
            self.load.backoffs.borrow_mut().clear();
        }
    }

    /// Sends the sum to each live daemon that has responded to the last one.
    fn send_load_sums(self: &Rc<Self>) {
        let now = self.clock.now();
        let Some(sum) = self.load.book.borrow_mut().own_sum(now) else { return };
        let body = match encode_body(&FleetRequest::LoadSum(Box::new(sum))) {
            Ok(body) => Rc::new(body),
            Err(error) => return log::error!("can't encode a load sum: {error}"),
        };
        let peers = self.live_peers();
        let backoffs = self.load.backoffs.borrow().clone();
        for peer in peers {
            let is_due = backoffs.get(&peer).is_none_or(|backoff| backoff.is_over(now));
            if is_due && self.load.in_flight.borrow_mut().insert(peer) {
                tokio::task::spawn_local(Rc::clone(self).send_load_sum(peer, Rc::clone(&body)));
            }
        }
    }

    async fn send_load_sum(self: Rc<Self>, peer: SocketAddr, body: Rc<Vec<u8>>) {
        let (kind, connections) = (MessageKind::LoadSum, &self.load.connections);
        let response = connections.call_encoded(kind, peer, &body, SUM_DEADLINE).await;
        self.load.in_flight.borrow_mut().remove(&peer);
        let is_refusal = match response {
            Ok(FleetResponse::Done) => {
                self.load.backoffs.borrow_mut().remove(&peer);
                return;
            }
            Ok(FleetResponse::Load(Err(code))) => {
                log::warn!("{peer} refuses a load sum with code {code}");
                false
            }
            Ok(_) => true,
            Err(WireError::Refused(code)) => {
                log::warn!("{peer} does not understand load sums, code {code}");
                true
            }
            Err(error) => {
                log::debug!("load sum to {peer}: {error}");
                false
            }
        };
        let mut backoffs = self.load.backoffs.borrow_mut();
        let backoff = backoffs.entry(peer).or_default();
        backoff.record_failure(is_refusal, rand::random(), self.clock.now());
    }
}

fn refuse(error: LoadError) -> FleetResponse {
    metrics::counter!("load_refused", "reason" => error.reason()).increment(1);
    FleetResponse::Load(Err(error.code()))
}
