//! The known control daemons: the seeds, those that have sent a heartbeat, and those named in the heartbeats
//! of others.

mod relayed;

pub use relayed::RelayedState;

use super::LARGE_FLEET;
use crate::messages::{ControlState, IncarnationId};
use comfreyhold_consensus::register::{Ballot, Replica};
use comfreyhold_membership::announcements::{TargetDigests, TargetGroup};
use comfreyhold_types::keys::DomainName;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without a message after which a daemon that is neither seed nor voter is forgotten. Partitions end
/// within seconds or an hour; after a longer one the daemon contacts the seeds itself.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time after which an address that was only named by others is forgotten if it has never sent a message.
const FORGET_UNSEEN_AFTER: Duration = Duration::from_secs(15);

/// Maximum number of known daemons, so that wrong addresses can't exhaust the memory; further ones are
/// ignored. Deployments are allowed 7 control daemons. With this limit even a deployment that runs one on
/// each of many machines has all of them connected to each other.
const MAX_PEERS: usize = 256;

/// Number of consecutive states with a different digest after which a group of targets is sent. A single
/// difference is usually an announcement in flight, and some last until every daemon counts a target as
/// silent.
const DIFFERENCES_BEFORE_SYNC: u32 = 4;

/// Mean interval of heartbeats to seeds and voters until the declarations are known. It is short, since nothing can be
/// served without the declarations.
const JOIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);

/// Longest mean interval of these heartbeats.
const MAX_JOIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);

/// Returns the interval to the next heartbeat to seeds and voters while the declarations are unknown. It grows with the
/// number of daemons above [`LARGE_FLEET`], so that all of them together ask a seed no more often. `jitter`, in [0, 1),
/// varies it from three to five quarters, so that daemons that start together don't ask together.
#[must_use]
pub fn join_interval(daemons: usize, jitter: f64) -> Duration {
    let growth = daemons.max(LARGE_FLEET) as f64 / LARGE_FLEET as f64;
    let mean = JOIN_HEARTBEAT_INTERVAL.mul_f64(growth).min(MAX_JOIN_HEARTBEAT_INTERVAL);
    mean.mul_f64(0.75 + jitter.clamp(0.0, 1.0) / 2.0)
}

/// What is known about one other control daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Last state received from the daemon; `None` before the first one.
    pub state: Option<ControlState>,
    /// When the last state was received; `None` before the first one.
    pub last_seen: Option<Instant>,
    added: Instant,
    /// Target groups whose digests differ from the local ones, with the number of consecutive states in which
    /// they differed.
    differing: BTreeMap<TargetGroup, u32>,
    /// Time up to which repeated announcements were sent to the daemon.
    refreshes_sent_until: Option<Instant>,
    last_heartbeat_sent: Option<Instant>,
    /// What others have passed on last.
    relayed: Option<RelayedState>,
    /// When the daemon last sent a heartbeat on its own.
    last_request: Option<Instant>,
    /// When it last sent one of small fleets on its own.
    last_hello_request: Option<Instant>,
    /// When a heartbeat of large fleets was last received from it.
    last_relay: Option<Instant>,
    /// When the first heartbeat was sent since the last one was received.
    unanswered_since: Option<Instant>,
    /// Incarnation that has refused the heartbeats of large fleets; the default value if it was unknown then.
    refused_relay: Option<IncarnationId>,
    /// Incarnation that is told to stop.
    stopping: Option<IncarnationId>,
}

/// All known control daemons other than this one.
pub struct Peers {
    me: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Creates the table with the seeds.
    #[must_use]
    pub fn new(me: SocketAddr, seeds: &[SocketAddr], now: Instant) -> Self {
        let mut peers = Self { me, seeds: BTreeSet::new(), peers: BTreeMap::new() };
        peers.set_seeds(seeds, now);
        peers
    }

