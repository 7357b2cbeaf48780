//! Digests by which daemons compare targets without sending their announcements.

use comfreyhold_types::announcement::{Announcement, AnnouncementStamp};
use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Number of groups that daemons compare by digest. For a difference, they exchange only the group in
/// question.
const DIGEST_GROUPS: usize = 16;

/// Digests of the fields that routing depends on, one for each group of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetDigests([u32; DIGEST_GROUPS]);

impl TargetDigests {
    /// Adds a target to the digest of its group.
    pub(crate) fn add(&mut self, announcement: &Announcement) {
        let Announcement { id, stamp, address, availability, .. } = announcement;
        let digest = digest_of(&(id, stamp.born_ms, availability, address));
        self.0[TargetGroup::of(*id).0] ^= digest;
    }

    /// Returns the groups whose digests differ from those of another daemon.
    #[must_use]
    pub fn differing_groups(&self, other: &Self) -> BTreeSet<TargetGroup> {
        let differs = |group: &usize| self.0[*group] != other.0[*group];
        (0..DIGEST_GROUPS).filter(differs).map(TargetGroup).collect()
    }
}

/// Group of targets that share a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetGroup(usize);

impl TargetGroup {
    /// Returns the group of a target, which is the same at all daemons.
    #[must_use]
    pub fn of(id: TargetId) -> Self {
        let mut hasher = SipHasher13::new();
        id.hash(&mut hasher);
        Self(usize::try_from(hasher.finish() % DIGEST_GROUPS as u64).unwrap_or_default())
    }
}

/// Digest of the content of an announcement without its stamp and cold period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(u32);

impl ContentDigest {
    /// Returns the digest of an announcement, which is the same at all daemons.
    #[must_use]
    pub fn of(announcement: &Announcement) -> Self {
        let Announcement {
            id,
            stamp: _,
            service,
            address,
            domain,
            slots,
            availability,
            cold_ms: _,
        } = announcement;
        Self(digest_of(&(id, service, address, domain, slots, availability)))
    }
}

/// Repeated announcement of a target as daemons send it to each other. The digest shows a receiver that missed
/// a change that its own record is not what the stamp stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repetition {
    /// The target.
    pub id: TargetId,
    /// Stamp of its newest announcement.
    pub stamp: AnnouncementStamp,
    /// Digest of the content under that stamp.
    pub content: ContentDigest,
    /// Remaining cold period, in milliseconds.
    pub cold_ms: u64,
}

/// Returns a digest that is the same at all daemons.
fn digest_of(content: &impl Hash) -> u32 {
    let mut hasher = SipHasher13::new();
    content.hash(&mut hasher);
    let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}
