//! Bounded ring of events, and the merge of the rings of several processes in causal order.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of events kept per process. The oldest ones are dropped.
pub const RING_CAPACITY: usize = 4_096;

/// Events of one process, as sent in response to a timeline request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RingDump {
    /// Instance that recorded the events.
    pub instance: InstanceId,
    /// Number of events that were dropped because the ring was full.
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
    /// Creates an empty ring with a capacity of `RING_CAPACITY` events.
    #[must_use]
    pub fn new(instance: InstanceId, domain: DomainId) -> Self {
        Self::with_capacity(instance, domain, RING_CAPACITY)
    }

    /// Creates an empty ring with the given capacity (at least 1).
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

    /// Sets the term and revision that are recorded with later events.
    pub fn set_position(&mut self, term: Term, revision: Revision) {
        self.term = term;
        self.revision = revision;
    }

    /// Advances the clock and returns the timestamp for an outgoing message.
    pub fn stamp(&mut self, wall_ms: u64) -> HybridTimestamp {
        self.clock.tick(wall_ms)
    }

    /// Merges the timestamp of a received message into the clock.
    pub fn receive(&mut self, wall_ms: u64, remote: HybridTimestamp) -> HybridTimestamp {
        self.clock.receive(wall_ms, remote)
    }

    /// Records an event. The oldest one is dropped when the ring is full.
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

/// Selection of events. An empty set or an absent bound matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFilter {
    /// Kinds of events to select.
    pub kinds: BTreeSet<EventKind>,
    /// Instances whose events are selected.
    pub instances: BTreeSet<InstanceId>,
    /// Earliest time, inclusive, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Latest time, inclusive, in milliseconds since the Unix epoch.
    pub to_ms: Option<u64>,
}

impl EventFilter {
    /// Whether the filter selects an event.
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
    /// Events ordered by timestamp, then instance.
    pub events: Vec<Event>,
    /// Number of dropped events, by instance; only for instances that dropped any.
    pub dropped: BTreeMap<InstanceId, u64>,
    /// Instances that did not respond.
    pub unanswered: Vec<InstanceId>,
}

impl Timeline {
    /// Merges the rings of several instances. `expected` are the instances that should have responded.
    #[must_use]
    pub fn merge(
        dumps: &[RingDump],
        expected: &BTreeSet<InstanceId>,
        filter: &EventFilter,
    ) -> Self {
        let matching = dumps.iter().flat_map(|dump| &dump.events).filter(|e| filter.matches(e));
        let mut events: Vec<Event> = matching.cloned().collect();
        events.sort_by_key(|event| (event.stamp, event.instance));
        events.dedup();
        let mut dropped: BTreeMap<InstanceId, u64> = BTreeMap::new();
        for dump in dumps.iter().filter(|dump| dump.dropped > 0) {
            let count = dropped.entry(dump.instance).or_default();
            *count = dump.dropped.max(*count);
        }
        let responded: BTreeSet<InstanceId> = dumps.iter().map(|dump| dump.instance).collect();
        let unanswered = expected.difference(&responded).copied().collect();
        Self { events, dropped, unanswered }
    }
}
