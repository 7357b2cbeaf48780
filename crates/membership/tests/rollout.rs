//! Installations over a lossy network: two phases, leases, relays and restarts.

#[path = "support/fleet.rs"]
mod fleet;
mod support;

use comfreyhold_membership::messages::{Goal, InstallMessage, Phase};
use comfreyhold_membership::rollout::RolloutAction;
use comfreyhold_types::prelude::*;
use fleet::Fleet;
use rand::RngExt;
use support::{Faults, ms};

const NO_FAULTS: Faults = Faults { loss: 0.0, duplicates: 0.0, late: 0.0 };

fn settled(seed: u64, entries: u16, domains: u16, faults: Faults) -> Fleet {
    let mut fleet = Fleet::new(seed, entries, domains, faults);
    fleet.run(4_000);
    fleet
}

fn all_leased(fleet: &Fleet) -> bool {
    fleet.ids().into_iter().all(|id| fleet.is_leased(id))
}

/// Guards against a change that needs more than a few round trips when nothing fails, directly and
/// through relays.
#[test]
fn change_is_in_effect_within_round_trips() {
    for (entries, domains) in [(5, 4), (24, 3), (60, 6)] {
        let mut fleet = settled(1, entries, domains, NO_FAULTS);
        assert!(all_leased(&fleet), "{entries} entries");
        let revision = fleet.publish();
        let took = fleet.run_until_in_effect(revision, 4_000).unwrap();
        assert!(took <= ms(150), "{entries} entries took {took:?}");
    }
}

/// Guards against changes that come faster than installations being lost or installed one by one.
#[test]
fn changes_in_flight_are_coalesced() {
    let mut fleet = settled(2, 5, 4, NO_FAULTS);
    let before = fleet.actions.len();
    let last = (0..40).map(|_| fleet.publish()).last().unwrap();
    assert!(fleet.run_until_in_effect(last, 1_000).is_some());
    fleet.run(500);
    let completed = fleet.actions[before..].iter();
    let completed =
        completed.filter(|(_, action)| matches!(action, RolloutAction::InEffect { .. })).count();
    assert!(completed <= 3, "{completed} installations");
    let record = fleet.leader.as_ref().unwrap().effect_record(Revision(last.0 - 20)).unwrap();
    assert_eq!(record.in_effect.len(), 5);
    assert!(record.missing.is_empty() && record.complete_at.is_some());
}

/// Guards against an unreachable entry blocking changes for longer than its lease, and against it
/// being counted as up to date.
#[test]
fn unreachable_entry_is_fenced_and_named() {
    for (entries, domains) in [(5, 4), (24, 3)] {
        let mut fleet = settled(3, entries, domains, NO_FAULTS);
        let cut = InstanceId(2);
        let others: Vec<_> = fleet.ids().into_iter().filter(|id| *id != cut).collect();
        let leader = fleet.leader_id;
        fleet.net.cut_both(&[cut], &[&others[..], &[leader]].concat());
        let revision = fleet.publish();
        fleet.run(4_000);
        let record = fleet.leader.as_ref().unwrap().effect_record(revision).unwrap();
        let took = record.complete_at.unwrap() - record.accepted_at;
        assert!(took <= ms(4_000), "took {took:?}");
        assert_eq!(record.missing, vec![cut]);
        assert!(!fleet.is_leased(cut));
        assert!(fleet.leader.as_ref().unwrap().unreachable(fleet.now).eq([cut]));
        fleet.net.cuts.clear();
        fleet.run(3_000);
        assert!(fleet.is_leased(cut), "{entries} entries: the lease does not come back");
        assert_eq!(fleet.progress(cut).active, revision);
    }
}

