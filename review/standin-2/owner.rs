//! Finds the process that has opened a connection on this machine.

use std::fs;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::path::PathBuf;

/// The process among `candidates` that has opened an accepted connection; `None` if it was another one.
pub fn owner_of(accepted: &TcpStream, candidates: &[u32]) -> Option<u32> {
    let (SocketAddr::V4(peer), SocketAddr::V4(own)) =
        (accepted.peer_addr().ok()?, accepted.local_addr().ok()?)
    else {
        return None;
    };
    let socket = format!("socket:[{}]", inode_of(peer, own)?);
    let is_socket = |to: PathBuf| to.as_os_str() == &socket[..];
    candidates.iter().copied().find(|id| {
        let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        files.filter_map(|file| fs::read_link(file.path()).ok()).any(is_socket)
    })
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
