//! The proposing side: one round that changes the register.
//!
//! A round first collects promises from a quorum, which brings the newest value, and then writes a value
//! made from it to a quorum. A change of voters is written to a quorum of the former and of the new
//! voters, and completed before anything is built on it; a proposer that knows older voters therefore
//! always meets a voter that tells it of newer ones.

use super::{Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica, Voters};
use comfreyhold_types::routes::StateChange;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a round is to write.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Proposal {
    /// Changes of the shared state, applied in this order.
    pub changes: Vec<StateChange>,
    /// Change of the voters, if there is one.
    pub voters: Option<VoterChange>,
}

/// A change of the voters. It has no effect if they have changed since it was decided on.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterChange {
    /// Voters that it was decided for.
    pub from: BTreeSet<Replica>,
    /// New voters.
    pub to: BTreeSet<Replica>,
}

/// Requests to send, by voter.
pub type VoterRequests = Vec<(Replica, RegisterRequest)>;

/// State of a round after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundProgress {
    /// Send these requests (there may be none) and go on.
    Send(VoterRequests),
    /// The value is chosen. An earlier change of voters may have been completed in place of the proposal.
    Chosen {
        /// The value.
        value: Arc<RegisterValue>,
        /// What has to be proposed in another round, if anything.
        next: Option<Proposal>,
    },
    /// A higher ballot was met; the round has failed.
    Preempted(Ballot),
}

enum Phase {
    Prepare,
    Accept { value: Arc<RegisterValue>, proposed: bool, accepted: BTreeSet<DiskId> },
}

/// One round.
pub struct Round {
    ballot: Ballot,
    /// The newest value met so far.
    newest: Arc<RegisterValue>,
    proposal: Proposal,
    /// Voters that have promised, with the ballot of their newest value.
    promised: BTreeMap<DiskId, Ballot>,
    asked: BTreeSet<Replica>,
    phase: Phase,
}

impl Round {
    /// Starts a round from the newest value that the proposer knows.
    #[must_use]
    pub fn new(
        ballot: Ballot,
        known: Arc<RegisterValue>,
        proposal: Proposal,
    ) -> (Self, VoterRequests) {
        let mut round = Self {
            ballot,
            newest: known,
            proposal,
            promised: BTreeMap::new(),
            asked: BTreeSet::new(),
            phase: Phase::Prepare,
        };
        let requests = round.ask_voters();
        (round, requests)
    }

    /// Ballot of the round.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Takes in the response of a voter.
    pub fn handle_response(&mut self, from: DiskId, response: RegisterResponse) -> RoundProgress {
        match response {
            RegisterResponse::Rejected { promised } if promised > self.ballot => {
                RoundProgress::Preempted(promised)
            }
            RegisterResponse::Promised { accepted, value }
                if matches!(self.phase, Phase::Prepare) =>
            {
                self.promise(from, accepted, value)
            }
            RegisterResponse::Accepted => self.accepted(from),
            _ => RoundProgress::Send(Vec::new()),
        }
    }

    fn ask_voters(&mut self) -> VoterRequests {
        let request = RegisterRequest::Prepare { ballot: self.ballot, known: self.newest.ballot };
        let new = self.newest.voters.all().into_iter().filter(|voter| self.asked.insert(*voter));
        new.map(|voter| (voter, request.clone())).collect()
    }

    fn promise(
        &mut self,
        from: DiskId,
        accepted: Ballot,
        value: Option<Arc<RegisterValue>>,
    ) -> RoundProgress {
        self.promised.insert(from, accepted);
        let mut requests = Vec::new();
        if let Some(value) = value.filter(|value| value.ballot > self.newest.ballot) {
            self.newest = value;
            requests = self.ask_voters();
        }
        let quorum = self.newest.voters.has_quorum(|disk| self.promised.contains_key(&disk));
        if quorum { self.write() } else { RoundProgress::Send(requests) }
    }

    /// Whether the promises show that the newest value was chosen before this round.
    fn is_chosen(&self) -> bool {
        let newest = self.newest.ballot;
        newest != Ballot::default()
            && self.newest.voters.has_quorum(|disk| self.promised.get(&disk) == Some(&newest))
    }

    fn write(&mut self) -> RoundProgress {
        let chosen = self.is_chosen();
        let (next, proposed) = self.next_value(chosen);
        if chosen && next.state == self.newest.state && next.voters == self.newest.voters {
            return RoundProgress::Chosen { value: Arc::clone(&self.newest), next: None };
        }
        let value = Arc::new(RegisterValue { ballot: self.ballot, ..next });
        let request = RegisterRequest::Accept(Arc::clone(&value));
        let voters = value.voters.all();
        self.phase = Phase::Accept { value, proposed, accepted: BTreeSet::new() };
        RoundProgress::Send(voters.into_iter().map(|voter| (voter, request.clone())).collect())
    }

    /// The value to write, and whether it includes the proposal.
    fn next_value(&self, chosen: bool) -> (RegisterValue, bool) {
        let mut next = RegisterValue::clone(&self.newest);
        if next.voters.is_changing() && !chosen {
            return (next, false);
        }
        for change in &self.proposal.changes {
            next.state.apply(change);
        }
        let previous = next.voters.current;
        let change = self.proposal.voters.as_ref().filter(|change| change.from == previous);
        let current = change.map_or_else(|| previous.clone(), |change| change.to.clone());
        next.voters = Voters { current, previous };
        (next, true)
    }

    fn accepted(&mut self, from: DiskId) -> RoundProgress {
        let Phase::Accept { value, proposed, accepted } = &mut self.phase else {
            return RoundProgress::Send(Vec::new());
        };
        accepted.insert(from);
        if !value.voters.has_quorum(|disk| accepted.contains(&disk)) {
            return RoundProgress::Send(Vec::new());
        }
        // Until the next value no longer names the former voters, a majority of those is needed too.
        let next = match (*proposed, value.voters.is_changing()) {
            (false, _) => Some(self.proposal.clone()),
            (true, true) => Some(Proposal::default()),
            (true, false) => None,
        };
        RoundProgress::Chosen { value: Arc::clone(value), next }
    }
}
