//! Packet flows over the fabric: open, send now and then, and notice when a flow is broken.

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

/// Ports used per caller address.
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
    /// First caller address; each takes up to 60,000 flows. Groups and loads against the same targets
    /// need different ones, or their flows are taken for each other's.
    #[serde(default = "defaults::caller")]
    pub caller: Ipv4Addr,
    /// Mean flows opened per second.
    pub opens_per_s: f64,
    /// How long a flow is held, in milliseconds.
    pub hold_ms: u64,
    /// Pause between an echo and the next payload, in milliseconds.
    #[serde(default = "defaults::send_every_ms")]
    pub send_every_ms: u64,
    /// A payload without echo is sent again after this time, in milliseconds.
    #[serde(default = "defaults::resend_ms")]
    pub resend_ms: u64,
    /// A flow without echo for this time is broken, in milliseconds.
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
    /// Closed by the caller; it worked until then.
    Closed,
    /// The opening was refused by RST or ICMP.
    OpenRefused,
    /// The opening got no answer within the limit.
    OpenSilent,
    /// Established, then ended by RST or ICMP.
    Reset,
    /// Established, then without echo for the limit.
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
    /// End of each flow, with its time from the start of the load.
    pub ends: Vec<(Duration, FlowEnd)>,
    /// Callers of broken flows.
    pub broken: Vec<SocketAddrV4>,
    /// Time from the first packet to the answer of each opened flow.
    pub open_times: Vec<Duration>,
    /// Time from the first send of each payload to its echo.
    pub echo_times: Vec<Duration>,
    /// Payloads and openings sent again.
    pub resends: u64,
    /// Received packets that match nothing that is waited for.
    pub unexpected: u64,
    /// Received packets with a wrong checksum.
    pub bad_checksums: u64,
}

struct Flow {
    caller: SocketAddrV4,
    opened: Instant,
    established: bool,
    ended: bool,
    seq: u32,
    ack: u32,
    count: u64,
    /// Payload that is waited for, and when it was first sent.
    waiting: Option<(Vec<u8>, Instant)>,
    timer: Instant,
}

impl Flow {
    fn is_waiting_for(&self, payload: &[u8]) -> bool {
        self.waiting.as_ref().is_some_and(|(sent, _)| sent == payload)
    }
}

struct Driver {
    settings: FlowLoad,
    socket: UdpSocket,
    start: Instant,
    stop: Instant,
    flows: Vec<Flow>,
    timers: BTreeSet<(Instant, usize)>,
    results: FlowResults,
}

