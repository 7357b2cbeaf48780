//! Packet fabric: delivers IP packets, carried in UDP datagrams, to random entries and from entries
//! to the endpoint that registered the destination.

use crate::http::{self, Reply, json, text};
use crate::{lock, packet};
use anyhow::Result;
use bon::Builder;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

/// Receive buffer of the fabric's socket, which carries all packets of a deployment.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// Settings of a fabric.
#[derive(Clone, Debug, Builder)]
pub struct FabricSettings {
    /// Address for packets; port 0 takes a free one.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub packets: SocketAddr,
    /// Address of the control endpoint; port 0 takes a free one.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub control: SocketAddr,
    /// Packet addresses of the entries.
    #[builder(default)]
    pub entries: Vec<SocketAddr>,
    /// Seed of spraying, jitter and loss.
    #[builder(default)]
    pub seed: u64,
    /// Treatment of each packet.
    #[builder(default)]
    pub path: PathSettings,
}

/// How packets are treated on their way. Body of `PUT /fabric/path`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PathSettings {
    /// Delay of each packet, in microseconds.
    pub delay_us: u64,
    /// Random extra delay of up to this much, in microseconds; reorders packets.
    pub jitter_us: u64,
    /// Share of packets that are lost, in percent.
    pub loss_percent: u8,
}

/// State of a fabric, as `GET /fabric` gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricReport {
    /// Entries that packets are sprayed over.
    pub entries: Vec<SocketAddr>,
    /// Endpoints that registered an address.
    pub endpoints: usize,
    /// Packets passed to each entry.
    pub to_entry: BTreeMap<SocketAddr, u64>,
    /// Packets passed to endpoints.
    pub to_endpoints: u64,
    /// Packets for a destination that nobody registered.
    pub unregistered: u64,
    /// Packets without an entry to pass them to.
    pub no_entry: u64,
    /// Packets lost on purpose.
    pub lost: u64,
    /// Treatment of each packet.
    pub path: PathSettings,
}

/// Body of `POST /fabric/entries` and `DELETE /fabric/entries`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryChange {
    /// Packet addresses of the entries to add or remove.
    pub entries: Vec<SocketAddr>,
}

struct Core {
    rng: StdRng,
    endpoints: BTreeMap<SocketAddrV4, SocketAddr>,
    report: FabricReport,
}

struct Shared {
    socket: UdpSocket,
    core: Mutex<Core>,
}

/// What to do with a datagram.
enum Step {
    Reply,
    Pass(SocketAddr, Duration),
    Drop,
}

/// A running fabric. Dropping it ends it.
pub struct Fabric {
    shared: Arc<Shared>,
    packets: SocketAddr,
    control: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Fabric {
    /// Binds both addresses and starts to deliver.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(settings: FabricSettings) -> Result<Self> {
        let socket = bind_with_buffer(settings.packets)?;
        let listener = TcpListener::bind(settings.control).await?;
        let (packets, control) = (socket.local_addr()?, listener.local_addr()?);
        let report = FabricReport {
            entries: settings.entries,
            path: settings.path,
            ..FabricReport::default()
        };
        let rng = StdRng::seed_from_u64(settings.seed);
        let core = Mutex::new(Core { rng, endpoints: BTreeMap::new(), report });
        let shared = Arc::new(Shared { socket, core });
        let mut tasks = JoinSet::new();
        tasks.spawn(deliver(Arc::clone(&shared)));
        tasks.spawn(serve_control(Arc::clone(&shared), listener));
        Ok(Self { shared, packets, control, _tasks: tasks })
    }

    /// Address for packets.
    #[must_use]
    pub fn packets(&self) -> SocketAddr {
        self.packets
    }

    /// Address of the control endpoint.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Adds an entry.
    pub fn add_entry(&self, entry: SocketAddr) {
        lock(&self.shared.core).add(entry);
    }

    /// Removes an entry; packets from it are then treated as from an endpoint.
    pub fn remove_entry(&self, entry: SocketAddr) {
        lock(&self.shared.core).remove(entry);
    }

    /// Changes the treatment of packets.
    pub fn set_path(&self, path: PathSettings) {
        lock(&self.shared.core).report.path = path;
    }

    /// Current state and counters.
    #[must_use]
    pub fn report(&self) -> FabricReport {
        lock(&self.shared.core).report()
    }
}