/// Guards against entries losing their leases because the relay of their domain fails, at any point of the
/// second between two renewals.
#[test]
fn failed_relay_is_replaced_within_the_lease() {
    for seed in 0..60 {
        let mut fleet = settled(seed, 24, 3, NO_FAULTS);
        let relay = fleet.leader.as_ref().unwrap().relays().next().unwrap();
        fleet.run(seed * 37);
        fleet.stop(relay);
        let members: Vec<_> = fleet.ids().into_iter().filter(|id| *id != relay).collect();
        for _ in 0..1_000 {
            fleet.step();
            let lost = members.iter().find(|id| !fleet.is_leased(**id));
            assert_eq!(lost, None, "seed {seed} at {:?}", fleet.now - fleet.start);
        }
    }
}

/// Guards against a beat, response, report or heartbeat that is lost at any point of the second between two
/// renewals ending the lease of a member that its relay contacts only once a second.
#[test]
fn lost_messages_do_not_end_leases() {
    for seed in 0..60 {
        let mut fleet = settled(seed, 24, 3, NO_FAULTS);
        fleet.run(seed * 17);
        fleet.net.faults.loss = 1.0;
        fleet.run(40);
        fleet.net.faults.loss = 0.0;
        for _ in 0..600 {
            fleet.step();
            let lost = fleet.ids().into_iter().find(|id| !fleet.is_leased(*id));
            assert_eq!(lost, None, "seed {seed} at {:?}", fleet.now - fleet.start);
        }
    }
}

/// Guards against messages of a deposed leader, or late ones of the present leader, taking effect.
#[test]
fn older_terms_and_revisions_are_refused() {
    let mut fleet = settled(4, 5, 4, NO_FAULTS);
    fleet.publish();
    fleet.run(500);
    let (now, term) = (fleet.now, fleet.term);
    let node = fleet.nodes.get_mut(&InstanceId(1)).unwrap();
    let before = node.core.progress();
    let cases = [
        (Term(0), Revision(99), ResultCode::OldTerm, 5003),
        (term, Revision(1), ResultCode::OldRevision, 5004),
    ];
    for (term, revision, expected, number) in cases {
        let goal = Goal { revision, phase: Phase::Activate };
        let beat = InstallMessage::Beat { term, leader: InstanceId(9), goal, granted: None };
        let actions = node.core.on_message(now, InstanceId(9), beat);
        let refused = actions.iter().any(|action| {
            matches!(action, comfreyhold_membership::installer::InstallAction::Send {
                message: InstallMessage::Refused { code, .. }, ..
            } if *code == expected && code.number() == number)
        });
        assert!(refused, "{expected}");
        assert_eq!(node.core.progress(), before);
    }
}

/// Guards against a restarted entry serving older state than its domain has in effect, with and
/// without a leader in reach.
#[test]
fn restarted_entry_asks_before_it_serves() {
    for reaches_leader in [true, false] {
        for changes in [3, 400] {
            let mut fleet = settled(5, 6, 2, NO_FAULTS);
            let last = (0..changes).map(|_| fleet.publish()).last().unwrap();
            fleet.run_until_in_effect(last, 4_000).unwrap();
            let id = InstanceId(3);
            if !reaches_leader {
                let leader = fleet.leader_id;
                let domain = fleet.of_domain(fleet.domains[&id]);
                fleet.net.cut_both(&domain, &[leader]);
            }
            fleet.restart(id);
            assert!(!fleet.nodes[&id].core.is_recovered());
            fleet.run(2_000);
            assert_eq!(fleet.nodes[&id].recovered, Some(last), "{reaches_leader} {changes}");
            assert_eq!(fleet.is_leased(id), reaches_leader);
        }
    }
}

/// Guards against a large state being installed partially over a lossy network.
#[test]
fn snapshot_parts_survive_loss() {
    let mut fleet = settled(6, 5, 4, Faults { loss: 0.1, duplicates: 0.1, late: 0.01 });
    for _ in 0..1_000 {
        fleet.publish();
        fleet.step();
    }
    fleet.restart(InstanceId(1));
    let last = fleet.publish();
    assert!(fleet.run_until_in_effect(last, 10_000).is_some());
    let state = fleet.nodes[&InstanceId(1)].core.active();
    assert_eq!(**state, fleet.state);
}

