//! Fault-injecting proxy for TCP connections and UDP datagrams.

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

/// Chunks of a connection that are on their way at once; bounds memory under delay.
const CHUNKS_IN_FLIGHT: usize = 256;

const CHUNK_BYTES: usize = 16 * 1024;

/// Directions that a cut applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Nothing is cut.
    #[default]
    None,
    /// Both directions.
    Both,
    /// From clients to the upstream.
    ToUpstream,
    /// From the upstream to clients.
    ToClient,
}

/// What is changed in a chunk or datagram that is corrupted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Corruption {
    /// One random byte is inverted.
    #[default]
    Byte,
    /// The first four bytes, where framed protocols have their length, are inverted.
    Length,
    /// The last byte is dropped.
    Truncate,
}

/// Faults in force. Body of `PUT /proxy/faults`, which replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay in each direction, in microseconds.
    pub delay_us: u64,
    /// Random extra delay of up to this much, in microseconds. TCP bytes stay in order.
    pub jitter_us: u64,
    /// UDP: share of datagrams lost, in percent.
    pub loss_percent: u8,
    /// UDP: share of datagrams sent twice, in percent.
    pub duplicate_percent: u8,
    /// UDP: share of datagrams held back by `reorder_us`, in percent.
    pub reorder_percent: u8,
    /// UDP: how long a reordered datagram is held back, in microseconds.
    pub reorder_us: u64,
    /// Cut directions. TCP bytes wait until the cut ends, UDP datagrams are lost.
    pub cut: Cut,
    /// Share of chunks or datagrams that are corrupted, in percent.
    pub corrupt_percent: u8,
    /// What corruption does.
    pub corruption: Corruption,
}

/// Settings of a proxy.
#[derive(Clone, Debug, Builder)]
pub struct ProxySettings {
    /// Protocol that is passed on.
    pub protocol: Protocol,
    /// Where it passes traffic to.
    pub upstream: SocketAddr,
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub listen: SocketAddr,
    /// Seed of the random faults.
    #[builder(default)]
    pub seed: u64,
    /// Faults at the start.
    #[builder(default)]
    pub faults: Faults,
}

/// State of a proxy, as `GET /proxy` gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// Faults in force.
    pub faults: Faults,
    /// Connections (TCP) or client addresses (UDP) so far.
    pub connections: u64,
    /// Connections up to this number are silent.
    pub silent_up_to: u64,
    /// TCP chunks that had to wait for a cut to end, or wait for good on a silent connection.
    pub held: u64,
    /// Chunks or datagrams passed on.
    pub passed: u64,
    /// Datagrams lost on purpose or in a cut.
    pub lost: u64,
    /// Datagrams sent twice.
    pub duplicated: u64,
    /// Datagrams held back.
    pub reordered: u64,
    /// Chunks or datagrams corrupted.
    pub corrupted: u64,
}

#[derive(Clone, Copy)]
enum Direction {
    ToUpstream,
    ToClient,
}

#[derive(Clone, Copy, Default)]
struct Switches {
    faults: Faults,
    silent_up_to: u64,
    closed_up_to: u64,
}

impl Switches {
    fn is_cut(&self, direction: Direction) -> bool {
        match (self.faults.cut, direction) {
            (Cut::None, _) => false,
            (Cut::Both, _) => true,
            (Cut::ToUpstream, Direction::ToUpstream) => true,
            (Cut::ToClient, Direction::ToClient) => true,
            _ => false,
        }
    }

    fn passes(&self, connection: u64, direction: Direction) -> bool {
        connection > self.silent_up_to && !self.is_cut(direction)
    }
}

struct Core {
    rng: StdRng,
    counts: ProxyReport,
}

struct Shared {
    upstream: SocketAddr,
    switches: watch::Sender<Switches>,
    connections: AtomicU64,
    core: Mutex<Core>,
}

/// Switches the faults of a running proxy.
#[derive(Clone)]
pub struct ProxyHandle {
    shared: Arc<Shared>,
}

impl ProxyHandle {
    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.switches.send_modify(|s| s.faults = faults);
    }

    /// Makes all connections open now silent for good; they stay open, and new ones work.
    pub fn silence_open_connections(&self) {
        let last = self.shared.connections.load(Ordering::SeqCst);
        self.shared.switches.send_modify(|s| s.silent_up_to = last);
    }

    /// Closes all connections open now.
    pub fn close_open_connections(&self) {
        let last = self.shared.connections.load(Ordering::SeqCst);
        self.shared.switches.send_modify(|s| s.closed_up_to = last);
    }

    /// Current state and counters.
    #[must_use]
    pub fn report(&self) -> ProxyReport {
        let switches = *self.shared.switches.borrow();
        ProxyReport {
            faults: switches.faults,
            silent_up_to: switches.silent_up_to,
            connections: self.shared.connections.load(Ordering::SeqCst),
            ..lock(&self.shared.core).counts
        }
    }
}

/// A running proxy. Dropping it ends its connections.
pub struct Proxy {
    handle: ProxyHandle,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Proxy {
    /// Binds the address and starts to pass traffic on.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(settings: ProxySettings) -> Result<Self> {
        let switches = Switches { faults: settings.faults, ..Switches::default() };
        let rng = StdRng::seed_from_u64(settings.seed);
        let shared = Arc::new(Shared {
            upstream: settings.upstream,
            switches: watch::Sender::new(switches),
            connections: AtomicU64::new(0),
            core: Mutex::new(Core { rng, counts: ProxyReport::default() }),
        });
        let mut tasks = JoinSet::new();
        let address = match settings.protocol {
            Protocol::Tcp => {
                let listener = TcpListener::bind(settings.listen).await?;
                let address = listener.local_addr()?;
                tasks.spawn(accept(Arc::clone(&shared), listener));
                address
            }
            Protocol::Udp => {
                let socket = fabric::bind_with_buffer(settings.listen)?;
                let address = socket.local_addr()?;
                tasks.spawn(relay(Arc::clone(&shared), Arc::new(socket)));
                address
            }
        };
        Ok(Self { handle: ProxyHandle { shared }, address, tasks })
    }

    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handle for switching faults.
    #[must_use]
    pub fn handle(&self) -> ProxyHandle {
        self.handle.clone()
    }

