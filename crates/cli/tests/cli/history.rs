//! `comfreyhold history` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, normalize};

/// Guards against a history that lacks a version or names the wrong operator.
#[tokio::test]
async fn versions_and_operators_are_listed() {
    let deployment = TestDeployment::start().await;
    deployment.write("two.yaml", "kind: profile\nname: orders\nversion: 2\n");
    assert_eq!(deployment.run(&["apply", "--operator", "rui", "two.yaml"]).exit_code, Some(0));
    let all = deployment.run(&["history"]);
    let columns = |stdout: &str| {
        let rows = stdout.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        rows.map(|row| [row[0], row[1], row[3]].join(" ")).collect::<Vec<_>>().join("\n")
    };
    insta::assert_snapshot!(columns(&all.stdout), @r"
    subject version operator
    profile/orders 1 ana
    profile/orders 2 rui
    service/orders 1 ana
    ");
    let one = deployment.run(&["history", "profile/orders"]);
    assert_eq!(one.stdout.lines().count(), 3, "{}", normalize(&one.stdout));
    deployment.processes.stop().await.unwrap();
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("history", &[]);
}
