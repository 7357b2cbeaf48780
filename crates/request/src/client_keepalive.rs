//! Keepalives of a client for the dispatchers at which its requests wait.

use crate::client::{Action, Client, KEEPALIVE_INTERVAL};
use crate::message::RequestId;
use crate::open_request::{AttemptStage, PoolWaiters, Request};
use std::time::Instant;

impl Client {
    pub(crate) fn add_waiting(&mut self, id: RequestId, request: &Request) {
        let AttemptStage::Queued(queued, resend) = &request.stage else { return };
        let last_sent = resend.at - resend.interval;
        let waiters = self
            .waiting_by_pool
            .entry(queued.pool)
            .or_insert_with(|| PoolWaiters::new(last_sent + KEEPALIVE_INTERVAL));
        waiters.requests.insert(id);
    }

    pub(crate) fn remove_waiting(&mut self, id: RequestId, request: &Request) {
        let AttemptStage::Queued(queued, _) = &request.stage else { return };
        let Some(waiters) = self.waiting_by_pool.get_mut(&queued.pool) else { return };
        waiters.requests.remove(&id);
        if waiters.requests.is_empty() {
            self.waiting_by_pool.remove(&queued.pool);
        }
    }

    /// Resends one acquire to each dispatcher whose keepalive is due.
    pub(crate) fn send_keepalives(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.waiting_by_pool.values().filter(|waiters| waiters.keepalive_at <= now);
        let due: Vec<_> = due.filter_map(|waiters| waiters.requests.first().copied()).collect();
        for waiters in
            self.waiting_by_pool.values_mut().filter(|waiters| waiters.keepalive_at <= now)
        {
            waiters.keepalive_at = now + KEEPALIVE_INTERVAL;
        }
        for id in due {
            let Some(request) = self.requests.get(&id) else { continue };
            out.extend(self.acquire_action(now, request));
        }
    }
}
