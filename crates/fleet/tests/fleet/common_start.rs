//! Many processes that start at the same time: turns of full copies, and the interval at which daemons ask the seeds.

use crate::feed::{announcement, publication};
use crate::saves::{ask, settings, start_with_clock};
use comfreyhold_consensus::register::{Ballot, DiskId, Replica};
use comfreyhold_fleet::control::peers::join_interval;
use comfreyhold_fleet::control::turns::{CopyTurns, Turn};
use comfreyhold_fleet::entry::view::ControlView;
use comfreyhold_fleet::messages::{
    ControlState, FleetRequest, FleetResponse, Hello, IncarnationId, WatchCursor,
};
use comfreyhold_membership::announcements::TargetDigests;
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::StateChange;
use futures_util::future::join_all;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against copies that all begin at once, and against requests that wait for longer than their senders.
#[test]
fn copies_begin_in_turns() {
    let (mut turns, now) = (CopyTurns::default(), Instant::now());
    let assigned: Vec<Turn> = (0..45).map(|_| turns.assign(0.5, now)).collect();
    for (index, turn) in assigned.iter().take(40).enumerate() {
        assert_eq!(*turn, Turn::After(ms(100) * u32::try_from(index / 8).unwrap()), "{index}");
    }
    assert_eq!(assigned[40..], [Turn::ComeAgain(ms(300)); 5]);
    // Those that were told to come again take no turn.
    assert_eq!(turns.assign(0.5, now + ms(100)), Turn::After(ms(400)));
    assert_eq!(turns.assign(0.5, now + ms(2_000)), Turn::After(Duration::ZERO));
}

/// Guards against senders that are told to come again and return together.
#[test]
fn those_without_a_turn_return_at_different_times() {
    let (mut turns, now) = (CopyTurns::default(), Instant::now());
    for _ in 0..40 {
        turns.assign(0.0, now);
    }
    assert_eq!(turns.assign(0.0, now), Turn::ComeAgain(ms(200)));
    assert_eq!(turns.assign(1.0, now), Turn::ComeAgain(ms(400)));
}

/// Guards against seeds that are asked more often the more daemons start, and against slower starts of small fleets.
#[test]
fn seeds_are_asked_no_more_often_by_more_daemons() {
    for small in [1, 5, 12] {
        assert_eq!(join_interval(small, 0.5), ms(80));
    }
    assert_eq!((join_interval(5, 0.0), join_interval(5, 1.0)), (ms(60), ms(100)));
    assert_eq!(join_interval(48, 0.5), ms(320));
    assert_eq!(join_interval(256, 0.5), ms(450), "as often as any heartbeat");
    let asked_per_second = |daemons: u32| {
        f64::from(daemons) / join_interval(usize::try_from(daemons).unwrap(), 0.5).as_secs_f64()
    };
    assert!(asked_per_second(60) < asked_per_second(12) * 1.01);
}

/// Guards against an entry that is told to come again and takes that for a change, loses what it has or never gets
/// its copy; and against copies of a large fleet that are all sent at once.
#[tokio::test]
async fn every_entry_gets_its_copy_after_a_common_start() {
    LocalSet::new().run_until(check_common_start()).await;
}

async fn check_common_start() {
    let folder = crate::folders::data_folder();
    let settings = settings(92, &[92], folder.path(), "");
    let (control, handle) = start_with_clock(&settings, Arc::new(SystemClock)).await;
    let change = StateChange::Publish(publication(1, &[1, 2, 3]));
    while handle.change_declarations(change.clone()).await.is_err() {}
    for id in 1..=800_u16 {
        let [high, low] = id.to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 80);
        let base = announcement(1, 1, Availability::Serving);
        let target = Announcement { id: TargetId(id.into()), address, ..base };
        handle.announce(target).await.unwrap().unwrap();
    }
    for number in 1..=12 {
        let address = SocketAddr::from(([10, 9, 0, number], 7_902));
        let state = ControlState {
            is_informed: true,
            replica: Replica { disk: DiskId(number.into()), address },
            domain: DomainName::from("b"),
            start: IncarnationId(number.into()),
            chosen: Ballot::default(),
            targets: TargetDigests::default(),
            peers: Vec::new(),
        };
        ask(&control, &FleetRequest::Hello(Hello { state, repeated: Vec::new() })).await;
    }
    let started = Instant::now();
    let entries = (0..60).map(async |_| {
        let (mut view, mut polls) = (ControlView::new(1), 0);
        while view.routing().change == 0 {
            let cursor = view.cursor(0);
            let response = ask(&control, &FleetRequest::Watch(cursor)).await;
            let FleetResponse::News(update) = response else { panic!("{response:?}") };
            if update.declarations.is_none() {
                assert_eq!(view.cursor(0), WatchCursor::default());
                assert!(update.targets.is_empty() && !update.all_targets);
            }
            polls += 1;
            view.apply(0, &cursor, *update, Instant::now());
        }
        (polls, started.elapsed())
    });
    let served = join_all(entries).await;
    assert!(served.iter().any(|(polls, _)| *polls > 1), "some were told to come again");
    assert!(served.iter().all(|(polls, _)| *polls < 10), "nobody asks all the time: {served:?}");
    let early = served.iter().filter(|(_, after)| *after < ms(100)).count();
    assert!(early <= 16, "{early} copies in the first window");
}
