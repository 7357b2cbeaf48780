//! Data folders of control daemons that are torn, damaged, lost or restored from an older copy.

use crate::operator::{
    Operator, PublicationSeries, find_follower, orders_document, parse_outcome, wait_for_status,
};
use crate::support::{Cluster, LIMIT, settings};
use comfreyhold_lab::http;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::DaemonKind;
use comfreyhold_types::api::ReplaceRequest;
use comfreyhold_types::prelude::*;
use hyper::Method;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Permits for two deployments at a time. These tests mostly wait, so that two can share the processor.
static DEPLOYMENT_PERMITS: Semaphore = Semaphore::const_new(2);

/// Time for which publications are sent to a majority that must not accept them. A shorter time could miss a
/// fault, but not cause a false failure.
const OVERWRITE_ATTEMPT_TIME: Duration = Duration::from_secs(8);

async fn start() -> (SemaphorePermit<'static>, Cluster) {
    let permit = DEPLOYMENT_PERMITS.acquire().await.unwrap();
    (permit, Cluster::start(settings()).await)
}

fn newest_segment(data: &Path) -> PathBuf {
    let names = fs::read_dir(data.join("log")).unwrap().map(|entry| entry.unwrap().path());
    let segments = names.filter(|path| {
        path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-"))
    });
    segments.max().unwrap()
}

fn copy_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let copy = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy_folder(&path, &copy);
        } else {
            fs::copy(&path, &copy).unwrap();
        }
    }
}

/// Kills the leader, publishes through the others, checks the accepted revisions, and restarts it.
async fn publish_without_leader(cluster: &mut Cluster, series: &mut PublicationSeries, count: u64) {
    let leader = series.operator.leader().await.1.name;
    cluster.kill(&leader).await;
    series.publish(count).await;
    series.check_revisions().await;
    cluster.restart(&leader).await;
}

