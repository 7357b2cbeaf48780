//! The platform's packets: a header of 34 bytes and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 32;
pub const RST: u8 = 16;
pub const ACK: u8 = 8;
pub const FIN: u8 = 4;

const HEADER_BYTES: usize = 34;
/// Key of the sum, which only the two ends of a flow know.
const SUM_KEY: u32 = 0x9e37_79b9;

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub data: Vec<u8>,
    /// Sum as received; set by `encode` when a packet is sent.
    pub sum: u32,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Keyed sum over all fields but `echo`; never 0, which marks a reset of the system's own.
    fn computed_sum(&self) -> u32 {
        let mut hash = SUM_KEY;
        let mut add = |byte: u8| hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        for endpoint in [self.src, self.dst] {
            endpoint.ip().octets().into_iter().for_each(&mut add);
            endpoint.port().to_le_bytes().into_iter().for_each(&mut add);
        }
        for number in [self.seq, self.ack, u32::from(self.flags)] {
            number.to_le_bytes().into_iter().for_each(&mut add);
        }
        self.data.iter().copied().for_each(&mut add);
        hash.max(1)
    }

    /// Whether the sender wrote the packet so.
    pub fn is_intact(&self) -> bool {
        self.sum == self.computed_sum()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; HEADER_BYTES];
        out[0..4].copy_from_slice(&self.computed_sum().to_le_bytes());
        out[4..6].copy_from_slice(&self.src.port().to_le_bytes());
        out[6..8].copy_from_slice(&self.dst.port().to_le_bytes());
        out[8..12].copy_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        out[12..16].copy_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        out[16..20].copy_from_slice(&self.seq.to_le_bytes());
        out[20..24].copy_from_slice(&self.ack.to_le_bytes());
        out[24..26].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        out[26..30].copy_from_slice(&self.echo.to_le_bytes());
        out[30] = self.flags;
        out.extend_from_slice(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let len = usize::from(u16_at(24)?);
        if bytes.len() != HEADER_BYTES + len {
            return None;
        }
        Some(Self {
            sum: u32_at(0)?,
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(8)?), u16_at(4)?),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(12)?), u16_at(6)?),
            seq: u32_at(16)?,
            ack: u32_at(20)?,
            echo: u32_at(26)?,
            flags: bytes[30],
            data: bytes[HEADER_BYTES..].to_vec(),
        })
    }
}
