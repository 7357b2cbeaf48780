//! The targets that have announced themselves, as one control daemon knows them.
//!
//! Announcements arrive from targets and from other control daemons, in any order and more than once.
//! They are ordered by the target's start and number, so that all daemons come to the same records. They
//! are soft state: targets repeat them, and a restarted daemon learns them again.

use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// Time for which the record of an ended target is kept. Delayed announcements are held up by a partition
/// for seconds; without the record they would bring the target back.
const KEEP_ENDED: Duration = Duration::from_secs(300);

/// A cold period is reported again when it ends later than known by more than this. Smaller differences
/// come from the delay of announcements.
const COLD_SLACK: Duration = Duration::from_millis(300);

/// Most records, so that a faulty announcer can't exhaust the memory. Several times the targets that the
/// system is designed for.
const MAX_RECORDS: usize = 20_000;

/// What an announcement came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Heard {
    /// Routing depends on what it says.
    Changed,
    /// It repeats what is known.
    Refreshed,
    /// A later one is known, or its target has ended.
    Stale,
}

/// A target as told to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Its newest announcement, with the rest of its cold period.
    pub announcement: Announcement,
    /// Whether no daemon has heard it for longer than the silence limit.
    pub silent: bool,
}

#[derive(Clone, Debug)]
struct Record {
    announcement: Announcement,
    heard: Instant,
    cold_until: Instant,
    silent: bool,
    /// Whether another target has taken over its address, so that nothing more counts from this start.
    displaced: bool,
    /// Whether it comes from before the start of this process and was not repeated since.
    restored: bool,
    changed: u64,
}

/// The latest start that was heard at an address, whether its own record still says so or not.
#[derive(Clone, Copy, Debug)]
struct Holder {
    start: (u64, TargetId),
    heard: Instant,
}

/// All records of one daemon.
pub struct Announcements {
    records: BTreeMap<TargetId, Record>,
    holders: BTreeMap<SocketAddrV4, Holder>,
    silence: Duration,
    revision: u64,
}

