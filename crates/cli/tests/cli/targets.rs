//! `comfreyhold targets` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, assert_refused, filtered};

/// Guards against a target that serves and isn't listed, and an entry that doesn't answer and hides it.
#[tokio::test]
async fn announced_target_is_listed() {
    let mut scratch = Scratch::start().await;
    let ran = scratch.until(&["targets"], |ran| ran.out.contains(" true  true")).await;
    insta::assert_snapshot!(filtered(&ran.out), @r"
    service address domain slots incarnation state live declared
    orders [address] d1 2 1 serving true true
    ");
    scratch.kill("entry-1").await;
    scratch.until(&["targets"], |ran| ran.out.contains("orders")).await;
    scratch.kill("entry-2").await;
    let ran = scratch.run(&["targets"]);
    assert_refused(&ran, 3008);
    assert!(ran.err.contains("entry-1") && ran.err.contains("entry-2"), "{ran:?}");
    drop(scratch);
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("targets", &[]);
}
