//! State that all parts of a process share: its identity, clock, event ring and connection to other processes.

use crate::settings::{Member, Settings};
use comfreyhold_membership::timeline::{EventFilter, EventRing};
use comfreyhold_types::api::TimelineReply;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::{Envelope, Topic, decode_body, encode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::transport::Sender;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;
use tokio::sync::watch;

/// Locks a mutex, also a poisoned one: the thread that panicked has reported it, and the state machines leave
/// no invariant broken between calls.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Identity, clock, timeline and transport of a process, shared by all its parts.
pub struct Context {
    /// Settings of the process.
    pub settings: Settings,
    /// Member record of this process.
    pub member: Member,
    /// Incarnation of this process, which grows with each start of the instance.
    pub incarnation: Incarnation,
    clock: Arc<dyn Clock>,
    ring: Mutex<EventRing>,
    /// Newest incarnation that this process has received a message from, by instance.
    newest_incarnations: Mutex<BTreeMap<InstanceId, Incarnation>>,
    sender: OnceLock<Sender>,
    /// Members that this process can't reach directly, each with the member that relays messages to it.
    routes: Mutex<BTreeMap<InstanceId, InstanceId>>,
    superseded: watch::Sender<bool>,
}

impl Context {
    /// Creates the context of a process.
    #[must_use]
    pub fn new(
        settings: Settings,
        member: Member,
        incarnation: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let ring = EventRing::new(member.instance, member.domain);
        Arc::new(Self {
            settings,
            member,
            incarnation,
            clock,
            ring: Mutex::new(ring),
            newest_incarnations: Mutex::default(),
            sender: OnceLock::new(),
            routes: Mutex::default(),
            superseded: watch::Sender::new(false),
        })
    }

    /// Connects the context to the transport. Messages sent before are dropped.
    pub fn connect(&self, sender: Sender) {
        if self.sender.set(sender).is_err() {
            log::error!("the transport was connected twice");
        }
    }

    /// Marks this process as superseded by a later one with the same instance number, so that it stops.
    pub fn mark_superseded(&self) {
        self.superseded.send_replace(true);
    }

    /// Waits until this process is superseded by a later one with the same instance number.
    pub async fn wait_superseded(&self) {
        // The sender lives as long as the context, so the wait can't fail.
        let _ = self.superseded.subscribe().wait_for(|superseded| *superseded).await;
    }

    /// Current monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Instance number of this process.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.member.instance
    }

    /// Epoch for a new term of a role. It is higher than every epoch that this process can have received, since
    /// the hybrid logical clock follows the received stamps.
    #[must_use]
    pub fn next_epoch(&self) -> u64 {
        let stamp = lock(&self.ring).stamp(self.clock.wall_millis());
        (stamp.wall_ms << 16) | u64::from(stamp.counter & 0xffff)
    }

    /// Seed for the random numbers of a state machine. Each one of a process passes a different `purpose`.
    #[must_use]
    pub fn derive_seed(&self, purpose: u64) -> u64 {
        self.incarnation.0 ^ (u64::from(self.instance().0) << 48) ^ (purpose << 32)
    }

    /// Sends a message to another process, without a guarantee that it arrives.
    pub fn send<T: Serialize>(&self, to: InstanceId, topic: Topic, message: &T) {
        let body = match encode_body(message) {
            Ok(body) => body,
            Err(error) => {
                log::error!("{topic} message to {to} dropped: {error}");
                return;
            }
        };
        let envelope = self.seal(to, topic, body);
        // The failure detector's messages are never relayed, since they test the direct connection.
        let relay = lock(&self.routes).get(&to).copied().filter(|_| topic != Topic::Detector);
        match relay {
            None => self.enqueue(envelope),
            Some(relay) => match encode_body(&envelope) {
                Ok(body) => self.enqueue(self.seal(relay, Topic::Relay, body)),
                Err(error) => log::error!("{topic} message to {to} dropped: {error}"),
            },
        }
    }

    /// Sets the member that relays messages to another one; `None` when messages are sent directly.
    pub fn set_route(&self, to: InstanceId, relay: Option<InstanceId>) {
        let mut routes = lock(&self.routes);
        match relay {
            Some(relay) => routes.insert(to, relay),
            None => routes.remove(&to),
        };
    }

    /// Unpacks a relayed envelope. Returns the inner envelope when it is for this process, and otherwise
    /// forwards it to its receiver.
    ///
    /// # Errors
    /// The body is not an envelope, or the inner envelope is itself relayed.
    pub fn unpack_relay(&self, envelope: &Envelope) -> Result<Option<Envelope>, WireError> {
        let inner: Envelope = decode_body(&envelope.body)?;
        if inner.topic == Topic::Relay {
            return Err(WireError::BadFrame("an envelope is relayed only once".to_owned()));
        }
        if inner.to == self.instance() {
            return Ok(Some(inner));
        }
        self.enqueue(inner);
        Ok(None)
    }

    /// Wraps a message body in an envelope with this process's identity and a new stamp.
    fn seal(&self, to: InstanceId, topic: Topic, body: Vec<u8>) -> Envelope {
        let stamp = lock(&self.ring).stamp(self.clock.wall_millis());
        let from = self.instance();
        Envelope { from, to, incarnation: self.incarnation, stamp, topic, body }
    }

    fn enqueue(&self, envelope: Envelope) {
        let (to, topic) = (envelope.to, envelope.topic);
        let is_queued = self.sender.get().is_some_and(|sender| sender.send(envelope));
        if !is_queued {
            log::debug!("{topic} message to {to} dropped: its queue is full or missing");
            metrics::counter!("comfreyhold_messages_dropped_total").increment(1);
        }
    }

    /// Checks that an envelope comes from the newest known incarnation of its sender, and advances the hybrid
    /// logical clock to its stamp. Returns false for an earlier incarnation, whose messages are to be dropped.
    pub fn accept(&self, envelope: &Envelope) -> bool {
        let mut newest = lock(&self.newest_incarnations);
        let known = newest.entry(envelope.from).or_default();
        if envelope.incarnation < *known {
            return false;
        }
        *known = envelope.incarnation;
        drop(newest);
        lock(&self.ring).receive(self.clock.wall_millis(), envelope.stamp);
        true
    }

    /// Records an event in the timeline, logs it and counts it.
    pub fn record(&self, kind: EventKind, fields: &[(&str, String)]) {
        let fields: BTreeMap<String, String> =
            fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect();
        log::info!("{kind} {fields:?}");
        let name: &'static str = kind.into();
        metrics::counter!("comfreyhold_events_total", "kind" => name).increment(1);
        lock(&self.ring).record(self.clock.wall_millis(), kind, fields);
    }

    /// Sets the term and revision that later events are recorded with.
    pub fn set_position(&self, term: Term, revision: Revision) {
        lock(&self.ring).set_position(term, revision);
    }

    /// The recorded events of this process.
    #[must_use]
    pub fn timeline(&self) -> TimelineReply {
        let mut ring = lock(&self.ring);
        let now = ring.stamp(self.clock.wall_millis());
        let dump = ring.dump(&EventFilter::default());
        TimelineReply {
            instance: self.instance(),
            name: self.member.name.clone(),
            now,
            dropped: dump.dropped,
            events: dump.events,
        }
    }
}
