//! Numbered result codes of requests, messages and operations. `docs/errors.md` lists them.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// Category of a result code, given by its thousands digit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Family {
    /// 0xxx: the work is done.
    Done,
    /// 1xxx: the request provably did not run.
    NotRun,
    /// 2xxx: the request may have run.
    Unknown,
    /// 3xxx: an operator's request was refused or has no outcome yet.
    Operator,
    /// 4xxx: a target's announcement was refused.
    Announcement,
    /// 5xxx: a message between comfreyhold processes was refused.
    Peer,
    /// 6xxx: a storage fault.
    Storage,
}

/// Numbered result of a request, message or operation. Numbers are never reused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ResultCode {
    /// The work is done.
    Ok = 0,
    /// The recorded response of an earlier attempt with the same idempotency key; the request did not run
    /// again.
    Replayed = 1,
    /// No service has this name or address.
    NoSuchService = 1001,
    /// No target of the service accepts new work.
    NoTarget = 1002,
    /// The queue is full, or a request of higher priority displaced this one.
    Shed = 1003,
    /// The deadline expired before the request could start.
    DeadlineBeforeStart = 1004,
    /// The target refused the request before running it.
    TargetRefused = 1005,
    /// The caller cancelled the request before it started.
    CancelledBeforeStart = 1006,
    /// This instance is stopping and accepts no new work.
    Stopping = 1007,
    /// No connection to the target could be established.
    TargetUnreachable = 1008,
    /// The request is malformed.
    BadRequest = 1009,
    /// The request body exceeds the size limit.
    RequestTooLarge = 1010,
    /// No dispatcher of the service responded.
    NoDispatcher = 1011,
    /// The request was written to a target, but no complete response arrived.
    AnswerLost = 2001,
    /// The deadline expired while the request was running.
    DeadlineWhileRunning = 2002,
    /// Another attempt with the same idempotency key holds the right to run.
    KeyInUse = 2003,
    /// The record of the idempotency key can't be read from enough replicas.
    KeyRecordLost = 2004,
    /// The request completed earlier, and its response was not stored.
    AnswerNotKept = 2005,
    /// The caller cancelled the request while it was running.
    CancelledWhileRunning = 2006,
    /// The failure domain was withdrawn while the request was running.
    DomainOutWhileRunning = 2007,
    /// The same idempotency key was used with different request content.
    KeyContentMismatch = 2008,
    /// The document is not valid YAML or JSON.
    BadDocument = 3001,
    /// A field is unknown, missing or out of range.
    BadField = 3002,
    /// Another publication holds this version number.
    VersionConflict = 3003,
    /// The version number is not the last one plus one.
    VersionGap = 3004,
    /// Nothing with this name, version or path exists.
    UnknownName = 3005,
    /// No majority of the control instances is reachable.
    NoQuorum = 3006,
    /// This instance is not the leader.
    NotLeader = 3007,
    /// The outcome of the publication is not known yet.
    OutcomePending = 3008,
    /// The document exceeds the size limit.
    DocumentTooLarge = 3009,
    /// The control instance can't be replaced at present.
    MemberChangeRefused = 3010,
    /// The order has waited for so long that its sender may have given it up. It was not carried out.
    OrderExpired = 3011,
    /// No route has the service address of the packet to explain.
    NoRoute = 3012,
    /// The cookie of the packet to explain belongs to no target that the entry knows.
    UnknownCookie = 3013,
    /// The entry has not received any routes yet.
    NoRoutesYet = 3014,
    /// The entry is busy or stalled, or can't be reached, and explains nothing.
    ExplainUnavailable = 3015,
    /// The announcement is malformed.
    BadAnnouncement = 4001,
    /// The address belongs to another service.
    AddressConflict = 4002,
    /// A newer incarnation has announced itself.
    OldIncarnation = 4003,
    /// The settings don't allow targets of this failure domain here.
    DomainNotAllowed = 4004,
    /// The service is not declared.
    ServiceNotDeclared = 4005,
    /// The frame can't be decoded.
    BadFrame = 5001,
    /// The protocol version is not supported.
    BadVersion = 5002,
    /// The term is older than the receiver's.
    OldTerm = 5003,
    /// The revision is older than the one in effect at the receiver.
    OldRevision = 5004,
    /// The message is for another instance or incarnation.
    WrongReceiver = 5005,
    /// The frame exceeds the size limit.
    FrameTooLarge = 5006,
    /// A log record before the tail fails its checksum.
    LogCorrupt = 6001,
    /// The disk is full.
    DiskFull = 6002,
    /// A write could not be synced to the disk.
    SyncFailed = 6003,
    /// The data folder is older than the state that peers have confirmed.
    StaleDisk = 6004,
    /// The data folder can't be opened.
    DataFolder = 6005,
}

impl ResultCode {
    /// Number of the code, as sent in headers and bodies.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Category of the code.
    #[must_use]
    pub fn family(self) -> Family {
        match self.number() / 1000 {
            0 => Family::Done,
            1 => Family::NotRun,
            2 => Family::Unknown,
            3 => Family::Operator,
            4 => Family::Announcement,
            5 => Family::Peer,
            _ => Family::Storage,
        }
    }

    /// HTTP status of a response with this code.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            Self::Ok | Self::Replayed => 200,
            Self::NoSuchService | Self::UnknownName | Self::ServiceNotDeclared => 404,
            Self::RequestTooLarge | Self::DocumentTooLarge => 413,
            Self::BadRequest
            | Self::BadDocument
            | Self::BadField
            | Self::BadAnnouncement
            | Self::NoRoute
            | Self::UnknownCookie
            | Self::NoRoutesYet => 400,
            Self::DeadlineWhileRunning => 504,
            Self::KeyInUse
            | Self::VersionConflict
            | Self::VersionGap
            | Self::AddressConflict
            | Self::OldIncarnation
            | Self::MemberChangeRefused => 409,
            Self::KeyContentMismatch => 422,
            Self::DomainNotAllowed => 403,
            Self::OutcomePending => 202,
            other if other.family() == Family::Unknown => 502,
            _ => 503,
        }
    }
}
