//! What an entry logs and publishes about the learned capacity of targets, with a real control daemon that tells it
//! the answer times at other entries.

use crate::early_packets::OneByteCodec;
use crate::feed::{announcement, publication};
use crate::load::{send_report, start_control};
use crate::log_lines;
use crate::saves::settings;
use comfreyhold_fleet::connections::ConnectionPool;
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::entry::Entry;
use comfreyhold_flow::cookie::Cookie;
use comfreyhold_load::messages::VERSION;
use comfreyhold_load::{LoadReport, SenderStart, TargetLoad, TargetMark};
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::StateChange;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// Far above the time in which a change of capacity is learned; only a fault reaches it.
const DEADLINE: Duration = Duration::from_secs(30);

/// Interval of the reports of the other entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

const PACKET_PORT: u16 = 7_913;

/// Bound on the targets with a metric.
const MAX_SERIES: usize = 256;

/// Slots that each target announces.
const SLOTS: f64 = 2.0;

/// Answers that the other entry reports for each target in each interval. Their ratio is 1 at usual targets and 3 at
/// slow ones, in units of a sixteenth.
const ANSWERS: u32 = 100;
const USUAL_RATIO: u32 = 16;
const SLOW_RATIO: u32 = 48;

/// An entry and a control daemon, and the metrics that they publish on this thread.
struct Deployment {
    _control: Rc<Control>,
    _handle: ControlHandle,
    _entry: Rc<Entry<OneByteCodec>>,
    _folder: TempDir,
    host: u8,
    targets: u64,
    pool: ConnectionPool,
    caller: UdpSocket,
    metrics: PrometheusHandle,
    reports: u64,
}

impl Deployment {
    /// Starts a control daemon at `host` and an entry at `host + 1`, with a number of equal targets.
    async fn start(host: u8, targets: u64, metrics: PrometheusHandle) -> Self {
        let folder = crate::folders::data_folder();
        let (control, handle) = start_control(host, &[host], folder.path()).await;
        handle.change_declarations(StateChange::Publish(publication(1, &[1]))).await.unwrap();
        for id in 1..=targets {
            let [.., high, low] = id.to_be_bytes();
            let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 80);
            let first = announcement(1, 1, Availability::Serving);
            handle.announce(Announcement { id: TargetId(id), address, ..first }).await;
        }
        let listen = format!("listen: {{packets: \"{{ip}}:{PACKET_PORT}\"}}");
        let settings = settings(host + 1, &[host], folder.path(), &listen);
        let entry = Entry::start(&settings, OneByteCodec, Arc::new(SystemClock)).unwrap();
        let pool = ConnectionPool::default();
        let caller = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        Self {
            _control: control,
            _handle: handle,
            _entry: entry,
            _folder: folder,
            host,
            targets,
            pool,
            caller,
            metrics,
            reports: 0,
        }
    }

    /// Reports answers of all targets as another entry under pressure, so that load is shared.
    async fn report(&mut self, slow: &RangeInclusive<u64>) {
        self.reports += 1;
        let load = |id| {
            let mark = TargetMark(Cookie::of(TargetId(id), 1).0);
            let ratio = if slow.contains(&id) { SLOW_RATIO } else { USUAL_RATIO };
            TargetLoad { mark, answers: ANSWERS, ratio_sum: ANSWERS * ratio, ..Default::default() }
        };
        let report = LoadReport {
            version: VERSION,
            from: SenderStart { sender: 9, start: 1 },
            number: self.reports,
            domain: DomainName::from("a"),
            interval_ms: 250,
            under_pressure: true,
            targets: (1..=self.targets).map(load).collect(),
            services: Vec::new(),
        };
        send_report(&self.pool, self.host, report).await.unwrap();
        // An entry compares its targets when it has read packets; one that can't be decoded is enough.
        self.caller.send_to(&[0, 0], (self.ip(1), PACKET_PORT)).await.unwrap();
        tokio::time::sleep(REPORT_INTERVAL).await;
    }

    /// Reports that these targets are slow until the published slots fulfil a condition, and returns them.
    async fn report_until(
        &mut self,
        slow: RangeInclusive<u64>,
        what: &str,
        condition: impl Fn(&BTreeMap<u64, f64>) -> bool,
    ) -> BTreeMap<u64, f64> {
        let until = Instant::now() + DEADLINE;
        loop {
            self.report(&slow).await;
            let slots = self.published_slots();
            if condition(&slots) {
                return slots;
            }
            assert!(Instant::now() < until, "{what}: {slots:?}");
        }
    }

    /// The loopback address of the control daemon, or of one after it.
    fn ip(&self, offset: u8) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, high, low, self.host + offset)
    }

    /// Values of the metric `target_effective_slots` by target.
    fn published_slots(&self) -> BTreeMap<u64, f64> {
        let text = self.metrics.render();
        let series = text.lines().filter_map(|line| {
            let rest = line.strip_prefix("target_effective_slots{target=\"g")?;
            let (id, value) = rest.split_once("\"} ")?;
            Some((id.parse().unwrap(), value.parse().unwrap()))
        });
        series.collect()
    }
}

