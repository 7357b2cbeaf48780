//! Bounded ring of events, and the merge of several rings in causal order.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Events kept per process.
pub const RING_CAPACITY: usize = 4_096;

/// The events of one process, as sent to whoever asks for the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RingDump {
    /// The process.
    pub instance: InstanceId,
    /// Events that the ring no longer holds.
    pub dropped: u64,
    /// Events in the order in which they were recorded.
    pub events: Vec<Event>,
}

/// The event ring of this process together with its hybrid logical clock.
#[derive(Clone, Debug)]
pub struct EventRing {
    instance: InstanceId,
    domain: DomainId,
    term: Term,
    revision: Revision,
    clock: HybridClock,
    capacity: usize,
    dropped: u64,
    events: VecDeque<Event>,
}

impl EventRing {
    /// Creates an empty ring of `RING_CAPACITY` events.
    #[must_use]
    pub fn new(instance: InstanceId, domain: DomainId) -> Self {
        Self::with_capacity(instance, domain, RING_CAPACITY)
    }

    /// Creates an empty ring of the given size (at least 1).
    #[must_use]
    pub fn with_capacity(instance: InstanceId, domain: DomainId, capacity: usize) -> Self {
        Self {
            instance,
            domain,
            term: Term::default(),
            revision: Revision::default(),
            clock: HybridClock::default(),
            capacity: capacity.max(1),
            dropped: 0,
            events: VecDeque::new(),
        }
    }

    /// Sets the term and revision that later events carry.
    pub fn set_position(&mut self, term: Term, revision: Revision) {
        self.term = term;
        self.revision = revision;
    }

    /// Stamps an outgoing message.
    pub fn stamp(&mut self, wall_ms: u64) -> HybridTimestamp {
        self.clock.tick(wall_ms)
    }

    /// Takes in the stamp of a received message.
    pub fn receive(&mut self, wall_ms: u64, remote: HybridTimestamp) -> HybridTimestamp {
        self.clock.receive(wall_ms, remote)
    }

    /// Records an event; the oldest one is dropped when the ring is full.
    pub fn record(&mut self, wall_ms: u64, kind: EventKind, fields: BTreeMap<String, String>) {
        let event = Event {
            stamp: self.clock.tick(wall_ms),
            instance: self.instance,
            domain: self.domain,
            term: self.term,
            revision: self.revision,
            kind,
            fields,
        };
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// The events that match the filter, oldest first.
    #[must_use]
    pub fn dump(&self, filter: &EventFilter) -> RingDump {
        let events = self.events.iter().filter(|event| filter.matches(event)).cloned().collect();
        RingDump { instance: self.instance, dropped: self.dropped, events }
    }
}

/// Which events to show. An empty set or an absent bound lets everything through.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFilter {
    /// Kinds to show.
    pub kinds: BTreeSet<EventKind>,
    /// Processes to show.
    pub instances: BTreeSet<InstanceId>,
    /// Start of the span, inclusive, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// End of the span, inclusive, in milliseconds since the Unix epoch.
    pub to_ms: Option<u64>,
}

impl EventFilter {
    /// Whether the event is shown.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let wall_ms = event.stamp.wall_ms;
        (self.kinds.is_empty() || self.kinds.contains(&event.kind))
            && (self.instances.is_empty() || self.instances.contains(&event.instance))
            && self.from_ms.is_none_or(|from| wall_ms >= from)
            && self.to_ms.is_none_or(|to| wall_ms <= to)
    }
}

/// Events of several processes in causal order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Events by stamp, then process.
    pub events: Vec<Event>,
    /// Events that rings no longer held, by process; only processes that dropped any.
    pub dropped: BTreeMap<InstanceId, u64>,
    /// Processes that did not respond.
    pub unanswered: Vec<InstanceId>,
}

impl Timeline {
    /// Merges rings. `asked` names the processes that should have responded.
    #[must_use]
    pub fn merge(dumps: &[RingDump], asked: &BTreeSet<InstanceId>, filter: &EventFilter) -> Self {
        let matching = dumps.iter().flat_map(|dump| &dump.events).filter(|e| filter.matches(e));
        let mut events: Vec<Event> = matching.cloned().collect();
        events.sort_by_key(|event| (event.stamp, event.instance));
        events.dedup();
        let mut dropped: BTreeMap<InstanceId, u64> = BTreeMap::new();
        for dump in dumps.iter().filter(|dump| dump.dropped > 0) {
            let count = dropped.entry(dump.instance).or_default();
            *count = dump.dropped.max(*count);
        }
        let answered: BTreeSet<InstanceId> = dumps.iter().map(|dump| dump.instance).collect();
        let unanswered = asked.difference(&answered).copied().collect();
        Self { events, dropped, unanswered }
    }
}
