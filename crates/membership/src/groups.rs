//! Which entries the leader contacts directly and which through a relay.

use crate::messages::RelayMembers;
use crate::rollout::{RELAY_TIMEOUT, REPORT_OVERDUE, RETRY};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Entries reached through one relay.
#[derive(Clone, Debug)]
pub struct Group {
    /// The relay.
    pub relay: InstanceId,
    /// The other entries.
    pub members: RelayMembers,
    /// Version of the member list that the relay has reported.
    pub held_version: u32,
    /// Last report of the relay, or when it got the role.
    pub reported: Instant,
    /// Last heartbeat, or when the relay got the role.
    pub sent: Instant,
    /// When the next heartbeat is due while the relay reports.
    pub next: Instant,
}

/// All groups of a term.
#[derive(Clone, Debug)]
pub struct Groups {
    direct_limit: usize,
    groups: BTreeMap<(DomainId, InstanceId), Group>,
    version: u32,
}

impl Groups {
    /// Creates no groups yet. Up to `direct_limit` entries are contacted directly.
    #[must_use]
    pub fn new(direct_limit: usize) -> Self {
        Self { direct_limit, groups: BTreeMap::new(), version: 0 }
    }

    /// Changes the limit; it applies to the groups formed next.
    pub fn set_direct_limit(&mut self, direct_limit: usize) {
        self.direct_limit = direct_limit;
    }

    /// Forms one group per failure domain, or one per entry when there are few. A relay that is still
    /// in its group keeps the role.
    pub fn form(&mut self, now: Instant, entries: impl Iterator<Item = (InstanceId, DomainId)>) {
        self.version += 1;
        let entries: BTreeMap<InstanceId, DomainId> = entries.collect();
        let is_direct = entries.len() <= self.direct_limit;
        let mut by_key: BTreeMap<(DomainId, InstanceId), Vec<InstanceId>> = BTreeMap::new();
        for (id, domain) in entries {
            let single = if is_direct { id } else { InstanceId::default() };
            by_key.entry((domain, single)).or_default().push(id);
        }
        let old = std::mem::take(&mut self.groups);
        for (key, mut ids) in by_key {
            let known = old.get(&key).filter(|group| ids.contains(&group.relay));
            let relay = known.map_or(ids[0], |group| group.relay);
            let reported = known.map_or(now, |group| group.reported);
            ids.retain(|id| *id != relay);
            let members = RelayMembers { version: self.version, ids };
            let group = Group { relay, members, held_version: 0, reported, sent: now, next: now };
            self.groups.insert(key, group);
        }
    }

    /// Hands the role of a silent relay to the next entry of its group, preferring one that
    /// `is_seen` says was seen lately.
    pub fn replace_silent(&mut self, now: Instant, is_seen: impl Fn(InstanceId) -> bool) {
        for group in self.groups.values_mut() {
            if now < group.reported + RELAY_TIMEOUT {
                continue;
            }
            let mut order = group.members.ids.clone();
            let split = order.partition_point(|id| *id < group.relay);
            order.rotate_left(split);
            let next = order.iter().find(|id| is_seen(**id)).or(order.first()).copied();
            let Some(next) = next else { continue };
            log::info!("relay {} is silent; {next} takes over", group.relay);
            self.version += 1;
            group.hand_over(now, next, self.version);
        }
    }

    /// Version of the newest member list.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// The relays.
    pub fn relays(&self) -> impl Iterator<Item = InstanceId> {
        self.groups.values().map(|group| group.relay)
    }

    /// The groups.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// The groups, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Group> {
        self.groups.values_mut()
    }

    /// The group of a relay.
    pub fn of_relay(&mut self, relay: InstanceId) -> Option<&mut Group> {
        self.groups.values_mut().find(|group| group.relay == relay)
    }

    /// Entries whose state a sender may report.
    #[must_use]
    pub fn reported_by(&self, sender: InstanceId) -> BTreeSet<InstanceId> {
        let own = self.groups.values().filter(|group| group.relay == sender);
        own.flat_map(|group| group.members.ids.iter().copied()).chain([sender]).collect()
    }
}

impl Group {
    fn hand_over(&mut self, now: Instant, next: InstanceId, version: u32) {
        self.members.ids.retain(|id| *id != next);
        self.members.ids.push(self.relay);
        self.members.ids.sort_unstable();
        self.members.version = version;
        self.held_version = 0;
        self.relay = next;
        self.reported = now;
        self.sent = now;
        self.next = now;
    }

    /// When the relay is replaced unless it reports; only one with members can be.
    #[must_use]
    pub fn ends(&self) -> Option<Instant> {
        (!self.members.ids.is_empty()).then(|| self.reported + RELAY_TIMEOUT)
    }

    /// When the next heartbeat is due: sooner when the report of a relay with members is overdue.
    #[must_use]
    pub fn due(&self) -> Instant {
        if self.members.ids.is_empty() {
            return self.next;
        }
        self.next.min((self.reported + REPORT_OVERDUE).max(self.sent + RETRY))
    }
}
