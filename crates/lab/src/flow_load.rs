//! Packet flows over the fabric: opens flows, sends payloads at intervals, and detects broken flows
//! by missing echoes, RST or ICMP.

use crate::fabric::bind_with_buffer;
use crate::load::{LoadSettings, arrivals, part_seed};
use crate::packet::{self, Content, Packet, Protocol, TcpFields};
use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Flows per caller address, each from its own port.
const PORTS_PER_ADDRESS: usize = 60_000;

const FIRST_PORT: usize = 1_024;

/// Settings of a group of flows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowLoad {
    /// Packet address of the fabric.
    pub fabric: SocketAddr,
    /// Service name, at the start of each payload.
    pub service: String,
    /// Service address that packets are sent to.
    pub address: SocketAddrV4,
    /// Transport protocol.
    pub protocol: Protocol,
    /// First caller address; each carries up to 60,000 flows. Groups and loads against the same
    /// targets need different addresses, since flows are matched by their caller's endpoint.
    #[serde(default = "defaults::caller")]
    pub caller: Ipv4Addr,
    /// Mean flows opened per second.
    pub opens_per_s: f64,
    /// Time from the opening of a flow to its close, in milliseconds.
    pub hold_ms: u64,
    /// Interval between an echo and the next payload, in milliseconds.
    #[serde(default = "defaults::send_every_ms")]
    pub send_every_ms: u64,
    /// Retransmission timeout of a payload or opening, in milliseconds.
    #[serde(default = "defaults::resend_ms")]
    pub resend_ms: u64,
    /// Time without an echo after which a flow counts as broken, in milliseconds.
    #[serde(default = "defaults::echo_limit_ms")]
    pub echo_limit_ms: u64,
}

mod defaults {
    use std::net::Ipv4Addr;

