//! Takeover of the role from an earlier dispatcher: collects the grants and witness records that
//! entries report, and reserves the slots of those that don't.

use crate::dispatcher::{Action, Dispatcher, DispatcherPhase, GRANT_MARGIN};
use crate::dispatcher_refusals::ShedCause;
use crate::grants::ActiveGrant;
use crate::message::{HeldGrant, Message, WitnessRecord};
use crate::takeover::Takeover;
use crate::target_slots::TargetSlots;
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

impl Dispatcher {
    pub(crate) fn on_takeover(
        &mut self,
        now: Instant,
        takeover: Takeover,
        cold: &BTreeSet<SocketAddr>,
    ) {
        self.phase = DispatcherPhase::CollectingReports(takeover);
        self.reported_entries.clear();
        self.witness_records.clear();
        let mut targets = TargetSlots::new(self.cfg.profile.cold.clone());
        let max_slots = self.cfg.profile.max_slots;
        targets.replace(now, &self.known_targets, max_slots, |address| !cold.contains(&address));
        self.targets = targets;
    }

    pub(crate) fn on_held_grants(
        &mut self,
        now: Instant,
        from: InstanceId,
        held: &[HeldGrant],
        witnessed: Option<WitnessRecord>,
    ) {
        let was_awaited = self.awaits_report(from);
        let is_first_report = match &mut self.phase {
            DispatcherPhase::CollectingReports(takeover) => takeover.record_report(from),
            DispatcherPhase::Active => {
                self.reserved.as_mut().is_some_and(|(_, missing)| missing.remove(&from))
            }
            DispatcherPhase::Stopped => false,
        };
        if !is_first_report {
            return;
        }
        self.slow_entries.remove(&from);
        if was_awaited {
            self.reported_entries.insert(from);
            self.witness_records.remove(&from);
        }
        for grant in held {
            self.adopt(now, grant);
        }
        if let Some(record) = witnessed {
            self.on_witness_record(now, record);
        }
        if self.reserved.as_ref().is_some_and(|(_, missing)| missing.is_empty()) {
            self.reserved = None;
            self.targets.clear_reserved();
        }
    }

    fn awaits_report(&self, entry: InstanceId) -> bool {
        matches!(
            &self.phase,
            DispatcherPhase::CollectingReports(takeover) if takeover.awaits_report(entry)
        )
    }

    /// Applies a witness record only if the recorded dispatcher's entry doesn't report itself. The
    /// record may name grants released just before; since their holder has nothing left to release,
    /// they would count until the deadline.
    fn on_witness_record(&mut self, now: Instant, record: WitnessRecord) {
        let WitnessRecord { dispatcher, grants } = record;
        if self.reported_entries.contains(&dispatcher) {
            return;
        }
        if self.awaits_report(dispatcher) {
            self.witness_records.insert(dispatcher, (now, grants));
            return;
        }
        for grant in &grants {
            self.adopt(now, grant);
        }
        self.mark_grants_known(dispatcher);
    }

    /// Adopts the witness records of dispatchers whose entries have not reported in time.
    fn adopt_witness_records(&mut self) {
        for (dispatcher, (received_at, grants)) in std::mem::take(&mut self.witness_records) {
            for grant in &grants {
                self.adopt(received_at, grant);
            }
            self.mark_grants_known(dispatcher);
        }
    }

    /// Records that the grants of a failed dispatcher to its own instance are known from its
    /// witness.
    fn mark_grants_known(&mut self, dispatcher: InstanceId) {
        match &mut self.phase {
            DispatcherPhase::CollectingReports(takeover) => takeover.mark_grants_known(dispatcher),
            DispatcherPhase::Active => {
                if let Some((_, missing)) = &mut self.reserved {
                    missing.remove(&dispatcher);
                }
            }
            DispatcherPhase::Stopped => {}
        }
    }

    fn adopt(&mut self, now: Instant, held: &HeldGrant) {
        let released = match &self.phase {
            DispatcherPhase::CollectingReports(takeover) => takeover.released.contains(&held.grant),
            _ => false,
        };
        if released || self.grants.get(held.grant).is_some() {
            return;
        }
        let Some(target) = self.targets.adopt(held.target) else { return };
        let expires_at = now + held.remaining + GRANT_MARGIN;
        self.grants.insert(held.grant, ActiveGrant { target, granted_at: now, expires_at });
    }

    /// Requests reports again from entries that missed the timeout: they may be alive.
    pub(crate) fn request_missing_reports(&self, out: &mut Vec<Action>) {
        let Some((_, missing)) = &self.reserved else { return };
        let request = Message::ReportGrants { pool: self.cfg.pool, epoch: self.cfg.epoch };
        out.extend(missing.iter().map(|entry| Action::Send(*entry, request.clone())));
    }

    pub(crate) fn advance_takeover(&mut self, now: Instant, out: &mut Vec<Action>) {
        let DispatcherPhase::CollectingReports(takeover) = &mut self.phase else { return };
        let request = Message::ReportGrants { pool: self.cfg.pool, epoch: self.cfg.epoch };
        for entry in takeover.due_report_requests(now) {
            out.push(Action::Send(entry, request.clone()));
        }
        if !takeover.is_complete(now) {
            return;
        }
        self.adopt_witness_records();
        let DispatcherPhase::CollectingReports(takeover) = &self.phase else { return };
        let missing = takeover.entries_without_report();
        self.slow_entries = takeover.live_without_report().clone();
        let until = takeover.lease_ends + self.cfg.profile.deadline() + GRANT_MARGIN;
        self.phase = DispatcherPhase::Active;
        if !missing.is_empty() {
            self.targets.reserve_unaccounted();
            self.reserved = Some((until, missing));
        }
        if !self.targets.has_serving_target() {
            self.refuse_all(ResultCode::NoTarget, out);
        } else if self.slow_entries.is_empty() {
            self.refuse_without_usable_slots(out);
        }
    }

    /// Refuses all waiting attempts if every slot is reserved for entries that have failed. Attempts wait for a
    /// live entry that is only slow to report: when all processes stand still for a moment, none reports in time.
    pub(crate) fn refuse_without_usable_slots(&mut self, out: &mut Vec<Action>) {
        if !self.is_active() || self.targets.totals().usable > 0 || self.queue.is_empty() {
            return;
        }
        let refused = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        *self.sheds.entry(ShedCause::NoUsableSlot).or_default() += refused;
        self.refuse_all(ResultCode::Shed, out);
    }
}
