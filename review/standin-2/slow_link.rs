//! A proxy before the control daemons, which gives each entry a link of a stated rate. Connections of other processes pass
//! at full speed.

use crate::cluster::ProcessIds;
use crate::owner::owner_of;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Most bytes of data in one packet of a connection, and the length of the headers before them.
const PACKET_DATA: usize = 1_460;
const PACKET_HEADERS: usize = 40;

/// Time at which the link of each entry is free again, by process id.
type Links = Arc<Mutex<BTreeMap<u32, Instant>>>;

/// Proxies of all control daemons.
#[derive(Clone)]
pub struct SlowLinks {
    bits_per_s: f64,
    entries: ProcessIds,
    links: Links,
}

impl SlowLinks {
    /// Links of `mbps` for the processes that `entries` names.
    pub fn new(mbps: f64, entries: ProcessIds) -> Self {
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
        let entry = owner_of(&client, &(self.entries)());
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
}
