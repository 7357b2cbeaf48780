//! The control daemons that are known: the seeds, those that have said hello, and those that others name.

use crate::messages::{ControlState, StartId};
use comfreyhold_consensus::register::Replica;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a silent daemon that is neither seed nor voter is still called. Partitions end within
/// seconds or an hour; after a longer one the daemon itself calls the seeds.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time after which an address that only others have named is dropped, if it never answers.
const FORGET_UNHEARD: Duration = Duration::from_secs(15);

/// Most daemons known, so that wrong addresses can't exhaust the memory. The users allow 7 for control.
const MAX_PEERS: usize = 64;

/// What is known about another control daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last state; `None` before it has said anything.
    pub state: Option<ControlState>,
    /// When it was last heard.
    pub heard: Option<Instant>,
    since: Instant,
    /// Number of states in a row whose targets differed from those here.
    pub differing: u32,
}

/// All of them.
pub struct Peers {
    me: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Starts from the seeds.
    #[must_use]
    pub fn new(me: SocketAddr, seeds: &[SocketAddr], now: Instant) -> Self {
        let mut peers = Self { me, seeds: BTreeSet::new(), peers: BTreeMap::new() };
        peers.set_seeds(seeds, now);
        peers
    }

    /// Takes over other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Instant) {
        self.seeds = seeds.iter().copied().collect();
        self.add(seeds.iter().copied(), now);
    }

    /// Adds addresses that others have named.
    pub fn add(&mut self, addresses: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        for address in addresses {
            if address != self.me && self.peers.len() < MAX_PEERS {
                let peer = Peer { state: None, heard: None, since: now, differing: 0 };
                self.peers.entry(address).or_insert(peer);
            }
        }
    }

    /// Takes in a daemon's state. `targets` is the digest of the targets here. Returns whether it has
    /// started anew since it was last heard.
    pub fn hear(&mut self, state: ControlState, targets: u64, now: Instant) -> bool {
        let address = state.replica.address;
        if address == self.me {
            return false;
        }
        self.add([address], now);
        self.add(state.peers.iter().copied(), now);
        let Some(peer) = self.peers.get_mut(&address) else { return false };
        let anew = peer.start() != Some(state.start);
        peer.differing = if state.targets == targets { 0 } else { peer.differing + 1 };
        peer.state = Some(state);
        peer.heard = Some(now);
        anew
    }

    /// Forgets daemons that have been silent for long. Voters and seeds are kept.
    pub fn forget(&mut self, voters: &BTreeSet<Replica>, now: Instant) {
        let seeds = &self.seeds;
        self.peers.retain(|address, peer| {
            let needed = seeds.contains(address) || voters.iter().any(|v| v.address == *address);
            let limit = if peer.heard.is_some() { FORGET_AFTER } else { FORGET_UNHEARD };
            needed || now < peer.heard.unwrap_or(peer.since) + limit
        });
    }

    /// Addresses of all of them.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Those heard within a time.
    pub fn heard_within(
        &self,
        limit: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&SocketAddr, &ControlState)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let fresh = peer.heard.is_some_and(|heard| now < heard + limit);
            peer.state.as_ref().filter(|_| fresh).map(|state| (address, state))
        })
    }

    /// A peer by its address.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<&Peer> {
        self.peers.get(address)
    }

    /// A peer by its address, to change it.
    pub fn get_mut(&mut self, address: &SocketAddr) -> Option<&mut Peer> {
        self.peers.get_mut(address)
    }
}

impl Peer {
    fn start(&self) -> Option<StartId> {
        self.state.as_ref().map(|state| state.start)
    }
}