/// Guards against a control daemon that doesn't start after a crash during a write, or that continues without
/// the record that was truncated.
#[tokio::test]
async fn daemon_restarts_from_a_torn_log_tail() {
    let (_permit, mut cluster) = start().await;
    let mut series = PublicationSeries::new(&cluster);
    series.publish(3).await;
    let plan = find_follower(&cluster, &series.operator).await;
    let disk = wait_for_status(&cluster, &plan).await.details["disk"].clone();
    cluster.kill(&plan.name).await;
    let segment = newest_segment(&plan.data);
    let length = fs::metadata(&segment).unwrap().len();
    fs::OpenOptions::new().write(true).open(&segment).unwrap().set_len(length - 3).unwrap();
    cluster.restart(&plan.name).await;
    series.publish(1).await;
    series.wait_confirmed(plan.instance, &disk).await;
    publish_without_leader(&mut cluster, &mut series, 1).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against a damaged log that is treated as a torn tail, so that the records after the damage are lost,
/// and against one damaged data folder that blocks the other control daemons.
#[tokio::test]
async fn damaged_log_is_refused() {
    let (_permit, mut cluster) = start().await;
    let mut series = PublicationSeries::new(&cluster);
    series.publish(3).await;
    let plan = find_follower(&cluster, &series.operator).await;
    cluster.kill(&plan.name).await;
    let segment = newest_segment(&plan.data);
    let mut bytes = fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] = !bytes[middle];
    fs::write(&segment, &bytes).unwrap();
    let started = cluster.deployment.start_daemon(&plan, cluster.folder.path()).await;
    assert!(started.is_err(), "the daemon started with a damaged log");
    let log = cluster.folder.path().join(format!("{}.log", plan.name));
    let log = fs::read_to_string(log).unwrap();
    assert!(log.contains("Error: 6001 ") && log.contains("log-"), "{log}");
    assert_eq!(fs::read(&segment).unwrap(), bytes, "the damaged file was changed");
    series.publish(2).await;
    series.check_revisions().await;
    fs::remove_dir_all(&plan.data).unwrap();
    cluster.restart(&plan.name).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against an empty data folder that votes, so that a minority accepts or loses publications, and against
/// a replacement that leaves the publications unprotected against the next loss.
#[tokio::test]
async fn lost_folder_votes_after_replace() {
    let (_permit, mut cluster) = start().await;
    let mut series = PublicationSeries::new(&cluster);
    series.publish(3).await;
    let plan = find_follower(&cluster, &series.operator).await;
    let old_disk = wait_for_status(&cluster, &plan).await.details["disk"].clone();
    cluster.kill(&plan.name).await;
    fs::remove_dir_all(&plan.data).unwrap();
    cluster.restart(&plan.name).await;
    let status = wait_for("the process has joined", LIMIT, || async {
        let status = cluster.status(plan.http).await?;
        (status.leader.is_some()).then_some(status)
    })
    .await
    .unwrap();
    let disk = status.details["disk"].clone();
    assert_ne!(disk, old_disk);
    assert_eq!(status.details["state"], "learner");
    series.publish(1).await;
    replace_voter(&series.operator, plan.instance, &disk).await;
    series.wait_confirmed(plan.instance, &disk).await;
    publish_without_leader(&mut cluster, &mut series, 2).await;
    cluster.deployment.stop().await.unwrap();
}

/// Asks the leader to let a new data folder vote, and repeats until it has accepted.
async fn replace_voter(operator: &Operator, instance: InstanceId, disk: &str) {
    let disk = u64::from_str_radix(disk, 16).unwrap();
    let body = serde_json::to_vec(&ReplaceRequest { instance, disk }).unwrap();
    wait_for("the leader accepts the new folder", LIMIT, || async {
        let leader = operator.leader().await.0;
        http::call(Method::POST, leader, "/v1/replace", body.clone()).await.ok()
    })
    .await
    .unwrap();
}

/// Guards against an older copy of a data folder that counts as holding what the lost folder had confirmed, so
/// that a majority with it loses publications.
#[tokio::test]
async fn older_copy_reverts_nothing() {
    let (_permit, mut cluster) = start().await;
    let mut series = PublicationSeries::new(&cluster);
    series.publish(1).await;
    let plan = find_follower(&cluster, &series.operator).await;
    let disk = wait_for_status(&cluster, &plan).await.details["disk"].clone();
    let copy = cluster.folder.path().join("older-copy");
    cluster.kill(&plan.name).await;
    copy_folder(&plan.data, &copy);
    cluster.restart(&plan.name).await;
    series.publish(3).await;
    series.wait_confirmed(plan.instance, &disk).await;
    cluster.kill(&plan.name).await;
    fs::remove_dir_all(&plan.data).unwrap();
    copy_folder(&copy, &plan.data);
    let leader = series.operator.leader().await.1.name;
    cluster.kill(&leader).await;
    cluster.restart(&plan.name).await;
    cluster.restart(&leader).await;
    series.publish(1).await;
    series.check_revisions().await;
    series.wait_confirmed(plan.instance, &disk).await;
    publish_without_leader(&mut cluster, &mut series, 1).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against an older copy of a data folder that forms a majority with a process that was down meanwhile:
/// the publications that the copied instance had confirmed would be missing on both.
#[tokio::test]
async fn older_copy_completes_no_majority() {
    let (_permit, mut cluster) = start().await;
    let mut series = PublicationSeries::new(&cluster);
    series.publish(1).await;
    let (_, leader) = series.operator.leader().await;
    let controls = cluster.deployment.plan.of(DaemonKind::Control);
    let followers: Vec<_> = controls.filter(|plan| plan.name != leader.name).cloned().collect();
    let [copied, stopped] = followers.as_slice() else { unreachable!("three control daemons") };
    let copy = cluster.folder.path().join("older-copy");
    cluster.kill(&copied.name).await;
    copy_folder(&copied.data, &copy);
    cluster.restart(&copied.name).await;
    cluster.kill(&stopped.name).await;
    series.publish(3).await;
    cluster.kill(&copied.name).await;
    cluster.kill(&leader.name).await;
    fs::remove_dir_all(&copied.data).unwrap();
    copy_folder(&copy, &copied.data);
    cluster.restart(&copied.name).await;
    cluster.restart(&stopped.name).await;
    let end = Instant::now() + OVERWRITE_ATTEMPT_TIME;
    let competitor = Operator { name: "rui".to_owned(), ..series.operator.clone() };
    while Instant::now() < end {
        for plan in &followers {
            let response = competitor.send(plan.http, &orders_document(3, 9_000), LIMIT).await;
            let outcome = response.and_then(|(_, body)| parse_outcome(&body));
            assert!(outcome.is_none(), "{outcome:?}");
        }
    }
    cluster.restart(&leader.name).await;
    series.publish(1).await;
    series.check_revisions().await;
    cluster.deployment.stop().await.unwrap();
}
