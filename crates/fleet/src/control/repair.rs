//! Keeps the register able to tolerate the configured number of failures: completes writes and voter changes
//! whose proposer has gone, and replaces unresponsive voters.

use super::Control;
use super::operations::RegisterOperation;
use super::peers::Peers;
use comfreyhold_consensus::register::Replica;
use comfreyhold_consensus::register::repair::{VoterCandidate, next_voters, voters_needed};
use comfreyhold_consensus::register::round::VoterChange;
use comfreyhold_types::keys::DomainName;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between checks of the register and its voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which a daemon that has started checks whether a majority of the voters is live.
const JOIN_INTERVAL: Duration = Duration::from_millis(20);

/// Head start of the first live daemon in the read after a start. A round takes a few milliseconds and two
/// disk syncs.
const JOIN_HEAD_START: Duration = Duration::from_millis(250);

/// Time for which an accepted value may stay unconfirmed before this daemon reads the register itself. A live
/// proposer reports the chosen value within one round trip.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which a voter is replaced, if another daemon can take its place. Most
/// restarts are over by then, and a second failure is likely to follow later.
const REPLACE_AFTER: Duration = Duration::from_secs(3);

impl Control {
    pub(super) async fn run_repair(self: Rc<Self>) {
        self.join().await;
        let started = self.clock.now();
        let mut unconfirmed_since: Option<Instant> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            if !self.register.has_unconfirmed() {
                unconfirmed_since = None;
                self.check_voters(now, started).await;
            } else if now >= *unconfirmed_since.get_or_insert(now) + UNCONFIRMED_TIMEOUT {
                unconfirmed_since = None;
                self.read_and_confirm().await;
            }
        }
    }

    /// Reads the newest value after a start, as soon as a majority of the voters is live. The first live
    /// daemon tries at once and the others after [`JOIN_HEAD_START`], so that their rounds do not preempt
    /// each other.
    async fn join(self: &Rc<Self>) {
        let mut majority_since: Option<Instant> = None;
        while self.register.chosen().is_none() {
            tokio::time::sleep(JOIN_INTERVAL).await;
            let now = self.clock.now();
            let Some((has_majority, is_first)) = self.live_majority(now) else { continue };
            if !has_majority {
                continue;
            }
            let since = *majority_since.get_or_insert(now);
            if is_first || now >= since + JOIN_HEAD_START {
                self.read_and_confirm().await;
            }
        }
    }

    /// Whether a majority of the known voters is live, and whether this daemon has the lowest address of all
    /// live daemons. `None` if no voters are known.
    pub(super) fn live_majority(&self, now: Instant) -> Option<(bool, bool)> {
        let voters = self.register.newest_known()?.voters.clone();
        let peers = self.peers.borrow();
        let live: Vec<Replica> = peers
            .seen_within(super::PEER_TIMEOUT, now)
            .map(|(_, state)| state.replica)
            .chain([self.me])
            .collect();
        let has_majority =
            voters.has_quorum(|disk| live.iter().any(|replica| replica.disk == disk));
        Some((has_majority, self.is_first_live(&peers, now)))
    }

    /// Whether this daemon has the lowest address of all live daemons, with those that others hear.
    fn is_first_live(&self, peers: &Peers, now: Instant) -> bool {
        peers.live(super::PEER_TIMEOUT, now).all(|(address, _)| self.me.address < address)
    }

    /// Reads the newest value, which completes an unfinished write.
    async fn read_and_confirm(self: &Rc<Self>) {
        if let Err(error) = self.read_newest().await {
            self.record("not-settled", || json!({"error": error.to_string()}));
        }
    }

    async fn check_voters(&self, now: Instant, started: Instant) {
        if self.register.chosen().is_some_and(|value| value.voters.is_changing()) {
            return self.complete_voter_change(now).await;
        }
        let Some(change) = self.needed_voter_change(now, started) else { return };
        self.record(
            "voter-change",
            || json!({"from": addresses(&change.from), "to": addresses(&change.to)}),
        );
        if let Err(error) = self.submit(RegisterOperation::Voters(change), None).await {
            self.record("voter-change-failed", || json!({"error": error.to_string()}));
        }
    }

    /// Completes a change of voters. Its proposer does that within milliseconds unless it has gone. Only the
    /// first live daemon tries, so that rounds do not preempt each other.
    async fn complete_voter_change(&self, now: Instant) {
        if !self.live_majority(now).is_some_and(|(has_majority, is_first)| has_majority && is_first)
        {
            return;
        }
        if let Err(error) = self.submit(RegisterOperation::Complete, None).await {
            self.record("voter-change-failed", || json!({"error": error.to_string()}));
        }
    }

    /// Returns the change of voters that is needed now, if this daemon is the one to decide about it.
    fn needed_voter_change(&self, now: Instant, started: Instant) -> Option<VoterChange> {
        let voters = self.register.chosen()?.voters.current.clone();
        let peers = self.peers.borrow();
        let live: Vec<(Replica, DomainName)> = peers
            .seen_within(super::PEER_TIMEOUT, now)
            .map(|(_, state)| (state.replica, state.domain.clone()))
            .chain([(self.me, self.domain.clone())])
            .collect();
        // Only the first live daemon decides, so that changes do not conflict.
        let is_first = self.is_first_live(&peers, now);
        let live_voters = live.iter().filter(|(replica, _)| voters.contains(replica)).count();
        if !is_first || live_voters <= voters.len() / 2 {
            return None;
        }
        let is_unresponsive = |voter: &&Replica| {
            let last_seen = peers.get(&voter.address).and_then(|peer| peer.last_seen);
            **voter != self.me && now >= last_seen.unwrap_or(started) + REPLACE_AFTER
        };
        let unresponsive = voters.iter().filter(is_unresponsive).map(|voter| voter.disk).collect();
        let domains: BTreeSet<&DomainName> = live.iter().map(|(_, domain)| domain).collect();
        let candidates: Vec<VoterCandidate> = live
            .iter()
            .map(|(replica, domain)| VoterCandidate {
                replica: *replica,
                domain: domains.iter().position(|name| *name == domain).unwrap_or_default(),
            })
            .collect();
        let voter_count = voters_needed(self.settings.tolerate.instances);
        let to = next_voters(&voters, &candidates, &unresponsive, voter_count)?;
        Some(VoterChange { from: voters, to })
    }
}

fn addresses(voters: &BTreeSet<Replica>) -> Vec<std::net::SocketAddr> {
    voters.iter().map(|voter| voter.address).collect()
}
