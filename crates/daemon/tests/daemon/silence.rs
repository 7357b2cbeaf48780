//! Connections between processes that stop carrying data while they stay open, and a failure domain that is
//! isolated from the others.

use crate::operator::{Operator, RevisionWatch, orders_document, parse_refusal};
use crate::support::{Cluster, DECLARATIONS, LIMIT, ScratchFolder, get, result_code, settings};
use anyhow::Result;
use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::packet::Protocol;
use comfreyhold_lab::proxy::{Cut, Faults, Proxy, ProxySettings};
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::{DaemonPlan, Deployment, Plan};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex as StdMutex;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Mutex, MutexGuard};

/// Allows one deployment at a time, since its proxies are in the static [`PROXIES`].
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// Proxies of the connections between processes, by connecting and accepting instance.
static PROXIES: StdMutex<BTreeMap<(InstanceId, InstanceId), Proxy>> =
    StdMutex::new(BTreeMap::new());

/// The failure domain that is isolated. It has one entry and one control daemon.
const ISOLATED_DOMAIN: DomainId = DomainId(2);

/// Limit on the time from the acceptance of a publication until it is in effect on all entries.
const MAX_EFFECT_MS: u64 = 4_000;

/// Number of requests sent through the isolated entry.
const REQUESTS: usize = 20;

/// Renders a daemon's settings with a separate proxy in front of each other process, and starts the proxies.
fn render_with_proxies(plan: &Plan, daemon: &DaemonPlan) -> Result<String> {
    let mut settings = daemon_settings::settings(plan, daemon);
    for member in settings.members.iter_mut().filter(|m| m.instance != daemon.instance) {
        let proxy = ProxySettings::builder().protocol(Protocol::Tcp).upstream(member.peer).build();
        let starting = || Handle::current().block_on(Proxy::start(proxy));
        let proxy = tokio::task::block_in_place(starting)?;
        member.peer = proxy.address();
        PROXIES.lock().unwrap().insert((daemon.instance, member.instance), proxy);
    }
    Ok(serde_yaml_ng::to_string(&settings)?)
}

async fn start() -> (MutexGuard<'static, ()>, Cluster) {
    let guard = DEPLOYMENT_LOCK.lock().await;
    PROXIES.lock().unwrap().clear();
    let folder = ScratchFolder::new();
    let deployment =
        Deployment::start(settings(), folder.path(), render_with_proxies).await.unwrap();
    let cluster = Cluster { deployment, folder };
    cluster.publish(DECLARATIONS).await;
    cluster.wait_serving().await;
    (guard, cluster)
}

/// Sets the faults of all links between these instances and the others, in both directions.
fn set_faults(instances: &BTreeSet<InstanceId>, faults: Faults) {
    for ((from, to), proxy) in PROXIES.lock().unwrap().iter() {
        if instances.contains(from) != instances.contains(to) {
            proxy.handle().set_faults(faults);
        }
    }
}

/// Stops the traffic on all open connections between processes without closing them. Returns the number of
/// connections opened so far, also those closed since.
fn silence_all() -> u64 {
    let proxies = PROXIES.lock().unwrap();
    proxies.values().for_each(|proxy| proxy.handle().silence_open_connections());
    proxies.values().map(|proxy| proxy.handle().report().silent_up_to).sum()
}

/// Publishes versions until one is in effect on all entries in time, and returns its revision.
async fn publish_everywhere(operator: &Operator, next: &mut u64) -> Revision {
    wait_for("a publication is in effect on all entries", LIMIT, || {
        let version = *next;
        *next += 1;
        async move {
            let (_, reply) = operator.publish(&orders_document(version, 1_000 + version)).await;
            let effect = reply.effect?;
            let is_timely = effect.complete_after_ms.is_some_and(|ms| ms <= MAX_EFFECT_MS);
            (is_timely && effect.in_effect.len() == 5).then_some(effect.revision)
        }
    })
    .await
    .unwrap()
}

