//! Integration tests of the daemons, with real processes. All files form one binary, so that the tests of
//! different files run in parallel.

#![allow(clippy::unwrap_used)]

mod answers;
mod disks;
mod domains;
mod entry_failures;
mod flows;
mod load_reports;
mod operator;
mod planned_stop;
mod publications;
mod relay;
mod requests;
mod second_start;
mod settings;
mod silence;
mod stop_signals;
mod storage_faults;
mod streams;
mod support;
mod traffic;
