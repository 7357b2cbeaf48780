//! Responses that are encoded once and shared by all who ask for them.

use crate::feed::{announcement, publication};
use comfreyhold_consensus::register::{Ballot, RegisterValue};
use comfreyhold_fleet::control::encodings::{Encodings, Sharing};
use comfreyhold_fleet::control::feed::FeedState;
use comfreyhold_fleet::counters::MessageKind;
use comfreyhold_fleet::messages::{EntryUpdate, FleetResponse, IncarnationId, WatchCursor};
use comfreyhold_membership::announcements::{Announcements, TargetReport};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::{SharedState, StateChange};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SILENT_AFTER: Duration = Duration::from_secs(3);

const SOURCE: IncarnationId = IncarnationId(9);

/// One step at a daemon.
#[derive(Clone, Debug)]
enum Step {
    Announce {
        id: u64,
        sequence: u64,
        availability: Availability,
        cold_ms: u64,
    },
    Advance {
        ms: u64,
    },
    Publish {
        hosts: u8,
    },
    /// A long poll: from another incarnation, or from this number of revisions and changes ago.
    Poll {
        is_new: bool,
        revisions: u64,
        changes: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let availability = prop_oneof![
        6 => Just(Availability::Serving),
        1 => Just(Availability::Draining),
        1 => Just(Availability::Ended),
    ];
    let announce = (1..20_u64, 1..60_u64, availability, prop_oneof![Just(0), 1..3_000_u64])
        .prop_map(|(id, sequence, availability, cold_ms)| Step::Announce {
            id,
            sequence,
            availability,
            cold_ms,
        });
    let poll = (any::<bool>(), 0..4_u64, 0..3_u64)
        .prop_map(|(is_new, revisions, changes)| Step::Poll { is_new, revisions, changes });
    let step = prop_oneof![
        6 => announce,
        2 => (1..900_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (1..6_u8).prop_map(|hosts| Step::Publish { hosts }),
        6 => poll,
    ];
    prop::collection::vec(step, 1..80)
}

/// A daemon's state, and the time.
struct Daemon {
    targets: Announcements,
    values: Vec<Arc<RegisterValue>>,
    now: Instant,
}

impl Daemon {
    fn new() -> Self {
        let (now, mut targets) = (Instant::now(), Announcements::new(SILENT_AFTER));
        targets.add_services(["orders"], now);
        Self { targets, values: Vec::new(), now }
    }

    fn publish(&mut self, hosts: u8) {
        let mut state = self.values.last().map_or_else(SharedState::default, |v| v.state.clone());
        let hosts: Vec<u8> = (1..=hosts).collect();
        state.apply(&StateChange::Publish(publication(state.change + 1, &hosts)));
        let ballot = Ballot { count: state.change, ..Ballot::default() };
        self.values.push(Arc::new(RegisterValue { ballot, state, ..RegisterValue::default() }));
    }

    fn feed(&self, cursor: &WatchCursor) -> FeedState<'_> {
        let is_base =
            |v: &&Arc<RegisterValue>| cursor.change > 0 && v.state.change == cursor.change;
        FeedState {
            is_informed: true,
            incarnation: SOURCE,
            targets: &self.targets,
            chosen: self.values.last().cloned(),
            base: self.values.iter().find(is_base).cloned(),
        }
    }

    fn cursor(&self, is_new: bool, revisions: u64, changes: u64) -> WatchCursor {
        let change = self.values.last().map_or(0, |value| value.state.change);
        WatchCursor {
            source: if is_new { IncarnationId(1) } else { SOURCE },
            targets: self.targets.revision().saturating_sub(revisions),
            change: change.saturating_sub(changes),
            offered: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Announce { id, sequence, availability, cold_ms } => {
                let base = announcement(*id, *sequence, *availability);
                self.targets.apply(&Announcement { cold_ms: *cold_ms, ..base }, self.now);
            }
            Step::Advance { ms } => {
                self.now += Duration::from_millis(*ms);
                self.targets.check_timeouts(self.now);
            }
            Step::Publish { hosts } => self.publish(*hosts),
            Step::Poll { .. } => {}
        }
    }
}

fn decoded(body: &[u8]) -> EntryUpdate {
    match decode_body(body).unwrap() {
        FleetResponse::News(update) => *update,
        other => panic!("unexpected response {other:?}"),
    }
}

/// What an entry makes of the reports: the last one of each target. The numbers of repetitions are left out.
fn last_reports(reports: Vec<TargetReport>) -> BTreeMap<TargetId, TargetReport> {
    let without_number = |mut report: TargetReport| {
        report.announcement.stamp.sequence = 0;
        (report.announcement.id, report)
    };
    reports.into_iter().map(without_number).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Guards against a shared encoding that differs from what this daemon would have sent without sharing, in small
    /// fleets by a single byte: an old cold period, a missing change, a wrong base.
    #[test]
    fn shared_updates_state_what_new_ones_would(steps in steps()) {
        let mut daemon = Daemon::new();
        let (mut exact, mut loose) = (Encodings::default(), Encodings::default());
        for step in &steps {
            daemon.apply(step);
            let Step::Poll { is_new, revisions, changes } = step else { continue };
            let cursor = daemon.cursor(*is_new, *revisions, *changes);
            let feed = daemon.feed(&cursor);
            let update = feed.update(&cursor, daemon.now);
            let new = FleetResponse::News(Box::new(update.clone()));
            let kind = MessageKind::of_update(&update);
            let shared = exact.update(&feed, &cursor, Sharing::Exact, daemon.now).unwrap();
            prop_assert_eq!(&shared.body, &encode_body(&new).unwrap());
            prop_assert_eq!(shared.kind, kind);
            let shared = loose.update(&feed, &cursor, Sharing::Loose, daemon.now).unwrap();
            prop_assert_eq!(shared.kind, kind);
            let shared = decoded(&shared.body);
            prop_assert_eq!(&shared.declarations, &update.declarations);
            prop_assert_eq!(
                (shared.source, shared.revision, shared.all_targets),
                (update.source, update.revision, update.all_targets)
            );
            let (shared, new) = (last_reports(shared.targets), last_reports(update.targets));
            prop_assert_eq!(shared.keys().collect::<Vec<_>>(), new.keys().collect::<Vec<_>>());
            for (id, report) in &new {
                let mut expected = report.clone();
                // A repetition may have moved the end of a cold period by the tolerance for delays.
                let cold_ms = shared[id].announcement.cold_ms;
                expected.announcement.cold_ms = cold_ms;
                prop_assert_eq!(&shared[id], &expected);
            }
            prop_assert!(exact.kept() <= 9 && loose.kept() <= 9);
        }
    }
}

/// Guards against a full copy that is encoded for each entry, also while targets repeat their announcements and some
/// of them change, and against encodings that are kept for ever.
#[test]
fn entries_that_start_together_share_one_encoding() {
    let mut daemon = Daemon::new();
    daemon.publish(5);
    for id in 1..=200 {
        daemon.targets.apply(&announcement(id, 1, Availability::Serving), daemon.now);
    }
    let (mut encodings, cursor) = (Encodings::default(), WatchCursor::default());
    for entry in 0..100 {
        let repeated = announcement(entry + 1, 2, Availability::Serving);
        daemon.targets.apply(&repeated, daemon.now);
        if entry % 10 == 0 {
            let drain = announcement(entry + 1, 3, Availability::Draining);
            daemon.targets.apply(&drain, daemon.now);
        }
        let feed = daemon.feed(&cursor);
        let shared = encodings.update(&feed, &cursor, Sharing::Loose, daemon.now).unwrap();
        assert!(shared.is_full_copy);
        let new = feed.update(&cursor, daemon.now);
        assert_eq!(last_reports(decoded(&shared.body).targets), last_reports(new.targets));
    }
    let counts = encodings.counts();
    assert_eq!((counts.targets, counts.declarations), (1, 1));
    let value = Arc::clone(daemon.values.last().unwrap());
    for _ in 0..75 {
        let body = encodings.value(&value, daemon.now).unwrap();
        let new = FleetResponse::Newest(Some(Arc::clone(&value)));
        assert_eq!(body, encode_body(&new).unwrap());
    }
    assert_eq!(encodings.counts().values, 1);
    encodings.drop_unused(daemon.now + Duration::from_secs(4));
    assert_eq!(encodings.kept(), 3);
    encodings.drop_unused(daemon.now + Duration::from_secs(5));
    assert_eq!(encodings.kept(), 0);
}

/// Guards against entries that follow a daemon at rest and cost it more than an empty update each.
#[test]
fn an_update_without_changes_needs_no_encoding() {
    let mut daemon = Daemon::new();
    daemon.publish(2);
    daemon.targets.apply(&announcement(1, 1, Availability::Serving), daemon.now);
    let (mut encodings, cursor) = (Encodings::default(), daemon.cursor(false, 0, 0));
    let feed = daemon.feed(&cursor);
    let idle = encodings.update(&feed, &cursor, Sharing::Exact, daemon.now).unwrap();
    assert_eq!((idle.kind, idle.is_full_copy), (MessageKind::WatchIdle, false));
    assert_eq!(encodings.kept(), 0);
}

/// Prints the cost of full copies for many entries, new and shared. Guards against sharing that costs more than it saves.
#[test]
fn shared_copies_are_cheaper_than_new_ones() {
    const ENTRIES: u32 = 200;
    let mut daemon = Daemon::new();
    daemon.publish(250);
    for id in 1..=3_000_u16 {
        let base = announcement(1, 1, Availability::Serving);
        let [high, low] = id.to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 80);
        let stamp = AnnouncementStamp { born_ms: 1_764_000_000_000, sequence: 7 };
        let target = Announcement { id: TargetId(id.into()), address, stamp, ..base };
        daemon.targets.apply(&target, daemon.now);
    }
    let (mut encodings, cursor) = (Encodings::default(), WatchCursor::default());
    let feed = daemon.feed(&cursor);
    let started = Instant::now();
    for _ in 0..ENTRIES {
        let update = feed.update(&cursor, daemon.now);
        std::hint::black_box(encode_body(&FleetResponse::News(Box::new(update))).unwrap());
    }
    let new = started.elapsed() / ENTRIES;
    let started = Instant::now();
    let mut bytes = 0;
    for _ in 0..ENTRIES {
        let shared = encodings.update(&feed, &cursor, Sharing::Loose, daemon.now).unwrap();
        bytes = std::hint::black_box(shared).body.len();
    }
    let shared = started.elapsed() / ENTRIES;
    println!("a copy of {bytes} bytes: new {new:?}, shared {shared:?}");
    assert!(shared < new, "new {new:?}, shared {shared:?}");
}