/// Runs a test with the metrics of this thread.
async fn run<F: Future<Output = ()>>(check: impl FnOnce(PrometheusHandle) -> F) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _guard = metrics::set_default_local_recorder(&recorder);
    LocalSet::new().run_until(check(recorder.handle())).await;
}

fn is_announced(slots: f64) -> bool {
    (slots - SLOTS).abs() < 0.01
}

/// Guards against a slow target that operators can't see, a series for each target while all are even, and a target
/// that keeps a stale figure once it is even again.
#[tokio::test]
async fn a_slow_target_is_logged_and_published_until_it_is_even_again() {
    run(check_slow_target).await;
}

async fn check_slow_target(metrics: PrometheusHandle) {
    log_lines::collect();
    let mut deployment = Deployment::start(201, 8, metrics).await;
    let none = 0..=0;
    for _ in 0..8 {
        deployment.report(&none).await;
    }
    assert_eq!(deployment.published_slots(), BTreeMap::new());
    assert_eq!(log_lines::decisions("capacity"), Vec::<serde_json::Value>::new());
    let is_slow = |slots: &BTreeMap<u64, f64>| slots.get(&8).is_some_and(|slots| *slots < 0.8);
    let slots = deployment.report_until(8..=8, "target 8 is slow", is_slow).await;
    assert_eq!(slots.len(), 1, "{slots:?}");
    let expected = SLOTS / f64::from(SLOW_RATIO / USUAL_RATIO);
    assert!((slots[&8] - expected).abs() < 0.1, "{slots:?}");
    let lines = log_lines::decisions("capacity");
    let line = lines.first().expect("a line about the change");
    assert!(lines.iter().all(|line| line["target"] == 8), "{lines:?}");
    assert_eq!((&line["service"], &line["slots"]), (&"orders".into(), &2.into()));
    let number = |name: &str| line[name].as_f64().unwrap();
    assert!(number("effective_slots") < SLOTS * 0.8, "{line}");
    assert!(number("samples") >= 4.0 && number("age_ms") < 10_000.0, "{line}");
    assert!(number("ratio") > number("median") && number("median") > 0.9, "{line}");
    let is_even = |slots: &BTreeMap<u64, f64>| slots.get(&8).copied().is_some_and(is_announced);
    deployment.report_until(none, "target 8 is even again", is_even).await;
    let lines = log_lines::decisions("capacity");
    let last = lines.last().and_then(|line| line["effective_slots"].as_f64());
    assert!(last.is_some_and(is_announced), "{lines:?}");
}

/// Guards against a number of series that grows with the targets that have ever been slow, and against log lines
/// without a limit: 200 targets are slow, and then 200 others.
#[tokio::test]
async fn at_most_256_targets_have_a_series() {
    run(check_series).await;
}

async fn check_series(metrics: PrometheusHandle) {
    log_lines::collect();
    let mut deployment = Deployment::start(211, 600, metrics).await;
    let all_slow = |range: RangeInclusive<u64>| {
        move |slots: &BTreeMap<u64, f64>| {
            let is_slow = |id: u64| slots.get(&id).is_some_and(|slots| *slots < 1.0);
            range.clone().all(is_slow)
        }
    };
    let slots = deployment.report_until(1..=200, "200 are slow", all_slow(1..=200)).await;
    assert_eq!(slots.len(), 200);
    let lines = log_lines::decisions("capacity");
    let left_out: u64 = lines.iter().filter_map(|line| line["left_out"].as_u64()).sum();
    assert!((60..200).contains(&lines.len()), "{} lines and {left_out} left out", lines.len());
    let others_slow = |slots: &BTreeMap<u64, f64>| {
        let first_even = (1..=200).all(|id| is_announced(slots[&id]));
        first_even && slots.range(201..).filter(|(_, slots)| **slots < 1.0).count() == 56
    };
    let slots = deployment.report_until(201..=400, "56 others have a series", others_slow).await;
    assert_eq!(slots.len(), MAX_SERIES);
    for _ in 0..4 {
        deployment.report(&(201..=400)).await;
    }
    let later: Vec<u64> = deployment.published_slots().into_keys().collect();
    assert_eq!(later, slots.into_keys().collect::<Vec<_>>());
}
