//! Which part of a failure domain's new flows goes to targets of other domains.
//!
//! The parts follow from demand and slots, not from queues. Queues fill within a few hundred milliseconds, about as
//! long as their lengths take to reach the entries, so that entries which react to them all send their flows away and
//! back at the same time.

use comfreyhold_types::keys::DomainName;
use std::collections::BTreeMap;

/// Share of the slots up to which domains are filled from their own callers before flows spill over. With random
/// arrivals, targets with two slots and a queue of eight refuse almost nothing up to it.
const FILLED_SHARE: f64 = 0.8;

/// Factor from the share of all slots that is needed to the level up to which domains are filled, where that is above
/// [`FILLED_SHARE`]. The demand of a domain varies by chance by about a twentieth from one interval to the next, and
/// flows that follow it back and forth make the loads of the targets less even.
const LEVEL_MARGIN: f64 = 1.1;

/// Highest level with a margin. Above it queues grow, and even a full domain must not get more than the others.
const MAX_LEVEL_WITH_MARGIN: f64 = 0.95;

/// Weight of the newest value in the work of an opening. It belongs to the service and changes slowly.
const WORK_WEIGHT: f64 = 0.2;

/// Demand and capacity of a failure domain for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainLoad {
    /// Openings of its callers a second.
    pub openings_per_s: f64,
    /// Effective slots of its usable targets.
    pub slots: f64,
}

/// Parts of this entry's new flows to one service that go to each domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpillPlan {
    /// Slots that an opening uses on average, times seconds.
    work: Option<f64>,
    /// Parts for other domains; the local one gets the rest.
    remote: Vec<(DomainName, f64)>,
}

impl SpillPlan {
    /// Adjusts the plan of an entry in `local` to the demand of all domains. `busy` is the number of slots in use.
    pub fn update(
        &mut self,
        local: &DomainName,
        domains: &BTreeMap<DomainName, DomainLoad>,
        busy: f64,
    ) {
        self.remote.clear();
        let per_s: f64 = domains.values().map(|domain| domain.openings_per_s).sum();
        let slots: f64 = domains.values().map(|domain| domain.slots).sum();
        if per_s <= 0.0 || slots <= 0.0 {
            return;
        }
        let work = busy / per_s;
        let work = self.work.map_or(work, |known| known + (work - known) * WORK_WEIGHT);
        self.work = Some(work);
        // Beyond the filled share of all slots, all domains are filled to about the same level.
        let needed = per_s * work / slots;
        let with_margin = (needed * LEVEL_MARGIN).min(MAX_LEVEL_WITH_MARGIN);
        let level = FILLED_SHARE.max(needed).max(with_margin);
        let excess = |load: &DomainLoad| load.openings_per_s * work - level * load.slots;
        let Some(own) = domains.get(local) else { return };
        let own_excess = excess(own);
        let spare: f64 = domains.values().map(|load| (-excess(load)).max(0.0)).sum();
        if own_excess <= 0.0 || spare <= 0.0 {
            return;
        }
        let part = own_excess / (own.openings_per_s * work);
        for (name, load) in domains.iter().filter(|(_, load)| excess(load) < 0.0) {
            self.remote.push((name.clone(), part * -excess(load) / spare));
        }
    }

    /// The domain whose targets a flow goes to first, by a number in (0, 1] that is random for each flow; `None` for
    /// the local one.
    #[must_use]
    pub fn choose(&self, random: f64) -> Option<&DomainName> {
        let mut left = random;
        for (domain, part) in &self.remote {
            if left <= *part {
                return Some(domain);
            }
            left -= part;
        }
        None
    }

    /// Part of the new flows that goes to other domains.
    #[must_use]
    pub fn remote_part(&self) -> f64 {
        self.remote.iter().map(|(_, part)| part).sum()
    }
}
