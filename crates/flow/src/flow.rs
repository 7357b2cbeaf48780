//! Identity of a flow: its 5-tuple and keyed hash.

use crate::table::SLOTS_PER_SERVICE;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Transport protocol of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// TCP: a SYN without ACK opens a flow.
    Tcp,
    /// UDP: no packet marks the start of a flow.
    Udp,
}

/// Protocol, source and destination of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FiveTuple {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port of the sender.
    pub source: SocketAddr,
    /// Address and port of the receiver.
    pub destination: SocketAddr,
}

/// Keyed 64-bit hash of a 5-tuple. It is encoded as 8 bytes, since the varint of a random 64-bit
/// number takes up to 10.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct FlowHash(pub u64);

impl From<[u8; 8]> for FlowHash {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<FlowHash> for [u8; 8] {
    fn from(flow: FlowHash) -> Self {
        flow.0.to_le_bytes()
    }
}

impl FlowHash {
    /// Slot of the flow in its service's table.
    #[must_use]
    pub fn slot(self) -> u16 {
        (self.0 % SLOTS_PER_SERVICE as u64) as u16
    }
}

/// Hashes 5-tuples with the key of the deployment, which is the same on all entries.
#[derive(Clone, Copy, Debug)]
pub struct FlowHasher {
    key: (u64, u64),
}

impl FlowHasher {
    /// Creates a hasher with a 128-bit key.
    #[must_use]
    pub fn new(key: (u64, u64)) -> Self {
        Self { key }
    }

    /// Hashes a 5-tuple.
    #[must_use]
    pub fn hash(&self, tuple: &FiveTuple) -> FlowHash {
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        tuple.hash(&mut hasher);
        FlowHash(hasher.finish())
    }
}
