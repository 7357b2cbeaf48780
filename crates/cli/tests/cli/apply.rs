//! `comfreyhold apply` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, assert_refused, normalize};

/// Guards against a wrong report of a publication, and against a repeated publication, a version conflict
/// or a version gap that isn't reported as such.
#[tokio::test]
async fn apply_reports_results_conflicts_and_gaps() {
    let deployment = TestDeployment::start().await;
    deployment.write("two.yaml", "kind: profile\nname: orders\nversion: 2\n");
    deployment.write("other.yaml", "kind: profile\nname: orders\nversion: 2\nmax_slots: 9\n");
    deployment.write("gap.yaml", "kind: profile\nname: orders\nversion: 9\n");
    let first = deployment.run(&["apply", "--operator", "rui", "two.yaml"]);
    assert_eq!(first.exit_code, Some(0), "{first:?}");
    insta::assert_snapshot!(normalize(&first.stdout), @"profile/orders version 2: accepted at [revision]; in effect on 2 entries; complete after [time] ms");
    let again = deployment.run(&["apply", "two.yaml"]);
    assert_eq!(again.stdout.split(';').next(), first.stdout.split(';').next());
    let other = deployment.run(&["apply", "other.yaml"]);
    assert_refused(&other, 3003);
    insta::assert_snapshot!(normalize(&other.stderr), @"comfreyhold: [number] profile/orders version 2: taken by rui at [revision] with other content");
    let gap = deployment.run(&["apply", "gap.yaml"]);
    assert_refused(&gap, 3004);
    insta::assert_snapshot!(normalize(&gap.stderr), @"comfreyhold: [number] profile/orders version 9: the next version is 3");
    assert_invalid_documents_refused(&deployment);
    deployment.processes.stop().await.unwrap();
}

fn assert_invalid_documents_refused(deployment: &TestDeployment) {
    deployment.write("broken.yaml", "kind: [profile\n");
    deployment.write("field.yaml", "kind: profile\nname: orders\nversion: 3\nmax_slots: 0\n");
    assert_refused(&deployment.run(&["apply", "broken.yaml"]), 3001);
    assert_refused(&deployment.run(&["apply", "missing.yaml"]), 3001);
    assert_refused(&deployment.run(&["apply", "two.yaml", "field.yaml"]), 3002);
    assert_refused(&deployment.run(&["apply", "--operator", "Not A Name", "two.yaml"]), 3002);
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("apply", &["bad.yaml"]);
}
