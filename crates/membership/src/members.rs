//! The members known to one process, and the queue of updates that are still to be disseminated.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;
use strum::Display;

/// Maximum number of updates in one message, which bounds its size.
pub const MAX_UPDATES_PER_MESSAGE: usize = 6;

/// An update is sent this many times, multiplied by the binary logarithm of the member count. With
/// fewer transmissions, some members miss updates under packet loss.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Kind of process that a member is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberRole {
    /// Serves requests and flows of callers.
    Entry,
    /// Keeps the replicated log.
    Control,
}

/// Version of the statements about a member: a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Incarnation of the member that the statement is about.
    pub incarnation: Incarnation,
    /// How many suspicions the member has refuted under this incarnation.
    pub refutation: u32,
}

/// State of a member. At equal rank, the later variant takes precedence.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe; counts as live until the suspicion times out.
    Suspect,
    /// Did not refute a suspicion before it timed out.
    Dead,
    /// Stopped gracefully.
    Left,
}

impl MemberState {
    /// Whether the member belongs to the live set.
    #[must_use]
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// A statement about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that the statement is about.
    pub id: InstanceId,
    /// Version of the statement.
    pub rank: Rank,
    /// State of the member.
    pub state: MemberState,
    /// Kind of process.
    pub role: MemberRole,
    /// Failure domain of the member.
    pub domain: DomainId,
}

impl MemberUpdate {
    /// Whether this statement replaces the other one about the same member.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        (self.rank, self.state) > (other.rank, other.state)
    }
}

/// What this process has recorded about one member.
#[derive(Clone, Copy, Debug)]
pub struct MemberRecord {
    /// The statement that replaced all others so far.
    pub update: MemberUpdate,
    /// When the statement was stored.
    pub since: Instant,
    /// When a suspected member is declared dead; `None` unless it is suspected.
    pub suspect_until: Option<Instant>,
    /// Whether this process raised the suspicion. It then has to probe the member until the suspicion ends.
    pub suspected_locally: bool,
    /// Last time a message of the member arrived, directly or through another member.
    pub last_seen: Option<Instant>,
    /// The member through which this one is reached while direct probes fail; `None` when it is reached
    /// directly.
    pub via: Option<InstanceId>,
}

impl MemberRecord {
    /// Creates the record of a member from which no message has arrived.
    #[must_use]
    pub fn new(update: MemberUpdate, now: Instant) -> Self {
        Self {
            update,
            since: now,
            suspect_until: None,
            suspected_locally: false,
            last_seen: None,
            via: None,
        }
    }

    /// Whether a message of the member arrived at or after `from`, or at any time for `None`.
    #[must_use]
    pub fn seen_since(&self, from: Option<Instant>) -> bool {
        self.last_seen.is_some_and(|seen| from.is_none_or(|from| seen >= from))
    }
}

/// Updates to disseminate; those with the most transmissions left are sent first.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    /// Update about each member, and how many transmissions of it are left.
    updates: BTreeMap<InstanceId, (MemberUpdate, u32)>,
}

impl UpdateQueue {
    /// Queues an update. It replaces a queued one about the same member.
    pub fn push(&mut self, update: MemberUpdate, members: usize) {
        let remaining_sends = RETRANSMIT_FACTOR * log2_ceil(members + 1);
        self.updates.insert(update.id, (update, remaining_sends));
    }

    /// Returns the updates for one message and counts one transmission of each.
    pub fn take_batch(&mut self) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, InstanceId)> =
            self.updates.iter().map(|(id, (_, remaining_sends))| (*remaining_sends, *id)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MAX_UPDATES_PER_MESSAGE);
        order.into_iter().filter_map(|(_, id)| self.take_one(id)).collect()
    }

    fn take_one(&mut self, id: InstanceId) -> Option<MemberUpdate> {
        let (update, remaining_sends) = self.updates.get_mut(&id)?;
        let update = *update;
        *remaining_sends -= 1;
        if *remaining_sends == 0 {
            self.updates.remove(&id);
        }
        Some(update)
    }
}

/// Binary logarithm, rounded up; at least 1.
#[must_use]
pub fn log2_ceil(n: usize) -> u32 {
    n.max(2).next_power_of_two().trailing_zeros()
}
