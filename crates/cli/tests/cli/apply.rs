//! `comfreyhold apply` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, assert_refused, filtered};

/// Guards against a publication that is reported wrongly, and a resend or conflict that is hidden.
#[tokio::test]
async fn publications_are_reported() {
    let scratch = Scratch::start().await;
    scratch.write("two.yaml", "kind: profile\nname: orders\nversion: 2\n");
    scratch.write("other.yaml", "kind: profile\nname: orders\nversion: 2\nmax_slots: 9\n");
    scratch.write("gap.yaml", "kind: profile\nname: orders\nversion: 9\n");
    let first = scratch.run(&["apply", "--operator", "rui", "two.yaml"]);
    assert_eq!(first.status, Some(0), "{first:?}");
    insta::assert_snapshot!(filtered(&first.out), @"profile/orders version 2: accepted at [revision]; in effect on 2 entries; complete after [time] ms");
    let again = scratch.run(&["apply", "two.yaml"]);
    assert_eq!(again.out.split(';').next(), first.out.split(';').next());
    let other = scratch.run(&["apply", "other.yaml"]);
    assert_refused(&other, 3003);
    insta::assert_snapshot!(filtered(&other.err), @"comfreyhold: [number] profile/orders version 2: taken by rui at [revision] with other content");
    let gap = scratch.run(&["apply", "gap.yaml"]);
    assert_refused(&gap, 3004);
    insta::assert_snapshot!(filtered(&gap.err), @"comfreyhold: [number] profile/orders version 9: the next version is 3");
    bad_documents(&scratch);
    scratch.deployment.stop().await.unwrap();
}

fn bad_documents(scratch: &Scratch) {
    scratch.write("broken.yaml", "kind: [profile\n");
    scratch.write("field.yaml", "kind: profile\nname: orders\nversion: 3\nmax_slots: 0\n");
    assert_refused(&scratch.run(&["apply", "broken.yaml"]), 3001);
    assert_refused(&scratch.run(&["apply", "missing.yaml"]), 3001);
    assert_refused(&scratch.run(&["apply", "two.yaml", "field.yaml"]), 3002);
    assert_refused(&scratch.run(&["apply", "--operator", "Not A Name", "two.yaml"]), 3002);
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("apply", &["bad.yaml"]);
}
