//! What control daemons tell entries, and what entries make of it.

use comfreyhold_consensus::register::{Ballot, RegisterValue};
use comfreyhold_fleet::control::feed::Sources;
use comfreyhold_fleet::entry::view::View;
use comfreyhold_fleet::messages::{RouteNews, StartId, Watch};
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

const SILENCE: Duration = Duration::from_secs(3);

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

/// A control daemon as far as its entries see it.
struct Daemon {
    start: StartId,
    targets: Announcements,
    values: Vec<Arc<RegisterValue>>,
}

impl Daemon {
    fn new(start: u64) -> Self {
        Self { start: StartId(start), targets: Announcements::new(SILENCE), values: Vec::new() }
    }

    fn apply(&mut self, change: StateChange) {
        let mut state = self.values.last().map_or_else(SharedState::default, |v| v.state.clone());
        state.apply(&change);
        let ballot = Ballot { count: state.change, ..Ballot::default() };
        self.values.push(Arc::new(RegisterValue { ballot, state, ..RegisterValue::default() }));
    }

    fn sources(&self, watch: &Watch) -> Sources<'_> {
        let base = self.values.iter().find(|v| v.state.change == watch.change && watch.change > 0);
        Sources {
            start: self.start,
            targets: &self.targets,
            chosen: self.values.last().cloned(),
            base: base.cloned(),
        }
    }

    fn tell(&self, view: &mut View, source: usize, now: Instant) {
        let watch = view.question(source);
        let news = self.sources(&watch).news(&watch, now);
        view.take(source, &watch, news, now);
    }
}

/// Guards against an entry that gets whole tables for each change, and against differences that lead to
/// another table.
#[test]
fn changed_routes_travel_as_differences() {
    let (mut daemon, mut view, now) = (Daemon::new(1), View::new(1), Instant::now());
    daemon.apply(StateChange::Publish(publication(1, &[1, 2, 3])));
    daemon.tell(&mut view, 0, now);
    daemon.apply(StateChange::Publish(publication(4, &[2, 3, 4])));
    let watch = view.question(0);
    let news = daemon.sources(&watch).news(&watch, now);
    let routes = news.declarations.as_ref().map(|declarations| &declarations.routes);
    assert!(matches!(routes, Some(RouteNews::Difference(_))), "{routes:?}");
    view.take(0, &watch, news, now);
    let expected = &daemon.values.last().unwrap().state;
    assert_eq!(view.routing().table.as_deref(), expected.publication.as_ref().map(|p| &*p.table));
    assert_eq!(view.routing().former, expected.former, "former services are kept for open flows");
}

/// Guards against a difference that is applied to other declarations than it was made for.
#[test]
fn a_difference_to_other_declarations_is_not_used() {
    let (mut daemon, mut view, now) = (Daemon::new(1), View::new(2), Instant::now());
    daemon.apply(StateChange::Publish(publication(1, &[1])));
    daemon.tell(&mut view, 0, now);
    let early = view.question(1);
    daemon.apply(StateChange::Publish(publication(2, &[1, 2])));
    daemon.tell(&mut view, 0, now);
    daemon.apply(StateChange::Publish(publication(3, &[3])));
    let news = daemon.sources(&early).news(&early, now);
    assert!(!view.take(1, &early, news, now).routing);
    assert_eq!(view.routing().table.as_ref().unwrap().version, 2);
}

/// Guards against declarations that go back when an entry asks a daemon that is behind.
#[test]
fn a_daemon_that_is_behind_changes_nothing() {
    let (mut ahead, mut behind, now) = (Daemon::new(1), Daemon::new(2), Instant::now());
    let mut view = View::new(2);
    for daemon in [&mut ahead, &mut behind] {
        daemon.apply(StateChange::Publish(publication(1, &[1])));
    }
    ahead.apply(StateChange::Withdraw { domain: DomainName::from("a"), out: true });
    ahead.tell(&mut view, 0, now);
    behind.tell(&mut view, 1, now);
    assert_eq!(view.routing().change, 2);
    assert_eq!(view.routing().withdrawn.len(), 1);
}

/// Guards against a drain that one daemon has told and another, older one takes back.
#[test]
fn the_newest_announcement_counts_whoever_tells_it() {
    let (mut first, mut second, now) = (Daemon::new(1), Daemon::new(2), Instant::now());
    let mut view = View::new(2);
    first.targets.apply(&announcement(1, 5, Availability::Draining), now);
    second.targets.apply(&announcement(1, 4, Availability::Serving), now);
    first.tell(&mut view, 0, now);
    let watch = view.question(1);
    let news = second.sources(&watch).news(&watch, now);
    let changes = view.take(1, &watch, news, now);
    assert_eq!(changes.targets[0].availability, Availability::Draining);
}

/// Guards against targets that are given up because one daemon, which is cut off, no longer hears them.
#[test]
fn a_target_is_silent_only_if_all_daemons_say_so() {
    let (mut cut, mut connected, now) = (Daemon::new(1), Daemon::new(2), Instant::now());
    let mut view = View::new(2);
    for daemon in [&mut cut, &mut connected] {
        daemon.targets.apply(&announcement(1, 1, Availability::Serving), now);
    }
    cut.targets.check_timeouts(now + SILENCE);
    connected.tell(&mut view, 1, now);
    let watch = view.question(0);
    let news = cut.sources(&watch).news(&watch, now);
    assert!(!view.take(0, &watch, news, now).targets[0].silent);
}

/// Guards against an entry that misses targets after its daemon has started anew with lower numbers.
#[test]
fn a_restarted_daemon_tells_everything() {
    let (mut daemon, mut view, now) = (Daemon::new(1), View::new(1), Instant::now());
    for id in 1..6 {
        daemon.targets.apply(&announcement(id, 1, Availability::Serving), now);
    }
    daemon.tell(&mut view, 0, now);
    let mut restarted = Daemon::new(2);
    restarted.targets.apply(&announcement(7, 1, Availability::Serving), now);
    let watch = view.question(0);
    assert!(restarted.sources(&watch).has_news(&watch));
    let changes = view.take(0, &watch, restarted.sources(&watch).news(&watch, now), now);
    assert!(changes.targets.iter().any(|target| target.id == TargetId(7)));
}
