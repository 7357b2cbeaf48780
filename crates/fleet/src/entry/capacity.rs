//! Logs and metrics of the learned capacity of targets.

use super::{Entry, PacketCodec};
use comfreyhold_types::keys::TargetId;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Instant;

/// Maximum number of targets with a metric, those that were furthest from their announced slots first. A metric
/// that was published once stays until the process ends, so the limit is on all targets published so far.
const MAX_PUBLISHED: usize = 256;

/// Targets whose effective slots are published as a metric.
#[derive(Debug, Default)]
pub(super) struct PublishedSlots {
    targets: BTreeSet<TargetId>,
    /// Those that did not have their announced slots at the last tick.
    uneven: BTreeSet<TargetId>,
}

impl<C: PacketCodec> Entry<C> {
    /// Logs the targets whose effective slots have changed by a quarter, and publishes those furthest from their
    /// announced slots. Does nothing while all targets count as even.
    pub(super) fn report_capacity(&self, now: Instant) {
        for change in self.balancer.borrow_mut().take_capacity_changes() {
            self.record("capacity", || {
                json!({
                    "target": change.id,
                    "service": change.service,
                    "slots": change.slots,
                    "effective_slots": rounded(change.effective_slots),
                    "samples": rounded(change.samples),
                    "age_ms": change.age.map(|age| age.as_millis()),
                    "ratio": rounded(change.ratio),
                    "median": rounded(change.median),
                })
            });
        }
        self.publish_slots(now);
    }

    fn publish_slots(&self, now: Instant) {
        let balancer = self.balancer.borrow();
        let furthest = balancer.furthest_from_announced(MAX_PUBLISHED, now);
        let mut published = self.published_slots.borrow_mut();
        if furthest.is_empty() && published.uneven.is_empty() {
            return;
        }
        let uneven: BTreeSet<TargetId> = furthest.iter().map(|target| target.id).collect();
        for target in &furthest {
            let has_room = published.targets.len() < MAX_PUBLISHED;
            if has_room || published.targets.contains(&target.id) {
                published.targets.insert(target.id);
                set_gauge(target.id, target.effective_slots);
            }
        }
        // Targets that count as even again, or have ended, show their announced slots.
        for id in published.uneven.difference(&uneven).filter(|id| published.targets.contains(id)) {
            let mut targets = balancer.directory().iter();
            let slots = targets
                .find(|(_, target)| target.spec.id == *id && target.ended_at.is_none())
                .map_or(0.0, |(_, target)| target.effective_slots(now));
            set_gauge(*id, slots);
        }
        published.uneven = uneven;
    }
}

fn set_gauge(id: TargetId, slots: f64) {
    metrics::gauge!("target_effective_slots", "target" => id.to_string()).set(slots);
}

/// Rounds to hundredths, which is more than the samples tell.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
