//! Runs a local deployment of the real daemons for integration tests, and sends requests to it.

#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::fabric::PathSettings;
use comfreyhold_lab::http;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::{DaemonKind, Deployment, UpService, UpSettings};
use comfreyhold_types::api::{ApplyReply, StatusReply};
use hyper::{Method, Response};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Timeout for conditions that hold within seconds when no other load runs.
pub const LIMIT: Duration = Duration::from_secs(90);

/// Declarations of the profiles and services that most tests use.
pub const DECLARATIONS: &str = "
kind: profile
name: orders
version: 1
priority: high
max_slots: 2
---
kind: profile
name: catalogue
version: 1
priority: low
max_slots: 2
---
kind: service
version: 1
name: orders
address: 10.90.0.1:80
profile: orders
---
kind: service
version: 1
name: catalogue
address: 10.90.0.2:80
profile: catalogue
";

/// A running deployment and its scratch folder.
pub struct Cluster {
    /// Running daemons, targets and fabric.
    pub deployment: Deployment,
    /// Folder of the settings, data and logs.
    pub folder: ScratchFolder,
}

/// Settings of a deployment with five entries in four failure domains, three control daemons and two services.
pub fn settings() -> UpSettings {
    let service = |name: &str, address: &str, targets| UpService {
        name: name.to_owned(),
        address: address.parse().unwrap(),
        targets,
        slots: 2,
        service_time: "constant:20".to_owned(),
    };
    UpSettings {
        entry_binary: PathBuf::from(env!("CARGO_BIN_EXE_comfreyhold-entry")),
        control_binary: PathBuf::from(env!("CARGO_BIN_EXE_comfreyhold-control")),
        domains: 4,
        entries: 5,
        controls: 3,
        services: vec![
            service("orders", "10.90.0.1:80", 4),
            service("catalogue", "10.90.0.2:80", 2),
        ],
        seed: 7,
        path: PathSettings::default(),
    }
}

/// A temporary folder that is kept when its test fails.
pub struct ScratchFolder(TempDir);

impl ScratchFolder {
    /// Creates an empty folder.
    pub fn new() -> Self {
        Self(tempfile::tempdir().unwrap())
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        self.0.path()
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.disable_cleanup(true);
            eprintln!("logs and data are kept in {}", self.path().display());
            for line in leadership_lines(self.path()) {
                eprintln!("{line}");
            }
        }
    }
}

/// The last lines of all logs in a folder about leaders, leases and slow disks, in the order of time. A failure of
/// a run whose folder is gone is traced from them.
fn leadership_lines(folder: &Path) -> Vec<String> {
    const MAX_LINES: usize = 60;
    let wanted = ["leader-", "lease-", "no majority has responded", "was stored after"];
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let logs = files.map(|f| f.path()).filter(|path| path.extension().is_some_and(|e| e == "log"));
    let mut lines: Vec<String> = logs
        .filter_map(|path| std::fs::read_to_string(path).ok())
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .filter(|line| wanted.iter().any(|part| line.contains(part)))
        .collect();
    lines.sort();
    lines.split_off(lines.len().saturating_sub(MAX_LINES))
}

impl Cluster {
    /// Starts a deployment, publishes [`DECLARATIONS`] and waits until requests are served.
    pub async fn start(settings: UpSettings) -> Self {
        let folder = ScratchFolder::new();
        let deployment =
            Deployment::start(settings, folder.path(), daemon_settings::render).await.unwrap();
        let cluster = Self { deployment, folder };
        cluster.publish(DECLARATIONS).await;
        cluster.wait_serving().await;
        cluster
    }

