//! Announcements that targets send about themselves, and the order of one target's announcements.

use crate::keys::{DomainName, TargetId};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use strum::{Display, EnumString};
use thiserror::Error;

/// Longest name of a service or failure domain in an announcement, in bytes.
pub const MAX_NAME_BYTES: usize = 255;

/// Maximum number of slots that a target may announce. More would draw every new flow to it.
pub const MAX_SLOTS: u32 = 10_000;

/// Longest cold period that a target may announce, in milliseconds: one hour.
pub const MAX_COLD_MS: u64 = 3_600_000;

/// Latest start that a target may announce, in milliseconds since the Unix epoch: the start of the year 2200.
/// The target that started last holds an address, so a start without a bound would take the address from
/// every later target there. The bound is fixed, so that no wall clock that is set wrong refuses targets.
pub const MAX_BORN_MS: u64 = 7_258_118_400_000;

/// Highest sequence number that a target may announce. A higher one would leave none for the end of the
/// target and for its later announcements.
pub const MAX_SEQUENCE: u64 = u64::MAX / 2;

/// Why an announcement is refused. It names no target to use, and all records stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// The id is 0, which on the fabric means any target.
    #[error("the id must not be 0")]
    NoId,
    /// The name of the service or failure domain is empty or too long.
    #[error("the names of service and domain must have 1 to {MAX_NAME_BYTES} bytes")]
    Name,
    /// The address can't be that of a target.
    #[error("{0} is not the address and port of a target")]
    Address(SocketAddrV4),
    /// The number of slots is out of range.
    #[error("{0} slots: 1 to {MAX_SLOTS} are allowed")]
    Slots(u32),
    /// The cold period is out of range.
    #[error("cold for {0} ms: at most {MAX_COLD_MS} ms are allowed")]
    Cold(u64),
    /// The start of the target is out of range.
    #[error("started at {0} ms: at most {MAX_BORN_MS} ms are allowed")]
    Born(u64),
    /// The sequence number is out of range.
    #[error("sequence number {0}: at most {MAX_SEQUENCE} are allowed")]
    Sequence(u64),
}

/// Whether a target accepts new flows.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Availability {
    /// Accepts new flows.
    Serving,
    /// Keeps its flows and accepts no new ones.
    Draining,
    /// The target has announced that it is ending.
    Ended,
}

/// Orders the announcements of one target: by start of its process, then by sequence number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AnnouncementStamp {
    /// When the target's process started, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
    /// Number of the announcement since that start.
    pub sequence: u64,
}

/// A target's announcement of its address, capacity and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity assigned to the target.
    pub id: TargetId,
    /// Position among the target's announcements.
    pub stamp: AnnouncementStamp,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address and port on which it receives packets.
    pub address: SocketAddrV4,
    /// Name of its failure domain.
    pub domain: DomainName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new flows.
    pub availability: Availability,
    /// Remaining time for which it is cold, in milliseconds; 0 for a warm target.
    pub cold_ms: u64,
}

/// Position among the announcements of one target: the start of its incarnation, whether it is the end of that, and its
/// number.
pub type AnnouncementPosition = (u64, bool, u64);

impl Announcement {
    /// Checks that each field is in its range.
    ///
    /// # Errors
    /// The first field that is not.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        if self.id == TargetId(0) {
            return Err(AnnouncementError::NoId);
        }
        if !is_name(&self.service) || !is_name(&self.domain.0) {
            return Err(AnnouncementError::Name);
        }
        if !is_unicast(*self.address.ip()) || self.address.port() == 0 {
            return Err(AnnouncementError::Address(self.address));
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Err(AnnouncementError::Slots(self.slots));
        }
        if self.cold_ms > MAX_COLD_MS {
            return Err(AnnouncementError::Cold(self.cold_ms));
        }
        if self.stamp.born_ms > MAX_BORN_MS {
            return Err(AnnouncementError::Born(self.stamp.born_ms));
        }
        // The end of a target is the announcement after its last one.
        let is_end = self.availability == Availability::Ended;
        if self.stamp.sequence > MAX_SEQUENCE + u64::from(is_end) {
            return Err(AnnouncementError::Sequence(self.stamp.sequence));
        }
        Ok(())
    }

    /// Position among the announcements of one target: by start, and then by number. The end of an incarnation comes
    /// last, whatever its number: a daemon that reports an end may have missed the numbers before it.
    #[must_use]
    pub fn position(&self) -> AnnouncementPosition {
        let is_end = self.availability == Availability::Ended;
        (self.stamp.born_ms, is_end, self.stamp.sequence)
    }

    /// Returns the end of the announced incarnation.
    #[must_use]
    pub fn end(&self) -> Self {
        let sequence = self.stamp.sequence + 1;
        let stamp = AnnouncementStamp { sequence, ..self.stamp };
        Self { stamp, availability: Availability::Ended, cold_ms: 0, ..self.clone() }
    }

    /// Whether routing treats this announcement like another one of the same target. They may differ in the
    /// sequence number, and in the remaining cold time if it is above 0 in both.
    #[must_use]
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let stamp = AnnouncementStamp { born_ms: self.stamp.born_ms, ..other.stamp };
        let adjusted = Self { stamp, cold_ms: other.cold_ms, ..self.clone() };
        adjusted == *other && (self.cold_ms == 0) == (other.cold_ms == 0)
    }
}

fn is_unicast(ip: Ipv4Addr) -> bool {
    !ip.is_unspecified() && !ip.is_broadcast() && !ip.is_multicast()
}
