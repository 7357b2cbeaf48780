//! Simulation of entries, network, callers and targets in memory with a virtual clock, for the
//! comparison and the fault tests.

mod fixture;
mod start;

pub use fixture::{Options, Stats, service, service_address, target};

use comfreyhold_flow::scheme::Scheme;
use comfreyhold_flow::{
    Action, DropReason, FiveTuple, FlowRouter, Frame, Outgoing, Packet, Peer, PeerState, Protocol,
    RouterSettings, TargetSets, TargetSpec,
};
use comfreyhold_types::keys::{DomainId, Incarnation, InstanceId, Revision};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Retransmission timeout of callers, in milliseconds.
const CALLER_RETRY_MS: u64 = 300;
/// Time between the ticks of an entry, in milliseconds.
const TICK_MS: u64 = 50;
/// Time from an opening's arrival at a target to the caller's next packet, in milliseconds.
const OPEN_MS: u64 = 6;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 5;
/// Index of the queue of retransmissions.
const RETRY: usize = 0;
/// Index of the queue of the flows' second packets.
const OPENED: usize = 1;
/// Index of the queue of later packets.
const ESTABLISHED: usize = 2;

#[derive(Clone)]
struct Flow {
    tuple: FiveTuple,
    target: Option<(SocketAddr, Incarnation)>,
    /// The failure domain of the flow's target was withdrawn.
    is_withdrawn: bool,
    has_ended: bool,
}

enum Event {
    Frame(InstanceId, InstanceId, Frame),
    Forward { to: InstanceId, via: (InstanceId, u8, bool), flow: usize, opens: bool },
    Prepare(InstanceId, Revision, Arc<TargetSets>),
    Activate(InstanceId, Revision),
    Live(InstanceId, Arc<Vec<Peer>>),
    RemoveRoute(InstanceId),
    Stop(InstanceId),
    ActiveEverywhere(Revision),
}

/// The simulated deployment.
pub struct World<S: Scheme> {
    pub options: Options,
    pub entries: BTreeMap<InstanceId, S>,
    pub stats: Stats,
    pub sets: TargetSets,
    pub peers: Vec<Peer>,
    /// Flows opened per target since this map was cleared.
    pub opened: BTreeMap<SocketAddr, u64>,
    pub rng: StdRng,
    epoch: Instant,
    now_ms: u64,
    newest_version: Revision,
    /// Entries to which the fabric sends packets.
    routed: BTreeSet<InstanceId>,
    flows: Vec<Flow>,
    /// Time and flow of each pending packet. The delay of a queue is constant, so its front is due
    /// first.
    queues: [VecDeque<(u64, usize)>; 3],
    /// Time and number of each pending event.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    event_bodies: BTreeMap<u64, Event>,
    next_event: u64,
    withdrawn: BTreeSet<DomainId>,
    history: BTreeMap<Revision, Arc<TargetSets>>,
    disconnected: BTreeSet<InstanceId>,
    last_active_ms: u64,
    active_version: Revision,
}

impl<S: Scheme> World<S> {
    pub fn new(options: Options) -> Self {
        let targets = (0..options.targets).map(target).collect();
        let other = (100..104).map(target).collect();
        let services =
            vec![service(1, targets, options.idle_ms), service(2, other, options.idle_ms)];
        let sets = TargetSets { services, withdrawn: BTreeSet::new() };
        let mut world = Self {
            options,
            entries: BTreeMap::new(),
            stats: Stats::default(),
            sets,
            peers: Vec::new(),
            opened: BTreeMap::new(),
            rng: StdRng::seed_from_u64(options.seed),
            epoch: Instant::now(),
            now_ms: 0,
            newest_version: Revision(0),
            routed: BTreeSet::new(),
            flows: Vec::new(),
            queues: Default::default(),
            events: BinaryHeap::new(),
            event_bodies: BTreeMap::new(),
            next_event: 0,
            withdrawn: BTreeSet::new(),
            history: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            last_active_ms: 0,
            active_version: Revision(1),
        };
        world.add_version();
        for id in 1..=options.entries {
            world.add_entry(InstanceId(id), 1);
        }
        world.announce(world.options.max_skew_ms);
        world.run(2_000);
        world
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn add_version(&mut self) {
        self.newest_version = self.newest_version.next();
        self.history.insert(self.newest_version, Arc::new(self.sets.clone()));
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.event_bodies.insert(self.next_event, event);
        self.events.push(Reverse((at_ms, self.next_event)));
    }

    fn random_ms(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..=limit)
    }

