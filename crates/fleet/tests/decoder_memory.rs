//! Memory of the decoders of messages between daemons. A process of its own, so that no other test takes memory.

#![allow(clippy::unwrap_used)]

#[path = "decoders/samples.rs"]
mod samples;

use comfreyhold_fleet::messages::{FleetRequest, FleetResponse};
use comfreyhold_types::keys::TargetId;
use comfreyhold_wire::envelope::{MAX_BODY_BYTES, decode_body, encode_body};
use serde::Serialize;

/// Address space that the decoders may take beyond what they have before the first input. The largest body is 4 MiB;
/// its parts take at most some 30 times their encoded size, and 1 MiB is reserved for the elements of a list at first.
const MAX_GROWTH_KB: u64 = 128 * 1_024;

/// Size of the variant and of the length before the elements of the largest list, in bytes.
const LIST_HEADER_BYTES: usize = 5;

/// Address space that the process has had at most, in KB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmPeak:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against memory that is taken for a length that a short message only claims.
#[test]
fn memory_follows_the_size_of_a_message_and_not_its_lengths() {
    let claims: Vec<Vec<u8>> = samples::requests().iter().flat_map(inflated).collect();
    let claims: Vec<Vec<u8>> =
        claims.into_iter().chain(samples::responses().iter().flat_map(inflated)).collect();
    assert!(claims.len() > 2_000, "{}", claims.len());
    let before = peak_kb();
    for body in &claims {
        let _ = (decode_body::<FleetRequest>(body), decode_body::<FleetResponse>(body));
    }
    // The largest body, all of it one list of the smallest elements.
    let empty = vec![TargetId(0); MAX_BODY_BYTES - LIST_HEADER_BYTES];
    let full = encode_body(&FleetRequest::Announcements(empty)).unwrap();
    assert_eq!(full.len(), MAX_BODY_BYTES);
    let decoded = decode_body(&full).unwrap();
    assert!(
        matches!(decoded, FleetRequest::Announcements(ids) if ids.len() == full.len() - LIST_HEADER_BYTES)
    );
    let growth = peak_kb() - before;
    assert!(growth < MAX_GROWTH_KB, "{growth} KB");
}

/// The message with a length of 2^28, 2^32 or 2^60 at each position in turn.
fn inflated<T: Serialize>(message: &T) -> Vec<Vec<u8>> {
    let valid = encode_body(message).unwrap();
    let lengths: [&[u8]; 3] = [
        &[0x80, 0x80, 0x80, 0x80, 0x01],
        &[0x80, 0x80, 0x80, 0x80, 0x10],
        &[0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10],
    ];
    let at = |position: usize| {
        let valid = &valid;
        lengths.map(move |length| [&valid[..position], length, &valid[position + 1..]].concat())
    };
    (1..valid.len()).flat_map(at).collect()
}
