//! `comfreyhold domain` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, assert_refused, filtered};

/// Guards against a failure domain that can't be taken out and brought back, and against a race under
/// one version number that has two winners.
#[tokio::test]
async fn domain_leaves_and_returns() {
    let scratch = Scratch::start().await;
    let mut printed = String::new();
    for args in [["domain", "out", "domain-2"], ["domain", "in", "2"]] {
        let ran = scratch.run(&args);
        assert_eq!(ran.status, Some(0), "{ran:?}");
        printed += &ran.out;
    }
    insta::assert_snapshot!(filtered(&printed), @r"
    domain/2 version 1: accepted at [revision]; in effect on 2 entries; complete after [time] ms
    domain/2 version 2: accepted at [revision]; in effect on 2 entries; complete after [time] ms
    ");
    assert_refused(&scratch.run(&["domain", "--version", "2", "out", "2"]), 3003);
    assert_refused(&scratch.run(&["domain", "--version", "9", "out", "2"]), 3004);
    assert_refused(&scratch.run(&["domain", "out", "nowhere"]), 3002);
    assert_refused(&scratch.run(&["domain", "sideways", "2"]), 3002);
    scratch.deployment.stop().await.unwrap();
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("domain", &["out", "1"]);
}
