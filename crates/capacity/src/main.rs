//! `comfreyhold-capacity`: measures processor time, memory and traffic of each role at growing sizes, for
//! `docs/CAPACITY.md`.

mod cmd;
mod network;
mod procfs;
mod sample;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
