//! Traffic between processes as metrics.

use comfreyhold_wire::envelope::Topic;
use comfreyhold_wire::stats::{Stats, Traffic};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two updates of the metrics.
const INTERVAL: Duration = Duration::from_secs(1);

/// Exports the transport's counters by topic and direction.
pub struct TrafficMetrics {
    stats: Arc<Stats>,
    next: Instant,
}

impl TrafficMetrics {
    /// Creates the exporter.
    #[must_use]
    pub fn new(stats: Arc<Stats>, now: Instant) -> Self {
        Self { stats, next: now }
    }

    /// Updates the metrics when it is time, and tells whether it was.
    pub fn export_if_due(&mut self, now: Instant) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + INTERVAL;
        export("sent", &self.stats.sent());
        export("received", &self.stats.received());
        true
    }
}

fn export(direction: &'static str, traffic: &BTreeMap<Topic, Traffic>) {
    for (topic, Traffic { messages, bytes }) in traffic {
        let labels = [("topic", topic.to_string()), ("direction", direction.to_owned())];
        metrics::counter!("comfreyhold_peer_messages_total", &labels).absolute(*messages);
        metrics::counter!("comfreyhold_peer_bytes_total", &labels).absolute(*bytes);
    }
}
