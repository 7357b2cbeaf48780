//! Packet flows during planned changes and reuse of a target's address.

use crate::support::{Cluster, LIMIT, settings};
use crate::traffic;
use crate::traffic::{flow_settings, spawn_load, target_settings, wait_declared, warm_profile};
use comfreyhold_lab::flow_load::{FlowEnd, FlowResults};
use comfreyhold_lab::load::LoadResults;
use comfreyhold_lab::scenario::{wait_for, wait_until};
use comfreyhold_lab::target::{Target, TargetSettings};
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::Mutex;

/// Held by each test of this file, so that only one deployment runs at a time.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// Time for which flows stay open; covers all changes of a test.
const FLOW_HOLD_TIME: Duration = Duration::from_secs(40);

/// Number of flows that must be opened before the next change.
const MIN_NEW_FLOWS: u64 = 40;

fn count_flows_seen(cluster: &Cluster, service: &str) -> u64 {
    let reports = cluster.deployment.targets.iter().map(Target::report);
    reports.filter(|r| r.service == service).map(|r| r.packets.flows_seen).sum()
}

/// Waits until further flows were opened, so that each change affects new and old flows.
async fn wait_for_more_flows(cluster: &Cluster) {
    let before = count_flows_seen(cluster, "orders");
    wait_until("more flows are open", LIMIT, || {
        count_flows_seen(cluster, "orders") >= before + MIN_NEW_FLOWS
    })
    .await
    .unwrap();
}

async fn add_target(cluster: &mut Cluster, domain: u16) {
    let target = Target::start(target_settings(cluster, "orders", domain)).await.unwrap();
    let address = target.address();
    cluster.deployment.targets.push(target);
    wait_declared(cluster, &[address], true).await;
}

