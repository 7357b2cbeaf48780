//! Records of targets that announce themselves, from announcements that come late, twice or crossed.

#![allow(clippy::unwrap_used)]

use comfreyhold_membership::announcements::{AnnouncementOutcome, Announcements, TargetGroup};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::{DomainName, TargetId};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const SILENCE: Duration = Duration::from_secs(3);

fn announcement(id: u64, born_ms: u64, sequence: u64, host: u8) -> Announcement {
    Announcement {
        id: TargetId(id),
        stamp: AnnouncementStamp { born_ms, sequence },
        service: "orders".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 80),
        domain: DomainName::from("a"),
        slots: 2,
        availability: Availability::Serving,
        cold_ms: 0,
    }
}

fn draining(announcement: Announcement) -> Announcement {
    Announcement { availability: Availability::Draining, ..announcement }
}

fn availability(targets: &Announcements, id: u64, now: Instant) -> Option<Availability> {
    let all = targets.changed_since(0, now);
    let report = all.iter().find(|report| report.announcement.id == TargetId(id));
    report.map(|report| report.announcement.availability)
}

/// Guards against a target that takes flows again because an announcement from before its drain arrives
/// late.
#[test]
fn late_announcements_change_nothing() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(1, 100, 1, 1), now);
    assert_eq!(
        targets.apply(&draining(announcement(1, 100, 3, 1)), now),
        AnnouncementOutcome::Changed
    );
    assert_eq!(targets.apply(&announcement(1, 100, 2, 1), now), AnnouncementOutcome::Stale);
    assert_eq!(availability(&targets, 1, now), Some(Availability::Draining));
}

/// Guards against a dead target that comes back at an address that another service has now.
#[test]
fn the_later_start_holds_an_address() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(1, 100, 1, 1), now);
    targets.apply(&announcement(2, 200, 1, 1), now);
    assert_eq!(availability(&targets, 1, now), Some(Availability::Ended));
    assert_eq!(targets.apply(&announcement(1, 100, 9, 1), now), AnnouncementOutcome::Stale);
    assert_eq!(availability(&targets, 2, now), Some(Availability::Serving));
}

/// Guards against a late announcement that displaces a target, when its own record is not known here.
#[test]
fn an_earlier_start_does_not_displace_the_holder_of_an_address() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(2, 200, 1, 1), now);
    assert_eq!(targets.apply(&announcement(1, 100, 5, 1), now), AnnouncementOutcome::Stale);
    assert_eq!(availability(&targets, 2, now), Some(Availability::Serving));
}

/// Guards against a restarted target that is ignored because its numbers start anew.
#[test]
fn a_later_start_under_the_same_id_counts_from_its_first_announcement() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&draining(announcement(1, 100, 50, 1)), now);
    assert_eq!(targets.apply(&announcement(1, 300, 1, 1), now), AnnouncementOutcome::Changed);
    assert_eq!(availability(&targets, 1, now), Some(Availability::Serving));
}

/// Guards against a target that has ended and is brought back by its own late announcement.
#[test]
fn an_ended_target_stays_ended() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    let ended = Announcement { availability: Availability::Ended, ..announcement(1, 100, 4, 1) };
    targets.apply(&announcement(1, 100, 3, 1), now);
    targets.apply(&ended, now);
    assert_eq!(targets.apply(&announcement(1, 100, 9, 1), now), AnnouncementOutcome::Stale);
    assert!(
        targets
            .refresh(&[(TargetId(1), AnnouncementStamp { born_ms: 100, sequence: 10 })], now)
            .is_empty()
    );
    assert_eq!(availability(&targets, 1, now), Some(Availability::Ended));
}

