//! Contract of `docs/proofs.md`: every test that it names exists.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Splits `daemon/requests::name` into the text of the test file and the test's name. A file is a test
/// binary of its own, or a module of the package's one binary.
fn locate(reference: &str) -> Option<(String, &str)> {
    let (place, name) = reference.split_once("::")?;
    let (package, file) = place.split_once('/')?;
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let in_crates = root.join("crates").join(package);
    let folder = if in_crates.exists() { in_crates } else { root.join(package) };
    let tests = folder.join("tests");
    let places: [PathBuf; 3] = [
        tests.join(format!("{file}.rs")),
        tests.join(package).join(format!("{file}.rs")),
        tests.join(file).join("main.rs"),
    ];
    let text = places.iter().find_map(|path| std::fs::read_to_string(path).ok());
    Some((text.unwrap_or_default(), name))
}

/// Guards against a promise that the page calls proved by a test that was renamed or removed.
#[test]
fn every_named_test_exists() {
    let page = include_str!("../../../docs/proofs.md");
    let references = page.split('`').skip(1).step_by(2).filter(|code| code.contains("::"));
    let mut count = 0;
    for reference in references {
        let (text, name) = locate(reference).unwrap();
        assert!(text.contains(&format!("fn {name}(")), "{reference} does not exist");
        count += 1;
    }
    assert!(count > 30, "the page names {count} tests");
}