async fn drain_target(cluster: &Cluster, index: usize) {
    let target = &cluster.deployment.targets[index];
    target.drain();
    let address = std::net::SocketAddr::from(target.address());
    for entry in cluster.entries() {
        wait_for("the entry lists the target as draining", LIMIT, || async {
            let url = "/v1/targets";
            let known: Vec<comfreyhold_types::api::TargetReply> =
                comfreyhold_lab::http::get_json(entry, url).await.ok()?;
            let found = known.into_iter().find(|reply| reply.target.address == address)?;
            (found.target.state == TargetState::Draining).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Stops an entry gracefully, removes it from the fabric's list while it still forwards packets, and restarts
/// it.
async fn replace_entry(cluster: &mut Cluster, name: &str) {
    let index = cluster.index(name);
    let plan = cluster.deployment.plan.daemons[index].clone();
    cluster.deployment.daemons[index].signal("TERM").await.unwrap();
    wait_for("the entry is not ready", LIMIT, || async {
        let path = "/readyz";
        let ready =
            comfreyhold_lab::http::call(hyper::Method::GET, plan.http, path, Vec::new()).await;
        ready.is_err().then_some(())
    })
    .await
    .unwrap();
    cluster.deployment.fabric.remove_entry(plan.packets);
    let status = cluster.deployment.daemons[index].terminate(LIMIT).await.unwrap();
    assert!(status.success(), "{name} ended with {status}");
    cluster.restart(name).await;
    wait_for("the entry is ready", LIMIT, || async {
        cluster.status(plan.http).await.filter(|status| status.ready).map(|_| ())
    })
    .await
    .unwrap();
    cluster.deployment.fabric.add_entry(plan.packets);
}

fn assert_unbroken(what: &str, results: &LoadResults) {
    for group in &results.flows {
        println!("{what}: {}", describe_ends(group));
        assert!(group.open_times.len() > 100, "{what}: {}", describe_ends(group));
        assert!(group.broken.is_empty(), "{what}: {}", describe_ends(group));
        assert_eq!(group.bad_checksums, 0, "{what}");
    }
}

fn describe_ends(group: &FlowResults) -> String {
    let ends = |end| group.ends.iter().filter(|(_, e)| *e == end).count();
    let at: Vec<_> = group.ends.iter().filter(|(_, e)| e.is_broken()).map(|(at, _)| *at).collect();
    format!(
        "{} opened, {} closed, {} reset, {} silent, {} refused, {} unopened; broken at {at:?}",
        group.open_times.len(),
        ends(FlowEnd::Closed),
        ends(FlowEnd::Reset),
        ends(FlowEnd::Silent),
        ends(FlowEnd::OpenRefused),
        ends(FlowEnd::OpenSilent),
    )
}

/// Prints the targets of the broken flows, to help find the cause.
fn print_broken_flows(cluster: &Cluster, results: &LoadResults) {
    let broken: BTreeSet<_> = results.flows.iter().flat_map(|group| &group.broken).collect();
    for (index, target) in cluster.deployment.targets.iter().enumerate() {
        for flow in target.flows().iter().filter(|flow| broken.contains(&flow.caller)) {
            println!("broken flow at target {index}: {flow:?}");
        }
    }
}

fn assert_no_misrouted_packet(cluster: &Cluster) {
    for target in &cluster.deployment.targets {
        let report = target.report();
        assert_eq!(report.packets.wrong_service, 0, "{report:?}");
        assert_eq!(report.packets.wrong_address, 0, "{report:?}");
        assert_eq!(report.packets.flows_reset, 0, "{report:?}");
    }
}

/// Guards against established flows that break or move to another target because a target joins or drains, a
/// profile is published, an entry is replaced, or a change begins before the previous one has completed.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_planned_changes() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let mut cluster = traffic::start(settings()).await;
    let orders = spawn_load(flow_settings(&cluster, "orders", 0, FLOW_HOLD_TIME));
    let catalogue = spawn_load(flow_settings(&cluster, "catalogue", 100, FLOW_HOLD_TIME));
    wait_for_more_flows(&cluster).await;
    add_target(&mut cluster, 1).await;
    wait_for_more_flows(&cluster).await;
    drain_target(&cluster, 0).await;
    wait_for_more_flows(&cluster).await;
    cluster.publish(&warm_profile("orders", 2)).await;
    wait_for_more_flows(&cluster).await;
    add_target(&mut cluster, 2).await;
    drain_target(&cluster, 1).await;
    wait_for_more_flows(&cluster).await;
    replace_entry(&mut cluster, "entry-4").await;
    wait_for_more_flows(&cluster).await;
    assert!(!orders.is_finished(), "the flows must outlive the changes");
    let (orders, catalogue) = (orders.await.unwrap(), catalogue.await.unwrap());
    print_broken_flows(&cluster, &orders);
    print_broken_flows(&cluster, &catalogue);
    assert_unbroken("orders", &orders);
    assert_unbroken("catalogue", &catalogue);
    assert_no_misrouted_packet(&cluster);
    cluster.deployment.stop().await.unwrap();
}

/// Guards against packets of old flows that reach another service which reuses a lost target's address. The
/// address is reused after the lost target's lease has expired at every entry: before that, the entries
/// can't detect that another process has the address.
#[tokio::test(flavor = "multi_thread")]
async fn reused_address_gets_no_flow_of_the_earlier_service() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let mut cluster = traffic::start(settings()).await;
    let held = Duration::from_secs(25);
    let orders = spawn_load(flow_settings(&cluster, "orders", 0, held));
    wait_for_more_flows(&cluster).await;
    let lost = cluster.deployment.targets.remove(0);
    let address = lost.address();
    let old = lost.crash().await.flows;
    assert!(!old.is_empty(), "the lost target must have had flows");
    wait_declared(&cluster, &[address], false).await;
    let successor = TargetSettings {
        listen: address,
        incarnation: Incarnation(2),
        ..target_settings(&cluster, "catalogue", 1)
    };
    cluster.deployment.targets.push(Target::start(successor).await.unwrap());
    let catalogue = spawn_load(flow_settings(&cluster, "catalogue", 100, held));
    wait_until("the successor gets flows of its own service", LIMIT, || {
        cluster.deployment.targets.last().is_some_and(|t| t.report().packets.flows_seen > 5)
    })
    .await
    .unwrap();
    assert!(!orders.is_finished(), "the flows must outlive the change");
    let results = orders.await.unwrap();
    let broken: BTreeSet<SocketAddrV4> =
        results.flows.iter().flat_map(|group| group.broken.iter().copied()).collect();
    let of_lost: BTreeSet<SocketAddrV4> = old.iter().map(|flow| flow.caller).collect();
    let elsewhere: Vec<_> = broken.difference(&of_lost).collect();
    assert!(elsewhere.is_empty(), "flows of other targets broke: {elsewhere:?}");
    assert_unbroken("catalogue", &catalogue.await.unwrap());
    for target in &cluster.deployment.targets {
        assert_eq!(target.report().packets.wrong_service, 0, "{:?}", target.report());
    }
    let successor = cluster.deployment.targets.last().unwrap();
    let inherited: Vec<_> =
        successor.flows().into_iter().filter(|flow| of_lost.contains(&flow.caller)).collect();
    assert!(inherited.is_empty(), "{inherited:?}");
    cluster.deployment.stop().await.unwrap();
}
