//! Declarations that an entry receives in parts. What has arrived is kept when a call fails, and any daemon that holds the
//! same declarations can send the rest.

use crate::messages::{CopyKey, CopyPart, DeclarationUpdate, PartRequest};
use comfreyhold_wire::envelope::{MAX_BODY_BYTES, decode_body};
use xxhash_rust::xxh3::xxh3_64;

/// Progress after a part.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyProgress {
    /// More parts are needed.
    Incomplete,
    /// All parts have arrived.
    Complete {
        /// Change number of the declarations that these are a difference to; 0 if they are complete.
        base: u64,
        /// The declarations.
        declarations: DeclarationUpdate,
    },
    /// The part does not follow those received, or the parts together are not what they should be. The copy begins anew.
    Damaged,
}

/// The parts received so far.
#[derive(Clone, Debug, Default)]
pub struct PartialCopy {
    key: Option<CopyKey>,
    received: Vec<u8>,
}

impl PartialCopy {
    /// Returns the request for the next part, for an entry whose declarations have the number `change`.
    pub fn next_request(&mut self, change: u64) -> PartRequest {
        // Meanwhile the entry may have received declarations from elsewhere.
        let is_of_use =
            |key: &CopyKey| key.change > change && key.base.is_none_or(|base| base == change);
        if !self.key.as_ref().is_some_and(is_of_use) {
            *self = Self::default();
        }
        PartRequest { change, begun: self.key, offset: self.received.len() as u64 }
    }

    /// Adds a part.
    pub fn receive(&mut self, part: &CopyPart) -> CopyProgress {
        if self.key != Some(part.key) || part.offset == 0 {
            *self = Self { key: Some(part.key), received: Vec::new() };
        }
        let begun = self.received.len() as u64;
        let end = begun + part.bytes.len() as u64;
        let is_next = part.offset == begun && !part.bytes.is_empty();
        if !is_next || end > part.key.length || part.key.length > MAX_BODY_BYTES as u64 {
            *self = Self::default();
            return CopyProgress::Damaged;
        }
        self.received.extend_from_slice(&part.bytes);
        if end < part.key.length {
            return CopyProgress::Incomplete;
        }
        let encoded = std::mem::take(self).received;
        match decode_body::<Option<DeclarationUpdate>>(&encoded) {
            Ok(Some(declarations)) if xxh3_64(&encoded) == part.key.hash => {
                CopyProgress::Complete { base: part.key.base.unwrap_or_default(), declarations }
            }
            _ => CopyProgress::Damaged,
        }
    }
}