/// Guards against silent targets that stay in use, and against ones that are not taken back.
#[test]
fn a_target_is_silent_until_it_is_heard_again() {
    let (mut targets, start) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(1, 100, 1, 1), start);
    let later = start + SILENCE;
    assert_eq!(targets.check_timeouts(later), vec![TargetId(1)]);
    assert!(targets.changed_since(0, later)[0].silent);
    let stamp = AnnouncementStamp { born_ms: 100, sequence: 2 };
    assert!(targets.refresh(&[(TargetId(1), stamp)], later).is_empty());
    assert!(!targets.changed_since(0, later)[0].silent);
}

/// Guards against entries that are told about every repetition, and ones that are not told of a change.
#[test]
fn only_what_routing_depends_on_is_told() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(1, 100, 1, 1), now);
    let revision = targets.revision();
    assert_eq!(targets.apply(&announcement(1, 100, 2, 1), now), AnnouncementOutcome::Refreshed);
    assert_eq!(targets.revision(), revision);
    let cold = Announcement { cold_ms: 2_000, ..announcement(1, 100, 3, 1) };
    assert_eq!(targets.apply(&cold, now), AnnouncementOutcome::Changed);
    assert_eq!(targets.changed_since(revision, now)[0].announcement.cold_ms, 2_000);
}

/// Guards against a start without targets after a loss of power, and against saved targets that are passed
/// on or believed for longer than it takes them to announce themselves.
#[test]
fn restored_targets_count_for_a_while_and_only_here() {
    let (mut before, now) = (Announcements::new(SILENCE), Instant::now());
    before.apply(&announcement(1, 100, 7, 1), now);
    before.apply(&announcement(2, 100, 7, 2), now);
    let trust = Duration::from_secs(2);
    let mut after = Announcements::new(SILENCE);
    after.restore(before.announcements_to_save(), trust, now);
    assert_eq!(after.live_count(), 2);
    assert!(after.all(now).is_empty());
    let (revision, digests) = (after.revision(), after.digests());
    assert_eq!(after.apply(&announcement(1, 100, 7, 1), now), AnnouncementOutcome::Refreshed);
    assert_eq!(after.revision(), revision, "entries know it already");
    assert_ne!(after.digests(), digests);
    assert_eq!(after.all(now).len(), 1);
    assert_eq!(after.check_timeouts(now + trust), vec![TargetId(2)]);
}

/// Guards against daemons that exchange all targets for a difference in one, or none although they differ.
#[test]
fn a_difference_shows_in_the_digest_of_its_group() {
    let (mut a, mut b, now) =
        (Announcements::new(SILENCE), Announcements::new(SILENCE), Instant::now());
    for id in 1..40 {
        let host = u8::try_from(id).unwrap();
        a.apply(&announcement(id, 100, 1, host), now);
        b.apply(&announcement(id, 100, 2, host), now);
    }
    assert!(a.digests().differing_groups(&b.digests()).is_empty());
    b.apply(&draining(announcement(7, 100, 3, 7)), now);
    let groups = a.digests().differing_groups(&b.digests());
    assert_eq!(groups, BTreeSet::from([TargetGroup::of(TargetId(7))]));
    let sent = b.in_groups(&groups, now);
    assert!(sent.iter().any(|sent| sent.id == TargetId(7)) && sent.len() < 20, "{sent:?}");
    for announcement in &sent {
        a.apply(announcement, now);
    }
    assert!(a.digests().differing_groups(&b.digests()).is_empty());
}

/// Guards against a digest that is kept although a target has fallen silent, started anew or been forgotten.
#[test]
fn digests_follow_each_change_of_the_records() {
    let (mut targets, start) = (Announcements::new(SILENCE), Instant::now());
    let empty = targets.digests();
    targets.apply(&announcement(1, 100, 1, 1), start);
    let first = targets.digests();
    assert_ne!(first, empty);
    targets.apply(&announcement(1, 200, 1, 1), start);
    assert_ne!(targets.digests(), first);
    targets.check_timeouts(start + SILENCE);
    assert_eq!(targets.digests(), empty);
    targets.apply(&draining(announcement(1, 200, 2, 1)), start + SILENCE);
    let ended = Announcement { availability: Availability::Ended, ..announcement(1, 200, 3, 1) };
    targets.apply(&ended, start + SILENCE);
    assert_eq!(targets.digests(), empty);
}

