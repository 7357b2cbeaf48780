//! Groups of entries: the leader contacts the relay of each group, and the relay forwards to the others.

use crate::messages::RelayMembers;
use crate::rollout::{RELAY_TIMEOUT, REPORT_OVERDUE_AFTER, RETRY_INTERVAL};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A relay and the entries that the leader reaches through it.
#[derive(Clone, Debug)]
pub struct RelayGroup {
    /// The entry with the relay role.
    pub relay: InstanceId,
    /// The other entries of the group.
    pub members: RelayMembers,
    /// Version of the member list in the last report of the relay; 0 before the first report.
    pub reported_version: u32,
    /// Time of the last report, or when the relay got the role.
    pub last_report: Instant,
    /// Time of the last heartbeat to the relay, or when it got the role.
    pub last_heartbeat: Instant,
    /// When the next heartbeat is due, unless a report is overdue.
    pub next_heartbeat: Instant,
}

/// All groups of one leader's term.
#[derive(Clone, Debug)]
pub struct RelayGroups {
    direct_limit: usize,
    groups: BTreeMap<(DomainId, InstanceId), RelayGroup>,
    version: u32,
}

impl RelayGroups {
    /// Creates an empty set. Up to `direct_limit` entries are contacted directly.
    #[must_use]
    pub fn new(direct_limit: usize) -> Self {
        Self { direct_limit, groups: BTreeMap::new(), version: 0 }
    }

    /// Changes the limit, which applies from the next call of `rebuild`.
    pub fn set_direct_limit(&mut self, direct_limit: usize) {
        self.direct_limit = direct_limit;
    }

    /// Rebuilds the groups: one per failure domain, or one per entry when there are at most `direct_limit`.
    /// A relay that is still in its group keeps the role.
    pub fn rebuild(&mut self, now: Instant, entries: impl Iterator<Item = (InstanceId, DomainId)>) {
        self.version += 1;
        let entries: BTreeMap<InstanceId, DomainId> = entries.collect();
        let is_direct = entries.len() <= self.direct_limit;
        let mut by_key: BTreeMap<(DomainId, InstanceId), Vec<InstanceId>> = BTreeMap::new();
        for (id, domain) in entries {
            let member = if is_direct { id } else { InstanceId::default() };
            by_key.entry((domain, member)).or_default().push(id);
        }
        let previous = std::mem::take(&mut self.groups);
        for (key, mut ids) in by_key {
            let kept = previous.get(&key).filter(|group| ids.contains(&group.relay));
            let relay = kept.map_or(ids[0], |group| group.relay);
            let last_report = kept.map_or(now, |group| group.last_report);
            ids.retain(|id| *id != relay);
            let members = RelayMembers { version: self.version, ids };
            let group = RelayGroup {
                relay,
                members,
                reported_version: 0,
                last_report,
                last_heartbeat: now,
                next_heartbeat: now,
            };
            self.groups.insert(key, group);
        }
    }

    /// Hands the role of a relay that timed out over to the next entry of its group, preferring one for
    /// which `is_responsive` returns true.
    pub fn replace_unresponsive(
        &mut self,
        now: Instant,
        is_responsive: impl Fn(InstanceId) -> bool,
    ) {
        for group in self.groups.values_mut() {
            if now < group.last_report + RELAY_TIMEOUT {
                continue;
            }
            let mut order = group.members.ids.clone();
            let split = order.partition_point(|id| *id < group.relay);
            order.rotate_left(split);
            let next = order.iter().find(|id| is_responsive(**id)).or(order.first()).copied();
            let Some(next) = next else { continue };
            log::info!("relay {} timed out; replaced by {next}", group.relay);
            self.version += 1;
            group.replace_relay(now, next, self.version);
        }
    }

    /// Version of the newest member list.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Relays of all groups.
    pub fn relays(&self) -> impl Iterator<Item = InstanceId> {
        self.groups.values().map(|group| group.relay)
    }

    /// All groups, ordered by failure domain.
    pub fn iter(&self) -> impl Iterator<Item = &RelayGroup> {
        self.groups.values()
    }

    /// Mutable access to all groups, ordered by failure domain.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut RelayGroup> {
        self.groups.values_mut()
    }

    /// The group with this relay; `None` when the entry is no relay.
    pub fn by_relay_mut(&mut self, relay: InstanceId) -> Option<&mut RelayGroup> {
        self.groups.values_mut().find(|group| group.relay == relay)
    }

    /// Entries whose state a sender may report: the sender and the members of its group.
    #[must_use]
    pub fn entries_reported_by(&self, sender: InstanceId) -> BTreeSet<InstanceId> {
        let relayed = self.groups.values().filter(|group| group.relay == sender);
        relayed.flat_map(|group| group.members.ids.iter().copied()).chain([sender]).collect()
    }
}

impl RelayGroup {
    fn replace_relay(&mut self, now: Instant, next: InstanceId, version: u32) {
        self.members.ids.retain(|id| *id != next);
        self.members.ids.push(self.relay);
        self.members.ids.sort_unstable();
        self.members.version = version;
        self.reported_version = 0;
        self.relay = next;
        self.last_report = now;
        self.last_heartbeat = now;
        self.next_heartbeat = now;
    }

    /// When the relay is replaced unless it reports; `None` when the group has no other entry.
    #[must_use]
    pub fn replacement_due(&self) -> Option<Instant> {
        (!self.members.ids.is_empty()).then(|| self.last_report + RELAY_TIMEOUT)
    }

    /// When the next heartbeat is due. It is sent sooner when the report of a relay with members is overdue.
    #[must_use]
    pub fn heartbeat_due(&self) -> Instant {
        if self.members.ids.is_empty() {
            return self.next_heartbeat;
        }
        self.next_heartbeat.min(
            (self.last_report + REPORT_OVERDUE_AFTER).max(self.last_heartbeat + RETRY_INTERVAL),
        )
    }
}
