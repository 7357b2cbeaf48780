//! Targets' announcements at an entry, their leases, and the exchange of changes with the entries of
//! the same failure domain and the control leader.

use crate::collector::ENTRY_GRACE;
use crate::targets::{AnnouncedTarget, Hearing, TargetMap};
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::check_name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Lease of a target that asks for none.
pub const DEFAULT_LEASE_MS: u64 = 3_000;

/// Shortest lease; a shorter one would end on a single lost announcement.
pub const MIN_LEASE_MS: u64 = 500;

/// Longest lease; a longer one would keep failed targets in use.
pub const MAX_LEASE_MS: u64 = 60_000;

/// Most slots of one target.
pub const MAX_SLOTS: u16 = 10_000;

/// Time between two messages to the same peer.
pub const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Records in one message, which bounds its size to some 10 KB.
pub const SHARE_RECORDS: usize = 64;

/// Time that a lost target is remembered, so that late messages don't bring it back.
pub const LOST_KEPT: Duration = Duration::from_secs(600);

/// What a target announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The target.
    #[serde(flatten)]
    pub record: TargetRecord,
    /// Lease, in milliseconds (500 to 60,000).
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

/// A refused announcement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {reason}")]
pub struct AnnouncementError {
    /// A code of the 4xxx family.
    pub code: ResultCode,
    /// Explanation for the operators of the target.
    pub reason: String,
}

fn refuse<T>(code: ResultCode, reason: impl Into<String>) -> Result<T, AnnouncementError> {
    Err(AnnouncementError { code, reason: reason.into() })
}

/// Messages between registries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// Records that the receiver has not confirmed.
    Share {
        /// Number to confirm.
        number: u64,
        /// The records.
        records: Vec<AnnouncedTarget>,
    },
    /// Confirms a `Share`.
    Confirm {
        /// Its number.
        number: u64,
    },
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryAction {
    /// Send a message.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: RegistryMessage,
    },
    /// A target joined, changed or was lost.
    Changed(EventKind, TargetRecord),
}

#[derive(Debug, Default)]
struct Peer {
    pending: BTreeMap<SocketAddr, u64>,
    sent: Vec<(SocketAddr, u64)>,
    number: u64,
    next: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    until: Instant,
    incarnation: Incarnation,
}

/// Target registry of one entry.
#[derive(Debug)]
pub struct Registry {
    id: InstanceId,
    incarnation: Incarnation,
    domain: DomainId,
    allowed: BTreeSet<DomainId>,
    map: TargetMap,
    leases: BTreeMap<SocketAddr, Lease>,
    lost: BTreeMap<SocketAddr, Instant>,
    restarted: BTreeMap<InstanceId, (Incarnation, Instant)>,
    peers: BTreeMap<InstanceId, Peer>,
    change: u64,
    out: Vec<RegistryAction>,
}

impl Registry {
    /// Creates an empty registry. `allowed` are the failure domains whose targets may announce
    /// themselves here.
    #[must_use]
    pub fn new(
        (id, incarnation): (InstanceId, Incarnation),
        domain: DomainId,
        allowed: impl IntoIterator<Item = DomainId>,
    ) -> Self {
        Self {
            id,
            incarnation,
            domain,
            allowed: allowed.into_iter().collect(),
            map: TargetMap::default(),
            leases: BTreeMap::new(),
            lost: BTreeMap::new(),
            restarted: BTreeMap::new(),
            peers: BTreeMap::new(),
            change: 0,
            out: Vec::new(),
        }
    }

    /// Names the receivers of changes: the live entries of the own domain and the control leader. A
    /// new one gets all targets heard here.
    pub fn set_peers(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        let ids: BTreeSet<InstanceId> = ids.into_iter().filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        let held: Vec<SocketAddr> = self.leases.keys().copied().collect();
        for id in ids {
            let change = self.change;
            self.peers.entry(id).or_insert_with(|| Peer {
                pending: held.iter().map(|address| (*address, change)).collect(),
                ..Peer::default()
            });
        }
    }

