//! Keepalives of a client towards the dispatchers at which its requests wait.

use crate::client::{Action, Client, KEEPALIVE};
use crate::message::RequestId;
use crate::open_request::{Request, Stage, WaitingAt};
use std::time::Instant;

impl Client {
    pub(crate) fn note_waiting(&mut self, id: RequestId, request: &Request) {
        let Stage::Queued(queued, resend) = &request.stage else { return };
        let sent = resend.at - resend.interval;
        let waiting =
            self.waiting.entry(queued.pool).or_insert_with(|| WaitingAt::new(sent + KEEPALIVE));
        waiting.requests.insert(id);
    }

    pub(crate) fn forget_waiting(&mut self, id: RequestId, request: &Request) {
        let Stage::Queued(queued, _) = &request.stage else { return };
        let Some(waiting) = self.waiting.get_mut(&queued.pool) else { return };
        waiting.requests.remove(&id);
        if waiting.requests.is_empty() {
            self.waiting.remove(&queued.pool);
        }
    }

    /// Sends one acquire again to each dispatcher that has not heard of this entry for a while.
    pub(crate) fn send_keepalives(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.waiting.values().filter(|waiting| waiting.heard_until <= now);
        let due: Vec<_> = due.filter_map(|waiting| waiting.requests.first().copied()).collect();
        for waiting in self.waiting.values_mut().filter(|waiting| waiting.heard_until <= now) {
            waiting.heard_until = now + KEEPALIVE;
        }
        for id in due {
            let Some(request) = self.requests.get(&id) else { continue };
            out.extend(self.acquire(now, request));
        }
    }
}
