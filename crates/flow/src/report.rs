//! Periodic work, done in small steps: reports of flows in moved slots, refreshes and expiry of
//! records, and the end of transitions.

use crate::control::Control;
use crate::flow::FlowHash;
use crate::handover::Batches;
use crate::message::{Message, Outgoing, PinKind};
use crate::records::{Record, RecordKind, SHARDS};
use crate::router::{FlowRouter, tenths};
use crate::targets::TargetKey;
use crate::view::{ServiceView, SlotTransition, View};
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Upper limit of bytes per second that one entry spends on reports and exceptions. All control
/// traffic of an entry has a few kilobytes per second.
pub const EXCEPTION_BYTES_PER_S: i64 = 3_000;

/// Bytes per second above which refreshes are delayed for up to the idle timeout. They have a
/// separate budget: with a common one, refreshes of many live pins would keep transitions from
/// ending, and so the flows would stay pins.
pub const REFRESH_BYTES_PER_S: i64 = 3_000;

/// Shards swept per tick.
const SHARDS_PER_SWEEP: usize = 4;

/// Upper limit of slots per service whose transitions end together.
const MAX_SLOTS_PER_END: usize = 64;

/// Upper limit of flows reported per tick.
const MAX_FLOWS_PER_REPORT: usize = 512;

/// A flow to report to the arbiter of its slot.
pub(crate) type PendingReport = (ServiceId, TargetKey, FlowHash);

/// Slots whose transitions end once all peers have acknowledged it.
pub(crate) struct PendingEnd {
    service: ServiceId,
    version: Revision,
    slots: Vec<u16>,
    /// Peer and sequence number of each unacknowledged announcement.
    unacked: Vec<(InstanceId, u64)>,
}

impl FlowRouter {
    /// Does the work that is due. Call it every 20 to 100 ms.
    pub fn tick(&self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut control = self.control();
        control.refill_tokens(now);
        self.end_expired_drains(&mut control, now);
        self.sweep_records(&mut control, now, out);
        if control.view.is_synced && !control.view.is_isolated {
            self.send_reports(&mut control, now, out);
            self.complete_acked_ends(&mut control);
            self.end_transitions(&mut control, now, out);
        }
        if !control.view.is_isolated {
            self.request_missing_state(&mut control, now, out);
        }
        drop(control);
        self.outbox().flush(now, out);
    }

    /// Reports the next flows of moved slots to the arbiters, as far as the budget allows.
    fn send_reports(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(cursor) = control.scan_cursor else { return };
        if control.report_tokens <= 0 {
            return;
        }
        if control.pending_reports.is_empty() && cursor >= SHARDS {
            self.finish_scan(control, now);
            return;
        }
        let mut cursor = cursor;
        while control.pending_reports.is_empty() && cursor < SHARDS {
            control.pending_reports = self.unreported_flows(&control.view, cursor);
            cursor += 1;
        }
        control.scan_cursor = Some(cursor);
        let rest = control.pending_reports.len().saturating_sub(MAX_FLOWS_PER_REPORT);
        let flows = control.pending_reports.split_off(rest);
        let stamp = self.stamp(now);
        let mut batches = Batches::new();
        for (service, target, flow) in flows {
            let view = &control.view;
            let Some(transition) =
                view.service(service).and_then(|s| s.transitions.get(&flow.slot()))
            else {
                continue;
            };
            if let Some(record) = self.records.lock_shard_of(flow).get_mut(&flow) {
                record.kind = RecordKind::Pin;
                record.last_reported = stamp;
            }
            if transition.arbiter != view.local_id {
                batches.entry((transition.arbiter, service, target)).or_default().push(flow);
            }
        }
        control.report_tokens -= self.send_pins(control, &batches, PinKind::Claim, now, out);
    }

    /// Announces to the peers that all flows have been reported.
    fn finish_scan(&self, control: &mut Control, now: Instant) {
        control.scan_cursor = None;
        control.reported_through = control.newest_version();
        let through = control.reported_through;
        for peer in control.view.peers() {
            self.outbox().queue_barrier(peer, Message::ReportsDone { through });
        }
        self.update_reported_slots(control, now);
    }

