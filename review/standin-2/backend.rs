//! A backend: announces itself, opens flows, and runs one request on each.

use crate::http;
use crate::packet::{ACK, FIN, Header, RST, SYN, decode, encode};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SLOTS: usize = 2;
const QUEUE: usize = 8;
const WORK: Duration = Duration::from_millis(15);

/// Pauses between attempts of a heartbeat: the next daemon is called, with increasing backoff.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Port on which backends receive packets.
const PORT: u16 = 8080;

/// What a backend says of itself.
#[derive(Clone)]
pub struct Identity {
    pub id: u32,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Time for which it is cold after its start.
    pub cold: Duration,
}

/// An opening packet that a backend took.
#[derive(Clone, Copy)]
pub struct Opening {
    pub at: Instant,
    pub client: (Ipv4Addr, u16),
}

#[derive(Default)]
struct Shared {
    openings: Vec<Opening>,
    beats: usize,
    served: usize,
    shed: usize,
}

/// A running backend.
pub struct Backend {
    pub identity: Identity,
    pub started: Instant,
    shared: Arc<Mutex<Shared>>,
    draining: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
}

impl Backend {
    /// Starts a backend that announces itself to `controls` at each interval.
    pub fn start(
        identity: Identity,
        controls: Vec<SocketAddr>,
        interval: Duration,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((identity.ip, PORT))?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let backend = Self {
            identity: identity.clone(),
            started: Instant::now(),
            shared: Arc::default(),
            draining: Arc::default(),
            ended: Arc::default(),
        };
        let (shared, ended) = (Arc::clone(&backend.shared), Arc::clone(&backend.ended));
        std::thread::spawn(move || serve(&socket, identity.id, &shared, &ended));
        let (shared, ended) = (Arc::clone(&backend.shared), Arc::clone(&backend.ended));
        let (identity, draining) = (backend.identity.clone(), Arc::clone(&backend.draining));
        let started = backend.started;
        std::thread::spawn(move || {
            let beats = Beats { identity, started, controls, shared, draining, ended };
            beats.run(interval);
        });
        Ok(backend)
    }

    /// Says from now on that it is leaving.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Openings that it took so far.
    pub fn openings(&self) -> Vec<Opening> {
        lock(&self.shared).openings.clone()
    }

    /// Number of acknowledged heartbeats.
    pub fn beats(&self) -> usize {
        lock(&self.shared).beats
    }

