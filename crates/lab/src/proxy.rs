//! Fault-injecting proxy for TCP connections and UDP datagrams: delay, loss, duplication, reordering,
//! corruption, and blocked directions or connections.

use crate::packet::Protocol;
use crate::{fabric, lock, proxy_control};
use anyhow::Result;
use bon::Builder;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Maximum number of chunks in flight in one direction of a connection. It limits the memory used under delay:
/// at this limit the proxy stops reading.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

const CHUNK_BYTES: usize = 16 * 1024;

/// Directions in which no traffic passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// No direction is blocked.
    #[default]
    None,
    /// Both directions are blocked.
    Both,
    /// Traffic from clients to the upstream is blocked.
    ToUpstream,
    /// Traffic from the upstream to clients is blocked.
    ToClient,
}

/// Change made to a corrupted chunk or datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Corruption {
    /// All bits of one random byte are inverted.
    #[default]
    Byte,
    /// All bits of the first four bytes, where framed protocols have their length, are inverted.
    Length,
    /// The last byte is removed.
    Truncate,
}

/// Faults to inject. Body of `PUT /proxy/faults`, which replaces all active faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay in each direction, in microseconds.
    pub delay_us: u64,
    /// Maximum random extra delay, in microseconds. TCP bytes stay in order.
    pub jitter_us: u64,
    /// UDP: share of datagrams dropped, in percent.
    pub loss_percent: u8,
    /// UDP: share of datagrams sent twice, in percent.
    pub duplicate_percent: u8,
    /// UDP: share of datagrams delayed by `reorder_us`, in percent.
    pub reorder_percent: u8,
    /// UDP: extra delay of a reordered datagram, in microseconds.
    pub reorder_us: u64,
    /// Blocked directions. TCP bytes wait until the direction is unblocked, UDP datagrams are dropped.
    pub cut: Cut,
    /// Share of chunks or datagrams that are corrupted, in percent.
    pub corrupt_percent: u8,
    /// Change made to corrupted chunks or datagrams.
    pub corruption: Corruption,
}

/// Settings of a [`Proxy`].
#[derive(Clone, Debug, Builder)]
pub struct ProxySettings {
    /// Protocol that is forwarded.
    pub protocol: Protocol,
    /// Address that traffic is forwarded to.
    pub upstream: SocketAddr,
    /// Address to listen on; port 0 selects a free port.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub listen: SocketAddr,
    /// Seed for the random faults.
    #[builder(default)]
    pub seed: u64,
    /// Faults that are active from the start.
    #[builder(default)]
    pub faults: Faults,
}

/// State of a proxy, as `GET /proxy` returns it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// Active faults.
    pub faults: Faults,
    /// Number of connections (TCP) or client addresses (UDP) so far. They are numbered from 1.
    pub connections: u64,
    /// Connections up to this number stay open but pass no more traffic; 0 if none is silenced.
    pub silent_up_to: u64,
    /// TCP chunks that had to wait for their direction to be unblocked, or that a silenced connection holds.
    pub held: u64,
    /// Chunks or datagrams forwarded.
    pub passed: u64,
    /// Datagrams dropped by `loss_percent`, in a blocked direction, or of a silenced client.
    pub lost: u64,
    /// Datagrams sent twice.
    pub duplicated: u64,
    /// Datagrams delayed by `reorder_us`.
    pub reordered: u64,
    /// Chunks or datagrams that were corrupted.
    pub corrupted: u64,
}

#[derive(Clone, Copy)]
enum Direction {
    ToUpstream,
    ToClient,
}

#[derive(Clone, Copy, Default)]
struct FaultState {
    faults: Faults,
    /// Number of the last silenced connection.
    silent_up_to: u64,
    /// Number of the last connection that was closed by [`ProxyHandle::close_open_connections`].
    closed_up_to: u64,
}

impl FaultState {
    fn is_blocked(&self, direction: Direction) -> bool {
        match (self.faults.cut, direction) {
            (Cut::None, _) => false,
            (Cut::Both, _) => true,
            (Cut::ToUpstream, Direction::ToUpstream) => true,
            (Cut::ToClient, Direction::ToClient) => true,
            _ => false,
        }
    }

    fn may_forward(&self, connection: u64, direction: Direction) -> bool {
        connection > self.silent_up_to && !self.is_blocked(direction)
    }
}

struct State {
    rng: StdRng,
    /// Only the counters of the report are kept here.
    counts: ProxyReport,
}

