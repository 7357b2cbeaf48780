//! Target registry of an entry: it handles the announcements of targets, keeps their leases, and exchanges
//! changes with the entries of the same failure domain and the control leader.

use crate::collector::ENTRY_GRACE;
use crate::targets::{AnnouncedTarget, EntryLease, TargetMap};
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::check_name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Duration of the lease of a target that requests none.
pub const DEFAULT_LEASE_MS: u64 = 3_000;

/// Minimum duration of a lease. A shorter one would expire after a single lost announcement.
pub const MIN_LEASE_MS: u64 = 500;

/// Maximum duration of a lease. A longer one would keep failed targets in use.
pub const MAX_LEASE_MS: u64 = 60_000;

/// Maximum number of slots of one target. An announcement with more is refused.
pub const MAX_SLOTS: u16 = 10_000;

/// Highest incarnation of a target. One without a bound could never be followed by another.
pub const MAX_INCARNATION: u64 = u64::MAX / 2;

/// Time between two messages to the same peer.
pub const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of records in one message, which bounds its size to about 10 KB.
pub const MAX_SHARE_RECORDS: usize = 64;

/// The record of a lost target is kept for this long, so that late messages don't restore the target.
pub const LOST_RETENTION: Duration = Duration::from_secs(600);

/// Announcement that a target sends to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The announced target.
    #[serde(flatten)]
    pub record: TargetRecord,
    /// Requested duration of the lease, in milliseconds (500 to 60,000).
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Number of the announcement within the incarnation of the target.
    #[serde(default)]
    pub sequence: u64,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

/// Error of an announcement that is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {reason}")]
pub struct AnnouncementError {
    /// A code of the 4xxx family.
    pub code: ResultCode,
    /// Explanation for the operator of the target.
    pub reason: String,
}

fn refuse<T>(code: ResultCode, reason: impl Into<String>) -> Result<T, AnnouncementError> {
    Err(AnnouncementError { code, reason: reason.into() })
}

/// Messages between registries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// Records that the receiver has not confirmed yet.
    Share {
        /// Number that the receiver confirms.
        number: u64,
        /// Merged records of targets.
        records: Vec<AnnouncedTarget>,
    },
    /// Confirms a `Share`.
    Confirm {
        /// Number of the `Share`.
        number: u64,
    },
}

/// Action that the daemon has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryAction {
    /// Send a message.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// Message to send.
        message: RegistryMessage,
    },
    /// A target joined, changed or was lost.
    Changed(EventKind, TargetRecord),
}

#[derive(Debug, Default)]
struct Peer {
    /// Records to send, with the number of their last change.
    pending: BTreeMap<SocketAddr, u64>,
    /// Records of the last `Share`, with the number of the change that it contained.
    sent: Vec<(SocketAddr, u64)>,
    last_share_number: u64,
    next_share: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct LocalLease {
    until: Instant,
    incarnation: Incarnation,
}

/// State machine of the target registry of one entry.
#[derive(Debug)]
pub struct Registry {
    id: InstanceId,
    incarnation: Incarnation,
    domain: DomainId,
    allowed_domains: BTreeSet<DomainId>,
    targets: TargetMap,
    /// Leases of the targets that announce themselves at this entry.
    leases: BTreeMap<SocketAddr, LocalLease>,
    /// When each target without a lease lost its last one.
    lost_since: BTreeMap<SocketAddr, Instant>,
    /// New incarnations of restarted entries, and when the leases of earlier ones are dropped.
    restarted_entries: BTreeMap<InstanceId, (Incarnation, Instant)>,
    peers: BTreeMap<InstanceId, Peer>,
    last_change: u64,
    actions: Vec<RegistryAction>,
}

impl Registry {
    /// Creates an empty registry. `allowed_domains` are the failure domains whose targets may announce
    /// themselves here.
    #[must_use]
    pub fn new(
        (id, incarnation): (InstanceId, Incarnation),
        domain: DomainId,
        allowed_domains: impl IntoIterator<Item = DomainId>,
    ) -> Self {
        Self {
            id,
            incarnation,
            domain,
            allowed_domains: allowed_domains.into_iter().collect(),
            targets: TargetMap::default(),
            leases: BTreeMap::new(),
            lost_since: BTreeMap::new(),
            restarted_entries: BTreeMap::new(),
            peers: BTreeMap::new(),
            last_change: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the receivers of changes: the live entries of the local failure domain and the control leader.
    /// A new peer gets all targets with a lease here.
    pub fn set_peers(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        let ids: BTreeSet<InstanceId> = ids.into_iter().filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        let leased: Vec<SocketAddr> = self.leases.keys().copied().collect();
        for id in ids {
            let change = self.last_change;
            self.peers.entry(id).or_insert_with(|| Peer {
                pending: leased.iter().map(|address| (*address, change)).collect(),
                ..Peer::default()
            });
        }
    }

    /// Handles the restart of an entry under a new incarnation. The entry gets all targets with a lease here
    /// again, and the leases of its earlier incarnations are dropped after `ENTRY_GRACE`.
    pub fn on_peer_restarted(&mut self, now: Instant, id: InstanceId, incarnation: Incarnation) {
        self.restarted_entries.insert(id, (incarnation, now + ENTRY_GRACE));
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.pending.extend(self.leases.keys().map(|address| (*address, self.last_change)));
        }
    }

    /// Sends all targets with a lease here again. Call this when the entry regains its lease and when a
    /// new term begins, since the leader may not have the earlier reports of this entry.
    pub fn resend_all(&mut self) {
        let leased: Vec<SocketAddr> = self.leases.keys().copied().collect();
        leased.into_iter().for_each(|address| self.mark_pending(address));
    }

    /// Handles an announcement: starts or renews the lease of the target.
    ///
    /// # Errors
    /// Returns a code of the 4xxx family when the announcement is refused.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        declared: &Declarations,
    ) -> Result<Vec<RegistryAction>, AnnouncementError> {
        self.check_announcement(announcement, declared)?;
        self.check_sequence(announcement)?;
        let record = &announcement.record;
        let until = now + Duration::from_millis(announcement.lease_ms);
        let lease = LocalLease { until, incarnation: record.incarnation };
        let renewed = self.leases.insert(record.address, lease);
        let was_leased = renewed.is_some_and(|old| old.incarnation == record.incarnation);
        let known =
            self.targets.get(record.address).filter(|k| k.record.incarnation == record.incarnation);
        let is_same =
            known.is_some_and(|k| k.record == *record && k.lease_ms == announcement.lease_ms);
        if !(was_leased && is_same) {
            // An unchanged record keeps the number of the announcement that changed it last.
            let unchanged = known.filter(|_| is_same).map(|known| known.sequence);
            self.store_announced(now, announcement, unchanged.unwrap_or(announcement.sequence));
        }
        Ok(std::mem::take(&mut self.actions))
    }

