//! Reports the entry's load to a control daemon while load is shared, and applies the totals over all entries.
//!
//! Calls about load use a connection of their own: one that fails must not close the connection for updates.

use super::watch::LOCAL_SOURCE;
use super::{Entry, PacketCodec};
use crate::backoff::Backoff;
use crate::connections::ConnectionPool;
use crate::control::{LOAD_POLL_TIMEOUT, sender_start};
use crate::messages::{FleetRequest, FleetResponse};
use comfreyhold_load::sums::REPORT_INTERVAL;
use comfreyhold_load::{LoadError, LoadReport, LoadTotals, SenderStart};
use comfreyhold_wire::error::WireError;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Deadline for the response to a poll, which a daemon holds for [`LOAD_POLL_TIMEOUT`].
const POLL_DEADLINE: Duration = LOAD_POLL_TIMEOUT.saturating_add(Duration::from_millis(600));

/// Deadline for the response to a report. Totals that are read later are dropped: the process was frozen, or the
/// network held them for so long that they say nothing about the present.
const REPORT_DEADLINE: Duration = Duration::from_secs(1);

/// State of the exchange of load at an entry.
pub(super) struct LoadExchange {
    from: SenderStart,
    connections: ConnectionPool,
    /// Whether the control daemon has said that load is shared.
    is_told: Cell<bool>,
    /// Wakes the exchange for a report before the next interval.
    early: Notify,
}

impl LoadExchange {
    pub(super) fn new(address: SocketAddr, started_ms: u64) -> Self {
        let from = sender_start(address, started_ms);
        Self {
            from,
            connections: ConnectionPool::default(),
            is_told: Cell::new(false),
            early: Notify::new(),
        }
    }
}

/// A request that has not been answered yet.
struct PendingCall {
    control: SocketAddr,
    is_report: bool,
    sent: Instant,
    response: LocalBoxFuture<'static, Result<FleetResponse, WireError>>,
}

/// Waits for the response to a request; for ever if there is none.
async fn response_of(call: &mut Option<PendingCall>) -> Result<FleetResponse, WireError> {
    match call {
        Some(call) => (&mut call.response).await,
        None => std::future::pending().await,
    }
}

