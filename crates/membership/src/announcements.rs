//! The targets that have announced themselves, as one control daemon knows them.
//!
//! Announcements arrive from targets and from other control daemons, in any order and more than once.
//! They are ordered by the target's start and number, so that all daemons come to the same records. They
//! are soft state: targets repeat them, and a restarted daemon learns them again.

use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// Time for which the record of an ended target is kept. Delayed announcements are held up by a partition
/// for seconds; without the record they would bring the target back.
const KEEP_ENDED: Duration = Duration::from_secs(300);

/// Time for which other daemons are told that a target has ended. It is shorter than the record is kept, so that
/// daemons that forget it at different times do not remind each other for ever.
const TELL_ENDED: Duration = Duration::from_secs(150);

/// A cold period is reported again when it ends later than known by more than this. Smaller differences
/// come from the delay of announcements.
const COLD_SLACK: Duration = Duration::from_millis(300);

/// Most records, so that a faulty announcer can't exhaust the memory. Several times the targets that the
/// system is designed for.
const MAX_RECORDS: usize = 20_000;

/// Groups of targets that are compared between daemons. A difference costs the exchange of one group only.
const GROUPS: usize = 16;

/// Digests of what routing depends on, one for each group of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetDigests([u32; GROUPS]);

impl TargetDigests {
    /// The groups in which these digests differ from others.
    #[must_use]
    pub fn differing_groups(&self, other: &Self) -> BTreeSet<TargetGroup> {
        let differs = |group: &usize| self.0[*group] != other.0[*group];
        (0..GROUPS).filter(differs).map(TargetGroup).collect()
    }
}

/// One of the groups that targets are divided into.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetGroup(usize);

impl TargetGroup {
    /// The group of a target.
    #[must_use]
    pub fn of(id: TargetId) -> Self {
        let mut hasher = SipHasher13::new();
        id.hash(&mut hasher);
        Self(usize::try_from(hasher.finish() % GROUPS as u64).unwrap_or_default())
    }
}

/// What an announcement came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AnnouncementOutcome {
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
    /// Digests of the records as they are, once they were asked for.
    digests: Cell<Option<TargetDigests>>,
}

