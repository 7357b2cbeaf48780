//! Events that a client handles and actions that it returns.

use crate::attempt::TargetRefusal;
use crate::message::{AttemptId, Message, Pool, RequestId};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request as received from the caller.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Priority in the dispatcher's queue.
    pub priority: Priority,
    /// End of the caller's or the profile's timeout.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Maximum number of attempts that get a slot, including the first.
    pub max_attempts: u8,
}

/// An event that a client handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from another entry.
    Message(InstanceId, Message),
    /// The connection to the target failed; nothing was written.
    TargetUnreachable(AttemptId),
    /// The register refused the request's idempotency key; nothing was written.
    KeyNotWon(AttemptId, ResultCode),
    /// The target refused the request before running it.
    TargetRefused(AttemptId, TargetRefusal),
    /// A complete response arrived.
    Answered(AttemptId),
    /// The connection failed after the write, or the response was incomplete.
    ResponseLost(AttemptId),
    /// The caller disconnected.
    Cancelled(RequestId),
    /// The current dispatcher of each pool.
    Dispatchers(BTreeMap<Pool, InstanceId>),
    /// Whether this entry's lease has expired.
    Isolated(bool),
    /// Failure domains that operators have withdrawn. Requests not yet written move to other
    /// domains.
    DomainsWithdrawn(BTreeSet<DomainId>),
    /// The requests that still run in this withdrawn domain end, either at once or when the
    /// withdrawal time is over.
    EndInFlight(DomainId),
    /// Graceful shutdown: queued requests end, those with a grant finish.
    Stopping,
    /// Time has passed.
    Tick,
}

/// An action that the caller of [`crate::client::Client`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(InstanceId, Message),
    /// Connect to the target and write the request. Call [`crate::client::Client::try_begin_write`]
    /// before the first byte.
    Start {
        /// Attempt that got the slot.
        attempt: AttemptId,
        /// Address of the target.
        target: SocketAddr,
        /// Incarnation of the target.
        incarnation: Incarnation,
        /// Time until the request's deadline, to pass on to the target.
        remaining: Duration,
    },
    /// Close the attempt's connection and don't reuse it.
    Abort(AttemptId),
    /// The request has its final result.
    Finish(RequestId, ResultCode),
}
