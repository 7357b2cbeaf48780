//! Announcements that targets send about themselves, and the order of one target's announcements.

use crate::keys::{DomainName, TargetId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use strum::{Display, EnumString};

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

impl Announcement {
    /// Whether routing treats this announcement like another one of the same target. They may differ in the
    /// sequence number, and in the remaining cold time if it is above 0 in both.
    #[must_use]
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let stamp = AnnouncementStamp { born_ms: self.stamp.born_ms, ..other.stamp };
        let adjusted = Self { stamp, cold_ms: other.cold_ms, ..self.clone() };
        adjusted == *other && (self.cold_ms == 0) == (other.cold_ms == 0)
    }
}
