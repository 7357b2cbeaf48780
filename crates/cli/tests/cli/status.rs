//! `comfreyhold status` against a deployment.

use crate::support::{TestDeployment, assert_invalid_config_refused, normalize};

/// Guards against a process that the status omits, in particular one that doesn't respond.
#[tokio::test]
async fn status_lists_every_process() {
    let mut deployment = TestDeployment::start().await;
    let ready_count = |stdout: &str| stdout.lines().filter(|line| line.contains(" true ")).count();
    let output = deployment.run_until(&["status"], |output| ready_count(&output.stdout) == 5).await;
    let first_columns = |stdout: &str| {
        let lines = normalize(stdout);
        let words = lines.lines().map(|line| line.split(' ').take(3).collect::<Vec<_>>().join(" "));
        words.collect::<Vec<_>>().join("\n")
    };
    insta::assert_snapshot!(first_columns(&output.stdout), @r"
    name role domain
    control-1 control d1
    control-2 control d2
    control-3 control d1
    entry-1 entry d1
    entry-2 entry d2
    ");
    deployment.kill("entry-2").await;
    let output = deployment.run(&["status"]);
    let line = output.stdout.lines().find(|line| line.starts_with("entry-2")).unwrap();
    assert!(line.contains("no answer"), "{line}");
    let json = deployment.run(&["status", "--json"]);
    let lines = json.stdout.lines().map(serde_json::from_str::<serde_json::Value>);
    assert_eq!(lines.map(Result::unwrap).count(), 5);
    drop(deployment);
}

/// Guards against a panic, or an error without a result code, for a missing or invalid deployment file.
#[test]
fn invalid_config_is_refused() {
    assert_invalid_config_refused("status", &[]);
}
