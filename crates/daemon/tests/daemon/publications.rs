//! Publications while processes crash or stall, and while operators compete.

use crate::operator::{
    Operator, RawResponse, RevisionWatch, orders_document, parse_outcome, parse_refusal,
};
use crate::support::{Cluster, LIMIT, post, result_code, settings};
use crate::traffic;
use crate::traffic::{RequestRounds, count_outcomes, load_settings, request_kind};
use comfreyhold_lab::http;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::DaemonKind;
use comfreyhold_types::api::HistoryReply;
use comfreyhold_types::prelude::*;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Permits for two deployments at a time. These tests mostly wait, so that two can share the processor.
static DEPLOYMENT_PERMITS: Semaphore = Semaphore::const_new(2);

/// Seed of the random crashes, unless the environment variable `COMFREYHOLD_TEST_SEED` sets another.
const DEFAULT_SEED: u64 = 4_242;

/// Longest delay of a crash after the publication is sent; the delay is random.
const MAX_CRASH_DELAY_MS: u64 = 120;

/// Limit on the time from the acceptance of a publication until it is in effect on all entries.
const MAX_EFFECT_MS: u64 = 4_000;

/// Time for which publications are sent to a minority. It is longer than an entry's lease, so that requests also
/// reach entries without a lease.
const MINORITY_TIME: Duration = Duration::from_secs(5);

/// A publication that is sent only to a minority, and so must never be accepted.
const MINORITY_DOCUMENT: &str =
    "kind: profile\nname: catalogue\nversion: 2\npriority: low\nmax_slots: 2\n";

/// Number of reads that are pending at a stalled leader when it resumes.
const PENDING_READS: usize = 8;

/// Reads the accepted publication of version 2 from one control daemon, which may be stalled. Returns status 503
/// when no response arrives.
async fn read_version_2(control: SocketAddr) -> RawResponse {
    let path = "/v1/outcome?subject=profile/orders&version=2";
    let request = http::request(Method::GET, control, path, "").unwrap();
    match http::Client::default().send(control, request, LIMIT).await {
        http::Sent::Answered(response) => (response.status().as_u16(), response.into_body()),
        http::Sent::NotWritten(_) | http::Sent::Lost(_) => (503, bytes::Bytes::new()),
    }
}

async fn start() -> (SemaphorePermit<'static>, Cluster) {
    let permit = DEPLOYMENT_PERMITS.acquire().await.unwrap();
    (permit, Cluster::start(settings()).await)
}

fn read_seed() -> u64 {
    let given = std::env::var("COMFREYHOLD_TEST_SEED").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED)
}

/// Chooses the control daemon to crash: the leader in every second round, otherwise a random one.
async fn choose_victim(
    cluster: &Cluster,
    operator: &Operator,
    round: u64,
    rng: &mut StdRng,
) -> String {
    let leader = operator.leader().await.1.name;
    let names = cluster.deployment.plan.of(DaemonKind::Control).map(|plan| plan.name.clone());
    let names: Vec<_> = names.collect();
    if round.is_multiple_of(2) { leader } else { names[rng.random_range(0..names.len())].clone() }
}

