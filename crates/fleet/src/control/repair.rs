//! Keeps the register able to bear the stated losses: completes changes whose proposer has gone, and
//! replaces voters.

use super::Control;
use super::orders::OrderKind;
use comfreyhold_consensus::register::Replica;
use comfreyhold_consensus::register::repair::{VoterCandidate, next_voters, voters_needed};
use comfreyhold_consensus::register::round::VoterChange;
use comfreyhold_types::keys::DomainName;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which a daemon that has started looks whether a majority answers.
const JOIN_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a daemon leaves to the first one after a start; a round takes a few milliseconds and two
/// syncs.
const JOIN_TURN: Duration = Duration::from_millis(250);

/// Time for which a value may be on the own disk without being known as chosen. A proposer that lives
/// tells within one round trip.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(500);

/// Time after which a silent voter is replaced, if another daemon can take its place. Most restarts are
/// over by then, and a second loss is likely to follow later.
const REPLACE_AFTER: Duration = Duration::from_secs(3);

impl Control {
    pub(super) async fn run_repair(self: Rc<Self>) {
        self.join().await;
        let started = self.clock.now();
        let mut unconfirmed: Option<Instant> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            if !self.register.has_unconfirmed() {
                unconfirmed = None;
                self.check_voters(now, started).await;
            } else if now >= *unconfirmed.get_or_insert(now) + UNCONFIRMED_LIMIT {
                unconfirmed = None;
                self.settle().await;
            }
        }
    }

    /// Finds the newest value after a start, as soon as a majority of the voters answers. One of them tries
    /// at once and the others a little later, so that their rounds do not cross.
    async fn join(self: &Rc<Self>) {
        let mut ready: Option<Instant> = None;
        while self.register.chosen().is_none() {
            tokio::time::sleep(JOIN_INTERVAL).await;
            let now = self.clock.now();
            let Some((majority, first)) = self.majority_answers(now) else { continue };
            if !majority {
                continue;
            }
            let since = *ready.get_or_insert(now);
            if first || now >= since + JOIN_TURN {
                self.settle().await;
            }
        }
    }

    /// Whether a majority of the known voters answers, and whether this daemon is the first of those.
    fn majority_answers(&self, now: Instant) -> Option<(bool, bool)> {
        let voters = self.register.known()?.voters.clone();
        let peers = self.peers.borrow();
        let live: Vec<Replica> = peers
            .heard_within(super::PEER_SILENCE, now)
            .map(|(_, state)| state.replica)
            .chain([self.me])
            .collect();
        let majority = voters.has_quorum(|disk| live.iter().any(|replica| replica.disk == disk));
        let first = live.iter().map(|replica| replica.address).min() == Some(self.me.address);
        Some((majority, first))
    }

    async fn settle(self: &Rc<Self>) {
        if let Err(error) = self.newest().await {
            self.record("not-settled", || json!({"error": error.to_string()}));
        }
    }

    async fn check_voters(&self, now: Instant, started: Instant) {
        if self.register.chosen().is_some_and(|value| value.voters.is_changing()) {
            return self.complete_change(now).await;
        }
        let Some(change) = self.voter_change(now, started) else { return };
        self.record(
            "voter-change",
            || json!({"from": addresses(&change.from), "to": addresses(&change.to)}),
        );
        if let Err(error) = self.order(OrderKind::Voters(change)).await {
            self.record("voter-change-failed", || json!({"error": error.to_string()}));
        }
    }

    /// Completes a change of voters, which its proposer does within milliseconds unless it has gone. One daemon
    /// tries, so that rounds do not cross.
    async fn complete_change(&self, now: Instant) {
        if !self.majority_answers(now).is_some_and(|(majority, first)| majority && first) {
            return;
        }
        if let Err(error) = self.order(OrderKind::Complete).await {
            self.record("voter-change-failed", || json!({"error": error.to_string()}));
        }
    }

    fn voter_change(&self, now: Instant, started: Instant) -> Option<VoterChange> {
        let voters = self.register.chosen()?.voters.current.clone();
        let peers = self.peers.borrow();
        let live: Vec<(Replica, DomainName)> = peers
            .heard_within(super::PEER_SILENCE, now)
            .map(|(_, state)| (state.replica, state.domain.clone()))
            .chain([(self.me, self.domain.clone())])
            .collect();
        // One daemon decides, so that changes do not cross.
        let decides =
            live.iter().map(|(replica, _)| replica.address).min() == Some(self.me.address);
        let majority = live.iter().filter(|(replica, _)| voters.contains(replica)).count();
        if !decides || majority <= voters.len() / 2 {
            return None;
        }
        let silent = |voter: &&Replica| {
            let heard = peers.get(&voter.address).and_then(|peer| peer.heard);
            **voter != self.me && now >= heard.unwrap_or(started) + REPLACE_AFTER
        };
        let silent = voters.iter().filter(silent).map(|voter| voter.disk).collect();
        let names: BTreeSet<&DomainName> = live.iter().map(|(_, domain)| domain).collect();
        let candidates: Vec<VoterCandidate> = live
            .iter()
            .map(|(replica, domain)| VoterCandidate {
                replica: *replica,
                domain: names.iter().position(|name| *name == domain).unwrap_or_default(),
            })
            .collect();
        let needed = voters_needed(self.settings.tolerate.instances);
        let to = next_voters(&voters, &candidates, &silent, needed)?;
        Some(VoterChange { from: voters, to })
    }
}

fn addresses(voters: &BTreeSet<Replica>) -> Vec<std::net::SocketAddr> {
    voters.iter().map(|voter| voter.address).collect()
}
