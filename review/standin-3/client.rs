//! Clients: open flows through the entries, as the platform's routers spread them, and send requests on them.

use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::{random, Record};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Times of the copies of an opening, and the end of an attempt.
const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const ATTEMPT: Duration = Duration::from_millis(1400);

/// The router: spreads the flows over the entries in rotation, by a hash of the four addresses and ports.
pub struct Router(pub RwLock<Vec<SocketAddrV4>>);

impl Router {
    fn entry_of(&self, src: SocketAddrV4, dst: SocketAddrV4) -> SocketAddrV4 {
        let mut hash: u32 = 0x811c_9dc5;
        for byte in format!("{src}{dst}").bytes() {
            hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
        let entries = self.0.read().expect("no panics");
        entries[(hash >> 8) as usize % entries.len()]
    }
}

/// A packet that has arrived, with the address that sent the datagram.
type Arrival = (Packet, SocketAddrV4);

/// One client address, with a socket for all of its flows.
pub struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Arc<Router>,
    flows: Mutex<HashMap<u16, Sender<Arrival>>>,
    next_port: AtomicU16,
    stop: AtomicBool,
    pub record: Arc<Record>,
}

/// Result of a request.
pub struct Outcome {
    pub end: End,
    /// Backend that answered; 0 if none did.
    pub backend: u64,
    /// Address that sent the reset.
    pub reset_by: Option<SocketAddrV4>,
}

/// How an attempt or a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    /// Reset by the system: a sum of 0.
    SystemReset,
    /// Reset by a backend.
    BackendReset,
    Silence,
}

pub struct Flow {
    client: Arc<Client>,
    pub src: SocketAddrV4,
    dst: SocketAddrV4,
    arrivals: Receiver<Arrival>,
    echo: u32,
    seq: u32,
    ack: u32,
    pub opened: Duration,
}

impl Client {
    pub fn start(ip: Ipv4Addr, port: u16, router: &Arc<Router>, record: &Arc<Record>) -> Arc<Self> {
        let socket =
            UdpSocket::bind(SocketAddrV4::new(ip, port)).expect("the client's address is free");
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a time-out above 0");
        let client = Arc::new(Self {
            ip,
            socket,
            router: Arc::clone(router),
            flows: Mutex::default(),
            next_port: AtomicU16::new(20_000),
            stop: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let reader = Arc::clone(&client);
        std::thread::spawn(move || reader.read_packets());
        client
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    fn read_packets(&self) {
        let mut buf = [0; 2048];
        while !self.stop.load(Ordering::SeqCst) {
            let Ok((len, std::net::SocketAddr::V4(from))) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buf[..len]) else { continue };
            let flows = self.flows.lock().expect("no panics");
            if let Some(flow) = flows.get(&packet.dst.port()) {
                let _ = flow.send((packet, from));
            }
        }
    }

    /// Opens a flow to an address of the platform, from a new port.
    pub fn open(self: &Arc<Self>, dst: SocketAddrV4) -> Result<Flow, End> {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let src = SocketAddrV4::new(self.ip, port);
        let (sender, arrivals) = channel();
        self.flows.lock().expect("no panics").insert(port, sender);
        let seq = random() as u32;
        let opened = Duration::ZERO;
        let mut flow =
            Flow { client: Arc::clone(self), src, dst, arrivals, echo: 0, seq, ack: 0, opened };
        let start = Instant::now();
        for copy in 0..COPIES.len() {
            flow.send(SYN, copy as u32, Vec::new());
            let next = COPIES.get(copy + 1).copied().unwrap_or(ATTEMPT);
            while let Some((packet, _)) = flow.receive(start + next) {
                if packet.has(SYN) && packet.has(ACK) && packet.ack == seq.wrapping_add(1) {
                    flow.seq = packet.ack;
                    flow.ack = packet.seq.wrapping_add(1);
                    flow.opened = self.record.now();
                    flow.send(ACK, flow.ack, Vec::new());
                    return Ok(flow);
                }
                if packet.has(RST) {
                    return Err(if packet.sum == 0 { End::SystemReset } else { End::BackendReset });
                }
            }
        }
        Err(End::Silence)
    }
}

impl Flow {
    fn send(&self, flags: u8, ack: u32, data: Vec<u8>) {
        let (src, dst, seq, echo) = (self.src, self.dst, self.seq, self.echo);
        let packet = Packet { src, dst, flags, seq, ack, echo, data, sum: 0 };
        let to = self.client.router.entry_of(src, dst);
        let _ = self.client.socket.send_to(&packet.encode(), to);
    }

    /// Next packet of the flow until a time. Each one's cookie replaces the last one.
    fn receive(&mut self, until: Instant) -> Option<Arrival> {
        let wait = until.saturating_duration_since(Instant::now());
        match self.arrivals.recv_timeout(wait) {
            Ok((packet, from)) => {
                if packet.sum != 0 {
                    self.echo = packet.echo;
                }
                Some((packet, from))
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => None,
        }
    }

    /// Sends a request and waits for its answer, at most for `deadline`.
    pub fn request(&mut self, id: &str, deadline: Duration) -> Outcome {
        let reset = |end, from| Outcome { end, backend: 0, reset_by: Some(from) };
        let text = format!("GET / HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\n\r\n", self.dst);
        let end = Instant::now() + deadline;
        let mut pause = Duration::from_millis(200);
        while Instant::now() < end {
            self.send(ACK, self.ack, text.clone().into_bytes());
            let until = (Instant::now() + pause).min(end);
            pause = (pause * 2).min(Duration::from_millis(1600));
            while let Some((packet, from)) = self.receive(until) {
                if packet.has(RST) {
                    let distance = packet.seq.wrapping_sub(self.ack) as i32;
                    // A reset of the system's own must come close to the last acknowledgement.
                    match packet.sum {
                        0 if distance.unsigned_abs() <= 76_800 => {
                            return reset(End::SystemReset, from)
                        }
                        0 => continue,
                        _ if packet.is_intact() => return reset(End::BackendReset, from),
                        _ => continue,
                    }
                }
                if packet.is_intact() && packet.seq == self.ack && !packet.data.is_empty() {
                    self.seq = self.seq.wrapping_add(text.len() as u32);
                    self.ack = self.ack.wrapping_add(packet.data.len() as u32);
                    self.send(ACK, self.ack, Vec::new());
                    let answer = String::from_utf8_lossy(&packet.data).into_owned();
                    let is_own = answer.ends_with(&format!("done {id}"));
                    if !is_own {
                        self.client.record.line(&format!("{id} got a foreign answer: {answer:?}"));
                    }
                    let seal = answer.lines().find_map(|line| line.strip_prefix("Backend-Seal: "));
                    let backend = seal.and_then(|seal| u64::from_str_radix(seal, 16).ok());
                    return Outcome {
                        end: End::Done,
                        backend: backend.unwrap_or(0),
                        reset_by: None,
                    };
                }
            }
        }
        Outcome { end: End::Silence, backend: 0, reset_by: None }
    }

    pub fn close(self) {
        self.send(FIN | ACK, self.ack, Vec::new());
        std::thread::sleep(Duration::from_millis(50));
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.client.flows.lock().expect("no panics").remove(&self.src.port());
    }
}
