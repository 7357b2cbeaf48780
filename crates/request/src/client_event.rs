//! Input and output of a client.

use crate::attempt::TargetRefusal;
use crate::message::{AttemptId, Message, Pool, RequestId};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request as the entry received it.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The service.
    pub service: ServiceId,
    /// Its priority.
    pub priority: Priority,
    /// When the caller's or the profile's time is over.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Most attempts, the first included.
    pub max_attempts: u8,
}

/// Input of a client.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message of another entry.
    Message(InstanceId, Message),
    /// The target could not be connected to; nothing was written.
    TargetUnreachable(AttemptId),
    /// The request's key was not won; nothing was written.
    KeyNotWon(AttemptId, ResultCode),
    /// The target refused before running.
    TargetRefused(AttemptId, TargetRefusal),
    /// A whole response arrived.
    Answered(AttemptId),
    /// The connection broke, or the response was cut short.
    ResponseLost(AttemptId),
    /// The caller left.
    Cancelled(RequestId),
    /// Who is dispatcher of each pool.
    Dispatchers(BTreeMap<Pool, InstanceId>),
    /// Whether this entry's lease has expired.
    Isolated(bool),
    /// Failure domains that operators took out. Requests not yet written move elsewhere.
    DomainsWithdrawn(BTreeSet<DomainId>),
    /// Requests that still run in this domain end, at once or when the withdrawal time is over.
    EndInFlight(DomainId),
    /// Graceful shutdown: queued requests end, granted ones finish.
    Stopping,
    /// Time has passed.
    Tick,
}

/// Output of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(InstanceId, Message),
    /// Connect to the target and write the request. Ask
    /// [`crate::client::Client::try_begin_write`] before the first byte.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        target: SocketAddr,
        /// Start number of the target.
        incarnation: Incarnation,
        /// Time left to pass on to the target.
        remaining: Duration,
    },
    /// Close the connection that the attempt uses and don't reuse it.
    Abort(AttemptId),
    /// The request has its final result.
    Finish(RequestId, ResultCode),
}
