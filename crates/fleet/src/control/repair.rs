//! Keeps the register able to tolerate the configured number of failures: completes writes and voter changes
//! whose proposer has gone, and replaces voters that are unresponsive, told to stop, or without their data folder.
//!
//! One daemon decides about voters. A change that the voters themselves state the need of is also made by the next daemons
//! if the first one does not act, and by each round of another daemon.

use super::Control;
use super::operations::RegisterOperation;
use super::peers::Peers;
use comfreyhold_consensus::register::repair::{
    Departures, VoterCandidate, available_voters, next_voters, voters_wanted,
};
use comfreyhold_consensus::register::round::VoterChange;
use comfreyhold_consensus::register::{Ballot, Replica};
use comfreyhold_types::keys::DomainName;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between checks of the register and its voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which daemons that have started or are told to stop are gathered, so that one change exchanges those that do so
/// together.
const GATHER_TIME: Duration = Duration::from_millis(100);

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

/// Number of daemons that decide about voters. Those after the first make changes that voters state the need of, and complete
/// changes, if those before have not done so in time.
const MAX_DECIDERS: u32 = 3;

/// Time for which a change of voters is needed before the next daemon decides about it, beside [`TAKEOVER_ROUNDS`]. The
/// first one takes a check, and two rounds of a few milliseconds.
const TAKEOVER_AFTER: Duration = Duration::from_millis(900);

/// Rounds with a large value that the daemon before has the time for: two of its own, each after one of another daemon.
const TAKEOVER_ROUNDS: u32 = 4;

/// Which voters are to be replaced, and whether voters are added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeScope {
    /// Those without their data folders, told to stop, or silent since a time or the start of this daemon's checks; voters are
    /// added up to the wanted number.
    All { started: Instant },
    /// Those whose daemons state that they have lost their data folders or are told to stop. All daemons agree about these,
    /// while a silent voter may be silent to this daemon only.
    Stated,
}

/// What the checks of the register and its voters keep from one to the next.
struct Checks {
    started: Instant,
    /// Ballot of the accepted value that is not known to be chosen, and since when.
    unconfirmed: Option<(Ballot, Instant)>,
    /// Since when there has been any such value.
    writing_since: Option<Instant>,
    /// Since when a change of voters has been needed.
    needed_since: Option<Instant>,
}

