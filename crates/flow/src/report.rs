//! Work that is done bit by bit: reports of flows in moved slots, refreshes, expiry, and the end of
//! transitions.

use crate::control::Control;
use crate::flow::FlowHash;
use crate::handover::Batches;
use crate::message::{Message, Outgoing, PinKind};
use crate::records::{Kind, Record, SHARDS};
use crate::router::{FlowRouter, tenths};
use crate::targets::TargetKey;
use crate::view::{Moving, ServiceView, View};
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most bytes per second that reports and exceptions take per entry. Entries have a few kilobytes
/// per second for all control traffic.
pub const EXCEPTION_BYTES_PER_S: i64 = 3_000;

/// Bytes per second above which refreshes wait for up to the idle time. They have their own budget:
/// out of a common one, many live pins would keep transitions from ending, and so stay pins.
pub const REFRESH_BYTES_PER_S: i64 = 3_000;

/// Shards swept per tick.
const SWEEP_SHARDS: usize = 4;

/// Slots of a service whose transition ends together.
const END_SLOTS: usize = 64;

/// Most flows reported per tick.
const REPORT_FLOWS: usize = 512;

/// A flow that waits to be reported.
pub(crate) type Pending = (ServiceId, TargetKey, FlowHash);

/// Slots whose end waits for the peers' acknowledgements.
pub(crate) struct Ending {
    service: ServiceId,
    version: Revision,
    slots: Vec<u16>,
    waiting: Vec<(InstanceId, u64)>,
}

impl FlowRouter {
    /// Does the work that is due: call it every 20 to 100 ms.
    pub fn tick(&self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut control = self.control();
        control.refill(now);
        self.end_drains(&mut control, now);
        self.sweep(&mut control, now, out);
        if control.view.synced && !control.view.isolated {
            self.report(&mut control, now, out);
            self.finish_endings(&mut control);
            self.end_transitions(&mut control, now, out);
        }
        if !control.view.isolated {
            self.ask_missing(&mut control, now, out);
        }
        drop(control);
        self.outbox().flush(now, out);
    }

    fn report(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(cursor) = control.scan else { return };
        if control.tokens <= 0 {
            return;
        }
        if control.pending.is_empty() && cursor >= SHARDS {
            self.finish_scan(control, now);
            return;
        }
        let mut cursor = cursor;
        while control.pending.is_empty() && cursor < SHARDS {
            control.pending = self.unreported(&control.view, cursor);
            cursor += 1;
        }
        control.scan = Some(cursor);
        let rest = control.pending.len().saturating_sub(REPORT_FLOWS);
        let flows = control.pending.split_off(rest);
        let stamp = self.stamp(now);
        let mut batches = Batches::new();
        for (service, target, flow) in flows {
            let view = &control.view;
            let Some(moving) = view.service(service).and_then(|s| s.moving.get(&flow.slot()))
            else {
                continue;
            };
            if let Some(record) = self.records.lock(flow).get_mut(&flow) {
                record.kind = Kind::Pin;
                record.told = stamp;
            }
            if moving.arbiter != view.me {
                batches.entry((moving.arbiter, service, target)).or_default().push(flow);
            }
        }
        control.tokens -= self.send_batches(control, &batches, PinKind::Claim, now, out);
    }

    fn finish_scan(&self, control: &mut Control, now: Instant) {
        control.scan = None;
        control.reported = control.newest();
        let through = control.reported;
        for peer in control.view.others() {
            self.outbox().barrier(peer, Message::ReportsDone { through });
        }
        self.note_reports(control, now);
    }

    /// Flows of a shard that the arbiters of their slots do not know.
    fn unreported(&self, view: &View, shard: usize) -> Vec<Pending> {
        let shard = self.records.shard(shard);
        let unknown = shard.iter().filter(|(flow, record)| {
            let service = view.service(record.service);
            let moving = service.and_then(|service| service.moving.get(&flow.slot()));
            moving.is_some_and(|moving| match record.kind {
                Kind::Plain => true,
                Kind::Pin => record.told < moving.since,
                Kind::Exception => false,
            })
        });
        unknown.map(|(flow, record)| (record.service, record.target, *flow)).collect()
    }

