//! Selection of the voters among the control daemons: replaces a voter whose data folder is lost or that is
//! unresponsive, and adds voters until the configured number of losses is tolerated.

use super::{DiskId, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// A responsive control daemon that may vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterCandidate {
    /// Control daemon and its present data folder.
    pub replica: Replica,
    /// Number of its failure domain. Any numbering is valid that gives each domain a different number.
    pub domain: usize,
}

/// Number of voters that tolerates the loss of `losses` data folders at once.
#[must_use]
pub fn voters_needed(losses: usize) -> usize {
    2 * losses + 1
}

/// Next set of voters, with one voter replaced or added, or `None` when the present set stays. `live` lists the
/// responsive daemons, the local one included; `unresponsive` lists the voters that have been unresponsive for
/// long enough to be replaced.
#[must_use]
pub fn next_voters(
    voters: &BTreeSet<Replica>,
    live: &[VoterCandidate],
    unresponsive: &BTreeSet<DiskId>,
    needed: usize,
) -> Option<BTreeSet<Replica>> {
    let spares: Vec<&VoterCandidate> =
        live.iter().filter(|candidate| !voters.contains(&candidate.replica)).collect();
    if let Some((old, new)) = find_renewed_folder(voters, &spares) {
        return Some(with_voter_replaced(voters, old, new));
    }
    let domain_counts = voters_by_domain(voters, live);
    let best = spares
        .iter()
        .filter(|c| !voters.iter().any(|voter| voter.address == c.replica.address))
        .min_by_key(|c| (domain_counts.get(&c.domain).copied().unwrap_or_default(), c.replica))?;
    if let Some(old) = voters.iter().find(|voter| unresponsive.contains(&voter.disk)) {
        return Some(with_voter_replaced(voters, *old, best.replica));
    }
    if voters.len() < needed {
        let mut next = voters.clone();
        next.insert(best.replica);
        return Some(next);
    }
    None
}

/// Finds a voter whose daemon now has another data folder.
fn find_renewed_folder(
    voters: &BTreeSet<Replica>,
    spares: &[&VoterCandidate],
) -> Option<(Replica, Replica)> {
    voters.iter().find_map(|voter| {
        let renewed = spares.iter().find(|c| c.replica.address == voter.address)?;
        Some((*voter, renewed.replica))
    })
}

fn with_voter_replaced(
    voters: &BTreeSet<Replica>,
    old: Replica,
    new: Replica,
) -> BTreeSet<Replica> {
    let mut next = voters.clone();
    next.remove(&old);
    next.insert(new);
    next
}

/// Number of responsive voters by failure domain.
fn voters_by_domain(voters: &BTreeSet<Replica>, live: &[VoterCandidate]) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for candidate in live.iter().filter(|c| voters.contains(&c.replica)) {
        *counts.entry(candidate.domain).or_default() += 1;
    }
    counts
}
