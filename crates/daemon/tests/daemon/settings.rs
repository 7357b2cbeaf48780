//! Settings files that daemons refuse, and the error messages for them.

use comfreyhold_daemon::settings::Settings;
use proptest::prelude::*;
use std::fmt::Write as _;
use std::path::Path;
use std::process::Command;

/// Valid settings of a control daemon, instance 1.
const CONTROL_SETTINGS: &str = "instance: 1
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

/// Fault, the text of the valid settings that is replaced, and its replacement.
const BAD_CONTROL: [(&str, &str, &str); 14] = [
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

/// As [`BAD_CONTROL`], for the settings of the entry, instance 2.
const BAD_ENTRY: [(&str, &str, &str); 4] = [
    ("no thread", "packet_threads: 1", "packet_threads: 0"),
    ("too many threads", "packet_threads: 1", "packet_threads: 65"),
    ("short secret", "sixteen characters", "short"),
    ("unknown field of a section", "fabric:", "fabrik:"),
];

fn entry_settings() -> String {
    CONTROL_SETTINGS.replace("instance: 1\ndomains", "instance: 2\ndomains")
}

/// Starts a daemon with settings that it must refuse. Returns the first line of its error.
fn start_refused(program: &str, folder: &Path, text: &str) -> String {
    std::fs::write(folder.join("settings.yaml"), text).unwrap();
    let mut command = Command::new(program);
    command.arg("settings.yaml").current_dir(folder).env_remove("RUST_BACKTRACE");
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(!folder.join("data").exists(), "the data folder was made before the refusal");
    let error = String::from_utf8(output.stderr).unwrap();
    error.lines().next().unwrap().to_owned()
}

/// Guards against a daemon that starts with invalid settings, and against an error that doesn't name the
/// file, the field and the allowed values.
#[test]
fn bad_settings_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let control = BAD_CONTROL
        .map(|case| (env!("CARGO_BIN_EXE_comfreyhold-control"), CONTROL_SETTINGS.to_owned(), case));
    let entries =
        BAD_ENTRY.map(|case| (env!("CARGO_BIN_EXE_comfreyhold-entry"), entry_settings(), case));
    let mut table = String::new();
    for (program, valid, (what, from, to)) in control.into_iter().chain(entries) {
        assert!(valid.contains(from), "{what}");
        let error = start_refused(program, folder.path(), &valid.replacen(from, to, 1));
        assert!(error.contains("settings.yaml"), "{what}: {error}");
        writeln!(table, "{what}: {error}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against refusals that have another cause than the replaced text.
#[test]
fn unchanged_settings_are_accepted() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    for text in [CONTROL_SETTINGS.to_owned(), entry_settings()] {
        std::fs::write(&path, text).unwrap();
        Settings::load(&path).unwrap();
    }
}

fn load_settings(bytes: &[u8]) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, bytes).unwrap();
    if let Err(error) = Settings::load(&path) {
        assert!(error.to_string().contains("settings.yaml"), "{error}");
    }
}

proptest! {
    /// Guards against a loader that panics on arbitrary text.
    #[test]
    fn any_text_is_read_without_a_panic(text in "\\PC*") {
        load_settings(text.as_bytes());
    }

    /// Guards against a loader that panics on bytes that aren't valid text.
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        load_settings(&bytes);
    }

    /// Guards against a loader that panics on settings in which some text is replaced.
    #[test]
    fn damaged_settings_are_read_without_a_panic(at in 0..CONTROL_SETTINGS.len(), len in 0..40_usize, new in "\\PC{0,8}") {
        let end = (at + len).min(CONTROL_SETTINGS.len());
        load_settings(format!("{}{new}{}", &CONTROL_SETTINGS[..at], &CONTROL_SETTINGS[end..]).as_bytes());
    }
}
