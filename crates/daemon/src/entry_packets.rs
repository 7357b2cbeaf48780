//! Receives IP packets from the fabric, routes them with the flow router, and forwards them to targets,
//! callers or other entries.

use crate::context::{Context, lock};
use comfreyhold_flow::packet::Endpoint;
use comfreyhold_flow::targets::TargetRef;
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

/// Limit of flows recorded by one entry.
const MAX_FLOWS: usize = 2_000_000;

/// Receive buffer of the packet socket, in bytes: about 20 ms of packets at 100,000 per second.
const RECEIVE_BUFFER: usize = 4 * 1024 * 1024;

/// Largest received datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Read timeout of the packet socket.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs the flow router of one entry on its packet socket.
pub struct PacketDriver {
    cx: Arc<Context>,
    router: FlowRouter,
    socket: OnceLock<UdpSocket>,
    peers: Mutex<Vec<Peer>>,
}

impl PacketDriver {
    /// Creates the driver. The router makes no decisions before it has received the peers' state, since a
    /// starting entry doesn't know which flows are established. It is isolated only if it gets no lease.
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let secret = cx.settings.entry.as_ref().map_or("", |entry| entry.flow_secret.as_str());
        let settings = RouterSettings {
            instance: cx.instance(),
            domain: cx.member.domain,
            hash_key: derive_hash_key(secret),
            max_flows: MAX_FLOWS,
            seed: cx.derive_seed(3),
        };
        let router = FlowRouter::new(settings, cx.now());
        Self { cx, router, socket: OnceLock::new(), peers: Mutex::default() }
    }

    /// Opens the packet socket and starts its threads, which run until the process exits.
    ///
    /// # Errors
    /// The address can't be bound, or a thread can't be started.
    pub fn start(self: &Arc<Self>, address: SocketAddr, threads: u16) -> std::io::Result<()> {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        socket.bind(&address.into())?;
        let socket: UdpSocket = socket.into();
        for _ in 0..threads {
            let packets = Arc::clone(self);
            let socket = socket.try_clone()?;
            std::thread::Builder::new()
                .name("packets".to_owned())
                .spawn(move || packets.receive_packets(&socket))?;
        }
        if self.socket.set(socket).is_err() {
            log::error!("the packet socket was opened twice");
        }
        Ok(())
    }

    /// Prepares the packet tables of a revision. `local_targets` are announced targets of the local failure
    /// domain: those that are not declared, such as after a partition, keep their flows and get no new ones.
    pub fn prepare<'a>(
        &self,
        state: &Declarations,
        local_targets: impl Iterator<Item = &'a TargetRecord>,
    ) {
        let mut sets = TargetSets::from_declarations(state, &self.cx.settings.domains);
        for target in local_targets.filter(|target| !state.targets.contains_key(&target.address)) {
            add_draining_target(&mut sets, state, target);
        }
        if let Err(error) = self.router.prepare(state.revision, &sets, self.cx.now()) {
            log::warn!(
                "{} can't prepare packet tables of {}: {error}",
                error.code().number(),
                state.revision
            );
        }
    }

    /// Activates a prepared revision.
    pub fn activate(&self, revision: Revision) {
        if let Err(error) = self.router.activate(revision, self.cx.now()) {
            log::warn!(
                "{} can't activate packet tables of {revision}: {error}",
                error.code().number()
            );
        }
    }

    /// Ends the flows to a target's incarnations up to the given one.
    pub fn end_target_flows(&self, address: SocketAddr, incarnation: Incarnation) {
        self.router.end_target_flows(address, incarnation);
    }

    /// Ends the flows of another service whose target had the address of `target` before. `service` is that of `target`.
    pub fn end_flows_of_former_service(&self, target: &TargetRef, service: Option<ServiceId>) {
        self.router.end_flows_of_former_service(target, service);
    }

    /// Sets whether only targets of the local failure domain may be used.
    pub fn set_isolated(&self, isolated: bool) {
        if isolated {
            self.router.isolate();
            return;
        }
        let mut out = Vec::new();
        self.router.end_isolation(self.cx.now(), &mut out);
        self.send_frames(out);
    }

    /// Sets the live entries.
    pub fn set_peers(&self, peers: &[Peer]) {
        let mut known = lock(&self.peers);
        if known.as_slice() == peers {
            return;
        }
        known.clear();
        known.extend_from_slice(peers);
        let mut out = Vec::new();
        self.router.set_live_entries(peers, self.cx.now(), &mut out);
        self.send_frames(out);
    }

    /// Handles a frame from another entry.
    pub fn handle_frame(&self, from: InstanceId, frame: Frame) {
        let now = self.cx.now();
        let mut out = Vec::new();
        match frame.message {
            Some(Message::Forward { hops, proxy, packet: mut bytes }) => {
                let Some(packet) = self.parse_packet(&bytes) else { return };
                let origin = (from, hops, proxy);
                let action = self.router.route_forwarded(origin, &packet, now, &mut out);
                self.apply_action(action, &packet, &mut bytes);
            }
            _ => self.router.handle_frame(from, &frame, now, &mut out),
        }
        self.send_frames(out);
    }

    /// Runs all timers that are due.
    pub fn tick(&self) {
        let mut out = Vec::new();
        self.router.tick(self.cx.now(), &mut out);
        self.send_frames(out);
    }

    /// Exports the numbers of flows and of slots in transition.
    pub fn export_metrics(&self) {
        let stats = self.router.stats();
        metrics::gauge!("comfreyhold_flows").set(stats.flows as f64);
        metrics::gauge!("comfreyhold_moving_slots").set(stats.moving_slots as f64);
    }

    /// Numbers of recorded flows and of slots in transition, and whether the router is in sync with its peers.
    #[must_use]
    pub fn status(&self) -> (usize, usize, bool) {
        let stats = self.router.stats();
        (stats.flows, stats.moving_slots, self.router.is_synced())
    }

    fn receive_packets(&self, socket: &UdpSocket) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match socket.recv(&mut buf) {
                Ok(len) => self.handle_packet(&mut buf[..len]),
                Err(error) if is_timeout(&error) => {}
                Err(error) => log::debug!("can't receive from the packet socket: {error}"),
            }
        }
    }

    fn handle_packet(&self, bytes: &mut [u8]) {
        let Some(packet) = self.parse_packet(bytes) else { return };
        if let Some(service) = self.router.return_source(packet.tuple.source) {
            count_packet("to-caller");
            self.rewrite_and_send(&packet, bytes, Endpoint::Source, service);
            return;
        }
        let mut out = Vec::new();
        let action = self.router.route_packet(&packet, self.cx.now(), &mut out);
        self.apply_action(action, &packet, bytes);
        self.send_frames(out);
    }

    fn parse_packet(&self, bytes: &[u8]) -> Option<Packet> {
        match Packet::parse(bytes) {
            Ok(packet) => Some(packet),
            Err(error) => {
                log::debug!("{} packet dropped: {error}", error.code().number());
                count_packet("malformed");
                None
            }
        }
    }

    fn apply_action(&self, action: Action, packet: &Packet, bytes: &mut [u8]) {
        match action {
            Action::ToTarget(target) => {
                count_packet("to-target");
                self.rewrite_and_send(packet, bytes, Endpoint::Destination, target);
            }
            Action::Forward { to, hops, proxy } => {
                count_packet("forwarded");
                let message = Message::Forward { hops, proxy, packet: bytes.to_vec() };
                let frame = Frame { seq: 0, acks: Vec::new(), message: Some(message) };
                self.cx.send(to, Topic::Flow, &frame);
            }
            Action::Reject(code) => {
                log::debug!("flow from {} refused: {code}", packet.tuple.source);
                count_packet("refused");
                if let Some(answer) = reply::refusal(packet, bytes) {
                    self.send_to_fabric(&answer);
                }
            }
            Action::Drop(reason) => {
                let reason: &'static str = reason.into();
                count_packet(reason);
            }
        }
    }

    fn rewrite_and_send(
        &self,
        packet: &Packet,
        bytes: &mut [u8],
        endpoint: Endpoint,
        to: SocketAddr,
    ) {
        match packet.rewrite(bytes, endpoint, to) {
            Ok(()) => self.send_to_fabric(bytes),
            Err(error) => log::debug!("packet can't be rewritten: {error}"),
        }
    }

    /// Sends a packet to the fabric. It is dropped if the socket's buffer is full.
    fn send_to_fabric(&self, bytes: &[u8]) {
        let fabric = self.cx.settings.entry.as_ref().map(|entry| entry.fabric);
        let (Some(socket), Some(fabric)) = (self.socket.get(), fabric) else { return };
        if let Err(error) = socket.send_to(bytes, fabric) {
            log::debug!("can't send a packet to the fabric: {error}");
        }
    }

    fn send_frames(&self, out: Vec<Outgoing>) {
        for Outgoing { to, frame } in out {
            self.cx.send(to, Topic::Flow, &frame);
        }
    }
}

/// Adds a target that keeps its flows and gets no new ones.
fn add_draining_target(sets: &mut TargetSets, state: &Declarations, target: &TargetRecord) {
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

fn derive_hash_key(secret: &str) -> (u64, u64) {
    let mut hasher = SipHasher13::new();
    hasher.write(secret.as_bytes());
    let hash = hasher.finish128();
    (hash.h1, hash.h2)
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

fn count_packet(outcome: &'static str) {
    metrics::counter!("comfreyhold_packets_total", "outcome" => outcome).increment(1);
}