    /// Handles a message of another registry.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: RegistryMessage,
    ) -> Vec<RegistryAction> {
        match message {
            RegistryMessage::Share { number, records } => {
                records.iter().for_each(|record| self.merge(now, record));
                let message = RegistryMessage::Confirm { number };
                self.actions.push(RegistryAction::Send { to: from, message });
            }
            RegistryMessage::Confirm { number } => self.on_confirm(from, number),
        }
        std::mem::take(&mut self.actions)
    }

    /// Expires leases that are due and sends pending changes.
    pub fn tick(&mut self, now: Instant) -> Vec<RegistryAction> {
        let is_due = |(_, lease): &(&SocketAddr, &LocalLease)| lease.until <= now;
        let due: Vec<SocketAddr> = self.leases.iter().filter(is_due).map(|(a, _)| *a).collect();
        due.into_iter().for_each(|address| self.expire_lease(now, address));
        self.drop_leases_of_restarted_entries(now);
        self.forget_lost(now);
        self.send_shares(now);
        std::mem::take(&mut self.actions)
    }

    /// When `tick` must be called next, unless an announcement or message arrives before.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let leases = self.leases.values().map(|lease| lease.until);
        let pending = self.peers.values().filter(|peer| !peer.pending.is_empty());
        let shares = pending.map(|peer| peer.next_share.unwrap_or(now));
        leases.chain(shares).fold(now + SHARE_INTERVAL, Instant::min)
    }

    /// Drops the leases at an entry that is dead or isolated. Call this `ENTRY_GRACE` after that was detected,
    /// so that its targets have the duration of a lease to announce themselves at another entry.
    pub fn drop_entry_leases(&mut self, now: Instant, entry: InstanceId) -> Vec<RegistryAction> {
        self.drop_leases(now, entry, None);
        std::mem::take(&mut self.actions)
    }

    /// The merged records of all targets.
    #[must_use]
    pub fn targets(&self) -> &TargetMap {
        &self.targets
    }

    /// Whether the target at an address has a lease at this entry or a peer.
    #[must_use]
    pub fn is_leased(&self, address: SocketAddr) -> bool {
        self.targets.get(address).is_some_and(AnnouncedTarget::is_leased)
    }

    /// Targets that this entry may use while it has no lease itself: those of its failure domain that have a
    /// lease, by address.
    pub fn local_domain_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        let usable = |k: &&AnnouncedTarget| k.is_leased() && k.record.domain == self.domain;
        self.targets.iter().filter(usable).map(|known| &known.record)
    }

    fn drop_leases(&mut self, now: Instant, entry: InstanceId, before: Option<Incarnation>) {
        for record in self.targets.drop_leases(entry, before) {
            self.lost_since.insert(record.address, now);
            self.actions.push(RegistryAction::Changed(EventKind::TargetLost, record));
        }
    }

    /// Drops the leases of earlier incarnations of restarted entries. This is repeated on each tick, since
    /// other entries may still send leases that they have not dropped yet.
    fn drop_leases_of_restarted_entries(&mut self, now: Instant) {
        let is_due = |(_, (_, due)): &(&InstanceId, &(Incarnation, Instant))| *due <= now;
        let due = self.restarted_entries.iter().filter(is_due);
        let due: Vec<_> = due.map(|(entry, (incarnation, _))| (*entry, *incarnation)).collect();
        for (entry, incarnation) in due {
            self.drop_leases(now, entry, Some(incarnation));
        }
    }

    fn check_announcement(
        &self,
        announcement: &Announcement,
        declared: &Declarations,
    ) -> Result<(), AnnouncementError> {
        check_fields(announcement)?;
        let record = &announcement.record;
        if !self.allowed_domains.contains(&record.domain) {
            let reason = format!("targets of failure domain {} are not allowed", record.domain);
            return refuse(ResultCode::DomainNotAllowed, reason);
        }
        if !declared.services.contains_key(&record.service) {
            let reason = format!("service {:?} is not declared", record.service);
            return refuse(ResultCode::ServiceNotDeclared, reason);
        }
        self.check_address(record, declared)
    }

    /// Checks that no service, no target of another service and no newer incarnation holds the address. A
    /// target keeps its address until its lease has expired at all entries, since established flows may still
    /// refer to it.
    fn check_address(
        &self,
        record: &TargetRecord,
        declared: &Declarations,
    ) -> Result<(), AnnouncementError> {
        let has_address = |s: &&_| service_address(s) == record.address;
        if let Some(service) = declared.services.values().find(has_address) {
            let reason =
                format!("{} is the address of service {:?}", record.address, service.spec.name);
            return refuse(ResultCode::AddressConflict, reason);
        }
        let known = self.targets.get(record.address);
        let leased = known.filter(|known| known.is_leased()).map(|known| &known.record);
        let holders = leased.into_iter().chain(declared.targets.get(&record.address));
        for holder in holders {
            if holder.service != record.service {
                let reason = format!("{} belongs to service {:?}", record.address, holder.service);
                return refuse(ResultCode::AddressConflict, reason);
            }
        }
        let newest = known.map(|known| &known.record).into_iter();
        let newest = newest.chain(declared.targets.get(&record.address));
        let newest = newest.map(|holder| holder.incarnation).max();
        match newest {
            Some(newest) if newest > record.incarnation => {
                let reason = format!("incarnation {} is newer", newest.0);
                refuse(ResultCode::OldIncarnation, reason)
            }
            _ => Ok(()),
        }
    }

    /// Checks that no entry knows a later announcement of the same incarnation with other content. This entry may read
    /// an announcement that its target has given up, and has repeated at another entry since.
    fn check_sequence(&self, announcement: &Announcement) -> Result<(), AnnouncementError> {
        let record = &announcement.record;
        let known =
            self.targets.get(record.address).filter(|k| k.record.incarnation == record.incarnation);
        match known {
            Some(known) if announcement.sequence < known.sequence => {
                let reason = format!("announcement {} is newer", known.sequence);
                refuse(ResultCode::OldIncarnation, reason)
            }
            _ => Ok(()),
        }
    }

    fn store_announced(&mut self, now: Instant, announcement: &Announcement, sequence: u64) {
        let lease = self.next_lease(true);
        let announced = AnnouncedTarget {
            record: announcement.record.clone(),
            sequence,
            lease_ms: announcement.lease_ms,
            heard_by: BTreeMap::from([(self.id, lease)]),
        };
        self.merge(now, &announced);
        self.mark_pending(announcement.record.address);
    }

    fn next_lease(&mut self, hears: bool) -> EntryLease {
        self.last_change += 1;
        EntryLease { version: (self.incarnation, self.last_change), hears }
    }

    fn merge(&mut self, now: Instant, announced: &AnnouncedTarget) {
        let address = announced.record.address;
        let before = self.targets.get(address).cloned();
        self.targets.merge_one(announced);
        self.correct_local_lease(address);
        let Some(after) = self.targets.get(address) else { return };
        let was_leased = before.as_ref().is_some_and(AnnouncedTarget::is_leased);
        if after.is_leased() {
            self.lost_since.remove(&address);
        } else {
            self.lost_since.entry(address).or_insert(now);
        }
        let kind = event_kind(before.as_ref().filter(|_| was_leased), after);
        self.actions.extend(kind.map(|kind| RegistryAction::Changed(kind, after.record.clone())));
    }

    /// Corrects the lease recorded for this entry, which may come from an earlier incarnation of it.
    fn correct_local_lease(&mut self, address: SocketAddr) {
        let Some(known) = self.targets.get(address) else { return };
        let lease = self.leases.get(&address);
        let hears = lease.is_some_and(|lease| lease.incarnation == known.record.incarnation);
        let recorded = known.heard_by.get(&self.id).is_some_and(|lease| lease.hears);
        if hears == recorded {
            return;
        }
        let mut corrected = known.clone();
        corrected.heard_by.insert(self.id, self.next_lease(hears));
        self.targets.merge_one(&corrected);
        self.mark_pending(address);
    }

    fn expire_lease(&mut self, now: Instant, address: SocketAddr) {
        self.leases.remove(&address);
        let Some(mut announced) = self.targets.get(address).cloned() else { return };
        announced.heard_by.insert(self.id, self.next_lease(false));
        self.merge(now, &announced);
        self.mark_pending(address);
    }

    fn mark_pending(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut() {
            peer.pending.insert(address, self.last_change);
        }
    }

    fn on_confirm(&mut self, from: InstanceId, number: u64) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.last_share_number != number {
            return;
        }
        let is_full = peer.sent.len() == MAX_SHARE_RECORDS;
        for (address, change) in std::mem::take(&mut peer.sent) {
            if peer.pending.get(&address) == Some(&change) {
                peer.pending.remove(&address);
            }
        }
        // After a full message, which is usual for a new peer, the next one is sent at once.
        peer.next_share = peer.next_share.filter(|_| !is_full);
    }

    fn send_shares(&mut self, now: Instant) {
        for (to, peer) in &mut self.peers {
            let is_due = peer.next_share.is_none_or(|next| next <= now);
            if peer.pending.is_empty() || !is_due {
                continue;
            }
            peer.next_share = Some(now + SHARE_INTERVAL);
            peer.last_share_number += 1;
            peer.sent =
                peer.pending.iter().take(MAX_SHARE_RECORDS).map(|(a, c)| (*a, *c)).collect();
            let records =
                peer.sent.iter().filter_map(|(a, _)| self.targets.get(*a)).cloned().collect();
            let message = RegistryMessage::Share { number: peer.last_share_number, records };
            self.actions.push(RegistryAction::Send { to: *to, message });
        }
    }

    fn forget_lost(&mut self, now: Instant) {
        let lost = &mut self.lost_since;
        let expired = |since: &Instant| now.duration_since(*since) >= LOST_RETENTION;
        self.targets.retain(|known| !lost.get(&known.record.address).is_some_and(expired));
        lost.retain(|_, since| !expired(since));
    }
}