impl Announcements {
    /// Creates an empty set. A target unheard for `silence` is reported as silent.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        Self { records: BTreeMap::new(), holders: BTreeMap::new(), silence, revision: 0 }
    }

    /// Number that grows with every change that entries need to know.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in the records of an earlier start of this process. They count as heard for `trust`, within
    /// which each target repeats its announcement, and are not passed on to other daemons.
    pub fn restore(&mut self, saved: Vec<Announcement>, trust: Duration, now: Instant) {
        let Some(heard) = (now + trust).checked_sub(self.silence) else { return };
        for mut announcement in saved {
            announcement.cold_ms = 0;
            if self.hear(&announcement, now) == Heard::Changed
                && let Some(record) = self.records.get_mut(&announcement.id)
            {
                record.heard = heard;
                record.restored = true;
            }
        }
    }

    /// Everything that is worth saving for the next start.
    #[must_use]
    pub fn to_save(&self) -> Vec<Announcement> {
        let records = self.records.values().filter(|record| !record.silent);
        records.map(|record| record.announcement.clone()).collect()
    }

    /// Takes in an announcement.
    pub fn hear(&mut self, announcement: &Announcement, now: Instant) -> Heard {
        self.take_address(announcement, now);
        if self.is_older(announcement) {
            return Heard::Stale;
        }
        if !self.records.contains_key(&announcement.id) && self.records.len() >= MAX_RECORDS {
            log::warn!("{}: too many targets, announcement left out", announcement.id);
            return Heard::Stale;
        }
        if self.is_displaced(announcement) {
            self.record_displaced(announcement, now);
            return Heard::Stale;
        }
        let cold_until = now + Duration::from_millis(announcement.cold_ms);
        let known = self.records.get(&announcement.id);
        let refreshed = known.is_some_and(|known| {
            announcement.routes_like(&known.announcement)
                && cold_until <= known.cold_until.max(now) + COLD_SLACK
                && !known.silent
                && !known.restored
        });
        let changed = if refreshed {
            known.map_or(0, |known| known.changed)
        } else {
            self.revision += 1;
            self.revision
        };
        let record = Record {
            announcement: announcement.clone(),
            heard: now,
            cold_until,
            silent: false,
            displaced: false,
            restored: false,
            changed,
        };
        self.records.insert(announcement.id, record);
        if refreshed { Heard::Refreshed } else { Heard::Changed }
    }

    /// Takes in that another daemon has heard these announcements, whose content is known here. Returns
    /// those that are not.
    pub fn refresh(
        &mut self,
        stamps: &[(TargetId, AnnouncementStamp)],
        now: Instant,
    ) -> Vec<TargetId> {
        let mut unknown = Vec::new();
        for (id, stamp) in stamps {
            let Some(record) = self.records.get(id) else {
                unknown.push(*id);
                continue;
            };
            let known = record.announcement.stamp;
            if stamp.born_ms != known.born_ms || record.displaced {
                if stamp.born_ms > known.born_ms {
                    unknown.push(*id);
                }
                continue;
            }
            if stamp.sequence > known.sequence
                && record.announcement.availability != Availability::Ended
            {
                let left = record.cold_until.saturating_duration_since(now);
                let mut announcement = record.announcement.clone();
                announcement.stamp = *stamp;
                announcement.cold_ms = millis(left);
                self.hear(&announcement, now);
            }
        }
        unknown
    }

    fn is_older(&self, announcement: &Announcement) -> bool {
        let known = self.records.get(&announcement.id);
        known.is_some_and(|known| {
            let stamp = known.announcement.stamp;
            let ended = known.announcement.availability == Availability::Ended || known.displaced;
            // A restored record is repeated by its target, maybe from a start with the same numbers.
            let repeated = known.restored && announcement.stamp == stamp;
            (announcement.stamp <= stamp && !repeated)
                || (ended && announcement.stamp.born_ms <= stamp.born_ms)
        })
    }

    /// Whether a target that started later holds the address of this one.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        let holder = self.holders.get(&announcement.address);
        holder.is_some_and(|holder| holder.ends(announcement))
    }

    /// Records a start that has ended already, since it ends every earlier start of its target.
    fn record_displaced(&mut self, announcement: &Announcement, now: Instant) {
        self.revision += 1;
        let record = Record {
            announcement: Announcement {
                availability: Availability::Ended,
                ..announcement.clone()
            },
            heard: now,
            cold_until: now,
            silent: false,
            displaced: true,
            restored: false,
            changed: self.revision,
        };
        self.records.insert(announcement.id, record);
    }

    /// The target that started last holds an address; earlier ones there have ended.
    fn take_address(&mut self, announcement: &Announcement, now: Instant) {
        let start = (announcement.stamp.born_ms, announcement.id);
        let holder = Holder { start, heard: now };
        match self.holders.get_mut(&announcement.address) {
            Some(known) if known.start > start => return,
            Some(known) if known.start == start => {
                known.heard = now;
                return;
            }
            _ => self.holders.insert(announcement.address, holder),
        };
        for record in self.records.values_mut() {
            let there = record.announcement.address == announcement.address;
            if there && !record.displaced && holder.ends(&record.announcement) {
                record.displaced = true;
                record.announcement.availability = Availability::Ended;
                self.revision += 1;
                record.changed = self.revision;
            }
        }
    }

    /// Marks targets that have fallen silent, and forgets ended ones. Returns the newly silent ones.
    pub fn check_silence(&mut self, now: Instant) -> Vec<TargetId> {
        let (silence, revision) = (self.silence, &mut self.revision);
        let mut fallen = Vec::new();
        for (id, record) in &mut self.records {
            let alive = record.announcement.availability != Availability::Ended;
            if alive && !record.silent && now >= record.heard + silence {
                record.silent = true;
                *revision += 1;
                record.changed = *revision;
                fallen.push(*id);
            }
        }
        let gone = |record: &Record| {
            let ended = record.announcement.availability == Availability::Ended || record.silent;
            ended && now >= record.heard + KEEP_ENDED
        };
        self.records.retain(|_, record| !gone(record));
        let records = &self.records;
        self.holders.retain(|_, holder| {
            records.contains_key(&holder.start.1) || now < holder.heard + KEEP_ENDED
        });
        fallen
    }

    /// Targets that changed after a revision; all of them for revision 0.
    #[must_use]
    pub fn changed_since(&self, revision: u64, now: Instant) -> Vec<TargetReport> {
        let changed = self.records.values().filter(|record| record.changed > revision);
        changed
            .map(|record| TargetReport { announcement: record.told(now), silent: record.silent })
            .collect()
    }

    /// The newest announcements of all targets that are not silent, for another daemon.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<Announcement> {
        let told = self.records.values().filter(|record| !record.silent && !record.restored);
        told.map(|record| record.told(now)).collect()
    }

    /// The newest announcements of some targets.
    #[must_use]
    pub fn named(&self, ids: &[TargetId], now: Instant) -> Vec<Announcement> {
        self.all(now).into_iter().filter(|announcement| ids.contains(&announcement.id)).collect()
    }

    /// Digest of what routing depends on. Daemons with equal digests need not exchange their records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for record in self.records.values().filter(|record| !record.silent && !record.restored) {
            let mut hasher = SipHasher13::new();
            let announcement = &record.announcement;
            announcement.id.hash(&mut hasher);
            announcement.stamp.born_ms.hash(&mut hasher);
            announcement.availability.hash(&mut hasher);
            announcement.address.hash(&mut hasher);
            digest ^= hasher.finish();
        }
        digest
    }

    /// Number of records that are neither silent nor ended.
    #[must_use]
    pub fn live(&self) -> usize {
        let live = |record: &&Record| {
            !record.silent && record.announcement.availability != Availability::Ended
        };
        self.records.values().filter(live).count()
    }
}

impl Holder {
    /// Whether the start of another target must have ended before this one.
    fn ends(&self, other: &Announcement) -> bool {
        self.start.1 != other.id && self.start > (other.stamp.born_ms, other.id)
    }
}

impl Record {
    /// The announcement with the rest of the cold period.
    fn told(&self, now: Instant) -> Announcement {
        let cold_ms = millis(self.cold_until.saturating_duration_since(now));
        Announcement { cold_ms, ..self.announcement.clone() }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
