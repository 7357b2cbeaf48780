//! Keeps the register able to bear the stated losses: completes changes whose proposer has gone, and
//! replaces voters.

use super::Control;
use super::orders::OrderKind;
use comfreyhold_consensus::register::Replica;
use comfreyhold_consensus::register::repair::{Candidate, next_voters, voters_needed};
use comfreyhold_consensus::register::round::VoterChange;
use comfreyhold_types::keys::DomainName;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a value may be on the own disk without being known as chosen. A proposer that lives
/// tells within one round trip.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(500);

/// Time after which a silent voter is replaced, if another daemon can take its place. Most restarts are
/// over by then, and a second loss is likely to follow later.
const REPLACE_AFTER: Duration = Duration::from_secs(3);

impl Control {
    pub(super) async fn run_repair(self: Rc<Self>) {
        let started = self.clock.now();
        let mut unconfirmed: Option<Instant> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            let needs_settling =
                self.register.chosen().is_none() || self.register.has_unconfirmed();
            if !needs_settling {
                unconfirmed = None;
                self.check_voters(now, started).await;
                continue;
            }
            let since = *unconfirmed.get_or_insert(now);
            if now >= since + UNCONFIRMED_LIMIT || self.register.chosen().is_none() {
                unconfirmed = None;
                if let Err(error) = self.order(OrderKind::Settle).await {
                    self.record("not-settled", || json!({"error": error.to_string()}));
                }
            }
        }
    }

    async fn check_voters(&self, now: Instant, started: Instant) {
        let Some(change) = self.voter_change(now, started) else { return };
        self.record(
            "voter-change",
            || json!({"from": addresses(&change.from), "to": addresses(&change.to)}),
        );
        if let Err(error) = self.order(OrderKind::Voters(change)).await {
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
        let candidates: Vec<Candidate> = live
            .iter()
            .map(|(replica, domain)| Candidate {
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
