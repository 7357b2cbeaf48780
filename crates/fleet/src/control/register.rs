//! The replicated register: runs reads and rounds of proposals over the connections to the voters.

use super::voter::Voter;
use crate::connections::ConnectionPool;
use crate::messages::{FleetRequest, FleetResponse, IncarnationId};
use comfreyhold_consensus::register::read::{QuorumRead, ReadOutcome};
use comfreyhold_consensus::register::round::{Proposal, Round, RoundProgress, VoterRequests};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica,
};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::routes::{
    MAX_DOMAIN_NAME_BYTES, MAX_PUBLICATION_BYTES, MAX_TABLE_BYTES, MAX_WITHDRAWN, StateChange,
};
use comfreyhold_wire::envelope::{MAX_BODY_BYTES, encode_body};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Mutex;

/// Deadline for a voter's response. An operator's call waits one second, so this leaves it time to receive a
/// response that there is no majority.
const VOTE_DEADLINE: Duration = Duration::from_millis(800);

/// Base of the randomized backoff after another proposer has preempted a round. It doubles with each attempt,
/// and is several times the duration of a round between domains.
const PREEMPTED_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum backoff after a preempted round: several times the duration of a round with the largest
/// publications on the slowest machines.
const MAX_PREEMPTED_BACKOFF: Duration = Duration::from_millis(800);

/// Size from which a document makes rounds take noticeably longer, in bytes.
const LARGE_DOCUMENT_BYTES: usize = 256 * 1024;

/// Document bytes that a round handles in a second, on control daemons with 0.15 of a core and links of 170 Mbit/s.
const ROUND_BYTES_PER_S: f64 = 1.5 * 1024.0 * 1024.0;

/// Interval between checks whether the round of another daemon has ended.
const ROUND_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between quorum reads while another daemon may be writing a large value.
const UNSETTLED_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a proposal is not repeated any more. Operators have given it up by then.
const PROPOSAL_LIFETIME: Duration = Duration::from_secs(6);

/// Maximum number of rounds for one proposal. After that it fails with [`RegisterError::Contention`], and the
/// caller may retry.
const MAX_ROUNDS: u32 = 8;

/// Maximum number of quorum reads for one read of the register. The first one may find voters that this
/// daemon did not know, and the second one may run into another change of voters. After that the read runs a
/// round.
const MAX_QUORUM_READS: u32 = 3;

/// Timeout for the remaining responses of a quorum read once a majority has responded. The slowest healthy
/// voter responds within it.
const STRAGGLER_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of chosen values that are kept, so that entries that are slightly behind receive differences
/// instead of whole tables.
const MAX_CHOSEN_VALUES: usize = 8;

/// Space for the voters and the remaining fields of the largest value, in bytes.
const VOTERS_ALLOWANCE: usize = 4 * 1024;

/// A value with a publication of the maximum size fits into a message: its document, its table, the former services, of
/// which those of present routes are smaller than the table, and the withdrawn domains.
const _: () = assert!(
    MAX_PUBLICATION_BYTES
        + 2 * MAX_TABLE_BYTES
        + MAX_WITHDRAWN * (MAX_DOMAIN_NAME_BYTES + 2)
        + VOTERS_ALLOWANCE
        <= MAX_BODY_BYTES
);

/// Why the register could not be read or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RegisterError {
    /// No majority of the voters has responded; the change may still take effect.
    #[error("no majority of the voters has answered")]
    NoQuorum,
    /// Other proposers have preempted every round.
    #[error("other changes were under way all the time")]
    Contention,
    /// No voters are known yet.
    #[error("this daemon has not found the others yet")]
    NotJoined,
    /// The change is no longer wanted. It has not been made, and will not be.
    #[error("the order has waited for too long; it was not carried out")]
    Expired,
    /// The state would exceed a limit. The change has not been made.
    #[error(
        "the shared state has a limit: {MAX_WITHDRAWN} withdrawn domains with names of \
         {MAX_DOMAIN_NAME_BYTES} bytes, and {MAX_BODY_BYTES} bytes in all"
    )]
    TooLarge,
}

