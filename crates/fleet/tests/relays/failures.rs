//! Convergence after failures, with 36 members in four failure domains and 120 targets.

use crate::model::{Id, Model, address, ms};
use comfreyhold_fleet::messages::Wanted;
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use std::collections::BTreeSet;
use std::time::Duration;

const MEMBERS: usize = 36;
const DOMAINS: usize = 4;
const TARGETS: usize = 120;

/// Time after which every member counts a dead daemon as unreachable.
const DEAD_AFTER: Duration = Duration::from_secs(8);

fn settled(seed: u64) -> Model {
    let mut model = Model::new(MEMBERS, DOMAINS, TARGETS, seed);
    model.run(Duration::from_secs(15));
    model.silent.clear();
    assert_complete(&model);
    model
}

/// Checks that all live members know each other, and have the same targets in use.
fn assert_complete(model: &Model) {
    let live: BTreeSet<Id> = model.live().into_iter().collect();
    let expected: BTreeSet<TargetId> =
        model.targets.keys().filter(|id| !model.ended.contains(id)).copied().collect();
    for id in &live {
        let member = &model.members[*id];
        let heard: BTreeSet<_> =
            member.peers.live(ms(1_500), model.now).map(|(address, _)| address).collect();
        let others: BTreeSet<_> = live.iter().filter(|o| *o != id).map(|o| address(*o)).collect();
        assert_eq!(heard, others, "daemons heard by member {id}");
        let in_use = |t: &TargetId| !member.targets.by_ids(&[*t], model.now).is_empty();
        let known: BTreeSet<TargetId> = expected.iter().filter(|t| in_use(t)).copied().collect();
        let missing: Vec<_> = expected.difference(&known).collect();
        assert!(missing.is_empty(), "member {id} lacks {missing:?}");
        for (target, announcement) in &model.targets {
            let recorded = member.targets.last_announcement(*target);
            let recorded = recorded.map(|recorded| recorded.availability);
            assert_eq!(recorded, Some(announcement.availability), "{target} at member {id}");
        }
    }
}

/// Checks that no live member counts any target as silent, or has counted one so since the last check.
fn assert_none_dropped(model: &Model) {
    for id in model.live() {
        let silent = model.silent.get(&id).cloned().unwrap_or_default();
        let knows_relays = model.members[id].knows_relays;
        assert!(silent.is_empty(), "member {id} has dropped {silent:?}, relays: {knows_relays}");
    }
}

/// Runs for a time, and checks all the while that no target is dropped.
fn run_without_drops(model: &mut Model, time: Duration) {
    let until = model.now + time;
    while model.now < until {
        model.run(ms(50));
        assert_none_dropped(model);
    }
}

/// Members that ask `relay` for what it hears in its domain.
fn subscribers(model: &Model, relay: Id) -> Vec<Id> {
    let asks = |id: &Id| model.members[*id].partners.get(&address(relay)) == Some(&Wanted::All);
    model.live().into_iter().filter(asks).collect()
}

/// A member that is no seed, and relay for the most others.
fn busiest_relay(model: &Model) -> Id {
    (3..MEMBERS).max_by_key(|id| subscribers(model, *id).len()).unwrap()
}

/// Guards against daemons or targets that are not heard over relays, and against a number of partners that grows with
/// the fleet.
#[test]
fn all_are_heard_through_a_few_partners() {
    let mut model = settled(1);
    run_without_drops(&mut model, Duration::from_secs(20));
    assert_complete(&model);
    for id in 0..MEMBERS {
        // Three seeds, eight of the own domain, and one relay of each other domain.
        let partners = model.members[id].partners.len();
        assert!(partners <= 3 + 8 + 3, "member {id} has {partners}");
        // 27 daemons of other domains ask one of nine each.
        let asked = subscribers(&model, id).len();
        assert!(asked <= 9, "member {id} is asked by {asked}");
    }
    let relays = (0..MEMBERS).filter(|id| !subscribers(&model, *id).is_empty()).count();
    assert!(relays >= MEMBERS * 3 / 4, "{relays} relays");
    let ages = model.members.iter().flat_map(|member| {
        model.targets.keys().map(|id| member.targets.age(*id, model.now).unwrap())
    });
    let oldest = ages.max().unwrap();
    assert!(oldest < ms(1_000 + 3 * 460), "a refresh passes three daemons at most: {oldest:?}");
}