fn service_address(service: &comfreyhold_types::declarations::Service) -> SocketAddr {
    service.spec.address
}

fn check_fields(announcement: &Announcement) -> Result<(), AnnouncementError> {
    let record = &announcement.record;
    if let Err(error) = check_name("service", &record.service) {
        return refuse(ResultCode::BadAnnouncement, error.to_string());
    }
    if record.address.port() == 0 || record.address.ip().is_unspecified() {
        return refuse(ResultCode::BadAnnouncement, "address and port must be given");
    }
    if !(1..=MAX_SLOTS).contains(&record.slots) {
        let reason = format!("slots: {} is not allowed; allowed: 1 to {MAX_SLOTS}", record.slots);
        return refuse(ResultCode::BadAnnouncement, reason);
    }
    if record.incarnation.0 > MAX_INCARNATION {
        let found = record.incarnation.0;
        let reason =
            format!("incarnation: {found} is not allowed; allowed: 0 to {MAX_INCARNATION}");
        return refuse(ResultCode::BadAnnouncement, reason);
    }
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&announcement.lease_ms) {
        let lease_ms = announcement.lease_ms;
        let allowed = format!("{MIN_LEASE_MS} to {MAX_LEASE_MS}");
        let reason = format!("lease_ms: {lease_ms} is not allowed; allowed: {allowed}");
        return refuse(ResultCode::BadAnnouncement, reason);
    }
    Ok(())
}

fn event_kind(before: Option<&AnnouncedTarget>, after: &AnnouncedTarget) -> Option<EventKind> {
    if !after.is_leased() {
        return before.map(|_| EventKind::TargetLost);
    }
    match before {
        Some(before) if before.record == after.record => None,
        Some(before) if before.record.incarnation == after.record.incarnation => {
            (after.record.state == TargetState::Draining).then_some(EventKind::TargetDraining)
        }
        _ => Some(EventKind::TargetJoined),
    }
}
