//! How a dispatcher takes over from an earlier one.

use crate::dispatcher::{Action, Dispatcher, GRANT_MARGIN, Phase};
use crate::grants::Grant;
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
        self.phase = Phase::Collecting(takeover);
        self.reporters.clear();
        self.records.clear();
        let mut targets = TargetSlots::new(self.cfg.profile.cold.clone());
        let max_slots = self.cfg.profile.max_slots;
        targets.replace(now, &self.known_targets, max_slots, |address| !cold.contains(&address));
        self.targets = targets;
    }

    pub(crate) fn on_held(
        &mut self,
        now: Instant,
        from: InstanceId,
        held: &[HeldGrant],
        witnessed: Option<WitnessRecord>,
    ) {
        let awaited = self.awaits(from);
        let fresh = match &mut self.phase {
            Phase::Collecting(takeover) => takeover.report(from),
            Phase::Active => {
                self.reserved.as_mut().is_some_and(|(_, missing)| missing.remove(&from))
            }
            Phase::Stopped => false,
        };
        if !fresh {
            return;
        }
        if awaited {
            self.reporters.insert(from);
            self.records.remove(&from);
        }
        for grant in held {
            self.adopt(now, grant);
        }
        if let Some(record) = witnessed {
            self.on_record(now, record);
        }
        if self.reserved.as_ref().is_some_and(|(_, missing)| missing.is_empty()) {
            self.reserved = None;
            self.targets.clear_reserved();
        }
    }

    fn awaits(&self, entry: InstanceId) -> bool {
        matches!(&self.phase, Phase::Collecting(takeover) if takeover.awaits(entry))
    }

    /// A record counts only if the dispatcher's own entry doesn't report: it may name grants that were released
    /// just before, whose holder has nothing left to release here.
    fn on_record(&mut self, now: Instant, record: WitnessRecord) {
        let WitnessRecord { dispatcher, grants } = record;
        if self.reporters.contains(&dispatcher) {
            return;
        }
        if self.awaits(dispatcher) {
            self.records.insert(dispatcher, (now, grants));
            return;
        }
        for grant in &grants {
            self.adopt(now, grant);
        }
        self.cover(dispatcher);
    }

    /// Adopts the records of dispatchers whose entries have not reported in time.
    fn adopt_records(&mut self) {
        for (dispatcher, (came, grants)) in std::mem::take(&mut self.records) {
            for grant in &grants {
                self.adopt(came, grant);
            }
            self.cover(dispatcher);
        }
    }

    /// The grants of a failed dispatcher to its own instance are known from its witness.
    fn cover(&mut self, dispatcher: InstanceId) {
        match &mut self.phase {
            Phase::Collecting(takeover) => takeover.cover(dispatcher),
            Phase::Active => {
                if let Some((_, missing)) = &mut self.reserved {
                    missing.remove(&dispatcher);
                }
            }
            Phase::Stopped => {}
        }
    }

    fn adopt(&mut self, now: Instant, held: &HeldGrant) {
        let released = match &self.phase {
            Phase::Collecting(takeover) => takeover.released.contains(&held.grant),
            _ => false,
        };
        if released || self.grants.get(held.grant).is_some() {
            return;
        }
        let Some(target) = self.targets.adopt(held.target) else { return };
        let expires = now + held.remaining + GRANT_MARGIN;
        self.grants.insert(held.grant, Grant { target, started: now, expires });
    }

    /// Asks entries that did not report in time again: they may be alive after all.
    pub(crate) fn ask_missing(&self, out: &mut Vec<Action>) {
        let Some((_, missing)) = &self.reserved else { return };
        let ask = Message::ReportGrants { pool: self.cfg.pool, epoch: self.cfg.epoch };
        out.extend(missing.iter().map(|entry| Action::Send(*entry, ask.clone())));
    }

    pub(crate) fn finish_takeover(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Phase::Collecting(takeover) = &mut self.phase else { return };
        let ask = Message::ReportGrants { pool: self.cfg.pool, epoch: self.cfg.epoch };
        for entry in takeover.due_asks(now) {
            out.push(Action::Send(entry, ask.clone()));
        }
        if !takeover.is_complete(now) {
            return;
        }
        self.adopt_records();
        let Phase::Collecting(takeover) = &self.phase else { return };
        let missing = takeover.missing();
        let until = takeover.lease_ends + self.cfg.profile.deadline() + GRANT_MARGIN;
        self.phase = Phase::Active;
        if !missing.is_empty() {
            self.targets.reserve_rest();
            self.reserved = Some((until, missing));
        }
        if !self.targets.any_serving() {
            self.refuse_all(ResultCode::NoTarget, out);
        } else if self.targets.totals().usable == 0 {
            self.refuse_all(ResultCode::Shed, out);
        }
    }
}
