//! The voting side: what one folder has promised and accepted.

use super::{Addressed, Ballot, DiskId, Request, Response, Value};
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
    Value(Arc<Value>),
}

/// State of one voter, equal to what its folder holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acceptor {
    disk: DiskId,
    promised: Ballot,
    accepted: Option<Arc<Value>>,
}

/// What to do about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What to sync first, if anything.
    pub write: Option<Write>,
    /// The response, once that is synced.
    pub response: Response,
}

impl Acceptor {
    /// Identity of the folder.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// The newest value.
    #[must_use]
    pub fn accepted(&self) -> Option<&Arc<Value>> {
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
    pub fn decide(&self, addressed: &Addressed) -> Decision {
        let answer = |response| Decision { write: None, response };
        if addressed.to != self.disk {
            return answer(Response::Unavailable);
        }
        match &addressed.request {
            Request::Prepare { ballot, .. } if *ballot <= self.promised => {
                answer(Response::Rejected { promised: self.promised })
            }
            Request::Prepare { ballot, known } => {
                let accepted = self.accepted_ballot();
                let value = self.accepted.clone().filter(|_| accepted > *known);
                let response = Response::Promised { accepted, value };
                Decision { write: Some(Write::Promise(*ballot)), response }
            }
            Request::Accept(value) if value.ballot < self.promised => {
                answer(Response::Rejected { promised: self.promised })
            }
            Request::Accept(value) if self.accepted_ballot() == value.ballot => {
                answer(Response::Accepted)
            }
            Request::Accept(value) => {
                let write = Some(Write::Value(Arc::clone(value)));
                Decision { write, response: Response::Accepted }
            }
            Request::Read => answer(Response::Newest(self.accepted_ballot())),
            Request::Fetch => answer(Response::Fetched(self.accepted.clone())),
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
