//! Messages that entries exchange about slots and idempotency keys, and the identifiers used in
//! them.
//!
//! Times travel as remaining durations, since instances share no clock. The receiver adds the
//! duration to its time of receipt, so the deadline that it computes is never earlier than the
//! sender's.

use crate::keys::KeyMessage;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a caller's request across all entries and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Entry that received the request.
    pub entry: InstanceId,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Sequence number of the request within that incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.incarnation, self.number)
    }
}

/// Identifies one attempt of a request to get a slot. The number changes with every dispatcher that
/// is asked; resends keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// 1 for the first attempt.
    pub number: u32,
}

/// Identifies a granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Term of the dispatcher role; every takeover raises it.
    pub epoch: u64,
    /// Instance that granted the slot.
    pub issuer: InstanceId,
    /// Sequence number of the grant within the epoch.
    pub number: u64,
}

/// The targets that one dispatcher is responsible for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// Service of the targets.
    pub service: ServiceId,
    /// Failure domain of the targets.
    pub domain: DomainId,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotOutcome {
    /// A complete response arrived.
    Answered {
        /// Time from the first byte written to the complete response.
        took: Duration,
    },
    /// The target refused before it ran the request.
    Refused,
    /// Nothing was written: the connection to the target failed.
    Failed,
    /// The request was written, but no complete response arrived. The target may still be running
    /// it.
    Unknown,
    /// The request was written, then the connection was closed on purpose, which cancels the
    /// request at the target.
    Cancelled,
    /// The grant was not used.
    Unused,
}

/// A grant that an entry holds, as reported to a new dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Identifier of the grant.
    pub grant: GrantId,
    /// Address of the target.
    pub target: SocketAddr,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// Grants of a dispatcher to its own instance, as recorded by its witness. Some of them may have
/// been released since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRecord {
    /// Instance of the dispatcher.
    pub dispatcher: InstanceId,
    /// Grants to that instance.
    pub grants: Vec<HeldGrant>,
}

/// A message between entries about slots, load or idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Entry to dispatcher: requests a slot. Resent until a reply arrives.
    Acquire {
        /// The attempt that the slot is for.
        attempt: AttemptId,
        /// Pool to take the slot from.
        pool: Pool,
        /// Priority of the request.
        priority: Priority,
        /// Time until the request's deadline.
        remaining: Duration,
        /// Whether a full dispatcher may refuse in favour of another domain with free slots.
        may_redirect: bool,
    },
    /// Dispatcher to entry: the attempt holds a slot until its deadline.
    Grant {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Pool that the slot belongs to.
        pool: Pool,
        /// Identifier of the grant.
        grant: GrantId,
        /// Address to send the request to.
        target: SocketAddr,
        /// Incarnation of the target that the slot was granted on.
        incarnation: Incarnation,
        /// Load of the pool after the grant.
        load: PoolLoad,
    },
    /// Dispatcher to entry: the attempt gets no slot. Also confirms a cancellation.
    Refuse {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Pool that the slot was requested from.
        pool: Pool,
        /// Reason for the refusal; always a code of family 1xxx.
        code: ResultCode,
        /// Whether another failure domain may have free slots.
        elsewhere: bool,
        /// Load of the pool.
        load: PoolLoad,
    },
    /// Entry to dispatcher: the slot is no longer used. Resent until confirmed.
    Release {
        /// Pool that the slot belongs to.
        pool: Pool,
        /// Identifier of the grant.
        grant: GrantId,
        /// How the use of the slot ended.
        outcome: SlotOutcome,
    },
    /// Dispatcher to entry: confirms a release.
    Released {
        /// Pool that the slot belonged to.
        pool: Pool,
        /// Identifier of the grant.
        grant: GrantId,
        /// Load of the pool after the release.
        load: PoolLoad,
    },
    /// Entry to dispatcher: the attempt no longer needs a slot and will not use one.
    Cancel {
        /// Pool that the slot was requested from.
        pool: Pool,
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
    /// Dispatcher to watchers, to the other dispatchers of the service and to possible successors:
    /// the load of its targets.
    Load(LoadReport),
    /// New dispatcher to entries: requests the grants that they hold. Grants of lower epochs that
    /// arrive later must not be used.
    ReportGrants {
        /// Pool that the dispatcher takes over.
        pool: Pool,
        /// Epoch of the new dispatcher.
        epoch: u64,
    },
    /// Entry to new dispatcher: the grants that the entry holds.
    HeldGrants {
        /// Pool of the grants.
        pool: Pool,
        /// Epoch of the dispatcher that requested the report.
        epoch: u64,
        /// All grants that the entry holds in this pool.
        grants: Vec<HeldGrant>,
        /// Grants that this entry recorded as the witness of an earlier dispatcher; `None` if it
        /// was not its witness.
        witnessed: Option<WitnessRecord>,
    },
    /// Dispatcher to its witness: grants to the dispatcher's own instance, for the witness to
    /// record.
    Witness {
        /// Pool of the grants.
        pool: Pool,
        /// Epoch of the dispatcher.
        epoch: u64,
        /// All grants that the witness has not confirmed; empty when the message only appoints it.
        grants: Vec<HeldGrant>,
    },
    /// Witness to dispatcher: the grants are recorded.
    Witnessed {
        /// Pool of the grants.
        pool: Pool,
        /// Epoch of the dispatcher.
        epoch: u64,
        /// Identifiers of the recorded grants.
        grants: Vec<GrantId>,
    },
    /// Dispatcher to its witness: the grant has ended. Not resent, since the record expires at the
    /// deadline anyway.
    Forget {
        /// Pool of the grant.
        pool: Pool,
        /// Identifier of the grant.
        grant: GrantId,
    },
    /// A message of the idempotency register.
    Key(KeyMessage),
    /// Entry to dispatcher: subscribes to load reports. Renewed while the service is in use.
    Watch {
        /// Pool that the reports are about.
        pool: Pool,
    },
}

/// Load of one dispatcher's targets, carried by its replies. Under load, replies show free slots to
/// the entries far sooner than the periodic reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Slots that can be granted now.
    pub free: u32,
    /// Slots of serving targets that this dispatcher may allocate.
    pub capacity: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// Periodic load report of one dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Pool of the dispatcher.
    pub pool: Pool,
    /// Epoch of the dispatcher.
    pub epoch: u64,
    /// Load of the targets.
    pub load: PoolLoad,
    /// Cold targets, at most [`crate::dispatcher::MAX_COLD_REPORTED`]. A successor of the
    /// dispatcher keeps them cold.
    pub cold: Vec<SocketAddr>,
}
