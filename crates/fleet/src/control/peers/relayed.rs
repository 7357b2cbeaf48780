//! The known control daemons of a large fleet, most of which are heard through others.

use super::{Peer, Peers};
use crate::control::relays::{Candidate, Partners};
use crate::messages::{IncarnationId, Wanted};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_types::keys::DomainName;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a daemon that is only heard through others counts as unreachable. It is passed on with every second
/// heartbeat, and over three daemons at most.
const RELAYED_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without a response after which a daemon counts as silent in the choice of relays: two heartbeats.
const SILENT_AFTER: Duration = Duration::from_millis(900);

/// Time for which a heartbeat of either kind shows which kind a daemon sends.
const HELLO_ONLY_FOR: Duration = Duration::from_secs(3);

/// Number of heartbeat intervals between heartbeats to a seed that is no relay for this daemon. All daemons send them, so
/// that they are what the seeds spend most on.
const CENTRAL_INTERVALS: u32 = 2;

/// What other daemons have passed on about a control daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedState {
    /// Failure domain of the daemon.
    pub domain: DomainName,
    /// Incarnation of the daemon.
    pub start: IncarnationId,
    /// Ballot of the newest value that it has learned to be chosen.
    pub chosen: Ballot,
    /// When a daemon has heard it.
    pub heard_at: Instant,
}

impl Peers {
    /// Applies what another daemon has passed on about a daemon. What is older than what is known changes nothing.
    pub fn receive_relayed(&mut self, address: SocketAddr, state: RelayedState, now: Instant) {
        if address == self.me || now >= state.heard_at + RELAYED_TIMEOUT {
            return;
        }
        self.add([address], now);
        let Some(peer) = self.peers.get_mut(&address) else { return };
        if peer.relayed.as_ref().is_none_or(|known| state.heard_at > known.heard_at) {
            peer.relayed = Some(state);
        }
    }

    /// Daemons that were heard lately, with their failure domains: by this daemon within `max_age`, or by others.
    pub fn live(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, &DomainName)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let is_heard = peer.last_seen.is_some_and(|seen| now < seen + max_age);
            (is_heard || peer.is_relayed(now)).then_some(())?;
            Some((*address, peer.domain()?))
        })
    }

    /// Live daemons that know the declarations and are not told to stop, and so can decide about voters.
    pub fn deciders(&self, max_age: Duration, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let live = self.live(max_age, now).map(|(address, _)| address);
        live.filter(|address| {
            self.get(address).is_some_and(|peer| peer.has_joined() && !peer.is_stopping())
        })
    }

    /// Daemons of a failure domain that were heard within `max_age`, by this daemon or by others, with the newest state.
    pub fn heard_in(
        &self,
        domain: &DomainName,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, RelayedState)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let state = peer.newest_state()?;
            (state.domain == *domain && now < state.heard_at + max_age).then_some((*address, state))
        })
    }

    /// Daemons to choose partners from.
    #[must_use]
    pub fn candidates(&self, voters: &BTreeSet<SocketAddr>, now: Instant) -> Vec<Candidate> {
        let candidates = self.peers.iter().map(|(address, peer)| {
            let is_silent = peer.unanswered_since.is_some_and(|sent| now >= sent + SILENT_AFTER);
            let is_heard = peer.heard_at().is_some_and(|heard| now < heard + RELAYED_TIMEOUT);
            Candidate {
                address: *address,
                domain: peer.domain().cloned(),
                is_live: is_heard && !is_silent && peer.is_informed(),
                is_fixed: self.seeds.contains(address) || voters.contains(address),
                refuses_relay: peer.refuses_relay() || peer.sends_hello_only(now),
            }
        });
        candidates.collect()
    }

    /// Returns the partners to which a heartbeat is due, and records it as sent. Of two daemons that are partners of each
    /// other, the one with the lower address sends it; if the other one has heard no request for `overdue`, it does.
    pub fn take_partner_heartbeats_due(
        &mut self,
        partners: &Partners,
        interval: Duration,
        overdue: Duration,
        now: Instant,
    ) -> BTreeSet<SocketAddr> {
        let mut due = BTreeSet::new();
        for (address, wanted) in partners {
            let Some(peer) = self.peers.get_mut(address) else { continue };
            let is_central =
                *wanted == Wanted::Nothing && self.seeds.contains(address) && peer.state.is_some();
            let interval = if is_central { interval * CENTRAL_INTERVALS } else { interval };
            let sent_recently = peer.last_heartbeat_sent.is_some_and(|sent| now < sent + interval);
            let is_called = peer.last_request.is_some_and(|called| now < called + overdue);
            if !sent_recently && (self.me < *address || !is_called) {
                peer.last_heartbeat_sent = Some(now);
                peer.unanswered_since.get_or_insert(now);
                due.insert(*address);
            }
        }
        due
    }

    /// Records that a daemon has sent a heartbeat on its own, and whether it was one of large fleets.
    pub fn record_request(&mut self, address: &SocketAddr, is_relay: bool, now: Instant) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.last_request = Some(now);
            if !is_relay {
                peer.last_hello_request = Some(now);
            }
        }
    }

    /// Records that a heartbeat of large fleets was received.
    pub fn record_relay(&mut self, address: &SocketAddr, now: Instant) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.last_relay = Some(now);
        }
    }

    /// Records that a daemon has refused the heartbeat of large fleets. It gets those of small ones until it restarts.
    pub fn record_relay_refusal(&mut self, address: &SocketAddr) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.refused_relay = Some(peer.incarnation().unwrap_or_default());
        }
    }

    /// Whether a daemon refuses the heartbeats of large fleets.
    #[must_use]
    pub fn refuses_relay(&self, address: &SocketAddr) -> bool {
        self.peers.get(address).is_some_and(Peer::refuses_relay)
    }
}

impl Peer {
    /// Whether only heartbeats of small fleets have come lately. The daemon is of the former version, or has found few
    /// others yet; it passes nothing on.
    fn sends_hello_only(&self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now < at + HELLO_ONLY_FOR);
        is_recent(self.last_hello_request) && !is_recent(self.last_relay)
    }

    /// Whether the daemon learns new declarations, by its last heartbeat. One that does not passes on little else either.
    fn is_informed(&self) -> bool {
        self.state.as_ref().is_none_or(|state| state.is_informed)
    }

    fn is_relayed(&self, now: Instant) -> bool {
        self.relayed.as_ref().is_some_and(|relayed| now < relayed.heard_at + RELAYED_TIMEOUT)
    }

    /// The newest state, received or passed on.
    fn newest_state(&self) -> Option<RelayedState> {
        let own = self.state.as_ref().zip(self.last_seen).map(|(state, heard_at)| RelayedState {
            domain: state.domain.clone(),
            start: state.start,
            chosen: state.chosen,
            heard_at,
        });
        [own, self.relayed.clone()].into_iter().flatten().max_by_key(|state| state.heard_at)
    }
}