/// Guards against accepted publications that are lost, reverted or accepted twice when control daemons crash,
/// and against a repeated publication that gets another outcome than the first one.
#[tokio::test]
async fn crashes_lose_no_accepted_publication() {
    let (_permit, mut cluster) = start().await;
    let seed = read_seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let operator = Operator::new("ana", &cluster);
    let watch = RevisionWatch::start(&cluster);
    let mut accepted: Vec<(u64, Revision)> = Vec::new();
    for version in 2..=11 {
        let name = choose_victim(&cluster, &operator, version, &mut rng).await;
        let document = orders_document(version, 1_000 + version);
        let sender = operator.clone();
        let sending = tokio::spawn(async move { sender.publish(&document).await });
        let delay = Duration::from_millis(rng.random_range(0..MAX_CRASH_DELAY_MS));
        tokio::time::sleep(delay).await;
        cluster.kill(&name).await;
        if rng.random_range(0..3) > 0 {
            cluster.restart(&name).await;
        }
        let (status, reply) = sending.await.unwrap();
        assert_eq!((status, reply.code), (200, 0), "seed {seed}, version {version}: {reply:?}");
        accepted.push((version, reply.revision.unwrap()));
        let index = cluster.index(&name);
        if cluster.deployment.daemons[index].id().is_none() {
            cluster.restart(&name).await;
        }
    }
    assert!(accepted.is_sorted_by(|(_, a), (_, b)| a < b), "seed {seed}: {accepted:?}");
    for (version, revision) in &accepted {
        let (status, again) = operator.publish(&orders_document(*version, 1_000 + version)).await;
        assert_eq!((status, again.code, again.revision), (200, 0, Some(*revision)), "seed {seed}");
    }
    let versions = operator.versions().await;
    let revisions: Vec<_> =
        versions.iter().map(|(version, record)| (*version, record.revision)).collect();
    assert_eq!(revisions[1..], accepted, "seed {seed}");
    watch.finish(&cluster, accepted.last().unwrap().1).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against two publications that are accepted under one version number, a conflict that doesn't name the
/// winner, and an outcome that can't be read again after the response was lost.
#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    let (_permit, cluster) = start().await;
    let mut revisions = Vec::new();
    for version in 2..=7 {
        let race = ["ana", "rui"].map(|name| {
            let operator = Operator::new(name, &cluster);
            let deadline = if name == "ana" { 1_000 } else { 2_000 };
            tokio::spawn(async move {
                let (status, reply) = operator.publish(&orders_document(version, deadline)).await;
                (operator.name, status, reply)
            })
        });
        let mut winners = Vec::new();
        let mut conflicts = Vec::new();
        for operator in race {
            let (name, status, reply) = operator.await.unwrap();
            match (status, reply.code) {
                (200, 0) => winners.push((name, reply.revision.unwrap())),
                (409, 3003) => conflicts.push(reply.message),
                _ => unreachable!("{name}: {status} {reply:?}"),
            }
        }
        assert_eq!((winners.len(), conflicts.len()), (1, 1));
        let (winner, revision) = winners[0].clone();
        assert!(conflicts[0].contains(&winner), "{}", conflicts[0]);
        let record = Operator::new("inspector", &cluster).version_record(version).await;
        assert_eq!((record.operator, record.revision), (winner, revision));
        revisions.push(revision);
    }
    assert!(revisions.is_sorted_by(|a, b| a < b));
    cluster.deployment.stop().await.unwrap();
}

/// Guards against a publication that waits for an unreachable entry forever or doesn't report it, and against an
/// entry that doesn't catch up after a stall.
#[tokio::test]
async fn stalled_entry_is_named_and_catches_up() {
    let (_permit, cluster) = start().await;
    let operator = Operator::new("ana", &cluster);
    let watch = RevisionWatch::start(&cluster);
    let index = cluster.index("entry-2");
    let stalled = cluster.deployment.plan.daemons[index].instance;
    cluster.deployment.daemons[index].signal("STOP").await.unwrap();
    let (status, reply) = operator.publish(&orders_document(2, 1_500)).await;
    assert_eq!((status, reply.code), (200, 0));
    let effect = reply.effect.unwrap();
    assert_eq!((&effect.fenced, &effect.waiting), (&vec![stalled], &vec![]), "{effect:?}");
    assert_eq!(effect.in_effect.len(), 4, "{effect:?}");
    assert!(effect.complete_after_ms.is_some_and(|ms| ms <= MAX_EFFECT_MS), "{effect:?}");
    cluster.deployment.daemons[index].signal("CONT").await.unwrap();
    let address = cluster.deployment.plan.daemons[index].http;
    wait_for("the entry catches up", LIMIT, || async {
        (cluster.status(address).await?.revision >= reply.revision?).then_some(())
    })
    .await
    .unwrap();
    wait_for("the entry is leased again", LIMIT, || async {
        let leader = operator.leader().await.1;
        leader.entries.get(&stalled)?.leased.then_some(())
    })
    .await
    .unwrap();
    let (_, next) = operator.publish(&orders_document(3, 1_600)).await;
    assert_eq!(next.effect.as_ref().unwrap().in_effect.len(), 5, "{next:?}");
    watch.finish(&cluster, next.revision.unwrap()).await;
    cluster.deployment.stop().await.unwrap();
}