/// Binds a UDP socket with a large receive buffer, so that bursts are not lost at the stand-ins.
///
/// # Errors
/// The address can't be bound.
pub fn bind_with_buffer(address: SocketAddr) -> Result<UdpSocket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    // The system may grant less than asked for.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(UdpSocket::from_std(socket.into())?)
}

async fn deliver(shared: Arc<Shared>) {
    let mut buffer = vec![0; 65_536];
    loop {
        // An error here reports a closed port of an earlier receiver.
        let Ok((length, from)) = shared.socket.recv_from(&mut buffer).await else { continue };
        let bytes = &buffer[..length];
        let step = lock(&shared.core).step(from, bytes);
        match step {
            Step::Reply => drop(shared.socket.send_to(b"ok", from).await),
            Step::Pass(to, Duration::ZERO) => drop(shared.socket.send_to(bytes, to).await),
            Step::Pass(to, delay) => {
                let (shared, bytes) = (Arc::clone(&shared), bytes.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = shared.socket.send_to(&bytes, to).await;
                });
            }
            Step::Drop => {}
        }
    }
}

impl Core {
    fn step(&mut self, from: SocketAddr, bytes: &[u8]) -> Step {
        if let Some(address) = registration(bytes) {
            self.endpoints.insert(address, from);
            return Step::Reply;
        }
        let path = self.report.path;
        if path.loss_percent > 0 && self.rng.random_range(0..100) < path.loss_percent {
            self.report.lost += 1;
            return Step::Drop;
        }
        let next = match self.report.entries.contains(&from) {
            true => self.endpoint(bytes),
            false => self.entry(),
        };
        let Some(next) = next else { return Step::Drop };
        let jitter = self.rng.random_range(0..=path.jitter_us);
        Step::Pass(next, Duration::from_micros(path.delay_us + jitter))
    }

    fn endpoint(&mut self, bytes: &[u8]) -> Option<SocketAddr> {
        let address = packet::parse(bytes).map(|packet| packet.destination);
        let endpoint = address.and_then(|address| self.endpoints.get(&address)).copied();
        match endpoint {
            Some(_) => self.report.to_endpoints += 1,
            None => self.report.unregistered += 1,
        }
        endpoint
    }

    fn entry(&mut self) -> Option<SocketAddr> {
        if self.report.entries.is_empty() {
            self.report.no_entry += 1;
            return None;
        }
        let index = self.rng.random_range(0..self.report.entries.len());
        let entry = self.report.entries[index];
        *self.report.to_entry.entry(entry).or_default() += 1;
        Some(entry)
    }

    fn add(&mut self, entry: SocketAddr) {
        if !self.report.entries.contains(&entry) {
            self.report.entries.push(entry);
        }
    }

    fn remove(&mut self, entry: SocketAddr) {
        self.report.entries.retain(|e| *e != entry);
    }

    fn report(&self) -> FabricReport {
        FabricReport { endpoints: self.endpoints.len(), ..self.report.clone() }
    }
}

/// Reads a datagram `register IP:PORT`. An IP packet starts with its version, never with a letter.
fn registration(bytes: &[u8]) -> Option<SocketAddrV4> {
    let address = bytes.strip_prefix(b"register ")?;
    std::str::from_utf8(address).ok()?.trim().parse().ok()
}

async fn serve_control(shared: Arc<Shared>, listener: TcpListener) {
    http::serve(listener, move |request| {
        let shared = Arc::clone(&shared);
        async move {
            let reply = control(&shared, request).await;
            reply.unwrap_or_else(|e| text(StatusCode::BAD_REQUEST, e.to_string()))
        }
    })
    .await;
}

async fn control(shared: &Shared, request: Request<Incoming>) -> Result<Reply> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/fabric") => {}
        (Method::POST, "/fabric/entries") => {
            let change: EntryChange = http::read_json(request).await?;
            let mut core = lock(&shared.core);
            change.entries.into_iter().for_each(|entry| core.add(entry));
        }
        (Method::DELETE, "/fabric/entries") => {
            let change: EntryChange = http::read_json(request).await?;
            let mut core = lock(&shared.core);
            change.entries.into_iter().for_each(|entry| core.remove(entry));
        }
        (Method::PUT, "/fabric/path") => {
            let path: PathSettings = http::read_json(request).await?;
            lock(&shared.core).report.path = path;
        }
        _ => return Ok(text(StatusCode::NOT_FOUND, "no such control endpoint")),
    }
    Ok(json(&lock(&shared.core).report()))
}