impl RegisterError {
    /// Result code for a response to an operator.
    #[must_use]
    pub fn code(self) -> ResultCode {
        match self {
            Self::NoQuorum | Self::Contention | Self::NotJoined => ResultCode::NoQuorum,
            Self::Expired => ResultCode::OrderExpired,
            Self::TooLarge => ResultCode::DocumentTooLarge,
        }
    }
}

enum RoundOutcome {
    Chosen(Arc<RegisterValue>, Option<Proposal>),
    Preempted {
        /// Whether a voter may have accepted the value, so that another proposer may complete it.
        was_written: bool,
    },
    /// Nothing was written, since the change is no longer wanted.
    Unwanted,
    NoQuorum,
}

/// One daemon's proposer and learner of the replicated register.
pub struct Register {
    me: Replica,
    incarnation: IncarnationId,
    voter: Rc<Voter>,
    connections: Rc<ConnectionPool>,
    /// Values learned to be chosen, oldest first, up to [`MAX_CHOSEN_VALUES`].
    chosen: RefCell<VecDeque<Arc<RegisterValue>>>,
    /// Value that the first round starts from: the initial value, the one on the local disk, or a
    /// newer one fetched from a voter.
    base: RefCell<Option<Arc<RegisterValue>>>,
    /// Highest ballot seen so far.
    highest_ballot: Cell<Ballot>,
    /// Held during a proposal, so that the rounds of this daemon do not preempt each other.
    proposing: Mutex<()>,
}

impl Register {
    /// Creates a register that starts from the value on the local disk, or else from `initial`.
    #[must_use]
    pub fn new(
        me: Replica,
        incarnation: IncarnationId,
        voter: Rc<Voter>,
        connections: Rc<ConnectionPool>,
        initial: Option<Arc<RegisterValue>>,
    ) -> Self {
        let base = voter.accepted().or(initial);
        let highest_ballot = voter.promised();
        Self {
            me,
            incarnation,
            voter,
            connections,
            chosen: RefCell::new(VecDeque::new()),
            base: RefCell::new(base),
            highest_ballot: Cell::new(highest_ballot),
            proposing: Mutex::new(()),
        }
    }

    /// The newest value learned to be chosen; `None` until the first one.
    #[must_use]
    pub fn chosen(&self) -> Option<Arc<RegisterValue>> {
        self.chosen.borrow().back().cloned()
    }

    /// Ballot of the newest value learned to be chosen.
    #[must_use]
    pub fn chosen_ballot(&self) -> Ballot {
        self.chosen().map(|value| value.ballot).unwrap_or_default()
    }

    /// Finds a chosen value by the change number of its state. `None` if it is no longer kept.
    #[must_use]
    pub fn chosen_at(&self, change: u64) -> Option<Arc<RegisterValue>> {
        self.chosen.borrow().iter().rev().find(|value| value.state.change == change).cloned()
    }

    /// The newest value known, chosen or not.
    #[must_use]
    pub fn newest_known(&self) -> Option<Arc<RegisterValue>> {
        let values = [self.chosen(), self.base.borrow().clone(), self.voter.accepted()];
        values.into_iter().flatten().max_by_key(|value| value.ballot)
    }

    /// Ballot of the accepted value on the local disk, if it is not known to be chosen.
    #[must_use]
    pub fn unconfirmed(&self) -> Option<Ballot> {
        let accepted = self.voter.accepted().map(|value| value.ballot);
        accepted.filter(|accepted| *accepted > self.chosen_ballot())
    }

    /// Learns a chosen value. Returns whether it is newer than the last one learned.
    pub fn learn(&self, value: &Arc<RegisterValue>) -> bool {
        if value.ballot <= self.chosen_ballot() {
            return false;
        }
        let mut chosen = self.chosen.borrow_mut();
        // A rewrite under a higher ballot shares the state, which can be large, with the value before.
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
        while chosen.len() > MAX_CHOSEN_VALUES {
            chosen.pop_front();
        }
        true
    }

