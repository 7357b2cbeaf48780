//! Exports the traffic between processes as metrics.

use comfreyhold_wire::envelope::Topic;
use comfreyhold_wire::stats::{Traffic, TransportStats};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between updates of the metrics.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Exports the transport's counters by topic and direction.
pub struct TrafficMetrics {
    stats: Arc<TransportStats>,
    next_export: Instant,
}

impl TrafficMetrics {
    /// Creates the exporter.
    #[must_use]
    pub fn new(stats: Arc<TransportStats>, now: Instant) -> Self {
        Self { stats, next_export: now }
    }

    /// Updates the metrics if the interval has passed. Returns whether it had.
    pub fn export_if_due(&mut self, now: Instant) -> bool {
        if now < self.next_export {
            return false;
        }
        self.next_export = now + EXPORT_INTERVAL;
        export_traffic("sent", &self.stats.sent());
        export_traffic("received", &self.stats.received());
        true
    }
}

fn export_traffic(direction: &'static str, traffic: &BTreeMap<Topic, Traffic>) {
    for (topic, Traffic { messages, bytes }) in traffic {
        let labels = [("topic", topic.to_string()), ("direction", direction.to_owned())];
        metrics::counter!("comfreyhold_peer_messages_total", &labels).absolute(*messages);
        metrics::counter!("comfreyhold_peer_bytes_total", &labels).absolute(*bytes);
    }
}
