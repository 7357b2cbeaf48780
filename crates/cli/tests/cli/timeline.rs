//! `comfreyhold timeline` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, assert_refused};

/// Guards against a killed process that is omitted without a message, against events out of order, and
/// against filters that let other events pass.
#[tokio::test]
async fn events_are_ordered_and_unresponsive_process_is_named() {
    let mut deployment = TestDeployment::start().await;
    let output = deployment.run(&["timeline"]);
    let stamps: Vec<_> =
        output.stdout.lines().map(|line| line.split(' ').next().unwrap()).collect();
    assert!(stamps.len() > 5 && stamps.is_sorted(), "{output:?}");
    let started = deployment.run(&["timeline", "--kind", "started", "--process", "entry-1"]);
    assert_eq!(started.stdout.lines().count(), 1, "{started:?}");
    assert!(
        started.stdout.contains("entry-1") && started.stdout.contains(" started "),
        "{started:?}"
    );
    assert_eq!(deployment.run(&["timeline", "--to", "1"]).stdout, "");
    deployment.kill("entry-2").await;
    let output = deployment.run(&["timeline"]);
    assert!(
        output.stdout.lines().any(|line| line.starts_with("entry-2: no answer: ")),
        "{output:?}"
    );
    assert_refused(&deployment.run(&["timeline", "--kind", "no-such-kind"]), 3002);
    assert_refused(&deployment.run(&["timeline", "--process", "no-such-process"]), 3002);
    drop(deployment);
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("timeline", &[]);
}
