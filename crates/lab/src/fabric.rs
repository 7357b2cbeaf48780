//! Packet fabric: carries IP packets in UDP datagrams. Packets from endpoints go to a random entry, and
//! packets from entries go to the endpoint that registered the destination address.

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

/// Size of the receive buffer of the fabric's socket, which carries all packets of a deployment. When the
/// buffer is full, the kernel drops packets.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// Settings of a fabric.
#[derive(Clone, Debug, Builder)]
pub struct FabricSettings {
    /// UDP address for packets; port 0 selects a free port.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub packets: SocketAddr,
    /// HTTP address of the control endpoint; port 0 selects a free port.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub control: SocketAddr,
    /// Packet addresses of the initial entries.
    #[builder(default)]
    pub entries: Vec<SocketAddr>,
    /// Seed for the choice of entries, jitter and loss.
    #[builder(default)]
    pub seed: u64,
    /// Initial delay, jitter and loss.
    #[builder(default)]
    pub path: PathSettings,
}

/// Delay, jitter and loss of packets. Body of `PUT /fabric/path`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PathSettings {
    /// Delay of each packet, in microseconds.
    pub delay_us: u64,
    /// Maximum random extra delay, in microseconds; it reorders packets.
    pub jitter_us: u64,
    /// Share of packets that are dropped, in percent.
    pub loss_percent: u8,
}

/// State of a fabric, as `GET /fabric` returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricReport {
    /// Packet addresses of the entries, among which packets are distributed at random.
    pub entries: Vec<SocketAddr>,
    /// Number of registered addresses.
    pub endpoints: usize,
    /// Packets forwarded to each entry.
    pub to_entry: BTreeMap<SocketAddr, u64>,
    /// Packets forwarded to endpoints.
    pub to_endpoints: u64,
    /// Packets from entries that were dropped: their destination is not registered or they can't be parsed.
    pub unregistered: u64,
    /// Packets that were dropped because there was no entry.
    pub no_entry: u64,
    /// Packets that were dropped by `loss_percent`.
    pub lost: u64,
    /// Current delay, jitter and loss.
    pub path: PathSettings,
}

/// Body of `POST /fabric/entries` and `DELETE /fabric/entries`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryChange {
    /// Packet addresses of the entries to add or remove.
    pub entries: Vec<SocketAddr>,
}

struct State {
    rng: StdRng,
    endpoints: BTreeMap<SocketAddrV4, SocketAddr>,
    report: FabricReport,
}

struct Shared {
    socket: UdpSocket,
    state: Mutex<State>,
}

enum DatagramAction {
    /// Acknowledges a registration with `ok`.
    ConfirmRegistration,
    /// Sends the datagram to the address after the delay.
    Forward(SocketAddr, Duration),
    Drop,
}

/// A running fabric. Dropping it stops it.
pub struct Fabric {
    shared: Arc<Shared>,
    packets: SocketAddr,
    control: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Fabric {
    /// Binds both addresses and starts to forward packets.
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
        let state = Mutex::new(State { rng, endpoints: BTreeMap::new(), report });
        let shared = Arc::new(Shared { socket, state });
        let mut tasks = JoinSet::new();
        tasks.spawn(forward_datagrams(Arc::clone(&shared)));
        tasks.spawn(serve_control(Arc::clone(&shared), listener));
        Ok(Self { shared, packets, control, _tasks: tasks })
    }

    /// Returns the UDP address for packets.
    #[must_use]
    pub fn packets(&self) -> SocketAddr {
        self.packets
    }

    /// Returns the HTTP address of the control endpoint.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Adds an entry by its packet address. An entry that is already known is not added again.
    pub fn add_entry(&self, entry: SocketAddr) {
        lock(&self.shared.state).add_entry(entry);
    }

    /// Removes an entry. Packets from it are then handled as packets from an endpoint.
    pub fn remove_entry(&self, entry: SocketAddr) {
        lock(&self.shared.state).remove_entry(entry);
    }

    /// Replaces delay, jitter and loss.
    pub fn set_path(&self, path: PathSettings) {
        lock(&self.shared.state).report.path = path;
    }

    /// Returns the current state and counters.
    #[must_use]
    pub fn report(&self) -> FabricReport {
        lock(&self.shared.state).report()
    }
}

/// Binds a UDP socket with a large receive buffer, so that the kernel drops no packets in bursts.
///
/// # Errors
/// The address can't be bound.
pub fn bind_with_buffer(address: SocketAddr) -> Result<UdpSocket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    // The kernel may set a smaller buffer than requested.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(UdpSocket::from_std(socket.into())?)
}