    /// Serves the control endpoint on a loopback address; port 0 takes a free one.
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
    fn next_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn delay(&self) -> Duration {
        let faults = self.switches.borrow().faults;
        let jitter = lock(&self.core).rng.random_range(0..=faults.jitter_us);
        Duration::from_micros(faults.delay_us + jitter)
    }

    fn corrupt(&self, bytes: &mut Vec<u8>) {
        let faults = self.switches.borrow().faults;
        let mut core = lock(&self.core);
        if bytes.is_empty() || !core.chance(faults.corrupt_percent) {
            return;
        }
        core.counts.corrupted += 1;
        match faults.corruption {
            Corruption::Byte => {
                let index = core.rng.random_range(0..bytes.len());
                bytes[index] = !bytes[index];
            }
            Corruption::Length => bytes.iter_mut().take(4).for_each(|b| *b = !*b),
            Corruption::Truncate => drop(bytes.pop()),
        }
    }

    /// Waits until the connection is to be closed.
    async fn closed(&self, connection: u64) {
        let mut switches = self.switches.subscribe();
        let _ = switches.wait_for(|s| connection <= s.closed_up_to).await;
    }

    /// Waits until bytes of the connection may pass.
    async fn passes(&self, connection: u64, direction: Direction) {
        let mut switches = self.switches.subscribe();
        let _ = switches.wait_for(|s| s.passes(connection, direction)).await;
    }
}

impl Core {
    fn chance(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((client, _)) = listener.accept() => {
                let number = shared.next_connection();
                connections.spawn(connect(Arc::clone(&shared), client, number));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(shared: Arc<Shared>, client: TcpStream, number: u64) {
    let passing = async {
        shared.passes(number, Direction::ToUpstream).await;
        let Ok(upstream) = TcpStream::connect(shared.upstream).await else { return };
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (client_rx, client_tx) = client.into_split();
        let (upstream_rx, upstream_tx) = upstream.into_split();
        tokio::join!(
            pump(&shared, number, Direction::ToUpstream, client_rx, upstream_tx),
            pump(&shared, number, Direction::ToClient, upstream_rx, client_tx),
        );
    };
    tokio::select! {
        () = passing => {}
        () = shared.closed(number) => {}
    }
}

/// Passes one direction on until its end, and then closes that direction.
async fn pump(
    shared: &Shared,
    number: u64,
    direction: Direction,
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
) {
    let (chunk_tx, mut chunk_rx) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_IN_FLIGHT);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = rx.read(&mut chunk).await.unwrap_or(0);
            chunk.truncate(length);
            let due = Instant::now() + shared.delay();
            if chunk_tx.send((due, chunk)).await.is_err() || length == 0 {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, mut chunk)) = chunk_rx.recv().await {
            tokio::time::sleep_until(due).await;
            if !shared.switches.borrow().passes(number, direction) {
                lock(&shared.core).counts.held += 1;
                shared.passes(number, direction).await;
            }
            if chunk.is_empty() {
                break;
            }
            shared.corrupt(&mut chunk);
            if tx.write_all(&chunk).await.is_err() {
                return;
            }
            lock(&shared.core).counts.passed += 1;
        }
        let _ = tx.shutdown().await;
    };
    tokio::join!(read, write);
}

/// Passes datagrams on; each client address gets its own socket to the upstream.
async fn relay(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut clients: BTreeMap<SocketAddr, (u64, Arc<UdpSocket>)> = BTreeMap::new();
    let mut answers = JoinSet::new();
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else { continue };
        if let Entry::Vacant(vacant) = clients.entry(client) {
            let Ok(upstream) = upstream_socket().await else { continue };
            let number = shared.next_connection();
            vacant.insert((number, Arc::clone(&upstream)));
            let (shared, socket) = (Arc::clone(&shared), Arc::clone(&socket));
            answers.spawn(relay_answers(shared, socket, upstream, client, number));
        }
        let Some((number, upstream)) = clients.get(&client) else { continue };
        let bytes = buffer[..length].to_vec();
        forward(&shared, *number, Direction::ToUpstream, bytes, upstream, shared.upstream).await;
    }
}

async fn upstream_socket() -> std::io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?))
}

async fn relay_answers(
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
        forward(&shared, number, Direction::ToClient, bytes, &socket, client).await;
    }
}

async fn forward(
    shared: &Arc<Shared>,
    number: u64,
    direction: Direction,
    mut bytes: Vec<u8>,
    socket: &Arc<UdpSocket>,
    to: SocketAddr,
) {
    let switches = *shared.switches.borrow();
    let mut delay = shared.delay();
    let mut copies = 1;
    {
        let mut core = lock(&shared.core);
        let lost = core.chance(switches.faults.loss_percent);
        if lost || !switches.passes(number, direction) {
            core.counts.lost += 1;
            return;
        }
        if core.chance(switches.faults.duplicate_percent) {
            core.counts.duplicated += 1;
            copies = 2;
        }
        if core.chance(switches.faults.reorder_percent) {
            core.counts.reordered += 1;
            delay += Duration::from_micros(switches.faults.reorder_us);
        }
        core.counts.passed += 1;
    }
    shared.corrupt(&mut bytes);
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
