//! `comfreyhold diff` against a deployment.

use crate::support::{
    ORDERS, TestDeployment, assert_invalid_config_refused, assert_refused, normalize,
};

/// Guards against a preview that differs from the outcome of publishing, and against one that publishes.
#[tokio::test]
async fn diff_previews_outcomes_without_publishing() {
    let deployment = TestDeployment::start().await;
    let next = "kind: profile\nname: orders\nversion: 2\n";
    let gap = "kind: profile\nname: orders\nversion: 9\n";
    let taken = "kind: profile\nname: orders\nversion: 1\nmax_slots: 7\n";
    let unknown = "kind: service\nversion: 1\nname: board\naddress: 10.90.0.9:80\nprofile: none\n";
    deployment.write("changes.yaml", &[ORDERS, next, gap, taken, unknown].join("---\n"));
    let output = deployment.run(&["diff", "changes.yaml"]);
    assert_eq!(output.exit_code, Some(0), "{output:?}");
    insta::assert_snapshot!(normalize(&output.stdout), @r#"
    = profile/orders version 1: accepted at [revision]
    = service/orders version 1: accepted at [revision]
    + profile/orders version 2: would be accepted
    ! profile/orders version 9: the next version is 3
    ! profile/orders version 1: taken by ana at [revision] with other content
    ! service/board version 1: profile "none" does not exist
    "#);
    assert_eq!(deployment.run(&["diff", "changes.yaml"]).exit_code, Some(0));
    let history = deployment.run(&["history", "profile/orders"]);
    assert_eq!(history.stdout.lines().count(), 2, "{history:?}");
    assert_refused(&deployment.run(&["diff", "missing.yaml"]), 3001);
    deployment.processes.stop().await.unwrap();
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("diff", &["bad.yaml"]);
}
