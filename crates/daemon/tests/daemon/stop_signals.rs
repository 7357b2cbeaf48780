//! A stop signal that arrives before the program that starts a daemon has read its start line.

use crate::support::{ScratchFolder, settings};
use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::scenario::stop_before_start_line;
use comfreyhold_lab::up::{DaemonKind, Deployment, UpSettings};
use tokio::process::Command;

/// Guards against a daemon that a signal ends in the middle of its work because it arrives directly after the start
/// line, or before it. An entry then hands nothing over, and its last counts are lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_signal_before_the_start_line_stops_a_daemon_in_order() {
    let folder = ScratchFolder::new();
    let settings = UpSettings { entries: 1, controls: 1, services: Vec::new(), ..settings() };
    let render = daemon_settings::render;
    let mut deployment = Deployment::start(settings, folder.path(), render).await.unwrap();
    for kind in [DaemonKind::Control, DaemonKind::Entry] {
        let index = deployment.plan.daemons.iter().position(|daemon| daemon.kind == kind).unwrap();
        let plan = deployment.plan.daemons[index].clone();
        deployment.daemons[index].kill().await.unwrap();
        let binary = match kind {
            DaemonKind::Entry => env!("CARGO_BIN_EXE_comfreyhold-entry"),
            DaemonKind::Control => env!("CARGO_BIN_EXE_comfreyhold-control"),
        };
        let mut command = Command::new(binary);
        command.arg(folder.path().join(format!("{}.yaml", plan.name)));
        let status = stop_before_start_line(command, plan.http).await.unwrap();
        assert!(status.success(), "{}: {status}", plan.name);
    }
}
