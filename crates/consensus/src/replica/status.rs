//! Status of a log replica, for operators.

use super::{LogReplica, Role};
use crate::message::LogEntry;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{InstanceId, Revision, Term};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Role of a control instance in the replicated log.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RoleName {
    /// Restarted; takes no part until its peers have reported what they know of its earlier votes and entries.
    Rejoining,
    /// Receives log entries and does not vote.
    Learner,
    /// Votes, and receives log entries of a leader if there is one.
    Follower,
    /// Requests votes.
    Candidate,
    /// Accepts proposals.
    Leader,
    /// Stopped by a storage fault.
    Failed,
}

/// Replication status of one follower, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// Follower and its data folder.
    pub voter: Voter,
    /// Whether it receives log entries without a vote.
    pub learner: bool,
    /// Last log entry that it confirmed as synced.
    pub confirmed: Revision,
    /// Age of the latest request that it has responded to, in milliseconds; `None` before the first response.
    pub silent_ms: Option<u64>,
    /// Bytes that it has received of a snapshot; `None` while none is being sent.
    pub snapshot_bytes: Option<u64>,
}

/// Status of one control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Local instance and its data folder.
    pub me: Voter,
    /// Role in the replicated log.
    pub role: RoleName,
    /// Current term.
    pub term: Term,
    /// Leader of the term; `None` when unknown.
    pub leader: Option<InstanceId>,
    /// Last log entry known to be committed.
    pub commit: Revision,
    /// Last log entry, committed or not.
    pub last: Revision,
    /// Last log entry that the snapshot includes.
    pub snapshot: Revision,
    /// Instances that vote.
    pub voters: Vec<Voter>,
    /// Followers and learners; empty unless this instance is leader.
    pub followers: Vec<FollowerStatus>,
    /// Whether the data folder was found to be an older copy.
    pub stale: bool,
    /// Storage fault that stopped the replica; `None` while it runs.
    pub fault: Option<ResultCode>,
}

impl LogReplica {
    /// Log entry at a revision; `None` when it is not in memory.
    #[must_use]
    pub fn entry(&self, revision: Revision) -> Option<&LogEntry> {
        self.log.get(revision)
    }

    /// Current status, for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        ReplicaStatus {
            me: self.settings.me,
            role: self.role_name(),
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last().index,
            snapshot: self.snapshot.at.index,
            voters: self.config.1.iter().copied().collect(),
            followers: self.follower_statuses(now),
            stale: self.rejoin.is_stale(),
            fault: self.fault,
        }
    }

    fn role_name(&self) -> RoleName {
        if self.fault.is_some() {
            return RoleName::Failed;
        }
        if self.rejoin.is_asking() {
            return RoleName::Rejoining;
        }
        match self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleName::Candidate,
            Role::Follower if self.is_voter() && !self.rejoin.is_stale() => RoleName::Follower,
            Role::Follower => RoleName::Learner,
        }
    }

    fn follower_statuses(&self, now: Instant) -> Vec<FollowerStatus> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let statuses = leader.progress.iter().map(|(voter, progress)| FollowerStatus {
            voter: *voter,
            learner: !self.config.1.contains(voter),
            confirmed: progress.match_index,
            silent_ms: progress.last_acked_send.map(|sent| {
                let age = now.saturating_duration_since(sent);
                u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
            }),
            snapshot_bytes: progress.outgoing_snapshot.as_ref().map(|outgoing| outgoing.offset),
        });
        statuses.collect()
    }
}
