//! Decides which control daemons vote: replaces a voter whose folder is lost or that stays silent, and
//! adds voters until the stated losses can be borne.

use super::{DiskId, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// A control daemon as seen by the one that decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterCandidate {
    /// The daemon with its present folder.
    pub replica: Replica,
    /// Number of its failure domain; any numbering that tells domains apart.
    pub domain: usize,
}

/// Number of voters that bears the loss of this many folders at once.
#[must_use]
pub fn voters_needed(losses: usize) -> usize {
    2 * losses + 1
}

/// The next set of voters, or `None` when the present one stays. `live` lists the daemons that answer now,
/// the deciding one included; `silent` the voters that have been silent for long enough to be replaced.
#[must_use]
pub fn next_voters(
    voters: &BTreeSet<Replica>,
    live: &[VoterCandidate],
    silent: &BTreeSet<DiskId>,
    needed: usize,
) -> Option<BTreeSet<Replica>> {
    let spare: Vec<&VoterCandidate> =
        live.iter().filter(|candidate| !voters.contains(&candidate.replica)).collect();
    if let Some((old, new)) = renewed_folder(voters, &spare) {
        return Some(exchanged(voters, old, new));
    }
    let spread = domains(voters, live);
    let best = spare
        .iter()
        .filter(|c| !voters.iter().any(|voter| voter.address == c.replica.address))
        .min_by_key(|c| (spread.get(&c.domain).copied().unwrap_or_default(), c.replica))?;
    if let Some(old) = voters.iter().find(|voter| silent.contains(&voter.disk)) {
        return Some(exchanged(voters, *old, best.replica));
    }
    if voters.len() < needed {
        let mut next = voters.clone();
        next.insert(best.replica);
        return Some(next);
    }
    None
}

/// A voter whose daemon runs with another folder now.
fn renewed_folder(
    voters: &BTreeSet<Replica>,
    spare: &[&VoterCandidate],
) -> Option<(Replica, Replica)> {
    voters.iter().find_map(|voter| {
        let renewed = spare.iter().find(|c| c.replica.address == voter.address)?;
        Some((*voter, renewed.replica))
    })
}

fn exchanged(voters: &BTreeSet<Replica>, old: Replica, new: Replica) -> BTreeSet<Replica> {
    let mut next = voters.clone();
    next.remove(&old);
    next.insert(new);
    next
}

/// Voters by failure domain, as far as they answer.
fn domains(voters: &BTreeSet<Replica>, live: &[VoterCandidate]) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for candidate in live.iter().filter(|c| voters.contains(&c.replica)) {
        *counts.entry(candidate.domain).or_default() += 1;
    }
    counts
}
