//! Contract of `docs/errors.md`: it lists every result code as the program reports it.

use comfreyhold_types::prelude::ResultCode;
use std::collections::BTreeSet;
use strum::IntoEnumIterator;

/// Guards against a code that users meet and the table lacks, or a row that names another status.
#[test]
fn every_code_is_listed() {
    let page = include_str!("../../../docs/errors.md");
    for code in ResultCode::iter() {
        let row = format!("| {} | `{code}` | {} |", code.number(), code.http_status());
        assert!(page.contains(&row), "docs/errors.md lacks {row}");
    }
}

/// Guards against two codes with one number.
#[test]
fn numbers_are_unique() {
    let numbers: BTreeSet<_> = ResultCode::iter().map(ResultCode::number).collect();
    assert_eq!(numbers.len(), ResultCode::iter().count());
}
