//! What a control daemon tells entries: targets that changed, and newer declarations.

use crate::messages::{DeclarationNews, News, RouteNews, StartId, Watch};
use comfreyhold_consensus::register::RegisterValue;
use comfreyhold_membership::announcements::Announcements;
use std::sync::Arc;
use std::time::Instant;

/// What the news are made from.
pub struct Sources<'a> {
    /// This start of the daemon.
    pub start: StartId,
    /// Its targets.
    pub targets: &'a Announcements,
    /// The newest value known to be chosen.
    pub chosen: Option<Arc<RegisterValue>>,
    /// The chosen value that the entry has, if it is still kept.
    pub base: Option<Arc<RegisterValue>>,
}

impl Sources<'_> {
    /// Whether there is anything that the entry does not know.
    #[must_use]
    pub fn has_news(&self, watch: &Watch) -> bool {
        let newer = self.chosen.as_ref().is_some_and(|value| value.state.change > watch.change);
        newer || watch.source != self.start || self.targets.revision() > watch.targets
    }

    /// What the entry does not know.
    #[must_use]
    pub fn news(&self, watch: &Watch, now: Instant) -> News {
        let all_targets = watch.source != self.start;
        let since = if all_targets { 0 } else { watch.targets };
        News {
            source: self.start,
            revision: self.targets.revision(),
            all_targets,
            targets: self.targets.changed_since(since, now),
            declarations: self.declarations(watch),
        }
    }

    fn declarations(&self, watch: &Watch) -> Option<DeclarationNews> {
        let state = &self.chosen.as_ref()?.state;
        if state.change <= watch.change {
            return None;
        }
        let base = self.base.as_ref().and_then(|value| value.state.publication.as_ref());
        let routes = match (&state.publication, base) {
            (None, _) => RouteNews::None,
            (Some(now), Some(base)) => RouteNews::Difference(now.table.difference(&base.table)),
            (Some(now), None) => RouteNews::Full(Arc::clone(&now.table), Arc::clone(&state.former)),
        };
        Some(DeclarationNews { change: state.change, withdrawn: state.withdrawn.clone(), routes })
    }
}