    /// Flows of a shard that have not been reported to the arbiters of their slots.
    fn unreported_flows(&self, view: &View, shard: usize) -> Vec<PendingReport> {
        let shard = self.records.lock_shard(shard);
        let unreported = shard.iter().filter(|(flow, record)| {
            let service = view.service(record.service);
            let transition = service.and_then(|service| service.transitions.get(&flow.slot()));
            transition.is_some_and(|transition| match record.kind {
                RecordKind::Table => true,
                RecordKind::Pin => record.last_reported < transition.began_at,
                RecordKind::Exception => false,
            })
        });
        unreported.map(|(flow, record)| (record.service, record.target, *flow)).collect()
    }

    /// Marks the slots whose flows all entries have reported. For an entry that was lost before it
    /// reported, waits for the idle timeout: by then its live flows have passed another entry.
    pub(crate) fn update_reported_slots(&self, control: &mut Control, now: Instant) {
        let stamp = self.stamp(now);
        let longest_idle =
            control.view.services.values().map(|s| tenths(s.idle_timeout)).max().unwrap_or(0);
        control.lost_entries.retain(|(_, at)| stamp.saturating_sub(*at) <= longest_idle);
        let lost = control.lost_entries.clone();
        let others = control.view.peers();
        let reported =
            others.map(|id| control.progress.get(&id).map_or(Revision(0), |p| p.reported_through));
        let through =
            reported.min().unwrap_or(control.reported_through).min(control.reported_through);
        let mut changed = false;
        for service in control.view.services.values_mut() {
            let idle = tenths(service.idle_timeout);
            let is_complete = |m: &SlotTransition| {
                let missing = |(reported, at): &(Revision, u32)| {
                    *reported < m.moved_version && stamp.saturating_sub(*at) <= idle
                };
                m.is_authoritative
                    && !m.all_reported
                    && m.moved_version <= through
                    && !lost.iter().any(missing)
            };
            if service.transitions.values().any(is_complete) {
                for transition in Arc::make_mut(service).transitions.values_mut() {
                    transition.all_reported |= is_complete(transition);
                }
                changed = true;
            }
        }
        if changed {
            self.publish(control);
        }
    }

    /// Removes draining targets whose drain time is over, which ends their flows.
    fn end_expired_drains(&self, control: &mut Control, now: Instant) {
        let stamp = self.stamp(now);
        let ended: Vec<_> = control
            .draining_since
            .iter()
            .filter(|(address, since)| {
                let target = control.view.targets.get_by_address(**address);
                let service = target.and_then(|target| control.view.service(target.service));
                service.is_some_and(|s| stamp.saturating_sub(**since) >= tenths(s.drain_time))
            })
            .map(|(address, _)| *address)
            .collect();
        for address in &ended {
            Arc::make_mut(&mut control.view.targets).remove(*address);
            control.draining_since.remove(address);
        }
        if !ended.is_empty() {
            self.publish(control);
        }
    }

    /// Sweeps the next shards: removes expired records and refreshes live ones at other entries.
    fn sweep_records(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        let stamp = self.stamp(now);
        let mut pins = Batches::new();
        let mut exceptions = Batches::new();
        for _ in 0..SHARDS_PER_SWEEP {
            let mut shard = self.records.lock_shard(control.sweep_cursor);
            control.sweep_cursor = (control.sweep_cursor + 1) % SHARDS;
            let may_send = control.view.is_synced && !control.view.is_isolated;
            let in_budget = control.refresh_tokens > 0;
            shard.retain(|flow, record| {
                let Some(service) = control.view.service(record.service) else { return false };
                let transition = service.transitions.get(&flow.slot());
                if transition.is_none() && control.view.is_synced && !control.view.is_isolated {
                    convert_stable_pin(&control.view, service, *flow, record);
                }
                if is_expired(service, record, stamp) {
                    return false;
                }
                if may_send && needs_refresh(service, record, stamp, in_budget) {
                    record.last_reported = stamp;
                    let add = |batches: &mut Batches, to| {
                        batches.entry((to, record.service, record.target)).or_default().push(*flow);
                    };
                    match (record.kind, transition) {
                        (RecordKind::Pin, Some(transition)) => {
                            let roles =
                                [Some(transition.arbiter), transition.backup].into_iter().flatten();
                            roles
                                .filter(|to| *to != control.view.local_id)
                                .for_each(|to| add(&mut pins, to));
                        }
                        (RecordKind::Exception, _) => {
                            control.view.peers().for_each(|to| add(&mut exceptions, to))
                        }
                        _ => {}
                    }
                }
                true
            });
        }
        let sent = self.send_pins(control, &pins, PinKind::Refresh, now, out)
            + self.send_pins(control, &exceptions, PinKind::Exception, now, out);
        control.refresh_tokens = (control.refresh_tokens - sent).max(-REFRESH_BYTES_PER_S);
    }

