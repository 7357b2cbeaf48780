//! What targets say about themselves, and the order of what they say.

use crate::keys::{DomainName, TargetId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use strum::{Display, EnumString};

/// Whether a target takes new flows.
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
    /// It takes new flows.
    Serving,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// It has said that it ends.
    Ended,
}

/// Position of an announcement among all of one target: a later start goes before a later announcement.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AnnouncementStamp {
    /// When the target's process started, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
    /// Number of the announcement since then.
    pub sequence: u64,
}

/// One announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity that the target was given.
    pub id: TargetId,
    /// Position among its announcements.
    pub stamp: AnnouncementStamp,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub availability: Availability,
    /// How much longer it stays cold, in milliseconds.
    pub cold_ms: u64,
}

impl Announcement {
    /// Whether routing depends on the difference to another announcement of the same target.
    #[must_use]
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let stamp = AnnouncementStamp { born_ms: self.stamp.born_ms, ..other.stamp };
        let same = Self { stamp, cold_ms: other.cold_ms, ..self.clone() };
        same == *other && (self.cold_ms == 0) == (other.cold_ms == 0)
    }
}
