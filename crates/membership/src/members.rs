//! The members known to one process, and the updates about them that still have to be passed on.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;
use strum::Display;

/// Most updates carried by one message, which bounds its size.
pub const UPDATES_PER_MESSAGE: usize = 6;

/// How often an update is passed on, times the binary logarithm of the member count. Fewer leave some
/// members uninformed under loss.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// What a member does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberRole {
    /// Serves callers.
    Entry,
    /// Holds the replicated log.
    Control,
}

/// Position of a statement about a member: a later one replaces an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Start number of the member.
    pub incarnation: Incarnation,
    /// How many suspicions the member has refuted under this incarnation.
    pub refutation: u32,
}

/// State of a member. At equal rank, the later variant wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Responds.
    Alive,
    /// Did not respond; counts as live until the suspicion ends.
    Suspect,
    /// Did not refute a suspicion in time.
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
    /// The member.
    pub id: InstanceId,
    /// Position of the statement.
    pub rank: Rank,
    /// Its state.
    pub state: MemberState,
    /// What the member does.
    pub role: MemberRole,
    /// Its failure domain.
    pub domain: DomainId,
}

impl MemberUpdate {
    /// Whether this statement replaces the other one about the same member.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        (self.rank, self.state) > (other.rank, other.state)
    }
}

/// What is known about one member.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// The latest statement.
    pub update: MemberUpdate,
    /// When the state was entered.
    pub since: Instant,
    /// When a suspicion turns into death.
    pub suspect_until: Option<Instant>,
    /// Whether this process raised the suspicion and has to probe the member during it.
    pub accused_here: bool,
    /// Last message of the member, directly or through another one.
    pub heard: Option<Instant>,
    /// The member through which it is reached while direct probes fail.
    pub via: Option<InstanceId>,
}

impl Known {
    /// Starts a record.
    #[must_use]
    pub fn new(update: MemberUpdate, now: Instant) -> Self {
        Self {
            update,
            since: now,
            suspect_until: None,
            accused_here: false,
            heard: None,
            via: None,
        }
    }

    /// Whether the member was heard at or after a point in time.
    #[must_use]
    pub fn heard_since(&self, from: Option<Instant>) -> bool {
        self.heard.is_some_and(|heard| from.is_none_or(|from| heard >= from))
    }
}

/// Updates to pass on, the least sent ones first.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    queue: BTreeMap<InstanceId, (MemberUpdate, u32)>,
}

impl Gossip {
    /// Queues an update; it replaces an older one about the same member.
    pub fn push(&mut self, update: MemberUpdate, members: usize) {
        let copies = RETRANSMIT_FACTOR * log2_ceil(members + 1);
        self.queue.insert(update.id, (update, copies));
    }

    /// Takes the updates for one message.
    pub fn take(&mut self) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, InstanceId)> =
            self.queue.iter().map(|(id, (_, copies))| (*copies, *id)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(UPDATES_PER_MESSAGE);
        order.into_iter().filter_map(|(_, id)| self.take_one(id)).collect()
    }

    fn take_one(&mut self, id: InstanceId) -> Option<MemberUpdate> {
        let (update, copies) = self.queue.get_mut(&id)?;
        let update = *update;
        *copies -= 1;
        if *copies == 0 {
            self.queue.remove(&id);
        }
        Some(update)
    }
}

/// Binary logarithm, rounded up; at least 1.
#[must_use]
pub fn log2_ceil(n: usize) -> u32 {
    n.max(2).next_power_of_two().trailing_zeros()
}
