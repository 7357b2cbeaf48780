//! Grants that a client reports to dispatchers or records as a witness.

use crate::client::{Action, Client};
use crate::message::{HeldGrant, Message, Pool};
use comfreyhold_types::prelude::*;
use std::time::Instant;

impl Client {
    pub(crate) fn on_report_grants(
        &mut self,
        now: Instant,
        from: InstanceId,
        pool: Pool,
        epoch: u64,
        out: &mut Vec<Action>,
    ) {
        let fence = self.fences.entry(pool).or_insert(epoch);
        *fence = epoch.max(*fence);
        let held = self.requests.values().filter(|request| request.stage.pool() == pool);
        let grants = held.filter_map(|request| request.held_grant(now)).collect();
        let witnessed = self.witness_records.record_before(now, pool, epoch);
        out.push(Action::Send(from, Message::HeldGrants { pool, epoch, grants, witnessed }));
    }

    /// Notifies a dispatcher that a later one has requested reports, as happens after a partition.
    /// The earlier one's grants can't be used, so it must stop offering slots.
    pub(crate) fn report_fence(&self, pool: Pool, to: InstanceId, out: &mut Vec<Action>) {
        let Some(epoch) = self.fences.get(&pool).copied() else { return };
        let held = Message::HeldGrants { pool, epoch, grants: Vec::new(), witnessed: None };
        out.push(Action::Send(to, held));
    }

    /// Records grants of a dispatcher to its own instance. Once a later dispatcher has requested
    /// reports, an earlier one gets no confirmation, so it can't use the grant.
    pub(crate) fn on_witness(
        &mut self,
        now: Instant,
        from: InstanceId,
        (pool, epoch): (Pool, u64),
        grants: &[HeldGrant],
        out: &mut Vec<Action>,
    ) {
        if self.fences.get(&pool).is_some_and(|fence| epoch < *fence) {
            self.report_fence(pool, from, out);
            return;
        }
        let confirmation = self.witness_records.record(now, from, pool, epoch, grants);
        out.extend(confirmation.map(|message| Action::Send(from, message)));
    }
}
