//! The voting side: what one folder has promised and accepted.

use super::{AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change that must be synced before its response is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Write {
    /// Identity of a new folder.
    Identity(DiskId),
    /// A promise.
    Promise(Ballot),
    /// An accepted value, which is also a promise of its ballot.
    Value(Arc<RegisterValue>),
}

/// State of one voter, equal to what its folder holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acceptor {
    disk: DiskId,
    promised: Ballot,
    accepted: Option<Arc<RegisterValue>>,
}

/// What to do about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What to sync first, if anything.
    pub write: Option<Write>,
    /// The response, once that is synced.
    pub response: RegisterResponse,
}

impl Acceptor {
    /// Identity of the folder.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// The newest value.
    #[must_use]
    pub fn accepted(&self) -> Option<&Arc<RegisterValue>> {
        self.accepted.as_ref()
    }

    /// The highest ballot promised.
    #[must_use]
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Ballot of the newest value.
    #[must_use]
    pub fn accepted_ballot(&self) -> Ballot {
        self.accepted.as_ref().map(|value| value.ballot).unwrap_or_default()
    }

    /// Decides about a request, without changing anything.
    #[must_use]
    pub fn decide(&self, addressed: &AddressedRequest) -> Decision {
        let answer = |response| Decision { write: None, response };
        if addressed.to != self.disk {
            return answer(RegisterResponse::Unavailable);
        }
        match &addressed.request {
            RegisterRequest::Prepare { ballot, .. } if *ballot <= self.promised => {
                answer(RegisterResponse::Rejected { promised: self.promised })
            }
            RegisterRequest::Prepare { ballot, known } => {
                let accepted = self.accepted_ballot();
                let value = self.accepted.clone().filter(|_| accepted > *known);
                let response = RegisterResponse::Promised { accepted, value };
                Decision { write: Some(Write::Promise(*ballot)), response }
            }
            RegisterRequest::Accept(value) if value.ballot < self.promised => {
                answer(RegisterResponse::Rejected { promised: self.promised })
            }
            RegisterRequest::Accept(value) if self.accepted_ballot() == value.ballot => {
                answer(RegisterResponse::Accepted)
            }
            RegisterRequest::Accept(value) => {
                let write = Some(Write::Value(Arc::clone(value)));
                Decision { write, response: RegisterResponse::Accepted }
            }
            RegisterRequest::Read => answer(RegisterResponse::Newest(self.accepted_ballot())),
            RegisterRequest::Fetch => answer(RegisterResponse::Fetched(self.accepted.clone())),
        }
    }

    /// Takes in a change that is synced.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Identity(disk) => self.disk = disk,
            Write::Promise(ballot) => self.promised = self.promised.max(ballot),
            Write::Value(value) => {
                self.promised = self.promised.max(value.ballot);
                self.accepted = Some(value);
            }
        }
    }
}