struct Shared {
    upstream: SocketAddr,
    fault_state: watch::Sender<FaultState>,
    connections: AtomicU64,
    state: Mutex<State>,
}

/// Changes the faults of a running proxy and reads its counters.
#[derive(Clone)]
pub struct ProxyHandle {
    shared: Arc<Shared>,
}

impl ProxyHandle {
    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.fault_state.send_modify(|s| s.faults = faults);
    }

    /// Permanently stops the traffic of all current connections, which stay open. New connections are not
    /// affected.
    pub fn silence_open_connections(&self) {
        let last = self.shared.connections.load(Ordering::SeqCst);
        self.shared.fault_state.send_modify(|s| s.silent_up_to = last);
    }

    /// Closes all current connections.
    pub fn close_open_connections(&self) {
        let last = self.shared.connections.load(Ordering::SeqCst);
        self.shared.fault_state.send_modify(|s| s.closed_up_to = last);
    }

    /// Returns the active faults and the counters.
    #[must_use]
    pub fn report(&self) -> ProxyReport {
        let fault_state = *self.shared.fault_state.borrow();
        ProxyReport {
            faults: fault_state.faults,
            silent_up_to: fault_state.silent_up_to,
            connections: self.shared.connections.load(Ordering::SeqCst),
            ..lock(&self.shared.state).counts
        }
    }
}

/// A running proxy. Dropping it closes its connections.
pub struct Proxy {
    handle: ProxyHandle,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Proxy {
    /// Binds the address and starts to forward traffic.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(settings: ProxySettings) -> Result<Self> {
        let fault_state = FaultState { faults: settings.faults, ..FaultState::default() };
        let rng = StdRng::seed_from_u64(settings.seed);
        let shared = Arc::new(Shared {
            upstream: settings.upstream,
            fault_state: watch::Sender::new(fault_state),
            connections: AtomicU64::new(0),
            state: Mutex::new(State { rng, counts: ProxyReport::default() }),
        });
        let mut tasks = JoinSet::new();
        let address = match settings.protocol {
            Protocol::Tcp => {
                let listener = TcpListener::bind(settings.listen).await?;
                let address = listener.local_addr()?;
                tasks.spawn(accept_connections(Arc::clone(&shared), listener));
                address
            }
            Protocol::Udp => {
                let socket = fabric::bind_with_buffer(settings.listen)?;
                let address = socket.local_addr()?;
                tasks.spawn(forward_client_datagrams(Arc::clone(&shared), Arc::new(socket)));
                address
            }
        };
        Ok(Self { handle: ProxyHandle { shared }, address, tasks })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle for changing faults and reading counters.
    #[must_use]
    pub fn handle(&self) -> ProxyHandle {
        self.handle.clone()
    }

    /// Serves the HTTP control endpoint at an address and returns the bound address; port 0 selects a free port.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn serve_control(&mut self, listen: SocketAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        self.tasks.spawn(proxy_control::serve(self.handle(), listener));
        Ok(address)
    }
}

