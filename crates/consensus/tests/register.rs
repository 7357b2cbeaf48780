//! The replicated register under lost messages, lost data folders, restarts and changes of voters.

#![allow(clippy::unwrap_used, clippy::panic)]

mod register_support;

use comfreyhold_consensus::register::repair::{
    Departures, VoterCandidate, available_voters, next_voters, voters_needed, voters_wanted,
};
use comfreyhold_consensus::register::{DiskId, RegisterRequest, Replica};
use register_support::{SimulatedFleet, replica};
use std::collections::BTreeSet;

/// Random schedules per test; one takes about a millisecond. `REGISTER_SEED` runs only that seed.
const SCHEDULES_PER_TEST: u64 = 400;

fn seeds() -> Vec<u64> {
    match std::env::var("REGISTER_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..SCHEDULES_PER_TEST).collect(),
    }
}

/// Guards against voters that derive another value from small changes than the one which others receive as a whole, and
/// against acknowledged publications that are lost by that.
#[test]
fn small_changes_give_the_same_value_at_each_voter() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 5, 5);
        for step in 0..40 {
            if step % 3 == 0 {
                fleet.publish_on_random_daemon();
            } else {
                fleet.withdraw_on_random_daemon();
            }
            fleet.deliver_some_messages();
            fleet.assert_one_value_per_ballot();
            if step % 10 == 9 {
                fleet.heal_and_converge();
                fleet.assert_one_value_per_ballot();
                fleet.assert_nothing_lost();
            }
        }
    }
}

/// Guards against a withdrawal that takes as long as the largest configuration needs to each voter: its caller waits for a
/// second.
#[test]
fn a_small_change_is_sent_without_the_value() {
    let mut fleet = SimulatedFleet::new(1, 5, 5);
    fleet.publish_and_converge();
    while fleet.deliver_next() {}
    let mut changes = 0;
    for _ in 0..10 {
        fleet.withdraw_on_random_daemon();
        while fleet.deliver_next() {
            for request in fleet.requests_in_flight() {
                assert!(!matches!(request, RegisterRequest::Accept(_)), "{request:?}");
                changes += usize::from(matches!(request, RegisterRequest::AcceptChange(_)));
            }
        }
    }
    assert!(changes > 0, "no withdrawal changed anything");
    fleet.assert_one_value_per_ballot();
}

/// Guards against a later round that loses an acknowledged change, when messages are lost or late and proposers
/// compete.
#[test]
fn acknowledged_changes_survive_lost_messages() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 4, 3);
        for _ in 0..30 {
            fleet.publish_on_random_daemon();
            fleet.deliver_some_messages();
        }
        fleet.heal_and_converge();
        fleet.assert_nothing_lost();
    }
}

/// Guards against an older value that is read or used by a later round after one folder at a time was lost and
/// its voter replaced.
#[test]
fn acknowledged_changes_survive_the_loss_of_one_folder_at_a_time() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 4, 3);
        for round in 0..12 {
            fleet.publish_on_random_daemon();
            fleet.deliver_some_messages();
            if round % 3 == 2 {
                fleet.heal_and_converge();
                fleet.assert_nothing_lost();
                fleet.lose_folder();
                fleet.repair_voters();
            }
        }
        fleet.heal_and_converge();
        fleet.assert_nothing_lost();
    }
}

/// Guards against two sets of voters that decide independently, when replacements of voters start from an
/// outdated value and stop halfway.
#[test]
fn repairs_from_outdated_state_lose_no_acknowledged_change() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 5, 3);
        for _ in 0..25 {
            fleet.publish_on_random_daemon();
            fleet.repair_from_outdated_state();
            fleet.deliver_some_messages();
        }
        fleet.heal_and_converge();
        fleet.assert_nothing_lost();
    }
}

/// Guards against two majorities, and against lost changes, when several daemons exchange voters at once from outdated
/// values, some along with a publication, and daemons stop for good or lose their data folders in the middle of it
/// (review/12).
#[test]
fn exchanges_at_once_and_stops_in_the_middle_make_one_history() {
    let (mut sets, mut needed) = (0, [3, 5].into_iter().cycle());
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 9, 3);
        for step in 0..120 {
            match (seed + step) % 4 {
                0 => fleet.publish_on_random_daemon(),
                1 if step > 40 => fleet.lose_random_daemon(),
                2 => fleet.tell_random_daemon(),
                _ => {}
            }
            fleet.exchange_on_random_daemon(needed.next().unwrap());
            fleet.deliver_some_messages();
            if step % 40 == 39 {
                fleet.tell_newest_chosen();
                fleet.heal_and_converge();
                fleet.assert_one_history();
                fleet.assert_nothing_lost();
            }
        }
        fleet.assert_one_value_per_ballot();
        sets += fleet.chosen_voter_sets();
    }
    let per_seed = sets / seeds().len();
    assert!(per_seed >= 5, "only {per_seed} sets of voters in a schedule");
}

/// Guards against two operators whose different content under one version is reported as in effect to both.
#[test]
fn concurrent_publications_of_one_version_get_one_winner() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 4, 3);
        fleet.publish_concurrently(7);
        fleet.heal_and_converge();
        fleet.assert_one_content_per_version();
    }
}

