//! A replicated register for small shared state that any control daemon may change: single-decree Paxos
//! on one value that is replaced as a whole.
//!
//! There is no leader to elect and no log to replay: a daemon changes the state with one round over a
//! majority of the voters, and reads it by asking a majority. The voters are part of the value, so that
//! they change by the same rounds. The state machines here hold no sockets, files or clocks.

pub mod acceptor;
pub mod read;
pub mod repair;
pub mod round;
pub mod store;

use comfreyhold_types::routes::SharedState;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a data folder. A folder that was lost and created anew has another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DiskId(pub u64);

impl DiskId {
    /// Identity of the folder of an initial voter. It is derived from the address, so that all daemons
    /// know the first set of voters without having met.
    #[must_use]
    pub fn initial(address: SocketAddr) -> Self {
        let mut hasher = SipHasher13::new();
        address.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// A control daemon with the folder that it votes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// Identity of its data folder.
    pub disk: DiskId,
    /// Where it answers other daemons.
    pub address: SocketAddr,
}

/// Number of a round. Rounds of different proposers never share one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Count that a proposer raises above every one it has seen.
    pub count: u64,
    /// The proposer's folder.
    pub proposer: DiskId,
    /// Start number of the proposer's process, since a proposer keeps no ballot on its disk.
    pub start: u64,
}

impl Ballot {
    /// The lowest ballot of a proposer above `seen`.
    #[must_use]
    pub fn above(seen: Self, proposer: DiskId, start: u64) -> Self {
        Self { count: seen.count + 1, proposer, start }
    }
}

/// The voters, and those before the last change of voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Voters now.
    pub current: BTreeSet<Replica>,
    /// Voters before the change that made the value; equal to `current` when it changed none.
    pub previous: BTreeSet<Replica>,
}

impl Voters {
    /// Voters that no change is under way of.
    #[must_use]
    pub fn stable(voters: BTreeSet<Replica>) -> Self {
        Self { previous: voters.clone(), current: voters }
    }

    /// Whether the last change of voters has to be completed before the next one.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        self.current != self.previous
    }

    /// Every voter whose answer may count.
    #[must_use]
    pub fn all(&self) -> BTreeSet<Replica> {
        self.current.union(&self.previous).copied().collect()
    }

    /// Whether these answers are a majority of the voters, and of those before the last change.
    #[must_use]
    pub fn has_quorum(&self, answered: impl Fn(DiskId) -> bool) -> bool {
        let majority = |voters: &BTreeSet<Replica>| {
            let count = voters.iter().filter(|voter| answered(voter.disk)).count();
            count > voters.len() / 2
        };
        majority(&self.current) && majority(&self.previous)
    }
}

/// Content of the register under the ballot that wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Ballot of the round that wrote it.
    pub ballot: Ballot,
    /// Who votes.
    pub voters: Voters,
    /// The shared state.
    pub state: SharedState,
}

/// A request to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Asks for the promise to take part in no lower ballot.
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// Ballot of the newest value that the proposer holds; the response leaves that value out.
        known: Ballot,
    },
    /// Writes a value.
    Accept(Arc<RegisterValue>),
    /// Asks for the ballot of the newest value.
    Read,
    /// Asks for the newest value.
    Fetch,
}

/// The response of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegisterResponse {
    /// The promise is synced.
    Promised {
        /// Ballot of the newest value on this disk.
        accepted: Ballot,
        /// That value, if the proposer does not hold it.
        value: Option<Arc<RegisterValue>>,
    },
    /// The value is synced.
    Accepted,
    /// A higher ballot was promised.
    Rejected {
        /// The highest ballot promised.
        promised: Ballot,
    },
    /// Ballot of the newest value on this disk.
    Newest(Ballot),
    /// The newest value on this disk.
    Fetched(Option<Arc<RegisterValue>>),
    /// The folder of the receiver is another one, or can't be written.
    Unavailable,
}

/// A request with the folder that it is meant for. A daemon that lost its folder must not answer for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressedRequest {
    /// Folder of the voter.
    pub to: DiskId,
    /// The request.
    pub request: RegisterRequest,
}