    /// Admin addresses of the control daemons.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.deployment.plan.of(DaemonKind::Control).map(|daemon| daemon.http).collect()
    }

    /// Admin addresses of the entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.deployment.plan.of(DaemonKind::Entry).map(|daemon| daemon.http).collect()
    }

    /// Addresses of the entries for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.deployment.plan.of(DaemonKind::Entry).map(|daemon| daemon.callers).collect()
    }

    /// Index of a daemon in the deployment's plan and list of processes.
    pub fn index(&self, name: &str) -> usize {
        self.deployment.plan.daemons.iter().position(|daemon| daemon.name == name).unwrap()
    }

    /// Kills a daemon with SIGKILL, as in a crash.
    pub async fn kill(&mut self, name: &str) {
        let index = self.index(name);
        self.deployment.daemons[index].kill().await.unwrap();
    }

    /// Starts a daemon that has ended again, with the same settings and data folder.
    pub async fn restart(&mut self, name: &str) {
        let index = self.index(name);
        let plan = self.deployment.plan.daemons[index].clone();
        let process = self.deployment.start_daemon(&plan, self.folder.path()).await.unwrap();
        self.deployment.daemons[index] = process;
    }

    /// Publishes documents through the leader. Tries all control daemons until one returns the outcomes.
    pub async fn publish(&self, documents: &str) -> ApplyReply {
        wait_for("a leader returns the outcome of the publication", LIMIT, || async {
            for control in self.controls() {
                let path = "/v1/declarations?operator=test";
                let body = documents.as_bytes().to_vec();
                let response = http::call(Method::POST, control, path, body).await;
                let reply = response.ok().and_then(|text| serde_json::from_slice(&text).ok());
                if let Some(reply) = reply {
                    return Some(reply);
                }
            }
            None
        })
        .await
        .unwrap()
    }

    /// Status of the process with this admin address; `None` when it doesn't respond.
    pub async fn status(&self, address: SocketAddr) -> Option<StatusReply> {
        http::get_json(address, "/v1/status").await.ok()
    }

    /// Waits until each entry serves requests to each service, and until its replica of the key records votes.
    pub async fn wait_serving(&self) {
        for caller in self.callers() {
            for service in ["orders", "catalogue"] {
                wait_for("the service responds", LIMIT, || async {
                    let response = get(caller, service, "/ready").await?;
                    (result_code(&response) == Some(0)).then_some(())
                })
                .await
                .unwrap();
            }
        }
        for entry in self.entries() {
            wait_for("the key replica votes", LIMIT, || async {
                let status = self.status(entry).await?;
                (status.details.get("keys_vote")? == "true").then_some(())
            })
            .await
            .unwrap();
        }
    }

    /// Number of requests with this idempotency key that the targets have run.
    pub async fn runs_with_key(&self, key: &str) -> usize {
        let mut runs = 0;
        for target in &self.deployment.targets {
            let target_runs = target.runs();
            runs += target_runs.iter().filter(|run| run.key.as_deref() == Some(key)).count();
        }
        runs
    }
}

/// A response whose body has been read completely.
pub type FullResponse = Response<bytes::Bytes>;

/// Sends a GET request; `None` when no complete response arrived.
pub async fn get(to: SocketAddr, service: &str, path: &str) -> Option<FullResponse> {
    send(to, service, Method::GET, path, None, "").await
}

/// Sends a POST request with an idempotency key; `None` when no complete response arrived.
pub async fn post(to: SocketAddr, service: &str, key: &str, body: &str) -> Option<FullResponse> {
    send(to, service, Method::POST, "/order", Some(key), body).await
}

async fn send(
    to: SocketAddr,
    service: &str,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Option<FullResponse> {
    let mut request = http::request(method, to, path, body.as_bytes().to_vec()).unwrap();
    request.headers_mut().insert(hyper::header::HOST, service.parse().unwrap());
    if let Some(key) = key {
        request.headers_mut().insert("idempotency-key", key.parse().unwrap());
    }
    match http::Client::default().send(to, request, LIMIT).await {
        http::Sent::Answered(response) => Some(response),
        http::Sent::NotWritten(_) | http::Sent::Lost(_) => None,
    }
}

/// Result code of a response; `None` when it has none.
pub fn result_code(response: &FullResponse) -> Option<u16> {
    response.headers().get("x-result-code")?.to_str().ok()?.parse().ok()
}
