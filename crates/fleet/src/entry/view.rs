//! Merges what several control daemons tell an entry.

use crate::messages::{News, RouteNews, StartId, Watch};
use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_membership::announcements::TargetReport;
use comfreyhold_types::keys::TargetId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What one daemon has told.
#[derive(Clone, Debug, Default)]
struct Source {
    start: StartId,
    revision: u64,
    reports: BTreeMap<TargetId, (TargetReport, Instant)>,
}

/// What all of them have told.
#[derive(Default)]
pub struct View {
    sources: Vec<Source>,
    routing: Routing,
}

/// What news have changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Targets that are told about differently now.
    pub targets: Vec<TargetSpec>,
    /// Whether there are newer declarations.
    pub routing: bool,
}

impl View {
    /// Creates a view with room for a number of sources.
    #[must_use]
    pub fn new(sources: usize) -> Self {
        Self { sources: vec![Source::default(); sources], routing: Routing::default() }
    }

    /// The newest declarations.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// What to ask a source for.
    #[must_use]
    pub fn question(&self, source: usize) -> Watch {
        let known = self.sources.get(source).cloned().unwrap_or_default();
        Watch { source: known.start, targets: known.revision, change: self.routing.change }
    }

    /// Takes in an answer to `question`.
    pub fn take(&mut self, source: usize, question: &Watch, news: News, now: Instant) -> Changes {
        let routing = self.take_routing(question, &news);
        let Some(known) = self.sources.get_mut(source) else { return Changes::default() };
        let mut touched: BTreeSet<TargetId> =
            news.targets.iter().map(|report| report.announcement.id).collect();
        if news.all_targets {
            touched.extend(known.reports.keys().copied());
            known.reports.clear();
        }
        known.start = news.source;
        known.revision = news.revision;
        let reports = news.targets.into_iter();
        known.reports.extend(reports.map(|report| (report.announcement.id, (report, now))));
        let targets = touched.into_iter().filter_map(|id| self.merged(id)).collect();
        Changes { targets, routing }
    }

    fn take_routing(&mut self, question: &Watch, news: &News) -> bool {
        let Some(declarations) = &news.declarations else { return false };
        if declarations.change <= self.routing.change {
            return false;
        }
        let (table, former) = match &declarations.routes {
            RouteNews::None => (None, Arc::default()),
            RouteNews::Full(table, former) => (Some(Arc::clone(table)), Arc::clone(former)),
            RouteNews::Difference(difference) => {
                // The other source may have brought newer declarations than the question named.
                if question.change != self.routing.change {
                    return false;
                }
                let Some(base) = &self.routing.table else { return false };
                let mut former = Arc::clone(&self.routing.former);
                let services = Arc::make_mut(&mut former);
                for route in &difference.changed {
                    let names = route.destinations.iter().map(|d| d.service.clone());
                    services.entry(route.address).or_default().extend(names);
                }
                (Some(Arc::new(base.with_difference(difference.clone()))), former)
            }
        };
        let change = declarations.change;
        self.routing = Routing { change, table, former, withdrawn: declarations.withdrawn.clone() };
        true
    }

    /// The newest that any source tells about a target. It counts as silent only if all of them say so.
    fn merged(&self, id: TargetId) -> Option<TargetSpec> {
        let reports = || self.sources.iter().filter_map(|source| source.reports.get(&id));
        let (newest, told) = reports().max_by_key(|(report, _)| report.announcement.stamp)?;
        let announcement = &newest.announcement;
        Some(TargetSpec {
            id,
            born_ms: announcement.stamp.born_ms,
            service: announcement.service.clone(),
            address: announcement.address,
            domain: announcement.domain.clone(),
            slots: announcement.slots,
            availability: announcement.availability,
            cold_until: *told + Duration::from_millis(announcement.cold_ms),
            silent: reports().all(|(report, _)| report.silent),
        })
    }
}
