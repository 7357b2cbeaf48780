//! A backend: takes flows from packets, answers requests, and sends heartbeats to the control daemons.

use crate::http;
use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::{random, Record};
use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1200);
const WORK: Duration = Duration::from_millis(30);

/// What stays the same over the starts of a backend.
#[derive(Clone)]
pub struct Identity {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    /// Port on which clients receive packets.
    pub client_port: u16,
}

/// A flow at a backend, between a client's address and the address that the client connects to.
struct Flow {
    echo: u32,
    /// Next number of this end, and the next one that is expected of the client.
    seq: u32,
    expected: u32,
    is_open: bool,
    /// The last answer, which is sent again if the client repeats its request.
    answer: Option<Packet>,
}

/// A running backend. It crashes when it is dropped: it forgets its flows and says nothing.
pub struct Backend {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    who: Identity,
    born: u64,
    start: u64,
    socket: UdpSocket,
    stop: Arc<AtomicBool>,
    state: Arc<Mutex<&'static str>>,
    sequence: AtomicU64,
    controls: Vec<SocketAddrV4>,
    record: Arc<Record>,
}

impl Backend {
    /// Starts a backend. `start` counts the starts under this identity, for the record.
    pub fn run(
        who: &Identity,
        start: u64,
        controls: Vec<SocketAddrV4>,
        record: &Arc<Record>,
    ) -> Self {
        let socket = UdpSocket::bind(who.address).expect("the address of the backend is free");
        socket.set_read_timeout(Some(Duration::from_millis(10))).expect("a time-out above 0");
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let stop = Arc::new(AtomicBool::new(false));
        record.line(&format!(
            "backend {:x} of {} starts ({start}), born {born}",
            who.id, who.service
        ));
        let shared = Arc::new(Shared {
            who: who.clone(),
            born,
            start,
            socket,
            stop: Arc::clone(&stop),
            state: Arc::new(Mutex::new("ready")),
            sequence: AtomicU64::new(0),
            controls,
            record: Arc::clone(record),
        });
        let (packets, beats) = (Arc::clone(&shared), shared);
        let threads = vec![
            std::thread::spawn(move || packets.serve_packets()),
            std::thread::spawn(move || beats.send_heartbeats()),
        ];
        Self { stop, threads }
    }

    /// Ends the process without a word.
    pub fn crash(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.end();
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn send_heartbeats(&self) {
        let mut next = random() as usize % self.controls.len();
        while !self.is_stopped() {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let state = *self.state.lock().expect("no panics");
            let who = &self.who;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"maxConcurrency\":2,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\
                 \"born\":{}}}",
                who.service, who.address, who.zone, self.born
            );
            let path = format!("/backends/i-{:08x}", who.id);
            let to = self.controls[next];
            let answer = http::call(to, "PUT", &path, body.as_bytes(), Duration::from_secs(1));
            if !answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                next = (next + 1) % self.controls.len();
                continue;
            }
            if sequence == 1 {
                self.record
                    .line(&format!("backend {:x} ({}) registered at {to}", who.id, self.start));
            }
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until && !self.is_stopped() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn serve_packets(&self) {
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut due: Vec<(Instant, Packet)> = Vec::new();
        let mut buf = [0; 2048];
        while !self.is_stopped() {
            let now = Instant::now();
            let (ready, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
            due = rest;
            for (_, packet) in ready {
                if let Some(flow) = flows.get_mut(&(packet.dst, packet.src)) {
                    let packet = Packet { echo: flow.echo, ..packet };
                    flow.seq = packet.seq.wrapping_add(packet.data.len() as u32);
                    flow.answer = Some(packet.clone());
                    self.send(&packet);
                }
            }
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else { continue };
            if len < 8 {
                continue;
            }
            let to = u64::from_be_bytes(buf[..8].try_into().expect("8 bytes"));
            // A packet that is meant for another backend gets no answer.
            if to != self.who.id && to != 0 {
                continue;
            }
            let Some(packet) = Packet::decode(&buf[8..len]) else { continue };
            if !packet.is_intact() {
                self.record.line(&format!("backend {:x} got a changed packet", self.who.id));
                continue;
            }
            self.take(packet, &mut flows, &mut due);
        }
    }

    fn take(
        &self,
        packet: Packet,
        flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
        due: &mut Vec<(Instant, Packet)>,
    ) {
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            let flow = flows.entry(key).or_insert_with(|| Flow {
                echo: packet.echo,
                seq: random() as u32,
                expected: packet.seq.wrapping_add(1),
                is_open: false,
                answer: None,
            });
            flow.echo = packet.echo;
            let (seq, ack, echo) = (flow.seq, flow.expected, flow.echo);
            return self.send(&reply(&packet, SYN | ACK, seq, ack, echo, Vec::new()));
        }
        let first = flows.get(&key).map(|flow| flow.seq.wrapping_add(1));
        let is_held = flows.get(&key).is_some_and(|flow| flow.is_open) || first == Some(packet.ack);
        if !is_held {
            if !packet.has(RST) {
                self.record.line(&format!(
                    "backend {:x} ({}) resets {}, a flow that it does not hold",
                    self.who.id, self.start, packet.src
                ));
                self.send(&reply(&packet, RST, packet.ack, packet.seq, packet.echo, Vec::new()));
            }
            return;
        }
        let Some(flow) = flows.get_mut(&key) else { return };
        flow.echo = packet.echo;
        if !flow.is_open {
            flow.is_open = true;
            flow.seq = flow.seq.wrapping_add(1);
            self.record.line(&format!(
                "flow {} opens at backend {:x} ({})",
                packet.src, self.who.id, self.start
            ));
        }
        if packet.has(RST) {
            flows.remove(&key);
            return;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = packet.seq.wrapping_add(packet.data.len() as u32);
                let request = String::from_utf8_lossy(&packet.data).into_owned();
                let id =
                    request.lines().find_map(|l| l.strip_prefix("Attempt-Id: ")).unwrap_or("?");
                self.record.line(&format!("backend {:x} ({}) runs {id}", self.who.id, self.start));
                let body = format!("done {id}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nBackend-Seal: {:x}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.who.id,
                    body.len()
                );
                let answer =
                    reply(&packet, ACK, flow.seq, flow.expected, flow.echo, text.into_bytes());
                due.push((Instant::now() + WORK, answer));
            } else if let Some(answer) = &flow.answer {
                // The request is a repetition.
                self.send(&Packet { echo: flow.echo, ..answer.clone() });
            }
        }
        if packet.has(FIN) {
            let (seq, ack, echo) = (flow.seq, packet.seq.wrapping_add(1), flow.echo);
            self.send(&reply(&packet, FIN | ACK, seq, ack, echo, Vec::new()));
            flows.remove(&key);
        }
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.who.client_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn reply(to: &Packet, flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>) -> Packet {
    Packet { src: to.dst, dst: to.src, flags, seq, ack, echo, data, sum: 0 }
}
