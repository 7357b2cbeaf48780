//! Heartbeats in a large fleet: each daemon exchanges them with some others only, which pass on what they hear.

use super::gossip::HEARTBEAT_DEADLINE;
use super::operations::BROADCAST_DEADLINE;
use super::relays::{Partners, choose_partners};
use super::{Control, SILENT_AFTER_INTERVALS};
use crate::counters::{MessageKind, measure};
use crate::messages::{FleetRequest, FleetResponse, RelayHello};
use comfreyhold_types::keys::TargetId;
use comfreyhold_wire::error::WireError;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that is added to the one after which a target counts as silent. A refresh passes three daemons at most with a
/// heartbeat each (1.35 s), and the replacement of a relay takes two heartbeats and the next one.
const RELAY_ALLOWANCE: Duration = Duration::from_millis(2_500);

/// Maximum number of control daemons named in a heartbeat for discovery. Relays name all of their domain anyway.
const PEERS_PER_RELAY: usize = 2;

/// Maximum number of targets that are fetched at a time. The others are named again with their next refresh.
const MAX_FETCHED: usize = 2_000;

impl Control {
    /// Chooses the daemons with which heartbeats are exchanged. In a small fleet these are all, and the choice is empty.
    pub(super) fn choose_partners(&self) {
        let now = self.clock.now();
        let is_large = self.is_large_fleet();
        let partners = if is_large {
            let newest = self.register.newest_known();
            let voters: BTreeSet<SocketAddr> =
                newest.iter().flat_map(|value| value.voters.all()).map(|v| v.address).collect();
            let candidates = self.peers.borrow().candidates(&voters, now);
            choose_partners(self.me.address, &self.domain, &candidates)
        } else {
            Partners::new()
        };
        let allowance = if is_large { RELAY_ALLOWANCE } else { Duration::ZERO };
        let timeout = self.settings.announce_interval() * SILENT_AFTER_INTERVALS;
        self.targets.borrow_mut().set_timeout(timeout + allowance);
        metrics::gauge!("control_partners").set(partners.len() as f64);
        let previous = self.partners.replace(partners);
        if previous.is_empty() == is_large {
            self.record("relays", || json!({"begins": is_large}));
        }
        if is_large {
            let partners = self.partners.borrow();
            self.connections.close_unused(|address| partners.contains_key(address), now);
        }
    }

    /// Whether a daemon gets the heartbeats of large fleets.
    pub(super) fn sends_relay(&self, address: &SocketAddr) -> bool {
        self.partners.borrow().contains_key(address) && !self.peers.borrow().refuses_relay(address)
    }

    pub(super) fn record_own_refresh(&self, id: TargetId, now: Instant) {
        self.refreshed_targets.borrow_mut().insert(id, now);
        self.relay_links.borrow_mut().record_own(id, now);
    }

    fn next_relay(&self, to: SocketAddr) -> RelayHello {
        let now = self.clock.now();
        let mut state = self.local_state();
        state.peers.truncate(PEERS_PER_RELAY);
        let wanted = self.partners.borrow().get(&to).copied().unwrap_or_default();
        let (peers, targets) = (self.peers.borrow(), self.targets.borrow());
        let mut links = self.relay_links.borrow_mut();
        links.next_message(to, wanted, state, &peers, &targets, now)
    }

    pub(super) async fn send_relay(self: Rc<Self>, address: SocketAddr) {
        let message = measure(MessageKind::Relay, || self.next_relay(address));
        let request = FleetRequest::Relay(Box::new(message));
        let response = self.connections.call(address, &request, HEARTBEAT_DEADLINE).await;
        match response {
            Ok(FleetResponse::Relay(message)) => {
                measure(MessageKind::Relay, || self.receive_relay(&message));
            }
            Ok(_) => log::warn!("unexpected type of response to a heartbeat from {address}"),
            Err(WireError::Refused(code)) => {
                log::info!("{address} refuses the heartbeats of large fleets with code {code}");
                self.peers.borrow_mut().record_relay_refusal(&address);
                return self.send_heartbeat(address).await;
            }
            Err(error) => log::debug!("heartbeat to {address}: {error}"),
        }
        self.heartbeats_in_flight.borrow_mut().remove(&address);
    }

    pub(super) fn receive_relay_request(self: &Rc<Self>, message: &RelayHello) -> FleetResponse {
        let from = message.hello.state.replica.address;
        self.receive_relay(message);
        self.peers.borrow_mut().record_request(&from, true, self.clock.now());
        FleetResponse::Relay(Box::new(self.next_relay(from)))
    }

    /// Applies a heartbeat: the sender's state, and what the sender passes on.
    fn receive_relay(self: &Rc<Self>, message: &RelayHello) {
        let now = self.clock.now();
        let state = &message.hello.state;
        let from = state.replica.address;
        if from == self.me.address {
            return;
        }
        let previous_revision = self.targets.borrow().revision();
        let received =
            self.relay_links.borrow_mut().receive(message, &mut self.targets.borrow_mut(), now);
        self.notify_targets(previous_revision);
        for (address, relayed) in received.heard {
            if address != self.me.address {
                self.receive_chosen(relayed.chosen, address);
                self.peers.borrow_mut().receive_relayed(address, relayed, now);
            }
        }
        if !received.unknown.is_empty() {
            tokio::task::spawn_local(Rc::clone(self).fetch_aged(from, received.unknown, now));
        }
        self.receive_control_state(state.clone(), now);
        self.peers.borrow_mut().record_relay(&from, now);
    }

    /// Fetches the content of refreshed targets. They count as heard when the refreshes say so.
    async fn fetch_aged(
        self: Rc<Self>,
        from: SocketAddr,
        ages: BTreeMap<TargetId, Duration>,
        received_at: Instant,
    ) {
        let ids: Vec<TargetId> = ages.keys().copied().take(MAX_FETCHED).collect();
        let request = FleetRequest::Announcements(ids);
        let announcements = match self.connections.call(from, &request, BROADCAST_DEADLINE).await {
            Ok(FleetResponse::Announcements(announcements)) => announcements,
            Ok(_) => return log::warn!("unexpected type of response to a fetch from {from}"),
            Err(error) => return log::debug!("announcements from {from}: {error}"),
        };
        let now = self.clock.now();
        let since = now.saturating_duration_since(received_at);
        let age = |id: &TargetId| ages.get(id).map(|age| age.saturating_add(since));
        let changed = self.apply_aged_announcements(&announcements, age);
        let domain = self.peers.borrow().get(&from).and_then(|peer| peer.state.clone());
        if let Some(state) = domain {
            let mut links = self.relay_links.borrow_mut();
            for announcement in &changed {
                links.record_passed_on(announcement.id, from, &state.domain, now);
            }
        }
    }
}
