//! `comfreyhold check`, which needs no deployment.

use crate::support::{ORDERS, assert_refused, run};

/// Guards against an invalid file that passes, and against an error that doesn't name file and field.
#[test]
fn files_are_checked_without_a_deployment() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    write("good.yaml", ORDERS);
    write("field.yaml", "kind: profile\nname: orders\nversion: 1\nmax_slots: 0\n");
    write("kind.yaml", "kind: route\n");
    write("broken.yaml", "kind: [profile\n");
    let good = run(folder.path(), &["check", "good.yaml"]);
    assert_eq!((good.exit_code, good.stdout.as_str()), (Some(0), "good.yaml: 2 declarations\n"));
    let refused = [("field.yaml", 3002), ("kind.yaml", 3002), ("broken.yaml", 3001)];
    let mut errors = String::new();
    for (file, code) in refused {
        let output = run(folder.path(), &["check", "good.yaml", file]);
        assert_refused(&output, code);
        errors += &output.stderr;
    }
    let settings = run(folder.path(), &["check", "--settings", "good.yaml"]);
    assert_refused(&settings, 3001);
    insta::assert_snapshot!(errors + &settings.stderr, @r"
    comfreyhold: 3002 field.yaml: document 1: field `max_slots`: 0 is not allowed; allowed: 1 to 10000
    comfreyhold: 3002 kind.yaml: document 1: field `kind`: route is not allowed; allowed: profile, service or domain
    comfreyhold: 3001 broken.yaml: document 1: did not find expected ',' or ']' at line 2 column 1, while parsing a flow sequence at line 1 column 7
    comfreyhold: 3001 good.yaml: unknown field `kind`, expected one of `instance`, `domains`, `members`, `entry`, `data_folder`, `bootstrap`, `log`
    ");
    assert_refused(&run(folder.path(), &["check", "missing.yaml"]), 3001);
    assert_refused(&run(folder.path(), &["check"]), 3002);
}