/// Guards against a leader that resumes after a long stall, accepts a publication in its old term and so
/// overwrites what its successor accepted, or that serves reads from its old state.
#[tokio::test]
async fn stalled_leader_accepts_nothing_in_its_old_term() {
    let (_permit, cluster) = start().await;
    let operator = Operator::new("ana", &cluster);
    let watch = RevisionWatch::start(&cluster);
    let (address, before) = operator.leader().await;
    let index = cluster.index(&before.name);
    cluster.deployment.daemons[index].signal("STOP").await.unwrap();
    let late = Operator::new("rui", &cluster);
    let sender = late.clone();
    let document = orders_document(2, 2_000);
    let late_response = tokio::spawn(async move { sender.send(address, &document, LIMIT).await });
    let others = operator.controls.iter().copied().filter(|control| *control != address);
    let successor = Operator { name: "ana".to_owned(), controls: others.collect() };
    let (status, reply) = successor.publish(&orders_document(2, 1_000)).await;
    assert_eq!((status, reply.code), (200, 0), "{reply:?}");
    let reads: Vec<_> = (0..PENDING_READS).map(|_| tokio::spawn(read_version_2(address))).collect();
    successor.version_record(2).await;
    cluster.deployment.daemons[index].signal("CONT").await.unwrap();
    for read in reads {
        let (status, body) = read.await.unwrap();
        let is_current = String::from_utf8_lossy(&body).contains("\"ana\"");
        assert!(status == 503 || (status == 200 && is_current), "{status} {body:?}");
    }
    if let Some((_, body)) = late_response.await.unwrap() {
        assert!(parse_outcome(&body).is_none_or(|late| late.code == 3003), "{body:?}");
    }
    let (_, again) = late.publish(&orders_document(2, 2_000)).await;
    assert_eq!(again.code, 3003, "{again:?}");
    let record = operator.version_record(2).await;
    assert_eq!((record.operator.as_str(), Some(record.revision)), ("ana", reply.revision));
    let (_, after) = operator.leader().await;
    assert!(after.term > before.term, "{before:?} {after:?}");
    watch.finish(&cluster, reply.revision.unwrap()).await;
    cluster.deployment.stop().await.unwrap();
}

/// Kills two processes at the same time, as when a rack loses power.
async fn kill_both(cluster: &mut Cluster, names: &[String]) {
    let [first, second] = names else { unreachable!("two names") };
    let daemons = &cluster.deployment.daemons;
    let (first, second) = (cluster.index(first), cluster.index(second));
    let (first_result, second_result) =
        tokio::join!(daemons[first].signal("KILL"), daemons[second].signal("KILL"));
    first_result.unwrap();
    second_result.unwrap();
    for name in names {
        cluster.kill(name).await;
    }
}

