//! Stop of a control daemon: it tells the others, and gives its vote to a daemon that stays.

use super::Control;
use super::operations::{BROADCAST_DEADLINE, RegisterOperation};
use crate::messages::{FleetRequest, IncarnationId};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Mean interval at which a stopping daemon checks whether it has a vote, and after a failed attempt to give it away.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts to tell each daemon of the stop.
const NOTICE_ATTEMPTS: u32 = 2;

impl Control {
    /// Gives the vote of this daemon, which is told to stop, to one that stays. Returns once it has none, or no daemon can
    /// take it, but not before `at_least`, and after `limit` in any case. Another daemon that does not know of the stop yet
    /// may give it a vote until `at_least`.
    pub async fn hand_over(self: &Rc<Self>, at_least: Duration, limit: Duration) {
        let begun = tokio::time::Instant::now();
        let had_vote = self.has_vote();
        let handing_over = async {
            loop {
                let now = self.clock.now();
                if let Some(operation) = self.next_hand_over(now) {
                    let Err(error) = self.submit(operation, None).await else { continue };
                    self.record("hand-over-failed", || json!({"error": error.to_string()}));
                } else if begun.elapsed() >= at_least {
                    return;
                }
                // Daemons that stop together would preempt each other again and again.
                let jitter = rand::random::<f64>();
                tokio::time::sleep(CHECK_INTERVAL.mul_f64(0.5 + jitter)).await;
            }
        };
        let is_done = tokio::time::timeout(limit, handing_over).await.is_ok();
        self.record("hand-over", || {
            json!({
                "had_vote": had_vote,
                "has_vote": self.has_vote(),
                "in_time": is_done,
                "took_ms": begun.elapsed().as_millis(),
            })
        });
    }

    /// Whether this daemon is a voter of the newest value known, or was one before a change that is not completed.
    fn has_vote(&self) -> bool {
        self.register.newest_known().is_some_and(|value| value.voters.all().contains(&self.me))
    }

    /// What is to be written next so that this daemon has no vote; `None` if it has none, or no daemon can take it.
    fn next_hand_over(&self, now: std::time::Instant) -> Option<RegisterOperation> {
        if !self.has_vote() || !self.live_majority(now)?.0 {
            return None;
        }
        if self.register.chosen()?.voters.is_changing() {
            return Some(RegisterOperation::Complete);
        }
        let change = self.stated_voter_change(now)?;
        self.record_voter_change("stop", &change);
        Some(RegisterOperation::Voters(change))
    }

    /// Tells the other daemons of the stop, without waiting for their answers. In a large fleet only the voters and the daemons
    /// with which heartbeats are exchanged: only these know this daemon as a candidate for a vote.
    pub(super) fn announce_stop(self: &Rc<Self>) {
        let receivers: BTreeSet<SocketAddr> = if self.is_large_fleet() {
            let newest = self.register.newest_known();
            let voters = newest.iter().flat_map(|value| value.voters.all()).map(|v| v.address);
            voters.chain(self.partners.borrow().keys().copied()).collect()
        } else {
            self.live_peers().into_iter().collect()
        };
        for address in receivers.into_iter().filter(|address| *address != self.me.address) {
            tokio::task::spawn_local(Rc::clone(self).send_stop(address));
        }
    }

    async fn send_stop(self: Rc<Self>, to: SocketAddr) {
        let request = FleetRequest::Stopping(self.me.address, self.incarnation);
        for _ in 0..NOTICE_ATTEMPTS {
            match self.connections.call(to, &request, BROADCAST_DEADLINE).await {
                Ok(_) => return,
                Err(error) => log::debug!("notice of the stop to {to}: {error}"),
            }
        }
    }

    /// Learns that another daemon is told to stop.
    pub(super) fn receive_stop(&self, address: SocketAddr, start: IncarnationId) {
        self.peers.borrow_mut().record_stopping(&address, start);
        self.record("control-stopping", || json!({"address": address}));
        self.repair_due.notify_one();
    }
}
