//! What the records say to entries and to other daemons.

use super::{AnnouncementRecord, Announcements, TargetReport};
use crate::digests::{Repetition, TargetGroup};
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::keys::TargetId;
use std::collections::BTreeSet;
use std::time::Instant;

impl Announcements {
    /// Returns the targets that changed after a revision; all of them for revision 0.
    #[must_use]
    pub fn changed_since(&self, revision: u64, now: Instant) -> Vec<TargetReport> {
        self.changed_with_cold_end(revision, now).map(|(report, _)| report).collect()
    }

    /// Returns the targets that changed after a revision, with the ends of their cold periods.
    pub fn changed_with_cold_end(
        &self,
        revision: u64,
        now: Instant,
    ) -> impl Iterator<Item = (TargetReport, Instant)> {
        let changed = self.records.values().filter(move |record| record.changed_at > revision);
        changed.map(move |record| {
            let announcement = record.current_announcement(now);
            (TargetReport { announcement, silent: record.is_timed_out }, record.cold_until)
        })
    }

    /// Number of targets that changed after a revision.
    #[must_use]
    pub fn changed_count(&self, revision: u64) -> usize {
        self.records.values().filter(|record| record.changed_at > revision).count()
    }

    /// Returns the newest announcements to send to another daemon. Targets that have timed out, were only
    /// restored from disk, or ended at least `ENDED_DISSEMINATION` ago are left out.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<Announcement> {
        let sent = self.records.values().filter(|record| record.is_sent(now));
        sent.map(|record| record.current_announcement(now)).collect()
    }

    /// Returns the newest announcements of some targets, as far as [`Self::all`] includes them.
    #[must_use]
    pub fn by_ids(&self, ids: &[TargetId], now: Instant) -> Vec<Announcement> {
        let known = ids.iter().filter_map(|id| self.records.get(id));
        known
            .filter(|record| record.is_sent(now))
            .map(|record| record.current_announcement(now))
            .collect()
    }

    /// Returns the last announcement of a target, with the end of an ended one. Targets that have timed out or were
    /// restored from disk are included: they may end before they repeat their announcement.
    #[must_use]
    pub fn last_announcement(&self, id: TargetId) -> Option<&Announcement> {
        self.records.get(&id).map(|record| &record.announcement)
    }

    /// Returns the announcements to send at once to a daemon that has restarted: those of targets that announce
    /// themselves here, and those of targets that take no more flows. Other daemons send it the rest, and the
    /// comparison of digests reveals what is still missing.
    #[must_use]
    pub fn for_restarted_daemon(
        &self,
        announced_here: &[TargetId],
        now: Instant,
    ) -> Vec<Announcement> {
        let mut announcements = self.by_ids(announced_here, now);
        let takes_none = |record: &&AnnouncementRecord| {
            record.is_sent(now) && record.announcement.availability != Availability::Serving
        };
        let is_included = |id: &TargetId| announced_here.contains(id);
        let rest =
            self.records.iter().filter(|(id, record)| takes_none(record) && !is_included(id));
        announcements.extend(rest.map(|(_, record)| record.current_announcement(now)));
        announcements
    }

    /// Returns the newest announcements of some targets without their content, as far as [`Self::all`] includes
    /// them.
    #[must_use]
    pub fn repetitions(&self, ids: &[TargetId], now: Instant) -> Vec<Repetition> {
        let sent = ids.iter().filter_map(|id| self.records.get(id)).filter(|r| r.is_sent(now));
        sent.map(|record| record.repetition(now)).collect()
    }

    /// Returns the newest announcements of the targets in some groups, as far as [`Self::all`] includes them.
    #[must_use]
    pub fn in_groups(&self, groups: &BTreeSet<TargetGroup>, now: Instant) -> Vec<Announcement> {
        let is_in_groups = |id: &TargetId| groups.contains(&TargetGroup::of(*id));
        let sent =
            self.records.iter().filter(|(id, record)| record.is_sent(now) && is_in_groups(id));
        sent.map(|(_, record)| record.current_announcement(now)).collect()
    }
}
