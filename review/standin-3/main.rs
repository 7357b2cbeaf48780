//! Runs one case of the review: `standin CASE FOLDER`, from the root of the repository. Writes FOLDER/record.txt. Exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod client;
mod cluster;
mod http;
mod packet;
mod record;
mod replace;
mod restart;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Result of a case that could run.
pub struct Verdict {
    pub broken: usize,
    pub tried: usize,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {with_trouble}"));
    let result = match case.as_str() {
        "replace" => replace::run(with_trouble, &record),
        "restart" => restart::run(with_trouble, &record),
        _ => Err(format!("there is no case {case}")),
    };
    match result {
        Ok(Verdict { broken, tried }) => {
            let line = format!("{broken} of {tried} broken");
            record.line(&line);
            println!("{line}");
            ExitCode::from(u8::from(broken > 0))
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
