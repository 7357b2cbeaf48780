//! Free ports for the processes of a deployment.

use anyhow::{Result, anyhow};
use rand::RngExt;
use rand::rngs::StdRng;
use socket2::{Domain, Socket, Type};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;

/// Below the range from which systems take the ports of outgoing connections: a connection that leaves from the
/// deployment's address could take a port before its process binds it.
const RANGE: Range<u16> = 10_000..32_000;

/// Tries to find a free port.
const TRIES: usize = 100;

/// Gives each port of an address once.
pub struct Ports {
    ip: Ipv4Addr,
    rng: StdRng,
    given: BTreeSet<u16>,
}

impl Ports {
    /// Ports of an address.
    #[must_use]
    pub fn of(ip: Ipv4Addr) -> Self {
        Self { ip, rng: rand::make_rng(), given: BTreeSet::new() }
    }

    /// Ports of a random address of the loopback network.
    #[must_use]
    pub fn anywhere() -> Self {
        let [a, b, c] = rand::make_rng::<StdRng>().random::<[u8; 3]>();
        Self::of(Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254)))
    }

    /// A port at which nothing listens, for TCP or UDP.
    ///
    /// # Errors
    /// No free port was found.
    pub fn give(&mut self) -> Result<SocketAddr> {
        let mut last = None;
        for _ in 0..TRIES {
            let address = SocketAddr::from((self.ip, self.rng.random_range(RANGE)));
            if !self.given.insert(address.port()) {
                continue;
            }
            match probe(address) {
                Ok(()) => return Ok(address),
                Err(error) => last = Some(error),
            }
        }
        Err(anyhow!("no free port at {}: {last:?}", self.ip))
    }
}

/// Binds an address without listening. A process that another thread is starting holds a copy of each socket until
/// its program begins; a copy of this one keeps nobody from listening at the address.
fn probe(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
