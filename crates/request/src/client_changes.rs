//! How a client follows changes around it: dispatchers, its own lease, failure domains, shutdown.

use crate::attempt::{NotRunCause, RefusalCode, UnknownCause};
use crate::client::{Action, Client};
use crate::message::{Pool, RequestId};
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
        self.move_queued(now, |pool| changed.contains(&pool), out);
    }

    pub(crate) fn on_isolated(&mut self, now: Instant, isolated: bool, out: &mut Vec<Action>) {
        self.directory.set_isolated(isolated);
        let directory = self.directory.clone();
        self.move_queued(now, |pool| !directory.domain_allowed(pool.domain), out);
    }

    pub(crate) fn on_domains_out(
        &mut self,
        now: Instant,
        out_set: BTreeSet<DomainId>,
        out: &mut Vec<Action>,
    ) {
        self.directory.set_domains_out(out_set.clone());
        self.move_queued(now, |pool| out_set.contains(&pool.domain), out);
        let in_flight = self.requests.iter().filter(|(_, request)| {
            let pool = request.stage.pool();
            request.stage.grant().is_some() && out_set.contains(&pool.domain)
        });
        for id in in_flight.map(|(id, _)| *id).collect::<Vec<_>>() {
            let no_target = NotRunCause::Refused(RefusalCode::new(ResultCode::NoTarget));
            self.stop(now, id, (no_target, UnknownCause::DomainOut), out);
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

    pub(crate) fn ask_again(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut request) = self.take(id) else { return };
        request.tried.clear();
        if let Stage::Queued(queued, _) = &request.stage {
            self.send_cancel(*queued, out);
        }
        match self.ask(now, id, &mut request, out) {
            Ok(()) => self.store(id, request),
            Err(code) => out.push(Action::Finish(id, code)),
        }
    }
}