    /// Notes that an entry runs under a new incarnation. It gets everything heard here again, and what
    /// its earlier starts heard no longer counts after `ENTRY_GRACE`.
    pub fn on_peer_restarted(&mut self, now: Instant, id: InstanceId, incarnation: Incarnation) {
        self.restarted.insert(id, (incarnation, now + ENTRY_GRACE));
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.pending.extend(self.leases.keys().map(|address| (*address, self.change)));
        }
    }

    /// Sends everything heard here again. Call it when the own lease is regained and when a new term
    /// begins, since the leader may not have what this entry reported before.
    pub fn resend_all(&mut self) {
        let held: Vec<SocketAddr> = self.leases.keys().copied().collect();
        held.into_iter().for_each(|address| self.mark_pending(address));
    }

    /// Takes in an announcement.
    ///
    /// # Errors
    /// A 4xxx code when the announcement is refused.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        declared: &Declarations,
    ) -> Result<Vec<RegistryAction>, AnnouncementError> {
        self.check(announcement, declared)?;
        let record = &announcement.record;
        let until = now + Duration::from_millis(announcement.lease_ms);
        let lease = Lease { until, incarnation: record.incarnation };
        let renewed = self.leases.insert(record.address, lease);
        let was_held = renewed.is_some_and(|old| old.incarnation == record.incarnation);
        let known =
            self.map.get(record.address).filter(|k| k.record.incarnation == record.incarnation);
        let is_same =
            known.is_some_and(|k| k.record == *record && k.lease_ms == announcement.lease_ms);
        if !(was_held && is_same) {
            let sequence = known.map_or(1, |k| if is_same { k.sequence } else { k.sequence + 1 });
            self.store_heard(now, announcement, sequence);
        }
        Ok(std::mem::take(&mut self.out))
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
                self.out.push(RegistryAction::Send { to: from, message });
            }
            RegistryMessage::Confirm { number } => self.confirm(from, number),
        }
        std::mem::take(&mut self.out)
    }

    /// Ends leases that are due and sends changes.
    pub fn tick(&mut self, now: Instant) -> Vec<RegistryAction> {
        let is_due = |(_, lease): &(&SocketAddr, &Lease)| lease.until <= now;
        let due: Vec<SocketAddr> = self.leases.iter().filter(is_due).map(|(a, _)| *a).collect();
        due.into_iter().for_each(|address| self.end_lease(now, address));
        self.drop_restarted(now);
        self.forget_lost(now);
        self.share(now);
        std::mem::take(&mut self.out)
    }

    /// When `tick` has to be called next, if nothing else happens.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let leases = self.leases.values().map(|lease| lease.until);
        let pending = self.peers.values().filter(|peer| !peer.pending.is_empty());
        let shares = pending.map(|peer| peer.next.unwrap_or(now));
        leases.chain(shares).fold(now + SHARE_INTERVAL, Instant::min)
    }

    /// Drops the hearings of an entry that was found dead or isolated. Its targets have one lease to
    /// announce themselves elsewhere; call this `ENTRY_GRACE` later than the finding.
    pub fn drop_entry_leases(&mut self, now: Instant, entry: InstanceId) -> Vec<RegistryAction> {
        self.drop_hearings(now, entry, None);
        std::mem::take(&mut self.out)
    }

    /// The merged records.
    #[must_use]
    pub fn targets(&self) -> &TargetMap {
        &self.map
    }

    /// Whether a target's lease runs at an entry known here.
    #[must_use]
    pub fn is_leased(&self, address: SocketAddr) -> bool {
        self.map.get(address).is_some_and(AnnouncedTarget::is_leased)
    }

    /// Targets that this entry may use without a lease of its own: those of its failure domain that
    /// are heard, by address.
    pub fn local_domain_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        let usable = |k: &&AnnouncedTarget| k.is_leased() && k.record.domain == self.domain;
        self.map.iter().filter(usable).map(|known| &known.record)
    }

    fn drop_hearings(&mut self, now: Instant, entry: InstanceId, before: Option<Incarnation>) {
        for record in self.map.drop_hearings(entry, before) {
            self.lost.insert(record.address, now);
            self.out.push(RegistryAction::Changed(EventKind::TargetLost, record));
        }
    }

    /// Also repeated after later merges: other entries may pass on what they have not dropped yet.
    fn drop_restarted(&mut self, now: Instant) {
        let is_due = |(_, (_, due)): &(&InstanceId, &(Incarnation, Instant))| *due <= now;
        let due = self.restarted.iter().filter(is_due);
        let due: Vec<_> = due.map(|(entry, (incarnation, _))| (*entry, *incarnation)).collect();
        for (entry, incarnation) in due {
            self.drop_hearings(now, entry, Some(incarnation));
        }
    }

    fn check(
        &self,
        announcement: &Announcement,
        declared: &Declarations,
    ) -> Result<(), AnnouncementError> {
        check_sizes(announcement)?;
        let record = &announcement.record;
        if !self.allowed.contains(&record.domain) {
            let reason = format!("targets of failure domain {} are not allowed", record.domain);
            return refuse(ResultCode::DomainNotAllowed, reason);
        }
        if !declared.services.contains_key(&record.service) {
            let reason = format!("service {:?} is not declared", record.service);
            return refuse(ResultCode::ServiceNotDeclared, reason);
        }
        self.check_holder(record, declared)
    }

    /// A target keeps its address until its lease has ended everywhere, since established flows may
    /// still point to it.
    fn check_holder(
        &self,
        record: &TargetRecord,
        declared: &Declarations,
    ) -> Result<(), AnnouncementError> {
        let is_service = |s: &&_| service_address(s) == record.address;
        if let Some(service) = declared.services.values().find(is_service) {
            let reason =
                format!("{} is the address of service {:?}", record.address, service.spec.name);
            return refuse(ResultCode::AddressConflict, reason);
        }
        let known = self.map.get(record.address);
        let heard = known.filter(|known| known.is_leased()).map(|known| &known.record);
        let holders = heard.into_iter().chain(declared.targets.get(&record.address));
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

    fn store_heard(&mut self, now: Instant, announcement: &Announcement, sequence: u64) {
        let hearing = self.next_hearing(true);
        let announced = AnnouncedTarget {
            record: announcement.record.clone(),
            sequence,
            lease_ms: announcement.lease_ms,
            heard_by: BTreeMap::from([(self.id, hearing)]),
        };
        self.merge(now, &announced);
        self.mark_pending(announcement.record.address);
    }

    fn next_hearing(&mut self, hears: bool) -> Hearing {
        self.change += 1;
        Hearing { version: (self.incarnation, self.change), hears }
    }

    fn merge(&mut self, now: Instant, announced: &AnnouncedTarget) {
        let address = announced.record.address;
        let before = self.map.get(address).cloned();
        self.map.merge_one(announced);
        self.correct_own_hearing(address);
        let Some(after) = self.map.get(address) else { return };
        let was_heard = before.as_ref().is_some_and(AnnouncedTarget::is_leased);
        if after.is_leased() {
            self.lost.remove(&address);
        } else {
            self.lost.entry(address).or_insert(now);
        }
        let kind = change_kind(before.as_ref().filter(|_| was_heard), after);
        self.out.extend(kind.map(|kind| RegistryAction::Changed(kind, after.record.clone())));
    }

    /// Records of an earlier start of this entry may say that it hears a target, or that it does not.
    fn correct_own_hearing(&mut self, address: SocketAddr) {
        let Some(known) = self.map.get(address) else { return };
        let lease = self.leases.get(&address);
        let hears = lease.is_some_and(|lease| lease.incarnation == known.record.incarnation);
        let recorded = known.heard_by.get(&self.id).is_some_and(|hearing| hearing.hears);
        if hears == recorded {
            return;
        }
        let mut corrected = known.clone();
        corrected.heard_by.insert(self.id, self.next_hearing(hears));
        self.map.merge_one(&corrected);
        self.mark_pending(address);
    }

    fn end_lease(&mut self, now: Instant, address: SocketAddr) {
        self.leases.remove(&address);
        let Some(mut announced) = self.map.get(address).cloned() else { return };
        announced.heard_by.insert(self.id, self.next_hearing(false));
        self.merge(now, &announced);
        self.mark_pending(address);
    }

    fn mark_pending(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut() {
            peer.pending.insert(address, self.change);
        }
    }

    fn confirm(&mut self, from: InstanceId, number: u64) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.number != number {
            return;
        }
        let is_full = peer.sent.len() == SHARE_RECORDS;
        for (address, change) in std::mem::take(&mut peer.sent) {
            if peer.pending.get(&address) == Some(&change) {
                peer.pending.remove(&address);
            }
        }
        // The first message to a new peer may be one of many.
        peer.next = peer.next.filter(|_| !is_full);
    }

    fn share(&mut self, now: Instant) {
        for (to, peer) in &mut self.peers {
            let is_due = peer.next.is_none_or(|next| next <= now);
            if peer.pending.is_empty() || !is_due {
                continue;
            }
            peer.next = Some(now + SHARE_INTERVAL);
            peer.number += 1;
            peer.sent = peer.pending.iter().take(SHARE_RECORDS).map(|(a, c)| (*a, *c)).collect();
            let records = peer.sent.iter().filter_map(|(a, _)| self.map.get(*a)).cloned().collect();
            let message = RegistryMessage::Share { number: peer.number, records };
            self.out.push(RegistryAction::Send { to: *to, message });
        }
    }

    fn forget_lost(&mut self, now: Instant) {
        let lost = &mut self.lost;
        let expired = |since: &Instant| now.duration_since(*since) >= LOST_KEPT;
        self.map.retain(|known| !lost.get(&known.record.address).is_some_and(expired));
        lost.retain(|_, since| !expired(since));
    }
}

fn service_address(service: &comfreyhold_types::declarations::Service) -> SocketAddr {
    service.spec.address
}

fn check_sizes(announcement: &Announcement) -> Result<(), AnnouncementError> {
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
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&announcement.lease_ms) {
        let lease_ms = announcement.lease_ms;
        let allowed = format!("{MIN_LEASE_MS} to {MAX_LEASE_MS}");
        let reason = format!("lease_ms: {lease_ms} is not allowed; allowed: {allowed}");
        return refuse(ResultCode::BadAnnouncement, reason);
    }
    Ok(())
}

fn change_kind(before: Option<&AnnouncedTarget>, after: &AnnouncedTarget) -> Option<EventKind> {
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
