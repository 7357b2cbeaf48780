//! Proposer of the register: one round that changes its value.
//!
//! A round first collects promises from a quorum, and with them the newest value. It then derives a value
//! from that one and writes it to a quorum. A change of voters is written to a quorum of the previous and of
//! the new voters, and completed before a further change. A proposer that knows only older voters therefore
//! always reaches a voter whose response contains the newer ones.

use super::{
    Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica, ValueChange, Voters,
};
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
    Accept {
        value: Arc<RegisterValue>,
        /// The value as changes to the newest one.
        change: Arc<ValueChange>,
        includes_proposal: bool,
        accepted: BTreeSet<DiskId>,
    },
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

    /// Newest value received so far, also from voters that are no quorum.
    #[must_use]
    pub fn newest(&self) -> &Arc<RegisterValue> {
        &self.newest
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
            RegisterResponse::Promised { accepted, .. } => {
                self.promised.insert(from, accepted);
                RoundProgress::Send(self.late_request(from))
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
        let (change, includes_proposal) = self.next_change(was_chosen);
        let value = change.apply_to(&self.newest);
        if was_chosen && value.state == self.newest.state && value.voters == self.newest.voters {
            return RoundProgress::Chosen { value: Arc::clone(&self.newest), next: None };
        }
        let voters = value.voters.all();
        let (value, change, accepted) = (Arc::new(value), Arc::new(change), BTreeSet::new());
        self.phase = RoundPhase::Accept { value, change, includes_proposal, accepted };
        let requests = voters.into_iter().filter_map(|voter| self.accept_request(voter));
        RoundProgress::Send(requests.collect())
    }

    /// Request to accept the value. A voter that holds the newest value gets the changes only, if they are small. One that
    /// has not promised yet may hold it too, and gets its request with its promise.
    fn accept_request(&self, voter: Replica) -> Option<(Replica, RegisterRequest)> {
        let RoundPhase::Accept { value, change, .. } = &self.phase else { return None };
        let promised = self.promised.get(&voter.disk);
        let request = match promised {
            None if change.is_small() && self.contacted.contains(&voter) => return None,
            // The initial value is on no disk.
            Some(accepted)
                if change.is_small()
                    && *accepted == change.base
                    && change.base != Ballot::default() =>
            {
                RegisterRequest::AcceptChange(Arc::clone(change))
            }
            _ => RegisterRequest::Accept(Arc::clone(value)),
        };
        Some((voter, request))
    }

    /// Request to accept the value for a voter that promises when others are asked already.
    fn late_request(&self, from: DiskId) -> VoterRequests {
        let RoundPhase::Accept { value, change, .. } = &self.phase else { return Vec::new() };
        let voter = value.voters.all().into_iter().find(|voter| voter.disk == from);
        let voter = voter.filter(|_| change.is_small());
        voter.and_then(|voter| self.accept_request(voter)).into_iter().collect()
    }

    /// Changes that make the value to write, and whether they include the proposal.
    fn next_change(&self, was_chosen: bool) -> (ValueChange, bool) {
        let (ballot, base) = (self.ballot, self.newest.ballot);
        let voters = &self.newest.voters;
        if voters.is_changing() && !was_chosen {
            let voters = voters.clone();
            return (ValueChange { ballot, base, changes: Vec::new(), voters }, false);
        }
        let previous = voters.current.clone();
        let change = self.proposal.voters.as_ref().filter(|change| change.from == previous);
        let current = change.map_or_else(|| previous.clone(), |change| change.to.clone());
        let (changes, voters) = (self.proposal.changes.clone(), Voters { current, previous });
        (ValueChange { ballot, base, changes, voters }, true)
    }

    fn handle_accepted(&mut self, from: DiskId) -> RoundProgress {
        let RoundPhase::Accept { value, includes_proposal, accepted, .. } = &mut self.phase else {
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