    /// Replaces the seeds. The previous ones stay known until they are forgotten.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Instant) {
        self.seeds = seeds.iter().copied().collect();
        self.add(seeds.iter().copied(), now);
    }

    /// Adds addresses named by other daemons.
    pub fn add(&mut self, addresses: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        for address in addresses {
            if address != self.me && self.peers.len() < MAX_PEERS {
                self.peers.entry(address).or_insert_with(|| Peer::new(now));
            }
        }
    }

    /// Applies a state received from a daemon. `local_targets` are the digests of the local targets. Returns
    /// whether the daemon is new or has restarted since its last state.
    pub fn receive_state(
        &mut self,
        state: ControlState,
        local_targets: &TargetDigests,
        now: Instant,
    ) -> bool {
        let address = state.replica.address;
        if address == self.me {
            return false;
        }
        self.add([address], now);
        self.add(state.peers.iter().copied(), now);
        let Some(peer) = self.peers.get_mut(&address) else { return false };
        let is_new_incarnation = peer.incarnation() != Some(state.start);
        let differing = state.targets.differing_groups(local_targets);
        peer.differing.retain(|group, _| differing.contains(group));
        for group in differing {
            *peer.differing.entry(group).or_default() += 1;
        }
        peer.state = Some(state);
        peer.last_seen = Some(now);
        peer.unanswered_since = None;
        is_new_incarnation
    }

    /// Forgets daemons that have sent nothing for long. Voters and seeds are kept.
    pub fn forget(&mut self, voters: &BTreeSet<Replica>, now: Instant) {
        let seeds = &self.seeds;
        self.peers.retain(|address, peer| {
            let needed = seeds.contains(address) || voters.iter().any(|v| v.address == *address);
            let heard_at = peer.heard_at();
            let timeout = if heard_at.is_some() { FORGET_AFTER } else { FORGET_UNSEEN_AFTER };
            needed || now < heard_at.unwrap_or(peer.added) + timeout
        });
    }

    /// Addresses of all known daemons.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Number of all known daemons.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Daemons whose last state is younger than `max_age`, with that state.
    pub fn seen_within(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&SocketAddr, &ControlState)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let is_fresh = peer.last_seen.is_some_and(|last_seen| now < last_seen + max_age);
            peer.state.as_ref().filter(|_| is_fresh).map(|state| (address, state))
        })
    }

    /// The daemon at an address, if it is known.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<&Peer> {
        self.peers.get(address)
    }

    /// Returns the target groups in which a daemon has differed for `DIFFERENCES_BEFORE_SYNC` states, and
    /// resets their counts.
    pub fn take_differing(&mut self, address: &SocketAddr) -> BTreeSet<TargetGroup> {
        let Some(peer) = self.peers.get_mut(address) else { return BTreeSet::new() };
        let persistent =
            peer.differing.extract_if(.., |_, count| *count >= DIFFERENCES_BEFORE_SYNC);
        persistent.map(|(group, _)| group).collect()
    }

    /// Sets the time up to which repeated announcements were sent to a daemon, and returns the previous one.
    pub fn set_refreshes_sent_until(
        &mut self,
        address: &SocketAddr,
        until: Option<Instant>,
    ) -> Option<Instant> {
        let peer = self.peers.get_mut(address)?;
        std::mem::replace(&mut peer.refreshes_sent_until, until)
    }

    /// Returns the daemons to which a heartbeat is due, and records it as sent. The daemon with the lower
    /// address of each pair sends one every `interval`; the other one does too if it has received nothing for
    /// `overdue`.
    pub fn take_heartbeats_due(
        &mut self,
        interval: Duration,
        overdue: Duration,
        now: Instant,
    ) -> BTreeSet<SocketAddr> {
        let mut due = BTreeSet::new();
        for (address, peer) in &mut self.peers {
            let sent_recently = peer.last_heartbeat_sent.is_some_and(|sent| now < sent + interval);
            let is_overdue = peer.last_seen.is_none_or(|last_seen| now >= last_seen + overdue);
            if !sent_recently && (self.me < *address || is_overdue) {
                peer.last_heartbeat_sent = Some(now);
                due.insert(*address);
            }
        }
        due
    }

    /// Records that the daemon at an address is told to stop, in one incarnation.
    pub fn record_stopping(&mut self, address: &SocketAddr, start: IncarnationId) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.stopping = Some(start);
        }
    }

    /// Whether the daemon at an address is told to stop.
    #[must_use]
    pub fn is_stopping(&self, address: &SocketAddr) -> bool {
        self.get(address).is_some_and(Peer::is_stopping)
    }

    /// Addresses of the seeds.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied()
    }
}

impl Peer {
    fn new(added: Instant) -> Self {
        Self {
            state: None,
            last_seen: None,
            added,
            differing: BTreeMap::new(),
            refreshes_sent_until: None,
            last_heartbeat_sent: None,
            relayed: None,
            last_request: None,
            last_hello_request: None,
            last_relay: None,
            unanswered_since: None,
            refused_relay: None,
            stopping: None,
        }
    }

    /// Whether the daemon knows the declarations.
    fn has_joined(&self) -> bool {
        let own = self.state.as_ref().map(|state| state.chosen);
        let relayed = self.relayed.as_ref().map(|relayed| relayed.chosen);
        own.max(relayed).unwrap_or_default() != Ballot::default()
    }

    /// Whether the daemon is told to stop, and has not started again since.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some_and(|start| Some(start) == self.incarnation())
    }

    /// When the daemon was last heard, by this daemon or by another one.
    fn heard_at(&self) -> Option<Instant> {
        self.last_seen.max(self.relayed.as_ref().map(|relayed| relayed.heard_at))
    }

    /// Failure domain by the newest state. Another daemon may have been started at the address.
    fn domain(&self) -> Option<&DomainName> {
        let newer = |relayed: &&RelayedState| self.last_seen.is_none_or(|s| relayed.heard_at > s);
        let relayed = self.relayed.as_ref().filter(newer).map(|relayed| &relayed.domain);
        relayed.or(self.state.as_ref().map(|state| &state.domain))
    }

    /// Whether the daemon refuses the heartbeats of large fleets.
    fn refuses_relay(&self) -> bool {
        self.refused_relay.is_some_and(|start| start == self.incarnation().unwrap_or_default())
    }

    fn incarnation(&self) -> Option<IncarnationId> {
        self.state.as_ref().map(|state| state.start)
    }
}
