//! Records of the targets that have announced themselves, at one control daemon.
//!
//! Announcements arrive from targets and from other control daemons, in any order and more than once. They
//! are ordered by the incarnation of the target (`born_ms`) and then by sequence number, so that all daemons
//! converge to the same records. The records are soft state: targets repeat their announcements, from which
//! a restarted daemon rebuilds the records. Daemons send repetitions to each other without their content, and
//! with a digest of it.
//!
//! An announcement has a record, and with it a claim on its id and address, only if a publication has named its
//! service. Another one is held for a short time, since the publication may arrive later.

pub use crate::digests::{ContentDigest, Repetition, TargetDigests, TargetGroup};
pub use aged::{AgedRepetition, RefreshOutcome};

mod aged;
mod sent;

use comfreyhold_types::announcement::{Announcement, Availability, MAX_COLD_MS, MAX_SEQUENCE};
use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// The record of an ended target is kept for this long. Without the record, announcements that a partition
/// has delayed, by seconds, would restore the target.
const ENDED_RETENTION: Duration = Duration::from_secs(300);

/// The end of a target is sent to other daemons for this long. This is shorter than `ENDED_RETENTION`, since
/// daemons that remove the record at different times would otherwise send it to each other for ever.
const ENDED_DISSEMINATION: Duration = Duration::from_secs(150);

/// A cold period counts as changed when its end is later than recorded by more than this. Smaller
/// differences come from the delay of announcements.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);

/// Maximum number of records, so that a faulty sender can't exhaust the memory. Announcements of further
/// targets are dropped. The bound is several times the number of targets that the system is designed for.
const MAX_RECORDS: usize = 20_000;

/// Maximum number of announcements that are held until a publication names their service. Further ones are
/// dropped; their targets repeat them.
const MAX_HELD: usize = 5_000;

/// Effect of an announcement on the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AnnouncementOutcome {
    /// It changed a field that routing depends on.
    Changed,
    /// It repeated the recorded content.
    Refreshed,
    /// It was ignored, since a later one is recorded or the target has ended.
    Stale,
    /// No publication has named its service. It changes no record, and is applied if one does soon.
    Held,
}

/// State of a target as sent to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The newest announcement, with the remaining cold period.
    pub announcement: Announcement,
    /// Whether the target has timed out: no daemon has received an announcement of it in time.
    pub silent: bool,
}

#[derive(Clone, Debug)]
struct AnnouncementRecord {
    announcement: Announcement,
    last_seen: Instant,
    cold_until: Instant,
    is_timed_out: bool,
    /// Whether a later target has taken over the address, so that this incarnation has ended.
    is_displaced: bool,
    /// Whether the record was restored from disk and no announcement has confirmed it since.
    is_restored: bool,
    /// Revision of the last change that entries need.
    changed_at: u64,
}

/// Latest incarnation that has announced an address. Its record may have a different address by now.
#[derive(Clone, Copy, Debug)]
struct AddressHolder {
    /// `born_ms` and target.
    incarnation: (u64, TargetId),
    last_seen: Instant,
}

/// Announcement of a target whose service no publication has named.
#[derive(Clone, Debug)]
struct HeldAnnouncement {
    announcement: Announcement,
    received: Instant,
}

/// Records of all targets at one daemon.
pub struct Announcements {
    records: BTreeMap<TargetId, AnnouncementRecord>,
    held: BTreeMap<TargetId, HeldAnnouncement>,
    /// Services that any publication known to this process has named.
    named_services: BTreeSet<String>,
    holders: BTreeMap<SocketAddrV4, AddressHolder>,
    timeout: Duration,
    revision: u64,
    /// Number of changes of any record, with those that entries don't need.
    record_changes: u64,
    /// Digests of the current records; `None` until they are requested.
    cached_digests: Cell<Option<TargetDigests>>,
}

