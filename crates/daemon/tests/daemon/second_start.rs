//! A second process that is started by mistake under an instance number in use, with other addresses.

use crate::operator::{PublicationSeries, find_follower, wait_for_status};
use crate::support::{Cluster, LIMIT, post, result_code, settings};
use crate::traffic;
use crate::traffic::{RequestRounds, count_outcomes, load_settings, request_kind};
use comfreyhold_lab::ports::Ports;
use comfreyhold_lab::scenario::{Process, wait_for};
use comfreyhold_lab::up::DaemonPlan;
use comfreyhold_lab::{daemon_settings, http};
use comfreyhold_types::api::TimelineReply;
use comfreyhold_types::prelude::*;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;

/// Held by each test of this file, so that only one deployment runs at a time.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// Timeout for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of keys that are used before the second start and again after it.
const EARLY_KEY_COUNT: usize = 10;

/// Plans a daemon with the instance number of another one and different addresses, and writes its settings
/// file.
fn plan_second_daemon(cluster: &Cluster, first: &DaemonPlan) -> DaemonPlan {
    let mut ports = Ports::anywhere();
    let mut port = || ports.give().unwrap();
    let second = DaemonPlan {
        name: format!("{}-second", first.name),
        peer: port(),
        http: port(),
        callers: port(),
        packets: port(),
        ..first.clone()
    };
    let mut plan = cluster.deployment.plan.clone();
    plan.daemons[cluster.index(&first.name)] = second.clone();
    let file = cluster.folder.path().join(format!("{}.yaml", second.name));
    fs::write(file, daemon_settings::render(&plan, &second).unwrap()).unwrap();
    second
}

async fn start_second_daemon(cluster: &Cluster, plan: &DaemonPlan) -> Process {
    cluster.deployment.start_daemon(plan, cluster.folder.path()).await.unwrap()
}

/// Waits until the first process has exited by itself, and checks that its log has the reason.
async fn expect_exited(cluster: &mut Cluster, first: &DaemonPlan) {
    let index = cluster.index(&first.name);
    let daemon = &mut cluster.deployment.daemons[index];
    let status = daemon.wait(LIMIT).await.unwrap();
    assert!(status.success(), "{status}");
    let log = fs::read_to_string(daemon.log()).unwrap();
    assert!(log.contains("was started again"), "{log}");
}

/// Waits until the observer's timeline has the second start.
async fn expect_restart_recorded(observer: SocketAddr, first: &DaemonPlan) {
    wait_for("the second start is in the timeline", LIMIT, || async {
        let reply: TimelineReply = http::get_json(observer, "/v1/timeline").await.ok()?;
        let recorded = reply.events.iter().any(|event| {
            event.kind == EventKind::PeerAlive
                && event.fields["peer"] == first.instance.to_string()
                && event.fields["change"] == "Restarted"
        });
        recorded.then_some(())
    })
    .await
    .unwrap();
}

/// Guards against an entry that keeps running beside a later process with its instance number; against
/// requests that run twice through the two; and against a second start that operators can't see.
#[tokio::test(flavor = "multi_thread")]
async fn earlier_entry_stops_and_no_key_runs_twice() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let mut cluster = traffic::start(settings()).await;
    let first = cluster.deployment.plan.daemons[cluster.index("entry-2")].clone();
    for n in 0..EARLY_KEY_COUNT {
        let answer = post(first.callers, "orders", &format!("early-{n}"), "early").await;
        assert_eq!(result_code(&answer.unwrap()), Some(0));
    }
    let kinds = vec![
        request_kind("keyed", "orders", "POST", true, 40.0),
        request_kind("read", "orders", "GET", false, 20.0),
    ];
    let load = RequestRounds::start(load_settings(&cluster, kinds));
    let plan = plan_second_daemon(&cluster, &first);
    let mut later = start_second_daemon(&cluster, &plan).await;
    let others: Vec<_> = cluster.callers().into_iter().filter(|to| *to != first.callers).collect();
    for n in 0..EARLY_KEY_COUNT {
        for to in others.iter().copied().chain([plan.callers, first.callers]) {
            // Any response is allowed except that of a second run.
            let answer = post(to, "orders", &format!("early-{n}"), "early").await;
            let code = answer.as_ref().and_then(result_code);
            assert_ne!(code, Some(0), "early-{n} through {to}");
        }
        assert_eq!(cluster.runs_with_key(&format!("early-{n}")).await, 1);
    }
    expect_exited(&mut cluster, &first).await;
    expect_restart_recorded(cluster.entries()[0], &first).await;
    assert!(later.terminate(STOP_TIMEOUT).await.unwrap().success());
    cluster.restart(&first.name).await;
    cluster.wait_serving().await;
    let results = load.finish(&cluster).await;
    println!("{:?}", count_outcomes(&results));
    cluster.deployment.stop().await.unwrap();
}

/// Guards against two control daemons with one instance number that both confirm publications or share a data
/// folder; against the loss of accepted publications; and against a second start that operators can't see.
#[tokio::test(flavor = "multi_thread")]
async fn earlier_control_daemon_stops_and_loses_nothing() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let mut cluster = Cluster::start(settings()).await;
    let mut series = PublicationSeries::new(&cluster);
    series.publish(2).await;
    let first = find_follower(&cluster, &series.operator).await;
    let disk = wait_for_status(&cluster, &first).await.details["disk"].clone();

    let shared = plan_second_daemon(&cluster, &first);
    let refused = cluster.deployment.start_daemon(&shared, cluster.folder.path()).await;
    assert!(refused.is_err(), "two processes use one data folder");
    let log = cluster.folder.path().join(format!("{}.log", shared.name));
    let log = fs::read_to_string(log).unwrap();
    assert!(log.contains("Error: 6005 ") && log.contains("in use by another process"), "{log}");
    series.publish(1).await;
    series.wait_confirmed(first.instance, &disk).await;

    let data = cluster.folder.path().join("second-data");
    fs::create_dir(&data).unwrap();
    let second_daemon = plan_second_daemon(&cluster, &DaemonPlan { data, ..first.clone() });
    let mut later = start_second_daemon(&cluster, &second_daemon).await;
    expect_exited(&mut cluster, &first).await;
    series.publish(2).await;
    let state = wait_for_status(&cluster, &second_daemon).await.details["state"].clone();
    assert!(state != "leader" && state != "follower", "an empty folder votes as {state}");
    let observer = series.operator.leader().await.0;
    expect_restart_recorded(observer, &first).await;
    assert!(later.terminate(STOP_TIMEOUT).await.unwrap().success());
    cluster.restart(&first.name).await;
    series.wait_confirmed(first.instance, &disk).await;
    series.publish(1).await;
    series.check_revisions().await;
    cluster.deployment.stop().await.unwrap();
}