/// Guards against targets that many daemons drop because one relay has ended, and against a relay that is kept.
#[test]
fn a_lost_relay_is_replaced_and_no_target_is_dropped() {
    for seed in 1..=5 {
        let mut model = settled(seed);
        let relay = busiest_relay(&model);
        let domain = model.members[relay].domain.clone();
        let asked = subscribers(&model, relay);
        model.kill(relay);
        // Two missed heartbeats, the next one, and a second.
        run_without_drops(&mut model, ms(2 * 450 + 450 + 1_000));
        for id in asked.iter().filter(|id| model.members[**id].domain != domain) {
            let partners = &model.members[*id].partners;
            let replaced = partners.iter().any(|(other, asks)| {
                let is_relay = *asks == Wanted::All && *other != address(relay);
                is_relay
                    && model
                        .live()
                        .iter()
                        .any(|l| address(*l) == *other && model.members[*l].domain == domain)
            });
            assert!(replaced, "seed {seed}: member {id} still asks {relay}");
        }
        run_without_drops(&mut model, DEAD_AFTER);
        assert_complete(&model);
    }
}

/// Guards against a frozen relay whose late messages refresh targets, or whose domain is dropped.
#[test]
fn a_frozen_relay_drops_nothing_and_revives_nothing() {
    for seed in 1..=5 {
        let mut model = settled(seed);
        let relay = busiest_relay(&model);
        model.freeze(relay);
        run_without_drops(&mut model, Duration::from_secs(4));
        // This one ends without a word while the relay is frozen.
        let crashed = TargetId(5);
        model.ended.insert(crashed);
        let last = model.now;
        run_without_drops(&mut model, ms(900));
        model.thaw(relay);
        run_without_drops(&mut model, Duration::from_secs(2));
        model.run((last + ms(5_500 + 460 + 100)) - model.now);
        for id in model.live() {
            let in_use = !model.members[id].targets.by_ids(&[crashed], model.now).is_empty();
            assert!(!in_use, "seed {seed}: member {id} uses a target that has crashed");
        }
        model.revive(crashed);
        model.run(ms(500));
        model.silent.clear();
        model.run(DEAD_AFTER);
        assert_complete(&model);
    }
}

/// Guards against a relay that others can't reach and that drops their targets, or they its targets, for good.
#[test]
fn a_partitioned_relay_comes_back() {
    let mut model = settled(6);
    let relay = busiest_relay(&model);
    let rest = (0..MEMBERS).filter(|id| *id != relay).collect();
    model.cuts = vec![(BTreeSet::from([relay]), rest)];
    // Targets that announce themselves to the partitioned daemon only are heard by nobody else; here they try others.
    model.members[relay].is_frozen = true;
    run_without_drops(&mut model, Duration::from_secs(12));
    model.cuts.clear();
    model.thaw(relay);
    model.run(Duration::from_secs(6));
    assert_complete(&model);
}

/// Guards against a restarted daemon that never learns the targets, and against its empty memory that spreads.
#[test]
fn a_daemon_that_restarts_empty_learns_all() {
    let mut model = settled(7);
    let relay = busiest_relay(&model);
    let drained = TargetId(9);
    model.change(drained, Availability::Draining);
    model.run(Duration::from_secs(3));
    let domain = model.members[relay].domain.clone();
    model.restart(relay, domain);
    run_without_drops(&mut model, Duration::from_secs(6));
    assert_complete(&model);
}

