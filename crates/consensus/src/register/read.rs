//! Finds the newest chosen value with the answers of a quorum, without writing anything.

use super::{Ballot, DiskId, RegisterRequest, RegisterValue, Replica};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a survey has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// More answers are needed.
    Waiting,
    /// The value under this ballot is chosen, and none newer was chosen before the survey began.
    Chosen(Ballot),
    /// A quorum has answered, and the newest value is on some disks only; a round has to settle it unless
    /// further answers do.
    Unsettled,
}

/// One survey of the voters.
pub struct QuorumRead {
    known: Arc<RegisterValue>,
    /// Whether `known` is known to be chosen.
    is_chosen: bool,
    answers: BTreeMap<DiskId, Ballot>,
}

impl QuorumRead {
    /// Starts a survey of the voters of the newest value known.
    #[must_use]
    pub fn new(
        known: Arc<RegisterValue>,
        is_chosen: bool,
    ) -> (Self, Vec<(Replica, RegisterRequest)>) {
        let voters = known.voters.all();
        let requests = voters.into_iter().map(|voter| (voter, RegisterRequest::Read)).collect();
        (Self { known, is_chosen, answers: BTreeMap::new() }, requests)
    }

    /// Takes in the ballot of the newest value on a voter's disk.
    pub fn record_response(&mut self, from: DiskId, ballot: Ballot) -> ReadOutcome {
        self.answers.insert(from, ballot);
        self.outcome()
    }

    /// What the answers so far come to.
    #[must_use]
    pub fn outcome(&self) -> ReadOutcome {
        let voters = &self.known.voters;
        if !voters.has_quorum(|disk| self.answers.contains_key(&disk)) {
            return ReadOutcome::Waiting;
        }
        let newest = self.newest();
        if self.is_chosen && newest <= self.known.ballot {
            return ReadOutcome::Chosen(self.known.ballot);
        }
        // The initial value was never written, so no disk can show that it is chosen.
        let settled = newest != Ballot::default()
            && voters.has_quorum(|disk| self.answers.get(&disk) == Some(&newest));
        if settled { ReadOutcome::Chosen(newest) } else { ReadOutcome::Unsettled }
    }

    /// The highest ballot that was answered.
    #[must_use]
    pub fn newest(&self) -> Ballot {
        self.answers.values().copied().max().unwrap_or_default()
    }

    /// A voter whose disk holds the newest value.
    #[must_use]
    pub fn holder(&self) -> Option<Replica> {
        let newest = self.newest();
        let mut voters = self.known.voters.all().into_iter().rev();
        voters.find(|voter| self.answers.get(&voter.disk) == Some(&newest))
    }
}
