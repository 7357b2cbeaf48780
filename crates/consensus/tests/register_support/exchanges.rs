//! Exchanges of voters at once by several daemons, and daemons that stop in the middle of them.

use super::{Message, SimulatedFleet};
use comfreyhold_consensus::register::repair::{Departures, next_voters};
use comfreyhold_consensus::register::round::{Proposal, VoterChange};
use comfreyhold_consensus::register::{DiskId, RegisterRequest, RegisterValue, Voters};
use rand::RngExt;
use std::collections::BTreeSet;
use std::sync::Arc;

impl SimulatedFleet {
    /// Lets a random daemon exchange up to two random voters and those that have stopped, based on the value that it knows,
    /// which may be outdated. Half of the exchanges are made by a change of the shared state.
    pub fn exchange_on_random_daemon(&mut self, needed: usize) {
        let at = self.random_daemon();
        if self.removed.contains(&at) {
            return;
        }
        let daemon = &self.daemons[at];
        let value = daemon.chosen.as_ref().unwrap_or(&daemon.known);
        let from: Vec<_> = value.voters.current.iter().copied().collect();
        let drawn = self.rng.random_range(0..=2);
        let stopping: BTreeSet<DiskId> =
            (0..drawn).map(|_| from[self.rng.random_range(0..from.len())].disk).collect();
        let mut live = self.candidates();
        live.retain(|candidate| !stopping.contains(&candidate.replica.disk));
        let departures = Departures { unresponsive: self.removed_disks(), stopping };
        let from: BTreeSet<_> = from.into_iter().collect();
        let Some(to) = next_voters(&from, &live, &departures, needed) else { return };
        let publication = self.rng.random_bool(0.5).then(|| self.next_publication());
        let (changes, version) = publication.unwrap_or_default();
        self.propose(at, Proposal { changes, voters: Some(VoterChange { from, to }) }, version);
    }

    /// Stops a random daemon for good, or lets it lose its data folder, whatever it does at the moment, unless that takes the
    /// majority from a set of voters which may be in force.
    pub fn lose_random_daemon(&mut self) {
        let at = self.random_daemon();
        let staying: BTreeSet<DiskId> = (0..self.daemons.len())
            .filter(|other| *other != at && !self.removed.contains(other))
            .map(|other| self.daemons[other].acceptor.disk())
            .collect();
        let has_quorum = |voters: &Voters| voters.has_quorum(|disk| staying.contains(&disk));
        if !self.voters_in_force().iter().all(has_quorum) {
            return;
        }
        if self.rng.random_bool(0.5) {
            self.remove_daemon(at);
        } else {
            self.renew_folder(at);
        }
    }

    pub(super) fn removed_disks(&self) -> BTreeSet<DiskId> {
        self.removed.iter().map(|at| self.daemons[*at].acceptor.disk()).collect()
    }

    /// The voters of the newest chosen value, and those of values that may be chosen after it.
    fn voters_in_force(&self) -> Vec<Voters> {
        let chosen = self.history.last_key_value().map(|(_, value)| value);
        let chosen = chosen.unwrap_or(&self.daemons[0].known);
        let accepted = self.daemons.iter().filter_map(|daemon| daemon.acceptor.accepted());
        let accepted = accepted.map(|value| (value.ballot, &value.voters));
        let sent = self.messages.iter().filter_map(|message| match message {
            Message::Request { request: RegisterRequest::Accept(value), .. } => {
                Some((value.ballot, &value.voters))
            }
            Message::Request { request: RegisterRequest::AcceptChange(change), .. } => {
                Some((change.ballot, &change.voters))
            }
            _ => None,
        });
        let later = accepted.chain(sent).filter(|(ballot, _)| *ballot > chosen.ballot);
        let proposing = self.daemons.iter().filter(|daemon| daemon.round.is_some());
        let proposed = proposing.filter_map(|daemon| daemon.proposed_voters.clone());
        let later = later.map(|(_, voters)| voters.clone()).chain(proposed.map(Voters::stable));
        later.chain([chosen.voters.clone()]).collect()
    }

    /// Tells all daemons of the newest chosen value, as heartbeats do.
    pub fn tell_newest_chosen(&mut self) {
        let Some((_, newest)) = self.history.last_key_value() else { return };
        for daemon in &mut self.daemons {
            daemon.chosen = Some(Arc::clone(newest));
        }
    }

    /// Tells one random daemon of the newest chosen value.
    pub fn tell_random_daemon(&mut self) {
        let at = self.random_daemon();
        if let Some((_, newest)) = self.history.last_key_value() {
            self.daemons[at].chosen = Some(Arc::clone(newest));
        }
    }

    /// Checks that the chosen values, in the order of their ballots, are one history: each builds on the one before. Two
    /// majorities would choose values that don't know of each other.
    pub fn assert_one_history(&self) {
        let values: Vec<&RegisterValue> = self.history.values().map(AsRef::as_ref).collect();
        for pair in values.windows(2) {
            let (earlier, later) = (&pair[0], &pair[1]);
            let is_next = later.state.change > earlier.state.change;
            let is_rewrite = later.state == earlier.state;
            assert!(
                is_next || is_rewrite,
                "seed {}: {:?} with change {} follows {:?} with change {}",
                self.seed,
                later.ballot,
                later.state.change,
                earlier.ballot,
                earlier.state.change
            );
            let shares_voter = !later.voters.all().is_disjoint(&earlier.voters.all());
            assert!(shares_voter, "seed {}: voters were exchanged all at once", self.seed);
        }
    }

    /// Number of different sets of voters that were chosen.
    pub fn chosen_voter_sets(&self) -> usize {
        let sets = self.history.values().map(|value| &value.voters.current);
        sets.collect::<BTreeSet<_>>().len()
    }
}