    pub fn caller() -> Ipv4Addr {
        Ipv4Addr::new(10, 200, 0, 1)
    }
    pub fn send_every_ms() -> u64 {
        200
    }
    pub fn resend_ms() -> u64 {
        250
    }
    pub fn echo_limit_ms() -> u64 {
        3_000
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowEnd {
    /// Closed by the caller after its time, without an error.
    Closed,
    /// The opening was refused by RST or ICMP.
    OpenRefused,
    /// The opening got no reply within the limit.
    OpenSilent,
    /// Established, then ended by RST or ICMP.
    Reset,
    /// Established, then no echo within the limit.
    Silent,
}

impl FlowEnd {
    /// Whether an established flow was broken.
    #[must_use]
    pub fn is_broken(self) -> bool {
        matches!(self, Self::Reset | Self::Silent)
    }
}

/// Results of a group of flows.
#[derive(Clone, Debug, Default)]
pub struct FlowResults {
    /// How each flow ended, and when, from the start of the load.
    pub ends: Vec<(Duration, FlowEnd)>,
    /// Caller endpoints of broken flows.
    pub broken: Vec<SocketAddrV4>,
    /// Time from the intended start of each opened flow to the reply to its opening.
    pub open_times: Vec<Duration>,
    /// Time from the first send of each payload to its echo.
    pub echo_times: Vec<Duration>,
    /// Retransmissions of payloads and openings.
    pub resends: u64,
    /// Received packets that match no pending payload or opening.
    pub unexpected: u64,
    /// Received packets with an invalid checksum.
    pub bad_checksums: u64,
}

struct Flow {
    caller: SocketAddrV4,
    opened_at: Instant,
    established: bool,
    ended: bool,
    seq: u32,
    ack: u32,
    payloads_sent: u64,
    /// Payload without an echo yet, and when it was first sent.
    pending: Option<(Vec<u8>, Instant)>,
    timer_at: Instant,
}

impl Flow {
    fn is_pending(&self, payload: &[u8]) -> bool {
        self.pending.as_ref().is_some_and(|(sent, _)| sent == payload)
    }
}

struct FlowDriver {
    settings: FlowLoad,
    socket: UdpSocket,
    start: Instant,
    /// End of the period in which flows are opened; established flows are closed after it.
    stop: Instant,
    flows: Vec<Flow>,
    timers: BTreeSet<(Instant, usize)>,
    results: FlowResults,
}

/// Runs a group of flows, and returns when all of them have ended.
///
/// # Errors
/// The fabric's socket can't be opened.
pub async fn drive(settings: LoadSettings, index: usize) -> Result<FlowResults> {
    let flow_settings = settings.flows[index].clone();
    if flow_settings.fabric.is_ipv6() {
        bail!("field `flows.fabric`: allowed: an IPv4 address");
    }
    let socket = bind_with_buffer(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    socket.connect(flow_settings.fabric).await?;
    let seed = part_seed(settings.seed, "flows", index);
    let opens = arrivals(flow_settings.opens_per_s, settings.duration(), seed);
    let start = Instant::now();
    let mut driver = FlowDriver {
        settings: flow_settings,
        socket,
        start,
        stop: start + settings.duration(),
        flows: Vec::new(),
        timers: BTreeSet::new(),
        results: FlowResults::default(),
    };
    driver.run(&opens).await;
    Ok(driver.results)
}

impl FlowDriver {
    async fn run(&mut self, opens: &[Duration]) {
        let mut buffer = vec![0; 65_536];
        loop {
            let next_open = opens.get(self.flows.len()).map(|at| self.start + *at);
            let next_timer = self.timers.first().map(|(at, _)| *at);
            let Some(wake) = next_open.into_iter().chain(next_timer).min() else { return };
            tokio::select! {
                // Packets are received first: an echo that has arrived must not count as missing.
                biased;
                Ok(length) = self.socket.recv(&mut buffer) => self.receive(&buffer[..length]),
                () = tokio::time::sleep_until(wake) => self.handle_wakeup(next_open).await,
            }
        }
    }

    async fn handle_wakeup(&mut self, next_open: Option<Instant>) {
        let now = Instant::now();
        if let Some(at) = next_open.filter(|at| *at <= now) {
            self.open_flow(at).await;
        }
        if let Some((at, index)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.handle_timer(index, now).await;
        }
    }

    /// Opens a flow. Its hold time and open time count from the intended start.
    async fn open_flow(&mut self, intended: Instant) {
        let now = Instant::now();
        let index = self.flows.len();
        let ip = u32::from(self.settings.caller) + (index / PORTS_PER_ADDRESS) as u32;
        let port = FIRST_PORT + index % PORTS_PER_ADDRESS;
        let caller = SocketAddrV4::new(ip.into(), u16::try_from(port).unwrap_or(u16::MAX));
        let payload = match self.settings.protocol {
            Protocol::Tcp => Vec::new(),
            Protocol::Udp => self.build_payload(caller, 0),
        };
        let seq = u32::try_from(index).unwrap_or(0).wrapping_mul(7_919);
        let mut flow = Flow {
            caller,
            opened_at: intended,
            established: false,
            ended: false,
            seq,
            ack: 0,
            payloads_sent: 0,
            pending: None,
            timer_at: now,
        };
        flow.pending = Some((payload, now));
        self.flows.push(flow);
        self.send_pending(index, now).await;
    }

    async fn handle_timer(&mut self, index: usize, now: Instant) {
        let limit = Duration::from_millis(self.settings.echo_limit_ms);
        let hold = Duration::from_millis(self.settings.hold_ms);
        let flow = &mut self.flows[index];
        match &flow.pending {
            Some((_, since)) if now >= *since + limit => {
                let end = if flow.established { FlowEnd::Silent } else { FlowEnd::OpenSilent };
                self.end_flow(index, end);
            }
            Some(_) => {
                self.results.resends += 1;
                self.send_pending(index, now).await;
            }
            None if now >= flow.opened_at + hold || now >= self.stop => {
                self.close_flow(index).await
            }
            None => {
                flow.payloads_sent += 1;
                let (caller, count) = (flow.caller, flow.payloads_sent);
                self.flows[index].pending = Some((self.build_payload(caller, count), now));
                self.send_pending(index, now).await;
            }
        }
    }

    /// Starts with the service name and a semicolon, by which a target detects packets for another
    /// service.
    fn build_payload(&self, caller: SocketAddrV4, count: u64) -> Vec<u8> {
        format!("{};{caller};{count}", self.settings.service).into_bytes()
    }

    async fn send_pending(&mut self, index: usize, now: Instant) {
        let flow = &self.flows[index];
        let Some((payload, first_sent)) = &flow.pending else { return };
        // The registration is repeated with each retransmission, since its datagram may be lost.
        if !flow.established || *first_sent != now {
            let _ = self.socket.send(format!("register {}", flow.caller).as_bytes()).await;
        }
        let _ = self.socket.send(&self.build_packet(flow, payload)).await;
        self.set_timer(index, now + Duration::from_millis(self.settings.resend_ms));
    }

    fn build_packet(&self, flow: &Flow, payload: &[u8]) -> Vec<u8> {
        if self.settings.protocol == Protocol::Udp {
            return packet::udp(flow.caller, self.settings.address, payload);
        }
        let ack = flow.established.then_some(flow.ack);
        let fields =
            TcpFields { seq: flow.seq, ack, syn: !flow.established, ..TcpFields::default() };
        packet::tcp(flow.caller, self.settings.address, fields, payload)
    }

    async fn close_flow(&mut self, index: usize) {
        let flow = &self.flows[index];
        if self.settings.protocol == Protocol::Tcp {
            let ack = Some(flow.ack);
            let fields = TcpFields { seq: flow.seq, ack, fin: true, ..TcpFields::default() };
            let fin = packet::tcp(flow.caller, self.settings.address, fields, &[]);
            let _ = self.socket.send(&fin).await;
        }
        self.end_flow(index, FlowEnd::Closed);
    }

    fn receive(&mut self, bytes: &[u8]) {
        if bytes == b"ok" {
            return;
        }
        let Some(packet) = packet::parse(bytes) else {
            self.results.unexpected += 1;
            return;
        };
        if !packet.checksums_ok {
            self.results.bad_checksums += 1;
            return;
        }
        match self.flow_index(packet.destination) {
            Some(index) if packet.source == self.settings.address => {
                self.receive_for_flow(index, &packet);
            }
            _ => self.results.unexpected += 1,
        }
    }

    fn receive_for_flow(&mut self, index: usize, packet: &Packet<'_>) {
        if self.flows[index].ended {
            return;
        }
        let expected = match packet.content {
            Content::Unreachable => self.handle_reset(index),
            Content::Tcp(fields, _) if fields.rst => self.handle_reset(index),
            Content::Tcp(fields, _) if fields.syn => self.handle_syn_ack(index, fields),
            Content::Tcp(fields, payload) => self.handle_tcp_echo(index, fields, payload),
            Content::Udp(payload) => self.handle_udp_echo(index, payload),
        };
        self.results.unexpected += u64::from(!expected);
    }

    /// Establishes the flow; returns whether the SYN-ACK was expected.
    fn handle_syn_ack(&mut self, index: usize, fields: TcpFields) -> bool {
        let flow = &mut self.flows[index];
        if flow.established || fields.ack != Some(flow.seq.wrapping_add(1)) {
            return false;
        }
        flow.seq = flow.seq.wrapping_add(1);
        flow.ack = fields.seq.wrapping_add(1);
        self.establish(index);
        true
    }

    fn handle_tcp_echo(&mut self, index: usize, fields: TcpFields, payload: &[u8]) -> bool {
        let flow = &mut self.flows[index];
        if !flow.established || !flow.is_pending(payload) || fields.seq != flow.ack {
            return false;
        }
        let length = u32::try_from(payload.len()).unwrap_or(0);
        flow.seq = flow.seq.wrapping_add(length);
        flow.ack = flow.ack.wrapping_add(length);
        self.complete_echo(index);
        true
    }

    fn handle_udp_echo(&mut self, index: usize, payload: &[u8]) -> bool {
        let flow = &self.flows[index];
        if !flow.is_pending(payload) {
            return false;
        }
        if flow.established {
            self.complete_echo(index);
        } else {
            self.establish(index);
        }
        true
    }

    fn establish(&mut self, index: usize) {
        let now = Instant::now();
        let flow = &mut self.flows[index];
        flow.established = true;
        flow.pending = None;
        self.results.open_times.push(now - flow.opened_at);
        self.set_timer(index, now);
    }

    fn complete_echo(&mut self, index: usize) {
        let now = Instant::now();
        if let Some((_, since)) = self.flows[index].pending.take() {
            self.results.echo_times.push(now - since);
        }
        self.set_timer(index, now + Duration::from_millis(self.settings.send_every_ms));
    }

    fn handle_reset(&mut self, index: usize) -> bool {
        let established = self.flows[index].established;
        self.end_flow(index, if established { FlowEnd::Reset } else { FlowEnd::OpenRefused });
        true
    }

    fn end_flow(&mut self, index: usize, end: FlowEnd) {
        let flow = &mut self.flows[index];
        flow.ended = true;
        self.timers.remove(&(flow.timer_at, index));
        if end.is_broken() {
            self.results.broken.push(flow.caller);
        }
        self.results.ends.push((self.start.elapsed(), end));
    }

    fn set_timer(&mut self, index: usize, at: Instant) {
        let flow = &mut self.flows[index];
        self.timers.remove(&(flow.timer_at, index));
        flow.timer_at = at;
        self.timers.insert((at, index));
    }

    fn flow_index(&self, caller: SocketAddrV4) -> Option<usize> {
        let ip_offset = u32::from(*caller.ip()).checked_sub(u32::from(self.settings.caller))?;
        let port = usize::from(caller.port()).checked_sub(FIRST_PORT)?;
        let index = ip_offset as usize * PORTS_PER_ADDRESS + port;
        (port < PORTS_PER_ADDRESS && index < self.flows.len()).then_some(index)
    }
}
