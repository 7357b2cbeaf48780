//! Confirms with a quorum that a chosen value is still the newest.

use super::{Ballot, DiskId, Replica, Request, Response, Value};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What a confirmation has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// More responses are needed.
    Waiting,
    /// No newer value had been chosen when the confirmation began.
    Newest,
    /// A voter holds a newer value, which may be chosen or not; a round has to tell.
    Newer(Ballot),
}

/// One confirmation.
pub struct Confirm {
    value: Arc<Value>,
    answered: BTreeSet<DiskId>,
}

impl Confirm {
    /// Starts to confirm a chosen value.
    #[must_use]
    pub fn new(value: Arc<Value>) -> (Self, Vec<(Replica, Request)>) {
        let voters = value.voters.all();
        let requests = voters.into_iter().map(|voter| (voter, Request::Read)).collect();
        (Self { value, answered: BTreeSet::new() }, requests)
    }

    /// Takes in the response of a voter.
    pub fn response(&mut self, from: DiskId, response: &Response) -> Confirmation {
        let Response::Newest(ballot) = response else { return Confirmation::Waiting };
        if *ballot > self.value.ballot {
            return Confirmation::Newer(*ballot);
        }
        self.answered.insert(from);
        let quorum = self.value.voters.has_quorum(|disk| self.answered.contains(&disk));
        if quorum { Confirmation::Newest } else { Confirmation::Waiting }
    }
}
