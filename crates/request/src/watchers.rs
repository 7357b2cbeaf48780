//! Subscriptions of entries to the load reports of dispatchers.

use crate::client::{Action, Client};
use crate::message::Message;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time for which an entry gets reports after its last subscription. Tolerates the loss of several
/// renewals.
pub const WATCH_LIFETIME: Duration = Duration::from_secs(10);

/// Interval at which an entry that uses a service renews its subscriptions.
pub const WATCH_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Entries subscribed to a dispatcher's reports, with the ends of their subscriptions.
#[derive(Debug, Default)]
pub(crate) struct Watchers(BTreeMap<InstanceId, Instant>);

impl Watchers {
    /// Adds or renews a subscription. Returns whether the entry was not subscribed before.
    pub(crate) fn add(&mut self, now: Instant, entry: InstanceId) -> bool {
        let before = self.0.insert(entry, now + WATCH_LIFETIME);
        before.is_none_or(|until| until <= now)
    }

    pub(crate) fn remove(&mut self, entry: InstanceId) {
        self.0.remove(&entry);
    }

    /// Removes expired subscriptions and returns the subscribed entries.
    pub(crate) fn active(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        self.0.retain(|_, until| *until > now);
        self.0.keys().copied().collect()
    }
}

impl Client {
    /// Subscribes to the load reports of all dispatchers of a service, unless it was done recently.
    pub(crate) fn request_load_reports(
        &mut self,
        now: Instant,
        service: ServiceId,
        out: &mut Vec<Action>,
    ) {
        let last = self.last_watch.get(&service);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < WATCH_RENEWAL_INTERVAL) {
            return;
        }
        self.last_watch.insert(service, now);
        let dispatchers = self.directory.dispatchers_of(service);
        out.extend(dispatchers.map(|(pool, to)| Action::Send(to, Message::Watch { pool })));
    }
}
