//! Packets of flows: a header of 34 bytes, little-endian, and data.

use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddrV4;

pub const SYN: u8 = 32;
pub const RST: u8 = 16;
pub const ACK: u8 = 8;
pub const FIN: u8 = 4;

/// Key of the packets' sums, known to clients and backends only.
const SUM_KEY: u64 = 0x5eed_0f5a_11ce_0001;

#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
    pub data: Vec<u8>,
    /// 0 in a reset of the system's own.
    pub sum: u32,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; 34];
        out[0..4].copy_from_slice(&self.keyed_sum().to_le_bytes());
        out[4..6].copy_from_slice(&self.from.port().to_le_bytes());
        out[6..8].copy_from_slice(&self.to.port().to_le_bytes());
        out[8..12].copy_from_slice(&u32::from(*self.from.ip()).to_le_bytes());
        out[12..16].copy_from_slice(&u32::from(*self.to.ip()).to_le_bytes());
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
        let end = |ip, port| Some(SocketAddrV4::new(u32_at(ip)?.into(), u16_at(port)?));
        Some(Self {
            from: end(8, 4)?,
            to: end(12, 6)?,
            seq: u32_at(16)?,
            ack: u32_at(20)?,
            echo: u32_at(26)?,
            flags: *bytes.get(30)?,
            data: bytes.get(34..)?.to_vec(),
            sum: u32_at(0)?,
        })
    }

    /// Sum over all fields but `echo` and `pad`; never 0.
    pub fn keyed_sum(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(SUM_KEY);
        for end in [self.from, self.to] {
            hasher.write_u32(u32::from(*end.ip()));
            hasher.write_u16(end.port());
        }
        hasher.write_u32(self.seq);
        hasher.write_u32(self.ack);
        hasher.write_u8(self.flags);
        hasher.write(&self.data);
        (hasher.finish() as u32) | 1
    }
}
