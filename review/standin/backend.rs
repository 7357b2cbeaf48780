//! A backend: announces itself, takes flows, runs requests.

use crate::cluster::{Cluster, HEARTBEAT};
use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time that a backend takes to run a request.
const WORK: Duration = Duration::from_millis(5);

/// An opening packet that a backend has taken.
#[derive(Clone, Debug)]
pub struct Opening {
    pub client: SocketAddrV4,
    pub at: Instant,
}

pub struct Backend {
    pub name: String,
    pub id: u64,
    pub address: SocketAddrV4,
    pub born: u64,
    zone: &'static str,
    controls: Vec<SocketAddr>,
    /// Daemon that gets the heartbeats, until one fails there.
    daemon: Mutex<usize>,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_silent: AtomicBool,
    has_ended: AtomicBool,
    openings: Mutex<Vec<Opening>>,
    /// Acknowledgements of `draining`.
    drain_acks: Mutex<Vec<Instant>>,
    packet_port: u16,
    record: Arc<Record>,
}

impl Backend {
    /// Starts a backend whose heartbeats go to `daemon` first.
    pub fn start(
        cluster: &Cluster,
        id: u64,
        host: u8,
        zone: &'static str,
        daemon: usize,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>, String> {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, cluster.octet, 2, host), 8_080);
        let socket = UdpSocket::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let read_timeout = socket.set_read_timeout(Some(Duration::from_millis(50)));
        read_timeout.map_err(|error| error.to_string())?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
        let backend = Arc::new(Self {
            name: format!("i-{id:x}"),
            id,
            address,
            born: born.as_millis() as u64,
            zone,
            controls: cluster.controls(),
            daemon: Mutex::new(daemon),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            openings: Mutex::default(),
            drain_acks: Mutex::default(),
            packet_port: cluster.ports.packets,
            record: Arc::clone(record),
        });
        record.line(&format!("{} in {zone} starts, born {}", backend.name, backend.born));
        let (serving, announcing) = (Arc::clone(&backend), Arc::clone(&backend));
        std::thread::spawn(move || serving.serve(&socket));
        std::thread::spawn(move || announcing.announce());
        Ok(backend)
    }

    pub fn openings(&self) -> Vec<Opening> {
        self.openings.lock().unwrap().clone()
    }

    pub fn drain_acks(&self) -> Vec<Instant> {
        self.drain_acks.lock().unwrap().clone()
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Reports `draining` from now on, at once and with each heartbeat.
    pub fn drain(&self) {
        self.record.say(&format!("{} drains", self.name));
        self.is_draining.store(true, Ordering::Relaxed);
        self.beat();
    }

    /// Sends no more heartbeats, and says that it is gone, to one daemon after another until one acknowledges.
    pub fn leave(&self, daemons: &[usize]) -> bool {
        self.is_silent.store(true, Ordering::Relaxed);
        daemons.iter().any(|index| {
            let path = format!("/backends/{}", self.name);
            self.record.line(&format!("{}: DELETE sent to core-{index}", self.name));
            let response = http::call(self.controls[*index], "DELETE", &path, "");
            let status = response.as_ref().map(|(status, _)| *status);
            self.record.say(&format!("{}: DELETE at core-{index}: {status:?}", self.name));
            http::is_success(&response)
        })
    }

    /// Ends the backend. Its address is free when this returns.
    pub fn end(&self) {
        self.record.say(&format!("{} born {} ends", self.name, self.born));
        self.has_ended.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(150));
    }

    fn announce(&self) {
        while !self.has_ended() {
            let start = Instant::now();
            if !self.is_silent.load(Ordering::Relaxed) {
                self.beat();
            }
            while start.elapsed() < HEARTBEAT && !self.has_ended() {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Sends one heartbeat: to another daemon only after a failure.
    fn beat(&self) {
        let mut daemon = self.daemon.lock().unwrap();
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"pedidos\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"maxConcurrency\":2,\"state\":\"{}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address,
            self.zone,
            if is_draining { "draining" } else { "ready" },
            self.born
        );
        for _ in 0..self.controls.len() {
            let path = format!("/backends/{}", self.name);
            let response = http::call(self.controls[*daemon], "PUT", &path, &body);
            if http::is_success(&response) {
                if is_draining {
                    self.drain_acks.lock().unwrap().push(Instant::now());
                    self.record
                        .line(&format!("{}: draining acknowledged by core-{daemon}", self.name));
                }
                return;
            }
            if self.has_ended() || self.is_silent.load(Ordering::Relaxed) {
                return;
            }
            *daemon = (*daemon + 1) % self.controls.len();
        }
    }

    fn serve(&self, socket: &UdpSocket) {
        let mut flows: BTreeMap<(SocketAddrV4, SocketAddrV4), Flow> = BTreeMap::new();
        let mut buf = [0; 2_048];
        while !self.has_ended() {
            let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
            let Some((prefix, datagram)) = buf[..len].split_at_checked(8) else { continue };
            let to = u64::from_be_bytes(prefix.try_into().unwrap());
            let Some(packet) = Packet::decode(datagram) else { continue };
            if to != 0 && to != self.id {
                continue;
            }
            for answer in self.handle(&packet, &mut flows) {
                let client = SocketAddrV4::new(*answer.to.ip(), self.packet_port);
                let _ = socket.send_to(&answer.encode(), client);
            }
        }
    }

    fn handle(
        &self,
        packet: &Packet,
        flows: &mut BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>,
    ) -> Vec<Packet> {
        let key = (packet.from, packet.to);
        let answer = |seq: u32, flags, data: Vec<u8>| Packet {
            from: packet.to,
            to: packet.from,
            seq,
            ack: packet.seq.wrapping_add(packet.data.len() as u32),
            echo: packet.echo,
            flags,
            data,
            sum: 0,
        };
        if packet.flags & SYN != 0 {
            let is_new = !flows.contains_key(&key);
            let seq = (self.born as u32).wrapping_mul(31) ^ (self.id as u32) << 12;
            let flow = flows.entry(key).or_insert_with(|| Flow::new(seq));
            if is_new {
                self.openings
                    .lock()
                    .unwrap()
                    .push(Opening { client: packet.from, at: Instant::now() });
                self.record.line(&format!("{} takes the flow of {}", self.name, packet.from));
            }
            return vec![answer(flow.first_seq, SYN | ACK, Vec::new())];
        }
        let Some(flow) = flows.get_mut(&key) else {
            if packet.flags & RST != 0 {
                return Vec::new();
            }
            if packet.flags & FIN != 0 {
                return vec![answer(packet.ack, ACK, Vec::new())];
            }
            self.record.line(&format!("{} resets {}, unknown here", self.name, packet.from));
            return vec![answer(packet.ack, RST, Vec::new())];
        };
        if packet.flags & RST != 0 {
            flows.remove(&key);
            return Vec::new();
        }
        if packet.flags & FIN != 0 {
            let seq = flow.next_seq;
            flows.remove(&key);
            return vec![answer(seq, ACK, Vec::new())];
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        if flow.last_request != Some(packet.seq) {
            std::thread::sleep(WORK);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            self.record.line(&format!("{} born {} runs {request}", self.name, self.born));
            let body = format!("{} from {}", request, self.name).into_bytes();
            let response = answer(flow.next_seq, ACK, body.clone());
            flow.next_seq = flow.next_seq.wrapping_add(body.len() as u32);
            flow.last_request = Some(packet.seq);
            flow.response = Some(response);
        }
        flow.response.clone().into_iter().collect()
    }
}

struct Flow {
    first_seq: u32,
    next_seq: u32,
    /// Sequence number of the last request, which is not run again when it is sent again.
    last_request: Option<u32>,
    response: Option<Packet>,
}

impl Flow {
    fn new(seq: u32) -> Self {
        Self { first_seq: seq, next_seq: seq, last_request: None, response: None }
    }
}
