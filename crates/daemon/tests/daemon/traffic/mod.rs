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

/// Duration of one round of request load, in milliseconds.
const ROUND_MS: u64 = 2_000;

/// Profile document whose new targets get load almost at once.
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

/// Service document that uses the profile of the same name.
pub fn service_document(name: &str, address: &str) -> String {
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

/// Starts a deployment whose services all have warm profiles, and waits until all targets are declared at
/// each entry and every entry serves.
pub async fn start(settings: UpSettings) -> Cluster {
    let services = settings.services.clone();
    let folder = ScratchFolder::new();
    let deployment =
        Deployment::start(settings, folder.path(), daemon_settings::render).await.unwrap();
    let cluster = Cluster { deployment, folder };
    let profiles = services.iter().map(|s| warm_profile(&s.name, 1));
    let declared = services.iter().map(|s| service_document(&s.name, &s.address.to_string()));
    let documents: Vec<String> = profiles.chain(declared).collect();
    cluster.publish(&documents.join("---")).await;
    let addresses: Vec<_> = cluster.deployment.targets.iter().map(Target::address).collect();
    wait_declared(&cluster, &addresses, true).await;
    cluster.wait_serving().await;
    cluster
}

/// Waits until each live entry has all of these targets in its declarations, or none if `declared` is false.
pub async fn wait_declared(cluster: &Cluster, addresses: &[SocketAddrV4], declared: bool) {
    for entry in cluster.entries() {
        wait_for("the entry's declarations have the expected targets", LIMIT, || async {
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

/// Fetches a detail of an entry's status; `None` if the entry doesn't respond or lacks it.
pub async fn status_detail(cluster: &Cluster, entry: SocketAddr, name: &str) -> Option<String> {
    cluster.status(entry).await?.details.get(name).cloned()
}

/// Settings for a further target of a service.
pub fn target_settings(cluster: &Cluster, service: &str, domain: u16) -> TargetSettings {
    TargetSettings::builder()
        .service(service)
        .domain(DomainId(domain))
        .entries(cluster.entries())
        .fabric(cluster.deployment.plan.fabric)
        .build()
}

/// One kind of requests of a load.
pub fn request_kind(
    name: &str,
    service: &str,
    method: &str,
    keyed: bool,
    rate_per_s: f64,
) -> RequestKind {
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

/// Settings of one round of request load through all entries of a deployment.
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

/// Settings of a load of TCP and UDP flows to a service that each stay open for `held`.
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
pub fn spawn_load(settings: LoadSettings) -> JoinHandle<LoadResults> {
    tokio::spawn(async move { load::drive(&settings).await.unwrap() })
}

/// Request load that runs in overlapping rounds until it is stopped.
pub struct RequestRounds {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<(LoadSettings, LoadResults)>>,
}

impl RequestRounds {
    /// Starts the load.
    pub fn start(settings: LoadSettings) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let mut running = Vec::new();
            // Rounds overlap, so that requests of one are in flight when the next begins.
            for seed in settings.seed.. {
                let round = LoadSettings { seed, ..settings.clone() };
                running.push((round.clone(), spawn_load(round)));
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

    /// Ends the load after the current round, compares the responses with the logs of the deployment's
    /// targets, and returns the results.
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

/// Counts requests by outcome and last result code.
pub fn count_outcomes(
    results: &[(LoadSettings, RequestResult)],
) -> BTreeMap<(Outcome, Option<u16>), u64> {
    let mut tally = BTreeMap::new();
    for (_, result) in results {
        *tally.entry((result.outcome, result.code)).or_default() += 1;
    }
    tally
}
