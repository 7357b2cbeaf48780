//! What every part of a process shares: its identity, clock, event ring and the way to send messages.

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

/// Locks a mutex. A panic of another holder is not passed on: its thread has reported it, and the
/// state machines keep no invariant open across a call.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shared by all parts of a process.
pub struct Context {
    /// Settings of the process.
    pub settings: Settings,
    /// Its own member record.
    pub member: Member,
    /// Its start number, which grows with each start.
    pub incarnation: Incarnation,
    clock: Arc<dyn Clock>,
    ring: Mutex<EventRing>,
    newest: Mutex<BTreeMap<InstanceId, Incarnation>>,
    sender: OnceLock<Sender>,
    /// Members that this process can't reach, and through whom it sends to them.
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
            newest: Mutex::default(),
            sender: OnceLock::new(),
            routes: Mutex::default(),
            superseded: watch::Sender::new(false),
        })
    }

    /// Connects the context to the transport. Messages sent earlier are lost, as on a network.
    pub fn connect(&self, sender: Sender) {
        if self.sender.set(sender).is_err() {
            log::error!("the transport was connected twice");
        }
    }

    /// Notes that another process was started under this instance number; this one has to stop.
    pub fn mark_superseded(&self) {
        self.superseded.send_replace(true);
    }

    /// Waits until another process was started under this instance number.
    pub async fn wait_superseded(&self) {
        // The sender lives as long as the context, so the wait can't fail.
        let _ = self.superseded.subscribe().wait_for(|superseded| *superseded).await;
    }

    /// Monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// This process.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.member.instance
    }

    /// Number for a new term of a role. It is higher than every one that this process could have heard
    /// of, since the hybrid logical clock follows received stamps.
    #[must_use]
    pub fn next_epoch(&self) -> u64 {
        let stamp = lock(&self.ring).stamp(self.clock.wall_millis());
        (stamp.wall_ms << 16) | u64::from(stamp.counter & 0xffff)
    }

    /// Seed for a core's random numbers.
    #[must_use]
    pub fn derive_seed(&self, purpose: u64) -> u64 {
        self.incarnation.0 ^ (u64::from(self.instance().0) << 48) ^ (purpose << 32)
    }

    /// Sends a message to another process. It may get lost.
    pub fn send<T: Serialize>(&self, to: InstanceId, topic: Topic, message: &T) {
        let body = match encode_body(message) {
            Ok(body) => body,
            Err(error) => {
                log::error!("{topic} message to {to} dropped: {error}");
                return;
            }
        };
        let envelope = self.seal(to, topic, body);
        // Probes always go directly, since they tell whether the direct way works.
        let route = lock(&self.routes).get(&to).copied().filter(|_| topic != Topic::Detector);
        match route {
            None => self.queue(envelope),
            Some(hop) => match encode_body(&envelope) {
                Ok(body) => self.queue(self.seal(hop, Topic::Relay, body)),
                Err(error) => log::error!("{topic} message to {to} dropped: {error}"),
            },
        }
    }

    /// Sets through whom a member is reached; `None` when it is reached directly.
    pub fn set_route(&self, to: InstanceId, hop: Option<InstanceId>) {
        let mut routes = lock(&self.routes);
        match hop {
            Some(hop) => routes.insert(to, hop),
            None => routes.remove(&to),
        };
    }

    /// Unpacks a relayed envelope: returns it when it is for this process, otherwise passes it on.
    ///
    /// # Errors
    /// The body is not an envelope.
    pub fn unpack_relay(&self, envelope: &Envelope) -> Result<Option<Envelope>, WireError> {
        let inner: Envelope = decode_body(&envelope.body)?;
        if inner.topic == Topic::Relay {
            return Err(WireError::BadFrame("an envelope is relayed only once".to_owned()));
        }
        if inner.to == self.instance() {
            return Ok(Some(inner));
        }
        self.queue(inner);
        Ok(None)
    }

    fn seal(&self, to: InstanceId, topic: Topic, body: Vec<u8>) -> Envelope {
        let stamp = lock(&self.ring).stamp(self.clock.wall_millis());
        let from = self.instance();
        Envelope { from, to, incarnation: self.incarnation, stamp, topic, body }
    }

    fn queue(&self, envelope: Envelope) {
        let (to, topic) = (envelope.to, envelope.topic);
        let queued = self.sender.get().is_some_and(|sender| sender.send(envelope));
        if !queued {
            log::debug!("{topic} message to {to} dropped: no queue");
            metrics::counter!("comfreyhold_messages_dropped_total").increment(1);
        }
    }

    /// Takes in the stamp of an envelope. Returns whether its sender is the newest start of that
    /// instance; messages of an earlier one are dropped.
    pub fn accept(&self, envelope: &Envelope) -> bool {
        let mut newest = lock(&self.newest);
        let known = newest.entry(envelope.from).or_default();
        if envelope.incarnation < *known {
            return false;
        }
        *known = envelope.incarnation;
        drop(newest);
        lock(&self.ring).receive(self.clock.wall_millis(), envelope.stamp);
        true
    }

    /// Records an event of the time line, and logs it.
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

    /// The events of this process.
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