impl Control {
    pub(super) async fn run_repair(self: Rc<Self>) {
        self.join().await;
        let mut checks = Checks {
            started: self.clock.now(),
            unconfirmed: None,
            writing_since: None,
            needed_since: None,
        };
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.repair_due.notified() => tokio::time::sleep(GATHER_TIME).await,
            }
            let now = self.clock.now();
            if self.is_unconfirmed_for_long(&mut checks, now) {
                self.read_and_confirm().await;
            } else if checks.writing_since.is_none_or(|since| now >= since + UNCONFIRMED_TIMEOUT) {
                self.check_voters(&mut checks, now).await;
            }
        }
    }

    /// Whether the local disk has held the same unconfirmed value for so long that its proposer may have gone.
    fn is_unconfirmed_for_long(&self, checks: &mut Checks, now: Instant) -> bool {
        let Some(ballot) = self.register.unconfirmed() else {
            (checks.unconfirmed, checks.writing_since) = (None, None);
            return false;
        };
        checks.writing_since.get_or_insert(now);
        let (known, since) = *checks.unconfirmed.get_or_insert((ballot, now));
        if known != ballot {
            checks.unconfirmed = Some((ballot, now));
            return false;
        }
        let is_long = now >= since + UNCONFIRMED_TIMEOUT;
        if is_long {
            checks.unconfirmed = None;
        }
        is_long
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

    async fn check_voters(&self, checks: &mut Checks, now: Instant) {
        let Some(rank) = self.decider_rank(now) else { return };
        let scope = match rank {
            0 => ChangeScope::All { started: checks.started },
            // The daemon before may hear a voter that is silent to this one.
            _ => ChangeScope::Stated,
        };
        let is_changing = self.register.chosen().is_some_and(|value| value.voters.is_changing());
        let change = if is_changing { None } else { self.needed_voter_change(scope, now) };
        if !is_changing && change.is_none() {
            checks.needed_since = None;
            return;
        }
        let since = *checks.needed_since.get_or_insert(now);
        let takeover_after = TAKEOVER_AFTER + self.register.round_time() * TAKEOVER_ROUNDS;
        if now < since + takeover_after * rank {
            return;
        }
        let operation = match change {
            Some(change) => {
                self.record_voter_change("check", &change);
                RegisterOperation::Voters(change)
            }
            // Its proposer completes a change within milliseconds unless it has gone.
            None if self.live_majority(now).is_some_and(|(has_majority, _)| has_majority) => {
                RegisterOperation::Complete
            }
            None => return,
        };
        match self.submit(operation, None).await {
            Ok(_) => checks.needed_since = None,
            Err(error) => {
                self.record("voter-change-failed", || json!({"error": error.to_string()}))
            }
        }
    }

    /// Logs a change of voters, and what has brought it about.
    pub(super) fn record_voter_change(&self, by: &'static str, change: &VoterChange) {
        let (from, to) = (addresses(&change.from), addresses(&change.to));
        self.record("voter-change", || json!({"by": by, "from": from, "to": to}));
    }

    /// Number of live daemons that decide about voters before this one; `None` if this one does not. Their rounds would
    /// preempt each other.
    fn decider_rank(&self, now: Instant) -> Option<u32> {
        if self.is_stopping.get() {
            return None;
        }
        let peers = self.peers.borrow();
        let before = peers.deciders(super::PEER_TIMEOUT, now).filter(|a| *a < self.me.address);
        let rank = u32::try_from(before.count()).ok()?;
        (rank < MAX_DECIDERS).then_some(rank)
    }

    /// Returns the change of voters that is needed because a voter has lost its data folder or is told to stop.
    pub(super) fn stated_voter_change(&self, now: Instant) -> Option<VoterChange> {
        self.needed_voter_change(ChangeScope::Stated, now)
    }

    fn needed_voter_change(&self, scope: ChangeScope, now: Instant) -> Option<VoterChange> {
        let value = self.register.chosen()?;
        if value.voters.is_changing() {
            return None;
        }
        let voters = value.voters.current.clone();
        let peers = self.peers.borrow();
        let live: Vec<LiveControl> = self.live_candidates(&peers, now);
        let live_voters = live.iter().filter(|control| voters.contains(&control.replica)).count();
        if live_voters <= voters.len() / 2 {
            return None;
        }
        let is_silent = |voter: &Replica| match scope {
            ChangeScope::All { started } => {
                let last_seen = peers.get(&voter.address).and_then(|peer| peer.last_seen);
                *voter != self.me && now >= last_seen.unwrap_or(started) + REPLACE_AFTER
            }
            ChangeScope::Stated => false,
        };
        let stopping = live.iter().filter(|control| control.is_stopping);
        let departures = Departures {
            unresponsive: voters.iter().filter(|v| is_silent(v)).map(|voter| voter.disk).collect(),
            stopping: stopping.map(|control| control.replica.disk).collect(),
        };
        let domains: BTreeSet<&DomainName> = live.iter().map(|control| &control.domain).collect();
        let is_voter_address = |address| voters.iter().any(|voter| voter.address == address);
        let candidates: Vec<VoterCandidate> = live
            .iter()
            .filter(|control| !control.is_stopping)
            .filter(|control| control.has_joined || is_voter_address(control.replica.address))
            .map(|control| VoterCandidate {
                replica: control.replica,
                domain: domains.iter().position(|name| **name == control.domain).unwrap_or(0),
            })
            .collect();
        let available = available_voters(&voters, &candidates, &departures);
        let wanted = voters_wanted(self.settings.tolerate.instances, available);
        let count = if scope == ChangeScope::Stated { wanted.min(voters.len()) } else { wanted };
        let to = next_voters(&voters, &candidates, &departures, count)?;
        Some(VoterChange { from: voters, to })
    }

    /// The daemons that have sent a heartbeat in time, and this one.
    fn live_candidates(&self, peers: &Peers, now: Instant) -> Vec<LiveControl> {
        let others =
            peers.seen_within(super::PEER_TIMEOUT, now).map(|(address, state)| LiveControl {
                replica: state.replica,
                domain: state.domain.clone(),
                has_joined: state.chosen != Ballot::default(),
                is_stopping: peers.is_stopping(address),
            });
        let local = LiveControl {
            replica: self.me,
            domain: self.domain.clone(),
            has_joined: true,
            is_stopping: self.is_stopping.get(),
        };
        others.chain([local]).collect()
    }
}

/// A control daemon within its heartbeat timeout.
struct LiveControl {
    replica: Replica,
    domain: DomainName,
    /// Whether it knows the declarations, so that it is ready to vote.
    has_joined: bool,
    /// Whether it is told to stop.
    is_stopping: bool,
}

fn addresses(voters: &BTreeSet<Replica>) -> Vec<std::net::SocketAddr> {
    voters.iter().map(|voter| voter.address).collect()
}