/// Publishes to a control daemon without a majority, and checks that every response is a correct refusal: the
/// daemon may not have detected the loss of the others at first, and then has to report the missing majority.
/// A surviving leader may also report that the publication in flight was accepted before the kill. Returns the
/// revision of that response, which has to be the one that the publisher gets.
async fn expect_no_quorum(
    cluster: &Cluster,
    survivor: SocketAddr,
    pending: &str,
) -> Option<Revision> {
    let operator = Operator::new("rui", cluster);
    let reported = std::cell::Cell::new(None);
    wait_for("the missing majority is reported", LIMIT, || async {
        let (_, body) = operator.send(survivor, pending, LIMIT).await?;
        if let Some(reply) = parse_outcome(&body) {
            assert_eq!(reply.code, 0, "{reply:?}");
            reported.set(reply.revision);
            return None;
        }
        let code = parse_refusal(&body);
        assert!(matches!(code, Some(3_006..=3_008)), "{body:?}");
        (code == Some(3_006)).then_some(())
    })
    .await
    .unwrap();
    let end = Instant::now() + MINORITY_TIME;
    while Instant::now() < end {
        let (status, body) = operator.send(survivor, MINORITY_DOCUMENT, LIMIT).await.unwrap();
        assert_eq!((status, parse_refusal(&body)), (503, Some(3_006)), "{body:?}");
        let (status, body) = read_version_2(survivor).await;
        assert_eq!((status, parse_refusal(&body)), (503, Some(3_006)), "{body:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let status = cluster.status(survivor).await.unwrap();
    assert!(!status.ready, "{status:?}");
    reported.get()
}

/// Checks that each entry serves requests with an idempotency key while no control daemon leads.
async fn expect_served(cluster: &Cluster, round: u64) {
    for (n, caller) in cluster.callers().into_iter().enumerate() {
        let key = format!("leaderless-{round}-{n}");
        wait_for("the request is served", LIMIT, || async {
            let code = result_code(&post(caller, "orders", &key, "leaderless").await?)?;
            assert!(code < 2_000, "{key}: {code}");
            (code < 1_000).then_some(())
        })
        .await
        .unwrap();
        assert_eq!(cluster.runs_with_key(&key).await, 1, "{key}");
    }
}

/// Guards against publications that are lost after acceptance, accepted by a minority or refused for a wrong
/// reason when two of three control daemons are killed at the same time, and against requests that fail while
/// there is no leader. The leader is among the killed daemons in the first round and survives the second.
#[tokio::test(flavor = "multi_thread")]
async fn two_killed_control_daemons_lose_nothing() {
    let _permit = DEPLOYMENT_PERMITS.acquire().await.unwrap();
    let mut cluster = traffic::start(settings()).await;
    let operator = Operator::new("ana", &cluster);
    let watch = RevisionWatch::start(&cluster);
    let kinds = vec![
        request_kind("keyed", "orders", "POST", true, 20.0),
        request_kind("read", "orders", "GET", false, 20.0),
    ];
    let load = RequestRounds::start(load_settings(&cluster, kinds));
    let mut accepted: Vec<(u64, Revision)> = Vec::new();
    for (round, leader_dies) in [(1, true), (2, false)] {
        let version = 2 * round;
        let (status, reply) = operator.publish(&orders_document(version, 1_000 + version)).await;
        assert_eq!((status, reply.code), (200, 0), "{reply:?}");
        accepted.push((version, reply.revision.unwrap()));
        let leader = operator.leader().await.1.name;
        let controls = cluster.deployment.plan.of(DaemonKind::Control).cloned();
        let (leaders, followers): (Vec<_>, Vec<_>) = controls.partition(|plan| plan.name == leader);
        let survivor = if leader_dies { followers[1].clone() } else { leaders[0].clone() };
        let mut killed: Vec<_> =
            leaders.into_iter().chain(followers).map(|plan| plan.name).collect();
        killed.retain(|name| *name != survivor.name);
        // In flight when the daemons are killed, and sent again until its outcome is known.
        let document = orders_document(version + 1, 1_001 + version);
        let (sender, sent) = (operator.clone(), document.clone());
        let sending = tokio::spawn(async move { sender.publish(&sent).await });
        kill_both(&mut cluster, &killed).await;
        let reported = expect_no_quorum(&cluster, survivor.http, &document).await;
        expect_served(&cluster, round).await;
        cluster.restart(&killed[0]).await;
        let (status, reply) = sending.await.unwrap();
        assert_eq!((status, reply.code), (200, 0), "{reply:?}");
        assert!(reported.is_none() || reported == reply.revision, "{reported:?}, then {reply:?}");
        accepted.push((version + 1, reply.revision.unwrap()));
        cluster.restart(&killed[1]).await;
    }
    let revisions: Vec<_> =
        operator.versions().await.into_iter().map(|(v, record)| (v, record.revision)).collect();
    assert_eq!(revisions[1..], accepted);
    let history: HistoryReply = operator.get_from_leader("/v1/history").await;
    assert_eq!(history.versions["profile/catalogue"].len(), 1, "{history:?}");
    watch.finish(&cluster, accepted.last().unwrap().1).await;
    let results = load.finish(&cluster).await;
    println!("{:?}", count_outcomes(&results));
    cluster.deployment.stop().await.unwrap();
}
