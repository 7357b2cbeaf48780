//! Runs the rounds of the replicated register over the links to the voters.

use super::voter::Voter;
use crate::links::Links;
use crate::messages::{FleetRequest, FleetResponse, StartId};
use comfreyhold_consensus::register::read::{QuorumRead, ReadOutcome};
use comfreyhold_consensus::register::round::{Proposal, Round, RoundProgress, VoterRequests};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica,
};
use comfreyhold_types::codes::ResultCode;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Time in which a voter must answer. It leaves an operator's call, which waits a second, time for an
/// answer that there is no majority.
const VOTE_DEADLINE: Duration = Duration::from_millis(800);

/// Longest pause before the second round of a proposal that another proposer has preempted; it doubles
/// with each further one. It is several times the length of a round between domains.
const PREEMPTED_PAUSE: Duration = Duration::from_millis(25);

/// Limit of that pause: several times the length of a round with the largest publications on the slowest
/// machines.
const MAX_PREEMPTED_PAUSE: Duration = Duration::from_millis(800);

/// Most rounds for one proposal; the caller asks again after that.
const MAX_ROUNDS: u32 = 8;

/// Most surveys for one read: the first may find voters that this daemon did not know, and a second change
/// of voters may cross it.
const MAX_SURVEYS: u32 = 3;

/// Time for answers that are left once a majority has answered, in which the slowest healthy voter answers.
const STRAGGLER_PATIENCE: Duration = Duration::from_millis(60);

/// Chosen values that are kept, so that entries which are slightly behind get differences.
const KEPT_VALUES: usize = 8;

/// Why the register could not be read or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RegisterError {
    /// No majority of the voters has answered; the change may still take effect.
    #[error("no majority of the voters has answered")]
    NoQuorum,
    /// Other proposers were faster each time.
    #[error("other changes were under way all the time")]
    Contention,
    /// No voters are known yet.
    #[error("this daemon has not found the others yet")]
    NotJoined,
}

impl RegisterError {
    /// The numbered result.
    #[must_use]
    pub fn code(self) -> ResultCode {
        ResultCode::NoQuorum
    }
}

enum Attempt {
    Chosen(Arc<RegisterValue>, Option<Proposal>),
    Preempted,
    NoQuorum,
}

/// The register as one daemon sees it.
pub struct Register {
    me: Replica,
    start: StartId,
    voter: Rc<Voter>,
    links: Rc<Links>,
    /// The newest values known to be chosen, the newest last.
    chosen: RefCell<VecDeque<Arc<RegisterValue>>>,
    /// What a first round starts from: the initial value, or what the own disk holds.
    base: RefCell<Option<Arc<RegisterValue>>>,
    seen: Cell<Ballot>,
}

impl Register {
    /// Starts from the initial value of a first start, or from the disk.
    #[must_use]
    pub fn new(
        me: Replica,
        start: StartId,
        voter: Rc<Voter>,
        links: Rc<Links>,
        initial: Option<Arc<RegisterValue>>,
    ) -> Self {
        let base = voter.accepted().or(initial);
        let seen = voter.promised();
        Self {
            me,
            start,
            voter,
            links,
            chosen: RefCell::new(VecDeque::new()),
            base: RefCell::new(base),
            seen: Cell::new(seen),
        }
    }

    /// The newest value known to be chosen.
    #[must_use]
    pub fn chosen(&self) -> Option<Arc<RegisterValue>> {
        self.chosen.borrow().back().cloned()
    }

    /// Its ballot.
    #[must_use]
    pub fn chosen_ballot(&self) -> Ballot {
        self.chosen().map(|value| value.ballot).unwrap_or_default()
    }

    /// A chosen value by the change number of its state, while it is kept.
    #[must_use]
    pub fn chosen_at(&self, change: u64) -> Option<Arc<RegisterValue>> {
        self.chosen.borrow().iter().rev().find(|value| value.state.change == change).cloned()
    }

    /// The newest value known, chosen or not.
    #[must_use]
    pub fn known(&self) -> Option<Arc<RegisterValue>> {
        let known = [self.chosen(), self.base.borrow().clone(), self.voter.accepted()];
        known.into_iter().flatten().max_by_key(|value| value.ballot)
    }

    /// Whether the own disk holds a value that is not known to be chosen.
    #[must_use]
    pub fn has_unconfirmed(&self) -> bool {
        let accepted = self.voter.accepted().map(|value| value.ballot);
        accepted.is_some_and(|accepted| accepted > self.chosen_ballot())
    }

    /// Takes in a value that is chosen. Returns whether it is newer than what was known.
    pub fn learn(&self, value: &Arc<RegisterValue>) -> bool {
        if value.ballot <= self.chosen_ballot() {
            return false;
        }
        let mut chosen = self.chosen.borrow_mut();
        // A repeated write of the same state needs no second copy of it.
        let same_state = chosen.back().filter(|last| last.state.change == value.state.change);
        let value = match same_state {
            Some(last) => {
                let state = last.state.clone();
                Arc::new(RegisterValue {
                    state,
                    ballot: value.ballot,
                    voters: value.voters.clone(),
                })
            }
            None => Arc::clone(value),
        };
        chosen.push_back(value);
        while chosen.len() > KEPT_VALUES {
            chosen.pop_front();
        }
        true
    }

    /// Takes in that the own disk holds the value chosen under a ballot. Returns whether it does and that
    /// is news.
    pub fn learn_accepted(&self, ballot: Ballot) -> bool {
        let accepted = self.voter.accepted().filter(|value| value.ballot == ballot);
        accepted.is_some_and(|value| self.learn(&value))
    }

