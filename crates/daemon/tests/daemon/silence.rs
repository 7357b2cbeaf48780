//! Connections between processes that go silent, and a failure domain that is cut off.

use crate::operator::{Operator, Watch, orders, refusal_in};
use crate::support::{Cluster, DECLARATIONS, LIMIT, Scratch, get, result_code, settings};
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

/// One deployment at a time, since its proxies are in [`PROXIES`].
static DEPLOYMENT: Mutex<()> = Mutex::const_new(());

/// Proxies by the instance that connects and the one that it connects to.
static PROXIES: StdMutex<BTreeMap<(InstanceId, InstanceId), Proxy>> =
    StdMutex::new(BTreeMap::new());

/// The failure domain that is cut off. It has one entry and one control daemon.
const CUT_OFF: DomainId = DomainId(2);

/// A configuration is in effect everywhere within this time.
const IN_EFFECT_MS: u64 = 4_000;

/// Requests sent through each entry, or through the one that is cut off.
const REQUESTS: usize = 20;

/// Settings with a proxy of its own for each process that a process connects to.
fn render(plan: &Plan, daemon: &DaemonPlan) -> Result<String> {
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
    let alone = DEPLOYMENT.lock().await;
    PROXIES.lock().unwrap().clear();
    let folder = Scratch::new();
    let deployment = Deployment::start(settings(), folder.path(), render).await.unwrap();
    let cluster = Cluster { deployment, folder };
    cluster.publish(DECLARATIONS).await;
    cluster.wait_serving().await;
    (alone, cluster)
}

/// Sets the faults of all links between the instances and all others, in both directions.
fn set_faults(instances: &BTreeSet<InstanceId>, faults: Faults) {
    for ((from, to), proxy) in PROXIES.lock().unwrap().iter() {
        if instances.contains(from) != instances.contains(to) {
            proxy.handle().set_faults(faults);
        }
    }
}

/// Makes all connections between processes silent; returns how many were open at some time.
fn silence_all() -> u64 {
    let proxies = PROXIES.lock().unwrap();
    proxies.values().for_each(|proxy| proxy.handle().silence_open_connections());
    proxies.values().map(|proxy| proxy.handle().report().silent_up_to).sum()
}

/// Publishes versions until one is in effect on all entries; returns it.
async fn publish_everywhere(operator: &Operator, next: &mut u64) -> Revision {
    wait_for("a publication is in effect on all entries", LIMIT, || {
        let version = *next;
        *next += 1;
        async move {
            let (_, reply) = operator.publish(&orders(version, 1_000 + version)).await;
            let effect = reply.effect?;
            let timely = effect.complete_after_ms.is_some_and(|ms| ms <= IN_EFFECT_MS);
            (timely && effect.in_effect.len() == 5).then_some(effect.revision)
        }
    })
    .await
    .unwrap()
}

/// Guards against processes that wait without end on a connection that looks open and carries nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_are_replaced() {
    let (_alone, cluster) = start().await;
    let operator = Operator::new("ana", &cluster);
    let watch = Watch::start(&cluster);
    let mut version = 2;
    let mut revision = Revision(0);
    for _ in 0..2 {
        assert!(silence_all() > 0);
        let (status, reply) = operator.publish(&orders(version, 1_000 + version)).await;
        assert_eq!((status, reply.code), (200, 0), "{reply:?}");
        version += 1;
        for caller in cluster.callers() {
            wait_for("requests go on", LIMIT, || async {
                let answer = get(caller, "orders", "/after-silence").await?;
                (result_code(&answer) == Some(0)).then_some(())
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

/// Guards against a failure domain that stops to serve its own callers when it is cut off, that accepts
/// a publication or refuses it with a wrong reason, and that overwrites newer state when it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_that_is_cut_off_serves_its_own_targets() {
    let (_alone, cluster) = start().await;
    let operator = Operator::new("ana", &cluster);
    let watch = Watch::start(&cluster);
    let members = cluster.deployment.plan.daemons.iter().filter(|plan| plan.domain == CUT_OFF);
    let inside: BTreeSet<_> = members.map(|plan| plan.instance).collect();
    assert_eq!(inside.len(), 2);
    set_faults(&inside, Faults { cut: Cut::Both, ..Faults::default() });
    let control = cluster.deployment.plan.daemons[cluster.index("control-2")].http;
    let entry = cluster.deployment.plan.daemons[cluster.index("entry-2")].clone();
    let others = operator.controls.iter().copied().filter(|address| *address != control);
    let outside = Operator { name: "ana".to_owned(), controls: others.collect() };
    let accepted = wait_for("the entry is fenced", LIMIT, || async {
        let (status, reply) = outside.publish(&orders(2, 1_000)).await;
        assert_eq!((status, reply.code), (200, 0), "{reply:?}");
        let effect = reply.effect?;
        (effect.fenced == [entry.instance] && effect.waiting.is_empty()).then_some(reply.revision?)
    })
    .await
    .unwrap();
    wait_for("the control daemon knows that it has no majority", LIMIT, || async {
        (cluster.status(control).await?.leader.is_none()).then_some(())
    })
    .await
    .unwrap();
    let cut_off = Operator { name: "rui".to_owned(), controls: vec![control] };
    let refused = cut_off.send(control, &orders(2, 2_000), LIMIT).await.unwrap();
    assert_eq!((refused.0, refusal_in(&refused.1)), (503, Some(3006)), "{:?}", refused.1);
    serve_own(&cluster, entry.callers).await;
    set_faults(&inside, Faults::default());
    let mut version = 3;
    let revision = publish_everywhere(&operator, &mut version).await;
    let held = operator.holder(2).await;
    assert_eq!((held.operator.as_str(), held.revision), ("ana", accepted));
    let (_, late) =
        Operator { name: "rui".to_owned(), ..operator.clone() }.publish(&orders(2, 2_000)).await;
    assert_eq!(late.code, 3003, "{late:?}");
    watch.finish(&cluster, revision).await;
    cluster.deployment.stop().await.unwrap();
}

/// Each request through the entry that is cut off is answered by a target of its own domain.
async fn serve_own(cluster: &Cluster, caller: std::net::SocketAddr) {
    wait_for("the domain serves its own callers", LIMIT, || async {
        let answer = get(caller, "orders", "/isolated").await?;
        (result_code(&answer) == Some(0)).then_some(())
    })
    .await
    .unwrap();
    let own = &cluster.deployment.targets[1];
    let before = own.runs().len();
    for _ in 0..REQUESTS {
        let answer = tokio::time::timeout(Duration::from_secs(10), get(caller, "orders", "/own"));
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(result_code(&answer), Some(0), "{answer:?}");
    }
    assert!(own.runs().len() >= before + REQUESTS);
}
