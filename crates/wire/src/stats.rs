//! Message and byte counters of a transport, by topic.

use crate::envelope::Topic;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Estimated size of an envelope without its body, in bytes: fields, list pointer and RPC frame.
pub const ENVELOPE_OVERHEAD_BYTES: u64 = 64;

/// Number and size of messages sent or received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Size of bodies and envelopes, in bytes.
    pub bytes: u64,
}

/// Traffic counters of one transport.
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

    pub(crate) fn count_sent(&self, topic: Topic, body_bytes: usize) {
        add_message(&self.sent, topic, body_bytes);
    }

    pub(crate) fn count_received(&self, topic: Topic, body_bytes: usize) {
        add_message(&self.received, topic, body_bytes);
    }
}

fn add_message(counters: &Mutex<BTreeMap<Topic, Traffic>>, topic: Topic, body_bytes: usize) {
    let mut counters = lock(counters);
    let traffic = counters.entry(topic).or_default();
    traffic.messages += 1;
    traffic.bytes += body_bytes as u64 + ENVELOPE_OVERHEAD_BYTES;
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
