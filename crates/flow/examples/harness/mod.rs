//! In-memory entries, network, callers and targets under a virtual clock, for the comparison and
//! the fault tests.

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

/// Time until a caller repeats a packet that got no answer, in milliseconds.
const CALLER_RETRY_MS: u64 = 300;
/// Time between the ticks of an entry, in milliseconds.
const TICK_MS: u64 = 50;
/// Time until a target's answer has reached the caller, in milliseconds.
const OPEN_MS: u64 = 6;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 5;
/// Queue of packets that callers repeat.
const RETRY: usize = 0;
/// Queue of the second packets of flows.
const OPENED: usize = 1;
/// Queue of the packets of established flows.
const ESTABLISHED: usize = 2;

#[derive(Clone)]
struct Flow {
    packet: FiveTuple,
    home: Option<(SocketAddr, Incarnation)>,
    /// The failure domain of the flow's target was taken out.
    withdrawn: bool,
    ended: bool,
}

enum Event {
    Frame(InstanceId, InstanceId, Frame),
    Packet { to: InstanceId, via: (InstanceId, u8, bool), flow: usize, opens: bool },
    Prepare(InstanceId, Revision, Arc<TargetSets>),
    Activate(InstanceId, Revision),
    Live(InstanceId, Arc<Vec<Peer>>),
    Unroute(InstanceId),
    Stop(InstanceId),
    InForce(Revision),
}

/// The simulated deployment.
pub struct World<S: Scheme> {
    pub options: Options,
    pub nodes: BTreeMap<InstanceId, S>,
    pub stats: Stats,
    pub sets: TargetSets,
    pub peers: Vec<Peer>,
    /// Flows opened per target since the counts were cleared.
    pub opened: BTreeMap<SocketAddr, u64>,
    pub rng: StdRng,
    base: Instant,
    now_ms: u64,
    version: Revision,
    routed: BTreeSet<InstanceId>,
    flows: Vec<Flow>,
    /// Packets by the time they are due. Each queue has one delay, so its front is due first.
    queues: [VecDeque<(u64, usize)>; 3],
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    next_event: u64,
    withdrawn: BTreeSet<DomainId>,
    history: BTreeMap<Revision, Arc<TargetSets>>,
    cut: BTreeSet<InstanceId>,
    last_in_force: u64,
    in_force: Revision,
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
            nodes: BTreeMap::new(),
            stats: Stats::default(),
            sets,
            peers: Vec::new(),
            opened: BTreeMap::new(),
            rng: StdRng::seed_from_u64(options.seed),
            base: Instant::now(),
            now_ms: 0,
            version: Revision(0),
            routed: BTreeSet::new(),
            flows: Vec::new(),
            queues: Default::default(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next_event: 0,
            withdrawn: BTreeSet::new(),
            history: BTreeMap::new(),
            cut: BTreeSet::new(),
            last_in_force: 0,
            in_force: Revision(1),
        };
        world.change_quietly();
        for id in 1..=options.entries {
            world.add_entry(InstanceId(id), 1);
        }
        world.announce(world.options.uneven_ms);
        world.run(2_000);
        world
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn change_quietly(&mut self) {
        self.version = self.version.next();
        self.history.insert(self.version, Arc::new(self.sets.clone()));
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.bodies.insert(self.next_event, event);
        self.events.push(Reverse((at_ms, self.next_event)));
    }

