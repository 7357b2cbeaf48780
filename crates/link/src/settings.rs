//! Rate of a link and what of it packets may use.

use thiserror::Error;

/// Maximum of a stated rate, in Mbit/s. A higher one is a mistake in the unit.
pub const MAX_LINK_MBPS: f64 = 1_000_000.0;

/// Bytes per second that 1 Mbit/s carries.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Part of the rate that is left to the process's own control traffic.
const RESERVED_PART: f64 = 0.1;

/// Least reserve for control traffic, in bytes per second; entries use a few kilobytes per second for it.
const MIN_RESERVE: f64 = 8_000.0;

/// Most of the rate that the reserve may take, so that a thin link still carries packets.
const MAX_RESERVED_PART: f64 = 0.5;

/// Least rate that is scheduled, in bytes per second. Below it, waits would exceed the range of a timer.
const MIN_PACKET_RATE: f64 = 1_000.0;

/// Why a stated rate is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum LinkError {
    /// The rate is no finite number.
    #[error("must be a finite number")]
    NotFinite,
    /// The rate, in Mbit/s, is below 0 or too high.
    #[error("{0} Mbit/s is not in the range 0 to {MAX_LINK_MBPS}")]
    OutOfRange(f64),
}

/// Rate of an entry's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkSettings {
    mbps: f64,
}

impl LinkSettings {
    /// Checks a stated rate in Mbit/s. `None` for 0, which states no rate.
    ///
    /// # Errors
    /// The rate is not finite, negative or above [`MAX_LINK_MBPS`].
    pub fn from_mbps(mbps: f64) -> Result<Option<Self>, LinkError> {
        if !mbps.is_finite() {
            return Err(LinkError::NotFinite);
        }
        if !(0.0..=MAX_LINK_MBPS).contains(&mbps) {
            return Err(LinkError::OutOfRange(mbps));
        }
        Ok((mbps > 0.0).then_some(Self { mbps }))
    }

    /// Stated rate, in Mbit/s.
    #[must_use]
    pub fn mbps(&self) -> f64 {
        self.mbps
    }

    /// Rate at which packets are sent, in bytes per second: the stated one less the reserve.
    #[must_use]
    pub fn packet_rate(&self) -> f64 {
        let rate = self.mbps * BYTES_PER_MBIT;
        let reserve = (rate * RESERVED_PART).max(MIN_RESERVE).min(rate * MAX_RESERVED_PART);
        (rate - reserve).max(MIN_PACKET_RATE)
    }
}