    /// Changes the register. An empty proposal finds the newest value.
    ///
    /// # Errors
    /// No majority answers, or the daemon has not found the others yet.
    pub async fn propose(&self, proposal: &Proposal) -> Result<Arc<RegisterValue>, RegisterError> {
        let mut proposal = proposal.clone();
        for attempt in 1..=MAX_ROUNDS {
            match self.round(proposal.clone()).await? {
                Attempt::Chosen(value, next) => {
                    self.learn(&value);
                    match next {
                        None => return Ok(value),
                        Some(next) => proposal = next,
                    }
                }
                Attempt::NoQuorum => return Err(RegisterError::NoQuorum),
                Attempt::Preempted => {
                    let longest = PREEMPTED_PAUSE.saturating_mul(1 << attempt.min(8));
                    let share = rand::rng().random::<f64>();
                    tokio::time::sleep(longest.min(MAX_PREEMPTED_PAUSE).mul_f64(share)).await;
                }
            }
        }
        Err(RegisterError::Contention)
    }

    async fn round(&self, proposal: Proposal) -> Result<Attempt, RegisterError> {
        let known = self.known().ok_or(RegisterError::NotJoined)?;
        let seen = self.seen.get().max(known.ballot).max(self.voter.promised());
        let ballot = Ballot::above(seen, self.me.disk, self.start.0);
        self.seen.set(ballot);
        let (mut round, requests) = Round::new(ballot, known, proposal);
        let mut calls = FuturesUnordered::new();
        let ask = |requests: VoterRequests| requests.into_iter().map(|(to, req)| self.ask(to, req));
        calls.extend(ask(requests));
        while let Some((from, response)) = calls.next().await {
            let Some(response) = response else { continue };
            match round.handle_response(from, response) {
                RoundProgress::Send(requests) => calls.extend(ask(requests)),
                RoundProgress::Chosen { value, next } => return Ok(Attempt::Chosen(value, next)),
                RoundProgress::Preempted(ballot) => {
                    self.seen.set(self.seen.get().max(ballot));
                    return Ok(Attempt::Preempted);
                }
            }
        }
        Ok(Attempt::NoQuorum)
    }

    /// The newest value, confirmed by a majority after this call began. Nothing is written as long as the
    /// answers show which value is chosen.
    ///
    /// # Errors
    /// No majority answers, or the daemon has not found the others yet.
    pub async fn newest(&self) -> Result<Arc<RegisterValue>, RegisterError> {
        for _ in 0..MAX_SURVEYS {
            let known = self.known().ok_or(RegisterError::NotJoined)?;
            let is_chosen = known.ballot == self.chosen_ballot() && self.chosen().is_some();
            let (survey, finding) = self.survey(Arc::clone(&known), is_chosen).await;
            match finding {
                ReadOutcome::Waiting => return Err(RegisterError::NoQuorum),
                ReadOutcome::Chosen(ballot) if ballot == known.ballot => {
                    self.learn(&known);
                    return Ok(known);
                }
                ReadOutcome::Chosen(_) => {
                    if !self.fetch(&survey).await {
                        break;
                    }
                }
                ReadOutcome::Unsettled => break,
            }
        }
        self.propose(&Proposal::default()).await
    }

    /// Asks the voters which value is their newest. Once a majority has answered, those that are left get a
    /// little time to settle what the others leave open.
    async fn survey(
        &self,
        known: Arc<RegisterValue>,
        is_chosen: bool,
    ) -> (QuorumRead, ReadOutcome) {
        let (mut survey, requests) = QuorumRead::new(known, is_chosen);
        let mut calls: FuturesUnordered<_> =
            requests.into_iter().map(|(to, request)| self.ask(to, request)).collect();
        let mut patience = VOTE_DEADLINE;
        while let Ok(Some((from, response))) = tokio::time::timeout(patience, calls.next()).await {
            let Some(RegisterResponse::Newest(ballot)) = response else { continue };
            match survey.record_response(from, ballot) {
                ReadOutcome::Waiting => {}
                finding @ ReadOutcome::Chosen(_) => return (survey, finding),
                ReadOutcome::Unsettled => patience = STRAGGLER_PATIENCE,
            }
        }
        let finding = survey.outcome();
        (survey, finding)
    }

    /// Gets the newest value of a survey, to go on from it. Its voters may be others than those asked.
    async fn fetch(&self, survey: &QuorumRead) -> bool {
        let Some(holder) = survey.holder() else { return false };
        match self.ask(holder, RegisterRequest::Fetch).await {
            (_, Some(RegisterResponse::Fetched(Some(value)))) => {
                let known = self.known().map(|known| known.ballot).unwrap_or_default();
                let newer = value.ballot > known;
                if newer {
                    *self.base.borrow_mut() = Some(value);
                }
                newer
            }
            _ => false,
        }
    }

    async fn ask(
        &self,
        to: Replica,
        request: RegisterRequest,
    ) -> (DiskId, Option<RegisterResponse>) {
        let addressed = AddressedRequest { to: to.disk, request };
        if to.address == self.me.address {
            let answer = tokio::time::timeout(VOTE_DEADLINE, self.voter.answer(addressed)).await;
            return (to.disk, answer.ok());
        }
        let request = FleetRequest::Vote(addressed);
        match self.links.call(to.address, &request, VOTE_DEADLINE).await {
            Ok(FleetResponse::Vote(response)) => (to.disk, Some(response)),
            Ok(_) => (to.disk, None),
            Err(error) => {
                log::debug!("voter at {}: {error}", to.address);
                (to.disk, None)
            }
        }
    }
}
