//! Operators that publish through the control daemons, and a watch over what entries report.

#![allow(dead_code, clippy::unwrap_used)]

use crate::support::{Cluster, LIMIT};
use comfreyhold_lab::http;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::{DaemonKind, DaemonPlan};
use comfreyhold_types::api::{ApplyReply, HistoryReply, PublicationReply, ResultBody, StatusReply};
use comfreyhold_types::declarations::VersionRecord;
use comfreyhold_types::prelude::*;
use hyper::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest wait for one call of an operator; an answer takes at most 7 s by design.
const CALL_LIMIT: Duration = Duration::from_secs(10);

const WATCH_PERIOD: Duration = Duration::from_millis(50);

/// A version of the profile `orders`, told apart by its deadline.
pub fn orders(version: u64, deadline_ms: u64) -> String {
    format!(
        "kind: profile\nname: orders\nversion: {version}\npriority: high\nmax_slots: 2\n\
         deadline_ms: {deadline_ms}\n"
    )
}

/// An operator who knows the control daemons.
#[derive(Clone)]
pub struct Operator {
    /// Recorded with each publication.
    pub name: String,
    /// Admin addresses of the control daemons.
    pub controls: Vec<SocketAddr>,
}

/// HTTP status and body of an answer.
pub type Raw = (u16, bytes::Bytes);

impl Operator {
    /// An operator of a deployment.
    pub fn new(name: &str, cluster: &Cluster) -> Self {
        Self { name: name.to_owned(), controls: cluster.controls() }
    }

    /// Sends documents to one control daemon; `None` when no whole answer came.
    pub async fn send(&self, control: SocketAddr, documents: &str, limit: Duration) -> Option<Raw> {
        let path = format!("/v1/declarations?operator={}", self.name);
        let body = documents.as_bytes().to_vec();
        let request = http::request(Method::POST, control, &path, body).unwrap();
        match http::Client::default().send(control, request, limit).await {
            http::Sent::Answered(response) => {
                Some((response.status().as_u16(), response.into_body()))
            }
            http::Sent::NotWritten(_) | http::Sent::Lost(_) => None,
        }
    }

    /// Publishes one document, and sends it again until a control daemon tells its outcome.
    pub async fn publish(&self, document: &str) -> (u16, PublicationReply) {
        wait_for("the outcome of a publication is told", LIMIT, || async {
            for control in &self.controls {
                let Some((status, body)) = self.send(*control, document, CALL_LIMIT).await else {
                    continue;
                };
                if let Some(result) = outcome_in(&body) {
                    return Some((status, result));
                }
            }
            None
        })
        .await
        .unwrap()
    }

    /// Gets a document from whichever control daemon leads.
    pub async fn ask<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        wait_for("the leader answers", LIMIT, || async {
            for control in &self.controls {
                if let Ok(value) = http::get_json(*control, path).await {
                    return Some(value);
                }
            }
            None
        })
        .await
        .unwrap()
    }

    /// Which publication holds a version of the profile `orders`.
    pub async fn holder(&self, version: u64) -> VersionRecord {
        self.ask(&format!("/v1/outcome?subject=profile/orders&version={version}")).await
    }

    /// All versions of the profile `orders`.
    pub async fn versions(&self) -> BTreeMap<u64, VersionRecord> {
        let history: HistoryReply = self.ask("/v1/history").await;
        history.versions.get("profile/orders").cloned().unwrap_or_default()
    }

    /// What each control daemon that answers says about itself.
    async fn statuses(&self) -> Vec<StatusReply> {
        let mut statuses = Vec::new();
        for control in &self.controls {
            statuses.extend(http::get_json::<StatusReply>(*control, "/v1/status").await);
        }
        statuses
    }

    /// The control daemon that leads, and its term, as that daemon itself sees it.
    pub async fn leader(&self) -> (SocketAddr, StatusReply) {
        wait_for("a control daemon leads", LIMIT, || async {
            for control in &self.controls {
                let status = http::get_json::<StatusReply>(*control, "/v1/status").await;
                let Ok(status) = status else { continue };
                if status.leader == Some(status.instance) {
                    return Some((*control, status));
                }
            }
            None
        })
        .await
        .unwrap()
    }
}

/// The outcome of the first publication, where the answer tells one.
pub fn outcome_in(body: &[u8]) -> Option<PublicationReply> {
    let reply: ApplyReply = serde_json::from_slice(body).ok()?;
    reply.results.into_iter().next()
}

/// The code of a refusal.
pub fn refusal_in(body: &[u8]) -> Option<u16> {
    serde_json::from_slice::<ResultBody>(body).ok().map(|refusal| refusal.code)
}

