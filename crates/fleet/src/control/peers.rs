//! The control daemons that are known: the seeds, those that have said hello, and those that others name.

use crate::messages::{ControlState, StartId};
use comfreyhold_consensus::register::Replica;
use comfreyhold_membership::announcements::{TargetDigests, TargetGroup};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a silent daemon that is neither seed nor voter is still called. Partitions end within
/// seconds or an hour; after a longer one the daemon itself calls the seeds.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time after which an address that only others have named is dropped, if it never answers.
const FORGET_UNHEARD: Duration = Duration::from_secs(15);

/// Most daemons known, so that wrong addresses can't exhaust the memory. The users allow 7 for control; a
/// deployment that runs one on each of many machines still has all of them in touch with each other.
const MAX_PEERS: usize = 256;

/// States in a row with other targets after which a group of targets is sent. One difference alone is
/// usually an announcement on its way, and some last until a target is silent everywhere.
const DIFFERENCES: u32 = 4;

/// What is known about another control daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last state; `None` before it has said anything.
    pub state: Option<ControlState>,
    /// When it was last heard.
    pub heard: Option<Instant>,
    since: Instant,
    /// Groups of targets that differ from those here, with the number of states in a row in which they did.
    differing: BTreeMap<TargetGroup, u32>,
    /// Time up to which it was told about repeated announcements.
    told: Option<Instant>,
    greeted: Option<Instant>,
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
                self.peers.entry(address).or_insert_with(|| Peer::unheard(now));
            }
        }
    }

    /// Takes in a daemon's state. `targets` are the digests of the targets here. Returns whether it has
    /// started anew since it was last heard.
    pub fn hear(&mut self, state: ControlState, targets: &TargetDigests, now: Instant) -> bool {
        let address = state.replica.address;
        if address == self.me {
            return false;
        }
        self.add([address], now);
        self.add(state.peers.iter().copied(), now);
        let Some(peer) = self.peers.get_mut(&address) else { return false };
        let anew = peer.start() != Some(state.start);
        let differing = state.targets.differing_groups(targets);
        peer.differing.retain(|group, _| differing.contains(group));
        for group in differing {
            *peer.differing.entry(group).or_default() += 1;
        }
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

    /// The groups of targets in which a daemon has differed for long. They start to count anew.
    pub fn take_differing(&mut self, address: &SocketAddr) -> BTreeSet<TargetGroup> {
        let Some(peer) = self.peers.get_mut(address) else { return BTreeSet::new() };
        let lasting = peer.differing.extract_if(.., |_, times| *times >= DIFFERENCES);
        lasting.map(|(group, _)| group).collect()
    }

    /// Time up to which a daemon was told about repeated announcements; from now on it is `until`.
    pub fn tell(&mut self, address: &SocketAddr, until: Option<Instant>) -> Option<Instant> {
        let peer = self.peers.get_mut(address)?;
        std::mem::replace(&mut peer.told, until)
    }

    /// The daemons to greet: those that were not greeted for `interval`. One side of each pair greets, and the
    /// other one too if it has heard nothing for `overdue`.
    pub fn due(
        &mut self,
        interval: Duration,
        overdue: Duration,
        now: Instant,
    ) -> BTreeSet<SocketAddr> {
        let mut due = BTreeSet::new();
        for (address, peer) in &mut self.peers {
            let greeted = peer.greeted.is_some_and(|greeted| now < greeted + interval);
            let silent = peer.heard.is_none_or(|heard| now >= heard + overdue);
            if !greeted && (self.me < *address || silent) {
                peer.greeted = Some(now);
                due.insert(*address);
            }
        }
        due
    }

    /// The seeds.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied()
    }
}

impl Peer {
    fn unheard(since: Instant) -> Self {
        let (state, heard, told, greeted) = (None, None, None, None);
        Self { state, heard, since, differing: BTreeMap::new(), told, greeted }
    }

    fn start(&self) -> Option<StartId> {
        self.state.as_ref().map(|state| state.start)
    }
}