    /// Creates an entry with the newest version. `announce` makes it known to the others.
    pub fn add_entry(&mut self, id: InstanceId, incarnation: u64) {
        let settings = RouterSettings {
            instance: id,
            domain: DomainId(id.0 % 4),
            hash_key: (1, 2),
            max_flows: 4_000_000,
            seed: self.options.seed ^ (u64::from(id.0) << 32) ^ incarnation,
        };
        let entry = S::create(settings, self.now());
        let newest = self.history.keys().next_back().copied().unwrap_or_default();
        self.disconnected.remove(&id);
        self.entries.insert(id, entry);
        self.install(id, newest);
        self.peers.retain(|peer| peer.id != id);
        let state = PeerState::Serving;
        self.peers.push(Peer { id, incarnation: Incarnation(incarnation), state });
        self.routed.insert(id);
    }

    fn install(&mut self, id: InstanceId, version: Revision) {
        let now = self.now();
        let (entry, sets) = (&self.entries[&id], self.history[&version].clone());
        entry.prepare(version, &sets, now).expect("a new entry accepts the newest version");
        entry.activate(version, now).expect("the version was just prepared");
    }

    /// Sets the live entries at every entry, each at a random time of up to `max_skew_ms` from now.
    pub fn announce(&mut self, max_skew_ms: u64) {
        let peers = Arc::new(self.peers.clone());
        for id in self.entries.keys().copied().collect::<Vec<_>>() {
            let at = self.now_ms + self.random_ms(max_skew_ms);
            self.schedule(at, Event::Live(id, peers.clone()));
        }
    }

    /// Prepares and activates `sets` as a new version, at each entry at another time.
    pub fn change(&mut self) {
        self.add_version();
        let (version, sets) = (self.newest_version, self.history[&self.newest_version].clone());
        let max_skew_ms = self.options.max_skew_ms;
        let after_last = if self.options.overlap { 0 } else { self.last_active_ms + 1 };
        let start = self.now_ms.max(after_last);
        let reachable: Vec<_> =
            self.entries.keys().copied().filter(|id| !self.disconnected.contains(id)).collect();
        for id in reachable {
            let at = start + self.random_ms(max_skew_ms);
            self.schedule(at, Event::Prepare(id, version, sets.clone()));
            let at = start + max_skew_ms + 10 + self.random_ms(max_skew_ms);
            self.schedule(at, Event::Activate(id, version));
        }
        self.last_active_ms = start + 2 * max_skew_ms + 11;
        self.schedule(self.last_active_ms, Event::ActiveEverywhere(version));
    }

    /// Stops an entry as planned: it leaves, hands over, and stops.
    pub fn stop_entry(&mut self, id: InstanceId) {
        for peer in self.peers.iter_mut().filter(|peer| peer.id == id) {
            peer.state = PeerState::Leaving;
        }
        let max_skew_ms = self.options.max_skew_ms;
        self.announce(max_skew_ms);
        self.schedule(self.now_ms + 2 * max_skew_ms + 500, Event::RemoveRoute(id));
        self.schedule(self.now_ms + 2 * max_skew_ms + 3_000, Event::Stop(id));
    }

    /// Kills an entry. The fabric and the other entries detect it later.
    pub fn kill_entry(&mut self, id: InstanceId) {
        self.entries.remove(&id);
        self.schedule(self.now_ms + 500, Event::RemoveRoute(id));
        self.schedule(self.now_ms + 2_000, Event::Stop(id));
    }

