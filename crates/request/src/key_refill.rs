//! Refill of one shard after a restart: pages through the records of the other replicas.

use crate::keys::{KeyMessage, KeyName};
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between requests to a replica that does not answer.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Source {
    /// Start number of the replica that gave the pages so far. A restart of the source discards its
    /// position, since it may have lost records.
    incarnation: Option<Incarnation>,
    after: Option<KeyName>,
    complete: bool,
    ask_at: Instant,
}

/// Progress of a refill.
#[derive(Debug)]
pub struct Refill {
    shard: u16,
    sources: BTreeMap<InstanceId, Source>,
}

impl Refill {
    /// Begins a refill from the other replicas.
    #[must_use]
    pub fn new(shard: u16, others: Vec<InstanceId>, now: Instant) -> Self {
        let source = Source { incarnation: None, after: None, complete: false, ask_at: now };
        let sources = others.into_iter().map(|other| (other, source.clone())).collect();
        Self { shard, sources }
    }

    /// Requests to replicas that have not answered for a while.
    pub fn due_asks(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
    ) -> Vec<(InstanceId, KeyMessage)> {
        let due: Vec<_> = self
            .sources
            .iter_mut()
            .filter(|(_, source)| !source.complete && source.ask_at <= now)
            .map(|(instance, source)| {
                source.ask_at = now + ASK_INTERVAL;
                *instance
            })
            .collect();
        let ask = |to| self.next_ask(to, incarnation).map(|ask| (to, ask));
        due.into_iter().filter_map(ask).collect()
    }

    /// Takes in a page. Returns whether it is the one expected next.
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
        source.ask_at = now + ASK_INTERVAL;
        true
    }

    /// The request for the next page; `None` when the source is complete.
    #[must_use]
    pub fn next_ask(&self, from: InstanceId, incarnation: Incarnation) -> Option<KeyMessage> {
        let source = self.sources.get(&from).filter(|source| !source.complete)?;
        let after = source.after.clone();
        Some(KeyMessage::Refill { shard: self.shard, incarnation, after })
    }

    /// Whether all other replicas have given all their records.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.sources.values().all(|source| source.complete)
    }
}
