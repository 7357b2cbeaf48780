//! Acceptor of the register: what one voter has promised and accepted.

use super::{AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change of an acceptor, which must be synced before the response is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AcceptorWrite {
    /// Identity of a new folder.
    Identity(DiskId),
    /// A promise to reject lower ballots.
    Promise(Ballot),
    /// An accepted value, which implies the promise of its ballot.
    Value(Arc<RegisterValue>),
}

/// State of one voter, as stored in its data folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acceptor {
    disk: DiskId,
    promised: Ballot,
    accepted: Option<Arc<RegisterValue>>,
}

/// How to handle a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Change to sync before responding, if any.
    pub write: Option<AcceptorWrite>,
    /// Response to send once `write` is synced.
    pub response: RegisterResponse,
}

impl Acceptor {
    /// Identity of the data folder; the default until one is applied.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Newest accepted value, if any.
    #[must_use]
    pub fn accepted(&self) -> Option<&Arc<RegisterValue>> {
        self.accepted.as_ref()
    }

    /// Highest ballot promised.
    #[must_use]
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Ballot of the newest accepted value; the default when there is none.
    #[must_use]
    pub fn accepted_ballot(&self) -> Ballot {
        self.accepted.as_ref().map(|value| value.ballot).unwrap_or_default()
    }

    /// Decides how to handle a request, without changing the state.
    #[must_use]
    pub fn decide(&self, addressed: &AddressedRequest) -> Decision {
        let respond = |response| Decision { write: None, response };
        if addressed.to != self.disk {
            return respond(RegisterResponse::Unavailable);
        }
        match &addressed.request {
            RegisterRequest::Prepare { ballot, .. } if *ballot <= self.promised => {
                respond(RegisterResponse::Rejected { promised: self.promised })
            }
            RegisterRequest::Prepare { ballot, known } => {
                let accepted = self.accepted_ballot();
                let value = self.accepted.clone().filter(|_| accepted > *known);
                let response = RegisterResponse::Promised { accepted, value };
                Decision { write: Some(AcceptorWrite::Promise(*ballot)), response }
            }
            RegisterRequest::Accept(value) if value.ballot < self.promised => {
                respond(RegisterResponse::Rejected { promised: self.promised })
            }
            RegisterRequest::Accept(value) if self.accepted_ballot() == value.ballot => {
                respond(RegisterResponse::Accepted)
            }
            RegisterRequest::Accept(value) => {
                let write = Some(AcceptorWrite::Value(Arc::clone(value)));
                Decision { write, response: RegisterResponse::Accepted }
            }
            RegisterRequest::AcceptChange(change) if change.ballot < self.promised => {
                respond(RegisterResponse::Rejected { promised: self.promised })
            }
            RegisterRequest::AcceptChange(change) if self.accepted_ballot() == change.ballot => {
                respond(RegisterResponse::Accepted)
            }
            RegisterRequest::AcceptChange(change) => {
                let base = self.accepted.as_ref().filter(|value| value.ballot == change.base);
                // The promise keeps the voter from accepting another value in between.
                let Some(base) = base else { return respond(RegisterResponse::Unavailable) };
                let write = Some(AcceptorWrite::Value(Arc::new(change.apply_to(base))));
                Decision { write, response: RegisterResponse::Accepted }
            }
            RegisterRequest::Read => respond(RegisterResponse::Newest(self.accepted_ballot())),
            RegisterRequest::Fetch => respond(RegisterResponse::Fetched(self.accepted.clone())),
        }
    }

    /// Applies a change that is synced.
    pub fn apply(&mut self, write: AcceptorWrite) {
        match write {
            AcceptorWrite::Identity(disk) => self.disk = disk,
            AcceptorWrite::Promise(ballot) => self.promised = self.promised.max(ballot),
            AcceptorWrite::Value(value) => {
                self.promised = self.promised.max(value.ballot);
                self.accepted = Some(value);
            }
        }
    }
}