    /// Ends the transitions that are due, at most once per second.
    fn end_transitions(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        let stamp = self.stamp(now);
        if stamp < control.last_end_check + tenths(Duration::from_secs(1))
            || control.report_tokens <= 0
        {
            return;
        }
        control.last_end_check = stamp;
        self.update_reported_slots(control, now);
        let mut ended: BTreeMap<ServiceId, Vec<u16>> = BTreeMap::new();
        for service in control.view.services.values() {
            let slots: Vec<u16> = control.endable_slots(service, stamp);
            if !slots.is_empty() {
                ended.insert(service.id, slots);
            }
        }
        for (id, slots) in &ended {
            control.mark_ended(*id, slots);
        }
        if !ended.is_empty() {
            self.publish(control);
            self.announce_ends(control, &ended, now, out);
        }
    }

    /// Sends the exceptions of slots whose transitions end, and then the end itself.
    fn announce_ends(
        &self,
        control: &mut Control,
        ended: &BTreeMap<ServiceId, Vec<u16>>,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let mut exceptions = Batches::new();
        let stamp = self.stamp(now);
        let slots: BTreeSet<(ServiceId, u16)> =
            ended.iter().flat_map(|(id, slots)| slots.iter().map(|slot| (*id, *slot))).collect();
        for index in 0..SHARDS {
            for (flow, record) in self.records.lock_shard(index).iter_mut() {
                if !slots.contains(&(record.service, flow.slot())) {
                    continue;
                }
                let Some(service) = control.view.service(record.service) else { continue };
                let placed = control.view.placement(service, flow.slot()).map(|(key, _)| key);
                if placed == Some(record.target)
                    || control.view.usable_target(record.target, service.id).is_none()
                {
                    continue;
                }
                record.kind = RecordKind::Exception;
                record.last_reported = stamp;
                for peer in control.view.peers() {
                    exceptions
                        .entry((peer, record.service, record.target))
                        .or_default()
                        .push(*flow);
                }
            }
        }
        control.report_tokens -= self.send_pins(control, &exceptions, PinKind::Exception, now, out);
        let version = control.view.active_version;
        for (service, slots) in ended {
            let message = Message::Stable { service: *service, version, slots: slots.clone() };
            let others = control.view.peers();
            let sent = others
                .filter_map(|to| Some((to, self.outbox().queue_barrier(to, message.clone())?)));
            let unacked = sent.collect();
            control.pending_ends.push(PendingEnd {
                service: *service,
                version,
                slots: slots.clone(),
                unacked,
            });
        }
    }

    /// Announces unacknowledged ends to added entries. Their exceptions have been handed over.
    pub(crate) fn announce_ends_to(&self, control: &mut Control, added: &BTreeSet<InstanceId>) {
        for end in &mut control.pending_ends {
            for peer in added {
                let PendingEnd { service, version, .. } = *end;
                let message = Message::Stable { service, version, slots: end.slots.clone() };
                let seq = self.outbox().queue_barrier(*peer, message);
                end.unacked.extend(seq.map(|seq| (*peer, seq)));
            }
        }
    }

