//! `comfreyhold timeline` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, assert_refused};

/// Guards against a killed process that is silently left out, events out of order and filters that
/// pass other events.
#[tokio::test]
async fn killed_process_is_named() {
    let mut scratch = Scratch::start().await;
    let ran = scratch.run(&["timeline"]);
    let stamps: Vec<_> = ran.out.lines().map(|line| line.split(' ').next().unwrap()).collect();
    assert!(stamps.len() > 5 && stamps.is_sorted(), "{ran:?}");
    let started = scratch.run(&["timeline", "--kind", "started", "--process", "entry-1"]);
    assert_eq!(started.out.lines().count(), 1, "{started:?}");
    assert!(started.out.contains("entry-1") && started.out.contains(" started "), "{started:?}");
    assert_eq!(scratch.run(&["timeline", "--to", "1"]).out, "");
    scratch.kill("entry-2").await;
    let ran = scratch.run(&["timeline"]);
    assert!(ran.out.lines().any(|line| line.starts_with("entry-2: no answer: ")), "{ran:?}");
    assert_refused(&scratch.run(&["timeline", "--kind", "no-such-kind"]), 3002);
    assert_refused(&scratch.run(&["timeline", "--process", "no-such-process"]), 3002);
    drop(scratch);
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("timeline", &[]);
}
