//! The packet side of an entry: receives IP packets from the fabric, lets the flow node decide, and
//! sends them on.

use crate::context::{Context, lock};
use comfreyhold_flow::packet::Endpoint;
use comfreyhold_flow::{
    Action, FlowRouter, Frame, Message, Outgoing, Packet, Peer, RouterSettings, TargetSets,
    TargetSpec, reply,
};
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::Topic;
use siphasher::sip128::{Hasher128, SipHasher13};
use socket2::{Domain, Protocol, Socket, Type};
use std::hash::Hasher;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Most flows recorded by one entry.
const MAX_FLOWS: usize = 2_000_000;

/// Receive buffer of the packet socket, in bytes: some 20 ms of packets at 100,000 a second.
const RECEIVE_BUFFER: usize = 4 * 1024 * 1024;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Interval at which an idle packet thread looks whether it has to end.
const STOP_POLL: Duration = Duration::from_millis(100);

/// The packet side.
pub struct Packets {
    cx: Arc<Context>,
    node: FlowRouter,
    socket: OnceLock<UdpSocket>,
    peers: Mutex<Vec<Peer>>,
}

impl Packets {
    /// Creates the packet side. It decides nothing before it has heard from its peers: an entry that starts
    /// doesn't know which flows are established. Only one that gets no lease is isolated.
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let secret = cx.settings.entry.as_ref().map_or("", |entry| entry.flow_secret.as_str());
        let settings = RouterSettings {
            instance: cx.instance(),
            domain: cx.member.domain,
            hash_key: hash_key(secret),
            max_flows: MAX_FLOWS,
            seed: cx.derive_seed(3),
        };
        let node = FlowRouter::new(settings, cx.now());
        Self { cx, node, socket: OnceLock::new(), peers: Mutex::default() }
    }

    /// Opens the packet socket and starts its threads. They end with the process.
    ///
    /// # Errors
    /// The address can't be bound, or a thread can't be started.
    pub fn start(self: &Arc<Self>, address: SocketAddr, threads: u16) -> std::io::Result<()> {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.set_read_timeout(Some(STOP_POLL))?;
        socket.bind(&address.into())?;
        let socket: UdpSocket = socket.into();
        for _ in 0..threads {
            let packets = Arc::clone(self);
            let socket = socket.try_clone()?;
            std::thread::Builder::new()
                .name("packets".to_owned())
                .spawn(move || packets.receive(&socket))?;
        }
        if self.socket.set(socket).is_err() {
            log::error!("the packet socket was opened twice");
        }
        Ok(())
    }

    /// Holds a revision ready. `kept` are announced targets of the own failure domain: where they are
    /// not declared, such as after a partition, they keep their flows and get no new ones.
    pub fn prepare<'a>(&self, state: &Declarations, kept: impl Iterator<Item = &'a TargetRecord>) {
        let mut sets = TargetSets::from_declarations(state, &self.cx.settings.domains);
        for target in kept.filter(|target| !state.targets.contains_key(&target.address)) {
            keep_flows(&mut sets, state, target);
        }
        if let Err(error) = self.node.prepare(state.revision, &sets, self.cx.now()) {
            log::warn!("{} packet tables of {}: {error}", error.code().number(), state.revision);
        }
    }

    /// Puts a prepared revision in effect.
    pub fn activate(&self, revision: Revision) {
        if let Err(error) = self.node.activate(revision, self.cx.now()) {
            log::warn!("{} packet tables of {revision}: {error}", error.code().number());
        }
    }

    /// Ends the flows of a target up to an incarnation.
    pub fn target_lost(&self, address: SocketAddr, incarnation: Incarnation) {
        self.node.end_target_flows(address, incarnation);
    }

    /// Whether only targets of the own failure domain may be used.
    pub fn set_isolated(&self, isolated: bool) {
        if isolated {
            self.node.isolate();
            return;
        }
        let mut out = Vec::new();
        self.node.end_isolation(self.cx.now(), &mut out);
        self.send_frames(out);
    }

    /// Takes in the live entries.
    pub fn set_peers(&self, peers: &[Peer]) {
        let mut known = lock(&self.peers);
        if known.as_slice() == peers {
            return;
        }
        known.clear();
        known.extend_from_slice(peers);
        let mut out = Vec::new();
        self.node.set_live_entries(peers, self.cx.now(), &mut out);
        self.send_frames(out);
    }

    /// Handles a frame of another entry.
    pub fn on_frame(&self, from: InstanceId, frame: Frame) {
        let now = self.cx.now();
        let mut out = Vec::new();
        match frame.message {
            Some(Message::Forward { hops, proxy, packet: mut bytes }) => {
                let Some(packet) = self.parse(&bytes) else { return };
                let origin = (from, hops, proxy);
                let action = self.node.route_forwarded(origin, &packet, now, &mut out);
                self.carry_out(action, &packet, &mut bytes);
            }
            _ => self.node.handle_frame(from, &frame, now, &mut out),
        }
        self.send_frames(out);
    }

    /// Handles all timers.
    pub fn tick(&self) {
        let mut out = Vec::new();
        self.node.tick(self.cx.now(), &mut out);
        self.send_frames(out);
    }

    /// Updates the metrics.
    pub fn export(&self) {
        let stats = self.node.stats();
        metrics::gauge!("comfreyhold_flows").set(stats.flows as f64);
        metrics::gauge!("comfreyhold_moving_slots").set(stats.moving_slots as f64);
    }

    /// Recorded flows, slots in transition, and whether this entry decides by itself.
    #[must_use]
    pub fn status(&self) -> (usize, usize, bool) {
        let stats = self.node.stats();
        (stats.flows, stats.moving_slots, self.node.is_synced())
    }

    fn receive(&self, socket: &UdpSocket) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match socket.recv(&mut buf) {
                Ok(len) => self.on_packet(&mut buf[..len]),
                Err(error) if is_timeout(&error) => {}
                Err(error) => log::debug!("packet socket: {error}"),
            }
        }
    }

    fn on_packet(&self, bytes: &mut [u8]) {
        let Some(packet) = self.parse(bytes) else { return };
        if let Some(service) = self.node.return_source(packet.tuple.source) {
            count("to-caller");
            self.rewrite_and_send(&packet, bytes, Endpoint::Source, service);
            return;
        }
        let mut out = Vec::new();
        let action = self.node.route_packet(&packet, self.cx.now(), &mut out);
        self.carry_out(action, &packet, bytes);
        self.send_frames(out);
    }

    fn parse(&self, bytes: &[u8]) -> Option<Packet> {
        match Packet::parse(bytes) {
            Ok(packet) => Some(packet),
            Err(error) => {
                log::debug!("{} packet dropped: {error}", error.code().number());
                count("malformed");
                None
            }
        }
    }

    fn carry_out(&self, action: Action, packet: &Packet, bytes: &mut [u8]) {
        match action {
            Action::ToTarget(target) => {
                count("to-target");
                self.rewrite_and_send(packet, bytes, Endpoint::Destination, target);
            }
            Action::Forward { to, hops, proxy } => {
                count("forwarded");
                let message = Message::Forward { hops, proxy, packet: bytes.to_vec() };
                let frame = Frame { seq: 0, acks: Vec::new(), message: Some(message) };
                self.cx.send(to, Topic::Flow, &frame);
            }
            Action::Reject(code) => {
                log::debug!("flow from {} refused: {code}", packet.tuple.source);
                count("refused");
                if let Some(answer) = reply::refusal(packet, bytes) {
                    self.send(&answer);
                }
            }
            Action::Drop(reason) => {
                let reason: &'static str = reason.into();
                count(reason);
            }
        }
    }

    fn rewrite_and_send(&self, packet: &Packet, bytes: &mut [u8], end: Endpoint, to: SocketAddr) {
        match packet.rewrite(bytes, end, to) {
            Ok(()) => self.send(bytes),
            Err(error) => log::debug!("packet can't be rewritten: {error}"),
        }
    }

    /// Sends to the fabric. A full socket buffer loses the packet, as any network may.
    fn send(&self, bytes: &[u8]) {
        let fabric = self.cx.settings.entry.as_ref().map(|entry| entry.fabric);
        let (Some(socket), Some(fabric)) = (self.socket.get(), fabric) else { return };
        if let Err(error) = socket.send_to(bytes, fabric) {
            log::debug!("packet to the fabric: {error}");
        }
    }

    fn send_frames(&self, out: Vec<Outgoing>) {
        for Outgoing { to, frame } in out {
            self.cx.send(to, Topic::Flow, &frame);
        }
    }
}

fn keep_flows(sets: &mut TargetSets, state: &Declarations, target: &TargetRecord) {
    let Some(service) = state.services.get(&target.service) else { return };
    let Some(set) = sets.services.iter_mut().find(|set| set.service == service.id) else { return };
    set.targets.push(TargetSpec {
        address: target.address,
        incarnation: target.incarnation,
        domain: target.domain,
        weight: 0,
        state: TargetState::Draining,
    });
    set.targets.sort_by_key(|target| target.address);
}

fn hash_key(secret: &str) -> (u64, u64) {
    let mut hasher = SipHasher13::new();
    hasher.write(secret.as_bytes());
    let hash = hasher.finish128();
    (hash.h1, hash.h2)
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

fn count(outcome: &'static str) {
    metrics::counter!("comfreyhold_packets_total", "outcome" => outcome).increment(1);
}