    /// Marks the slots whose flows all entries have reported. The flows of an entry that was lost
    /// before it reported pass another entry within the idle timeout.
    pub(crate) fn note_reports(&self, control: &mut Control, now: Instant) {
        let stamp = self.stamp(now);
        let longest =
            control.view.services.values().map(|s| tenths(s.idle_timeout)).max().unwrap_or(0);
        control.lost.retain(|(_, at)| stamp.saturating_sub(*at) <= longest);
        let lost = control.lost.clone();
        let others = control.view.others();
        let reported =
            others.map(|id| control.progress.get(&id).map_or(Revision(0), |p| p.reported));
        let through = reported.min().unwrap_or(control.reported).min(control.reported);
        let mut changed = false;
        for service in control.view.services.values_mut() {
            let idle = tenths(service.idle_timeout);
            let done = |m: &Moving| {
                let missing = |(reported, at): &(Revision, u32)| {
                    *reported < m.moved && stamp.saturating_sub(*at) <= idle
                };
                m.sure && !m.reported && m.moved <= through && !lost.iter().any(missing)
            };
            if service.moving.values().any(done) {
                for moving in Arc::make_mut(service).moving.values_mut() {
                    moving.reported |= done(moving);
                }
                changed = true;
            }
        }
        if changed {
            self.publish(control);
        }
    }

    fn end_drains(&self, control: &mut Control, now: Instant) {
        let stamp = self.stamp(now);
        let ended: Vec<_> = control
            .draining
            .iter()
            .filter(|(address, since)| {
                let target = control.view.targets.at(**address);
                let service = target.and_then(|target| control.view.service(target.service));
                service.is_some_and(|s| stamp.saturating_sub(**since) >= tenths(s.drain_time))
            })
            .map(|(address, _)| *address)
            .collect();
        for address in &ended {
            Arc::make_mut(&mut control.view.targets).remove(*address);
            control.draining.remove(address);
        }
        if !ended.is_empty() {
            self.publish(control);
        }
    }

    fn sweep(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        let stamp = self.stamp(now);
        let mut pins = Batches::new();
        let mut exceptions = Batches::new();
        for _ in 0..SWEEP_SHARDS {
            let mut shard = self.records.shard(control.sweep);
            control.sweep = (control.sweep + 1) % SHARDS;
            let may_send = control.view.synced && !control.view.isolated;
            let in_budget = control.refresh_tokens > 0;
            shard.retain(|flow, record| {
                let Some(service) = control.view.service(record.service) else { return false };
                let moving = service.moving.get(&flow.slot());
                if moving.is_none() && control.view.synced && !control.view.isolated {
                    settle_record(&control.view, service, *flow, record);
                }
                if is_expired(service, record, stamp) {
                    return false;
                }
                if may_send && needs_refresh(service, record, stamp, in_budget) {
                    record.told = stamp;
                    let add = |batches: &mut Batches, to| {
                        batches.entry((to, record.service, record.target)).or_default().push(*flow);
                    };
                    match (record.kind, moving) {
                        (Kind::Pin, Some(moving)) => {
                            let roles = [Some(moving.arbiter), moving.backup].into_iter().flatten();
                            roles
                                .filter(|to| *to != control.view.me)
                                .for_each(|to| add(&mut pins, to));
                        }
                        (Kind::Exception, _) => {
                            control.view.others().for_each(|to| add(&mut exceptions, to))
                        }
                        _ => {}
                    }
                }
                true
            });
        }
        let sent = self.send_batches(control, &pins, PinKind::Refresh, now, out)
            + self.send_batches(control, &exceptions, PinKind::Exception, now, out);
        control.refresh_tokens = (control.refresh_tokens - sent).max(-REFRESH_BYTES_PER_S);
    }

    fn end_transitions(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        let stamp = self.stamp(now);
        if stamp < control.checked + tenths(Duration::from_secs(1)) || control.tokens <= 0 {
            return;
        }
        control.checked = stamp;
        self.note_reports(control, now);
        let mut ended: BTreeMap<ServiceId, Vec<u16>> = BTreeMap::new();
        for service in control.view.services.values() {
            let slots: Vec<u16> = control.ending_slots(service, stamp);
            if !slots.is_empty() {
                ended.insert(service.id, slots);
            }
        }
        for (id, slots) in &ended {
            control.mark_ended(*id, slots);
        }
        if !ended.is_empty() {
            self.publish(control);
            self.send_endings(control, &ended, now, out);
        }
    }

