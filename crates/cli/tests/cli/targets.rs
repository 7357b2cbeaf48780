//! `comfreyhold targets` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, assert_refused, normalize};

/// Guards against a serving target that isn't listed, also where the first entry doesn't respond.
#[tokio::test]
async fn announced_target_is_listed() {
    let mut deployment = TestDeployment::start().await;
    let output =
        deployment.run_until(&["targets"], |output| output.stdout.contains(" true  true")).await;
    insta::assert_snapshot!(normalize(&output.stdout), @r"
    service address domain slots incarnation state live declared
    orders [address] d1 2 1 serving true true
    ");
    deployment.kill("entry-1").await;
    deployment.run_until(&["targets"], |output| output.stdout.contains("orders")).await;
    deployment.kill("entry-2").await;
    let output = deployment.run(&["targets"]);
    assert_refused(&output, 3008);
    assert!(output.stderr.contains("entry-1") && output.stderr.contains("entry-2"), "{output:?}");
    drop(deployment);
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("targets", &[]);
}
