//! Entries that a dispatcher sends load reports to, and how an entry asks for them.

use crate::client::{Action, Client};
use crate::message::Message;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// An entry gets reports for this long after it last asked. Several renewals may be lost.
pub const WATCH_KEPT: Duration = Duration::from_secs(10);

/// Time between two renewals by an entry that uses the service.
pub const WATCH_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Entries that watch a dispatcher.
#[derive(Debug, Default)]
pub(crate) struct Watchers(BTreeMap<InstanceId, Instant>);

impl Watchers {
    /// Notes that an entry asked. Returns whether it was no watcher before.
    pub(crate) fn add(&mut self, now: Instant, entry: InstanceId) -> bool {
        let before = self.0.insert(entry, now + WATCH_KEPT);
        before.is_none_or(|until| until <= now)
    }

    pub(crate) fn remove(&mut self, entry: InstanceId) {
        self.0.remove(&entry);
    }

    /// Drops those that have not asked lately and returns the others.
    pub(crate) fn current(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        self.0.retain(|_, until| *until > now);
        self.0.keys().copied().collect()
    }
}

impl Client {
    /// Asks all dispatchers of a service for load reports, unless it did so lately.
    pub(crate) fn watch(&mut self, now: Instant, service: ServiceId, out: &mut Vec<Action>) {
        let last = self.watched.get(&service);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < WATCH_RENEWAL_INTERVAL) {
            return;
        }
        self.watched.insert(service, now);
        let dispatchers = self.directory.of_service(service);
        out.extend(dispatchers.map(|(pool, to)| Action::Send(to, Message::Watch { pool })));
    }
}
