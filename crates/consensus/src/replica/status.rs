//! Status for operators.

use super::{LogReplica, Role};
use crate::message::LogEntry;
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::keys::{InstanceId, Revision, Term};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// What an instance currently does in the replicated log.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RoleName {
    /// Restarted, and asking its peers what they know about it.
    Rejoining,
    /// Takes in entries and does not vote.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Seeks election.
    Candidate,
    /// Accepts proposals.
    Leader,
    /// Stopped by a storage fault.
    Failed,
}

/// What a leader knows about a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// The follower.
    pub voter: Voter,
    /// Whether it takes in entries without a vote.
    pub learner: bool,
    /// Last entry that it confirmed.
    pub confirmed: Revision,
    /// Milliseconds since the request that it last answered; `None` before the first response.
    pub silent_ms: Option<u64>,
    /// Bytes received of a snapshot that is being sent.
    pub snapshot_bytes: Option<u64>,
}

/// Status of one control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The instance with its data folder.
    pub me: Voter,
    /// What it does.
    pub role: RoleName,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Last entry known to be accepted.
    pub commit: Revision,
    /// Last entry in the log.
    pub last: Revision,
    /// Last entry that the snapshot includes.
    pub snapshot: Revision,
    /// Instances that vote.
    pub voters: Vec<Voter>,
    /// Followers and learners; only known to a leader.
    pub followers: Vec<FollowerStatus>,
    /// Whether the data folder was found to be an older copy.
    pub stale: bool,
    /// The storage fault that stopped the instance.
    pub fault: Option<ResultCode>,
}

impl LogReplica {
    /// Entry at a revision; `None` when it is not in memory.
    #[must_use]
    pub fn entry(&self, revision: Revision) -> Option<&LogEntry> {
        self.log.get(revision)
    }

    /// Status for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        ReplicaStatus {
            me: self.settings.me,
            role: self.role_name(),
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last().index,
            snapshot: self.snapshot.at.index,
            voters: self.config.1.iter().copied().collect(),
            followers: self.follower_statuses(now),
            stale: self.rejoin.stale(),
            fault: self.fault,
        }
    }

    fn role_name(&self) -> RoleName {
        if self.fault.is_some() {
            return RoleName::Failed;
        }
        if self.rejoin.asking() {
            return RoleName::Rejoining;
        }
        match self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleName::Candidate,
            Role::Follower if self.is_voter() && !self.rejoin.stale() => RoleName::Follower,
            Role::Follower => RoleName::Learner,
        }
    }

    fn follower_statuses(&self, now: Instant) -> Vec<FollowerStatus> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let statuses = leader.progress.iter().map(|(voter, progress)| FollowerStatus {
            voter: *voter,
            learner: !self.config.1.contains(voter),
            confirmed: progress.matched,
            silent_ms: progress.heard.map(|heard| {
                let silent = now.saturating_duration_since(heard);
                u64::try_from(silent.as_millis()).unwrap_or(u64::MAX)
            }),
            snapshot_bytes: progress.sending.as_ref().map(|sending| sending.offset),
        });
        statuses.collect()
    }
}
