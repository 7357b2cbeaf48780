//! Merges the updates that an entry receives from several control daemons.

use crate::messages::{DeclarationUpdate, EntryUpdate, IncarnationId, RouteUpdate, WatchCursor};
use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_membership::announcements::TargetReport;
use comfreyhold_types::announcement::{Announcement, AnnouncementPosition, Availability};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::limit_former;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which an entry remembers that a target takes no more flows. A restarted control daemon that does
/// not know it yet learns it from the others, or from the target, within seconds.
const LEFT_RETENTION: Duration = Duration::from_secs(300);

/// State received from one control daemon.
#[derive(Clone, Debug, Default)]
struct SourceState {
    incarnation: IncarnationId,
    revision: u64,
    /// Reports of the daemon's targets, and when each was received.
    reports: BTreeMap<TargetId, (TargetReport, Instant)>,
}

/// Merged state of all watched control daemons.
#[derive(Default)]
pub struct ControlView {
    sources: Vec<SourceState>,
    /// Newest announcements by which targets stopped taking flows, and when each was received. They stay in
    /// effect when all sources have restarted and report an older state.
    left: BTreeMap<TargetId, (Announcement, Instant)>,
    /// Ends of the cold periods of targets that are cold, with the positions of their announcements.
    cold: BTreeMap<TargetId, (AnnouncementPosition, Instant)>,
    routing: Routing,
    /// Change number up to which declarations were offered, and are fetched; 0 if none are.
    offered: u64,
}

/// Changes of the merged state by one update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewChanges {
    /// Merged state of the targets that the update was about.
    pub targets: Vec<TargetSpec>,
    /// Whether the update has brought newer declarations.
    pub routing: bool,
}

impl ControlView {
    /// Creates an empty view of a number of sources.
    #[must_use]
    pub fn new(sources: usize) -> Self {
        let sources = vec![SourceState::default(); sources];
        Self { sources, ..Self::default() }
    }

    /// Routing from the newest declarations received.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Cursor for the next long poll of a source.
    #[must_use]
    pub fn cursor(&self, source: usize) -> WatchCursor {
        let state = self.sources.get(source);
        WatchCursor {
            source: state.map(|state| state.incarnation).unwrap_or_default(),
            targets: state.map(|state| state.revision).unwrap_or_default(),
            change: self.routing.change,
            offered: self.offered,
        }
    }

    /// Records that declarations are fetched that were offered, so that they are not offered again.
    pub fn record_offer(&mut self, change: u64) {
        self.offered = self.offered.max(change);
    }

    /// Records that no declarations are fetched any more.
    pub fn forget_offers(&mut self) {
        self.offered = 0;
    }

    /// Applies a source's response to the long poll with `cursor`.
    pub fn apply(
        &mut self,
        source: usize,
        cursor: &WatchCursor,
        update: EntryUpdate,
        now: Instant,
    ) -> ViewChanges {
        let declarations = update.declarations.as_ref();
        let routing = declarations.is_some_and(|d| self.apply_declarations(cursor.change, d));
        let Some(state) = self.sources.get_mut(source) else { return ViewChanges::default() };
        let mut affected: BTreeSet<TargetId> =
            update.targets.iter().map(|report| report.announcement.id).collect();
        if update.all_targets {
            affected.extend(state.reports.keys().copied());
            state.reports.clear();
        }
        state.incarnation = update.source;
        state.revision = update.revision;
        self.left.retain(|_, (_, received)| now < *received + LEFT_RETENTION);
        self.cold.retain(|_, (_, cold_until)| now < *cold_until);
        for report in &update.targets {
            record_left(&mut self.left, &report.announcement, now);
        }
        let reports = update.targets.into_iter();
        state.reports.extend(reports.map(|report| (report.announcement.id, (report, now))));
        let mut targets: Vec<TargetSpec> = Vec::new();
        for id in affected {
            let Some((mut target, position)) = self.merged_target(id) else { continue };
            target.cold_until = self.cold_end(id, position, target.cold_until, now);
            targets.push(target);
        }
        ViewChanges { targets, routing }
    }

