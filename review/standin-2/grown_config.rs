//! The configuration grows by many routes, four times. The control daemons accept the last one, can't pass it on to each
//! other, and from then on answer no read and accept no evacuation.

use crate::cluster::{Cluster, Role, Shape};
use crate::operator::{Outcome, config, get_config, put_config};
use crate::record::Record;
use crate::{CaseResult, Verdict, http};
use std::net::SocketAddr;
use std::time::Duration;

/// Routes of the first configuration that see no traffic, and those that one disruption adds.
const FIRST_ROUTES: u32 = 40;
const GROWTH: u32 = 1_400;
const STEPS: u64 = 4;

const ACK_LIMIT: Duration = Duration::from_secs(5);
const PER_ROUTE: Duration = Duration::from_millis(3);

/// Time for which the operator reads the configuration back; at least `contactMs` by the pages.
const READ_LIMIT: Duration = Duration::from_secs(8);

pub fn run(record: &Record, with_trouble: bool) -> CaseResult {
    let cluster = Cluster::start(&Shape::default()).map_err(|error| error.to_string())?;
    let controls = cluster.controls();
    let mut newest = 1;
    let first = config(newest, FIRST_ROUTES, 3_000, (2.0, 0.0));
    if put_config(&controls, first.as_bytes(), 0, ACK_LIMIT * 2, record) != Outcome::Acknowledged {
        return Err("the first configuration was not accepted".to_owned());
    }
    for step in 1..=STEPS {
        let version = 1 + step;
        let routes = if with_trouble { FIRST_ROUTES + GROWTH * step as u32 } else { FIRST_ROUTES };
        let body = config(version, routes, 3_000 + step, (2.0, 0.0));
        record.say(&format!("version {version}: {routes} idle routes, {} bytes", body.len()));
        let limit = ACK_LIMIT + PER_ROUTE * routes;
        let outcome = put_config(&controls, body.as_bytes(), routes, limit, record);
        record.say(&format!("version {version}: {outcome:?}"));
        if outcome == Outcome::Acknowledged {
            newest = version;
        }
    }
    if !cluster.all_run() {
        record.say("a process has ended by itself");
        return Ok(Verdict::Broken);
    }
    let is_read_back = read_back(&controls, newest, record);
    if with_trouble && !is_read_back {
        show_what_follows(&cluster, record);
    }
    Ok(if is_read_back { Verdict::Held } else { Verdict::Broken })
}

/// Whether the configuration comes, and is at least as new as the newest acknowledged one.
fn read_back(controls: &[SocketAddr], newest: u64, record: &Record) -> bool {
    let Some(body) = get_config(controls, READ_LIMIT, record) else {
        record.say(&format!("version {newest} was acknowledged; no read is answered with 200"));
        return false;
    };
    let text = String::from_utf8_lossy(&body);
    let version = text.strip_prefix("{\"version\":").and_then(|rest| rest.split(',').next());
    let version: u64 = version.and_then(|digits| digits.parse().ok()).unwrap_or(0);
    record.say(&format!("read back: version {version}; the newest acknowledged one is {newest}"));
    version >= newest
}

/// For the record only: a restart of the control daemons does not help, and a smaller configuration does.
fn show_what_follows(cluster: &Cluster, record: &Record) {
    let controls = cluster.controls();
    let evacuation = |control: SocketAddr| {
        let response = http::call(control, "POST", "/evacuation/za", b"", Duration::from_secs(1));
        response.map_or_else(|error| error, |response| response.status.to_string())
    };
    for control in &controls {
        record.say(&format!("POST /evacuation/za at {control}: {}", evacuation(*control)));
    }
    for index in cluster.with_role(Role::Control) {
        cluster.kill(index);
        if let Err(error) = cluster.start_process(index, false) {
            return record.say(&format!("a restart failed: {error}"));
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let read = get_config(&controls, ACK_LIMIT, record);
    record.say(&format!("read after a restart of all control daemons: {}", read.is_some()));
    for control in &controls {
        record.say(&format!("POST /evacuation/za at {control}: {}", evacuation(*control)));
    }
    let small = config(100, FIRST_ROUTES, 3_000, (2.0, 0.0));
    let outcome = put_config(&controls, small.as_bytes(), 0, ACK_LIMIT, record);
    record.say(&format!("a small configuration, version 100: {outcome:?}"));
}
