//! Data folders that become unwritable while their control daemon runs.

use crate::operator::{
    Operator, PublicationSeries, RevisionWatch, find_follower, orders_document, parse_outcome,
    parse_refusal, wait_for_status,
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

/// Allows one deployment at a time.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// The store creates a new file after at most this many log entries. Each publication here adds one.
const MAX_ENTRIES_PER_SNAPSHOT: u64 = 1_000;

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which publications are sent to the only voter with a working data folder. A shorter time could miss
/// a fault, but not cause a false failure.
const MINORITY_TIME: Duration = Duration::from_secs(5);

/// Path in the data folder at which the store writes each new file before it renames it.
const TEMPORARY_FILE: &str = "log/new";

/// Guards against a leader with a full disk that continues to lead, accepts what it can't store, or blocks the
/// other control daemons. Writes to `/dev/full` fail like those to a full disk.
#[tokio::test]
async fn leader_with_a_full_disk_stops_voting() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let cluster = Cluster::start(settings()).await;
    let leader = Operator::new("ana", &cluster).leader().await.1.name;
    let victim = cluster.deployment.plan.daemons[cluster.index(&leader)].clone();
    std::os::unix::fs::symlink("/dev/full", victim.data.join(TEMPORARY_FILE)).unwrap();
    check_storage_fault(cluster, &victim, 6_002, |path| fs::remove_file(path).unwrap()).await;
}

/// Guards against an instance that stays out after its full disk has room again. When the disks are full one after
/// another, no majority would be left although all processes run.
#[tokio::test]
async fn full_disk_with_room_again_votes_without_a_restart() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let mut cluster = Cluster::start(settings()).await;
    let leader = Operator::new("ana", &cluster).leader().await.1.name;
    let victim = cluster.deployment.plan.daemons[cluster.index(&leader)].clone();
    let temporary = victim.data.join(TEMPORARY_FILE);
    std::os::unix::fs::symlink("/dev/full", &temporary).unwrap();
    let watch = RevisionWatch::start(&cluster);
    let disk = wait_for_status(&cluster, &victim).await.details["disk"].clone();
    let mut series = PublicationSeries::new(&cluster);
    publish_until_fault(&cluster, &mut series, &victim).await;
    series.publish(2).await;
    fs::remove_file(&temporary).unwrap();
    wait_for("the fault is over", LIMIT, || async {
        let status = wait_for_status(&cluster, &victim).await;
        (!status.details.contains_key("fault")).then_some(())
    })
    .await
    .unwrap();
    series.wait_confirmed(victim.instance, &disk).await;
    let healthy = cluster.deployment.plan.of(DaemonKind::Control);
    let other = healthy.filter(|plan| plan.name != victim.name).map(|plan| plan.name.clone());
    let other = other.last().unwrap();
    cluster.kill(&other).await;
    series.publish(1).await;
    series.check_revisions().await;
    cluster.restart(&other).await;
    watch.finish(&cluster, series.accepted.last().unwrap().1).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against a follower that confirms what it can't write to its data folder, or continues to vote.
#[tokio::test]
async fn follower_with_an_unusable_folder_stops_voting() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let cluster = Cluster::start(settings()).await;
    let victim = find_follower(&cluster, &Operator::new("ana", &cluster)).await;
    fs::create_dir(victim.data.join(TEMPORARY_FILE)).unwrap();
    check_storage_fault(cluster, &victim, 6_005, |path| fs::remove_dir(path).unwrap()).await;
}

/// Checks all phases of a storage fault: it is detected and reported, the process neither votes nor serves the
/// declarations, the other two control daemons accept publications, and the repaired process votes again.
async fn check_storage_fault(
    mut cluster: Cluster,
    victim: &DaemonPlan,
    code: u16,
    repair: fn(&Path),
) {
    let watch = RevisionWatch::start(&cluster);
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
    let ended = cluster.deployment.daemons[index].terminate(STOP_TIMEOUT).await.unwrap();
    assert!(ended.success(), "{ended}");
    repair(&victim.data.join(TEMPORARY_FILE));
    cluster.restart(&victim.name).await;
    series.wait_confirmed(victim.instance, &disk).await;
    cluster.kill(&healthy[1].name).await;
    series.publish(1).await;
    series.check_revisions().await;
    cluster.restart(&healthy[1].name).await;
    watch.finish(&cluster, series.accepted.last().unwrap().1).await;
    cluster.deployment.stop().await.unwrap();
}

/// Publishes until the store has had to create a file and the fault is detected. Each publication has to be
/// accepted.
async fn publish_until_fault(
    cluster: &Cluster,
    series: &mut PublicationSeries,
    victim: &DaemonPlan,
) {
    for _ in 0..=MAX_ENTRIES_PER_SNAPSHOT {
        series.publish(1).await;
        if wait_for_status(cluster, victim).await.details.contains_key("fault") {
            return;
        }
    }
    wait_for("the fault is detected", LIMIT, || async {
        wait_for_status(cluster, victim).await.details.contains_key("fault").then_some(())
    })
    .await
    .unwrap();
}

/// Checks that the status, readiness, timeline and refusals of the process report the fault.
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
    let (status, body) =
        operator.send(victim.http, &orders_document(2, 9_000), LIMIT).await.unwrap();
    assert_eq!((status, parse_refusal(&body)), (503, Some(code)), "{body:?}");
    let path = "/v1/outcome?subject=profile/orders&version=2";
    let request = http::request(Method::GET, victim.http, path, "").unwrap();
    let http::Sent::Answered(response) =
        http::Client::default().send(victim.http, request, LIMIT).await
    else {
        unreachable!("no response")
    };
    assert_eq!(parse_refusal(response.body()), Some(code), "{:?}", response.body());
}

/// Checks that no publication is accepted with one working data folder left. A vote or confirmation of the
/// failed process would complete a majority.
async fn expect_no_acceptance(cluster: &Cluster, healthy: SocketAddr, failed: SocketAddr) {
    let operator = Operator::new("rui", cluster);
    let document = "kind: profile\nname: catalogue\nversion: 2\npriority: low\nmax_slots: 2\n";
    let end = Instant::now() + MINORITY_TIME;
    while Instant::now() < end {
        for control in [healthy, failed] {
            let (_, body) = operator.send(control, document, LIMIT).await.unwrap();
            assert!(parse_outcome(&body).is_none(), "{body:?}");
        }
    }
    let (status, body) = operator.send(healthy, document, LIMIT).await.unwrap();
    assert_eq!((status, parse_refusal(&body)), (503, Some(3_006)), "{body:?}");
}
