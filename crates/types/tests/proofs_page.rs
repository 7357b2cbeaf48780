//! Contract of `docs/proofs.md`: every test that it names exists.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Splits `daemon/requests::name` into the test file and the test's name.
fn locate(reference: &str) -> Option<(PathBuf, &str)> {
    let (place, name) = reference.split_once("::")?;
    let (package, file) = place.split_once('/')?;
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Some((root.join("crates").join(package).join("tests").join(format!("{file}.rs")), name))
}

/// Guards against a promise that the page calls proved by a test that was renamed or removed.
#[test]
fn every_named_test_exists() {
    let page = include_str!("../../../docs/proofs.md");
    let references = page.split('`').skip(1).step_by(2).filter(|code| code.contains("::"));
    let mut count = 0;
    for reference in references {
        let (path, name) = locate(reference).unwrap();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(text.contains(&format!("fn {name}(")), "{reference} does not exist");
        count += 1;
    }
    assert!(count > 30, "the page names {count} tests");
}
