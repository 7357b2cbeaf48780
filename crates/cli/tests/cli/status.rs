//! `comfreyhold status` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, filtered};

/// Guards against a process that is left out of the status, above all one that doesn't answer.
#[tokio::test]
async fn every_process_is_shown() {
    let mut scratch = Scratch::start().await;
    let ready = |out: &str| out.lines().filter(|line| line.contains(" true ")).count();
    let ran = scratch.until(&["status"], |ran| ready(&ran.out) == 5).await;
    let names = |out: &str| {
        let lines = filtered(out);
        let words = lines.lines().map(|line| line.split(' ').take(3).collect::<Vec<_>>().join(" "));
        words.collect::<Vec<_>>().join("\n")
    };
    insta::assert_snapshot!(names(&ran.out), @r"
    name role domain
    control-1 control d1
    control-2 control d2
    control-3 control d1
    entry-1 entry d1
    entry-2 entry d2
    ");
    scratch.kill("entry-2").await;
    let ran = scratch.run(&["status"]);
    let line = ran.out.lines().find(|line| line.starts_with("entry-2")).unwrap();
    assert!(line.contains("no answer"), "{line}");
    let json = scratch.run(&["status", "--json"]);
    let lines = json.out.lines().map(serde_json::from_str::<serde_json::Value>);
    assert_eq!(lines.map(Result::unwrap).count(), 5);
    drop(scratch);
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("status", &[]);
}