/// Runs a group of flows until all of them have ended.
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
    let mut driver = Driver {
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

impl Driver {
    async fn run(&mut self, opens: &[Duration]) {
        let mut buffer = vec![0; 65_536];
        loop {
            let next_open = opens.get(self.flows.len()).map(|at| self.start + *at);
            let next_timer = self.timers.first().map(|(at, _)| *at);
            let Some(wake) = next_open.into_iter().chain(next_timer).min() else { return };
            tokio::select! {
                // Echoes come first: a limit must not pass over an echo that has arrived.
                biased;
                Ok(length) = self.socket.recv(&mut buffer) => self.receive(&buffer[..length]),
                () = tokio::time::sleep_until(wake) => self.wake(next_open).await,
            }
        }
    }

    async fn wake(&mut self, next_open: Option<Instant>) {
        let now = Instant::now();
        if let Some(at) = next_open.filter(|at| *at <= now) {
            self.open(at).await;
        }
        if let Some((at, index)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.timer(index, now).await;
        }
    }

    /// Opens a flow. Its times count from the intended start.
    async fn open(&mut self, intended: Instant) {
        let now = Instant::now();
        let index = self.flows.len();
        let host = u32::from(self.settings.caller) + (index / PORTS_PER_ADDRESS) as u32;
        let port = FIRST_PORT + index % PORTS_PER_ADDRESS;
        let caller = SocketAddrV4::new(host.into(), u16::try_from(port).unwrap_or(u16::MAX));
        let payload = match self.settings.protocol {
            Protocol::Tcp => Vec::new(),
            Protocol::Udp => self.payload(caller, 0),
        };
        let seq = u32::try_from(index).unwrap_or(0).wrapping_mul(7_919);
        let mut flow = Flow {
            caller,
            opened: intended,
            established: false,
            ended: false,
            seq,
            ack: 0,
            count: 0,
            waiting: None,
            timer: now,
        };
        flow.waiting = Some((payload, now));
        self.flows.push(flow);
        self.send_waiting(index, now).await;
    }

    async fn timer(&mut self, index: usize, now: Instant) {
        let limit = Duration::from_millis(self.settings.echo_limit_ms);
        let hold = Duration::from_millis(self.settings.hold_ms);
        let flow = &mut self.flows[index];
        match &flow.waiting {
            Some((_, since)) if now >= *since + limit => {
                let end = if flow.established { FlowEnd::Silent } else { FlowEnd::OpenSilent };
                self.end(index, end);
            }
            Some(_) => {
                self.results.resends += 1;
                self.send_waiting(index, now).await;
            }
            None if now >= flow.opened + hold || now >= self.stop => self.close(index).await,
            None => {
                flow.count += 1;
                let (caller, count) = (flow.caller, flow.count);
                self.flows[index].waiting = Some((self.payload(caller, count), now));
                self.send_waiting(index, now).await;
            }
        }
    }

    /// The service name and a semicolon let the target notice a packet of another service.
    fn payload(&self, caller: SocketAddrV4, count: u64) -> Vec<u8> {
        format!("{};{caller};{count}", self.settings.service).into_bytes()
    }

    async fn send_waiting(&mut self, index: usize, now: Instant) {
        let flow = &self.flows[index];
        let Some((payload, first_sent)) = &flow.waiting else { return };
        // Registration is repeated with each resend, since a datagram may get lost.
        if !flow.established || *first_sent != now {
            let _ = self.socket.send(format!("register {}", flow.caller).as_bytes()).await;
        }
        let _ = self.socket.send(&self.packet(flow, payload)).await;
        self.set_timer(index, now + Duration::from_millis(self.settings.resend_ms));
    }

    fn packet(&self, flow: &Flow, payload: &[u8]) -> Vec<u8> {
        if self.settings.protocol == Protocol::Udp {
            return packet::udp(flow.caller, self.settings.address, payload);
        }
        let ack = flow.established.then_some(flow.ack);
        let fields =
            TcpFields { seq: flow.seq, ack, syn: !flow.established, ..TcpFields::default() };
        packet::tcp(flow.caller, self.settings.address, fields, payload)
    }

    async fn close(&mut self, index: usize) {
        let flow = &self.flows[index];
        if self.settings.protocol == Protocol::Tcp {
            let ack = Some(flow.ack);
            let fields = TcpFields { seq: flow.seq, ack, fin: true, ..TcpFields::default() };
            let fin = packet::tcp(flow.caller, self.settings.address, fields, &[]);
            let _ = self.socket.send(&fin).await;
        }
        self.end(index, FlowEnd::Closed);
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
        match self.index_of(packet.destination) {
            Some(index) if packet.source == self.settings.address => {
                self.receive_for(index, &packet);
            }
            _ => self.results.unexpected += 1,
        }
    }

    fn receive_for(&mut self, index: usize, packet: &Packet<'_>) {
        if self.flows[index].ended {
            return;
        }
        let expected = match packet.content {
            Content::Unreachable => self.reset(index),
            Content::Tcp(fields, _) if fields.rst => self.reset(index),
            Content::Tcp(fields, _) if fields.syn => self.opened(index, fields),
            Content::Tcp(fields, payload) => self.tcp_echo(index, fields, payload),
            Content::Udp(payload) => self.udp_echo(index, payload),
        };
        self.results.unexpected += u64::from(!expected);
    }

    /// Takes in a SYN-ACK; returns whether it was expected.
    fn opened(&mut self, index: usize, fields: TcpFields) -> bool {
        let flow = &mut self.flows[index];
        if flow.established || fields.ack != Some(flow.seq.wrapping_add(1)) {
            return false;
        }
        flow.seq = flow.seq.wrapping_add(1);
        flow.ack = fields.seq.wrapping_add(1);
        self.establish(index);
        true
    }

    fn tcp_echo(&mut self, index: usize, fields: TcpFields, payload: &[u8]) -> bool {
        let flow = &mut self.flows[index];
        if !flow.established || !flow.is_waiting_for(payload) || fields.seq != flow.ack {
            return false;
        }
        let length = u32::try_from(payload.len()).unwrap_or(0);
        flow.seq = flow.seq.wrapping_add(length);
        flow.ack = flow.ack.wrapping_add(length);
        self.echoed(index);
        true
    }

    fn udp_echo(&mut self, index: usize, payload: &[u8]) -> bool {
        let flow = &self.flows[index];
        if !flow.is_waiting_for(payload) {
            return false;
        }
        if flow.established {
            self.echoed(index);
        } else {
            self.establish(index);
        }
        true
    }

    fn establish(&mut self, index: usize) {
        let now = Instant::now();
        let flow = &mut self.flows[index];
        flow.established = true;
        flow.waiting = None;
        self.results.open_times.push(now - flow.opened);
        self.set_timer(index, now);
    }

    fn echoed(&mut self, index: usize) {
        let now = Instant::now();
        if let Some((_, since)) = self.flows[index].waiting.take() {
            self.results.echo_times.push(now - since);
        }
        self.set_timer(index, now + Duration::from_millis(self.settings.send_every_ms));
    }

    fn reset(&mut self, index: usize) -> bool {
        let established = self.flows[index].established;
        self.end(index, if established { FlowEnd::Reset } else { FlowEnd::OpenRefused });
        true
    }

    fn end(&mut self, index: usize, end: FlowEnd) {
        let flow = &mut self.flows[index];
        flow.ended = true;
        self.timers.remove(&(flow.timer, index));
        if end.is_broken() {
            self.results.broken.push(flow.caller);
        }
        self.results.ends.push((self.start.elapsed(), end));
    }

    fn set_timer(&mut self, index: usize, at: Instant) {
        let flow = &mut self.flows[index];
        self.timers.remove(&(flow.timer, index));
        flow.timer = at;
        self.timers.insert((at, index));
    }

    fn index_of(&self, caller: SocketAddrV4) -> Option<usize> {
        let host = u32::from(*caller.ip()).checked_sub(u32::from(self.settings.caller))?;
        let port = usize::from(caller.port()).checked_sub(FIRST_PORT)?;
        let index = host as usize * PORTS_PER_ADDRESS + port;
        (port < PORTS_PER_ADDRESS && index < self.flows.len()).then_some(index)
    }
}
