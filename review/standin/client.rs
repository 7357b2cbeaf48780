//! Clients: they open flows through an entry of their zone and send requests on them.

use crate::cluster::Cluster;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const RETRANSMISSION: Duration = Duration::from_millis(200);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How a step on a flow ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered(String),
    /// Reset by the system (a sum of 0).
    ResetBySystem,
    ResetByBackend,
    Silent,
}

/// When the opening packet of each flow was sent first, by the client's address and port.
pub type Sent = Arc<Mutex<BTreeMap<SocketAddrV4, Instant>>>;

pub struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    entry: SocketAddrV4,
    route: SocketAddrV4,
    next_port: u16,
    sent: Sent,
    record: Arc<Record>,
}

pub struct Flow {
    local: SocketAddrV4,
    seq: u32,
    ack: u32,
    echo: u32,
    pub opened: Instant,
}

impl Client {
    pub fn new(
        cluster: &Cluster,
        host: u8,
        entry: usize,
        sent: Sent,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let ip = Ipv4Addr::new(127, cluster.octet, 3, host);
        let socket = UdpSocket::bind((ip, cluster.ports.packets));
        let socket = socket.map_err(|error| format!("{ip}: {error}"))?;
        let (entry, route) = (cluster.entry(entry), cluster.route());
        let record = Arc::clone(record);
        Ok(Self { ip, socket, entry, route, next_port: 20_000, sent, record })
    }

    fn send(&self, flow: &Flow, flags: u8, ack: u32, data: &[u8]) {
        let packet = Packet {
            from: flow.local,
            to: self.route,
            seq: flow.seq,
            ack,
            echo: flow.echo,
            flags,
            data: data.to_vec(),
            sum: 0,
        };
        let _ = self.socket.send_to(&packet.encode(), self.entry);
    }

    /// Receives the next packet of a flow.
    fn receive(&self, flow: &Flow, until: Instant) -> Option<Packet> {
        let mut buf = [0; 2_048];
        loop {
            let left = until.checked_duration_since(Instant::now())?;
            self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else { continue };
            let packet = Packet::decode(&buf[..len]).filter(|packet| packet.to == flow.local);
            if packet.is_some() {
                return packet;
            }
        }
    }

    fn reset(&self, flow: &Flow, packet: &Packet) -> Outcome {
        let by_system = packet.sum == 0;
        self.record.line(&format!(
            "{} gets a reset {}",
            flow.local,
            if by_system { "of the system" } else { "of a backend" }
        ));
        if by_system { Outcome::ResetBySystem } else { Outcome::ResetByBackend }
    }

    /// Opens a flow from a new port.
    pub fn open(&mut self) -> Result<Flow, Outcome> {
        self.next_port += 1;
        let local = SocketAddrV4::new(self.ip, self.next_port);
        let seq = u32::from(self.next_port) << 14;
        let start = Instant::now();
        let mut flow = Flow { local, seq, ack: 0, echo: 0, opened: start };
        self.sent.lock().unwrap().insert(local, start);
        self.record.line(&format!("{local} opens a flow through {}", self.entry));
        for (copy, end) in COPIES.into_iter().chain([OPEN_TIMEOUT]).enumerate() {
            self.send(&flow, SYN, copy as u32, &[]);
            while let Some(packet) = self.receive(&flow, start + end) {
                if packet.flags & RST != 0 {
                    return Err(self.reset(&flow, &packet));
                }
                if packet.flags & SYN != 0 && packet.flags & ACK != 0 {
                    flow.ack = packet.seq;
                    flow.echo = packet.echo;
                    flow.opened = Instant::now();
                    self.send(&flow, ACK, flow.ack, &[]);
                    return Ok(flow);
                }
            }
        }
        self.record.line(&format!("{local} is not opened"));
        Err(Outcome::Silent)
    }

    /// Sends a request on a flow and waits for its whole response.
    pub fn request(&mut self, flow: &mut Flow, text: &str) -> Outcome {
        self.record.line(&format!("{} sends {text}", flow.local));
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut interval = RETRANSMISSION;
        while Instant::now() < deadline {
            self.send(flow, ACK, flow.ack, text.as_bytes());
            let until = (Instant::now() + interval).min(deadline);
            interval = (interval * 2).min(Duration::from_millis(1_600));
            while let Some(packet) = self.receive(flow, until) {
                if packet.flags & RST != 0 {
                    return self.reset(flow, &packet);
                }
                if packet.data.is_empty() || packet.seq != flow.ack {
                    continue;
                }
                flow.echo = packet.echo;
                flow.seq = flow.seq.wrapping_add(text.len() as u32);
                flow.ack = packet.seq.wrapping_add(packet.data.len() as u32);
                let answer = String::from_utf8_lossy(&packet.data).into_owned();
                self.record.line(&format!("{} gets the answer {answer}", flow.local));
                self.send(flow, ACK, flow.ack, &[]);
                return Outcome::Answered(answer);
            }
        }
        self.record.line(&format!("{} gets no answer to {text}", flow.local));
        Outcome::Silent
    }

    pub fn close(&mut self, flow: &Flow) {
        self.send(flow, FIN | ACK, flow.ack, &[]);
        let _ = self.receive(flow, Instant::now() + Duration::from_millis(100));
    }
}

/// Clients that open a flow for each request, one after another, until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<(u64, u64)>>,
}

impl Load {
    /// Starts `count` clients, spread over the entries.
    pub fn start(
        cluster: &Cluster,
        count: u8,
        pause: Duration,
        sent: &Sent,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..count {
            let entry = usize::from(number) % cluster.entry_zones.len();
            let mut client = Client::new(cluster, 10 + number, entry, Arc::clone(sent), record)?;
            let stop = Arc::clone(&stop);
            threads.push(std::thread::spawn(move || {
                let (mut asked, mut answered) = (0, 0);
                while !stop.load(Ordering::Relaxed) {
                    asked += 1;
                    if let Ok(mut flow) = client.open() {
                        let text = format!("request-{number}-{asked}");
                        let outcome = client.request(&mut flow, &text);
                        answered += u64::from(matches!(outcome, Outcome::Answered(_)));
                        client.close(&flow);
                    }
                    std::thread::sleep(pause);
                }
                (asked, answered)
            }));
        }
        Ok(Self { stop, threads })
    }

    /// Stops the clients. Returns how many requests were sent and answered.
    pub fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let counts = self.threads.into_iter().filter_map(|thread| thread.join().ok());
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }
}
