//! The control daemon's view of announced targets, and the batches that bring the declared target set
//! in line with it.

use crate::context::Context;
use comfreyhold_membership::registry::{Registry, RegistryAction, RegistryMessage};
use comfreyhold_membership::targets::Announced;
use comfreyhold_types::declarations::TargetBatch;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// A dead entry's hearings are dropped this much later, so that its targets can announce themselves to
/// another entry: the default lease of targets.
const ENTRY_LOST_DELAY: Duration = Duration::from_secs(3);

/// A new leader waits this long for the entries' shares before it removes declared targets that no
/// entry has named.
const UNNAMED_AFTER: Duration = Duration::from_secs(10);

/// Most changes in one batch, which bounds the size of a log entry.
const MAX_BATCH: usize = 500;

/// Watches announced targets.
pub struct TargetWatch {
    registry: Registry,
    lost_entries: BTreeMap<InstanceId, Instant>,
    leading_since: Option<Instant>,
    next_batch: Option<Instant>,
}

impl TargetWatch {
    /// Creates an empty view.
    #[must_use]
    pub fn new(cx: &Context) -> Self {
        let allowed = cx.settings.domains.keys().copied();
        let registry = Registry::new((cx.instance(), cx.incarnation), cx.member.domain, allowed);
        Self { registry, lost_entries: BTreeMap::new(), leading_since: None, next_batch: None }
    }

    /// This instance has become leader.
    pub fn lead(&mut self, now: Instant) {
        self.leading_since = Some(now);
        self.next_batch = Some(now + BATCH_INTERVAL);
    }

    /// Handles a message of an entry's registry.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: RegistryMessage,
    ) -> Vec<RegistryAction> {
        self.lost_entries.remove(&from);
        self.registry.on_message(now, from, message)
    }

    /// An entry was found dead.
    pub fn entry_lost(&mut self, now: Instant, entry: InstanceId) {
        self.lost_entries.insert(entry, now + ENTRY_LOST_DELAY);
    }

    /// Handles all timers.
    pub fn tick(&mut self, now: Instant) -> Vec<RegistryAction> {
        let mut actions = Vec::new();
        let due: Vec<_> =
            self.lost_entries.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for entry in due {
            self.lost_entries.remove(&entry);
            actions.extend(self.registry.entry_lost(now, entry));
        }
        actions.extend(self.registry.tick(now));
        actions
    }

    /// The next batch, when one is due and there is something to change. `reachable` tells whether an
    /// entry of a failure domain has a lease: targets of a partitioned domain that no entry has named
    /// to this leader may well be alive.
    pub fn due_batch(
        &mut self,
        now: Instant,
        declared: &Declarations,
        reachable: impl Fn(DomainId) -> bool,
    ) -> Option<TargetBatch> {
        if self.next_batch.is_none_or(|at| now < at) {
            return None;
        }
        self.next_batch = Some(now + BATCH_INTERVAL);
        let mut batch = self.registry.targets().batch(&declared.targets, Announced::is_heard);
        batch.upserts.retain(|target| declared.services.contains_key(&target.service));
        if self.leading_since.is_some_and(|since| now >= since + UNNAMED_AFTER) {
            self.remove_unnamed(declared, reachable, &mut batch);
        }
        batch.upserts.truncate(MAX_BATCH);
        batch.removals.truncate(MAX_BATCH);
        let is_empty = batch.upserts.is_empty() && batch.removals.is_empty();
        (!is_empty).then_some(batch)
    }

    fn remove_unnamed(
        &self,
        declared: &Declarations,
        reachable: impl Fn(DomainId) -> bool,
        batch: &mut TargetBatch,
    ) {
        let known = self.registry.targets();
        let unnamed = declared
            .targets
            .values()
            .filter(|target| known.get(target.address).is_none() && reachable(target.domain));
        batch.removals.extend(unnamed.map(|target| (target.address, target.incarnation)));
    }
}