    /// Requests that it has run, and those that it did not take because its queue was full.
    pub fn counts(&self) -> (usize, usize) {
        let shared = lock(&self.shared);
        (shared.served, shared.shed)
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The heartbeats of a backend.
struct Beats {
    identity: Identity,
    started: Instant,
    controls: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    draining: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
}

impl Beats {
    fn run(&self, interval: Duration) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born = since_epoch.as_millis();
        let mut next = Instant::now();
        let mut daemon = self.identity.id as usize;
        let mut was_draining = false;
        for sequence in 1_u64.. {
            while Instant::now() < next && was_draining == self.draining.load(Ordering::Relaxed) {
                if self.ended.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            next = next.max(Instant::now()) + interval;
            was_draining = self.draining.load(Ordering::Relaxed);
            self.send(born, sequence, &mut daemon, next);
        }
    }

    /// Sends one heartbeat, to one daemon after the other, until it is acknowledged or the next one is due.
    fn send(&self, born: u128, sequence: u64, daemon: &mut usize, until: Instant) {
        let path = format!("/backends/i-{:08x}", self.identity.id);
        let mut pause = FIRST_PAUSE;
        while Instant::now() < until && !self.ended.load(Ordering::Relaxed) {
            let to = self.controls[*daemon % self.controls.len()];
            let body = self.body(born, sequence);
            match http::call(to, "PUT", &path, body.as_bytes(), Duration::from_secs(1)) {
                Ok(response) if response.status == 200 => {
                    lock(&self.shared).beats += 1;
                    return;
                }
                _ => {
                    *daemon += 1;
                    std::thread::sleep(pause);
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    fn body(&self, born: u128, sequence: u64) -> String {
        let Identity { ip, zone, cold, .. } = &self.identity;
        let left = cold.saturating_sub(self.started.elapsed()).as_millis();
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"huvo11a\",\"address\":\"{ip}:{PORT}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"maxConcurrency\":{SLOTS},\"state\":\"{state}\",\"warmupLeftMs\":{left},\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }
}

struct ServerFlow {
    seq: u32,
    is_open: bool,
    has_request: bool,
}

/// A request that waits for its slot or runs.
struct Work {
    done: Option<Instant>,
    reply: Header,
    to: (Ipv4Addr, u16),
}

fn serve(socket: &UdpSocket, id: u32, shared: &Mutex<Shared>, ended: &AtomicBool) {
    let mut flows: HashMap<((Ipv4Addr, u16), (Ipv4Addr, u16)), ServerFlow> = HashMap::new();
    let mut work: Vec<Work> = Vec::new();
    let mut next_seq: u32 = id.wrapping_mul(2_654_435_761);
    let mut buf = [0; 2_048];
    while !ended.load(Ordering::Relaxed) {
        let now = Instant::now();
        for (running, item) in work.iter_mut().enumerate() {
            if running < SLOTS && item.done.is_none() {
                item.done = Some(now + WORK);
            }
        }
        work.retain(|item| {
            let is_done = item.done.is_some_and(|done| done <= now);
            if is_done {
                send(
                    socket,
                    &item.reply,
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    item.to,
                );
                lock(shared).served += 1;
            }
            !is_done
        });
        let Ok(len) = socket.recv(&mut buf) else { continue };
        let Some(packet) = buf.get(8..len) else { continue };
        let intended =
            u64::from_be_bytes([buf[0], buf[1], buf[2], buf[3], buf[4], buf[5], buf[6], buf[7]]);
        let Some((header, data)) = decode(packet) else { continue };
        if intended != 0 && intended != u64::from(id) {
            continue;
        }
        // Clients receive all packets on the port of the entries' data address.
        let to = (header.source.0, crate::cluster::PACKET_PORT);
        let key = (header.source, header.destination);
        let reply = |seq, flags| Header {
            source: header.destination,
            destination: header.source,
            seq,
            ack: header.seq.wrapping_add(data.len() as u32),
            echo: header.echo,
            flags,
        };
        if header.flags & SYN != 0 {
            let flow = flows.entry(key).or_insert_with(|| {
                next_seq = next_seq.wrapping_add(1_000_003);
                lock(shared).openings.push(Opening { at: Instant::now(), client: header.source });
                ServerFlow { seq: next_seq, is_open: false, has_request: false }
            });
            send(socket, &reply(flow.seq, SYN | ACK), b"", to);
            continue;
        }
        let Some(flow) = flows.get_mut(&key).filter(|flow| flow.is_open || header.ack == flow.seq)
        else {
            if header.flags & RST == 0 {
                send(socket, &reply(header.ack, RST), b"", to);
            }
            continue;
        };
        flow.is_open = true;
        if header.flags & RST != 0 {
            flows.remove(&key);
        } else if header.flags & FIN != 0 {
            send(socket, &reply(flow.seq, ACK), b"", to);
        } else if !data.is_empty() && !flow.has_request {
            flow.has_request = true;
            if work.len() < SLOTS + QUEUE {
                work.push(Work { done: None, reply: reply(flow.seq, ACK), to });
            } else {
                lock(shared).shed += 1;
                let refusal = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                send(socket, &reply(flow.seq, ACK), refusal, to);
            }
        }
    }
}

fn send(socket: &UdpSocket, header: &Header, data: &[u8], to: (Ipv4Addr, u16)) {
    // A datagram that is not sent is lost, as on any link.
    let _ = socket.send_to(&encode(header, data), to);
}
