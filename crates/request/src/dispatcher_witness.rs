//! Grants of a dispatcher to its own instance, which wait for the confirmation of its witness.

use crate::dispatcher::{Action, Dispatcher};
use crate::message::GrantId;
use comfreyhold_types::prelude::*;
use std::time::Instant;

impl Dispatcher {
    /// Sends the grants that the witness has recorded to the local entry.
    pub(crate) fn on_witnessed(
        &mut self,
        from: InstanceId,
        grants: &[GrantId],
        out: &mut Vec<Action>,
    ) {
        for attempt in self.local_grants.on_witnessed(from, grants) {
            let Some(reply) = self.replies.get(attempt) else { continue };
            let message = reply.message(attempt, self.cfg.pool, self.pool_load());
            out.push(Action::Send(self.cfg.instance, message));
        }
    }

    /// Releases the slots of grants that the witness does not confirm, so that other entries can
    /// get them. The attempts wait again, since the witness may reply or be replaced before their
    /// deadlines.
    pub(crate) fn reclaim_unconfirmed_grants(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (grant, waiting) in self.local_grants.overdue_grants(now) {
            self.release_grant(grant);
            self.replies.remove(waiting.attempt);
            let offer = self.queue.offer(waiting);
            self.apply_offer_outcome(waiting, offer, out);
        }
    }
}
