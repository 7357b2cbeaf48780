//! Repeated announcements that reach a daemon through others, with the time that has passed since the target sent them.

use super::{AnnouncementOutcome, Announcements};
use crate::digests::Repetition;
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::keys::TargetId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Repeated announcement that another daemon passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedRepetition {
    /// The repeated announcement.
    pub repetition: Repetition,
    /// Time since a daemon received it from the target, in milliseconds.
    pub age_ms: u64,
}

/// Effect of a repetition that another daemon has passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshOutcome {
    /// The record was refreshed.
    Refreshed,
    /// Its content is not recorded.
    Unknown,
    /// It says nothing new.
    Ignored,
}

impl Announcements {
    /// Sets the time without an announcement after which a target is reported as `silent`.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Applies a repetition that a target sent `age` ago. The target counts as heard at that time, so that a repetition
    /// which is passed on for ever keeps no target in use.
    pub fn refresh_aged(
        &mut self,
        repetition: &Repetition,
        age: Duration,
        now: Instant,
    ) -> RefreshOutcome {
        if age >= self.timeout {
            return RefreshOutcome::Ignored;
        }
        let before = self.last_seen(repetition.id);
        if !self.refresh(std::slice::from_ref(repetition), now).is_empty() {
            return RefreshOutcome::Unknown;
        }
        self.set_age(repetition.id, before, age, now)
    }

    /// Applies an announcement that a target sent `age` ago.
    pub fn apply_aged(
        &mut self,
        announcement: &Announcement,
        age: Duration,
        now: Instant,
    ) -> AnnouncementOutcome {
        // What takes a target out of use is applied at any age.
        if age >= self.timeout && announcement.availability == Availability::Serving {
            return AnnouncementOutcome::Stale;
        }
        let before = self.last_seen(announcement.id);
        let outcome = self.apply(announcement, now);
        self.set_age(announcement.id, before, age, now);
        outcome
    }

    /// Returns the newest announcements of some targets without their content, with their ages, as far as
    /// [`Self::all`] includes them.
    #[must_use]
    pub fn aged_repetitions(&self, ids: &[TargetId], now: Instant) -> Vec<AgedRepetition> {
        let sent = ids.iter().filter_map(|id| self.records.get(id)).filter(|r| r.is_sent(now));
        sent.map(|record| {
            let age = now.saturating_duration_since(record.last_seen);
            AgedRepetition { repetition: record.repetition(now), age_ms: super::millis(age) }
        })
        .collect()
    }

    /// Time since a target was heard, as far as this daemon knows.
    #[must_use]
    pub fn age(&self, id: TargetId, now: Instant) -> Option<Duration> {
        self.records.get(&id).map(|record| now.saturating_duration_since(record.last_seen))
    }

    fn last_seen(&self, id: TargetId) -> Option<Instant> {
        self.records.get(&id).map(|record| record.last_seen)
    }

    /// Moves back the time at which a target was heard, if it has been set since it was `before`.
    fn set_age(
        &mut self,
        id: TargetId,
        before: Option<Instant>,
        age: Duration,
        now: Instant,
    ) -> RefreshOutcome {
        let Some(record) = self.records.get_mut(&id).filter(|r| Some(r.last_seen) != before) else {
            return RefreshOutcome::Ignored;
        };
        let heard_at = now.checked_sub(age).unwrap_or(now);
        record.last_seen = before.map_or(heard_at, |last_seen| last_seen.max(heard_at));
        RefreshOutcome::Refreshed
    }
}
