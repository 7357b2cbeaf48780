//! Packets of clients and backends.

use std::net::Ipv4Addr;

pub const HEADER_BYTES: usize = 34;

pub const SYN: u8 = 32;
pub const RST: u8 = 16;
pub const ACK: u8 = 8;
pub const FIN: u8 = 4;

/// Key of the sums, which only the two ends know.
const SUM_KEY: u32 = 0x9e37_79b9;

/// A packet without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub source: (Ipv4Addr, u16),
    pub destination: (Ipv4Addr, u16),
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
}

/// Encodes a packet with its sum.
pub fn encode(header: &Header, data: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[4..6].copy_from_slice(&header.source.1.to_le_bytes());
    bytes[6..8].copy_from_slice(&header.destination.1.to_le_bytes());
    bytes[8..12].copy_from_slice(&u32::from(header.source.0).to_le_bytes());
    bytes[12..16].copy_from_slice(&u32::from(header.destination.0).to_le_bytes());
    bytes[16..20].copy_from_slice(&header.seq.to_le_bytes());
    bytes[20..24].copy_from_slice(&header.ack.to_le_bytes());
    bytes[24..26].copy_from_slice(&(data.len() as u16).to_le_bytes());
    bytes[26..30].copy_from_slice(&header.echo.to_le_bytes());
    bytes[30] = header.flags;
    bytes.extend_from_slice(data);
    let sum = sum(&bytes);
    bytes[0..4].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Decodes a packet. `None` if it is malformed, or if its sum is wrong and it is no reset of the system's own.
pub fn decode(bytes: &[u8]) -> Option<(Header, &[u8])> {
    if bytes.len() < HEADER_BYTES {
        return None;
    }
    let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let header = Header {
        source: (Ipv4Addr::from(u32_at(8)), u16_at(4)),
        destination: (Ipv4Addr::from(u32_at(12)), u16_at(6)),
        seq: u32_at(16),
        ack: u32_at(20),
        echo: u32_at(26),
        flags: bytes[30],
    };
    let data = &bytes[HEADER_BYTES..];
    let is_own_reset = header.flags == RST && u32_at(0) == 0;
    let is_valid = usize::from(u16_at(24)) == data.len();
    (is_valid && (is_own_reset || u32_at(0) == sum(bytes))).then_some((header, data))
}

/// Sum over all fields but the sum itself, the echo and the pad.
fn sum(bytes: &[u8]) -> u32 {
    let summed =
        bytes.iter().enumerate().filter(|(at, _)| !matches!(at, 0..=3 | 26..=29 | 31..=33));
    summed.fold(SUM_KEY, |sum, (_, byte)| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}
