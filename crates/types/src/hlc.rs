//! Hybrid logical clock: timestamps that are close to wall-clock time and respect causality.

use serde::{Deserialize, Serialize};

/// Maximum lead of a received timestamp over the local wall clock, in milliseconds. Timestamps further ahead
/// are ignored, so that one instance with a wrong clock can't advance the clocks of all others.
pub const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Timestamp of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders events within the same millisecond.
    pub counter: u32,
}

/// Hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Returns the timestamp for a local event or an outgoing message.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTimestamp {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTimestamp { wall_ms, counter: 0 }
        } else {
            HybridTimestamp { wall_ms: self.last.wall_ms, counter: self.last.counter + 1 }
        };
        self.last
    }

    /// Merges the timestamp of a received message and returns the timestamp of its receipt.
    pub fn receive(&mut self, wall_ms: u64, remote: HybridTimestamp) -> HybridTimestamp {
        let is_plausible = remote.wall_ms <= wall_ms.saturating_add(MAX_CLOCK_LEAD_MS);
        if is_plausible && remote > self.last {
            self.last = remote;
        }
        self.tick(wall_ms)
    }
}