    fn send_endings(
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
            for (flow, record) in self.records.shard(index).iter_mut() {
                if !slots.contains(&(record.service, flow.slot())) {
                    continue;
                }
                let Some(service) = control.view.service(record.service) else { continue };
                let placed = control.view.placement(service, flow.slot()).map(|(key, _)| key);
                if placed == Some(record.target)
                    || control.view.usable(record.target, service.id).is_none()
                {
                    continue;
                }
                record.kind = Kind::Exception;
                record.told = stamp;
                for peer in control.view.others() {
                    exceptions
                        .entry((peer, record.service, record.target))
                        .or_default()
                        .push(*flow);
                }
            }
        }
        control.tokens -= self.send_batches(control, &exceptions, PinKind::Exception, now, out);
        let version = control.view.active;
        for (service, slots) in ended {
            let message = Message::Stable { service: *service, version, slots: slots.clone() };
            let others = control.view.others();
            let sent =
                others.filter_map(|to| Some((to, self.outbox().barrier(to, message.clone())?)));
            let waiting = sent.collect();
            control.endings.push(Ending {
                service: *service,
                version,
                slots: slots.clone(),
                waiting,
            });
        }
    }

    /// Tells entries that join of the ends under way. Their exceptions have been handed over.
    pub(crate) fn repeat_endings(&self, control: &mut Control, added: &BTreeSet<InstanceId>) {
        for ending in &mut control.endings {
            for peer in added {
                let Ending { service, version, .. } = *ending;
                let message = Message::Stable { service, version, slots: ending.slots.clone() };
                let seq = self.outbox().barrier(*peer, message);
                ending.waiting.extend(seq.map(|seq| (*peer, seq)));
            }
        }
    }

    /// Makes slots stable here once every live entry knows of their end.
    fn finish_endings(&self, control: &mut Control) {
        let mut endings = std::mem::take(&mut control.endings);
        let mut changed = false;
        endings.retain_mut(|ending| {
            let outbox = self.outbox();
            ending.waiting.retain(|(peer, seq)| outbox.is_waiting(*peer, *seq));
            if !ending.waiting.is_empty() {
                return true;
            }
            if let Some(service) = control.view.service_mut(ending.service) {
                for slot in &ending.slots {
                    let ended = service.moving.get(slot);
                    if ended.is_some_and(|m| {
                        m.ended == Some(ending.version) && m.moved <= ending.version
                    }) {
                        service.moving.remove(slot);
                    }
                }
            }
            changed = true;
            false
        });
        control.endings = endings;
        if changed {
            self.publish(control);
        }
    }
}

impl Control {
    fn refill(&mut self, now: Instant) {
        let elapsed = self
            .refilled
            .map_or(Duration::from_secs(1), |last| now.saturating_duration_since(last));
        let tokens =
            i64::try_from(elapsed.as_millis()).unwrap_or(0) * EXCEPTION_BYTES_PER_S / 1_000;
        if tokens > 0 {
            self.tokens = (self.tokens + tokens).min(EXCEPTION_BYTES_PER_S);
            let refresh = tokens * REFRESH_BYTES_PER_S / EXCEPTION_BYTES_PER_S;
            self.refresh_tokens = (self.refresh_tokens + refresh).min(REFRESH_BYTES_PER_S);
            self.refilled = Some(now);
        }
    }

    fn ending_slots(&self, service: &ServiceView, stamp: u32) -> Vec<u16> {
        let idle = tenths(service.idle_timeout);
        let ended = service.moving.iter().filter(|(_, m)| {
            let since =
                m.active_at.map(|at| if at == 0 { 0 } else { at.max(self.last_loss) + idle });
            let due = since.is_some_and(|since| stamp >= since);
            due && m.sure && m.reported && m.ended.is_none() && m.moved <= self.view.active
        });
        ended.map(|(slot, _)| *slot).take(END_SLOTS).collect()
    }

    /// Unknown flows of the slots are new from now on.
    fn mark_ended(&mut self, id: ServiceId, slots: &[u16]) {
        let active = self.view.active;
        let Some(service) = self.view.service_mut(id) else { return };
        for slot in slots {
            let base = service.table.as_ref().and_then(|table| table.target(*slot));
            if let Some(moving) = service.moving.get_mut(slot) {
                moving.base = base.unwrap_or(moving.base);
                moving.stable = active;
                moving.known_since = Revision(0);
                moving.ended = Some(active);
            }
        }
    }
}

/// Gives a record of a stable slot the kind that fits the table.
fn settle_record(view: &View, service: &ServiceView, flow: FlowHash, record: &mut Record) {
    if record.kind != Kind::Pin {
        return;
    }
    let Some((placed, _)) = view.placement(service, flow.slot()) else { return };
    if placed == record.target {
        record.kind = Kind::Plain;
    } else {
        record.kind = Kind::Exception;
        record.seen = record.seen.max(record.told);
        record.told = 0;
    }
}

fn is_expired(service: &ServiceView, record: &Record, stamp: u32) -> bool {
    let idle = tenths(service.idle_timeout);
    let age = stamp.saturating_sub(record.seen.max(record.told));
    match record.kind {
        Kind::Plain => age > idle,
        // Entries that see the flow tell of it every half idle time, and may be short of bytes.
        Kind::Pin | Kind::Exception => age > idle.saturating_mul(2),
    }
}

/// A flow seen here is told of every half idle time. When bytes are short it waits for at most the
/// idle time, since the other entries forget it after twice that.
fn needs_refresh(service: &ServiceView, record: &Record, stamp: u32, in_budget: bool) -> bool {
    let idle = tenths(service.idle_timeout);
    let period = if in_budget { idle / 2 } else { idle };
    record.kind != Kind::Plain
        && record.seen > record.told
        && (record.told == 0 || stamp.saturating_sub(record.told) >= period)
}
