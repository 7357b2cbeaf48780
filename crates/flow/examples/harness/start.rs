//! Steps of an entry's start, one by one and in any order.

use super::{Event, World};
use comfreyhold_flow::{FlowRouter, Peer, PeerState, RouterSettings};
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId};
use std::sync::Arc;

impl World<FlowRouter> {
    /// Starts an entry without lease, tables and peers.
    pub fn begin(&mut self, id: InstanceId, incarnation: u64) {
        let settings = RouterSettings {
            instance: id,
            domain: DomainId(id.0 % 4),
            hash_key: (1, 2),
            max_flows: 4_000_000,
            seed: self.options.seed ^ (u64::from(id.0) << 32) ^ incarnation,
        };
        let node = FlowRouter::new(settings, self.now());
        node.isolate();
        self.nodes.insert(id, node);
        self.peers.retain(|peer| peer.id != id);
        let state = PeerState::Serving;
        self.peers.push(Peer { id, incarnation: Incarnation(incarnation), state });
        self.routed.insert(id);
    }

    /// Gives an entry that has begun the version in force, and prepares the newer ones.
    pub fn catch_up(&mut self, id: InstanceId) {
        let (in_force, now) = (self.in_force, self.now());
        let node = &self.nodes[&id];
        for (version, sets) in self.history.range(in_force..) {
            if *version > node.active() {
                node.prepare(*version, sets, now).expect("the version is newer");
            }
            if *version == in_force && node.active() < in_force {
                node.activate(in_force, now).expect("the version was just prepared");
            }
        }
    }

    /// Gives an entry its lease.
    pub fn lease(&mut self, id: InstanceId) {
        let mut out = Vec::new();
        self.nodes[&id].end_isolation(self.now(), &mut out);
        self.deliver(id, out);
    }

    /// Tells one entry of live entries now.
    pub fn tell_live(&mut self, id: InstanceId, peers: Vec<Peer>) {
        self.handle(Event::Live(id, Arc::new(peers)));
    }
}
