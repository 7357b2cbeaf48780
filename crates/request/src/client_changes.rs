//! Reactions of a client to changes of dispatchers, of its own lease and of failure domains, and to
//! shutdown.

use crate::attempt::{NotRunCause, UnknownCause};
use crate::client::{Action, Client};
use crate::message::{Pool, RequestId, SlotOutcome};
use crate::open_request::AttemptStage;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

impl Client {
    pub(crate) fn on_dispatchers(
        &mut self,
        now: Instant,
        current: &BTreeMap<Pool, InstanceId>,
        out: &mut Vec<Action>,
    ) {
        let changed = self.directory.set_dispatchers(current);
        // A new dispatcher has no subscription of this entry.
        self.last_watch.retain(|service, _| changed.iter().all(|pool| pool.service != *service));
        self.replace_queued(now, |pool| changed.contains(&pool), out);
    }

    pub(crate) fn on_isolated(&mut self, now: Instant, isolated: bool, out: &mut Vec<Action>) {
        self.directory.set_isolated(isolated);
        let directory = self.directory.clone();
        self.replace_unwritten(now, |pool| !directory.is_domain_allowed(pool.domain), out);
    }

    pub(crate) fn on_domains_withdrawn(
        &mut self,
        now: Instant,
        withdrawn: BTreeSet<DomainId>,
        out: &mut Vec<Action>,
    ) {
        self.directory.set_withdrawn_domains(withdrawn.clone());
        self.replace_unwritten(now, |pool| withdrawn.contains(&pool.domain), out);
    }

    /// Ends the requests that run in a withdrawn failure domain.
    pub(crate) fn on_end_in_flight(
        &mut self,
        now: Instant,
        domain: DomainId,
        out: &mut Vec<Action>,
    ) {
        let in_flight = self.requests.iter().filter(|(_, request)| {
            request.stage.is_written() && request.stage.pool().domain == domain
        });
        for id in in_flight.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end_request(now, id, (NotRunCause::Cancelled, UnknownCause::DomainOut), out);
        }
    }

    pub(crate) fn on_stopping(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.is_stopping = true;
        let queued = self.requests.iter().filter(|(_, request)| request.stage.grant().is_none());
        for id in queued.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end_request(now, id, (NotRunCause::Stopping, UnknownCause::Cancelled), out);
        }
    }

    /// Requests new slots for the queued requests of the pools that `must_leave` selects.
    fn replace_queued(
        &mut self,
        now: Instant,
        must_leave: impl Fn(Pool) -> bool,
        out: &mut Vec<Action>,
    ) {
        let waiting = self.requests.iter().filter(|(_, request)| {
            request.stage.grant().is_none() && must_leave(request.stage.pool())
        });
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.replace_attempt(now, id, out);
        }
    }

    /// Like [`Self::replace_queued`], but also returns grants whose requests are not written yet.
    fn replace_unwritten(
        &mut self,
        now: Instant,
        must_leave: impl Fn(Pool) -> bool,
        out: &mut Vec<Action>,
    ) {
        let unwritten = self
            .requests
            .iter()
            .filter(|(_, request)| !request.stage.is_written() && must_leave(request.stage.pool()));
        for id in unwritten.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.replace_attempt(now, id, out);
        }
    }

    pub(crate) fn replace_attempt(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut request) = self.take_request(id) else { return };
        request.tried_pools.clear();
        match &request.stage {
            AttemptStage::Queued(queued, _) => self.send_cancel(*queued, out),
            AttemptStage::Granted(granted) => {
                request.granted_attempts -= 1;
                out.push(Action::Abort(granted.id));
                let (pool, grant) = (granted.pool, granted.stage.grant);
                self.send_release(
                    now,
                    pool,
                    grant,
                    SlotOutcome::Unused,
                    request.params.deadline,
                    out,
                );
            }
            AttemptStage::Written(_) => {
                self.store_request(id, request);
                return;
            }
        }
        match self.request_slot(now, id, &mut request, out) {
            Ok(()) => self.store_request(id, request),
            Err(code) => out.push(Action::Finish(id, code)),
        }
    }
}
