//! Proposer of the register: one round that changes its value.
//!
//! A round first collects promises from a quorum, and with them the newest value. It then derives a value
//! from that one and writes it to a quorum. A change of voters is written to a quorum of the previous and of
//! the new voters, and completed before a further change. A proposer that knows only older voters therefore
//! always reaches a voter whose response contains the newer ones.

use super::{Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica, Voters};
use comfreyhold_types::routes::StateChange;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Changes that a round is to make.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Proposal {
    /// Changes of the shared state, applied in this order.
    pub changes: Vec<StateChange>,
    /// Change of the voters, if any.
    pub voters: Option<VoterChange>,
}

/// A change of the voters. It has no effect if the voters are no longer `from` when it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterChange {
    /// Voters when the change was decided.
    pub from: BTreeSet<Replica>,
    /// New voters.
    pub to: BTreeSet<Replica>,
}

/// Requests to send, each with its voter.
pub type VoterRequests = Vec<(Replica, RegisterRequest)>;

/// Progress of a round after a response.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundProgress {
    /// The round goes on; send these requests, if any.
    Send(VoterRequests),
    /// A value is chosen. If an earlier change of voters had to be completed first, it does not include the
    /// proposal.
    Chosen {
        /// Chosen value.
        value: Arc<RegisterValue>,
        /// Proposal for another round, if one is needed.
        next: Option<Proposal>,
    },
    /// A voter has promised this higher ballot; the round has failed.
    Preempted(Ballot),
}

enum RoundPhase {
    Prepare,
    Accept { value: Arc<RegisterValue>, includes_proposal: bool, accepted: BTreeSet<DiskId> },
}

/// One round of a proposer.
pub struct Round {
    ballot: Ballot,
    /// Newest value received so far.
    newest: Arc<RegisterValue>,
    proposal: Proposal,
    /// Folders of the voters that have promised, with the ballot of their newest value.
    promised: BTreeMap<DiskId, Ballot>,
    /// Voters that a `Prepare` was returned for.
    contacted: BTreeSet<Replica>,
    phase: RoundPhase,
}

impl Round {
    /// Starts a round from the newest value that the proposer knows, and returns the first requests.
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
            contacted: BTreeSet::new(),
            phase: RoundPhase::Prepare,
        };
        let requests = round.prepare_requests();
        (round, requests)
    }

    /// Ballot of this round.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether the round has its promises and writes a value.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        matches!(self.phase, RoundPhase::Accept { .. })
    }

    /// Handles the response of a voter.
    pub fn handle_response(&mut self, from: DiskId, response: RegisterResponse) -> RoundProgress {
        match response {
            RegisterResponse::Rejected { promised } if promised > self.ballot => {
                RoundProgress::Preempted(promised)
            }
            RegisterResponse::Promised { accepted, value }
                if matches!(self.phase, RoundPhase::Prepare) =>
            {
                self.handle_promise(from, accepted, value)
            }
            RegisterResponse::Accepted => self.handle_accepted(from),
            _ => RoundProgress::Send(Vec::new()),
        }
    }

    fn prepare_requests(&mut self) -> VoterRequests {
        let request = RegisterRequest::Prepare { ballot: self.ballot, known: self.newest.ballot };
        let new_voters =
            self.newest.voters.all().into_iter().filter(|voter| self.contacted.insert(*voter));
        new_voters.map(|voter| (voter, request.clone())).collect()
    }

    fn handle_promise(
        &mut self,
        from: DiskId,
        accepted: Ballot,
        value: Option<Arc<RegisterValue>>,
    ) -> RoundProgress {
        self.promised.insert(from, accepted);
        let mut requests = Vec::new();
        if let Some(value) = value.filter(|value| value.ballot > self.newest.ballot) {
            self.newest = value;
            requests = self.prepare_requests();
        }
        let has_quorum = self.newest.voters.has_quorum(|disk| self.promised.contains_key(&disk));
        if has_quorum { self.start_accept_phase() } else { RoundProgress::Send(requests) }
    }

    /// Whether the promises prove that the newest value was chosen before this round.
    fn newest_was_chosen(&self) -> bool {
        let newest = self.newest.ballot;
        newest != Ballot::default()
            && self.newest.voters.has_quorum(|disk| self.promised.get(&disk) == Some(&newest))
    }

    fn start_accept_phase(&mut self) -> RoundProgress {
        let was_chosen = self.newest_was_chosen();
        let (next, includes_proposal) = self.next_value(was_chosen);
        if was_chosen && next.state == self.newest.state && next.voters == self.newest.voters {
            return RoundProgress::Chosen { value: Arc::clone(&self.newest), next: None };
        }
        let value = Arc::new(RegisterValue { ballot: self.ballot, ..next });
        let request = RegisterRequest::Accept(Arc::clone(&value));
        let voters = value.voters.all();
        self.phase = RoundPhase::Accept { value, includes_proposal, accepted: BTreeSet::new() };
        RoundProgress::Send(voters.into_iter().map(|voter| (voter, request.clone())).collect())
    }

    /// Value to write, and whether it includes the proposal.
    fn next_value(&self, was_chosen: bool) -> (RegisterValue, bool) {
        let mut next = RegisterValue::clone(&self.newest);
        if next.voters.is_changing() && !was_chosen {
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

    fn handle_accepted(&mut self, from: DiskId) -> RoundProgress {
        let RoundPhase::Accept { value, includes_proposal, accepted } = &mut self.phase else {
            return RoundProgress::Send(Vec::new());
        };
        accepted.insert(from);
        if !value.voters.has_quorum(|disk| accepted.contains(&disk)) {
            return RoundProgress::Send(Vec::new());
        }
        // The previous voters are needed for a quorum until another value without them is chosen.
        let next = match (*includes_proposal, value.voters.is_changing()) {
            (false, _) => Some(self.proposal.clone()),
            (true, true) => Some(Proposal::default()),
            (true, false) => None,
        };
        RoundProgress::Chosen { value: Arc::clone(value), next }
    }
}
