//! `comfreyhold-capacity`: measures what each role costs at growing sizes, for `docs/CAPACITY.md`.

mod cmd;
mod links;
mod procfs;
mod sample;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
