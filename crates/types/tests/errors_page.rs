//! Checks `docs/errors.md`, which lists every result code as the program reports it.

use comfreyhold_types::prelude::ResultCode;
use std::collections::BTreeSet;
use strum::IntoEnumIterator;

/// Guards against a code that is missing from the page or listed with another HTTP status.
#[test]
fn every_code_is_listed() {
    let page = include_str!("../../../docs/errors.md");
    for code in ResultCode::iter() {
        let row = format!("| {} | `{code}` | {} |", code.number(), code.http_status());
        assert!(page.contains(&row), "docs/errors.md lacks {row}");
    }
}

/// Guards against two result codes with the same number.
#[test]
fn numbers_are_unique() {
    let numbers: BTreeSet<_> = ResultCode::iter().map(ResultCode::number).collect();
    assert_eq!(numbers.len(), ResultCode::iter().count());
}