/// Guards against a confirmed read that is older than a change acknowledged before the read began.
#[test]
fn confirmed_reads_are_never_older_than_acknowledged_changes() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 4, 3);
        for _ in 0..20 {
            fleet.publish_on_random_daemon();
            fleet.deliver_some_messages();
            fleet.read_on_random_daemon();
        }
    }
}

/// Guards against a change of voters that is not completed: the loss of a second daemon, after the first was
/// replaced, then leaves no majority of the previous voters. It was found when two daemons were replaced in
/// turn.
#[test]
fn a_second_daemon_can_be_lost_after_the_first_is_replaced() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 5, 3);
        fleet.publish_and_converge();
        for lost in 0..2 {
            fleet.remove_daemon(lost);
            fleet.replace_removed_voter();
        }
        fleet.heal_and_converge();
        fleet.assert_nothing_lost();
    }
}

/// Guards against daemons that preempt each other's rounds, which transfer whole values, when all of them look for
/// the newest value at the same time, as after a power loss. It was found with 1,200 routes.
#[test]
fn daemons_that_start_together_read_a_chosen_value_without_a_round() {
    for seed in seeds() {
        let mut fleet = SimulatedFleet::new(seed, 8, 5);
        fleet.publish_and_converge();
        fleet.restart_all();
        let promised = fleet.promised_ballots();
        for at in 0..8 {
            assert!(
                fleet.reads_newest_without_round(at, 0),
                "seed {seed}: daemon {at} needs a round"
            );
        }
        assert_eq!(fleet.promised_ballots(), promised, "seed {seed}: a read has written");
    }
}

/// Guards against a quorum read that takes a value for chosen although only a minority of disks holds it.
#[test]
fn value_on_a_minority_is_not_read_as_chosen() {
    let mut fleet = SimulatedFleet::new(1, 5, 5);
    fleet.publish_and_converge();
    fleet.accept_on_one_disk();
    fleet.restart_all();
    assert!(!fleet.reads_newest_without_round(0, 0), "the value on one disk is not chosen");
}

/// Guards against a deployment that can't lose a second disk after the first: the voter of a renewed folder is
/// replaced at once, without an operator.
#[test]
fn renewed_folder_replaces_the_lost_one() {
    let voters: BTreeSet<Replica> = (0..3).map(|n| replica(n, n)).collect();
    let renewed = replica(1, 91);
    let live = [replica(0, 0), renewed, replica(2, 2), replica(3, 3)].map(candidate);
    let next = next_voters(&voters, &live, &Departures::default(), 3).unwrap();
    assert!(next.contains(&renewed) && !next.contains(&replica(1, 1)) && next.len() == 3);
}

/// Guards against keeping an unresponsive voter although a spare daemon responds, and against replacing it while
/// there is no spare.
#[test]
fn unresponsive_voter_is_replaced_only_by_a_responsive_daemon() {
    let voters: BTreeSet<Replica> = (0..3).map(|n| replica(n, n)).collect();
    let unresponsive = unresponsive([2]);
    let without_spare = [replica(0, 0), replica(1, 1)].map(candidate);
    assert_eq!(next_voters(&voters, &without_spare, &unresponsive, 3), None);
    let live = [replica(0, 0), replica(1, 1), replica(3, 3)].map(candidate);
    let next = next_voters(&voters, &live, &unresponsive, 3).unwrap();
    assert_eq!(next, BTreeSet::from([replica(0, 0), replica(1, 1), replica(3, 3)]));
}

/// Guards against fewer voters than the tolerated losses need, and against more.
#[test]
fn voters_are_added_up_to_the_number_needed() {
    let live: Vec<VoterCandidate> = (0..8).map(|n| candidate(replica(n, n))).collect();
    let mut voters: BTreeSet<Replica> = (0..3).map(|n| replica(n, n)).collect();
    while let Some(next) = next_voters(&voters, &live, &Departures::default(), voters_needed(2)) {
        assert_eq!(next.len(), voters.len() + 1);
        voters = next;
    }
    assert_eq!(voters.len(), 5);
}

/// Guards against a group that stays short of its tolerance although spares stand by: voters that depart together are
/// replaced together, as long as the others are a majority of the next set, so that no new one has to answer.
#[test]
fn departing_voters_are_replaced_together_up_to_a_minority() {
    let all: Vec<Replica> = (0..13).map(|n| replica(n, n)).collect();
    for (count, replaced) in [(3, 1), (5, 2), (7, 3)] {
        let voters: BTreeSet<Replica> = all[..count].iter().copied().collect();
        let departing = unresponsive(0..4);
        let live: Vec<_> = all[4..].iter().copied().map(candidate).collect();
        let mut next = next_voters(&voters, &live, &departing, count).unwrap();
        assert_eq!((next.len(), voters.intersection(&next).count()), (count, count - replaced));
        while let Some(later) = next_voters(&next, &live, &departing, count) {
            next = later;
        }
        let spares = live.len().min(count);
        assert!(next.iter().filter(|v| v.disk.0 >= 4).count() >= spares);
    }
}

