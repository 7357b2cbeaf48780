//! Checks `docs/proofs.md`: every test that it names exists.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Resolves a reference such as `daemon/requests::name` to the text of the test file and the name of the test.
/// The file is a test binary of its own, or a module of the package's single test binary.
fn load_test_file(reference: &str) -> Option<(String, &str)> {
    let (path, name) = reference.split_once("::")?;
    let (package, file) = path.split_once('/')?;
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let in_crates = root.join("crates").join(package);
    let folder = if in_crates.exists() { in_crates } else { root.join(package) };
    let tests = folder.join("tests");
    let candidates: [PathBuf; 3] = [
        tests.join(format!("{file}.rs")),
        tests.join(package).join(format!("{file}.rs")),
        tests.join(file).join("main.rs"),
    ];
    let text = candidates.iter().find_map(|path| std::fs::read_to_string(path).ok());
    Some((text.unwrap_or_default(), name))
}

/// Guards against a page that refers to a test which was renamed or removed.
#[test]
fn every_named_test_exists() {
    let page = include_str!("../../../docs/proofs.md");
    let references = page.split('`').skip(1).step_by(2).filter(|code| code.contains("::"));
    let mut count = 0;
    for reference in references {
        let (text, name) = load_test_file(reference).unwrap();
        assert!(text.contains(&format!("fn {name}(")), "{reference} does not exist");
        count += 1;
    }
    assert!(count > 30, "the page names {count} tests");
}