impl Announcements {
    /// Creates an empty set. A target unheard for `silence` is reported as silent.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        let (records, holders, digests) = Default::default();
        Self { records, holders, silence, revision: 0, digests }
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
            if self.apply(&announcement, now) == AnnouncementOutcome::Changed
                && let Some(record) = self.records.get_mut(&announcement.id)
            {
                record.heard = heard;
                record.restored = true;
            }
        }
    }

    /// Everything that is worth saving for the next start.
    #[must_use]
    pub fn announcements_to_save(&self) -> Vec<Announcement> {
        let records = self.records.values().filter(|record| !record.silent);
        records.map(|record| record.announcement.clone()).collect()
    }

    /// Takes in an announcement.
    pub fn apply(&mut self, announcement: &Announcement, now: Instant) -> AnnouncementOutcome {
        self.take_address(announcement, now);
        if self.is_older(announcement) {
            return AnnouncementOutcome::Stale;
        }
        if !self.records.contains_key(&announcement.id) && self.records.len() >= MAX_RECORDS {
            log::warn!("{}: too many targets, announcement left out", announcement.id);
            return AnnouncementOutcome::Stale;
        }
        if self.is_displaced(announcement) {
            self.record_displaced(announcement, now);
            return AnnouncementOutcome::Stale;
        }
        let cold_until = now + Duration::from_millis(announcement.cold_ms);
        let known = self.records.get(&announcement.id);
        let refreshed = known.is_some_and(|known| {
            announcement.routes_like(&known.announcement)
                && cold_until <= known.cold_until.max(now) + COLD_SLACK
                && !known.silent
        });
        if !refreshed || known.is_some_and(|known| known.restored) {
            self.digests.set(None);
        }
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
        if refreshed { AnnouncementOutcome::Refreshed } else { AnnouncementOutcome::Changed }
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
            let newer = stamp.sequence > known.sequence;
            if (newer || (record.restored && *stamp == known))
                && record.announcement.availability != Availability::Ended
            {
                let left = record.cold_until.saturating_duration_since(now);
                let mut announcement = record.announcement.clone();
                announcement.stamp = *stamp;
                announcement.cold_ms = millis(left);
                self.apply(&announcement, now);
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
        self.digests.set(None);
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
                self.digests.set(None);
                record.displaced = true;
                record.announcement.availability = Availability::Ended;
                self.revision += 1;
                record.changed = self.revision;
            }
        }
    }

    /// Marks targets that have fallen silent, and forgets ended ones. Returns the newly silent ones.
    pub fn check_timeouts(&mut self, now: Instant) -> Vec<TargetId> {
        let before = self.records.len();
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
        if !fallen.is_empty() || self.records.len() != before {
            self.digests.set(None);
        }
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
        let told = self.records.values().filter(|record| record.is_told(now));
        told.map(|record| record.told(now)).collect()
    }

    /// The newest announcements of some targets, as far as [`Self::all`] has them.
    #[must_use]
    pub fn by_ids(&self, ids: &[TargetId], now: Instant) -> Vec<Announcement> {
        let known = ids.iter().filter_map(|id| self.records.get(id));
        known.filter(|record| record.is_told(now)).map(|record| record.told(now)).collect()
    }

    /// What a daemon that has started anew is told at once: the targets that announce themselves here, and those
    /// that take no more flows. Others tell it the rest, and later digests show what is still missing.
    #[must_use]
    pub fn for_restarted_daemon(&self, heard_here: &[TargetId], now: Instant) -> Vec<Announcement> {
        let mut told = self.by_ids(heard_here, now);
        let takes_none = |record: &&Record| {
            record.is_told(now) && record.announcement.availability != Availability::Serving
        };
        let known = |id: &TargetId| heard_here.contains(id);
        let rest = self.records.iter().filter(|(id, record)| takes_none(record) && !known(id));
        told.extend(rest.map(|(_, record)| record.told(now)));
        told
    }

    /// The newest starts and numbers of some targets, as far as [`Self::all`] has them.
    #[must_use]
    pub fn stamps(&self, ids: &[TargetId], now: Instant) -> Vec<(TargetId, AnnouncementStamp)> {
        let known = ids.iter().filter_map(|id| Some((*id, self.records.get(id)?)));
        let told = known.filter(|(_, record)| record.is_told(now));
        told.map(|(id, record)| (id, record.announcement.stamp)).collect()
    }

    /// The newest announcements of the targets of some groups, as far as [`Self::all`] has them.
    #[must_use]
    pub fn in_groups(&self, groups: &BTreeSet<TargetGroup>, now: Instant) -> Vec<Announcement> {
        let there = |id: &TargetId| groups.contains(&TargetGroup::of(*id));
        let told = self.records.iter().filter(|(id, record)| record.is_told(now) && there(id));
        told.map(|(_, record)| record.told(now)).collect()
    }

    /// Digests of what routing depends on. Daemons with equal ones need not exchange their records.
    #[must_use]
    pub fn digests(&self) -> TargetDigests {
        if let Some(digests) = self.digests.get() {
            return digests;
        }
        let mut digests = TargetDigests::default();
        for (id, record) in self.records.iter().filter(|(_, record)| record.is_compared()) {
            let mut hasher = SipHasher13::new();
            let announcement = &record.announcement;
            id.hash(&mut hasher);
            announcement.stamp.born_ms.hash(&mut hasher);
            announcement.availability.hash(&mut hasher);
            announcement.address.hash(&mut hasher);
            let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
            digests.0[TargetGroup::of(*id).0] ^= u32::from_le_bytes([a, b, c, d]);
        }
        self.digests.set(Some(digests));
        digests
    }

    /// Number of records that are neither silent nor ended.
    #[must_use]
    pub fn live_count(&self) -> usize {
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
    fn has_ended(&self) -> bool {
        self.announcement.availability == Availability::Ended
    }

    /// Whether other daemons are told about it.
    fn is_told(&self, now: Instant) -> bool {
        let forgotten_soon = self.has_ended() && now >= self.heard + TELL_ENDED;
        !self.silent && !self.restored && !forgotten_soon
    }

    /// Whether it shows in the digests. The ends of targets do not: they are told at once, and forgotten at
    /// different times.
    fn is_compared(&self) -> bool {
        !self.silent && !self.restored && !self.has_ended()
    }

    /// The announcement with the rest of the cold period.
    fn told(&self, now: Instant) -> Announcement {
        let cold_ms = millis(self.cold_until.saturating_duration_since(now));
        Announcement { cold_ms, ..self.announcement.clone() }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
