//! Run log of a target: one record per request that reached it.

use serde::{Deserialize, Serialize};
use strum::Display;

/// How a request ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunOutcome {
    /// Started, and still running.
    Running,
    /// Ran to completion; its response was passed to the connection.
    Completed,
    /// The connection was closed while the request was running.
    Cancelled,
    /// The request's deadline passed while it was running.
    Deadline,
    /// Refused before it ran: too many requests were running.
    RefusedShed,
    /// Refused before it ran: the target is cold.
    RefusedCold,
    /// Refused before it ran: the target is draining.
    RefusedDraining,
    /// The connection was closed before the request started.
    CancelledBeforeStart,
}

impl RunOutcome {
    /// Whether the request started to run.
    #[must_use]
    pub fn started(self) -> bool {
        matches!(self, Self::Running | Self::Completed | Self::Cancelled | Self::Deadline)
    }
}

/// One request that reached a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Value of the header `X-Request-Id`.
    pub request_id: Option<String>,
    /// Value of the header `Idempotency-Key`.
    pub key: Option<String>,
    /// Request method.
    pub method: String,
    /// Path, including the query.
    pub path: String,
    /// Start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End, in microseconds since the Unix epoch; absent while it runs.
    pub end_us: Option<u64>,
    /// How the request ended at the target.
    pub outcome: RunOutcome,
    /// Requests running at its start, including this one.
    pub running: u16,
    /// Whether it started while all announced slots were in use.
    pub over_slots: bool,
    /// Whether it was addressed to another service than the target's.
    pub wrong_service: bool,
}
