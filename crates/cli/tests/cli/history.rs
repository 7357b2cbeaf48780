//! `comfreyhold history` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, filtered};

/// Guards against a history that lacks a version or names the wrong operator.
#[tokio::test]
async fn versions_and_operators_are_listed() {
    let scratch = Scratch::start().await;
    scratch.write("two.yaml", "kind: profile\nname: orders\nversion: 2\n");
    assert_eq!(scratch.run(&["apply", "--operator", "rui", "two.yaml"]).status, Some(0));
    let all = scratch.run(&["history"]);
    let columns = |out: &str| {
        let rows = out.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        rows.map(|row| [row[0], row[1], row[3]].join(" ")).collect::<Vec<_>>().join("\n")
    };
    insta::assert_snapshot!(columns(&all.out), @r"
    subject version operator
    profile/orders 1 ana
    profile/orders 2 rui
    service/orders 1 ana
    ");
    let one = scratch.run(&["history", "profile/orders"]);
    assert_eq!(one.out.lines().count(), 3, "{}", filtered(&one.out));
    scratch.deployment.stop().await.unwrap();
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("history", &[]);
}
