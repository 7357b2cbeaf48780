//! Entries that are killed while keyed requests run.

use crate::support::{Cluster, LIMIT, post, result_code, settings};
use crate::traffic;
use crate::traffic::{RequestRounds, count_outcomes, load_settings, request_kind, status_detail};
use comfreyhold_lab::request_load::Outcome;
use comfreyhold_lab::scenario::wait_for;
use std::net::SocketAddr;

/// Keys that are used before the first failure and again after the last one.
const EARLY_KEY_COUNT: usize = 20;

fn early_key(n: usize) -> String {
    format!("early-{n}")
}

fn admin_address(cluster: &Cluster, name: &str) -> SocketAddr {
    cluster.deployment.plan.daemons[cluster.index(name)].http
}

/// Kills an entry while it has open requests.
async fn kill_under_load(cluster: &mut Cluster, name: &str) {
    let address = admin_address(cluster, name);
    wait_for("the entry has an open request", LIMIT, || async {
        let open = status_detail(cluster, address, "open_requests").await?;
        (open != "0").then_some(())
    })
    .await
    .unwrap();
    cluster.kill(name).await;
}

async fn wait_for_votes(cluster: &Cluster, name: &str) {
    let address = admin_address(cluster, name);
    wait_for("the restarted entry's key replicas vote", LIMIT, || async {
        (status_detail(cluster, address, "keys_vote").await? == "true").then_some(())
    })
    .await
    .unwrap();
}

/// Guards against a key that runs twice because the entry that ran it, or a replica of its record, was lost;
/// against a refusal of a request that ran; and against a request that gets no response. The second entry is
/// killed as soon as the first one's replicas vote again: the records that they copied are then needed for
/// a majority.
#[tokio::test(flavor = "multi_thread")]
async fn two_killed_entries_never_run_a_key_twice() {
    let mut cluster = traffic::start(settings()).await;
    let callers = cluster.callers();
    for n in 0..EARLY_KEY_COUNT {
        let answer = post(callers[n % callers.len()], "orders", &early_key(n), "early").await;
        assert_eq!(result_code(&answer.unwrap()), Some(0));
    }
    let kinds = vec![
        request_kind("keyed", "orders", "POST", true, 60.0),
        request_kind("unkeyed", "orders", "POST", false, 10.0),
        request_kind("read", "catalogue", "GET", false, 20.0),
    ];
    let load = RequestRounds::start(load_settings(&cluster, kinds));
    kill_under_load(&mut cluster, "entry-2").await;
    cluster.restart("entry-2").await;
    wait_for_votes(&cluster, "entry-2").await;
    kill_under_load(&mut cluster, "entry-3").await;
    resend_early_keys(&cluster, "entry-3").await;
    cluster.restart("entry-3").await;
    wait_for_votes(&cluster, "entry-3").await;
    let results = load.finish(&cluster).await;
    println!("{:?}", count_outcomes(&results));
    let keyed = results.iter().filter(|(_, result)| result.key.is_some());
    for (_, result) in keyed {
        assert_ne!(result.code, None, "{result:?} ended without a response");
    }
    let unnamed = results.iter().filter(|(_, r)| r.code == Some(1_001)).count();
    assert_eq!(unnamed, 0, "a starting entry reported a declared service as unknown");
    let completed = results.iter().filter(|(_, r)| r.outcome == Outcome::Completed).count();
    assert!(completed * 2 > results.len(), "{:?}", count_outcomes(&results));
    cluster.deployment.stop().await.unwrap();
}

/// Resends all early keys through every live entry; the record of each key must have survived.
async fn resend_early_keys(cluster: &Cluster, dead: &str) {
    let dead = cluster.deployment.plan.daemons[cluster.index(dead)].callers;
    let live: Vec<_> = cluster.callers().into_iter().filter(|caller| *caller != dead).collect();
    for n in 0..EARLY_KEY_COUNT {
        let key = early_key(n);
        for caller in &live {
            let replayed = wait_for("the key's record is read", LIMIT, || async {
                let answer = post(*caller, "orders", &key, "early").await?;
                let code = result_code(&answer)?;
                // Retries other codes (not run, or outcome unknown), which are allowed until other entries have
                // taken over the roles of the killed one.
                (code < 1_000 || code == 2_005).then_some(code)
            });
            assert_eq!(replayed.await.unwrap(), 1, "{key} through {caller}");
        }
        assert_eq!(cluster.runs_with_key(&key).await, 1, "{key}");
    }
}