/// Guards against processes that wait forever on a connection that is open but carries no data.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_are_replaced() {
    let (_guard, cluster) = start().await;
    let operator = Operator::new("ana", &cluster);
    let watch = RevisionWatch::start(&cluster);
    let mut version = 2;
    let mut revision = Revision(0);
    for _ in 0..2 {
        assert!(silence_all() > 0);
        let (status, reply) = operator.publish(&orders_document(version, 1_000 + version)).await;
        assert_eq!((status, reply.code), (200, 0), "{reply:?}");
        version += 1;
        for caller in cluster.callers() {
            wait_for("requests are served again", LIMIT, || async {
                let response = get(caller, "orders", "/after-silence").await?;
                (result_code(&response) == Some(0)).then_some(())
            })
            .await
            .unwrap();
        }
        revision = publish_everywhere(&operator, &mut version).await;
    }
    let versions = operator.versions().await;
    assert!(versions.keys().copied().eq(1..version), "{versions:?}");
    watch.finish(&cluster, revision).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against an isolated failure domain that stops serving its callers, accepts a publication or refuses
/// it for a wrong reason, or overwrites newer state once it is connected again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_domain_serves_its_local_targets() {
    let (_guard, cluster) = start().await;
    let operator = Operator::new("ana", &cluster);
    let watch = RevisionWatch::start(&cluster);
    let members =
        cluster.deployment.plan.daemons.iter().filter(|plan| plan.domain == ISOLATED_DOMAIN);
    let inside: BTreeSet<_> = members.map(|plan| plan.instance).collect();
    assert_eq!(inside.len(), 2);
    set_faults(&inside, Faults { cut: Cut::Both, ..Faults::default() });
    let control = cluster.deployment.plan.daemons[cluster.index("control-2")].http;
    let entry = cluster.deployment.plan.daemons[cluster.index("entry-2")].clone();
    let others = operator.controls.iter().copied().filter(|address| *address != control);
    let outside = Operator { name: "ana".to_owned(), controls: others.collect() };
    let accepted = wait_for("the entry is fenced", LIMIT, || async {
        let (status, reply) = outside.publish(&orders_document(2, 1_000)).await;
        assert_eq!((status, reply.code), (200, 0), "{reply:?}");
        let effect = reply.effect?;
        (effect.fenced == [entry.instance] && effect.waiting.is_empty()).then_some(reply.revision?)
    })
    .await
    .unwrap();
    wait_for("the control daemon reports no leader", LIMIT, || async {
        (cluster.status(control).await?.leader.is_none()).then_some(())
    })
    .await
    .unwrap();
    let isolated = Operator { name: "rui".to_owned(), controls: vec![control] };
    let refused = isolated.send(control, &orders_document(2, 2_000), LIMIT).await.unwrap();
    assert_eq!((refused.0, parse_refusal(&refused.1)), (503, Some(3006)), "{:?}", refused.1);
    expect_local_targets_serve(&cluster, entry.callers).await;
    set_faults(&inside, Faults::default());
    let mut version = 3;
    let revision = publish_everywhere(&operator, &mut version).await;
    let record = operator.version_record(2).await;
    assert_eq!((record.operator.as_str(), record.revision), ("ana", accepted));
    let (_, late) = Operator { name: "rui".to_owned(), ..operator.clone() }
        .publish(&orders_document(2, 2_000))
        .await;
    assert_eq!(late.code, 3003, "{late:?}");
    watch.finish(&cluster, revision).await;
    cluster.deployment.stop().await.unwrap();
}

/// Checks that each request through the isolated entry is served by a target of the entry's domain.
async fn expect_local_targets_serve(cluster: &Cluster, caller: std::net::SocketAddr) {
    wait_for("the domain serves its own callers", LIMIT, || async {
        let response = get(caller, "orders", "/isolated").await?;
        (result_code(&response) == Some(0)).then_some(())
    })
    .await
    .unwrap();
    let local_target = &cluster.deployment.targets[1];
    let before = local_target.runs().len();
    for _ in 0..REQUESTS {
        let response = tokio::time::timeout(Duration::from_secs(10), get(caller, "orders", "/own"));
        let response = response.await.unwrap().unwrap();
        assert_eq!(result_code(&response), Some(0), "{response:?}");
    }
    assert!(local_target.runs().len() >= before + REQUESTS);
}
