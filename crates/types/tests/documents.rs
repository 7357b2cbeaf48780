//! Tests of the parser for operators' documents: a file with an invalid document is refused as a whole, with
//! the field and its allowed values.

use comfreyhold_types::document;
use proptest::prelude::*;

/// Guards against shipping profiles that the parser refuses.
#[test]
fn shipped_profiles_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../profiles");
    for file in std::fs::read_dir(root).unwrap() {
        let text = std::fs::read_to_string(file.unwrap().path()).unwrap();
        assert_eq!(document::parse(&text, "test").unwrap().len(), 3);
    }
}

/// Guards against error messages that name neither the field nor the reason.
#[test]
fn bad_documents_are_explained() {
    let cases = [
        "kind: profile\nname: a\nversion: 1\ndedline_ms: 5",
        "kind: profile\nname: a\nversion: 1\ndeadline_ms: 5",
        "kind: profile\nname: A b\nversion: 1",
        "kind: flow\nname: a",
        "name: a",
        "kind: service\nversion: 1\nname: a\naddress: nowhere\nprofile: p",
        "kind: domain\nversion: 1\ndomain: 2\nstate: away",
        ": [",
        "",
        "kind: profile\nname: a\nversion: 1\n---\nkind: profile\nname: b\nversion: 0",
    ];
    let messages: Vec<String> = cases
        .iter()
        .map(|text| document::parse(text, "test").unwrap_err())
        .map(|error| format!("{} {error}", error.code().number()))
        .collect();
    insta::assert_yaml_snapshot!(messages);
}

proptest! {
    /// Guards against panics of the parser, whatever the text.
    #[test]
    fn parser_never_panics(text in "\\PC{0,200}") {
        let _ = document::parse(&text, "test");
    }
}
