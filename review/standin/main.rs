//! Stand-ins for the review's scripts: backends, clients, an operator. They
//! run the project's own programs as separate processes on loopback addresses.
//!
//! Usage: `standin SCENARIO RECORD_FILE`. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod backend;
mod client;
mod cluster;
mod http;
mod packet;
mod record;
mod scenarios;

use std::sync::Arc;
use std::time::Duration;

/// The whole run, with the start and the end of all processes, takes less than 120 seconds.
const LONGEST_RUN: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record_file] = &args[..] else {
        eprintln!("usage: standin SCENARIO RECORD_FILE");
        std::process::exit(2);
    };
    let disrupted = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::create(record_file));
    let processes = cluster::Processes::default();
    let (watched, log) = (processes.clone(), Arc::clone(&record));
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_RUN);
        log.line("the run takes too long");
        watched.end_all();
        std::process::exit(2);
    });
    let (run_processes, run_record) = (processes.clone(), Arc::clone(&record));
    let scenario = scenario.clone();
    let run =
        std::thread::spawn(move || scenarios::run(&scenario, disrupted, run_processes, run_record));
    let status = match run.join() {
        Ok(Ok(broken)) => i32::from(broken),
        Ok(Err(reason)) => {
            record.line(&format!("the case could not run: {reason}"));
            2
        }
        Err(_) => 2,
    };
    processes.end_all();
    record.line(&format!("exit status {status}"));
    println!("exit status {status}");
    std::process::exit(status);
}
