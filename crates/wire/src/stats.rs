//! Traffic counters of the transport, by topic.

use crate::envelope::Topic;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Estimated bytes of an envelope beside its body: fields, list pointer and RPC frame.
pub const ENVELOPE_OVERHEAD_BYTES: u64 = 64;

/// Messages and bytes sent or received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Count of messages.
    pub messages: u64,
    /// Bytes of bodies and envelopes.
    pub bytes: u64,
}

/// Counters of one transport.
#[derive(Debug, Default)]
pub struct TransportStats {
    sent: Mutex<BTreeMap<Topic, Traffic>>,
    received: Mutex<BTreeMap<Topic, Traffic>>,
}

impl TransportStats {
    /// Traffic sent, by topic.
    #[must_use]
    pub fn sent(&self) -> BTreeMap<Topic, Traffic> {
        lock(&self.sent).clone()
    }

    /// Traffic received, by topic.
    #[must_use]
    pub fn received(&self) -> BTreeMap<Topic, Traffic> {
        lock(&self.received).clone()
    }

    pub(crate) fn count_sent(&self, topic: Topic, body: usize) {
        count(&self.sent, topic, body);
    }

    pub(crate) fn count_received(&self, topic: Topic, body: usize) {
        count(&self.received, topic, body);
    }
}

fn count(side: &Mutex<BTreeMap<Topic, Traffic>>, topic: Topic, body: usize) {
    let mut side = lock(side);
    let traffic = side.entry(topic).or_default();
    traffic.messages += 1;
    traffic.bytes += body as u64 + ENVELOPE_OVERHEAD_BYTES;
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
