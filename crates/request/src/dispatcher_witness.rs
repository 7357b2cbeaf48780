//! How a dispatcher deals with the witness of the grants to its own instance.

use crate::dispatcher::{Action, Dispatcher};
use crate::message::GrantId;
use comfreyhold_types::prelude::*;
use std::time::Instant;

impl Dispatcher {
    /// Hands out grants to the own instance that the witness has recorded.
    pub(crate) fn on_witnessed(
        &mut self,
        from: InstanceId,
        grants: &[GrantId],
        out: &mut Vec<Action>,
    ) {
        for attempt in self.self_grants.on_witnessed(from, grants) {
            let Some(answer) = self.answers.get(attempt) else { continue };
            let message = answer.message(attempt, self.cfg.pool, self.brief());
            out.push(Action::Send(self.cfg.instance, message));
        }
    }

    /// Frees the slots of grants that the witness does not confirm, so that other entries can have them.
    /// The attempts wait again, since the witness may answer or be replaced before their deadlines.
    pub(crate) fn take_back_overdue(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (grant, waiting) in self.self_grants.overdue(now) {
            self.free_grant(grant);
            self.answers.remove(waiting.attempt);
            let offer = self.queue.offer(waiting);
            self.on_offer(waiting, offer, out);
        }
    }
}
