//! How a client follows changes around it: dispatchers, its own lease, failure domains, shutdown.

use crate::attempt::{NotRunCause, UnknownCause};
use crate::client::{Action, Client};
use crate::message::{Pool, RequestId, SlotOutcome};
use crate::open_request::Stage;
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
        // A new dispatcher doesn't know that this entry watches.
        self.watched.retain(|service, _| changed.iter().all(|pool| pool.service != *service));
        self.move_queued(now, |pool| changed.contains(&pool), out);
    }

    pub(crate) fn on_isolated(&mut self, now: Instant, isolated: bool, out: &mut Vec<Action>) {
        self.directory.set_isolated(isolated);
        let directory = self.directory.clone();
        self.move_unwritten(now, |pool| !directory.domain_allowed(pool.domain), out);
    }

    pub(crate) fn on_domains_out(
        &mut self,
        now: Instant,
        out_set: BTreeSet<DomainId>,
        out: &mut Vec<Action>,
    ) {
        self.directory.set_domains_out(out_set.clone());
        self.move_unwritten(now, |pool| out_set.contains(&pool.domain), out);
    }

    /// Ends what runs in a failure domain that is out.
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
            self.stop(now, id, (NotRunCause::Cancelled, UnknownCause::DomainOut), out);
        }
    }

    pub(crate) fn on_stopping(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.stopping = true;
        let queued = self.requests.iter().filter(|(_, request)| request.stage.grant().is_none());
        for id in queued.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.stop(now, id, (NotRunCause::Stopping, UnknownCause::Cancelled), out);
        }
    }

    /// Asks another dispatcher on behalf of requests that wait at pools that `leave` names.
    fn move_queued(&mut self, now: Instant, leave: impl Fn(Pool) -> bool, out: &mut Vec<Action>) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| request.stage.grant().is_none() && leave(request.stage.pool()));
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.ask_again(now, id, out);
        }
    }

    /// Like [`Self::move_queued`], and gives back grants that are not in use yet.
    fn move_unwritten(
        &mut self,
        now: Instant,
        leave: impl Fn(Pool) -> bool,
        out: &mut Vec<Action>,
    ) {
        let unwritten = self
            .requests
            .iter()
            .filter(|(_, request)| !request.stage.is_written() && leave(request.stage.pool()));
        for id in unwritten.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.ask_again(now, id, out);
        }
    }

    pub(crate) fn ask_again(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut request) = self.take(id) else { return };
        request.tried.clear();
        match &request.stage {
            Stage::Queued(queued, _) => self.send_cancel(*queued, out),
            Stage::Granted(granted) => {
                request.tries -= 1;
                out.push(Action::Abort(granted.id));
                let (pool, grant) = (granted.pool, granted.stage.grant);
                self.release(now, pool, grant, SlotOutcome::Unused, request.new.deadline, out);
            }
            Stage::Written(_) => {
                self.store(id, request);
                return;
            }
        }
        match self.ask(now, id, &mut request, out) {
            Ok(()) => self.store(id, request),
            Err(code) => out.push(Action::Finish(id, code)),
        }
    }
}
