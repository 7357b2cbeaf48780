//! Failure detection over a lossy network: nobody alive is declared dead, everybody dead is.
#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use comfreyhold_membership::detector::{
    Detector, DetectorAction, DetectorBody, DetectorMessage, MemberChange,
};
use comfreyhold_membership::members::{MemberRole, MemberState, MemberUpdate};
use comfreyhold_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::{Faults, Net, ms};

const STEP: Duration = Duration::from_millis(5);

struct Group {
    net: Net<DetectorMessage>,
    now: Instant,
    seed: u64,
    members: BTreeMap<InstanceId, Detector>,
    starts: u64,
    changes: Vec<(InstanceId, MemberChange, MemberUpdate)>,
}

impl Group {
    fn new(seed: u64, count: u16, faults: Faults) -> Self {
        let mut group = Self {
            net: Net::new(seed, faults),
            now: Instant::now(),
            seed,
            members: BTreeMap::new(),
            starts: 0,
            changes: Vec::new(),
        };
        (1..=count).for_each(|id| group.start(InstanceId(id)));
        group
    }

    fn start(&mut self, id: InstanceId) {
        self.starts += 1;
        let seeds = [InstanceId(1), InstanceId(2), InstanceId(3)];
        let detector = Detector::new(
            self.now,
            (id, Incarnation(self.starts)),
            (MemberRole::Entry, DomainId(id.0 % 4)),
            seeds,
            self.seed * 1_000 + self.starts,
        );
        self.members.insert(id, detector);
    }

    fn run(&mut self, for_ms: u64) {
        let end = self.now + ms(for_ms);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((from, to, message)) = self.net.receive(self.now) {
            if let Some(member) = self.members.get_mut(&to) {
                let actions = member.on_message(self.now, from, message);
                self.perform(to, actions);
            }
        }
        let ids: Vec<InstanceId> = self.members.keys().copied().collect();
        for id in ids {
            let member = self.members.get_mut(&id).unwrap();
            if member.next_wake() <= self.now {
                let actions = member.tick(self.now);
                self.perform(id, actions);
            }
        }
    }

    fn perform(&mut self, id: InstanceId, actions: Vec<DetectorAction>) {
        for action in actions {
            match action {
                DetectorAction::Send { to, message } => self.net.send(self.now, id, to, message),
                DetectorAction::Changed { change, member } => {
                    self.changes.push((id, change, member))
                }
                DetectorAction::Superseded(incarnation) => {
                    panic!("{id} superseded by {incarnation}")
                }
            }
        }
    }

    fn all_see_all(&self) -> bool {
        let others = self.members.len() - 1;
        self.members.values().all(|member| member.live().count() == others)
    }

    fn deaths(&self) -> Vec<&(InstanceId, MemberChange, MemberUpdate)> {
        self.changes.iter().filter(|(_, change, _)| *change == MemberChange::Dead).collect()
    }

    fn seen_live(&self, by: InstanceId, id: InstanceId) -> bool {
        self.members[&by].live().any(|update| update.id == id)
    }
}

fn loss(share: f64) -> Faults {
    Faults { loss: share, duplicates: 0.05, late: 0.0 }
}

/// Guards against live members being declared dead on a network that loses every fifth message.
#[test]
fn nobody_alive_is_declared_dead_under_loss() {
    for seed in 0..200 {
        let mut group = Group::new(seed, 5 + (seed % 3) as u16 * 4, loss(0.2));
        group.run(30_000);
        assert!(group.deaths().is_empty(), "seed {seed}: {:?}", group.deaths());
        assert!(group.all_see_all(), "seed {seed}: members are missing");
    }
}

/// Guards against a dead member staying in the live sets for longer than one interval, the probe
/// timeout, the suspicion and the time to pass the news on.
#[test]
fn dead_members_are_found_in_time() {
    for (count, limit_ms, seeds) in [(5, 4_000, 200), (9, 4_000, 100), (50, 8_000, 5)] {
        for seed in 0..seeds {
            let mut group = Group::new(seed, count, loss(0.05));
            group.run(12_000 + seed * 17);
            assert!(group.all_see_all(), "{count}, seed {seed}: members are missing");
            let dead = InstanceId(1 + (seed % u64::from(count)) as u16);
            group.members.remove(&dead);
            group.run(limit_ms);
            let seeing: Vec<_> =
                group.members.keys().filter(|id| group.seen_live(**id, dead)).collect();
            assert!(seeing.is_empty(), "{count}, seed {seed}: {seeing:?} see {dead}");
            let wrong = group.deaths().iter().any(|(_, _, update)| update.id != dead);
            assert!(!wrong, "{count}, seed {seed}: {:?}", group.deaths());
        }
    }
}

/// Guards against two members that don't reach each other removing one another while a third
/// reaches both. Covers cuts in one and in both directions.
#[test]
fn members_seen_through_a_third_stay_alive() {
    let (a, b) = (InstanceId(1), InstanceId(2));
    for cuts in [vec![(a, b), (b, a)], vec![(a, b)], vec![(b, a)]] {
        for (seed, count) in [(1, 3), (2, 5), (3, 12)] {
            let mut group = Group::new(seed, count, loss(0.02));
            group.run(5_000);
            group.net.cuts.extend(cuts.iter().copied());
            group.run(30_000);
            assert!(group.deaths().is_empty(), "{cuts:?}, {count}: {:?}", group.deaths());
            assert!(group.all_see_all());
            let via = group.members[&a].via(b);
            assert!(count > 8 || via.is_some(), "{cuts:?}, {count}: no way through a third");
        }
    }
}