fn fault(fleet: &mut Fleet) {
    let ids = fleet.ids();
    let id = ids[fleet.net.rng.random_range(0..ids.len())];
    let other = ids[fleet.net.rng.random_range(0..ids.len())];
    let leader = fleet.leader_id;
    match fleet.net.rng.random_range(0..8) {
        0 => fleet.restart(id),
        1 => fleet.stop(id),
        2 => {
            fleet.net.cuts.insert((leader, id));
        }
        3 => {
            fleet.net.cuts.insert((id, leader));
        }
        4 => {
            fleet.net.cuts.insert((id, other));
        }
        5 => {
            let domain = fleet.of_domain(fleet.domains[&id]);
            let outside: Vec<_> = ids.into_iter().filter(|x| !domain.contains(x)).collect();
            fleet.net.cut_both(&domain, &[&outside[..], &[leader]].concat());
        }
        6 => fleet.elect(),
        _ => fleet.net.cuts.clear(),
    }
}

fn run_schedule(seed: u64, entries: u16, domains: u16) {
    let mut fleet = Fleet::new(seed, entries, domains, NO_FAULTS);
    fleet.net.faults = Faults {
        loss: fleet.net.rng.random_range(0.0..0.2),
        duplicates: fleet.net.rng.random_range(0.0..0.1),
        late: fleet.net.rng.random_range(0.0..0.05),
    };
    for _ in 0..30 {
        let pause = fleet.net.rng.random_range(10..800);
        fleet.run(pause);
        fleet.publish();
        if fleet.net.rng.random_bool(0.6) {
            fault(&mut fleet);
        }
    }
    fleet.net.cuts.clear();
    fleet.net.faults = NO_FAULTS;
    let down: Vec<_> = fleet.down.keys().copied().collect();
    down.into_iter().for_each(|id| fleet.restart(id));
    let last = fleet.publish();
    let converged = fleet.run_until_in_effect(last, 10_000);
    assert!(converged.is_some(), "seed {seed}: not in effect everywhere");
    fleet.run(3_000);
    assert!(all_leased(&fleet), "seed {seed}: leases do not come back");
}

/// Guards against any order of faults that makes an entry go back, puts a revision in effect before
/// all leased entries hold it ready, or keeps the fleet from converging. Clocks run up to 8% off.
#[test]
fn direct_schedules_keep_the_invariants() {
    (0..1_000).for_each(|seed| run_schedule(seed, 3 + (seed % 4) as u16, 2));
}

/// As above, through relays.
#[test]
fn relay_schedules_keep_the_invariants() {
    (0..200).chain([310]).for_each(|seed| run_schedule(10_000 + seed, 18 + (seed % 7) as u16, 3));
}

/// Guards against a restarted entry that puts a prepared revision in effect, since the response to a fetch
/// of its earlier start reaches it while it recovers.
#[test]
fn relay_schedule_10310_keeps_the_invariants() {
    run_schedule(10_310, 20, 3);
}

/// Guards against a new leader that calls a revision of an earlier term in effect before the entries have
/// told it so.
#[test]
fn new_leader_claims_no_effect_without_reports() {
    let mut fleet = settled(4, 5, 4, NO_FAULTS);
    let earlier = fleet.publish();
    fleet.publish();
    fleet.elect();
    let record = |fleet: &Fleet| fleet.leader.as_ref().unwrap().effect_record(earlier).unwrap();
    assert!(record(&fleet).in_effect.is_empty());
    assert_eq!(record(&fleet).missing, fleet.ids());
    fleet.run(4_000);
    assert_eq!(record(&fleet).revision, earlier);
    assert!(record(&fleet).in_effect.keys().copied().eq(fleet.ids()));
    assert!(record(&fleet).missing.is_empty());
}
