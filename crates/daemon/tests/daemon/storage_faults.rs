//! Data folders of control daemons that can't be written any more while the daemon runs.

use crate::operator::{
    Operator, PublicationSeries, Watch, find_follower, orders, outcome_in, refusal_in,
    wait_for_status,
};
use crate::support::{Cluster, LIMIT, settings};
use comfreyhold_lab::http;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::{DaemonKind, DaemonPlan};
use comfreyhold_types::api::TimelineReply;
use comfreyhold_types::prelude::*;
use hyper::Method;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// One deployment at a time.
static DEPLOYMENT: Mutex<()> = Mutex::const_new(());

/// The store writes a new file at the latest after this many log entries, each a publication here.
const ENTRIES_PER_SNAPSHOT: u64 = 1_000;

/// Longest wait for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// How long publications are tried at the only voter with a working folder. A shorter span could only
/// miss a fault, not report a wrong one.
const MINORITY_SPAN: Duration = Duration::from_secs(5);

/// Name under which the store writes each new file before it renames it.
const TEMPORARY: &str = "log/new";

/// Guards against a leader with a full disk that goes on leading, accepts what it can't keep, or blocks
/// the others. Writes to `/dev/full` fail as those to a full disk do.
#[tokio::test]
async fn leader_with_a_full_disk_stops_voting() {
    let _alone = DEPLOYMENT.lock().await;
    let cluster = Cluster::start(settings()).await;
    let leader = Operator::new("ana", &cluster).leader().await.1.name;
    let victim = cluster.deployment.plan.daemons[cluster.index(&leader)].clone();
    std::os::unix::fs::symlink("/dev/full", victim.data.join(TEMPORARY)).unwrap();
    check_storage_fault(cluster, &victim, 6_002, |path| fs::remove_file(path).unwrap()).await;
}

/// Guards against a follower that confirms what it can't write to its folder, or goes on voting.
#[tokio::test]
async fn follower_with_an_unusable_folder_stops_voting() {
    let _alone = DEPLOYMENT.lock().await;
    let cluster = Cluster::start(settings()).await;
    let victim = find_follower(&cluster, &Operator::new("ana", &cluster)).await;
    fs::create_dir(victim.data.join(TEMPORARY)).unwrap();
    check_storage_fault(cluster, &victim, 6_005, |path| fs::remove_dir(path).unwrap()).await;
}

/// The whole course of a storage fault: it is found and reported, the process neither votes nor answers
/// for the deployment, the other two accept, and after a repair it counts again.
async fn check_storage_fault(
    mut cluster: Cluster,
    victim: &DaemonPlan,
    code: u16,
    repair: fn(&Path),
) {
    let watch = Watch::start(&cluster);
    let disk = wait_for_status(&cluster, victim).await.details["disk"].clone();
    let mut series = PublicationSeries::new(&cluster);
    publish_until_fault(&cluster, &mut series, victim).await;
    expect_reported(&cluster, victim, code).await;
    series.publish(3).await;

    let healthy = cluster.deployment.plan.of(DaemonKind::Control);
    let healthy: Vec<_> = healthy.filter(|plan| plan.name != victim.name).cloned().collect();
    cluster.kill(&healthy[0].name).await;
    expect_no_acceptance(&cluster, healthy[1].http, victim.http).await;
    cluster.restart(&healthy[0].name).await;
    series.publish(1).await;
    expect_reported(&cluster, victim, code).await;

    let index = cluster.index(&victim.name);
    let ended = cluster.deployment.daemons[index].terminate(STOP_LIMIT).await.unwrap();
    assert!(ended.success(), "{ended}");
    repair(&victim.data.join(TEMPORARY));
    cluster.restart(&victim.name).await;
    series.wait_confirmed(victim.instance, &disk).await;
    cluster.kill(&healthy[1].name).await;
    series.publish(1).await;
    series.check_revisions().await;
    cluster.restart(&healthy[1].name).await;
    watch.finish(&cluster, series.accepted.last().unwrap().1).await;
    cluster.deployment.stop().await.unwrap();
}

/// Publishes until the store has had to create a file; each publication has to be accepted.
async fn publish_until_fault(
    cluster: &Cluster,
    series: &mut PublicationSeries,
    victim: &DaemonPlan,
) {
    for _ in 0..=ENTRIES_PER_SNAPSHOT {
        series.publish(1).await;
        if wait_for_status(cluster, victim).await.details.contains_key("fault") {
            return;
        }
    }
    wait_for("the fault is found", LIMIT, || async {
        wait_for_status(cluster, victim).await.details.contains_key("fault").then_some(())
    })
    .await
    .unwrap();
}

/// Status, readiness, time line and refusals name the fault.
async fn expect_reported(cluster: &Cluster, victim: &DaemonPlan, code: u16) {
    let status = wait_for_status(cluster, victim).await;
    assert_eq!(status.details["fault"], code.to_string());
    assert_eq!((status.details["state"].as_str(), status.ready), ("failed", false));
    assert_eq!(status.leader, None);
    assert!(http::call(Method::GET, victim.http, "/readyz", Vec::new()).await.is_err());
    let timeline: TimelineReply = http::get_json(victim.http, "/v1/timeline").await.unwrap();
    let mut faults = timeline.events.iter().filter(|event| event.kind == EventKind::StorageFault);
    assert!(faults.any(|event| event.fields["code"] == code.to_string()), "{timeline:?}");
    let operator = Operator::new("rui", cluster);
    let (status, body) = operator.send(victim.http, &orders(2, 9_000), LIMIT).await.unwrap();
    assert_eq!((status, refusal_in(&body)), (503, Some(code)), "{body:?}");
    let path = "/v1/outcome?subject=profile/orders&version=2";
    let request = http::request(Method::GET, victim.http, path, "").unwrap();
    let http::Sent::Answered(answer) =
        http::Client::default().send(victim.http, request, LIMIT).await
    else {
        unreachable!("no answer")
    };
    assert_eq!(refusal_in(answer.body()), Some(code), "{:?}", answer.body());
}

/// With one working folder left there is no majority: a vote or confirmation of the failed process
/// would let a publication be accepted.
async fn expect_no_acceptance(cluster: &Cluster, healthy: SocketAddr, failed: SocketAddr) {
    let operator = Operator::new("rui", cluster);
    let next = "kind: profile\nname: catalogue\nversion: 2\npriority: low\nmax_slots: 2\n";
    let end = Instant::now() + MINORITY_SPAN;
    while Instant::now() < end {
        for control in [healthy, failed] {
            let (_, body) = operator.send(control, next, LIMIT).await.unwrap();
            assert!(outcome_in(&body).is_none(), "{body:?}");
        }
    }
    let (status, body) = operator.send(healthy, next, LIMIT).await.unwrap();
    assert_eq!((status, refusal_in(&body)), (503, Some(3_006)), "{body:?}");
}
