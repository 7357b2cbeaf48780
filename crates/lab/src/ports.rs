//! Allocates free ports for the processes of a deployment.

use anyhow::{Result, anyhow};
use rand::RngExt;
use rand::rngs::StdRng;
use socket2::{Domain, Socket, Type};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;

/// Below the range that systems use for outgoing connections, since a connection from the deployment's
/// address could take a port before its process binds it.
const PORT_RANGE: Range<u16> = 10_000..32_000;

/// An allocation fails when this many random ports were all in use or allocated before.
const MAX_TRIES: usize = 100;

/// Allocates each port of an IP address at most once.
pub struct Ports {
    ip: Ipv4Addr,
    rng: StdRng,
    allocated: BTreeSet<u16>,
}

impl Ports {
    /// Allocates ports of the given address.
    #[must_use]
    pub fn of(ip: Ipv4Addr) -> Self {
        Self { ip, rng: rand::make_rng(), allocated: BTreeSet::new() }
    }

    /// Allocates ports of a random address of the loopback network.
    #[must_use]
    pub fn anywhere() -> Self {
        let [a, b, c] = rand::make_rng::<StdRng>().random::<[u8; 3]>();
        Self::of(Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254)))
    }

    /// Returns a port on which nothing listens, for TCP or UDP.
    ///
    /// # Errors
    /// No free port was found.
    pub fn give(&mut self) -> Result<SocketAddr> {
        let mut last_error = None;
        for _ in 0..MAX_TRIES {
            let address = SocketAddr::from((self.ip, self.rng.random_range(PORT_RANGE)));
            if !self.allocated.insert(address.port()) {
                continue;
            }
            match check_free(address) {
                Ok(()) => return Ok(address),
                Err(error) => last_error = Some(error),
            }
        }
        Err(anyhow!("no free port at {}: {last_error:?}", self.ip))
    }
}

/// Binds the address without listening. A process that another thread starts inherits a copy of each
/// open socket until its program begins; a copy of a socket that never listened does not prevent others
/// from listening on the address.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
