//! Updates from control daemons to entries, and their merge in an entry.

use comfreyhold_consensus::register::{Ballot, RegisterValue};
use comfreyhold_fleet::control::feed::FeedState;
use comfreyhold_fleet::entry::view::ControlView;
use comfreyhold_fleet::messages::{IncarnationId, RouteUpdate, WatchCursor};
use comfreyhold_membership::announcements::Announcements;
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{
    Destination, RequestClass, Route, RouteList, RoutePublication, RoutedService, SharedState,
    StateChange,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SILENT_AFTER: Duration = Duration::from_secs(3);

pub fn announcement(id: u64, sequence: u64, availability: Availability) -> Announcement {
    Announcement {
        id: TargetId(id),
        stamp: AnnouncementStamp { born_ms: 1, sequence },
        service: "orders".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(id).unwrap()), 80),
        domain: DomainName::from("a"),
        slots: 2,
        availability,
        cold_ms: 0,
    }
}

pub fn publication(version: u64, hosts: &[u8]) -> RoutePublication {
    let route = |host: &u8| Route {
        name: format!("r{host}"),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, *host), 443),
        class: RequestClass::Idempotent,
        timeout_ms: version * 100,
        objective_ms: 100,
        priority: 0,
        destinations: vec![Destination { service: "orders".to_owned(), weight: 1 }],
    };
    let list = RouteList {
        version,
        routes: hosts.iter().map(route).collect(),
        services: vec![RoutedService {
            name: "orders".to_owned(),
            max_flows: 10,
            cold_requests_per_1000_s: 0,
        }],
        idle_timeout_ms: 15_000,
    };
    let table = Arc::new(list.into_checked().unwrap());
    RoutePublication { document: Arc::new(vec![1]), table }
}

/// A daemon's targets: none yet, and the service of [`announcement`] is known.
fn empty_targets() -> Announcements {
    let mut targets = Announcements::new(SILENT_AFTER);
    targets.add_services(["orders"], Instant::now());
    targets
}

/// The state of a control daemon that its entries receive.
struct Daemon {
    incarnation: IncarnationId,
    targets: Announcements,
    values: Vec<Arc<RegisterValue>>,
}

impl Daemon {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation: IncarnationId(incarnation),
            targets: empty_targets(),
            values: Vec::new(),
        }
    }

    fn apply(&mut self, change: StateChange) {
        let mut state = self.values.last().map_or_else(SharedState::default, |v| v.state.clone());
        state.apply(&change);
        let ballot = Ballot { count: state.change, ..Ballot::default() };
        self.values.push(Arc::new(RegisterValue { ballot, state, ..RegisterValue::default() }));
    }

    fn feed_state(&self, cursor: &WatchCursor) -> FeedState<'_> {
        let base =
            self.values.iter().find(|v| v.state.change == cursor.change && cursor.change > 0);
        FeedState {
            is_informed: true,
            incarnation: self.incarnation,
            targets: &self.targets,
            chosen: self.values.last().cloned(),
            base: base.cloned(),
        }
    }

    fn send_update(&self, view: &mut ControlView, source: usize, now: Instant) {
        let cursor = view.cursor(source);
        let update = self.feed_state(&cursor).update(&cursor, now);
        view.apply(source, &cursor, update, now);
    }
}

/// Guards against an update that carries the whole table after each change, and against a difference that
/// yields another table.
#[test]
fn changed_routes_are_sent_as_differences() {
    let (mut daemon, mut view, now) = (Daemon::new(1), ControlView::new(1), Instant::now());
    daemon.apply(StateChange::Publish(publication(1, &[1, 2, 3])));
    daemon.send_update(&mut view, 0, now);
    daemon.apply(StateChange::Publish(publication(4, &[2, 3, 4])));
    let cursor = view.cursor(0);
    let update = daemon.feed_state(&cursor).update(&cursor, now);
    let routes = update.declarations.as_ref().map(|declarations| &declarations.routes);
    assert!(matches!(routes, Some(RouteUpdate::Difference(_))), "{routes:?}");
    view.apply(0, &cursor, update, now);
    let expected = &daemon.values.last().unwrap().state;
    assert_eq!(view.routing().table.as_deref(), expected.publication.as_ref().map(|p| &*p.table));
    assert_eq!(view.routing().former, expected.former, "former services are kept for open flows");
}

