//! `comfreyhold domain` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, assert_refused, normalize};

/// Guards against a failure domain that can't be withdrawn and restored, and against two publications that
/// are accepted under one version number.
#[tokio::test]
async fn domain_is_withdrawn_and_restored() {
    let deployment = TestDeployment::start().await;
    let mut stdout = String::new();
    for args in [["domain", "out", "domain-2"], ["domain", "in", "2"]] {
        let output = deployment.run(&args);
        assert_eq!(output.exit_code, Some(0), "{output:?}");
        stdout += &output.stdout;
    }
    insta::assert_snapshot!(normalize(&stdout), @r"
    domain/2 version 1: accepted at [revision]; in effect on 2 entries; complete after [time] ms
    domain/2 version 2: accepted at [revision]; in effect on 2 entries; complete after [time] ms
    ");
    assert_refused(&deployment.run(&["domain", "--version", "2", "out", "2"]), 3003);
    assert_refused(&deployment.run(&["domain", "--version", "9", "out", "2"]), 3004);
    assert_refused(&deployment.run(&["domain", "out", "nowhere"]), 3002);
    assert_refused(&deployment.run(&["domain", "sideways", "2"]), 3002);
    deployment.processes.stop().await.unwrap();
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("domain", &["out", "1"]);
}