async fn forward_datagrams(shared: Arc<Shared>) {
    let mut buffer = vec![0; 65_536];
    loop {
        // An error means that an earlier datagram went to a closed port.
        let Ok((length, from)) = shared.socket.recv_from(&mut buffer).await else { continue };
        let bytes = &buffer[..length];
        let action = lock(&shared.state).route_datagram(from, bytes);
        match action {
            DatagramAction::ConfirmRegistration => drop(shared.socket.send_to(b"ok", from).await),
            DatagramAction::Forward(to, Duration::ZERO) => {
                drop(shared.socket.send_to(bytes, to).await)
            }
            DatagramAction::Forward(to, delay) => {
                let (shared, bytes) = (Arc::clone(&shared), bytes.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = shared.socket.send_to(&bytes, to).await;
                });
            }
            DatagramAction::Drop => {}
        }
    }
}

impl State {
    fn route_datagram(&mut self, from: SocketAddr, bytes: &[u8]) -> DatagramAction {
        if let Some(address) = parse_registration(bytes) {
            self.endpoints.insert(address, from);
            return DatagramAction::ConfirmRegistration;
        }
        let path = self.report.path;
        if path.loss_percent > 0 && self.rng.random_range(0..100) < path.loss_percent {
            self.report.lost += 1;
            return DatagramAction::Drop;
        }
        let receiver = match self.report.entries.contains(&from) {
            true => self.registered_endpoint(bytes),
            false => self.choose_entry(),
        };
        let Some(receiver) = receiver else { return DatagramAction::Drop };
        let jitter = self.rng.random_range(0..=path.jitter_us);
        DatagramAction::Forward(receiver, Duration::from_micros(path.delay_us + jitter))
    }

    fn registered_endpoint(&mut self, bytes: &[u8]) -> Option<SocketAddr> {
        let address = packet::parse(bytes).map(|packet| packet.destination);
        let endpoint = address.and_then(|address| self.endpoints.get(&address)).copied();
        match endpoint {
            Some(_) => self.report.to_endpoints += 1,
            None => self.report.unregistered += 1,
        }
        endpoint
    }

    fn choose_entry(&mut self) -> Option<SocketAddr> {
        if self.report.entries.is_empty() {
            self.report.no_entry += 1;
            return None;
        }
        let index = self.rng.random_range(0..self.report.entries.len());
        let entry = self.report.entries[index];
        *self.report.to_entry.entry(entry).or_default() += 1;
        Some(entry)
    }

    fn add_entry(&mut self, entry: SocketAddr) {
        if !self.report.entries.contains(&entry) {
            self.report.entries.push(entry);
        }
    }

    fn remove_entry(&mut self, entry: SocketAddr) {
        self.report.entries.retain(|known| *known != entry);
    }

    fn report(&self) -> FabricReport {
        FabricReport { endpoints: self.endpoints.len(), ..self.report.clone() }
    }
}

/// Parses a datagram `register IP:PORT`. An IP packet can't be mistaken for one: its first four bits hold the
/// IP version, 4 or 6, while `r` is 0x72.
fn parse_registration(bytes: &[u8]) -> Option<SocketAddrV4> {
    let address = bytes.strip_prefix(b"register ")?;
    std::str::from_utf8(address).ok()?.trim().parse().ok()
}

async fn serve_control(shared: Arc<Shared>, listener: TcpListener) {
    http::serve(listener, move |request| {
        let shared = Arc::clone(&shared);
        async move {
            let reply = handle_control(&shared, request).await;
            reply.unwrap_or_else(|e| text(StatusCode::BAD_REQUEST, e.to_string()))
        }
    })
    .await;
}

async fn handle_control(shared: &Shared, request: Request<Incoming>) -> Result<Reply> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/fabric") => {}
        (Method::POST, "/fabric/entries") => {
            let change: EntryChange = http::read_json(request).await?;
            let mut state = lock(&shared.state);
            change.entries.into_iter().for_each(|entry| state.add_entry(entry));
        }
        (Method::DELETE, "/fabric/entries") => {
            let change: EntryChange = http::read_json(request).await?;
            let mut state = lock(&shared.state);
            change.entries.into_iter().for_each(|entry| state.remove_entry(entry));
        }
        (Method::PUT, "/fabric/path") => {
            let path: PathSettings = http::read_json(request).await?;
            lock(&shared.state).report.path = path;
        }
        _ => return Ok(text(StatusCode::NOT_FOUND, "no such control endpoint")),
    }
    Ok(json(&lock(&shared.state).report()))
}