/// Guards against a group without a majority after two silent voters and two stopping ones, with too few daemons to replace
/// them: the silent ones go first. It was found by the schedules of exchanges.
#[test]
fn silent_voters_are_removed_before_stopping_ones() {
    let voters: BTreeSet<Replica> = (0..5).map(|n| replica(n, n)).collect();
    let stopping = BTreeSet::from([DiskId(0), DiskId(1)]);
    let departures = Departures { stopping, ..unresponsive([3, 4]) };
    let live = [candidate(replica(2, 2))];
    let next = next_voters(&voters, &live, &departures, 3).unwrap();
    assert_eq!(next, (0..3).map(|n| replica(n, n)).collect());
    let live = [candidate(replica(2, 2)), candidate(replica(5, 5))];
    let next = next_voters(&voters, &live, &departures, 5).unwrap();
    assert!(next.contains(&replica(0, 0)) && !next.contains(&replica(3, 3)), "{next:?}");
}

/// Guards against a change that can't be completed and blocks all later ones: two voters stop while two others are silent for
/// less than the time after which they are replaced. It was found by the schedules of exchanges (seed 1937 of 20,000).
#[test]
fn voters_are_not_removed_if_too_few_of_the_others_answer() {
    let voters: BTreeSet<Replica> = (0..5).map(|n| replica(n, n)).collect();
    let stopping = BTreeSet::from([DiskId(0), DiskId(1)]);
    let departures = Departures { stopping, ..Departures::default() };
    let live = [candidate(replica(2, 2))];
    assert_eq!(next_voters(&voters, &live, &departures, 3), None);
    let live = [candidate(replica(2, 2)), candidate(replica(3, 3))];
    let next = next_voters(&voters, &live, &departures, 3).unwrap();
    assert_eq!(next, (2..5).map(|n| replica(n, n)).collect());
}

/// Guards against two lost data folders that are exchanged one after the other while a third loss comes.
#[test]
fn renewed_folders_are_exchanged_together() {
    let voters: BTreeSet<Replica> = (0..5).map(|n| replica(n, n)).collect();
    let renewed = [replica(1, 91), replica(2, 92)];
    let live: Vec<_> = [replica(0, 0), renewed[0], renewed[1], replica(3, 3), replica(4, 4)]
        .map(candidate)
        .to_vec();
    let next = next_voters(&voters, &live, &Departures::default(), 5).unwrap();
    assert!(renewed.iter().all(|voter| next.contains(voter)), "{next:?}");
    assert_eq!(next_voters(&next, &live, &Departures::default(), 5), None);
}

/// Guards against a second removal without notice that takes the majority before the first one is known: with two more
/// daemons than the tolerated losses need, all of them vote. Also against voters that nobody needs, and against an even
/// number.
#[test]
fn two_spares_vote_until_they_are_needed() {
    assert_eq!([3, 4, 5, 9].map(|available| voters_wanted(1, available)), [3, 3, 5, 5]);
    assert_eq!([3, 6, 7, 8].map(|available| voters_wanted(2, available)), [5, 5, 7, 7]);
    let all: Vec<Replica> = (0..5).map(|n| replica(n, n)).collect();
    let voters: BTreeSet<Replica> = all.iter().copied().collect();
    let departing = unresponsive([1]);
    let live: Vec<_> = all.iter().filter(|v| v.disk != DiskId(1)).copied().map(candidate).collect();
    let available = available_voters(&voters, &live, &departing);
    assert_eq!(available, 4);
    let next = next_voters(&voters, &live, &departing, voters_wanted(1, available)).unwrap();
    assert!(next.len() == 3 && !next.contains(&all[1]), "{next:?}");
    // Nobody who stays is removed because a spare has gone.
    assert_eq!(next_voters(&voters, &live, &Departures::default(), 3), None);
    // One that may return keeps its vote as long as the others can't do without it.
    let three: BTreeSet<Replica> = all[..3].iter().copied().collect();
    let rest = [candidate(all[0]), candidate(all[2])];
    assert_eq!(next_voters(&three, &rest, &departing, 3), None);
}

/// Guards against voters that are concentrated in one failure domain while others have none.
#[test]
fn new_voters_come_from_domains_with_the_fewest_voters() {
    let live: Vec<VoterCandidate> = (0..6)
        .map(|n| VoterCandidate { replica: replica(n, n), domain: usize::from(n >= 4) })
        .collect();
    let voters: BTreeSet<Replica> = (0..3).map(|n| replica(n, n)).collect();
    let next = next_voters(&voters, &live, &Departures::default(), 5).unwrap();
    assert!(next.contains(&replica(4, 4)) || next.contains(&replica(5, 5)));
}

fn candidate(replica: Replica) -> VoterCandidate {
    VoterCandidate { replica, domain: usize::try_from(replica.disk.0).unwrap() }
}

fn unresponsive(disks: impl IntoIterator<Item = u64>) -> Departures {
    let unresponsive = disks.into_iter().map(DiskId).collect();
    Departures { unresponsive, ..Departures::default() }
}