impl<C: PacketCodec> Entry<C> {
    pub(super) async fn run_load(self: Rc<Self>) {
        let mut call: Option<PendingCall> = None;
        let mut backoff = Backoff::default();
        let mut last_control = None;
        // Entries that start together report at different times.
        tokio::time::sleep(REPORT_INTERVAL.mul_f64(rand::random())).await;
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let may_report = !call.as_ref().is_some_and(|call| call.is_report);
            tokio::select! {
                () = self.load.early.notified(), if may_report => {
                    // The report of an interval may have been sent since.
                    let is_due = self.balancer.borrow_mut().takes_early_report(self.clock.now());
                    let control = self.load_control().filter(|c| last_control == Some(*c));
                    if is_due && control.is_some() {
                        self.report_load(control, &mut call, &backoff);
                    }
                }
                response = response_of(&mut call) => {
                    if let Some(call) = call.take() {
                        self.receive_load_response(&call, response, &mut backoff);
                    }
                }
                _ = ticks.tick() => {
                    let control = self.load_control();
                    if control.is_some() && control != last_control {
                        call = None;
                        backoff = Backoff::default();
                        self.load.connections.retain(|address| Some(*address) == control);
                        last_control = control;
                    }
                    self.report_load(control, &mut call, &backoff);
                }
            }
        }
    }

    /// Has a report sent before the next interval if the packets that were just handled show the first signs of an
    /// overload, or if entries have begun to share.
    pub(super) fn look_for_early_signs(&self, now: Instant) {
        if self.balancer.borrow_mut().takes_early_report(now) {
            self.load.early.notify_one();
        }
    }

    /// The daemon that the entry reports to: the one that its first source watches, once the routes are known. One that is
    /// cut off knows the load of few entries; the entry reports to another one then.
    fn load_control(&self) -> Option<SocketAddr> {
        let is_joined = self.view.borrow().routing().change > 0;
        let (watched, informed) = (self.watched.borrow(), self.informed.borrow());
        let informed_first = watched.iter().zip(*informed).find(|(_, informed)| *informed);
        let control = informed_first.and_then(|(control, _)| *control).or(watched[LOCAL_SOURCE]);
        control.filter(|_| is_joined)
    }

    /// Ends the interval of a report, and sends the report if load is shared or the entry is under pressure.
    /// Otherwise keeps one poll open. There is at most one request at a time.
    fn report_load(
        self: &Rc<Self>,
        control: Option<SocketAddr>,
        call: &mut Option<PendingCall>,
        backoff: &Backoff,
    ) {
        let now = self.clock.now();
        let (report, age) = {
            let mut balancer = self.balancer.borrow_mut();
            (balancer.load_report(self.load.from, now), balancer.load_totals_age(now))
        };
        if let Some(age) = age {
            metrics::gauge!("load_totals_age_seconds").set(age.as_secs_f64());
        }
        let report = report.map(|mut report| {
            // What a stopping entry sees is no reason for others to report.
            report.under_pressure &= !self.stopping.get();
            report
        });
        let Some(control) = control.filter(|_| backoff.is_over(now)) else { return };
        let reports = self.load.is_told.get() || report.as_ref().is_some_and(|r| r.under_pressure);
        let is_reporting = call.as_ref().is_some_and(|call| call.is_report);
        match (reports, report) {
            (true, Some(report)) if !is_reporting => {
                metrics::counter!("load_reports").increment(1);
                *call = Some(self.start_load_call(control, Some(report), now));
            }
            (false, _) if call.is_none() => *call = Some(self.start_load_call(control, None, now)),
            _ => {}
        }
    }

    fn start_load_call(
        self: &Rc<Self>,
        control: SocketAddr,
        report: Option<LoadReport>,
        sent: Instant,
    ) -> PendingCall {
        let is_report = report.is_some();
        let deadline = if is_report { REPORT_DEADLINE } else { POLL_DEADLINE };
        let request = FleetRequest::Load(report.map(Box::new));
        let entry = Rc::clone(self);
        let response =
            async move { entry.load.connections.call(control, &request, deadline).await };
        PendingCall { control, is_report, sent, response: response.boxed_local() }
    }

    fn receive_load_response(
        &self,
        call: &PendingCall,
        response: Result<FleetResponse, WireError>,
        backoff: &mut Backoff,
    ) {
        let now = self.clock.now();
        let (reason, is_refusal) = match response {
            Ok(FleetResponse::Load(Ok(totals))) => match self.apply_load_totals(call, &totals, now)
            {
                Ok(()) => return backoff.record_success(),
                Err(error) => (error.to_string(), true),
            },
            Ok(FleetResponse::Load(Err(code))) => (format!("refused with code {code}"), false),
            Ok(_) => ("unexpected type of response".to_owned(), true),
            Err(WireError::Refused(code)) => (format!("not understood, code {code}"), true),
            Err(error) => (error.to_string(), false),
        };
        let pause = backoff.record_failure(is_refusal, rand::random(), now);
        log::info!("load exchange with {}: {reason}; pause of {pause:?}", call.control);
        self.set_load_sharing(false, "no-response", None, now);
    }

    /// Applies totals. Those that are read late are dropped, and the exchange goes on.
    ///
    /// # Errors
    /// The totals are malformed or of another version.
    fn apply_load_totals(
        &self,
        call: &PendingCall,
        totals: &LoadTotals,
        now: Instant,
    ) -> Result<(), LoadError> {
        let is_late = now.saturating_duration_since(call.sent) > REPORT_DEADLINE;
        let applied = match (call.is_report, is_late) {
            // A poll only says whether to report.
            (false, _) => comfreyhold_load::book::check_totals(totals),
            (true, true) => Err(LoadError::Late),
            (true, false) => self.balancer.borrow_mut().apply_load_totals(totals, now),
        };
        if let Err(error) = applied {
            metrics::counter!("load_refused", "reason" => error.reason()).increment(1);
            return if error == LoadError::Late { Ok(()) } else { Err(error) };
        }
        let reason = if totals.is_sharing { "told" } else { "no-pressure" };
        self.set_load_sharing(totals.is_sharing, reason, Some(totals), now);
        Ok(())
    }

    /// Records whether the control daemon says that load is shared.
    fn set_load_sharing(
        &self,
        is_sharing: bool,
        reason: &'static str,
        totals: Option<&LoadTotals>,
        now: Instant,
    ) {
        if self.load.is_told.replace(is_sharing) == is_sharing {
            return;
        }
        if is_sharing {
            self.balancer.borrow_mut().record_sharing_begins();
        }
        self.record("load-sharing", || {
            let age = self.balancer.borrow().load_totals_age(now);
            json!({
                "begins": is_sharing,
                "reason": reason,
                "entries": totals.map(|totals| totals.entries),
                "age_ms": age.map(|age| age.as_millis()),
            })
        });
    }
}