/// Guards against a difference that is applied to declarations other than those it was made for.
#[test]
fn a_difference_to_other_declarations_is_ignored() {
    let (mut daemon, mut view, now) = (Daemon::new(1), ControlView::new(2), Instant::now());
    daemon.apply(StateChange::Publish(publication(1, &[1])));
    daemon.send_update(&mut view, 0, now);
    let early = view.cursor(1);
    daemon.apply(StateChange::Publish(publication(2, &[1, 2])));
    daemon.send_update(&mut view, 0, now);
    daemon.apply(StateChange::Publish(publication(3, &[3])));
    let update = daemon.feed_state(&early).update(&early, now);
    assert!(!view.apply(1, &early, update, now).routing);
    assert_eq!(view.routing().table.as_ref().unwrap().version, 2);
}

/// Guards against an entry whose declarations are replaced by older ones from a daemon that lags behind.
#[test]
fn older_declarations_are_ignored() {
    let (mut ahead, mut behind, now) = (Daemon::new(1), Daemon::new(2), Instant::now());
    let mut view = ControlView::new(2);
    for daemon in [&mut ahead, &mut behind] {
        daemon.apply(StateChange::Publish(publication(1, &[1])));
    }
    ahead.apply(StateChange::Withdraw { domain: DomainName::from("a"), out: true });
    ahead.send_update(&mut view, 0, now);
    behind.send_update(&mut view, 1, now);
    assert_eq!(view.routing().change, 2);
    assert_eq!(view.routing().withdrawn.len(), 1);
}

/// Guards against a drain that is reported by one daemon and reverted by the older report of another one.
#[test]
fn the_newest_announcement_wins_whichever_daemon_reports_it() {
    let (mut first, mut second, now) = (Daemon::new(1), Daemon::new(2), Instant::now());
    let mut view = ControlView::new(2);
    first.targets.apply(&announcement(1, 5, Availability::Draining), now);
    second.targets.apply(&announcement(1, 4, Availability::Serving), now);
    first.send_update(&mut view, 0, now);
    let cursor = view.cursor(1);
    let update = second.feed_state(&cursor).update(&cursor, now);
    let changes = view.apply(1, &cursor, update, now);
    assert_eq!(changes.targets[0].availability, Availability::Draining);
}

/// Guards against new flows to a target that has left: all control daemons lose power before they have saved its
/// drain or end, and send its earlier announcement, or a repetition of it, after their restart.
#[test]
fn a_target_that_has_left_stays_out_when_all_daemons_restart() {
    let now = Instant::now();
    let cases = [
        (Availability::Draining, 4, Availability::Draining),
        (Availability::Draining, 6, Availability::Serving),
        (Availability::Ended, 4, Availability::Ended),
        (Availability::Ended, 6, Availability::Ended),
    ];
    for (left_as, sequence_after_restart, expected) in cases {
        let mut view = ControlView::new(2);
        for (source, incarnation) in [(0, 1), (1, 2)] {
            let mut daemon = Daemon::new(incarnation);
            daemon.targets.apply(&announcement(1, 4, Availability::Serving), now);
            daemon.targets.apply(&announcement(1, 5, left_as), now);
            daemon.send_update(&mut view, source, now);
        }
        for (source, incarnation) in [(0, 3), (1, 4)] {
            let mut restarted = Daemon::new(incarnation);
            let saved = announcement(1, sequence_after_restart, Availability::Serving);
            restarted.targets.restore(vec![saved], SILENT_AFTER, now);
            let cursor = view.cursor(source);
            let update = restarted.feed_state(&cursor).update(&cursor, now);
            let changes = view.apply(source, &cursor, update, now);
            let found = changes.targets[0].availability;
            assert_eq!(found, expected, "{left_as}, then number {sequence_after_restart}");
        }
    }
}