/// Guards against a member that hears nobody removing everybody else for the others. The others
/// remove it, since it confirms no probe.
#[test]
fn deaf_member_removes_nobody_for_others() {
    for seed in 0..20 {
        let mut group = Group::new(seed, 5, loss(0.0));
        group.run(5_000);
        let deaf = InstanceId(4);
        for id in 1..=5 {
            group.net.cuts.insert((InstanceId(id), deaf));
        }
        group.run(20_000);
        let by_others: Vec<_> =
            group.deaths().into_iter().filter(|(by, _, _)| *by != deaf).collect();
        let found: Vec<InstanceId> = by_others.iter().map(|(_, _, update)| update.id).collect();
        assert_eq!(found, vec![deaf; 4], "seed {seed}: {by_others:?}");
    }
}

/// Guards against a member being removed on the word of another one while it was heard here lately.
#[test]
fn reported_death_of_a_member_heard_lately_is_a_suspicion() {
    let mut group = Group::new(11, 3, loss(0.0));
    group.run(5_000);
    let (now, reporter, id) = (group.now, InstanceId(2), InstanceId(3));
    let sender = group.members[&reporter].own();
    let dead = MemberUpdate { state: MemberState::Dead, ..group.members[&id].own() };
    let body = DetectorBody::Sync { want: false };
    let message = DetectorMessage { sender, updates: vec![dead], body };
    let member = group.members.get_mut(&InstanceId(1)).unwrap();
    let actions = member.on_message(now, reporter, message);
    let expected = MemberUpdate { state: MemberState::Suspect, ..dead };
    assert_eq!(
        actions,
        [DetectorAction::Changed { change: MemberChange::Suspected, member: expected }]
    );
    group.run(5_000);
    assert!(group.deaths().is_empty() && group.all_see_all());
}

/// Guards against a member being suspected while its messages arrive, because the way back is cut.
#[test]
fn member_that_is_heard_is_not_suspected() {
    let mut group = Group::new(12, 2, loss(0.0));
    group.run(5_000);
    let (hearing, cut_off) = (InstanceId(1), InstanceId(2));
    group.net.cuts.insert((hearing, cut_off));
    group.changes.clear();
    group.run(2_000);
    assert!(group.changes.iter().all(|(by, _, _)| *by != hearing), "{:?}", group.changes);
}

/// Guards against a restarted member being mistaken for the old start, or refuted by it.
#[test]
fn restart_replaces_the_older_start() {
    let mut group = Group::new(7, 5, loss(0.1));
    group.run(5_000);
    let id = InstanceId(3);
    group.start(id);
    let incarnation = group.members[&id].own().rank.incarnation;
    group.run(3_000);
    for member in group.members.values().filter(|member| member.own().id != id) {
        let seen = member.live().find(|update| update.id == id).unwrap();
        assert_eq!(seen.rank.incarnation, incarnation);
    }
    let restarts = group.changes.iter().filter(|(_, change, _)| *change == MemberChange::Restarted);
    assert_eq!(restarts.count(), 4);
}

/// Guards against a graceful stop being taken for a failure, and against its delay.
#[test]
fn leaving_member_is_removed_without_suspicion() {
    let mut group = Group::new(8, 5, loss(0.0));
    group.run(5_000);
    let id = InstanceId(5);
    let actions = group.members.get_mut(&id).unwrap().leave();
    group.perform(id, actions);
    group.members.remove(&id);
    group.run(1_500);
    assert!(group.members.keys().all(|other| !group.seen_live(*other, id)));
    assert!(group.deaths().is_empty());
    let left = group.members[&InstanceId(1)].members().find(|known| known.update.id == id);
    assert_eq!(left.unwrap().update.state, MemberState::Left);
}

/// Guards against traffic per member growing with the member count.
#[test]
fn traffic_per_member_is_bounded() {
    let per_member = |count: u16| {
        let mut group = Group::new(9, count, loss(0.0));
        group.run(20_000);
        let before = group.net.sent;
        group.run(20_000);
        (group.net.sent - before) as f64 / f64::from(count) / 20.0
    };
    let (fifty, two_hundred) = (per_member(50), per_member(200));
    assert!(two_hundred <= fifty * 1.1, "{fifty} and {two_hundred} messages/s");
    assert!(two_hundred <= 16.0, "{two_hundred} messages/s");
}

/// Guards against any mix of faults after which the members don't find each other again.
#[test]
fn schedules_converge_after_healing() {
    for seed in 0..200 {
        let count = 4 + (seed % 8) as u16;
        let mut group = Group::new(seed, count, Faults { loss: 0.1, duplicates: 0.05, late: 0.02 });
        for _ in 0..10 {
            let pause = group.net.rng.random_range(100..4_000);
            group.run(pause);
            let mut pick = || InstanceId(group.net.rng.random_range(1..=count));
            let (a, b) = (pick(), pick());
            match group.net.rng.random_range(0..4) {
                0 => group.start(a),
                1 => drop(group.net.cuts.insert((a, b))),
                2 => {
                    let ids: Vec<InstanceId> = group.members.keys().copied().collect();
                    let split = group.net.rng.random_range(0..ids.len());
                    group.net.cut_both(&ids[..split], &ids[split..]);
                }
                _ => group.net.cuts.clear(),
            }
        }
        group.net.cuts.clear();
        group.run(40_000);
        assert!(group.all_see_all(), "seed {seed}: members are missing");
    }
}
