//! An operator sends a configuration with a byte that is not valid UTF-8, so that it can't be read as JSON.

use crate::cluster::{Cluster, Shape};
use crate::operator::{Outcome, config, get_config, put_config};
use crate::record::Record;
use crate::{CaseResult, Verdict};
use std::time::Duration;

const ACK_LIMIT: Duration = Duration::from_secs(5);

pub fn run(record: &Record, with_trouble: bool) -> CaseResult {
    let cluster = Cluster::start(&Shape::default()).map_err(|error| error.to_string())?;
    let controls = cluster.controls();
    let first = config(1, 8, 3_000, (2.0, 0.0));
    if put_config(&controls, first.as_bytes(), 0, ACK_LIMIT * 2, record) != Outcome::Acknowledged {
        return Err("the first configuration was not accepted".to_owned());
    }
    // The path is "/saúde" in UTF-8, or in ISO 8859-1 for the invalid configuration.
    let second = config(2, 8, 2_500, (2.0, 0.0)).replace("/health", "/sa\u{fa}de");
    let mut body = second.into_bytes();
    if with_trouble {
        let at = body.windows(2).position(|pair| pair == "\u{fa}".as_bytes()).ok_or("no letter")?;
        body.splice(at..at + 2, [0xFA]);
    }
    let is_text = std::str::from_utf8(&body).is_ok();
    record.say(&format!("version 2: {} bytes, valid UTF-8: {is_text}", body.len()));
    let outcome = put_config(&controls, &body, 0, ACK_LIMIT, record);
    record.say(&format!("version 2: {outcome:?}"));
    let Some(read) = get_config(&controls, ACK_LIMIT, record) else {
        return Err("the configuration can't be read back".to_owned());
    };
    let is_read_text = std::str::from_utf8(&read).is_ok();
    let is_second = read == body;
    record.say(&format!("read back: version 2: {is_second}, valid UTF-8: {is_read_text}"));
    let is_broken = match (with_trouble, outcome) {
        (true, outcome) => outcome == Outcome::Acknowledged || is_second,
        (false, outcome) => outcome != Outcome::Acknowledged || !is_second,
    };
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