impl Shared {
    fn next_connection_number(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn sample_delay(&self) -> Duration {
        let faults = self.fault_state.borrow().faults;
        let jitter = lock(&self.state).rng.random_range(0..=faults.jitter_us);
        Duration::from_micros(faults.delay_us + jitter)
    }

    /// Corrupts the bytes with the probability `corrupt_percent`.
    fn apply_corruption(&self, bytes: &mut Vec<u8>) {
        let faults = self.fault_state.borrow().faults;
        let mut state = lock(&self.state);
        if bytes.is_empty() || !state.occurs(faults.corrupt_percent) {
            return;
        }
        state.counts.corrupted += 1;
        match faults.corruption {
            Corruption::Byte => {
                let index = state.rng.random_range(0..bytes.len());
                bytes[index] = !bytes[index];
            }
            Corruption::Length => bytes.iter_mut().take(4).for_each(|b| *b = !*b),
            Corruption::Truncate => drop(bytes.pop()),
        }
    }

    async fn wait_until_closed(&self, connection: u64) {
        let mut fault_state = self.fault_state.subscribe();
        let _ = fault_state.wait_for(|s| connection <= s.closed_up_to).await;
    }

    async fn wait_until_may_forward(&self, connection: u64, direction: Direction) {
        let mut fault_state = self.fault_state.subscribe();
        let _ = fault_state.wait_for(|s| s.may_forward(connection, direction)).await;
    }
}

impl State {
    /// Draws whether an event of this probability occurs.
    fn occurs(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}

async fn accept_connections(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((client, _)) = listener.accept() => {
                let number = shared.next_connection_number();
                connections.spawn(forward_connection(Arc::clone(&shared), client, number));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward_connection(shared: Arc<Shared>, client: TcpStream, number: u64) {
    let forwarding = async {
        shared.wait_until_may_forward(number, Direction::ToUpstream).await;
        let Ok(upstream) = TcpStream::connect(shared.upstream).await else { return };
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (client_rx, client_tx) = client.into_split();
        let (upstream_rx, upstream_tx) = upstream.into_split();
        tokio::join!(
            forward_stream(&shared, number, Direction::ToUpstream, client_rx, upstream_tx),
            forward_stream(&shared, number, Direction::ToClient, upstream_rx, client_tx),
        );
    };
    tokio::select! {
        () = forwarding => {}
        () = shared.wait_until_closed(number) => {}
    }
}

/// Forwards one direction of a connection until its end, and then closes that direction.
async fn forward_stream(
    shared: &Shared,
    number: u64,
    direction: Direction,
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
) {
    let (chunk_tx, mut chunk_rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = rx.read(&mut chunk).await.unwrap_or(0);
            chunk.truncate(length);
            let due = Instant::now() + shared.sample_delay();
            if chunk_tx.send((due, chunk)).await.is_err() || length == 0 {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, mut chunk)) = chunk_rx.recv().await {
            tokio::time::sleep_until(due).await;
            if !shared.fault_state.borrow().may_forward(number, direction) {
                lock(&shared.state).counts.held += 1;
                shared.wait_until_may_forward(number, direction).await;
            }
            // The reader marks the end of the stream by an empty chunk.
            if chunk.is_empty() {
                break;
            }
            shared.apply_corruption(&mut chunk);
            if tx.write_all(&chunk).await.is_err() {
                return;
            }
            lock(&shared.state).counts.passed += 1;
        }
        let _ = tx.shutdown().await;
    };
    tokio::join!(read, write);
}

/// Forwards datagrams of clients to the upstream. Each client address gets its own socket to the upstream, whose
/// responses go back to that client.
async fn forward_client_datagrams(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut clients: BTreeMap<SocketAddr, (u64, Arc<UdpSocket>)> = BTreeMap::new();
    let mut response_tasks = JoinSet::new();
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else { continue };
        if let Entry::Vacant(vacant) = clients.entry(client) {
            let Ok(upstream) = bind_upstream_socket().await else { continue };
            let number = shared.next_connection_number();
            vacant.insert((number, Arc::clone(&upstream)));
            let (shared, socket) = (Arc::clone(&shared), Arc::clone(&socket));
            response_tasks.spawn(forward_responses(shared, socket, upstream, client, number));
        }
        let Some((number, upstream)) = clients.get(&client) else { continue };
        let bytes = buffer[..length].to_vec();
        forward_datagram(&shared, *number, Direction::ToUpstream, bytes, upstream, shared.upstream)
            .await;
    }
}

async fn bind_upstream_socket() -> std::io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?))
}

async fn forward_responses(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    client: SocketAddr,
    number: u64,
) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, _)) = upstream.recv_from(&mut buffer).await else { continue };
        let bytes = buffer[..length].to_vec();
        forward_datagram(&shared, number, Direction::ToClient, bytes, &socket, client).await;
    }
}

async fn forward_datagram(
    shared: &Arc<Shared>,
    number: u64,
    direction: Direction,
    mut bytes: Vec<u8>,
    socket: &Arc<UdpSocket>,
    to: SocketAddr,
) {
    let fault_state = *shared.fault_state.borrow();
    let mut delay = shared.sample_delay();
    let mut copies = 1;
    {
        let mut state = lock(&shared.state);
        let is_lost = state.occurs(fault_state.faults.loss_percent);
        if is_lost || !fault_state.may_forward(number, direction) {
            state.counts.lost += 1;
            return;
        }
        if state.occurs(fault_state.faults.duplicate_percent) {
            state.counts.duplicated += 1;
            copies = 2;
        }
        if state.occurs(fault_state.faults.reorder_percent) {
            state.counts.reordered += 1;
            delay += Duration::from_micros(fault_state.faults.reorder_us);
        }
        state.counts.passed += 1;
    }
    shared.apply_corruption(&mut bytes);
    if delay.is_zero() {
        for _ in 0..copies {
            let _ = socket.send_to(&bytes, to).await;
        }
        return;
    }
    let socket = Arc::clone(socket);
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        for _ in 0..copies {
            let _ = socket.send_to(&bytes, to).await;
        }
    });
}
