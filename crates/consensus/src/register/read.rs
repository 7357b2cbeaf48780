//! Quorum read: finds the newest chosen value from the responses of a quorum, without writing anything.

use super::{Ballot, DiskId, RegisterRequest, RegisterValue, Replica};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Outcome of a quorum read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// No quorum has responded yet.
    Waiting,
    /// The value of this ballot is chosen, and no newer one was chosen before the read began.
    Chosen(Ballot),
    /// A quorum has responded, but the newest value is not known to be on a quorum of disks. Unless further
    /// responses show that it is, a proposer has to run a round, which chooses a value.
    Unsettled,
}

/// A quorum read in progress.
pub struct QuorumRead {
    known: Arc<RegisterValue>,
    /// Whether `known` is known to be chosen.
    is_chosen: bool,
    /// Ballot of the newest value on each disk, as far as voters have responded.
    ballots: BTreeMap<DiskId, Ballot>,
}

impl QuorumRead {
    /// Starts a read and returns the requests to send to the voters of the newest value known. `is_chosen` says
    /// whether that value is known to be chosen.
    #[must_use]
    pub fn new(
        known: Arc<RegisterValue>,
        is_chosen: bool,
    ) -> (Self, Vec<(Replica, RegisterRequest)>) {
        let voters = known.voters.all();
        let requests = voters.into_iter().map(|voter| (voter, RegisterRequest::Read)).collect();
        (Self { known, is_chosen, ballots: BTreeMap::new() }, requests)
    }

    /// Records the ballot of the newest value on a voter's disk.
    pub fn record_response(&mut self, from: DiskId, ballot: Ballot) -> ReadOutcome {
        self.ballots.insert(from, ballot);
        self.outcome()
    }

    /// Outcome of the responses so far.
    #[must_use]
    pub fn outcome(&self) -> ReadOutcome {
        let voters = &self.known.voters;
        if !voters.has_quorum(|disk| self.ballots.contains_key(&disk)) {
            return ReadOutcome::Waiting;
        }
        let newest = self.newest_ballot();
        if self.is_chosen && newest <= self.known.ballot {
            return ReadOutcome::Chosen(self.known.ballot);
        }
        // The initial value was never written, so no disk can show that it is chosen.
        let is_on_quorum = newest != Ballot::default()
            && voters.has_quorum(|disk| self.ballots.get(&disk) == Some(&newest));
        if is_on_quorum { ReadOutcome::Chosen(newest) } else { ReadOutcome::Unsettled }
    }

    /// Highest ballot in the responses; the default when there is none.
    #[must_use]
    pub fn newest_ballot(&self) -> Ballot {
        self.ballots.values().copied().max().unwrap_or_default()
    }

    /// A voter whose disk holds the newest value; `None` before the first response.
    #[must_use]
    pub fn newest_value_holder(&self) -> Option<Replica> {
        let newest = self.newest_ballot();
        let mut voters = self.known.voters.all().into_iter().rev();
        voters.find(|voter| self.ballots.get(&voter.disk) == Some(&newest))
    }
}
