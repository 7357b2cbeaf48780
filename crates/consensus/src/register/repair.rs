//! Selection of the voters among the control daemons: replaces voters whose data folder is lost, that are unresponsive or
//! that are told to stop, and adds voters until the configured number of losses is tolerated.

use super::{DiskId, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// Voters beyond those that the tolerated losses need, if there are daemons for them. They keep the register available
/// while a voter that was removed without notice is not known to be gone yet, and the next loss comes.
const RESERVE_VOTERS: usize = 2;

/// A responsive control daemon that may vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterCandidate {
    /// Control daemon and its present data folder.
    pub replica: Replica,
    /// Number of its failure domain. Any numbering is valid that gives each domain a different number.
    pub domain: usize,
}

/// Voters that are to be replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// Voters that have been unresponsive for long enough. They are replaced first, since the others still answer.
    pub unresponsive: BTreeSet<DiskId>,
    /// Voters that are told to stop.
    pub stopping: BTreeSet<DiskId>,
}

impl Departures {
    fn contains(&self, replica: &Replica) -> bool {
        self.unresponsive.contains(&replica.disk) || self.stopping.contains(&replica.disk)
    }

    /// The departing ones of a set of voters, in the order in which they are replaced.
    fn of(&self, voters: &BTreeSet<Replica>) -> Vec<Replica> {
        let mut departing: Vec<Replica> =
            voters.iter().filter(|voter| self.contains(voter)).copied().collect();
        departing.sort_by_key(|voter| !self.unresponsive.contains(&voter.disk));
        departing
    }
}

/// Number of voters that tolerates the loss of `losses` data folders at once.
#[must_use]
pub fn voters_needed(losses: usize) -> usize {
    2 * losses + 1
}

/// Number of voters for a deployment in which `available` control daemons can vote: enough to tolerate `losses`, with a
/// reserve of two where that many daemons are there. It is odd, so that one half of a deployment that is cut in two has a
/// majority.
#[must_use]
pub fn voters_wanted(losses: usize, available: usize) -> usize {
    let needed = voters_needed(losses);
    if available >= needed + RESERVE_VOTERS { needed + RESERVE_VOTERS } else { needed }
}

/// Number of control daemons that can vote: the voters that do not depart, and the daemons that can take their place.
#[must_use]
pub fn available_voters(
    voters: &BTreeSet<Replica>,
    live: &[VoterCandidate],
    departures: &Departures,
) -> usize {
    let spares = live.iter().map(|candidate| &candidate.replica);
    let available = voters.iter().chain(spares).filter(|replica| !departures.contains(replica));
    available.map(|replica| replica.address).collect::<BTreeSet<_>>().len()
}

/// Next set of voters, or `None` when the present set stays. `live` lists the responsive daemons that are not told to stop,
/// the local one included.
///
/// As many voters are replaced at once as leave a majority of the next set to voters that stay, so that the change needs
/// no answer of a new one. Otherwise a voter is added, or departing ones are removed that are not needed.
#[must_use]
pub fn next_voters(
    voters: &BTreeSet<Replica>,
    live: &[VoterCandidate],
    departures: &Departures,
    needed: usize,
) -> Option<BTreeSet<Replica>> {
    let mut selection = Selection::new(voters, live);
    let renewed = selection.renewed_folders();
    let departing = departures.of(voters);
    let others = departing.iter().filter(|voter| !renewed.contains_key(voter));
    let max_replaced = (voters.len().saturating_sub(1) / 2).max(1);
    for old in renewed.keys().chain(others).take(max_replaced) {
        let Some(new) = renewed.get(old).copied().or_else(|| selection.best_spare()) else { break };
        selection.replace(*old, new);
    }
    if selection.next != *voters {
        return Some(selection.next);
    }
    if voters.len() < needed {
        let new = selection.best_spare()?;
        selection.next.insert(new);
        return Some(selection.next);
    }
    if !departing.is_empty() {
        selection.shrink(departures, needed);
    }
    // Without answers of a majority of the next set, a change that was begun would block all later ones.
    let answers = |voter: &&Replica| {
        live.iter().any(|c| c.replica == **voter) || departures.stopping.contains(&voter.disk)
    };
    let has_majority = selection.next.iter().filter(answers).count() > selection.next.len() / 2;
    (selection.next != *voters && has_majority).then_some(selection.next)
}

/// A set of voters that is changed by one step after the other.
struct Selection<'a> {
    voters: &'a BTreeSet<Replica>,
    live: &'a [VoterCandidate],
    next: BTreeSet<Replica>,
}

impl<'a> Selection<'a> {
    fn new(voters: &'a BTreeSet<Replica>, live: &'a [VoterCandidate]) -> Self {
        Self { voters, live, next: voters.clone() }
    }

    /// Voters whose daemons now have another data folder, with that one.
    fn renewed_folders(&self) -> BTreeMap<Replica, Replica> {
        let renewed = self.voters.iter().filter_map(|voter| {
            let is_renewed = |c: &&VoterCandidate| {
                c.replica.address == voter.address && !self.voters.contains(&c.replica)
            };
            Some((*voter, self.live.iter().find(is_renewed)?.replica))
        });
        renewed.collect()
    }

    /// The daemon to add next: one of the failure domain with the fewest voters.
    fn best_spare(&self) -> Option<Replica> {
        let counts = self.voters_by_domain();
        let is_voter = |c: &&VoterCandidate| {
            self.voters.iter().chain(&self.next).any(|v| v.address == c.replica.address)
        };
        let spares = self.live.iter().filter(|candidate| !is_voter(candidate));
        let best = spares.min_by_key(|c| (counts.get(&c.domain).copied().unwrap_or(0), c.replica));
        best.map(|candidate| candidate.replica)
    }

    /// A responsive voter of the failure domain with the most voters.
    fn most_crowded(&self) -> Option<Replica> {
        let counts = self.voters_by_domain();
        let voting = self.live.iter().filter(|c| self.next.contains(&c.replica));
        let most = voting.max_by_key(|c| (counts.get(&c.domain).copied(), c.replica));
        most.map(|candidate| candidate.replica)
    }

    /// Number of responsive voters by failure domain.
    fn voters_by_domain(&self) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for candidate in self.live.iter().filter(|c| self.next.contains(&c.replica)) {
            *counts.entry(candidate.domain).or_default() += 1;
        }
        counts
    }

    /// Removes departing voters as far as `needed` remain, and one more where an even number would be left.
    fn shrink(&mut self, departures: &Departures, needed: usize) {
        while self.next.len() > needed {
            let old = departures.of(&self.next).first().copied();
            let is_even = self.next.len().is_multiple_of(2);
            let surplus = || self.most_crowded().filter(|_| is_even);
            let Some(old) = old.or_else(surplus) else { return };
            self.next.remove(&old);
        }
    }

    fn replace(&mut self, old: Replica, new: Replica) {
        self.next.remove(&old);
        self.next.insert(new);
    }
}
