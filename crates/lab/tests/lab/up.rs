//! Local deployments that run scripts in place of the daemons.

use crate::common;
use crate::common::{LIMIT, program};
use comfreyhold_lab::daemon_settings::render;
use comfreyhold_lab::scenario::{Process, wait_for, wait_until};
use comfreyhold_lab::up::{DaemonKind, Deployment, Plan, UpService, UpSettings};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The scripts are committed files: a script that was just written fails to start with "text file busy"
/// when another test started a process while the file was open for writing.
fn script(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scripts").join(name)
}

fn settings() -> UpSettings {
    let daemon = script("daemon.sh");
    UpSettings {
        entry_binary: daemon.clone(),
        control_binary: daemon,
        domains: 2,
        entries: 3,
        controls: 1,
        services: vec![UpService {
            name: "orders".to_owned(),
            address: common::service_address(),
            targets: 2,
            slots: 2,
            service_time: "constant:5".to_owned(),
        }],
        seed: 1,
        path: Default::default(),
    }
}

/// Guards against daemons that share an address, ports that an outgoing connection can take before the
/// daemon binds them, and parts that don't start or stop.
#[tokio::test]
async fn deployment_starts_and_stops_all_parts() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(settings(), folder.path(), render).await.unwrap();
    assert_eq!(deployment.daemons.len(), 4);
    assert_eq!(deployment.targets.len(), 2);
    let daemons = &deployment.plan.daemons;
    let tcp: BTreeSet<_> = daemons.iter().flat_map(|d| [d.peer, d.http]).collect();
    assert_eq!(tcp.len(), 8);
    let packets = daemons.iter().map(|d| d.packets.port());
    let ports: Vec<u16> = tcp.iter().map(|address| address.port()).chain(packets).collect();
    assert!(ports.iter().all(|port| *port < 32_768), "{ports:?}");
    let entries: Vec<_> = deployment.plan.of(DaemonKind::Entry).map(|d| d.packets).collect();
    assert_eq!(deployment.fabric.report().entries, entries);
    let registered = || deployment.fabric.report().endpoints == 2;
    wait_until("targets register", LIMIT, registered).await.unwrap();
    assert!(folder.path().join("entry-1.yaml").exists());
    let log = std::fs::read_to_string(folder.path().join("entry-1.log")).unwrap();
    assert!(log.contains("entry-1.yaml"), "{log}");
    deployment.stop().await.unwrap();
}

/// Guards against a crashed daemon that can't be restarted with its settings file.
#[tokio::test]
async fn killed_daemon_starts_again() {
    let folder = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(settings(), folder.path(), render).await.unwrap();
    let first = deployment.daemons[1].id().unwrap();
    deployment.daemons[1].kill().await.unwrap();
    let plan = deployment.plan.daemons[1].clone();
    let restarted = deployment.start_daemon(&plan, folder.path()).await.unwrap();
    assert_ne!(restarted.id(), Some(first));
    deployment.daemons[1] = restarted;
    deployment.stop().await.unwrap();
}

/// Guards against a stop that reports an error for a daemon that the test killed.
#[tokio::test]
async fn stop_succeeds_after_a_daemon_was_killed() {
    let folder = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(settings(), folder.path(), render).await.unwrap();
    deployment.daemons[1].kill().await.unwrap();
    deployment.stop().await.unwrap();
}

/// Guards against a failed start of a daemon that is reported without its reason.
#[tokio::test]
async fn failed_start_names_the_daemon_and_its_log() {
    let folder = tempfile::tempdir().unwrap();
    let settings = UpSettings { control_binary: script("broken.sh"), ..settings() };
    let failed = Deployment::start(settings, folder.path(), render).await;
    let error = failed.err().expect("a refusal").to_string();
    assert!(error.contains("control-1") && error.contains("no such field"), "{error}");
}

/// Guards against an `up` command that does not print its addresses or leaves daemons running.
#[tokio::test]
async fn binary_runs_and_ends_a_deployment() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("up.yaml");
    let text = serde_yaml_ng::to_string(&settings()).unwrap();
    std::fs::write(&file, text).unwrap();
    let run = folder.path().join("run");
    let args = ["up".as_ref(), "--settings".as_ref(), file.as_os_str(), "--folder".as_ref()];
    let args = args.into_iter().chain([run.as_os_str()]);
    let mut up = Process::start("up", program(), args, folder.path()).await.unwrap();
    let plan = std::fs::read(run.join("deployment.json")).unwrap();
    let plan: Plan = serde_json::from_slice(&plan).unwrap();
    assert_eq!(up.start_line().address("packets").unwrap(), plan.fabric);
    assert_eq!(up.start_line().address("entry-2").unwrap(), plan.daemons[2].http);
    assert!(up.terminate(LIMIT).await.unwrap().success());
    let released = || async { std::net::TcpListener::bind(plan.fabric_control).ok() };
    wait_for("the fabric's control address is free", LIMIT, released).await.unwrap();
}