    /// Opens flows, and keeps them alive with packets at random entries.
    pub fn open(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.flows.len();
            let udp = self.rng.random_bool(self.options.udp);
            let source = IpAddr::V4(Ipv4Addr::from(0xac10_0000 + (index / 50_000) as u32));
            let tuple = FiveTuple {
                protocol: if udp { Protocol::Udp } else { Protocol::Tcp },
                source: SocketAddr::new(source, 1_024 + (index % 50_000) as u16),
                destination: service_address(1),
            };
            self.flows.push(Flow { tuple, target: None, is_withdrawn: false, has_ended: false });
            self.send_packet(index);
        }
    }

    /// Disconnects an entry from the network, as in a partition.
    pub fn disconnect(&mut self, id: InstanceId) {
        self.disconnected.insert(id);
        self.routed.remove(&id);
        self.peers.retain(|peer| peer.id != id);
        self.announce(self.options.max_skew_ms);
    }

    /// Reconnects an entry with the newest version.
    pub fn reconnect(&mut self, id: InstanceId, incarnation: u64) {
        self.disconnected.remove(&id);
        self.install(id, self.newest_version);
        self.peers.retain(|peer| peer.id != id);
        self.peers.push(Peer {
            id,
            incarnation: Incarnation(incarnation),
            state: PeerState::Serving,
        });
        self.routed.insert(id);
        self.announce(self.options.max_skew_ms);
    }

    /// Runs for `ms` milliseconds and opens `new_per_s` flows per second.
    pub fn run_with(&mut self, ms: u64, new_per_s: usize) {
        let end = self.now_ms + ms;
        let mut thousandths_due = 0;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            thousandths_due += new_per_s * STEP_MS as usize;
            self.open(thousandths_due / 1_000);
            thousandths_due %= 1_000;
            self.send_due_packets();
            self.handle_due_events();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Runs for `ms` milliseconds without new flows.
    pub fn run(&mut self, ms: u64) {
        self.run_with(ms, 0);
    }

    fn tick(&mut self) {
        let now = self.now();
        let mut sent = Vec::new();
        for (id, entry) in &self.entries {
            let mut out = Vec::new();
            entry.tick(now, &mut out);
            sent.push((*id, out));
        }
        for (id, out) in sent {
            self.send_frames(id, out);
        }
    }

    fn send_due_packets(&mut self) {
        for queue in [RETRY, OPENED, ESTABLISHED] {
            while let Some((at, flow)) = self.queues[queue].front().copied() {
                if at > self.now_ms {
                    break;
                }
                self.queues[queue].pop_front();
                self.send_packet(flow);
            }
        }
    }

    fn send_packet(&mut self, flow: usize) {
        let known = &self.flows[flow];
        if known.has_ended {
            return;
        }
        let opens = known.target.is_none();
        let index = self.rng.random_range(0..self.routed.len());
        let Some(to) = self.routed.iter().nth(index).copied() else { return };
        let Some(entry) = self.entries.get(&to) else { return self.schedule_retry(flow) };
        let packet = Packet::synthetic(known.tuple, opens);
        let mut out = Vec::new();
        self.stats.packets += 1;
        let action = entry.route_packet(&packet, self.now(), &mut out);
        self.send_frames(to, out);
        self.apply_action(to, action, flow, opens);
    }

    fn schedule_retry(&mut self, flow: usize) {
        self.queues[RETRY].push_back((self.now_ms + CALLER_RETRY_MS, flow));
    }

    fn apply_action(&mut self, at: InstanceId, action: Action, flow: usize, opens: bool) {
        match action {
            Action::ToTarget(address) => self.deliver_to_target(flow, address),
            Action::Forward { to, hops, proxy } => {
                self.stats.extra_hops += 1;
                if self.is_lost(at, to) {
                    return self.schedule_retry(flow);
                }
                let at_ms = self.now_ms + self.delay();
                self.schedule(at_ms, Event::Forward { to, via: (at, hops, proxy), flow, opens });
            }
            Action::Reject(_) => self.handle_reject(flow),
            Action::Drop(reason) => {
                self.stats.deferred += u64::from(reason == DropReason::Deferred);
                self.schedule_retry(flow);
            }
        }
    }

    fn deliver_to_target(&mut self, flow: usize, address: SocketAddr) {
        let found = self.find_target(address);
        let Some((service, spec)) = found else { return self.handle_reject(flow) };
        self.stats.wrong_service += u64::from(service != self.flows[flow].tuple.destination);
        self.stats.withdrawn += u64::from(self.withdrawn.contains(&spec.domain));
        let here = (address, spec.incarnation);
        match self.flows[flow].target {
            None => {
                self.flows[flow].target = Some(here);
                self.flows[flow].is_withdrawn = self.sets.withdrawn.contains(&spec.domain);
                self.stats.opened += 1;
                *self.opened.entry(address).or_default() += 1;
                self.queues[OPENED].push_back((self.now_ms + OPEN_MS, flow));
            }
            Some(target) if target == here => {
                self.queues[ESTABLISHED].push_back((self.now_ms + self.options.packet_ms, flow));
            }
            Some(_) => self.end_flow(flow),
        }
    }

    fn handle_reject(&mut self, flow: usize) {
        if self.flows[flow].target.is_none() {
            return self.schedule_retry(flow);
        }
        self.end_flow(flow);
    }

    fn end_flow(&mut self, flow: usize) {
        self.flows[flow].has_ended = true;
        let target = self.flows[flow].target;
        let running = target.and_then(|(address, incarnation)| {
            self.find_target(address).filter(|(_, spec)| spec.incarnation == incarnation)
        });
        let still_runs = running.is_some() && !self.flows[flow].is_withdrawn;
        if still_runs {
            self.stats.broken += 1;
        } else {
            self.stats.abandoned += 1;
        }
    }

    fn find_target(&self, address: SocketAddr) -> Option<(SocketAddr, TargetSpec)> {
        let mut services = self.sets.services.iter();
        services.find_map(|service| {
            let spec = service.targets.iter().find(|spec| spec.address == address)?;
            Some((service.address, *spec))
        })
    }

    fn mark_withdrawn(&mut self, out: &BTreeSet<DomainId>) {
        if out.is_empty() {
            return;
        }
        for index in 0..self.flows.len() {
            let target =
                self.flows[index].target.and_then(|(address, _)| self.find_target(address));
            let withdrawn = target.is_some_and(|(_, spec)| out.contains(&spec.domain));
            self.flows[index].is_withdrawn |= withdrawn;
        }
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(self.options.delay_ms.0..=self.options.delay_ms.1)
    }

    fn is_lost(&mut self, from: InstanceId, to: InstanceId) -> bool {
        let unreachable = self.disconnected.contains(&from) || self.disconnected.contains(&to);
        unreachable || self.rng.random_bool(self.options.loss)
    }

    fn send_frames(&mut self, from: InstanceId, out: Vec<Outgoing>) {
        for Outgoing { to, frame } in out {
            let bytes = postcard::to_stdvec(&frame).map_or(0, |bytes| bytes.len() as u64);
            self.stats.control_bytes += bytes;
            let copies = 1 + u8::from(self.rng.random_bool(self.options.duplication));
            for _ in 0..copies {
                if !self.is_lost(from, to) {
                    let at = self.now_ms + self.delay();
                    self.schedule(at, Event::Frame(from, to, frame.clone()));
                }
            }
        }
    }

    fn handle_due_events(&mut self) {
        while let Some(Reverse((at, key))) = self.events.peek().copied() {
            if at > self.now_ms {
                break;
            }
            self.events.pop();
            if let Some(event) = self.event_bodies.remove(&key) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let mut out = Vec::new();
        match event {
            Event::Frame(from, to, frame) => {
                let Some(entry) = self.entries.get(&to) else { return };
                entry.handle_frame(from, &frame, now, &mut out);
                self.send_frames(to, out);
            }
            Event::Forward { to, via, flow, opens } => {
                let Some(entry) = self.entries.get(&to) else { return self.schedule_retry(flow) };
                let packet = Packet::synthetic(self.flows[flow].tuple, opens);
                let action = entry.route_forwarded(via, &packet, now, &mut out);
                self.send_frames(to, out);
                self.apply_action(to, action, flow, opens);
            }
            Event::Prepare(id, version, sets) => {
                self.mark_withdrawn(&sets.withdrawn);
                self.entries.get(&id).map(|entry| entry.prepare(version, &sets, now));
            }
            Event::Activate(id, version) => {
                self.entries.get(&id).map(|entry| entry.activate(version, now));
                let out = &self.history[&version].withdrawn;
                self.withdrawn.retain(|domain| out.contains(domain));
            }
            Event::Live(id, peers) => {
                let Some(entry) =
                    self.entries.get(&id).filter(|_| !self.disconnected.contains(&id))
                else {
                    return;
                };
                entry.set_live_entries(&peers, now, &mut out);
                self.send_frames(id, out);
            }
            Event::RemoveRoute(id) => {
                self.routed.remove(&id);
            }
            Event::Stop(id) => {
                self.entries.remove(&id);
                self.peers.retain(|peer| peer.id != id);
                self.announce(self.options.max_skew_ms);
            }
            Event::ActiveEverywhere(version) => {
                self.active_version = version;
                self.withdrawn.clone_from(&self.history[&version].withdrawn);
            }
        }
    }
}

impl World<FlowRouter> {
    /// Reconnects a disconnected entry and grants it a new lease.
    pub fn reconnect_with_lease(&mut self, id: InstanceId, incarnation: u64) {
        self.reconnect(id, incarnation);
        let mut out = Vec::new();
        self.entries[&id].end_isolation(self.now(), &mut out);
        self.send_frames(id, out);
    }
}
