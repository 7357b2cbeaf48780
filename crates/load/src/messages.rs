//! Messages about load. They are encoded with postcard, so the order of fields is part of the protocol.

use comfreyhold_types::keys::DomainName;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use strum::IntoStaticStr;
use thiserror::Error;

/// Version of these messages. Messages of another version are refused.
pub const VERSION: u8 = 1;

/// Maximum number of targets in one message. The busiest ones are named if there are more.
pub const MAX_TARGETS: usize = 1_024;

/// Maximum number of services in one message.
pub const MAX_SERVICES: usize = 64;

/// Maximum number of entries in one [`LoadSum`], and of entries whose reports a control daemon keeps.
pub const MAX_ENTRIES: usize = 2_048;

/// Maximum number of failure domains in one message.
pub const MAX_DOMAINS: usize = 64;

/// Maximum length of a failure domain's name, in bytes.
pub const MAX_NAME_BYTES: usize = 255;

/// Longest interval of a report, in milliseconds.
pub const MAX_INTERVAL_MS: u32 = 60_000;

/// Largest number of requests, in any unit, that a message may state for one target or service. It is far above
/// what one machine can have, and keeps a faulty sender from hiding the load of all others.
pub const MAX_COUNT: u32 = 1 << 24;

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

impl ServiceId {
    /// Identifier of the service with a name. All entries derive the same one independently.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        name.hash(&mut hasher);
        let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

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

/// Identifies one start of a process. A later start of the same process is greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SenderStart {
    /// Hash of the process's address, the same after a restart.
    pub sender: u64,
    /// Time of the start, in milliseconds since the Unix epoch by the process's clock.
    pub start: u64,
}

/// One entry's report about one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Sender and time of its start.
    pub from: SenderStart,
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

/// An entry whose report is included in a [`LoadSum`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncludedEntry {
    /// The entry and its start.
    pub from: SenderStart,
    /// Number of the included report.
    pub number: u64,
    /// Position of its failure domain in `domains` of the sum.
    pub domain: u8,
}

/// A control daemon's sum over the fresh reports of its own entries. Sums never include other daemons' sums.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Sender and time of its start.
    pub from: SenderStart,
    /// Number of the sum within that start; it only increases.
    pub number: u64,
    /// Time for which the sender shares load because of its own entries, in milliseconds; 0 if none of them has
    /// been under pressure lately.
    pub pressure_left_ms: u32,
    /// Age of the oldest report that is included, in milliseconds.
    pub age_ms: u32,
    /// Failure domains of the entries.
    pub domains: Vec<DomainName>,
    /// Entries whose reports are included.
    pub entries: Vec<IncludedEntry>,
    /// Loads of targets, for the length of one interval.
    pub targets: Vec<TargetLoad>,
    /// Demand for services.
    pub services: Vec<ServiceTotal>,
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
    /// Number of the receiver's own report that is included; `None` if none is.
    pub own_number: Option<u64>,
    /// Loads of targets, for the length of one interval.
    pub targets: Vec<TargetLoad>,
    /// Demand for services.
    pub services: Vec<ServiceTotal>,
}

/// Why a message about load is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadError {
    /// The sender uses another version of the messages. Holds that version.
    #[error("load messages of version {0} are not understood; this process uses version {VERSION}")]
    OtherVersion(u8),
    /// The message names more targets, services, entries or failure domains than are allowed.
    #[error("too many targets, services, entries or failure domains in a load message")]
    TooLong,
    /// A later message of the sender was received before, or the sender has started anew since.
    #[error("a later load message of the sender has been received")]
    Stale,
    /// The length of the interval is 0 or more than [`MAX_INTERVAL_MS`].
    #[error("the interval of a load report is out of range")]
    BadInterval,
    /// A target, service, entry or failure domain is named twice, or an entry has no failure domain.
    #[error("a load message names something twice or refers to nothing")]
    Inconsistent,
    /// A count is above [`MAX_COUNT`].
    #[error("a count in a load message is out of range")]
    OutOfRange,
    /// As many senders as are allowed have reported lately.
    #[error("too many senders of load messages")]
    TooManySenders,
    /// The sum is the receiver's own.
    #[error("a load sum has come back to its sender")]
    OwnSum,
    /// The message was read long after the request for it.
    #[error("load totals are too old")]
    Late,
}

impl LoadError {
    /// Numeric code of the refusal in responses.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::OtherVersion(_) => 1,
            Self::TooLong => 2,
            Self::Stale => 3,
            Self::BadInterval => 4,
            Self::Inconsistent => 5,
            Self::OutOfRange => 6,
            Self::TooManySenders => 7,
            Self::OwnSum => 8,
            Self::Late => 9,
        }
    }

    /// Short name for metrics and logs.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        self.into()
    }
}
