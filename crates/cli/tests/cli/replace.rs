//! `comfreyhold replace` against a deployment.

use crate::support::{Scratch, assert_bad_files_refused, assert_refused};

/// Guards against a lost data folder that can't be repaired from the command line, and against a
/// replacement that names no voter.
#[tokio::test]
async fn new_folder_is_accepted() {
    let mut scratch = Scratch::start().await;
    scratch.kill("control-3").await;
    let plan = scratch.deployment.plan.daemons[2].clone();
    std::fs::remove_dir_all(&plan.data).unwrap();
    let process = scratch.deployment.start_daemon(&plan, scratch.folder()).await.unwrap();
    scratch.deployment.daemons[2] = process;
    let learner = |line: &&str| line.starts_with("control-3") && line.contains("state=learner");
    let status = scratch.until(&["status"], |ran| ran.out.lines().any(|l| learner(&l))).await;
    let line = status.out.lines().find(learner).unwrap();
    let disk = line.split_whitespace().find_map(|word| word.strip_prefix("disk=")).unwrap();
    let ran = scratch.until(&["replace", "3", disk], |ran| ran.out.contains("votes")).await;
    assert!(ran.out.starts_with("i3 votes from its new disk since r"), "{ran:?}");
    assert_refused(&scratch.run(&["replace", "99", disk]), 3010);
    assert_refused(&scratch.run(&["replace", "3", "not-hexadecimal"]), 3002);
    assert_refused(&scratch.run(&["replace", "three", disk]), 3002);
    scratch.deployment.stop().await.unwrap();
}

/// Guards against a panic or an unnumbered error for a deployment file that can't be used.
#[test]
fn bad_files_are_refused() {
    assert_bad_files_refused("replace", &["1", "ff"]);
}
