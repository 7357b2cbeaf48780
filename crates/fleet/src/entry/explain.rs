//! Explains packets on the entry's thread, one request at a time, between the packets.

use super::{Entry, PacketCodec};
use comfreyhold_flow::cookie::explain::{
    Action, ExplainError, Explanation, LinkAction, LinkAnswer, Query,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of requests that wait. Operators ask by hand; more are refused at once.
pub const MAX_WAITING: usize = 4;

/// Time after which a request without an answer is refused. The command gives up after 2 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request that waits for the entry's thread.
pub(super) struct ExplainCall {
    query: Query,
    reply: oneshot::Sender<Result<Explanation, ExplainError>>,
}

/// Passes requests for explanations to an entry from any thread.
#[derive(Clone, Debug)]
pub struct ExplainHandle {
    tx: mpsc::Sender<ExplainCall>,
}

impl ExplainHandle {
    pub(super) fn new() -> (Self, mpsc::Receiver<ExplainCall>) {
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        (Self { tx }, rx)
    }

    /// Asks the entry where a packet would go now, and why. Nothing changes at the entry.
    ///
    /// # Errors
    /// The query is refused, [`MAX_WAITING`] requests wait already, the entry is stopping, or it does not answer within
    /// 1.5 s.
    pub async fn explain(&self, query: Query) -> Result<Explanation, ExplainError> {
        let (reply, answer) = oneshot::channel();
        self.tx.try_send(ExplainCall { query, reply }).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => {
                ExplainError::Unavailable("too many requests for explanations wait")
            }
            mpsc::error::TrySendError::Closed(_) => ExplainError::Stopping,
        })?;
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(answer) => answer.unwrap_or(Err(ExplainError::Stopping)),
            Err(_) => Err(ExplainError::Unavailable("this entry does not answer in time")),
        }
    }
}

impl<C: PacketCodec> Entry<C> {
    /// Handle by which other tasks and threads ask for explanations.
    #[must_use]
    pub fn explain_handle(&self) -> ExplainHandle {
        self.explain_handle.clone()
    }

    pub(super) async fn run_explain(self: Rc<Self>, mut rx: mpsc::Receiver<ExplainCall>) {
        while let Some(ExplainCall { query, reply }) = rx.recv().await {
            // Requests whose sender has given up are left out.
            if !reply.is_closed() {
                let answer = self.explain(&query, self.clock.now());
                if reply.send(answer).is_err() {
                    log::debug!("the sender of a request for an explanation has given up");
                }
            }
            // Packets that have arrived meanwhile go first.
            tokio::task::yield_now().await;
        }
    }

    fn explain(&self, query: &Query, now: Instant) -> Result<Explanation, ExplainError> {
        if self.stopping.get() {
            return Err(ExplainError::Stopping);
        }
        let balancer = self.balancer.borrow();
        let mut answer = balancer.explain(query, now)?;
        answer.ages.updates_ms = u64::try_from((now - self.last_update.get()).as_millis()).ok();
        if self.is_waiting_for_announcements(now) {
            answer.decision.action = Action::Wait;
            "starting".clone_into(&mut answer.decision.reason);
            return Ok(answer);
        }
        let starts = balancer.directory().iter().filter(|(_, target)| {
            answer.decision.target.as_ref() == Some(&target.spec.id.to_string())
        });
        let latest = starts.max_by_key(|(_, target)| target.spec.born_ms);
        let to = latest.map(|(_, target)| target.spec.address);
        let to = to.unwrap_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
        answer.link = self.explain_link(&query.packet(), to, now);
        apply_link(&mut answer);
        Ok(answer)
    }
}

/// The link decides on an opening before it is routed, and on what becomes of a packet that is forwarded.
fn apply_link(answer: &mut Explanation) {
    let is_forwarded = answer.decision.action == Action::Forward;
    match answer.link {
        Some(LinkAnswer { action: LinkAction::Refuse, .. }) => {
            answer.decision.action = Action::Reset;
            "link-full".clone_into(&mut answer.decision.reason);
            answer.decision.wait_ms = None;
        }
        Some(LinkAnswer { action: LinkAction::Drop, .. }) if is_forwarded => {
            answer.decision.action = Action::Drop;
            "link".clone_into(&mut answer.decision.reason);
        }
        _ => {}
    }
}
