//! Messages about load. They are encoded with postcard, so the order of fields is part of the protocol.

use comfreyhold_types::keys::DomainName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of these messages. Messages of another version are refused.
pub const VERSION: u8 = 1;

/// Maximum number of targets in one message. The busiest ones are named if there are more.
pub const MAX_TARGETS: usize = 1_024;

/// Maximum number of services in one message.
pub const MAX_SERVICES: usize = 64;

/// Requests in flight are sent in units of one sixteenth of a request.
pub const IN_FLIGHT_UNITS: f64 = 16.0;

/// Answer times are sent in units of one sixteenth of the usual answer time of their route.
pub const RATIO_UNITS: f64 = 16.0;

/// Identifies one incarnation of a target: the cookie of its flows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetMark(pub u32);

/// Identifies a service: a hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceId(pub u32);

/// Load of one target, as seen by one entry or added up over several, in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's incarnation.
    pub mark: TargetMark,
    /// Mean number of requests in flight, in units of 1 / [`IN_FLIGHT_UNITS`].
    pub in_flight: u32,
    /// Requests that were answered.
    pub answers: u32,
    /// Sum over these answers of the answer time as a multiple of the usual one of their route, in units of
    /// 1 / [`RATIO_UNITS`].
    pub ratio_sum: u32,
    /// Requests that the target refused, failed, or left without an answer.
    pub failures: u32,
}

/// Demand for one service at one entry in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// First copies of openings that callers sent, whether forwarded or not.
    pub openings: u32,
    /// Mean number of requests in flight, in units of 1 / [`IN_FLIGHT_UNITS`].
    pub in_flight: u32,
}

/// One entry's report about one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Random number of the sender's start.
    pub start: u64,
    /// Number of the report within that start; it only increases.
    pub number: u64,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Length of the interval, in milliseconds.
    pub interval_ms: u32,
    /// Whether the sender sees pressure, so that all entries should report.
    pub under_pressure: bool,
    /// Targets with requests, answers or failures in the interval.
    pub targets: Vec<TargetLoad>,
    /// Services with openings or requests in the interval.
    pub services: Vec<ServiceDemand>,
}

/// Demand of the entries of one failure domain for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainDemand {
    /// The failure domain.
    pub domain: DomainName,
    /// Openings a second.
    pub openings_per_s: u32,
    /// Entries that have reported lately.
    pub entries: u32,
}

/// Demand of all entries for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotal {
    /// The service.
    pub service: ServiceId,
    /// Mean number of requests in flight, in units of 1 / [`IN_FLIGHT_UNITS`].
    pub in_flight: u32,
    /// Demand by failure domain.
    pub domains: Vec<DomainDemand>,
}

/// Load over all entries whose reports are fresh, the receiver included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTotals {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Whether entries are to report at once and at short intervals.
    pub is_sharing: bool,
    /// Age of the oldest report that is included, in milliseconds.
    pub age_ms: u32,
    /// Number of entries whose reports are included.
    pub entries: u32,
    /// Loads of targets, for the length of one interval.
    pub targets: Vec<TargetLoad>,
    /// Demand for services.
    pub services: Vec<ServiceTotal>,
}

/// Why a message about load is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    /// The sender uses another version of the messages. Holds that version.
    #[error("load messages of version {0} are not understood; this process uses version {VERSION}")]
    OtherVersion(u8),
    /// The message names more targets or services than are allowed.
    #[error("too many targets or services in a load message")]
    TooLong,
    /// A later report of the sender was received before, or the sender has started anew since.
    #[error("a later load report of the sender has been received")]
    Stale,
    /// The length of the interval is 0 or more than a minute.
    #[error("the interval of a load report is out of range")]
    BadInterval,
}
