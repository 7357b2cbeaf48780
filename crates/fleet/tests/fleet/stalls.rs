//! Estimate of how long a call may have waited while the process stood still.

use comfreyhold_fleet::control::stalls::StallMonitor;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a call from before a pause that counts as new because another message was read first.
#[test]
fn calls_read_soon_after_a_pause_may_have_arrived_at_its_beginning() {
    let start = Instant::now();
    let mut monitor = StallMonitor::new(start);
    let thawed = start + ms(4_000);
    assert_eq!(monitor.earliest_arrival(thawed), start);
    assert_eq!(monitor.observe(thawed), ms(4_000));
    for after in [1, 50, 400, 900] {
        monitor.observe(thawed + ms(after));
        assert!(monitor.earliest_arrival(thawed + ms(after)) <= thawed + ms(after) - ms(4_000));
    }
}

/// Guards against orders that are refused for long after a pause, or on a busy machine after short ones.
#[test]
fn a_pause_counts_for_as_long_as_its_backlog_takes() {
    let start = Instant::now();
    let mut monitor = StallMonitor::new(start);
    let thawed = start + ms(4_000);
    monitor.observe(thawed);
    let mut now = thawed;
    while now < thawed + ms(1_000) {
        now += ms(100);
        monitor.observe(now);
    }
    assert_eq!(monitor.earliest_arrival(now), now - ms(100));
    monitor.observe(now + ms(250));
    monitor.observe(now + ms(350));
    assert_eq!(monitor.earliest_arrival(now + ms(350)), now + ms(100));
    monitor.observe(now + ms(450));
    monitor.observe(now + ms(550));
    assert_eq!(monitor.earliest_arrival(now + ms(560)), now + ms(460));
}