/// Guards against the end of a target that daemons remind each other of for ever, and against one that a daemon
/// which has missed it never learns.
#[test]
fn an_end_is_told_while_others_may_need_it() {
    let (mut a, mut b, now) =
        (Announcements::new(SILENCE), Announcements::new(SILENCE), Instant::now());
    let ended = Announcement { availability: Availability::Ended, ..announcement(1, 100, 2, 1) };
    a.apply(&ended, now);
    b.apply(&announcement(1, 100, 1, 1), now);
    let groups = a.digests().differing_groups(&b.digests());
    assert_eq!(a.in_groups(&groups, now), [ended]);
    assert!(a.all(now + Duration::from_secs(150)).is_empty());
    assert_eq!(
        a.apply(&announcement(1, 100, 9, 1), now + Duration::from_secs(150)),
        AnnouncementOutcome::Stale
    );
}

/// Guards against a restart of all daemons after which each target is passed on in full although all daemons
/// have saved it.
#[test]
fn a_restored_target_is_confirmed_by_its_number_alone() {
    let (mut before, now) = (Announcements::new(SILENCE), Instant::now());
    before.apply(&announcement(1, 100, 7, 1), now);
    let mut after = Announcements::new(SILENCE);
    after.restore(before.announcements_to_save(), Duration::from_secs(2), now);
    let stamp = AnnouncementStamp { born_ms: 100, sequence: 7 };
    assert!(after.refresh(&[(TargetId(1), stamp)], now).is_empty());
    assert_eq!(after.digests(), before.digests());
}

fn any_announcement() -> impl Strategy<Value = Announcement> {
    (0..4u64, 1..5u64, 0..6u64).prop_map(|(id, born, sequence)| {
        // What a target says under one start and number is always the same.
        let host = u8::try_from((born + id) % 3).unwrap();
        let fixed = announcement(id, born * 10 + id, sequence, host);
        if sequence >= 4 { draining(fixed) } else { fixed }
    })
}

proptest! {
    /// Guards against daemons that come to different records because announcements reach them in another
    /// order.
    #[test]
    fn records_do_not_depend_on_the_order(
        (first, second) in prop::collection::vec(any_announcement(), 1..30)
            .prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle()))
    ) {
        let now = Instant::now();
        let gather = |all: &[Announcement]| {
            let mut targets = Announcements::new(SILENCE);
            // Twice, because a record that was displaced by a target heard later is settled only then.
            for announcement in all.iter().chain(all) {
                targets.apply(announcement, now);
            }
            let reports = targets.changed_since(0, now).into_iter();
            reports
                .filter(|report| report.announcement.availability != Availability::Ended)
                .map(|report| report.announcement)
                .collect::<Vec<_>>()
        };
        prop_assert_eq!(gather(&first), gather(&second));
    }
}

/// Guards against an earlier start that stays in use because its later start was displaced before it was
/// heard of. Found by `records_do_not_depend_on_the_order`.
#[test]
fn a_displaced_start_ends_the_earlier_ones_of_its_target() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(1, 10, 0, 1), now);
    targets.apply(&announcement(2, 42, 0, 2), now);
    targets.apply(&announcement(1, 30, 0, 2), now);
    assert_eq!(availability(&targets, 1, now), Some(Availability::Ended));
}

/// Guards against a dead target that stays in use because the one that took its address has moved on since.
/// Found by `records_do_not_depend_on_the_order`.
#[test]
fn a_target_stays_ended_after_the_later_holder_of_its_address_has_moved() {
    let (mut targets, now) = (Announcements::new(SILENCE), Instant::now());
    targets.apply(&announcement(2, 40, 0, 2), now);
    targets.apply(&announcement(2, 20, 0, 1), now);
    assert_eq!(targets.apply(&announcement(1, 10, 0, 1), now), AnnouncementOutcome::Stale);
}
