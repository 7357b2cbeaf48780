//! Hybrid logical clock: timestamps close to wall-clock time that never contradict causality.

use serde::{Deserialize, Serialize};

/// Furthest that a remote stamp may lie ahead of the local wall clock, in milliseconds. A stamp beyond
/// it is ignored, so that one instance with a wrong clock can't drag the others along.
pub const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// A point of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Distinguishes events within the same millisecond.
    pub counter: u32,
}

/// The clock of one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Stamps a local event or an outgoing message.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTimestamp {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTimestamp { wall_ms, counter: 0 }
        } else {
            HybridTimestamp { wall_ms: self.last.wall_ms, counter: self.last.counter + 1 }
        };
        self.last
    }

    /// Takes in the stamp of a received message, and stamps its receipt.
    pub fn receive(&mut self, wall_ms: u64, remote: HybridTimestamp) -> HybridTimestamp {
        let plausible = remote.wall_ms <= wall_ms.saturating_add(MAX_CLOCK_LEAD_MS);
        if plausible && remote > self.last {
            self.last = remote;
        }
        self.tick(wall_ms)
    }
}
