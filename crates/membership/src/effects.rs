//! Per revision, when it was accepted and where it has been in effect since when.

use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Revisions whose record is kept: two days of changes at 550 a day.
pub const KEPT_RECORDS: usize = 1_024;

/// When a revision was accepted and where it has been in effect since when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectRecord {
    /// The revision.
    pub revision: Revision,
    /// When it was accepted.
    pub accepted_at: Instant,
    /// Since when it has been in effect, by entry.
    pub in_effect: BTreeMap<InstanceId, Instant>,
    /// When it was in effect at all entries with a lease.
    pub complete_at: Option<Instant>,
    /// Entries where it is not in effect now.
    pub missing: Vec<InstanceId>,
}

/// Records of the latest revisions.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    records: VecDeque<EffectRecord>,
}

impl Effects {
    /// Starts the record of an accepted revision.
    pub fn accepted(&mut self, now: Instant, revision: Revision) {
        self.records.push_back(EffectRecord {
            revision,
            accepted_at: now,
            in_effect: BTreeMap::new(),
            complete_at: None,
            missing: Vec::new(),
        });
        if self.records.len() > KEPT_RECORDS {
            self.records.pop_front();
        }
    }

    /// Notes that every revision up to `active` is in effect at an entry.
    pub fn observed(&mut self, now: Instant, entry: InstanceId, active: Revision) {
        for record in self.records.iter_mut().rev().filter(|record| record.revision <= active) {
            if record.in_effect.contains_key(&entry) {
                break;
            }
            record.in_effect.insert(entry, now);
        }
    }

    /// Notes that every revision up to this one is in effect at all entries with a lease.
    pub fn completed(&mut self, now: Instant, revision: Revision) {
        for record in self.records.iter_mut().rev().filter(|record| record.revision <= revision) {
            if record.complete_at.is_some() {
                break;
            }
            record.complete_at = Some(now);
        }
    }

    /// The record of a revision, or of the next one on record: where that is in effect, so are all before.
    #[must_use]
    pub fn covering(&self, revision: Revision) -> Option<&EffectRecord> {
        self.records.iter().find(|record| record.revision >= revision)
    }
}
