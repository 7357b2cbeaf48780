//! Counters of the messages between daemons.

use crate::saves::{publish, settings, start_with_clock};
use comfreyhold_fleet::connections::ConnectionPool;
use comfreyhold_fleet::counters::{CallRecord, CallSide, MessageKind, count_call, with_cpu_time};
use comfreyhold_fleet::messages::{EntryUpdate, FleetRequest, FleetResponse, WatchCursor};
use comfreyhold_types::clock::SystemClock;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

const DEADLINE: Duration = Duration::from_secs(20);

/// Value of a metric in the text that a metrics address serves; 0 without one.
fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(series));
    line.map_or(0.0, |rest| rest.trim().parse().unwrap())
}

/// Guards against bytes that are counted in the wrong direction, and against calls that are not counted.
#[test]
fn both_ends_of_a_call_are_counted() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let call = |side| CallRecord {
        side,
        request_bytes: 10,
        response_bytes: 700,
        cpu: Duration::from_millis(250),
    };
    metrics::with_local_recorder(&recorder, || {
        count_call(MessageKind::Vote, &call(CallSide::Caller));
        count_call(MessageKind::Hello, &call(CallSide::Receiver));
        count_call(MessageKind::Hello, &call(CallSide::Receiver));
    });
    let text = metrics.render();
    for (kind, calls, sent, received) in [("vote", 1.0, 10.0, 700.0), ("hello", 2.0, 1_400.0, 20.0)]
    {
        let bytes = |direction| {
            let series =
                format!("fleet_message_bytes{{kind=\"{kind}\",direction=\"{direction}\"}}");
            value(&text, &series)
        };
        assert_eq!(value(&text, &format!("fleet_messages{{kind=\"{kind}\"}}")), calls, "{text}");
        assert_eq!((bytes("out"), bytes("in")), (sent, received), "{text}");
        let seconds = value(&text, &format!("fleet_message_seconds{{kind=\"{kind}\"}}"));
        assert!((seconds - calls * 0.25).abs() < 1e-9, "{text}");
    }
}

/// Guards against time spent waiting that counts as CPU time, and against CPU time that is not counted.
#[tokio::test]
async fn waiting_is_not_cpu_time() {
    let work = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let started = Instant::now();
        let mut sum = 0_u64;
        while started.elapsed() < Duration::from_millis(20) {
            sum = std::hint::black_box(sum.wrapping_add(1));
        }
    };
    let ((), cpu) = with_cpu_time(work).await;
    assert!(cpu > Duration::from_micros(100) && cpu < Duration::from_millis(200), "{cpu:?}");
}

/// Guards against long polls with all targets that are counted as idle ones.
#[test]
fn long_polls_are_counted_by_what_they_brought() {
    let request = FleetRequest::Watch(WatchCursor::default());
    let kind = |all_targets| {
        let update = EntryUpdate { all_targets, ..EntryUpdate::default() };
        MessageKind::of_request(&request).with_response(&FleetResponse::News(Box::new(update)))
    };
    assert_eq!((kind(false), kind(true)), (MessageKind::WatchIdle, MessageKind::WatchFull));
}

/// Guards against a daemon whose messages are missing on the metrics address.
#[tokio::test]
async fn a_daemon_counts_its_messages_by_kind() {
    LocalSet::new().run_until(check_counted_messages()).await;
}

async fn check_counted_messages() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let folder = crate::folders::data_folder();
    let settings = settings(91, &[91], folder.path(), "");
    let (_control, handle) = start_with_clock(&settings, Arc::new(SystemClock)).await;
    publish(&handle).await;
    let [.., high, low] = std::process::id().to_be_bytes();
    let to = SocketAddr::from((Ipv4Addr::new(127, high, low, 91), 7902));
    let pool = ConnectionPool::default();
    let first = FleetRequest::Watch(WatchCursor::default());
    for request in [FleetRequest::Controls, first] {
        pool.call(to, &request, DEADLINE).await.unwrap();
    }
    let text = metrics.render();
    // Both ends of each call are in this process.
    for kind in ["controls", "watch-full"] {
        assert_eq!(value(&text, &format!("fleet_messages{{kind=\"{kind}\"}}")), 2.0, "{text}");
        let bytes = |direction| {
            let series =
                format!("fleet_message_bytes{{kind=\"{kind}\",direction=\"{direction}\"}}");
            value(&text, &series)
        };
        assert!(bytes("in") > 0.0);
        assert_eq!(bytes("in"), bytes("out"));
    }
    let seconds = value(&text, "fleet_message_seconds{kind=\"watch-full\"}");
    assert!(seconds > 0.0 && seconds < 1.0, "{text}");
}
