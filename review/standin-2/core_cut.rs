//! Proxies before the control daemons, which can cut two groups of them off from each other. Connections of other
//! processes pass all the time.

use crate::cluster::ProcessIds;
use crate::owner::owner_of;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval at which held connections are looked at.
const STEP: Duration = Duration::from_millis(5);

/// Two groups of control daemons.
#[derive(Clone)]
pub struct CoreCut {
    /// Processes of the group that is cut off, and those of the rest.
    groups: [ProcessIds; 2],
    is_cut: Arc<AtomicBool>,
}

impl CoreCut {
    /// Groups that reach each other until they are cut.
    pub fn new(cut_off: ProcessIds, rest: ProcessIds) -> Self {
        Self { groups: [cut_off, rest], is_cut: Arc::default() }
    }

    /// Cuts the groups off from each other, or joins them.
    pub fn set(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Passes the connections to `listen` on to the daemon at `to`, which is of the group that is cut off or not.
    pub fn forward(
        &self,
        listen: SocketAddr,
        to: SocketAddr,
        is_cut_off: bool,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        let cut = self.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = cut.clone();
                std::thread::spawn(move || cut.pass(client, to, is_cut_off));
            }
        });
        Ok(())
    }

    /// Passes one connection on, in both directions.
    fn pass(&self, client: TcpStream, to: SocketAddr, is_cut_off: bool) {
        let others = &self.groups[usize::from(is_cut_off)];
        let crosses = owner_of(&client, &others()).is_some();
        self.wait(crosses);
        let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else {
            return;
        };
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        // Without the option, small messages would wait for acknowledgements.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let cut = self.clone();
        std::thread::spawn(move || cut.copy(client_copy, server_copy, crosses));
        self.copy(server, client, crosses);
    }

    /// Copies bytes until an end closes. While the groups are cut, nothing passes between them.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, crosses: bool) {
        let mut buf = [0; 16_384];
        while let Ok(len @ 1..) = from.read(&mut buf) {
            self.wait(crosses);
            if to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        self.wait(crosses);
        // Either end may have closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Holds a connection that crosses the cut until that is over.
    fn wait(&self, crosses: bool) {
        while crosses && self.is_cut.load(Ordering::Relaxed) {
            std::thread::sleep(STEP);
        }
    }
}
