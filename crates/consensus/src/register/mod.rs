//! A replicated register for small shared state that any control daemon may change. It runs single-decree
//! Paxos on one value that is replaced as a whole.
//!
//! There is no leader election and no log. A daemon changes the state with one round over a majority of the
//! voters ([`round`]), and reads it with a quorum read ([`read`]). The voters are part of the value, so they
//! change by the same rounds. Apart from [`store`], the modules do no I/O and read no clock.

pub mod acceptor;
pub mod read;
pub mod repair;
pub mod round;
pub mod store;

use comfreyhold_types::routes::{SharedState, StateChange};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a data folder. A folder that was lost and created again has another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DiskId(pub u64);

impl DiskId {
    /// Identity of the folder of an initial voter. It is derived from the address, so that every daemon can
    /// compute the first set of voters without contacting the others.
    #[must_use]
    pub fn initial(address: SocketAddr) -> Self {
        let mut hasher = SipHasher13::new();
        address.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// A control daemon and the data folder that it votes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// Identity of its data folder.
    pub disk: DiskId,
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
}

/// Ballot number of a round, unique among all rounds of all proposers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Counter that a proposer raises above every one that it has seen.
    pub count: u64,
    /// Data folder of the proposer.
    pub proposer: DiskId,
    /// Incarnation of the proposer's process. It keeps ballots unique across restarts, since a proposer does not
    /// store its ballots.
    pub start: u64,
}

impl Ballot {
    /// Lowest ballot of a proposer that is above `seen`.
    #[must_use]
    pub fn above(seen: Self, proposer: DiskId, start: u64) -> Self {
        Self { count: seen.count + 1, proposer, start }
    }
}

/// The voters of a value, and those before the last change of voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Present voters.
    pub current: BTreeSet<Replica>,
    /// Voters before the change that made the value; equal to `current` when it changed none.
    pub previous: BTreeSet<Replica>,
}

impl Voters {
    /// A set of voters without a change in progress.
    #[must_use]
    pub fn stable(voters: BTreeSet<Replica>) -> Self {
        Self { previous: voters.clone(), current: voters }
    }

    /// Whether a change of voters is in progress; it must be completed before the next one.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        self.current != self.previous
    }

    /// Present and previous voters.
    #[must_use]
    pub fn all(&self) -> BTreeSet<Replica> {
        self.current.union(&self.previous).copied().collect()
    }

    /// Whether the voters with `responded` are a majority of the present voters and of the previous ones.
    #[must_use]
    pub fn has_quorum(&self, responded: impl Fn(DiskId) -> bool) -> bool {
        let majority = |voters: &BTreeSet<Replica>| {
            let count = voters.iter().filter(|voter| responded(voter.disk)).count();
            count > voters.len() / 2
        };
        majority(&self.current) && majority(&self.previous)
    }
}

/// Value of the register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Ballot of the round that wrote it; the default for the initial value, which no round wrote.
    pub ballot: Ballot,
    /// Voters of the register.
    pub voters: Voters,
    /// State that the control daemons share.
    pub state: SharedState,
}

/// A value as changes to another one. It is small where the value is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueChange {
    /// Ballot of the new value.
    pub ballot: Ballot,
    /// Ballot of the value that is changed. Two values never have the same one.
    pub base: Ballot,
    /// Changes of its state, applied in this order.
    pub changes: Vec<StateChange>,
    /// Voters of the new value.
    pub voters: Voters,
}

impl ValueChange {
    /// Whether the changes hold no publication, which is as large as the value.
    #[must_use]
    pub fn is_small(&self) -> bool {
        !self.changes.iter().any(|change| matches!(change, StateChange::Publish(_)))
    }

    /// Applies the changes to the value that they are meant for.
    #[must_use]
    pub fn apply_to(&self, base: &RegisterValue) -> RegisterValue {
        let mut state = base.state.clone();
        for change in &self.changes {
            state.apply(change);
        }
        RegisterValue { ballot: self.ballot, voters: self.voters.clone(), state }
    }
}

/// A request to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Asks for the promise to reject lower ballots.
    Prepare {
        /// Ballot of the round.
        ballot: Ballot,
        /// Ballot of the newest value that the proposer holds. The response contains a value only if it is newer.
        known: Ballot,
    },
    /// Asks to accept a value.
    Accept(Arc<RegisterValue>),
    /// Asks for the ballot of the newest accepted value.
    Read,
    /// Asks for the newest accepted value.
    Fetch,
    /// Asks to accept a value that the voter derives from the one which it has accepted last.
    AcceptChange(Arc<ValueChange>),
}

/// Response of a voter to a [`RegisterRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegisterResponse {
    /// The promise is synced.
    Promised {
        /// Ballot of the newest value on this voter's disk.
        accepted: Ballot,
        /// That value; `None` if the proposer holds it or a newer one.
        value: Option<Arc<RegisterValue>>,
    },
    /// The value is synced.
    Accepted,
    /// The request conflicts with an earlier promise.
    Rejected {
        /// Highest ballot promised.
        promised: Ballot,
    },
    /// Ballot of the newest value on this voter's disk.
    Newest(Ballot),
    /// The newest value on this voter's disk; `None` if it has accepted none.
    Fetched(Option<Arc<RegisterValue>>),
    /// The receiver has another data folder, or can't write to it.
    Unavailable,
}

/// A request and the data folder that it is for. A daemon that has lost that folder must not respond in its
/// place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressedRequest {
    /// Data folder of the voter.
    pub to: DiskId,
    /// Request to the voter.
    pub request: RegisterRequest,
}
