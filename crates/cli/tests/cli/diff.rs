//! `comfreyhold diff` against a deployment.

use crate::support::{ORDERS, Scratch, assert_bad_files_refused, assert_refused, filtered};

/// Guards against a preview that tells another outcome than publishing would have, or that publishes.
#[tokio::test]
async fn outcomes_are_foretold() {
    let scratch = Scratch::start().await;
    let next = "kind: profile\nname: orders\nversion: 2\n";
    let gap = "kind: profile\nname: orders\nversion: 9\n";
    let taken = "kind: profile\nname: orders\nversion: 1\nmax_slots: 7\n";
    let unknown = "kind: service\nversion: 1\nname: board\naddress: 10.90.0.9:80\nprofile: none\n";
    scratch.write("changes.yaml", &[ORDERS, next, gap, taken, unknown].join("---\n"));
    let ran = scratch.run(&["diff", "changes.yaml"]);
    assert_eq!(ran.status, Some(0), "{ran:?}");
    insta::assert_snapshot!(filtered(&ran.out), @r#"
    = profile/orders version 1: accepted at [revision]
    = service/orders version 1: accepted at [revision]
    + profile/orders version 2: would be accepted
    ! profile/orders version 9: the next version is 3
    ! profile/orders version 1: taken by ana at [revision] with other content
    ! service/board version 1: profile "none" does not exist
    "#);
    assert_eq!(scratch.run(&["diff", "changes.yaml"]).status, Some(0));
    let history = scratch.run(&["history", "profile/orders"]);
    assert_eq!(history.out.lines().count(), 2, "{history:?}");
    assert_refused(&scratch.run(&["diff", "missing.yaml"]), 3001);
    scratch.deployment.stop().await.unwrap();
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("diff", &["bad.yaml"]);
}
