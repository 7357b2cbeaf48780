//! Run log of a target: one record per request that reached it.

use serde::{Deserialize, Serialize};
use strum::Display;

/// How a request ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunOutcome {
    /// Started and not ended yet.
    Running,
    /// Ran to its end; the response was handed to the connection.
    Completed,
    /// The caller closed the connection while it was running.
    Cancelled,
    /// The deadline of the request ended the run.
    Deadline,
    /// Refused before running: too many requests at once.
    RefusedShed,
    /// Refused before running: the target is cold.
    RefusedCold,
    /// Refused before running: the target is draining.
    RefusedDraining,
    /// The caller closed the connection before the run started.
    CancelledBeforeStart,
}

impl RunOutcome {
    /// Whether the request was started.
    #[must_use]
    pub fn started(self) -> bool {
        matches!(self, Self::Running | Self::Completed | Self::Cancelled | Self::Deadline)
    }
}

/// One request that reached a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Header `X-Request-Id`.
    pub request_id: Option<String>,
    /// Header `Idempotency-Key`.
    pub key: Option<String>,
    /// Request method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End, in microseconds since the Unix epoch.
    pub end_us: Option<u64>,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Requests running at the start, this one included.
    pub running: u16,
    /// Whether it started beyond the announced slots.
    pub over_slots: bool,
    /// Whether it was sent to another service than the target's.
    pub wrong_service: bool,
}
