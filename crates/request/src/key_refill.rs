//! Refill of one shard after a restart: copies the records of the other replicas page by page.

use crate::keys::{KeyMessage, KeyName};
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Retry interval of requests to a replica that does not reply.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct RefillSource {
    /// Incarnation of the replica that sent the pages so far. A restart of the replica resets the
    /// position, since it may have lost records.
    incarnation: Option<Incarnation>,
    after: Option<KeyName>,
    complete: bool,
    next_request_at: Instant,
}

/// Progress of a refill, by replica.
#[derive(Debug)]
pub struct Refill {
    shard: u16,
    sources: BTreeMap<InstanceId, RefillSource>,
}

impl Refill {
    /// Starts a refill from the other replicas.
    #[must_use]
    pub fn new(shard: u16, others: Vec<InstanceId>, now: Instant) -> Self {
        let source =
            RefillSource { incarnation: None, after: None, complete: false, next_request_at: now };
        let sources = others.into_iter().map(|other| (other, source.clone())).collect();
        Self { shard, sources }
    }

    /// Requests to replicas that have not replied within the retry interval.
    pub fn due_requests(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
    ) -> Vec<(InstanceId, KeyMessage)> {
        let due: Vec<_> = self
            .sources
            .iter_mut()
            .filter(|(_, source)| !source.complete && source.next_request_at <= now)
            .map(|(instance, source)| {
                source.next_request_at = now + REQUEST_INTERVAL;
                *instance
            })
            .collect();
        let request = |to| self.next_request(to, incarnation).map(|message| (to, message));
        due.into_iter().filter_map(request).collect()
    }

    /// Checks a received page and advances the position if it is the expected one. Returns whether
    /// it was.
    pub fn accept_page(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        after: Option<&KeyName>,
        end: Option<KeyName>,
        last: bool,
    ) -> bool {
        let Some(source) = self.sources.get_mut(&from) else { return false };
        if source.complete || source.incarnation.is_some_and(|known| incarnation < known) {
            return false;
        }
        if source.incarnation != Some(incarnation) {
            source.incarnation = Some(incarnation);
            source.after = None;
        }
        if source.after.as_ref() != after {
            return false;
        }
        source.after = end.or(source.after.take());
        source.complete = last;
        source.next_request_at = now + REQUEST_INTERVAL;
        true
    }

    /// The request for the next page of a replica; `None` when all its pages have arrived.
    #[must_use]
    pub fn next_request(&self, from: InstanceId, incarnation: Incarnation) -> Option<KeyMessage> {
        let source = self.sources.get(&from).filter(|source| !source.complete)?;
        let after = source.after.clone();
        Some(KeyMessage::Refill { shard: self.shard, incarnation, after })
    }

    /// Whether all records of all other replicas have arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.sources.values().all(|source| source.complete)
    }
}
