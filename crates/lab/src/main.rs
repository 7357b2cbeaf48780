//! `comfreyhold-lab`: runs the parts of the daemons' test environment.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