/// Guards against a daemon that is taken for the former one at its address.
#[test]
fn another_daemon_at_the_address_of_a_relay_is_used_as_such() {
    let mut model = settled(8);
    let relay = busiest_relay(&model);
    let former = model.members[relay].domain.clone();
    let domain = model.members[(relay + 1) % DOMAINS].domain.clone();
    assert_ne!(former, domain);
    model.kill(relay);
    run_without_drops(&mut model, Duration::from_secs(2));
    model.restart(relay, domain.clone());
    run_without_drops(&mut model, Duration::from_secs(12));
    assert_complete(&model);
    for id in model.live().into_iter().filter(|id| *id != relay) {
        let live: Vec<_> = model.members[id].peers.live(ms(1_500), model.now).collect();
        assert!(live.contains(&(address(relay), &domain)), "member {id}: {live:?}");
    }
}

/// Guards against two halves that don't find each other again, and against targets that stay silent after that.
#[test]
fn a_partitioned_domain_comes_back() {
    for seed in [9, 10] {
        let mut model = settled(seed);
        let own = DomainName::from("d3");
        let (inside, outside): (BTreeSet<Id>, BTreeSet<Id>) =
            (0..MEMBERS).partition(|id| model.members[*id].domain == own);
        model.cuts = vec![(inside.clone(), outside)];
        model.run(Duration::from_secs(20));
        for (target, announcement) in &model.targets {
            for id in model.live() {
                let in_use = !model.members[id].targets.by_ids(&[*target], model.now).is_empty();
                let is_near = (announcement.domain == own) == inside.contains(&id);
                assert_eq!(in_use, is_near, "seed {seed}: {target} at member {id}");
            }
        }
        // A target drains while half of the daemons can't hear that.
        model.change(TargetId(3), Availability::Draining);
        model.run(Duration::from_secs(1));
        model.cuts.clear();
        model.run(Duration::from_secs(6));
        assert_complete(&model);
    }
}

/// Guards against a fleet that depends on its seeds after the start.
#[test]
fn the_loss_of_all_seeds_drops_no_target() {
    let mut model = settled(11);
    for seed in 0..3 {
        model.kill(seed);
    }
    run_without_drops(&mut model, DEAD_AFTER);
    assert_complete(&model);
}

/// Guards against a target that has crashed and is kept in use by refreshes that go round, and against one that some
/// daemons drop long before others.
#[test]
fn a_crashed_target_is_silent_everywhere_at_the_same_time() {
    let mut model = settled(12);
    let crashed = TargetId(17);
    model.announce(crashed);
    model.ended.insert(crashed);
    let last = model.now;
    model.run(ms(5_000));
    assert_none_dropped(&model);
    model.run((last + ms(5_500 + 460)) - model.now);
    for id in model.live() {
        let in_use = !model.members[id].targets.by_ids(&[crashed], model.now).is_empty();
        assert!(!in_use, "member {id}");
    }
    model.run(Duration::from_secs(20));
    for id in model.live() {
        let in_use = !model.members[id].targets.by_ids(&[crashed], model.now).is_empty();
        assert!(!in_use, "member {id}, later");
    }
}

/// Guards against single lost messages that add up to dropped targets.
#[test]
fn lost_messages_drop_no_target() {
    let mut model = settled(13);
    model.loss = 0.05;
    run_without_drops(&mut model, Duration::from_secs(30));
    model.loss = 0.0;
    model.run(Duration::from_secs(5));
    assert_complete(&model);
}

/// Guards against a rolling update in which old and new daemons drop each other's targets.
#[test]
fn daemons_of_the_former_version_take_part() {
    for old_part in [1, 2, 5] {
        let mut model = Model::new(MEMBERS, DOMAINS, TARGETS, 14);
        for member in (0..MEMBERS).filter(|id| id % 6 < old_part) {
            model.members[member].knows_relays = false;
        }
        model.run(Duration::from_secs(15));
        model.silent.clear();
        run_without_drops(&mut model, Duration::from_secs(15));
        assert_complete(&model);
        // The old ones are replaced one after the other.
        for member in (0..MEMBERS).filter(|id| id % 6 < old_part) {
            model.kill(member);
            run_without_drops(&mut model, ms(600));
            let domain = model.members[member].domain.clone();
            model.members[member].knows_relays = true;
            model.restart(member, domain);
            run_without_drops(&mut model, ms(900));
        }
        run_without_drops(&mut model, Duration::from_secs(10));
        assert_complete(&model);
    }
}
