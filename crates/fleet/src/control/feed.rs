//! Builds the updates that a control daemon sends to entries: changed targets and newer declarations.

use crate::messages::{DeclarationUpdate, EntryUpdate, IncarnationId, RouteUpdate, WatchCursor};
use comfreyhold_consensus::register::RegisterValue;
use comfreyhold_membership::announcements::Announcements;
use std::sync::Arc;
use std::time::Instant;

/// State of a control daemon from which an update for an entry is built.
pub struct FeedState<'a> {
    /// Current incarnation of the daemon.
    pub incarnation: IncarnationId,
    /// Whether the daemon learns new declarations.
    pub is_informed: bool,
    /// Targets known to the daemon.
    pub targets: &'a Announcements,
    /// Newest value learned to be chosen.
    pub chosen: Option<Arc<RegisterValue>>,
    /// Chosen value that the entry already has; `None` if it is no longer kept.
    pub base: Option<Arc<RegisterValue>>,
}

impl FeedState<'_> {
    /// Whether anything has changed since the entry's cursor.
    #[must_use]
    pub fn has_update(&self, cursor: &WatchCursor) -> bool {
        let has_newer_value = self
            .chosen
            .as_ref()
            .is_some_and(|value| value.state.change > cursor.change.max(cursor.offered));
        has_newer_value
            || cursor.source != self.incarnation
            || self.targets.revision() > cursor.targets
    }

    /// Returns the changes since the entry's cursor. An entry whose cursor is from another incarnation of the
    /// daemon gets all targets, since their revisions are not comparable.
    #[must_use]
    pub fn update(&self, cursor: &WatchCursor, now: Instant) -> EntryUpdate {
        let all_targets = cursor.source != self.incarnation;
        let since = if all_targets { 0 } else { cursor.targets };
        EntryUpdate {
            source: self.incarnation,
            revision: self.targets.revision(),
            all_targets,
            is_informed: self.is_informed,
            targets: self.targets.changed_since(since, now),
            declarations: self.declarations(cursor),
            offer: None,
        }
    }

    /// Returns the declarations if they are newer than the entry's.
    #[must_use]
    pub fn declarations(&self, cursor: &WatchCursor) -> Option<DeclarationUpdate> {
        let state = &self.chosen.as_ref()?.state;
        if state.change <= cursor.change {
            return None;
        }
        let base = self.base.as_ref().and_then(|value| value.state.publication.as_ref());
        let routes = match (&state.publication, base) {
            (None, _) => RouteUpdate::None,
            (Some(new), Some(base)) => {
                RouteUpdate::Difference(new.table.difference_from(&base.table))
            }
            (Some(new), None) => {
                RouteUpdate::Full(Arc::clone(&new.table), Arc::clone(&state.former))
            }
        };
        Some(DeclarationUpdate { change: state.change, withdrawn: state.withdrawn.clone(), routes })
    }
}
