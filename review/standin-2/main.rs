//! Stand-ins of the second review: operator, backends and clients around the project's own processes. The first word
//! names the case, the second one the file for the record. `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.

mod backend;
mod client;
mod cluster;
mod core_cut;
mod http;
mod operator;
mod owner;
mod packet;
mod record;
mod slow_link;

mod cold_restart;
mod damaged_config;
mod grown_config;
mod slow_recovery;
mod split_core;

use record::Record;
use std::path::Path;
use std::process::exit;

/// Result of a case that ran.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Result of a case, or the reason why it couldn't run.
pub type CaseResult = Result<Verdict, String>;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, file] = &words[..] else {
        eprintln!("expected a case and the file of the record");
        exit(2);
    };
    let record = match Record::create(Path::new(file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{file}: {error}");
            exit(2);
        }
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record
        .say(&format!("case {case}, {} disruption", if with_trouble { "with" } else { "without" }));
    let result = match case.as_str() {
        "grown-config" => grown_config::run(&record, with_trouble),
        "damaged-config" => damaged_config::run(&record, with_trouble),
        "slow-recovery" => slow_recovery::run(&record, with_trouble),
        "split-core" => split_core::run(&record, with_trouble),
        "cold-restart" => cold_restart::run(&record, with_trouble),
        other => Err(format!("there is no case {other:?}")),
    };
    match result {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            exit(1);
        }
        Err(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            exit(2);
        }
    }
}