impl Announcements {
    /// Creates an empty set. A target without an announcement for `timeout` is reported as `silent`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let (records, held, named_services, holders, cached_digests) = Default::default();
        let (revision, record_changes) = (0, 0);
        Self {
            records,
            held,
            named_services,
            holders,
            timeout,
            revision,
            record_changes,
            cached_digests,
        }
    }

    /// Adds services that a publication has named, and applies the announcements that were held for them. Returns
    /// the targets that these have changed.
    pub fn add_services<'a>(
        &mut self,
        names: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) -> Vec<TargetId> {
        let count = self.named_services.len();
        for name in names {
            if !self.named_services.contains(name) {
                self.named_services.insert(name.to_owned());
            }
        }
        if self.named_services.len() == count {
            return Vec::new();
        }
        let named_services = &self.named_services;
        let is_named = |_: &TargetId, held: &mut HeldAnnouncement| {
            named_services.contains(&held.announcement.service)
        };
        let released: Vec<_> = self.held.extract_if(.., is_named).collect();
        let mut changed = Vec::new();
        for (id, mut held) in released {
            let waited = millis(now.saturating_duration_since(held.received));
            held.announcement.cold_ms = held.announcement.cold_ms.saturating_sub(waited);
            if self.apply(&held.announcement, now) == AnnouncementOutcome::Changed {
                changed.push(id);
            }
        }
        changed
    }

    /// Number of the last change that entries need.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of changes of any record. Unlike [`Self::revision`] it also counts repetitions and removals.
    #[must_use]
    pub fn record_changes(&self) -> u64 {
        self.record_changes
    }

    /// Restores the records saved by an earlier run of this process, whose services a publication had named. A
    /// record times out after `trust` unless the target repeats its announcement, and is not sent to other daemons
    /// before that repetition. A target is cold for as long as it was when it was saved: the time since then is not known,
    /// as the time of day may jump.
    pub fn restore(&mut self, saved: Vec<Announcement>, trust: Duration, now: Instant) {
        let Some(last_seen) = (now + trust).checked_sub(self.timeout) else { return };
        for announcement in saved.into_iter().filter(|saved| saved.check().is_ok()) {
            self.named_services.insert(announcement.service.clone());
            if self.apply(&announcement, now) == AnnouncementOutcome::Changed
                && let Some(record) = self.records.get_mut(&announcement.id)
            {
                record.last_seen = last_seen;
                record.is_restored = true;
            }
        }
    }

    /// Returns the announcements to save for `restore` after a restart, with the remaining cold periods: those of targets
    /// that have not timed out.
    #[must_use]
    pub fn announcements_to_save(&self, now: Instant) -> Vec<Announcement> {
        let records = self.records.values().filter(|record| !record.is_timed_out);
        records.map(|record| record.current_announcement(now)).collect()
    }

    /// Applies an announcement and returns its effect.
    pub fn apply(&mut self, announcement: &Announcement, now: Instant) -> AnnouncementOutcome {
        if !self.named_services.contains(&announcement.service) {
            return self.hold(announcement, now);
        }
        self.claim_address(announcement, now);
        if self.is_stale(announcement) {
            return AnnouncementOutcome::Stale;
        }
        if !self.records.contains_key(&announcement.id) && self.records.len() >= MAX_RECORDS {
            log::warn!("{}: too many targets, announcement dropped", announcement.id);
            return AnnouncementOutcome::Stale;
        }
        if self.is_displaced(announcement) {
            self.insert_displaced(announcement, now);
            return AnnouncementOutcome::Stale;
        }
        let cold_until = now + Duration::from_millis(announcement.cold_ms);
        let known = self.records.get(&announcement.id);
        let is_refresh = known.is_some_and(|known| {
            announcement.has_same_routing(&known.announcement)
                && cold_until <= known.cold_until.max(now) + COLD_TOLERANCE
                && !known.is_timed_out
        });
        if !is_refresh || known.is_some_and(|known| known.is_restored) {
            self.cached_digests.set(None);
        }
        let changed_at = if is_refresh {
            known.map_or(0, |known| known.changed_at)
        } else {
            self.revision += 1;
            self.revision
        };
        let record = AnnouncementRecord {
            announcement: announcement.clone(),
            last_seen: now,
            cold_until,
            is_timed_out: false,
            is_displaced: false,
            is_restored: false,
            changed_at,
        };
        self.record_changes += 1;
        self.records.insert(announcement.id, record);
        if is_refresh { AnnouncementOutcome::Refreshed } else { AnnouncementOutcome::Changed }
    }

    /// Holds an announcement until a publication names its service.
    fn hold(&mut self, announcement: &Announcement, now: Instant) -> AnnouncementOutcome {
        let known = self.held.get(&announcement.id).map(|held| held.announcement.position());
        if known.is_some_and(|known| announcement.position() <= known) {
            return AnnouncementOutcome::Stale;
        }
        if known.is_none() && self.held.len() >= MAX_HELD {
            log::warn!("{}: too many targets of unknown services", announcement.id);
            return AnnouncementOutcome::Stale;
        }
        let held = HeldAnnouncement { announcement: announcement.clone(), received: now };
        self.held.insert(announcement.id, held);
        AnnouncementOutcome::Held
    }

    /// Applies announcements that another daemon has received again. Returns the targets whose content under that
    /// stamp is not recorded here: their records stay as they are until the content arrives.
    pub fn refresh(&mut self, repetitions: &[Repetition], now: Instant) -> Vec<TargetId> {
        let mut unknown = Vec::new();
        for repetition in repetitions {
            let Some(record) = self.records.get(&repetition.id) else {
                unknown.push(repetition.id);
                continue;
            };
            let (stamp, known) = (repetition.stamp, record.announcement.stamp);
            if stamp.born_ms != known.born_ms || record.is_displaced {
                if stamp.born_ms > known.born_ms {
                    unknown.push(repetition.id);
                }
                continue;
            }
            let is_newer = stamp.sequence > known.sequence && stamp.sequence <= MAX_SEQUENCE;
            let is_confirmation = record.is_restored && stamp == known;
            if record.has_ended() || !(is_newer || is_confirmation) {
                continue;
            }
            if repetition.content != ContentDigest::of(&record.announcement) {
                unknown.push(repetition.id);
                continue;
            }
            let cold_ms = repetition.cold_ms.min(MAX_COLD_MS);
            let announcement = Announcement { stamp, cold_ms, ..record.announcement.clone() };
            self.apply(&announcement, now);
        }
        unknown
    }

    /// Whether an announcement is ignored, since a later one is recorded or its incarnation has ended.
    fn is_stale(&self, announcement: &Announcement) -> bool {
        let Some(known) = self.records.get(&announcement.id) else { return false };
        let (position, latest) = (announcement.position(), known.announcement.position());
        // A restored record is confirmed by a repetition, which may have the same stamp.
        let is_repetition = known.is_restored && position == latest;
        let born_ms = announcement.stamp.born_ms;
        (position <= latest && !is_repetition)
            || (known.has_ended() && born_ms <= known.announcement.stamp.born_ms)
    }

    /// Whether a target that started later holds the announced address.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        let holder = self.holders.get(&announcement.address);
        holder.is_some_and(|holder| holder.displaces(announcement))
    }

    /// Inserts the record of an incarnation that has ended already, because it supersedes every earlier one of
    /// its target.
    fn insert_displaced(&mut self, announcement: &Announcement, now: Instant) {
        self.cached_digests.set(None);
        self.record_changes += 1;
        self.revision += 1;
        let record = AnnouncementRecord {
            announcement: Announcement {
                availability: Availability::Ended,
                ..announcement.clone()
            },
            last_seen: now,
            cold_until: now,
            is_timed_out: false,
            is_displaced: true,
            is_restored: false,
            changed_at: self.revision,
        };
        self.records.insert(announcement.id, record);
    }

    /// Assigns the address to the target that started last, and ends earlier targets there.
    fn claim_address(&mut self, announcement: &Announcement, now: Instant) {
        let incarnation = (announcement.stamp.born_ms, announcement.id);
        let holder = AddressHolder { incarnation, last_seen: now };
        match self.holders.get_mut(&announcement.address) {
            Some(known) if known.incarnation > incarnation => return,
            Some(known) if known.incarnation == incarnation => {
                known.last_seen = now;
                return;
            }
            _ => self.holders.insert(announcement.address, holder),
        };
        for record in self.records.values_mut() {
            let is_same_address = record.announcement.address == announcement.address;
            if is_same_address && !record.is_displaced && holder.displaces(&record.announcement) {
                self.cached_digests.set(None);
                self.record_changes += 1;
                record.is_displaced = true;
                record.announcement.availability = Availability::Ended;
                self.revision += 1;
                record.changed_at = self.revision;
            }
        }
    }

    /// Marks targets that have timed out, and removes the records of targets that ended or timed out long ago.
    /// Returns the targets that have newly timed out.
    pub fn check_timeouts(&mut self, now: Instant) -> Vec<TargetId> {
        let before = self.records.len();
        self.held.retain(|_, held| now < held.received + self.timeout);
        let (timeout, revision) = (self.timeout, &mut self.revision);
        let mut timed_out = Vec::new();
        for (id, record) in &mut self.records {
            let is_live = record.announcement.availability != Availability::Ended;
            if is_live && !record.is_timed_out && now >= record.last_seen + timeout {
                record.is_timed_out = true;
                *revision += 1;
                record.changed_at = *revision;
                timed_out.push(*id);
            }
        }
        let is_expired = |record: &AnnouncementRecord| {
            let is_over =
                record.announcement.availability == Availability::Ended || record.is_timed_out;
            is_over && now >= record.last_seen + ENDED_RETENTION
        };
        self.records.retain(|_, record| !is_expired(record));
        if !timed_out.is_empty() || self.records.len() != before {
            self.record_changes += 1;
            self.cached_digests.set(None);
        }
        let records = &self.records;
        self.holders.retain(|_, holder| {
            records.contains_key(&holder.incarnation.1) || now < holder.last_seen + ENDED_RETENTION
        });
        timed_out
    }

    /// Returns digests of the fields that routing depends on. Daemons with equal digests need not exchange
    /// their records.
    #[must_use]
    pub fn digests(&self) -> TargetDigests {
        if let Some(digests) = self.cached_digests.get() {
            return digests;
        }
        let mut digests = TargetDigests::default();
        for record in self.records.values().filter(|record| record.is_in_digests()) {
            digests.add(&record.announcement);
        }
        self.cached_digests.set(Some(digests));
        digests
    }

    /// Number of targets that have neither timed out nor ended.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let is_live = |record: &&AnnouncementRecord| {
            !record.is_timed_out && record.announcement.availability != Availability::Ended
        };
        self.records.values().filter(is_live).count()
    }
}

