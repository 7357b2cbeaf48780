//! Records of a file: length (4 bytes, little-endian), CRC-32 of length and payload, payload.

use crc32fast::Hasher;

/// Bytes before the payload.
const HEADER_BYTES: usize = 8;

/// Largest payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 128 * 1024 * 1024;

/// How reading a file ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All bytes belong to valid records.
    Clean,
    /// The bytes from this offset are an incomplete last record.
    Torn(usize),
    /// The record at this offset is damaged, and a valid one follows.
    Corrupt(usize),
}

/// Encodes a record.
#[must_use]
pub fn encode_record(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&len);
    bytes.extend_from_slice(&checksum(len, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads records until the end or the first one that is not valid.
#[must_use]
pub fn read_records(bytes: &[u8]) -> (Vec<(usize, &[u8])>, ReadEnd) {
    let mut frames = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(payload) = payload_at(bytes, offset) else {
            return (frames, bad_end(bytes, offset));
        };
        frames.push((offset, payload));
        offset += HEADER_BYTES + payload.len();
    }
    (frames, ReadEnd::Clean)
}

/// A damaged length hides where the next record starts, so every later offset is tried.
fn bad_end(bytes: &[u8], offset: usize) -> ReadEnd {
    let follows = (offset + 1..bytes.len()).any(|later| payload_at(bytes, later).is_some());
    if follows { ReadEnd::Corrupt(offset) } else { ReadEnd::Torn(offset) }
}

fn payload_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let len: [u8; 4] = header[..4].try_into().ok()?;
    let crc: [u8; 4] = header[4..].try_into().ok()?;
    let size = usize::try_from(u32::from_le_bytes(len)).ok()?;
    if size == 0 || size > MAX_PAYLOAD_BYTES {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start.checked_add(size)?)?;
    (checksum(len, payload) == u32::from_le_bytes(crc)).then_some(payload)
}

fn checksum(len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}
