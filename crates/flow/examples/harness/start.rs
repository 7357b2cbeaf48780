//! The steps of an entry's start, which a test can run in any order.

use super::{Event, World};
use comfreyhold_flow::{FlowRouter, Peer, PeerState, RouterSettings};
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId};
use std::sync::Arc;

impl World<FlowRouter> {
    /// Starts an entry without lease, tables and peers.
    pub fn start_entry(&mut self, id: InstanceId, incarnation: u64) {
        let settings = RouterSettings {
            instance: id,
            domain: DomainId(id.0 % 4),
            hash_key: (1, 2),
            max_flows: 4_000_000,
            seed: self.options.seed ^ (u64::from(id.0) << 32) ^ incarnation,
        };
        let entry = FlowRouter::new(settings, self.now());
        entry.isolate();
        self.entries.insert(id, entry);
        self.peers.retain(|peer| peer.id != id);
        let state = PeerState::Serving;
        self.peers.push(Peer { id, incarnation: Incarnation(incarnation), state });
        self.routed.insert(id);
    }

    /// Activates the current version at a started entry, and prepares the newer ones.
    pub fn catch_up_versions(&mut self, id: InstanceId) {
        let (active_version, now) = (self.active_version, self.now());
        let entry = &self.entries[&id];
        for (version, sets) in self.history.range(active_version..) {
            if *version > entry.active_version() {
                entry.prepare(*version, sets, now).expect("the version is newer");
            }
            if *version == active_version && entry.active_version() < active_version {
                entry.activate(active_version, now).expect("the version was just prepared");
            }
        }
    }

    /// Grants an entry its lease.
    pub fn grant_lease(&mut self, id: InstanceId) {
        let mut out = Vec::new();
        self.entries[&id].end_isolation(self.now(), &mut out);
        self.send_frames(id, out);
    }

    /// Sets the live entries at one entry.
    pub fn set_live_entries(&mut self, id: InstanceId, peers: Vec<Peer>) {
        self.handle(Event::Live(id, Arc::new(peers)));
    }
}
