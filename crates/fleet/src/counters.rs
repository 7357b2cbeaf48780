//! Counters of the messages between daemons: calls, bytes and CPU time by kind of message.

use crate::messages::{EntryUpdate, FleetRequest, FleetResponse};
use std::future::poll_fn;
use std::pin::pin;
use std::time::Duration;
use strum::IntoStaticStr;

/// Kind of a message, which is the value of the label `kind`. Requests with several purposes have one kind for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum MessageKind {
    /// Request of a proposer to a voter.
    Vote,
    /// Heartbeat between control daemons.
    Hello,
    /// Notice that a value was chosen.
    Chosen,
    /// Fetch of the newest chosen value.
    Newest,
    /// Announcements received from another daemon, which does not state why it sends them.
    Announced,
    /// Announcements sent because they have changed.
    AnnouncedChange,
    /// Announcements sent to a daemon that has restarted.
    AnnouncedRestart,
    /// Announcements sent because the receiver's digests differ.
    AnnouncedDifference,
    /// Fetch of announcements whose content is not recorded.
    Announcements,
    /// Fetch of the last announcement of a target that ends.
    LastAnnouncement,
    /// Long poll that brought no change.
    WatchIdle,
    /// Long poll that brought changes.
    WatchChanges,
    /// Long poll that brought all targets.
    WatchFull,
    /// Query for the live control daemons.
    Controls,
    /// Poll for the time from which load is shared.
    LoadPoll,
    /// Report of an entry's load.
    LoadReport,
    /// Sum of load reports.
    LoadSum,
    /// Heartbeat between control daemons of a large fleet.
    Relay,
    /// Part of declarations that are too large for one message.
    Part,
    /// Notice that a control daemon is told to stop.
    Stopping,
}

/// One end of a message exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSide {
    /// The process has sent the request.
    Caller,
    /// The process has received the request.
    Receiver,
}

/// Sizes and CPU time of one call at one of its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// End that the record is about.
    pub side: CallSide,
    /// Size of the request, in bytes.
    pub request_bytes: usize,
    /// Size of the response, in bytes; 0 without one.
    pub response_bytes: usize,
    /// CPU time of encoding, decoding and handling, without the transport.
    pub cpu: Duration,
}

impl MessageKind {
    /// Kind of a request. A long poll counts as idle until its response is known.
    #[must_use]
    pub fn of_request(request: &FleetRequest) -> Self {
        match request {
            FleetRequest::Vote(_) => Self::Vote,
            FleetRequest::Hello(_) => Self::Hello,
            FleetRequest::Chosen(..) => Self::Chosen,
            FleetRequest::Newest(_) => Self::Newest,
            FleetRequest::Announced(_) => Self::Announced,
            FleetRequest::Announcements(_) => Self::Announcements,
            FleetRequest::LastAnnouncement(_) => Self::LastAnnouncement,
            FleetRequest::Watch(_) => Self::WatchIdle,
            FleetRequest::Controls => Self::Controls,
            FleetRequest::Load(None) => Self::LoadPoll,
            FleetRequest::Load(Some(_)) => Self::LoadReport,
            FleetRequest::LoadSum(_) => Self::LoadSum,
            FleetRequest::Relay(_) => Self::Relay,
            FleetRequest::Part(_) => Self::Part,
            FleetRequest::Stopping(..) => Self::Stopping,
        }
    }

    /// Kind of a long poll that brought an update.
    #[must_use]
    pub fn of_update(update: &EntryUpdate) -> Self {
        if update.all_targets {
            Self::WatchFull
        } else if update.targets.is_empty()
            && update.declarations.is_none()
            && update.offer.is_none()
        {
            Self::WatchIdle
        } else {
            Self::WatchChanges
        }
    }

    /// Kind of a call of this kind with a response.
    #[must_use]
    pub fn with_response(self, response: &FleetResponse) -> Self {
        match response {
            FleetResponse::News(update) => Self::of_update(update),
            _ => self,
        }
    }
}

/// Adds a call to the metrics.
pub fn count_call(kind: MessageKind, call: &CallRecord) {
    let name: &'static str = kind.into();
    let (sent, received) = match call.side {
        CallSide::Caller => (call.request_bytes, call.response_bytes),
        CallSide::Receiver => (call.response_bytes, call.request_bytes),
    };
    metrics::counter!("fleet_messages", "kind" => name).increment(1);
    metrics::counter!("fleet_message_bytes", "kind" => name, "direction" => "out")
        .increment(sent as u64);
    metrics::counter!("fleet_message_bytes", "kind" => name, "direction" => "in")
        .increment(received as u64);
    count_cpu(kind, call.cpu);
}

/// Adds CPU time to the metrics. A counter holds whole numbers only, so this is a gauge that never decreases.
pub fn count_cpu(kind: MessageKind, cpu: Duration) {
    let name: &'static str = kind.into();
    metrics::gauge!("fleet_message_seconds", "kind" => name).increment(cpu.as_secs_f64());
}

/// Runs a function and adds its CPU time to the metrics.
pub fn measure<T>(kind: MessageKind, run: impl FnOnce() -> T) -> T {
    let started = thread_cpu_time();
    let result = run();
    count_cpu(kind, thread_cpu_time().saturating_sub(started));
    result
}

/// Runs a future, and returns the CPU time that this thread has spent in it.
pub async fn with_cpu_time<F: Future>(future: F) -> (F::Output, Duration) {
    let mut future = pin!(future);
    let mut cpu = Duration::ZERO;
    let output = poll_fn(|cx| {
        let started = thread_cpu_time();
        let poll = future.as_mut().poll(cx);
        cpu += thread_cpu_time().saturating_sub(started);
        poll
    })
    .await;
    (output, cpu)
}

fn thread_cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}
