//! `comfreyhold replace` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, assert_refused};

/// Guards against a control instance that can't be made a voter again after it lost its data folder, and
/// against a replacement for an instance that isn't a voter.
#[tokio::test]
async fn instance_votes_with_new_folder() {
    let mut deployment = TestDeployment::start().await;
    deployment.kill("control-3").await;
    let plan = deployment.processes.plan.daemons[2].clone();
    std::fs::remove_dir_all(&plan.data).unwrap();
    let process = deployment.processes.start_daemon(&plan, deployment.folder()).await.unwrap();
    deployment.processes.daemons[2] = process;
    let is_learner = |line: &&str| line.starts_with("control-3") && line.contains("state=learner");
    let status = deployment
        .run_until(&["status"], |output| output.stdout.lines().any(|l| is_learner(&l)))
        .await;
    let line = status.stdout.lines().find(is_learner).unwrap();
    let disk = line.split_whitespace().find_map(|word| word.strip_prefix("disk=")).unwrap();
    let output = deployment
        .run_until(&["replace", "3", disk], |output| output.stdout.contains("votes"))
        .await;
    assert!(output.stdout.starts_with("i3 votes from its new disk since r"), "{output:?}");
    assert_refused(&deployment.run(&["replace", "99", disk]), 3010);
    assert_refused(&deployment.run(&["replace", "3", "not-hexadecimal"]), 3002);
    assert_refused(&deployment.run(&["replace", "three", disk]), 3002);
    deployment.processes.stop().await.unwrap();
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("replace", &["1", "ff"]);
}
