//! How the balancer feeds what it sees into the learned capacity, and what others read from it.

use super::{AnswerKind, CapacityChange, EffectiveSlots, Sample};
use crate::cookie::balancer::Balancer;
use crate::cookie::directory::AnswerCounts;
use crate::cookie::flows::FlowStage;
use crate::cookie::{CallerPacket, Cookie};
use comfreyhold_types::keys::TargetId;
use std::time::{Duration, Instant};

/// Time between two sweeps after which requests do not count as overdue: the process may have stood still, with their
/// answers still unread. Entries sweep after each batch of packets.
const MAX_SWEEP_GAP: Duration = Duration::from_millis(300);

impl Balancer {
    /// Takes the handshake and the sample that a packet of an established flow shows, before the flow is updated. A
    /// packet that was read late shows no time.
    pub(in crate::cookie) fn observe(&mut self, packet: &CallerPacket, late: bool, now: Instant) {
        if !self.settings.learns_capacity {
            return;
        }
        let Some(flow) = self.flows.get_mut(&packet.flow).filter(|flow| flow.is_opened_here) else {
            return;
        };
        if late {
            flow.sample_start = None;
            return;
        }
        if flow.stage == FlowStage::Opening {
            flow.handshake = now.saturating_duration_since(flow.last_seen);
            self.capacity.record_handshake(packet.flow.service, flow.handshake);
        }
        if flow.sample_start.is_none() {
            return;
        }
        let is_single = self.habits.is_single(packet.flow.service);
        if let Some(sample) = Sample::take(flow, packet, is_single, now) {
            let kind = self.capacity.record(&sample, &mut self.directory, now);
            if let Some(kind) = kind {
                self.record_response(kind == AnswerKind::Refused, now);
            }
        }
    }

    /// Watches the request that has begun with the last packet of a flow, if one has.
    pub(in crate::cookie) fn watch_request(&mut self, packet: &CallerPacket, now: Instant) {
        let flow = self.flows.get(&packet.flow).filter(|_| self.settings.learns_capacity);
        if let Some(flow) = flow.filter(|flow| flow.sample_start == Some(now)) {
            self.capacity.watch(packet.flow, flow);
        }
    }

    /// Records requests without an answer that have run for long, and compares the targets.
    pub(in crate::cookie) fn sweep_capacity(&mut self, now: Instant) {
        let overdue = self.flows.take_overdue();
        let due = self.capacity.take_due(now);
        let has_paused = self.capacity.record_sweep(now) > MAX_SWEEP_GAP;
        if !self.settings.learns_capacity {
            return;
        }
        for key in overdue.into_iter().filter(|_| !has_paused) {
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            let sample = Sample::overdue(flow, key.service, now);
            if let Some(sample) = sample.filter(|sample| self.capacity.is_overdue(sample)) {
                flow.sample_start = None;
                self.capacity.record(&sample, &mut self.directory, now);
            }
        }
        for (key, start) in due.into_iter().filter(|_| !has_paused) {
            let flow = self.flows.get_mut(&key);
            if let Some(flow) = flow.filter(|flow| flow.sample_start == Some(start)) {
                self.capacity.record_running(key, flow, &mut self.directory, now);
            }
        }
        self.capacity.refresh(&mut self.directory, now);
    }

    /// Records the answers and failures of other entries for the target with a cookie, in an interval of which
    /// this entry's own share has been subtracted. Record each interval once.
    pub fn record_others_answers(&mut self, cookie: Cookie, counts: AnswerCounts, now: Instant) {
        if let Some(key) = self.directory.find(cookie).filter(|_| self.settings.learns_capacity) {
            self.capacity.record_others(key, counts, &mut self.directory, now);
        }
    }

    /// Takes this entry's answers and failures since the last call, by target. Targets without any are left out.
    pub fn take_answered(&mut self) -> Vec<(TargetId, AnswerCounts)> {
        let targets = self.directory.iter_mut();
        targets
            .map(|target| (target.spec.id, std::mem::take(&mut target.answered)))
            .filter(|(_, counts)| *counts != AnswerCounts::default())
            .collect()
    }

    /// Takes the changes of effective slots by a quarter or more since the last call, at most 256.
    pub fn take_capacity_changes(&mut self) -> Vec<CapacityChange> {
        self.capacity.take_changes()
    }

    /// The targets whose effective slots are furthest from their announced ones, at most `max`. Empty while all
    /// targets count as even.
    #[must_use]
    pub fn furthest_from_announced(&self, max: usize, now: Instant) -> Vec<EffectiveSlots> {
        self.capacity.furthest(&self.directory, max, now)
    }
}
