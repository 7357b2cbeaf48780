//! A proxy before the control daemons, which gives each entry a link of a stated rate. Connections of other processes pass
//! at full speed.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Most bytes of data in one packet of a connection, and the length of the headers before them.
const PACKET_DATA: usize = 1_460;
const PACKET_HEADERS: usize = 40;

/// Time at which the link of each entry is free again, by process id.
type Links = Arc<Mutex<BTreeMap<u32, Instant>>>;

/// Tells which processes are entries at the moment.
pub type EntryIds = Arc<dyn Fn() -> Vec<u32> + Send + Sync>;

/// Proxies of all control daemons.
#[derive(Clone)]
pub struct SlowLinks {
    bits_per_s: f64,
    entries: EntryIds,
    links: Links,
}

impl SlowLinks {
    /// Links of `mbps` for the processes that `entries` names.
    pub fn new(mbps: f64, entries: EntryIds) -> Self {
        Self { bits_per_s: mbps * 1_000_000.0, entries, links: Links::default() }
    }

    /// Passes the connections to `listen` on to `to`.
    pub fn forward(&self, listen: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        let links = self.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let links = links.clone();
                std::thread::spawn(move || links.pass(client, to));
            }
        });
        Ok(())
    }

    /// Passes one connection on, in both directions.
    fn pass(&self, client: TcpStream, to: SocketAddr) {
        let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else {
            return;
        };
        let entry = self.entry_of(&client);
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        // Without the option, small messages would wait for acknowledgements.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let links = self.clone();
        std::thread::spawn(move || links.copy(client_copy, server_copy, None));
        self.copy(server, client, entry);
    }

    /// Copies bytes until an end closes. `entry` is the process whose link they pass.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, entry: Option<u32>) {
        let mut buf = [0; PACKET_DATA];
        while let Ok(len @ 1..) = from.read(&mut buf) {
            if let Some(entry) = entry {
                self.wait_for_link(entry, len);
            }
            if to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        // Either end may have closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits until the link has carried a packet with `len` bytes of data, after those before it.
    fn wait_for_link(&self, entry: u32, len: usize) {
        let bits = (PACKET_HEADERS + len) as f64 * 8.0;
        let takes = Duration::from_secs_f64(bits / self.bits_per_s);
        let now = Instant::now();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let free_at = links.entry(entry).or_insert(now);
        *free_at = (*free_at).max(now) + takes;
        let wait = free_at.saturating_duration_since(now);
        drop(links);
        std::thread::sleep(wait);
    }

    /// The entry that opened a connection; `None` if it was opened by another process.
    fn entry_of(&self, client: &TcpStream) -> Option<u32> {
        let (SocketAddr::V4(peer), SocketAddr::V4(own)) =
            (client.peer_addr().ok()?, client.local_addr().ok()?)
        else {
            return None;
        };
        let socket = format!("socket:[{}]", inode_of(peer, own)?);
        let is_socket = |to: PathBuf| to.as_os_str() == &socket[..];
        (self.entries)().into_iter().find(|id| {
            let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
            files.filter_map(|file| fs::read_link(file.path()).ok()).any(is_socket)
        })
    }
}

/// Inode of the socket between two addresses at the first one, from the table of this machine's connections.
fn inode_of(local: SocketAddrV4, remote: SocketAddrV4) -> Option<String> {
    let text = |address: SocketAddrV4| {
        let ip = u32::from_le_bytes(address.ip().octets());
        format!("{ip:08X}:{:04X}", address.port())
    };
    let (local, remote) = (text(local), text(remote));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>()).find_map(|fields| {
        let is_row = fields.get(1) == Some(&&local[..]) && fields.get(2) == Some(&&remote[..]);
        is_row.then(|| fields.get(9).map(|inode| (*inode).to_owned()))?
    })
}
