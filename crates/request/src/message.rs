//! Messages between entries about slots and idempotency keys, and the keys that name their parts.
//!
//! Times travel as remaining durations, since instances share no clock. A receiver adds the duration
//! to its own time of receipt, so what it computes never ends before the sender's deadline.

use crate::keys::KeyMessage;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A caller's request, as numbered by the entry that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Entry that received the request.
    pub entry: InstanceId,
    /// Start number of that entry.
    pub incarnation: Incarnation,
    /// Count of requests at that entry.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.incarnation, self.number)
    }
}

/// One try of a request to get a slot. Each dispatcher asked gets its own number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// 1 for the first attempt.
    pub number: u32,
}

/// A granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Term of the dispatcher role; every takeover raises it.
    pub epoch: u64,
    /// Instance that granted the slot.
    pub issuer: InstanceId,
    /// Count of grants in this epoch.
    pub number: u64,
}

/// The targets that one dispatcher is responsible for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The service.
    pub service: ServiceId,
    /// The failure domain of the targets.
    pub domain: DomainId,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotOutcome {
    /// A whole response arrived.
    Answered {
        /// Time from first byte written to whole response.
        took: Duration,
    },
    /// The target refused before it ran the request.
    Refused,
    /// Nothing was written: the target could not be connected to.
    Failed,
    /// Written, and no whole response arrived. The target may still be running the request.
    Unknown,
    /// Written, and the connection was closed on purpose, which cancels the request at the target.
    Cancelled,
    /// The grant was not used.
    Unused,
}

/// A grant that an entry holds, as reported to a new dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The grant.
    pub grant: GrantId,
    /// Its target.
    pub target: SocketAddr,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// What a witness has recorded: grants of a dispatcher to its own instance, some of which may have been released
/// since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRecord {
    /// The dispatcher.
    pub dispatcher: InstanceId,
    /// Its grants.
    pub grants: Vec<HeldGrant>,
}

/// What entries exchange about requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Entry to dispatcher: asks for a slot. Resent until answered.
    Acquire {
        /// The attempt that the slot is for.
        attempt: AttemptId,
        /// Targets that may serve it.
        pool: Pool,
        /// Priority of the request.
        priority: Priority,
        /// Time until the request's deadline.
        remaining: Duration,
        /// Whether a full dispatcher may refuse in favour of another domain with free slots.
        may_redirect: bool,
    },
    /// Dispatcher to entry: the attempt has a slot until its deadline.
    Grant {
        /// The attempt.
        attempt: AttemptId,
        /// Targets that the slot belongs to.
        pool: Pool,
        /// The grant.
        grant: GrantId,
        /// Where to send the request.
        target: SocketAddr,
        /// Start number of the target that the slot was granted on.
        incarnation: Incarnation,
        /// Load after the grant.
        load: PoolLoad,
    },
    /// Dispatcher to entry: the attempt gets no slot. Also confirms a cancellation.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Targets that were asked for.
        pool: Pool,
        /// Why; always of family 1xxx.
        code: ResultCode,
        /// Whether another failure domain may have room.
        elsewhere: bool,
        /// Load of the dispatcher.
        load: PoolLoad,
    },
    /// Entry to dispatcher: the slot is no longer used. Resent until confirmed.
    Release {
        /// Targets that the slot belongs to.
        pool: Pool,
        /// The grant.
        grant: GrantId,
        /// How its use ended.
        outcome: SlotOutcome,
    },
    /// Dispatcher to entry: confirms a release.
    Released {
        /// Targets that the slot belonged to.
        pool: Pool,
        /// The grant.
        grant: GrantId,
        /// Load after the release.
        load: PoolLoad,
    },
    /// Entry to dispatcher: the attempt no longer wants a slot and will not use one.
    Cancel {
        /// Targets that were asked for.
        pool: Pool,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Dispatcher to watchers, other dispatchers of the service and possible successors: how loaded its
    /// targets are.
    Load(LoadReport),
    /// New dispatcher to entries: asks for the grants they hold. Grants of lower epochs that arrive
    /// later must not be used.
    ReportGrants {
        /// Targets that the dispatcher takes over.
        pool: Pool,
        /// Its epoch.
        epoch: u64,
    },
    /// Entry to new dispatcher: the grants it holds.
    HeldGrants {
        /// Targets of the grants.
        pool: Pool,
        /// Epoch of the dispatcher that asked.
        epoch: u64,
        /// All grants held on these targets.
        grants: Vec<HeldGrant>,
        /// What this entry has recorded as the witness of an earlier dispatcher.
        witnessed: Option<WitnessRecord>,
    },
    /// Dispatcher to its witness: grants to its own instance that the witness must record.
    Witness {
        /// Targets of the grants.
        pool: Pool,
        /// Epoch of the dispatcher.
        epoch: u64,
        /// All grants that the witness has not confirmed; empty to appoint it.
        grants: Vec<HeldGrant>,
    },
    /// Witness to dispatcher: the grants are recorded.
    Witnessed {
        /// Targets of the grants.
        pool: Pool,
        /// Epoch of the dispatcher.
        epoch: u64,
        /// The grants.
        grants: Vec<GrantId>,
    },
    /// Dispatcher to its witness: the grant has ended. Not resent; the record ends at the deadline.
    Forget {
        /// Targets of the grant.
        pool: Pool,
        /// The grant.
        grant: GrantId,
    },
    /// About the idempotency register.
    Key(KeyMessage),
    /// Entry to dispatcher: asks for load reports. Sent again while the service is in use.
    Watch {
        /// Targets that the reports are about.
        pool: Pool,
    },
}

/// Load of one dispatcher's targets, as carried by its answers. Under load, entries learn of free slots
/// far sooner from these than from the periodic reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Slots that can be granted now.
    pub free: u32,
    /// Slots of serving targets that this dispatcher may allocate.
    pub capacity: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Periodic report of one dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The targets.
    pub pool: Pool,
    /// Epoch of the dispatcher.
    pub epoch: u64,
    /// Load of the targets.
    pub load: PoolLoad,
    /// Cold targets, at most [`crate::dispatcher::MAX_COLD_REPORTED`]; a successor keeps them cold.
    pub cold: Vec<SocketAddr>,
}