    /// Learns the value chosen under `ballot` if the local disk holds it. Returns whether it does and the
    /// value is newer than the last one learned.
    pub fn learn_accepted(&self, ballot: Ballot) -> bool {
        let accepted = self.voter.accepted().filter(|value| value.ballot == ballot);
        accepted.is_some_and(|value| self.learn(&value))
    }

    /// Proposes a change until it is chosen. An empty proposal rewrites the newest value, which completes an
    /// unfinished write.
    ///
    /// `is_wanted` is asked once a majority has promised to accept no earlier round, before the change is written.
    /// A change that another daemon makes after that moment therefore takes effect after this one.
    ///
    /// # Errors
    /// No majority of the voters responds, no voters are known yet, other proposers preempt every round, or the
    /// change is no longer wanted.
    pub async fn propose(
        &self,
        proposal: &Proposal,
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<Arc<RegisterValue>, RegisterError> {
        let _guard = self.proposing.lock().await;
        let mut proposal = proposal.clone();
        let mut may_take_effect = false;
        let mut is_made = false;
        let started = tokio::time::Instant::now();
        for attempt in 1..=MAX_ROUNDS {
            if started.elapsed() >= PROPOSAL_LIFETIME {
                break;
            }
            if !is_made && !is_urgent(&proposal) {
                self.wait_for_other_round().await;
            }
            let is_wanted = || is_made || is_wanted();
            match self.run_round(proposal.clone(), &is_wanted).await? {
                RoundOutcome::Chosen(value, next) => {
                    self.learn(&value);
                    match next {
                        None => return Ok(value),
                        Some(next) => {
                            // What is left is to complete a change of voters, which makes nothing else.
                            is_made = next == Proposal::default();
                            proposal = next;
                        }
                    }
                }
                RoundOutcome::NoQuorum => return Err(RegisterError::NoQuorum),
                RoundOutcome::Unwanted if may_take_effect => return Err(RegisterError::NoQuorum),
                RoundOutcome::Unwanted => return Err(RegisterError::Expired),
                RoundOutcome::Preempted { was_written } => {
                    may_take_effect |= was_written;
                    let round_time = self.round_time();
                    let backoff = (PREEMPTED_BACKOFF + round_time) * (1 << attempt.min(8));
                    let max_backoff = MAX_PREEMPTED_BACKOFF + 2 * round_time;
                    let jitter = rand::rng().random::<f64>();
                    tokio::time::sleep(backoff.min(max_backoff).mul_f64(jitter)).await;
                }
            }
        }
        Err(RegisterError::Contention)
    }

    /// Runs one round with a new ballot: prepares it, and writes the proposal's changes.
    async fn run_round(
        &self,
        proposal: Proposal,
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<RoundOutcome, RegisterError> {
        let known = self.newest_known().ok_or(RegisterError::NotJoined)?;
        let highest = self.highest_ballot.get().max(known.ballot).max(self.voter.promised());
        let ballot = Ballot::above(highest, self.me.disk, self.incarnation.0);
        self.highest_ballot.set(ballot);
        let (mut round, requests) = Round::new(ballot, known, proposal);
        let mut calls = FuturesUnordered::new();
        let call_all = |requests: VoterRequests| {
            requests.into_iter().map(|(to, req)| self.call_voter(to, req))
        };
        calls.extend(call_all(requests));
        while let Some((from, response)) = calls.next().await {
            let Some(response) = response else { continue };
            let was_writing = round.is_writing();
            match round.handle_response(from, response) {
                RoundProgress::Send(requests) => {
                    if round.is_writing() && !was_writing {
                        if !is_wanted() {
                            return Ok(RoundOutcome::Unwanted);
                        }
                        check_size(&requests)?;
                    }
                    calls.extend(call_all(requests));
                }
                RoundProgress::Chosen { value, next } => {
                    return Ok(RoundOutcome::Chosen(value, next));
                }
                RoundProgress::Preempted(ballot) => {
                    self.highest_ballot.set(self.highest_ballot.get().max(ballot));
                    // The next round need not receive the newest value again, from each voter.
                    self.keep_as_base(round.newest());
                    return Ok(RoundOutcome::Preempted { was_written: round.is_writing() });
                }
            }
        }
        Ok(RoundOutcome::NoQuorum)
    }

    /// Waits while the round of another daemon may be in progress, which a round of this daemon would preempt. Rounds with a
    /// small value don't wait. The time after the end of that round is random, so that those who have waited don't begin at
    /// once.
    async fn wait_for_other_round(&self) {
        let round_time = self.round_time();
        let started = tokio::time::Instant::now();
        while started.elapsed() < 2 * round_time && self.sees_other_round(round_time) {
            while started.elapsed() < 2 * round_time && self.sees_other_round(round_time) {
                tokio::time::sleep(ROUND_CHECK_INTERVAL).await;
            }
            let jitter = rand::rng().random::<f64>();
            tokio::time::sleep(round_time.mul_f64(jitter / 4.0)).await;
        }
    }

    /// Whether the local voter has seen a round of another daemon begin within `round_time`, whose value is not known to be
    /// chosen.
    fn sees_other_round(&self, round_time: Duration) -> bool {
        self.voter.last_round().is_some_and(|(ballot, begun)| {
            ballot.proposer != self.me.disk
                && ballot > self.chosen_ballot()
                && begun.elapsed() < round_time
        })
    }

    /// Additional time that a round needs because the newest value is large.
    pub fn round_time(&self) -> Duration {
        let newest = self.newest_known();
        let publication = newest.as_ref().and_then(|value| value.state.publication.as_ref());
        let bytes = publication.map_or(0, |publication| publication.document.len());
        let large_bytes = bytes.saturating_sub(LARGE_DOCUMENT_BYTES);
        Duration::from_secs_f64(large_bytes as f64 / ROUND_BYTES_PER_S)
    }

    /// Reads the newest value, confirmed by a majority after this call began. Writes only if the responses do
    /// not show which value is chosen. While a large value is written, they don't for a while: the read waits then, since
    /// its own round would preempt that one.
    ///
    /// # Errors
    /// No majority of the voters responds, no voters are known yet, or other proposers preempt every round.
    pub async fn read_newest(&self) -> Result<Arc<RegisterValue>, RegisterError> {
        let (mut reads, started) = (0, tokio::time::Instant::now());
        let patience = 1.0 + 2.0 * rand::rng().random::<f64>();
        while reads < MAX_QUORUM_READS {
            let known = self.newest_known().ok_or(RegisterError::NotJoined)?;
            let is_chosen = known.ballot == self.chosen_ballot() && self.chosen().is_some();
            let (read, outcome) = self.quorum_read(Arc::clone(&known), is_chosen).await;
            match outcome {
                ReadOutcome::Waiting => return Err(RegisterError::NoQuorum),
                ReadOutcome::Chosen(ballot) if ballot == known.ballot => {
                    self.learn(&known);
                    return Ok(known);
                }
                ReadOutcome::Chosen(_) => {
                    reads += 1;
                    if !self.fetch_newest(&read).await {
                        break;
                    }
                }
                ReadOutcome::Unsettled
                    if started.elapsed() < self.round_time().mul_f64(patience) =>
                {
                    tokio::time::sleep(UNSETTLED_RETRY_INTERVAL).await;
                }
                ReadOutcome::Unsettled if self.proposing.try_lock().is_err() => {
                    // A round of this daemon is about to settle it.
                    reads += 1;
                    drop(self.proposing.lock().await);
                }
                ReadOutcome::Unsettled => break,
            }
        }
        self.propose(&Proposal::default(), &|| true).await
    }

    /// Asks the voters for the ballots of their newest values. If the responses of a majority do not show
    /// which value is chosen, the remaining voters get [`STRAGGLER_TIMEOUT`] to decide it.
    async fn quorum_read(
        &self,
        known: Arc<RegisterValue>,
        is_chosen: bool,
    ) -> (QuorumRead, ReadOutcome) {
        let (mut read, requests) = QuorumRead::new(known, is_chosen);
        let mut calls: FuturesUnordered<_> =
            requests.into_iter().map(|(to, request)| self.call_voter(to, request)).collect();
        let mut timeout = VOTE_DEADLINE;
        while let Ok(Some((from, response))) = tokio::time::timeout(timeout, calls.next()).await {
            let Some(RegisterResponse::Newest(ballot)) = response else { continue };
            match read.record_response(from, ballot) {
                ReadOutcome::Waiting => {}
                outcome @ ReadOutcome::Chosen(_) => return (read, outcome),
                ReadOutcome::Unsettled => timeout = STRAGGLER_TIMEOUT,
            }
        }
        let outcome = read.outcome();
        (read, outcome)
    }

    /// Fetches the newest value that a quorum read has found, as the base of the next one. Its voters may
    /// differ from those asked before. Returns whether it is newer than the newest known value.
    async fn fetch_newest(&self, read: &QuorumRead) -> bool {
        let Some(holder) = read.newest_value_holder() else { return false };
        match self.call_voter(holder, RegisterRequest::Fetch).await {
            (_, Some(RegisterResponse::Fetched(Some(value)))) => self.keep_as_base(&value),
            _ => false,
        }
    }

    /// Keeps a value that a voter holds, chosen or not, if it is newer than the newest known one. Returns whether it is.
    fn keep_as_base(&self, value: &Arc<RegisterValue>) -> bool {
        let known_ballot = self.newest_known().map(|known| known.ballot).unwrap_or_default();
        let is_newer = value.ballot > known_ballot;
        if is_newer {
            *self.base.borrow_mut() = Some(Arc::clone(value));
        }
        is_newer
    }

    /// Sends a request to a voter, which may be the local one. The response is `None` if the call fails.
    async fn call_voter(
        &self,
        to: Replica,
        request: RegisterRequest,
    ) -> (DiskId, Option<RegisterResponse>) {
        let addressed = AddressedRequest { to: to.disk, request };
        if to.address == self.me.address {
            let response =
                tokio::time::timeout(VOTE_DEADLINE, self.voter.handle_request(addressed)).await;
            return (to.disk, response.ok());
        }
        let request = FleetRequest::Vote(addressed);
        match self.connections.call(to.address, &request, VOTE_DEADLINE).await {
            Ok(FleetResponse::Vote(response)) => (to.disk, Some(response)),
            Ok(_) => (to.disk, None),
            Err(error) => {
                log::debug!("voter at {}: {error}", to.address);
                (to.disk, None)
            }
        }
    }
}

/// Whether a proposal has an order whose caller waits for a second only.
fn is_urgent(proposal: &Proposal) -> bool {
    proposal.changes.iter().any(|change| matches!(change, StateChange::Withdraw { .. }))
}

/// Checks that the other voters can receive a value. One that only the local voter accepts would be proposed again by each
/// later round, and never be chosen.
fn check_size(requests: &VoterRequests) -> Result<(), RegisterError> {
    let is_whole = |request: &RegisterRequest| matches!(request, RegisterRequest::Accept(_));
    let Some((to, request)) = requests.iter().find(|(_, request)| is_whole(request)) else {
        return Ok(());
    };
    let addressed = AddressedRequest { to: to.disk, request: request.clone() };
    encode_body(&FleetRequest::Vote(addressed)).map(|_| ()).map_err(|error| {
        log::error!("register: a value can't be sent to the voters: {error}");
        RegisterError::TooLarge
    })
}
