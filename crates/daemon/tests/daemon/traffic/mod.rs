//! Deployments with warm profiles, request load in rounds, and packet flows, for integration tests.

#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use crate::support::{Cluster, LIMIT, ScratchFolder};
use comfreyhold_lab::flow_load::FlowLoad;
use comfreyhold_lab::load::{self, LoadResults, LoadSettings, RequestKind};
use comfreyhold_lab::packet::Protocol;
use comfreyhold_lab::request_load::{Outcome, RequestResult};
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::target::{Target, TargetSettings};
use comfreyhold_lab::up::{Deployment, UpSettings};
use comfreyhold_lab::{daemon_settings, http};
use comfreyhold_types::api::TargetReply;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Length of one round of request load.
const ROUND_MS: u64 = 2_000;

/// A profile whose fresh targets take load at once.
pub fn warm_profile(name: &str, version: u64) -> String {
    format!(
        "
kind: profile
name: {name}
version: {version}
priority: high
max_slots: 2
cold:
  ramp_ms: 1000
  first_starts_per_s: 50
"
    )
}

/// A service under the profile of its name.
pub fn service(name: &str, address: &str) -> String {
    format!(
        "
kind: service
version: 1
name: {name}
address: {address}
profile: {name}
"
    )
}

/// Starts a deployment whose services all have warm profiles, and waits until all targets are declared
/// at each entry and every entry serves.
pub async fn start(settings: UpSettings) -> Cluster {
    let services = settings.services.clone();
    let folder = ScratchFolder::new();
    let deployment =
        Deployment::start(settings, folder.path(), daemon_settings::render).await.unwrap();
    let cluster = Cluster { deployment, folder };
    let profiles = services.iter().map(|s| warm_profile(&s.name, 1));
    let declared = services.iter().map(|s| service(&s.name, &s.address.to_string()));
    let documents: Vec<String> = profiles.chain(declared).collect();
    cluster.publish(&documents.join("---")).await;
    let addresses: Vec<_> = cluster.deployment.targets.iter().map(Target::address).collect();
    wait_declared(&cluster, &addresses, true).await;
    cluster.wait_serving().await;
    cluster
}

/// Waits until each live entry has these targets in its declarations, or has none of them.
pub async fn wait_declared(cluster: &Cluster, addresses: &[SocketAddrV4], declared: bool) {
    for entry in cluster.entries() {
        wait_for("the entry knows the targets", LIMIT, || async {
            let known: Vec<TargetReply> = http::get_json(entry, "/v1/targets").await.ok()?;
            let has = |address: &SocketAddrV4| {
                known.iter().any(|t| t.declared && t.target.address == SocketAddr::from(*address))
            };
            addresses.iter().all(|address| has(address) == declared).then_some(())
        })
        .await
        .unwrap();
    }
}

/// A detail of an entry's status.
pub async fn detail(cluster: &Cluster, entry: SocketAddr, name: &str) -> Option<String> {
    cluster.status(entry).await?.details.get(name).cloned()
}

/// Settings of another target of a service.
pub fn target_settings(cluster: &Cluster, service: &str, domain: u16) -> TargetSettings {
    TargetSettings::builder()
        .service(service)
        .domain(DomainId(domain))
        .entries(cluster.entries())
        .fabric(cluster.deployment.plan.fabric)
        .build()
}

/// A kind of requests.
pub fn kind(name: &str, service: &str, method: &str, keyed: bool, rate_per_s: f64) -> RequestKind {
    RequestKind {
        name: name.to_owned(),
        service: service.to_owned(),
        method: method.to_owned(),
        keyed,
        rate_per_s,
        timeout_ms: None,
        body_bytes: 16,
    }
}

/// Settings of a load through all entries of a deployment.
pub fn load_settings(cluster: &Cluster, kinds: Vec<RequestKind>) -> LoadSettings {
    LoadSettings {
        seed: 1,
        duration_ms: ROUND_MS,
        entries: cluster.callers(),
        kinds,
        flows: Vec::new(),
        targets: Vec::new(),
        answer_timeout_ms: 12_000,
        max_sends: 3,
    }
}

/// TCP and UDP flows to a service that stay open for a time.
pub fn flow_settings(cluster: &Cluster, service: &str, host: u8, held: Duration) -> LoadSettings {
    let services = &cluster.deployment.plan.settings.services;
    let address = services.iter().find(|s| s.name == service).unwrap().address;
    let group = |protocol, net| FlowLoad {
        fabric: cluster.deployment.plan.fabric,
        service: service.to_owned(),
        address,
        protocol,
        caller: Ipv4Addr::new(10, net, host, 1),
        opens_per_s: 15.0,
        hold_ms: u64::try_from(held.as_millis()).unwrap(),
        send_every_ms: 200,
        resend_ms: 250,
        echo_limit_ms: 8_000,
    };
    LoadSettings {
        duration_ms: u64::try_from(held.as_millis()).unwrap(),
        flows: vec![group(Protocol::Tcp, 200), group(Protocol::Udp, 201)],
        ..load_settings(cluster, Vec::new())
    }
}

/// Starts a load that ends by itself.
pub fn spawn(settings: LoadSettings) -> JoinHandle<LoadResults> {
    tokio::spawn(async move { load::drive(&settings).await.unwrap() })
}

/// Request load that runs in rounds until it is stopped.
pub struct Rounds {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<(LoadSettings, LoadResults)>>,
}

impl Rounds {
    /// Starts the load.
    pub fn start(settings: LoadSettings) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let mut running = Vec::new();
            // Rounds overlap, so that requests of one are in flight while the next begins.
            for seed in settings.seed.. {
                let round = LoadSettings { seed, ..settings.clone() };
                running.push((round.clone(), spawn(round)));
                tokio::time::sleep(Duration::from_millis(ROUND_MS)).await;
                if stopped.load(Ordering::Acquire) {
                    break;
                }
            }
            let mut done = Vec::new();
            for (round, task) in running {
                done.push((round, task.await.unwrap()));
            }
            done
        });
        Self { stop, task }
    }

    /// Ends the load after the current round, compares answers with the targets' logs, and returns
    /// the results. `targets` are all targets that were ever running.
    pub async fn finish(self, cluster: &Cluster) -> Vec<(LoadSettings, RequestResult)> {
        self.stop.store(true, Ordering::Release);
        let mut results = Vec::new();
        for (settings, round) in self.task.await.unwrap() {
            let targets = cluster.deployment.targets.iter().map(|t| t.address().into()).collect();
            let settings = LoadSettings { targets, ..settings };
            let report = load::summarise(&settings, "test", &round, Vec::new()).await;
            assert!(report.checks.unread_targets.is_empty(), "{}", report.table());
            assert!(report.checks.holds(), "{}", report.table());
            results.extend(round.requests.into_iter().map(|r| (settings.clone(), r)));
        }
        results
    }
}

/// Requests by outcome and last result code.
pub fn tally(results: &[(LoadSettings, RequestResult)]) -> BTreeMap<(Outcome, Option<u16>), u64> {
    let mut tally = BTreeMap::new();
    for (_, result) in results {
        *tally.entry((result.outcome, result.code)).or_default() += 1;
    }
    tally
}
