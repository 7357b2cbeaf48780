//! History of the latest revisions: when each was accepted, and since when it has been in effect at
//! each entry.

use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Maximum number of records. They cover two days at 550 changes a day.
pub const MAX_RECORDS: usize = 1_024;

/// Times at which one revision was accepted and took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectRecord {
    /// The revision.
    pub revision: Revision,
    /// When the revision was accepted.
    pub accepted_at: Instant,
    /// When the revision took effect, by entry.
    pub in_effect: BTreeMap<InstanceId, Instant>,
    /// When the revision was in effect at all entries with a lease; `None` before that.
    pub complete_at: Option<Instant>,
    /// Entries where the revision is not in effect now.
    pub missing: Vec<InstanceId>,
}

/// Records of the latest revisions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct EffectHistory {
    records: VecDeque<EffectRecord>,
}

impl EffectHistory {
    /// Adds the record of an accepted revision.
    pub fn record_accepted(&mut self, now: Instant, revision: Revision) {
        self.records.push_back(EffectRecord {
            revision,
            accepted_at: now,
            in_effect: BTreeMap::new(),
            complete_at: None,
            missing: Vec::new(),
        });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Records that every revision up to `active` is in effect at an entry.
    pub fn record_in_effect(&mut self, now: Instant, entry: InstanceId, active: Revision) {
        for record in self.records.iter_mut().rev().filter(|record| record.revision <= active) {
            if record.in_effect.contains_key(&entry) {
                break;
            }
            record.in_effect.insert(entry, now);
        }
    }

    /// Records that every revision up to this one is in effect at all entries with a lease.
    pub fn record_complete(&mut self, now: Instant, revision: Revision) {
        for record in self.records.iter_mut().rev().filter(|record| record.revision <= revision) {
            if record.complete_at.is_some() {
                break;
            }
            record.complete_at = Some(now);
        }
    }

    /// Returns the record of a revision, or of the next one on record: where that one is in effect, all
    /// earlier ones are too.
    #[must_use]
    pub fn record_at_or_after(&self, revision: Revision) -> Option<&EffectRecord> {
        self.records.iter().find(|record| record.revision >= revision)
    }
}
