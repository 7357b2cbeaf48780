//! Clients of one zone: each request opens a flow of its own through the entry of the zone.

use crate::cluster::PACKET_PORT;
use crate::packet::{ACK, FIN, Header, RST, SYN, decode, encode};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Address that the route of the configuration names.
const SERVICE: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 8080);

/// Times of the copies of an opening packet, and the end of an attempt without an answer.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const ATTEMPT: Duration = Duration::from_millis(1_400);
const DEADLINE: Duration = Duration::from_secs(3);

/// How the requests ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: usize,
    pub answered: usize,
    pub reset: usize,
    pub refused: usize,
    pub given_up: usize,
}

struct ClientFlow {
    opened: Instant,
    copies: u32,
    seq: u32,
    echo: u32,
    is_open: bool,
}

/// Clients that send requests until they are dropped.
pub struct Clients {
    counts: Arc<Mutex<Counts>>,
    sent_at: Arc<Mutex<HashMap<(Ipv4Addr, u16), Instant>>>,
    ended: Arc<AtomicBool>,
}

impl Clients {
    /// Starts clients at `ip` that send `per_s` requests a second to an entry.
    pub fn start(ip: Ipv4Addr, entry: SocketAddr, per_s: f64) -> io::Result<Self> {
        let socket = UdpSocket::bind((ip, PACKET_PORT))?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let clients =
            Self { counts: Arc::default(), sent_at: Arc::default(), ended: Arc::default() };
        let (counts, sent_at) = (Arc::clone(&clients.counts), Arc::clone(&clients.sent_at));
        let ended = Arc::clone(&clients.ended);
        std::thread::spawn(move || {
            let mut run = Run { socket, ip, entry, flows: HashMap::new(), counts, sent_at };
            run.send_all(per_s, &ended);
        });
        Ok(clients)
    }

    /// How the requests ended so far.
    pub fn counts(&self) -> Counts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When a client sent the first opening packet of a flow.
    pub fn sent_at(&self, client: (Ipv4Addr, u16)) -> Option<Instant> {
        self.sent_at.lock().unwrap_or_else(PoisonError::into_inner).get(&client).copied()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

struct Run {
    socket: UdpSocket,
    ip: Ipv4Addr,
    entry: SocketAddr,
    flows: HashMap<u16, ClientFlow>,
    counts: Arc<Mutex<Counts>>,
    sent_at: Arc<Mutex<HashMap<(Ipv4Addr, u16), Instant>>>,
}

impl Run {
    fn send_all(&mut self, per_s: f64, ended: &AtomicBool) {
        let interval = Duration::from_secs_f64(1.0 / per_s);
        let (mut next, mut port) = (Instant::now(), 10_000_u16);
        let mut buf = [0; 2_048];
        while !ended.load(Ordering::Relaxed) {
            let now = Instant::now();
            while next <= now {
                next += interval;
                port = if port >= 60_000 { 10_000 } else { port + 1 };
                self.open(port, now);
            }
            self.check_times(now);
            if let Ok(len) = self.socket.recv(&mut buf) {
                self.receive(&buf[..len]);
            }
        }
    }

    fn open(&mut self, port: u16, now: Instant) {
        let seq = u32::from(port).wrapping_mul(2_246_822_519);
        let flow = ClientFlow { opened: now, copies: 0, seq, echo: 0, is_open: false };
        self.sent_at.lock().unwrap_or_else(PoisonError::into_inner).insert((self.ip, port), now);
        self.count(|counts| counts.sent += 1);
        self.send(port, &flow, 0, SYN, b"");
        self.flows.insert(port, flow);
    }

    /// Sends copies of opening packets, and gives up what has taken too long.
    fn check_times(&mut self, now: Instant) {
        let ports: Vec<u16> = self.flows.keys().copied().collect();
        for port in ports {
            let Some(mut flow) = self.flows.remove(&port) else { continue };
            let age = now.saturating_duration_since(flow.opened);
            if age >= if flow.is_open { DEADLINE } else { ATTEMPT } {
                self.count(|counts| counts.given_up += 1);
                continue;
            }
            let next = COPIES.get(flow.copies as usize).filter(|_| !flow.is_open);
            if next.is_some_and(|next| age >= *next) {
                flow.copies += 1;
                self.send(port, &flow, flow.copies, SYN, b"");
            }
            self.flows.insert(port, flow);
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some((header, data)) = decode(bytes) else { return };
        let port = header.destination.1;
        let Some(mut flow) = self.flows.remove(&port) else { return };
        if header.flags & RST != 0 {
            return self.count(|counts| counts.reset += 1);
        }
        flow.echo = header.echo;
        if header.flags & SYN != 0 && !flow.is_open {
            flow.is_open = true;
            let request = format!(
                "POST / HTTP/1.1\r\nAttempt-Id: {}-{port}\r\nContent-Length: 0\r\n\r\n",
                self.ip
            );
            self.send(port, &flow, header.seq, ACK, request.as_bytes());
        } else if !data.is_empty() {
            self.send(port, &flow, header.seq.wrapping_add(data.len() as u32), ACK | FIN, b"");
            let is_success = data.starts_with(b"HTTP/1.1 200");
            return self.count(|counts| {
                counts.answered += usize::from(is_success);
                counts.refused += usize::from(!is_success);
            });
        }
        self.flows.insert(port, flow);
    }

    fn send(&self, port: u16, flow: &ClientFlow, ack: u32, flags: u8, data: &[u8]) {
        let source = (self.ip, port);
        let (seq, echo) = (flow.seq, flow.echo);
        let header = Header { source, destination: SERVICE, seq, ack, echo, flags };
        // A datagram that is not sent is lost, as on any link.
        let _ = self.socket.send_to(&encode(&header, data), self.entry);
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