    /// Makes slots stable here once every live entry has acknowledged the end of their transition.
    fn complete_acked_ends(&self, control: &mut Control) {
        let mut pending_ends = std::mem::take(&mut control.pending_ends);
        let mut changed = false;
        pending_ends.retain_mut(|end| {
            let outbox = self.outbox();
            end.unacked.retain(|(peer, seq)| outbox.is_unacked(*peer, *seq));
            if !end.unacked.is_empty() {
                return true;
            }
            if let Some(service) = control.view.service_mut(end.service) {
                for slot in &end.slots {
                    let ended = service.transitions.get(slot);
                    if ended.is_some_and(|m| {
                        m.ended_version == Some(end.version) && m.moved_version <= end.version
                    }) {
                        service.transitions.remove(slot);
                    }
                }
            }
            changed = true;
            false
        });
        control.pending_ends = pending_ends;
        if changed {
            self.publish(control);
        }
    }
}

impl Control {
    fn refill_tokens(&mut self, now: Instant) {
        let elapsed = self
            .last_refill
            .map_or(Duration::from_secs(1), |last| now.saturating_duration_since(last));
        let tokens =
            i64::try_from(elapsed.as_millis()).unwrap_or(0) * EXCEPTION_BYTES_PER_S / 1_000;
        if tokens > 0 {
            self.report_tokens = (self.report_tokens + tokens).min(EXCEPTION_BYTES_PER_S);
            let refresh = tokens * REFRESH_BYTES_PER_S / EXCEPTION_BYTES_PER_S;
            self.refresh_tokens = (self.refresh_tokens + refresh).min(REFRESH_BYTES_PER_S);
            self.last_refill = Some(now);
        }
    }

    fn endable_slots(&self, service: &ServiceView, stamp: u32) -> Vec<u16> {
        let idle = tenths(service.idle_timeout);
        let endable = service.transitions.iter().filter(|(_, m)| {
            let due_at =
                m.activated_at.map(|at| if at == 0 { 0 } else { at.max(self.last_loss_at) + idle });
            let is_due = due_at.is_some_and(|due_at| stamp >= due_at);
            is_due
                && m.is_authoritative
                && m.all_reported
                && m.ended_version.is_none()
                && m.moved_version <= self.view.active_version
        });
        endable.map(|(slot, _)| *slot).take(MAX_SLOTS_PER_END).collect()
    }

    /// Marks the transitions as ended: from now on, unrecorded flows of the slots are new.
    fn mark_ended(&mut self, id: ServiceId, slots: &[u16]) {
        let active = self.view.active_version;
        let Some(service) = self.view.service_mut(id) else { return };
        for slot in slots {
            let base = service.table.as_ref().and_then(|table| table.target(*slot));
            if let Some(transition) = service.transitions.get_mut(slot) {
                transition.base = base.unwrap_or(transition.base);
                transition.stable_version = active;
                transition.known_since = Revision(0);
                transition.ended_version = Some(active);
            }
        }
    }
}

/// Converts the pin of a stable slot: to a table record if the table places the flow on the same
/// target, otherwise to an exception.
fn convert_stable_pin(view: &View, service: &ServiceView, flow: FlowHash, record: &mut Record) {
    if record.kind != RecordKind::Pin {
        return;
    }
    let Some((placed, _)) = view.placement(service, flow.slot()) else { return };
    if placed == record.target {
        record.kind = RecordKind::Table;
    } else {
        record.kind = RecordKind::Exception;
        record.last_seen = record.last_seen.max(record.last_reported);
        record.last_reported = 0;
    }
}

fn is_expired(service: &ServiceView, record: &Record, stamp: u32) -> bool {
    let idle = tenths(service.idle_timeout);
    let age = stamp.saturating_sub(record.last_seen.max(record.last_reported));
    match record.kind {
        RecordKind::Table => age > idle,
        // Entries that see the flow refresh it every half idle timeout, or later if bytes are
        // short.
        RecordKind::Pin | RecordKind::Exception => age > idle.saturating_mul(2),
    }
}

/// Whether to refresh the flow at other entries: every half idle timeout if it was seen here. When
/// bytes are short, the refresh waits for up to the idle timeout, since the other entries drop the
/// record after twice that.
fn needs_refresh(service: &ServiceView, record: &Record, stamp: u32, in_budget: bool) -> bool {
    let idle = tenths(service.idle_timeout);
    let period = if in_budget { idle / 2 } else { idle };
    record.kind != RecordKind::Table
        && record.last_seen > record.last_reported
        && (record.last_reported == 0 || stamp.saturating_sub(record.last_reported) >= period)
}