/// Guards against a cold target that gets the flows of a warm one because daemons have restarted from a save of before it
/// turned cold, and against a target that stays cold although it has said otherwise (review/9).
#[test]
fn a_cold_target_stays_cold_while_its_daemons_restart() {
    let (mut daemon, mut view, now) = (Daemon::new(1), ControlView::new(1), Instant::now());
    let cold = Announcement { cold_ms: 6_000, ..announcement(1, 5, Availability::Serving) };
    daemon.targets.apply(&cold, now);
    daemon.send_update(&mut view, 0, now);
    let cold_until = |view: &mut ControlView, daemon: &Daemon, at| {
        let cursor = view.cursor(0);
        let update = daemon.feed_state(&cursor).update(&cursor, at);
        view.apply(0, &cursor, update, at).targets[0].cold_until
    };
    for (incarnation, saved_sequence) in [(2, 5), (3, 4)] {
        let mut restarted = Daemon::new(incarnation);
        let saved = announcement(1, saved_sequence, Availability::Serving);
        restarted.targets.restore(vec![saved], SILENT_AFTER, now);
        let at = now + Duration::from_secs(1);
        let kept = cold_until(&mut view, &restarted, at);
        assert_eq!(kept, now + Duration::from_secs(6), "number {saved_sequence}");
    }
    let mut restarted = Daemon::new(4);
    let warm = announcement(1, 6, Availability::Serving);
    restarted.targets.apply(&warm, now);
    let at = now + Duration::from_secs(2);
    assert_eq!(cold_until(&mut view, &restarted, at), at, "it has said that it is warm");
    // So has a later incarnation.
    daemon
        .targets
        .apply(&Announcement { cold_ms: 9_000, ..announcement(1, 7, warm.availability) }, at);
    let mut later = announcement(1, 1, Availability::Serving);
    later.stamp.born_ms += 1;
    let mut restarted = Daemon::new(5);
    restarted.targets.apply(&later, at);
    assert_eq!(cold_until(&mut view, &restarted, at), at);
}

/// Guards against a restarted target that stays out because its earlier incarnation has ended.
#[test]
fn a_later_incarnation_of_an_ended_target_is_used() {
    let (mut daemon, mut view, now) = (Daemon::new(1), ControlView::new(1), Instant::now());
    daemon.targets.apply(&announcement(1, 5, Availability::Ended), now);
    daemon.send_update(&mut view, 0, now);
    let mut later = announcement(1, 1, Availability::Serving);
    later.stamp.born_ms += 1;
    daemon.targets.apply(&later, now);
    let cursor = view.cursor(0);
    let update = daemon.feed_state(&cursor).update(&cursor, now);
    let changes = view.apply(0, &cursor, update, now);
    assert_eq!(changes.targets[0].availability, Availability::Serving);
}

/// Guards against an entry that abandons targets because one daemon, which is isolated, no longer receives
/// their announcements.
#[test]
fn a_target_is_silent_only_if_all_daemons_report_it() {
    let (mut isolated, mut connected, now) = (Daemon::new(1), Daemon::new(2), Instant::now());
    let mut view = ControlView::new(2);
    for daemon in [&mut isolated, &mut connected] {
        daemon.targets.apply(&announcement(1, 1, Availability::Serving), now);
    }
    isolated.targets.check_timeouts(now + SILENT_AFTER);
    connected.send_update(&mut view, 1, now);
    let cursor = view.cursor(0);
    let update = isolated.feed_state(&cursor).update(&cursor, now);
    assert!(!view.apply(0, &cursor, update, now).targets[0].silent);
}

/// Guards against an entry that misses targets after its daemon has restarted, which resets the revisions of
/// the targets.
#[test]
fn a_restarted_daemon_sends_all_targets() {
    let (mut daemon, mut view, now) = (Daemon::new(1), ControlView::new(1), Instant::now());
    for id in 1..6 {
        daemon.targets.apply(&announcement(id, 1, Availability::Serving), now);
    }
    daemon.send_update(&mut view, 0, now);
    let mut restarted = Daemon::new(2);
    restarted.targets.apply(&announcement(7, 1, Availability::Serving), now);
    let cursor = view.cursor(0);
    assert!(restarted.feed_state(&cursor).has_update(&cursor));
    let changes = view.apply(0, &cursor, restarted.feed_state(&cursor).update(&cursor, now), now);
    assert!(changes.targets.iter().any(|target| target.id == TargetId(7)));
}
