//! `comfreyhold-lab`: stand-ins that the daemons are tested against.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
