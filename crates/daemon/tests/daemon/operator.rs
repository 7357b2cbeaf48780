//! Operators that publish through the control daemons, and a check that no entry reports an older revision
//! than before.

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

/// Timeout of one call of an operator. A control daemon responds within 7 s by design.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the entries are polled, and timeout of each poll.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A document with a version of the profile `orders`. Competing documents differ in their deadline.
pub fn orders_document(version: u64, deadline_ms: u64) -> String {
    format!(
        "kind: profile\nname: orders\nversion: {version}\npriority: high\nmax_slots: 2\n\
         deadline_ms: {deadline_ms}\n"
    )
}

/// An operator who publishes under a name through some control daemons.
#[derive(Clone)]
pub struct Operator {
    /// Name that is recorded with each publication.
    pub name: String,
    /// Admin addresses of the control daemons that the operator calls.
    pub controls: Vec<SocketAddr>,
}

/// HTTP status and body of a response.
pub type RawResponse = (u16, bytes::Bytes);

impl Operator {
    /// Creates an operator who calls all control daemons of a deployment.
    pub fn new(name: &str, cluster: &Cluster) -> Self {
        Self { name: name.to_owned(), controls: cluster.controls() }
    }

    /// Sends documents to one control daemon; `None` when no complete response arrives within `limit`.
    pub async fn send(
        &self,
        control: SocketAddr,
        documents: &str,
        limit: Duration,
    ) -> Option<RawResponse> {
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

    /// Publishes one document. Sends it again until a control daemon returns its outcome.
    pub async fn publish(&self, document: &str) -> (u16, PublicationReply) {
        wait_for("a control daemon returns the outcome of the publication", LIMIT, || async {
            for control in &self.controls {
                let Some((status, body)) = self.send(*control, document, CALL_TIMEOUT).await else {
                    continue;
                };
                if let Some(result) = parse_outcome(&body) {
                    return Some((status, result));
                }
            }
            None
        })
        .await
        .unwrap()
    }

    /// Gets a JSON document from the leader. Tries all control daemons until one returns it.
    pub async fn get_from_leader<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        wait_for("the leader responds", LIMIT, || async {
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

    /// The accepted publication of a version of the profile `orders`.
    pub async fn version_record(&self, version: u64) -> VersionRecord {
        self.get_from_leader(&format!("/v1/outcome?subject=profile/orders&version={version}")).await
    }

    /// The accepted publications of the profile `orders`, by version.
    pub async fn versions(&self) -> BTreeMap<u64, VersionRecord> {
        let history: HistoryReply = self.get_from_leader("/v1/history").await;
        history.versions.get("profile/orders").cloned().unwrap_or_default()
    }

    /// Status of each control daemon that responds.
    async fn statuses(&self) -> Vec<StatusReply> {
        let mut statuses = Vec::new();
        for control in &self.controls {
            statuses.extend(http::get_json::<StatusReply>(*control, "/v1/status").await);
        }
        statuses
    }

    /// Admin address and status of the control daemon that reports itself as the leader.
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

/// Outcome of the first publication in a response body; `None` when the body holds none.
pub fn parse_outcome(body: &[u8]) -> Option<PublicationReply> {
    let reply: ApplyReply = serde_json::from_slice(body).ok()?;
    reply.results.into_iter().next()
}

/// Result code of a refusal; `None` when the body holds none.
pub fn parse_refusal(body: &[u8]) -> Option<u16> {
    serde_json::from_slice::<ResultBody>(body).ok().map(|refusal| refusal.code)
}

/// Publishes consecutive versions of the profile `orders` and checks that they stay accepted.
pub struct PublicationSeries {
    /// Operator who publishes them.
    pub operator: Operator,
    /// Version and revision of each accepted publication.
    pub accepted: Vec<(u64, Revision)>,
}

impl PublicationSeries {
    /// Starts with version 2, since the deployment has published version 1.
    pub fn new(cluster: &Cluster) -> Self {
        Self { operator: Operator::new("ana", cluster), accepted: Vec::new() }
    }

    /// Publishes the next versions, and checks that each is accepted.
    pub async fn publish(&mut self, count: u64) {
        for _ in 0..count {
            let version = self.accepted.len() as u64 + 2;
            let (status, reply) =
                self.operator.publish(&orders_document(version, 1_000 + version)).await;
            assert_eq!((status, reply.code), (200, 0), "{reply:?}");
            self.accepted.push((version, reply.revision.unwrap()));
        }
    }

    /// Waits until the leader reports that an instance has confirmed the last accepted revision as a voter
    /// with this disk.
    pub async fn wait_confirmed(&self, id: InstanceId, disk: &str) {
        let revision = self.accepted.last().unwrap().1;
        let prefix = format!("{id}:{disk}@");
        let confirmed = wait_for("the data folder is up to date", LIMIT, || async {
            let (_, status) = self.operator.leader().await;
            let followers = status.details.get("followers")?;
            let confirmed = followers.split(',').find_map(|item| item.strip_prefix(&prefix))?;
            (confirmed.parse::<u64>().ok()? >= revision.0).then_some(())
        })
        .await;
        let statuses = if confirmed.is_ok() { Vec::new() } else { self.operator.statuses().await };
        assert!(confirmed.is_ok(), "{confirmed:?}: {prefix} lacks {revision}; {statuses:?}");
    }

    /// Checks that the leader holds every accepted version at its revision, and no others.
    pub async fn check_revisions(&self) {
        let versions = self.operator.versions().await;
        let revisions: Vec<_> =
            versions.iter().map(|(version, record)| (*version, record.revision)).collect();
        assert_eq!(revisions[1..], self.accepted);
    }
}

/// A control daemon that is not the leader.
pub async fn find_follower(cluster: &Cluster, operator: &Operator) -> DaemonPlan {
    let leader = operator.leader().await.0;
    let mut controls = cluster.deployment.plan.of(DaemonKind::Control);
    controls.find(|plan| plan.http != leader).unwrap().clone()
}

/// Waits until a daemon responds, and returns its status.
pub async fn wait_for_status(cluster: &Cluster, plan: &DaemonPlan) -> StatusReply {
    wait_for("the process responds", LIMIT, || cluster.status(plan.http)).await.unwrap()
}

/// Polls the entries, and records each time that one reports a lower revision than before.
pub struct RevisionWatch {
    reverts: Arc<Mutex<Vec<String>>>,
    last_reported: Arc<Mutex<BTreeMap<InstanceId, Revision>>>,
    task: JoinHandle<()>,
}

impl RevisionWatch {
    /// Starts the task that polls the entries.
    pub fn start(cluster: &Cluster) -> Self {
        let reverts = Arc::new(Mutex::new(Vec::new()));
        let last_reported = Arc::new(Mutex::new(BTreeMap::new()));
        let entries = cluster.entries();
        let (task_reverts, revisions) = (Arc::clone(&reverts), Arc::clone(&last_reported));
        let task = tokio::spawn(async move {
            loop {
                for entry in &entries {
                    let status = http::get_json::<StatusReply>(*entry, "/v1/status");
                    let Ok(Ok(status)) = tokio::time::timeout(POLL_INTERVAL, status).await else {
                        continue;
                    };
                    let mut revisions = revisions.lock().unwrap();
                    let before = revisions.entry(status.instance).or_insert(status.revision);
                    if status.revision < *before {
                        let revert = format!("{}: {before} to {}", status.name, status.revision);
                        task_reverts.lock().unwrap().push(revert);
                    }
                    *before = status.revision;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        Self { reverts, last_reported, task }
    }

    /// Waits until all entries report at least this revision, and fails if one ever reported a lower revision
    /// than before.
    pub async fn finish(self, cluster: &Cluster, revision: Revision) {
        let entries = cluster.deployment.plan.of(DaemonKind::Entry).count();
        wait_for("all entries report the revision", LIMIT, || async {
            let reported = self.last_reported.lock().unwrap();
            let reached = reported.values().filter(|reported| **reported >= revision).count();
            (reached == entries).then_some(())
        })
        .await
        .unwrap();
        self.task.abort();
        assert_eq!(*self.reverts.lock().unwrap(), Vec::<String>::new());
    }
}
