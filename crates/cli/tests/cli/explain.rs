//! `comfreyhold explain` on logs.

use crate::support::{assert_refused, run};

const LOG: &str = r#"
{"time_ms":50,"instance":"entry-1","kind":"readiness","left_out":0,"ready":true}
{"time_ms":60,"instance":"entry-1","kind":"start","left_out":0}
   1.2 entry-1 {"time_ms":100,"instance":"entry-1","kind":"declarations","left_out":0,"change":3,"version":7}
{"time_ms":101,"instance":"entry-1","kind":"target","left_out":0,"target":"g5","availability":"serving"}
{"time_ms":102,"instance":"entry-1","kind":"target","left_out":0,"target":"g6","availability":"draining"}
{"time_ms":300,"instance":"entry-1","kind":"opening","left_out":0,"flow":"1.1.1.1:1>2.2.2.2:2","seq":9,"copy":1,"target":"g5"}
{"time_ms":100,"instance":"entry-2","kind":"opening","left_out":0,"flow":"1.1.1.1:1>2.2.2.2:2","seq":4,"copy":0,"target":"g6"}
{"time_ms":310,"instance":"entry-1","kind":"opening","left_out":0,"flow":"1.1.1.1:7>2.2.2.2:2","seq":9,"copy":0,"target":"g6"}
{"time_ms":320,"instance":"entry-1","ki"#;

/// Guards against output with lines of other flows, or with the state of other processes, other targets or
/// earlier incarnations, and against a truncated last line that hides the rest.
#[test]
fn flow_is_shown_with_preceding_entry_state() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("all.log"), LOG).unwrap();
    let flow = "1.1.1.1:1>2.2.2.2:2";
    let output = run(folder.path(), &["explain", "--flow", flow, "--seq", "9", "all.log"]);
    insta::assert_snapshot!(output.stdout, @r#"
    60 entry-1 before start {"left_out":0}
    100 entry-1 before declarations {"change":3,"left_out":0,"version":7}
    101 entry-1 before target {"availability":"serving","left_out":0,"target":"g5"}
    300 entry-1 opening {"copy":1,"flow":"1.1.1.1:1>2.2.2.2:2","left_out":0,"seq":9,"target":"g5"}
    "#);
}

/// Guards against an error without a result code, and against a success that shows nothing.
#[test]
fn unknown_flows_and_files_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("all.log"), LOG).unwrap();
    assert_refused(
        &run(folder.path(), &["explain", "--flow", "3.3.3.3:3>2.2.2.2:2", "all.log"]),
        3002,
    );
    assert_refused(&run(folder.path(), &["explain", "--flow", "a>b", "none.log"]), 3001);
}