/// Accepted versions of the profile `orders` that the test published.
pub struct PublicationSeries {
    /// Publishes them.
    pub operator: Operator,
    /// Version and revision of each.
    pub accepted: Vec<(u64, Revision)>,
}

impl PublicationSeries {
    /// Starts after version 1.
    pub fn new(cluster: &Cluster) -> Self {
        Self { operator: Operator::new("ana", cluster), accepted: Vec::new() }
    }

    /// Publishes the next versions; each has to be accepted.
    pub async fn publish(&mut self, count: u64) {
        for _ in 0..count {
            let version = self.accepted.len() as u64 + 2;
            let (status, reply) = self.operator.publish(&orders(version, 1_000 + version)).await;
            assert_eq!((status, reply.code), (200, 0), "{reply:?}");
            self.accepted.push((version, reply.revision.unwrap()));
        }
    }

    /// Waits until the leader knows that an instance has confirmed the last accepted version from a disk
    /// as a voter.
    pub async fn wait_confirmed(&self, id: InstanceId, disk: &str) {
        let revision = self.accepted.last().unwrap().1;
        let prefix = format!("{id}:{disk}@");
        let confirmed = wait_for("the folder is up to date", LIMIT, || async {
            let (_, status) = self.operator.leader().await;
            let followers = status.details.get("followers")?;
            let confirmed = followers.split(',').find_map(|item| item.strip_prefix(&prefix))?;
            (confirmed.parse::<u64>().ok()? >= revision.0).then_some(())
        })
        .await;
        let statuses = if confirmed.is_ok() { Vec::new() } else { self.operator.statuses().await };
        assert!(confirmed.is_ok(), "{confirmed:?}: {prefix} lacks {revision}; {statuses:?}");
    }

    /// Every accepted version is held at its revision.
    pub async fn check_revisions(&self) {
        let versions = self.operator.versions().await;
        let held: Vec<_> =
            versions.iter().map(|(version, held)| (*version, held.revision)).collect();
        assert_eq!(held[1..], self.accepted);
    }
}

/// A control daemon that follows.
pub async fn find_follower(cluster: &Cluster, operator: &Operator) -> DaemonPlan {
    let leader = operator.leader().await.0;
    let mut controls = cluster.deployment.plan.of(DaemonKind::Control);
    controls.find(|plan| plan.http != leader).unwrap().clone()
}

/// Status of a daemon, once it answers.
pub async fn wait_for_status(cluster: &Cluster, plan: &DaemonPlan) -> StatusReply {
    wait_for("the process answers", LIMIT, || cluster.status(plan.http)).await.unwrap()
}

/// Polls the entries, and notes each time one reports a lower revision than before.
pub struct Watch {
    reverted: Arc<Mutex<Vec<String>>>,
    highest: Arc<Mutex<BTreeMap<InstanceId, Revision>>>,
    task: JoinHandle<()>,
}

impl Watch {
    /// Starts to poll.
    pub fn start(cluster: &Cluster) -> Self {
        let reverted = Arc::new(Mutex::new(Vec::new()));
        let highest = Arc::new(Mutex::new(BTreeMap::new()));
        let entries = cluster.entries();
        let (notes, revisions) = (Arc::clone(&reverted), Arc::clone(&highest));
        let task = tokio::spawn(async move {
            loop {
                for entry in &entries {
                    let status = http::get_json::<StatusReply>(*entry, "/v1/status");
                    let Ok(Ok(status)) = tokio::time::timeout(WATCH_PERIOD, status).await else {
                        continue;
                    };
                    let mut revisions = revisions.lock().unwrap();
                    let before = revisions.entry(status.instance).or_insert(status.revision);
                    if status.revision < *before {
                        let note = format!("{}: {before} to {}", status.name, status.revision);
                        notes.lock().unwrap().push(note);
                    }
                    *before = status.revision;
                }
                tokio::time::sleep(WATCH_PERIOD).await;
            }
        });
        Self { reverted, highest, task }
    }

    /// Waits until all entries that run report the revision, and fails if one ever reported less than
    /// before.
    pub async fn finish(self, cluster: &Cluster, revision: Revision) {
        let entries = cluster.deployment.plan.of(DaemonKind::Entry).count();
        wait_for("all entries report the revision", LIMIT, || async {
            let highest = self.highest.lock().unwrap();
            let reached = highest.values().filter(|known| **known >= revision).count();
            (reached == entries).then_some(())
        })
        .await
        .unwrap();
        self.task.abort();
        assert_eq!(*self.reverted.lock().unwrap(), Vec::<String>::new());
    }
}
