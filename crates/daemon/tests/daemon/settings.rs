//! Settings files that are refused.

use comfreyhold_daemon::settings::Settings;
use proptest::prelude::*;
use std::fmt::Write as _;
use std::path::Path;
use std::process::Command;

/// Valid settings of a control daemon, instance 1.
const CONTROL: &str = "instance: 1
domains: {1: north, 2: south}
members:
- {instance: 1, name: control-1, role: control, domain: 1, peer: 127.0.0.1:7001, admin: 127.0.0.1:7002}
- {instance: 2, name: entry-1, role: entry, domain: 2, peer: 127.0.0.1:7003, admin: 127.0.0.1:7004}
entry:
  http: 127.0.0.1:7005
  packets: 127.0.0.1:7006
  fabric: 127.0.0.1:7007
  packet_threads: 1
  flow_secret: sixteen characters
data_folder: data
log: {level: info}
";

/// What is wrong, the text that is replaced, and by what.
const BAD: [(&str, &str, &str); 14] = [
    ("not YAML", "domains: {1: north", "domains: {1: [north"),
    ("unknown field", "data_folder: data", "data_foldr: data"),
    ("missing field", "domains: {1: north, 2: south}\n", ""),
    ("unknown role", "role: control", "role: leader"),
    ("port out of range", "127.0.0.1:7001", "127.0.0.1:70010"),
    ("host name", "127.0.0.1:7002", "localhost:7002"),
    ("negative number", "instance: 1\ndomains", "instance: -1\ndomains"),
    ("instance without a member", "instance: 1\ndomains", "instance: 9\ndomains"),
    ("number used twice", "instance: 2, name", "instance: 1, name"),
    ("bad name", "name: entry-1", "name: Entry 1"),
    ("unknown domain", "domain: 2, peer", "domain: 7, peer"),
    ("no data folder", "data_folder: data\n", ""),
    ("unknown level", "level: info", "level: loud"),
    ("unknown format", "level: info", "format: xml"),
];

/// As [`BAD`], with the settings of the entry, instance 2.
const BAD_ENTRY: [(&str, &str, &str); 4] = [
    ("no thread", "packet_threads: 1", "packet_threads: 0"),
    ("too many threads", "packet_threads: 1", "packet_threads: 65"),
    ("short secret", "sixteen characters", "short"),
    ("unknown field of a section", "fabric:", "fabrik:"),
];

fn entry() -> String {
    CONTROL.replace("instance: 1\ndomains", "instance: 2\ndomains")
}

/// Starts the daemon with a file that must be refused; returns the first line of its error.
fn refusal(program: &str, folder: &Path, text: &str) -> String {
    std::fs::write(folder.join("settings.yaml"), text).unwrap();
    let mut command = Command::new(program);
    command.arg("settings.yaml").current_dir(folder).env_remove("RUST_BACKTRACE");
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(!folder.join("data").exists(), "the data folder was made before the refusal");
    let error = String::from_utf8(output.stderr).unwrap();
    error.lines().next().unwrap().to_owned()
}

/// Guards against a daemon that starts with wrong settings, and against an error that doesn't name the
/// file, the field and what is allowed.
#[test]
fn bad_settings_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let control =
        BAD.map(|case| (env!("CARGO_BIN_EXE_comfreyhold-control"), CONTROL.to_owned(), case));
    let entries = BAD_ENTRY.map(|case| (env!("CARGO_BIN_EXE_comfreyhold-entry"), entry(), case));
    let mut table = String::new();
    for (program, valid, (what, from, to)) in control.into_iter().chain(entries) {
        assert!(valid.contains(from), "{what}");
        let error = refusal(program, folder.path(), &valid.replacen(from, to, 1));
        assert!(error.contains("settings.yaml"), "{what}: {error}");
        writeln!(table, "{what}: {error}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a table of bad settings whose starting point is already refused.
#[test]
fn unchanged_settings_are_accepted() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    for text in [CONTROL.to_owned(), entry()] {
        std::fs::write(&path, text).unwrap();
        Settings::load(&path).unwrap();
    }
}

fn load(bytes: &[u8]) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, bytes).unwrap();
    if let Err(error) = Settings::load(&path) {
        assert!(error.to_string().contains("settings.yaml"), "{error}");
    }
}

proptest! {
    /// Guards against a loader that panics on text of any kind.
    #[test]
    fn any_text_is_read_without_a_panic(text in "\\PC*") {
        load(text.as_bytes());
    }

    /// Guards against a loader that panics on bytes that are no text.
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        load(&bytes);
    }

    /// Guards against a loader that panics on settings with a damaged part.
    #[test]
    fn damaged_settings_are_read_without_a_panic(at in 0..CONTROL.len(), len in 0..40_usize, new in "\\PC{0,8}") {
        let end = (at + len).min(CONTROL.len());
        load(format!("{}{new}{}", &CONTROL[..at], &CONTROL[end..]).as_bytes());
    }
}