    /// Applies newer declarations. A difference is one to the declarations with the change number `base`. Returns whether
    /// the routing has changed.
    pub fn apply_declarations(&mut self, base: u64, declarations: &DeclarationUpdate) -> bool {
        if declarations.change <= self.routing.change {
            return false;
        }
        let (table, former) = match &declarations.routes {
            RouteUpdate::None => (None, Arc::default()),
            RouteUpdate::Full(table, former) => (Some(Arc::clone(table)), Arc::clone(former)),
            RouteUpdate::Difference(difference) => {
                // Another source may have brought newer declarations since the long poll was sent; the
                // difference does not apply to them.
                if base != self.routing.change {
                    return false;
                }
                let Some(base) = &self.routing.table else { return false };
                let table = base.with_difference(difference.clone());
                let mut former = Arc::clone(&self.routing.former);
                let services = Arc::make_mut(&mut former);
                for route in &difference.changed {
                    let names = route.destinations.iter().map(|d| d.service.clone());
                    services.entry(route.address).or_default().extend(names);
                }
                limit_former(services, &table.routes);
                (Some(Arc::new(table)), former)
            }
        };
        let change = declarations.change;
        self.routing = Routing { change, table, former, withdrawn: declarations.withdrawn.clone() };
        true
    }

    /// Merges the reports of all sources about a target: the last announcement counts, also
    /// one that no source reports any more, and the target is silent only if all of the reports say so.
    /// Also returns the position of that announcement.
    fn merged_target(&self, id: TargetId) -> Option<(TargetSpec, AnnouncementPosition)> {
        let reports = || self.sources.iter().filter_map(|source| source.reports.get(&id));
        let (newest, received) =
            reports().max_by_key(|(report, _)| report.announcement.position())?;
        let left = self.left.get(&id).filter(|(left, _)| outlasts(left, &newest.announcement));
        let (announcement, received) =
            left.map_or((&newest.announcement, received), |(left, received)| (left, received));
        let target = TargetSpec {
            id,
            born_ms: announcement.stamp.born_ms,
            service: announcement.service.clone(),
            address: announcement.address,
            domain: announcement.domain.clone(),
            slots: announcement.slots,
            availability: announcement.availability,
            cold_until: *received + Duration::from_millis(announcement.cold_ms),
            silent: reports().all(|(report, _)| report.silent),
        };
        Some((target, announcement.position()))
    }

    /// Returns the end of a target's cold period. An announcement that is no newer than the one which stated a later end does
    /// not shorten it: daemons that have restarted may report what they had saved before.
    fn cold_end(
        &mut self,
        id: TargetId,
        position: AnnouncementPosition,
        reported: Instant,
        now: Instant,
    ) -> Instant {
        let known = self.cold.get(&id).filter(|(known, _)| position <= *known);
        let (position, cold_until) = match known {
            Some((known, cold_until)) => (*known, reported.max(*cold_until)),
            None => (position, reported),
        };
        if now < cold_until {
            self.cold.insert(id, (position, cold_until));
        } else {
            self.cold.remove(&id);
        }
        cold_until
    }
}

/// Remembers an announcement by which a target stopped taking flows.
fn record_left(
    left: &mut BTreeMap<TargetId, (Announcement, Instant)>,
    announcement: &Announcement,
    now: Instant,
) {
    if announcement.availability == Availability::Serving {
        return;
    }
    if left.get(&announcement.id).is_some_and(|(known, _)| outlasts(known, announcement)) {
        return;
    }
    left.insert(announcement.id, (announcement.clone(), now));
}

/// Whether an announcement stays in effect against another one of the same target. The end of an incarnation
/// is final.
fn outlasts(known: &Announcement, other: &Announcement) -> bool {
    other.position() <= known.position()
}