    fn some_time(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..=limit)
    }

    /// Creates an entry at the version in force; `announce` makes it known.
    pub fn add_entry(&mut self, id: InstanceId, incarnation: u64) {
        let settings = RouterSettings {
            instance: id,
            domain: DomainId(id.0 % 4),
            hash_key: (1, 2),
            max_flows: 4_000_000,
            seed: self.options.seed ^ (u64::from(id.0) << 32) ^ incarnation,
        };
        let node = S::create(settings, self.now());
        let newest = self.history.keys().next_back().copied().unwrap_or_default();
        self.cut.remove(&id);
        self.nodes.insert(id, node);
        self.install(id, newest);
        self.peers.retain(|peer| peer.id != id);
        let state = PeerState::Serving;
        self.peers.push(Peer { id, incarnation: Incarnation(incarnation), state });
        self.routed.insert(id);
    }

    fn install(&mut self, id: InstanceId, version: Revision) {
        let now = self.now();
        let (node, sets) = (&self.nodes[&id], self.history[&version].clone());
        node.prepare(version, &sets, now).expect("a new entry accepts the newest version");
        node.activate(version, now).expect("the version was just prepared");
    }

    /// Tells every entry of the live entries, at uneven times.
    pub fn announce(&mut self, uneven_ms: u64) {
        let peers = Arc::new(self.peers.clone());
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let at = self.now_ms + self.some_time(uneven_ms);
            self.schedule(at, Event::Live(id, peers.clone()));
        }
    }

    /// Puts `sets` in force in two phases, at uneven times.
    pub fn change(&mut self) {
        self.change_quietly();
        let (version, sets) = (self.version, self.history[&self.version].clone());
        let uneven = self.options.uneven_ms;
        let after_last = if self.options.overlap { 0 } else { self.last_in_force + 1 };
        let start = self.now_ms.max(after_last);
        let reached: Vec<_> =
            self.nodes.keys().copied().filter(|id| !self.cut.contains(id)).collect();
        for id in reached {
            let at = start + self.some_time(uneven);
            self.schedule(at, Event::Prepare(id, version, sets.clone()));
            let at = start + uneven + 10 + self.some_time(uneven);
            self.schedule(at, Event::Activate(id, version));
        }
        self.last_in_force = start + 2 * uneven + 11;
        self.schedule(self.last_in_force, Event::InForce(version));
    }

    /// Planned stop: the entry leaves, hands over, and stops.
    pub fn stop_entry(&mut self, id: InstanceId) {
        for peer in self.peers.iter_mut().filter(|peer| peer.id == id) {
            peer.state = PeerState::Leaving;
        }
        let uneven = self.options.uneven_ms;
        self.announce(uneven);
        self.schedule(self.now_ms + 2 * uneven + 500, Event::Unroute(id));
        self.schedule(self.now_ms + 2 * uneven + 3_000, Event::Stop(id));
    }

    /// Unplanned loss; the fabric and the other entries notice later.
    pub fn kill_entry(&mut self, id: InstanceId) {
        self.nodes.remove(&id);
        self.schedule(self.now_ms + 500, Event::Unroute(id));
        self.schedule(self.now_ms + 2_000, Event::Stop(id));
    }

    /// Opens flows, and keeps them alive with packets at random entries.
    pub fn open(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.flows.len();
            let udp = self.rng.random_bool(self.options.udp);
            let source = IpAddr::V4(Ipv4Addr::from(0xac10_0000 + (index / 50_000) as u32));
            let packet = FiveTuple {
                protocol: if udp { Protocol::Udp } else { Protocol::Tcp },
                source: SocketAddr::new(source, 1_024 + (index % 50_000) as u16),
                destination: service_address(1),
            };
            self.flows.push(Flow { packet, home: None, withdrawn: false, ended: false });
            self.send(index);
        }
    }

    /// Takes an entry off the network, as behind a partition.
    pub fn cut(&mut self, id: InstanceId) {
        self.cut.insert(id);
        self.routed.remove(&id);
        self.peers.retain(|peer| peer.id != id);
        self.announce(self.options.uneven_ms);
    }

    /// Brings an entry back on the network at the newest version.
    pub fn uncut(&mut self, id: InstanceId, incarnation: u64) {
        self.cut.remove(&id);
        self.install(id, self.version);
        self.peers.retain(|peer| peer.id != id);
        self.peers.push(Peer {
            id,
            incarnation: Incarnation(incarnation),
            state: PeerState::Serving,
        });
        self.routed.insert(id);
        self.announce(self.options.uneven_ms);
    }

    /// Runs for a time in milliseconds, opening `new_per_s` flows per second.
    pub fn run_with(&mut self, ms: u64, new_per_s: usize) {
        let end = self.now_ms + ms;
        let mut debt = 0;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            debt += new_per_s * STEP_MS as usize;
            self.open(debt / 1_000);
            debt %= 1_000;
            self.send_due();
            self.events_due();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Runs for a time in milliseconds without new flows.
    pub fn run(&mut self, ms: u64) {
        self.run_with(ms, 0);
    }

    fn tick(&mut self) {
        let now = self.now();
        let mut sent = Vec::new();
        for (id, node) in &self.nodes {
            let mut out = Vec::new();
            node.tick(now, &mut out);
            sent.push((*id, out));
        }
        for (id, out) in sent {
            self.deliver(id, out);
        }
    }

    fn send_due(&mut self) {
        for queue in [RETRY, OPENED, ESTABLISHED] {
            while let Some((at, flow)) = self.queues[queue].front().copied() {
                if at > self.now_ms {
                    break;
                }
                self.queues[queue].pop_front();
                self.send(flow);
            }
        }
    }

    fn send(&mut self, flow: usize) {
        let known = &self.flows[flow];
        if known.ended {
            return;
        }
        let opens = known.home.is_none();
        let index = self.rng.random_range(0..self.routed.len());
        let Some(to) = self.routed.iter().nth(index).copied() else { return };
        let Some(node) = self.nodes.get(&to) else { return self.repeat(flow) };
        let packet = Packet::synthetic(known.packet, opens);
        let mut out = Vec::new();
        self.stats.packets += 1;
        let action = node.route_packet(&packet, self.now(), &mut out);
        self.deliver(to, out);
        self.act(to, action, flow, opens);
    }

    fn repeat(&mut self, flow: usize) {
        self.queues[RETRY].push_back((self.now_ms + CALLER_RETRY_MS, flow));
    }

    fn act(&mut self, at: InstanceId, action: Action, flow: usize, opens: bool) {
        match action {
            Action::ToTarget(address) => self.arrive(flow, address),
            Action::Forward { to, hops, proxy } => {
                self.stats.extra_hops += 1;
                if self.lost(at, to) {
                    return self.repeat(flow);
                }
                let at_ms = self.now_ms + self.delay();
                self.schedule(at_ms, Event::Packet { to, via: (at, hops, proxy), flow, opens });
            }
            Action::Reject(_) => self.rejected(flow),
            Action::Drop(reason) => {
                self.stats.deferred += u64::from(reason == DropReason::Deferred);
                self.repeat(flow);
            }
        }
    }

    fn arrive(&mut self, flow: usize, address: SocketAddr) {
        let owner = self.owner(address);
        let Some((service, spec)) = owner else { return self.rejected(flow) };
        self.stats.wrong_service += u64::from(service != self.flows[flow].packet.destination);
        self.stats.withdrawn += u64::from(self.withdrawn.contains(&spec.domain));
        let here = (address, spec.incarnation);
        match self.flows[flow].home {
            None => {
                self.flows[flow].home = Some(here);
                self.flows[flow].withdrawn = self.sets.withdrawn.contains(&spec.domain);
                self.stats.opened += 1;
                *self.opened.entry(address).or_default() += 1;
                self.queues[OPENED].push_back((self.now_ms + OPEN_MS, flow));
            }
            Some(home) if home == here => {
                self.queues[ESTABLISHED].push_back((self.now_ms + self.options.packet_ms, flow));
            }
            Some(_) => self.end_flow(flow),
        }
    }

    fn rejected(&mut self, flow: usize) {
        if self.flows[flow].home.is_none() {
            return self.repeat(flow);
        }
        self.end_flow(flow);
    }

    fn end_flow(&mut self, flow: usize) {
        self.flows[flow].ended = true;
        let home = self.flows[flow].home;
        let alive = home.and_then(|(address, incarnation)| {
            self.owner(address).filter(|(_, spec)| spec.incarnation == incarnation)
        });
        let lives = alive.is_some() && !self.flows[flow].withdrawn;
        if lives {
            self.stats.broken += 1;
        } else {
            self.stats.abandoned += 1;
        }
    }

    fn owner(&self, address: SocketAddr) -> Option<(SocketAddr, TargetSpec)> {
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
            let home = self.flows[index].home.and_then(|(address, _)| self.owner(address));
            let withdrawn = home.is_some_and(|(_, spec)| out.contains(&spec.domain));
            self.flows[index].withdrawn |= withdrawn;
        }
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(self.options.delay_ms.0..=self.options.delay_ms.1)
    }

    fn lost(&mut self, from: InstanceId, to: InstanceId) -> bool {
        let unreachable = self.cut.contains(&from) || self.cut.contains(&to);
        unreachable || self.rng.random_bool(self.options.loss)
    }

    fn deliver(&mut self, from: InstanceId, out: Vec<Outgoing>) {
        for Outgoing { to, frame } in out {
            let bytes = postcard::to_stdvec(&frame).map_or(0, |bytes| bytes.len() as u64);
            self.stats.control_bytes += bytes;
            let copies = 1 + u8::from(self.rng.random_bool(self.options.duplication));
            for _ in 0..copies {
                if !self.lost(from, to) {
                    let at = self.now_ms + self.delay();
                    self.schedule(at, Event::Frame(from, to, frame.clone()));
                }
            }
        }
    }

    fn events_due(&mut self) {
        while let Some(Reverse((at, key))) = self.events.peek().copied() {
            if at > self.now_ms {
                break;
            }
            self.events.pop();
            if let Some(event) = self.bodies.remove(&key) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let mut out = Vec::new();
        match event {
            Event::Frame(from, to, frame) => {
                let Some(node) = self.nodes.get(&to) else { return };
                node.handle_frame(from, &frame, now, &mut out);
                self.deliver(to, out);
            }
            Event::Packet { to, via, flow, opens } => {
                let Some(node) = self.nodes.get(&to) else { return self.repeat(flow) };
                let packet = Packet::synthetic(self.flows[flow].packet, opens);
                let action = node.route_forwarded(via, &packet, now, &mut out);
                self.deliver(to, out);
                self.act(to, action, flow, opens);
            }
            Event::Prepare(id, version, sets) => {
                self.mark_withdrawn(&sets.withdrawn);
                self.nodes.get(&id).map(|node| node.prepare(version, &sets, now));
            }
            Event::Activate(id, version) => {
                self.nodes.get(&id).map(|node| node.activate(version, now));
                let out = &self.history[&version].withdrawn;
                self.withdrawn.retain(|domain| out.contains(domain));
            }
            Event::Live(id, peers) => {
                let Some(node) = self.nodes.get(&id).filter(|_| !self.cut.contains(&id)) else {
                    return;
                };
                node.set_live_entries(&peers, now, &mut out);
                self.deliver(id, out);
            }
            Event::Unroute(id) => {
                self.routed.remove(&id);
            }
            Event::Stop(id) => {
                self.nodes.remove(&id);
                self.peers.retain(|peer| peer.id != id);
                self.announce(self.options.uneven_ms);
            }
            Event::InForce(version) => {
                self.in_force = version;
                self.withdrawn.clone_from(&self.history[&version].withdrawn);
            }
        }
    }
}

impl World<FlowRouter> {
    /// Gives a cut-off entry its network and its lease back.
    pub fn regain(&mut self, id: InstanceId, incarnation: u64) {
        self.uncut(id, incarnation);
        let mut out = Vec::new();
        self.nodes[&id].end_isolation(self.now(), &mut out);
        self.deliver(id, out);
    }
}