impl AddressHolder {
    /// Whether another target that announced this address must have ended before this one started.
    fn displaces(&self, other: &Announcement) -> bool {
        self.incarnation.1 != other.id && self.incarnation > (other.stamp.born_ms, other.id)
    }
}

impl AnnouncementRecord {
    fn has_ended(&self) -> bool {
        self.announcement.availability == Availability::Ended
    }

    /// Whether the record is sent to other daemons.
    fn is_sent(&self, now: Instant) -> bool {
        let ended_long_ago = self.has_ended() && now >= self.last_seen + ENDED_DISSEMINATION;
        !self.is_timed_out && !self.is_restored && !ended_long_ago
    }

    /// Whether the record is part of the digests. Ended targets are not: their ends are sent at once, and
    /// daemons remove their records at different times.
    fn is_in_digests(&self) -> bool {
        !self.is_timed_out && !self.is_restored && !self.has_ended()
    }

    /// The announcement with the remaining cold period.
    fn current_announcement(&self, now: Instant) -> Announcement {
        Announcement { cold_ms: self.cold_ms(now), ..self.announcement.clone() }
    }

    /// The announcement without its content.
    fn repetition(&self, now: Instant) -> Repetition {
        let Announcement { id, stamp, .. } = self.announcement;
        let content = ContentDigest::of(&self.announcement);
        Repetition { id, stamp, content, cold_ms: self.cold_ms(now) }
    }

    /// Remaining cold period, in milliseconds.
    fn cold_ms(&self, now: Instant) -> u64 {
        millis(self.cold_until.saturating_duration_since(now))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
